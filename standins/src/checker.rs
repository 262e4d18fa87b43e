//! Proves or refutes, from records alone, what routers that agree promise. It reads the lines that each process wrote
//! and what staff were told, and knows nothing else of the program.

pub mod purges;

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

/// What the records prove of versions of rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Versions {
    /// Broken promises.
    pub breaches: Vec<String>,
    /// Versions acted on alone.
    pub acted: u64,
    /// Acts on what two versions both allow.
    pub both: u64,
    /// For how long two versions were acted on alone, by the later one: of those that came at once, sorted.
    pub at_once: Vec<Micros>,
    /// The longest of those that came apart: nothing.
    pub apart: Micros,
}

/// Looks through all acts: on which versions was acted alone, when first and when last. `apart` and `tried`: versions
/// that came so; all others came at once and may be in use beside the one before for the stated time.
pub fn versions(records: &[Value], apart: &[u64], tried: &[u64], lease: Micros) -> Versions {
    let mut found = Versions::default();
    let mut alone: BTreeMap<u64, (Micros, Micros, String)> = BTreeMap::new();
    for r in records.iter().filter(|r| r["kind"] == "act" || r["kind"] == "held") {
        let (Some(of), Some(at)) = (r["rules"].as_str(), r["at"].as_u64()) else { continue };
        let Ok(version) = of.parse::<u64>() else {
            found.both += 1;
            continue;
        };
        let who = r["router"].as_str().unwrap_or("?");
        let seen = alone.entry(version).or_insert((at, at, who.to_owned()));
        seen.0 = seen.0.min(at);
        if at >= seen.1 {
            (seen.1, seen.2) = (at, who.to_owned());
        }
    }
    found.acted = alone.len() as u64;
    let all: Vec<u64> = alone.keys().copied().collect();
    for (later, (first, ..)) in &alone {
        for version in all.iter().filter(|version| *version < later) {
            let (_, last, who) = &alone[version];
            let both = last.saturating_sub(*first);
            if both == 0 || (*version + 1..=*later).all(|v| tried.contains(&v)) {
                continue;
            }
            let came_apart = (*version + 1..=*later).any(|v| apart.contains(&v));
            let neighbours = (*version + 1..=*later).filter(|v| !tried.contains(v)).count() == 1;
            match came_apart {
                true => found.apart = found.apart.max(both),
                false => found.at_once.push(both),
            }
            if came_apart || !neighbours || both > lease {
                found.breaches.push(format!(
                    "{who} acts on version {version} alone {} ms after another one acted on {later} alone",
                    both / 1000
                ));
            }
        }
    }
    found.at_once.sort_unstable();
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

    fn acts(of: &[(&str, u64, &str)]) -> Vec<Value> {
        let act = |(router, at, rules): &(&str, u64, &str)| json!({"kind": "act", "router": router, "at": at, "rules": rules});
        of.iter().map(act).collect()
    }

    /// Two versions at once for no longer than stated, none where they come apart, never three, and a trial beside.
    #[test]
    fn contradictions_between_versions_are_found() {
        let check = |of: &[(&str, u64, &str)], apart: &[u64]| versions(&acts(of), apart, &[7], 1000);
        let calm = [("a", 10, "1"), ("b", 20, "2"), ("a", 900, "1"), ("a", 1000, "2")];
        let found = check(&calm, &[]);
        assert_eq!((found.breaches.len(), found.at_once.as_slice()), (0, &[880][..]));
        assert_eq!(check(&calm, &[2]).breaches.len(), 1, "apart, and in use together");
        let both = [
            ("a", 10, "1"),
            ("b", 20, "1+2"),
            ("a", 30, "1"),
            ("a", 40, "1+2"),
            ("b", 50, "2"),
            ("a", 60, "1+2"),
        ];
        let found = check(&both, &[2]);
        assert_eq!((found.breaches.len(), found.both, found.apart), (0, 3, 0));
        let late = [("a", 10, "1"), ("b", 20, "2"), ("a", 1500, "1")];
        assert_eq!(check(&late, &[]).breaches.len(), 1, "longer than stated");
        let three = [("a", 10, "1"), ("b", 20, "2"), ("b", 30, "3"), ("a", 40, "1")];
        assert_eq!(check(&three, &[]).breaches.len(), 1, "three at a time");
        let trial = [("a", 10, "6"), ("b", 20, "7"), ("a", 9000, "6")];
        assert_eq!(check(&trial, &[]).breaches.len(), 0, "a trial lasts as long as it does");
    }
}
