//! Whether this router takes clients: the drain that staff ask for, a resume, and the end on SIGTERM.
//!
//! No I/O: it is told what happened and when, and answers whether the router is ready, which request is refused, which
//! connection is closed or given up and whether the process may exit. A drained router keeps running and serves what it
//! took. The front that sends clients here stops new connections 0.2 s after it hears no, and asks ten times a second, so
//! connections are left alone for [`GRACE`]; then each is closed in the first moment in which it owes nothing.
//!
//! A client may never leave such a moment: its requests overlap, wait for a cache that hangs, or are answered faster than
//! it reads. So the moment is made: from [`TAKES`] on what comes behind open requests is refused as never run (from [`GRACE`] on
//! where answers wait to be taken), and what is still open at [`GIVE_UP`] on a connection that is in use gets its final answer then. Every
//! wait here ends in real time, whatever clients and caches do. SIGHUP changes nothing here.

use bitternhold::Micros;

use crate::counters::RefusalReason;

/// After a drain or an end, connections are left alone for so long: the front hears no within 0.1 s and
/// sends no new connection 0.2 s later.
pub const GRACE: Micros = 400_000;
/// After a drain or an end requests are taken behind open ones for so long. Those taken by then have until [`GIVE_UP`] for their
/// answer, longer than any wanted time; most connections have had a moment without an open request before.
pub const TAKES: Micros = 1_000_000;
/// The operators look at connections so long after a drain: none may be idle then, or have had a request within
/// [`RECENT`].
pub const TERM: Micros = 4_000_000;
/// See [`TERM`].
pub const RECENT: Micros = 2_000_000;
/// After a drain what is still open on a connection that is in use is given up: early enough before [`TERM`] for the
/// answer to be written, read and followed by the close.
pub const GIVE_UP: Micros = TERM - 600_000;
/// From [`GIVE_UP`] on a client that has taken no byte of its answers for so long is not reading any more.
pub const NOT_READING: Micros = 2_000_000;
/// A connection that came after the grace and has said nothing yet is given so long for its first request.
pub const FIRST_WORD: Micros = 300_000;
/// After SIGTERM clients may still come for so long (0.4 s for connections, 0.2 s for requests).
pub const LINGER: Micros = 700_000;
/// SIGKILL follows SIGTERM after the longest deadline, taken as this where it is longer, and [`LINGER`].
pub const LONGEST_COUNTED: Micros = 3_000_000;
/// An answer that is due by SIGKILL has to be written before it by so much: a time-out at the deadline
/// reaches the client within 50 ms. What is open then is given up.
pub const BEFORE_KILL: Micros = 150_000;
/// Connections that wait for their client's own close are let go so long before SIGKILL.
pub const LAST_CLOSES: Micros = 100_000;
/// Where no SIGKILL comes, the process waits so long beyond its time for clients that still read.
pub const LATEST_EXIT: Micros = 10_000_000;

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
    /// Requests and replies that are not answered in writing.
    pub open: usize,
    /// Of them, those whose answer waits for the client to take it.
    pub unwritten: usize,
    /// When a request last came.
    pub last_request: Option<Micros>,
    /// Before then its client can't have read all but a little; none: it can.
    pub reads_until: Option<Micros>,
    /// Its client was seen to read slowly.
    pub reads_slowly: bool,
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
    /// Its client can't have read all yet: the end of the stream would cross what it sends.
    UnreadAnswers,
    /// It came late and has its time for a first message.
    FirstMessage,
}

