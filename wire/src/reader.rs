//! Reads whole messages from a stream, with as little memory as is received, and within a budget where one is set.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use bitternhold::Micros;
use bytes::Bytes;
use futures_lite::{AsyncRead, future};

use crate::buffer::Buffer;
use crate::clock;
use crate::framing::Measure;
use crate::loop_monitor::{self, Backlog};
use crate::memory::{Claim, Grant, MemoryBudget, Reservation};

/// First interval at which a reader that waits for memory checks whether its message has arrived as a whole; it doubles
/// with each check.
const MIN_ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum of that interval.
const MAX_ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

thread_local! {
    /// Where short messages are read to before a reader keeps them, so that a reader without any takes no memory.
    static READ_BUFFER: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// How long the memory of a message counts against the reader's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargedUntil {
    /// Until the message is complete: whoever takes it accounts for it.
    Complete,
    /// Until the message and all slices of it are dropped.
    Dropped,
}

/// Tells how many bytes can be read from a stream at once.
type Available = Box<dyn Fn() -> usize>;

/// The owner of a stream, as far as memory for its messages is concerned.
pub trait StreamOwner {
    /// What is known of the message that begins with these bytes. It then waits for memory also where it has arrived as a
    /// whole. None: it is read as without an owner.
    fn claim(&self, received: &[u8]) -> Option<Claim>;
    /// The message that begins with these bytes begins to wait for memory. Nothing behind it is read meanwhile.
    fn wait_began(&self, _received: &[u8]) {}
    /// It waits no longer.
    fn wait_ended(&self) {}
}

/// A reader's part in a budget.
struct Charge {
    budget: Arc<MemoryBudget>,
    until: ChargedUntil,
    /// Memory of the message that is being read.
    reservation: Reservation,
    /// Number of bytes that can be read from the stream at once, where that can be told.
    available: Option<Available>,
    /// Says who the messages are for, where that is known.
    owner: Option<Rc<dyn StreamOwner>>,
    /// Memory of the last message, if it was claimed for a recipient and is charged until it is complete.
    last: Option<Reservation>,
}

/// A complete message together with the memory that it is charged for.
struct ChargedMessage {
    bytes: Buffer,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ChargedMessage {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// What [`MessageReader::next_incoming`] has read.
#[derive(Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A whole message.
    Whole(Bytes),
    /// The first bytes of a message for which there is memory in pieces only. The rest of it comes from
    /// [`MessageReader::next_piece`] and has to be read before anything else.
    Begun(Bytes),
}

/// Reads whole messages from a stream.
pub struct MessageReader<R> {
    stream: R,
    /// Received bytes, and behind them room for the rest of a long message.
    buffer: Buffer,
    /// Number of received bytes in the buffer.
    filled: usize,
    /// Number of bytes at the start of the buffer that belong to returned messages.
    returned: usize,
    /// Number of bytes still to be read of a message that is passed on in pieces.
    rest: usize,
    /// When the first bytes of an incomplete message were read.
    partial_since: Option<Micros>,
    /// Lower bound of the arrival time of every byte not read yet: the last time the stream was known to be empty.
    empty_at: Micros,
    /// Lower bound of the arrival time of the bytes of the last read.
    received_at: Micros,
    measure: Measure,
    /// Largest read, in bytes, while no message longer than that is known to be on its way. A shorter message needs no
    /// reservation.
    chunk: usize,
    /// Timeout for the next bytes of an incomplete message.
    stall_timeout: Option<Duration>,
    /// Timeout for a whole message, from its first byte.
    message_timeout: Option<Duration>,
    /// The budget that messages are read within; `None`: without one.
    charge: Option<Charge>,
    /// What arrived while the event loop was delayed, until the stream is found empty.
    backlog: Option<Backlog>,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Reads at most `chunk` bytes at a time of messages that are not longer.
    pub fn new(stream: R, measure: Measure, chunk: usize) -> Self {
        Self {
            stream,
            buffer: Buffer::default(),
            filled: 0,
            returned: 0,
            rest: 0,
            partial_since: None,
            empty_at: clock::now(),
            received_at: 0,
            measure,
            chunk,
            stall_timeout: None,
            message_timeout: None,
            charge: None,
            backlog: None,
        }
    }

