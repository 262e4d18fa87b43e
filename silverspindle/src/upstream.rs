//! A peer's actor: its connections, and the attempts on them. A peer is known by its id, not its address.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bitternhold::{Effect, Load, MemberId, Micros, Status};
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, future};
use rustix::io::Errno;

use crate::clock;
use crate::framing::MessageReader;
use crate::resp::{self, AnswerCode};
use crate::traffic::{Attempt, Descriptor, End, Message, Shared};

/// Orders that may wait for an actor; a director that finds it full counts the attempt as never sent.
pub const MAILBOX: usize = 256;
/// Commands that may wait on a connection: its streams and what gives them up.
const MOST_WAITING: usize = 96;
/// Given-up ids that a connection remembers, and for how long: an answer may have crossed.
const MOST_CROSSING: usize = 256;
const CROSSING: Micros = 10_000_000;
/// A probe without an answer for so long has failed; nothing waits for it any more.
const PROBE_WAIT: Micros = 2_000_000;
/// Read at a time.
const CHUNK: usize = 32 * 1024;
/// An answer that has begun comes whole in a few milliseconds; one that gets no further for so long is cut
/// off, and its connection is of no more use.
const STALL: Duration = Duration::from_millis(300);
/// Weight of an answer, or of a connection that broke under attempts, in the running share of the latter.
const BREAK_LEARN: f64 = 0.05;
/// How often idle connections are looked for: so many times in the time after which they are closed, at most and at least.
const IDLE_PART: Micros = 10;
const SWEEP: Micros = 1_000_000;
const SWEEP_LEAST: Micros = 50_000;
/// Connections are closed so much before the peer does: the way there, and the time that a write may wait for its turn.
const IDLE_MARGIN: Micros = 250_000;

/// What an actor is asked to do, and what its connections tell it.
#[derive(Debug)]
pub enum Order {
    /// Send an attempt.
    Send(Rc<Attempt>),
    /// Nobody waits for an attempt any more; it timed out if so said.
    GiveUp(Rc<Attempt>, bool),
    /// Probe the peer.
    Probe,
    /// It listens there now; a later number overrules an earlier one.
    Address(SocketAddr, u64),
    /// It is gone: finish what is out, then end.
    Retire,
    /// A connection is up.
    Up(u64, Rc<Async<TcpStream>>),
    /// A connection brought an answer.
    Answer(u64, Bytes),
    /// An attempt was not written, as the board forbade it.
    Unwritten(u64, Rc<Attempt>),
    /// A connection ended, or never came up.
    Down(u64, io::Error),
}

/// What a writer writes.
#[derive(Debug)]
enum Command {
    Want(Rc<Attempt>),
    Plain(Vec<u8>),
}

/// A connection as the actor sees it.
#[derive(Debug)]
struct Line {
    commands: Sender<Command>,
    up: bool,
    /// Its socket, to be closed before the ends of what was out on it are told.
    socket: Option<Rc<Async<TcpStream>>>,
    /// Attempts and probes by the id under which their answer comes.
    streams: HashMap<Bytes, Stream>,
    /// Given-up ids: an answer may still come, so they are not used again here for a while.
    crossing: HashMap<Bytes, Micros>,
    last_used: Micros,
    /// An attempt timed out with nothing heard from the peer since it was given to a connection.
    silent: bool,
    /// It gets nothing new and is closed when what it has is done.
    closing: bool,
    _descriptor: Descriptor,
    /// Its task ends when this is dropped.
    _alive: Sender<()>,
}

#[derive(Debug)]
enum Stream {
    Attempt(Rc<Attempt>, Micros),
    Probe(Micros),
}

/// A peer's actor.
pub struct Peer {
    id: MemberId,
    address: SocketAddr,
    /// The number under which the address was told.
    told: u64,
    shared: Rc<Shared>,
    mailbox: Receiver<Order>,
    /// For its connections.
    own: Sender<Order>,
    lines: BTreeMap<u64, Line>,
    next_line: u64,
    next_probe: u64,
    /// When anything was last heard, by any connection.
    heard: Micros,
    /// Running share of answers that came as the end of their connection.
    breaks: f64,
    retired: bool,
}

impl Peer {
    /// Starts an actor; its mailbox.
    pub fn start(id: MemberId, address: SocketAddr, shared: &Rc<Shared>) -> Sender<Order> {
        let (own, mailbox) = async_channel::bounded(MAILBOX);
        let peer = Peer {
            id,
            address,
            told: 0,
            shared: shared.clone(),
            mailbox,
            own: own.clone(),
            lines: BTreeMap::new(),
            next_line: 1,
            next_probe: 0,
            heard: 0,
            breaks: 0.0,
            retired: false,
        };
        shared.tasks.spawn(peer.run()).detach();
        own
    }

