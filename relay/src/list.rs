//! List events as the coordinator spells them: a kind, then records of 27 bytes. Many events become one.

use std::collections::BTreeMap;

use crate::bounds;

/// Bytes of a member's record.
const RECORD: usize = 27;
/// Where a record says what state the member is in.
const STATE: usize = 10;
/// The state of a member that is gone.
const GONE: u8 = 2;
/// The kind of an event that names all members.
const COMPLETE: u8 = 1;
/// The kind of an event that names those that have changed.
const DELTA: u8 = 2;
/// Members of a list at most: as many as the largest event can name.
const MOST: usize = (bounds::LIST - 1) / RECORD;

/// Whether these bytes are a list event.
pub fn is_event(bytes: &[u8]) -> bool {
    let form = matches!(bytes, [COMPLETE | DELTA, records @ ..] if records.len() % RECORD == 0);
    form && bytes.len() <= bounds::LIST
}

/// What the list events so far come to.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// It names all members, as one event did; else only those that have changed since a list that is not known here.
    complete: bool,
    members: BTreeMap<[u8; 4], [u8; RECORD]>,
}

impl List {
    /// Takes in a later event; what is no event is left out.
    pub fn merge(&mut self, event: &[u8]) {
        if !is_event(event) {
            return;
        }
        if event[0] == COMPLETE {
            self.complete = true;
            self.members.clear();
        }
        for record in event[1..].as_chunks::<RECORD>().0 {
            let id = [record[0], record[1], record[2], record[3]];
            if record[STATE] == GONE && self.complete {
                self.members.remove(&id);
            } else if self.members.len() < MOST || self.members.contains_key(&id) {
                self.members.insert(id, *record);
            }
        }
    }

    /// All as one event; empty where none was told.
    pub fn event(&self) -> Vec<u8> {
        if !self.complete && self.members.is_empty() {
            return Vec::new();
        }
        let mut event = Vec::with_capacity(1 + self.members.len() * RECORD);
        event.push(if self.complete { COMPLETE } else { DELTA });
        self.members.values().for_each(|record| event.extend_from_slice(record));
        event
    }

    /// Bytes that it holds, about.
    pub fn memory(&self) -> usize {
        self.members.len() * (4 + RECORD)
    }
}
