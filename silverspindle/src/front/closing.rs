//! Connections that this side has closed and whose client has not closed yet.
//!
//! Written to the kernel is not delivered: a close over unread bytes, or bytes that come after it, reset the connection,
//! and with it go answers that this machine still holds. So this side ends its own stream alone, reads on and throws away
//! what comes until the client ends its stream as well. The time is bounded, as are the bytes; the kernel holds little
//! ([`UNSENT`]), so that the time is enough for a client that still reads.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::TcpStream;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bitternhold::Micros;
use futures_lite::{AsyncReadExt, future};

use crate::clock;

/// Bytes of answers that the kernel holds unsent on a client's connection, about: the rest waits in this process, where
/// it counts as owed. A client that reads 1 MB/s, the slowest that the operators name, takes them within some
/// milliseconds, one at 60 kB/s within [`LINGER`].
pub(super) const UNSENT: u32 = 16 * 1024;
/// A client that reads has come to the end of the stream by then.
pub(super) const LINGER: Micros = 2_000_000;
/// What is thrown away at most: a client that sends more at full speed is none that reads.
const LINGER_BYTES: usize = 4 * 1024 * 1024;
/// Where others wait for the room it is given up so long after the close, as what crosses that comes within 50 ms, and so
/// long after an answer was last written to it.
const CROSSES: Micros = 50_000;
const TAKEN_BY: Micros = 500_000;

/// One of them.
#[derive(Debug)]
struct Closing {
    id: u64,
    /// May be given up for others from then on.
    may_go: Micros,
    hurry: Sender<()>,
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct ClosingConnections(RefCell<VecDeque<Closing>>);

impl ClosingConnections {
    /// This side has closed a connection to which bytes were last written then; what is returned says that others wait.
    pub fn add(&self, id: u64, last_written: Micros) -> Receiver<()> {
        let (hurry, hurried) = async_channel::bounded(1);
        let may_go = (clock::now() + CROSSES).max(last_written + TAKEN_BY);
        self.0.borrow_mut().push_back(Closing { id, may_go, hurry });
        hurried
    }

    /// One has ended.
    pub fn remove(&self, id: u64) {
        self.0.borrow_mut().retain(|closing| closing.id != id);
    }

    /// Ends those that had their time: others wait for the room.
    pub fn hurry(&self) {
        let now = clock::now();
        for closing in self.0.borrow().iter().filter(|closing| closing.may_go <= now) {
            let _ = closing.hurry.try_send(());
        }
    }

    /// Ends all of them.
    pub fn end_all(&self) {
        for closing in self.0.borrow().iter() {
            let _ = closing.hurry.try_send(());
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }
}

/// Reads until the client closes as well, for so long at most, or until it is said that others wait.
pub(super) async fn throw_away(stream: &Async<TcpStream>, at_most: Micros, hurried: Receiver<()>) {
    let read = async {
        let (mut stream, mut buffer, mut left) = (stream, [0; 4096], LINGER_BYTES);
        while let Ok(n) = stream.read(&mut buffer).await {
            left = left.saturating_sub(n);
            if n == 0 || left == 0 {
                return;
            }
            future::yield_now().await;
        }
    };
    let late = async {
        Timer::after(Duration::from_micros(at_most)).await;
    };
    let hurried = async {
        let _ = hurried.recv().await;
    };
    future::or(read, future::or(late, hurried)).await;
}
