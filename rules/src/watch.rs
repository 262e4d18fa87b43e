//! The leader's next step with versions and shares, from the agreed texts and what the routers tell.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::share::{Demand, Shares, share_out};
use crate::state::{State, Way};

/// A router's word, as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Which life of it speaks.
    pub life: u64,
    /// The latest decision that it acts on.
    pub number: u64,
    /// Why it can't carry the version on its way, with the key.
    pub cannot: Option<String>,
    /// What it asks for of limited sources.
    pub demand: Demand,
    /// Its answers in this life: all, and those served in the wanted time.
    pub served: [u64; 2],
}

impl Told {
    /// As told; none: it can't be read.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        match postcard::take_from_bytes(bytes) {
            Ok((told, [])) => Some(told),
            _ => None,
        }
    }

    /// To be told.
    pub fn spell(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// Guards that the simulator can take out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A version that comes apart holds only once nobody can act on the one before alone.
    pub apart: bool,
    /// Until another sharing holds, routers take the lesser share.
    pub shares: bool,
    /// On its way apart, routers take what both versions allow.
    pub narrower: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self { apart: true, shares: true, narrower: true }
    }
}

/// All that the leader sees.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sight {
    /// Routers on the roll in their latest life; none: nothing fresh is heard of it.
    pub routers: BTreeMap<String, Option<Told>>,
    /// Routers of which an earlier life may act besides.
    pub beside: BTreeSet<String>,
    /// The latest decision that struck a router off the roll, or put a life in another's place; 0: none.
    pub struck: u64,
}

/// Of a router's answers, all and in time: as they were heard of first, and last.
type FirstAndLast = [[u64; 2]; 2];

/// What a leader remembers of its own watch. A later leader begins anew, which only makes it wait longer.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    /// Turn, the decision that it is of, and since when this leader knows it.
    state: Option<(u64, u64, Micros)>,
    shares: Option<(u64, u64, Micros)>,
    struck: (u64, Micros),
    /// The last sharing out.
    shared: Micros,
    /// Answers of each router's life, as this leader heard of them first in the trial of this turn, and last.
    trial: (u64, BTreeMap<(String, u64), FirstAndLast>),
}

/// What a step is, or what is waited for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// A version holds everywhere.
    Holds(u64),
    /// A trial went well.
    Tried(u64),
    /// A trial is taken back: the share in time of those that try, and of the others, in thousandths.
    Returned(u64, [u64; 2]),
    /// Shares are on their way, or hold.
    Shares,
    /// These may still act on the version before.
    Held(u64, Vec<String>),
    /// A router can't carry a version.
    Cannot(String, String),
}

/// A change of one of the two texts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Of the versions.
    State(Box<State>),
    /// Of the shares.
    Shares(Shares),
}

/// Shares are looked at so often, more rarely with each hundred routers.
const SHARE_EVERY: Micros = 3_000_000;
/// Where a router has none yet, so often.
const NEW_EVERY: Micros = 500_000;
/// A trial that can't be judged after so many of its times is taken back.
const TOO_LONG: Micros = 4;
/// Answers of each side that a trial's verdict wants.
const ENOUGH: u64 = 50;

