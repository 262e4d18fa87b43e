//! The front's estimates of times that it can't observe: how long a connection waited to be accepted, and when a slow
//! client has read everything; and how a drain uses the latter.

use bitternhold::Micros;
use silverspindle::counters::RefusalReason;
use silverspindle::drain::{
    ARRIVAL_WINDOW, ConnectionState, Drain, FORCED_ANSWER_AFTER, GRACE, HoldReason, KILL_MARGIN,
};
use silverspindle::front::queue::AcceptQueue;
use silverspindle::front::reading::{
    FULL_BUFFERS, MAX_UNREAD, READ_TIME_PER_BYTE, RESEND_WINDOW, ReadProgress, SLOW_READER_FACTOR, SLOW_WRITE,
};

const S: Micros = 1_000_000;

#[test]
fn a_connection_can_have_arrived_since_the_queue_was_last_empty() {
    let mut queue = AcceptQueue::new(3, 100);
    assert_eq!(queue.accepted(500), 100);
    assert_eq!(queue.accepted(501), 100);
    queue.seen_empty(600);
    assert_eq!(queue.accepted(700), 600);
}

#[test]
fn a_connection_can_have_arrived_since_there_was_room_for_it() {
    let mut queue = AcceptQueue::new(3, 100);
    let bounds: Vec<Micros> = (1..=6).map(|n| queue.accepted(1000 * n)).collect();
    assert_eq!(bounds, [100, 100, 100, 1000, 2000, 3000]);
}

#[test]
fn a_client_is_assumed_to_read_at_the_slowest_rate_even_if_no_write_waited() {
    let reading = ReadProgress::default();
    reading.record_write(1000, 50_000, SLOW_WRITE - 1);
    assert_eq!(reading.unread_until(1000), None, "the client resends what it sends meanwhile");
    reading.record_write(1000, 100_000, SLOW_WRITE - 1);
    assert_eq!(reading.unread_until(1000), Some(1000 + 150_000 - RESEND_WINDOW));
    assert!(!reading.is_slow(1000));
}

#[test]
fn a_slow_client_is_behind_by_full_buffers_and_later_writes_up_to_a_limit() {
    let reading = ReadProgress::default();
    reading.record_write(1000, 50_000, SLOW_WRITE);
    reading.record_write(1000, 50_000, 0);
    assert!(reading.is_slow(1000));
    let unread = READ_TIME_PER_BYTE * (FULL_BUFFERS + 50_000);
    assert_eq!(reading.unread_until(1000), Some(1000 + SLOW_READER_FACTOR * unread - RESEND_WINDOW));
    assert_eq!(reading.unread_until(1000 + unread), None);
    reading.record_write(S, 10_000_000, 0);
    assert_eq!(
        reading.unread_until(S),
        Some(S + SLOW_READER_FACTOR * READ_TIME_PER_BYTE * MAX_UNREAD - RESEND_WINDOW)
    );
}

/// State of a connection that owes nothing and whose client can't have read everything before `until`.
fn slow_reader_state(until: Micros) -> ConnectionState {
    let (open, unwritten, last_request) = (0, 0, Some(10 * S));
    let (unread_until, slow_reader) = (Some(until), true);
    ConnectionState {
        open,
        unwritten,
        last_request,
        unread_until,
        slow_reader,
        received_any: true,
        last_active: 10 * S,
    }
}

#[test]
fn a_drain_waits_for_a_slow_client_and_refuses_its_requests_but_gives_up_in_time() {
    let mut drain = Drain::new();
    drain.started();
    drain.drain(10 * S);
    let by = 10 * S + 2 * S;
    assert_eq!(drain.hold_reason(10 * S + GRACE, slow_reader_state(by)), Some(HoldReason::UnreadAnswers));
    let refused = drain.refusal(10 * S + GRACE, 20 * S, slow_reader_state(by));
    assert_eq!(refused, Some(RefusalReason::Draining));
    let fast = ConnectionState { slow_reader: false, ..slow_reader_state(by) };
    assert_eq!(drain.refusal(10 * S + GRACE, 20 * S, fast), None, "held open, and its requests are served");
    assert!(drain.may_close(by, slow_reader_state(by)));
    assert!(
        drain.may_close(10 * S + FORCED_ANSWER_AFTER, slow_reader_state(60 * S)),
        "the drain's deadline has priority"
    );
}

#[test]
fn a_shutdown_stops_waiting_for_a_slow_client_before_the_kill() {
    let mut drain = Drain::new().with_longest_deadline(2 * S);
    drain.started();
    drain.end(10 * S);
    let kill = 10 * S + 2 * S + ARRIVAL_WINDOW;
    assert!(!drain.may_close(kill - KILL_MARGIN - 1, slow_reader_state(60 * S)));
    assert!(drain.may_close(kill - KILL_MARGIN, slow_reader_state(60 * S)));
}

/// A router that was stopped notices a drain or SIGTERM late: what has to be over by a time counts from when the request
/// can have come, and what is granted to clients from when it was noticed.
#[test]
fn a_drain_or_a_signal_that_is_noticed_late_keeps_its_deadlines_and_its_grace() {
    const DELAY: Micros = S;
    let in_use = |at| ConnectionState { open: 1, last_request: Some(at), ..slow_reader_state(0) };
    let mut drain = Drain::new();
    drain.started();
    drain.drain_noticed(10 * S + DELAY, 10 * S);
    let given_up_at = 10 * S + FORCED_ANSWER_AFTER;
    assert!(drain.must_answer_now(given_up_at, in_use(given_up_at)));
    assert!(!drain.must_answer_now(given_up_at - 1, in_use(given_up_at - 1)));
    let idle = ConnectionState { open: 0, ..in_use(9 * S) };
    assert_eq!(drain.hold_reason(10 * S + DELAY + GRACE - 1, idle), Some(HoldReason::Grace));
    let mut end = Drain::new().with_longest_deadline(2 * S);
    end.started();
    end.end_noticed(10 * S + DELAY, 10 * S);
    let kill_time = 10 * S + 2 * S + ARRIVAL_WINDOW;
    assert!(end.must_answer_now(kill_time - KILL_MARGIN, in_use(10 * S)));
    assert_eq!(end.refusal(10 * S + DELAY + ARRIVAL_WINDOW - 1, 20 * S, idle), None);
    assert!(!end.may_exit(10 * S + DELAY + ARRIVAL_WINDOW - 1, 0, true));
}
