//! The process clock and wall-clock timestamps, kept apart by their types.
//!
//! [`now`] reads the process clock in microseconds; deadlines, windows, waits, grace periods and ages are measured on
//! it. It starts at the wall-clock time of its first reading and from then on follows the machine's monotonic clock
//! only, so a step of the wall clock, by seconds or by an hour, does not affect it.
//!
//! A [`Stamp`] is a wall-clock time of this or another machine, as carried by the coordinator, the caches and files
//! that outlive the process. [`Stamp::on_own_clock`] is the only conversion to the process clock; it is as accurate
//! as this machine's wall clock was when the process started.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use bitternhold::Micros;

/// Start of the process clock: the monotonic clock and the wall clock (Unix microseconds) read at the same moment.
static CLOCK_START: OnceLock<(Instant, Micros)> = OnceLock::new();

/// The current time on the process clock, in microseconds. It never steps.
pub fn now() -> Micros {
    let (start, unix) = CLOCK_START.get_or_init(|| (Instant::now(), Stamp::now().0));
    unix.saturating_add(start.elapsed().as_micros() as Micros)
}

/// A timer that fires at a time of the process clock, or at once if that time is past.
pub fn timer_at(time: Micros) -> Timer {
    Timer::after(Duration::from_micros(time.saturating_sub(now())))
}

/// Time source of an actor: the process clock, or a value that a test sets.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    manual: Option<Rc<Cell<Micros>>>,
}

impl Clock {
    /// A clock for tests that returns the value in the cell.
    pub fn manual(time: Rc<Cell<Micros>>) -> Self {
        Self { manual: Some(time) }
    }

    /// The current time of this clock, in microseconds.
    pub fn now(&self) -> Micros {
        self.manual.as_ref().map_or_else(now, |time| time.get())
    }
}

/// A wall-clock time in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp(Micros);

impl Stamp {
    /// The current time of this machine's wall clock. Only for data that other machines or later processes read, and
    /// for log lines.
    pub fn now() -> Self {
        Self(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as Micros))
    }

    /// A timestamp from microseconds since the Unix epoch.
    pub fn from_micros(unix: u64) -> Self {
        Self(unix)
    }

    /// A timestamp from milliseconds since the Unix epoch.
    pub fn from_millis(unix: u64) -> Self {
        Self(unix.saturating_mul(1000))
    }

    /// Microseconds since the Unix epoch.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// The same time on the process clock.
    pub fn on_own_clock(self) -> Micros {
        self.0
    }

    /// Age of the timestamp at a time of the process clock; 0 for a timestamp in the future.
    pub fn age(self, now: Micros) -> Micros {
        now.saturating_sub(self.on_own_clock())
    }
}
