//! Boxes, parents and a head office: servers that take time, stores that fill and forget, a cold start, faults.
//! Boxes listen; what they fetch from parents and head office goes by calls, as only the boxes meet the router.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use silverspindle_wire::feed::PurgeTarget;
use silverspindle_wire::framing::MessageReader;
use silverspindle_wire::{clock, resp};

use crate::clients;
use crate::codec;
use crate::{Micros, SECOND};

const CHUNK: usize = 32 * 1024;
/// A cold server starts with this part of its speed and has all of it after so long.
const COLD_FROM: f64 = 0.2;
const COLD_TIME: Micros = 16 * SECOND;
/// Repeats of a write under one key are dropped for so long.
const DEDUP: Micros = 2 * SECOND;

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It reads and answers nothing.
    Stall,
    /// It resets each connection at the next command.
    Reset,
    /// It takes so many times as long.
    Slow(f64),
    /// It turns all away.
    Shed,
}

/// Servers that work one after the other on what comes.
#[derive(Debug)]
pub struct Servers {
    free: RefCell<Vec<Micros>>,
    service: Micros,
    /// So long a queue turns away.
    patience: Micros,
    /// When it started; 0: long ago.
    started: Cell<Micros>,
    /// What is wrong with it.
    pub fault: Cell<Option<Fault>>,
}

impl Servers {
    fn new(servers: usize, service: Micros, patience: Micros) -> Self {
        let free = RefCell::new(vec![0; servers]);
        Self { free, service, patience, started: Cell::new(0), fault: Cell::new(None) }
    }

    /// Starts anew, cold.
    pub fn restart(&self) {
        self.started.set(clock::now());
    }

    /// Books a server; when it is done, or none if the queue is too long.
    fn book(&self) -> Option<Micros> {
        let now = clock::now();
        let age = now.saturating_sub(self.started.get()) as f64 / COLD_TIME as f64;
        let warmth =
            if self.started.get() == 0 { 1.0 } else { (COLD_FROM + (1.0 - COLD_FROM) * age).min(1.0) };
        let slow = if let Some(Fault::Slow(times)) = self.fault.get() { times } else { 1.0 };
        let time = (self.service as f64 * slow / warmth) as Micros;
        let mut free = self.free.borrow_mut();
        let next = free.iter_mut().min()?;
        let begin = now.max(*next);
        if begin - now > self.patience || self.fault.get() == Some(Fault::Shed) {
            return None;
        }
        *next = begin + time;
        Some(*next)
    }

    async fn work(&self) -> bool {
        match self.book() {
            Some(done) => {
                clock::timer_at(done).await;
                true
            }
            None => false,
        }
    }
}

/// An object's part, as a class asks for it.
type Key = (u64, u64, String);

/// Copies up to a number, the lowest rank dropped first, in it what was used longest ago.
#[derive(Debug)]
pub struct Store {
    room: usize,
    copies: HashMap<Key, (u8, u64, Micros, u64)>,
    order: BTreeMap<(u8, u64), Key>,
    uses: u64,
    purges: HashMap<PurgeTarget, Micros>,
}

impl Store {
    fn new(room: usize) -> Self {
        Self { room, copies: HashMap::new(), order: BTreeMap::new(), uses: 0, purges: HashMap::new() }
    }

    /// When the copy was given out, if there is one that no purge concerns and that is young enough.
    fn get(&mut self, key: &Key, group: u64, rank: u8, max_age: Micros) -> Option<Micros> {
        let (old, used, stamp, _) = *self.copies.get(key)?;
        let names = [PurgeTarget::Object(key.0), PurgeTarget::Group(group)];
        let purged = names.iter().filter_map(|name| self.purges.get(name)).any(|at| stamp <= *at);
        if purged || clock::now().saturating_sub(stamp) > max_age {
            return None;
        }
        self.uses += 1;
        let rank = if rank > 0 { rank } else { old };
        self.order.remove(&(old, used));
        self.order.insert((rank, self.uses), key.clone());
        self.copies.insert(key.clone(), (rank, self.uses, stamp, group));
        Some(stamp)
    }