    /// As the coordinator and the caches spell it.
    fn name(&self) -> String {
        format!("s-{:08x}", self.id.0)
    }

    async fn run(mut self) {
        // By the clock, not by quiet: orders that never cease must not put the sweep off.
        let sweep_every = SWEEP.min(self.shared.catalogue.idle_close / IDLE_PART).max(SWEEP_LEAST);
        let mut due = clock::now() + sweep_every;
        loop {
            let timer = clock::timer_at(due);
            let sweep = async {
                timer.await;
                None
            };
            let next = match self.lines.is_empty() {
                true => self.mailbox.recv().await.ok(),
                false => future::or(async { self.mailbox.recv().await.ok() }, sweep).await,
            };
            if let Some(order) = next {
                self.order(order).await;
            }
            if clock::now() >= due {
                self.sweep();
                due = clock::now() + sweep_every;
            }
            if self.retired && self.lines.is_empty() {
                return self.leave().await;
            }
        }
    }

    async fn order(&mut self, order: Order) {
        match order {
            Order::Send(attempt) => self.send(attempt).await,
            Order::GiveUp(attempt, timed_out) => self.give_up(&attempt, timed_out),
            Order::Probe => self.probe().await,
            Order::Address(address, told) => {
                if told < self.told {
                    return;
                }
                self.told = told;
                if std::mem::replace(&mut self.address, address) != address {
                    // Connections to the old address finish what they have and get nothing new.
                    for attempt in self.close_lines() {
                        self.send(attempt).await;
                    }
                }
            }
            Order::Retire => {
                self.retired = true;
                for attempt in self.close_lines() {
                    self.end(End::bare(attempt.ticket, Status::Moot)).await;
                }
            }
            Order::Up(line, socket) => {
                if let Some(line) = self.lines.get_mut(&line) {
                    (line.up, line.socket) = (true, Some(socket));
                }
            }
            Order::Answer(line, frame) => self.answer(line, frame).await,
            // It has moved to another connection meanwhile, which says what becomes of it.
            Order::Unwritten(line, attempt) if attempt.line.get() != line => {}
            Order::Unwritten(line, attempt) => {
                // Its id never stood there: where it is sent anew, this connection, up by now, is the one to take.
                attempt.call.lines.borrow_mut().retain(|stood| *stood != (self.id, line));
                let own = |s: &Stream| matches!(s, Stream::Attempt(a, _) if a.ticket == attempt.ticket);
                if let Some(line) = self.lines.get_mut(&line) {
                    line.streams.retain(|_, stream| !own(stream));
                }
                self.end(End::bare(attempt.ticket, Status::Moot)).await;
            }
            Order::Down(line, why) => self.down(line, &why).await,
        }
    }

    /// All connections finish what was written on them and get nothing new. What was not written yet is handed back: it
    /// would go out, once a slow connection is up, to a process that is gone or another one by then.
    fn close_lines(&mut self) -> Vec<Rc<Attempt>> {
        let mut unwritten = Vec::new();
        for line in self.lines.values_mut() {
            line.closing = true;
            line.streams.retain(|_, stream| match stream {
                Stream::Attempt(attempt, _) if !attempt.written.get() => {
                    attempt.line.set(0);
                    unwritten.push(attempt.clone());
                    false
                }
                _ => true,
            });
        }
        self.sweep();
        unwritten
    }

    /// The last of a retired actor: what still lies in its mailbox never ran, and is told so.
    async fn leave(self) {
        self.mailbox.close();
        while let Ok(order) = self.mailbox.try_recv() {
            match order {
                Order::Send(attempt) => self.end(End::bare(attempt.ticket, Status::Moot)).await,
                Order::Probe => self.probed(Status::ConnectFailed, 0, None).await,
                _ => {}
            }
        }
    }

    async fn end(&self, end: End) {
        let _ = self.shared.director.send(Message::Ended(end)).await;
    }

