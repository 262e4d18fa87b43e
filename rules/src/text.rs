//! What a version says: its directives, what contradicts what, and what two neighbours both allow.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write};

use serde::{Deserialize, Serialize};
use silverspindle_conf::{Fault, grammar};

use crate::{MOST_VERSION, Micros};

/// A location by its number on the list, or the head office.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Place {
    /// The head office, which fills from nobody.
    Office,
    /// A location.
    Zone(u32),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Place::Office => f.write_str("office"),
            Place::Zone(zone) => write!(f, "{zone}"),
        }
    }
}

/// A whole set of settings and lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// Fills a second that all routers together may ask of the head office; none: no limit.
    pub office_fills: Option<u64>,
    /// The same of each parent.
    pub parent_fills: Option<u64>,
    /// Classes refused.
    pub refuse_class: BTreeSet<String>,
    /// Objects' groups refused.
    pub refuse_group: BTreeSet<u64>,
    /// Members of the list not to be used, neither for requests nor as sources.
    pub deny_member: BTreeSet<u32>,
    /// Where a location's misses may be filled from; a location without a line: from anywhere.
    pub fill_from: BTreeMap<u32, BTreeSet<Place>>,
    /// Weights of members, in per cent of the list's.
    pub weight: BTreeMap<u32, u32>,
    /// Half-lives of others' word by what it is about, in microseconds.
    pub half_life: BTreeMap<String, Micros>,
    /// Routers whose confirmation has run out serve on, without any share; then nothing more can be denied until all
    /// routers on the roll have heard that this is over.
    pub alone_serve: bool,
}

/// Two versions contradict each other by this key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clash {
    /// The directive.
    pub key: String,
    /// What it is.
    pub what: String,
}

impl fmt::Display for Clash {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.what)
    }
}

const KEYS: [&str; 12] = [
    "office-fills",
    "parent-fills",
    "refuse-class",
    "refuse-group",
    "deny-member",
    "fill-from",
    "weight",
    "half-life-health",
    "half-life-pace",
    "half-life-rates",
    "half-life-filter",
    "alone",
];

/// Reads a file of directives. All faults come together.
pub fn read(text: &str) -> Result<Rules, Vec<Fault>> {
    let (directives, mut faults) = grammar::directives(text);
    let mut rules = Rules::default();
    let mut first: BTreeMap<String, usize> = BTreeMap::new();
    let mut arrows: Vec<(usize, u32)> = Vec::new();
    for d in &directives {
        let words: Vec<&str> = d.words.iter().map(String::as_str).collect();
        let mut fault = |problem: String| faults.push(Fault { line: d.line, key: d.key.clone(), problem });
        let single = matches!(d.key.as_str(), "office-fills" | "parent-fills" | "alone")
            || d.key.starts_with("half-life-");
        let name = if single { d.key.clone() } else { format!("{} {}", d.key, words.first().unwrap_or(&"")) };
        if let Some(line) = first.insert(name, d.line).filter(|_| KEYS.contains(&d.key.as_str())) {
            fault(format!("stands on line {line} already"));
            continue;
        }
        if let Err(problem) = take(&mut rules, &d.key, &words) {
            fault(problem);
        } else if let ("fill-from", Some(Ok(zone))) = (d.key.as_str(), words.first().map(|w| w.parse())) {
            arrows.push((d.line, zone));
        }
    }
    if let Some(circle) = circle(&rules.fill_from) {
        let line = arrows.iter().find(|(_, zone)| circle.contains(zone)).map_or(1, |(line, _)| *line);
        let problem = format!("fills go round in a circle: {}", round(&circle));
        faults.push(Fault { line, key: "fill-from".to_owned(), problem });
    }
    let size = postcard::to_stdvec(&rules).map_or(usize::MAX, |bytes| bytes.len());
    if size > MOST_VERSION {
        let problem = format!("comes to {size} bytes, {MOST_VERSION} at most can be agreed on");
        faults.push(Fault { line: 1, key: "file".to_owned(), problem });
    }
    faults.sort_by_key(|fault| fault.line);
    if faults.is_empty() { Ok(rules) } else { Err(faults) }
}

