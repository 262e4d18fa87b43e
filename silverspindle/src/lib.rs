//! An edge router: one program on real sockets around the decision module `bitternhold`.
//!
//! Everything runs on one thread, on one local executor. Clients' connections ([`front`]), each peer
//! ([`upstream`]), the list ([`coordinator`]) and the module ([`director`]) are actors that talk through
//! bounded mailboxes; [`thrift`], [`resp`] and [`feed`] are pure parsers and know no sockets.

pub mod clock;
pub mod config;
pub mod coordinator;
pub mod copies;
pub mod director;
pub mod feed;
pub mod framing;
pub mod front;
pub mod invariant;
pub mod logging;
pub mod resp;
pub mod serve;
pub mod thrift;
pub mod upstream;