    /// Sets the time since when unread bytes may lie on the stream; without it, the time of [`Self::new`].
    pub fn unread_since(self, at: Micros) -> Self {
        Self { empty_at: at, ..self }
    }

    /// Makes reading fail if an incomplete message receives no byte for this long.
    pub fn with_stall_timeout(self, timeout: Duration) -> Self {
        Self { stall_timeout: Some(timeout), ..self }
    }

    /// Makes reading fail if a message is not complete this long after its first byte, even if bytes keep trickling in.
    pub fn with_message_timeout(self, timeout: Duration) -> Self {
        Self { message_timeout: Some(timeout), ..self }
    }

    /// Reads messages longer than a chunk only within this budget; until there is memory for one, the rest of it stays
    /// unread.
    pub fn with_budget(self, budget: &Arc<MemoryBudget>, until: ChargedUntil) -> Self {
        let (budget, reservation) = (budget.clone(), Reservation::new(budget));
        let charge = Charge { budget, until, reservation, available: None, owner: None, last: None };
        Self { charge: Some(charge), ..self }
    }

    /// Sets who is asked what a message is for before there is memory for it, and is told when one waits. The wait does not
    /// count against the message's timeout: the owner ends what nobody waits for.
    pub fn with_owner(mut self, owner: Rc<dyn StreamOwner>) -> Self {
        if let Some(charge) = &mut self.charge {
            charge.owner = Some(owner);
        }
        self
    }

    /// Sets how many bytes can be read from the stream at once; `usize::MAX` once its end is behind them. A message that has
    /// arrived as a whole is then read without waiting for memory, as it takes it only until it is handled; and so is the
    /// rest before the end.
    pub fn with_available(mut self, available: impl Fn() -> usize + 'static) -> Self {
        if let Some(charge) = &mut self.charge {
            charge.available = Some(Box::new(available));
        }
        self
    }

    /// The memory of the last message, for whoever keeps a part of it; none if it was not claimed for a recipient.
    pub fn take_reservation(&mut self) -> Option<Reservation> {
        self.charge.as_mut()?.last.take()
    }

    /// When the first bytes of an incomplete message were read; none if the buffer holds no such bytes.
    pub fn partial_since(&self) -> Option<Micros> {
        self.partial_since
    }

    /// Whether the message that waits for memory has arrived as a whole: the next call of [`Self::next`] returns it.
    pub fn has_arrived(&self) -> bool {
        let Ok(needed) = (self.measure)(self.received()) else { return false };
        let missing = needed.saturating_sub(self.received().len());
        let is_claimed = |charge: &Charge| {
            charge.owner.as_ref().is_some_and(|owner| owner.claim(self.received()).is_some())
        };
        let waits = self
            .charge
            .as_ref()
            .is_some_and(|charge| !charge.reservation.covers(needed) && !is_claimed(charge));
        waits && needed > self.chunk && self.unread_bytes().is_some_and(|unread| unread >= missing)
    }

    /// Bytes received of messages that are not returned yet.
    fn received(&self) -> &[u8] {
        &self.buffer[self.returned..self.filled]
    }

    /// Number of bytes that can be read from the stream at once; `None` if that is unknown.
    fn unread_bytes(&self) -> Option<usize> {
        Some(self.charge.as_ref()?.available.as_ref()?())
    }

    /// The earliest time at which the last byte of the last message can have arrived. It may be well before the read:
    /// bytes lie unread while the reading task is busy elsewhere.
    pub fn received_at(&self) -> Micros {
        self.received_at
    }

    /// The next message; none at the end of the stream. Cancel-safe: the future may be dropped and `next` called again.
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        match self.next_incoming().await? {
            Some(Incoming::Whole(message)) => Ok(Some(message)),
            Some(Incoming::Begun(_)) => Err(io::Error::other("a message in pieces that was not asked for")),
            None => Ok(None),
        }
    }

