//! How fresh a router's feed is, and by which reading it acts: asked at the moment of acting.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use silverspindle_agreement::Confirmation;

use crate::node::Settings;
use crate::{Fence, Micros};

/// Confirmations that wait until the host has applied what they name; what comes beyond is left out.
const MOST_WAITING: usize = 16;

/// By which reading a router acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Its feed over a parent is confirmed: what it has applied binds, and nothing else.
    Relay,
    /// It follows the coordinator itself, and that feed is confirmed: the same.
    Direct,
    /// Neither is: a copy may have been purged without its knowing, see [`Feed::max_copy_age`].
    Safe,
}

/// A feed at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Feed {
    /// Up to where the host has applied the log.
    pub applied: u64,
    /// How old the latest confirmation is; none: there was none.
    pub age: Option<Micros>,
    /// By which reading it may act.
    pub mode: Mode,
    /// On the safe reading, copies that are as old by the router's own clock, or older, are neither asked for nor served.
    /// None: no copy is too old.
    pub max_copy_age: Option<Micros>,
}

/// The guard that whoever acts asks, at the moment of acting; clones look at the same confirmations.
#[derive(Clone, Debug)]
pub struct FeedGuard {
    relay: Fence,
    direct: Fence,
    applied: Rc<Cell<u64>>,
    max_copy_age: Micros,
}

impl FeedGuard {
    pub(crate) fn new(settings: &Settings) -> Self {
        let fence = |lease| Fence::new(lease, settings.drift_ppm, settings.guards.fence);
        let (relay, direct) = (fence(settings.lease), fence(settings.direct_lease));
        // Shrunk, so that whoever asks need not think of the drift.
        let slack = direct.stretched(settings.direct_lease) - settings.direct_lease;
        let max_copy_age = settings.direct_lease.saturating_sub(slack);
        Self { relay, direct, applied: Rc::default(), max_copy_age }
    }

    /// The feed now, by the router's own steady clock.
    pub fn read(&self, now: Micros) -> Feed {
        let (relay, direct) = (self.relay.may_act(now), self.direct.may_act(now));
        let mode = match (relay, direct) {
            (Some(_), _) => Mode::Relay,
            (None, Some(_)) => Mode::Direct,
            (None, None) => Mode::Safe,
        };
        let ages = [self.relay.age(now), self.direct.age(now)];
        Feed {
            applied: self.applied.get(),
            age: ages.into_iter().flatten().min(),
            mode,
            max_copy_age: (mode == Mode::Safe).then_some(self.max_copy_age),
        }
    }

    /// The fence of the feed over a parent; a source's own.
    pub(crate) fn relay(&self) -> &Fence {
        &self.relay
    }
}

/// Where a confirmation is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A parent's answer, or what the coordinator told a source.
    Relay,
    /// What the coordinator told a router that follows it.
    Direct,
}

/// Confirmations on their way into the fences: one counts only once the host has applied what it names.
#[derive(Clone, Debug)]
pub(crate) struct Confirmations {
    guard: FeedGuard,
    applied: u64,
    waiting: VecDeque<(Origin, Confirmation)>,
}

impl Confirmations {
    pub fn new(guard: FeedGuard, applied: u64) -> Self {
        let mut all = Self { guard, applied, waiting: VecDeque::new() };
        all.applied(applied);
        all
    }

    pub fn guard(&self) -> &FeedGuard {
        &self.guard
    }

    /// Takes one in.
    pub fn add(&mut self, origin: Origin, confirmation: Confirmation) {
        if confirmation.number <= self.applied {
            self.confirm(origin, confirmation);
        } else if self.waiting.len() < MOST_WAITING {
            self.waiting.push_back((origin, confirmation));
        }
    }

    /// The host has applied the log up to this number.
    pub fn applied(&mut self, number: u64) {
        self.applied = number;
        self.guard.applied.set(number);
        self.guard.relay.applied(number, 0);
        self.guard.direct.applied(number, 0);
        let (ready, waiting): (VecDeque<_>, VecDeque<_>) =
            self.waiting.drain(..).partition(|(_, confirmation)| confirmation.number <= number);
        self.waiting = waiting;
        ready.into_iter().for_each(|(origin, confirmation)| self.confirm(origin, confirmation));
    }

    fn confirm(&self, origin: Origin, confirmation: Confirmation) {
        match origin {
            Origin::Relay => self.guard.relay.confirm(confirmation),
            Origin::Direct => self.guard.direct.confirm(confirmation),
        }
    }
}
