//! The attempts and probes in flight on one connection to a peer. The peer's actor enters and removes them; the
//! connection's reader looks up who an answer is for before it takes memory for it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use async_channel::Sender;
use bitternhold::Micros;
use bytes::Bytes;
use silverspindle_wire::framing::StreamOwner;
use silverspindle_wire::memory::{Claim, Recipient};

use super::{PeerMessage, READ_CHUNK};
use crate::resp::{self, AnswerCode};
use crate::traffic::Attempt;

/// Memory in bytes that an answer takes while it is passed on in pieces: one that is being read, one in the channel and one
/// that is being written.
const PIECES_MEMORY: usize = 3 * READ_CHUNK;

/// An attempt or a probe in flight, with the time at which it was queued on the connection.
#[derive(Debug)]
pub(super) enum Stream {
    Attempt(Rc<Attempt>, Micros),
    Probe(Micros),
}

impl Stream {
    /// The client that its answer is for; none for a probe.
    fn recipient(&self) -> Option<Recipient> {
        match self {
            Stream::Attempt(attempt, _) => Some(Recipient(attempt.client.id())),
            Stream::Probe(_) => None,
        }
    }
}

/// Streams of one connection, by the id that their answer carries.
#[derive(Debug)]
pub(super) struct Streams {
    /// Number of the connection in the actor.
    connection: u64,
    /// The actor, which is told when an answer begins to wait.
    actor: Sender<PeerMessage>,
    by_id: RefCell<HashMap<Bytes, Stream>>,
    /// An answer waits for memory, and what is behind it is not read meanwhile.
    waiting: Cell<bool>,
    /// The answer that is read is passed on in pieces.
    in_pieces: Cell<bool>,
}

impl Streams {
    /// No streams yet on this connection of the actor.
    pub fn new(connection: u64, actor: Sender<PeerMessage>) -> Self {
        Self {
            connection,
            actor,
            by_id: RefCell::default(),
            waiting: Cell::new(false),
            in_pieces: Cell::new(false),
        }
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_id.borrow().is_empty()
    }

    /// Whether there is one with this id.
    pub fn contains(&self, id: &[u8]) -> bool {
        self.by_id.borrow().contains_key(id)
    }

    /// Whether an answer on the connection waits for memory.
    pub fn is_waiting(&self) -> bool {
        self.waiting.get()
    }

    /// Whether an answer on the connection is passed on in pieces, as fast as its client takes them.
    pub fn is_in_pieces(&self) -> bool {
        self.in_pieces.get()
    }

    /// Whether answers on the connection have to wait for a client.
    pub fn is_held_up(&self) -> bool {
        self.is_waiting() || self.is_in_pieces()
    }

    /// Notes that an answer is passed on in pieces from now on, or no longer is.
    pub fn set_in_pieces(&self, in_pieces: bool) {
        self.in_pieces.set(in_pieces);
    }

    /// Adds a stream.
    pub fn insert(&self, id: Bytes, stream: Stream) {
        self.by_id.borrow_mut().insert(id, stream);
    }

    /// Removes the stream with this id and returns it.
    pub fn remove(&self, id: &[u8]) -> Option<Stream> {
        self.by_id.borrow_mut().remove(id)
    }

    /// Keeps the streams for which the function returns true.
    pub fn retain(&self, mut keep: impl FnMut(&Stream) -> bool) {
        self.by_id.borrow_mut().retain(|_, stream| keep(stream));
    }

    /// Removes all streams and returns them.
    pub fn take(&self) -> Vec<Stream> {
        self.by_id.borrow_mut().drain().map(|(_, stream)| stream).collect()
    }

    /// The attempt with this id; none for a probe.
    pub fn attempt(&self, id: &[u8]) -> Option<Rc<Attempt>> {
        match self.by_id.borrow().get(id)? {
            Stream::Attempt(attempt, _) => Some(attempt.clone()),
            Stream::Probe(_) => None,
        }
    }

    /// When this attempt was queued; none if it is not on this connection.
    pub fn queued_since(&self, attempt: &Attempt) -> Option<Micros> {
        match self.by_id.borrow().get(attempt.call.rid.as_bytes()) {
            Some(Stream::Attempt(queued, since)) if queued.ticket == attempt.ticket => Some(*since),
            _ => None,
        }
    }
}

impl StreamOwner for Streams {
    /// The answer is for the client of its attempt. Other clients' attempts on the connection, and probes, come behind it.
    fn claim(&self, received: &[u8]) -> Option<Claim> {
        let by_id = self.by_id.borrow();
        let recipient = resp::answer_id(received).and_then(|id| by_id.get(id)).and_then(Stream::recipient);
        let blocks_others = by_id.values().any(|stream| stream.recipient() != recipient);
        let head = resp::decode_head(received).ok().flatten();
        let has_body = head.is_some_and(|head| head.code == AnswerCode::Hit && head.version.is_some());
        let can_stream = has_body && resp::body_position(received).is_some();
        Some(Claim { recipient, blocks_others, piece: if can_stream { PIECES_MEMORY } else { 0 } })
    }

    /// Where the actor's mailbox is full, it learns of the answer when that is whole.
    fn wait_began(&self, received: &[u8]) {
        self.waiting.set(true);
        let begun = PeerMessage::AnswerBegun(self.connection, Bytes::copy_from_slice(received));
        let _ = self.actor.try_send(begun);
    }

    fn wait_ended(&self) {
        self.waiting.set(false);
    }
}
