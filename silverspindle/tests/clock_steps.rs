//! The wall clock of a running router is stepped by seconds and by an hour, forward and back: deadlines, drains and the end
//! are spans of real time and don't notice.

mod common;

use std::path::Path;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use common::process::{Router, put, start_with};
use common::sender::{Cached, Habit, MS, Sender, USUAL, serve_from};
use common::*;
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
        habit: Habit,
        cached: Cached,
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
            let habit = Habit { budget: "900", ..USUAL };
            let stepped = Stepped::start(tasks, habit, Cached::Never, |_| ()).await;
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
            let habit = Habit { budget: "2500", ..USUAL };
            let stepped = Stepped::start(tasks, habit, Cached::After(300 * MS, 1000), |_| ()).await;
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
            let mut stepped = Stepped::start(tasks, USUAL, Cached::After(700 * MS, 1000), |_| ()).await;
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
