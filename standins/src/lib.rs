//! The parties that a router meets, on loopback: see the README.

pub mod checker;
pub mod clients;
pub mod codec;
pub mod coordinator;
pub mod office;
pub mod passing;
pub mod ports;
pub mod process;
pub mod proxy;
pub mod rig;
pub mod shim;
pub mod soak;
pub mod trial;

/// Microseconds.
pub type Micros = u64;

/// A second.
pub const SECOND: Micros = 1_000_000;
