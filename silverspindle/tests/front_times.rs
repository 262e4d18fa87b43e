//! What the front makes of times that it can't see: how long a connection waited to be accepted, and until when a client that reads
//! slowly has read all; and what a drain makes of the latter.

use bitternhold::Micros;
use silverspindle::counters::RefusalReason;
use silverspindle::drain::{
    ARRIVAL_WINDOW, ConnectionState, Drain, FORCED_ANSWER_AFTER, GRACE, HoldReason, KILL_MARGIN,
};
use silverspindle::front::queue::AcceptQueue;
use silverspindle::front::reading::{CROSSES, FULL_BUFFERS, MARGIN, MOST_UNREAD, PER_BYTE, Reading, WAITED};

const S: Micros = 1_000_000;

#[test]
fn a_connection_can_have_come_since_the_queue_was_last_empty() {
    let mut queue = AcceptQueue::new(3, 100);
    assert_eq!(queue.take(500), 100);
    assert_eq!(queue.take(501), 100);
    queue.seen_empty(600);
    assert_eq!(queue.take(700), 600);
}

#[test]
fn a_connection_can_have_come_since_there_was_room_for_it() {
    let mut queue = AcceptQueue::new(3, 100);
    let bounds: Vec<Micros> = (1..=6).map(|n| queue.take(1000 * n)).collect();
    assert_eq!(bounds, [100, 100, 100, 1000, 2000, 3000]);
}

#[test]
fn a_client_may_read_as_slowly_as_the_slowest_though_no_write_waited() {
    let reading = Reading::default();
    reading.wrote(1000, 50_000, WAITED - 1);
    assert_eq!(reading.reads_until(1000), None, "what it sends meanwhile it sends again");
    reading.wrote(1000, 100_000, WAITED - 1);
    assert_eq!(reading.reads_until(1000), Some(1000 + 150_000 - CROSSES));
    assert!(!reading.is_slow(1000));
}

#[test]
fn a_slow_client_is_behind_with_full_buffers_and_what_is_written_then_up_to_a_bound() {
    let reading = Reading::default();
    reading.wrote(1000, 50_000, WAITED);
    reading.wrote(1000, 50_000, 0);
    assert!(reading.is_slow(1000));
    let unread = PER_BYTE * (FULL_BUFFERS + 50_000);
    assert_eq!(reading.reads_until(1000), Some(1000 + MARGIN * unread - CROSSES));
    assert_eq!(reading.reads_until(1000 + unread), None);
    reading.wrote(S, 10_000_000, 0);
    assert_eq!(reading.reads_until(S), Some(S + MARGIN * PER_BYTE * MOST_UNREAD - CROSSES));
}

/// A connection that owes nothing, of a client that can't have read all before then.
fn behind(until: Micros) -> ConnectionState {
    let (open, unwritten, last_request) = (0, 0, Some(10 * S));
    let (unread_until, slow_reader) = (Some(until), true);
    ConnectionState {
        open,
        unwritten,
        last_request,
        unread_until,
        slow_reader,
        had_request: true,
        last_active: 10 * S,
    }
}

#[test]
fn a_drain_waits_for_a_slow_client_and_refuses_it_more_but_gives_up_in_time() {
    let mut drain = Drain::new();
    drain.started();
    drain.drain(10 * S);
    let by = 10 * S + 2 * S;
    assert_eq!(drain.hold_reason(10 * S + GRACE, behind(by)), Some(HoldReason::UnreadAnswers));
    let refused = drain.refusal(10 * S + GRACE, 20 * S, behind(by));
    assert_eq!(refused, Some(RefusalReason::Draining));
    let fast = ConnectionState { slow_reader: false, ..behind(by) };
    assert_eq!(drain.refusal(10 * S + GRACE, 20 * S, fast), None, "held, and served meanwhile");
    assert!(drain.may_close(by, behind(by)));
    assert!(drain.may_close(10 * S + FORCED_ANSWER_AFTER, behind(60 * S)), "the terms go before");
}

#[test]
fn an_end_waits_for_no_slow_client_into_the_kill() {
    let mut drain = Drain::new().with_longest_deadline(2 * S);
    drain.started();
    drain.end(10 * S);
    let kill = 10 * S + 2 * S + ARRIVAL_WINDOW;
    assert!(!drain.may_close(kill - KILL_MARGIN - 1, behind(60 * S)));
    assert!(drain.may_close(kill - KILL_MARGIN, behind(60 * S)));
}
