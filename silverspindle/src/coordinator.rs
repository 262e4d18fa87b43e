//! The list's actor: follows the coordinator's events, from `known` on, and hands them to the director. It
//! moves to another coordinator when told to; numbering continues there.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bitternhold::Micros;
use bytes::Bytes;
use futures_lite::{AsyncWriteExt, future};
use std::io;
use std::net::TcpStream;
use std::pin::pin;

use crate::feed::{self, Event, Update};
use crate::framing::MessageReader;
use crate::steady::steady_now;
use crate::traffic::Notification;

pub mod lease;

/// Timeout for the next frame. The coordinator sends an empty one each second. Of the 7 s after which events bind
/// unsent, this leaves time for three connections in a row that fall silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Timeout for the next bytes of an incomplete frame.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a connect, and of writing the number of the last event.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the second attempt to reconnect, doubled from attempt to attempt; the first comes at once.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two attempts to reconnect.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read of a frame at once.
const READ_CHUNK: usize = 16 * 1024;
/// Interval at which a waiting read is polled, to know up to when the socket was empty.
const EMPTY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// An event as it was received.
#[derive(Debug)]
pub struct Told {
    /// What it says.
    pub event: Event,
    /// The whole frame.
    pub frame: Bytes,
    /// It arrived after this time of the steady clock: the socket was empty then.
    pub after: Micros,
}

/// Receiver of the events.
pub trait Sink {
    /// Whether nobody takes events any more.
    fn is_closed(&self) -> bool;
    /// Takes an event; false if nobody takes events any more.
    fn tell(&self, told: Told) -> impl Future<Output = bool>;
    /// Called when an established connection broke, no earlier than this time of the steady clock; false if nobody takes
    /// events any more.
    fn broken(&self, _at: Micros) -> impl Future<Output = bool> {
        async { true }
    }
    /// Called before the next event where the coordinator no longer has some events in between; false if nobody takes
    /// events any more.
    fn missed(&self) -> impl Future<Output = bool> {
        async { true }
    }
}

/// The director, as the receiver of the events: it is also told up to which time it has received all of them.
#[derive(Debug)]
pub struct DirectorSink(pub Sender<Notification>);

impl Sink for DirectorSink {
    fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    async fn tell(&self, told: Told) -> bool {
        let confirms = told.event.update == Update::UpToDate;
        let sent = self.0.send(told.event.update.into()).await.is_ok();
        if sent && confirms {
            return self.0.send(Notification::Confirmed { at: told.after }).await.is_ok();
        }
        sent
    }

    async fn broken(&self, at: Micros) -> bool {
        self.0.send(Notification::Broken { at }).await.is_ok()
    }

    async fn missed(&self) -> bool {
        self.0.send(Notification::EventsMissed).await.is_ok()
    }
}

/// What the actor needs.
#[derive(Debug)]
pub struct Coordinator<S> {
    /// Where the coordinator listens.
    pub address: SocketAddr,
    /// The last event that is known.
    pub last: u64,
    /// Where events go.
    pub notices: S,
    /// Tells where the coordinator listens from now on.
    pub moves: Receiver<SocketAddr>,
    /// A gap behind this event was asked for again and came again: there is nothing to fill it.
    pub gap: Option<u64>,
}

async fn within<T>(time: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let late = async {
        Timer::after(time).await;
        Err(io::Error::new(io::ErrorKind::TimedOut, "silent"))
    };
    future::or(work, late).await
}

impl<S: Sink> Coordinator<S> {
    /// Runs until the director is gone.
    pub async fn run(mut self) {
        let moves = self.moves.clone();
        while !self.notices.is_closed() {
            // A closed channel tells no more moves, which must not end the following.
            let moved = async {
                match moves.recv().await {
                    Ok(address) => address,
                    Err(_) => future::pending().await,
                }
            };
            let follow = async {
                self.follow_on().await;
                None
            };
            match future::or(async { Some(moved.await) }, follow).await {
                Some(address) => {
                    tracing::info!("coordinator {}: moves to {address}", self.address);
                    self.address = address;
                }
                None => return,
            }
        }
    }

