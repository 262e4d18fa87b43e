//! Whether this router takes clients: the drain that staff ask for, a resume, and the end on SIGTERM.
//!
//! No I/O: it is told what happened and when, and answers whether the router is ready, which connection is
//! to be closed and whether the process may exit. A drained router keeps running and serves what it took;
//! the front that sends clients here stops new connections 0.2 s after it hears no, and asks ten times a
//! second, so connections are left alone for [`GRACE`]; then each is closed as soon as it owes nothing, so
//! that none is left some 4 s after the drain. SIGHUP changes nothing here.

use bitternhold::Micros;

/// After a drain or an end, connections are left alone for so long: the front hears no within 0.1 s and
/// sends no new connection 0.2 s later.
pub const GRACE: Micros = 400_000;
/// A connection that came after the grace and has said nothing yet is given so long for its first request.
pub const FIRST_WORD: Micros = 300_000;
/// After SIGTERM clients may still come for so long (0.4 s for connections, 0.2 s for requests).
pub const LINGER: Micros = 700_000;
/// SIGKILL follows SIGTERM after the longest deadline, taken as this where it is longer, and [`LINGER`].
pub const LONGEST_COUNTED: Micros = 3_000_000;
/// An answer that is due by SIGKILL has to be written before it by so much: a time-out at the deadline
/// reaches the client within 50 ms.
pub const BEFORE_KILL: Micros = 150_000;

/// A router whose turn for work has come takes what still comes for so long: none of its clients' connections
/// should be left by then.
pub const ORDERED_TAKES: Micros = 4_000_000;

/// Where the router stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not yet able to serve.
    Starting,
    /// Takes clients.
    Serving,
    /// Asked to drain at this time: serves what comes, takes no new work gladly.
    Draining(Micros),
    /// Told to end at this time: as draining, and exits once all is answered.
    Ending(Micros),
}

/// A client's connection as the drain sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Requests handed on and not answered in writing.
    pub open: usize,
    /// Any request came on it.
    pub asked: bool,
    /// When it came, or last had something to do.
    pub used: Micros,
}

/// Why a client's connection is not closed yet under a drain or an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hold {
    /// Clients are still being sent here.
    Grace,
    /// Requests on it are open.
    OpenRequests,
    /// It came late and has its time for a first message.
    FirstMessage,
}

impl Hold {
    /// As it stands in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Hold::Grace => "grace",
            Hold::OpenRequests => "open_requests",
            Hold::FirstMessage => "first_message",
        }
    }
}

/// The state machine of draining.
#[derive(Clone, Debug)]
pub struct Drain {
    phase: Phase,
    /// From SIGTERM to SIGKILL at the soonest, and when SIGTERM came.
    kill_after: Micros,
    told: Micros,
    /// Since when the routers have agreed that this one goes out for work, and whether that began the drain.
    ordered: Option<(Micros, bool)>,
    /// It may send nothing on, as its word of what the routers agree on is too old.
    alone: bool,
}

impl Default for Drain {
    fn default() -> Self {
        Self::new()
    }
}

impl Drain {
    /// A router that can't serve yet.
    pub fn new() -> Self {
        Self {
            phase: Phase::Starting,
            kill_after: LONGEST_COUNTED + LINGER,
            told: 0,
            ordered: None,
            alone: false,
        }
    }

