//! One client's connection. A task of its own reads and writes it, and it is closed in one place, [`Connection::run`].

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bitternhold::Micros;
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, future};
use rustix::event::{PollFd, PollFlags, poll};
use rustix::time::Timespec;
use socket2::SockRef;

use super::closing::{LINGER, UNSENT, throw_away};
use super::reading::Reading;
use super::{Front, MAX_OPEN_REQUESTS, MOST_ANSWERS};
use crate::counters::{CloseReason, RefusalReason};
use crate::drain::{ConnectionState, HoldReason};
use crate::framing::{Malformed, MessageReader};
use crate::traffic::{ClientHandle, Message, Verdict};
use crate::{clock, invariant, thrift};

/// Maximum number of bytes per read, and so of the buffer of an idle connection.
const CHUNK: usize = 8 * 1024;
/// Bodies up to this number of bytes are copied behind their head, so that one write sends both.
const SMALL: usize = 4096;
/// Bytes of unwritten answers from which on a client's further requests are refused. A client that reads 1 MB/s, the
/// slowest rate that the operators name, takes them within the time that a drain or a shutdown leaves.
const MOST_BACKLOG: usize = 1_500_000;
/// A client that reads no byte of an answer for this time counts as gone.
const STALLED: Duration = Duration::from_secs(10);
/// Idle timeout of a connection without an open request, in microseconds. Usual clients close theirs after 4 s.
const IDLE: Micros = 5_000_000;
/// Timeout of the first message of a connection, and of completing any message, in microseconds. A client that sends
/// nothing or half a message is entitled to a close within 3 s.
const SILENT: Micros = 2_500_000;
/// When a connection is to be closed, a message that began to arrive less than this time ago, in microseconds, is waited
/// for.
const HALF: Micros = 300_000;
/// Reply for the writer to encode and send.
#[derive(Debug)]
pub(super) enum Reply {
    Verdict(i32, Verdict),
    Well(i32, bool),
    Unknown(i32, String),
}

/// A connection's state, shared between its task, the director and the front.
#[derive(Debug)]
pub(super) struct Connection {
    pub id: u64,
    /// Queue of answers to requests that were passed to the director.
    out: Sender<Reply>,
    /// Number of requests passed to the director, counted from when they are read until the last byte of their answer
    /// is written.
    pub open: Cell<usize>,
    /// A message was received on this connection.
    pub asked: Cell<bool>,
    /// When a message was last received or a request last finished.
    pub used: Cell<Micros>,
    /// When a request was last received.
    last_request: Cell<Option<Micros>>,
    /// Part of a message had arrived at the last check before a close.
    half: Cell<bool>,
    /// When bytes of an answer were last written.
    taken: Cell<Micros>,
    /// Since when answers have been waiting to be written; 0 if none ever did.
    waits_since: Cell<Micros>,
    /// Estimate of what the client has still to read.
    reading: Reading,
    /// Closes the connection at once.
    pub cut: Sender<CloseReason>,
    /// Asks the connection to close once it owes nothing.
    pub close: Sender<()>,
    /// Bytes of the bodies in unwritten answers.
    pub held: Cell<usize>,
    /// Number of unwritten answers.
    pub owed: Cell<usize>,
    /// Number of unwritten replies by the reader itself, which needed no decision.
    replies: Cell<usize>,
    /// The client has closed, or its connection was cut.
    gone: Cell<bool>,
    /// Checked for the client's close before anything is sent on its behalf. Weak, so that the socket closes with the
    /// connection's task.
    stream: Weak<Async<TcpStream>>,
    front: Rc<Front>,
}

/// Receiving ends of the channels that the connection's task reads.
pub(super) struct Ends {
    answers: Receiver<Reply>,
    cuts: Receiver<CloseReason>,
    closes: Receiver<()>,
}

impl ClientHandle for Connection {
    fn id(&self) -> u64 {
        self.id
    }

