//! Notices when the event loop of this thread did not run for a while, because the process was stopped, got no processor
//! time or was busy.
//!
//! What arrives during such a delay is read only after it, all at once and in no particular order. Code that needs to know
//! when something arrived asks [`earliest_arrival`]; code that acts on the latest state waits until that is known
//! ([`caught_up`]).

use std::cell::Cell;
use std::thread::LocalKey;
use std::time::Duration;

use async_io::Timer;
use bitternhold::Micros;
use futures_lite::future;

use crate::clock;

/// Interval at which the monitor's task runs.
const TURN_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two turns, in microseconds, from which on the loop counts as delayed.
pub const MAX_TURN_GAP: Micros = 100_000;
/// Time until the next turn after a delay: the sockets are polled in between.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time after a delay for which anything waits until the loop has caught up, in microseconds: a client that sends
/// on and on must not hold up the others.
const MAX_CATCH_UP: Micros = 100_000;

thread_local! {
    /// When the monitor's task last ran; none where it does not run on this thread.
    static LAST_TURN: Cell<Option<Micros>> = const { Cell::new(None) };
    /// Start of the last delay, until the loop has read what arrived during it.
    static DELAYED_SINCE: Cell<Option<Micros>> = const { Cell::new(None) };
    /// When the loop counts as caught up even if there are backlogs.
    static CAUGHT_UP_BY: Cell<Micros> = const { Cell::new(0) };
    /// Number of readers whose streams may hold what arrived during a delay.
    static UNREAD: Cell<usize> = const { Cell::new(0) };
    /// Number of actors that have not handled yet what was read since a delay.
    static UNHANDLED: Cell<usize> = const { Cell::new(0) };
}

/// What arrived during a delay and is not read or not handled yet; dropped once it is.
#[derive(Debug)]
pub struct Backlog(&'static LocalKey<Cell<usize>>);

impl Backlog {
    fn new(count: &'static LocalKey<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }

    /// A reader's backlog, if the loop was delayed and the streams have not been polled since.
    pub fn of_reader() -> Option<Self> {
        is_delayed().then(|| Self::new(&UNREAD))
    }

    /// The backlog of an actor that handles what readers pass on, while any of it may be unread.
    pub fn of_handler() -> Option<Self> {
        has_unread().then(|| Self::new(&UNHANDLED))
    }
}

impl Drop for Backlog {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Resets the thread's state when the monitor's task ends.
struct Reset;

impl Drop for Reset {
    fn drop(&mut self) {
        LAST_TURN.set(None);
        DELAYED_SINCE.set(None);
    }
}

/// Runs for ever on the thread's executor; `on_delay` is told how long each delay was.
pub async fn run(mut on_delay: impl FnMut(Micros)) {
    let _reset = Reset;
    LAST_TURN.set(Some(clock::now()));
    loop {
        match DELAYED_SINCE.get() {
            None => drop(Timer::after(TURN_INTERVAL).await),
            Some(_) => {
                Timer::after(CATCH_UP_INTERVAL).await;
                // Tasks that were woken by the same poll of the sockets run first.
                future::yield_now().await;
            }
        }
        if let Some(delay) = record_turn(clock::now()) {
            on_delay(delay);
        }
    }
}

/// Notes a turn of the loop; returns the length of the delay that it ends, if there was one.
fn record_turn(now: Micros) -> Option<Micros> {
    let delayed_since = delay_start(now);
    LAST_TURN.set(Some(now));
    DELAYED_SINCE.set(delayed_since);
    if delayed_since.is_some() {
        CAUGHT_UP_BY.set(now + MAX_CATCH_UP);
    }
    delayed_since.map(|since| now.saturating_sub(since))
}

/// The last turn, if it is so long ago that the loop is delayed now.
fn delay_start(now: Micros) -> Option<Micros> {
    LAST_TURN.get().filter(|last| now.saturating_sub(*last) > MAX_TURN_GAP)
}

/// Whether the loop is delayed, or the streams have not been polled since.
fn is_delayed() -> bool {
    DELAYED_SINCE.get().is_some() || delay_start(clock::now()).is_some()
}

/// Whether something that arrived during a delay may not be read yet.
fn has_unread() -> bool {
    is_delayed() || (UNREAD.get() > 0 && clock::now() < CAUGHT_UP_BY.get())
}

/// Whether something that arrived during a delay may not be handled yet.
pub fn is_behind() -> bool {
    has_unread() || (UNHANDLED.get() > 0 && clock::now() < CAUGHT_UP_BY.get())
}

/// Waits until everything that arrived during a delay is read, at most for [`MAX_CATCH_UP`].
pub async fn all_read() {
    wait_while(has_unread).await;
}

/// Waits until everything that arrived during a delay is handled, at most for [`MAX_CATCH_UP`].
pub async fn caught_up() {
    wait_while(is_behind).await;
}

async fn wait_while(condition: fn() -> bool) {
    let give_up_at = clock::now() + MAX_CATCH_UP;
    while condition() && clock::now() < give_up_at {
        Timer::after(CATCH_UP_INTERVAL).await;
    }
}

/// The earliest time at which bytes can have arrived whose task was woken for them and runs `now`.
pub fn earliest_arrival(now: Micros) -> Micros {
    delay_start(now).or(DELAYED_SINCE.get()).unwrap_or(now)
}