fn take(rules: &mut Rules, key: &str, words: &[&str]) -> Result<(), String> {
    let one = |what: &str| match words {
        [word] => Ok(*word),
        _ => Err(format!("takes {what} and nothing else")),
    };
    let number = |word: &str, least: u64, most: u64| match word.parse::<u64>() {
        Ok(n) if (least..=most).contains(&n) => Ok(n),
        Ok(_) => Err(format!("must lie between {least} and {most}")),
        Err(_) => Err(format!("{word:?} is no whole number")),
    };
    let id = |word: &str| number(word, 0, u64::from(u32::MAX)).map(|n| n as u32);
    match key {
        "office-fills" => rules.office_fills = Some(number(one("fills a second")?, 1, 10_000_000)?),
        "parent-fills" => rules.parent_fills = Some(number(one("fills a second")?, 1, 10_000_000)?),
        "refuse-class" => {
            let name = one("a class")?;
            if name.is_empty() || name.len() > 63 {
                return Err(format!("{name:?} is no class"));
            }
            rules.refuse_class.insert(name.to_owned());
        }
        "refuse-group" => drop(rules.refuse_group.insert(number(one("a group")?, 0, u64::MAX)?)),
        "deny-member" => drop(rules.deny_member.insert(id(one("a member's id")?)?)),
        "fill-from" => {
            let [zone, from @ ..] = words else { return Err("takes a location, then places".to_owned()) };
            if from.is_empty() {
                return Err("takes a location, then one place at least".to_owned());
            }
            let place = |word: &&str| match *word {
                "office" => Ok(Place::Office),
                word => id(word).map(Place::Zone),
            };
            let places = from.iter().map(place).collect::<Result<_, _>>()?;
            rules.fill_from.insert(id(zone)?, places);
        }
        "weight" => match words {
            [member, share] => {
                rules.weight.insert(id(member)?, number(share, 1, 1000)? as u32);
            }
            _ => return Err("takes a member's id and per cent".to_owned()),
        },
        "alone" => match one("stop or serve")? {
            "stop" => rules.alone_serve = false,
            "serve" => rules.alone_serve = true,
            word => return Err(format!("{word:?} is none of stop, serve")),
        },
        key if KEYS.contains(&key) => {
            let word = one("a duration")?;
            let time = humantime::parse_duration(word)
                .map_err(|_| format!("{word:?} is no duration, as in 200ms or 5s"))?;
            let time = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            if !(100_000..=3_600_000_000).contains(&time) {
                return Err("must lie between 100ms and 1h".to_owned());
            }
            rules.half_life.insert(key.trim_start_matches("half-life-").to_owned(), time);
        }
        _ => return Err(format!("can't be agreed on; these can: {}", KEYS.join(", "))),
    }
    Ok(())
}

/// The set as directives; read back it is the same.
pub fn show(rules: &Rules) -> String {
    let mut out = String::new();
    let mut line = |text: String| {
        let _ = writeln!(out, "{text}");
    };
    rules.office_fills.iter().for_each(|n| line(format!("office-fills {n}")));
    rules.parent_fills.iter().for_each(|n| line(format!("parent-fills {n}")));
    for class in &rules.refuse_class {
        // As a shell would need it: the grammar's quotes.
        line(format!("refuse-class '{}'", class.replace('\'', "'\\''")));
    }
    rules.refuse_group.iter().for_each(|n| line(format!("refuse-group {n}")));
    rules.deny_member.iter().for_each(|n| line(format!("deny-member {n}")));
    for (zone, from) in &rules.fill_from {
        let from: Vec<String> = from.iter().map(Place::to_string).collect();
        line(format!("fill-from {zone} {}", from.join(" ")));
    }
    rules.weight.iter().for_each(|(id, share)| line(format!("weight {id} {share}")));
    for (what, time) in &rules.half_life {
        let time = humantime::format_duration(std::time::Duration::from_micros(*time)).to_string();
        line(format!("half-life-{what} {}", time.replace(' ', "")));
    }
    if rules.alone_serve {
        line("alone serve".to_owned());
    }
    out
}

