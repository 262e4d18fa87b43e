//! How wrong this machine's wall clock was when the process began, as far as copies tell.
//!
//! Ages of what other machines stamp are counted on the own clock, which begins with the wall clock's time. A clock that was behind
//! makes copies look too young, one that was ahead makes purges look long past. No copy is younger than its stamp: the least
//! age that was seen bounds the fault from one side, and each age is then taken for what is safe.

use bitternhold::Micros;

use crate::clock::Stamp;

/// A stamp that lies further ahead is no word on the clock: the operators' clocks are wrong by an hour at most.
const MOST_BEHIND: Micros = 2 * 3600 * 1_000_000;

/// What is known of the own clock's fault.
#[derive(Debug, Default)]
pub struct Skew {
    /// By how much stamps were seen to lie ahead of the own clock.
    behind: Micros,
    /// The least age that a copy was seen to have by the own clock; none before the first.
    least_age: Option<Micros>,
}

impl Skew {
    /// A cache has answered with a copy that the origin gave out then.
    pub fn note(&mut self, now: Micros, stamp: Stamp) {
        let ahead = stamp.on_own_clock().saturating_sub(now);
        if ahead <= MOST_BEHIND {
            self.behind = self.behind.max(ahead);
        }
        let age = stamp.age(now);
        self.least_age = Some(self.least_age.map_or(age, |least| least.min(age)));
    }

    /// The age of a copy, rather too old.
    pub fn copy_age(&self, now: Micros, stamp: Stamp) -> Micros {
        stamp.age(now.saturating_add(self.behind))
    }

    /// The age of a purge, rather too young.
    pub fn purge_age(&self, now: Micros, at: Stamp) -> Micros {
        at.age(now).saturating_sub(self.least_age.unwrap_or(Micros::MAX))
    }
}
