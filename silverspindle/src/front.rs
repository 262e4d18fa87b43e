//! Clients' connections: each is read and written by a task of its own and answers every request once.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bitternhold::settings::{Catalogue, place};
use bitternhold::{AgeingFilter, Effect, Micros};
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, future};

use crate::clock;
use crate::drain::{Drain, Seen};
use crate::feed::hex;
use crate::framing::{Malformed, Messages};
use crate::traffic::{Call, Message, Port, Taken, Verdict};
use crate::{invariant, thrift};

/// Requests that may be open on one connection.
pub const MOST_OPEN: usize = 32;
/// Read at a time: an idle connection holds no more.
const CHUNK: usize = 8 * 1024;
/// Bodies up to this are copied behind their head, so that one write does.
const SMALL: usize = 4096;
/// A client that takes nothing for so long is gone.
const STALLED: Duration = Duration::from_secs(10);
/// A connection without an open request is closed after so long: usual clients close theirs after 4 s.
const IDLE: Micros = 5_000_000;
/// So long may pass to the first message of a connection, and within any: who says nothing, or half of
/// something, is owed a close within 3 s.
const SILENT: Micros = 2_500_000;
/// What was used within this is not closed to make room: a request may be on its way.
const IN_USE: Micros = 50_000;
/// Wait for room, or after a failed accept: out of descriptors, say.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Answers that may wait for a connection's writer: the open requests, and as many that were answered
/// while an earlier answer was still being written.
const MOST_ANSWERS: usize = 2 * MOST_OPEN;
/// Advice to a client that is refused before the module sees it.
const REFUSED: Verdict = Verdict::Refused { backoff: Some(200) };
/// Longest text passed on, and the highest part of an object that is believed.
const MOST_TEXT: usize = 128;
const MOST_PART: u64 = u16::MAX as u64;
/// A budget over this multiple of the class's deadline is no figure of a client's.
const OVER_DEADLINE: u64 = 2;
/// A drain looks at every connection so often.
const SWEEP: Duration = Duration::from_millis(25);
/// Ids of requests that are remembered: each may come once.
const RIDS: usize = 8192;
const RIDS_QUIET: Micros = 30_000_000;

/// What the writer has to write.
#[derive(Debug)]
enum Reply {
    Verdict(i32, Verdict),
    Well(i32, bool),
    Unknown(i32, String),
}

/// Descriptors kept for clients: the third of all that they may hold, and a few for those that come and go.
pub fn most_clients(sockets: usize) -> usize {
    sockets / 3 + 8
}

/// A connection as the director and the front see it.
#[derive(Debug)]
struct Connection {
    id: u64,
    /// Answers to requests that were handed on.
    out: Sender<Reply>,
    /// Requests handed on whose answer is not written yet.
    open: Cell<usize>,
    /// Any message came; and when it last had something to do.
    asked: Cell<bool>,
    used: Cell<Micros>,
    cut: Sender<()>,
    held: Cell<usize>,
    owed: Cell<usize>,
    /// Replies of the reader's own, not written yet.
    replies: Cell<usize>,
    front: Rc<Front>,
}

impl Port for Connection {
    fn id(&self) -> u64 {
        self.id
    }

    /// It waits in a queue that the count of open requests bounds.
    fn answer(&self, seq: i32, verdict: Verdict) {
        let bytes = verdict.bytes();
        if self.out.try_send(Reply::Verdict(seq, verdict)).is_ok() {
            self.owe(1, bytes as isize);
            self.front.relieve();
        }
    }

    fn drop_request(&self) {
        self.finished();
    }
}

impl Connection {
    fn seen(&self) -> Seen {
        Seen { open: self.open.get() + self.replies.get(), asked: self.asked.get(), used: self.used.get() }
    }

    fn finished(&self) {
        invariant!(self.open.get() > 0, "more requests finished than taken in");
        self.open.set(self.open.get().saturating_sub(1));
        self.used.set(clock::now());
    }

    /// Books answers that wait to be written, and the bytes of their bodies.
    fn owe(&self, answers: isize, bytes: isize) {
        for (count, change) in [
            (&self.owed, answers),
            (&self.front.unflushed, answers),
            (&self.held, bytes),
            (&self.front.held, bytes),
        ] {
            invariant!(count.get() as isize + change >= 0, "more answers written than given");
            count.set(count.get().saturating_add_signed(change));
        }
    }
}

