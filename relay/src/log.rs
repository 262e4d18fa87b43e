//! The log: numbered records, the latest of which a parent keeps for children that come back, and the condensed
//! statement ([`Reset`]) for those that are too far behind.

use serde::{Deserialize, Serialize};
use silverspindle_wire::feed::Purged;

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
        what: Purged,
        /// When, in Unix milliseconds.
        at_ms: u64,
    },
    /// An event of the members' list as the coordinator spells it: the frame's kind (1 or 2) and its records.
    List(Vec<u8>),
}

/// Instead of records that a parent does not keep any more: what all of them up to a number come to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// It stands for all records up to this one.
    pub number: u64,
    /// Copies from before this Unix time may be purged: the latest of the purges that are not listed.
    pub purged_before_ms: u64,
    /// The whole list of members, as one complete list event; empty: none was told.
    pub list: Vec<u8>,
}

/// The latest records, and what the older ones come to.
#[derive(Clone, Debug, Default)]
pub struct Log {
    records: std::collections::VecDeque<Record>,
    condensed: Reset,
    most: usize,
}

impl Log {
    /// An empty log behind this number, of which so many records are kept.
    pub fn new(after: u64, most: usize) -> Self {
        Self {
            records: std::collections::VecDeque::new(),
            condensed: Reset { number: after, ..Reset::default() },
            most,
        }
    }

    /// The latest number.
    pub fn latest(&self) -> u64 {
        self.records.back().map_or(self.condensed.number, |record| record.number)
    }

    /// Records that are kept at most.
    pub fn most(&self) -> usize {
        self.most
    }
}
