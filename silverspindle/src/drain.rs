//! State machine of draining: whether this router takes clients. It covers the drain and the resume that staff
//! request, the drain of a router whose turn for work has come, and the shutdown on SIGTERM.
//!
//! No I/O: the state machine receives events with their times and decides whether the router is ready, which requests
//! are refused, which connections are closed or cut off, when open requests are given up (answered at once with a
//! final answer) and whether the process may exit. A drained router keeps running and answers the requests that it
//! accepted. The load balancer in front of the router checks its readiness ten times a second and stops sending new
//! connections 0.2 s after a negative answer. Connections are therefore kept for [`GRACE`]; after that, each is
//! closed as soon as no answer is owed on it.
//!
//! On some connections an answer is always owed: requests overlap, wait for a cache that hangs, or are answered
//! faster than the client reads. Such connections are forced to a close. From [`TAKES`] on, further requests behind
//! open ones are refused as never run (from [`GRACE`] on where answers wait for the client to read them). At
//! [`GIVE_UP`], what is still open on a connection in use is given up. Every wait in this module is bounded in real
//! time, whatever clients and caches do. SIGHUP does not affect this module.

use bitternhold::Micros;

use crate::counters::RefusalReason;

/// Grace period after the start of a drain or shutdown in which no connection is closed, in microseconds. The load
/// balancer in front learns that the router is not ready within 0.1 s and sends no new connection 0.2 s later.
pub const GRACE: Micros = 400_000;
/// For this long after the start of a drain or shutdown, requests are accepted on connections with open requests, in
/// microseconds. Requests accepted by then have until [`GIVE_UP`] for their answer, longer than the aim of any
/// class. Most connections have had a moment without an open request before.
pub const TAKES: Micros = 1_000_000;
/// The operators check connections this long after the start of a drain, in microseconds. At that time no connection
/// may be idle or have had a request within [`RECENT`].
pub const TERM: Micros = 4_000_000;
/// A request within this time before [`TERM`] makes its connection count as held, in microseconds.
pub const RECENT: Micros = 2_000_000;
/// Time after the start of a drain at which requests still open on a connection in use are given up, in microseconds.
/// It leaves enough time before [`TERM`] to write the final answer, for the client to read it, and to close.
pub const GIVE_UP: Micros = TERM - 600_000;
/// From [`GIVE_UP`] on, a client that has read no byte of its waiting answers for this long, in microseconds, counts as
/// no longer reading.
pub const NOT_READING: Micros = 2_000_000;
/// Time for the first request of a connection that came late, after the start of a drain or shutdown, in microseconds.
pub const FIRST_WORD: Micros = 300_000;
/// Time after SIGTERM in which clients may still arrive, in microseconds (0.4 s for connections, 0.2 s for requests).
pub const LINGER: Micros = 700_000;
/// Cap on the longest deadline in the time from SIGTERM to SIGKILL, in microseconds: SIGKILL follows after the longest
/// deadline, capped at this value, plus [`LINGER`].
pub const LONGEST_COUNTED: Micros = 3_000_000;
/// Margin before SIGKILL by which the last answers must be written, in microseconds: a timeout at the deadline reaches
/// the client within 50 ms. Requests that are still open then are given up.
pub const BEFORE_KILL: Micros = 150_000;
/// Connections that wait for the client's own close are dropped this long before SIGKILL, in microseconds.
pub const LAST_CLOSES: Micros = 100_000;
/// If no SIGKILL comes, the process waits this long after the time of SIGKILL for clients that still read, in
/// microseconds.
pub const LATEST_EXIT: Micros = 10_000_000;

/// For this long, in microseconds, a router whose turn for work has come still accepts requests. None of its clients'
/// connections should be left by then.
pub const ORDERED_TAKES: Micros = 4_000_000;

/// Phase of the router's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not yet able to serve.
    Starting,
    /// Accepts clients.
    Serving,
    /// Draining since this time: not ready, but requests that still come are served at first.
    Draining(Micros),
    /// Shutting down; connections have to go since this time. As draining, and the process exits once everything is
    /// answered.
    Ending(Micros),
}

