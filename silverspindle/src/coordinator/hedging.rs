//! When another connection to the coordinator is opened beside silent ones, and which one is closed for it. No I/O.
//!
//! A coordinator that has stopped never writes again on a connection that is open, and one that is slow or crowded
//! writes on it later than expected. The two can't be told apart, so a silent connection is kept while others are tried.
//! The first one that delivers closes all others.

use bitternhold::Micros;

/// Time without a whole frame after which another connection is opened, in microseconds. The coordinator sends an empty
/// frame each second.
pub const SILENCE_TIMEOUT: Micros = 1_800_000;
/// Maximum number of connections at once.
pub const MAX_CONNECTIONS: usize = 4;
/// Delay before the second attempt to reconnect after a break, in microseconds; it doubles from attempt to attempt. The
/// first attempt comes at once.
const MIN_RETRY_DELAY: Micros = 50_000;
/// Maximum delay between two attempts to reconnect after breaks, in microseconds.
const MAX_RETRY_DELAY: Micros = 500_000;

/// A connection to the coordinator, numbered in the order of opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(u64);

/// A connection to open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opening {
    /// The new connection.
    pub id: ConnectionId,
    /// The connection that is closed for it.
    pub replaced: Option<ConnectionId>,
}

#[derive(Debug)]
struct Candidate {
    id: ConnectionId,
    /// When bytes last came, or else when it was opened.
    received_at: Micros,
    /// It has delivered a frame before.
    has_delivered: bool,
}

impl Candidate {
    fn is_silent(&self, now: Micros) -> bool {
        now.saturating_sub(self.received_at) >= SILENCE_TIMEOUT
    }
}

/// The connections to one coordinator. Times are microseconds of the steady clock.
#[derive(Debug)]
pub struct Hedging {
    /// The oldest first.
    candidates: Vec<Candidate>,
    opened: u64,
    next_open_at: Micros,
    retry_delay: Micros,
}

impl Hedging {
    /// No connection yet; the first is due at once.
    pub fn new(now: Micros) -> Self {
        Self { candidates: Vec::new(), opened: 0, next_open_at: now, retry_delay: 0 }
    }

    /// When [`Self::open`] is due.
    pub fn next_open_at(&self) -> Micros {
        self.next_open_at
    }

    /// Opens another connection; `None` where all that are allowed are in use and none is to be replaced.
    pub fn open(&mut self, now: Micros) -> Option<Opening> {
        self.next_open_at = now + SILENCE_TIMEOUT;
        let replaced = match self.candidates.len() < MAX_CONNECTIONS {
            true => None,
            false => Some(self.replaceable(now)?),
        };
        self.candidates.retain(|candidate| Some(candidate.id) != replaced);
        self.opened += 1;
        let id = ConnectionId(self.opened);
        self.candidates.push(Candidate { id, received_at: now, has_delivered: false });
        Some(Opening { id, replaced })
    }

    /// The connection to close for another one: one that delivered before and fell silent, else the second oldest of
    /// the silent ones. The oldest has waited longest for its turn and is kept; so are those on which bytes come.
    fn replaceable(&self, now: Micros) -> Option<ConnectionId> {
        let silent = || self.candidates.iter().filter(|candidate| candidate.is_silent(now));
        let fallen_silent = silent().find(|candidate| candidate.has_delivered);
        fallen_silent.or_else(|| silent().nth(1)).map(|candidate| candidate.id)
    }

    /// Records when bytes last came on a connection.
    pub fn received(&mut self, id: ConnectionId, at: Micros) {
        if let Some(candidate) = self.candidate(id) {
            candidate.received_at = candidate.received_at.max(at);
        }
    }

    /// Records a whole frame that brought nothing to act on.
    pub fn heard(&mut self, id: ConnectionId, now: Micros) {
        self.received(id, now);
        self.next_open_at = now + SILENCE_TIMEOUT;
    }

    /// Records a frame that was taken over: an event, or the confirmation that there is none. All other connections are
    /// to be closed.
    pub fn delivered(&mut self, id: ConnectionId, now: Micros, is_event: bool) {
        self.heard(id, now);
        self.candidates.retain(|candidate| candidate.id == id);
        if let Some(candidate) = self.candidate(id) {
            candidate.has_delivered = true;
        }
        if is_event {
            self.retry_delay = 0;
        }
    }

    /// Records that the rest of a frame has not come for a while. Another connection is opened at once if there is none
    /// yet.
    pub fn stalled(&mut self, now: Micros) {
        if self.candidates.len() == 1 {
            self.next_open_at = self.next_open_at.min(now);
        }
    }

    /// Records that a connection ended or could not be opened.
    pub fn ended(&mut self, id: ConnectionId, now: Micros) {
        self.candidates.retain(|candidate| candidate.id != id);
        self.next_open_at = self.next_open_at.min(now + self.retry_delay);
        self.retry_delay = (self.retry_delay * 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    }

    /// Whether the connection is still wanted.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.candidates.iter().any(|candidate| candidate.id == id)
    }

    fn candidate(&mut self, id: ConnectionId) -> Option<&mut Candidate> {
        self.candidates.iter_mut().find(|candidate| candidate.id == id)
    }
}
