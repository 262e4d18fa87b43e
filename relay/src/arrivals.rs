//! When a source got which number: none is called everywhere before the leases that nobody counts have run out.

use std::collections::VecDeque;

use crate::Micros;

/// Times that are remembered; beyond, the latest two count as one that came at the later time.
const MOST: usize = 4096;

/// Numbers that came lately, and when.
#[derive(Clone, Debug)]
pub struct Arrivals {
    /// For so long a number counts as new.
    lasts: Micros,
    /// All numbers up to this one are older than that.
    settled: u64,
    /// The last number of those that came at a time.
    lately: VecDeque<(u64, Micros)>,
}

impl Arrivals {
    /// Numbers up to this one came now.
    pub fn new(number: u64, lasts: Micros, now: Micros) -> Self {
        Self { lasts, settled: 0, lately: VecDeque::from([(number, now)]) }
    }

    /// Numbers up to this one have come.
    pub fn add(&mut self, number: u64, now: Micros) {
        while let Some((old, _)) = self.lately.front().copied().filter(|(_, at)| self.is_old(*at, now)) {
            self.settled = old;
            self.lately.pop_front();
        }
        if self.lately.len() == MOST {
            self.lately.pop_back();
        }
        self.lately.push_back((number, now));
    }

    /// Whether this number came long enough ago.
    pub fn is_settled(&self, number: u64, now: Micros) -> bool {
        let at = self.lately.partition_point(|(last, _)| *last < number);
        number <= self.settled || self.lately.get(at).is_some_and(|(_, at)| self.is_old(*at, now))
    }

    fn is_old(&self, at: Micros, now: Micros) -> bool {
        now.saturating_sub(at) >= self.lasts
    }

    /// Bytes that it holds, about.
    pub fn memory(&self) -> usize {
        self.lately.len() * size_of::<(u64, Micros)>()
    }
}
