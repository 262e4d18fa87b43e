//! The rule on duplicates: what may be refused, what may be sent again, where and until when, and how many may be out.

use super::super::record::{Attempt, AttemptEnd, Records, Word};
use super::super::terms::{Effect, Group, Terms};
use super::{Broken, story};
use crate::Micros;

/// Holds refusals and repeats against the classes.
pub fn check(records: &Records, slack: Micros, broken: &mut Vec<Broken>) {
    let attempts = records.attempts.borrow();
    let requests = records.requests.borrow();
    let mut by_request: Vec<Vec<&Attempt>> = vec![Vec::new(); requests.len()];
    for attempt in attempts.iter() {
        by_request[attempt.request].push(attempt);
    }
    for (place, request) in requests.iter().enumerate() {
        let own = &by_request[place];
        let effect = records.terms.classes[request.class].effect;
        let refused = request.answers.iter().find(|(_, word)| *word == Word::Refused);
        if let Some((at, _)) = refused
            && !effect.repeats_freely()
            && own.iter().any(|attempt| may_have_run(attempt))
        {
            let rule = "refused what may have run";
            broken.push(Broken { at: *at, rule, seen: story(records, place) });
        }
        let fault = own.iter().enumerate().find_map(|(n, attempt)| {
            let rule = fault_of_repeat(records, effect, &own[..n], attempt, slack)?;
            Some((attempt.arrived, rule))
        });
        if let Some((at, rule)) = fault {
            broken.push(Broken { at, rule, seen: story(records, place) });
        }
    }
}

fn may_have_run(attempt: &Attempt) -> bool {
    !matches!(attempt.ended, Some((_, AttemptEnd::NeverRan)))
}

/// Whether an attempt was over when another arrived.
fn is_over(attempt: &Attempt, at: Micros) -> bool {
    attempt.ended.is_some_and(|(ended, _)| ended <= at)
}

/// The rule that an attempt breaks behind those before it.
fn fault_of_repeat(
    records: &Records,
    effect: Effect,
    before: &[&Attempt],
    attempt: &Attempt,
    slack: Micros,
) -> Option<&'static str> {
    let Terms { tries, second_copies, .. } = records.terms;
    if before.len() >= tries {
        return Some("sent more often than the settings allow");
    }
    // Giving up and sending anew go to two caches: which is read first is chance.
    if !second_copies && before.iter().any(|other| !is_over(other, attempt.arrived + slack)) {
        return Some("two attempts out where one is allowed");
    }
    let first =
        before.iter().find(|other| may_have_run(other) || !is_over(other, attempt.arrived + slack))?;
    match effect {
        Effect::Idempotent => None,
        Effect::AtMostOnce => Some("run more than its class allows"),
        Effect::Deduplicated(_, window) if attempt.arrived > first.arrived + window + slack => {
            Some("sent again after the window of repeats")
        }
        Effect::Deduplicated(Group::Cell, _)
            if records.cells[first.cache] != records.cells[attempt.cache] =>
        {
            Some("sent again outside the group of the first")
        }
        // All caches that clients' requests go to stand in one zone.
        Effect::Deduplicated(..) => None,
    }
}
