//! The exchange on a connection: frames of a length, a kind and a body. Every length is held against its bound
//! before anything is kept on its word; what a donor sent is taken in whole or not at all.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Item, Micros, Source};

/// The version that this program speaks.
pub const VERSION: u16 = 1;
/// The largest frame, with its head: a filter's record and some.
pub const MOST_FRAME: usize = 128 * 1024;
/// The most that one donor gives in one answer; what is over is left out, the least needed first.
pub const MOST_TRANSFER: usize = 4 << 20;
/// Items are collected to about so many bytes a frame.
const FRAME: usize = crate::giving::CHUNK;
const MAGIC: [u8; 4] = *b"SSPK";
const HEAD: usize = 5;

/// Why a peer's bytes can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// A frame of such a length.
    Length(u64),
    /// No frame of this kind belongs here.
    Kind(u8),
    /// It is not this protocol.
    Magic,
    /// The peer speaks another version.
    Version(u16),
    /// The body is not what its kind has.
    Body,
    /// An answer longer than any may be.
    TooMuch,
    /// Figures out of their ranges.
    Range,
    /// Fewer or more items than were offered.
    Count,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Malformed::Length(n) => write!(f, "a frame that claims {n} bytes"),
            Malformed::Kind(n) => write!(f, "a frame of kind {n}, which does not belong here"),
            Malformed::Magic => f.write_str("not the exchange's protocol"),
            Malformed::Version(n) => write!(f, "version {n}, this router speaks {VERSION}"),
            Malformed::Body => f.write_str("a body that can't be read"),
            Malformed::TooMuch => f.write_str("an answer longer than any may be"),
            Malformed::Range => f.write_str("figures out of their ranges"),
            Malformed::Count => f.write_str("not as many items as were offered"),
        }
    }
}

/// A frame's content.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A newcomer asks.
    Hello {
        /// Who it is.
        me: Source,
    },
    /// A donor will give.
    Offer(Offer),
    /// A donor has no time.
    Busy {
        /// After which to come back.
        after: Micros,
    },
    /// Some of what is given.
    Items(Vec<Item>),
    /// That was all.
    End,
    /// Instead of a newcomer's question: this connection carries what routers agree on.
    Open {
        /// Who it is.
        me: Source,
    },
    /// A piece of what is said there.
    Piece(Vec<u8>),
    /// Instead of a newcomer's question: this connection carries purges and list events, in pieces as well.
    Subscribe {
        /// Who it is.
        me: Source,
    },
}

/// What a donor will give.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Who it is.
    pub me: Source,
    /// How long it has been up.
    pub up: Micros,
    /// How many items it gives.
    pub items: u32,
}

/// Bytes that the first frame needs, as far as can be told yet.
pub fn measure(buffer: &[u8]) -> Result<usize, Malformed> {
    let Some(length) = buffer.first_chunk().map(|b| u32::from_be_bytes(*b)) else { return Ok(4) };
    if !(1..=(MOST_FRAME - 4) as u32).contains(&length) {
        return Err(Malformed::Length(u64::from(length)));
    }
    Ok(4 + length as usize)
}

