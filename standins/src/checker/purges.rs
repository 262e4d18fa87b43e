//! Proves or refutes, from records alone, what the purge log promises: order, the stated time, and that a purge which
//! staff were told is everywhere is in force everywhere. It reads the lines that routers wrote, what the coordinator
//! told and what staff were told, and knows nothing else of the program.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde_json::Value;
use silverspindle_wire::feed::PurgeTarget;

use crate::Micros;
use crate::clients::{ServedCopy, group};

/// An event that the coordinator told, in the order of its numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number.
    pub number: u64,
    /// When it was told.
    pub at: Micros,
    /// Whether it is a purge; else it concerns the list of members.
    pub is_purge: bool,
}

/// Staff were told that a number is everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Everywhere {
    /// The number.
    pub number: u64,
    /// When the answer had come.
    pub at: Micros,
}

/// What the records prove.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Broken promises.
    pub breaches: Vec<String>,
    /// Attempts, by the mode of their router: relay, direct, safe.
    pub attempts: BTreeMap<String, u64>,
    /// Records applied, batches that brought them, and resets.
    pub applied: u64,
    /// See `applied`.
    pub batches: u64,
    /// See `applied`.
    pub resets: u64,
    /// The longest that an attempt without an age limit that rules it out came after a purge that its router had not
    /// applied.
    pub worst: Micros,
    /// Purges that staff were told are everywhere.
    pub everywhere: u64,
}

/// One life of one router, in the order of its lines.
#[derive(Debug, Default)]
struct Life {
    applied: Option<u64>,
}

/// Looks through all records, each router's in the order in which it wrote them. `told` counts up by number and time;
/// `stated` is the time after which nobody acts without a purge: the lease and what the coordinator's page allows.
pub fn check(records: &[Value], told: &[Event], everywhere: &[Everywhere], stated: Micros) -> Findings {
    let mut found = Findings::default();
    let purges: Vec<Event> = told.iter().copied().filter(|event| event.is_purge).collect();
    let numbers: BTreeSet<u64> = told.iter().map(|event| event.number).collect();
    let confirmed = confirmed(everywhere);
    found.everywhere =
        confirmed.last().map_or(0, |last| purges.partition_point(|p| p.number <= last.number)) as u64;
    let mut lives: BTreeMap<(String, u64), Life> = BTreeMap::new();
    for record in records {
        let Some(kind) = record["kind"].as_str() else { continue };
        let name = record["router"].as_str().unwrap_or("?").to_owned();
        let life = lives.entry((name.clone(), record["life"].as_u64().unwrap_or(0))).or_default();
        if kind == "attempt" {
            attempt(&mut found, &name, life, record, &purges, &confirmed, stated);
        } else if let Err(why) = progress(&mut found, life, kind, record, &numbers) {
            found.breaches.push(format!("{name} at {}: {why}", record["at"]));
        }
    }
    found
}

/// The highest number that staff had been told is everywhere, by time.
fn confirmed(everywhere: &[Everywhere]) -> Vec<Everywhere> {
    let mut sorted = everywhere.to_vec();
    sorted.sort_by_key(|told| told.at);
    let mut highest = 0;
    for told in &mut sorted {
        highest = highest.max(told.number);
        told.number = highest;
    }
    sorted
}

/// A start, batch or reset: numbers join on, and nothing is applied that was not told.
fn progress(
    found: &mut Findings,
    life: &mut Life,
    kind: &str,
    record: &Value,
    numbers: &BTreeSet<u64>,
) -> Result<(), String> {
    let number = |key: &str| record[key].as_u64().ok_or_else(|| format!("{kind} without {key:?}"));
    match kind {
        "start" if life.applied.is_some() => return Err("a life starts twice".to_owned()),
        "start" => life.applied = Some(number("number")?),
        "applied" => {
            let (from, to) = (number("from")?, number("to")?);
            let before = life.applied.replace(to).ok_or("records applied before the start")?;
            if from != before {
                return Err(format!("applied {from} to {to}, up to {before} was applied before"));
            }
            if to <= from || !numbers.contains(&to) {
                return Err(format!("applied {from} to {to}, which was never told"));
            }
            found.batches += 1;
            found.applied += numbers.range(from + 1..=to).count() as u64;
        }
        "reset" => {
            let to = number("number")?;
            let before = life.applied.replace(to).ok_or("a reset before the start")?;
            if to < before {
                return Err(format!("a reset to {to}, up to {before} was applied before"));
            }
            found.resets += 1;
        }
        _ => {}
    }
    Ok(())
}

