//! System calls that fail for a while, injected by a library that is preloaded into the router: no request is lost, there
//! is no busy loop, one line is logged, and service continues when the failure ends.

mod common;

use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use common::process::{Router, start_with};
use common::sender::{CacheBehaviour, MS, serve_from};
use common::*;
use rustix::io::Errno;
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
use silverspindle::drain::ARRIVAL_WINDOW;
use silverspindle::knowledge::snapshots;
use silverspindle_knowledge::InstanceId;
use silverspindle_standins::process::used;
use silverspindle_standins::shim::{FailingCalls, SystemCall};

const RID: &str = "9b1f03aa5c7e2d41";
/// Number of requests while connects fail: a cache that was blamed for this many failures would be set aside.
const REQUESTS_WHILE_FAILING: i32 = 20;
/// Interval between snapshots in these tests.
const SNAPSHOT_EVERY: Duration = Duration::from_secs(1);
/// Duration of a failure.
const FAILURE_TIME: Duration = Duration::from_millis(500);

/// A router with one cache that answers at once.
async fn start(tasks: &Tasks) -> (Router, FailingCalls, (tempfile::TempDir, Async<std::net::TcpListener>)) {
    let (coordinator, nowhere) = listen();
    let cache = serve_from(tasks, CacheBehaviour::After(Duration::ZERO, 1000));
    let file = configuration(&[entry(1, "box", cache), entry(99, "origin", nowhere)], nowhere);
    let directory = tempfile::tempdir().unwrap();
    let calls = FailingCalls::new(directory.path()).unwrap();
    let router = start_with(&file, &format!("{}:0", ip()), directory.path(), &calls.variables());
    (router, calls, (directory, coordinator))
}

/// While writes, syncs or renames fail, the last snapshot stays intact, no request is lost and one line is logged;
/// afterwards snapshots are written again. A partial file left by a killed writer does no harm.
#[test]
fn snapshots_resume_after_a_disk_failure() {
    let faults = [
        (SystemCall::WriteFile, Errno::NOSPC),
        (SystemCall::Sync, Errno::IO),
        (SystemCall::Rename, Errno::IO),
    ];
    run(async |tasks| {
        let (_coordinator, nowhere) = listen();
        let cache = serve_from(tasks, CacheBehaviour::After(Duration::ZERO, 1000));
        let file = configuration(&[entry(1, "box", cache), entry(99, "origin", nowhere)], nowhere);
        let directory = tempfile::tempdir().unwrap();
        let conf = directory.path().join("conf");
        std::fs::write(
            &conf,
            format!("snapshot-directory {}\nsnapshot-every 1s\n", directory.path().display()),
        )
        .unwrap();
        let snapshot = snapshots::path(directory.path(), InstanceId::of("n0"));
        std::fs::write(snapshot.with_extension("new"), b"half of").unwrap();
        let calls = FailingCalls::new(directory.path()).unwrap();
        let [preload, errors] = calls.variables();
        let router = start_with(
            &file,
            &format!("{}:0", ip()),
            directory.path(),
            &[preload, errors, ("LB_CONF", &conf)],
        );
        let read = || snapshots::read(&snapshot, InstanceId::of("n0"), 1 << 20);
        while !matches!(read(), Ok(Some(_))) {
            Timer::after(MS).await;
        }
        for (seq, (call, error)) in (1..).zip(faults) {
            calls.fail(call, Some(error.raw_os_error())).unwrap();
            // Long enough for two failed snapshots.
            Timer::after(2 * SNAPSHOT_EVERY + FAILURE_TIME).await;
            assert!(matches!(read(), Ok(Some(_))), "{error}: the last snapshot is intact");
            let (rid, object) = (format!("{seq:016x}"), format!("{:016x}", seq * 7919));
            let mut fields: Vec<(&str, &str)> = page("");
            (fields[1].1, fields[3].1) = (&rid, &object);
            let client = Client::connect(tasks, router.clients).await;
            client.send(&serve(seq, &fields, b"")).await;
            assert!(
                client.next().await.expect("an answer").len() > 1000,
                "{error}: the request was not served"
            );
            calls.fail(call, None).unwrap();
            // Once the second snapshot exists, the first is complete: its directory is synced and its line is logged.
            for _ in 0..2 {
                let written = || std::fs::metadata(&snapshot).unwrap().modified().unwrap();
                let before = written();
                while written() == before {
                    Timer::after(MS).await;
                }
            }
        }
        let log = shut_down(router);
        let count = |text: &str| log.iter().filter(|line| line.contains(text)).count();
        assert_eq!(count("the last snapshot is kept"), faults.len(), "{log:?}");
        assert_eq!(count("snapshots are written again"), faults.len(), "{log:?}");
    });
}

/// Ends the router and returns its log.
fn shut_down(mut router: Router) -> Vec<String> {
    let pid = router.child.id().to_string();
    assert!(Command::new("kill").arg(pid).status().unwrap().success());
    let lines = std::mem::replace(&mut router.lines, Box::new(std::iter::empty())).collect();
    assert!(router.child.wait().unwrap().success());
    lines
}

