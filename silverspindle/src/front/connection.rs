//! One client's connection. A task of its own reads and writes it, and it is closed in one place, [`Connection::run`].

use std::cell::Cell;
use std::future::poll_fn;
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
use silverspindle_wire::memory::{Claim, Recipient, Reservation};
use socket2::SockRef;

use super::closing::{LINGER_TIMEOUT, MAX_UNSENT, discard_until_closed};
use super::reading::ReadProgress;
use super::replies::{EncodedBody, EncodedReply, LONG_NAME, LongNames, Reply, UnknownMethod, encode};
use super::{EXPECTED_OPEN_REQUESTS, Front, MAX_QUEUED_ANSWERS};
use crate::counters::{CloseReason, RefusalReason};
use crate::drain::{ConnectionState, Drain, HoldReason};
use crate::framing::{ChargedUntil, Malformed, MessageReader};
use crate::traffic::{Call, ClientHandle, Message, StreamedBody, Verdict};
use crate::{clock, invariant, thrift};

/// Maximum number of bytes that are read of a request before there is memory for all of it.
const READ_CHUNK: usize = 4 * 1024;
/// Bodies up to this number of bytes are copied behind their head, so that one write sends both.
const MAX_COPIED_BODY: usize = 4096;
/// Bytes of unwritten answers from which on a client's further requests are refused. A client that reads 1 MB/s, the
/// slowest rate that the operators name, takes them within the time that a drain or a shutdown leaves.
const MAX_UNWRITTEN_BYTES: usize = 1_500_000;
/// A client that reads no byte of an answer for this time counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle timeout of a connection without an open request, in microseconds. Usual clients close theirs after 4 s.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// Timeout of the first message of a connection, and of completing any message, in microseconds. A client that sends
/// nothing or half a message is entitled to a close within 3 s.
const MESSAGE_TIMEOUT: Micros = 2_500_000;
/// When a connection is to be closed, a message that began to arrive less than this time ago, in microseconds, is waited
/// for.
const PARTIAL_MESSAGE_WAIT: Micros = 300_000;

/// A connection's state, shared between its task, the director and the front.
#[derive(Debug)]
pub(super) struct Connection {
    pub id: u64,
    /// Queue of answers to requests that were passed to the director.
    answer_queue: Sender<Reply>,
    /// Number of requests passed to the director, counted from when they are read until the last byte of their answer
    /// is written.
    pub open: Cell<usize>,
    /// A message was received on this connection.
    pub received_any: Cell<bool>,
    /// When a message was last received or a request last finished.
    pub last_active: Cell<Micros>,
    /// When a request was last received.
    last_request: Cell<Option<Micros>>,
    /// Part of a message had arrived at the last check before a close.
    partial_message: Cell<bool>,
    /// When bytes of an answer were last written.
    last_written: Cell<Micros>,
    /// Since when answers have been waiting to be written; 0 if none ever did.
    unwritten_since: Cell<Micros>,
    /// When the client has stopped waiting for all of its requests.
    gives_up_at: Cell<Micros>,
    /// Estimate of what the client has still to read.
    read_progress: ReadProgress,
    /// Closes the connection at once.
    pub cut: Sender<()>,
    /// Asks the connection to close once it owes nothing.
    pub close: Sender<()>,
    /// Bytes of the bodies in unwritten answers.
    pub unwritten_bytes: Cell<usize>,
    /// Number of unwritten answers.
    pub unwritten_answers: Cell<usize>,
    /// Number of unwritten replies by the reader itself, which needed no decision.
    unwritten_replies: Cell<usize>,
    /// The client has closed, or its connection was cut.
    gone: Cell<bool>,
    /// Checked for the client's close before anything is sent on its behalf. Weak, so that the socket closes with the
    /// connection's task.
    stream: Weak<Async<TcpStream>>,
    front: Rc<Front>,
}

/// Receiving ends of the channels that the connection's task reads.
pub(super) struct TaskChannels {
    answers: Receiver<Reply>,
    cuts: Receiver<()>,
    closes: Receiver<()>,
}

impl ClientHandle for Connection {
    fn id(&self) -> u64 {
        self.id
    }

