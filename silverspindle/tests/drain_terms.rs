//! The terms of a drain, held against the program as a process: 4 s after the call no client's connection is held idle
//! or with a request of the last 2 s, whatever clients and caches do; and each request has its one answer.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::BytesMut;
use common::process::{Router, put, start};
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use silverspindle::framing::{Measure, split};

/// The terms look at connections so long after the call.
const TERM: Duration = Duration::from_secs(4);
/// A request that crosses a close within this is sent again by its client.
const CROSSES: Duration = Duration::from_millis(50);
/// Requests that have come before the drain is asked for.
const WARM_UP: i32 = 4;
const MS: Duration = Duration::from_millis(1);

/// What a client does.
#[derive(Clone, Copy)]
struct Habit {
    /// It sends a request this often.
    every: Duration,
    /// How long it waits for an answer, in milliseconds.
    budget: &'static str,
    /// Bytes that it reads in a millisecond at most.
    reads: usize,
    /// Of each request the first half goes out with the second half of the one before it.
    halves: bool,
}

const USUAL: Habit =
    Habit { every: Duration::from_millis(200), budget: "3000", reads: 1_000_000, halves: false };

/// A client that sends on, whatever comes, until its connection ends.
#[derive(Default)]
struct Sender {
    /// When each request was sent whole.
    sent: RefCell<BTreeMap<i32, Instant>>,
    answered: RefCell<BTreeMap<i32, u32>>,
    /// When and how the connection ended, as the client saw it.
    ended: RefCell<Option<(Instant, std::io::Result<()>)>>,
    last: Cell<i32>,
}

impl Sender {
    async fn run(self: Rc<Self>, stream: Stream, habit: Habit) {
        future::zip(self.read(&stream, habit), self.write(&stream, habit)).await;
    }

    fn is_over(&self) -> bool {
        self.ended.borrow().is_some()
    }

    async fn write(&self, mut stream: &Async<std::net::TcpStream>, habit: Habit) {
        let mut owed: Vec<u8> = Vec::new();
        while !self.is_over() {
            let seq = self.last.get() + 1;
            let (rid, object) = (format!("{seq:016x}"), format!("{:016x}", seq * 7919));
            let mut fields: Vec<(&str, &str)> = page("");
            (fields[1].1, fields[2].1, fields[3].1) = (&rid, habit.budget, &object);
            let request = serve(seq, &fields, b"");
            let half = if habit.halves { request.len() / 2 } else { request.len() };
            let mut bytes = std::mem::take(&mut owed);
            // With halves, what completes the request before this one.
            let whole = if habit.halves { seq - 1 } else { seq };
            bytes.extend(&request[..half]);
            owed.extend(&request[half..]);
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
            self.last.set(seq);
            if whole > 0 {
                self.sent.borrow_mut().insert(whole, Instant::now());
            }
            Timer::after(habit.every).await;
        }
    }

    async fn read(&self, mut stream: &Async<std::net::TcpStream>, habit: Habit) {
        let measure: Measure = |b| match b.first_chunk::<4>() {
            Some(length) => Ok(4 + u32::from_be_bytes(*length) as usize),
            None => Ok(4),
        };
        let (mut buffer, mut piece) = (BytesMut::new(), vec![0; habit.reads.min(16_000)]);
        let end = loop {
            match stream.read(&mut piece).await {
                Ok(0) => break Ok(()),
                Ok(n) => buffer.extend_from_slice(&piece[..n]),
                Err(e) => break Err(e),
            }
            while let Some(answer) = split(&mut buffer, measure).unwrap() {
                // Behind length, version, kind and the name `serve`.
                let seq = i32::from_be_bytes(answer[17..21].try_into().unwrap());
                *self.answered.borrow_mut().entry(seq).or_insert(0) += 1;
            }
            if habit.reads < piece.len() * 10 {
                Timer::after(MS * piece.len() as u32 / habit.reads as u32).await;
            }
        };
        *self.ended.borrow_mut() = Some((Instant::now(), end));
    }

