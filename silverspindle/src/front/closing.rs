//! Lingering close: connections that this side has closed and whose clients have not closed yet.
//!
//! Bytes written to the kernel are not yet delivered: closing a socket with unread bytes, or bytes that arrive after the
//! close, reset the connection, and answers that this machine still buffers are lost. So this side shuts down only its
//! sending direction, and reads and discards what arrives until the client closes as well. Time and bytes are bounded. The
//! kernel buffers little ([`MAX_UNSENT`]), so the time is enough for a client that still reads.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::TcpStream;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bitternhold::Micros;
use futures_lite::{AsyncReadExt, future};

use crate::clock;

/// Approximate maximum of unsent bytes that the kernel buffers on a client's connection; the rest waits in this process,
/// where it counts as unwritten. A client that reads 1 MB/s, the slowest rate that the operators name, reads this many
/// within a few milliseconds, one at 60 kB/s within [`LINGER_TIMEOUT`].
pub(super) const MAX_UNSENT: u32 = 16 * 1024;
/// Maximum time of a lingering close, in microseconds. A client that reads has reached the end of the stream by then.
pub(super) const LINGER_TIMEOUT: Micros = 2_000_000;
/// Maximum number of bytes discarded on a closed connection: a client that sends more, at full speed, is not reading.
const MAX_DISCARDED: usize = 4 * 1024 * 1024;
/// Minimum time of a lingering close, in microseconds, when others wait for the room: requests that crossed the close
/// arrive within 50 ms.
const MIN_LINGER: Micros = 50_000;
/// Minimum time from the last write of an answer to the end of a lingering close, in microseconds, when others wait for
/// the room: leaves the client time to read that answer.
const MIN_LINGER_AFTER_WRITE: Micros = 500_000;

/// One lingering connection.
#[derive(Debug)]
struct Closing {
    id: u64,
    /// From then on the connection may be ended to make room for others.
    evictable_from: Micros,
    /// Ends the connection.
    end: Sender<()>,
}

/// All lingering connections, in the order of their closes.
#[derive(Debug, Default)]
pub(super) struct ClosingConnections(RefCell<VecDeque<Closing>>);

impl ClosingConnections {
    /// Adds a connection that this side has closed, with the time of the last write to it. The returned channel signals
    /// that the connection has to end.
    pub fn add(&self, id: u64, last_written: Micros) -> Receiver<()> {
        let (end, ended) = async_channel::bounded(1);
        let evictable_from = (clock::now() + MIN_LINGER).max(last_written + MIN_LINGER_AFTER_WRITE);
        self.0.borrow_mut().push_back(Closing { id, evictable_from, end });
        ended
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, id: u64) {
        self.0.borrow_mut().retain(|closing| closing.id != id);
    }

    /// Ends the connections past their minimum time, as others wait for the room.
    pub fn end_evictable(&self) {
        let now = clock::now();
        for closing in self.0.borrow().iter().filter(|closing| closing.evictable_from <= now) {
            let _ = closing.end.try_send(());
        }
    }

    /// Ends all lingering connections.
    pub fn end_all(&self) {
        for closing in self.0.borrow().iter() {
            let _ = closing.end.try_send(());
        }
    }

    /// Number of lingering connections.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }
}

/// Maximum number of bytes that are discarded at once.
const DISCARD_CHUNK: usize = 4096;

/// Reads and discards bytes until the client closes as well, `timeout` has passed, [`MAX_DISCARDED`] were read
/// or `must_end` signals.
pub(super) async fn discard_until_closed(stream: &Async<TcpStream>, timeout: Micros, must_end: Receiver<()>) {
    let read = async {
        // On the heap: every connection's task would otherwise have room for it from its start.
        let (mut stream, mut buffer, mut left) = (stream, vec![0; DISCARD_CHUNK], MAX_DISCARDED);
        while let Ok(n) = stream.read(&mut buffer).await {
            left = left.saturating_sub(n);
            if n == 0 || left == 0 {
                return;
            }
            future::yield_now().await;
        }
    };
    let expired = async {
        Timer::after(Duration::from_micros(timeout)).await;
    };
    let must_end = async {
        let _ = must_end.recv().await;
    };
    future::or(read, future::or(expired, must_end)).await;
}