/// What all connections share.
#[derive(Debug)]
pub struct Front {
    catalogue: Rc<Catalogue>,
    director: Sender<Message>,
    /// Whether it takes clients: `isWell` and the second address are answered from this.
    drain: Rc<RefCell<Drain>>,
    /// Answers not yet written, and bytes of bodies in them; as much is borne.
    unflushed: Cell<usize>,
    held: Cell<usize>,
    most_held: Cell<usize>,
    /// Bytes of writes taken in and not yet finished; as much is borne.
    taken: Rc<Cell<usize>>,
    most_taken: Cell<usize>,
    most_connections: usize,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// Ids of requests that came lately.
    rids: RefCell<AgeingFilter>,
    /// A connection ended.
    freed: (Sender<()>, Receiver<()>),
    /// No more connections are to be taken: a successor takes them.
    stop: (Sender<()>, Receiver<()>),
    /// The drain may have changed: the sweep sleeps on this while the router serves.
    nudged: (Sender<()>, Receiver<()>),
    next: Cell<u64>,
}

impl Front {
    /// A front that hands its requests to the director. A third of the memory may lie in answers that slow
    /// clients have not taken, an eighth in writes.
    pub fn new(
        catalogue: Rc<Catalogue>,
        director: Sender<Message>,
        memory: usize,
        sockets: usize,
        drain: Rc<RefCell<Drain>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            catalogue,
            director,
            drain,
            unflushed: Cell::new(0),
            held: Cell::new(0),
            most_held: Cell::new(memory / 3),
            taken: Rc::default(),
            most_taken: Cell::new(memory / 8),
            most_connections: most_clients(sockets),
            connections: RefCell::default(),
            rids: RefCell::new(AgeingFilter::new(RIDS, RIDS_QUIET)),
            freed: async_channel::bounded(1),
            stop: async_channel::bounded(1),
            nudged: async_channel::bounded(1),
            next: Cell::new(0),
        })
    }

    /// Whoever changes the drain tells the sweep with this.
    pub fn nudger(&self) -> Sender<()> {
        self.nudged.0.clone()
    }

    /// Closes what a drain or an end lets go, for ever: each connection once it owes nothing after the grace.
    /// While the router serves it waits to be nudged, and costs no wake-up.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            if self.drain.borrow().since().is_none() {
                let _ = self.nudged.1.recv().await;
                continue;
            }
            Timer::after(SWEEP).await;
            let now = clock::now();
            let drain = self.drain.borrow();
            for port in self.connections.borrow().values() {
                if drain.close(now, port.seen()) {
                    let _ = port.cut.try_send(());
                }
            }
        }
    }

    /// Takes what waits to be accepted and then no more connections: the listener is closed, and the kernel
    /// sends new ones to the process that shares the address.
    pub fn stop_accepting(&self) {
        let _ = self.stop.0.try_send(());
    }

    /// Clients' connections, and the requests open on them.
    pub fn held(&self) -> (usize, usize) {
        let connections = self.connections.borrow();
        (connections.len(), connections.values().map(|c| c.open.get()).sum())
    }

    /// All answers are written.
    pub fn flushed(&self) -> bool {
        self.unflushed.get() == 0
    }

    /// Of so much memory its parts, from now on.
    pub fn keep_to(&self, memory: usize) {
        self.most_held.set(memory / 3);
        self.most_taken.set(memory / 8);
    }

    /// Guards the memory against slow readers: past the bound, who holds most is cut off.
    fn relieve(&self) {
        if self.held.get() <= self.most_held.get() {
            return;
        }
        if let Some(port) = self.connections.borrow().values().max_by_key(|p| p.held.get()) {
            tracing::warn!(client = port.id, "cut off, {} bytes wait for it", port.held.get());
            let _ = port.cut.try_send(());
        }
    }

    /// Makes room for a client that waits to be accepted. Guards against connections that are held and not
    /// used, which would keep all others out: one without any message goes first, else what was unused for
    /// longest. A connection with an open request stays.
    fn evict(&self) {
        let before = clock::now().saturating_sub(IN_USE);
        let connections = self.connections.borrow();
        let unused = connections.values().filter(|c| c.open.get() == 0 && c.used.get() < before);
        if let Some(port) = unused.min_by_key(|c| (c.asked.get(), c.used.get())) {
            tracing::debug!(client = port.id, "closed to make room");
            let _ = port.cut.try_send(());
        }
    }

    /// Accepts clients, for ever. With all descriptors of clients in use, the next wait until one is free.
    pub async fn accept(
        self: Rc<Self>,
        listener: Async<std::net::TcpListener>,
        tasks: Rc<LocalExecutor<'static>>,
    ) {
        loop {
            let stop = async {
                let _ = self.stop.1.recv().await;
                None
            };
            let Some(accepted) = future::or(async { Some(listener.accept().await) }, stop).await else {
                // What is queued would be reset with the listener: it is taken first.
                let mut queued = 0;
                while let Ok((stream, _)) = listener.get_ref().accept() {
                    let Ok(stream) = Async::new(stream) else { continue };
                    let (id, cuts, answers) = self.admit();
                    tasks.spawn(self.clone().connection(stream, id, cuts, answers)).detach();
                    queued += 1;
                }
                tracing::info!("no more connections taken; {queued} were waiting");
                return;
            };
            while self.connections.borrow().len() >= self.most_connections {
                self.evict();
                let freed = async { self.freed.1.recv().await.is_ok() };
                let later = async { Timer::after(ACCEPT_AGAIN).await < std::time::Instant::now() };
                future::or(freed, later).await;
            }
            match accepted {
                Ok((stream, _)) => {
                    let (id, cuts, answers) = self.admit();
                    tasks.spawn(self.clone().connection(stream, id, cuts, answers)).detach();
                }
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// Enters a new connection.
    fn admit(self: &Rc<Self>) -> (Rc<Connection>, Receiver<()>, Receiver<Reply>) {
        let id = self.next.get();
        self.next.set(id + 1);
        let (out, answers) = async_channel::bounded(MOST_ANSWERS);
        let (cut, cuts) = async_channel::bounded(1);
        let port = Rc::new(Connection {
            id,
            out,
            open: Cell::new(0),
            asked: Cell::new(false),
            used: Cell::new(clock::now()),
            cut,
            held: Cell::new(0),
            owed: Cell::new(0),
            replies: Cell::new(0),
            front: self.clone(),
        });
        self.connections.borrow_mut().insert(id, port.clone());
        (port, cuts, answers)
    }

    async fn connection(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        port: Rc<Connection>,
        cuts: Receiver<()>,
        answers: Receiver<Reply>,
    ) {
        let _ = stream.get_ref().set_nodelay(true);
        let id = port.id;
        // What needs no decision is answered by the reader itself, which waits while that is not taken.
        let (own, direct) = async_channel::bounded(MOST_OPEN);
        let cut_off = async {
            let _ = cuts.recv().await;
            Ok(())
        };
        let write = self.write(&stream, &answers, &direct, &port);
        let ended = future::or(cut_off, future::or(self.read(&stream, own, &port), write)).await;
        if let Err(e) = ended.as_ref().map_err(|e| (e.kind(), e)) {
            match e.0 {
                io::ErrorKind::InvalidData => tracing::warn!(client = id, "{}; closed", e.1),
                _ => tracing::debug!(client = id, "{}", e.1),
            }
        }
        drop(stream);
        // What was not written is not owed any more.
        self.connections.borrow_mut().remove(&id);
        let _ = self.freed.0.try_send(());
        port.out.close();
        port.owe(-(port.owed.get() as isize), -(port.held.get() as isize));
        let _ = self.director.send(Message::Left { port: id }).await;
    }

    /// When a connection that says no more is closed; none while a request is open.
    fn patience(port: &Connection, begun: Option<Micros>) -> Option<Micros> {
        match (port.asked.get(), begun) {
            (false, _) => Some(port.used.get() + SILENT),
            (true, Some(begun)) => Some(begun + SILENT),
            (true, None) => (port.open.get() == 0).then(|| port.used.get() + IDLE),
        }
    }

    async fn read(
        &self,
        stream: &Async<TcpStream>,
        own: Sender<Reply>,
        port: &Rc<Connection>,
    ) -> io::Result<()> {
        let mut frames = Messages::new(stream, thrift::measure, CHUNK);
        let mut last_seq = 0;
        loop {
            let begun = frames.begun();
            let quiet = async {
                // Looked at again after IDLE at the latest, as a request may have ended meanwhile.
                let until = Self::patience(port, begun).unwrap_or(clock::now() + IDLE);
                clock::at(until).await;
                Err(io::ErrorKind::WouldBlock.into())
            };
            let frame = match future::or(frames.next(), quiet).await {
                Ok(Some(frame)) => frame,
                // The client has closed, also where requests are open: nobody waits for them.
                Ok(None) => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    match Self::patience(port, frames.begun()) {
                        Some(until) if until <= clock::now() => return Err(io::ErrorKind::TimedOut.into()),
                        _ => continue,
                    }
                }
                Err(e) => return Err(e),
            };
            let arrived = clock::now();
            port.asked.set(true);
            port.used.set(arrived);
            let reply = match thrift::decode(&frame)? {
                thrift::Message::Forget(seq) => {
                    self.director.send(Message::Forget { port: port.id, seq }).await.map_err(closed)?;
                    None
                }
                thrift::Message::Unknown { oneway: true, .. } => None,
                thrift::Message::Serve { seq, .. } if seq <= last_seq => {
                    // Two answers under one number could not be told apart.
                    return Err(Malformed("a number that does not count up").into());
                }
                thrift::Message::Serve { seq, fields, body } => {
                    last_seq = seq;
                    let body = frame.slice_ref(body);
                    match self.call(&fields, body, arrived) {
                        // Past what may be open: nothing has run, and `forget` must be read behind it.
                        Ok(_) if port.open.get() >= MOST_ANSWERS => Some(Reply::Verdict(seq, REFUSED)),
                        // An ending router refuses what it could not answer before it is killed.
                        Ok(call) if !self.drain.borrow().takes(arrived, call.deadline) => {
                            Some(Reply::Verdict(seq, REFUSED))
                        }
                        Ok(call) => {
                            port.open.set(port.open.get() + 1);
                            let request = Message::Request { port: port.clone(), seq, call };
                            self.director.send(request).await.map_err(closed)?;
                            None
                        }
                        Err(verdict) => Some(Reply::Verdict(seq, verdict)),
                    }
                }
                thrift::Message::IsWell(seq) => Some(Reply::Well(seq, self.drain.borrow().ready())),
                thrift::Message::Unknown { seq, name, .. } => {
                    Some(Reply::Unknown(seq, String::from_utf8_lossy(name).into_owned()))
                }
            };
            if let Some(reply) = reply {
                port.replies.set(port.replies.get() + 1);
                own.send(reply).await.map_err(closed)?;
            }
            // A client that sends at full speed must not keep others out.
            future::yield_now().await;
        }
    }

    /// A request from its fields. One that can't be used is failed here: nothing may be sent for it.
    fn call(&self, fields: &thrift::Fields, body: Bytes, arrived: Micros) -> Result<Call, Verdict> {
        // Outer none: not readable; inner none: not given.
        let given = |name: &str| match fields.iter().find(|(n, _)| *n == name.as_bytes()) {
            Some((_, value)) => std::str::from_utf8(value).ok().map(Some),
            None => Some(None),
        };
        // Caches read lists of name=value: what would end a value there must not get into one.
        let plain = |t: &str| {
            let good = |b: u8| b.is_ascii_graphic() && b != b',' && b != b'=';
            ((1..=MOST_TEXT).contains(&t.len()) && t.bytes().all(good)).then(|| t.to_owned())
        };
        let passed = |name: &str| match given(name)? {
            Some(text) => plain(text).map(Some),
            None => Some(None),
        };
        let number = |text: &str| text.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
        // Digits alone: what is passed on must be what the client wrote.
        let whole = |name: &str, most: u64| match given(name)? {
            Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => {
                text.parse().ok().filter(|n: &u64| *n <= most)
            }
            Some(_) => None,
            None => Some(0),
        };
        let named = |name: &str| given(name)?.filter(|t| hex(t).is_some()).map(str::to_owned);
        let read = || {
            let class = place(&self.catalogue.classes, given("method")?);
            let terms = self.catalogue.settings.classes.get(class)?;
            let token = passed("token")?;
            if (terms.effect == Effect::Deduplicated && token.is_none())
                || body.len() > if terms.write { thrift::MOST_WRITE } else { 0 }
            {
                return None;
            }
            let budget = (number(given("budget")??)? * 1000.0) as Micros;
            if budget > OVER_DEADLINE.saturating_mul(terms.deadline) {
                return None;
            }
            // What takes longer to send than any client waits is no size either: one such would be believed in
            // the class's mean sending time, by which just-started caches are spared, for a thousand requests.
            let flow = self.catalogue.settings.flow_kb_per_s;
            let most_kb = OVER_DEADLINE as f64 * terms.deadline as f64 / 1e6 * flow;
            let size_kb = match given("mem")? {
                Some(text) if number(text)? > most_kb && flow > 0.0 => return None,
                Some(text) => Some(number(text)?).filter(|kb| *kb > 0.0),
                None => None,
            };
            Some(Call {
                rid: named("rid")?,
                class,
                object: named("obj")?,
                part: whole("block", MOST_PART)?,
                group: whole("family", 255)?,
                size_kb,
                token,
                cached: passed("cached")?,
                deadline: arrived + budget,
                taken: Taken::new(&self.taken, body.len()),
                body: body.clone(),
            })
        };
        let call = read().ok_or(Verdict::Failed)?;
        // An id is new with every request. Guards against answers that can't be told apart, and against floods
        // of one request: only the first goes on.
        if hex(&call.rid).is_none_or(|rid| self.rids.borrow_mut().seen(arrived, rid)) {
            return Err(Verdict::Failed);
        }
        match self.taken.get() > self.most_taken.get() {
            // Guards the memory: nothing has run, so a refusal does no harm.
            true => Err(REFUSED),
            false => Ok(call),
        }
    }

    async fn write(
        &self,
        stream: &Async<TcpStream>,
        answers: &Receiver<Reply>,
        direct: &Receiver<Reply>,
        port: &Connection,
    ) -> io::Result<()> {
        let answer = async || answers.recv().await.map(|reply| (true, reply));
        let own = async || direct.recv().await.map(|reply| (false, reply));
        while let Ok((handed_on, reply)) = future::or(answer(), own()).await {
            let (mut head, body, tail) = encode(reply);
            let stalled = async {
                Timer::after(STALLED).await;
                Err(io::Error::from(io::ErrorKind::TimedOut))
            };
            let write = async {
                let mut stream = stream;
                if body.len() <= SMALL {
                    head.extend_from_slice(&body);
                    head.extend_from_slice(&tail);
                    return stream.write_all(&head).await;
                }
                stream.write_all(&head).await?;
                stream.write_all(&body).await?;
                stream.write_all(&tail).await
            };
            let written = future::or(write, stalled).await;
            if handed_on {
                port.owe(-1, -(body.len() as isize));
                port.finished();
            } else {
                port.replies.set(port.replies.get().saturating_sub(1));
            }
            written?;
            // Under a drain a connection goes with its last answer, before its client sends anew.
            if port.owed.get() == 0 && self.drain.borrow().close(clock::now(), port.seen()) {
                return Ok(());
            }
        }
        Ok(())
    }
}

fn closed<T>(_: T) -> io::Error {
    io::ErrorKind::BrokenPipe.into()
}

/// The parts of a reply: what stands before the body, the body as it came, what stands behind.
fn encode(reply: Reply) -> (Vec<u8>, Bytes, Vec<u8>) {
    let whole = |frame| (frame, Bytes::new(), Vec::new());
    match reply {
        Reply::Verdict(seq, Verdict::Served(body)) => {
            let [head, tail] = thrift::answer("serve", seq, body.len(), &[], true);
            (head, body, tail)
        }
        Reply::Verdict(seq, Verdict::Holds) => {
            let [head, tail] = thrift::answer("serve", seq, 0, &[("keep", "1")], true);
            (head, Bytes::new(), tail)
        }
        Reply::Verdict(seq, Verdict::Refused { backoff }) => whole(thrift::throttled(seq, backoff)),
        Reply::Verdict(seq, Verdict::Failed) => whole(thrift::broken(seq)),
        Reply::Well(seq, good) => {
            let [head, tail] = thrift::answer("isWell", seq, 0, &[], good);
            (head, Bytes::new(), tail)
        }
        Reply::Unknown(seq, name) => whole(thrift::unknown_method(&name, seq)),
    }
}
