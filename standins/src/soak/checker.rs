//! The rules of the protocol, held against a soak's records. It knows nothing of the router.

mod copies;
mod repeats;

use super::record::{Attempt, Connection, EndKind, Process, Records, Request};
use crate::{Micros, SECOND};

const MS: Micros = 1000;
/// A final answer may come so long after its time: it only earns nothing.
const LATE: Micros = 500 * MS;
/// What crosses a close within this is sent again by its client.
const CROSSES: Micros = 50 * MS;
/// An attempt may begin so long after its client has left.
const AFTER_LEAVING: Micros = 100 * MS;
/// The deadline passed on may exceed the client's by so much.
const DEADLINE: Micros = 150 * MS;
/// A member gets nothing new so long after it was told to drain.
const CACHE_GRACE: Micros = SECOND;
/// The terms of a drain.
const TERM: Micros = 4 * SECOND;
const RECENT: Micros = 2 * SECOND;
/// A process that was stopped has answered what is due so long after it goes on.
const AFTER_STOP: Micros = 150 * MS;
/// What the list tells binds a process so long after its start at the latest.
const AFTER_START: Micros = 2 * SECOND;
/// Each limit of time is so much longer on sockets.
const SLACK: Micros = 50 * MS;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// When.
    pub at: Micros,
    /// Which.
    pub rule: &'static str,
    /// What was seen.
    pub seen: String,
}

/// Every broken rule, in the order of time. All limits are longer by `lateness`, which the soak itself was late.
pub fn check(records: &Records, ended: Micros, lateness: Micros) -> Vec<Broken> {
    let slack = SLACK + lateness;
    let mut broken = Vec::new();
    answers(records, ended, slack, &mut broken);
    attempts(records, slack, &mut broken);
    repeats::check(records, slack, &mut broken);
    copies::check(records, slack, &mut broken);
    drains(records, slack, &mut broken);
    ends(records, &mut broken);
    broken.sort_by_key(|broken| broken.at);
    broken
}

/// A request's whole story: what it asked for, its attempts and their ends, its answers.
fn story(records: &Records, place: usize) -> String {
    let request = &records.requests.borrow()[place];
    let class = records.terms.classes.get(request.class);
    let attempts: Vec<String> = records
        .attempts
        .borrow()
        .iter()
        .filter(|attempt| attempt.request == place)
        .map(|attempt| format!("{attempt:?}"))
        .collect();
    format!("request {place} {request:?} of {class:?}; attempts: [{}]", attempts.join(", "))
}

/// Since when all that was told then binds whoever handles this request: a process that started later has it some time later.
fn binds_since(records: &Records, told: Micros, request: &Request) -> Micros {
    let processes = records.processes.borrow();
    let Some(process) = processes.get(records.connections.borrow()[request.connection].process) else {
        return told;
    };
    let of_router = processes.iter().filter(|other| other.router == process.router);
    // An upgrade's younger process may have taken the connection.
    let later = of_router.map(|other| other.started + AFTER_START).filter(|since| *since > told);
    later.filter(|since| *since <= request.sent + AFTER_START).max().unwrap_or(told)
}

/// Each request has one final answer in its time.
fn answers(records: &Records, ended: Micros, slack: Micros, broken: &mut Vec<Broken>) {
    let (connections, processes) = (records.connections.borrow(), records.processes.borrow());
    for (place, request) in records.requests.borrow().iter().enumerate() {
        let connection = &connections[request.connection];
        let by = answer_due(records, connection.process, request, slack);
        let seen = || format!("{} on {connection:?}", story(records, place));
        match &request.answers[..] {
            [] => {
                if by < ended && is_lost(request, connection, &processes[connection.process], by, slack) {
                    broken.push(Broken { at: by, rule: "lost: no answer", seen: seen() });
                }
            }
            [(at, _)] if *at > by && !connection.slow => {
                broken.push(Broken { at: *at, rule: "lost: answered too late", seen: seen() });
            }
            [_] => {}
            [_, (second, _), ..] => {
                broken.push(Broken { at: *second, rule: "a second answer", seen: seen() })
            }
        }
    }
}

/// The latest time of a request's final answer: that of the rules, or, where the process was stopped then, soon after it went
/// on.
fn answer_due(records: &Records, process: usize, request: &Request, slack: Micros) -> Micros {
    let by = request.sent + request.budget + LATE + slack;
    let stops = records.stops.borrow();
    let stopped = stops.iter().filter(|stop| stop.process == process && stop.from <= by);
    stopped.map(|stop| stop.until + AFTER_STOP + slack).fold(by, Micros::max)
}

