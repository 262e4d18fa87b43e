//! The state machine of draining, without I/O: readiness, what is refused, closed or given up and when, and when the process
//! may exit.

use bitternhold::Micros;
use silverspindle::counters::RefusalReason;
use silverspindle::drain::*;

const S: Micros = 1_000_000;

fn idle(used: Micros) -> ConnectionState {
    ConnectionState {
        open: 0,
        unwritten: 0,
        last_request: None,
        unread_until: None,
        slow_reader: false,
        received_any: true,
        last_active: used,
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
    assert!(!d.may_close(5 * S, idle(0)), "a serving router closes no connection");
    d.drain(10 * S);
    assert!(!d.may_close(10 * S + GRACE - 1, idle(0)), "new clients are still being sent");
    assert!(d.may_close(10 * S + GRACE, idle(0)));
    let busy = ConnectionState { open: 1, ..idle(10 * S) };
    assert!(!d.may_close(12 * S, busy), "an open request is answered first");
    // A connection that came late gets time for its first message, one from before the drain does not.
    let late = ConnectionState { received_any: false, ..idle(10 * S + GRACE) };
    assert!(!d.may_close(10 * S + GRACE + 1, late));
    assert!(d.may_close(10 * S + GRACE + FIRST_MESSAGE_TIMEOUT, late));
    assert!(d.may_close(10 * S + GRACE, ConnectionState { received_any: false, ..idle(9 * S) }));
    d.resume();
    assert!(!d.may_close(20 * S, idle(0)), "a resumed router keeps its connections");
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
    assert!(!e.may_exit(10 * S + ARRIVAL_WINDOW - 1, 0, true));
    assert!(!e.may_exit(10 * S + ARRIVAL_WINDOW, 1, true));
    assert!(!e.may_exit(10 * S + ARRIVAL_WINDOW, 0, false));
    assert!(e.may_exit(10 * S + ARRIVAL_WINDOW, 0, true));
}

#[test]
fn a_shutdown_accepts_requests_that_can_be_answered_before_sigkill() {
    let mut d = Drain::new().with_longest_deadline(2 * S);
    d.started();
    let accepts = |d: &Drain, now, deadline| d.refusal(now, deadline, idle(0)).is_none();
    assert!(accepts(&d, S, 1000 * S), "a serving router accepts all requests");
    d.drain(10 * S);
    assert!(accepts(&d, 10 * S, 1000 * S), "a drained router accepts all requests at first");
    d.end(11 * S);
    // SIGKILL comes 2.7 s after SIGTERM at the soonest, whenever the drain came.
    let kill_time = 11 * S + 2 * S + ARRIVAL_WINDOW;
    assert!(
        accepts(&d, 11 * S + ARRIVAL_WINDOW - 1, 1000 * S),
        "requests within ARRIVAL_WINDOW of the signal are accepted"
    );
    let late = 11 * S + ARRIVAL_WINDOW;
    assert!(accepts(&d, late, kill_time - KILL_MARGIN));
    assert!(!accepts(&d, late, kill_time - KILL_MARGIN + 1));
    assert!(!accepts(&d, 12 * S, kill_time - KILL_MARGIN), "the time of the drain applies too");
    let mut long = Drain::new().with_longest_deadline(30 * S);
    long.end(0);
    let counted = MAX_COUNTED_DEADLINE + ARRIVAL_WINDOW;
    assert!(accepts(&long, BUSY_ACCEPT_TIME - 1, counted - KILL_MARGIN), "a longer deadline counts as 3 s");
    assert!(!accepts(&long, BUSY_ACCEPT_TIME - 1, counted));
    let busy = ConnectionState { open: 1, ..idle(0) };
    assert_eq!(long.refusal(BUSY_ACCEPT_TIME, counted - KILL_MARGIN, busy), Some(RefusalReason::Ending));
}

/// Guards against a connection that is held beyond the drain's deadline by its client or by a cache. Requests
/// behind open ones are refused after a while, those behind waiting answers from the end of the grace period, and
/// open requests are given up before the operators' check, but no earlier.
#[test]
fn a_drain_closes_every_connection_in_time() {
    let mut d = Drain::new();
    d.started();
    let busy = |last_request| ConnectionState { open: 2, last_request: Some(last_request), ..idle(0) };
    assert!(
        !d.must_answer_now(9 * S, busy(9 * S)) && !d.must_cut_off(9 * S, 0, 0),
        "a serving router gives up no request"
    );
    d.drain(10 * S);
    let refused = |now, connection| d.refusal(now, 100 * S, connection);
    assert_eq!(refused(10 * S + BUSY_ACCEPT_TIME - 1, busy(0)), None);
    assert_eq!(refused(10 * S + BUSY_ACCEPT_TIME, busy(0)), Some(RefusalReason::Draining));
    assert_eq!(refused(12 * S - 1, idle(0)), None, "an idle connection closes after its answer");
    assert_eq!(refused(12 * S, idle(0)), Some(RefusalReason::Draining));
    let slow = ConnectionState { unwritten: 1, ..busy(0) };
    assert_eq!(refused(10 * S + GRACE - 1, slow), None);
    assert_eq!(refused(10 * S + GRACE, slow), Some(RefusalReason::Draining));
    let by = 10 * S + FORCED_ANSWER_AFTER;
    assert!(!d.must_answer_now(by - 1, busy(by - 1)));
    assert!(d.must_answer_now(by, busy(by - 1)));
    assert!(d.must_answer_now(by, busy(12 * S)), "a request of the last 2 s before CLOSE_DEADLINE");
    assert!(!d.must_answer_now(14 * S, busy(12 * S - 1)), "an older request may keep waiting");
    assert!(d.must_answer_now(14 * S, busy(14 * S - 1)), "until the client sends another one");
    assert!(!d.must_cut_off(by, by - READ_STALL + 1, by), "the client is still reading");
    assert!(!d.must_cut_off(by, by - READ_STALL, by + 1), "the client still waits for its answers");
    assert!(d.must_cut_off(by, by - READ_STALL, by));
    assert!(
        d.waits_for_partial_message(10 * S + BUSY_ACCEPT_TIME - 1)
            && !d.waits_for_partial_message(10 * S + BUSY_ACCEPT_TIME)
    );
    let late = ConnectionState { received_any: false, ..idle(by - 1) };
    assert!(d.may_close(by, late), "also a connection that came late and has sent nothing");
    assert!(
        !d.may_close(15 * S, ConnectionState { received_any: false, ..idle(15 * S - 1) }),
        "a connection that comes after CLOSE_DEADLINE has time for its first request"
    );
    d.end(15 * S);
    assert!(
        !d.must_answer_now(15 * S + 1, busy(15 * S)),
        "a request within ARRIVAL_WINDOW may be answered until SIGKILL"
    );
}

/// Guards against a shutdown that is still waiting for clients or caches at SIGKILL, or for ever if none comes.
#[test]
fn a_shutdown_finishes_before_sigkill() {
    let mut d = Drain::new().with_longest_deadline(2 * S);
    d.started();
    d.end(10 * S);
    let kill_time = 10 * S + 2 * S + ARRIVAL_WINDOW;
    let hung = ConnectionState { open: 1, last_request: Some(10 * S), ..idle(0) };
    assert!(!d.must_answer_now(kill_time - KILL_MARGIN - 1, hung));
    assert!(d.must_answer_now(kill_time - KILL_MARGIN, hung));
    assert_eq!(d.close_timeout(11 * S, S), S);
    assert_eq!(d.close_timeout(kill_time - KILL_MARGIN, S), KILL_MARGIN - CLOSE_MARGIN);
    assert_eq!(d.close_timeout(kill_time, S), CLOSE_MARGIN);
    assert!(!d.is_before_kill(kill_time - CLOSE_MARGIN - 1) && d.is_before_kill(kill_time - CLOSE_MARGIN));
    assert!(
        !d.may_exit(kill_time + EXIT_OVERTIME - 1, 0, false)
            && d.may_exit(kill_time + EXIT_OVERTIME, 1, false)
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
    d.order_out(10 * S, false);
    d.order_out(11 * S, false);
    let refused = |d: &Drain, now| d.refusal(now, 100 * S, idle(0));
    let accepts = |d: &Drain, now| refused(d, now).is_none();
    assert!(!d.ready() && accepts(&d, 12 * S - 1), "as in any drain");
    assert_eq!(refused(&d, 10 * S + ORDERED_ACCEPT_TIME - 1), Some(RefusalReason::Draining));
    assert_eq!(refused(&d, 10 * S + ORDERED_ACCEPT_TIME), Some(RefusalReason::Withdrawn));
    let mut again = Drain::new();
    again.started();
    again.order_out(10 * S, true);
    assert!(!accepts(&again, 10 * S), "a router that starts while it is out refuses at once");
    assert!(!accepts(&d, 10 * S + ORDERED_ACCEPT_TIME) && d.is_out(10 * S + ORDERED_ACCEPT_TIME));
    d.end_order();
    assert!(d.ready() && accepts(&d, 20 * S));
    d.drain(21 * S);
    d.order_out(22 * S, false);
    d.end_order();
    assert!(!d.ready(), "staff drained it");
    d.resume();
    d.order_out(23 * S, false);
    assert!(!d.drain(24 * S), "it is draining already");
    d.order_out(25 * S, false);
    d.end_order();
    assert!(!d.ready(), "staff drained it during its turn");
    d.resume();
    d.order_out(30 * S, false);
    assert!(d.resume(), "staff may resume against the order");
    d.order_out(31 * S, false);
    assert!(!d.ready(), "its turn continues");
    d.end_order();
    d.set_alone(true);
    assert!(!d.ready() && !accepts(&d, 40 * S), "no request may be passed on");
    d.set_alone(false);
    assert!(d.ready());
}
