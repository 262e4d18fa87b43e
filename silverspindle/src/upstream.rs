//! One actor for each member of the list (here: peer): its connections and the attempts in flight on them. A peer is
//! identified by its member id, not by its address.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bitternhold::{Idempotency, Load, MemberId, Micros, Status};
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, future};
use rustix::io::Errno;

use crate::clock;
use crate::framing::MessageReader;
use crate::resp::{self, AnswerCode};
use crate::traffic::{Attempt, AttemptEnd, Descriptor, Message, Shared};

/// Capacity of an actor's mailbox. Where it is full the director counts the attempt as never sent.
pub const MAILBOX_CAPACITY: usize = 256;
/// Capacity of a connection's command queue: its streams and the commands that abandon them.
const MOST_WAITING: usize = 96;
/// Maximum number of abandoned ids that a connection remembers, as their answers may already be on the way.
const MOST_CROSSING: usize = 256;
/// Time for which an abandoned id is remembered, in microseconds.
const CROSSING: Micros = 10_000_000;
/// Timeout of a probe, in microseconds.
const PROBE_WAIT: Micros = 2_000_000;
/// Maximum number of bytes per read.
const CHUNK: usize = 32 * 1024;
/// Timeout between two reads of an answer that has begun; the connection is closed when it expires. An answer is
/// usually complete within a few milliseconds.
const STALL: Duration = Duration::from_millis(300);
/// Weight of one observation (an answer, or a connection that broke with attempts in flight) in the moving average of
/// breaks.
const BREAK_LEARN: f64 = 0.05;
/// Number of sweeps for idle connections per idle timeout; also the divisor of the timeout that gives the safety margin.
const IDLE_PART: Micros = 10;
/// Maximum interval between sweeps, in microseconds.
const SWEEP: Micros = 1_000_000;
/// Minimum interval between sweeps, in microseconds.
const SWEEP_LEAST: Micros = 50_000;
/// Minimum time by which a connection is closed before the peer's own idle timeout, in microseconds: covers the network
/// delay and the time that a write may be queued.
const IDLE_MARGIN: Micros = 250_000;

/// Message to a peer's actor, from the director or from one of the actor's connections.
#[derive(Debug)]
pub enum PeerMessage {
    /// Send an attempt.
    Send(Rc<Attempt>),
    /// Abandon an attempt: its answer is no longer needed. The flag says whether it timed out.
    Abandon(Rc<Attempt>, bool),
    /// Probe the peer.
    Probe,
    /// The peer's current address, with a version: a message with a lower version than the last one is ignored.
    Address(SocketAddr, u64),
    /// The member has left the list: finish the attempts in flight, then end the actor.
    Retire,
    /// A connection is established.
    Connected(u64, Rc<Async<TcpStream>>),
    /// A connection received an answer.
    Answer(u64, Bytes),
    /// A connection did not write an attempt, because it was no longer allowed to be sent.
    NotWritten(u64, Rc<Attempt>),
    /// A connection ended, or could not be established.
    Disconnected(u64, io::Error),
}

/// Command to a connection's writer.
#[derive(Debug)]
enum Command {
    /// Check an attempt and write it.
    Want(Rc<Attempt>),
    /// Write these bytes.
    Plain(Vec<u8>),
}

/// The actor's state of one connection.
#[derive(Debug)]
struct Line {
    commands: Sender<Command>,
    up: bool,
    /// Kept so that the socket can be shut down before the director learns how the attempts on it ended.
    socket: Option<Rc<Async<TcpStream>>>,
    /// Attempts and probes in flight, by the id that their answer carries.
    streams: HashMap<Bytes, Stream>,
    /// Abandoned ids and when they were abandoned. Their answers may still arrive, so the ids are not reused on this
    /// connection for [`CROSSING`].
    crossing: HashMap<Bytes, Micros>,
    last_used: Micros,
    /// An attempt timed out and nothing was received from the peer since the attempt was queued on a connection.
    silent: bool,
    /// No new attempts; the connection is closed when those in flight are finished.
    closing: bool,
    _descriptor: Descriptor,
    /// Dropping this ends the connection's task.
    _alive: Sender<()>,
}

/// An attempt or a probe in flight, with the time at which it was queued on the connection.
#[derive(Debug)]
enum Stream {
    Attempt(Rc<Attempt>, Micros),
    Probe(Micros),
}

