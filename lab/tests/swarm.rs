//! The agreement's promises over a fixed set of seeds, and that the checks find what each guard guards against.

use silverspindle_lab::swarm::{self, LEASE, Options, Without, many, play, scenario};

/// One log, nothing twice or skipped, no act on an overtaken decision for longer than the stated time, nothing told
/// as made and lost, and progress after the healing.
#[test]
fn no_seed_breaks_a_promise() {
    let all = many(0..600, &Options::default());
    assert_eq!(all.first, None, "{}", all.summary());
    assert!(all.worst.0 <= LEASE && all.acts > 100_000, "{}", all.summary());
    let many_followers = many(0..8, &Options { routers: 60, ..Options::default() });
    assert_eq!(many_followers.first, None);
}

/// Seeds that once broke a promise, each with what it found: an answer to an earlier life's question, the end of a
/// log that was not settled handed on to a follower, a refusal told and not kept.
#[test]
fn seeds_that_once_broke_a_promise_do_not() {
    for seed in [455, 511, 4961, 3535] {
        let (electors, faults) = scenario(seed, &Options::default());
        assert_eq!(play(seed, &Options::default(), electors, &faults).broken, None, "seed {seed}");
    }
}

/// A check that finds nothing when the guard is gone proves nothing.
#[test]
fn without_any_one_guard_the_swarm_finds_a_breach() {
    for guard in [Without::Fence, Without::Sync, Without::Quorum, Without::Dedupe] {
        let options = Options { without: Some(guard), ..Options::default() };
        let found = (0..1000).find(|seed| {
            let (electors, faults) = scenario(*seed, &options);
            play(*seed, &options, electors, &faults).broken.is_some()
        });
        assert!(found.is_some(), "nothing breaks without {guard:?} in 1,000 seeds");
    }
}

fn work(without: Option<Without>) -> Options {
    Options { without, work: true, ..Options::default() }
}

/// Machines taken out for work on top of the agreement: no request at a machine that is out, never more gone than may
/// be, and all orders end once all has healed.
#[test]
fn no_seed_of_work_orders_breaks_a_promise() {
    let all = many(0..400, &work(None));
    assert_eq!(all.first, None, "{}", all.summary());
}

/// Seeds that once broke a promise: a router that acted before it was on the roll, where nobody waited for it.
#[test]
fn seeds_of_work_orders_that_once_broke_do_not() {
    let (electors, faults) = scenario(52, &work(None));
    assert_eq!(play(52, &work(None), electors, &faults).broken, None);
}

/// Each guard of the orders, and the fence below them, keeps out what the checks find without it.
#[test]
fn without_any_one_guard_of_work_the_swarm_finds_a_breach() {
    for guard in [Without::Clear, Without::Unreached, Without::Headroom, Without::HandOver, Without::Fence] {
        let options = work(Some(guard));
        let found = (0..1000).find(|seed| {
            let (electors, faults) = scenario(*seed, &options);
            play(*seed, &options, electors, &faults).broken.is_some()
        });
        assert!(found.is_some(), "nothing breaks without {guard:?} in 1,000 seeds");
    }
}

/// The same seed gives the same run; a scenario made shorter still breaks.
#[test]
fn a_seed_replays_and_shrinks() {
    let options = Options { without: Some(Without::Fence), ..Options::default() };
    let (electors, faults) = scenario(0, &options);
    let (one, two) = (play(0, &options, electors, &faults), play(0, &options, electors, &faults));
    assert_eq!((one.digest, one.events, &one.broken), (two.digest, two.events, &two.broken));
    assert!(one.broken.is_some());
    let fewest = swarm::shrink(0, &options, electors, faults.clone());
    assert!(fewest.len() <= faults.len() && play(0, &options, electors, &fewest).broken.is_some());
}

fn rules(without: Option<Without>) -> Options {
    Options { without, rules: true, ..Options::default() }
}

/// Versions of rules on top of the agreement: apart means never together, at once for the stated time at most, shares
/// never over the whole, nothing denied is used once it holds.
#[test]
fn no_seed_of_rules_breaks_a_promise() {
    let all = many(0..300, &rules(None));
    assert_eq!(all.first, None, "{}", all.summary());
}

/// Each guard of the versions, and the fence below them, keeps out what the checks find without it.
#[test]
fn without_any_one_guard_of_rules_the_swarm_finds_a_breach() {
    for guard in [Without::Apart, Without::Shares, Without::Narrower, Without::Fence] {
        let options = rules(Some(guard));
        let found = (0..1000).find(|seed| {
            let (electors, faults) = scenario(*seed, &options);
            play(*seed, &options, electors, &faults).broken.is_some()
        });
        assert!(found.is_some(), "nothing breaks without {guard:?} in 1,000 seeds");
    }
}