    /// As [`Self::next`], for an owner whose claims allow messages in pieces.
    pub async fn next_incoming(&mut self) -> io::Result<Option<Incoming>> {
        loop {
            let needed = (self.measure)(self.received())?;
            if needed <= self.received().len() {
                return Ok(Some(Incoming::Whole(self.take_message(needed))));
            }
            self.discard_returned();
            let read = if needed > self.chunk {
                if self.reserve(needed).await? == Grant::Pieces {
                    return Ok(Some(self.begin_pieces(needed)));
                }
                let room = self.room_for(needed);
                self.make_room(room);
                self.read(Self::poll_read_rest, room - self.filled).await?
            } else {
                self.read(Self::poll_read_chunk, self.chunk).await?
            };
            if read == 0 {
                return Ok(None);
            }
        }
    }

    /// Takes what has come of a message of `length` bytes, the rest of which is read in pieces.
    fn begin_pieces(&mut self, length: usize) -> Incoming {
        let received = Bytes::copy_from_slice(self.received());
        (self.buffer, self.filled, self.returned) = (Buffer::default(), 0, 0);
        self.rest = length - received.len();
        self.partial_since = None;
        Incoming::Begun(received)
    }

    /// The next piece of the message that has begun; none behind its end. Fails where the stream ends before.
    pub async fn next_piece(&mut self) -> io::Result<Option<Bytes>> {
        if self.rest == 0 {
            return Ok(None);
        }
        let room = self.rest.min(self.chunk);
        let read = self.read(Self::poll_read_chunk, room).await?;
        if read == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed in the middle of a message"));
        }
        let piece = std::mem::take(&mut self.buffer).into();
        self.filled = 0;
        self.rest -= read;
        // Whoever takes the pieces may be slow.
        self.partial_since = None;
        if let Some(charge) = self.charge.as_mut().filter(|_| self.rest == 0) {
            charge.reservation = Reservation::new(&charge.budget);
        }
        Ok(Some(piece))
    }

    /// Takes the first message, of `length` bytes, from the buffer.
    fn take_message(&mut self, length: usize) -> Bytes {
        let end = self.returned + length;
        let message = if self.returned == 0 && end == self.buffer.len() {
            std::mem::take(&mut self.buffer)
        } else {
            Buffer::copy_of(&self.buffer[self.returned..end])
        };
        self.returned = end;
        if self.returned == self.filled {
            (self.buffer, self.filled, self.returned) = (Buffer::default(), 0, 0);
        }
        self.partial_since = (self.filled > 0).then(clock::now);
        let Some(charge) = &mut self.charge else { return message.into() };
        let mut reservation = std::mem::replace(&mut charge.reservation, Reservation::new(&charge.budget));
        match charge.until {
            ChargedUntil::Complete => {
                charge.last = Some(reservation).filter(|reservation| reservation.recipient().is_some());
                message.into()
            }
            ChargedUntil::Dropped => {
                reservation.force(length);
                Bytes::from_owner(ChargedMessage { bytes: message, _reservation: reservation })
            }
        }
    }

    /// Frees the memory of returned messages.
    fn discard_returned(&mut self) {
        if self.returned > 0 {
            self.buffer = Buffer::copy_of(self.received());
            (self.filled, self.returned) = (self.buffer.len(), 0);
        }
    }

    /// Room to make for a message of this length: all of it within a budget. Without one no more than was received so far,
    /// as nothing else bounds what a sender may announce.
    fn room_for(&self, length: usize) -> usize {
        match &self.charge {
            Some(_) => length,
            None => length.min(2 * self.filled.max(self.chunk)),
        }
    }

    /// Makes room for this many bytes, of which the first ones are received.
    fn make_room(&mut self, length: usize) {
        if self.buffer.len() < length {
            let mut buffer = Buffer::with_length(length);
            buffer[..self.filled].copy_from_slice(&self.buffer[..self.filled]);
            self.buffer = buffer;
        }
    }

    /// Waits until the budget has memory for a message of this length.
    async fn reserve(&mut self, length: usize) -> io::Result<Grant> {
        let missing = length - self.received().len();
        let received = &self.buffer[self.returned..self.filled];
        let Some(Charge { reservation, available, owner, .. }) = &mut self.charge else {
            return Ok(Grant::Whole);
        };
        if let Some((owner, claim)) = owner.as_ref().and_then(|owner| Some((owner, owner.claim(received)?))) {
            reservation.set_claim(claim);
            let mut waits = false;
            let grant = poll_fn(|context| {
                let granted = reservation.poll_grow(context, length);
                if granted.is_pending() && !waits {
                    waits = true;
                    owner.wait_began(received);
                }
                granted
            })
            .await;
            if waits {
                owner.wait_ended();
                // The sender has had no chance to go on meanwhile.
                self.partial_since = Some(clock::now());
            }
            return Ok(grant);
        }
        let timeout = read_timeout(self.partial_since, self.message_timeout, None);
        let granted = async {
            poll_fn(|context| reservation.poll_grow(context, length)).await;
            Ok(true)
        };
        let arrived = async {
            let Some(available) = available else { return future::pending().await };
            let mut interval = MIN_ARRIVAL_CHECK_INTERVAL;
            while available() < missing {
                Timer::after(interval).await;
                interval = (interval * 2).min(MAX_ARRIVAL_CHECK_INTERVAL);
            }
            Ok(false)
        };
        let granted = future::or(granted, future::or(arrived, timed_out(timeout))).await?;
        if !granted {
            reservation.force(length);
        }
        Ok(Grant::Whole)
    }

    /// Reads up to `room` bytes by `poll_read`; returns their number.
    async fn read(
        &mut self,
        poll_read: fn(&mut Self, &mut Context<'_>) -> Poll<io::Result<usize>>,
        room: usize,
    ) -> io::Result<usize> {
        let stall_timeout = self.stall_timeout.filter(|_| self.filled > 0 || self.rest > 0);
        let timeout = read_timeout(self.partial_since, self.message_timeout, stall_timeout);
        let (mut waited, mut polled_at) = (false, 0);
        let read = poll_fn(|context| {
            // Before the poll: the process may be stopped after it.
            polled_at = clock::now();
            let read = poll_read(self, context);
            if read.is_pending() {
                (self.empty_at, waited) = (polled_at, true);
                self.backlog = None;
            }
            read
        });
        let read = future::or(read, timed_out(timeout)).await?;
        let now = clock::now();
        self.backlog = self.backlog.take().or_else(Backlog::of_reader);
        // After a wait the task was woken by the bytes, so they were read as they arrived, unless the loop was delayed.
        self.received_at =
            if waited { loop_monitor::earliest_arrival(now).max(self.empty_at) } else { self.empty_at };
        if read < room || self.unread_bytes() == Some(0) {
            self.empty_at = polled_at;
        }
        if read > 0 {
            self.partial_since = self.partial_since.or(Some(now));
        }
        Ok(read)
    }

    /// Reads into the room that was made for a long message.
    fn poll_read_rest(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let room = &mut self.buffer[self.filled..];
        let read = Pin::new(&mut self.stream).poll_read(context, room);
        if let Poll::Ready(Ok(read)) = read {
            self.filled += read;
        }
        read
    }

    /// Reads up to a chunk, or up to the end of a message in pieces. No more is kept than was received.
    fn poll_read_chunk(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        READ_BUFFER.with_borrow_mut(|read_buffer| {
            if read_buffer.len() < self.chunk {
                read_buffer.resize(self.chunk, 0);
            }
            let room = if self.rest > 0 { self.rest.min(self.chunk) } else { self.chunk };
            let read = Pin::new(&mut self.stream).poll_read(context, &mut read_buffer[..room]);
            if let Poll::Ready(Ok(read)) = read {
                self.buffer.replace_from(self.filled, &read_buffer[..read]);
                self.filled += read;
            }
            read
        })
    }
}

/// The time left until the first of two timeouts: of a whole message since its first byte, and of the next bytes.
fn read_timeout(
    partial_since: Option<Micros>,
    message_timeout: Option<Duration>,
    stall_timeout: Option<Duration>,
) -> Option<Duration> {
    let remaining = partial_since.zip(message_timeout).map(|(since, timeout)| {
        timeout.saturating_sub(Duration::from_micros(clock::now().saturating_sub(since)))
    });
    stall_timeout.into_iter().chain(remaining).min()
}

/// Fails after this time; never without one.
async fn timed_out<T>(timeout: Option<Duration>) -> io::Result<T> {
    match timeout {
        Some(timeout) => Timer::after(timeout).await,
        None => Timer::never().await,
    };
    Err(io::Error::new(io::ErrorKind::TimedOut, "timed out in the middle of a message"))
}
