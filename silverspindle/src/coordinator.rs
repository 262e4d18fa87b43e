//! The list's actor: follows the coordinator's events, from `known` on, and hands them to the director. It
//! moves to another coordinator when told to; numbering continues there.

use std::io;
use std::net::SocketAddr;

use async_channel::{Receiver, Sender};
use bitternhold::Micros;
use bytes::Bytes;
use futures_lite::future;

use crate::feed::{self, Event, Update};
use crate::traffic::Notification;

mod connections;
pub mod hedging;
pub mod lease;

use connections::{Connections, Incoming};
use hedging::ConnectionId;

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

/// What became of a frame.
enum Taken {
    /// An event, or the confirmation that there is none, was handed on.
    Delivered { is_event: bool },
    /// It brought nothing new, and confirms nothing.
    Ignored,
    /// The director is gone.
    Unwanted,
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

    /// Follows one coordinator through breaks and silences, until the director is gone. May be dropped at any point.
    async fn follow_on(&mut self) {
        let mut connections = Connections::new(self.address);
        while !self.notices.is_closed() {
            match connections.next(self.last).await {
                (id, Incoming::Frame { frame, after }) => match self.take(frame, after).await {
                    Ok(Taken::Delivered { is_event }) => connections.delivered(id, is_event),
                    Ok(Taken::Ignored) => connections.heard(id),
                    Ok(Taken::Unwanted) => return,
                    Err(error) => self.end(&mut connections, id, &error),
                },
                (_, Incoming::Stalled) => connections.stalled(),
                (id, Incoming::Ended { error, broken_after }) => {
                    self.end(&mut connections, id, &error);
                    if let Some(at) = broken_after
                        && !self.notices.broken(at).await
                    {
                        return;
                    }
                }
            }
        }
    }

    fn end(&self, connections: &mut Connections, id: ConnectionId, error: &io::Error) {
        tracing::warn!(event = self.last, "coordinator {}: {error}; connecting anew", self.address);
        connections.end(id);
    }

    /// Hands a frame on that arrived after this time of the steady clock. An error ends its connection.
    async fn take(&mut self, frame: Bytes, after: Micros) -> io::Result<Taken> {
        let event = feed::decode(&frame)?;
        let index = event.index;
        // Nothing more to tell: what was told is current.
        let current = event.update == Update::UpToDate;
        // What came already, before a break, is not told twice: an old list would undo newer changes.
        if index <= self.last && !current {
            return Ok(Taken::Ignored);
        }
        // Numbered ahead of the last event here: some are still to come, so this does not confirm the feed.
        if index > self.last && current {
            tracing::debug!(event = self.last, "coordinator: says that it has told all up to {index}");
            return Ok(Taken::Ignored);
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
                return Ok(Taken::Unwanted);
            }
        }
        if !self.notices.tell(Told { event, frame, after }).await {
            return Ok(Taken::Unwanted);
        }
        // Only now: dropped before, on a move, the event is asked for again.
        if !current {
            self.last = index;
        }
        Ok(Taken::Delivered { is_event: !current })
    }
}
