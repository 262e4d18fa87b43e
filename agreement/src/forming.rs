//! How the electors that the operators' file names become a fleet, once.
//!
//! Guards against two fleets under the same names: an elector with an empty disk can't tell a first start from a lost
//! disk. So a disk promises one set of disks, for ever, and a fleet lives only once each disk of its set has promised
//! it. Harm it may do: where a disk is lost between promise and fleet, nothing forms until staff empty the others;
//! nothing had been decided there.

use std::collections::BTreeMap;

/// Electors by name and disk.
pub(crate) type Set = Vec<(String, u64)>;

#[derive(Debug)]
pub(crate) struct Forming {
    name: String,
    id: u64,
    named: Vec<String>,
    promise: Option<Set>,
    heard: BTreeMap<String, (u64, Option<Set>)>,
    /// Somebody has a fleet without this disk.
    pub shut_out: bool,
}

#[derive(Debug, PartialEq)]
pub(crate) enum Step {
    Wait,
    Promise(Set),
    Form(Set),
}

impl Forming {
    pub fn new(name: &str, id: u64, named: &[String], promise: Option<Set>) -> Self {
        let mut named = named.to_vec();
        named.sort();
        Self { name: name.to_owned(), id, named, promise, heard: BTreeMap::new(), shut_out: false }
    }

    pub fn promise(&self) -> Option<&Set> {
        self.promise.as_ref()
    }

    pub fn promised(&mut self, set: Set) {
        self.promise = Some(set);
    }

    /// A named elector that has no fleet says so; true where its word can't be brought together with the promise.
    pub fn hear(&mut self, name: &str, id: u64, promise: Option<Set>) -> bool {
        if !self.named.iter().any(|n| n == name) {
            return false;
        }
        let mine = |set: &Set| set.iter().any(|(n, i)| n == name && *i != id);
        let apart = self
            .promise
            .as_ref()
            .is_some_and(|own| mine(own) || promise.as_ref().is_some_and(|other| other != own));
        self.heard.insert(name.to_owned(), (id, promise));
        apart
    }

    /// An elector has a fleet that began with this set; empty where it came later and does not know.
    pub fn formed(&mut self, set: &Set) -> Step {
        if self.promise.as_ref() == Some(set) {
            return Step::Form(set.clone());
        }
        self.shut_out = true;
        Step::Wait
    }

    pub fn step(&self) -> Step {
        if self.shut_out {
            return Step::Wait;
        }
        if let Some(set) = &self.promise {
            let all = set.iter().all(|(name, id)| match self.heard.get(name) {
                _ if *name == self.name => *id == self.id,
                Some((other, promise)) => other == id && promise.as_ref() == Some(set),
                None => false,
            });
            return if all { Step::Form(set.clone()) } else { Step::Wait };
        }
        let of = |set: &&Set| {
            set.iter().map(|(name, _)| name).eq(&self.named)
                && set.iter().any(|(name, id)| *name == self.name && *id == self.id)
        };
        if let Some(set) = self.heard.values().filter_map(|(_, p)| p.as_ref()).find(of) {
            return Step::Promise(set.clone());
        }
        let set: Option<Set> = self
            .named
            .iter()
            .map(|name| match self.heard.get(name) {
                _ if *name == self.name => Some((name.clone(), self.id)),
                heard => heard.map(|(id, _)| (name.clone(), *id)),
            })
            .collect();
        set.map_or(Step::Wait, Step::Promise)
    }
}
