//! Estimates how long connections waited in the listener's accept queue.
//!
//! A request's time runs from the arrival of its last byte, also while its connection waits to be accepted. The operating
//! system does not report how long a connection waited, only whether any is waiting, and it returns them in the order of
//! arrival. From this follows the earliest time at which each can have arrived: not before the queue was last seen empty,
//! nor before there was room for it.

use std::collections::VecDeque;

use bitternhold::Micros;

/// What is known about the accept queue.
#[derive(Debug)]
pub struct AcceptQueue {
    /// Maximum number of connections in the queue.
    length: usize,
    /// Earliest time at which the next connection can have arrived: the queue was empty then, or had just got room.
    earliest_arrival: Micros,
    /// Times of the latest accepts since the queue was last seen empty, at most `length` of them.
    accept_times: VecDeque<Micros>,
}

impl AcceptQueue {
    /// Creates the state of a queue of this length that is empty now.
    pub fn new(length: usize, now: Micros) -> Self {
        Self { length, earliest_arrival: now, accept_times: VecDeque::new() }
    }

    /// Notes that the queue was found empty at this time, or that this is the earliest time at which its connections came.
    pub fn seen_empty(&mut self, at: Micros) {
        self.earliest_arrival = self.earliest_arrival.max(at);
        self.accept_times.clear();
    }

    /// Notes that a connection was accepted, and returns the earliest time at which it can have arrived.
    pub fn accepted(&mut self, now: Micros) -> Micros {
        // The queue was not full when this connection entered it: of those before it, all but `length - 1` were accepted.
        let room_made =
            if self.accept_times.len() >= self.length { self.accept_times.pop_front() } else { None };
        self.accept_times.push_back(now);
        self.earliest_arrival = self.earliest_arrival.max(room_made.unwrap_or(0));
        self.earliest_arrival
    }
}
