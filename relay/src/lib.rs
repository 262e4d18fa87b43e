//! Distribution of purges and list events: a source numbers and batches them, relays pass them on, every router
//! applies each one once and in order, and reports add up on the way back. No I/O: time, frames and events come in,
//! actions go out.
//!
//! Three promises rest on it:
//!
//! - **Order.** A router applies exactly the records of the source's log, in its order, through crashes of relays,
//!   reconnects and changes of parent ([`log`], [`batch`]).
//! - **Lease.** A router whose feed has not been confirmed within the lease knows so by its own steady clock and acts
//!   on the safe reading. The guard is the agreement's [`Fence`], asked at the moment of acting.
//! - **Watermark.** The source can say up to which number every live router has applied the log, and who is
//!   missing, at a cost that does not grow with the fleet: each relay adds up its children ([`watermark`]). Who is
//!   dead or cut off stops counting only once its lease has certainly run out.

mod arrivals;
pub mod batch;
mod children;
pub mod feed;
pub mod frame;
mod leases;
mod list;
pub mod log;
pub mod node;
mod parent;
mod questions;
pub mod settings;
pub mod watermark;

pub use batch::Batch;
pub use feed::{Feed, FeedGuard, Mode};
pub use frame::{Coded, Confirm, Fault, Frame, Report, Subscribe, Update};
pub use log::{ANY_COPY, Entry, Log, Record, Reset};
pub use node::{Action, ChildId, Event, Guards, Node, ParentId, Role, Settings};
pub use silverspindle_agreement::Fence;
pub use silverspindle_wire::feed::PurgeTarget;
pub use watermark::{Lagging, Status, Summary};

/// Microseconds.
pub type Micros = u64;

/// One process of a router or relay: a restart is another one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct NodeId {
    /// Which router, by its name's digest.
    pub instance: u64,
    /// Which of its starts.
    pub incarnation: u64,
}

/// Bounds on what a peer can make a node keep.
pub mod bounds {
    /// Bytes of a frame.
    pub const FRAME: usize = 1 << 20;
    /// Bytes of one batch, coded: an update stays well under a frame.
    pub const BATCH: usize = 64 * 1024;
    /// Bytes of one list event: the coordinator's largest.
    pub const LIST: usize = 256 * 1024;
    /// Bytes of the records that a node keeps for children that come back.
    pub const LOG: usize = 64 << 20;
    /// Live leases of a node for each child that it takes: moves and restarts leave some to run out.
    pub const LEASES_PER_CHILD: usize = 4;
    /// Bytes of a name.
    pub const NAME: usize = 63;
    /// Slowest routers that a report names.
    pub const LAGGING: usize = 8;
}
