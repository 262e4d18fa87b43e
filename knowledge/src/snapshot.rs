//! A snapshot's bytes: a head of fixed width, a checksum over all else, and the items as they go to a
//! newcomer. Read back it is one more donor's word, older by the time that the router was away.

use std::fmt;

use crate::facts::OLDEST;
use crate::protocol::VERSION;
use crate::store::CLOCK_ERROR;
use crate::{InstanceId, Item, Micros};

const MAGIC: [u8; 8] = *b"sskknow\n";
const HEAD: usize = 8 + 2 + 8 + 8 + 4 + 4;

/// Why a snapshot is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is no snapshot.
    Foreign,
    /// It is of another version.
    Version(u16),
    /// It ends early or goes on behind its end.
    Torn,
    /// Its bytes are not those that were written.
    Checksum,
    /// Another instance wrote it.
    Instance,
    /// It is from so long ago that nothing in it holds.
    TooOld,
    /// It is from the future: the clock was set back, and its age can't be told.
    Future,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::Foreign => f.write_str("is no snapshot"),
            Refused::Version(n) => write!(f, "is of version {n}, this router reads {VERSION}"),
            Refused::Torn => f.write_str("is torn"),
            Refused::Checksum => f.write_str("has a wrong checksum"),
            Refused::Instance => f.write_str("is another instance's"),
            Refused::TooOld => f.write_str("is too old"),
            Refused::Future => f.write_str("is from the future; was the clock set back?"),
        }
    }
}

/// Spells items as they are known at a Unix time, in so many bytes at most: what is over is left out from the
/// end on, where the least needed stands.
pub fn encode(me: InstanceId, unix: Micros, mut items: Vec<Item>, most: usize) -> Vec<u8> {
    let size = |item: &Item| postcard::experimental::serialized_size(item).unwrap_or(most);
    let (mut room, mut fit) = (most.saturating_sub(HEAD + 5), 0);
    for item in &items {
        match room.checked_sub(size(item)) {
            Some(left) => (room, fit) = (left, fit + 1),
            None => break,
        }
    }
    items.truncate(fit);
    let mut out = Vec::from(MAGIC);
    out.extend(VERSION.to_be_bytes());
    out.extend(me.0.to_be_bytes());
    out.extend(unix.to_be_bytes());
    out.extend([0; 8]);
    let mut out = postcard::to_extend(&items, out).unwrap_or_default();
    if out.len() >= HEAD {
        let length = (out.len() - HEAD) as u32;
        out[26..30].copy_from_slice(&length.to_be_bytes());
        let sum = checksum(&out);
        out[30..34].copy_from_slice(&sum.to_be_bytes());
    }
    out
}

/// Over all but itself.
fn checksum(bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes[..30]);
    hasher.update(&bytes[HEAD..]);
    hasher.finalize()
}

/// Reads a snapshot at a Unix time: its items, and for how long the router was away.
pub fn decode(me: InstanceId, unix: Micros, bytes: &[u8]) -> Result<(Micros, Vec<Item>), Refused> {
    let number = |from: usize, to: usize| {
        bytes.get(from..to).map(|b| b.iter().fold(0, |n, b| n << 8 | u64::from(*b))).ok_or(Refused::Torn)
    };
    if bytes.get(..8).is_none_or(|b| *b != MAGIC) {
        return Err(if MAGIC.starts_with(bytes) { Refused::Torn } else { Refused::Foreign });
    }
    let version = number(8, 10)?;
    if version != u64::from(VERSION) {
        return Err(Refused::Version(version as u16));
    }
    if bytes.len() < HEAD || (bytes.len() - HEAD) as u64 != number(26, 30)? {
        return Err(Refused::Torn);
    }
    if u64::from(checksum(bytes)) != number(30, 34)? {
        return Err(Refused::Checksum);
    }
    let (instance, written) = (InstanceId(number(10, 18)?), number(18, 26)?);
    if instance != me {
        return Err(Refused::Instance);
    }
    if written > unix.saturating_add(CLOCK_ERROR) {
        return Err(Refused::Future);
    }
    // A clock that was set back a little tells as little of the time away as one set forward.
    let away = unix.abs_diff(written);
    if away > OLDEST {
        return Err(Refused::TooOld);
    }
    match postcard::take_from_bytes(&bytes[HEAD..]) {
        Ok((items, [])) => Ok((away, items)),
        _ => Err(Refused::Torn),
    }
}
