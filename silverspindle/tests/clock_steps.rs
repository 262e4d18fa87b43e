//! Steps the wall clock of a running router by seconds and by an hour, forward and back. Deadlines, drains
//! and the shutdown measure elapsed time and must not be affected.

mod common;

use std::path::Path;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use common::process::{Router, put, start_with};
use common::sender::{CacheBehaviour, DEFAULT_BEHAVIOUR, MS, Sender, SenderBehaviour, serve_from};
use common::*;
use futures_lite::AsyncWriteExt;
use silverspindle_standins::shim::ClockStep;

/// A second in microseconds.
const SECOND: i64 = 1_000_000;
/// Steps of the wall clock, in microseconds.
const STEPS: [i64; 4] = [5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND];
/// Number of requests before the step.
const WARM_UP: i32 = 4;

/// A router process whose wall clock the test controls, with a client that keeps sending.
struct SteppedRouter {
    router: Router,
    clock: ClockStep,
    client: Rc<Sender>,
    _coordinator: Async<std::net::TcpListener>,
    _directory: tempfile::TempDir,
}

impl SteppedRouter {
    /// Starts the router, a cache behind it and a client with the given behaviour; returns after [`WARM_UP`]
    /// requests.
    async fn start(
        tasks: &Tasks,
        behaviour: SenderBehaviour,
        cached: CacheBehaviour,
        edit: impl Fn(&mut serde_json::Value),
    ) -> Self {
        let (coordinator, coordinator_address) = listen();
        let cache = serve_from(tasks, cached);
        let mut file = configuration(
            &[entry(1, "box", cache), entry(99, "origin", coordinator_address)],
            coordinator_address,
        );
        edit(&mut file);
        let directory = tempfile::tempdir().unwrap();
        let clock = ClockStep::new(directory.path()).unwrap();
        let variables = clock.variables().map(|(name, value)| (name, Path::new(value)));
        let mut router = start_with(&file, &format!("{}:0", ip()), directory.path(), &variables);
        // Read the log, so that the pipe never fills up.
        let lines = std::mem::replace(&mut router.lines, Box::new(std::iter::empty()));
        std::thread::spawn(move || lines.for_each(drop));
        let stream = Rc::new(Async::<std::net::TcpStream>::connect(router.clients).await.unwrap());
        let client = Rc::new(Sender::default());
        tasks.spawn(client.clone().run(stream, behaviour)).detach();
        while client.last.get() < WARM_UP {
            Timer::after(MS).await;
        }
        Self { router, clock, client, _coordinator: coordinator, _directory: directory }
    }

    /// Waits until the client has sent this number of further requests.
    async fn send_more(&self, requests: i32) {
        let last = self.client.last.get() + requests;
        while self.client.last.get() < last {
            Timer::after(MS).await;
        }
    }
}

/// Runs a case for each step, all in parallel.
fn under_each_step(case: fn(i64)) {
    let cases = STEPS.map(|step| std::thread::spawn(move || case(step)));
    for (step, done) in STEPS.into_iter().zip(cases) {
        assert!(done.join().is_ok(), "a step by {} s", step / SECOND);
    }
}

/// Guards against deadlines measured by the wall clock: requests to a cache that hangs must get their final
/// answer in time across a step.
#[test]
fn requests_are_answered_in_time_across_a_step_of_the_wall_clock() {
    const BUDGET: Duration = Duration::from_millis(900);
    /// A late answer earns nothing; one that is later than this counts as lost.
    const LOST_AFTER: Duration = Duration::from_millis(500);
    under_each_step(|step| {
        run(async |tasks| {
            let behaviour = SenderBehaviour { budget: "900", ..DEFAULT_BEHAVIOUR };
            let stepped = SteppedRouter::start(tasks, behaviour, CacheBehaviour::Never, |_| ()).await;
            stepped.clock.step_to(step).unwrap();
            stepped.send_more(12).await;
            let now = Instant::now();
            let answered = stepped.client.answered.borrow();
            let is_due = |at: &Instant| now.duration_since(*at) > BUDGET + LOST_AFTER;
            for (seq, _) in stepped.client.sent.borrow().iter().filter(|(_, at)| is_due(at)) {
                assert_eq!(answered.get(seq), Some(&1), "request {seq}, a step by {step}");
            }
        });
    });
}

/// Guards against requests that time out early because the wall clock was stepped: an answer that a cache
/// gives within the client's time must be served.
#[test]
fn answers_are_served_across_a_step_of_the_wall_clock() {
    under_each_step(|step| {
        run(async |tasks| {
            let behaviour = SenderBehaviour { budget: "2500", ..DEFAULT_BEHAVIOUR };
            let stepped =
                SteppedRouter::start(tasks, behaviour, CacheBehaviour::After(300 * MS, 1000), |_| ()).await;
            let before = stepped.client.last.get();
            stepped.clock.step_to(step).unwrap();
            stepped.send_more(12).await;
            let served = stepped.client.served.borrow();
            for seq in 1..=before + 6 {
                assert!(served.contains(&seq), "request {seq} of {before} before a step by {step}");
            }
        });
    });
}