/// Locations whose fills may come back to themselves, in the order of the way; none: there are none.
fn circle(from: &BTreeMap<u32, BTreeSet<Place>>) -> Option<Vec<u32>> {
    let mut done = BTreeSet::new();
    for start in from.keys() {
        let mut way: Vec<(u32, Vec<u32>)> = vec![(*start, next(from, *start))];
        while let Some((zone, rest)) = way.last_mut() {
            let zone = *zone;
            match rest.pop() {
                Some(to) if way.iter().any(|(on, _)| *on == to) => {
                    let on: Vec<u32> = way.iter().map(|(on, _)| *on).collect();
                    return Some(on.into_iter().skip_while(|on| *on != to).collect());
                }
                Some(to) if !done.contains(&to) => way.push((to, next(from, to))),
                Some(_) => {}
                None => {
                    done.insert(zone);
                    way.pop();
                }
            }
        }
    }
    None
}

fn next(from: &BTreeMap<u32, BTreeSet<Place>>, zone: u32) -> Vec<u32> {
    let places = from.get(&zone).into_iter().flatten();
    places.filter_map(|p| if let Place::Zone(to) = p { Some(*to) } else { None }).collect()
}

fn round(circle: &[u32]) -> String {
    let all = circle.iter().chain(circle.first()).map(u32::to_string);
    all.collect::<Vec<_>>().join(" from ")
}

/// Faults of a set that was not read from a file: what it says must be what a file could say.
pub fn check(rules: &Rules) -> Result<(), Vec<Fault>> {
    read(&show(rules)).map(|_| ())
}

impl Rules {
    /// To tell versions apart by.
    pub fn digest(&self) -> u64 {
        use std::hash::Hasher;
        let mut hasher =
            siphasher::sip::SipHasher13::new_with_keys(0x7275_6c65_735f_7665, 0x7273_696f_6e73_2121);
        hasher.write(&postcard::to_stdvec(self).unwrap_or_default());
        hasher.finish()
    }

    /// By which keys routers that act on the one and on the other at the same time would contradict each other.
    pub fn clashes(&self, other: &Rules) -> Vec<Clash> {
        let mut all = Vec::new();
        let mut clash = |key: &str, differs: bool, what: String| {
            all.extend(differs.then(|| Clash { key: key.to_owned(), what }));
        };
        let limit = |n: Option<u64>| n.map_or("none".to_owned(), |n| n.to_string());
        for (key, a, b) in [
            ("office-fills", self.office_fills, other.office_fills),
            ("parent-fills", self.parent_fills, other.parent_fills),
        ] {
            clash(key, a != b, format!("shares of {} and of {} add up to another limit", limit(a), limit(b)));
        }
        let apart = |n: usize| format!("{n} allowed by one and denied by the other");
        let classes = self.refuse_class.symmetric_difference(&other.refuse_class).count();
        clash("refuse-class", classes > 0, apart(classes));
        let groups = self.refuse_group.symmetric_difference(&other.refuse_group).count();
        clash("refuse-group", groups > 0, apart(groups));
        let members = self.deny_member.symmetric_difference(&other.deny_member).count();
        clash("deny-member", members > 0, apart(members));
        if self.fill_from != other.fill_from {
            let mut union = self.fill_from.clone();
            for (zone, from) in &other.fill_from {
                union.entry(*zone).or_default().extend(from);
            }
            let what = match circle(&union) {
                Some(circle) => format!("together they go round in a circle: {}", round(&circle)),
                None => "a source allowed by one and not by the other".to_owned(),
            };
            clash("fill-from", true, what);
        }
        clash("alone", self.alone_serve != other.alone_serve, "who is alone stops by one only".to_owned());
        all
    }

