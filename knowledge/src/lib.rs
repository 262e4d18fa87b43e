//! What one router can learn from another in place of seeing it itself, weighed by its age. No I/O.
//!
//! Times that come in are of the router's own steady clock; times on the way are durations, as clocks differ.

pub mod asking;
pub mod facts;
pub mod giving;
pub mod list;
pub mod protocol;
pub mod snapshot;
pub mod store;

pub use facts::*;

/// Microseconds.
pub type Micros = u64;

/// A second.
pub(crate) const SECOND: Micros = 1_000_000;

/// Mixes a number's bits.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