/// Guards against a drain or a shutdown measured by the wall clock: a step must not make either of them
/// longer.
#[test]
fn a_drain_and_a_shutdown_take_no_longer_across_a_step_of_the_wall_clock() {
    const DRAIN_LIMIT: Duration = Duration::from_secs(4);
    /// The longest deadline, counted as 3 s, plus the 0.7 s for which clients may still come after SIGTERM.
    const KILL_DELAY: Duration = Duration::from_millis(3700);
    under_each_step(|step| {
        run(async |tasks| {
            let mut stepped =
                SteppedRouter::start(tasks, DEFAULT_BEHAVIOUR, CacheBehaviour::After(700 * MS, 1000), |_| ())
                    .await;
            assert_eq!(put(&stepped.router, "/-/drain"), 200);
            let drain_start = Instant::now();
            stepped.clock.step_to(step).unwrap();
            while !stepped.client.is_over() && drain_start.elapsed() < DRAIN_LIMIT {
                Timer::after(MS).await;
            }
            stepped.client.check(drain_start, DRAIN_LIMIT);
            stepped.clock.step_to(0).unwrap();
            let pid = stepped.router.child.id().to_string();
            assert!(Command::new("kill").arg(pid).status().unwrap().success());
            let signalled_at = Instant::now();
            stepped.clock.step_to(step).unwrap();
            while stepped.router.child.try_wait().unwrap().is_none() {
                assert!(
                    signalled_at.elapsed() < KILL_DELAY,
                    "alive {:?} after SIGTERM",
                    signalled_at.elapsed()
                );
                Timer::after(MS).await;
            }
        });
    });
}

/// Starts a router whose wall clock is wrong by `offset`, with a cache whose answers the test writes. Also
/// returns the client and the coordinator's connection.
async fn start_with_wrong_clock(
    tasks: &Tasks,
    offset: i64,
) -> (Router, Cache, Client, Stream, tempfile::TempDir) {
    let (listener, coordinator_address) = listen();
    let cache = Cache::start(tasks);
    let mut file = configuration(
        &[entry(1, "box", cache.address), entry(99, "origin", coordinator_address)],
        coordinator_address,
    );
    // The rate limits are high enough for an own copy to be delivered at once.
    (file["flow_bytes_per_s"], file["link_bytes_per_s"]) = (1_000_000_000.into(), 1_000_000_000.into());
    file["settings"]["family_info"]["fresh_for_ms"] = serde_json::json!([FRESH_MS, 0]);
    let directory = tempfile::tempdir().unwrap();
    let clock = ClockStep::new(directory.path()).unwrap();
    clock.step_to(offset).unwrap();
    let [preload, offset] = clock.variables().map(|(name, value)| (name, Path::new(value)));
    let debug = ("LB_LOG", Path::new("debug"));
    let router = start_with(&file, &format!("{}:0", ip()), directory.path(), &[preload, offset, debug]);
    let (coordinator, _) = listener.accept().await.unwrap();
    let client = Client::connect(tasks, router.clients).await;
    (router, cache, client, Rc::new(coordinator), directory)
}

/// Time for which a copy stays fresh, in milliseconds.
const FRESH_MS: u64 = 1000;

/// Requests the object of [`page`] with this sequence number.
async fn request_object(client: &Client, seq: i32) {
    let rid = format!("{seq:016x}");
    let mut fields: Vec<(&str, &str)> = page("");
    fields[1].1 = &rid;
    client.send(&serve(seq, &fields, b"")).await;
}

/// Answers the cache's next command with a hit whose copy was made now; returns the command.
async fn answer_with_hit(cache: &Cache) -> common::Command {
    let (want, connection) = cache.next().await;
    let stamp = silverspindle::clock::Stamp::now().as_micros() / 1000;
    let named = format!("version=4be0c1927d55a6f3,stamp={stamp},why=deep_fill");
    reply(&connection, &[&want[1], "HIT", &named, "bytes"]).await;
    want
}

/// Guards against a wall clock that was behind at the start and makes copies look younger than they are.
#[test]
fn a_copy_is_not_served_past_its_time_by_a_router_that_started_behind() {
    for offset in [-5 * SECOND, -3600 * SECOND] {
        run(async |tasks| {
            let (_router, cache, client, _coordinator, _directory) =
                start_with_wrong_clock(tasks, offset).await;
            request_object(&client, 1).await;
            answer_with_hit(&cache).await;
            assert_eq!(client.next().await.unwrap(), served_answer(1, b"bytes"));
            Timer::after(Duration::from_millis(FRESH_MS + 200)).await;
            request_object(&client, 2).await;
            let asked = async { Some(cache.next().await.0) };
            let answered = async { client.next().await.and(None) };
            let want = futures_lite::future::or(asked, answered).await;
            assert!(want.is_some(), "{offset} us: served from a copy that is too old");
        });
    }
}

/// Guards against a wall clock that was ahead at the start and makes a purge look long past: caches must
/// still be asked for copies newer than the purge.
#[test]
fn a_purge_is_applied_by_a_router_that_started_ahead() {
    run(async |tasks| {
        let (mut router, cache, client, coordinator, _directory) =
            start_with_wrong_clock(tasks, 3600 * SECOND).await;
        let now = silverspindle::clock::Stamp::now().as_micros() / 1000;
        let mut purge = 0x7f3a_9c21_e0b4_d655_u64.to_be_bytes().to_vec();
        purge.extend(now.to_be_bytes());
        (&*coordinator).write_all(&event(2, 3, &purge)).await.unwrap();
        // Events are applied in order: once the list that follows the purge is applied, so is the purge.
        (&*coordinator).write_all(&event(3, 2, &record(1, 0, cache.address))).await.unwrap();
        assert!(router.lines.any(|line| line.contains("list: 1 entries")));
        request_object(&client, 1).await;
        let want = answer_with_hit(&cache).await;
        let newer: u64 = field(&want, "newer").expect("a limit of age").parse().unwrap();
        assert!(newer < FRESH_MS, "{newer} ms");
    });
}
