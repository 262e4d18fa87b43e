//! The purge log over relays, between processes of the program that are killed, frozen, cut off and
//! restarted. The checker works from the processes' records, the answers to clients and the confirmations to
//! staff. Also: hollow routers (processes that only follow the feed) on real sockets.

use std::path::PathBuf;
use std::rc::Rc;

use async_executor::LocalExecutor;
use silverspindle_standins::rig::hollow;
use silverspindle_standins::rig::purges::{self, Options, Outcome, Tree};

const MS: u64 = 1000;
const LEASE: u64 = 3000 * MS;
const TREE: Tree = Tree { sources: 1, relays: 2, routers: 5 };

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_silverspindle"))
}

fn options(tree: Tree, seconds: u64, script: &str) -> Options {
    Options {
        program: program(),
        tree,
        seconds,
        seed: 7,
        rate: 200.0,
        events: 20.0,
        lease: LEASE,
        direct: 2000 * MS,
        batch: 200 * MS,
        report: 500 * MS,
        children: Some(32),
        faults: purges::script(script, &tree).unwrap(),
        without: None,
    }
}

fn play(options: &Options) -> Outcome {
    let tasks = Rc::new(LocalExecutor::new());
    async_io::block_on(tasks.run(purges::play(&tasks, options))).unwrap()
}

/// One relay is killed and another one is frozen; a router is cut off for longer than its lease and serves
/// young copies only; the routers of a zone are killed together; a connection breaks in the middle of a
/// frame; a link works in one direction only.
#[test]
fn routers_below_relays_that_die_and_stall_keep_to_order_stated_time_and_staffs_word() {
    let script = "\
        0.5s 2s kill r0\n\
        1s 8s split n1\n\
        3s 2s freeze r1\n\
        6s 1s kill zone0\n\
        7s 0s tear n0 r0\n\
        8s 1s mute n3 r1\n";
    let options = options(TREE, 10, script);
    let outcome = play(&options);
    let told = purges::report(&options, &outcome);
    assert!(outcome.is_good(), "{told}");
    let found = &outcome.findings;
    assert!(found.applied > 100 && found.everywhere > 10, "{told}");
    assert!(found.attempts.get("safe").is_some_and(|count| *count > 0), "{told}");
}

/// A source is frozen, then killed; the coordinator goes silent; another source keeps running.
#[test]
fn sources_that_die_and_stall_and_a_silent_coordinator_break_no_promise() {
    let script = "0.5s 3s freeze s0\n4s 1.5s kill s0\n6s 3s silence\n";
    let options = options(Tree { sources: 2, relays: 2, routers: 3 }, 10, script);
    let outcome = play(&options);
    assert!(outcome.is_good(), "{}", purges::report(&options, &outcome));
}

/// Tests the checker itself: with routers that ignore the age of their last confirmation, it finds the
/// attempts that a cut off router sent on an outdated feed. The guard can be disabled in a debug build only.
#[test]
fn without_the_fence_the_records_show_the_breach() {
    if !cfg!(debug_assertions) {
        return;
    }
    let mut options = options(TREE, 10, "0.5s 9s split n1\n");
    options.without = Some("fence");
    let broken = play(&options);
    let told = purges::report(&options, &broken);
    assert!(broken.findings.worst > options.stated() && !broken.findings.breaches.is_empty(), "{told}");
    assert!(broken.findings.breaches.iter().all(|breach| breach.starts_with("n1 ")), "{told}");
}

/// Twenty hollow routers in two processes, each with its own certificate and connection: every purge reaches
/// all of them, and this is confirmed to staff.
#[test]
fn hollow_routers_take_every_purge_and_staff_are_told() {
    let options = hollow::Options {
        program: program(),
        routers: 20,
        per_process: 10,
        sources: 1,
        relays: 2,
        seconds: 3,
        seed: 1,
        purges: 110,
        lease: LEASE,
        direct: 2000 * MS,
        batch: 200 * MS,
        report: 500 * MS,
    };
    let tasks = Rc::new(LocalExecutor::new());
    let row = async_io::block_on(tasks.run(hollow::measure(&tasks, &options))).unwrap();
    assert!(row.is_whole(), "{}", row.text());
    assert!(row.purges.0 >= 300 && row.bytes.0 > 0.0 && row.bytes.1 > 0.0, "{}", row.text());
}
