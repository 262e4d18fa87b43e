//! What goes over the router's sockets: messages in a buffer ([`framing`]), the protocols of clients
//! ([`thrift`]), caches ([`resp`]) and the coordinator ([`feed`]), and the one clock ([`clock`]). Knows no actor
//! and no socket.

pub mod clock;
pub mod feed;
pub mod framing;
pub mod resp;
pub mod thrift;