/// An attempt: on what its router had applied, against all that was told.
fn attempt(
    found: &mut Findings,
    name: &str,
    life: &Life,
    record: &Value,
    purges: &[Event],
    confirmed: &[Everywhere],
    stated: Micros,
) {
    let (Some(at), Some(number)) = (record["at"].as_u64(), record["number"].as_u64()) else {
        found.breaches.push(format!("{name}: an attempt without time or number"));
        return;
    };
    let mode = record["mode"].as_str().unwrap_or("?").to_owned();
    *found.attempts.entry(mode.clone()).or_default() += 1;
    if life.applied != Some(number) {
        found.breaches.push(format!("{name} acts at {at} on number {number}, {:?} is applied", life.applied));
    }
    let limit = record["limit"].as_u64();
    // A copy that is younger than the purge is not bound by it.
    let is_ruled_out = |purge: &Event| limit.is_some_and(|limit| limit <= at.saturating_sub(purge.at));
    let missed = |latest: Option<&Event>| latest.copied().filter(|p| p.number > number && !is_ruled_out(p));
    if let Some(first) = purges.get(purges.partition_point(|p| p.number <= number))
        && first.at < at
        && !is_ruled_out(first)
    {
        found.worst = found.worst.max(at - first.at);
    }
    // The latest purge that is older than the stated time demands the most of an age limit.
    let older = purges.partition_point(|p| p.at.saturating_add(stated) < at);
    if let Some(purge) = missed(older.checked_sub(1).and_then(|last| purges.get(last))) {
        found.breaches.push(format!(
            "{name} ({mode}) acts at {at} on number {number} with the age limit {limit:?}, {} ms after purge {}",
            (at - purge.at) / 1000,
            purge.number
        ));
    }
    let told =
        confirmed.partition_point(|told| told.at < at).checked_sub(1).and_then(|last| confirmed.get(last));
    let Some(told) = told else { return };
    let done = purges.partition_point(|p| p.number <= told.number);
    if let Some(purge) = missed(done.checked_sub(1).and_then(|last| purges.get(last))) {
        found.breaches.push(format!(
            "{name} ({mode}) acts at {at} on number {number} with the age limit {limit:?}, {} ms after purge {}, of which \
             staff had been told at {} that it is everywhere",
            (at - purge.at) / 1000,
            purge.number,
            told.at
        ));
    }
}

/// A purge as clients see it, in Unix time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    /// Its number.
    pub number: u64,
    /// What it names.
    pub what: PurgeTarget,
    /// When it was told.
    pub at: Micros,
}

/// Whether clients were served from copies that a purge forbids: an item that was due after the stated time had passed
/// since the purge, from a copy that was given out before it.
pub fn stale(router: &str, served: &[ServedCopy], purges: &[Purge], stated: Micros) -> Vec<String> {
    let mut by_name: HashMap<PurgeTarget, Vec<&Purge>> = HashMap::new();
    for purge in purges {
        by_name.entry(purge.what).or_default().push(purge);
    }
    let mut breaches = Vec::new();
    for copy in served {
        let names = [PurgeTarget::Object(copy.object), PurgeTarget::Group(group(copy.object))];
        let named = names.iter().filter_map(|name| by_name.get(name)).flatten();
        let broken = named
            .filter(|p| copy.stamp < p.at && p.at.saturating_add(stated) < copy.due)
            .max_by_key(|p| p.at);
        if let Some(purge) = broken {
            breaches.push(format!(
                "{router} served object {:016x} from a copy of {} ms before purge {}, {} ms after it",
                copy.object,
                (purge.at - copy.stamp) / 1000,
                purge.number,
                (copy.due - purge.at) / 1000
            ));
        }
    }
    breaches
}
