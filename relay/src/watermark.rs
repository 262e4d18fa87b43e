//! The watermark: up to which number everybody below a node has applied the log, added up from leases.
//!
//! A child's lease runs from the latest report that was answered, by this node's own clock, and ends when no
//! confirmation given on it can be alive any more: the child counts its confirmation from before that report was
//! sent. A child whose lease has ended acts on the safe reading and counts as done.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Who is below a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Routers with a live lease, the reporter among them.
    pub routers: u32,
    /// Leases that ended without a farewell and were not taken up again, lately.
    pub expired: u32,
    /// The slowest routers, the slowest first; [`crate::bounds::LAGGING`] at most.
    pub lagging: Vec<Lagging>,
}

/// A router that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// Its name.
    pub name: String,
    /// Up to where it has applied the log.
    pub applied: u64,
}

/// How far a number has come, as a source sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The number asked for.
    pub number: u64,
    /// The latest number.
    pub latest: u64,
    /// All with a live lease have applied the log up to here.
    pub watermark: u64,
    /// Whether the number is done everywhere below this source: applied by all with a live lease, and by nobody
    /// without one acted against any more. None: not known yet, as leases given before this source's start may live.
    pub everywhere: Option<bool>,
    /// How old the source's own word is; none: it has none.
    pub age: Option<Micros>,
    /// Who is below it, the slowest named.
    pub summary: Summary,
}
