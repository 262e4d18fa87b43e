//! The soak's checker finds each fault that it is there for, and nothing in records without one.

use silverspindle_standins::SECOND;
use silverspindle_standins::soak::checker::check;
use silverspindle_standins::soak::record::{
    Attempt, AttemptEnd, CacheDrain, Connection, Copy, Drain, EndKind, Process, Purge, Purged, Records,
    Request, Stop, Word,
};
use silverspindle_standins::soak::terms::{Class, Effect, Group, Terms};

const S: u64 = SECOND;
const ENDED: u64 = 100 * S;

/// Places of the classes.
const PAGE: usize = 0;
const SCAN: usize = 1;
const ORDER: usize = 2;
const LABEL: usize = 3;

fn terms() -> Terms {
    let class = |name, effect, write, fresh, stale| Class { name, effect, write, aim: S, fresh, stale };
    let classes = vec![
        class("page", Effect::Idempotent, false, 5 * S, 2 * S),
        class("scan", Effect::Deduplicated(Group::All, 2 * S), true, 0, 0),
        class("order", Effect::AtMostOnce, true, 0, 0),
        class("label", Effect::Deduplicated(Group::Cell, 2 * S), false, 5 * S, 2 * S),
    ];
    Terms { classes, tries: 3, second_copies: true, ..Terms::default() }
}

/// Of the object that is asked for, made when this says, whole.
fn copy(stamp: u64) -> Word {
    Word::Served(Some(Copy { object: 7, stamp, whole: true }))
}

/// A request at 10 s, answered after 0.1 s on a connection that its client leaves at 20 s, by a process that ends well.
fn good() -> Records {
    let records = Records { terms: terms(), cells: vec![0, 0, 1], ..Records::default() };
    let (answers, cancelled, whole) = (vec![(10 * S + S / 10, copy(9 * S))], None, true);
    let (class, object, group, cached, sent, budget) = (ORDER, 7, 3, None, 10 * S, S);
    records.requests.borrow_mut().push(Request {
        connection: 0,
        class,
        object,
        group,
        cached,
        sent,
        budget,
        answers,
        cancelled,
        whole,
    });
    let ended = Some((20 * S, EndKind::Left));
    records.connections.borrow_mut().push(Connection { process: 0, opened: 9 * S, slow: false, ended });
    records.attempts.borrow_mut().push(attempt(0, 10 * S + 1));
    let (started, told, ended) = (S, Some(30 * S), Some((31 * S, true)));
    records.processes.borrow_mut().push(Process { router: 0, started, told, killed: None, ended });
    records
}

/// An attempt at a cache that is answered after 0.05 s.
fn attempt(cache: usize, arrived: u64) -> Attempt {
    let ended = Some((arrived + S / 20, AttemptEnd::MayHaveRun));
    Attempt { request: 0, cache, arrived, ttl: S, source: Some(6), newer: None, answer: "HIT", ended }
}

/// The rules that are broken once the records are changed like this.
fn broken(change: impl FnOnce(&Records)) -> Vec<&'static str> {
    let records = good();
    change(&records);
    check(&records, ENDED, 0).into_iter().map(|broken| broken.rule).collect()
}

fn request(records: &Records, change: impl FnOnce(&mut Request)) {
    change(&mut records.requests.borrow_mut()[0]);
}

fn ended(records: &Records, at: u64, how: EndKind) {
    records.connections.borrow_mut()[0].ended = Some((at, how));
}

#[test]
fn records_without_a_fault_break_no_rule() {
    assert!(broken(|_| ()).is_empty());
}

/// A request with 1 s is due at 11.55 s. A stop of its process excuses an answer only while that is stopped.
#[test]
fn a_stopped_process_is_excused_until_it_goes_on() {
    let stopped = |from, until, answered| {
        broken(|records| {
            records.stops.borrow_mut().push(Stop { process: 0, from, until });
            request(records, |request| request.answers = vec![(answered, copy(9 * S))]);
        })
    };
    assert!(stopped(11 * S, 12 * S, 12 * S + S / 10).is_empty(), "it answers as it goes on");
    assert_eq!(stopped(11 * S, 12 * S, 12 * S + S / 4), ["lost: answered too late"]);
    assert_eq!(stopped(10 * S, 11 * S, 11 * S + 6 * S / 10), ["lost: answered too late"], "it had time left");
    assert_eq!(stopped(12 * S, 13 * S, 13 * S), ["lost: answered too late"], "it was late before");
}

