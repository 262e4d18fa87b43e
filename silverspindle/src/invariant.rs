//! Invariants: asserted in debug builds; counted and logged in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Number of invariant violations since the start of the process.
pub fn broken() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// Counts and logs a violation of the invariant described by `what`.
pub fn count(what: &str) {
    let times = BROKEN.fetch_add(1, Ordering::Relaxed) + 1;
    tracing::error!("invariant broken ({times} in all): {what}");
}

/// Checks an invariant: panics on a violation in debug builds; counts and logs it in release builds and continues.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $what:expr) => {
        if !$holds {
            debug_assert!(false, "invariant broken: {}", $what);
            $crate::invariant::count($what);
        }
    };
}