/// The actor of one peer.
pub struct Peer {
    id: MemberId,
    address: SocketAddr,
    /// Version of the address.
    told: u64,
    shared: Rc<Shared>,
    mailbox: Receiver<PeerMessage>,
    /// Sender of the own mailbox, handed to the connections.
    own: Sender<PeerMessage>,
    lines: BTreeMap<u64, Line>,
    next_line: u64,
    next_probe: u64,
    /// When an answer was last received on any connection.
    heard: Micros,
    /// Moving average: share of connection breaks among answers and breaks.
    breaks: f64,
    retired: bool,
}

impl Peer {
    /// Starts an actor and returns its mailbox.
    pub fn start(id: MemberId, address: SocketAddr, shared: &Rc<Shared>) -> Sender<PeerMessage> {
        let (own, mailbox) = async_channel::bounded(MAILBOX_CAPACITY);
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

    /// The member's name as the coordinator and the caches write it.
    fn name(&self) -> String {
        format!("s-{:08x}", self.id.0)
    }

    async fn run(mut self) {
        // The sweep is due by the clock and not after an idle moment: a steady flow of messages must not postpone it.
        let sweep_every = SWEEP.min(self.shared.site.idle_close / IDLE_PART).max(SWEEP_LEAST);
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

    async fn order(&mut self, order: PeerMessage) {
        match order {
            PeerMessage::Send(attempt) => self.send(attempt).await,
            PeerMessage::Abandon(attempt, timed_out) => self.give_up(&attempt, timed_out),
            PeerMessage::Probe => self.probe().await,
            PeerMessage::Address(address, told) => {
                if told < self.told {
                    return;
                }
                self.told = told;
                if std::mem::replace(&mut self.address, address) != address {
                    // Connections to the old address finish their attempts and get no new ones.
                    for attempt in self.close_lines() {
                        self.send(attempt).await;
                    }
                }
            }
            PeerMessage::Retire => {
                self.retired = true;
                for attempt in self.close_lines() {
                    self.end(AttemptEnd::without_details(attempt.ticket, Status::Moot)).await;
                }
            }
            PeerMessage::Connected(line, socket) => {
                if let Some(line) = self.lines.get_mut(&line) {
                    (line.up, line.socket) = (true, Some(socket));
                }
            }
            PeerMessage::Answer(line, frame) => self.answer(line, frame).await,
            // The attempt has moved to another connection, which reports its end.
            PeerMessage::NotWritten(line, attempt) if attempt.connection.get() != line => {}
            PeerMessage::NotWritten(line, attempt) => {
                // Its id was never used on this connection, so a retry may use it; it is established by now and the
                // best choice.
                attempt.call.used_connections.borrow_mut().retain(|stood| *stood != (self.id, line));
                let own = |s: &Stream| matches!(s, Stream::Attempt(a, _) if a.ticket == attempt.ticket);
                if let Some(line) = self.lines.get_mut(&line) {
                    line.streams.retain(|_, stream| !own(stream));
                }
                self.end(AttemptEnd::without_details(attempt.ticket, Status::Moot)).await;
            }
            PeerMessage::Disconnected(line, why) => self.down(line, &why).await,
        }
    }

    /// Lets all connections finish the attempts written on them and give them no new ones. Returns the attempts not yet
    /// written: a connection that is slow to come up would send them to a process that is gone or has been replaced.
    fn close_lines(&mut self) -> Vec<Rc<Attempt>> {
        let mut unwritten = Vec::new();
        for line in self.lines.values_mut() {
            line.closing = true;
            line.streams.retain(|_, stream| match stream {
                Stream::Attempt(attempt, _) if !attempt.written.get() => {
                    attempt.connection.set(0);
                    unwritten.push(attempt.clone());
                    false
                }
                _ => true,
            });
        }
        self.sweep();
        unwritten
    }

    /// Last step of a retired actor: reports what is left in the mailbox as never sent.
    async fn leave(self) {
        self.mailbox.close();
        while let Ok(order) = self.mailbox.try_recv() {
            match order {
                PeerMessage::Send(attempt) => {
                    self.end(AttemptEnd::without_details(attempt.ticket, Status::Moot)).await
                }
                PeerMessage::Probe => self.probed(Status::ConnectFailed, 0, None).await,
                _ => {}
            }
        }
    }

    async fn end(&self, end: AttemptEnd) {
        let _ = self.shared.director.send(Message::Ended(end)).await;
    }

    /// Chooses a connection for an attempt or probe with this id: an idle one; else a new one, while descriptors are
    /// plenty and the expected loss by a break of a shared connection exceeds the price of a handshake; else the one
    /// with the fewest streams. Sharing is avoided because one malformed answer or reset ends every attempt on the
    /// connection. Where handshakes have a price, the comparison keeps a fleet from opening a connection for each
    /// request in a busy moment. An id is used at most once on a connection, as two answers with the same id can't be
    /// told apart. A connection that the peer may be about to close is not chosen, with a wider margin for classes that
    /// may not be repeated.
    fn line_for(&mut self, id: &[u8], attempt: Option<&Attempt>) -> Option<u64> {
        let streams = self.shared.site.streams_per_conn;
        let (now, idle, me) = (clock::now(), self.idle(), self.id);
        let classes = &self.shared.site.settings.classes;
        let once = attempt.is_some_and(|a| {
            classes.get(a.call.class).is_none_or(|c| c.idempotency == Idempotency::AtMostOnce)
        });
        let idle = if once { idle / 4 } else { idle };
        let takes = |n: u64, l: &Line| {
            l.streams.len() < streams
                && (!l.streams.is_empty() || now.saturating_sub(l.last_used) < idle)
                && !attempt.is_some_and(|a| a.call.used_connections.borrow().contains(&(me, n)))
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
        let plenty = self.shared.descriptors.has_spare();
        let cheaper = |streams: usize| streams as f64 * self.breaks < self.shared.site.handshake_cost;
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
            if attempt.abandoned.get() || self.retired { None } else { self.line_for(&id, Some(&attempt)) };
        let Some((number, line)) = line.and_then(|n| Some((n, self.lines.get_mut(&n)?))) else {
            return self.end(AttemptEnd::without_details(attempt.ticket, Status::Moot)).await;
        };
        let now = clock::now();
        line.last_used = now;
        attempt.connection.set(number);
        attempt.call.used_connections.borrow_mut().push((self.id, number));
        match line.commands.try_send(Command::Want(attempt.clone())) {
            Ok(()) => drop(line.streams.insert(id, Stream::Attempt(attempt, now))),
            Err(_) => self.end(AttemptEnd::without_details(attempt.ticket, Status::Moot)).await,
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
        // Guards against a machine that is cut off from the network: its connections stay open but silent. New attempts
        // use a new connection, as a failed connect proves that nothing ran, and silence does not.
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
            // The attempt was abandoned while its answer was on the way, or the answer is a duplicate.
            if line.crossing.remove(answer.id).is_none() {
                tracing::debug!(member = %self.name(), "answer without a pending attempt discarded");
            }
            return;
        };
        match stream {
            Stream::Probe(since) => {
                let elapsed = now.saturating_sub(since);
                self.probed(answer.code.status(), elapsed, answer.load).await;
            }
            Stream::Attempt(attempt, _) => {
                // The answer to a write is not a copy and has no name.
                let classes = &self.shared.site.settings.classes;
                let whole =
                    answer.version.is_some() || classes.get(attempt.call.class).is_some_and(|c| c.write);
                let body = match answer.code {
                    AnswerCode::Hit if whole => Some(frame.slice_ref(answer.body)),
                    // The client's copy is current only if the cache names that same copy.
                    AnswerCode::Valid if answer.version.is_some_and(|(tag, _)| attempt.call.holds(tag)) => {
                        None
                    }
                    AnswerCode::Hit | AnswerCode::Valid | AnswerCode::Pong | AnswerCode::Sick => {
                        // Put back, so that the attempt ends together with the connection.
                        let id = Bytes::copy_from_slice(answer.id);
                        line.streams.insert(id, Stream::Attempt(attempt, now));
                        let e =
                            io::Error::new(io::ErrorKind::InvalidData, "answer does not match its request");
                        return self.down(number, &e).await;
                    }
                    _ => None,
                };
                let (status, note) = (answer.code.status(), answer.note);
                let (waited, load) = (answer.waited, answer.load);
                let version = answer.version.map(|(tag, stamp)| (frame.slice_ref(tag), stamp));
                self.end(AttemptEnd { ticket: attempt.ticket, status, note, waited, load, body, version })
                    .await;
            }
        }
    }

    /// Handles the end of a connection. Attempts that were written may have run and end as reset. Those not yet written
    /// move to another connection if this one had been established; else they end as never run.
    async fn down(&mut self, number: u64, why: &io::Error) {
        let Some(line) = self.lines.remove(&number) else { return };
        // Shut down first: the cache must have lost the attempts on it before the director decides on the next ones.
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
                    self.end(AttemptEnd::without_details(a.ticket, Status::Reset)).await;
                }
                Stream::Attempt(a, _) if line.up => self.send(a).await,
                // Nothing was written, so nothing ran, whatever the error says. A lack of resources on this machine
                // says nothing about the member.
                Stream::Attempt(a, _) => {
                    let status = if is_own_want(why) { Status::Moot } else { Status::ConnectFailed };
                    self.end(AttemptEnd::without_details(a.ticket, status)).await;
                }
            }
        }
    }

