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
//! faster than the client reads. Such connections are forced to a close. From [`BUSY_ACCEPT_TIME`] on, further
//! requests behind open ones are refused as never run (from [`GRACE`] on where answers wait for the client to read
//! them). At [`FORCED_ANSWER_AFTER`], what is still open on a connection in use is given up. Every wait in this
//! module is bounded in real time, whatever clients and caches do. SIGHUP does not affect this module.

use bitternhold::Micros;

use crate::counters::RefusalReason;

/// Grace period after the start of a drain or shutdown in which no connection is closed, in microseconds. The load
/// balancer in front learns that the router is not ready within 0.1 s and sends no new connection 0.2 s later.
pub const GRACE: Micros = 400_000;
/// For this long after the start of a drain or shutdown, requests are accepted on connections with open requests, in
/// microseconds. Requests accepted by then have until [`FORCED_ANSWER_AFTER`] for their answer, longer than the aim
/// of any class. Most connections have had a moment without an open request before.
pub const BUSY_ACCEPT_TIME: Micros = 1_000_000;
/// The operators check connections this long after the start of a drain, in microseconds. At that time no connection
/// may be idle or have had a request within [`RECENT_REQUEST`].
pub const CLOSE_DEADLINE: Micros = 4_000_000;
/// A request within this time before [`CLOSE_DEADLINE`] makes its connection count as held, in microseconds.
pub const RECENT_REQUEST: Micros = 2_000_000;
/// Time after the start of a drain at which requests still open on a connection in use are given up, in microseconds.
/// It leaves enough time before [`CLOSE_DEADLINE`] to write the final answer, for the client to read it, and to close.
pub const FORCED_ANSWER_AFTER: Micros = CLOSE_DEADLINE - 600_000;
/// From [`FORCED_ANSWER_AFTER`] on, a client that has read no byte of its waiting answers for this long, in
/// microseconds, counts as no longer reading, once the time that it waits for them is over.
pub const READ_STALL: Micros = 2_000_000;
/// Time for the first request of a connection that came late, after the start of a drain or shutdown, in microseconds.
pub const FIRST_MESSAGE_TIMEOUT: Micros = 300_000;
/// Time after SIGTERM in which clients may still arrive, in microseconds (0.4 s for connections, 0.2 s for requests).
pub const ARRIVAL_WINDOW: Micros = 700_000;
/// Cap on the longest deadline in the time from SIGTERM to SIGKILL, in microseconds: SIGKILL follows after the longest
/// deadline, capped at this value, plus [`ARRIVAL_WINDOW`].
pub const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Margin before SIGKILL by which the last answers must be written, in microseconds: a timeout at the deadline reaches
/// the client within 50 ms. Requests that are still open then are given up.
pub const KILL_MARGIN: Micros = 150_000;
/// Connections that wait for the client's own close are dropped this long before SIGKILL, in microseconds.
pub const CLOSE_MARGIN: Micros = 100_000;
/// If no SIGKILL comes, the process waits this long after the time of SIGKILL for clients that still read, in
/// microseconds.
pub const EXIT_OVERTIME: Micros = 10_000_000;

/// For this long, in microseconds, a router whose turn for work has come still accepts requests. None of its clients'
/// connections should be left by then.
pub const ORDERED_ACCEPT_TIME: Micros = 4_000_000;

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
pub struct ConnectionState {
    /// Number of requests whose answer is not completely written, including replies that need no decision.
    pub open: usize,
    /// Number of those whose answer is ready but waits for the client to take it.
    pub unwritten: usize,
    /// Arrival time of the last request.
    pub last_request: Option<Micros>,
    /// Earliest time at which the client can have read enough of its answers for a close; none if it can have already.
    pub unread_until: Option<Micros>,
    /// The client was observed to read slowly.
    pub slow_reader: bool,
    /// Any message was received on this connection, also one that is no request (`isWell`).
    pub received_any: bool,
    /// When the connection was accepted or last had activity.
    pub last_active: Micros,
}

/// Reason why a client's connection is not closed yet during a drain or shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// The grace period is not over: clients are still being sent to this router.
    Grace,
    /// Requests on the connection are open.
    OpenRequests,
    /// The client can't have read all answers yet, so requests that it sends now would cross the end of the stream.
    UnreadAnswers,
    /// The connection came late and its time for a first message has not passed.
    FirstMessage,
}