/// Whether a request without an answer, which was due `by`, should have one.
fn is_lost(request: &Request, connection: &Connection, process: &Process, by: Micros, slack: Micros) -> bool {
    if !request.whole || request.cancelled.is_some() || matches!(process.killed, Some((_, true))) {
        return false;
    }
    match connection.ended {
        Some((at, EndKind::Left)) => by < at,
        Some((at, EndKind::Closed)) => request.sent + CROSSES + slack < at,
        Some((_, EndKind::Reset)) => !connection.slow || request.sent + CROSSES < connection_end(connection),
        None => true,
    }
}

fn connection_end(connection: &Connection) -> Micros {
    connection.ended.map_or(Micros::MAX, |(at, _)| at)
}

/// Attempts begin only while their client waits, for a cache that takes work, and with a deadline that the client has.
fn attempts(records: &Records, slack: Micros, broken: &mut Vec<Broken>) {
    let (requests, connections) = (records.requests.borrow(), records.connections.borrow());
    let cache_drains = records.cache_drains.borrow();
    for attempt in records.attempts.borrow().iter() {
        let request = &requests[attempt.request];
        let Attempt { arrived, ttl, cache, source, .. } = *attempt;
        let left = match connections[request.connection].ended {
            Some((at, EndKind::Left)) => Some(at),
            _ => None,
        };
        let gone = left.into_iter().chain(request.cancelled).min();
        let seen = || format!("{attempt:?} of {request:?}, client gone at {gone:?}");
        if gone.is_some_and(|gone| arrived > gone + AFTER_LEAVING + slack) {
            broken.push(Broken { at: arrived, rule: "an attempt after its client left", seen: seen() });
        }
        if arrived + ttl > request.sent + request.budget + DEADLINE + slack {
            broken.push(Broken { at: arrived, rule: "a deadline later than the client's", seen: seen() });
        }
        let drained = |drain: &&super::record::CacheDrain| {
            let over = drain.until.is_some_and(|until| until <= arrived);
            let named = drain.cache == cache || source.is_some_and(|id| id as usize == drain.cache + 1);
            named && arrived > drain.told + CACHE_GRACE + slack && !over
        };
        if let Some(drain) = cache_drains.iter().find(drained) {
            let seen = format!("{} by {drain:?}", seen());
            broken.push(Broken { at: arrived, rule: "new work for a draining cache", seen });
        }
    }
}

/// 4 s after a drain no connection is idle or has a request of the last 2 s.
fn drains(records: &Records, slack: Micros, broken: &mut Vec<Broken>) {
    let connections = records.connections.borrow();
    for drain in records.drains.borrow().iter() {
        let at = drain.at + TERM;
        if drain.until.is_some_and(|until| until <= at) {
            continue;
        }
        for (place, connection) in connections.iter().enumerate().filter(|(_, c)| c.process == drain.process)
        {
            if connection.opened > at || connection_end(connection) <= at + slack {
                continue;
            }
            let requests = records.requests.borrow();
            let own = || requests.iter().filter(|request| request.connection == place && request.sent <= at);
            let last = own().map(|request| request.sent).max();
            let is_open = |request: &&Request| {
                let answered = request.answers.first().map(|(at, _)| *at);
                let over = answered.into_iter().chain(request.cancelled).min();
                over.is_none_or(|over| over > at)
            };
            let rule = match last {
                Some(last) if last + RECENT >= at + slack => "a drained router holds a connection in use",
                _ if own().find(is_open).is_none() => "a drained router holds an idle connection",
                _ => continue,
            };
            let seen = format!("connection {place} {connection:?}, last request {last:?}, {drain:?}");
            broken.push(Broken { at, rule, seen });
        }
    }
}

/// A process that was told to end has ended with 0 before it may be killed; none ends by itself.
fn ends(records: &Records, broken: &mut Vec<Broken>) {
    for (place, process) in records.processes.borrow().iter().enumerate() {
        let seen = || format!("process {place} of n{} {process:?}", process.router);
        match (process.told, process.killed, process.ended) {
            (_, Some((_, true)), _) => {}
            (Some(_), Some((at, false)), _) => {
                broken.push(Broken { at, rule: "alive when SIGKILL may come", seen: seen() });
            }
            (Some(_), None, Some((_, true))) | (None, None, None) => {}
            (_, _, Some((at, _))) => broken.push(Broken { at, rule: "crashed", seen: seen() }),
            (told, ..) => {
                broken.push(Broken { at: told.unwrap_or(0), rule: "never ended", seen: seen() });
            }
        }
    }
}