    /// What both allow. Refused with the key where that would leave a location nothing to fill from.
    pub fn both(&self, other: &Rules) -> Result<Rules, Clash> {
        let least = |a: Option<u64>, b: Option<u64>| a.into_iter().chain(b).min();
        let mut fill_from = BTreeMap::new();
        for zone in self.fill_from.keys().chain(other.fill_from.keys()) {
            let places = match (self.fill_from.get(zone), other.fill_from.get(zone)) {
                (Some(a), Some(b)) => a.intersection(b).copied().collect(),
                (Some(one), None) | (None, Some(one)) => one.clone(),
                (None, None) => continue,
            };
            if places.is_empty() {
                let what = format!(
                    "location {zone} could fill from nowhere while both hold: change it in two steps"
                );
                return Err(Clash { key: "fill-from".to_owned(), what });
            }
            fill_from.insert(*zone, places);
        }
        // Lists that are harmless each may come round together: nobody fills along such a way while both hold.
        while let Some(circle) = circle(&fill_from) {
            for zone in &circle {
                let places: &mut BTreeSet<Place> = fill_from.entry(*zone).or_default();
                places.retain(|place| !matches!(place, Place::Zone(to) if circle.contains(to)));
                if places.is_empty() {
                    let what =
                        format!("fills would go round in a circle while both hold: {}", round(&circle));
                    return Err(Clash { key: "fill-from".to_owned(), what });
                }
            }
        }
        Ok(Rules {
            office_fills: least(self.office_fills, other.office_fills),
            parent_fills: least(self.parent_fills, other.parent_fills),
            refuse_class: self.refuse_class.union(&other.refuse_class).cloned().collect(),
            refuse_group: self.refuse_group.union(&other.refuse_group).copied().collect(),
            deny_member: self.deny_member.union(&other.deny_member).copied().collect(),
            fill_from,
            weight: other.weight.clone(),
            half_life: other.half_life.clone(),
            alone_serve: self.alone_serve && other.alone_serve,
        })
    }

    /// By which key the other allows less; none: whoever acts on this one alone does nothing that the other denies.
    pub fn narrowed_by(&self, other: &Rules) -> Option<&'static str> {
        let lower = |a: Option<u64>, b: Option<u64>| b.is_some_and(|b| a.is_none_or(|a| b < a));
        let fewer = other.fill_from.iter().any(|(zone, b)| match self.fill_from.get(zone) {
            Some(a) => !a.is_subset(b),
            None => true,
        });
        let cases = [
            // A share of any limit is nothing for who is alone, but a limit where there was none is.
            ("office-fills", self.office_fills.is_none() && lower(self.office_fills, other.office_fills)),
            ("parent-fills", self.parent_fills.is_none() && lower(self.parent_fills, other.parent_fills)),
            ("refuse-class", !other.refuse_class.is_subset(&self.refuse_class)),
            ("refuse-group", !other.refuse_group.is_subset(&self.refuse_group)),
            ("deny-member", !other.deny_member.is_subset(&self.deny_member)),
            ("fill-from", fewer),
        ];
        cases.into_iter().find(|(_, narrower)| *narrower).map(|(key, _)| key)
    }

    /// Whether a location's misses may be filled from a place.
    pub fn may_fill(&self, zone: u32, from: Place) -> bool {
        self.fill_from.get(&zone).is_none_or(|places| places.contains(&from))
    }

    /// What changed, a line each, as `- key ...` and `+ key ...`.
    pub fn diff(&self, other: &Rules) -> String {
        let (a, b) = (show(self), show(other));
        let (a, b): (BTreeSet<&str>, BTreeSet<&str>) = (a.lines().collect(), b.lines().collect());
        let gone = a.difference(&b).map(|line| format!("- {line}\n"));
        gone.chain(b.difference(&a).map(|line| format!("+ {line}\n"))).collect()
    }
}