    /// Puts the answer into a queue that is bounded by the number of open requests.
    fn answer(&self, seq: i32, verdict: Verdict) {
        let bytes = verdict.bytes();
        let has_place = self.answer_queue.len() < MAX_QUEUED_ANSWERS;
        if has_place && self.answer_queue.try_send(Reply::Verdict(seq, verdict)).is_ok() {
            if self.unwritten_answers.get() == 0 {
                self.unwritten_since.set(clock::now());
            }
            self.add_unwritten(1, bytes as isize);
        }
    }

    /// Counts a request as finished that will get no answer.
    fn drop_request(&self) {
        self.finish_request();
    }

    /// A client that reads slowly gets no more than a part of what is free, so that it leaves room for the others.
    fn has_room(&self, bytes: usize) -> bool {
        let reads_slowly = self.unwritten_answers.get() > 0 && self.read_progress.is_slow(clock::now());
        self.front.has_room(bytes)
            && (!reads_slowly || self.front.has_room_for_slow(self.unwritten_bytes.get(), bytes))
    }

    fn is_behind(&self) -> bool {
        self.unwritten_answers.get() > 0
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
            Ok(_) => has_ended(stream.get_ref()),
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        };
        self.gone.set(gone);
        gone
    }
}

impl Connection {
    /// Creates a connection's state and the channel ends that its task needs.
    pub fn new(id: u64, stream: &Rc<Async<TcpStream>>, front: &Rc<Front>) -> (Rc<Self>, TaskChannels) {
        // Bounded by its one sender: a bounded channel would take memory for all of its places from the start.
        let (answer_queue, answers) = async_channel::unbounded();
        let (cut, cuts) = async_channel::bounded(1);
        let (close, closes) = async_channel::bounded(1);
        let connection = Self {
            id,
            answer_queue,
            open: Cell::new(0),
            received_any: Cell::new(false),
            last_active: Cell::new(clock::now()),
            last_request: Cell::new(None),
            partial_message: Cell::new(false),
            last_written: Cell::new(0),
            unwritten_since: Cell::new(0),
            gives_up_at: Cell::new(0),
            read_progress: ReadProgress::default(),
            cut,
            close,
            unwritten_bytes: Cell::new(0),
            unwritten_answers: Cell::new(0),
            unwritten_replies: Cell::new(0),
            gone: Cell::new(false),
            stream: Rc::downgrade(stream),
            front: front.clone(),
        };
        (Rc::new(connection), TaskChannels { answers, cuts, closes })
    }

    /// The state by which the drain decides about this connection.
    pub fn state(&self) -> ConnectionState {
        ConnectionState {
            open: self.open.get() + self.unwritten_replies.get(),
            unwritten: self.unwritten_answers.get() + self.unwritten_replies.get(),
            last_request: self.last_request.get(),
            unread_until: self.read_progress.unread_until(clock::now()),
            slow_reader: self.read_progress.is_slow(clock::now()),
            received_any: self.received_any.get(),
            last_active: self.last_active.get(),
        }
    }