/// A connection waits while accepts fail, and is served when they succeed again.
#[test]
fn connections_are_served_after_accepts_have_failed() {
    for error in [Errno::CONNABORTED, Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM, Errno::INTR] {
        run(async |tasks| {
            let (router, calls, _kept) = start(tasks).await;
            let aborted = [Errno::CONNABORTED, Errno::INTR].contains(&error);
            calls.fail(SystemCall::Accept, Some(error.raw_os_error())).unwrap();
            let client = Rc::new(Client::connect(tasks, router.clients).await);
            client.send(&serve(1, &page(RID), b"")).await;
            let before = used(router.child.id()).unwrap();
            Timer::after(FAILURE_TIME).await;
            let spent = used(router.child.id()).unwrap() - before;
            // The kernel does not return these two errors repeatedly, so the router is right to retry at once.
            assert!(aborted || spent < 100_000, "{error}: {spent} us of processor time");
            calls.fail(SystemCall::Accept, None).unwrap();
            let answer = client.next().await.expect("an answer");
            assert!(answer.len() > 1000, "{error}: the request was not served");
            let log = shut_down(router);
            let said = log.iter().filter(|line| line.contains("front: accept: ")).count();
            assert_eq!(said, usize::from(!aborted), "{error}: {log:?}");
            let management = log.iter().filter(|line| line.contains("management accept: ")).count();
            assert!(management <= 1, "{error}: {log:?}");
        });
    }
}

/// The deadline passed on to a cache is the time that the client has left: the wait in the accept queue counts.
#[test]
fn the_deadline_passed_on_counts_the_wait_in_the_accept_queue() {
    /// The request's budget, in milliseconds.
    const BUDGET: u64 = 5000;
    /// Maximum excess, in milliseconds, of the deadline passed on over the time left.
    const SLACK: u64 = 150;
    run(async |tasks| {
        let (_coordinator, nowhere) = listen();
        let cache = Cache::start(tasks);
        let file = configuration(&[entry(1, "box", cache.address), entry(99, "origin", nowhere)], nowhere);
        let directory = tempfile::tempdir().unwrap();
        let calls = FailingCalls::new(directory.path()).unwrap();
        let router = start_with(&file, &format!("{}:0", ip()), directory.path(), &calls.variables());
        calls.fail(SystemCall::Accept, Some(Errno::MFILE.raw_os_error())).unwrap();
        let client = Client::connect(tasks, router.clients).await;
        let mut fields = page(RID);
        fields[2].1 = "5000";
        client.send(&serve(1, &fields, b"")).await;
        Timer::after(FAILURE_TIME).await;
        calls.fail(SystemCall::Accept, None).unwrap();
        let (want, _) = cache.next().await;
        let ttl: u64 = field(&want, "ttl").unwrap().parse().unwrap();
        assert!(ttl <= BUDGET - FAILURE_TIME.as_millis() as u64 + SLACK, "{ttl} ms");
    });
}

/// The router is told to end while a connection is queued and accepts fail: it must not close the listener before it has
/// accepted that connection.
#[test]
fn a_shutdown_accepts_queued_connections_once_accepts_succeed_again() {
    run(async |tasks| {
        let (mut router, calls, _kept) = start(tasks).await;
        calls.fail(SystemCall::Accept, Some(Errno::MFILE.raw_os_error())).unwrap();
        let client = Client::connect(tasks, router.clients).await;
        client.send(&serve(1, &page(RID), b"")).await;
        let pid = router.child.id().to_string();
        assert!(Command::new("kill").arg(pid).status().unwrap().success());
        // The listener closes when no more clients are expected; accepts have been failing for a while by then.
        Timer::after(Duration::from_micros(ARRIVAL_WINDOW) + FAILURE_TIME).await;
        calls.fail(SystemCall::Accept, None).unwrap();
        let answer = client.next().await.expect("an answer");
        assert!(backoff_advice(&answer, 1).is_some(), "refused: it could not be answered before the kill");
        let lines = std::mem::replace(&mut router.lines, Box::new(std::iter::empty()));
        let log: Vec<String> = lines.collect();
        assert!(log.iter().any(|line| line.contains("ended: all is answered")), "{log:?}");
        assert!(router.child.wait().unwrap().success());
    });
}

/// Requests that can't be sent because the router is out of descriptors have never run: they are refused, no cache is
/// blamed, and the next request is served when descriptors are available again.
#[test]
fn a_connect_that_fails_without_descriptors_blames_no_cache() {
    run(async |tasks| {
        let (router, _calls, _kept) = start(tasks).await;
        let client = Client::connect(tasks, router.clients).await;
        // Makes sure that the client is accepted while there are still descriptors.
        assert!(client.is_well(1).await);
        let pid = Some(Pid::from_child(&router.child));
        let none = Rlimit { current: Some(3), maximum: getrlimit(Resource::Nofile).maximum };
        let usual = prlimit(pid, Resource::Nofile, none).unwrap();
        for seq in 1..=REQUESTS_WHILE_FAILING {
            let (rid, object) = (format!("{seq:016x}"), format!("{:016x}", seq * 7919));
            let mut fields: Vec<(&str, &str)> = page("");
            (fields[1].1, fields[2].1, fields[3].1) = (&rid, "900", &object);
            client.send(&serve(seq, &fields, b"")).await;
            let answer = client.next().await.expect("an answer");
            assert!(backoff_advice(&answer, seq).is_some(), "refused: it never ran");
        }
        prlimit(pid, Resource::Nofile, usual).unwrap();
        client.send(&serve(REQUESTS_WHILE_FAILING + 1, &page(RID), b"")).await;
        let answer = client.next().await.expect("an answer");
        assert!(answer.len() > 1000, "served");
        let log = shut_down(router);
        let blames = ["set aside", "connect_failed="];
        assert_eq!(log.iter().find(|line| blames.iter().any(|blame| line.contains(blame))), None);
    });
}
