//! Events by time; those of one moment in the order in which they were put in.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::Micros;

struct Item<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Item<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Item<E> {}

impl<E> PartialOrd for Item<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Item<E> {
    /// The heap gives its greatest first: the earliest is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// See the module's text.
pub struct Queue<E> {
    heap: BinaryHeap<Item<E>>,
    sequence: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<E> Queue<E> {
    /// Puts an event in.
    pub fn push(&mut self, at: Micros, event: E) {
        self.sequence += 1;
        self.heap.push(Item { at, sequence: self.sequence, event });
    }

    /// Takes the next one out.
    pub fn pop(&mut self) -> Option<(Micros, E)> {
        self.heap.pop().map(|item| (item.at, item.event))
    }
}
