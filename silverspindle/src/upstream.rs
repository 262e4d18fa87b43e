//! One actor for each member of the list (here: peer): its connections and the attempts in flight on them. A peer is
//! identified by its member id, not by its address.

mod streams;

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

use crate::framing::{ChargedUntil, Incoming, Malformed, MessageReader};
use crate::limited::LimitedLine;
use crate::resp::{self, AnswerCode};
use crate::traffic::{Attempt, AttemptEnd, Descriptor, Message, Shared, StreamedBody};
use crate::{clock, loop_monitor};

use streams::{Stream, Streams};

/// Capacity of an actor's mailbox. Where it is full the director counts the attempt as never sent.
pub const MAILBOX_CAPACITY: usize = 256;
/// Capacity of a connection's command queue: its streams and the commands that abandon them.
const MAX_QUEUED_COMMANDS: usize = 96;
/// Maximum number of abandoned ids that a connection remembers, as their answers may already be on the way.
const MAX_ABANDONED_IDS: usize = 256;
/// Time for which an abandoned id is remembered, in microseconds.
const ABANDONED_ID_LIFETIME: Micros = 10_000_000;
/// Timeout of a probe, in microseconds.
const PROBE_TIMEOUT: Micros = 2_000_000;
/// Maximum number of bytes that are read of an answer before there is memory for all of it.
const READ_CHUNK: usize = 4 * 1024;
/// Timeout between two reads of an answer that has begun; the connection is closed when it expires. An answer is
/// usually complete within a few milliseconds.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Weight of one observation (an answer, or a connection that broke with attempts in flight) in the moving average of
/// breaks.
const BREAK_WEIGHT: f64 = 0.05;
/// Number of sweeps for idle connections per idle timeout; also the divisor of the timeout that gives the safety margin.
const SWEEPS_PER_IDLE_TIMEOUT: Micros = 10;
/// Maximum interval between sweeps, in microseconds.
const MAX_SWEEP_INTERVAL: Micros = 1_000_000;
/// Minimum interval between sweeps, in microseconds.
const MIN_SWEEP_INTERVAL: Micros = 50_000;
/// Minimum time by which a connection is closed before the peer's own idle timeout, in microseconds: covers the network
/// delay and the time that a write may be queued.
const MIN_IDLE_MARGIN: Micros = 250_000;

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
    /// A connection received the first bytes of an answer that waits for memory.
    AnswerBegun(u64, Bytes),
    /// A connection received an answer.
    Answer(u64, Bytes),
    /// A connection received the first bytes of an answer, whose body is passed on as it arrives.
    StreamedAnswer(u64, Bytes, StreamedBody),
    /// A connection did not write an attempt, because it was no longer allowed to be sent.
    NotWritten(u64, Rc<Attempt>),
    /// A connection ended, or could not be established.
    Disconnected(u64, io::Error),
}

/// Command to a connection's writer.
#[derive(Debug)]
enum Command {
    /// Check an attempt and write it.
    Attempt(Rc<Attempt>),
    /// Write these bytes.
    Raw(Vec<u8>),
}

/// The actor's state of one connection.
#[derive(Debug)]
struct PeerConnection {
    /// Queue of the connection's writer.
    commands: Sender<Command>,
    established: bool,
    /// Kept so that the socket can be shut down before the director learns how the attempts on it ended.
    socket: Option<Rc<Async<TcpStream>>>,
    /// Attempts and probes in flight.
    streams: Rc<Streams>,
    /// Abandoned ids and when they were abandoned. Their answers may still arrive, so the ids are not reused on this
    /// connection for [`ABANDONED_ID_LIFETIME`].
    abandoned: HashMap<Bytes, Micros>,
    last_used: Micros,
    /// A probe timed out here, or an attempt timed out and nothing was received from the peer since it was queued on a
    /// connection. No new attempts until an answer is received here.
    silent: bool,
    /// No new attempts; the connection is closed when those in flight are finished.
    closing: bool,
    _descriptor: Descriptor,
    /// Dropping this ends the connection's task.
    _alive: Sender<()>,
}

