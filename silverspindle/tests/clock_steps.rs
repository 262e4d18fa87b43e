//! The wall clock of a running router is stepped by seconds and by an hour, forward and back: deadlines, drains and the end
//! are spans of real time and don't notice.

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

const SECOND: i64 = 1_000_000;
/// Steps, in microseconds.
const STEPS: [i64; 4] = [5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND];
/// Requests before the step.
const WARM_UP: i32 = 4;

/// A router under a clock of its own, and how a test goes on with it.
struct Stepped {
    router: Router,
    clock: ClockStep,
    client: Rc<Sender>,
    _coordinator: Async<std::net::TcpListener>,
    _directory: tempfile::TempDir,
}

impl Stepped {
    /// A client of this habit sends through it.
    async fn start(
        tasks: &Tasks,
        habit: SenderBehaviour,
        cached: CacheBehaviour,
        edit: impl Fn(&mut serde_json::Value),
    ) -> Self {
        let (coordinator, nowhere) = listen();
        let cache = serve_from(tasks, cached);
        let mut file = configuration(&[entry(1, "box", cache), entry(99, "origin", nowhere)], nowhere);
        edit(&mut file);
        let directory = tempfile::tempdir().unwrap();
        let clock = ClockStep::new(directory.path()).unwrap();
        let variables = clock.variables().map(|(name, value)| (name, Path::new(value)));
        let mut router = start_with(&file, &format!("{}:0", ip()), directory.path(), &variables);
        // Its log must not fill the pipe.
        let lines = std::mem::replace(&mut router.lines, Box::new(std::iter::empty()));
        std::thread::spawn(move || lines.for_each(drop));
        let stream = Rc::new(Async::<std::net::TcpStream>::connect(router.clients).await.unwrap());
        let client = Rc::new(Sender::default());
        tasks.spawn(client.clone().run(stream, habit)).detach();
        while client.last.get() < WARM_UP {
            Timer::after(MS).await;
        }
        Self { router, clock, client, _coordinator: coordinator, _directory: directory }
    }

    /// The client sends so many more.
    async fn more(&self, requests: i32) {
        let last = self.client.last.get() + requests;
        while self.client.last.get() < last {
            Timer::after(MS).await;
        }
    }
}

/// Runs a case under each step, beside each other.
fn under_each_step(case: fn(i64)) {
    let cases = STEPS.map(|step| std::thread::spawn(move || case(step)));
    for (step, done) in STEPS.into_iter().zip(cases) {
        assert!(done.join().is_ok(), "a step by {} s", step / SECOND);
    }
}

/// Requests to a cache that hangs get their final answer in time.
#[test]
fn requests_are_answered_in_time_across_a_step_of_the_wall_clock() {
    const BUDGET: Duration = Duration::from_millis(900);
    /// An answer after its time earns nothing; one that comes later than this is lost.
    const LOST: Duration = Duration::from_millis(500);
    under_each_step(|step| {
        run(async |tasks| {
            let habit = SenderBehaviour { budget: "900", ..DEFAULT_BEHAVIOUR };
            let stepped = Stepped::start(tasks, habit, CacheBehaviour::Never, |_| ()).await;
            stepped.clock.step_to(step).unwrap();
            stepped.more(12).await;
            let now = Instant::now();
            let answered = stepped.client.answered.borrow();
            let due = |at: &Instant| now.duration_since(*at) > BUDGET + LOST;
            for (seq, _) in stepped.client.sent.borrow().iter().filter(|(_, at)| due(at)) {
                assert_eq!(answered.get(seq), Some(&1), "request {seq}, a step by {step}");
            }
        });
    });
}

/// What a cache answers within the client's time is served.
#[test]
fn answers_are_served_across_a_step_of_the_wall_clock() {
    under_each_step(|step| {
        run(async |tasks| {
            let habit = SenderBehaviour { budget: "2500", ..DEFAULT_BEHAVIOUR };
            let stepped = Stepped::start(tasks, habit, CacheBehaviour::After(300 * MS, 1000), |_| ()).await;
            let before = stepped.client.last.get();
            stepped.clock.step_to(step).unwrap();
            stepped.more(12).await;
            let served = stepped.client.served.borrow();
            for seq in 1..=before + 6 {
                assert!(served.contains(&seq), "request {seq} of {before} before a step by {step}");
            }
        });
    });
}