/// State of a client's connection that the drain decides on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Number of requests whose answer is not completely written, including replies that need no decision.
    pub open: usize,
    /// Number of those whose answer is ready but waits for the client to take it.
    pub unwritten: usize,
    /// Arrival time of the last request.
    pub last_request: Option<Micros>,
    /// Earliest time at which the client can have read enough of its answers for a close; none if it can have already.
    pub reads_until: Option<Micros>,
    /// The client was observed to read slowly.
    pub reads_slowly: bool,
    /// The client has sent a message on this connection.
    pub asked: bool,
    /// When the connection was accepted or last had activity.
    pub used: Micros,
}

/// Reason why a client's connection is not closed yet during a drain or shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hold {
    /// The grace period is not over: clients are still being sent to this router.
    Grace,
    /// Requests on the connection are open.
    OpenRequests,
    /// The client can't have read all answers yet, so requests that it sends now would cross the end of the stream.
    UnreadAnswers,
    /// The connection came late and its time for a first message has not passed.
    FirstMessage,
}

impl Hold {
    /// Name of the reason in log lines.
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
    /// Shortest time from SIGTERM to SIGKILL.
    kill_after: Micros,
    /// When SIGTERM came.
    signalled: Micros,
    /// Since when the agreed order of work takes this router out, and whether the order started the drain.
    ordered: Option<(Micros, bool)>,
    /// The router may pass on no request: its confirmation of what the routers agreed on is too old.
    alone: bool,
}

impl Default for Drain {
    fn default() -> Self {
        Self::new()
    }
}

impl Drain {
    /// State of a router that is starting.
    pub fn new() -> Self {
        Self {
            phase: Phase::Starting,
            kill_after: LONGEST_COUNTED + LINGER,
            signalled: 0,
            ordered: None,
            alone: false,
        }
    }

    /// Sets the longest deadline of the site's classes, which determines when SIGKILL may follow SIGTERM.
    pub fn with_longest(mut self, deadline: Micros) -> Self {
        self.kill_after = deadline.min(LONGEST_COUNTED) + LINGER;
        self
    }