/// The actor of one peer.
pub struct Peer {
    id: MemberId,
    address: SocketAddr,
    /// Version of the address.
    address_version: u64,
    shared: Rc<Shared>,
    mailbox: Receiver<PeerMessage>,
    /// Sender of the own mailbox, handed to the connections.
    own_mailbox: Sender<PeerMessage>,
    connections: BTreeMap<u64, PeerConnection>,
    next_connection: u64,
    next_probe: u64,
    /// When an answer was last received on any connection.
    last_received: Micros,
    /// Moving average: share of connection breaks among answers and breaks.
    break_share: f64,
    retired: bool,
    /// Limits the log line about answers that wait for memory.
    memory_log: LimitedLine,
}

impl PeerConnection {
    /// Queues a command for the writer; false where the queue is full or the writer has ended.
    fn queue(&self, command: Command) -> bool {
        self.commands.len() < MAX_QUEUED_COMMANDS && self.commands.try_send(command).is_ok()
    }
}

impl Peer {
    /// Starts an actor and returns its mailbox.
    pub fn start(id: MemberId, address: SocketAddr, shared: &Rc<Shared>) -> Sender<PeerMessage> {
        let (own_mailbox, mailbox) = async_channel::bounded(MAILBOX_CAPACITY);
        let peer = Peer {
            id,
            address,
            address_version: 0,
            shared: shared.clone(),
            mailbox,
            own_mailbox: own_mailbox.clone(),
            connections: BTreeMap::new(),
            next_connection: 1,
            next_probe: 0,
            last_received: 0,
            break_share: 0.0,
            retired: false,
            memory_log: LimitedLine::default(),
        };
        shared.tasks.spawn(peer.run()).detach();
        own_mailbox
    }

    /// The member's name as the coordinator and the caches write it.
    fn name(&self) -> String {
        format!("s-{:08x}", self.id.0)
    }

    /// Handles messages and sweeps until the actor is retired and its last connection is closed.
    async fn run(mut self) {
        // The sweep is due by the clock and not after an idle moment: a steady flow of messages must not postpone it.
        let sweep_interval = MAX_SWEEP_INTERVAL
            .min(self.shared.site.idle_close / SWEEPS_PER_IDLE_TIMEOUT)
            .max(MIN_SWEEP_INTERVAL);
        let mut next_sweep = clock::now() + sweep_interval;
        loop {
            let timer = clock::timer_at(next_sweep);
            let sweep = async {
                timer.await;
                None
            };
            let next = match self.connections.is_empty() {
                true => self.mailbox.recv().await.ok(),
                false => future::or(async { self.mailbox.recv().await.ok() }, sweep).await,
            };
            if let Some(message) = next {
                self.handle(message).await;
            }
            if clock::now() >= next_sweep {
                self.sweep();
                next_sweep = clock::now() + sweep_interval;
            }
            if self.retired && self.connections.is_empty() {
                return self.finish().await;
            }
        }
    }

