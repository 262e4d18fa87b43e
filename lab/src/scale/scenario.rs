//! What happens in a run, and the rates of an ordinary day.

use super::{Micros, SECOND};

/// Purges a second at the target.
pub const PURGES_A_SECOND: u64 = 110;
/// A configuration changes so often.
pub const VERSION_EVERY: Micros = 28 * SECOND;
/// Changes at once.
pub const VERSIONS_AT_ONCE: usize = 20;
/// Routers of the target, for which the day's rates are given.
pub const TARGET_ROUTERS: u64 = 5_600;
/// Machines that fail on an ordinary day of the target.
pub const FAILURES_A_DAY: u64 = 30;
/// Routers that are restarted or replaced on an ordinary day of the target.
pub const RESTARTS_A_DAY: u64 = 760;
/// An ordinary day's churn comes so many times as fast.
pub const CHURN_COMPRESSED: u64 = 600;
/// A cut hour lasts so many simulated seconds; the log that is kept is shorter by the same.
pub const CUT_SECONDS: u64 = 40;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Scenario {
    /// Nothing.
    Quiet,
    /// Purges at the target's rate.
    Purges,
    /// A change of configuration each 28 s, and 20 at once.
    Versions,
    /// An ordinary day's failures and restarts, 600 times as fast, amid purges.
    Churn,
    /// A zone's routers lost at once and back at once, amid purges.
    Zone,
    /// A region cut off from all others, amid purges.
    Region,
    /// A relay's machine dead, amid purges.
    Relay,
    /// All routers started at once.
    Start,
}

/// Which core runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Core {
    /// The log of decisions: electors and followers.
    Agreement,
    /// The purge log: sources, relays and routers.
    Relay,
    /// The coordinator's own feed to each router, computed, to compare with.
    Feed,
}

impl Scenario {
    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Quiet => "quiet",
            Scenario::Purges => "purges",
            Scenario::Versions => "versions",
            Scenario::Churn => "churn",
            Scenario::Zone => "zone",
            Scenario::Region => "region",
            Scenario::Relay => "relay",
            Scenario::Start => "start",
        }
    }

    /// The cores that it concerns.
    pub fn cores(self) -> &'static [Core] {
        match self {
            Scenario::Purges => &[Core::Relay, Core::Feed],
            Scenario::Versions => &[Core::Agreement],
            Scenario::Zone | Scenario::Region | Scenario::Relay => &[Core::Relay],
            Scenario::Quiet | Scenario::Churn | Scenario::Start => &[Core::Agreement, Core::Relay],
        }
    }

    /// Whether purges come.
    pub fn has_purges(self) -> bool {
        !matches!(self, Scenario::Quiet | Scenario::Versions)
    }
}

/// Time between two routers that fail or restart, at a size.
pub fn churn_every(routers: usize) -> Micros {
    let a_day = (FAILURES_A_DAY + RESTARTS_A_DAY) * CHURN_COMPRESSED * routers as u64;
    24 * 3600 * SECOND * TARGET_ROUTERS / a_day.max(1)
}

/// Whether the `n`th that goes away has failed, or is restarted.
pub fn is_failure(n: u64) -> bool {
    let all = FAILURES_A_DAY + RESTARTS_A_DAY;
    n.is_multiple_of(all / FAILURES_A_DAY)
}
