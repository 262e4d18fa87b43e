//! Many routers' real cores in one process, on a made-up clock and network, with faults by seed. The same seed gives
//! the same run, event by event.

pub mod capacity;
pub mod cost;
pub mod data_path;
pub mod scale;
pub mod swarm;
