//! How long a client that reads slowly may take to read what was written to it.
//!
//! Written to the kernel is not read: what the client's machine holds for it is out of sight, and the end of the stream comes behind
//! all of it. A request that the client sends meanwhile would be thrown away, and clients send anew only what crosses within
//! [`CROSSES`]. So under a drain a connection is closed only when its client can have read so much that the end reaches it within
//! that. Of a client for whom a write had to wait twice the time is allowed for, and what it sends until then is refused: small
//! refusals are read in no time.

use std::cell::Cell;

use bitternhold::Micros;

/// Microseconds for a byte: a client that reads 1 MB/s, the slowest that the operators name.
pub const PER_BYTE: Micros = 1;
/// Of one that was seen to read slowly, this many times as long.
pub const MARGIN: Micros = 2;
/// Bytes that the client's machine holds for it, at most: the time that this bounds ends before a drain gives up.
pub const MOST_UNREAD: Micros = 512 * 1024;
/// Bytes in the buffers on both sides when a write has to wait: what a system gives a socket at first, for sending and receiving.
pub const FULL_BUFFERS: Micros = 256 * 1024;
/// What crosses a close within this is sent again by its client.
pub const CROSSES: Micros = 50_000;
/// A write that waits so long for the client to take bytes has met one that reads slowly; scheduling takes less.
pub const WAITED: Micros = 10_000;
/// It counts as slow for so long after: it has read all by then.
const SLOW_FOR: Micros = MARGIN * PER_BYTE * MOST_UNREAD;

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
        let full = now + PER_BYTE * FULL_BUFFERS;
        let behind = if waited >= WAITED { behind.max(full) } else { behind };
        self.behind_until.set(behind.min(now + PER_BYTE * MOST_UNREAD));
        if waited >= WAITED {
            self.slow_until.set(now + SLOW_FOR);
        }
    }

    /// Whether it was seen to read slowly.
    pub fn is_slow(&self, now: Micros) -> bool {
        now < self.slow_until.get()
    }

    /// Until when the end of the stream would reach the client too late for what it sends; none: it would not.
    pub fn reads_until(&self, now: Micros) -> Option<Micros> {
        let margin = if self.is_slow(now) { MARGIN } else { 1 };
        let left = margin * self.behind_until.get().saturating_sub(now);
        (left > CROSSES).then(|| now + left - CROSSES)
    }
}
