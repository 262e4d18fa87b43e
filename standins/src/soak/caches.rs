//! Caches that answer from nothing, as their fault and the seed let them, and record each attempt and how it ended.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use silverspindle_wire::clock::{self, Stamp};
use silverspindle_wire::framing::MessageReader;
use silverspindle_wire::resp;
use socket2::SockRef;

use super::record::{Attempt, AttemptEnd, Purged, Records};
use super::terms::CLEARED;
use crate::Micros;
use crate::codec;

const CHUNK: usize = 16 * 1024;
const MS: Micros = 1000;
/// Milliseconds that an answer takes, at most, where nothing is wrong; and where the cache is slow.
const USUAL_MS: u64 = 300;
const SLOW_MS: u64 = 1500;
/// Bytes of an answer, at most; and of one in so many, which is large.
const MOST_BYTES: usize = 20_000;
const LARGE_BYTES: usize = 200_000;
const LARGE_EVERY: u32 = 4;
/// Where nothing is wrong one answer in so many is another word, or spoilt.
const ODD_EVERY: u32 = 8;
/// A second answer comes so long after the first.
const SECOND_ANSWER: Duration = Duration::from_millis(4);
/// Caches drop purged copies so much sooner than they have to.
const SOONER: Micros = 100 * MS;
/// So often a connection looks whether its cache has crashed or it has rested for too long.
const LOOK: Duration = Duration::from_millis(20);

/// What is wrong with a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It reads and answers nothing.
    Hang,
    /// It takes long.
    Slow,
    /// It resets the connection at each command.
    Reset,
    /// It answers late or never, half and half.
    Late,
    /// It answers all with an error.
    Errors,
    /// Half of its answers are spoilt.
    Spoils,
}

/// How an attempt is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Hit,
    None,
    Shed,
    Fault,
    Late,
    Half,
    Stalled,
    Garbage,
    OddWord,
    Twice,
    /// It calls a copy current that the client does not hold.
    WrongCopy,
}

const SPOILT: [Reply; 5] = [Reply::Half, Reply::Stalled, Reply::Garbage, Reply::OddWord, Reply::WrongCopy];
const ODD: [Reply; 10] = [
    Reply::None,
    Reply::Shed,
    Reply::Fault,
    Reply::Late,
    Reply::Half,
    Reply::Stalled,
    Reply::Garbage,
    Reply::OddWord,
    Reply::Twice,
    Reply::WrongCopy,
];

impl Reply {
    fn name(self) -> &'static str {
        match self {
            Reply::Hit => "HIT",
            Reply::None => "NONE",
            Reply::Shed => "SHED",
            Reply::Fault => "FAULT",
            Reply::Late => "LATE",
            Reply::Half => "half an answer and a close",
            Reply::Stalled => "half an answer and silence",
            Reply::Garbage => "garbage",
            Reply::OddWord => "an odd word",
            Reply::Twice => "HIT twice",
            Reply::WrongCopy => "VALID of another copy",
        }
    }

    /// The protocol's page: these three never ran.
    fn end(self) -> AttemptEnd {
        match self {
            Reply::None | Reply::Shed | Reply::Late => AttemptEnd::NeverRan,
            _ => AttemptEnd::MayHaveRun,
        }
    }
}

/// A copy as a cache holds it.
#[derive(Clone, Copy, Debug)]
struct Held {
    stamp: Micros,
    bytes: usize,
}

/// One of them.
#[derive(Debug)]
pub struct Cache {
    /// Its number.
    pub number: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is wrong with it.
    pub fault: Cell<Option<Fault>>,
    /// How often it has crashed: connections of an earlier life are reset.
    life: Cell<u64>,
    /// It is down: nobody listens.
    is_down: Cell<bool>,
    records: Rc<Records>,
    /// Requests by id, to their places.
    places: Rc<RefCell<HashMap<String, usize>>>,
    random: RefCell<Pcg64Mcg>,
    held: RefCell<HashMap<(u64, usize), Held>>,
}

/// The attempts that are open on a connection, by id, to their places.
type Open = Rc<RefCell<HashMap<String, usize>>>;

/// A command, as far as the answer goes by it.
struct Want {
    id: String,
    place: usize,
    reply: Reply,
    wait: Duration,
    write: bool,
    /// The client holds this very copy, and it is passed on.
    is_current: bool,
    held: Held,
    object: u64,
}

impl Cache {
    /// Listens and serves.
    pub fn start(
        tasks: &Rc<LocalExecutor<'static>>,
        number: usize,
        records: &Rc<Records>,
        places: &Rc<RefCell<HashMap<String, usize>>>,
        random: Pcg64Mcg,
        listener: TcpListener,
    ) -> io::Result<Rc<Self>> {
        let address = listener.local_addr()?;
        let cache = Rc::new(Self {
            number,
            address,
            fault: Cell::new(None),
            life: Cell::new(0),
            is_down: Cell::new(false),
            records: records.clone(),
            places: places.clone(),
            random: RefCell::new(random),
            held: RefCell::default(),
        });
        tasks.spawn(cache.clone().accept(Async::new(listener)?, tasks.clone())).detach();
        Ok(cache)
    }