    /// Why a drain or a shutdown keeps the connection for now; none if it closes at its next check or neither is under
    /// way.
    pub fn hold_reason(&self, now: Micros) -> Option<&'static str> {
        let hold_reason = self.front.drain.borrow().hold_reason(now, self.state());
        match hold_reason {
            None if self.partial_message.get() => Some("half_message"),
            Some(HoldReason::OpenRequests) if self.unwritten_answers.get() > 0 => Some("unwritten_answers"),
            hold_reason => hold_reason.map(HoldReason::name),
        }
    }

    /// Whether requests on the connection wait for the director's answer.
    pub fn is_waiting(&self) -> bool {
        self.open.get() > self.unwritten_answers.get()
    }

    /// Whether a drain or a shutdown ends the connection over its waiting answers: its client has read nothing of them for
    /// long, the time before they were ready not counted, and has stopped waiting.
    pub fn must_cut_off(&self, now: Micros, drain: &Drain) -> bool {
        let not_reading_since = self.last_written.get().max(self.unwritten_since.get());
        drain.must_cut_off(now, not_reading_since, self.gives_up_at.get())
    }

    /// For log lines: the number of answers that wait to be written, and the time since the last request.
    pub fn unwritten_and_last_request(&self, now: Micros) -> (usize, Option<Micros>) {
        (self.unwritten_answers.get(), self.last_request.get().map(|at| now.saturating_sub(at)))
    }

    /// Counts an open request as finished.
    fn finish_request(&self) {
        invariant!(self.open.get() > 0, "more requests finished than opened");
        self.open.set(self.open.get().saturating_sub(1));
        self.last_active.set(clock::now());
    }

    /// Changes the counts of unwritten answers and of the bytes of their bodies, here and in the front.
    fn add_unwritten(&self, answers: isize, bytes: isize) {
        for (count, change) in [
            (&self.unwritten_answers, answers),
            (&self.front.unwritten_answers, answers),
            (&self.unwritten_bytes, bytes),
            (&self.front.unwritten_bytes, bytes),
        ] {
            invariant!(count.get() as isize + change >= 0, "more answers written than queued");
            count.set(count.get().saturating_add_signed(change));
        }
    }

    /// When the connection is closed if nothing more arrives; none while a request is open and no message is incomplete.
    fn closes_at(&self, partial_since: Option<Micros>) -> Option<Micros> {
        match (self.received_any.get(), partial_since) {
            (false, _) => Some(self.last_active.get() + MESSAGE_TIMEOUT),
            (true, Some(partial_since)) => Some(partial_since + MESSAGE_TIMEOUT),
            (true, None) => (self.state().open == 0).then(|| self.last_active.get() + IDLE_TIMEOUT),
        }
    }

    /// Runs the connection until it is closed. This is the only place where it ends.
    pub async fn run(
        self: Rc<Self>,
        stream: Rc<Async<TcpStream>>,
        arrived_after: Micros,
        channels: TaskChannels,
    ) {
        let _ = stream.get_ref().set_nodelay(true);
        // Limits the unsent bytes in the kernel, which can't be observed. Platforms without the option keep the default.
        let _ = SockRef::from(stream.get_ref()).set_tcp_notsent_lowat(MAX_UNSENT);
        // The reader itself replies to messages that need no decision; it waits while these replies are not written.
        let (reply_sender, reply_queue) = async_channel::bounded(EXPECTED_OPEN_REQUESTS);
        let read = self.read(&stream, arrived_after, reply_sender, &channels.closes);
        let write = self.write(&stream, &channels.answers, &reply_queue);
        let cut = async {
            let _ = channels.cuts.recv().await;
            Ok(End::Closing(CloseReason::Stalled))
        };
        let ended = future::or(cut, future::or(read, write)).await;
        // No await may come between the last check of the socket, which found nothing, and this line: whatever arrives
        // from here on is discarded, and the client sends it again elsewhere.
        self.gone.set(true);
        let reason = match &ended {
            Ok(End::Closing(reason)) => *reason,
            Ok(End::Left) => CloseReason::ClientLeft,
            Err(e) => self.reason_of(e),
        };
        let open = self.state().open;
        tracing::debug!(client = self.id, open, reason = reason.name(), "closed");
        self.front.counters.closed(reason);
        // Whatever the reason for a close from this side, answers already written stay readable.
        let linger = reason != CloseReason::ClientLeft && stream.get_ref().shutdown(Shutdown::Write).is_ok();
        let must_end = linger.then(|| self.front.closing.add(self.id, self.last_written.get()));
        self.front.remove_connection(self.id);
        self.answer_queue.close();
        // Unwritten answers no longer count.
        self.add_unwritten(-(self.unwritten_answers.get() as isize), -(self.unwritten_bytes.get() as isize));
        if let Some(must_end) = must_end {
            let _ = self.front.director.send(Message::Disconnected { client: self.id }).await;
            let timeout = self.front.drain.borrow().close_timeout(clock::now(), LINGER_TIMEOUT);
            discard_until_closed(&stream, timeout, must_end).await;
        }
        drop(stream);
        self.front.closing_ended(self.id);
        if !linger {
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
            ErrorKind::UnexpectedEof => {
                tracing::warn!(client = self.id, "an answer broke off at its cache; closed");
                CloseReason::BrokenAnswer
            }
            _ => {
                tracing::debug!(client = self.id, "{error}");
                CloseReason::ClientLeft
            }
        }
    }

    /// Reads messages, passes requests to the director and queues replies that need no decision, until the client closes
    /// or this side may close.
    async fn read(
        self: &Rc<Self>,
        stream: &Async<TcpStream>,
        arrived_after: Micros,
        reply_sender: Sender<Reply>,
        closes: &Receiver<()>,
    ) -> io::Result<End> {
        let front = &*self.front;
        let socket = self.stream.clone();
        let unread_bytes = move || socket.upgrade().map_or(0, |socket| unread_bytes(socket.get_ref()));
        let mut frames = MessageReader::new(stream, thrift::measure, READ_CHUNK)
            .unread_since(arrived_after)
            .with_budget(&front.incomplete_requests, ChargedUntil::Complete)
            .with_available(unread_bytes)
            .with_owner(Rc::new(LongNames(Recipient(self.id))));
        let mut last_seq = 0;
        loop {
            let partial_since = frames.partial_since();
            let timeout = async {
                // Checked again after IDLE_TIMEOUT at the latest, as a request may have finished meanwhile.
                let until = self.closes_at(partial_since).unwrap_or(clock::now() + IDLE_TIMEOUT);
                clock::timer_at(until).await;
                Err(ErrorKind::WouldBlock.into())
            };
            let close_requested = async {
                let _ = closes.recv().await;
                Err(ErrorKind::WouldBlock.into())
            };
            // The socket is polled first, so that a message that has arrived goes before a close that is due.
            let frame = match future::or(frames.next(), future::or(close_requested, timeout)).await {
                Ok(Some(frame)) => frame,
                // The client has closed. If requests are open, nobody waits for their answers.
                Ok(None) => return Ok(End::Left),
                Err(e) if e.kind() == ErrorKind::WouldBlock => match self.may_close(frames.partial_since()) {
                    Some(reason) if !frames.has_arrived() => return Ok(End::Closing(reason)),
                    _ => continue,
                },
                Err(e) => return Err(e),
            };
            // Given back with the message, unless a reply keeps it.
            let reservation = frames.take_reservation();
            // The frame is dropped before anything is waited for: a client that reads no replies must not hold it.
            match self.handle_frame(frame, frames.received_at(), &mut last_seq)? {
                Handled::Forward(message) => front.director.send(*message).await.map_err(closed_error)?,
                Handled::Reply(mut reply) => {
                    if let Reply::Unknown(unknown) = &mut reply {
                        self.reserve_name(unknown, reservation).await;
                    }
                    self.unwritten_replies.set(self.unwritten_replies.get() + 1);
                    reply_sender.send(reply).await.map_err(closed_error)?;
                }
                Handled::Nothing => {}
            }
            // A client that sends at full speed must not starve the others.
            future::yield_now().await;
        }
    }

    /// Handles a message of the client, whose last byte arrived at `received_at`. `last_seq` is the sequence number of the
    /// last request. An error ends the connection.
    fn handle_frame(
        self: &Rc<Self>,
        frame: Bytes,
        received_at: Micros,
        last_seq: &mut i32,
    ) -> io::Result<Handled> {
        let front = &*self.front;
        let arrived = clock::now();
        self.received_any.set(true);
        self.last_active.set(arrived);
        Ok(match thrift::decode(&frame)? {
            thrift::Message::Forget(seq) => {
                Handled::Forward(Box::new(Message::Forget { client: self.id, seq }))
            }
            thrift::Message::Unknown { oneway: true, .. } => Handled::Nothing,
            thrift::Message::Serve { seq, .. } if seq <= *last_seq => {
                // Two answers with the same sequence number could not be told apart.
                return Err(Malformed("sequence number is not increasing").into());
            }
            thrift::Message::Serve { seq, fields, body } => {
                *last_seq = seq;
                self.last_request.set(Some(arrived));
                let body = frame.slice_ref(body);
                // The request's time runs from the arrival of its last byte, even if it was read later: the deadline
                // passed on must not exceed the time that the client has left.
                match front.parse_call(&fields, body, received_at) {
                    Ok(call) => self.admit_call(arrived, seq, call),
                    Err(verdict) => Handled::Reply(Reply::Verdict(seq, verdict)),
                }
            }
            thrift::Message::IsWell(seq) => Handled::Reply(Reply::IsWell(seq, front.drain.borrow().ready())),
            thrift::Message::Unknown { seq, name, .. } => {
                let name = String::from_utf8_lossy(name).into_owned();
                Handled::Reply(Reply::Unknown(Box::new(UnknownMethod { seq, name, reservation: None })))
            }
        })
    }

    /// Accounts for the memory of a long name that a reply repeats, in the budget of requests in part; waits until there is room
    /// unless it is `reserved`.
    async fn reserve_name(&self, unknown: &mut UnknownMethod, reserved: Option<Reservation>) {
        let length = unknown.name.len();
        if length < LONG_NAME {
            return;
        }
        let mut reservation = reserved.unwrap_or_else(|| Reservation::new(&self.front.incomplete_requests));
        if reservation.recipient().is_none() {
            reservation.set_claim(Claim { recipient: Some(Recipient(self.id)), ..Claim::default() });
            poll_fn(|context| reservation.poll_grow(context, length)).await;
        }
        // Bytes that are no text are repeated as longer ones.
        reservation.force(length);
        unknown.reservation = Some(reservation);
    }

    /// Passes a valid request on, or refuses it where this connection or a drain has no place for it. Nothing has run, so
    /// a refusal is safe; reading must go on, as a `forget` may follow.
    fn admit_call(self: &Rc<Self>, arrived: Micros, seq: i32, call: Call) -> Handled {
        let refusal_reason = if self.open.get() >= MAX_QUEUED_ANSWERS {
            Some(RefusalReason::TooManyOpen)
        } else if self.unwritten_bytes.get() >= MAX_UNWRITTEN_BYTES {
            Some(RefusalReason::Backlog)
        } else {
            self.refusal_reason(arrived, call.deadline)
        };
        match refusal_reason {
            Some(reason) => Handled::Reply(Reply::Verdict(seq, self.front.refuse(call, reason))),
            None => {
                self.open.set(self.open.get() + 1);
                self.gives_up_at.set(self.gives_up_at.get().max(call.deadline));
                Handled::Forward(Box::new(Message::Request { client: self.clone(), seq, call }))
            }
        }
    }

    /// Why a drain or a shutdown refuses a request that arrived now, if it does.
    fn refusal_reason(&self, arrived: Micros, deadline: Micros) -> Option<RefusalReason> {
        self.front.drain.borrow().refusal(arrived, deadline, self.state())
    }

    /// Reason to close now, when there was nothing to read: a timeout has passed or a close was asked for, and the
    /// connection owes nothing. None if it stays open.
    fn may_close(&self, partial_since: Option<Micros>) -> Option<CloseReason> {
        let now = clock::now();
        let idle = self.closes_at(partial_since).is_some_and(|until| until <= now);
        let waits = self.front.drain.borrow().waits_for_partial_message(now);
        let partial_message =
            waits && partial_since.is_some_and(|partial_since| now < partial_since + PARTIAL_MESSAGE_WAIT);
        self.partial_message.set(partial_message);
        // An incomplete message past its timeout ends the connection, also with requests open: such a client is broken,
        // and as the timeout has passed, every further wait would end at once.
        if partial_since.is_some_and(|partial_since| now >= partial_since + MESSAGE_TIMEOUT) {
            return Some(CloseReason::HalfMessage);
        }
        let front = &self.front;
        let make_room =
            front.to_evict.replace(front.to_evict.get().filter(|id| *id != self.id)) == Some(self.id);
        let drained = front.drain.borrow().may_close(now, self.state());
        if self.state().open > 0 {
            return None;
        }
        match (drained && !partial_message, make_room && !partial_message, idle) {
            (true, ..) => Some(CloseReason::Drained),
            (_, true, _) => Some(CloseReason::MakeRoom),
            (.., true) => Some(CloseReason::Idle),
            _ => None,
        }
    }

    /// Writes the director's answers and the reader's replies until one of the queues is closed.
    async fn write(
        &self,
        stream: &Async<TcpStream>,
        answers: &Receiver<Reply>,
        reply_queue: &Receiver<Reply>,
    ) -> io::Result<End> {
        let answer = async || answers.recv().await.map(|reply| (true, reply));
        let reply = async || reply_queue.recv().await.map(|reply| (false, reply));
        while let Ok((from_director, reply)) = future::or(answer(), reply()).await {
            let held_bytes = reply.held_bytes();
            let written = self.write_reply(stream, encode(reply)).await;
            if from_director {
                self.add_unwritten(-1, -(held_bytes as isize));
                self.finish_request();
            } else {
                self.unwritten_replies.set(self.unwritten_replies.get().saturating_sub(1));
            }
            written?;
            // During a drain a connection closes right after its last answer, before the client sends another request.
            if self.unwritten_answers.get() == 0
                && self.front.drain.borrow().may_close(clock::now(), self.state())
            {
                let _ = self.close.try_send(());
            }
        }
        Ok(End::Left)
    }
}

