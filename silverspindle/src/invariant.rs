//! What must hold: asserted in debug builds, counted in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// How often something that must hold did not, since the start.
pub fn broken() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// Counts one, and says so.
pub fn count(what: &str) {
    let times = BROKEN.fetch_add(1, Ordering::Relaxed) + 1;
    tracing::error!("invariant broken ({times} in all): {what}");
}

/// Asserts in debug builds; in release builds counts and logs, and goes on.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $what:expr) => {
        if !$holds {
            debug_assert!(false, "invariant broken: {}", $what);
            $crate::invariant::count($what);
        }
    };
}
