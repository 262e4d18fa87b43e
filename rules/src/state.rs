//! The agreed text: the version that holds, and at most one neighbour on its way.

use std::borrow::Cow;
use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::text::{Clash, Rules};
use crate::{MOST_REASON, MOST_VERSION, Micros};

/// Heads kept, the oldest forgotten first.
const HISTORY: usize = 16;
/// Bytes of whole versions that are kept besides.
const PAST: usize = 100 * 1024;

/// What is known of a version without its text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Counts up by one.
    pub number: u64,
    /// Of its text.
    pub digest: u64,
    /// Who proposed it, by certificate.
    pub author: String,
    /// Why, for people.
    pub reason: String,
    /// The version that it builds on.
    pub builds_on: u64,
    /// It was brought back before it held everywhere, and why.
    pub returned: Option<String>,
}

/// A version, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Who, why, which.
    pub head: Head,
    /// What it says.
    pub rules: Rules,
}

/// A trial of a version by a part of the routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Of a thousand routers so many act on it.
    pub per_mille: u32,
    /// It lasts so long.
    pub lasts: Micros,
    /// It is brought back where the share in time falls behind the others' by more, in thousandths.
    pub margin: u32,
}

/// How a version comes into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Way {
    /// Who has it acts on it; the one before is in use for the stated time at most.
    AtOnce,
    /// Who has it acts on what both allow, until nobody can act on the one before alone.
    Apart,
    /// A part of the routers acts on it first.
    Trial(Trial),
}

/// A version on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Next {
    /// Which.
    pub version: Version,
    /// How.
    pub way: Way,
}

/// See the module's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// What holds.
    pub current: Version,
    /// What is to hold.
    pub next: Option<Next>,
    /// Heads of all versions that were proposed lately, the oldest first.
    pub history: VecDeque<Head>,
    /// Counts the changes of this text: a version that is returned and proposed again has another turn.
    pub turn: u64,
}

/// Versions that held before, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past(pub VecDeque<Version>);

/// Why a change is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Another version is on its way.
    OnItsWay(u64),
    /// It builds on another version than holds.
    Overtaken {
        /// What it builds on.
        builds_on: u64,
        /// What holds.
        holds: u64,
    },
    /// The same as holds.
    Same,
    /// No reading is left between the two.
    NoReading(Clash),
    /// Routers that are alone may act on what it denies.
    Alone(&'static str),
    /// It changes what must not differ between routers, so it can't be tried by some.
    NoTrial(Clash),
    /// It must come apart.
    MustBeApart(Clash),
    /// There is no such version.
    Unknown(u64),
    /// Over a bound.
    Bound(usize),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::OnItsWay(n) => {
                write!(f, "version {n} is on its way; the next waits until it holds everywhere")
            }
            Refused::Overtaken { builds_on, holds } => {
                write!(f, "it builds on version {builds_on}, and {holds} holds by now")
            }
            Refused::Same => f.write_str("that is what holds already"),
            Refused::NoReading(clash) => write!(f, "{clash}"),
            Refused::Alone(key) => write!(
                f,
                "{key}: denies more, and routers without a confirmation serve on ('alone serve'): propose 'alone stop' first"
            ),
            Refused::NoTrial(clash) => write!(f, "{clash}; so it can't be tried by some of the routers"),
            Refused::MustBeApart(clash) => write!(f, "{clash}; so it can't come at once"),
            Refused::Unknown(n) => write!(f, "version {n} is not kept"),
            Refused::Bound(size) => {
                write!(f, "comes to {size} bytes, {MOST_VERSION} at most can be agreed on")
            }
        }
    }
}

/// Who a router acts with, where a version is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// On the version that holds, or on the next alone.
    One(u64),
    /// On what both allow.
    Both(u64, u64),
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Group::One(n) => write!(f, "{n}"),
            Group::Both(a, b) => write!(f, "{a}+{b}"),
        }
    }
}

/// What a router acts by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading<'a> {
    /// Which versions.
    pub of: Group,
    /// What they allow.
    pub rules: Cow<'a, Rules>,
}

/// Whether a router is of those that try a version first; the same everywhere, another choice each time.
fn tries(name: &str, turn: u64, per_mille: u32) -> bool {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new_with_keys(turn, 0x7472_6961_6c73_2121);
    hasher.write(name.as_bytes());
    hasher.finish() % 1000 < u64::from(per_mille)
}

