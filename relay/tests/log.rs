//! The log: what is kept is given out as it came, what is not is told as what it comes to.

mod common;

use common::{list, purge, purges};
use silverspindle_relay::{ANY_COPY, Entry, Log, Record, Reset, bounds};

fn numbers(log: &Log, after: u64) -> Result<Vec<u64>, Reset> {
    Ok(log.since(after)?.map(|record| record.number).collect())
}

fn push<const N: usize>(log: &mut Log, records: [Record; N]) {
    records.into_iter().for_each(|record| log.push(record));
}

fn list_event(number: u64, kind: u8, members: &[(u32, u8)]) -> Record {
    Record { number, entry: Entry::List(list(kind, members)) }
}

#[test]
fn records_come_back_from_any_number_that_is_kept() {
    let mut log = Log::new(0, 10);
    for record in [purge(2, 1, 10), purge(3, 1, 20), purge(7, 1, 30)] {
        log.push(record);
    }
    assert_eq!(numbers(&log, 0), Ok(vec![2, 3, 7]));
    assert_eq!(numbers(&log, 4), Ok(vec![7]));
    assert_eq!(numbers(&log, 7), Ok(vec![]));
    assert_eq!(numbers(&log, 100), Ok(vec![]), "a child that is ahead of this parent");
}

#[test]
fn a_number_that_does_not_count_up_is_left_out() {
    let mut log = Log::new(5, 10);
    push(&mut log, [purge(5, 1, 1), purge(6, 1, 1), purge(6, 2, 2), purge(3, 1, 1)]);
    assert_eq!(numbers(&log, 5), Ok(vec![6]));
}

#[test]
fn purges_that_fall_out_raise_the_time_before_which_copies_may_be_purged() {
    let mut log = Log::new(0, 2);
    push(&mut log, [purge(1, 1, 50), purge(2, 1, 40), purge(3, 1, 60), purge(4, 1, 70)]);
    assert_eq!(numbers(&log, 2), Ok(vec![3, 4]));
    assert_eq!(numbers(&log, 1), Err(Reset { number: 2, purged_before_ms: 50, list: vec![] }));
}

#[test]
fn list_events_that_fall_out_merge_into_one_complete_event() {
    let mut log = Log::new(0, 0);
    log.push(list_event(1, 1, &[(7, 0), (8, 0), (9, 0)]));
    log.push(list_event(2, 2, &[(8, 2), (10, 0)]));
    log.push(list_event(3, 2, &[(7, 1)]));
    let list = list(1, &[(7, 1), (9, 0), (10, 0)]);
    assert_eq!(numbers(&log, 0), Err(Reset { number: 3, purged_before_ms: 0, list: list.clone() }));
    let mut child = Log::new(0, 0);
    child.reset(&Reset { number: 3, purged_before_ms: 0, list });
    child.push(list_event(4, 2, &[(9, 2)]));
    assert_eq!(child.since(0).err().map(|reset| reset.list), Some(common::list(1, &[(7, 1), (10, 0)])));
}

/// Without a complete event there is no whole list to tell: the changes stay changes, the members that have gone among
/// them.
#[test]
fn changes_to_a_list_that_is_not_known_stay_changes() {
    let mut log = Log::new(9, 0);
    log.push(list_event(10, 2, &[(1, 0), (2, 2)]));
    log.push(list_event(11, 2, &[(1, 1)]));
    assert_eq!(log.since(9).err().map(|reset| reset.list), Some(list(2, &[(1, 1), (2, 2)])));
}

/// A parent that began after a child's number does not know what was purged between.
#[test]
fn what_came_before_the_log_s_beginning_is_any_copy_unless_the_host_knows() {
    let mut log = Log::new(100, 1);
    push(&mut log, [purge(101, 1, 7), purge(102, 1, 8)]);
    let told = |log: &Log, after| log.since(after).err().map(|reset| reset.purged_before_ms);
    assert_eq!(told(&log, 50), Some(ANY_COPY));
    assert_eq!(told(&log, 100), Some(7));
    let known = Reset { number: 100, purged_before_ms: 9, list: vec![] };
    let mut log = Log::starting_at(&known, 1);
    push(&mut log, [purge(101, 1, 7), purge(102, 1, 8)]);
    assert_eq!((told(&log, 50), told(&log, 100)), (Some(9), Some(7)));
}

/// A relay that skipped records itself tells its children of its own purges and of those that it was not told.
#[test]
fn a_reset_covers_what_the_log_itself_held_before() {
    let mut log = Log::new(0, 10);
    log.push(purge(1, 1, 90));
    log.reset(&Reset { number: 50, purged_before_ms: 80, list: vec![] });
    log.push(purge(51, 1, 95));
    assert_eq!(log.since(0).err().map(|reset| reset.purged_before_ms), Some(90));
    assert_eq!(numbers(&log, 50), Ok(vec![51]));
    log.reset(&Reset { number: 50, purged_before_ms: 99, list: vec![] });
    assert_eq!(log.latest(), 51, "a reset from the past is left out");
}

#[test]
fn the_log_is_bounded_by_records_and_by_bytes() {
    let mut log = Log::new(0, 100);
    purges(1..=1000).into_iter().for_each(|record| log.push(record));
    assert_eq!(numbers(&log, 900).map(|all| all.len()), Ok(100));
    let big: Vec<(u32, u8)> = (0..9000).map(|id| (id, 0)).collect();
    let mut log = Log::new(0, usize::MAX);
    (1..=400).for_each(|number| log.push(list_event(number, 2, &big)));
    assert!(log.memory() <= bounds::LOG + bounds::LIST * 2, "{}", log.memory());
}