impl Hold {
    /// As it stands in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Hold::Grace => "grace",
            Hold::OpenRequests => "open_requests",
            Hold::UnreadAnswers => "unread_answers",
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
        self.since().is_some() && self.hold(now, seen).is_none()
    }

    /// Why a connection is kept for now, under a drain or an end.
    pub fn hold(&self, now: Micros, seen: Seen) -> Option<Hold> {
        hold(self.since()?, self.reads_by(), now, seen)
    }

    /// Why a request that came now on this connection and is due by `deadline` is refused, as never run; none: it is
    /// taken. An ending router takes all that comes within [`LINGER`] of the signal, as clients are told to expect, and
    /// later what it can answer before SIGKILL. Past [`TAKES`] neither it nor a drained one takes more on a connection
    /// that has requests open: clients may go on using theirs, and one that always has a request open would never be
    /// closed. From [`RECENT`] before [`TERM`] on a connection with a request would be held at that time: nothing is taken.
    pub fn refuses(&self, now: Micros, deadline: Micros, seen: Seen) -> Option<RefusalReason> {
        if self.alone || self.is_out(now) {
            return Some(RefusalReason::Withdrawn);
        }
        let since = self.since()?;
        let unread = seen.reads_slowly && seen.reads_until.is_some() && now < self.reads_by();
        let backlog = (seen.unwritten > 0 || unread) && now >= since.saturating_add(GRACE);
        let busy = seen.open > 0 && now >= since.saturating_add(TAKES);
        let spent = backlog || busy || now >= since.saturating_add(TERM - RECENT);
        match self.phase {
            Phase::Ending(_) if now < self.told.saturating_add(LINGER) => None,
            Phase::Ending(_) if spent || deadline.saturating_add(BEFORE_KILL) > self.kill() => {
                Some(RefusalReason::Ending)
            }
            Phase::Draining(_) if spent => Some(RefusalReason::Draining),
            _ => None,
        }
    }

    /// Until then clients that read slowly are waited for: the terms, and the kill, are near.
    fn reads_by(&self) -> Micros {
        let gives_up = self.since().unwrap_or(0).saturating_add(GIVE_UP);
        match self.phase {
            Phase::Ending(_) => gives_up.min(self.kill().saturating_sub(BEFORE_KILL)),
            _ => gives_up,
        }
    }

    /// When SIGKILL may come at the soonest, after SIGTERM.
    fn kill(&self) -> Micros {
        self.told.saturating_add(self.kill_after)
    }

    /// Whether what is open on a connection gets its final answer now, as it won't be let go in time otherwise: a client
    /// that has used it within [`RECENT`] of [`TERM`], or SIGKILL comes.
    pub fn gives_up(&self, now: Micros, seen: Seen) -> bool {
        let Some(since) = self.since() else { return false };
        let in_use =
            seen.last_request.is_some_and(|at| at.saturating_add(RECENT) >= since.saturating_add(TERM));
        let ending = matches!(self.phase, Phase::Ending(_));
        let dying = ending && now.saturating_add(BEFORE_KILL) >= self.kill();
        // What an ending router takes after its drain's term is owed until the kill.
        let looked_at = !ending || now < since.saturating_add(TERM);
        dying || (in_use && looked_at && now >= since.saturating_add(GIVE_UP))
    }

    /// Whether a connection is cut off whose answers wait, and whose client has taken nothing of them since then.
    pub fn cuts(&self, now: Micros, waits_since: Micros) -> bool {
        let Some(since) = self.since() else { return false };
        now >= since.saturating_add(GIVE_UP) && now >= waits_since.max(since).saturating_add(NOT_READING)
    }

    /// Whether a message that has begun to come is waited for before its connection is closed: no more once a request
    /// would be refused anyway.
    pub fn waits_for_halves(&self, now: Micros) -> bool {
        self.since().is_none_or(|since| now < since.saturating_add(TAKES))
    }

    /// How long a connection that this side has closed may wait for its client's own close, of `usual`: the process is
    /// gone before SIGKILL, where that is still to come.
    pub fn lingers(&self, now: Micros, usual: Micros) -> Micros {
        match self.phase {
            Phase::Ending(_) => {
                let left = self.kill().saturating_sub(LAST_CLOSES).saturating_sub(now);
                if left > 0 { left.min(usual) } else { LAST_CLOSES }
            }
            _ => usual,
        }
    }

    /// Whether connections that wait for their client's own close are let go now, whenever they were closed: SIGKILL is near.
    pub fn is_last_moment(&self, now: Micros) -> bool {
        matches!(self.phase, Phase::Ending(_)) && now.saturating_add(LAST_CLOSES) >= self.kill()
    }

    /// Whether the process may exit: it was told to end, [`LINGER`] has passed since, nothing is owed and all
    /// clients' connections are gone or owe nothing. [`LATEST_EXIT`] after SIGKILL could have come it does not wait for
    /// clients any more that take their answers too slowly.
    pub fn may_exit(&self, now: Micros, owed: usize, flushed: bool) -> bool {
        match self.phase {
            Phase::Ending(_) if now >= self.kill().saturating_add(LATEST_EXIT) => true,
            Phase::Ending(since) => now >= since.saturating_add(LINGER) && owed == 0 && flushed,
            _ => false,
        }
    }
}

