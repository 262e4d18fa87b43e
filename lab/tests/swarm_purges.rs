//! What is promised of purges over relays, over a fixed set of seeds, and that the checks find what each guard guards
//! against.

use silverspindle_lab::swarm::{LEASE, Options, Without, many, play, purges, scenario, shrink};

fn options(without: Option<Without>) -> Options {
    Options { without, purges: true, ..Options::default() }
}

fn breaks(seed: u64, options: &Options) -> Option<String> {
    let (sources, faults) = scenario(seed, options);
    play(seed, options, sources, &faults).broken
}

/// Nothing served against a purge for longer than the stated time, nor once it is called everywhere; each record
/// applied once and in order; progress after the healing.
#[test]
fn no_seed_of_purges_breaks_a_promise() {
    let all = many(0..1500, &options(None));
    assert_eq!(all.first, None, "{}", purges::summary(&all));
    assert!(all.worst.0 > LEASE / 2 && all.acts > 100_000 && all.held > 1_000, "{}", purges::summary(&all));
}

/// A check that finds nothing when the guard is gone proves nothing.
#[test]
fn without_any_one_guard_of_purges_the_swarm_finds_a_breach() {
    for guard in [Without::Fence, Without::Lease, Without::Watermark, Without::Order] {
        let options = options(Some(guard));
        let found = (0..1000).find(|seed| breaks(*seed, &options).is_some());
        assert!(found.is_some(), "nothing breaks without {guard:?} in 1,000 seeds");
    }
}

/// The same seed gives the same run; a scenario made shorter still breaks.
#[test]
fn a_seed_of_purges_replays_and_shrinks() {
    let options = options(Some(Without::Fence));
    let seed = (0..100).find(|seed| breaks(*seed, &options).is_some()).expect("a seed that breaks");
    let (sources, faults) = scenario(seed, &options);
    let (one, two) = (play(seed, &options, sources, &faults), play(seed, &options, sources, &faults));
    assert_eq!((one.digest, one.events, &one.broken), (two.digest, two.events, &two.broken));
    let fewest = shrink(seed, &options, sources, faults.clone());
    assert!(fewest.len() <= faults.len() && play(seed, &options, sources, &fewest).broken.is_some());
}
