//! The two clocks, which can't be mixed.
//!
//! [`now`] is this process's own clock, in microseconds: deadlines, windows, waits, graces and ages are spans on it. It
//! begins with the wall clock's time at the first look and then runs with the machine's monotonic clock alone: whoever
//! steps the wall clock, by seconds or by an hour, changes nothing here.
//!
//! A [`Stamp`] is a time by a wall clock, another machine's or this one's: what the coordinator, the caches and files that
//! outlive the process hold. The one way from it to the own clock is [`Stamp::on_own_clock`], which is as right as this
//! machine's wall clock was when the process began.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use bitternhold::Micros;

/// The own clock's beginning: the monotonic clock and the wall clock at one moment.
static BEGINNING: OnceLock<(Instant, Micros)> = OnceLock::new();

/// Now, by the own clock, in microseconds. It never steps.
pub fn now() -> Micros {
    let (began, unix) = BEGINNING.get_or_init(|| (Instant::now(), Stamp::now().0));
    unix.saturating_add(began.elapsed().as_micros() as Micros)
}

/// Comes up at a time of the own clock; at once if that is past.
pub fn at(time: Micros) -> Timer {
    Timer::after(Duration::from_micros(time.saturating_sub(now())))
}

/// Where an actor's time comes from: the process's own clock, or, in a test, what the test says.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    given: Option<Rc<Cell<Micros>>>,
}

impl Clock {
    /// A clock that shows what the cell holds.
    pub fn given(time: Rc<Cell<Micros>>) -> Self {
        Self { given: Some(time) }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.given.as_ref().map_or_else(now, |time| time.get())
    }
}

/// A time by a wall clock, in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp(Micros);

impl Stamp {
    /// This machine's wall clock now: for what other machines or later processes read, and for log lines.
    pub fn now() -> Self {
        Self(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as Micros))
    }

    /// From microseconds since the Unix epoch.
    pub fn from_micros(unix: u64) -> Self {
        Self(unix)
    }

    /// From milliseconds since the Unix epoch.
    pub fn from_millis(unix: u64) -> Self {
        Self(unix.saturating_mul(1000))
    }

    /// Microseconds since the Unix epoch.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Where it lies on the own clock.
    pub fn on_own_clock(self) -> Micros {
        self.0
    }

    /// How old it is at a time of the own clock; one from the future is of that moment.
    pub fn age(self, now: Micros) -> Micros {
        now.saturating_sub(self.on_own_clock())
    }
}
