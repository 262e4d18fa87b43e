//! The lease of the coordinator's feed for a router that follows it directly. The coordinator renews it each time it
//! says that it has sent everything. Once it has run out, purges may exist that the router was never sent and that
//! bind it all the same, so own copies that such a purge could apply to are withheld.

use std::cell::Cell;

use bitternhold::Micros;

use crate::steady::{MAX_CLOCK_DRIFT_PPM, steady_now};
use crate::traffic::{Attempt, FeedFreshness, FeedLease};

/// Time after which a purge that the coordinator could not send binds the router at the latest, in microseconds.
pub const UNSENT_PURGE_BINDS_AFTER: Micros = 7_000_000;
/// Time without a confirmation after which the lease has run out, in microseconds: what a coordinator that has stopped
/// would have sent counts as told then. Confirmations come each second, so one connection that falls silent and is
/// replaced costs less than this.
pub const LEASE: Micros = 4_000_000;
/// Time after a break of the connection after which the lease has run out, in microseconds, unless the feed is
/// confirmed again: what the coordinator would have sent counts as told then.
pub const LEASE_AFTER_BREAK: Micros = 2_000_000;

/// The lease of the coordinator's feed.
#[derive(Debug)]
pub struct CoordinatorLease {
    /// When everything that the coordinator had was applied, on the steady clock; `None` before the first time.
    confirmed_at: Cell<Option<Micros>>,
    /// When the connection first broke since the last confirmation, on the steady clock.
    broken_at: Cell<Option<Micros>>,
    /// Time for which copies older than a purge may be served after it was told, in microseconds.
    purge_grace: Micros,
    /// Whether the lease had run out when it was last looked at, for the log.
    logged_as_expired: Cell<bool>,
}

impl CoordinatorLease {
    /// A lease that runs from `confirmed_at`, on the steady clock; `None`: it runs from the first confirmation. After a
    /// purge was told, older copies may be served for `purge_grace` more, in microseconds.
    pub fn new(confirmed_at: Option<Micros>, purge_grace: Micros) -> Self {
        Self {
            confirmed_at: Cell::new(confirmed_at),
            broken_at: Cell::new(None),
            purge_grace,
            logged_as_expired: Cell::new(false),
        }
    }

    /// How fresh the feed is at a time of the steady clock.
    ///
    /// Once the lease has run out, a purge counts as told when it is made. Own copies must then be younger than the
    /// grace of a purge; caches drop purged copies by themselves.
    pub fn freshness_at(&self, now: Micros) -> FeedFreshness {
        let expired = self.expires_at().is_none_or(|expires_at| now >= expires_at);
        FeedFreshness {
            at: now,
            age: self.confirmed_at.get().map(|at| now.saturating_sub(at)),
            max_copy_age: expired.then_some(without_drift(self.purge_grace)),
            max_cache_copy_age: expired.then_some(without_drift(UNSENT_PURGE_BINDS_AFTER)),
        }
    }

    /// When the lease runs out; `None` if it never began.
    fn expires_at(&self) -> Option<Micros> {
        let after_silence = self.confirmed_at.get()? + without_drift(LEASE);
        let after_break = self.broken_at.get().map(|at| at + without_drift(LEASE_AFTER_BREAK));
        Some(after_break.map_or(after_silence, |after_break| after_silence.min(after_break)))
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
                self.purge_grace / 1000
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
        self.broken_at.set(self.broken_at.get().filter(|broken_at| *broken_at > at));
    }

    fn broken(&self, at: Micros) {
        self.broken_at.set(self.broken_at.get().or(Some(at)));
    }

    fn applied(&self, _after: u64, _number: u64) {}

    fn reset(&self, _number: u64) {}

    fn attempt_written(&self, _attempt: &Attempt, _freshness: FeedFreshness) {}
}

/// A time span shortened by the drift that this machine's clock may have over it.
fn without_drift(span: Micros) -> Micros {
    span - span * MAX_CLOCK_DRIFT_PPM / 1_000_000
}