impl State {
    /// As agreed; none: it can't be read.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        match postcard::take_from_bytes(bytes) {
            Ok((state, [])) => Some(state),
            _ => None,
        }
    }

    /// To be agreed.
    pub fn spell(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// What the router of this name acts by. `narrower`: the guard by which it takes what both allow.
    pub fn reading(&self, name: &str, narrower: bool) -> Reading<'_> {
        let (current, holds) = (&self.current, self.current.head.number);
        let plain = |version: &'_ Version| Group::One(version.head.number);
        match &self.next {
            None => Reading { of: plain(current), rules: Cow::Borrowed(&current.rules) },
            Some(Next { version, way: Way::Apart }) if narrower => match current.rules.both(&version.rules) {
                Ok(both) => Reading { of: Group::Both(holds, version.head.number), rules: Cow::Owned(both) },
                // Never proposed so; what holds is no worse than what is to.
                Err(_) => Reading { of: plain(current), rules: Cow::Borrowed(&current.rules) },
            },
            Some(Next { way: Way::Trial(trial), .. }) if !tries(name, self.turn, trial.per_mille) => {
                Reading { of: plain(current), rules: Cow::Borrowed(&current.rules) }
            }
            Some(Next { version, .. }) => {
                Reading { of: plain(version), rules: Cow::Borrowed(&version.rules) }
            }
        }
    }

    /// Whether a router tries the version on its way.
    pub fn is_trying(&self, name: &str) -> bool {
        matches!(&self.next, Some(Next { way: Way::Trial(trial), .. }) if tries(name, self.turn, trial.per_mille))
    }

    /// Proposes a version that builds on the one of this number. `way`: as wished; none: apart where it must be.
    pub fn propose(
        &self,
        rules: Rules,
        (author, reason): (&str, &str),
        builds_on: u64,
        way: Option<Way>,
    ) -> Result<Self, Refused> {
        if let Some(next) = &self.next {
            return Err(Refused::OnItsWay(next.version.head.number));
        }
        let holds = self.current.head.number;
        if builds_on != holds {
            return Err(Refused::Overtaken { builds_on, holds });
        }
        let size = postcard::to_stdvec(&rules).map_or(usize::MAX, |bytes| bytes.len());
        if size > MOST_VERSION || reason.len() > MOST_REASON {
            return Err(Refused::Bound(size));
        }
        if rules == self.current.rules {
            return Err(Refused::Same);
        }
        let clash = self.current.rules.clashes(&rules).into_iter().next();
        let way = match (way, clash) {
            (Some(Way::Trial(_)), Some(clash)) => return Err(Refused::NoTrial(clash)),
            (Some(Way::AtOnce), Some(clash)) => return Err(Refused::MustBeApart(clash)),
            (Some(way), _) => way,
            (None, Some(_)) => Way::Apart,
            (None, None) => Way::AtOnce,
        };
        self.current.rules.both(&rules).map_err(Refused::NoReading)?;
        if self.current.rules.alone_serve
            && let Some(key) = self.current.rules.narrowed_by(&rules)
        {
            return Err(Refused::Alone(key));
        }
        let number = self.history.back().map_or(holds, |head| head.number.max(holds)) + 1;
        let head = Head {
            number,
            digest: rules.digest(),
            author: author.to_owned(),
            reason: reason.to_owned(),
            builds_on,
            returned: None,
        };
        let mut new = self.clone();
        new.turn += 1;
        new.history.push_back(head.clone());
        if new.history.len() > HISTORY {
            new.history.pop_front();
        }
        new.next = Some(Next { version: Version { head, rules }, way });
        Ok(new)
    }

    /// The version on its way holds everywhere.
    pub fn settled(&self) -> Self {
        let mut new = self.clone();
        if let Some(next) = new.next.take() {
            new.current = next.version;
            new.turn += 1;
        }
        new
    }

    /// The trial has gone well: all act on it.
    pub fn after_trial(&self) -> Self {
        let mut new = self.clone();
        if let Some(next) = &mut new.next {
            next.way = Way::AtOnce;
            new.turn += 1;
        }
        new
    }

    /// The version on trial is taken back; none: it is no trial, and others may act on it alone by now.
    pub fn returned(&self, why: &str) -> Option<Self> {
        let next = self.next.as_ref().filter(|next| matches!(next.way, Way::Trial(_)))?;
        let mut new = self.clone();
        if let Some(head) = new.history.iter_mut().find(|head| head.number == next.version.head.number) {
            head.returned = Some(why.chars().take(MOST_REASON).collect());
        }
        new.next = None;
        new.turn += 1;
        Some(new)
    }
}

impl Past {
    /// As agreed; empty where it can't be read: nobody acts on it.
    pub fn read(bytes: &[u8]) -> Self {
        postcard::from_bytes(bytes).unwrap_or_default()
    }

    /// To be agreed.
    pub fn spell(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// With this version kept as well, the oldest dropped; none: it is there already.
    pub fn with(&self, version: &Version) -> Option<Self> {
        if self.0.iter().any(|old| old.head.number == version.head.number) {
            return None;
        }
        let mut new = self.clone();
        new.0.push_back(version.clone());
        while new.0.len() > 1 && new.spell().len() > PAST {
            new.0.pop_front();
        }
        Some(new)
    }

    /// What the version of this number said.
    pub fn rules(&self, number: u64) -> Option<&Rules> {
        self.0.iter().find(|version| version.head.number == number).map(|version| &version.rules)
    }
}
