//! Codecs of the router's sockets: message framing ([`framing`]), reading ([`reader`]) into buffers ([`buffer`]) within a budget ([`memory`]), the protocols of clients
//! ([`thrift`]), caches ([`resp`]) and the coordinator ([`feed`]), the process clock ([`clock`]), and a
//! monitor of the event loop ([`loop_monitor`]). The crate depends on no actor and opens no socket.

pub mod buffer;
pub mod clock;
pub mod feed;
pub mod framing;
pub mod loop_monitor;
pub mod memory;
pub mod reader;
pub mod resp;
pub mod thrift;