/// A drain and an end count real time.
#[test]
fn a_drain_and_an_end_take_no_longer_across_a_step_of_the_wall_clock() {
    const TERM: Duration = Duration::from_secs(4);
    /// The longest deadline, counted as 3 s, and 0.7 s.
    const KILL: Duration = Duration::from_millis(3700);
    under_each_step(|step| {
        run(async |tasks| {
            let mut stepped =
                Stepped::start(tasks, DEFAULT_BEHAVIOUR, CacheBehaviour::After(700 * MS, 1000), |_| ()).await;
            assert_eq!(put(&stepped.router, "/-/drain"), 200);
            let since = Instant::now();
            stepped.clock.step_to(step).unwrap();
            while !stepped.client.is_over() && since.elapsed() < TERM {
                Timer::after(MS).await;
            }
            stepped.client.check(since, TERM);
            stepped.clock.step_to(0).unwrap();
            let pid = stepped.router.child.id().to_string();
            assert!(Command::new("kill").arg(pid).status().unwrap().success());
            let told = Instant::now();
            stepped.clock.step_to(step).unwrap();
            while stepped.router.child.try_wait().unwrap().is_none() {
                assert!(told.elapsed() < KILL, "alive {:?} after SIGTERM", told.elapsed());
                Timer::after(MS).await;
            }
        });
    });
}

/// A router that starts while its wall clock is wrong, before a cache that the test answers for; the coordinator's connection.
async fn start_wrong(tasks: &Tasks, offset: i64) -> (Router, Cache, Client, Stream, tempfile::TempDir) {
    let (listener, nowhere) = listen();
    let cache = Cache::start(tasks);
    let mut file = configuration(&[entry(1, "box", cache.address), entry(99, "origin", nowhere)], nowhere);
    // A copy of the router's own comes at once.
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

const FRESH_MS: u64 = 1000;

/// Asks for the object of the usual page, as the request of this number.
async fn ask(client: &Client, seq: i32) {
    let rid = format!("{seq:016x}");
    let mut fields: Vec<(&str, &str)> = page("");
    fields[1].1 = &rid;
    client.send(&serve(seq, &fields, b"")).await;
}

async fn hit(cache: &Cache) -> common::Command {
    let (want, line) = cache.next().await;
    let stamp = silverspindle::clock::Stamp::now().as_micros() / 1000;
    let named = format!("version=4be0c1927d55a6f3,stamp={stamp},why=deep_fill");
    reply(&line, &[&want[1], "HIT", &named, "bytes"]).await;
    want
}

/// A wall clock that was behind at the start makes no copy younger than it is.
#[test]
fn a_copy_is_not_served_past_its_time_by_a_router_that_started_behind() {
    for offset in [-5 * SECOND, -3600 * SECOND] {
        run(async |tasks| {
            let (_router, cache, client, _kept, _directory) = start_wrong(tasks, offset).await;
            ask(&client, 1).await;
            hit(&cache).await;
            assert_eq!(client.next().await.unwrap(), served_answer(1, b"bytes"));
            Timer::after(Duration::from_millis(FRESH_MS + 200)).await;
            ask(&client, 2).await;
            let asked = async { Some(cache.next().await.0) };
            let answered = async { client.next().await.and(None) };
            let want = futures_lite::future::or(asked, answered).await;
            assert!(want.is_some(), "{offset} us: served from a copy that is too old");
        });
    }
}

/// A wall clock that was ahead at the start makes no purge long past: caches are asked for younger copies.
#[test]
fn a_purge_is_heeded_by_a_router_that_started_ahead() {
    run(async |tasks| {
        let (mut router, cache, client, coordinator, _directory) = start_wrong(tasks, 3600 * SECOND).await;
        let now = silverspindle::clock::Stamp::now().as_micros() / 1000;
        let mut purge = 0x7f3a_9c21_e0b4_d655_u64.to_be_bytes().to_vec();
        purge.extend(now.to_be_bytes());
        (&*coordinator).write_all(&event(2, 3, &purge)).await.unwrap();
        // News are taken in order: where the list behind it is in, the purge is.
        (&*coordinator).write_all(&event(3, 2, &record(1, 0, cache.address))).await.unwrap();
        assert!(router.lines.any(|line| line.contains("list: 1 entries")));
        ask(&client, 1).await;
        let want = hit(&cache).await;
        let newer: u64 = field(&want, "newer").expect("a limit of age").parse().unwrap();
        assert!(newer < FRESH_MS, "{newer} ms");
    });
}
