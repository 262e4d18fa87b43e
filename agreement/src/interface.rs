//! What [`crate::Node`] is told, and what it asks of its host.

use crate::Micros;
use crate::decision::{Proposal, ProposalId, Verdict};
use crate::disk::Write;
use crate::wire::Frame;

/// Guards that the simulator can take out of its routers, to see that its checks find what they guard against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// Nobody acts on an older confirmation than the stated time.
    pub fence: bool,
    /// Only a quorum's word confirms.
    pub quorum: bool,
    /// A proposal is applied once.
    pub dedupe: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self { fence: true, quorum: true, dedupe: true }
    }
}

/// What a router is told at its start.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Its name, as in its certificate.
    pub name: String,
    /// Counts up with each of its starts.
    pub life: u64,
    /// The electors' names, by the operators' file.
    pub electors: Vec<String>,
    /// Names of those whose certificates may propose all.
    pub operators: Vec<String>,
    /// The stated time.
    pub lease: Micros,
    /// Steady clocks may run wrong by so many parts in a million.
    pub drift_ppm: u64,
    /// How long a proposal is tried before its maker is told that its outcome is not known.
    pub patience: Micros,
    /// For all that is drawn.
    pub seed: u64,
    /// All on, but in the simulator.
    pub guards: Guards,
}

/// What happens to a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// It is time; see [`Node::due`].
    Tick,
    /// A frame of the peer with this name in its certificate.
    Heard {
        /// Who.
        from: String,
        /// What.
        frame: Frame,
    },
    /// Somebody at this router wants a change; its outcome comes as an [`Action::Answer`] with this token.
    Propose {
        /// The asker's.
        token: u64,
        /// What.
        proposal: Proposal,
    },
}

/// What the host does, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make this durable, then go on.
    Write(Write),
    /// Send to the peer of this name; it may get lost.
    Send {
        /// To whom.
        to: String,
        /// What.
        frame: Frame,
    },
    /// A number was applied.
    Applied(Applied),
    /// What became of a proposal made here; none: it is not known.
    Answer {
        /// The asker's.
        token: u64,
        /// What.
        reply: Reply,
    },
    /// Staff should know.
    Shout(String),
}

/// The outcome of a proposal, as far as it is known.
pub type Reply = Option<Verdict>;

/// A number applied here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Which.
    pub number: u64,
    /// The digest of all outcomes up to it.
    pub digest: u64,
    /// What became of whose proposal; none for a leader's first entry, a repetition, or a snapshot.
    pub outcome: Option<(ProposalId, Verdict)>,
    /// Whether it stands for all up to it, by a snapshot.
    pub whole: bool,
}