    /// Puts the answer into a queue that is bounded by the number of open requests.
    fn answer(&self, seq: i32, verdict: Verdict) {
        let bytes = verdict.bytes();
        if self.out.try_send(Reply::Verdict(seq, verdict)).is_ok() {
            if self.owed.get() == 0 {
                self.waits_since.set(clock::now());
            }
            self.owe(1, bytes as isize);
            self.front.relieve();
        }
    }

    fn drop_request(&self) {
        self.finished();
    }

    /// Checks the socket itself: the reader may not have reached the end of the stream yet, or may be waiting for room
    /// in a queue.
    fn is_gone(&self) -> bool {
        if self.gone.get() {
            return true;
        }
        let Some(stream) = self.stream.upgrade() else { return true };
        let gone = match stream.get_ref().peek(&mut [0]) {
            Ok(0) => true,
            // The client may have closed behind bytes that are still unread.
            Ok(_) => {
                let mut fds = [PollFd::new(stream.get_ref(), PollFlags::RDHUP)];
                let now = Timespec { tv_sec: 0, tv_nsec: 0 };
                let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
                poll(&mut fds, Some(&now)).is_ok_and(|n| n > 0) && fds[0].revents().intersects(ends)
            }
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        };
        self.gone.set(gone);
        gone
    }
}

impl Connection {
    /// Creates a connection's state and the channel ends that its task needs.
    pub fn new(id: u64, stream: &Rc<Async<TcpStream>>, front: &Rc<Front>) -> (Rc<Self>, Ends) {
        let (out, answers) = async_channel::bounded(MOST_ANSWERS);
        let (cut, cuts) = async_channel::bounded(1);
        let (close, closes) = async_channel::bounded(1);
        let port = Self {
            id,
            out,
            open: Cell::new(0),
            asked: Cell::new(false),
            used: Cell::new(clock::now()),
            last_request: Cell::new(None),
            half: Cell::new(false),
            taken: Cell::new(0),
            waits_since: Cell::new(0),
            reading: Reading::default(),
            cut,
            close,
            held: Cell::new(0),
            owed: Cell::new(0),
            replies: Cell::new(0),
            gone: Cell::new(false),
            stream: Rc::downgrade(stream),
            front: front.clone(),
        };
        (Rc::new(port), Ends { answers, cuts, closes })
    }

    /// The state by which the drain decides about this connection.
    pub fn seen(&self) -> ConnectionState {
        ConnectionState {
            open: self.open.get() + self.replies.get(),
            unwritten: self.owed.get() + self.replies.get(),
            last_request: self.last_request.get(),
            unread_until: self.reading.reads_until(clock::now()),
            slow_reader: self.reading.is_slow(clock::now()),
            had_request: self.asked.get(),
            last_active: self.used.get(),
        }
    }

