//! Estimates how long a slow client takes to read what was written to it.
//!
//! Bytes written to the kernel are not yet read by the client: those buffered on the client's machine can't be observed,
//! and the end of the stream arrives behind all of them. Requests that the client sends until then are discarded, and
//! clients resend only those that crossed the close within [`CROSSES`]. So a drain closes a connection only when its
//! client can have read so much that the end of the stream reaches it within that time. A client for which a write had to
//! wait is allowed twice the time, and its requests until then are refused, as refusals are small and quickly read.

use std::cell::Cell;

use bitternhold::Micros;

/// Microseconds in which a client reads a byte: 1 MB/s is the slowest rate that the operators name.
pub const PER_BYTE: Micros = 1;
/// Factor on the reading time of a client that was seen to read slowly.
pub const MARGIN: Micros = 2;
/// Maximum number of bytes assumed unread by the client. The resulting time ends before a drain gives up.
pub const MOST_UNREAD: Micros = 512 * 1024;
/// Bytes in the buffers of both sides when a write has to wait: the initial sizes of a socket's send and receive buffers.
pub const FULL_BUFFERS: Micros = 256 * 1024;
/// Time, in microseconds, within which a client resends a request that crossed the close of its connection.
pub const CROSSES: Micros = 50_000;
/// Wait of a write, in microseconds, from which on its client counts as slow. Scheduling delays are shorter.
pub const WAITED: Micros = 10_000;
/// Time, in microseconds, for which the client counts as slow after such a write; it has read everything by then.
const SLOW_FOR: Micros = MARGIN * PER_BYTE * MOST_UNREAD;

/// Estimate of what a client has still to read, and whether it reads slowly.
#[derive(Debug, Default)]
pub struct Reading {
    /// When the client has read everything written so far.
    behind_until: Cell<Micros>,
    /// When the client no longer counts as slow.
    slow_until: Cell<Micros>,
}

impl Reading {
    /// Notes a write of this many bytes that waited this long for room in the socket.
    pub fn wrote(&self, now: Micros, bytes: usize, waited: Micros) {
        let behind = self.behind_until.get().max(now).saturating_add(PER_BYTE * bytes as Micros);
        let full = now + PER_BYTE * FULL_BUFFERS;
        let behind = if waited >= WAITED { behind.max(full) } else { behind };
        self.behind_until.set(behind.min(now + PER_BYTE * MOST_UNREAD));
        if waited >= WAITED {
            self.slow_until.set(now + SLOW_FOR);
        }
    }

    /// Whether the client was recently seen to read slowly.
    pub fn is_slow(&self, now: Micros) -> bool {
        now < self.slow_until.get()
    }

    /// Until when a close would reach the client too late for it to resend what crossed it; none if a close is safe now.
    pub fn reads_until(&self, now: Micros) -> Option<Micros> {
        let margin = if self.is_slow(now) { MARGIN } else { 1 };
        let left = margin * self.behind_until.get().saturating_sub(now);
        (left > CROSSES).then(|| now + left - CROSSES)
    }
}