    /// A connection that can take this id: an idle one, else a new one while descriptors are plenty and what a
    /// break is likely to end on a shared one costs more than the handshake, else the least used. Guards
    /// against one spoilt answer or reset that ends all that shares its connection, and, where handshakes are
    /// priced, against a fleet that opens one for each request in a busy moment. An id stands once on a
    /// connection at most, as its answers can't be told apart. One that the peer may be about to close is left to the
    /// sweep; the more so for what may not be repeated.
    fn line_for(&mut self, id: &[u8], attempt: Option<&Attempt>) -> Option<u64> {
        let streams = self.shared.catalogue.streams_per_conn;
        let (now, idle, me) = (clock::now(), self.idle(), self.id);
        let classes = &self.shared.catalogue.settings.classes;
        let once =
            attempt.is_some_and(|a| classes.get(a.call.class).is_none_or(|c| c.effect == Effect::AtMostOnce));
        let idle = if once { idle / 4 } else { idle };
        let takes = |n: u64, l: &Line| {
            l.streams.len() < streams
                && (!l.streams.is_empty() || now.saturating_sub(l.last_used) < idle)
                && !attempt.is_some_and(|a| a.call.lines.borrow().contains(&(me, n)))
                && !l.silent
                && !l.closing
                && !l.streams.contains_key(id)
                && !l.crossing.contains_key(id)
                && l.crossing.len() < MOST_CROSSING
                && l.commands.len() < MOST_WAITING - 1
        };
        let able = self.lines.iter().filter(|(n, l)| takes(**n, l));
        let found = able.min_by_key(|(n, l)| (l.streams.len(), !l.up, **n));
        let found = found.map(|(n, l)| (*n, l.streams.len()));
        let plenty = self.shared.descriptors.are_plenty();
        let cheaper = |streams: usize| streams as f64 * self.breaks < self.shared.catalogue.handshake_price;
        match found {
            Some((n, streams)) if streams == 0 || !plenty || cheaper(streams) => return Some(n),
            _ => {}
        }
        let Some(descriptor) = self.shared.descriptors.take() else {
            if found.is_none() {
                tracing::warn!(member = %self.name(), "no descriptor left for another connection");
            }
            return found.map(|(n, _)| n);
        };
        let (commands, waiting) = async_channel::bounded(MOST_WAITING);
        let (alive, ended) = async_channel::bounded(1);
        let n = self.next_line;
        self.next_line += 1;
        let line = Line {
            commands,
            up: false,
            socket: None,
            streams: HashMap::new(),
            crossing: HashMap::new(),
            last_used: now,
            silent: false,
            closing: false,
            _descriptor: descriptor,
            _alive: alive,
        };
        self.lines.insert(n, line);
        let connection = Connection {
            peer: self.id,
            line: n,
            address: self.address,
            waiting,
            ended,
            actor: self.own.clone(),
            shared: self.shared.clone(),
        };
        self.shared.tasks.spawn(connection.run()).detach();
        Some(n)
    }

    async fn send(&mut self, attempt: Rc<Attempt>) {
        let id = Bytes::copy_from_slice(attempt.call.rid.as_bytes());
        let line =
            if attempt.dropped.get() || self.retired { None } else { self.line_for(&id, Some(&attempt)) };
        let Some((number, line)) = line.and_then(|n| Some((n, self.lines.get_mut(&n)?))) else {
            return self.end(End::bare(attempt.ticket, Status::Moot)).await;
        };
        let now = clock::now();
        line.last_used = now;
        attempt.line.set(number);
        attempt.call.lines.borrow_mut().push((self.id, number));
        match line.commands.try_send(Command::Want(attempt.clone())) {
            Ok(()) => drop(line.streams.insert(id, Stream::Attempt(attempt, now))),
            Err(_) => self.end(End::bare(attempt.ticket, Status::Moot)).await,
        }
    }

    async fn probe(&mut self) {
        self.next_probe += 1;
        let tag = Bytes::from(format!("probe-{}", self.next_probe));
        let line = if self.retired { None } else { self.line_for(&tag, None) };
        let sent = line.and_then(|n| self.lines.get_mut(&n)).is_some_and(|line| {
            let command = Command::Plain(resp::encode_array(&[b"busy", &tag]));
            line.streams.insert(tag, Stream::Probe(clock::now()));
            line.commands.try_send(command).is_ok()
        });
        if !sent {
            self.probed(Status::ConnectFailed, 0, None).await;
        }
    }

    async fn probed(&self, status: Status, elapsed: Micros, load: Option<Load>) {
        let _ = self.shared.director.send(Message::Probed { member: self.id, status, elapsed, load }).await;
    }

