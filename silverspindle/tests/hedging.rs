//! Which connections to the coordinator are kept while all are silent, on a simulated clock.

use bitternhold::Micros;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use silverspindle::coordinator::hedging::{ConnectionId, Hedging, MAX_CONNECTIONS, SILENCE_TIMEOUT};

const MS: Micros = 1000;
const SECOND: Micros = 1000 * MS;
const START: Micros = 1_000 * SECOND;
const STEP: Micros = 10 * MS;

/// A connection as the simulated coordinator sees it.
struct Open {
    id: ConnectionId,
    opened_at: Micros,
}

/// A coordinator that stops at [`START`], with one connection that has delivered before.
struct Simulation {
    hedging: Hedging,
    open: Vec<Open>,
    now: Micros,
}

impl Simulation {
    fn stopped() -> Self {
        let mut hedging = Hedging::new(START);
        let id = hedging.open(START).unwrap().id;
        hedging.delivered(id, START, false);
        Self { hedging, open: vec![Open { id, opened_at: START }], now: START }
    }

    /// Advances by a step, and opens and closes what is due.
    fn advance(&mut self) {
        self.now += STEP;
        if self.now < self.hedging.next_open_at() {
            return;
        }
        if let Some(opening) = self.hedging.open(self.now) {
            self.open.retain(|open| Some(open.id) != opening.replaced);
            self.open.push(Open { id: opening.id, opened_at: self.now });
        }
        assert!(self.open.len() <= MAX_CONNECTIONS);
        assert!(self.open.iter().all(|open| self.hedging.is_open(open.id)));
    }

    /// Runs until a connection is due to deliver; when that is.
    fn run_until(&mut self, delivers: impl Fn(&Open, Micros) -> bool) -> Micros {
        while !self.open.iter().any(|open| delivers(open, self.now)) {
            assert!(self.now < START + 3600 * SECOND, "never heard again");
            self.advance();
        }
        self.now
    }
}

fn cases() -> Config {
    Config { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(65), ..Config::default() }
}

proptest! {
    #![proptest_config(cases())]

    /// Each connection gets its first bytes a constant time after it was opened, and the one from before is dead. Guards
    /// against giving up every connection before its time, however long that is.
    #[test]
    fn a_coordinator_that_is_slow_by_any_time_is_heard(delay in 0..120 * SECOND) {
        let mut simulation = Simulation::stopped();
        let heard_at = simulation.run_until(|open, now| open.opened_at > START && now >= open.opened_at + delay);
        prop_assert!(heard_at <= START + SILENCE_TIMEOUT + delay + 2 * STEP);
    }

    /// Connections are dead until the coordinator is back, and those opened from then on are served at once. Guards
    /// against holding on to dead connections alone.
    #[test]
    fn a_coordinator_that_is_back_is_heard_after_one_silence(outage in 0..120 * SECOND) {
        let mut simulation = Simulation::stopped();
        let back_at = START + outage;
        let heard_at = simulation.run_until(|open, _| open.opened_at >= back_at && open.opened_at > START);
        prop_assert!(heard_at <= back_at + SILENCE_TIMEOUT + 2 * STEP);
    }
}

/// A connection on which bytes come is not closed for another one, also where it delivered before.
#[test]
fn a_connection_with_bytes_is_kept_among_silent_ones() {
    let mut simulation = Simulation::stopped();
    let dripping = simulation.open[0].id;
    while simulation.now < START + 60 * SECOND {
        simulation.hedging.received(dripping, simulation.now);
        simulation.advance();
        assert!(simulation.hedging.is_open(dripping));
    }
}

/// Where bytes come on all connections none is closed, and no more are opened.
#[test]
fn no_connection_is_replaced_while_bytes_come_on_all() {
    let mut simulation = Simulation::stopped();
    while simulation.now < START + 60 * SECOND {
        for open in &simulation.open {
            simulation.hedging.received(open.id, simulation.now);
        }
        simulation.advance();
    }
    assert_eq!(simulation.open.len(), MAX_CONNECTIONS);
    assert_eq!(simulation.open[0].opened_at, START);
}

/// The first connection that delivers closes the others, and from then on only another silence opens one.
#[test]
fn the_first_connection_that_delivers_is_the_only_one_left() {
    let mut simulation = Simulation::stopped();
    simulation.run_until(|_, now| now >= START + 2 * SILENCE_TIMEOUT);
    let first = simulation.open[0].id;
    simulation.hedging.delivered(first, simulation.now, true);
    assert!(simulation.open[1..].iter().all(|open| !simulation.hedging.is_open(open.id)));
    assert_eq!(simulation.hedging.next_open_at(), simulation.now + SILENCE_TIMEOUT);
}

/// Half a frame that goes no further opens another connection at once, and only one.
#[test]
fn a_stalled_frame_opens_one_other_connection_at_once() {
    let mut simulation = Simulation::stopped();
    simulation.hedging.stalled(simulation.now);
    simulation.advance();
    assert_eq!(simulation.open.len(), 2);
    simulation.hedging.stalled(simulation.now);
    assert!(simulation.hedging.next_open_at() > simulation.now);
}
