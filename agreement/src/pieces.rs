//! Frames in pieces: what goes over a connection whose own frames are shorter.

use std::fmt;
use std::marker::PhantomData;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::decision::bounds;

/// The longest frame, whole.
pub const MOST_FRAME: usize = bounds::FRAME;
/// A frame goes in pieces of so many bytes.
pub const PIECE: usize = 48 * 1024;

/// Why a peer's bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// More bytes than any frame has.
    TooLong,
    /// It can't be read.
    Body,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Malformed::TooLong => f.write_str("a frame longer than any may be"),
            Malformed::Body => f.write_str("a frame that can't be read"),
        }
    }
}

/// Spells a frame in pieces, each with a first byte that is 1 in the last one.
pub fn pieces<F: Serialize>(frame: &F) -> Vec<Vec<u8>> {
    let bytes = postcard::to_stdvec(frame).unwrap_or_default();
    let count = bytes.len().div_ceil(PIECE).max(1);
    let mut chunks = bytes.chunks(PIECE);
    let piece = |n: usize, chunk: &[u8]| [&[u8::from(n + 1 == count)], chunk].concat();
    (0..count).map(|n| piece(n, chunks.next().unwrap_or_default())).collect()
}

/// Puts the pieces of frames of one type together again.
#[derive(Debug)]
pub struct Pieces<F> {
    bytes: Vec<u8>,
    most: usize,
    frame: PhantomData<F>,
}

impl<F> Default for Pieces<F> {
    fn default() -> Self {
        Self::up_to(MOST_FRAME)
    }
}

impl<F> Pieces<F> {
    /// For frames of so many bytes at most.
    pub fn up_to(most: usize) -> Self {
        Self { bytes: Vec::new(), most, frame: PhantomData }
    }
}

impl<F: DeserializeOwned> Pieces<F> {
    /// Takes a piece; a frame where it was the last.
    pub fn piece(&mut self, piece: &[u8]) -> Result<Option<F>, Malformed> {
        let (last, bytes) = piece.split_first().ok_or(Malformed::Body)?;
        if self.bytes.len() + bytes.len() > self.most {
            return Err(Malformed::TooLong);
        }
        self.bytes.extend_from_slice(bytes);
        match last {
            0 => Ok(None),
            _ => {
                let whole = std::mem::take(&mut self.bytes);
                match postcard::take_from_bytes(&whole) {
                    Ok((frame, [])) => Ok(Some(frame)),
                    _ => Err(Malformed::Body),
                }
            }
        }
    }
}
