//! Estimates the error that this machine's wall clock had when the process started, from the time stamps of
//! copies.
//!
//! Ages of time stamps from other machines are computed on the process's own clock, which starts from the
//! wall clock. A wall clock that was behind makes copies look too young, one that was ahead makes purges look
//! too old. No copy can have a negative age, so the least age seen bounds the error from one side; ages are
//! then corrected to the safe side.

use bitternhold::Micros;

use crate::clock::Stamp;

/// Maximum lead of a time stamp over the own clock that is taken as a sign that the clock is behind, in
/// microseconds. Stamps further ahead are ignored: the operators' clocks are wrong by an hour at most.
const MAX_AHEAD: Micros = 2 * 3600 * 1_000_000;

/// What is known of the error of the own clock.
#[derive(Debug, Default)]
pub struct Skew {
    /// Largest amount by which a stamp was ahead of the own clock.
    max_ahead: Micros,
    /// Least age of a copy on the own clock; `None` before the first.
    min_age: Option<Micros>,
}

impl Skew {
    /// Records that a cache has answered with a copy that the origin issued at this time.
    pub fn record(&mut self, now: Micros, stamp: Stamp) {
        let ahead = stamp.on_own_clock().saturating_sub(now);
        if ahead <= MAX_AHEAD {
            self.max_ahead = self.max_ahead.max(ahead);
        }
        let age = stamp.age(now);
        self.min_age = Some(self.min_age.map_or(age, |lowest| lowest.min(age)));
    }

    /// The age of a copy, overestimated rather than underestimated.
    pub fn copy_age(&self, now: Micros, stamp: Stamp) -> Micros {
        stamp.age(now.saturating_add(self.max_ahead))
    }

    /// The latest time stamp that a copy issued by now can have.
    pub fn latest_stamp(&self, now: Micros) -> Stamp {
        Stamp::from_micros(now.saturating_add(self.max_ahead))
    }

    /// The age of a purge, underestimated rather than overestimated.
    pub fn purge_age(&self, now: Micros, at: Stamp) -> Micros {
        at.age(now).saturating_sub(self.min_age.unwrap_or(Micros::MAX))
    }
}
