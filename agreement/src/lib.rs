//! What the routers agree on: one log of decisions, and how fresh a router's word of it is. No I/O: time, frames and
//! what the disk held come in, writes, frames and answers go out.
//!
//! A few routers, the electors, settle the order of decisions by Raft (the `raft` crate). All others follow: they
//! ask any elector for the log. What keeps the fleet together under failure is the *confirmation* ([`Fence`]): who
//! acts on decision i checks at that moment that a quorum has said within the stated time that i was the latest.
//! That rests on the router's own steady clock alone, counted from its own asking.

mod decision;
mod disk;
mod fence;
mod fleet;
mod forming;
mod interface;
mod node;
mod pieces;
mod status;
mod wire;

pub use decision::{Change, LEAST_LEASE, Proposal, ProposalId, Refusal, Seat, Verdict, bounds};
pub use disk::{Disk, Entry, HardState, Snapshot, Write};
pub use fence::{Confirmation, Fence};
pub use fleet::{Elector, Fleet, Member, Note};
pub use interface::{Action, Applied, Event, Guards, Reply, Terms};
pub use node::Node;
pub use pieces::{MOST_FRAME, Malformed, PIECE, Pieces, pieces};
pub use status::{Role, Status};
pub use wire::{Assembler, Frame};

/// Microseconds.
pub type Micros = u64;

/// A digest that the same input has on every machine.
pub(crate) fn digest(parts: &[&[u8]]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new_with_keys(0x7370_696e_646c_6531, 0x6167_7265_656d_6e74);
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}
