//! A client that keeps sending whatever it receives, and a cache that answers late or never.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use silverspindle::framing::{Measure, split};

use super::*;

/// A request that was sent this shortly before the close crossed it; its client sends it again.
pub const CROSSES: Duration = Duration::from_millis(50);
/// Largest answer without a body, in bytes; the caches in these tests answer with more.
const LARGEST_REFUSAL: usize = 200;
pub const MS: Duration = Duration::from_millis(1);

/// Behaviour of a client.
#[derive(Clone, Copy)]
pub struct SenderBehaviour {
    /// Time between two requests.
    pub every: Duration,
    /// Time that the client waits for an answer, in milliseconds.
    pub budget: &'static str,
    /// Largest number of bytes that the client reads per millisecond.
    pub reads: usize,
    /// Each write holds the second half of the previous request and the first half of the next.
    pub halves: bool,
}

pub const DEFAULT_BEHAVIOUR: SenderBehaviour =
    SenderBehaviour { every: Duration::from_millis(200), budget: "3000", reads: 1_000_000, halves: false };

/// A client that keeps sending until its connection ends, and records what it sent and received.
#[derive(Default)]
pub struct Sender {
    /// When each request was sent completely.
    pub sent: RefCell<BTreeMap<i32, Instant>>,
    pub answered: RefCell<BTreeMap<i32, u32>>,
    /// Requests that were served.
    pub served: RefCell<BTreeSet<i32>>,
    /// When and how the connection ended on the client's side.
    pub ended: RefCell<Option<(Instant, std::io::Result<()>)>>,
    pub last: Cell<i32>,
}

impl Sender {
    pub async fn run(self: Rc<Self>, stream: Stream, behaviour: SenderBehaviour) {
        future::zip(self.read(&stream, behaviour), self.write(&stream, behaviour)).await;
    }

    pub fn is_over(&self) -> bool {
        self.ended.borrow().is_some()
    }

    async fn write(&self, mut stream: &Async<std::net::TcpStream>, behaviour: SenderBehaviour) {
        let mut unsent_half: Vec<u8> = Vec::new();
        while !self.is_over() {
            let seq = self.last.get() + 1;
            let (rid, object) = (format!("{seq:016x}"), format!("{:016x}", seq * 7919));
            let mut fields: Vec<(&str, &str)> = page("");
            (fields[1].1, fields[2].1, fields[3].1) = (&rid, behaviour.budget, &object);
            let request = serve(seq, &fields, b"");
            let half = if behaviour.halves { request.len() / 2 } else { request.len() };
            let mut bytes = std::mem::take(&mut unsent_half);
            // With halves, this write completes the previous request.
            let whole = if behaviour.halves { seq - 1 } else { seq };
            bytes.extend(&request[..half]);
            unsent_half.extend(&request[half..]);
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
            self.last.set(seq);
            if whole > 0 {
                self.sent.borrow_mut().insert(whole, Instant::now());
            }
            Timer::after(behaviour.every).await;
        }
    }

    async fn read(&self, mut stream: &Async<std::net::TcpStream>, behaviour: SenderBehaviour) {
        let measure: Measure = |b| match b.first_chunk::<4>() {
            Some(length) => Ok(4 + u32::from_be_bytes(*length) as usize),
            None => Ok(4),
        };
        let (mut buffer, mut piece) = (BytesMut::new(), vec![0; behaviour.reads.min(16_000)]);
        let end = loop {
            match stream.read(&mut piece).await {
                Ok(0) => break Ok(()),
                Ok(n) => buffer.extend_from_slice(&piece[..n]),
                Err(e) => break Err(e),
            }
            while let Some(answer) = split(&mut buffer, measure).unwrap() {
                // The sequence number follows the length, the version and type, and the name `serve`.
                let seq = i32::from_be_bytes(answer[17..21].try_into().unwrap());
                *self.answered.borrow_mut().entry(seq).or_insert(0) += 1;
                // Refusals and failures are exceptions, in smaller frames.
                if answer.len() > LARGEST_REFUSAL {
                    self.served.borrow_mut().insert(seq);
                }
            }
            if behaviour.reads < piece.len() * 10 {
                Timer::after(MS * piece.len() as u32 / behaviour.reads as u32).await;
            }
        };
        *self.ended.borrow_mut() = Some((Instant::now(), end));
    }

    /// Checks that the connection ended cleanly within `limit`, and that each request that did not cross its end has
    /// exactly one answer.
    pub fn check(&self, since: Instant, limit: Duration) {
        let ended = self.ended.borrow();
        let Some((at, how)) = &*ended else { panic!("held after {limit:?}") };
        let after = at.duration_since(since);
        how.as_ref().unwrap_or_else(|e| panic!("{e} after {after:?}"));
        assert!(after < limit, "held for {after:?}");
        let answered = self.answered.borrow();
        for (seq, sent) in self.sent.borrow().iter().filter(|(_, sent)| **sent + CROSSES < *at) {
            let answers = answered.get(seq).copied().unwrap_or(0);
            assert_eq!(answers, 1, "request {seq}, sent {:?} before the end", at.duration_since(*sent));
        }
    }
}

/// Behaviour of a cache.
#[derive(Clone, Copy)]
pub enum CacheBehaviour {
    /// Answers with a body of this many bytes after this time.
    After(Duration, usize),
    /// Never answers.
    Never,
}

/// Starts a cache with this behaviour; returns its address.
pub fn serve_from(tasks: &Tasks, behaviour: CacheBehaviour) -> std::net::SocketAddr {
    let cache = Cache::start(tasks);
    let address = cache.address;
    let all = tasks.clone();
    let answer = async move {
        loop {
            let (command, line) = cache.next().await;
            let CacheBehaviour::After(time, bytes) = behaviour else { continue };
            if command[0] == "want" {
                let answer = async move {
                    Timer::after(time).await;
                    let body = "x".repeat(bytes);
                    let strings: [&[u8]; 4] =
                        [command[1].as_bytes(), b"HIT", NAMED.as_bytes(), body.as_bytes()];
                    let _ = (&*line).write_all(&silverspindle::resp::encode_array(&strings)).await;
                };
                all.spawn(answer).detach();
            }
        }
    };
    tasks.spawn(answer).detach();
    address
}
