//! Facts: what was seen, by whom, how long ago, on how much.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::{Micros, SECOND, mix};

/// Ids that a generation of a filter holds at most; the decision module's own bound.
pub const GENERATION: usize = 4096;
/// Older than this nothing is taken over.
pub const OLDEST: Micros = 3600 * SECOND;
/// Further than this no fact is passed on.
pub const MOST_HOPS: u8 = 8;
/// A member is set aside for no longer.
const LONGEST_ASIDE: Micros = 60 * SECOND;
/// A limit of what may be out; far above any.
const HIGHEST_LIMIT: f32 = 1e6;

/// A router, whatever its incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

impl InstanceId {
    /// The instance of this name.
    pub fn of(name: &str) -> Self {
        let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
        Self(mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, fold)))
    }
}

/// Who saw something: an instance in one of its lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The instance.
    pub instance: InstanceId,
    /// When it started, by its own Unix clock; a later life has a higher number.
    pub incarnation: Micros,
}

/// State of a member in a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// What a fact is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A member, by its id.
    Member(u64, Aspect),
    /// Objects asked for lately.
    Filter,
    /// What warm members take.
    Rates,
    /// Limits of fills.
    Fills,
}

/// What of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Aspect {
    /// Its entry in the list.
    Listed,
    /// Faults and stalls.
    Health,
    /// Its concurrency limit.
    Pace,
}

/// Sorted object ids, eight bytes each on the way.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ids(Vec<u64>);

impl Ids {
    /// Sorts ids.
    pub fn new(mut ids: Vec<u64>) -> Self {
        ids.sort_unstable();
        ids.dedup();
        Self(ids)
    }

    /// In order.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.0.iter().copied()
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Ids {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let bytes: Vec<u8> = self.0.iter().flat_map(|id| id.to_le_bytes()).collect();
        s.serialize_bytes(&bytes)
    }
}

impl<'de> Deserialize<'de> for Ids {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Bytes;
        impl serde::de::Visitor<'_> for Bytes {
            type Value = Ids;

            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("ids of eight bytes each")
            }

            fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<Ids, E> {
                let (ids, rest) = bytes.as_chunks();
                if !rest.is_empty() || ids.len() > GENERATION {
                    return Err(E::custom("no whole ids, or too many"));
                }
                Ok(Ids::new(ids.iter().map(|id| u64::from_le_bytes(*id)).collect()))
            }
        }
        d.deserialize_bytes(Bytes)
    }
}

/// What was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The coordinator's list, as it was when the source last heard of the coordinator.
    Listed {
        /// The member's state.
        lifecycle: Lifecycle,
        /// When its process started, in Unix microseconds by the coordinator; 0: long ago.
        started: Micros,
    },
    /// What a member's answers came to.
    Health {
        /// The process that this was seen of.
        started: Micros,
        /// Running share of faults, 0 to 1.
        ill: f32,
        /// Set aside for so long, from when it was seen.
        aside: Micros,
    },
    /// How much a member bears.
    Pace {
        /// The process that this was seen of.
        started: Micros,
        /// Attempts that may be out to it.
        limit: f32,
        /// Running share of late answers, 0 to 1.
        lateness: f32,
    },
    /// Sending time a second that a warm cache, a warm parent takes from one router.
    Rates([f32; 2]),
    /// Of all fills, and of those that may go on to the origin: how many may be out, and the running share of
    /// late ones, 0 to 1.
    Fills {
        /// The limits.
        limits: [f32; 2],
        /// The shares.
        lateness: [f32; 2],
    },
    /// The two generations of the filter.
    Filter {
        /// Seen lately.
        active: Ids,
        /// Seen a while ago.
        passive: Ids,
    },
}

impl Value {
    fn rank(&self) -> u8 {
        match self {
            Value::Listed { .. } => 0,
            Value::Health { .. } => 1,
            Value::Pace { .. } => 2,
            Value::Rates(_) => 3,
            Value::Filter { .. } => 4,
            Value::Fills { .. } => 5,
        }
    }