impl Watch {
    /// The next step, if there is one, and why; else what is waited for. `at`: the decisions that the texts are of;
    /// `over`: the stated time, stretched by the clocks' drift.
    pub fn next(
        &mut self,
        now: Micros,
        at: [u64; 2],
        (state, shares): (&State, &Shares),
        sight: &Sight,
        over: Micros,
        guards: Guards,
    ) -> (Option<Step>, Vec<Why>) {
        if self.struck.0 != sight.struck {
            self.struck = (sight.struck, now);
        }
        let since = |known: &mut Option<(u64, u64, Micros)>, turn: u64, at: u64| {
            if known.is_none_or(|(of, ..)| of != turn) {
                *known = Some((turn, at, now));
            }
            known.map_or((at, now), |(_, at, since)| (at, since))
        };
        let (said, known) = since(&mut self.state, state.turn, at[0]);
        let mut why = Vec::new();
        if let Some(next) = &state.next {
            let number = next.version.head.number;
            let cannot = sight.routers.iter().find_map(|(name, told)| {
                let reason = told.as_ref().filter(|told| told.number >= said)?.cannot.clone()?;
                Some((name.clone(), reason))
            });
            if let Way::Trial(trial) = next.way {
                let (all, verdict) = self.trial(state, sight, trial.margin);
                if let Some(shares) = verdict {
                    let text = format!("in time {} of 1000, the others {}", shares[0], shares[1]);
                    let back = state.returned(&text).map(|state| Step::State(Box::new(state)));
                    return (back, vec![Why::Returned(number, shares)]);
                }
                if now >= known.saturating_add(trial.lasts) && all {
                    return (Some(Step::State(Box::new(state.after_trial()))), vec![Why::Tried(number)]);
                }
                if now >= known.saturating_add(TOO_LONG * trial.lasts) {
                    let back = state.returned("too few answers to compare by");
                    let back = back.map(|state| Step::State(Box::new(state)));
                    return (back, vec![Why::Returned(number, [0, 0])]);
                }
            } else if let Some((name, reason)) = cannot {
                why.push(Why::Cannot(name, reason));
            } else {
                let alone = state.current.rules.alone_serve;
                let holding = self.holding(now, (said, known), sight, over, alone);
                if holding.is_empty() || (next.way == Way::Apart && !guards.apart) {
                    return (Some(Step::State(Box::new(state.settled()))), vec![Why::Holds(number)]);
                }
                why.push(Why::Held(number, holding));
            }
        }
        let (said, known) = since(&mut self.shares, shares.turn, at[1]);
        if shares.next.is_some() {
            let holding = self.holding(now, (said, known), sight, over, false);
            if holding.is_empty() || !guards.shares {
                return (Some(Step::Shares(shares.settled())), vec![Why::Shares]);
            }
        } else {
            // Who is not heard asks for nothing that could be given: its share ends with its confirmation. Where nothing
            // is limited nobody asks, and all have the same: a limit that comes finds them shared out.
            let heard =
                sight.routers.iter().filter_map(|(name, told)| Some((name.clone(), told.as_ref()?.demand)));
            let demands: BTreeMap<String, Demand> = heard.collect();
            let new = demands.keys().any(|name| !shares.current.contains_key(name));
            // Each change carries all shares to all: the more routers, the rarer.
            let every = SHARE_EVERY * (1 + demands.len() as Micros / 100);
            if now >= self.shared.saturating_add(if new { NEW_EVERY } else { every }) {
                self.shared = now;
                if let Some(next) = shares.propose(share_out(&demands)).filter(|_| !demands.is_empty()) {
                    return (Some(Step::Shares(next)), if why.is_empty() { vec![Why::Shares] } else { why });
                }
            }
        }
        (None, why)
    }

    /// Who may still act on what was before. By time nobody, as without a fresh confirmation nobody acts; where routers
    /// serve on alone only their own word counts.
    fn holding(
        &self,
        now: Micros,
        (said, known): (u64, Micros),
        sight: &Sight,
        over: Micros,
        alone: bool,
    ) -> Vec<String> {
        if !alone && now >= known.saturating_add(over) {
            return Vec::new();
        }
        let holds = |(name, told): (&String, &Option<Told>)| {
            let heard = told.as_ref().is_some_and(|told| told.number >= said);
            (!heard || sight.beside.contains(name)).then(|| name.clone())
        };
        let struck = self.struck.0 > 0 && now < self.struck.1.saturating_add(over);
        let struck = (struck && !alone).then(|| "a router struck off or followed".to_owned());
        sight.routers.iter().filter_map(holds).chain(struck).collect()
    }

    /// Whether enough is known of a trial, and the shares in time where it is worse than the others by the margin.
    fn trial(&mut self, state: &State, sight: &Sight, margin: u32) -> (bool, Option<[u64; 2]>) {
        if self.trial.0 != state.turn {
            self.trial = (state.turn, BTreeMap::new());
        }
        for (name, told) in &sight.routers {
            let Some(told) = told else { continue };
            let seen = self.trial.1.entry((name.clone(), told.life)).or_insert([told.served; 2]);
            seen[1] = told.served;
        }
        let mut sums = [[0; 2]; 2];
        for ((name, _), [first, last]) in &self.trial.1 {
            let sum = &mut sums[usize::from(state.is_trying(name))];
            (0..2).for_each(|i| sum[i] += last[i].saturating_sub(first[i]));
        }
        let [others, tried] = sums;
        let enough = tried[0] >= ENOUGH && others[0] >= ENOUGH;
        let share = |[all, good]: [u64; 2]| good * 1000 / all.max(1);
        let (tried, others) = (share(tried), share(others));
        let worse = enough && tried + u64::from(margin) < others;
        // Where nobody tries it, or all do, there is nobody to compare with: the time alone ends it.
        let sides = sight.routers.keys().map(|name| state.is_trying(name)).collect::<BTreeSet<_>>();
        (enough || sides.len() < 2, worse.then_some([tried, others]))
    }
}
