//! An edge router for branch caches: connects the decision module `bitternhold` to real sockets.
//!
//! Everything runs on one thread, on one local executor. The client connections ([`front`]), the connections
//! to each peer ([`upstream`]), the membership list ([`coordinator`]) and the decision module ([`director`])
//! are actors. They exchange the messages defined in [`traffic`] through bounded mailboxes. The codecs
//! ([`thrift`], [`resp`], [`feed`]) do no I/O.

pub mod agreement;
pub mod config;
pub mod coordinator;
pub mod copies;
pub mod counters;
pub mod director;
pub mod distribution;
pub mod drain;
pub mod front;
mod guards;
pub mod hollow;
pub mod invariant;
pub mod knowledge;
mod limited;
pub mod links;
pub mod logging;
pub mod management;
pub mod memory;
pub mod serve;
pub mod skew;
pub mod steady;
pub mod traffic;
pub mod upgrade;
pub mod upstream;
pub mod withheld;

pub use silverspindle_wire::{clock, feed, framing, loop_monitor, resp, thrift};