    /// Current phase of the router.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// All listeners are up: the router starts serving, unless a drain or shutdown has begun meanwhile.
    pub fn started(&mut self) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Serving;
        }
    }

    /// Staff request a drain. A second drain keeps the time of the first; a router that is shutting down continues to.
    /// Returns whether the phase changed.
    pub fn drain(&mut self, now: Micros) -> bool {
        // From here on the drain is staff's, even if an order of work started it: the end of the order does not undo
        // it.
        if let Some((_, began)) = &mut self.ordered {
            *began = false;
        }
        self.begin_drain(now)
    }

    fn begin_drain(&mut self, now: Micros) -> bool {
        match self.phase {
            Phase::Starting | Phase::Serving => {
                self.phase = Phase::Draining(now);
                true
            }
            Phase::Draining(_) | Phase::Ending(_) => false,
        }
    }

    /// The agreed order of work takes this router out: it drains, and after [`ORDERED_TAKES`] refuses every request, so
    /// that nothing is lost when it is unplugged. A router that restarts while it is already `out` refuses at once.
    pub fn order(&mut self, now: Micros, out: bool) {
        let (since, began) = self.ordered.unwrap_or((now, false));
        let since = if out { since.min(now.saturating_sub(ORDERED_TAKES)) } else { since };
        self.ordered = Some((since, self.begin_drain(now) || began));
    }

    /// The router's turn for work is over: it serves again, unless staff have requested a drain as well.
    pub fn release(&mut self) {
        if let Some((_, true)) = self.ordered.take() {
            self.resume();
        }
    }

    /// Sets whether the router may pass on no request at all: it then refuses every request at once and is not ready.
    pub fn alone(&mut self, alone: bool) {
        self.alone = alone;
    }

    /// Whether the router refuses every request because the agreed order of work takes it out.
    pub fn is_out(&self, now: Micros) -> bool {
        self.ordered.is_some_and(|(since, _)| now >= since.saturating_add(ORDERED_TAKES))
    }

    /// Staff request that the router serves again. A router that is shutting down never does. Returns whether the phase
    /// changed.
    pub fn resume(&mut self) -> bool {
        match self.phase {
            Phase::Draining(_) => {
                self.phase = Phase::Serving;
                true
            }
            _ => false,
        }
    }

    /// Starts the shutdown on SIGTERM or SIGINT. A router that was draining keeps the time of the drain, as its
    /// connections are closing already.
    pub fn end(&mut self, now: Micros) {
        if !matches!(self.phase, Phase::Ending(_)) {
            self.signalled = now;
        }
        self.phase = match self.phase {
            Phase::Draining(since) => Phase::Ending(since.min(now)),
            Phase::Ending(since) => Phase::Ending(since),
            Phase::Starting | Phase::Serving => Phase::Ending(now),
        };
    }

    /// Whether the router is ready: the answer to `GET /-/ready` and to `isWell`.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Serving && !self.alone
    }

    /// Start of the drain or shutdown, if there is one.
    pub fn since(&self) -> Option<Micros> {
        match self.phase {
            Phase::Draining(since) | Phase::Ending(since) => Some(since),
            Phase::Starting | Phase::Serving => None,
        }
    }

    /// Whether a connection must be closed now: after the grace period, once no answer is owed on it. A connection that
    /// came late and has sent nothing yet gets [`FIRST_WORD`] for its first request.
    pub fn close(&self, now: Micros, seen: Seen) -> bool {
        self.since().is_some() && self.hold(now, seen).is_none()
    }

    /// Why a connection is kept for now during a drain or shutdown.
    pub fn hold(&self, now: Micros, seen: Seen) -> Option<Hold> {
        hold(self.since()?, self.wait_for_reader_until(), now, seen)
    }

    /// Why a request that arrives now on this connection and is due by `deadline` is refused, as never run; none if
    /// it is accepted. A router that is shutting down accepts every request within [`LINGER`] of the signal, as
    /// promised to clients, and later ones that it can answer before SIGKILL. After [`TAKES`], during a drain or
    /// shutdown, no request is accepted on a connection with open requests: clients may keep using their connections,
    /// and one that always has a request open would never be closed. From [`RECENT`] before [`TERM`] on, no request
    /// is accepted at all, as its connection would count as held at [`TERM`].
    pub fn refuses(&self, now: Micros, deadline: Micros, seen: Seen) -> Option<RefusalReason> {
        if self.alone || self.is_out(now) {
            return Some(RefusalReason::Withdrawn);
        }
        let since = self.since()?;
        let slow_reader =
            seen.reads_slowly && seen.reads_until.is_some() && now < self.wait_for_reader_until();
        let backlog = (seen.unwritten > 0 || slow_reader) && now >= since.saturating_add(GRACE);
        let busy = seen.open > 0 && now >= since.saturating_add(TAKES);
        let must_refuse = backlog || busy || now >= since.saturating_add(TERM - RECENT);
        match self.phase {
            Phase::Ending(_) if now < self.signalled.saturating_add(LINGER) => None,
            Phase::Ending(_) if must_refuse || deadline.saturating_add(BEFORE_KILL) > self.kill_time() => {
                Some(RefusalReason::Ending)
            }
            Phase::Draining(_) if must_refuse => Some(RefusalReason::Draining),
            _ => None,
        }
    }

    /// Until when the router waits for clients that read slowly; after that, [`TERM`] or SIGKILL is too near.
    fn wait_for_reader_until(&self) -> Micros {
        let given_up_at = self.since().unwrap_or(0).saturating_add(GIVE_UP);
        match self.phase {
            Phase::Ending(_) => given_up_at.min(self.kill_time().saturating_sub(BEFORE_KILL)),
            _ => given_up_at,
        }
    }

    /// Earliest time at which SIGKILL may follow SIGTERM.
    fn kill_time(&self) -> Micros {
        self.signalled.saturating_add(self.kill_after)
    }

    /// Whether the open requests of a connection must get their final answer now, because it would not be closed in
    /// time otherwise: its last request is within [`RECENT`] of [`TERM`], or SIGKILL is near.
    pub fn gives_up(&self, now: Micros, seen: Seen) -> bool {
        let Some(since) = self.since() else { return false };
        let in_use =
            seen.last_request.is_some_and(|at| at.saturating_add(RECENT) >= since.saturating_add(TERM));
        let ending = matches!(self.phase, Phase::Ending(_));
        let kill_is_near = ending && now.saturating_add(BEFORE_KILL) >= self.kill_time();
        // Requests that a router accepts during shutdown after the check at TERM may be answered until SIGKILL.
        let check_ahead = !ending || now < since.saturating_add(TERM);
        kill_is_near || (in_use && check_ahead && now >= since.saturating_add(GIVE_UP))
    }

    /// Whether a connection with waiting answers must be cut off; its client has read none of them since `waits_since`.
    pub fn cuts(&self, now: Micros, waits_since: Micros) -> bool {
        let Some(since) = self.since() else { return false };
        now >= since.saturating_add(GIVE_UP) && now >= waits_since.max(since).saturating_add(NOT_READING)
    }

    /// Whether the rest of a partially received message is waited for before its connection is closed: only while a
    /// request would be accepted.
    pub fn waits_for_halves(&self, now: Micros) -> bool {
        self.since().is_none_or(|since| now < since.saturating_add(TAKES))
    }

    /// How long a connection that this side has closed may wait for the client's own close: `usual`, or during a
    /// shutdown at most until shortly before SIGKILL, so that the process exits before it.
    pub fn lingers(&self, now: Micros, usual: Micros) -> Micros {
        match self.phase {
            Phase::Ending(_) => {
                let left = self.kill_time().saturating_sub(LAST_CLOSES).saturating_sub(now);
                if left > 0 { left.min(usual) } else { LAST_CLOSES }
            }
            _ => usual,
        }
    }

    /// Whether connections that wait for the client's own close must be dropped now, however recently they were closed,
    /// because SIGKILL is near.
    pub fn is_last_moment(&self, now: Micros) -> bool {
        matches!(self.phase, Phase::Ending(_)) && now.saturating_add(LAST_CLOSES) >= self.kill_time()
    }

    /// Whether the process may exit: a shutdown has begun, [`LINGER`] has passed since, no answer is owed and all
    /// clients' connections are closed or have no answer left to write (`flushed`). From [`LATEST_EXIT`] after the
    /// time of SIGKILL on, the process no longer waits for clients that read their answers too slowly.
    pub fn may_exit(&self, now: Micros, owed: usize, flushed: bool) -> bool {
        match self.phase {
            Phase::Ending(_) if now >= self.kill_time().saturating_add(LATEST_EXIT) => true,
            Phase::Ending(since) => now >= since.saturating_add(LINGER) && owed == 0 && flushed,
            _ => false,
        }
    }
}