    async fn handle(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Send(attempt) => self.send_attempt(attempt).await,
            PeerMessage::Abandon(attempt, timed_out) => self.abandon(&attempt, timed_out),
            PeerMessage::Probe => self.send_probe().await,
            PeerMessage::Address(address, version) => {
                if version < self.address_version {
                    return;
                }
                self.address_version = version;
                if std::mem::replace(&mut self.address, address) != address {
                    // Connections to the old address finish their attempts and get no new ones.
                    for attempt in self.close_connections() {
                        self.send_attempt(attempt).await;
                    }
                }
            }
            PeerMessage::Retire => {
                self.retired = true;
                for attempt in self.close_connections() {
                    self.report_end(AttemptEnd::without_details(attempt.ticket, Status::Moot)).await;
                }
            }
            PeerMessage::Connected(connection, socket) => {
                if let Some(connection) = self.connections.get_mut(&connection) {
                    (connection.established, connection.socket) = (true, Some(socket));
                }
            }
            PeerMessage::AnswerBegun(connection, head) => self.handle_begun(connection, &head).await,
            PeerMessage::Answer(connection, frame) => self.handle_answer(connection, frame).await,
            PeerMessage::StreamedAnswer(connection, head, body) => {
                self.handle_streamed(connection, &head, body).await;
            }
            // The attempt has moved to another connection, which reports its end.
            PeerMessage::NotWritten(connection, attempt) if attempt.connection.get() != connection => {}
            PeerMessage::NotWritten(connection, attempt) => {
                // Its id was never used on this connection, so a retry may use it; it is established by now and the
                // best choice.
                attempt.call.used_connections.borrow_mut().retain(|used| *used != (self.id, connection));
                let same_attempt =
                    |s: &Stream| matches!(s, Stream::Attempt(a, _) if a.ticket == attempt.ticket);
                if let Some(connection) = self.connections.get(&connection) {
                    connection.streams.retain(|stream| !same_attempt(stream));
                }
                self.report_end(AttemptEnd::without_details(attempt.ticket, Status::Moot)).await;
            }
            PeerMessage::Disconnected(connection, error) => self.handle_disconnect(connection, &error).await,
        }
    }

    /// Lets all connections finish the attempts written on them and give them no new ones. Returns the attempts not yet
    /// written: a connection that is slow to come up would send them to a process that is gone or has been replaced.
    fn close_connections(&mut self) -> Vec<Rc<Attempt>> {
        let mut unwritten = Vec::new();
        for connection in self.connections.values_mut() {
            connection.closing = true;
            connection.streams.retain(|stream| match stream {
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
    async fn finish(self) {
        self.mailbox.close();
        while let Ok(message) = self.mailbox.try_recv() {
            match message {
                PeerMessage::Send(attempt) => {
                    self.report_end(AttemptEnd::without_details(attempt.ticket, Status::Moot)).await
                }
                PeerMessage::Probe => self.report_probe(Status::ConnectFailed, 0, None).await,
                _ => {}
            }
        }
    }

    /// Reports the end of an attempt to the director.
    async fn report_end(&self, end: AttemptEnd) {
        let _ = self.shared.director.send(Message::Ended(end)).await;
    }

    /// Chooses a connection for an attempt or probe with this id: an idle one; else a new one, while descriptors are
    /// plenty and the expected loss by a break of a shared connection exceeds the cost of a handshake; else the one
    /// with the fewest streams. Sharing is avoided because one malformed answer or reset ends every attempt on the
    /// connection. Where handshakes have a cost, the comparison keeps a fleet from opening a connection for each
    /// request in a busy moment. An id is used at most once on a connection, as two answers with the same id can't be
    /// told apart. A connection that the peer may be about to close is not chosen, with a wider margin for classes that
    /// may not be repeated. One on which an answer waits for memory or for its client is chosen only where no descriptor is
    /// left: answers behind it wait as well.
    fn choose_connection(&mut self, id: &[u8], attempt: Option<&Attempt>) -> Option<u64> {
        let streams = self.shared.site.streams_per_conn;
        let (now, idle, member) = (clock::now(), self.idle_timeout(), self.id);
        let classes = &self.shared.site.settings.classes;
        let at_most_once = attempt.is_some_and(|a| {
            classes.get(a.call.class).is_none_or(|c| c.idempotency == Idempotency::AtMostOnce)
        });
        let idle = if at_most_once { idle / 4 } else { idle };
        let can_take = |n: u64, c: &PeerConnection| {
            c.streams.len() < streams
                && (!c.streams.is_empty() || now.saturating_sub(c.last_used) < idle)
                && !attempt.is_some_and(|a| a.call.used_connections.borrow().contains(&(member, n)))
                && !c.silent
                && !c.closing
                && !c.streams.contains(id)
                && !c.abandoned.contains_key(id)
                && c.abandoned.len() < MAX_ABANDONED_IDS
                && c.commands.len() < MAX_QUEUED_COMMANDS - 1
        };
        let usable = self.connections.iter().filter(|(n, c)| can_take(**n, c));
        let best = usable.min_by_key(|(n, c)| (c.streams.is_held_up(), c.streams.len(), !c.established, **n));
        let best = best.map(|(n, c)| (*n, c.streams.len(), c.streams.is_held_up()));
        let has_spare = self.shared.descriptors.has_spare();
        let sharing_is_cheaper =
            |streams: usize| streams as f64 * self.break_share < self.shared.site.handshake_cost;
        match best {
            Some((n, streams, false)) if streams == 0 || !has_spare || sharing_is_cheaper(streams) => {
                return Some(n);
            }
            _ => {}
        }
        let Some(descriptor) = self.shared.descriptors.take() else {
            if best.is_none() {
                tracing::warn!(member = %self.name(), "no descriptor left for another connection");
            }
            return best.map(|(n, ..)| n);
        };
        // Bounded by `PeerConnection::queue`: a bounded channel would take memory for all of its places from the start.
        let (commands, queued_commands) = async_channel::unbounded();
        let (alive, cancelled) = async_channel::bounded(1);
        let n = self.next_connection;
        self.next_connection += 1;
        let streams = Rc::new(Streams::new(n, self.own_mailbox.clone()));
        let connection = PeerConnection {
            commands,
            established: false,
            socket: None,
            streams: streams.clone(),
            abandoned: HashMap::new(),
            last_used: now,
            silent: false,
            closing: false,
            _descriptor: descriptor,
            _alive: alive,
        };
        self.connections.insert(n, connection);
        let task = ConnectionTask {
            peer: self.id,
            connection: n,
            address: self.address,
            queued_commands,
            streams,
            cancelled,
            actor: self.own_mailbox.clone(),
            shared: self.shared.clone(),
        };
        self.shared.tasks.spawn(task.run()).detach();
        Some(n)
    }

    /// Queues an attempt on a connection, or reports it as never sent if no connection can take it.
    async fn send_attempt(&mut self, attempt: Rc<Attempt>) {
        let id = Bytes::copy_from_slice(attempt.call.rid.as_bytes());
        let connection = if attempt.abandoned.get() || self.retired {
            None
        } else {
            self.choose_connection(&id, Some(&attempt))
        };
        let Some((number, connection)) = connection.and_then(|n| Some((n, self.connections.get_mut(&n)?)))
        else {
            return self.report_end(AttemptEnd::without_details(attempt.ticket, Status::Moot)).await;
        };
        let now = clock::now();
        connection.last_used = now;
        attempt.connection.set(number);
        attempt.call.used_connections.borrow_mut().push((self.id, number));
        match connection.queue(Command::Attempt(attempt.clone())) {
            true => connection.streams.insert(id, Stream::Attempt(attempt, now)),
            false => self.report_end(AttemptEnd::without_details(attempt.ticket, Status::Moot)).await,
        }
    }

    /// Queues a probe on a connection, or reports a failed connect if no connection can take it.
    async fn send_probe(&mut self) {
        self.next_probe += 1;
        let id = Bytes::from(format!("probe-{}", self.next_probe));
        let connection = if self.retired { None } else { self.choose_connection(&id, None) };
        let sent = connection.and_then(|n| self.connections.get_mut(&n)).is_some_and(|connection| {
            let command = Command::Raw(resp::encode_array(&[b"busy", &id]));
            connection.streams.insert(id, Stream::Probe(clock::now()));
            connection.queue(command)
        });
        if !sent {
            self.report_probe(Status::ConnectFailed, 0, None).await;
        }
    }

    /// Reports the result of a probe to the director.
    async fn report_probe(&self, status: Status, elapsed: Micros, load: Option<Load>) {
        let _ = self.shared.director.send(Message::Probed { member: self.id, status, elapsed, load }).await;
    }

    /// Stops waiting for the answer to an attempt, and tells the peer so if the attempt was written.
    fn abandon(&mut self, attempt: &Rc<Attempt>, timed_out: bool) {
        let id = attempt.call.rid.as_bytes();
        let queued = |(n, c): (&u64, &PeerConnection)| Some((*n, c.streams.queued_since(attempt)?));
        let Some((number, since)) = self.connections.iter().find_map(queued) else { return };
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.streams.remove(id);
        if attempt.written.get() {
            connection.queue(Command::Raw(resp::encode_array(&[b"never_mind", id])));
            connection.abandoned.insert(Bytes::copy_from_slice(id), clock::now());
        }
        // Guards against a machine that is cut off from the network: its connections stay open but silent. New attempts
        // use a new connection, as a failed connect proves that nothing ran, and silence does not.
        let answers = self.last_received > since || connection.streams.is_held_up();
        if timed_out && !answers {
            self.connections.values_mut().for_each(|connection| connection.silent = true);
        }
        // The answer that waits for memory is of no more use, and no other is expected: what is left of it goes with its
        // connection.
        self.connections.retain(|n, c| *n != number || !(c.streams.is_waiting() && c.streams.is_empty()));
    }

    /// Tells the director that an answer with a body has come as far as there is memory for it. Of any other answer it hears
    /// when that is whole.
    async fn handle_begun(&mut self, number: u64, head: &[u8]) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let now = clock::now();
        (connection.last_used, connection.silent) = (now, false);
        self.last_received = now;
        let Ok(Some(answer)) = resp::decode_head(head) else { return };
        let Some(attempt) = connection.streams.attempt(answer.id) else { return };
        if answer.code == AnswerCode::Hit && answer.version.is_some() {
            let end = AttemptEnd {
                note: answer.note,
                waited: answer.waited,
                load: answer.load,
                ..AttemptEnd::without_details(attempt.ticket, answer.code.status())
            };
            let _ = self.shared.director.send(Message::AnswerBegun(end)).await;
        }
    }

    /// Ends the attempt that an answer belongs to whose body is passed on as it arrives.
    async fn handle_streamed(&mut self, number: u64, head: &Bytes, body: StreamedBody) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let now = clock::now();
        (connection.last_used, connection.silent) = (now, false);
        self.last_received = now;
        self.break_share -= BREAK_WEIGHT * self.break_share;
        let Ok(Some(answer)) = resp::decode_head(head) else { return };
        // Where the attempt was abandoned meanwhile, the body is dropped and its rest discarded.
        match connection.streams.remove(answer.id) {
            Some(Stream::Attempt(attempt, _)) => {
                self.report_end(AttemptEnd {
                    note: answer.note,
                    waited: answer.waited,
                    load: answer.load,
                    streamed_body: Some(body),
                    version: answer.version.map(|(tag, stamp)| (head.slice_ref(tag), stamp)),
                    ..AttemptEnd::without_details(attempt.ticket, answer.code.status())
                })
                .await;
            }
            Some(Stream::Probe(_)) => {}
            None => drop(connection.abandoned.remove(answer.id)),
        }
    }

    /// Ends the attempt or probe that an answer belongs to. A malformed answer, or one that does not match its request,
    /// ends the connection.
    async fn handle_answer(&mut self, number: u64, frame: Bytes) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let now = clock::now();
        (connection.last_used, connection.silent) = (now, false);
        self.last_received = now;
        self.break_share -= BREAK_WEIGHT * self.break_share;
        let answer = match resp::decode(&frame) {
            Ok(answer) => answer,
            Err(e) => return self.handle_disconnect(number, &e.into()).await,
        };
        let Some(stream) = connection.streams.remove(answer.id) else {
            // The attempt was abandoned while its answer was on the way, or the answer is a duplicate.
            if connection.abandoned.remove(answer.id).is_none() {
                tracing::debug!(member = %self.name(), "answer without a pending attempt discarded");
            }
            return;
        };
        match stream {
            Stream::Probe(since) => {
                let elapsed = now.saturating_sub(since);
                self.report_probe(answer.code.status(), elapsed, answer.load).await;
            }
            Stream::Attempt(attempt, _) => {
                // The answer to a write is not a copy and has no version.
                let classes = &self.shared.site.settings.classes;
                let is_complete =
                    answer.version.is_some() || classes.get(attempt.call.class).is_some_and(|c| c.write);
                let body = match answer.code {
                    AnswerCode::Hit if is_complete => Some(frame.slice_ref(answer.body)),
                    // The client's copy is current only if the cache names that same copy.
                    AnswerCode::Valid if answer.version.is_some_and(|(tag, _)| attempt.call.holds(tag)) => {
                        None
                    }
                    AnswerCode::Hit | AnswerCode::Valid | AnswerCode::Pong | AnswerCode::Sick => {
                        // Put back, so that the attempt ends together with the connection.
                        let id = Bytes::copy_from_slice(answer.id);
                        connection.streams.insert(id, Stream::Attempt(attempt, now));
                        let e =
                            io::Error::new(io::ErrorKind::InvalidData, "answer does not match its request");
                        return self.handle_disconnect(number, &e).await;
                    }
                    _ => None,
                };
                let (status, note) = (answer.code.status(), answer.note);
                let (waited, load) = (answer.waited, answer.load);
                let version = answer.version.map(|(tag, stamp)| (frame.slice_ref(tag), stamp));
                self.report_end(AttemptEnd {
                    ticket: attempt.ticket,
                    status,
                    note,
                    waited,
                    load,
                    body,
                    streamed_body: None,
                    version,
                })
                .await;
            }
        }
    }

    /// Handles the end of a connection. Attempts that were written may have run and end as reset. Those not yet written
    /// move to another connection if this one had been established; else they end as never run.
    async fn handle_disconnect(&mut self, number: u64, error: &io::Error) {
        let Some(connection) = self.connections.remove(&number) else { return };
        // Shut down first: the cache must have lost the attempts on it before the director decides on the next ones.
        if let Some(socket) = &connection.socket {
            let _ = socket.get_ref().shutdown(Shutdown::Both);
        }
        if connection.established && !connection.streams.is_empty() {
            self.break_share += BREAK_WEIGHT * (1.0 - self.break_share);
        }
        if !connection.streams.is_empty() || error.kind() == io::ErrorKind::InvalidData {
            let n = connection.streams.len();
            tracing::info!(member = %self.name(), "connection ended with {n} attempts out: {error}");
        }
        for stream in connection.streams.take() {
            match stream {
                Stream::Probe(since) => {
                    let elapsed = clock::now().saturating_sub(since);
                    let status = if connection.established { Status::Reset } else { Status::ConnectFailed };
                    self.report_probe(status, elapsed, None).await;
                }
                Stream::Attempt(a, _) if a.written.get() => {
                    self.report_end(AttemptEnd::without_details(a.ticket, Status::Reset)).await;
                }
                Stream::Attempt(a, _) if connection.established => self.send_attempt(a).await,
                // Nothing was written, so nothing ran, whatever the error says. A lack of resources on this machine
                // says nothing about the member.
                Stream::Attempt(a, _) => {
                    let status =
                        if is_local_resource_error(error) { Status::Moot } else { Status::ConnectFailed };
                    self.report_end(AttemptEnd::without_details(a.ticket, status)).await;
                }
            }
        }
    }

    /// Idle time after which a connection is closed: less than the peer's idle timeout, so that no request crosses the
    /// peer's close.
    fn idle_timeout(&self) -> Micros {
        let timeout = self.shared.site.idle_close;
        timeout - (timeout / SWEEPS_PER_IDLE_TIMEOUT).max(MIN_IDLE_MARGIN).min(timeout / 2)
    }

    /// Fails probes past their timeout and closes connections without streams that are idle, silent or closing.
    fn sweep(&mut self) {
        let (now, idle) = (clock::now(), self.idle_timeout());
        let memory = &self.shared.answer_memory;
        if memory.waiting() > 0 && self.memory_log.is_due() {
            let (waiting, used) = (memory.waiting(), memory.used());
            tracing::warn!("{waiting} answers of caches wait for memory, {used} bytes are in use");
        }
        self.connections.retain(|_, connection| {
            connection.streams.retain(|stream| match stream {
                Stream::Probe(since) if now.saturating_sub(*since) >= PROBE_TIMEOUT => {
                    let (status, elapsed, load) = (Status::Timeout, PROBE_TIMEOUT, None);
                    let message = Message::Probed { member: self.id, status, elapsed, load };
                    let _ = self.shared.director.try_send(message);
                    connection.silent = true;
                    false
                }
                _ => true,
            });
            connection.abandoned.retain(|_, at| now.saturating_sub(*at) < ABANDONED_ID_LIFETIME);
            let is_idle = now.saturating_sub(connection.last_used) >= idle;
            let is_in_use = !connection.streams.is_empty() || connection.streams.is_in_pieces();
            is_in_use || !(is_idle || connection.silent || connection.closing)
        });
    }
}

