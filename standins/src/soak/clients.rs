//! Clients of a soak: each connects where connections are taken, does what its habit says and connects anew.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bytes::BytesMut;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use silverspindle_wire::{clock, framing};

use super::record::{Connection, Copy, EndKind, Records, Request, Word};
use super::terms::Effect;
use crate::codec::{self, Answer};
use crate::{Micros, SECOND};

const MS: Micros = 1000;
/// What is read at a time, and how long a slow reader waits then: 1 MB/s.
const CHUNK: usize = 8 * 1024;
const SLOW: Duration = Duration::from_millis(8);
/// A client waits so long before it tries to connect again.
const AGAIN: Duration = Duration::from_millis(20);
/// How long clients wait for an answer, in milliseconds.
const BUDGETS: std::ops::Range<u64> = 700..2000;

/// How long a client keeps a connection, and how often it asks, in milliseconds.
const LIFE: std::ops::Range<Micros> = 2 * SECOND..20 * SECOND;
const EVERY_MS: std::ops::Range<u64> = 10..150;
/// Part of the requests for an object that clients hold a copy of that name it.
const CACHED: f64 = 0.4;
/// Objects that are asked for, most of them the first ones, and groups that they belong to.
const OBJECTS: u64 = 60;
const GROUPS: u64 = 4;

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Asks again once it has its answer.
    Sequential,
    /// Asks on and on, whatever is open.
    Overlapping,
    /// As overlapping, and reads 1 MB/s.
    SlowReader,
    /// As overlapping, and writes its requests in pieces.
    Pieces,
    /// As overlapping, and leaves with requests open.
    Leaver,
    /// As overlapping, and cancels half of its requests.
    Canceller,
    /// Asks twice, and rests until the router ends the connection.
    Resting,
}

impl Habit {
    /// All of them.
    pub const ALL: [Habit; 7] = [
        Habit::Sequential,
        Habit::Overlapping,
        Habit::SlowReader,
        Habit::Pieces,
        Habit::Leaver,
        Habit::Canceller,
        Habit::Resting,
    ];
}

/// Where clients connect.
#[derive(Debug)]
pub struct Door {
    /// The router's address.
    pub address: SocketAddr,
    /// New connections come.
    pub admits: Cell<bool>,
    /// The process that is meant.
    pub process: Cell<usize>,
}

/// What all clients share.
#[derive(Debug)]
pub struct Town {
    /// What happens is written there.
    pub records: Rc<Records>,
    /// Requests by id, to their places.
    pub places: Rc<RefCell<HashMap<String, usize>>>,
    /// Copies that clients were served last, by object and class.
    pub copies: RefCell<HashMap<(u64, usize), Micros>>,
    /// The routers.
    pub doors: Vec<Rc<Door>>,
    /// Clients come to their ends.
    pub is_over: Cell<bool>,
}

