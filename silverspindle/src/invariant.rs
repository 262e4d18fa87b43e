//! Invariants: asserted in debug builds; counted and logged in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Number of invariant violations since the start of the process.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Counts and logs a violation of the invariant with this description.
pub fn record_violation(description: &str) {
    let total = VIOLATIONS.fetch_add(1, Ordering::Relaxed) + 1;
    tracing::error!("invariant broken ({total} in all): {description}");
}

/// Checks an invariant: panics on a violation in debug builds; counts and logs it in release builds and
/// continues.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $description:expr) => {
        if !$holds {
            debug_assert!(false, "invariant broken: {}", $description);
            $crate::invariant::record_violation($description);
        }
    };
}
