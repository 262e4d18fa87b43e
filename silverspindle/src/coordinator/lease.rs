//! The lease of the coordinator's feed for a router that follows it directly. The coordinator renews it each time it
//! says that it has sent everything. Once it has run out, purges may exist that the router was never sent, so own
//! copies that such a purge could apply to are withheld.

use std::cell::Cell;

use bitternhold::Micros;

use crate::steady::{MAX_CLOCK_DRIFT_PPM, steady_now};
use crate::traffic::{Attempt, FeedFreshness, FeedLease};

/// Time after which a purge binds the router, in microseconds, even if the coordinator could not send it.
pub const UNSENT_PURGE_BINDS_AFTER: Micros = 7_000_000;
/// Time without a confirmation after which the lease has run out, in microseconds. Confirmations come each second; one
/// connection that falls silent and is replaced costs less than this. What is left of [`UNSENT_PURGE_BINDS_AFTER`]
/// covers a coordinator whose confirmations are late.
pub const LEASE: Micros = 4_000_000;

/// The lease of the coordinator's feed.
#[derive(Debug, Default)]
pub struct CoordinatorLease {
    /// When everything that the coordinator had was applied, on the steady clock; `None` before the first time.
    confirmed_at: Cell<Option<Micros>>,
    /// Whether the lease had run out when it was last looked at, for the log.
    logged_as_expired: Cell<bool>,
}

impl CoordinatorLease {
    /// A lease that runs from `confirmed_at`, on the steady clock; `None`: it runs from the first confirmation.
    pub fn new(confirmed_at: Option<Micros>) -> Self {
        Self { confirmed_at: Cell::new(confirmed_at), ..Self::default() }
    }

    /// How fresh the feed is at a time of the steady clock.
    pub fn freshness_at(&self, now: Micros) -> FeedFreshness {
        let age = self.confirmed_at.get().map(|at| now.saturating_sub(at));
        let expired = age.is_none_or(|age| age >= without_drift(LEASE));
        let max_copy_age = expired.then_some(without_drift(UNSENT_PURGE_BINDS_AFTER));
        FeedFreshness { at: now, age, max_copy_age }
    }

    fn log_change(&self, freshness: &FeedFreshness) {
        let expired = freshness.max_copy_age.is_some();
        if self.logged_as_expired.replace(expired) == expired {
            return;
        }
        match (expired, freshness.age) {
            (false, _) => tracing::info!("coordinator: the feed is confirmed again"),
            (true, None) => tracing::info!("coordinator: the feed waits for its first confirmation"),
            (true, Some(age)) => tracing::warn!(
                "coordinator: the feed was last confirmed {} ms ago: own copies issued over {} ms ago are withheld",
                age / 1000,
                UNSENT_PURGE_BINDS_AFTER / 1000
            ),
        }
    }
}

impl FeedLease for CoordinatorLease {
    fn freshness(&self) -> FeedFreshness {
        let freshness = self.freshness_at(steady_now());
        self.log_change(&freshness);
        freshness
    }

    fn confirmed(&self, at: Micros) {
        self.confirmed_at.set(self.confirmed_at.get().max(Some(at)));
    }

    fn applied(&self, _after: u64, _number: u64) {}

    fn reset(&self, _number: u64) {}

    fn attempt_written(&self, _attempt: &Attempt, _freshness: FeedFreshness) {}
}

/// A time span shortened by the drift that this machine's clock may have over it.
fn without_drift(span: Micros) -> Micros {
    span - span * MAX_CLOCK_DRIFT_PPM / 1_000_000
}
