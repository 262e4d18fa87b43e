//! The checker of the purge log's promises, on records made by hand: each breach is found, kept promises are found kept.

use serde_json::{Value, json};
use silverspindle_standins::Micros;
use silverspindle_standins::checker::purges::{Event, Everywhere, Findings, Purge, check, stale};
use silverspindle_standins::clients::ServedCopy;
use silverspindle_wire::feed::PurgeTarget;

const LEASE: Micros = 3000;
const STATED: Micros = 5000;

fn start(router: &str, life: u64, number: u64) -> Value {
    json!({"kind": "start", "router": router, "life": life, "at": 1, "number": number})
}

fn applied(router: &str, life: u64, from: u64, to: u64) -> Value {
    json!({"kind": "applied", "router": router, "life": life, "at": 2, "from": from, "to": to})
}

fn reset(router: &str, life: u64, number: u64) -> Value {
    json!({"kind": "reset", "router": router, "life": life, "at": 2, "number": number})
}

fn attempt(router: &str, at: Micros, number: u64, limit: Option<Micros>) -> Value {
    let mode = if limit.is_some() { "safe" } else { "relay" };
    json!({"kind": "attempt", "router": router, "life": 7, "at": at, "number": number, "age": 10, "mode": mode,
        "limit": limit, "object": "00000000000000aa", "group": 170})
}

/// Purges 2, 3 and 5 and a list event 4, told at 1000, 2000, 3000 and 10,000.
fn told() -> Vec<Event> {
    let event = |number, at, is_purge| Event { number, at, is_purge };
    vec![event(2, 1000, true), event(3, 2000, true), event(4, 3000, false), event(5, 10_000, true)]
}

/// Router a is up to date; b has applied 2 alone, late, and is on the safe reading in the end.
fn kept() -> Vec<Value> {
    vec![
        start("a", 7, 1),
        start("b", 7, 1),
        attempt("b", 5900, 1, None),
        applied("a", 7, 1, 3),
        applied("b", 7, 1, 2),
        attempt("b", 6900, 2, None),
        applied("a", 7, 3, 4),
        attempt("a", 9000, 4, None),
        attempt("b", 9100, 2, Some(LEASE)),
        applied("a", 7, 4, 5),
        attempt("a", 20_000, 5, None),
        attempt("b", 20_000, 2, Some(LEASE)),
    ]
}

fn with(more: Vec<Value>, everywhere: &[Everywhere]) -> Findings {
    let records: Vec<Value> = kept().into_iter().chain(more).collect();
    check(&records, &told(), everywhere, STATED)
}

#[test]
fn kept_promises_are_found_kept_and_measured() {
    let everywhere = [Everywhere { number: 3, at: 8000 }, Everywhere { number: 2, at: 8500 }];
    let found = with(vec![start("a", 8, 5), reset("b", 7, 4), applied("b", 7, 4, 5)], &everywhere);
    assert_eq!(found.breaches, Vec::<String>::new());
    assert_eq!((found.applied, found.batches, found.resets, found.everywhere), (6, 5, 1, 2));
    assert_eq!(found.worst, 4900, "b had not applied purges 2 and 3 for so long, without a limit");
    assert_eq!(found.attempts.values().sum::<u64>(), 6);
    assert_eq!(found.attempts["safe"], 2);
}

#[test]
fn a_batch_that_skips_repeats_or_was_never_told_is_found() {
    let breaches = |more| with(more, &[]).breaches.len();
    assert_eq!(breaches(vec![applied("b", 7, 3, 4)]), 1, "skipped");
    assert_eq!(breaches(vec![applied("b", 7, 1, 2)]), 1, "twice");
    assert_eq!(breaches(vec![applied("b", 7, 2, 2)]), 1, "empty");
    assert_eq!(breaches(vec![applied("b", 7, 2, 9)]), 1, "never told");
    assert_eq!(breaches(vec![applied("c", 7, 1, 2)]), 1, "before the start");
    assert_eq!(breaches(vec![start("a", 7, 1)]), 1, "one life starts twice");
    assert_eq!(breaches(vec![reset("a", 7, 4)]), 1, "a reset into the past");
    assert_eq!(
        breaches(vec![attempt("a", 10_001, 4, None)]),
        1,
        "an attempt on another number than was applied"
    );
}

#[test]
fn an_attempt_without_a_purge_after_the_stated_time_is_found() {
    let breaches = |at, limit| with(vec![attempt("b", at, 2, limit)], &[]).breaches.len();
    assert_eq!(breaches(7000, None), 0, "at the stated time's end");
    assert_eq!(breaches(7001, None), 1, "a moment later");
    assert_eq!(breaches(7001, Some(5001)), 0, "no copy from before the purge");
    assert_eq!(breaches(7001, Some(5002)), 1, "a copy from before the purge");
    assert_eq!(breaches(15_001, Some(5001)), 0, "limited, and both purges are older than that");
    assert_eq!(breaches(15_001, Some(5002)), 1, "limited by the earlier purge alone");
}

#[test]
fn an_attempt_without_a_purge_that_is_said_to_be_everywhere_is_found() {
    let after = |number, at, limit| {
        with(vec![attempt("b", at, 2, limit)], &[Everywhere { number, at: 4000 }]).breaches
    };
    assert_eq!(
        after(3, 4000, None).len(),
        2,
        "b's attempts at 5900 and 6900; none at the moment of the word"
    );
    assert_eq!(after(2, 4001, None).len(), 1, "b's attempt at 5900 with number 1");
    assert!(with(vec![], &[Everywhere { number: 3, at: 6901 }]).breaches.is_empty(), "told later");
    let late = [Everywhere { number: 3, at: 6901 }];
    assert_eq!(with(vec![attempt("b", 6902, 2, None)], &late).breaches.len(), 1, "no limit");
    assert!(with(vec![attempt("b", 6902, 2, Some(LEASE))], &late).breaches.is_empty(), "the safe reading");
    let early = [Everywhere { number: 5, at: 10_500 }];
    let safe = with(vec![attempt("b", 10_600, 2, Some(LEASE))], &early).breaches;
    assert_eq!(safe.len(), 1, "a copy that is younger than the limit is older than the purge: {safe:?}");
}

#[test]
fn an_answer_from_a_purged_copy_after_the_stated_time_is_found() {
    let purges = [
        Purge { number: 2, what: PurgeTarget::Object(0x1aa), at: 1000 },
        Purge { number: 3, what: PurgeTarget::Group(0xaa), at: 2000 },
    ];
    let breaches =
        |object, due, stamp| stale("a", &[ServedCopy { due, object, stamp }], &purges, STATED).len();
    assert_eq!(breaches(0x1aa, 6000, 999), 0, "at the stated time's end");
    assert_eq!(breaches(0x1aa, 6001, 999), 1, "a moment later");
    assert_eq!(breaches(0x2aa, 6001, 999), 0, "another object, and its group's purge is younger");
    assert_eq!(breaches(0x2aa, 7001, 1999), 1, "by its group");
    assert_eq!(breaches(0x1aa, 9000, 2000), 0, "a copy from after both");
    assert_eq!(breaches(0x1ab, 9000, 1), 0, "another group");
}