    fn put(&mut self, key: Key, group: u64, rank: u8, stamp: Micros) {
        if rank == 0 {
            return;
        }
        if let Some((old, used, ..)) = self.copies.remove(&key) {
            self.order.remove(&(old, used));
        }
        while self.copies.len() >= self.room {
            // A new copy pushes out no higher rank.
            let Some(((lowest, _), _)) = self.order.first_key_value() else { return };
            if *lowest > rank {
                return;
            }
            if let Some((_, victim)) = self.order.pop_first() {
                self.copies.remove(&victim);
            }
        }
        self.uses += 1;
        self.order.insert((rank, self.uses), key.clone());
        self.copies.insert(key, (rank, self.uses, stamp, group));
    }
}

/// What was seen of requests that came by one router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts that reached a box.
    pub attempts: u64,
    /// Answered from a box's own copy.
    pub hits: u64,
    /// Filled from a parent's copy.
    pub parent_fills: u64,
    /// What reached the head office: reads.
    pub office_reads: u64,
    /// What reached the head office: writes that ran.
    pub office_writes: u64,
    /// Writes that the head office dropped as repeats.
    pub repeats: u64,
    /// Turned away.
    pub shed: u64,
    /// New work 1 s and more after its box was told to drain; must be none.
    pub after_drain: u64,
}

/// A box or a parent.
#[derive(Debug)]
pub struct Tier {
    /// Its id.
    pub id: u32,
    /// Its servers.
    pub servers: Servers,
    store: RefCell<Store>,
    /// When it was told to drain.
    pub drained: Cell<Option<Micros>>,
}

/// What an office is made of.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Boxes.
    pub boxes: u32,
    /// Copies that each keeps.
    pub box_room: usize,
    /// Parents.
    pub parents: u32,
    /// Copies that each keeps.
    pub parent_room: usize,
}

/// All of it.
#[derive(Debug)]
pub struct Office {
    boxes: Vec<(Tier, SocketAddr)>,
    parents: Vec<Tier>,
    /// The head office's servers.
    pub head: Servers,
    /// Reads at the head office, by object.
    pub reads: RefCell<HashMap<u64, u64>>,
    /// When each read reached the head office.
    pub arrivals: RefCell<Vec<Micros>>,
    /// Writes that ran at the head office, by key, with when.
    pub writes: RefCell<HashMap<String, (u64, Micros)>>,
    counts: RefCell<BTreeMap<u8, Counts>>,
}

/// The bytes of a copy: any party can tell whether they are whole.
pub fn body(object: u64, part: u64, stamp: Micros) -> Vec<u8> {
    let length = 200 + (object % 1800) as usize;
    let word = format!("{object:016x}/{part}@{stamp};");
    word.bytes().cycle().take(length).collect()
}

/// The head office's id; boxes count from 1, parents from 51.
pub const HEAD: u32 = 99;
const PARENTS: u32 = 51;