    /// Why a drain or a shutdown keeps the connection for now; none if it closes at its next check or neither is under
    /// way.
    pub fn hold(&self, now: Micros) -> Option<&'static str> {
        let hold = self.front.drain.borrow().hold_reason(now, self.seen());
        match hold {
            None if self.half.get() => Some("half_message"),
            Some(HoldReason::OpenRequests) if self.owed.get() > 0 => Some("unwritten_answers"),
            hold => hold.map(HoldReason::name),
        }
    }

    /// Whether requests on the connection wait for the director's answer.
    pub fn is_waiting(&self) -> bool {
        self.open.get() > self.owed.get()
    }

    /// Since when the client has read nothing of the waiting answers. The time before they were ready does not count.
    pub fn takes_nothing_since(&self) -> Micros {
        self.taken.get().max(self.waits_since.get())
    }

    /// For log lines: the number of answers that wait to be written, and the time since the last request.
    pub fn backlog(&self, now: Micros) -> (usize, Option<Micros>) {
        (self.owed.get(), self.last_request.get().map(|at| now.saturating_sub(at)))
    }

    /// Counts an open request as finished.
    fn finished(&self) {
        invariant!(self.open.get() > 0, "more requests finished than taken in");
        self.open.set(self.open.get().saturating_sub(1));
        self.used.set(clock::now());
    }

    /// Changes the counts of unwritten answers and of the bytes of their bodies, here and in the front.
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

    /// When the connection is closed if nothing more arrives; none while a request is open.
    fn idle_until(&self, begun: Option<Micros>) -> Option<Micros> {
        match (self.asked.get(), begun) {
            (false, _) => Some(self.used.get() + SILENT),
            (true, Some(begun)) => Some(begun + SILENT),
            (true, None) => (self.seen().open == 0).then(|| self.used.get() + IDLE),
        }
    }

    /// Runs the connection until it is closed. This is the only place where it ends.
    pub async fn run(self: Rc<Self>, stream: Rc<Async<TcpStream>>, came: Micros, ends: Ends) {
        let _ = stream.get_ref().set_nodelay(true);
        // Limits the unsent bytes in the kernel, which can't be observed. Platforms without the option keep the default.
        let _ = SockRef::from(stream.get_ref()).set_tcp_notsent_lowat(UNSENT);
        // The reader itself replies to messages that need no decision; it waits while these replies are not written.
        let (own, direct) = async_channel::bounded(MAX_OPEN_REQUESTS);
        let cut = async { Ok(End::Closing(ends.cuts.recv().await.unwrap_or(CloseReason::Memory))) };
        let write = self.write(&stream, &ends.answers, &direct);
        let ended = future::or(cut, future::or(self.read(&stream, came, own, &ends.closes), write)).await;
        // No await may come between the last check of the socket, which found nothing, and this line: whatever arrives
        // from here on is discarded, and the client sends it again elsewhere.
        self.gone.set(true);
        let reason = match &ended {
            Ok(End::Closing(reason)) => *reason,
            Ok(End::Left) => CloseReason::ClientLeft,
            Err(e) => self.reason_of(e),
        };
        let open = self.seen().open;
        tracing::debug!(client = self.id, open, reason = reason.name(), "closed");
        self.front.counters.closed(reason);
        // Whatever the reason for a close from this side, answers already written stay readable.
        let lingers = reason != CloseReason::ClientLeft && stream.get_ref().shutdown(Shutdown::Write).is_ok();
        let hurried = lingers.then(|| self.front.closing.add(self.id, self.taken.get()));
        self.front.ended(self.id);
        self.out.close();
        // Unwritten answers no longer count.
        self.owe(-(self.owed.get() as isize), -(self.held.get() as isize));
        if let Some(hurried) = hurried {
            let _ = self.front.director.send(Message::Disconnected { client: self.id }).await;
            let at_most = self.front.drain.borrow().close_timeout(clock::now(), LINGER);
            throw_away(&stream, at_most, hurried).await;
        }
        drop(stream);
        self.front.closed(self.id);
        if !lingers {
            let _ = self.front.director.send(Message::Disconnected { client: self.id }).await;
        }
    }

    /// Close reason for an error on the connection.
    fn reason_of(&self, error: &io::Error) -> CloseReason {
        match error.kind() {
            ErrorKind::InvalidData => {
                tracing::warn!(client = self.id, "{error}; closed");
                CloseReason::Malformed
            }
            ErrorKind::TimedOut => CloseReason::Stalled,
            _ => {
                tracing::debug!(client = self.id, "{error}");
                CloseReason::ClientLeft
            }
        }
    }

    async fn read(
        self: &Rc<Self>,
        stream: &Async<TcpStream>,
        came: Micros,
        own: Sender<Reply>,
        closes: &Receiver<()>,
    ) -> io::Result<End> {
        let front = &*self.front;
        let mut frames = MessageReader::new(stream, thrift::measure, CHUNK).unread_since(came);
        let mut last_seq = 0;
        loop {
            let begun = frames.partial_since();
            let quiet = async {
                // Checked again after IDLE at the latest, as a request may have finished meanwhile.
                let until = self.idle_until(begun).unwrap_or(clock::now() + IDLE);
                clock::timer_at(until).await;
                Err(ErrorKind::WouldBlock.into())
            };
            let asked = async {
                let _ = closes.recv().await;
                Err(ErrorKind::WouldBlock.into())
            };
            // The socket is polled first, so that a message that has arrived goes before a close that is due.
            let frame = match future::or(frames.next(), future::or(asked, quiet)).await {
                Ok(Some(frame)) => frame,
                // The client has closed. If requests are open, nobody waits for their answers.
                Ok(None) => return Ok(End::Left),
                Err(e) if e.kind() == ErrorKind::WouldBlock => match self.may_close(frames.partial_since()) {
                    Some(reason) => return Ok(End::Closing(reason)),
                    None => continue,
                },
                Err(e) => return Err(e),
            };
            let arrived = clock::now();
            self.asked.set(true);
            self.used.set(arrived);
            let reply = match thrift::decode(&frame)? {
                thrift::Message::Forget(seq) => {
                    front.director.send(Message::Forget { client: self.id, seq }).await.map_err(closed)?;
                    None
                }
                thrift::Message::Unknown { oneway: true, .. } => None,
                thrift::Message::Serve { seq, .. } if seq <= last_seq => {
                    // Two answers with the same sequence number could not be told apart.
                    return Err(Malformed("a number that does not count up").into());
                }
                thrift::Message::Serve { seq, fields, body } => {
                    last_seq = seq;
                    self.last_request.set(Some(arrived));
                    let body = frame.slice_ref(body);
                    // The request's time runs from the arrival of its last byte, even if it was read later: the deadline
                    // passed on must not exceed the time that the client has left.
                    match front.call(&fields, body, frames.received_at()) {
                        // Too many open requests. Nothing has run, so a refusal is safe; reading must go on, as a `forget`
                        // may follow.
                        Ok(call) if self.open.get() >= MOST_ANSWERS => {
                            Some(Reply::Verdict(seq, front.refuse(call, RefusalReason::TooManyOpen)))
                        }
                        Ok(call) if self.held.get() >= MOST_BACKLOG => {
                            Some(Reply::Verdict(seq, front.refuse(call, RefusalReason::Backlog)))
                        }
                        Ok(call) => match self.refuses(arrived, call.deadline) {
                            Some(reason) => Some(Reply::Verdict(seq, front.refuse(call, reason))),
                            None => {
                                self.open.set(self.open.get() + 1);
                                let request = Message::Request { client: self.clone(), seq, call };
                                front.director.send(request).await.map_err(closed)?;
                                None
                            }
                        },
                        Err(verdict) => Some(Reply::Verdict(seq, verdict)),
                    }
                }
                thrift::Message::IsWell(seq) => Some(Reply::Well(seq, front.drain.borrow().ready())),
                thrift::Message::Unknown { seq, name, .. } => {
                    Some(Reply::Unknown(seq, String::from_utf8_lossy(name).into_owned()))
                }
            };
            if let Some(reply) = reply {
                self.replies.set(self.replies.get() + 1);
                own.send(reply).await.map_err(closed)?;
            }
            // A client that sends at full speed must not starve the others.
            future::yield_now().await;
        }
    }

    /// Why a drain or a shutdown refuses a request that arrived now, if it does.
    fn refuses(&self, arrived: Micros, deadline: Micros) -> Option<RefusalReason> {
        self.front.drain.borrow().refusal(arrived, deadline, self.seen())
    }

    /// Reason to close now, when there was nothing to read: a timeout has passed or a close was asked for, and the
    /// connection owes nothing. None if it stays open.
    fn may_close(&self, begun: Option<Micros>) -> Option<CloseReason> {
        let now = clock::now();
        let idle = self.idle_until(begun).is_some_and(|until| until <= now);
        let waits = self.front.drain.borrow().waits_for_partial_message(now);
        let half = waits && begun.is_some_and(|begun| now < begun + HALF);
        self.half.set(half);
        // An incomplete message past its timeout ends the connection, also with requests open: such a client is broken,
        // and as the timeout has passed, every further wait would end at once.
        if begun.is_some_and(|begun| now >= begun + SILENT) {
            return Some(CloseReason::HalfMessage);
        }
        let front = &self.front;
        let room = front.wanted.replace(front.wanted.get().filter(|id| *id != self.id)) == Some(self.id);
        let drained = front.drain.borrow().may_close(now, self.seen());
        if self.seen().open > 0 {
            return None;
        }
        match (drained && !half, room && !half, idle) {
            (true, ..) => Some(CloseReason::Drained),
            (_, true, _) => Some(CloseReason::MakeRoom),
            (.., true) => Some(CloseReason::Idle),
            _ => None,
        }
    }

    async fn write(
        &self,
        stream: &Async<TcpStream>,
        answers: &Receiver<Reply>,
        direct: &Receiver<Reply>,
    ) -> io::Result<End> {
        let answer = async || answers.recv().await.map(|reply| (true, reply));
        let own = async || direct.recv().await.map(|reply| (false, reply));
        while let Ok((handed_on, reply)) = future::or(answer(), own()).await {
            let (mut head, body, tail) = encode(reply);
            let write = async {
                if body.len() <= SMALL {
                    head.extend_from_slice(&body);
                    head.extend_from_slice(&tail);
                    return self.write_part(stream, &head).await;
                }
                self.write_part(stream, &head).await?;
                self.write_part(stream, &body).await?;
                self.write_part(stream, &tail).await
            };
            let written = write.await;
            if handed_on {
                self.owe(-1, -(body.len() as isize));
                self.finished();
            } else {
                self.replies.set(self.replies.get().saturating_sub(1));
            }
            written?;
            // During a drain a connection closes right after its last answer, before the client sends another request.
            if self.owed.get() == 0 && self.front.drain.borrow().may_close(clock::now(), self.seen()) {
                let _ = self.close.try_send(());
            }
        }
        Ok(End::Left)
    }
}