    /// Follows one coordinator through breaks, until the director is gone. May be dropped at any point.
    async fn follow_on(&mut self) {
        let mut wait = Duration::ZERO;
        while !self.notices.is_closed() {
            let before = self.last;
            let Err(e) = self.follow().await else { return };
            tracing::warn!(event = self.last, "coordinator {}: {e}; connecting anew", self.address);
            wait = if self.last > before { Duration::ZERO } else { wait };
            Timer::after(wait).await;
            wait = (wait * 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        }
    }

    /// One connection, to its end.
    async fn follow(&mut self) -> io::Result<()> {
        let stream = within(CONNECT_TIMEOUT, Async::<TcpStream>::connect(self.address)).await?;
        within(CONNECT_TIMEOUT, (&stream).write_all(&self.last.to_be_bytes())).await?;
        tracing::info!(event = self.last, "coordinator {}: following", self.address);
        // The time since when nothing is left unread: what comes then was not there yet, however late it is read.
        let mut empty = steady_now();
        let ended = self.receive(&stream, &mut empty).await;
        if ended.as_ref().is_err_and(is_break) {
            self.notices.broken(empty).await;
        }
        ended
    }

    /// Reads the frames of one connection, until it ends or falls silent, or until the director is gone.
    async fn receive(&mut self, stream: &Async<TcpStream>, empty: &mut Micros) -> io::Result<()> {
        let mut frames =
            MessageReader::new(stream, feed::measure, READ_CHUNK).with_stall_timeout(STALL_TIMEOUT);
        loop {
            let Some(frame) = within(SILENCE_TIMEOUT, read_when_empty_until(frames.next(), empty)).await?
            else {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed"));
            };
            let event = feed::decode(&frame)?;
            let index = event.index;
            // Nothing more to tell: what was told is current.
            let current = event.update == Update::UpToDate;
            // What came already, before a break, is not told twice: an old list would undo newer changes.
            if index <= self.last && !current {
                continue;
            }
            // Numbered ahead of the last event here: some are still to come, so this does not confirm the feed.
            if index > self.last && current {
                tracing::debug!(event = self.last, "coordinator: says that it has told all up to {index}");
                continue;
            }
            if index > self.last + 1 && !current {
                let missing = format!("events {} to {} are missing", self.last + 1, index - 1);
                // What is missing may be a drain or a purge: it is asked for again, by connecting from the last event
                // that is known. A coordinator that has no more to tell than this is believed the second time.
                if self.gap.replace(self.last) != Some(self.last) {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, missing));
                }
                tracing::warn!(event = index, "coordinator: {missing}, also when asked again");
                if !self.notices.missed().await {
                    return Ok(());
                }
            }
            if !self.notices.tell(Told { event, frame, after: *empty }).await {
                return Ok(());
            }
            // Only now: dropped before, on a move, the event is asked for again.
            if !current {
                self.last = index;
            }
        }
    }
}

/// Whether an established connection with this error was ended by the coordinator. After a silence, a gap or a frame that
/// can't be read it is this side that ends it.
fn is_break(error: &io::Error) -> bool {
    !matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::InvalidData)
}

/// Completes a read and records the last time at which the socket was still empty.
async fn read_when_empty_until<T>(read: impl Future<Output = T>, empty: &mut Micros) -> T {
    let mut read = pin!(read);
    loop {
        let began = steady_now();
        if let Some(done) = future::poll_once(&mut read).await {
            return done;
        }
        *empty = began;
        let check_due = async {
            Timer::after(EMPTY_CHECK_INTERVAL).await;
            None
        };
        if let Some(done) = future::or(async { Some((&mut read).await) }, check_due).await {
            return done;
        }
    }
}
