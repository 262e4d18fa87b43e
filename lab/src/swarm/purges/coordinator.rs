//! The simulated coordinator: it numbers purges and list events, without repeating one, and tells whoever follows it.

use std::collections::BTreeMap;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use silverspindle_relay::{Entry, Micros, PurgeTarget, Record, Reset};

use super::MS;
use super::network::ConnectionId;

/// Objects that are purged and served; few, so that many copies are bound.
pub(super) const OBJECTS: u64 = 6;
/// Groups of them.
const GROUPS: u64 = 3;
/// Members that come and go.
const MEMBERS: u32 = 5;
/// A member's state in a record of the list, and what it means.
const STATE: usize = 10;
const GONE: u8 = 2;
const COMPLETE: u8 = 1;
const DELTA: u8 = 2;
const MEMBER: usize = 27;

/// The group of an object.
pub(super) fn group(object: u64) -> u64 {
    object % GROUPS
}

/// A purge as the checker looks it up.
#[derive(Clone, Copy, Debug)]
pub(super) struct Numbered {
    pub number: u64,
    pub at_ms: u64,
    /// When it was numbered.
    pub known: Micros,
}

#[derive(Default)]
pub(super) struct Coordinator {
    /// All records, numbers counting up.
    pub log: Vec<Record>,
    /// Purges that bind an object, its group's among them.
    pub purges: BTreeMap<u64, Vec<Numbered>>,
    /// Who follows it, and up to where it was told.
    pub followers: BTreeMap<ConnectionId, u64>,
    /// What a process that starts is told by its configuration.
    pub known: Reset,
    list: BTreeMap<[u8; 4], [u8; MEMBER]>,
}

impl Coordinator {
    pub fn latest(&self) -> u64 {
        self.log.last().map_or(0, |record| record.number)
    }

    /// Where the records after this number begin.
    pub fn after(&self, number: u64) -> usize {
        self.log.partition_point(|record| record.number <= number)
    }

    /// Numbers the next event.
    pub fn event(&mut self, now: Micros, rng: &mut Pcg64Mcg) -> u64 {
        let skipped = if rng.random_range(0..5) == 0 { rng.random_range(1..4) } else { 0 };
        let number = self.latest() + 1 + skipped;
        let entry = match rng.random_range(0..12) {
            _ if self.log.is_empty() => Entry::List(self.list_event(COMPLETE, rng)),
            0 => Entry::List(self.list_event(if rng.random() { COMPLETE } else { DELTA }, rng)),
            1 => self.purge(PurgeTarget::Group(rng.random_range(0..GROUPS)), number, now),
            _ => self.purge(PurgeTarget::Object(rng.random_range(0..OBJECTS)), number, now),
        };
        self.log.push(Record { number, entry });
        number
    }

    fn purge(&mut self, what: PurgeTarget, number: u64, known: Micros) -> Entry {
        let at_ms = known / MS;
        let binds = |object: &u64| match what {
            PurgeTarget::Object(purged) => purged == *object,
            PurgeTarget::Group(purged) => purged == group(*object),
        };
        for object in (0..OBJECTS).filter(binds) {
            self.purges.entry(object).or_default().push(Numbered { number, at_ms, known });
        }
        Entry::Purge { what, at_ms }
    }

    fn list_event(&mut self, kind: u8, rng: &mut Pcg64Mcg) -> Vec<u8> {
        let mut event = vec![kind];
        for id in 0..MEMBERS {
            if kind == COMPLETE || rng.random_range(0..3) == 0 {
                let mut record = [0; MEMBER];
                record[..4].copy_from_slice(&id.to_be_bytes());
                record[STATE] = rng.random_range(0..=GONE);
                record[MEMBER - 1] = rng.random();
                event.extend_from_slice(&record);
            }
        }
        merge(&mut self.list, &event);
        event
    }

    /// The configuration that processes are started with is written anew.
    pub fn write_known(&mut self) {
        self.known = self.come_to(self.log.len());
    }

    /// What the first records come to.
    pub fn come_to(&self, records: usize) -> Reset {
        let mut reset = Reset::default();
        let mut list = BTreeMap::new();
        for record in &self.log[..records] {
            reset.number = record.number;
            match &record.entry {
                Entry::Purge { at_ms, .. } => reset.purged_before_ms = reset.purged_before_ms.max(*at_ms),
                Entry::List(event) => merge(&mut list, event),
            }
        }
        if records > 0 {
            reset.list.push(COMPLETE);
            list.values().for_each(|record| reset.list.extend_from_slice(record));
        }
        reset
    }
}

/// Takes a list event into a list.
fn merge(list: &mut BTreeMap<[u8; 4], [u8; MEMBER]>, event: &[u8]) {
    if event[0] == COMPLETE {
        list.clear();
    }
    for record in event[1..].as_chunks::<MEMBER>().0 {
        let id = [record[0], record[1], record[2], record[3]];
        match record[STATE] {
            GONE => list.remove(&id),
            _ => list.insert(id, *record),
        };
    }
}
