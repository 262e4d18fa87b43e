//! A newcomer's plan: whom to ask, when, and when it knows enough.
//!
//! Each newcomer has its own order of donors, by rendezvous hashing with its incarnation, so that newcomers of
//! one roll spread over the donors. A donor that itself started lately weighs little, so one that met only its
//! like goes on to the next and asks again later. Nothing waits for any of this: the router serves meanwhile.

use crate::{InstanceId, Micros, SECOND, Source, mix};

/// A donor up for so long weighs half.
const SEASONED: f64 = 30e6;
/// Weight of donors heard at which a newcomer stops asking: one of long standing comes to it, nearly.
const ENOUGH: f64 = 0.9;
/// A donor up for less is asked again: it is learning, too.
const FRESH: Micros = 10 * SECOND;
/// Waits before the same donor is asked again: after a failure, after a fresh one's answer; doubled each time.
const FAILED: Micros = 250_000;
const LEARNING: Micros = SECOND;
const LONGEST: Micros = 8 * SECOND;
/// Bounds of the advice of a busy donor.
const BUSY: (Micros, Micros) = (10_000, 10 * SECOND);

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The start, or a time that was waited for.
    Tick,
    /// A donor's answer is whole; it has been up for so long.
    Answered {
        /// The donor's place in the list.
        donor: usize,
        /// How long it has been up.
        up: Micros,
    },
    /// A donor has no time.
    Busy {
        /// The donor's place in the list.
        donor: usize,
        /// It says to come back after this.
        after: Micros,
    },
    /// A donor was not reached, broke off, stalled or sent what can't be read.
    Failed {
        /// The donor's place in the list.
        donor: usize,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask this donor.
    Ask(usize),
    /// Tick again then.
    Wake(Micros),
    /// Ask no more.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// May be asked from then on.
    Idle(Micros),
    Out,
    /// Knows no more than it gave.
    Given,
}

#[derive(Clone, Debug)]
struct Donor {
    place: usize,
    state: State,
    /// Its weight by its last answer.
    weight: f64,
    /// Its last wait.
    wait: Micros,
}

/// The plan of one start.
#[derive(Clone, Debug)]
pub struct Asking {
    donors: Vec<Donor>,
    at_once: usize,
    until: Micros,
    done: bool,
}

impl Asking {
    /// Asks so many of these at a time, until then.
    pub fn new(me: Source, donors: &[InstanceId], at_once: usize, until: Micros) -> Self {
        let own = mix(me.instance.0 ^ mix(me.incarnation));
        let mut order: Vec<(u64, usize)> =
            donors.iter().enumerate().map(|(place, d)| (mix(own ^ d.0), place)).collect();
        order.retain(|(_, place)| donors[*place] != me.instance);
        order.sort_unstable();
        let donor = |(_, place)| Donor { place, state: State::Idle(0), weight: 0.0, wait: 0 };
        Self { donors: order.into_iter().map(donor).collect(), at_once: at_once.max(1), until, done: false }
    }

    /// Takes an event in and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Answered { donor, up } => {
                let Some(d) = self.donor(donor) else { return };
                d.weight = up as f64 / (up as f64 + SEASONED);
                d.state = State::Given;
                if up < FRESH {
                    d.again(now, LEARNING);
                }
            }
            Event::Busy { donor, after } => {
                let Some(d) = self.donor(donor) else { return };
                d.state = State::Idle(now.saturating_add(after.clamp(BUSY.0, BUSY.1)));
            }
            Event::Failed { donor } => {
                let Some(d) = self.donor(donor) else { return };
                d.again(now, FAILED);
            }
        }
        if self.done {
            return;
        }
        let out_now = self.donors.iter().filter(|d| d.state == State::Out).count();
        let heard: f64 = self.donors.iter().map(|d| d.weight).sum();
        let left = self.donors.iter().any(|d| d.state != State::Given);
        if now >= self.until || (out_now == 0 && (heard >= ENOUGH || !left)) {
            self.done = true;
            return out.push(Action::Done);
        }
        let free = if heard >= ENOUGH { 0 } else { self.at_once.saturating_sub(out_now) };
        let may = |d: &&mut Donor| matches!(d.state, State::Idle(from) if from <= now);
        for d in self.donors.iter_mut().filter(may).take(free) {
            d.state = State::Out;
            out.push(Action::Ask(d.place));
        }
        let next = self.donors.iter().filter_map(|d| match d.state {
            State::Idle(from) if from > now => Some(from),
            _ => None,
        });
        out.push(Action::Wake(next.min().unwrap_or(self.until).min(self.until)));
    }

    fn donor(&mut self, place: usize) -> Option<&mut Donor> {
        self.donors.iter_mut().find(|d| d.place == place && d.state == State::Out)
    }
}

impl Donor {
    fn again(&mut self, now: Micros, first: Micros) {
        self.wait = (self.wait * 2).clamp(first, LONGEST);
        self.state = State::Idle(now.saturating_add(self.wait));
    }
}
