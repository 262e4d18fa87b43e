//! Codecs of the router's sockets: message framing ([`framing`]), the protocols of clients ([`thrift`]), caches
//! ([`resp`]) and the coordinator ([`feed`]), and the process clock ([`clock`]). The crate depends on no actor and
//! opens no socket.

pub mod clock;
pub mod feed;
pub mod framing;
pub mod resp;
pub mod thrift;
