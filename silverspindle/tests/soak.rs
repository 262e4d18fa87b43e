//! A short soak with fixed seeds: router processes under signals, drains, upgrades, kills, clock steps and
//! faulty caches.

use std::path::PathBuf;

use silverspindle_standins::soak::{Options, run};

/// Two seeds that cover most kinds of acts; `silverspindle try --soak` runs others.
const SEEDS: [u64; 2] = [3, 9];
/// Duration of a soak in seconds.
const SECONDS: u64 = 18;
/// Number of routers.
const ROUTERS: usize = 3;

#[test]
fn no_rule_is_broken_in_a_short_soak() {
    for seed in SEEDS {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_silverspindle"));
        let outcome = run(&Options { program, seed, seconds: SECONDS, routers: ROUTERS }).unwrap();
        assert!(outcome.broken.is_empty(), "{}", outcome.report());
        // Printed for test runs that show their output.
        outcome.acts.iter().for_each(|(_, act)| println!("seed {seed}: {act}"));
        let [requests, attempts, ..] = outcome.counts;
        assert!(requests > 500 && attempts > 500, "{}", outcome.report());
    }
}
