//! What routers say to each other about decisions, as bodies of the exchange's frames.

use raft::eraftpb as pb;
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::decision::{Proposal, ProposalId, Verdict};
use crate::disk::{self, Entry, Snapshot};
use crate::fleet::Fleet;
use crate::pieces::Pieces;
use crate::status::Status;

/// No term and no number comes to this in any router's life; Raft counts on from what it is told.
const FAR: u64 = 1 << 48;

/// What is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// An elector without a fleet: its disk, and what it has promised.
    Forming {
        /// Its disk's identity.
        id: u64,
        /// The set that it has promised to form a fleet with.
        promise: Option<Vec<(String, u64)>>,
    },
    /// The answer of one that has a fleet: the set that it began with, empty where it does not know.
    Formed {
        /// See the frame.
        set: Vec<(String, u64)>,
    },
    /// Between electors.
    Raft(RaftMessage),
    /// Somebody wants a change.
    Propose(Proposal),
    /// An elector hands a proposal to the leader.
    Forward(Proposal),
    /// What became of a proposal; none: not known, ask again by the same id.
    Settled {
        /// Which.
        id: ProposalId,
        /// What became of it.
        verdict: Option<Verdict>,
    },
    /// What is the latest?
    Ask {
        /// Counts the asker's questions.
        seq: u64,
        /// The asker's fleet; 0: none.
        fleet: u64,
        /// What it has applied, and the digest of it.
        have: u64,
        /// See `have`.
        digest: u64,
        /// Its disk, where it is named as an elector and has no seat.
        seat: Option<u64>,
        /// How old its confirmation is.
        age: Option<Micros>,
        /// Its life.
        life: u64,
        /// What it tells of itself, and an elector of those that told it, by name, with its age: for whoever leads.
        reports: Vec<(String, Micros, Vec<u8>)>,
    },
    /// As of `age` before this answer was written, `number` was the latest.
    Answer {
        /// The question's.
        seq: u64,
        /// The fleet.
        fleet: u64,
        /// How old the word is, by the answerer's clock, stretched by its drift.
        age: Micros,
        /// The latest number then.
        number: u64,
        /// The digest at the asker's number, where it is remembered.
        at_have: Option<u64>,
        /// Proposals from the asker's number on, by number; an empty one is a leader's first.
        entries: Vec<(u64, Vec<u8>)>,
        /// Instead of entries, for who is too far behind.
        snapshot: Option<Vec<u8>>,
    },
    /// What is a topic's text?
    AskNote {
        /// Which.
        topic: String,
    },
    /// This, as of the latest number applied here; number 0: there is none.
    NoteIs {
        /// Which.
        topic: String,
        /// The decision that set it.
        number: u64,
        /// The text.
        body: Vec<u8>,
        /// The latest number applied.
        at: u64,
    },
    /// How does the fleet stand?
    AskStatus,
    /// So, as this router sees it.
    StatusIs(Box<Status>),
}

/// A message of Raft.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    kind: u8,
    /// To whom, and from whom, by their disks' identity.
    pub to: u64,
    /// See `to`.
    pub from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<Entry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<Snapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

const KINDS: [pb::MessageType; 14] = [
    pb::MessageType::MsgAppend,
    pb::MessageType::MsgAppendResponse,
    pb::MessageType::MsgRequestVote,
    pb::MessageType::MsgRequestVoteResponse,
    pb::MessageType::MsgSnapshot,
    pb::MessageType::MsgHeartbeat,
    pb::MessageType::MsgHeartbeatResponse,
    pb::MessageType::MsgTransferLeader,
    pb::MessageType::MsgTimeoutNow,
    pb::MessageType::MsgReadIndex,
    pb::MessageType::MsgReadIndexResp,
    pb::MessageType::MsgRequestPreVote,
    pb::MessageType::MsgRequestPreVoteResponse,
    pb::MessageType::MsgUnreachable,
];

impl RaftMessage {
    pub(crate) fn of(m: &pb::Message) -> Option<Self> {
        let kind = KINDS.iter().position(|kind| *kind == m.get_msg_type())? as u8;
        let snapshot = (m.get_msg_type() == pb::MessageType::MsgSnapshot)
            .then(|| disk::snapshot_of_raft(m.get_snapshot()));
        Some(Self {
            kind,
            to: m.to,
            from: m.from,
            term: m.term,
            log_term: m.log_term,
            index: m.index,
            entries: m.entries.iter().map(disk::of_raft).collect(),
            commit: m.commit,
            commit_term: m.commit_term,
            snapshot,
            request_snapshot: m.request_snapshot,
            reject: m.reject,
            reject_hint: m.reject_hint,
            context: m.context.to_vec(),
            priority: m.priority,
        })
    }

    /// A snapshot that says who votes and what the fleet is, as of one number.
    fn is_whole(snapshot: &Snapshot) -> bool {
        let fleet = Fleet::read(&snapshot.data);
        let all =
            || snapshot.voters.iter().chain(&snapshot.learners).collect::<std::collections::BTreeSet<_>>();
        (1..=FAR).contains(&snapshot.index)
            && (1..=FAR).contains(&snapshot.term)
            && !snapshot.voters.is_empty()
            && all().len() == snapshot.voters.len() + snapshot.learners.len()
            && fleet.is_some_and(|fleet| fleet.number == snapshot.index)
    }

    /// As Raft reads it; none where no elector of ours can have sent it: Raft would take it for a broken invariant.
    pub(crate) fn to_raft(&self, last: u64) -> Option<pb::Message> {
        let kind = *KINDS.get(usize::from(self.kind)).filter(|k| **k != pb::MessageType::MsgUnreachable)?;
        let far =
            [self.term, self.log_term, self.index, self.commit, self.commit_term, self.request_snapshot];
        if far.iter().any(|n| *n > FAR) {
            return None;
        }
        let follows = self
            .entries
            .iter()
            .zip(self.index.saturating_add(1)..)
            .all(|(e, index)| e.index == index && e.term <= self.term && e.kind <= 2);
        let sorted = self.entries.is_sorted_by_key(|e| e.term);
        let good = match kind {
            pb::MessageType::MsgAppend => follows && sorted,
            pb::MessageType::MsgHeartbeat => self.entries.is_empty() && self.commit <= last,
            pb::MessageType::MsgSnapshot => self.snapshot.as_ref().is_some_and(Self::is_whole),
            pb::MessageType::MsgAppendResponse => {
                self.entries.is_empty() && self.index <= last && self.reject_hint <= last
            }

            pb::MessageType::MsgReadIndex | pb::MessageType::MsgReadIndexResp => self.entries.len() == 1,
            _ => self.entries.is_empty(),
        };
        if !good || self.from == 0 || (self.term == 0 && kind != pb::MessageType::MsgReadIndex) {
            return None;
        }
        let mut m = pb::Message::default();
        m.set_msg_type(kind);
        (m.to, m.from, m.term, m.log_term, m.index) =
            (self.to, self.from, self.term, self.log_term, self.index);
        m.entries = self.entries.iter().map(disk::to_raft).collect::<Vec<_>>().into();
        (m.commit, m.commit_term) = (self.commit, self.commit_term);
        if let Some(snapshot) = &self.snapshot {
            m.set_snapshot(disk::snapshot_to_raft(snapshot));
        }
        (m.request_snapshot, m.reject, m.reject_hint) =
            (self.request_snapshot, self.reject, self.reject_hint);
        m.context = self.context.clone().into();
        m.priority = self.priority;
        Some(m)
    }
}

/// Puts the pieces of frames together again.
pub type Assembler = Pieces<Frame>;
