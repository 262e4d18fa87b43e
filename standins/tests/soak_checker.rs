//! The soak's checker finds each fault that it is there for, and nothing in records without one.

use silverspindle_standins::SECOND;
use silverspindle_standins::soak::checker::check;
use silverspindle_standins::soak::record::{
    Attempt, CacheDrain, Class, Connection, Drain, EndKind, Process, Records, Request,
};

const S: u64 = SECOND;
const ENDED: u64 = 100 * S;

/// A request at 10 s, answered after 0.1 s on a connection that its client leaves at 20 s, by a process that ends well.
fn good() -> Records {
    let records = Records::default();
    let (answers, cancelled, whole) = (vec![10 * S + S / 10], None, true);
    let request =
        Request { connection: 0, class: Class::Order, sent: 10 * S, budget: S, answers, cancelled, whole };
    records.requests.borrow_mut().push(request);
    let ended = Some((20 * S, EndKind::Left));
    records.connections.borrow_mut().push(Connection { process: 0, opened: 9 * S, slow: false, ended });
    records.attempts.borrow_mut().push(Attempt { request: 0, cache: 0, arrived: 10 * S + 1, ttl: S });
    let (told, ended) = (Some(30 * S), Some((31 * S, true)));
    records.processes.borrow_mut().push(Process { router: 0, told, killed: None, ended });
    records
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
    let at = |answers: Vec<u64>| broken(|records| request(records, |request| request.answers = answers));
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
}

#[test]
fn runs_beyond_the_class_are_found() {
    let again = |class, at| {
        broken(move |records| {
            request(records, |request| (request.class, request.budget) = (class, 10 * S));
            records.attempts.borrow_mut().push(Attempt { request: 0, cache: 1, arrived: at, ttl: S });
        })
    };
    let rule = "run more than its class allows";
    assert_eq!(again(Class::Order, 10 * S + S / 10), [rule]);
    assert_eq!(again(Class::Scan, 13 * S), [rule]);
    assert!(again(Class::Scan, 11 * S).is_empty() && again(Class::Page, 13 * S).is_empty());
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