    fn give_up(&mut self, attempt: &Rc<Attempt>, timed_out: bool) {
        let id = attempt.call.rid.as_bytes();
        let own = |s: Option<&Stream>| match s {
            Some(Stream::Attempt(out, since)) if out.ticket == attempt.ticket => Some(*since),
            _ => None,
        };
        let Some((line, since)) = self
            .lines
            .values_mut()
            .find_map(|l| Some((own(l.streams.get(id))?, l)))
            .map(|(since, line)| (line, since))
        else {
            return;
        };
        line.streams.remove(id);
        if attempt.written.get() {
            let _ = line.commands.try_send(Command::Plain(resp::encode_array(&[b"never_mind", id])));
            line.crossing.insert(Bytes::copy_from_slice(id), clock::now());
        }
        // Guards against a machine that is cut off: its connections stay open and say nothing. New work
        // goes over a new connection, whose failure to come up proves more than silence.
        if timed_out && self.heard <= since {
            self.lines.values_mut().for_each(|line| line.silent = true);
        }
    }

    async fn answer(&mut self, number: u64, frame: Bytes) {
        let Some(line) = self.lines.get_mut(&number) else { return };
        let now = clock::now();
        (line.last_used, line.silent) = (now, false);
        self.heard = now;
        self.breaks -= BREAK_LEARN * self.breaks;
        let answer = match resp::decode(&frame) {
            Ok(answer) => answer,
            Err(e) => return self.down(number, &e.into()).await,
        };
        let Some(stream) = line.streams.remove(answer.id) else {
            // It crossed with its giving up, or nobody asked: a second answer, say. It is nobody's.
            if line.crossing.remove(answer.id).is_none() {
                tracing::debug!(member = %self.name(), "an answer that nobody waits for, thrown away");
            }
            return;
        };
        match stream {
            Stream::Probe(since) => {
                let elapsed = now.saturating_sub(since);
                self.probed(answer.code.status(), elapsed, answer.load).await;
            }
            Stream::Attempt(attempt, _) => {
                // A write's answer is no copy and has no name.
                let classes = &self.shared.catalogue.settings.classes;
                let whole =
                    answer.version.is_some() || classes.get(attempt.call.class).is_some_and(|c| c.write);
                let body = match answer.code {
                    AnswerCode::Hit if whole => Some(frame.slice_ref(answer.body)),
                    // The client's copy is the one only where the cache names that very copy.
                    AnswerCode::Valid if answer.version.is_some_and(|(tag, _)| attempt.call.holds(tag)) => {
                        None
                    }
                    AnswerCode::Hit | AnswerCode::Valid | AnswerCode::Pong | AnswerCode::Sick => {
                        // It ends with the connection.
                        let id = Bytes::copy_from_slice(answer.id);
                        line.streams.insert(id, Stream::Attempt(attempt, now));
                        let e = io::Error::new(io::ErrorKind::InvalidData, "an answer that fits no request");
                        return self.down(number, &e).await;
                    }
                    _ => None,
                };
                let (status, note) = (answer.code.status(), answer.note);
                let (waited, load) = (answer.waited, answer.load);
                let name = answer.version.map(|(tag, stamp)| (frame.slice_ref(tag), stamp));
                self.end(End { ticket: attempt.ticket, status, note, waited, load, body, name }).await;
            }
        }
    }

    /// A connection is no more. What was not yet written goes over another one if this one had been up;
    /// what was may have run.
    async fn down(&mut self, number: u64, why: &io::Error) {
        let Some(line) = self.lines.remove(&number) else { return };
        // Closed first: what was out on it is given up for certain when its next attempt is decided.
        if let Some(socket) = &line.socket {
            let _ = socket.get_ref().shutdown(Shutdown::Both);
        }
        if line.up && !line.streams.is_empty() {
            self.breaks += BREAK_LEARN * (1.0 - self.breaks);
        }
        if !line.streams.is_empty() || why.kind() == io::ErrorKind::InvalidData {
            let n = line.streams.len();
            tracing::info!(member = %self.name(), "connection ended with {n} attempts out: {why}");
        }
        for (_, stream) in line.streams {
            match stream {
                Stream::Probe(since) => {
                    let elapsed = clock::now().saturating_sub(since);
                    let status = if line.up { Status::Reset } else { Status::ConnectFailed };
                    self.probed(status, elapsed, None).await;
                }
                Stream::Attempt(a, _) if a.written.get() => {
                    self.end(End::bare(a.ticket, Status::Reset)).await;
                }
                Stream::Attempt(a, _) if line.up => self.send(a).await,
                // Nothing was written, so nothing ran, whatever the error says; but a want of this machine's own is no
                // word on the member.
                Stream::Attempt(a, _) => {
                    let status = if is_own_want(why) { Status::Moot } else { Status::ConnectFailed };
                    self.end(End::bare(a.ticket, status)).await;
                }
            }
        }
    }

