//! Estimates how long a slow client takes to read what was written to it.
//!
//! Bytes written to the kernel are not yet read by the client: those buffered on the client's machine can't be observed,
//! and the end of the stream arrives behind all of them. Requests that the client sends until then are discarded, and
//! clients resend only those that crossed the close within [`RESEND_WINDOW`]. So a drain closes a connection only when its
//! client can have read so much that the end of the stream reaches it within that time. A client for which a write had to
//! wait is allowed twice the time, and its requests until then are refused, as refusals are small and quickly read.

use std::cell::Cell;

use bitternhold::Micros;

/// Microseconds in which a client reads a byte: 1 MB/s is the slowest rate that the operators name.
pub const READ_TIME_PER_BYTE: Micros = 1;
/// Factor on the reading time of a client that was seen to read slowly.
pub const SLOW_READER_FACTOR: Micros = 2;
/// Maximum number of bytes assumed unread by the client. The resulting time ends before a drain gives up.
pub const MAX_UNREAD: Micros = 512 * 1024;
/// Bytes in the buffers of both sides when a write has to wait: the initial sizes of a socket's send and receive buffers.
pub const FULL_BUFFERS: Micros = 256 * 1024;
/// Time, in microseconds, within which a client resends a request that crossed the close of its connection.
pub const RESEND_WINDOW: Micros = 50_000;
/// Wait of a write, in microseconds, from which on its client counts as slow. Scheduling delays are shorter.
pub const SLOW_WRITE: Micros = 10_000;
/// Time, in microseconds, for which the client counts as slow after such a write; it has read everything by then.
const SLOW_READER_TIME: Micros = SLOW_READER_FACTOR * READ_TIME_PER_BYTE * MAX_UNREAD;

/// Estimate of what a client has still to read, and whether it reads slowly.
#[derive(Debug, Default)]
pub struct ReadProgress {
    /// When the client has read everything written so far.
    read_by: Cell<Micros>,
    /// When the client no longer counts as slow.
    slow_until: Cell<Micros>,
}

impl ReadProgress {
    /// Notes a write of this many bytes that waited this long for room in the socket.
    pub fn record_write(&self, now: Micros, bytes: usize, waited: Micros) {
        let read_by = self.read_by.get().max(now).saturating_add(READ_TIME_PER_BYTE * bytes as Micros);
        let full = now + READ_TIME_PER_BYTE * FULL_BUFFERS;
        let read_by = if waited >= SLOW_WRITE { read_by.max(full) } else { read_by };
        self.read_by.set(read_by.min(now + READ_TIME_PER_BYTE * MAX_UNREAD));
        if waited >= SLOW_WRITE {
            self.slow_until.set(now + SLOW_READER_TIME);
        }
    }

    /// Whether the client was recently seen to read slowly.
    pub fn is_slow(&self, now: Micros) -> bool {
        now < self.slow_until.get()
    }

    /// Until when a close would reach the client too late for it to resend what crossed it; none if a close is safe now.
    pub fn unread_until(&self, now: Micros) -> Option<Micros> {
        let factor = if self.is_slow(now) { SLOW_READER_FACTOR } else { 1 };
        let left = factor * self.read_by.get().saturating_sub(now);
        (left > RESEND_WINDOW).then(|| now + left - RESEND_WINDOW)
    }
}