#[test]
fn an_answer_that_never_comes_late_or_twice_is_found() {
    let none = |how, at| {
        broken(move |records| {
            request(records, |request| request.answers.clear());
            ended(records, at, how);
        })
    };
    assert_eq!(none(EndKind::Closed, 10 * S + S / 2), ["lost: no answer"]);
    assert_eq!(none(EndKind::Reset, 10 * S + 1), ["lost: no answer"]);
    assert_eq!(none(EndKind::Left, 20 * S), ["lost: no answer"]);
    assert!(none(EndKind::Closed, 10 * S + S / 20).is_empty(), "it crossed the close");
    assert!(none(EndKind::Left, 11 * S).is_empty(), "its client left");
    let at = |answers: Vec<u64>| {
        broken(|records| {
            let answers = answers.into_iter().map(|at| (at, copy(9 * S))).collect();
            request(records, |request| request.answers = answers);
        })
    };
    assert_eq!(at(vec![12 * S]), ["lost: answered too late"]);
    assert_eq!(at(vec![10 * S + 1, 10 * S + 2]), ["a second answer"]);
    let half = |records: &Records| {
        request(records, |request| (request.whole, request.answers) = (false, Vec::new()));
    };
    assert!(broken(half).is_empty(), "nothing is owed to half a request");
}

#[test]
fn attempts_that_should_not_have_begun_are_found() {
    let late = |records: &Records| records.attempts.borrow_mut()[0].arrived = 10 * S + S / 2;
    let cancelled = |records: &Records| {
        late(records);
        request(records, |request| request.cancelled = Some(10 * S + S / 4));
    };
    assert_eq!(broken(cancelled)[..1], ["an attempt after its client left"]);
    let left = |records: &Records| {
        late(records);
        ended(records, 10 * S + S / 4, EndKind::Left);
    };
    assert_eq!(broken(left)[..1], ["an attempt after its client left"]);
    let ttl = |records: &Records| records.attempts.borrow_mut()[0].ttl = S + S / 4;
    assert_eq!(broken(ttl), ["a deadline later than the client's"]);
    let drained = |told| {
        broken(move |records| {
            records.cache_drains.borrow_mut().push(CacheDrain { cache: 0, told, until: None });
        })
    };
    assert_eq!(drained(8 * S), ["new work for a draining cache"]);
    assert!(drained(9 * S + S / 2).is_empty(), "within its second");
    let source = |records: &Records| {
        records.cache_drains.borrow_mut().push(CacheDrain { cache: 5, told: 8 * S, until: None });
    };
    assert_eq!(broken(source), ["new work for a draining cache"], "as a source");
}

#[test]
fn runs_beyond_the_class_are_found() {
    let again = |class, at| {
        broken(move |records| {
            request(records, |request| (request.class, request.budget) = (class, 10 * S));
            records.attempts.borrow_mut().push(attempt(1, at));
        })
    };
    assert_eq!(again(ORDER, 10 * S + S / 10), ["run more than its class allows"]);
    assert_eq!(again(SCAN, 13 * S), ["sent again after the window of repeats"]);
    assert!(again(SCAN, 11 * S).is_empty() && again(PAGE, 13 * S).is_empty());
    let proven = |records: &Records| {
        records.attempts.borrow_mut()[0].ended = Some((10 * S + S / 20, AttemptEnd::NeverRan));
        records.attempts.borrow_mut().push(attempt(1, 10 * S + S / 10));
    };
    assert!(broken(proven).is_empty(), "the first never ran");
}

#[test]
fn refusals_of_what_may_have_run_are_found() {
    let refused = |class, end: Option<AttemptEnd>| {
        broken(move |records| {
            request(records, |request| {
                (request.class, request.answers) = (class, vec![(10 * S + S / 10, Word::Refused)]);
            });
            records.attempts.borrow_mut()[0].ended = end.map(|end| (10 * S + S / 20, end));
        })
    };
    for class in [ORDER, LABEL] {
        for end in [None, Some(AttemptEnd::MayHaveRun)] {
            assert_eq!(refused(class, end), ["refused what may have run"]);
        }
        assert!(refused(class, Some(AttemptEnd::NeverRan)).is_empty());
    }
    assert!(refused(PAGE, None).is_empty() && refused(SCAN, None).is_empty(), "may be repeated at will");
    let unsent = |records: &Records| {
        request(records, |request| request.answers = vec![(10 * S + S / 10, Word::Refused)]);
        records.attempts.borrow_mut().clear();
    };
    assert!(broken(unsent).is_empty());
}

