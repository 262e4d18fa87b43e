//! Proves or refutes, from records alone, what routers that agree promise. It reads the lines that each process wrote
//! and what staff were told, and knows nothing else of the program.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::Micros;

/// What staff were told of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The proposal.
    pub id: String,
    /// Made or refused; none: not known.
    pub made: Option<bool>,
    /// At which number.
    pub number: Option<u64>,
}

/// What the records prove.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Broken promises.
    pub breaches: Vec<String>,
    /// Numbers decided.
    pub decided: u64,
    /// Proposals made, by the records.
    pub made: u64,
    /// Acts, and times when a router could not act on anything agreed.
    pub acts: u64,
    /// See `acts`.
    pub held: u64,
    /// The longest that a router acted on an overtaken decision.
    pub worst: Micros,
    /// From a decision's first record to its last router's, for those that reached all: sorted.
    pub to_all: Vec<Micros>,
}

/// Reads records' lines. A line that a kill has cut off in its middle is the last of its life and says nothing.
pub fn lines(text: &str) -> Vec<Value> {
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// Looks through all records; `lease` is the stated time, `routers` how many there are.
pub fn check(records: &[Value], told: &[Told], lease: Micros, routers: usize) -> Findings {
    let mut found = Findings::default();
    let number = |r: &Value, key: &str| r[key].as_u64().unwrap_or(0);
    let name = |r: &Value| r["router"].as_str().unwrap_or("?").to_owned();
    let of = |kind: &'static str| records.iter().filter(move |r| r["kind"] == kind);
    // By number: the digest, when it was first applied, and by whom when.
    let mut digests: BTreeMap<u64, (String, String)> = BTreeMap::new();
    let mut decided: BTreeMap<u64, Micros> = BTreeMap::new();
    let mut reached: BTreeMap<u64, BTreeMap<String, Micros>> = BTreeMap::new();
    let mut settled: BTreeMap<String, (u64, bool)> = BTreeMap::new();
    for r in of("applied") {
        let (n, at, who) = (number(r, "number"), number(r, "at"), name(r));
        let digest = r["digest"].as_str().unwrap_or("").to_owned();
        let first = digests.entry(n).or_insert_with(|| (digest.clone(), who.clone()));
        if first.0 != digest {
            found.breaches.push(format!("decision {n} is {} at {} and {digest} at {who}", first.0, first.1));
        }
        let earliest = decided.entry(n).or_insert(at);
        *earliest = at.min(*earliest);
        let seen = reached.entry(n).or_default().entry(who.clone()).or_insert(at);
        *seen = at.min(*seen);
        if let (Some(id), Some(made)) = (r["id"].as_str(), r["made"].as_bool()) {
            let before = *settled.entry(id.to_owned()).or_insert((n, made));
            if before != (n, made) {
                found
                    .breaches
                    .push(format!("proposal {id} was settled as {before:?} and as {:?}", (n, made)));
            }
        }
    }
    for told in told {
        let Some(made) = told.made else { continue };
        match settled.get(&told.id) {
            Some(at) if Some(at.0) == told.number && at.1 == made => {}
            // Refused before it came to the log.
            None if !made => {}
            other => found.breaches.push(format!("staff were told {told:?}, the records say {other:?}")),
        }
    }
    for r in of("act") {
        found.acts += 1;
        let (n, at, age) = (number(r, "number"), number(r, "at"), number(r, "age"));
        if digests.get(&n).is_some_and(|(digest, _)| r["digest"] != digest.as_str()) {
            found.breaches.push(format!("{} acts on another decision {n} than the others", name(r)));
        }
        let overtaken = decided.range(n + 1..).map(|(_, at)| *at).min();
        let late = overtaken.map_or(0, |since| at.saturating_sub(since));
        found.worst = found.worst.max(late);
        if late > lease {
            found.breaches.push(format!(
                "{} acts at {at} on decision {n}, overtaken for {} ms, confirmed {} ms ago by its own word",
                name(r),
                late / 1000,
                age / 1000
            ));
        }
    }
    found.held = of("held").count() as u64;
    found.decided = decided.last_key_value().map_or(0, |(n, _)| *n);
    found.made = settled.values().filter(|(_, made)| *made).count() as u64;
    found.to_all = decided
        .iter()
        .filter_map(|(n, first)| {
            let all = reached.get(n).filter(|by| by.len() == routers)?;
            Some(all.values().max()? - first)
        })
        .collect();
    found.to_all.sort_unstable();
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn applied(router: &str, number: u64, at: u64, digest: &str, id: &str, made: bool) -> Value {
        json!({"kind": "applied", "router": router, "number": number, "at": at, "digest": digest, "id": id, "made": made})
    }

    fn act(router: &str, number: u64, at: u64) -> Value {
        json!({"kind": "act", "router": router, "number": number, "at": at, "digest": format!("d{number}"), "age": 1})
    }

    fn good() -> Vec<Value> {
        vec![
            applied("a", 1, 100, "d1", "x", true),
            applied("b", 1, 120, "d1", "x", true),
            applied("a", 2, 1000, "d2", "y", true),
            act("b", 1, 1900),
            applied("b", 2, 2500, "d2", "y", true),
            act("b", 2, 2600),
        ]
    }

    /// Whole records break nothing, and are measured.
    #[test]
    fn kept_promises_are_found_kept() {
        let told = Told { id: "y".into(), made: Some(true), number: Some(2) };
        let found = check(&good(), &[told], 1000, 2);
        assert_eq!((found.breaches.as_slice(), found.worst, found.decided, found.acts), (&[][..], 900, 2, 2));
        assert_eq!(found.to_all, [20, 1500]);
    }

    /// Each kind of breach alone is found.
    #[test]
    fn each_broken_promise_is_found() {
        let breach = |more: Vec<Value>, told: Vec<Told>| {
            let records: Vec<Value> = good().into_iter().chain(more).collect();
            check(&records, &told, 1000, 2).breaches.len()
        };
        let told = |made, number| vec![Told { id: "y".into(), made: Some(made), number: Some(number) }];
        assert_eq!(breach(vec![act("b", 1, 2001)], vec![]), 1, "an act on an overtaken decision");
        assert_eq!(breach(vec![applied("c", 2, 1500, "other", "y", true)], vec![]), 1, "two logs");
        assert_eq!(breach(vec![applied("c", 3, 2700, "d3", "y", true)], vec![]), 1, "made twice");
        assert_eq!(breach(vec![], told(true, 3)), 1, "told as another number");
        assert_eq!(breach(vec![], told(false, 2)), 1, "told as refused, and made");
        let lost = vec![Told { id: "z".into(), made: Some(true), number: Some(9) }];
        assert_eq!(breach(vec![], lost), 1, "told as made, and lost");
    }
}
