//! The one clock: the system's Unix clock, in microseconds, as the module and the rules count.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use bitternhold::Micros;

/// Microseconds since the Unix epoch.
pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as Micros)
}

/// Comes up at a time of this clock; at once if that is past.
pub fn at(time: Micros) -> Timer {
    Timer::after(Duration::from_micros(time.saturating_sub(now())))
}
