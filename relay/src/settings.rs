//! What a node is told at its start, and how its host names connections.

use crate::{Micros, NodeId};

/// Guards that the simulator can take out, to see that its checks find what they guard against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// Nobody acts on an older confirmation than the lease.
    pub fence: bool,
    /// Who is silent counts until its lease has certainly run out, and a source that starts waits for all leases.
    pub lease: bool,
    /// What is reported is what everybody below has applied, not what was sent to them.
    pub watermark: bool,
    /// A batch is applied only where it joins on, and no record twice.
    pub order: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self { fence: true, lease: true, watermark: true, order: true }
    }
}

/// What a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Its records come from the coordinator ([`Event::Append`]).
    Source,
    /// It takes the log from a parent and passes it on.
    Relay,
    /// It takes the log from a parent.
    Router,
}

/// A parent's place in [`Settings::parents`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ParentId(pub usize);

/// A child's connection, numbered by the host; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChildId(pub u64);

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Which process it is.
    pub id: NodeId,
    /// Its name, as in its certificate.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// How many parents there are to choose from, the preferred one first.
    pub parents: usize,
    /// The lease: how old a confirmation may be that is acted on. The same at every node.
    pub lease: Micros,
    /// The lease of a router that follows the coordinator itself, where it reaches no parent: shorter, as nobody
    /// counts it. A source says of no number that it is everywhere before so long after it came.
    pub direct_lease: Micros,
    /// Steady clocks may run wrong by so many parts in a million.
    pub drift_ppm: u64,
    /// Records are passed on at most so often.
    pub batch_every: Micros,
    /// A child reports so often.
    pub report_every: Micros,
    /// Children that it takes; 0: none.
    pub children: usize,
    /// Records that it keeps for children that come back.
    pub records: usize,
    /// For all that is drawn: waits before a reconnect, and when the first report goes.
    pub seed: u64,
    /// All on, but in the simulator.
    pub guards: Guards,
}