impl Office {
    /// Builds it; boxes listen on loopback.
    pub fn start(tasks: &Rc<LocalExecutor<'static>>, plan: Plan) -> io::Result<Rc<Self>> {
        let tier = |id, servers, room| Tier {
            id,
            servers,
            store: RefCell::new(Store::new(room)),
            drained: Cell::new(None),
        };
        let (mut boxes, mut listeners) = (Vec::new(), Vec::new());
        for id in 1..=plan.boxes {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
            let address = listener.get_ref().local_addr()?;
            listeners.push(listener);
            boxes.push((tier(id, Servers::new(16, 3_000, 300_000), plan.box_room), address));
        }
        let parent = |n| tier(PARENTS + n, Servers::new(32, 8_000, 500_000), plan.parent_room);
        let office = Rc::new(Self {
            boxes,
            parents: (0..plan.parents).map(parent).collect(),
            head: Servers::new(8, 25_000, 1_000_000),
            reads: RefCell::default(),
            arrivals: RefCell::default(),
            writes: RefCell::default(),
            counts: RefCell::default(),
        });
        for (n, listener) in listeners.into_iter().enumerate() {
            let (office, all) = (office.clone(), tasks.clone());
            let accept = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (office, own) = (office.clone(), all.clone());
                    all.spawn(async move { drop(office.connection(n, stream, own).await) }).detach();
                }
            };
            tasks.spawn(accept).detach();
        }
        Ok(office)
    }

    /// Every member as the coordinator lists it at the start.
    pub fn members(&self) -> Vec<codec::Member> {
        let nobody = ([127, 0, 0, 1], 1).into();
        let member = |id, kind, weight, address| codec::Member {
            id,
            state: 0,
            kind,
            cell: 0,
            weight,
            started_ms: 0,
            address,
        };
        let boxes = self.boxes.iter().map(|(b, address)| member(b.id, 0, 16, *address));
        let parents = self.parents.iter().map(|p| member(p.id, 1, 32, nobody));
        boxes.chain(parents).chain([member(HEAD, 2, 8, nobody)]).collect()
    }

    /// A box or parent.
    pub fn tier(&self, id: u32) -> Option<&Tier> {
        self.boxes.iter().map(|(b, _)| b).chain(&self.parents).find(|t| t.id == id)
    }

    /// What came by each router so far, by its number, which clients put in front of their ids.
    pub fn counts(&self) -> BTreeMap<u8, Counts> {
        self.counts.borrow().clone()
    }

    /// Copies of an object or a group that are no younger are of no use any more.
    pub fn purge(&self, what: PurgeTarget, at: Micros) {
        for tier in self.boxes.iter().map(|(b, _)| b).chain(&self.parents) {
            tier.store.borrow_mut().purges.insert(what, at);
        }
    }

    fn count(&self, router: u8, how: impl FnOnce(&mut Counts)) {
        how(self.counts.borrow_mut().entry(router).or_default());
    }

    async fn connection(
        self: Rc<Self>,
        n: usize,
        stream: Async<TcpStream>,
        tasks: Rc<LocalExecutor<'static>>,
    ) -> io::Result<()> {
        let stream = Rc::new(stream);
        let (own, _) = &self.boxes[n];
        let (write, written) = async_channel::unbounded::<Vec<u8>>();
        let out = stream.clone();
        let writer = async move {
            while let Ok(bytes) = written.recv().await {
                if (&*out).write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        tasks.spawn(writer).detach();
        let mut commands = MessageReader::new(&*stream, codec::measure_command, CHUNK);
        while let Some(frame) = commands.next().await? {
            match own.servers.fault.get() {
                Some(Fault::Stall) => continue,
                Some(Fault::Reset) => return stream.get_ref().shutdown(std::net::Shutdown::Both),
                _ => {}
            }
            let strings = codec::command(&frame)?;
            let text =
                |i: usize| String::from_utf8_lossy(strings.get(i).copied().unwrap_or_default()).into_owned();
            match strings.first() {
                Some(&b"want") => {
                    let (office, write, rid, fields) = (self.clone(), write.clone(), text(1), text(2));
                    let answer = async move {
                        let (word, why, stamp, body) = office.want(n, &rid, &fields).await;
                        let named = match stamp {
                            Some(stamp) => format!("version={stamp:x},stamp={},why={why}", stamp / 1000),
                            None => format!("why={why}"),
                        };
                        let strings = [rid.as_bytes(), word.as_bytes(), named.as_bytes(), &body];
                        let _ = write.send(resp::encode_array(&strings)).await;
                    };
                    tasks.spawn(answer).detach();
                }
                Some(&(b"there" | b"busy")) => {
                    let pong = resp::encode_array(&[text(1).as_bytes(), b"PONG", b"-", b""]);
                    let _ = write.send(pong).await;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// One attempt at a box: the word, the note, the copy's stamp, the bytes.
    async fn want(
        &self,
        n: usize,
        rid: &str,
        fields: &str,
    ) -> (&'static str, &'static str, Option<Micros>, Vec<u8>) {
        let none = |word, why| (word, why, None, Vec::new());
        let (own, _) = &self.boxes[n];
        let router = u8::from_str_radix(rid.get(..2).unwrap_or_default(), 16).unwrap_or_default();
        self.count(router, |c| c.attempts += 1);
        let late = |tier: &Tier| tier.drained.get().is_some_and(|at| clock::now() >= at + SECOND);
        let source =
            codec::field(fields, "fetch").and_then(|s| u32::from_str_radix(s.strip_prefix("s-")?, 16).ok());
        let parent = source.and_then(|id| self.parents.iter().find(|p| p.id == id));
        if late(own) || parent.is_some_and(late) {
            self.count(router, |c| c.after_drain += 1);
        }
        let number = |name: &str| codec::field(fields, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let object = codec::field(fields, "name").and_then(|o| u64::from_str_radix(o, 16).ok()).unwrap_or(0);
        if !own.servers.work().await {
            self.count(router, |c| c.shed += 1);
            return none("SHED", "jammed");
        }
        if let Some(key) = codec::field(fields, "dedupe") {
            return self.write(router, key).await;
        }
        let (part, rank) = (number("piece"), number("retain") as u8);
        let max_age = match number("newer") {
            0 => Micros::MAX,
            ms => ms * 1000,
        };
        let (key, group) =
            ((object, part, codec::field(fields, "lane").unwrap_or("").to_owned()), clients::group(object));
        let held = own.store.borrow_mut().get(&key, group, rank, max_age);
        if let Some(stamp) = held {
            self.count(router, |c| c.hits += 1);
            return ("HIT", "warm", Some(stamp), body(object, part, stamp));
        }
        let Some(source) = source else { return none("NONE", "-") };
        let held_only = codec::field(fields, "handle").is_some_and(|h| h.split('+').any(|w| w == "shallow"));
        let mut stamp = None;
        if let Some(parent) = parent {
            if !parent.servers.work().await {
                return none("SHED", "bounced");
            }
            stamp = parent.store.borrow_mut().get(&key, group, 2, max_age);
            if stamp.is_none() && held_only {
                return none("NONE", "lacking");
            }
        } else if source != HEAD {
            return none("FAULT", "dropped");
        }
        let (stamp, why) = match stamp {
            Some(stamp) => {
                self.count(router, |c| c.parent_fills += 1);
                (stamp, "fill")
            }
            None => {
                self.arrivals.borrow_mut().push(clock::now());
                if !self.head.work().await {
                    return none("FAULT", "backfire");
                }
                self.count(router, |c| c.office_reads += 1);
                *self.reads.borrow_mut().entry(object).or_default() += 1;
                let stamp = clock::now() / 1000 * 1000;
                if let Some(parent) = parent {
                    parent.store.borrow_mut().put(key.clone(), group, 2, stamp);
                }
                (stamp, "deep_fill")
            }
        };
        own.store.borrow_mut().put(key, group, rank, stamp);
        ("HIT", why, Some(stamp), body(object, part, stamp))
    }

    async fn write(&self, router: u8, key: &str) -> (&'static str, &'static str, Option<Micros>, Vec<u8>) {
        if !self.head.work().await {
            return ("FAULT", "backfire", None, Vec::new());
        }
        let now = clock::now();
        let mut writes = self.writes.borrow_mut();
        let slot = writes.entry(key.to_owned()).or_insert((0, 0));
        if slot.0 > 0 && now.saturating_sub(slot.1) < DEDUP {
            self.count(router, |c| c.repeats += 1);
        } else {
            *slot = (slot.0 + 1, now);
            self.count(router, |c| c.office_writes += 1);
        }
        ("HIT", "deep_fill", None, b"done".to_vec())
    }
}

/// Waits, for those who have nothing else to do.
pub async fn rest(time: Micros) {
    Timer::after(Duration::from_micros(time)).await;
}
