//! The log: numbered records, the latest of which a parent keeps for children that come back, and the condensed
//! statement ([`Reset`]) for those that are too far behind.

use std::collections::{VecDeque, vec_deque};

use serde::{Deserialize, Serialize};
use silverspindle_wire::feed::PurgeTarget;

use crate::bounds;
use crate::list::List;

/// One event of the source under its number. Numbers count up and may skip: the coordinator's may.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its number, from 1.
    pub number: u64,
    /// What it says.
    pub entry: Entry,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// Copies from before then are not to be served.
    Purge {
        /// What was purged.
        what: PurgeTarget,
        /// When, in Unix milliseconds.
        at_ms: u64,
    },
    /// An event of the members' list as the coordinator spells it: the frame's kind (1 or 2) and its records.
    List(Vec<u8>),
}

impl Record {
    /// Bytes that it takes in memory.
    fn memory(&self) -> usize {
        let list = if let Entry::List(list) = &self.entry { list.len() } else { 0 };
        size_of::<Self>() + list
    }
}

/// Instead of records that a parent does not keep any more: what all of them up to a number come to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// It stands for all records up to this one.
    pub number: u64,
    /// Copies from before this Unix time may be purged: the latest of the purges that are not listed.
    /// [`ANY_COPY`]: any copy from before the reset may be.
    pub purged_before_ms: u64,
    /// The members as one list event, a complete one wherever a complete one was told; empty: none was told.
    pub list: Vec<u8>,
}

/// [`Reset::purged_before_ms`] where the purges are not known: what is older than the reset itself may be purged.
pub const ANY_COPY: u64 = u64::MAX;

/// The latest records, and what the older ones come to.
#[derive(Clone, Debug, Default)]
pub struct Log {
    records: VecDeque<Record>,
    most: usize,
    bytes: usize,
    /// All records up to this number are condensed.
    condensed: u64,
    /// The latest of the condensed purges.
    purged_before_ms: u64,
    list: List,
    /// The number that the log began behind.
    origin: u64,
    /// Whoever has not applied the log up to `origin` may have missed purges up to this time.
    origin_purged_before_ms: u64,
}

impl Log {
    /// An empty log behind this number, of which so many records are kept. What was purged before is not known.
    pub fn new(after: u64, most: usize) -> Self {
        let purged_before_ms = if after == 0 { 0 } else { ANY_COPY };
        Self::starting_at(&Reset { number: after, purged_before_ms, list: Vec::new() }, most)
    }

    /// An empty log behind what this stands for.
    pub fn starting_at(reset: &Reset, most: usize) -> Self {
        let mut log = Self {
            most,
            condensed: reset.number,
            origin: reset.number,
            origin_purged_before_ms: reset.purged_before_ms,
            ..Self::default()
        };
        log.list.merge(&reset.list);
        log
    }

    /// The latest number.
    pub fn latest(&self) -> u64 {
        self.records.back().map_or(self.condensed, |record| record.number)
    }

    /// Records that are kept at most.
    pub fn most(&self) -> usize {
        self.most
    }

    /// Adds the next record; one whose number does not count up is left out. Beyond the bounds the oldest are condensed.
    pub fn push(&mut self, record: Record) {
        if record.number <= self.latest() {
            return;
        }
        self.bytes += record.memory();
        self.records.push_back(record);
        while self.records.len() > self.most || self.bytes > bounds::LOG {
            self.condense_oldest();
        }
    }

    /// Takes this in place of the records that it stands for; one that is behind the log is left out.
    pub fn reset(&mut self, reset: &Reset) {
        if reset.number <= self.latest() {
            return;
        }
        while !self.records.is_empty() {
            self.condense_oldest();
        }
        let before = self.purged_before_ms.max(self.origin_purged_before_ms);
        (self.condensed, self.origin) = (reset.number, reset.number);
        self.origin_purged_before_ms = before.max(reset.purged_before_ms);
        self.purged_before_ms = 0;
        self.list.merge(&reset.list);
    }

    /// The records after this number, or what stands for them where they are not kept any more.
    pub fn since(&self, after: u64) -> Result<vec_deque::Iter<'_, Record>, Reset> {
        if after < self.condensed {
            return Err(self.condensed_for(after));
        }
        let begin = self.records.partition_point(|record| record.number <= after);
        Ok(self.records.range(begin..))
    }

    fn condensed_for(&self, after: u64) -> Reset {
        let unseen = if after < self.origin { self.origin_purged_before_ms } else { 0 };
        Reset {
            number: self.condensed,
            purged_before_ms: self.purged_before_ms.max(unseen),
            list: self.list.event(),
        }
    }

    fn condense_oldest(&mut self) {
        let Some(record) = self.records.pop_front() else { return };
        self.bytes -= record.memory();
        self.condensed = record.number;
        match record.entry {
            Entry::Purge { at_ms, .. } => self.purged_before_ms = self.purged_before_ms.max(at_ms),
            Entry::List(event) => self.list.merge(&event),
        }
    }

    /// Bytes that it holds, about.
    pub fn memory(&self) -> usize {
        self.bytes + self.list.memory()
    }
}