    /// The longest deadline of the site's classes: it sets when SIGKILL may come after SIGTERM.
    pub fn with_longest(mut self, deadline: Micros) -> Self {
        self.kill_after = deadline.min(LONGEST_COUNTED) + LINGER;
        self
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// All is listening: the router can serve, unless it was drained or told to end meanwhile.
    pub fn started(&mut self) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Serving;
        }
    }

    /// Staff ask for a drain. A second drain keeps the time of the first; an ending router stays ending.
    /// Says whether anything changed.
    pub fn drain(&mut self, now: Micros) -> bool {
        // From here on it is staff's, whoever began it: a turn for work that ends does not undo it.
        if let Some((_, began)) = &mut self.ordered {
            *began = false;
        }
        self.begin(now)
    }

    fn begin(&mut self, now: Micros) -> bool {
        match self.phase {
            Phase::Starting | Phase::Serving => {
                self.phase = Phase::Draining(now);
                true
            }
            Phase::Draining(_) | Phase::Ending(_) => false,
        }
    }

    /// The routers have agreed that this one goes out for work: it drains, and from [`ORDERED_TAKES`] on refuses what
    /// still comes, so that nothing is lost when it is unplugged. One that is `out` already, and started again, refuses
    /// at once.
    pub fn order(&mut self, now: Micros, out: bool) {
        let (since, began) = self.ordered.unwrap_or((now, false));
        let since = if out { since.min(now.saturating_sub(ORDERED_TAKES)) } else { since };
        self.ordered = Some((since, self.begin(now) || began));
    }

    /// Its turn is over: it takes clients again, unless staff have drained it besides.
    pub fn release(&mut self) {
        if let Some((_, true)) = self.ordered.take() {
            self.resume();
        }
    }

    /// Whether it may send nothing on at all: it refuses what comes, at once, and says that it is not ready.
    pub fn alone(&mut self, alone: bool) {
        self.alone = alone;
    }

    /// Whether it refuses what comes, by an agreed order.
    pub fn is_out(&self, now: Micros) -> bool {
        self.ordered.is_some_and(|(since, _)| now >= since.saturating_add(ORDERED_TAKES))
    }

    /// Staff ask to take clients again. Nothing brings an ending router back. Says whether anything changed.
    pub fn resume(&mut self) -> bool {
        match self.phase {
            Phase::Draining(_) => {
                self.phase = Phase::Serving;
                true
            }
            _ => false,
        }
    }

    /// SIGTERM or SIGINT. A router that was drained already keeps its earlier time: its connections are going.
    pub fn end(&mut self, now: Micros) {
        if !matches!(self.phase, Phase::Ending(_)) {
            self.told = now;
        }
        self.phase = match self.phase {
            Phase::Draining(since) => Phase::Ending(since.min(now)),
            Phase::Ending(since) => Phase::Ending(since),
            Phase::Starting | Phase::Serving => Phase::Ending(now),
        };
    }

    /// The answer to `GET /-/ready` and to `isWell`.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Serving && !self.alone
    }

    /// Since when connections are to go, if they are.
    pub fn since(&self) -> Option<Micros> {
        match self.phase {
            Phase::Draining(since) | Phase::Ending(since) => Some(since),
            Phase::Starting | Phase::Serving => None,
        }
    }

    /// Whether a connection is to be closed now: after the grace, once it owes no answer. One that came later
    /// and said nothing yet gets [`FIRST_WORD`] for its request.
    pub fn close(&self, now: Micros, seen: Seen) -> bool {
        self.since().is_some_and(|since| hold(since, now, seen).is_none())
    }

    /// Why a connection is kept for now, under a drain or an end.
    pub fn hold(&self, now: Micros, seen: Seen) -> Option<Hold> {
        hold(self.since()?, now, seen)
    }

    /// Whether a request that came now and is due by `deadline` is taken, or refused at once as never run.
    /// An ending router takes all that comes within [`LINGER`] of the signal, as clients are told to expect,
    /// and later what it can answer before SIGKILL: clients may go on using their open connections, and a
    /// connection that always has a request open would never be closed. A drained one takes all.
    pub fn takes(&self, now: Micros, deadline: Micros) -> bool {
        match self.phase {
            _ if self.alone || self.is_out(now) => false,
            Phase::Ending(_) => {
                now < self.told.saturating_add(LINGER)
                    || deadline.saturating_add(BEFORE_KILL) <= self.told.saturating_add(self.kill_after)
            }
            _ => true,
        }
    }

    /// Whether the process may exit: it was told to end, [`LINGER`] has passed since, nothing is owed and all
    /// clients' connections are gone or owe nothing.
    pub fn may_exit(&self, now: Micros, owed: usize, flushed: bool) -> bool {
        match self.phase {
            Phase::Ending(since) => now >= since.saturating_add(LINGER) && owed == 0 && flushed,
            _ => false,
        }
    }
}

