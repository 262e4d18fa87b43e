//! The listener's queue of connections that wait to be accepted, as far as it can be told from this side.
//!
//! A client's time runs from its request's last byte, also while its connection waits to be accepted. The system does not say
//! how long it waited, only whether anything waits at all, and it hands connections out in their order. From that follows the
//! earliest time at which each can have come: not before the queue was last seen empty, nor before room was made for it.

use std::collections::VecDeque;

use bitternhold::Micros;

/// What is known of the queue.
#[derive(Debug)]
pub struct AcceptQueue {
    /// So many connections may wait in it.
    length: usize,
    /// When it was last seen empty.
    empty_at: Micros,
    /// When connections were taken out of it since, the last ones: as many as may wait.
    taken: VecDeque<Micros>,
}

impl AcceptQueue {
    /// A queue of this length, empty now.
    pub fn new(length: usize, now: Micros) -> Self {
        Self { length, empty_at: now, taken: VecDeque::new() }
    }

    /// It was looked into and held nothing.
    pub fn seen_empty(&mut self, now: Micros) {
        self.empty_at = now;
        self.taken.clear();
    }

    /// A connection was taken out; the earliest time at which it can have come.
    pub fn take(&mut self, now: Micros) -> Micros {
        // It entered a queue that was not full: of those before it, all but so many had been taken.
        let room_made = if self.taken.len() >= self.length { self.taken.pop_front() } else { None };
        self.taken.push_back(now);
        self.empty_at = self.empty_at.max(room_made.unwrap_or(0));
        self.empty_at
    }
}