impl HoldReason {
    /// Name of the reason in log lines.
    pub fn name(self) -> &'static str {
        match self {
            HoldReason::Grace => "grace",
            HoldReason::OpenRequests => "open_requests",
            HoldReason::UnreadAnswers => "unread_answers",
            HoldReason::FirstMessage => "first_message",
        }
    }
}

/// The state machine of draining.
#[derive(Clone, Debug)]
pub struct Drain {
    phase: Phase,
    /// Shortest time from SIGTERM to SIGKILL.
    kill_after: Micros,
    /// Earliest time at which the drain or shutdown can have been requested: it may have been noticed late. What must be
    /// over some time after the request counts from here.
    requested: Micros,
    /// When SIGTERM was noticed.
    signalled: Micros,
    /// Earliest time at which SIGTERM can have come.
    earliest_signal: Micros,
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
            kill_after: MAX_COUNTED_DEADLINE + ARRIVAL_WINDOW,
            requested: 0,
            signalled: 0,
            earliest_signal: 0,
            ordered: None,
            alone: false,
        }
    }

    /// Sets the longest deadline of the site's classes, which determines when SIGKILL may follow SIGTERM.
    pub fn with_longest_deadline(mut self, deadline: Micros) -> Self {
        self.kill_after = deadline.min(MAX_COUNTED_DEADLINE) + ARRIVAL_WINDOW;
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
        self.drain_noticed(now, now)
    }

    /// As [`Self::drain`], for a request that is noticed now and can have come as early as `earliest`.
    pub fn drain_noticed(&mut self, now: Micros, earliest: Micros) -> bool {
        // From here on the drain is staff's, even if an order of work started it: the end of the order does not undo
        // it.
        if let Some((_, started_by_order)) = &mut self.ordered {
            *started_by_order = false;
        }
        self.begin_drain(now, earliest)
    }

    fn begin_drain(&mut self, now: Micros, earliest: Micros) -> bool {
        match self.phase {
            Phase::Starting | Phase::Serving => {
                self.phase = Phase::Draining(now);
                self.requested = earliest;
                true
            }
            Phase::Draining(_) | Phase::Ending(_) => false,
        }
    }

    /// The agreed order of work takes this router out: it drains, and after [`ORDERED_ACCEPT_TIME`] refuses every
    /// request, so that nothing is lost when it is unplugged. A router that restarts while it is already `out`
    /// refuses at once.
    pub fn order_out(&mut self, now: Micros, out: bool) {
        let (since, started_by_order) = self.ordered.unwrap_or((now, false));
        let since = if out { since.min(now.saturating_sub(ORDERED_ACCEPT_TIME)) } else { since };
        self.ordered = Some((since, self.begin_drain(now, now) || started_by_order));
    }

    /// The router's turn for work is over: it serves again, unless staff have requested a drain as well.
    pub fn end_order(&mut self) {
        if let Some((_, true)) = self.ordered.take() {
            self.resume();
        }
    }

    /// Sets whether the router may pass on no request at all: it then refuses every request at once and is not ready.
    pub fn set_alone(&mut self, alone: bool) {
        self.alone = alone;
    }

    /// Whether the router refuses every request because the agreed order of work takes it out.
    pub fn is_out(&self, now: Micros) -> bool {
        self.ordered.is_some_and(|(since, _)| now >= since.saturating_add(ORDERED_ACCEPT_TIME))
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
        self.end_noticed(now, now);
    }

    /// As [`Self::end`], for a signal that is noticed now and can have come as early as `earliest`.
    pub fn end_noticed(&mut self, now: Micros, earliest: Micros) {
        if !matches!(self.phase, Phase::Ending(_)) {
            (self.signalled, self.earliest_signal) = (now, earliest);
        }
        self.phase = match self.phase {
            Phase::Draining(since) => Phase::Ending(since.min(now)),
            Phase::Ending(since) => Phase::Ending(since),
            Phase::Starting | Phase::Serving => {
                self.requested = earliest;
                Phase::Ending(now)
            }
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

    /// Whether a drain or shutdown closes this connection now: after the grace period, once no answer is owed on it and
    /// the client can have read what was written. A connection that came late and has sent nothing yet gets
    /// [`FIRST_MESSAGE_TIMEOUT`] for its first message. [`Self::hold_reason`] tells why it is kept otherwise.
    pub fn may_close(&self, now: Micros, connection: ConnectionState) -> bool {
        self.since().is_some() && self.hold_reason(now, connection).is_none()
    }

    /// Why a connection is kept for now during a drain or shutdown.
    pub fn hold_reason(&self, now: Micros, connection: ConnectionState) -> Option<HoldReason> {
        hold_reason_since(self.since()?, self.requested, self.wait_for_reader_until(), now, connection)
    }

    /// Why a request that arrives now on this connection and is due by `deadline` is refused, as never run; none if
    /// it is accepted. A router that is shutting down accepts every request within [`ARRIVAL_WINDOW`] of the signal,
    /// as promised to clients, and later ones that it can answer before SIGKILL. After [`BUSY_ACCEPT_TIME`], during a
    /// drain or shutdown, no request is accepted on a connection with open requests: clients may keep using their
    /// connections, and one that always has a request open would never be closed. Where answers wait for the client to
    /// read them, or the client reads slowly, this applies from [`GRACE`] on. From [`RECENT_REQUEST`] before
    /// [`CLOSE_DEADLINE`] on, no request is accepted at all, as its connection would count as held at
    /// [`CLOSE_DEADLINE`]. Apart from drain and shutdown, a router that is out for work or may pass on no request
    /// refuses every one as withdrawn.
    pub fn refusal(
        &self,
        now: Micros,
        deadline: Micros,
        connection: ConnectionState,
    ) -> Option<RefusalReason> {
        if self.alone || self.is_out(now) {
            return Some(RefusalReason::Withdrawn);
        }
        let since = self.since()?;
        let slow_reader =
            connection.slow_reader && connection.unread_until.is_some() && now < self.wait_for_reader_until();
        let backlog = (connection.unwritten > 0 || slow_reader) && now >= since.saturating_add(GRACE);
        let busy = connection.open > 0 && now >= since.saturating_add(BUSY_ACCEPT_TIME);
        let must_refuse =
            backlog || busy || now >= self.requested.saturating_add(CLOSE_DEADLINE - RECENT_REQUEST);
        match self.phase {
            Phase::Ending(_) if now < self.signalled.saturating_add(ARRIVAL_WINDOW) => None,
            Phase::Ending(_) if must_refuse || deadline.saturating_add(KILL_MARGIN) > self.kill_time() => {
                Some(RefusalReason::Ending)
            }
            Phase::Draining(_) if must_refuse => Some(RefusalReason::Draining),
            _ => None,
        }
    }

    /// Until when the router waits for clients that read slowly; after that, [`CLOSE_DEADLINE`] or SIGKILL is too near.
    fn wait_for_reader_until(&self) -> Micros {
        let given_up_at = self.requested.saturating_add(FORCED_ANSWER_AFTER);
        match self.phase {
            Phase::Ending(_) => given_up_at.min(self.kill_time().saturating_sub(KILL_MARGIN)),
            _ => given_up_at,
        }
    }

    /// Earliest time at which SIGKILL may follow SIGTERM.
    fn kill_time(&self) -> Micros {
        self.earliest_signal.saturating_add(self.kill_after)
    }

    /// Whether the open requests of a connection must get their final answer now, because it would not be closed in
    /// time otherwise: its last request is within [`RECENT_REQUEST`] of [`CLOSE_DEADLINE`], or SIGKILL is near.
    pub fn must_answer_now(&self, now: Micros, connection: ConnectionState) -> bool {
        if self.since().is_none() {
            return false;
        }
        let checked_at = self.requested.saturating_add(CLOSE_DEADLINE);
        let in_use =
            connection.last_request.is_some_and(|at| at.saturating_add(RECENT_REQUEST) >= checked_at);
        let ending = matches!(self.phase, Phase::Ending(_));
        let kill_is_near = ending && now.saturating_add(KILL_MARGIN) >= self.kill_time();
        // Requests that a router accepts during shutdown after the check at CLOSE_DEADLINE may be answered until
        // SIGKILL.
        let check_ahead = !ending || now < checked_at;
        kill_is_near || (in_use && check_ahead && now >= self.requested.saturating_add(FORCED_ANSWER_AFTER))
    }

    /// Whether a connection with waiting answers must be cut off; its client has read none of them since `waits_since`, and
    /// waits for none of them any more from `gives_up_at` on, the end of its requests' budgets (PROTOCOL, "budget").
    pub fn must_cut_off(&self, now: Micros, waits_since: Micros, gives_up_at: Micros) -> bool {
        let Some(since) = self.since() else { return false };
        now >= self.requested.saturating_add(FORCED_ANSWER_AFTER)
            && now >= gives_up_at
            && now >= waits_since.max(since).saturating_add(READ_STALL)
    }

    /// Whether the rest of a partially received message is waited for before its connection is closed: during a drain
    /// or shutdown only for [`BUSY_ACCEPT_TIME`], in which requests are accepted.
    pub fn waits_for_partial_message(&self, now: Micros) -> bool {
        self.since().is_none_or(|since| now < since.saturating_add(BUSY_ACCEPT_TIME))
    }

    /// How long a connection that this side has closed may wait for the client's own close: `usual`, or during a
    /// shutdown at most until [`CLOSE_MARGIN`] before SIGKILL, so that the process exits before it; from then on
    /// [`CLOSE_MARGIN`].
    pub fn close_timeout(&self, now: Micros, usual: Micros) -> Micros {
        match self.phase {
            Phase::Ending(_) => {
                let left = self.kill_time().saturating_sub(CLOSE_MARGIN).saturating_sub(now);
                if left > 0 { left.min(usual) } else { CLOSE_MARGIN }
            }
            _ => usual,
        }
    }

    /// Whether connections that wait for the client's own close must be dropped now, however recently they were closed,
    /// because SIGKILL is near.
    pub fn is_before_kill(&self, now: Micros) -> bool {
        matches!(self.phase, Phase::Ending(_)) && now.saturating_add(CLOSE_MARGIN) >= self.kill_time()
    }

    /// Whether the process may exit: a shutdown has begun, [`ARRIVAL_WINDOW`] has passed since, no answer is owed and
    /// the listener and all clients' connections are closed (`all_closed`). From [`EXIT_OVERTIME`] after the time of
    /// SIGKILL on, the process no longer waits for clients that read their answers too slowly.
    pub fn may_exit(&self, now: Micros, owed: usize, all_closed: bool) -> bool {
        match self.phase {
            Phase::Ending(_) if now >= self.kill_time().saturating_add(EXIT_OVERTIME) => true,
            Phase::Ending(since) => now >= since.saturating_add(ARRIVAL_WINDOW) && owed == 0 && all_closed,
            _ => false,
        }
    }
}

/// Why a connection is kept at `now` in a drain or shutdown that began at `since` and was `requested` then or
/// earlier. Between [`FORCED_ANSWER_AFTER`] and
/// [`CLOSE_DEADLINE`] a connection without a message is not kept, as it would count as held at the latter.
fn hold_reason_since(
    since: Micros,
    requested: Micros,
    wait_for_reader_until: Micros,
    now: Micros,
    connection: ConnectionState,
) -> Option<HoldReason> {
    if now < since.saturating_add(GRACE) {
        return Some(HoldReason::Grace);
    }
    if connection.open > 0 {
        return Some(HoldReason::OpenRequests);
    }
    if connection.unread_until.is_some_and(|until| now < until.min(wait_for_reader_until)) {
        return Some(HoldReason::UnreadAnswers);
    }
    let late_and_silent = !connection.received_any && connection.last_active >= since;
    let in_time = now < connection.last_active.saturating_add(FIRST_MESSAGE_TIMEOUT);
    let check_ahead = (requested.saturating_add(FORCED_ANSWER_AFTER)
        ..requested.saturating_add(CLOSE_DEADLINE))
        .contains(&now);
    (late_and_silent && in_time && !check_ahead).then_some(HoldReason::FirstMessage)
}
