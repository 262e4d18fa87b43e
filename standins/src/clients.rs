//! Clients that send on time, whatever the answers do, and hold the router to one final answer an item.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use hdrhistogram::Histogram;
use silverspindle_wire::clock;
use silverspindle_wire::framing::MessageReader;

use crate::codec::{self, Answer};
use crate::{Micros, office};

/// A router takes no more than this on one connection; less is used.
const MOST_OPEN: usize = 24;
/// How long a client waits, and the time in which an answer is worth all.
pub const BUDGET: Micros = 2_000_000;
/// See [`BUDGET`].
pub const AIM: Micros = 400_000;
/// An answer may come so much after the budget's end: the way back.
const GRACE: Micros = 100_000;

/// What became of items.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Sent.
    pub sent: u64,
    /// Served whole, and of them in the wanted time.
    pub served: u64,
    /// See `served`.
    pub in_time: u64,
    /// Refused, and of them with advice.
    pub refused: u64,
    /// See `refused`.
    pub advised: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer, as their connection ended: the router was killed.
    pub cut: u64,
    /// Without an answer though the router lived: must be none.
    pub lost: u64,
    /// Answered twice, unasked, or with wrong bytes: must be none.
    pub wrong: u64,
    /// Time to a served answer, in microseconds from when the item was due.
    pub times: Histogram<u64>,
    /// Of pages and of scans: how many were sent, and served in the wanted time.
    pub classes: [(u64, u64); 2],
    /// When each served answer came and how long it had taken, to look at windows of time.
    pub trace: Vec<(Micros, Micros)>,
    /// Which copies pages were served from.
    pub copies: Vec<ServedCopy>,
}

/// A copy that a client was served from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedCopy {
    /// When the item was due, in Unix microseconds.
    pub due: Micros,
    /// What was asked for.
    pub object: u64,
    /// When the head office gave the copy out, in Unix microseconds.
    pub stamp: Micros,
}

impl Default for Tally {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, 60_000_000, 3);
        let times = times.unwrap_or_else(|_| unreachable!("bounds that hdrhistogram takes"));
        let [sent, served, in_time, refused, advised, failed, cut, lost, wrong] = [0; 9];
        let (classes, trace, copies) = Default::default();
        Self {
            sent,
            served,
            in_time,
            refused,
            advised,
            failed,
            cut,
            lost,
            wrong,
            times,
            classes,
            trace,
            copies,
        }
    }
}

impl Tally {
    /// Every item has its one final answer, but those that a kill cut off.
    pub fn is_good(&self) -> bool {
        let ended = self.served + self.refused + self.failed + self.cut;
        self.lost == 0 && self.wrong == 0 && ended == self.sent
    }
}

/// An item on its way.
#[derive(Clone, Debug)]
struct Item {
    object: u64,
    part: u64,
    write: bool,
    due: Micros,
}

#[derive(Debug)]
struct Connection {
    stream: Rc<Async<TcpStream>>,
    open: RefCell<HashMap<i32, Item>>,
    next: Cell<i32>,
    dead: Cell<bool>,
}

/// The clients of one router.
#[derive(Debug)]
pub struct Clients {
    /// Its number, in front of their ids.
    router: u8,
    address: Cell<SocketAddr>,
    connections: RefCell<Vec<Rc<Connection>>>,
    rids: Cell<u64>,
    /// What became of their items.
    pub tally: RefCell<Tally>,
}

