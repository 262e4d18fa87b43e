//! One simulated process: a real node, its host, and what came while it stood still.

use std::collections::VecDeque;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use silverspindle_relay::{FeedGuard, Micros, Node, Record, Reset};

use super::host::Host;
use super::network::{ConnectionId, End, Message};
use super::{MOST_DRIFT, SECOND};

/// What the node told its host to apply.
pub(super) enum Work {
    Records(Vec<Record>),
    Reset(Reset),
}

/// What came to a process.
pub(super) enum Input {
    Message(ConnectionId, End, Message),
    /// What its host was to apply first is applied.
    Applied,
}

#[derive(Default)]
pub(super) struct Process {
    pub node: Option<Node>,
    /// What whoever serves looks at.
    pub guard: Option<FeedGuard>,
    pub life: u64,
    pub host: Host,
    /// Parts in a million that its clock runs fast.
    drift: i64,
    start: Micros,
    /// Faults that hold it down, and that make it stand still.
    pub down: u32,
    pub still: u32,
    /// What came while it stood still.
    pub backlog: VecDeque<Input>,
    /// The true time of its next tick.
    pub due: Micros,
    pub work: VecDeque<Work>,
    /// When its host has applied all that it was told to.
    pub busy_until: Micros,
    /// Its connection to its parent.
    pub parent: Option<ConnectionId>,
    /// A router's node wants the coordinator followed.
    pub follows: bool,
    /// Its connection to the coordinator, and when that said something last.
    pub feed: Option<(ConnectionId, Micros)>,
}

impl Process {
    pub fn new(rng: &mut Pcg64Mcg) -> Self {
        Self {
            drift: rng.random_range(-MOST_DRIFT..=MOST_DRIFT),
            start: rng.random_range(0..1000 * SECOND),
            ..Self::default()
        }
    }

    /// A time by its own steady clock.
    pub fn local(&self, now: Micros) -> Micros {
        self.start + self.lasts(now)
    }

    /// A span of time by its own steady clock.
    pub fn lasts(&self, time: Micros) -> Micros {
        (i128::from(time) + i128::from(time) * i128::from(self.drift) / 1_000_000) as Micros
    }

    /// A time of its own clock on the true one, not before now.
    pub fn of_local(&self, local: Micros, now: Micros) -> Micros {
        let since = i128::from(local.saturating_sub(self.start)) * 1_000_000;
        let at = since / (1_000_000 + i128::from(self.drift));
        Micros::try_from(at).unwrap_or(Micros::MAX).saturating_add(1).max(now + 1)
    }

    /// The process is gone with all that it held; the clock stays.
    pub fn die(&mut self) {
        let Self { drift, start, life, down, still, .. } = *self;
        *self = Self { drift, start, life, down, still, ..Self::default() };
    }
}
