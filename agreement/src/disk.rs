//! What an elector keeps through a crash, and the log as Raft reads it.

use std::collections::BTreeMap;

use raft::eraftpb as pb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

/// Term, vote and how far it is settled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The term.
    pub term: u64,
    /// Whom it voted for in it.
    pub vote: u64,
    /// Settled up to here.
    pub commit: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number.
    pub index: u64,
    /// The term that wrote it.
    pub term: u64,
    /// 0: a proposal; others: Raft's kinds of changes of its electors.
    pub kind: u8,
    /// What Raft reads.
    pub data: Vec<u8>,
    /// The proposal that a change of the electors comes of.
    pub context: Vec<u8>,
}

/// All up to a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The number.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// Who votes then.
    pub voters: Vec<u64>,
    /// Who hears without a vote.
    pub learners: Vec<u64>,
    /// The fleet, spelt.
    pub data: Vec<u8>,
}

/// A change of the disk: all of it is durable before anything that follows it is done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The set of electors that this disk has promised to form a fleet with, for ever.
    pub promise: Option<Vec<(String, u64)>>,
    /// Term, vote and commit.
    pub hard: Option<HardState>,
    /// A snapshot that takes the place of the older one.
    pub snapshot: Option<Snapshot>,
    /// Entries up to here are dropped, before the new ones come.
    pub drop_to: u64,
    /// Entries; what stood from the first one's number on is replaced.
    pub entries: Vec<Entry>,
}

impl Write {
    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// An elector's disk, as it is read at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Disk {
    /// Its identity, drawn when it was made: who loses the disk is another elector.
    pub id: u64,
    /// Counts the starts on it.
    pub boots: u64,
    /// See [`Write`].
    pub promise: Option<Vec<(String, u64)>>,
    /// See [`Write`].
    pub hard: HardState,
    /// See [`Write`].
    pub snapshot: Snapshot,
    /// By number.
    pub entries: BTreeMap<u64, Entry>,
}

impl Disk {
    /// An empty one of this identity, started for the first time.
    pub fn new(id: u64) -> Self {
        Self { id, boots: 1, ..Self::default() }
    }

    /// Makes a change.
    pub fn apply(&mut self, write: &Write) {
        if let Some(promise) = &write.promise {
            self.promise = Some(promise.clone());
        }
        if let Some(hard) = write.hard {
            self.hard = hard;
        }
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = snapshot.clone();
        }
        if write.drop_to > 0 {
            self.entries = self.entries.split_off(&write.drop_to.saturating_add(1));
        }
        if let Some(first) = write.entries.first() {
            self.entries.split_off(&first.index);
            self.entries.extend(write.entries.iter().map(|e| (e.index, e.clone())));
        }
    }
}

pub(crate) fn to_raft(entry: &Entry) -> pb::Entry {
    let mut out = pb::Entry::default();
    out.set_entry_type(match entry.kind {
        0 => pb::EntryType::EntryNormal,
        1 => pb::EntryType::EntryConfChange,
        _ => pb::EntryType::EntryConfChangeV2,
    });
    (out.index, out.term) = (entry.index, entry.term);
    (out.data, out.context) = (entry.data.clone().into(), entry.context.clone().into());
    out
}

pub(crate) fn of_raft(entry: &pb::Entry) -> Entry {
    Entry {
        index: entry.index,
        term: entry.term,
        kind: entry.get_entry_type() as u8,
        data: entry.data.to_vec(),
        context: entry.context.to_vec(),
    }
}

pub(crate) fn snapshot_to_raft(snapshot: &Snapshot) -> pb::Snapshot {
    let mut out = pb::Snapshot { data: snapshot.data.clone().into(), ..pb::Snapshot::default() };
    let meta = out.mut_metadata();
    (meta.index, meta.term) = (snapshot.index, snapshot.term);
    meta.mut_conf_state().voters = snapshot.voters.clone();
    meta.mut_conf_state().learners = snapshot.learners.clone();
    out
}

pub(crate) fn snapshot_of_raft(snapshot: &pb::Snapshot) -> Snapshot {
    let meta = snapshot.get_metadata();
    Snapshot {
        index: meta.index,
        term: meta.term,
        voters: meta.get_conf_state().voters.clone(),
        learners: meta.get_conf_state().learners.clone(),
        data: snapshot.data.to_vec(),
    }
}

/// The log as Raft reads it: the disk's image in memory.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub disk: Disk,
}

impl Log {
    fn first(&self) -> u64 {
        self.disk.entries.first_key_value().map_or(self.disk.snapshot.index + 1, |(index, _)| *index)
    }

    pub fn last(&self) -> u64 {
        self.disk.entries.last_key_value().map_or(self.disk.snapshot.index, |(index, _)| *index)
    }

    pub fn term_of(&self, index: u64) -> Option<u64> {
        match self.disk.entries.get(&index) {
            Some(entry) => Some(entry.term),
            None => (index == self.disk.snapshot.index).then_some(self.disk.snapshot.term),
        }
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let mut hard = pb::HardState::default();
        (hard.term, hard.vote, hard.commit) =
            (self.disk.hard.term, self.disk.hard.vote, self.disk.hard.commit);
        let conf = snapshot_to_raft(&self.disk.snapshot).take_metadata().take_conf_state();
        Ok(RaftState::new(hard, conf))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<pb::Entry>> {
        if low < self.first() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let mut found: Vec<pb::Entry> = self.disk.entries.range(low..high).map(|(_, e)| to_raft(e)).collect();
        raft::util::limit_size(&mut found, most.into());
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let lacks = if index < self.first() { StorageError::Compacted } else { StorageError::Unavailable };
        self.term_of(index).ok_or(raft::Error::Store(lacks))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, least: u64, _: u64) -> raft::Result<pb::Snapshot> {
        if self.disk.snapshot.index < least {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(snapshot_to_raft(&self.disk.snapshot))
    }
}
