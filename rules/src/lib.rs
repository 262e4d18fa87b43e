//! Settings and lists with versions on which the routers agree. No I/O.
//!
//! A version is a whole set ([`Rules`]), in the grammar of the operators' file. [`State`] is the agreed text: what
//! holds, and at most one neighbour that is on its way. [`State::reading`] is what one router acts by.

mod share;
mod state;
mod text;
mod watch;

pub use share::{Bucket, Demand, Shares, WHOLE, share_out};
pub use state::{Group, Head, Next, Past, Reading, Refused, State, Trial, Version, Way};
pub use text::{Clash, Place, Rules, check, read, show};
pub use watch::{Guards, Sight, Step, Told, Watch, Why};

/// Microseconds.
pub type Micros = u64;

/// The topic under which versions are agreed.
pub const TOPIC: &str = "rules";
/// The topic of the routers' shares of limits.
pub const SHARES: &str = "rules.shares";
/// The topic of versions that held before.
pub const PAST: &str = "rules.past";

/// Bytes of a version: two of them and their words fit a proposal.
pub const MOST_VERSION: usize = 56 * 1024;
/// Bytes of a reason.
pub const MOST_REASON: usize = 200;