fn frame(kind: u8, write: impl FnOnce(Vec<u8>) -> Vec<u8>) -> Vec<u8> {
    let mut out = write(vec![0, 0, 0, 0, kind]);
    let length = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

fn body<T: Serialize>(value: &T, out: Vec<u8>) -> Vec<u8> {
    // Writing to memory fails for no value of ours; an empty body would be refused by the reader.
    postcard::to_extend(value, out).unwrap_or_default()
}

fn versioned<T: Serialize>(kind: u8, version: u16, value: &T) -> Vec<u8> {
    frame(kind, |mut out| {
        out.extend(MAGIC);
        out.extend(version.to_be_bytes());
        body(value, out)
    })
}

/// Spells a message; `version` is [`VERSION`], but for tests.
pub fn encode(message: &Message, version: u16) -> Vec<u8> {
    match message {
        Message::Hello { me } => versioned(1, version, me),
        Message::Offer(offer) => versioned(2, version, offer),
        Message::Busy { after } => versioned(3, version, after),
        Message::Items(items) => frame(4, |out| body(items, out)),
        Message::End => frame(5, |out| out),
        Message::Open { me } => versioned(6, version, me),
        Message::Piece(piece) => frame(7, |out| [out, piece.clone()].concat()),
        Message::Subscribe { me } => versioned(8, version, me),
    }
}

/// Reads a whole frame.
pub fn decode(bytes: &[u8]) -> Result<Message, Malformed> {
    if measure(bytes)? != bytes.len() {
        return Err(Malformed::Body);
    }
    let (kind, rest) = (bytes[4], &bytes[HEAD..]);
    Ok(match kind {
        1 => Message::Hello { me: read(versioned_body(rest)?)? },
        2 => Message::Offer(read(versioned_body(rest)?)?),
        3 => Message::Busy { after: read(versioned_body(rest)?)? },
        4 => Message::Items(read(rest)?),
        5 if rest.is_empty() => Message::End,
        6 => Message::Open { me: read(versioned_body(rest)?)? },
        7 => Message::Piece(rest.to_vec()),
        8 => Message::Subscribe { me: read(versioned_body(rest)?)? },
        kind => return Err(Malformed::Kind(kind)),
    })
}

fn versioned_body(bytes: &[u8]) -> Result<&[u8], Malformed> {
    let (magic, rest) = bytes.split_first_chunk::<4>().ok_or(Malformed::Magic)?;
    let (version, rest) = rest.split_first_chunk().ok_or(Malformed::Magic)?;
    match (*magic == MAGIC, u16::from_be_bytes(*version)) {
        (false, _) => Err(Malformed::Magic),
        (true, VERSION) => Ok(rest),
        (true, other) => Err(Malformed::Version(other)),
    }
}

fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Malformed> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(Malformed::Body),
    }
}

/// What a donor writes after its offer: frames of items, then the end; and how many items they hold.
pub fn answer(items: Vec<Item>, most: usize) -> (u32, Vec<Vec<u8>>) {
    let (mut frames, mut some, mut size, mut all, mut count) = (Vec::new(), Vec::new(), 0, 0, 0);
    for item in items {
        let bytes = postcard::experimental::serialized_size(&item).unwrap_or(MOST_FRAME);
        if all + bytes > most || bytes > MOST_FRAME - 64 {
            continue;
        }
        if size + bytes > FRAME && !some.is_empty() {
            frames.push(encode(&Message::Items(std::mem::take(&mut some)), VERSION));
            size = 0;
        }
        (size, all, count) = (size + bytes, all + bytes, count + 1);
        some.push(item);
    }
    if !some.is_empty() {
        frames.push(encode(&Message::Items(some), VERSION));
    }
    frames.push(encode(&Message::End, VERSION));
    (count, frames)
}

/// A newcomer's side of one connection.
#[derive(Debug, Default)]
pub struct Taking {
    offer: Option<Offer>,
    bytes: usize,
    items: Vec<Item>,
}

/// What a frame led to.
#[derive(Debug, PartialEq)]
pub enum Taken {
    /// More is to come.
    More,
    /// The donor has no time until then.
    Busy(Micros),
    /// All of it.
    Whole(Offer, Vec<Item>),
}

impl Taking {
    /// Takes a whole frame in.
    pub fn frame(&mut self, bytes: &[u8]) -> Result<Taken, Malformed> {
        self.bytes += bytes.len();
        if self.bytes > MOST_TRANSFER + MOST_FRAME {
            return Err(Malformed::TooMuch);
        }
        match (decode(bytes)?, self.offer) {
            (Message::Offer(offer), None) => {
                self.offer = Some(offer);
                Ok(Taken::More)
            }
            (Message::Busy { after }, None) => Ok(Taken::Busy(after)),
            (Message::Items(items), Some(offer)) => {
                let good = |item: &Item| !matches!(item, Item::Fact(record) if record.check().is_err());
                if !items.iter().all(good) {
                    return Err(Malformed::Range);
                }
                self.items.extend(items);
                if self.items.len() > offer.items as usize {
                    return Err(Malformed::Count);
                }
                Ok(Taken::More)
            }
            (Message::End, Some(offer)) if self.items.len() == offer.items as usize => {
                Ok(Taken::Whole(offer, std::mem::take(&mut self.items)))
            }
            (Message::End, Some(_)) => Err(Malformed::Count),
            _ => Err(Malformed::Kind(bytes[4])),
        }
    }
}