impl Connection {
    /// Writes all bytes; fails if the client takes none of them for [`STALLED`].
    async fn write_part(&self, mut stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let stalled = async {
                Timer::after(STALLED).await;
                Err(ErrorKind::TimedOut.into())
            };
            let began = clock::now();
            let written = future::or(stream.write(bytes), stalled).await?;
            if written == 0 {
                return Err(ErrorKind::WriteZero.into());
            }
            let now = clock::now();
            self.taken.set(now);
            self.reading.wrote(now, written, now.saturating_sub(began));
            bytes = &bytes[written..];
        }
        Ok(())
    }
}

/// How a connection ended.
enum End {
    /// The client has closed, or no further answers can come.
    Left,
    /// This side closes the connection.
    Closing(CloseReason),
}

fn closed<T>(_: T) -> io::Error {
    ErrorKind::BrokenPipe.into()
}

/// Encodes a reply in three parts: the bytes before the body, the body without a copy, the bytes after it.
fn encode(reply: Reply) -> (Vec<u8>, Bytes, Vec<u8>) {
    let whole = |frame| (frame, Bytes::new(), Vec::new());
    match reply {
        Reply::Verdict(seq, Verdict::Served(body)) => {
            let [head, tail] = thrift::encode_answer("serve", seq, body.len(), &[], true);
            (head, body, tail)
        }
        Reply::Verdict(seq, Verdict::NotModified) => {
            let [head, tail] = thrift::encode_answer("serve", seq, 0, &[("keep", "1")], true);
            (head, Bytes::new(), tail)
        }
        Reply::Verdict(seq, Verdict::Refused(refusal)) => {
            whole(thrift::encode_throttled(seq, refusal.backoff()))
        }
        Reply::Verdict(seq, Verdict::Failed) => whole(thrift::encode_broken(seq)),
        Reply::Well(seq, good) => {
            let [head, tail] = thrift::encode_answer("isWell", seq, 0, &[], good);
            (head, Bytes::new(), tail)
        }
        Reply::Unknown(seq, name) => whole(thrift::encode_unknown_method(&name, seq)),
    }
}
