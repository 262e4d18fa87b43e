//! When a number is everywhere: from when it came until all that live have it. Two clocks run for each: when it was
//! really so, as the checker sees it, and when the sources said so.

use super::Micros;
use super::report::Times;

/// Numbers that are looked at, in order, each from when it came.
#[derive(Debug, Default)]
pub struct Progress {
    /// The number that follows all that were passed.
    next: u64,
    /// Times of those that were measured.
    took: Vec<Micros>,
}

impl Progress {
    /// From this number on.
    pub fn from(next: u64) -> Self {
        Self { next, took: Vec::new() }
    }

    /// The first number that has not passed.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The next number has passed; it came then, if it is measured.
    pub fn pass(&mut self, now: Micros, came: Option<Micros>) {
        self.next += 1;
        self.took.extend(came.map(|came| now.saturating_sub(came)));
    }

    /// How many were measured.
    pub fn measured(&self) -> usize {
        self.took.len()
    }

    /// The times, in sum.
    pub fn times(&self) -> Option<Times> {
        Times::of(&self.took)
    }
}
