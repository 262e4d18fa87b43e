//! What the three parsers share: a message is measured in the buffer it was read into, split off whole
//! without a copy, then read as borrowed slices.

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

/// Why a message can't be read.
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

/// How many bytes the first message needs, as far as can be told yet. It is whole if the buffer holds them.
pub type Measure = fn(&[u8]) -> Result<usize, Malformed>;

/// Splits the first message off the buffer, if it is whole.
pub fn split(buffer: &mut BytesMut, measure: Measure) -> Result<Option<Bytes>, Malformed> {
    let needed = measure(buffer)?;
    Ok((needed <= buffer.len()).then(|| buffer.split_to(needed).freeze()))
}

/// Reads whole messages from a stream.
pub struct Messages<R> {
    stream: R,
    buffer: BytesMut,
    /// So much of the buffer was read; what lies behind is room for a read that was dropped half way.
    filled: usize,
    /// When a message that is not whole yet began to come.
    begun: Option<Micros>,
    /// No byte that is still unread can have come before.
    dry: Micros,
    /// No byte of the last read can have come before.
    came: Micros,
    measure: Measure,
    chunk: usize,
    /// A message that has begun and then stays away for so long ends the stream.
    stall: Option<Duration>,
    /// A message that has begun and is not whole after so long ends the stream.
    whole: Option<Duration>,
}

impl<R: AsyncRead + Unpin> Messages<R> {
    /// Reads at most `chunk` bytes at a time, so that an idle connection holds no more.
    pub fn new(stream: R, measure: Measure, chunk: usize) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            filled: 0,
            begun: None,
            dry: clock::now(),
            came: 0,
            measure,
            chunk,
            stall: None,
            whole: None,
        }
    }

    /// Of a stream on which bytes may lie since then.
    pub fn opened(self, at: Micros) -> Self {
        Self { dry: at, ..self }
    }

    /// With an error where a message that has begun gets no further for so long.
    pub fn or_stall(self, stall: Duration) -> Self {
        Self { stall: Some(stall), ..self }
    }

    /// With an error where a message that has begun is not whole after so long, however it trickles.
    pub fn within(self, whole: Duration) -> Self {
        Self { whole: Some(whole), ..self }
    }

    /// When a message that is not whole yet began to come; none if none did.
    pub fn begun(&self) -> Option<Micros> {
        self.begun
    }

    /// The earliest time at which the last byte of the last message can have come. Bytes lie unread while whoever reads them
    /// is busy elsewhere.
    pub fn came(&self) -> Micros {
        self.came
    }

    /// The next message; none at the end of the stream. May be dropped and called again.
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            self.buffer.truncate(self.filled);
            if let Some(message) = split(&mut self.buffer, self.measure)? {
                self.filled = self.buffer.len();
                self.begun = (self.filled > 0).then(clock::now);
                return Ok(Some(message));
            }
            self.buffer.resize(self.filled + self.chunk, 0);
            let left = self.begun.zip(self.whole).map(|(begun, whole)| {
                whole.saturating_sub(Duration::from_micros(clock::now().saturating_sub(begun)))
            });
            let stall = self.stall.filter(|_| self.filled > 0).into_iter().chain(left).min();
            let late = async {
                match stall {
                    Some(stall) => Timer::after(stall).await,
                    None => Timer::never().await,
                };
                Err(io::Error::new(io::ErrorKind::TimedOut, "half a message, then nothing"))
            };
            let (stream, room) = (&mut self.stream, &mut self.buffer[self.filled..]);
            let (dry, mut waited) = (&mut self.dry, false);
            let read = poll_fn(|context| {
                let read = Pin::new(&mut *stream).poll_read(context, room);
                if read.is_pending() {
                    (*dry, waited) = (clock::now(), true);
                }
                read
            });
            let read = future::or(read, late).await?;
            let now = clock::now();
            // Woken by the bytes, it reads them as they come.
            self.came = if waited { now } else { self.dry };
            if read < self.chunk {
                self.dry = now;
            }
            match read {
                0 => return Ok(None),
                read => {
                    self.filled += read;
                    self.begun = self.begun.or_else(|| Some(clock::now()));
                }
            }
        }
    }
}

/// Reads fields in order; every length is checked against what is there.
#[derive(Clone, Copy)]
pub struct Cursor<'a>(pub &'a [u8]);

impl<'a> Cursor<'a> {
    /// The next bytes.
    pub fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        let (head, rest) = self.0.split_at_checked(n).ok_or(Malformed("ends early"))?;
        self.0 = rest;
        Ok(head)
    }

    /// A big-endian unsigned number of so many bytes, eight at most.
    pub fn number(&mut self, bytes: usize) -> Result<u64, Malformed> {
        Ok(self.take(bytes)?.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
    }

    /// A length of four bytes, then so many bytes.
    pub fn counted(&mut self) -> Result<&'a [u8], Malformed> {
        let length = self.number(4)? as usize;
        self.take(length)
    }
}
