//! Proposals and what becomes of them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Bounds on all that a peer may make this router keep.
pub mod bounds {
    /// Bytes of a name: a certificate's.
    pub const NAME: usize = 63;
    /// Bytes of a proposal's body.
    pub const BODY: usize = 48 * 1024;
    /// Routers on the roll: 5,600 and as many again by half. Not a setting: a join is refused by it, so all routers
    /// must hold it against the same figure. See [`FRAME`] for what a full one takes.
    pub const ROLL: usize = 8192;
    /// Earlier lives of a router that are kept by number. Only a life that was killed stays there: at 30 a day among
    /// 5,600 routers that is one in half a year for each.
    pub const EARLIER: usize = 16;
    /// Topics with a note, and bytes of all notes together.
    pub const TOPICS: usize = 64;
    /// See `TOPICS`.
    pub const NOTES: usize = 512 * 1024;
    /// Proposals whose outcome is remembered, the oldest forgotten first: 170 a second for the six seconds that one is
    /// tried for.
    pub const REMEMBERED: usize = 1024;
    /// Electors.
    pub const ELECTORS: usize = 5;
    /// Entries of the log kept behind the snapshot, for who is a little late.
    pub const LOG: u64 = 2048;
    /// Proposals that an elector holds until they are settled.
    pub const PENDING: usize = 256;
    /// Bytes of what a router tells of itself.
    pub const REPORT: usize = 4096;
    /// Bytes of what an elector hands on of others' telling, at a time: 2,600 routers at 100 bytes each. 5,600 that all
    /// told one elector take three questions, three quarters of a lease.
    pub const REPORTS: usize = 256 * 1024;
    /// Frames of all kinds are no longer, whatever they claim: the largest is a snapshot of a full roll with all notes.
    pub const FRAME: usize = 4 << 20;
    /// Frames of who is no elector: a proposal, or a question with its own report. Of each caller one may lie here
    /// unfinished, so this counts as often as there are callers.
    pub const CALLER_FRAME: usize = 64 * 1024;
}

/// The least stated time: four questions to an elector, their way and its quorum's have room in it.
pub const LEAST_LEASE: Micros = 500_000;

/// Names a proposal through all its retries: who made it, and which of theirs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId(pub u64, pub u64);

impl fmt::Display for ProposalId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

impl std::str::FromStr for ProposalId {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let whole = u128::from_str_radix(text, 16).ok().filter(|_| text.len() == 32);
        whole
            .map(|n| Self((n >> 64) as u64, n as u64))
            .ok_or_else(|| format!("{text:?} is not 32 hex digits"))
    }
}

/// A change somebody wants made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The same through all retries.
    pub id: ProposalId,
    /// The latest number that its maker knew: what has changed the same thing since then stands in its way.
    pub builds_on: u64,
    /// The name in its maker's certificate.
    pub by: String,
    /// What.
    pub change: Change,
}

/// What a proposal would change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A router of this name is there, in this life of its.
    Join {
        /// Its name.
        name: String,
        /// Counts up with each of its starts.
        life: u64,
    },
    /// That life has ended by itself.
    Leave {
        /// Its name.
        name: String,
        /// Which life.
        life: u64,
    },
    /// An operator strikes a router off the roll.
    Forget {
        /// Its name.
        name: String,
    },
    /// The electors change by one.
    Seat(Seat),
    /// A topic's text from now on; what stands on this ground keeps its decisions so.
    Note {
        /// Which topic.
        topic: String,
        /// Its text.
        body: Vec<u8>,
    },
}

/// A change of the electors: one at a time, by the identity of a disk and not by a name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seat {
    /// It hears all, without a vote yet.
    Admit {
        /// The router.
        name: String,
        /// Its disk's identity.
        id: u64,
    },
    /// It votes.
    Promote {
        /// Its disk's identity.
        id: u64,
    },
    /// It votes no more.
    Dismiss {
        /// Its disk's identity.
        id: u64,
    },
}

/// Why a proposal was not made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// What it would change has been changed by this decision, which its maker did not know.
    Overtaken(u64),
    /// Nobody can tell any more whether it was made before: the number that it builds on is older than all
    /// that is remembered.
    TooOld(u64),
    /// A later life of the router is on the roll.
    OlderLife(u64),
    /// There is no such router, elector or seat.
    Unknown,
    /// It is so already.
    Already,
    /// Over a bound of what is kept.
    Bound,
    /// The electors that are left and talk would be no quorum.
    Quorum,
    /// Its maker may not do that.
    Forbidden,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::Overtaken(n) => write!(f, "decision {n} has changed the same since"),
            Refusal::TooOld(n) => {
                write!(f, "it builds on a number before {n}, too old to tell if it was made")
            }
            Refusal::OlderLife(n) => write!(f, "a later life, {n}, is on the roll"),
            Refusal::Unknown => f.write_str("there is no such router or elector"),
            Refusal::Already => f.write_str("it is so already"),
            Refusal::Bound => f.write_str("over a bound of what the fleet keeps"),
            Refusal::Quorum => f.write_str("the electors left that can be heard would be no quorum"),
            Refusal::Forbidden => f.write_str("that is an operator's to propose"),
        }
    }
}

/// What became of a proposal, the same at every router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Made, as the decision of this number.
    Made(u64),
    /// Refused at this number.
    Refused(u64, Refusal),
}
