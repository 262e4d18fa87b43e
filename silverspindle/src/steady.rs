//! The steady clock that counts suspended time: what leases and the ages of confirmations go by.

use bitternhold::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Steady clocks run wrong by so many parts in a million at most: a bad crystal's tenfold.
pub(crate) const DRIFT_PPM: u64 = 1000;

/// Now, in microseconds. It never goes back, and goes on while the machine sleeps.
pub fn steady() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec as u64).saturating_mul(1_000_000) + (time.tv_nsec as u64) / 1000
}