#[test]
fn attempts_outside_the_group_beside_others_or_too_many_are_found() {
    let label = |cache| {
        broken(move |records| {
            request(records, |request| request.class = LABEL);
            records.attempts.borrow_mut().push(attempt(cache, 10 * S + S / 10));
        })
    };
    assert_eq!(label(2), ["sent again outside the group of the first"]);
    assert!(label(1).is_empty(), "in its cell");
    let beside = |second_copies| {
        let mut records = good();
        records.terms.second_copies = second_copies;
        request(&records, |request| request.class = PAGE);
        records.attempts.borrow_mut()[0].ended = None;
        records.attempts.borrow_mut().push(attempt(1, 10 * S + S / 10));
        check(&records, ENDED, 0).into_iter().map(|broken| broken.rule).collect::<Vec<_>>()
    };
    assert_eq!(beside(false), ["two attempts out where one is allowed"]);
    assert!(beside(true).is_empty());
    let many = |records: &Records| {
        request(records, |request| request.class = PAGE);
        let more = (1..4).map(|n| attempt(0, 10 * S + n * S / 20));
        records.attempts.borrow_mut().extend(more);
    };
    assert_eq!(broken(many), ["sent more often than the settings allow"]);
}

#[test]
fn copies_that_must_not_be_served_are_found() {
    let served = |class, word| {
        broken(move |records| {
            request(records, |request| {
                (request.class, request.answers) = (class, vec![(10 * S + S / 10, word)])
            });
        })
    };
    assert!(served(PAGE, copy(4 * S)).is_empty());
    assert_eq!(served(PAGE, copy(2 * S)), ["served a copy that is too old"]);
    let made_up = "served what no cache made for it";
    assert_eq!(served(PAGE, Word::Served(None)), [made_up]);
    assert_eq!(served(PAGE, Word::Current), [made_up], "its client holds none");
    let current = |stamp| {
        broken(move |records| {
            request(records, |request| {
                (request.class, request.cached) = (PAGE, Some(stamp));
                request.answers = vec![(10 * S + S / 10, Word::Current)];
            });
        })
    };
    assert!(current(4 * S).is_empty());
    assert_eq!(current(2 * S), ["served a copy that is too old"]);
    let other = Copy { object: 8, stamp: 9 * S, whole: true };
    assert_eq!(served(PAGE, Word::Served(Some(other))), [made_up]);
    assert_eq!(served(PAGE, Word::Served(Some(Copy { object: 7, whole: false, ..other }))), [made_up]);
    let purged = |what, told| {
        broken(move |records| {
            request(records, |request| request.class = PAGE);
            records.attempts.borrow_mut()[0].newer = Some(S / 10);
            records.purges.borrow_mut().push(Purge { what, at: 9 * S, told });
        })
    };
    assert_eq!(purged(Purged::Object(7), 9 * S + S / 10), ["served a purged copy"]);
    assert_eq!(purged(Purged::Group(3), 9 * S + S / 10), ["served a purged copy"]);
    assert!(
        purged(Purged::Object(8), 9 * S + S / 10).is_empty() && purged(Purged::Group(4), 9 * S).is_empty()
    );
    assert!(purged(Purged::Object(7), 9 * S + 3 * S / 4).is_empty(), "told too lately to be heeded");
    let asked = |newer| {
        broken(move |records| {
            request(records, |request| {
                (request.class, request.answers) = (PAGE, vec![(10 * S + S / 10, copy(9 * S + S / 2))]);
            });
            records.attempts.borrow_mut()[0].newer = newer;
            let (what, at, told) = (Purged::Object(7), 9 * S, 9 * S + S / 10);
            records.purges.borrow_mut().push(Purge { what, at, told });
        })
    };
    assert_eq!(asked(None), ["asked for a copy from before a purge"]);
    assert_eq!(asked(Some(2 * S)), ["asked for a copy from before a purge"]);
    assert!(asked(Some(S)).is_empty());
}

#[test]
fn drains_and_ends_beyond_their_terms_are_found() {
    let drain = |at, until: Option<u64>| {
        broken(move |records| records.drains.borrow_mut().push(Drain { process: 0, at, until }))
    };
    assert_eq!(drain(7 * S, None), ["a drained router holds a connection in use"]);
    assert_eq!(drain(12 * S, None), ["a drained router holds an idle connection"]);
    assert!(drain(12 * S, Some(15 * S)).is_empty(), "resumed before");
    assert!(drain(17 * S, None).is_empty(), "gone by then");
    let process = |change: fn(&mut Process)| broken(|records| change(&mut records.processes.borrow_mut()[0]));
    assert_eq!(process(|p| p.killed = Some((33 * S, false))), ["alive when SIGKILL may come"]);
    assert_eq!(process(|p| p.ended = Some((31 * S, false))), ["crashed"]);
    assert_eq!(process(|p| p.told = None), ["crashed"]);
    assert_eq!(process(|p| p.ended = None), ["never ended"]);
    assert!(process(|p| p.killed = Some((33 * S, true))).is_empty());
}
