//! What is promised about purges, held against what the simulated routers serve and the sources answer.

use silverspindle_relay::Micros;

use super::coordinator::Coordinator;
use super::{MS, STATED};

/// It knows the coordinator's log, each act, and each answer.
pub(super) struct Checker {
    /// By source: the highest number that it has ever called everywhere.
    answers: Vec<u64>,
    /// The longest that a purge had been known when a copy from before it was served.
    pub worst: Micros,
}

impl Checker {
    pub fn new(sources: usize) -> Self {
        Self { answers: vec![0; sources], worst: 0 }
    }

    /// A source says that this number is everywhere below it.
    pub fn answered(&mut self, source: usize, number: u64) {
        self.answers[source] = self.answers[source].max(number);
    }

    /// The highest number that all sources have called everywhere.
    pub fn everywhere(&self) -> u64 {
        self.answers.iter().copied().min().unwrap_or(0)
    }

    /// A copy of this stamp is served now.
    pub fn served(
        &mut self,
        object: u64,
        stamp_ms: u64,
        now: Micros,
        coordinator: &Coordinator,
    ) -> Result<(), String> {
        let purges = coordinator.purges.get(&object).map_or(&[][..], Vec::as_slice);
        let first = purges.partition_point(|purge| purge.at_ms <= stamp_ms);
        let Some(purge) = purges.get(first) else { return Ok(()) };
        let known_for = now - purge.known;
        self.worst = self.worst.max(known_for);
        if known_for > STATED {
            return Err(format!("serves what number {} purged {} ms before", purge.number, known_for / MS));
        }
        if purge.number <= self.everywhere() {
            return Err(format!("serves what number {} purged, which is called everywhere", purge.number));
        }
        Ok(())
    }
}
