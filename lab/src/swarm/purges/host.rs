//! What a simulated router does with what it is told to apply, and whether it serves a copy.

use std::collections::BTreeMap;

use silverspindle_relay::{ANY_COPY, Entry, Feed, Micros, Mode, PurgeTarget, Record, Reset};

use super::MS;
use super::coordinator::{Coordinator, OBJECTS, group};

/// A router's purges in force, and where it is in the coordinator's log.
#[derive(Default)]
pub(super) struct Host {
    objects: BTreeMap<u64, u64>,
    groups: BTreeMap<u64, u64>,
    /// Copies from before then may be purged.
    purged_before_ms: u64,
    /// How many of the coordinator's records it has applied.
    position: usize,
}

impl Host {
    /// One that starts with what is known by its configuration.
    pub fn starting(coordinator: &Coordinator) -> Self {
        let position = coordinator.after(coordinator.known.number);
        let mut host = Self { position, ..Self::default() };
        coordinator.log[..position].iter().for_each(|record| host.take(record));
        host
    }

    fn take(&mut self, record: &Record) {
        if let Entry::Purge { what, at_ms } = &record.entry {
            let latest = match what {
                PurgeTarget::Object(object) => self.objects.entry(*object).or_default(),
                PurgeTarget::Group(group) => self.groups.entry(*group).or_default(),
            };
            *latest = (*latest).max(*at_ms);
        }
    }

    /// Applies records; says what is wrong with them.
    pub fn apply(&mut self, records: &[Record], coordinator: &Coordinator) -> Result<(), String> {
        for record in records {
            let next = coordinator.log.get(self.position);
            if next != Some(record) {
                let expected = next.map(|next| next.number);
                return Err(format!("applies number {} where {expected:?} comes next", record.number));
            }
            self.position += 1;
            self.take(record);
        }
        Ok(())
    }

    /// Applies what stands for records; says what is wrong with it.
    pub fn reset(&mut self, reset: &Reset, now: Micros, coordinator: &Coordinator) -> Result<(), String> {
        let position = coordinator.after(reset.number);
        let skipped = coordinator.log.get(self.position..position).unwrap_or_default();
        if skipped.is_empty() {
            return Err(format!("a reset to number {} that stands for nothing", reset.number));
        }
        let purged = |record: &Record| match &record.entry {
            Entry::Purge { at_ms, .. } => Some(*at_ms),
            Entry::List(_) => None,
        };
        if skipped.iter().filter_map(purged).any(|at_ms| at_ms > reset.purged_before_ms) {
            return Err(format!("a reset to number {} that hides a purge", reset.number));
        }
        if reset.list != coordinator.come_to(position).list {
            return Err(format!("a reset to number {} with another list", reset.number));
        }
        self.position = position;
        let before = if reset.purged_before_ms == ANY_COPY { now / MS } else { reset.purged_before_ms };
        self.purged_before_ms = self.purged_before_ms.max(before);
        Ok(())
    }

    /// Whether it serves a copy of an object that is as old as that by its own clock, under its feed at this moment.
    pub fn serves(&self, object: u64, stamp_ms: u64, age: Micros, feed: &Feed) -> bool {
        debug_assert!(object < OBJECTS);
        let latest = |all: &BTreeMap<u64, u64>, key| all.get(&key).copied().unwrap_or(0);
        let purged =
            latest(&self.objects, object).max(latest(&self.groups, group(object))).max(self.purged_before_ms);
        let young_enough = feed.max_copy_age.is_none_or(|oldest| age < oldest);
        debug_assert_eq!(feed.mode == Mode::Safe, feed.max_copy_age.is_some());
        stamp_ms >= purged && young_enough
    }
}
