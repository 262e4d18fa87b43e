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

fn run(options: &Options) -> Outcome {
    let tasks = Rc::new(LocalExecutor::new());
    async_io::block_on(tasks.run(purges::play(&tasks, options))).unwrap()
}

/// One relay is killed and another one is frozen; a router is cut off for longer than its lease and serves
/// young copies only; the routers of a zone are killed together; a connection breaks in the middle of a
/// frame; a link works in one direction only.
#[test]
fn purges_keep_order_deadline_and_confirmations_while_relays_and_routers_fail() {
    let script = "\
        0.5s 2s kill r0\n\
        1s 8s split n1\n\
        3s 2s freeze r1\n\
        6s 1s kill zone0\n\
        7s 0s tear n0 r0\n\
        8s 1s mute n3 r1\n";
    let options = options(TREE, 10, script);
    let outcome = run(&options);
    let report = purges::report(&options, &outcome);
    assert!(outcome.is_good(), "{report}");
    let found = &outcome.findings;
    assert!(found.applied > 100 && found.everywhere > 10, "{report}");
    assert!(found.attempts.get("safe").is_some_and(|count| *count > 0), "{report}");
}

/// A source is frozen, then killed; the coordinator goes silent; another source keeps running.
#[test]
fn purges_keep_their_guarantees_while_sources_fail_and_the_coordinator_is_silent() {
    let script = "0.5s 3s freeze s0\n4s 1.5s kill s0\n6s 3s silence\n";
    let options = options(Tree { sources: 2, relays: 2, routers: 3 }, 10, script);
    let outcome = run(&options);
    assert!(outcome.is_good(), "{}", purges::report(&options, &outcome));
}

/// Tests the checker itself: with routers that ignore the age of their last confirmation, it finds the
/// attempts that a cut off router sent on an outdated feed. The guard can be disabled in a debug build only.
#[test]
fn the_checker_detects_a_router_without_the_lease_fence() {
    if !cfg!(debug_assertions) {
        return;
    }
    let mut options = options(TREE, 10, "0.5s 9s split n1\n");
    options.without = Some("fence");
    let outcome = run(&options);
    let report = purges::report(&options, &outcome);
    assert!(outcome.findings.worst > options.stated() && !outcome.findings.breaches.is_empty(), "{report}");
    assert!(outcome.findings.breaches.iter().all(|breach| breach.starts_with("n1 ")), "{report}");
}

/// Twenty hollow routers in two processes, each with its own certificate and connection: every purge reaches
/// all of them, and this is confirmed to staff.
#[test]
fn hollow_routers_receive_every_purge_and_staff_get_confirmations() {
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