fn hold(since: Micros, now: Micros, seen: Seen) -> Option<Hold> {
    if now < since.saturating_add(GRACE) {
        return Some(Hold::Grace);
    }
    if seen.open > 0 {
        return Some(Hold::OpenRequests);
    }
    let said_nothing = !seen.asked && seen.used >= since;
    (said_nothing && now < seen.used.saturating_add(FIRST_WORD)).then_some(Hold::FirstMessage)
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn idle(used: Micros) -> Seen {
        Seen { open: 0, asked: true, used }
    }

    #[test]
    fn ready_only_while_serving() {
        let mut d = Drain::new();
        assert!(!d.ready());
        d.started();
        assert!(d.ready());
        assert!(d.drain(10 * S));
        assert!(!d.ready());
        assert!(!d.drain(11 * S), "a second drain changes nothing");
        assert_eq!(d.phase(), Phase::Draining(10 * S));
        assert!(d.resume());
        assert!(d.ready());
        assert!(!d.resume());
    }

    #[test]
    fn drained_before_start_stays_drained() {
        let mut d = Drain::new();
        d.drain(S);
        d.started();
        assert!(!d.ready());
    }

    #[test]
    fn nothing_brings_an_ending_router_back() {
        for first in [false, true] {
            let mut d = Drain::new();
            d.started();
            if first {
                d.drain(S);
            }
            d.end(2 * S);
            assert!(!d.resume());
            assert!(!d.drain(3 * S));
            d.started();
            assert!(!d.ready());
            let since = if first { S } else { 2 * S };
            assert_eq!(d.phase(), Phase::Ending(since), "a drain keeps its time into the end");
        }
    }

    #[test]
    fn connections_close_after_the_grace_once_they_owe_nothing() {
        let mut d = Drain::new();
        d.started();
        assert!(!d.close(5 * S, idle(0)), "serving closes nothing");
        d.drain(10 * S);
        assert!(!d.close(10 * S + GRACE - 1, idle(0)), "the front is still sending");
        assert!(d.close(10 * S + GRACE, idle(0)));
        let busy = Seen { open: 1, asked: true, used: 10 * S };
        assert!(!d.close(12 * S, busy), "an open request is answered first");
        // A connection that came late gets time for its first word, one from before the drain none.
        let late = Seen { open: 0, asked: false, used: 10 * S + GRACE };
        assert!(!d.close(10 * S + GRACE + 1, late));
        assert!(d.close(10 * S + GRACE + FIRST_WORD, late));
        assert!(d.close(10 * S + GRACE, Seen { open: 0, asked: false, used: 9 * S }));
        d.resume();
        assert!(!d.close(20 * S, idle(0)), "resumed keeps its connections");
    }

    #[test]
    fn exit_waits_for_the_linger_and_all_answers() {
        let mut d = Drain::new();
        d.started();
        assert!(!d.may_exit(100 * S, 0, true), "only an ending router exits");
        d.drain(S);
        assert!(!d.may_exit(100 * S, 0, true), "a drained router keeps running");
        let mut e = Drain::new();
        e.started();
        e.end(10 * S);
        assert!(!e.may_exit(10 * S + LINGER - 1, 0, true));
        assert!(!e.may_exit(10 * S + LINGER, 1, true));
        assert!(!e.may_exit(10 * S + LINGER, 0, false));
        assert!(e.may_exit(10 * S + LINGER, 0, true));
    }

    #[test]
    fn an_ending_router_takes_what_it_can_answer_before_the_kill() {
        let mut d = Drain::new().with_longest(2 * S);
        d.started();
        assert!(d.takes(S, 1000 * S), "serving takes all");
        d.drain(10 * S);
        assert!(d.takes(10 * S, 1000 * S), "a drained router keeps running and takes all");
        d.end(11 * S);
        // SIGKILL comes 2.7 s after SIGTERM at the soonest, whenever the drain came.
        let kill = 11 * S + 2 * S + LINGER;
        assert!(d.takes(11 * S + LINGER - 1, 1000 * S), "what comes within the linger is taken");
        let late = 11 * S + LINGER;
        assert!(d.takes(late, kill - BEFORE_KILL));
        assert!(!d.takes(late, kill - BEFORE_KILL + 1));
        let mut long = Drain::new().with_longest(30 * S);
        long.end(0);
        assert!(long.takes(S, LONGEST_COUNTED + LINGER - BEFORE_KILL), "a longer deadline counts as 3 s");
        assert!(!long.takes(S, LONGEST_COUNTED + LINGER));
    }

    /// Every order of drain, resume, end and reload: ready says yes exactly while serving, an ending router
    /// never comes back, and its time never moves on.
    #[test]
    fn every_order_of_calls() {
        fn walk(d: &Drain, depth: usize, now: Micros) {
            if depth == 0 {
                return;
            }
            for call in 0..4 {
                let mut next = d.clone();
                let before = next.phase();
                match call {
                    0 => {
                        next.drain(now);
                    }
                    1 => {
                        next.resume();
                    }
                    2 => next.end(now),
                    _ => {} // SIGHUP: nothing changes
                }
                assert_eq!(next.ready(), next.phase() == Phase::Serving);
                if let Phase::Ending(since) = before {
                    assert_eq!(next.phase(), Phase::Ending(since));
                }
                if call == 3 {
                    assert_eq!(next.phase(), before);
                }
                walk(&next, depth - 1, now + S);
            }
        }
        let mut d = Drain::new();
        d.started();
        walk(&d, 6, S);
    }

    /// A router whose turn for work has come drains, refuses after a while, and serves again after; staff's own drain
    /// outlives the turn.
    #[test]
    fn an_agreed_turn_drains_then_refuses_and_staffs_drain_outlives_it() {
        let mut d = Drain::new();
        d.started();
        d.order(10 * S, false);
        d.order(11 * S, false);
        assert!(!d.ready() && d.takes(10 * S + ORDERED_TAKES - 1, 100 * S));
        let mut again = Drain::new();
        again.started();
        again.order(10 * S, true);
        assert!(!again.takes(10 * S, 100 * S), "started while it is out");
        assert!(!d.takes(10 * S + ORDERED_TAKES, 100 * S) && d.is_out(10 * S + ORDERED_TAKES));
        d.release();
        assert!(d.ready() && d.takes(20 * S, 100 * S));
        d.drain(21 * S);
        d.order(22 * S, false);
        d.release();
        assert!(!d.ready(), "staff drained it");
        d.resume();
        d.order(23 * S, false);
        assert!(!d.drain(24 * S), "it drains already");
        d.order(25 * S, false);
        d.release();
        assert!(!d.ready(), "staff drained it during its turn");
        d.resume();
        d.order(30 * S, false);
        assert!(d.resume(), "by hand, against the order");
        d.order(31 * S, false);
        assert!(!d.ready(), "its turn goes on");
        d.release();
        d.alone(true);
        assert!(!d.ready() && !d.takes(40 * S, 100 * S), "nothing could be sent on");
        d.alone(false);
        assert!(d.ready());
    }
}