/// The task of one connection.
struct ConnectionTask {
    peer: MemberId,
    /// Number of the connection in the actor.
    connection: u64,
    address: SocketAddr,
    queued_commands: Receiver<Command>,
    streams: Rc<Streams>,
    /// Closed when the actor drops the connection.
    cancelled: Receiver<()>,
    actor: Sender<PeerMessage>,
    shared: Rc<Shared>,
}

impl ConnectionTask {
    /// Serves the connection and reports its end to the actor.
    async fn run(self) {
        let Err(error) = self.serve().await;
        let _ = self.actor.send(PeerMessage::Disconnected(self.connection, error)).await;
    }

    /// Connects, then reads answers and writes queued commands until an error or a cancellation.
    async fn serve(&self) -> Result<std::convert::Infallible, io::Error> {
        let timeout = async {
            Timer::after(Duration::from_micros(self.shared.site.settings.connect_timeout)).await;
            Err(io::Error::new(io::ErrorKind::TimedOut, "connect timed out"))
        };
        let stream = Rc::new(future::or(Async::<TcpStream>::connect(self.address), timeout).await?);
        let _ = stream.get_ref().set_nodelay(true);
        self.actor
            .send(PeerMessage::Connected(self.connection, stream.clone()))
            .await
            .map_err(closed_error)?;
        let stream = &*stream;
        let classes = &self.shared.site.settings.classes;
        let longest_deadline = Duration::from_micros(classes.iter().map(|c| c.deadline).max().unwrap_or(0));
        let read = async {
            // No client waits longer than the longest deadline, so an answer that trickles on is cut off then.
            let mut answers = MessageReader::new(stream, resp::measure, READ_CHUNK)
                .with_budget(&self.shared.answer_memory, ChargedUntil::Dropped)
                .with_owner(self.streams.clone())
                .with_stall_timeout(STALL_TIMEOUT)
                .with_message_timeout(longest_deadline);
            while let Some(incoming) = answers.next_incoming().await? {
                match incoming {
                    Incoming::Whole(frame) => {
                        let answer = PeerMessage::Answer(self.connection, frame);
                        self.actor.send(answer).await.map_err(closed_error)?;
                    }
                    Incoming::Begun(head) => {
                        self.streams.set_in_pieces(true);
                        self.pass_on_pieces(&mut answers, head).await?;
                        self.streams.set_in_pieces(false);
                    }
                }
            }
            Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed by the peer"))
        };
        let write = async {
            loop {
                let (bytes, written) = match self.queued_commands.recv().await.map_err(closed_error)? {
                    Command::Raw(bytes) => (bytes, 0),
                    Command::Attempt(attempt) => match self.write_first_bytes(stream, &attempt).await? {
                        Some(started) => started,
                        None => continue,
                    },
                };
                let mut writer = stream;
                writer.write_all(&bytes[written..]).await?;
            }
        };
        let cancellation = async {
            let _ = self.cancelled.recv().await;
            Err(io::Error::new(io::ErrorKind::NotConnected, "closed"))
        };
        future::or(future::or(read, write), cancellation).await
    }
}