fn hold(since: Micros, wait_for_reader_until: Micros, now: Micros, seen: Seen) -> Option<Hold> {
    if now < since.saturating_add(GRACE) {
        return Some(Hold::Grace);
    }
    if seen.open > 0 {
        return Some(Hold::OpenRequests);
    }
    if seen.reads_until.is_some_and(|until| now < until.min(wait_for_reader_until)) {
        return Some(Hold::UnreadAnswers);
    }
    let late_and_silent = !seen.asked && seen.used >= since;
    let in_time = now < seen.used.saturating_add(FIRST_WORD);
    let check_ahead = (since.saturating_add(GIVE_UP)..since.saturating_add(TERM)).contains(&now);
    (late_and_silent && in_time && !check_ahead).then_some(Hold::FirstMessage)
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
    fn a_drain_before_the_start_holds_after_it() {
        let mut d = Drain::new();
        d.drain(S);
        d.started();
        assert!(!d.ready());
    }

    #[test]
    fn a_router_that_is_shutting_down_never_serves_again() {
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
            assert_eq!(d.phase(), Phase::Ending(since), "the shutdown keeps the time of the drain");
        }
    }

    #[test]
    fn connections_close_after_the_grace_period_once_all_is_answered() {
        let mut d = Drain::new();
        d.started();
        assert!(!d.close(5 * S, idle(0)), "a serving router closes no connection");
        d.drain(10 * S);
        assert!(!d.close(10 * S + GRACE - 1, idle(0)), "new clients are still being sent");
        assert!(d.close(10 * S + GRACE, idle(0)));
        let busy = Seen { open: 1, ..idle(10 * S) };
        assert!(!d.close(12 * S, busy), "an open request is answered first");
        // A connection that came late gets time for its first message, one from before the drain does not.
        let late = Seen { asked: false, ..idle(10 * S + GRACE) };
        assert!(!d.close(10 * S + GRACE + 1, late));
        assert!(d.close(10 * S + GRACE + FIRST_WORD, late));
        assert!(d.close(10 * S + GRACE, Seen { asked: false, ..idle(9 * S) }));
        d.resume();
        assert!(!d.close(20 * S, idle(0)), "a resumed router keeps its connections");
    }

    #[test]
    fn exit_waits_for_late_arrivals_and_all_answers() {
        let mut d = Drain::new();
        d.started();
        assert!(!d.may_exit(100 * S, 0, true), "only a shutdown lets the process exit");
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
    fn a_shutdown_accepts_requests_that_can_be_answered_before_sigkill() {
        let mut d = Drain::new().with_longest(2 * S);
        d.started();
        let accepts = |d: &Drain, now, deadline| d.refuses(now, deadline, idle(0)).is_none();
        assert!(accepts(&d, S, 1000 * S), "a serving router accepts all requests");
        d.drain(10 * S);
        assert!(accepts(&d, 10 * S, 1000 * S), "a drained router accepts all requests at first");
        d.end(11 * S);
        // SIGKILL comes 2.7 s after SIGTERM at the soonest, whenever the drain came.
        let kill_time = 11 * S + 2 * S + LINGER;
        assert!(
            accepts(&d, 11 * S + LINGER - 1, 1000 * S),
            "requests within LINGER of the signal are accepted"
        );
        let late = 11 * S + LINGER;
        assert!(accepts(&d, late, kill_time - BEFORE_KILL));
        assert!(!accepts(&d, late, kill_time - BEFORE_KILL + 1));
        assert!(!accepts(&d, 12 * S, kill_time - BEFORE_KILL), "the time of the drain applies too");
        let mut long = Drain::new().with_longest(30 * S);
        long.end(0);
        let counted = LONGEST_COUNTED + LINGER;
        assert!(accepts(&long, TAKES - 1, counted - BEFORE_KILL), "a longer deadline counts as 3 s");
        assert!(!accepts(&long, TAKES - 1, counted));
        let busy = Seen { open: 1, ..idle(0) };
        assert_eq!(long.refuses(TAKES, counted - BEFORE_KILL, busy), Some(RefusalReason::Ending));
    }

    /// Guards against a connection that is held beyond the drain's deadline by its client or by a cache. Requests
    /// behind open ones are refused after a while, those behind waiting answers from the end of the grace period, and
    /// open requests are given up before the operators' check, but no earlier.
    #[test]
    fn a_drain_closes_every_connection_in_time() {
        let mut d = Drain::new();
        d.started();
        let busy = |last_request| Seen { open: 2, last_request: Some(last_request), ..idle(0) };
        assert!(!d.gives_up(9 * S, busy(9 * S)) && !d.cuts(9 * S, 0), "a serving router gives up no request");
        d.drain(10 * S);
        let refused = |now, seen| d.refuses(now, 100 * S, seen);
        assert_eq!(refused(10 * S + TAKES - 1, busy(0)), None);
        assert_eq!(refused(10 * S + TAKES, busy(0)), Some(RefusalReason::Draining));
        assert_eq!(refused(12 * S - 1, idle(0)), None, "an idle connection closes after its answer");
        assert_eq!(refused(12 * S, idle(0)), Some(RefusalReason::Draining));
        let slow = Seen { unwritten: 1, ..busy(0) };
        assert_eq!(refused(10 * S + GRACE - 1, slow), None);
        assert_eq!(refused(10 * S + GRACE, slow), Some(RefusalReason::Draining));
        let by = 10 * S + GIVE_UP;
        assert!(!d.gives_up(by - 1, busy(by - 1)));
        assert!(d.gives_up(by, busy(by - 1)));
        assert!(d.gives_up(by, busy(12 * S)), "a request of the last 2 s before TERM");
        assert!(!d.gives_up(14 * S, busy(12 * S - 1)), "an older request may keep waiting");
        assert!(d.gives_up(14 * S, busy(14 * S - 1)), "until the client sends another one");
        assert!(!d.cuts(by, by - NOT_READING + 1), "the client is still reading");
        assert!(d.cuts(by, by - NOT_READING));
        assert!(d.waits_for_halves(10 * S + TAKES - 1) && !d.waits_for_halves(10 * S + TAKES));
        let late = Seen { asked: false, ..idle(by - 1) };
        assert!(d.close(by, late), "also a connection that came late and has sent nothing");
        assert!(
            !d.close(15 * S, Seen { asked: false, ..idle(15 * S - 1) }),
            "a connection that comes after TERM has time for its first request"
        );
        d.end(15 * S);
        assert!(
            !d.gives_up(15 * S + 1, busy(15 * S)),
            "a request within LINGER may be answered until SIGKILL"
        );
    }

    /// Guards against a shutdown that is still waiting for clients or caches at SIGKILL, or for ever if none comes.
    #[test]
    fn a_shutdown_finishes_before_sigkill() {
        let mut d = Drain::new().with_longest(2 * S);
        d.started();
        d.end(10 * S);
        let kill_time = 10 * S + 2 * S + LINGER;
        let hung = Seen { open: 1, last_request: Some(10 * S), ..idle(0) };
        assert!(!d.gives_up(kill_time - BEFORE_KILL - 1, hung));
        assert!(d.gives_up(kill_time - BEFORE_KILL, hung));
        assert_eq!(d.lingers(11 * S, S), S);
        assert_eq!(d.lingers(kill_time - BEFORE_KILL, S), BEFORE_KILL - LAST_CLOSES);
        assert_eq!(d.lingers(kill_time, S), LAST_CLOSES);
        assert!(!d.is_last_moment(kill_time - LAST_CLOSES - 1) && d.is_last_moment(kill_time - LAST_CLOSES));
        assert!(
            !d.may_exit(kill_time + LATEST_EXIT - 1, 0, false)
                && d.may_exit(kill_time + LATEST_EXIT, 1, false)
        );
    }

    /// In every order of drain, resume, shutdown and reload, the router is ready exactly while it serves, never
    /// leaves the shutdown, and keeps the time at which that began.
    #[test]
    fn invariants_hold_in_every_order_of_calls() {
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

    /// A router whose turn for work has come drains, refuses requests after a while, and serves again after its turn; a
    /// drain by staff outlives the turn.
    #[test]
    fn an_agreed_turn_drains_then_refuses_and_a_drain_by_staff_outlives_it() {
        let mut d = Drain::new();
        d.started();
        d.order(10 * S, false);
        d.order(11 * S, false);
        let refused = |d: &Drain, now| d.refuses(now, 100 * S, idle(0));
        let accepts = |d: &Drain, now| refused(d, now).is_none();
        assert!(!d.ready() && accepts(&d, 12 * S - 1), "as in any drain");
        assert_eq!(refused(&d, 10 * S + ORDERED_TAKES - 1), Some(RefusalReason::Draining));
        assert_eq!(refused(&d, 10 * S + ORDERED_TAKES), Some(RefusalReason::Withdrawn));
        let mut again = Drain::new();
        again.started();
        again.order(10 * S, true);
        assert!(!accepts(&again, 10 * S), "a router that starts while it is out refuses at once");
        assert!(!accepts(&d, 10 * S + ORDERED_TAKES) && d.is_out(10 * S + ORDERED_TAKES));
        d.release();
        assert!(d.ready() && accepts(&d, 20 * S));
        d.drain(21 * S);
        d.order(22 * S, false);
        d.release();
        assert!(!d.ready(), "staff drained it");
        d.resume();
        d.order(23 * S, false);
        assert!(!d.drain(24 * S), "it is draining already");
        d.order(25 * S, false);
        d.release();
        assert!(!d.ready(), "staff drained it during its turn");
        d.resume();
        d.order(30 * S, false);
        assert!(d.resume(), "staff may resume against the order");
        d.order(31 * S, false);
        assert!(!d.ready(), "its turn continues");
        d.release();
        d.alone(true);
        assert!(!d.ready() && !accepts(&d, 40 * S), "no request may be passed on");
        d.alone(false);
        assert!(d.ready());
    }
}
