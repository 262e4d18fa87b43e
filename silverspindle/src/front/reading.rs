//! How long a client that reads slowly may take to read what was written to it.
//!
//! Written to the kernel is not read: what the client's machine holds for it is out of sight, and the end of the stream comes behind
//! all of it. A request that the client sends meanwhile would be thrown away. So under a drain a connection whose client was seen
//! to read more slowly than it is answered is closed only when it can have read all; until then what it sends is refused, and small
//! refusals are read in no time.

use std::cell::Cell;

use bitternhold::Micros;

/// Microseconds for a byte: twice what a client takes that reads 1 MB/s, the slowest that the operators name.
pub const PER_BYTE: Micros = 2;
/// Bytes that the client's machine holds for it, at most: the time that this bounds ends before a drain gives up.
pub const MOST_UNREAD: Micros = 512 * 1024;
/// A write that waits so long for the client to take bytes has met one that reads slowly; scheduling takes less.
pub const WAITED: Micros = 10_000;
/// It counts as slow for so long after: it has read all by then.
const SLOW_FOR: Micros = PER_BYTE * MOST_UNREAD;

/// What was written to a client, and whether it reads slowly.
#[derive(Debug, Default)]
pub struct Reading {
    behind_until: Cell<Micros>,
    slow_until: Cell<Micros>,
}

impl Reading {
    /// So many bytes were written, after a wait of so long for room.
    pub fn wrote(&self, now: Micros, bytes: usize, waited: Micros) {
        let behind = self.behind_until.get().max(now).saturating_add(PER_BYTE * bytes as Micros);
        self.behind_until.set(behind.min(now + PER_BYTE * MOST_UNREAD));
        if waited >= WAITED {
            self.slow_until.set(now + SLOW_FOR);
        }
    }

    /// When a client that reads slowly has read all; none: it has, or reads as fast as it is written to.
    pub fn reads_until(&self, now: Micros) -> Option<Micros> {
        let behind = self.behind_until.get();
        (now < self.slow_until.get() && now < behind).then_some(behind)
    }
}
