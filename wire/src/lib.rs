//! Codecs of the router's sockets: message framing ([`framing`]), reading ([`reader`]) within a budget ([`memory`]), the protocols of clients
//! ([`thrift`]), caches ([`resp`]) and the coordinator ([`feed`]), and the process clock ([`clock`]). The crate depends
//! on no actor and opens no socket.

pub mod clock;
pub mod feed;
pub mod framing;
pub mod memory;
pub mod reader;
pub mod resp;
pub mod thrift;