    /// Some total order, so that of two claims under one version all routers keep the same.
    pub(crate) fn order(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Value::Listed { lifecycle: a, started: s }, Value::Listed { lifecycle: b, started: t }) => {
                (s, a).cmp(&(t, b))
            }
            (
                Value::Health { started: s, ill: a, aside: m },
                Value::Health { started: t, ill: b, aside: n },
            ) => (s, m).cmp(&(t, n)).then(a.total_cmp(b)),
            (
                Value::Pace { started: s, limit: a, lateness: m },
                Value::Pace { started: t, limit: b, lateness: n },
            ) => s.cmp(t).then(a.total_cmp(b)).then(m.total_cmp(n)),
            (Value::Rates([a, m]), Value::Rates([b, n])) => a.total_cmp(b).then(m.total_cmp(n)),
            (Value::Fills { limits: a, lateness: m }, Value::Fills { limits: b, lateness: n }) => {
                let pairs = a.iter().zip(b).chain(m.iter().zip(n));
                pairs.map(|(x, y)| x.total_cmp(y)).find(|o| o.is_ne()).unwrap_or(Ordering::Equal)
            }
            (Value::Filter { active: a, passive: m }, Value::Filter { active: b, passive: n }) => {
                (a, m).cmp(&(b, n))
            }
            _ => self.rank().cmp(&other.rank()),
        }
    }
}

/// A fact on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// What it is about.
    pub subject: Subject,
    /// Who saw it.
    pub source: Source,
    /// Counts up with what the source saw of this subject.
    pub seq: u64,
    /// Time since it was seen; grows on the way.
    pub age: Micros,
    /// How long the source had been up then.
    pub up: Micros,
    /// Observations behind it.
    pub observations: u32,
    /// Times that it was passed on.
    pub hops: u8,
    /// What was seen.
    pub value: Value,
}

/// Why a record is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Its value is not one of its subject.
    Mismatch,
    /// A figure is out of its range, or no number.
    Range,
}

impl Record {
    /// Whether its figures can be what a router saw. What is merely old is good, and left out later.
    pub fn check(&self) -> Result<(), Refused> {
        let share = |x: f32| (0.0..=1.0).contains(&x);
        let fits = match (&self.value, self.subject) {
            (Value::Listed { .. }, Subject::Member(_, Aspect::Listed)) => true,
            (Value::Health { ill, aside, .. }, Subject::Member(_, Aspect::Health)) => {
                return if share(*ill) && *aside <= LONGEST_ASIDE { Ok(()) } else { Err(Refused::Range) };
            }
            (Value::Pace { limit, lateness, .. }, Subject::Member(_, Aspect::Pace)) => {
                let good = *limit > 0.0 && *limit <= HIGHEST_LIMIT && share(*lateness);
                return if good { Ok(()) } else { Err(Refused::Range) };
            }
            (Value::Fills { limits, lateness }, Subject::Fills) => {
                let good = limits.iter().all(|l| *l > 0.0 && *l <= HIGHEST_LIMIT);
                let good = good && lateness.iter().all(|l| share(*l));
                return if good { Ok(()) } else { Err(Refused::Range) };
            }
            (Value::Rates(rates), Subject::Rates) => {
                let good = rates.iter().all(|r| (0.0..=HIGHEST_LIMIT).contains(r));
                return if good { Ok(()) } else { Err(Refused::Range) };
            }
            (Value::Filter { active, passive }, Subject::Filter) => {
                let good = active.len() <= GENERATION && passive.len() <= GENERATION;
                return if good { Ok(()) } else { Err(Refused::Range) };
            }
            _ => false,
        };
        if fits { Ok(()) } else { Err(Refused::Mismatch) }
    }
}

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Purged {
    /// An object.
    Object(u64),
    /// All objects of a group.
    Group(u64),
    /// Everything: what more purges came to than can be remembered one by one.
    All,
}

/// What goes from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// A fact.
    Fact(Record),
    /// A purge, with its time in Unix microseconds as the coordinator gave it: a name for it, not an age.
    Purge(Purged, Micros),
}
