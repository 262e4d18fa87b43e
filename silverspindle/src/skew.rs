//! Estimates the error that this machine's wall clock had when the process started, from the time stamps of
//! copies.
//!
//! Ages of time stamps from other machines are computed on the process's own clock, which starts from the
//! wall clock. A wall clock that was behind makes copies look too young, one that was ahead makes purges look
//! too old. No copy can have a negative age, so the least age seen bounds the error from one side; ages are
//! then corrected to the safe side.

use bitternhold::Micros;

use crate::clock::Stamp;

/// Maximum error that a time stamp is taken as evidence for, in microseconds. Stamps further ahead are
/// ignored: the operators' clocks are wrong by an hour at most.
const MOST_BEHIND: Micros = 2 * 3600 * 1_000_000;

/// Bounds on the error of the own clock.
#[derive(Debug, Default)]
pub struct Skew {
    /// Largest amount by which a stamp was ahead of the own clock.
    behind: Micros,
    /// Least age of a copy on the own clock; `None` before the first.
    least_age: Option<Micros>,
}

impl Skew {
    /// Records that a cache has answered with a copy that the origin issued at this time.
    pub fn note(&mut self, now: Micros, stamp: Stamp) {
        let ahead = stamp.on_own_clock().saturating_sub(now);
        if ahead <= MOST_BEHIND {
            self.behind = self.behind.max(ahead);
        }
        let age = stamp.age(now);
        self.least_age = Some(self.least_age.map_or(age, |least| least.min(age)));
    }

    /// The age of a copy, overestimated rather than underestimated.
    pub fn copy_age(&self, now: Micros, stamp: Stamp) -> Micros {
        stamp.age(now.saturating_add(self.behind))
    }

    /// The age of a purge, underestimated rather than overestimated.
    pub fn purge_age(&self, now: Micros, at: Stamp) -> Micros {
        at.age(now).saturating_sub(self.least_age.unwrap_or(Micros::MAX))
    }
}
