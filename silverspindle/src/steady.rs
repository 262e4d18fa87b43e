//! The monotonic clock that includes suspended time (`CLOCK_BOOTTIME`). Leases and the ages of confirmations
//! use it.

use bitternhold::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Assumed maximum drift of a monotonic clock, in parts per million: ten times that of a bad crystal
/// oscillator.
pub(crate) const MAX_CLOCK_DRIFT_PPM: u64 = 1000;

/// Returns the current time in microseconds. It never goes backwards and advances while the machine is
/// suspended.
pub fn steady_now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec as u64).saturating_mul(1_000_000) + (time.tv_nsec as u64) / 1000
}
