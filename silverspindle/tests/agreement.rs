//! What routers agree on, between processes of the program: killed, frozen, cut off and started again, judged from their
//! records alone; and an elector's disk.

mod common;

use std::fs;
use std::io::{Read, Seek, SeekFrom, Write as _};
use std::path::PathBuf;

use common::*;
use silverspindle::agreement::store::{Fault, Store};
use silverspindle_agreement::{Entry, HardState, Snapshot, Write};
use silverspindle_standins::rig::{self, Options, Outcome};

const LEASE: u64 = 1_000_000;

fn options(seconds: u64, script: &str) -> Options {
    Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_silverspindle")),
        routers: 5,
        electors: 3,
        seconds,
        seed: 7,
        rate: 200.0,
        lease: LEASE,
        faults: rig::script(script).unwrap(),
        without: None,
    }
}

fn play(options: &Options) -> Outcome {
    let tasks: Tasks = std::rc::Rc::new(async_executor::LocalExecutor::new());
    async_io::block_on(tasks.run(rig::play(&tasks, options))).unwrap()
}

/// The leader dies with proposals out; the next one stands still for more than twice the stated time and comes back;
/// a minority with a follower is cut off while staff call on both sides; A hears B, B hears C, A and C not; a link
/// works one way; a frame breaks in its middle; all die at once and come back.
#[test]
fn routers_that_die_stall_and_lose_contact_keep_to_one_log_and_to_the_stated_time() {
    let script = "\
        0.5s 1s kill leader\n\
        2.5s 2.5s freeze leader\n\
        5.5s 2s split n0,n3\n\
        8s 1.5s cut n0 n2\n\
        8s 1.5s hold n4 n1\n\
        9s 0s tear n1 n0\n\
        10s 1s kill all\n";
    let options = options(12, script);
    let outcome = play(&options);
    let told = rig::report(&options, &outcome);
    assert!(outcome.is_good(), "{told}");
    let found = &outcome.findings;
    assert!(found.made > 5 && found.acts > 100 && found.held > 0 && outcome.leaders > 2, "{told}");
    assert!(found.worst <= LEASE, "{told}");
}

/// An elector that comes back with an empty disk is not who it was: it follows, waits for a seat, and votes only once
/// staff have given it one. One whose disk is torn takes no part and serves on.
#[test]
fn a_lost_disk_is_another_elector_and_a_torn_one_none() {
    let options = options(5, "0.5s 0.5s kill n1 empty\n2s 0.5s kill n4\n");
    let outcome = play(&options);
    assert!(outcome.is_good(), "{}", rig::report(&options, &outcome));
    let torn = Options { faults: rig::script("0.5s 0.5s kill n2 torn\n").unwrap(), seed: 8, ..options };
    let outcome = play(&torn);
    assert!(outcome.is_good(), "{}", rig::report(&torn, &outcome));
}

/// The checker is no ornament: with routers that don't look at their confirmation's age, it finds what a follower that
/// was cut off acted on. Only a debug build can go without the guard.
#[test]
fn without_the_fence_the_records_show_the_breach() {
    if !cfg!(debug_assertions) {
        return;
    }
    let faults = "0.5s 4s cut n3 n0\n0.5s 4s cut n3 n1\n0.5s 4s cut n3 n2\n";
    let mut options = options(5, faults);
    let kept = play(&options);
    assert!(kept.is_good() && kept.findings.held > 0, "{}", rig::report(&options, &kept));
    options.without = Some("fence");
    let broken = play(&options);
    assert!(broken.findings.worst > LEASE, "{}", rig::report(&options, &broken));
    assert!(
        broken.findings.breaches.iter().all(|b| b.starts_with("n3 acts")),
        "{:?}",
        broken.findings.breaches
    );
}

/// A single elector decides alone, at once, and goes on after a kill.
#[test]
fn a_single_router_works_alone() {
    let options = Options { routers: 1, electors: 1, ..options(3, "1s 0.5s kill n0\n") };
    let outcome = play(&options);
    assert!(outcome.is_good() && outcome.findings.made > 2, "{}", rig::report(&options, &outcome));
}

// ---- An elector's disk.

fn folder() -> tempfile::TempDir {
    tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).unwrap()
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, kind: 0, data: vec![index as u8; 100], context: vec![] }
}

/// What was written is there after a start, the identity is the same and the starts are counted; a longer log is cut
/// and replaced as written.
#[test]
fn a_disk_reads_back_what_was_written() {
    let folder = folder();
    let (store, new) = Store::open(folder.path(), "n0").unwrap();
    assert_eq!((new.boots, new.hard, new.entries.len()), (1, HardState::default(), 0));
    let snapshot = Snapshot { index: 2, term: 1, voters: vec![new.id], ..Snapshot::default() };
    let hard = Some(HardState { term: 3, vote: new.id, commit: 4 });
    store.write(&Write { entries: (1..=9).map(|n| entry(n, 1)).collect(), ..Write::default() }).unwrap();
    store.write(&Write { hard, snapshot: Some(snapshot.clone()), drop_to: 2, ..Write::default() }).unwrap();
    store.write(&Write { entries: vec![entry(5, 3)], ..Write::default() }).unwrap();
    assert_eq!(Store::open(folder.path(), "n0").err(), Some(Fault::Held), "two processes on one disk");
    drop(store);
    let (_, again) = Store::open(folder.path(), "n0").unwrap();
    assert_eq!((again.id, again.boots, Some(again.hard), &again.snapshot), (new.id, 2, hard, &snapshot));
    let entries: Vec<_> = again.entries.into_values().collect();
    assert_eq!(entries, [entry(3, 1), entry(4, 1), entry(5, 3)]);
}

/// Another router's file and a torn one are refused with the reason: a vote may stand in them.
#[test]
fn a_foreign_or_torn_disk_is_refused() {
    let folder = folder();
    let path = Store::path(folder.path(), "n0");
    drop(Store::open(folder.path(), "n1").unwrap());
    fs::copy(Store::path(folder.path(), "n1"), &path).unwrap();
    let refused = |what: &str| match Store::open(folder.path(), "n0") {
        Err(Fault::Disk(why)) => why,
        _ => panic!("{what} was taken"),
    };
    assert!(refused("another's").contains("is n1's, not n0's"));
    fs::remove_file(&path).unwrap();
    drop(Store::open(folder.path(), "n0").unwrap());
    let mut whole = Vec::new();
    fs::File::open(&path).unwrap().read_to_end(&mut whole).unwrap();
    fs::OpenOptions::new().write(true).open(&path).unwrap().set_len(whole.len() as u64 / 2).unwrap();
    refused("half a file");
    fs::write(&path, b"something that lies there by chance").unwrap();
    refused("no file of ours");
    // One page overwritten is found at the start or at the first read, and never read as something else.
    for at in [0, 4096, whole.len() as u64 / 2] {
        fs::write(&path, &whole).unwrap();
        let mut file = fs::OpenOptions::new().write(true).open(&path).unwrap();
        file.seek(SeekFrom::Start(at)).unwrap();
        file.write_all(&[0xa5; 4096]).unwrap();
        if let Ok((_, disk)) = Store::open(folder.path(), "n0") {
            assert_eq!((disk.hard, disk.entries.len(), disk.promise), (HardState::default(), 0, None));
        }
    }
}