impl ConnectionTask {
    /// Passes on an answer of which these bytes have arrived, piece by piece as it is read. The end of the body goes out once
    /// the answer has ended as it should. Where nobody takes the pieces, they are discarded.
    async fn pass_on_pieces(
        &self,
        answers: &mut MessageReader<&Async<TcpStream>>,
        head: Bytes,
    ) -> io::Result<()> {
        let Some((start, length)) = resp::body_position(&head) else {
            return Err(Malformed("an answer without a body in pieces").into());
        };
        let (pieces, body) = async_channel::bounded(1);
        let mut held = head.slice(start..);
        let streamed = StreamedBody { length, pieces: body };
        let answer = PeerMessage::StreamedAnswer(self.connection, head, streamed);
        self.actor.send(answer).await.map_err(closed_error)?;
        while let Some(piece) = answers.next_piece().await? {
            held = match piece.len() > resp::LINE_END.len() {
                true => {
                    let _ = pieces.send(held).await;
                    piece
                }
                false => [held, piece].concat().into(),
            };
        }
        if !held.ends_with(resp::LINE_END) {
            return Err(Malformed("string without its line end").into());
        }
        let _ = pieces.send(held).await;
        Ok(())
    }

    /// Writes the first bytes of an attempt. Returns its command and the number of bytes written; none if the attempt may
    /// no longer be sent. This is the one place where attempts are checked before they are sent: nothing may come
    /// between the check and the write, so a wait for room in the socket is followed by another check.
    async fn write_first_bytes(
        &self,
        stream: &Async<TcpStream>,
        attempt: &Rc<Attempt>,
    ) -> io::Result<Option<(Vec<u8>, usize)>> {
        loop {
            // A cancel, a drain or a purge that came during a delay may still be unread.
            if loop_monitor::is_behind() {
                loop_monitor::caught_up().await;
            }
            if attempt.abandoned.get() || attempt.connection.get() != self.connection {
                return Ok(None);
            }
            if !self.shared.state.allows(attempt, self.peer) {
                self.actor
                    .send(PeerMessage::NotWritten(self.connection, attempt.clone()))
                    .await
                    .map_err(closed_error)?;
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
fn is_local_resource_error(error: &io::Error) -> bool {
    let resource_errors = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(error).is_some_and(|errno| resource_errors.contains(&errno))
}

fn closed_error<T>(_: T) -> io::Error {
    io::Error::new(io::ErrorKind::NotConnected, "closed")
}
