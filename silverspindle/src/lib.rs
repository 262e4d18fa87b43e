//! An edge router: one program on real sockets around the decision module `bitternhold`.
//!
//! Everything runs on one thread, on one local executor. Clients' connections ([`front`]), each peer
//! ([`upstream`]), the list ([`coordinator`]) and the module ([`director`]) are actors that talk through
//! bounded mailboxes in the terms of [`traffic`]. The codecs ([`thrift`], [`resp`], [`feed`]) are pure and
//! know no sockets.

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
pub mod serve;
pub mod skew;
pub mod steady;
pub mod traffic;
pub mod upgrade;
pub mod upstream;
pub mod withheld;

pub use silverspindle_wire::{clock, feed, framing, resp, thrift};