    /// Idle connections are closed after so long: a little before the peer does, so that no request crosses its close.
    fn idle(&self) -> Micros {
        let told = self.shared.catalogue.idle_close;
        told - (told / IDLE_PART).max(IDLE_MARGIN).min(told / 2)
    }

    /// Closes what is idle, and what is silent once nothing waits for it.
    fn sweep(&mut self) {
        let (now, idle) = (clock::now(), self.idle());
        self.lines.retain(|_, line| {
            line.streams.retain(|_, stream| match stream {
                Stream::Probe(since) if now.saturating_sub(*since) >= PROBE_WAIT => {
                    let (status, elapsed, load) = (Status::Timeout, PROBE_WAIT, None);
                    let probed = Message::Probed { member: self.id, status, elapsed, load };
                    let _ = self.shared.director.try_send(probed);
                    line.silent = true;
                    false
                }
                _ => true,
            });
            line.crossing.retain(|_, at| now.saturating_sub(*at) < CROSSING);
            let old = now.saturating_sub(line.last_used) >= idle;
            !line.streams.is_empty() || !(old || line.silent || line.closing)
        });
    }
}

/// A connection's task.
struct Connection {
    peer: MemberId,
    line: u64,
    address: SocketAddr,
    waiting: Receiver<Command>,
    ended: Receiver<()>,
    actor: Sender<Order>,
    shared: Rc<Shared>,
}

impl Connection {
    async fn run(self) {
        let Err(why) = self.serve().await;
        let _ = self.actor.send(Order::Down(self.line, why)).await;
    }

    async fn serve(&self) -> Result<std::convert::Infallible, io::Error> {
        let late = async {
            Timer::after(Duration::from_micros(self.shared.catalogue.settings.connect_timeout)).await;
            Err(io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))
        };
        let stream = Rc::new(future::or(Async::<TcpStream>::connect(self.address), late).await?);
        let _ = stream.get_ref().set_nodelay(true);
        self.actor.send(Order::Up(self.line, stream.clone())).await.map_err(gone)?;
        let stream = &*stream;
        let classes = &self.shared.catalogue.settings.classes;
        let longest = Duration::from_micros(classes.iter().map(|c| c.deadline).max().unwrap_or(0));
        let read = async {
            // Nobody waits longer than the longest deadline for the rest of an answer that goes on and on.
            let mut answers = MessageReader::new(stream, resp::measure, CHUNK)
                .with_stall_timeout(STALL)
                .with_message_timeout(longest);
            while let Some(frame) = answers.next().await? {
                self.actor.send(Order::Answer(self.line, frame)).await.map_err(gone)?;
            }
            Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed by the peer"))
        };
        let write = async {
            loop {
                let (bytes, written) = match self.waiting.recv().await.map_err(gone)? {
                    Command::Plain(bytes) => (bytes, 0),
                    Command::Want(attempt) => match self.begin(stream, &attempt).await? {
                        Some(begun) => begun,
                        None => continue,
                    },
                };
                let mut rest = stream;
                rest.write_all(&bytes[written..]).await?;
            }
        };
        let cut = async {
            let _ = self.ended.recv().await;
            Err(io::Error::new(io::ErrorKind::NotConnected, "closed"))
        };
        future::or(future::or(read, write), cut).await
    }
}

impl Connection {
    /// Writes the first bytes of an attempt: its command, and how much of it is written. The one place where attempts
    /// are checked, with nothing between the check and the write; a full socket is waited for before it.
    async fn begin(
        &self,
        stream: &Async<TcpStream>,
        attempt: &Rc<Attempt>,
    ) -> io::Result<Option<(Vec<u8>, usize)>> {
        loop {
            if attempt.dropped.get() || attempt.line.get() != self.line {
                return Ok(None);
            }
            if !self.shared.board.allows(attempt, self.peer) {
                self.actor.send(Order::Unwritten(self.line, attempt.clone())).await.map_err(gone)?;
                return Ok(None);
            }
            let bytes = attempt.command(&self.shared.catalogue);
            match stream.get_ref().write(&bytes) {
                Ok(written) => {
                    attempt.written.set(true);
                    return Ok(Some((bytes, written)));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}

/// Whether a connection failed for want of something on this machine.
fn is_own_want(why: &io::Error) -> bool {
    let wants = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(why).is_some_and(|errno| wants.contains(&errno))
}

fn gone<T>(_: T) -> io::Error {
    io::Error::new(io::ErrorKind::NotConnected, "closed")
}