    /// Idle time after which a connection is closed: less than the peer's idle timeout, so that no request crosses the
    /// peer's close.
    fn idle(&self) -> Micros {
        let told = self.shared.site.idle_close;
        told - (told / IDLE_PART).max(IDLE_MARGIN).min(told / 2)
    }

    /// Fails probes past their timeout and closes connections without streams that are idle, silent or closing.
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

/// The task of one connection.
struct Connection {
    peer: MemberId,
    line: u64,
    address: SocketAddr,
    waiting: Receiver<Command>,
    ended: Receiver<()>,
    actor: Sender<PeerMessage>,
    shared: Rc<Shared>,
}

impl Connection {
    async fn run(self) {
        let Err(why) = self.serve().await;
        let _ = self.actor.send(PeerMessage::Disconnected(self.line, why)).await;
    }

    async fn serve(&self) -> Result<std::convert::Infallible, io::Error> {
        let late = async {
            Timer::after(Duration::from_micros(self.shared.site.settings.connect_timeout)).await;
            Err(io::Error::new(io::ErrorKind::TimedOut, "connect timed out"))
        };
        let stream = Rc::new(future::or(Async::<TcpStream>::connect(self.address), late).await?);
        let _ = stream.get_ref().set_nodelay(true);
        self.actor.send(PeerMessage::Connected(self.line, stream.clone())).await.map_err(gone)?;
        let stream = &*stream;
        let classes = &self.shared.site.settings.classes;
        let longest = Duration::from_micros(classes.iter().map(|c| c.deadline).max().unwrap_or(0));
        let read = async {
            // No client waits longer than the longest deadline, so an answer that trickles on is cut off then.
            let mut answers = MessageReader::new(stream, resp::measure, CHUNK)
                .with_stall_timeout(STALL)
                .with_message_timeout(longest);
            while let Some(frame) = answers.next().await? {
                self.actor.send(PeerMessage::Answer(self.line, frame)).await.map_err(gone)?;
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
    /// Writes the first bytes of an attempt. Returns its command and the number of bytes written; none if the attempt may
    /// no longer be sent. This is the one place where attempts are checked before they are sent: nothing may come
    /// between the check and the write, so a wait for room in the socket is followed by another check.
    async fn begin(
        &self,
        stream: &Async<TcpStream>,
        attempt: &Rc<Attempt>,
    ) -> io::Result<Option<(Vec<u8>, usize)>> {
        loop {
            if attempt.abandoned.get() || attempt.connection.get() != self.line {
                return Ok(None);
            }
            if !self.shared.state.allows(attempt, self.peer) {
                self.actor.send(PeerMessage::NotWritten(self.line, attempt.clone())).await.map_err(gone)?;
                return Ok(None);
            }
            let bytes = attempt.command(&self.shared.site);
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

/// Whether a connect failed for lack of resources on this machine.
fn is_own_want(why: &io::Error) -> bool {
    let wants = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(why).is_some_and(|errno| wants.contains(&errno))
}

fn gone<T>(_: T) -> io::Error {
    io::Error::new(io::ErrorKind::NotConnected, "closed")
}