impl Connection {
    /// Writes the parts of a reply.
    async fn write_reply(&self, stream: &Async<TcpStream>, reply: EncodedReply) -> io::Result<()> {
        let EncodedReply { mut head, body, tail, reservation: _reservation } = reply;
        match body {
            EncodedBody::Whole(body) if body.len() <= MAX_COPIED_BODY => {
                head.extend_from_slice(&body);
                head.extend_from_slice(&tail);
                return self.write_part(stream, &head).await;
            }
            EncodedBody::Whole(body) => {
                self.write_part(stream, &head).await?;
                self.write_part(stream, &body).await?;
            }
            EncodedBody::Arriving(body) => {
                self.write_part(stream, &head).await?;
                self.write_arriving(stream, body).await?;
            }
        }
        self.write_part(stream, &tail).await
    }

    /// Writes a body as it arrives. Fails with [`ErrorKind::UnexpectedEof`] where it breaks off: the client can tell by the end
    /// of the connection that the answer is not whole.
    async fn write_arriving(&self, stream: &Async<TcpStream>, body: StreamedBody) -> io::Result<()> {
        let mut left = body.length;
        while left > 0 {
            let mut piece = body.pieces.recv().await.map_err(|_| ErrorKind::UnexpectedEof)?;
            piece.truncate(left);
            self.write_part(stream, &piece).await?;
            left -= piece.len();
        }
        Ok(())
    }