impl Clients {
    /// Clients of the router of this number.
    pub fn new(router: u8, address: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            router,
            address: Cell::new(address),
            connections: RefCell::default(),
            rids: Cell::new(0),
            tally: RefCell::default(),
        })
    }

    async fn connect(self: &Rc<Self>, tasks: &Rc<LocalExecutor<'static>>) -> io::Result<Rc<Connection>> {
        let stream = Rc::new(Async::<TcpStream>::connect(self.address.get()).await?);
        stream.get_ref().set_nodelay(true)?;
        let connection = Rc::new(Connection {
            stream: stream.clone(),
            open: RefCell::default(),
            next: Cell::new(1),
            dead: Cell::new(false),
        });
        let (own, line) = (self.clone(), connection.clone());
        let read = async move {
            let mut answers = MessageReader::new(&*stream, codec::measure_answer, 16 * 1024);
            while let Ok(Some(frame)) = answers.next().await {
                own.answered(&line, &frame);
            }
            line.dead.set(true);
            own.tally.borrow_mut().cut += line.open.borrow_mut().drain().count() as u64;
            own.connections.borrow_mut().retain(|c| !Rc::ptr_eq(c, &line));
        };
        tasks.spawn(read).detach();
        self.connections.borrow_mut().push(connection.clone());
        Ok(connection)
    }

    /// Whether the router says that it is well.
    pub async fn well(self: &Rc<Self>) -> bool {
        let Ok(mut stream) = Async::<TcpStream>::connect(self.address.get()).await else { return false };
        if stream.write_all(&codec::is_well(1)).await.is_err() {
            return false;
        }
        let mut answers = MessageReader::new(&mut stream, codec::measure_answer, 1024);
        let frame = answers.next().await.ok().flatten();
        frame.is_some_and(|f| matches!(codec::answer(&f), Ok((1, Answer::Served(_, true)))))
    }

    /// Sends an item that was due then. One that can't be sent, as no connection comes up, counts as cut.
    pub async fn send(
        self: &Rc<Self>,
        tasks: &Rc<LocalExecutor<'static>>,
        due: Micros,
        object: u64,
        write: bool,
    ) {
        {
            let mut tally = self.tally.borrow_mut();
            tally.sent += 1;
            tally.classes[usize::from(write)].0 += 1;
        }
        let idle = self.connections.borrow().iter().find(|c| c.open.borrow().len() < MOST_OPEN).cloned();
        let connection = match idle {
            Some(connection) => Ok(connection),
            None => self.connect(tasks).await,
        };
        let Ok(connection) = connection else {
            self.tally.borrow_mut().cut += 1;
            return;
        };
        let seq = connection.next.get();
        connection.next.set(seq + 1);
        self.rids.set(self.rids.get() + 1);
        // Ids never come again, also not from a process that starts within the same day.
        let rid = format!(
            "{:02x}{:014x}",
            self.router,
            (self.rids.get() << 24 | due >> 10 & 0xff_ffff) & ((1 << 56) - 1)
        );
        let (name, part) = (format!("{object:016x}"), 0);
        let group = group(object).to_string();
        let token = format!("{rid}{name}");
        let mut fields = vec![
            ("method", if write { "scan" } else { "page" }),
            ("rid", rid.as_str()),
            ("budget", "2000"),
            ("obj", &name),
            ("block", "0"),
            ("family", &group),
            ("mem", "40"),
        ];
        if write {
            fields.push(("token", &token));
        }
        let item = Item { object, part, write, due };
        connection.open.borrow_mut().insert(seq, item);
        let body: &[u8] = if write { b"scanned" } else { b"" };
        let frame = codec::serve(seq, &fields, body);
        if (&*connection.stream).write_all(&frame).await.is_err()
            && connection.open.borrow_mut().remove(&seq).is_some()
        {
            self.tally.borrow_mut().cut += 1;
        }
    }

    fn answered(&self, line: &Connection, frame: &[u8]) {
        let now = clock::now();
        let mut tally = self.tally.borrow_mut();
        let Ok((seq, answer)) = codec::answer(frame) else {
            tally.wrong += 1;
            return;
        };
        let Some(item) = line.open.borrow_mut().remove(&seq) else {
            tally.wrong += 1;
            return;
        };
        let took = now.saturating_sub(item.due);
        if took > BUDGET + GRACE {
            tally.lost += 1;
            return;
        }
        match answer {
            Answer::Served(bytes, _) if whole(&item, &bytes) => {
                tally.served += 1;
                tally.in_time += u64::from(took <= AIM);
                tally.classes[usize::from(item.write)].1 += u64::from(took <= AIM);
                tally.trace.push((now, took));
                let stamp = stamp(&bytes).filter(|_| !item.write);
                let copy = stamp.map(|stamp| ServedCopy { due: item.due, object: item.object, stamp });
                tally.copies.extend(copy);
                let _ = tally.times.record(took.max(1));
            }
            Answer::Served(..) => tally.wrong += 1,
            Answer::Refused(advice) => {
                tally.refused += 1;
                tally.advised += u64::from(advice.is_some());
            }
            Answer::Failed => tally.failed += 1,
        }
    }

    /// Items that have waited longer than any answer may take: they are lost.
    pub fn overdue(&self) {
        let now = clock::now();
        for connection in self.connections.borrow().iter() {
            let mut open = connection.open.borrow_mut();
            let before = open.len();
            open.retain(|_, item| now.saturating_sub(item.due) <= BUDGET + GRACE);
            self.tally.borrow_mut().lost += (before - open.len()) as u64;
        }
    }

    /// Items without an answer yet.
    pub fn open(&self) -> usize {
        self.connections.borrow().iter().map(|c| c.open.borrow().len()).sum()
    }
}

/// The group of an object: the low byte of its number.
pub fn group(object: u64) -> u64 {
    object % 256
}

fn whole(item: &Item, bytes: &[u8]) -> bool {
    if item.write {
        return bytes == b"done";
    }
    stamp(bytes).is_some_and(|stamp| office::body(item.object, item.part, stamp) == bytes)
}

/// When the copy with these bytes was given out.
fn stamp(bytes: &[u8]) -> Option<Micros> {
    let text = String::from_utf8_lossy(bytes);
    text.split_once('@').and_then(|(_, rest)| rest.split_once(';')?.0.parse().ok())
}
