//! Message framing shared by the three protocols: a message's length is determined in the receive buffer, the message
//! is split off without a copy and then decoded into borrowed slices.

use std::fmt;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use async_io::Timer;
use bitternhold::Micros;
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncRead, future};

use crate::clock;

/// Error of a message that can't be decoded, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "malformed: {}", self.0)
    }
}

impl From<Malformed> for io::Error {
    fn from(why: Malformed) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, why.to_string())
    }
}

/// Returns the number of bytes that the first message in the buffer needs at least, as far as the bytes received so far
/// tell. The message is complete if the buffer holds that many.
pub type Measure = fn(&[u8]) -> Result<usize, Malformed>;

/// Splits the first message off the buffer if it is complete.
pub fn split(buffer: &mut BytesMut, measure: Measure) -> Result<Option<Bytes>, Malformed> {
    let needed = measure(buffer)?;
    Ok((needed <= buffer.len()).then(|| buffer.split_to(needed).freeze()))
}

/// Reads whole messages from a stream.
pub struct MessageReader<R> {
    stream: R,
    buffer: BytesMut,
    /// Number of received bytes in the buffer. The bytes behind them are spare room, left by a read that was cancelled.
    filled: usize,
    /// When the first bytes of an incomplete message were read.
    partial_since: Option<Micros>,
    /// Lower bound of the arrival time of every byte not read yet: the last time the stream was known to be empty.
    empty_at: Micros,
    /// Lower bound of the arrival time of the bytes of the last read.
    received_at: Micros,
    measure: Measure,
    /// Largest read, in bytes.
    chunk: usize,
    /// Timeout for the next bytes of an incomplete message.
    stall_timeout: Option<Duration>,
    /// Timeout for a whole message, from its first byte.
    message_timeout: Option<Duration>,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Reads at most `chunk` bytes at a time, which bounds the buffer of an idle connection.
    pub fn new(stream: R, measure: Measure, chunk: usize) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            filled: 0,
            partial_since: None,
            empty_at: clock::now(),
            received_at: 0,
            measure,
            chunk,
            stall_timeout: None,
            message_timeout: None,
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

    /// When the first bytes of an incomplete message were read; none if the buffer holds no such bytes.
    pub fn partial_since(&self) -> Option<Micros> {
        self.partial_since
    }

    /// The earliest time at which the last byte of the last message can have arrived. It may be well before the read:
    /// bytes lie unread while the reading task is busy elsewhere.
    pub fn received_at(&self) -> Micros {
        self.received_at
    }

    /// The next message; none at the end of the stream. Cancel-safe: the future may be dropped and `next` called again.
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            self.buffer.truncate(self.filled);
            if let Some(message) = split(&mut self.buffer, self.measure)? {
                self.filled = self.buffer.len();
                self.partial_since = (self.filled > 0).then(clock::now);
                return Ok(Some(message));
            }
            self.buffer.resize(self.filled + self.chunk, 0);
            let remaining = self.partial_since.zip(self.message_timeout).map(|(begun, whole)| {
                whole.saturating_sub(Duration::from_micros(clock::now().saturating_sub(begun)))
            });
            let read_timeout =
                self.stall_timeout.filter(|_| self.filled > 0).into_iter().chain(remaining).min();
            let timeout = async {
                match read_timeout {
                    Some(time) => Timer::after(time).await,
                    None => Timer::never().await,
                };
                Err(io::Error::new(io::ErrorKind::TimedOut, "timed out in the middle of a message"))
            };
            let (stream, room) = (&mut self.stream, &mut self.buffer[self.filled..]);
            let (empty_at, mut waited) = (&mut self.empty_at, false);
            let read = poll_fn(|context| {
                let read = Pin::new(&mut *stream).poll_read(context, room);
                if read.is_pending() {
                    (*empty_at, waited) = (clock::now(), true);
                }
                read
            });
            let read = future::or(read, timeout).await?;
            let now = clock::now();
            // After a wait the task was woken by the bytes, so they were read as they arrived.
            self.received_at = if waited { now } else { self.empty_at };
            if read < self.chunk {
                self.empty_at = now;
            }
            match read {
                0 => return Ok(None),
                read => {
                    self.filled += read;
                    self.partial_since = self.partial_since.or_else(|| Some(clock::now()));
                }
            }
        }
    }
}

/// Reads the fields of a message in order and checks every length against the remaining bytes.
#[derive(Clone, Copy)]
pub struct Cursor<'a>(pub &'a [u8]);

impl<'a> Cursor<'a> {
    /// Takes the next `n` bytes.
    pub fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        let (head, rest) = self.0.split_at_checked(n).ok_or(Malformed("ends early"))?;
        self.0 = rest;
        Ok(head)
    }

    /// Reads a big-endian unsigned integer of this many bytes, at most eight.
    pub fn number(&mut self, bytes: usize) -> Result<u64, Malformed> {
        Ok(self.take(bytes)?.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
    }

    /// Reads a byte string behind its length, a four-byte integer.
    pub fn length_prefixed(&mut self) -> Result<&'a [u8], Malformed> {
        let length = self.number(4)? as usize;
        self.take(length)
    }
}