    /// Its connection ended cleanly by this time, and each request that did not cross its end has one answer.
    fn check(&self, drained: Instant) {
        let ended = self.ended.borrow();
        let Some((at, how)) = &*ended else { panic!("held 4 s after the drain") };
        let after = at.duration_since(drained);
        how.as_ref().unwrap_or_else(|e| panic!("{e} after {after:?}"));
        assert!(after < TERM, "held for {after:?}");
        let answered = self.answered.borrow();
        for (seq, sent) in self.sent.borrow().iter().filter(|(_, sent)| **sent + CROSSES < *at) {
            let answers = answered.get(seq).copied().unwrap_or(0);
            assert_eq!(answers, 1, "request {seq}, sent {:?} before the end", at.duration_since(*sent));
        }
    }
}

/// How a cache answers.
#[derive(Clone, Copy)]
enum Cached {
    /// With so many bytes after this time.
    After(Duration, usize),
    /// Never.
    Never,
}

fn serve_from(tasks: &Tasks, cached: Cached) -> std::net::SocketAddr {
    let cache = Cache::start(tasks);
    let address = cache.address;
    let all = tasks.clone();
    let answer = async move {
        loop {
            let (command, line) = cache.next().await;
            let Cached::After(time, bytes) = cached else { continue };
            if command[0] == "want" {
                let answer = async move {
                    Timer::after(time).await;
                    let body = "x".repeat(bytes);
                    let strings: [&[u8]; 4] =
                        [command[1].as_bytes(), b"HIT", NAMED.as_bytes(), body.as_bytes()];
                    let _ = (&*line).write_all(&silverspindle::resp::command(&strings)).await;
                };
                all.spawn(answer).detach();
            }
        }
    };
    tasks.spawn(answer).detach();
    address
}

/// Drains a router while a client of this habit sends through it, and holds the drain to its terms.
fn drains_in_time(habit: Habit, cached: Cached) {
    run(async |tasks| {
        let (_coordinator, nowhere) = listen();
        let cache = serve_from(tasks, cached);
        let file = configuration(&[entry(1, "box", cache), entry(99, "origin", nowhere)], nowhere);
        let mut router: Router = start(&file, &format!("{}:0", ip()));
        // Its log must not fill the pipe.
        let lines = std::mem::replace(&mut router.lines, Box::new(std::iter::empty()));
        let log = std::thread::spawn(move || lines.collect::<Vec<String>>());
        let stream = Rc::new(Async::<std::net::TcpStream>::connect(router.clients).await.unwrap());
        let client = Rc::new(Sender::default());
        let traffic = tasks.spawn(client.clone().run(stream, habit));
        while client.last.get() < WARM_UP {
            Timer::after(MS).await;
        }
        assert_eq!(put(&router, "/-/drain"), 200);
        let drained = Instant::now();
        while !client.is_over() && drained.elapsed() < TERM {
            Timer::after(MS).await;
        }
        let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| client.check(drained)));
        drop(traffic);
        let _ = router.child.kill();
        let _ = router.child.wait();
        let log = log.join().unwrap();
        if let Err(failure) = verdict {
            log.iter().for_each(|line| eprintln!("{line}"));
            std::panic::resume_unwind(failure);
        }
    });
}

/// A client always has a request open: there is no moment in which its connection owes nothing.
#[test]
fn a_client_whose_requests_overlap_is_let_go_in_time() {
    drains_in_time(USUAL, Cached::After(700 * MS, 1000));
}

/// Its requests wait for a cache that hangs, to their end, and it sends on behind them.
#[test]
fn a_client_whose_requests_wait_for_a_hung_cache_is_let_go_in_time() {
    drains_in_time(USUAL, Cached::Never);
}

/// It reads 1 MB/s and asks for nearly as much: there are always answers that it has not taken.
#[test]
fn a_client_that_reads_slowly_is_let_go_in_time_with_all_its_answers() {
    drains_in_time(Habit { reads: 1000, ..USUAL }, Cached::After(20 * MS, 200_000));
}

/// There is always half a message on its connection.
#[test]
fn a_client_that_sends_in_halves_is_let_go_in_time() {
    let habit = Habit { every: 150 * MS, halves: true, ..USUAL };
    drains_in_time(habit, Cached::After(20 * MS, 1000));
}