    /// Writes all bytes; fails if the client takes none of them for [`WRITE_TIMEOUT`].
    async fn write_part(&self, mut stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let stalled = async {
                Timer::after(WRITE_TIMEOUT).await;
                Err(ErrorKind::TimedOut.into())
            };
            let began = clock::now();
            let written = future::or(stream.write(bytes), stalled).await?;
            if written == 0 {
                return Err(ErrorKind::WriteZero.into());
            }
            let now = clock::now();
            self.last_written.set(now);
            self.read_progress.record_write(now, written, now.saturating_sub(began));
            bytes = &bytes[written..];
        }
        Ok(())
    }
}

/// What is to be done about a client's message.
enum Handled {
    /// It goes to the director.
    Forward(Box<Message>),
    /// It is answered at once.
    Reply(Reply),
    /// It needs no answer.
    Nothing,
}

/// Why a connection ended.
enum End {
    /// The client has closed, or no further answers can come.
    Left,
    /// This side closes the connection.
    Closing(CloseReason),
}

/// Whether the client has closed, or the connection has failed; bytes may still be unread.
fn has_ended(socket: &TcpStream) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    let end_flags = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut fds, Some(&now)).is_ok_and(|n| n > 0) && fds[0].revents().intersects(end_flags)
}

/// Number of bytes that can be read at once; no limit where the end of the stream follows them.
fn unread_bytes(socket: &TcpStream) -> usize {
    if has_ended(socket) {
        return usize::MAX;
    }
    rustix::io::ioctl_fionread(socket).map_or(0, |bytes| bytes as usize)
}

fn closed_error<T>(_: T) -> io::Error {
    ErrorKind::BrokenPipe.into()
}