fn hold(since: Micros, reads_by: Micros, now: Micros, seen: Seen) -> Option<Hold> {
    if now < since.saturating_add(GRACE) {
        return Some(Hold::Grace);
    }
    if seen.open > 0 {
        return Some(Hold::OpenRequests);
    }
    if seen.reads_until.is_some_and(|until| now < until.min(reads_by)) {
        return Some(Hold::UnreadAnswers);
    }
    let said_nothing = !seen.asked && seen.used >= since;
    let in_time = now < seen.used.saturating_add(FIRST_WORD);
    let looked_at = (since.saturating_add(GIVE_UP)..since.saturating_add(TERM)).contains(&now);
    (said_nothing && in_time && !looked_at).then_some(Hold::FirstMessage)
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn idle(used: Micros) -> Seen {
        Seen {
            open: 0,
            unwritten: 0,
            last_request: None,
            reads_until: None,
            reads_slowly: false,
            asked: true,
            used,
        }
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
        let busy = Seen { open: 1, ..idle(10 * S) };
        assert!(!d.close(12 * S, busy), "an open request is answered first");
        // A connection that came late gets time for its first word, one from before the drain none.
        let late = Seen { asked: false, ..idle(10 * S + GRACE) };
        assert!(!d.close(10 * S + GRACE + 1, late));
        assert!(d.close(10 * S + GRACE + FIRST_WORD, late));
        assert!(d.close(10 * S + GRACE, Seen { asked: false, ..idle(9 * S) }));
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
        let takes = |d: &Drain, now, deadline| d.refuses(now, deadline, idle(0)).is_none();
        assert!(takes(&d, S, 1000 * S), "serving takes all");
        d.drain(10 * S);
        assert!(takes(&d, 10 * S, 1000 * S), "a drained router keeps running and takes all at first");
        d.end(11 * S);
        // SIGKILL comes 2.7 s after SIGTERM at the soonest, whenever the drain came.
        let kill = 11 * S + 2 * S + LINGER;
        assert!(takes(&d, 11 * S + LINGER - 1, 1000 * S), "what comes within the linger is taken");
        let late = 11 * S + LINGER;
        assert!(takes(&d, late, kill - BEFORE_KILL));
        assert!(!takes(&d, late, kill - BEFORE_KILL + 1));
        assert!(!takes(&d, 12 * S, kill - BEFORE_KILL), "the drain's own time holds as well");
        let mut long = Drain::new().with_longest(30 * S);
        long.end(0);
        let counted = LONGEST_COUNTED + LINGER;
        assert!(takes(&long, TAKES - 1, counted - BEFORE_KILL), "a longer deadline counts as 3 s");
        assert!(!takes(&long, TAKES - 1, counted));
        let busy = Seen { open: 1, ..idle(0) };
        assert_eq!(long.refuses(TAKES, counted - BEFORE_KILL, busy), Some(RefusalReason::Ending));
    }

    /// No client and no cache can keep a connection: behind open requests nothing more is taken after a while, behind
    /// answers that wait at once, and what is open still is given up before the operators look; and not before.
    #[test]
    fn a_drain_ends_on_every_connection() {
        let mut d = Drain::new();
        d.started();
        let busy = |last_request| Seen { open: 2, last_request: Some(last_request), ..idle(0) };
        assert!(!d.gives_up(9 * S, busy(9 * S)) && !d.cuts(9 * S, 0), "serving gives nothing up");
        d.drain(10 * S);
        let refused = |now, seen| d.refuses(now, 100 * S, seen);
        assert_eq!(refused(10 * S + TAKES - 1, busy(0)), None);
        assert_eq!(refused(10 * S + TAKES, busy(0)), Some(RefusalReason::Draining));
        assert_eq!(refused(12 * S - 1, idle(0)), None, "a quiet one closes behind its answer");
        assert_eq!(refused(12 * S, idle(0)), Some(RefusalReason::Draining));
        let slow = Seen { unwritten: 1, ..busy(0) };
        assert_eq!(refused(10 * S + GRACE - 1, slow), None);
        assert_eq!(refused(10 * S + GRACE, slow), Some(RefusalReason::Draining));
        let by = 10 * S + GIVE_UP;
        assert!(!d.gives_up(by - 1, busy(by - 1)));
        assert!(d.gives_up(by, busy(by - 1)));
        assert!(d.gives_up(by, busy(12 * S)), "of the last 2 s at the term");
        assert!(!d.gives_up(14 * S, busy(12 * S - 1)), "its request may wait on");
        assert!(d.gives_up(14 * S, busy(14 * S - 1)), "until its client uses it again");
        assert!(!d.cuts(by, by - NOT_READING + 1), "it reads");
        assert!(d.cuts(by, by - NOT_READING));
        assert!(d.waits_for_halves(10 * S + TAKES - 1) && !d.waits_for_halves(10 * S + TAKES));
        let late = Seen { asked: false, ..idle(by - 1) };
        assert!(d.close(by, late), "also one that came late and says nothing");
        assert!(
            !d.close(15 * S, Seen { asked: false, ..idle(15 * S - 1) }),
            "one that comes later has its time"
        );
        d.end(15 * S);
        assert!(!d.gives_up(15 * S + 1, busy(15 * S)), "what comes within the linger is owed until the kill");
    }

    /// An end is over by SIGKILL, and without one some time later, whatever clients and caches do.
    #[test]
    fn an_end_is_over_before_the_kill() {
        let mut d = Drain::new().with_longest(2 * S);
        d.started();
        d.end(10 * S);
        let kill = 10 * S + 2 * S + LINGER;
        let hung = Seen { open: 1, last_request: Some(10 * S), ..idle(0) };
        assert!(!d.gives_up(kill - BEFORE_KILL - 1, hung));
        assert!(d.gives_up(kill - BEFORE_KILL, hung));
        assert_eq!(d.lingers(11 * S, S), S);
        assert_eq!(d.lingers(kill - BEFORE_KILL, S), BEFORE_KILL - LAST_CLOSES);
        assert_eq!(d.lingers(kill, S), LAST_CLOSES);
        assert!(!d.is_last_moment(kill - LAST_CLOSES - 1) && d.is_last_moment(kill - LAST_CLOSES));
        assert!(!d.may_exit(kill + LATEST_EXIT - 1, 0, false) && d.may_exit(kill + LATEST_EXIT, 1, false));
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
        let refused = |d: &Drain, now| d.refuses(now, 100 * S, idle(0));
        let takes = |d: &Drain, now| refused(d, now).is_none();
        assert!(!d.ready() && takes(&d, 12 * S - 1), "as under any drain");
        assert_eq!(refused(&d, 10 * S + ORDERED_TAKES - 1), Some(RefusalReason::Draining));
        assert_eq!(refused(&d, 10 * S + ORDERED_TAKES), Some(RefusalReason::Withdrawn));
        let mut again = Drain::new();
        again.started();
        again.order(10 * S, true);
        assert!(!takes(&again, 10 * S), "started while it is out");
        assert!(!takes(&d, 10 * S + ORDERED_TAKES) && d.is_out(10 * S + ORDERED_TAKES));
        d.release();
        assert!(d.ready() && takes(&d, 20 * S));
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
        assert!(!d.ready() && !takes(&d, 40 * S), "nothing could be sent on");
        d.alone(false);
        assert!(d.ready());
    }
}
