//! One client's connection: read and written by a task of its own, closed in one place.

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
use super::{Front, MOST_ANSWERS, MOST_OPEN};
use crate::counters::{CloseReason, RefusalReason};
use crate::drain::{ConnectionState, HoldReason};
use crate::framing::{Malformed, MessageReader};
use crate::traffic::{Message, Port, Verdict};
use crate::{clock, invariant, thrift};

/// Read at a time: an idle connection holds no more.
const CHUNK: usize = 8 * 1024;
/// Bodies up to this are copied behind their head, so that one write does.
const SMALL: usize = 4096;
/// Bytes of answers that may wait for a client before it is refused more: at 1 MB/s, the slowest that the operators name,
/// they are taken within the time that a drain or an end leaves.
const MOST_BACKLOG: usize = 1_500_000;
/// A client that takes no byte of an answer for so long is gone.
const STALLED: Duration = Duration::from_secs(10);
/// A connection without an open request is closed after so long: usual clients close theirs after 4 s.
const IDLE: Micros = 5_000_000;
/// So long may pass to the first message of a connection, and within any: who says nothing, or half of
/// something, is owed a close within 3 s.
const SILENT: Micros = 2_500_000;
/// A message that began to come within this is waited for, when its connection is to be closed.
const HALF: Micros = 300_000;
/// What the writer has to write.
#[derive(Debug)]
pub(super) enum Reply {
    Verdict(i32, Verdict),
    Well(i32, bool),
    Unknown(i32, String),
}

/// A connection as the director and the front see it.
#[derive(Debug)]
pub(super) struct Connection {
    pub id: u64,
    /// Answers to requests that were handed on.
    out: Sender<Reply>,
    /// Requests handed on whose answer is not written yet: from the moment they are read to the last byte.
    pub open: Cell<usize>,
    /// Any message came; and when it last had something to do.
    pub asked: Cell<bool>,
    pub used: Cell<Micros>,
    /// When a request last came.
    last_request: Cell<Option<Micros>>,
    /// Half a message was there at the last look before a close.
    half: Cell<bool>,
    /// When the client last took bytes of an answer.
    taken: Cell<Micros>,
    /// Since when answers wait to be written; 0: none did yet.
    waits_since: Cell<Micros>,
    /// What it has still to read.
    reading: Reading,
    /// Ends it at once.
    pub cut: Sender<CloseReason>,
    /// Asks it to close once it owes nothing.
    pub close: Sender<()>,
    pub held: Cell<usize>,
    pub owed: Cell<usize>,
    /// Replies of the reader's own, not written yet.
    replies: Cell<usize>,
    /// The client has closed, or its connection was cut.
    gone: Cell<bool>,
    /// To look at once more when something is sent for it; not held, so that it closes with its task.
    stream: Weak<Async<TcpStream>>,
    front: Rc<Front>,
}

/// Ends of the channels that its task reads.
pub(super) struct Ends {
    answers: Receiver<Reply>,
    cuts: Receiver<CloseReason>,
    closes: Receiver<()>,
}

impl Port for Connection {
    fn id(&self) -> u64 {
        self.id
    }

    /// It waits in a queue that the count of open requests bounds.
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

