//! How fresh a router's word of the log is: the guard at the moment of acting.
//!
//! Guards against acting on an overtaken decision. Harm it may do: with a time shorter than the way to a quorum and
//! back takes, nobody may act although all is well.

use std::cell::Cell;
use std::rc::Rc;

use crate::Micros;

/// "At `asked`, by this router's own steady clock, `number` was the latest decision": what a quorum has said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// The latest decision at that time, applied here.
    pub number: u64,
    /// Since when it is known; nobody needs to have compared clocks.
    pub asked: Micros,
}

#[derive(Debug, Default)]
struct Shared {
    latest: Cell<Option<Confirmation>>,
    /// What was applied last, at or after the confirmed number.
    applied: Cell<(u64, u64)>,
    /// The router's outcomes are not the others': it acts on nothing agreed any more.
    stopped: Cell<bool>,
}

/// The guard that whoever acts asks; clones look at the same confirmation.
#[derive(Clone, Debug)]
pub struct Fence {
    shared: Rc<Shared>,
    lease: Micros,
    drift_ppm: u64,
    on: bool,
}

impl Fence {
    /// For a stated time, and clocks that may run wrong by so many parts in a million.
    pub fn new(lease: Micros, drift_ppm: u64, on: bool) -> Self {
        Self { shared: Rc::default(), lease, drift_ppm, on }
    }

    /// A time on this router's clock, as long as it may be on a true one, rounded up.
    pub fn stretched(&self, time: Micros) -> Micros {
        time.saturating_add(time.saturating_mul(self.drift_ppm).div_ceil(1_000_000))
    }

    /// The number and digest that may be acted on now, and the confirmation's age; none where it has run out.
    pub fn may_act(&self, now: Micros) -> Option<(u64, u64, Micros)> {
        let latest = self.shared.latest.get().filter(|_| !self.shared.stopped.get())?;
        let age = self.stretched(now.saturating_sub(latest.asked));
        let (number, digest) = self.shared.applied.get();
        (age < self.lease || !self.on).then_some((number, digest, age))
    }

    /// The age of the latest confirmation.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.shared.latest.get().map(|c| self.stretched(now.saturating_sub(c.asked)))
    }

    /// The latest confirmation.
    pub fn latest(&self) -> Option<Confirmation> {
        self.shared.latest.get()
    }

    /// Whether it has been stopped for good.
    pub fn is_stopped(&self) -> bool {
        self.shared.stopped.get()
    }

    /// What was applied last, and the digest of all up to it.
    pub fn applied(&self, number: u64, digest: u64) {
        self.shared.applied.set((number, digest));
    }

    /// A later asking counts; an older one that came late does not.
    pub fn confirm(&self, confirmation: Confirmation) {
        if self.shared.latest.get().is_none_or(|c| c.asked < confirmation.asked) {
            self.shared.latest.set(Some(confirmation));
        }
    }

    /// Nothing is acted on from now on.
    pub fn stop(&self) {
        self.shared.stopped.set(true);
    }
}
