//! Message framing shared by the three protocols: a message's length is determined in the receive buffer, and the message
//! is decoded into borrowed slices. Messages are read from streams by [`MessageReader`].

use std::fmt;
use std::io;

use bytes::{Bytes, BytesMut};

pub use crate::reader::{ChargedUntil, Incoming, MessageReader, StreamOwner};

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

/// Reads the fields of a message in order and checks every length against the remaining bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
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
