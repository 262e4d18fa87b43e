//! The rules on copies: answers are what some cache made, no older than their class allows, and not from before a purge.

use super::super::record::{Copy, Records, Request, Word};
use super::super::terms::{CLEARED, HEED};
use super::{Broken, binds_since, story};
use crate::Micros;

const MS: Micros = 1000;

/// Holds what was served, and what was asked of caches, against ages and purges.
pub fn check(records: &Records, slack: Micros, broken: &mut Vec<Broken>) {
    for (place, request) in records.requests.borrow().iter().enumerate() {
        let served = request.answers.iter().find_map(|(at, word)| match word {
            Word::Served(copy) => Some((*at, *copy)),
            // Called current: as if it had been served.
            Word::Current => {
                let copy = |stamp| Copy { object: request.object, stamp, whole: true };
                Some((*at, request.cached.map(copy)))
            }
            _ => None,
        });
        if let Some((at, copy)) = served
            && let Some(rule) = fault_of_copy(records, request, copy, slack)
        {
            broken.push(Broken { at, rule, seen: story(records, place) });
        }
    }
    asked(records, slack, broken);
}

fn fault_of_copy(
    records: &Records,
    request: &Request,
    copy: Option<Copy>,
    slack: Micros,
) -> Option<&'static str> {
    let Some(copy) = copy.filter(|copy| copy.whole && copy.object == request.object) else {
        return Some("served what no cache made for it");
    };
    let class = records.terms.classes[request.class];
    if class.write {
        return None;
    }
    let age = request.sent.saturating_sub(copy.stamp);
    if class.oldest().is_some_and(|oldest| age > oldest + slack) {
        return Some("served a copy that is too old");
    }
    let purges = records.purges.borrow();
    let purged = purges.iter().filter(|purge| purge.is_of(request)).any(|purge| {
        let heeded = binds_since(records, purge.told, request) + HEED + slack;
        copy.stamp <= purge.at && request.sent > heeded
    });
    purged.then_some("served a purged copy")
}

/// While caches may hold copies from before a purge, attempts ask for younger ones.
fn asked(records: &Records, slack: Micros, broken: &mut Vec<Broken>) {
    let (requests, purges) = (records.requests.borrow(), records.purges.borrow());
    for attempt in records.attempts.borrow().iter() {
        let request = &requests[attempt.request];
        let class = records.terms.classes[request.class];
        if class.write {
            continue;
        }
        let limit = attempt.newer.or((class.fresh > 0).then_some(class.fresh)).unwrap_or(Micros::MAX);
        let ignored = purges.iter().filter(|purge| purge.is_of(request)).find(|purge| {
            let heeded = binds_since(records, purge.told, request) + HEED + slack;
            let about = attempt.arrived < purge.at + CLEARED;
            // The limit is an age: it is as old as the way to the cache.
            about && attempt.arrived > heeded && attempt.arrived.saturating_sub(limit) + MS + slack < purge.at
        });
        if ignored.is_some() {
            let seen = story(records, attempt.request);
            broken.push(Broken { at: attempt.arrived, rule: "asked for a copy from before a purge", seen });
        }
    }
}