/// A client, until all is over.
pub async fn live(town: Rc<Town>, habit: Habit, mut random: Pcg64Mcg) {
    while !town.is_over.get() {
        let open: Vec<_> = town.doors.iter().filter(|door| door.admits.get()).cloned().collect();
        if open.is_empty() {
            Timer::after(AGAIN).await;
            continue;
        }
        let door = open[random.random_range(0..open.len())].clone();
        let process = door.process.get();
        let Ok(stream) = Async::<TcpStream>::connect(door.address).await else {
            Timer::after(AGAIN).await;
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let opened = clock::now();
        let slow = habit == Habit::SlowReader;
        let place = {
            let mut connections = town.records.connections.borrow_mut();
            connections.push(Connection { process, opened, slow, ended: None });
            connections.len() - 1
        };
        let until = opened + random.random_range(LIFE);
        let line = Line { town: town.clone(), place, habit, until, open: RefCell::default() };
        future::or(line.read(&stream), line.write(&stream, &mut random)).await;
        line.end(EndKind::Left);
        let _ = stream.get_ref().shutdown(Shutdown::Both);
    }
}

/// A connection.
struct Line {
    town: Rc<Town>,
    place: usize,
    habit: Habit,
    until: Micros,
    /// Requests without an answer, by number, to their places.
    open: RefCell<HashMap<i32, usize>>,
}

impl Line {
    fn end(&self, how: EndKind) {
        let ended = &mut self.town.records.connections.borrow_mut()[self.place].ended;
        *ended = ended.or(Some((clock::now(), how)));
    }

    async fn read(&self, mut stream: &Async<TcpStream>) {
        let (mut buffer, mut piece, mut numbers) = (BytesMut::new(), [0; CHUNK], HashMap::new());
        loop {
            match stream.read(&mut piece).await {
                Ok(0) => return self.end(EndKind::Closed),
                Ok(n) => buffer.extend_from_slice(&piece[..n]),
                Err(_) => return self.end(EndKind::Reset),
            }
            while let Ok(Some(frame)) = framing::split(&mut buffer, codec::measure_answer) {
                let Ok((seq, answer)) = codec::answer(&frame) else { return self.end(EndKind::Reset) };
                let place = self.open.borrow_mut().remove(&seq).or_else(|| numbers.get(&seq).copied());
                if let Some(place) = place {
                    numbers.insert(seq, place);
                    self.town.records.requests.borrow_mut()[place].answers.push((clock::now(), word(answer)));
                    self.note_copy(place);
                }
            }
            if self.habit == Habit::SlowReader {
                Timer::after(SLOW).await;
            }
        }
    }

    /// Clients keep what they are served.
    fn note_copy(&self, place: usize) {
        let request = &self.town.records.requests.borrow()[place];
        if let Some((_, Word::Served(Some(copy)))) = request.answers.last() {
            self.town.copies.borrow_mut().insert((copy.object, request.class), copy.stamp);
        }
    }

    async fn write(&self, stream: &Async<TcpStream>, random: &mut Pcg64Mcg) {
        let mut seq = 0;
        while clock::now() < self.until && !self.town.is_over.get() {
            seq += 1;
            if self.request(stream, seq, random).await.is_err() {
                return future::pending().await;
            }
            if self.habit == Habit::Canceller && random.random_bool(0.5) {
                Timer::after(Duration::from_millis(random.random_range(1..200))).await;
                self.cancel(stream, seq).await;
            }
            if self.habit == Habit::Resting && seq == 2 {
                // Until the router ends it, or all is over.
                while !self.town.is_over.get() {
                    Timer::after(AGAIN).await;
                }
                break;
            }
            Timer::after(Duration::from_millis(random.random_range(EVERY_MS))).await;
            while self.habit == Habit::Sequential && !self.open.borrow().is_empty() && !self.is_late() {
                Timer::after(Duration::from_millis(1)).await;
            }
        }
        // Who leaves in good order waits for what is open; whoever reads this connection ends it meanwhile.
        while self.habit != Habit::Leaver && !self.open.borrow().is_empty() && !self.is_late() {
            Timer::after(AGAIN).await;
        }
    }

    /// What is open is lost, whatever comes.
    fn is_late(&self) -> bool {
        let requests = self.town.records.requests.borrow();
        let now = clock::now();
        self.open
            .borrow()
            .values()
            .all(|place| now > requests[*place].sent + requests[*place].budget + 2 * SECOND)
    }

    async fn request(
        &self,
        mut stream: &Async<TcpStream>,
        seq: i32,
        random: &mut Pcg64Mcg,
    ) -> std::io::Result<()> {
        let classes = &self.town.records.terms.classes;
        let class = random.random_range(0..classes.len());
        let terms = classes[class];
        let budget_ms = random.random_range(BUDGETS);
        let (rid, token) =
            (format!("{:016x}", random.random::<u64>()), format!("{:032x}", random.random::<u128>()));
        let number = random.random_range(0..OBJECTS).min(random.random_range(0..OBJECTS));
        let group = (number % GROUPS) as u16;
        let (object, family) = (format!("{number:016x}"), group.to_string());
        let budget = budget_ms.to_string();
        let mut fields = vec![
            ("method", terms.name),
            ("rid", &rid),
            ("budget", &budget),
            ("obj", &object),
            ("block", "0"),
            ("family", &family),
            ("mem", "40"),
        ];
        if matches!(terms.effect, Effect::Deduplicated(..)) {
            fields.push(("token", &token));
        }
        let body: &[u8] = if terms.write { b"scanned" } else { b"" };
        let held = self.town.copies.borrow().get(&(number, class)).copied();
        let cached = held.filter(|_| !terms.write && random.random_bool(CACHED));
        let tag = cached.map(codec::tag).unwrap_or_default();
        if cached.is_some() {
            fields.push(("cached", &tag));
        }
        let bytes = codec::serve(seq, &fields, body);
        let place = {
            let mut requests = self.town.records.requests.borrow_mut();
            let (connection, sent, budget) = (self.place, clock::now(), budget_ms * MS);
            let (answers, cancelled, whole) = (Vec::new(), None, false);
            let object = number;
            requests.push(Request {
                connection,
                class,
                object,
                group,
                cached,
                sent,
                budget,
                answers,
                cancelled,
                whole,
            });
            requests.len() - 1
        };
        self.town.places.borrow_mut().insert(rid, place);
        self.open.borrow_mut().insert(seq, place);
        let pieces = if self.habit == Habit::Pieces { random.random_range(2..5) } else { 1 };
        for piece in bytes.chunks(bytes.len().div_ceil(pieces)) {
            if pieces > 1 {
                Timer::after(Duration::from_millis(random.random_range(1..80))).await;
            }
            // The time counts from the last byte; a router that is quick answers before this task goes on.
            self.town.records.requests.borrow_mut()[place].sent = clock::now();
            stream.write_all(piece).await?;
        }
        self.town.records.requests.borrow_mut()[place].whole = true;
        Ok(())
    }

    async fn cancel(&self, mut stream: &Async<TcpStream>, seq: i32) {
        let Some(place) = self.open.borrow().get(&seq).copied() else { return };
        // Noted behind the write: a router can't know before.
        if stream.write_all(&codec::forget(seq)).await.is_ok() {
            self.town.records.requests.borrow_mut()[place].cancelled = Some(clock::now());
            self.open.borrow_mut().remove(&seq);
        }
    }
}

/// What an answer says.
fn word(answer: Answer) -> Word {
    match answer {
        Answer::Served(body, _) if body.is_empty() => Word::Current,
        Answer::Served(body, _) => {
            let copy = codec::read_marked_body(&body);
            Word::Served(copy.map(|(object, stamp, whole)| Copy { object, stamp, whole }))
        }
        Answer::Refused(_) => Word::Refused,
        Answer::Failed => Word::Failed,
    }
}