    /// Looks at the socket itself: its reader may not have come round to the end, or wait for room in a queue.
    fn is_gone(&self) -> bool {
        if self.gone.get() {
            return true;
        }
        let Some(stream) = self.stream.upgrade() else { return true };
        let gone = match stream.get_ref().peek(&mut [0]) {
            Ok(0) => true,
            // An end behind bytes that wait to be read.
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
    /// A new connection and the ends that its task needs.
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

    /// What the drain goes by.
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

    /// Why a drain or an end keeps it for now; none: it closes at its next look, or nothing lets it go.
    pub fn hold(&self, now: Micros) -> Option<&'static str> {
        let hold = self.front.drain.borrow().hold_reason(now, self.seen());
        match hold {
            None if self.half.get() => Some("half_message"),
            Some(HoldReason::OpenRequests) if self.owed.get() > 0 => Some("unwritten_answers"),
            hold => hold.map(HoldReason::name),
        }
    }

    /// Requests on it wait for their answer.
    pub fn is_waiting(&self) -> bool {
        self.open.get() > self.owed.get()
    }

    /// Since when the client has taken nothing of the answers that wait: it had nothing to take before they came.
    pub fn takes_nothing_since(&self) -> Micros {
        self.taken.get().max(self.waits_since.get())
    }

    /// For log lines: how many answers wait to be written, and how long ago a request last came.
    pub fn backlog(&self, now: Micros) -> (usize, Option<Micros>) {
        (self.owed.get(), self.last_request.get().map(|at| now.saturating_sub(at)))
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

    /// When a connection that says no more is closed; none while a request is open.
    fn idle_until(&self, begun: Option<Micros>) -> Option<Micros> {
        match (self.asked.get(), begun) {
            (false, _) => Some(self.used.get() + SILENT),
            (true, Some(begun)) => Some(begun + SILENT),
            (true, None) => (self.seen().open == 0).then(|| self.used.get() + IDLE),
        }
    }

    /// The connection's life: the one place where it ends.
    pub async fn run(self: Rc<Self>, stream: Rc<Async<TcpStream>>, came: Micros, ends: Ends) {
        let _ = stream.get_ref().set_nodelay(true);
        // What the kernel holds is out of sight: a platform without the option keeps the usual.
        let _ = SockRef::from(stream.get_ref()).set_tcp_notsent_lowat(UNSENT);
        // What needs no decision is answered by the reader itself, which waits while that is not taken.
        let (own, direct) = async_channel::bounded(MOST_OPEN);
        let cut = async { Ok(End::Closing(ends.cuts.recv().await.unwrap_or(CloseReason::Memory))) };
        let write = self.write(&stream, &ends.answers, &direct);
        let ended = future::or(cut, future::or(self.read(&stream, came, own, &ends.closes), write)).await;
        // Nothing may come between the last look at the socket, which found nothing, and this: what is read from here
        // on is thrown away. The client sends it anew elsewhere.
        self.gone.set(true);
        let reason = match &ended {
            Ok(End::Closing(reason)) => *reason,
            Ok(End::Left) => CloseReason::ClientLeft,
            Err(e) => self.reason_of(e),
        };
        let open = self.seen().open;
        tracing::debug!(client = self.id, open, reason = reason.name(), "closed");
        self.front.counters.closed(reason);
        // Answers that it was given before stay readable, whatever ends it from this side.
        let lingers = reason != CloseReason::ClientLeft && stream.get_ref().shutdown(Shutdown::Write).is_ok();
        let hurried = lingers.then(|| self.front.closing.add(self.id, self.taken.get()));
        self.front.ended(self.id);
        self.out.close();
        // What was not written is not owed any more.
        self.owe(-(self.owed.get() as isize), -(self.held.get() as isize));
        if let Some(hurried) = hurried {
            let _ = self.front.director.send(Message::Left { port: self.id }).await;
            let at_most = self.front.drain.borrow().close_timeout(clock::now(), LINGER);
            throw_away(&stream, at_most, hurried).await;
        }
        drop(stream);
        self.front.closed(self.id);
        if !lingers {
            let _ = self.front.director.send(Message::Left { port: self.id }).await;
        }
    }

    /// What an error on the connection means for it.
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
                // Looked at again after IDLE at the latest, as a request may have ended meanwhile.
                let until = self.idle_until(begun).unwrap_or(clock::now() + IDLE);
                clock::timer_at(until).await;
                Err(ErrorKind::WouldBlock.into())
            };
            let asked = async {
                let _ = closes.recv().await;
                Err(ErrorKind::WouldBlock.into())
            };
            // The socket is read first at each turn: where a close is due as well, what came goes before it.
            let frame = match future::or(frames.next(), future::or(asked, quiet)).await {
                Ok(Some(frame)) => frame,
                // The client has closed, also where requests are open: nobody waits for them.
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
                    front.director.send(Message::Forget { port: self.id, seq }).await.map_err(closed)?;
                    None
                }
                thrift::Message::Unknown { oneway: true, .. } => None,
                thrift::Message::Serve { seq, .. } if seq <= last_seq => {
                    // Two answers under one number could not be told apart.
                    return Err(Malformed("a number that does not count up").into());
                }
                thrift::Message::Serve { seq, fields, body } => {
                    last_seq = seq;
                    self.last_request.set(Some(arrived));
                    let body = frame.slice_ref(body);
                    // Its time runs from its last byte, wherever that lay until it was read: the deadline that is passed on
                    // must be no more than the client has left.
                    match front.call(&fields, body, frames.received_at()) {
                        // Past what may be open: nothing has run, and `forget` must be read behind it.
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
                                let request = Message::Request { port: self.clone(), seq, call };
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
            // A client that sends at full speed must not keep others out.
            future::yield_now().await;
        }
    }

    /// Why a drain or an end refuses a request that came now.
    fn refuses(&self, arrived: Micros, deadline: Micros) -> Option<RefusalReason> {
        self.front.drain.borrow().refusal(arrived, deadline, self.seen())
    }

    /// Why it closes, now that there was nothing to read: it is to, by its own time or because it was asked, and owes
    /// nothing.
    fn may_close(&self, begun: Option<Micros>) -> Option<CloseReason> {
        let now = clock::now();
        let idle = self.idle_until(begun).is_some_and(|until| until <= now);
        let waits = self.front.drain.borrow().waits_for_partial_message(now);
        let half = waits && begun.is_some_and(|begun| now < begun + HALF);
        self.half.set(half);
        // Half a message for so long ends the connection with all that is open on it: who sends it is broken, and the
        // time that has passed would be over at every further look.
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
            (_, true, _) => Some(CloseReason::Room),
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
            // Under a drain a connection goes with its last answer, before its client sends anew.
            if self.owed.get() == 0 && self.front.drain.borrow().may_close(clock::now(), self.seen()) {
                let _ = self.close.try_send(());
            }
        }
        Ok(End::Left)
    }
}

impl Connection {
    /// Writes all of it, as long as the client takes some of it every now and then.
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
    /// The client has closed, or nobody is left to answer.
    Left,
    /// This side closes it, and owes nothing.
    Closing(CloseReason),
}

fn closed<T>(_: T) -> io::Error {
    ErrorKind::BrokenPipe.into()
}

/// The parts of a reply: what stands before the body, the body as it came, what stands behind.
fn encode(reply: Reply) -> (Vec<u8>, Bytes, Vec<u8>) {
    let whole = |frame| (frame, Bytes::new(), Vec::new());
    match reply {
        Reply::Verdict(seq, Verdict::Served(body)) => {
            let [head, tail] = thrift::encode_answer("serve", seq, body.len(), &[], true);
            (head, body, tail)
        }
        Reply::Verdict(seq, Verdict::Holds) => {
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