    /// Its process dies, its connections are reset, and for so long nobody takes new ones; then it is back without a copy.
    pub async fn crash(&self, lasts: Duration) {
        self.is_down.set(true);
        self.life.set(self.life.get() + 1);
        self.held.borrow_mut().clear();
        Timer::after(lasts).await;
        self.is_down.set(false);
    }

    async fn accept(self: Rc<Self>, listener: Async<TcpListener>, tasks: Rc<LocalExecutor<'static>>) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.is_down.get() {
                let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
                continue;
            }
            let (own, more) = (self.clone(), tasks.clone());
            let serve = async move {
                let (stream, open) = (Rc::new(stream), Open::default());
                let _ = own.serve(&stream, &open, &more).await;
                // What was out on it is over with it.
                let now = clock::now();
                let left: Vec<usize> = open.borrow_mut().drain().map(|(_, place)| place).collect();
                left.into_iter()
                    .for_each(|place| own.records.attempt_ended(place, now, AttemptEnd::MayHaveRun));
            };
            tasks.spawn(serve).detach();
        }
    }

    async fn serve(
        self: &Rc<Self>,
        stream: &Rc<Async<TcpStream>>,
        open: &Open,
        tasks: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<()> {
        let life = self.life.get();
        let mut commands = MessageReader::new(&**stream, codec::measure_command, CHUNK);
        let mut used = clock::now();
        loop {
            let look = async {
                Timer::after(LOOK).await;
                Ok::<_, io::Error>(None)
            };
            let next = async {
                let frame = commands.next().await?;
                Ok(Some(frame.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?))
            };
            let frame = future::or(next, look).await?;
            if self.life.get() != life {
                SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))?;
                return Ok(());
            }
            let Some(frame) = frame else {
                let idle = clock::now().saturating_sub(used) >= self.records.terms.idle_close;
                if open.borrow().is_empty() && idle {
                    return Ok(());
                }
                continue;
            };
            used = clock::now();
            match codec::command(&frame)?[..] {
                [b"want", id, fields, _] => {
                    let want =
                        self.want(&String::from_utf8_lossy(id), &String::from_utf8_lossy(fields), used)?;
                    open.borrow_mut().insert(want.id.clone(), want.place);
                    if self.fault.get() == Some(Fault::Reset) {
                        SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))?;
                        return Ok(());
                    }
                    if !self.answers() {
                        continue;
                    }
                    let (own, stream, open) = (self.clone(), stream.clone(), open.clone());
                    tasks.spawn(async move { drop(own.answer(&stream, &open, want).await) }).detach();
                }
                [b"never_mind", id] => {
                    if let Some(place) = open.borrow_mut().remove(&*String::from_utf8_lossy(id)) {
                        self.records.attempt_ended(place, used, AttemptEnd::MayHaveRun);
                    }
                }
                _ => {}
            }
        }
    }

    /// Notes an attempt and draws how it is answered.
    fn want(&self, id: &str, fields: &str, arrived: Micros) -> io::Result<Want> {
        let request = self.places.borrow().get(id).copied();
        let request = request.ok_or_else(|| io::Error::other("a request that nobody sent"))?;
        let source =
            codec::field(fields, "fetch").and_then(|id| u32::from_str_radix(id.strip_prefix("s-")?, 16).ok());
        let number = |name| codec::field(fields, name).and_then(|text| text.parse::<u64>().ok());
        let (ttl, newer) = (number("ttl").unwrap_or(0) * MS, number("newer").map(|ms| ms * MS));
        let (class, object, group) = {
            let request = &self.records.requests.borrow()[request];
            (request.class, request.object, request.group)
        };
        let terms = self.records.terms.classes[class];
        let limit = newer.or((terms.fresh > 0).then_some(terms.fresh));
        let held = match codec::field(fields, "fetch") {
            _ if terms.write => Some(self.fill(0, 0)),
            Some(_) => Some(
                self.copy(object, class, group, limit)
                    .unwrap_or_else(|| self.fill(limit.unwrap_or(0), self.cleared(object, group))),
            ),
            None => self.copy(object, class, group, limit),
        };
        let reply = if held.is_none() { Reply::None } else { self.reply() };
        let held = held.unwrap_or(Held { stamp: 0, bytes: 0 });
        if reply != Reply::None {
            self.held.borrow_mut().insert((object, class), held);
        }
        let place = {
            let mut attempts = self.records.attempts.borrow_mut();
            let (cache, answer, ended) = (self.number, reply.name(), None);
            attempts.push(Attempt { request, cache, arrived, ttl, source, newer, answer, ended });
            attempts.len() - 1
        };
        let is_current = codec::field(fields, "holds").is_some_and(|tag| tag == codec::tag(held.stamp));
        let (id, wait, write) = (id.to_owned(), self.wait(), terms.write);
        Ok(Want { id, place, reply, wait, write, is_current, held, object })
    }

    /// Caches and sources have no copy from before then: they drop purged ones as late as the pages allow.
    fn cleared(&self, object: u64, group: u16) -> Micros {
        let now = Stamp::now().as_micros();
        let purges = self.records.purges.borrow();
        let own = purges.iter().filter(|purge| match purge.what {
            Purged::Object(key) => key == object,
            Purged::Group(key) => key == group,
        });
        own.map(|purge| purge.at).filter(|at| now > at + CLEARED - SOONER).max().unwrap_or(0)
    }

    /// The copy that it holds, if it is young enough.
    fn copy(&self, object: u64, class: usize, group: u16, limit: Option<Micros>) -> Option<Held> {
        let held = *self.held.borrow().get(&(object, class))?;
        let now = Stamp::now().as_micros();
        let young = limit.is_none_or(|limit| now.saturating_sub(held.stamp) < limit);
        (young && held.stamp > self.cleared(object, group)).then_some(held)
    }

    /// A copy from the source, which may have held it for a while, but not from before this time.
    fn fill(&self, limit: Micros, after: Micros) -> Held {
        let mut random = self.random.borrow_mut();
        let age = if limit > 0 { random.random_range(0..limit) } else { 0 };
        let bytes = match random.random_ratio(1, LARGE_EVERY) {
            true => random.random_range(MOST_BYTES..LARGE_BYTES),
            false => random.random_range(1..MOST_BYTES),
        };
        // On the wire a stamp has milliseconds.
        let stamp = (Stamp::now().as_micros() - age).max(after + MS);
        Held { stamp: stamp / MS * MS, bytes }
    }

    fn reply(&self) -> Reply {
        let mut random = self.random.borrow_mut();
        match self.fault.get() {
            Some(Fault::Errors) => Reply::Fault,
            Some(Fault::Spoils) if random.random_bool(0.5) => SPOILT[random.random_range(0..SPOILT.len())],
            _ if random.random_ratio(1, ODD_EVERY) => ODD[random.random_range(0..ODD.len())],
            _ => Reply::Hit,
        }
    }

    /// Whether an answer comes at all.
    fn answers(&self) -> bool {
        match self.fault.get() {
            Some(Fault::Hang) => false,
            Some(Fault::Late) => self.random.borrow_mut().random_bool(0.5),
            _ => true,
        }
    }

    /// How long an answer takes.
    fn wait(&self) -> Duration {
        let most = match self.fault.get() {
            Some(Fault::Slow | Fault::Late) => SLOW_MS,
            _ => USUAL_MS,
        };
        Duration::from_millis(self.random.borrow_mut().random_range(1..most))
    }

    async fn answer(&self, mut stream: &Async<TcpStream>, open: &Open, want: Want) -> io::Result<()> {
        Timer::after(want.wait).await;
        // Given up meanwhile.
        let Some(place) = open.borrow_mut().remove(&want.id) else { return Ok(()) };
        self.records.attempt_ended(place, clock::now(), want.reply.end());
        let Held { stamp, bytes } = want.held;
        let body = codec::marked_body(want.object, stamp, bytes);
        let fields = match want.write {
            true => "why=deep_fill".to_owned(),
            false => format!("version={},stamp={},why=warm", codec::tag(stamp), stamp / MS),
        };
        let id = want.id.as_bytes();
        let hit = match want.is_current {
            true => resp::encode_array(&[id, b"VALID", fields.as_bytes(), b""]),
            false => resp::encode_array(&[id, b"HIT", fields.as_bytes(), &body]),
        };
        match want.reply {
            Reply::Hit => stream.write_all(&hit).await,
            Reply::Twice => {
                stream.write_all(&hit).await?;
                Timer::after(SECOND_ANSWER).await;
                stream.write_all(&hit).await
            }
            Reply::Half => {
                stream.write_all(&hit[..hit.len() / 2]).await?;
                stream.get_ref().shutdown(std::net::Shutdown::Both)
            }
            Reply::Stalled => stream.write_all(&hit[..hit.len() / 2]).await,
            Reply::WrongCopy => {
                let fields = format!("version={},stamp={}", codec::tag(stamp + 1), stamp / MS);
                stream.write_all(&resp::encode_array(&[id, b"VALID", fields.as_bytes(), b""])).await
            }
            Reply::Garbage => stream.write_all(b"\x00\xff not an answer\r\n").await,
            Reply::OddWord => stream.write_all(&resp::encode_array(&[id, b"PERHAPS", b"-", b""])).await,
            word => stream.write_all(&resp::encode_array(&[id, word.name().as_bytes(), b"-", b""])).await,
        }
    }
}
