//! The checker: looks at all processes ten times a second, and holds what the sources say against it.

use silverspindle_relay::{Micros, Mode, Record};

use super::super::everywhere::Progress;
use super::super::report::Facts;
use super::super::tree::Part;
use super::super::{Core, MS, Run};
use super::{DIRECT_LEASE, Model, What};

/// Times are rounded up to this.
pub(super) const SAMPLE_EVERY: Micros = 100 * MS;

/// What was seen so far.
#[derive(Debug, Default)]
pub(super) struct Watch {
    /// In force at every router that lives.
    in_force: Progress,
    /// Called everywhere by all sources.
    everywhere: Progress,
    said_too_early: u64,
    safe_reading_most: usize,
    counted_least: Option<u64>,
    cut_off: usize,
    cut_off_on_safe_reading: usize,
    joined: Option<Micros>,
}

impl Watch {
    pub(super) fn new(next: u64) -> Self {
        Self { in_force: Progress::from(next), everywhere: Progress::from(next), ..Self::default() }
    }

    pub(super) fn facts(&self, run: Run, core: Core, latest: Option<&(Micros, Record)>) -> Facts {
        let latest = latest.map_or(0, |(_, record)| record.number);
        Facts {
            everywhere_ms: self.everywhere.times(),
            in_force_ms: self.in_force.times(),
            events_measured: self.everywhere.measured(),
            events_unfinished: (latest + 1).saturating_sub(self.everywhere.next().min(self.in_force.next())),
            said_too_early: self.said_too_early,
            safe_reading_most: self.safe_reading_most,
            counted_least: self.counted_least.unwrap_or(0),
            cut_off: self.cut_off,
            cut_off_on_safe_reading: self.cut_off_on_safe_reading,
            joined_ms: self.joined.map(|joined| joined / MS),
            ..Facts::of(run, core)
        }
    }
}

impl Model {
    /// Whether a process acts on the safe reading; one that is dead does not act.
    fn is_on_safe_reading(&self, process: usize) -> bool {
        let node = self.processes[process].node.as_ref();
        node.is_some_and(|node| node.feed_guard().read(self.local(process)).mode == Mode::Safe)
    }

    /// When a record came, by its number, if it is measured.
    fn came(&self, number: u64) -> Option<Micros> {
        let (at, _) = self.records.get((number - super::BEGIN - 1) as usize)?;
        (self.measure_from..self.measure_to).contains(at).then_some(*at)
    }

    /// The latest number that whoever is on the safe reading keeps to: no copy that is as old as this is served then.
    fn kept_by_safe_reading(&self) -> u64 {
        let old = self.records.partition_point(|(at, _)| at + DIRECT_LEASE <= self.now);
        super::BEGIN + old as u64
    }

    /// Up to where all live routers have the log in force, and how many of them are on the safe reading.
    fn in_force(&self) -> (u64, usize) {
        let by_safe_reading = self.kept_by_safe_reading();
        let (mut least, mut safe) = (u64::MAX, 0);
        for process in self.shape.control()..self.places.len() {
            let state = &self.processes[process];
            if state.node.is_none() {
                continue;
            }
            let in_force = match self.is_on_safe_reading(process) {
                true => {
                    safe += 1;
                    state.applied.max(by_safe_reading)
                }
                false => state.applied,
            };
            least = least.min(in_force);
        }
        (least, safe)
    }

    fn is_everywhere(&self, number: u64) -> bool {
        (0..self.shape.sources).all(|source| {
            let now = self.local(source);
            let node = self.processes[source].node.as_ref();
            node.is_some_and(|node| node.status(now, number).everywhere == Some(true))
        })
    }

    fn counted(&self) -> u64 {
        let count = |source: usize| {
            let node = self.processes[source].node.as_ref();
            node.map_or(0, |node| u64::from(node.status(self.local(source), 0).summary.routers))
        };
        (0..self.shape.sources).map(count).sum()
    }

    pub(super) fn sample(&mut self) {
        self.queue.push(self.now + SAMPLE_EVERY, What::Sample);
        let latest = self.records.last().map_or(0, |(_, record)| record.number);
        let (in_force, safe) = self.in_force();
        while self.watch.in_force.next() <= latest.min(in_force) {
            let came = self.came(self.watch.in_force.next());
            self.watch.in_force.pass(self.now, came);
        }
        while self.watch.everywhere.next() <= latest && self.is_everywhere(self.watch.everywhere.next()) {
            let number = self.watch.everywhere.next();
            self.watch.said_too_early += u64::from(number >= self.watch.in_force.next());
            let came = self.came(number);
            self.watch.everywhere.pass(self.now, came);
        }
        let measured = (self.measure_from..self.measure_to).contains(&self.now);
        let counted = self.counted();
        if measured {
            self.watch.safe_reading_most = self.watch.safe_reading_most.max(safe);
            self.watch.counted_least = Some(self.watch.counted_least.unwrap_or(u64::MAX).min(counted));
        }
        if self.watch.joined.is_none() && counted >= self.run.routers as u64 && safe == 0 {
            self.watch.joined = Some(self.now.saturating_sub(super::CONTROL_FIRST));
        }
    }

    /// A region is about to be back: were all of its routers on the safe reading?
    pub(super) fn look_at_cut_region(&mut self) {
        let routers = (0..self.places.len()).filter(|process| {
            self.places[*process].part == Part::Router
                && self.is_in_cut_region(*process)
                && self.processes[*process].node.is_some()
        });
        let cut_off: Vec<usize> = routers.collect();
        self.watch.cut_off = cut_off.len();
        self.watch.cut_off_on_safe_reading =
            cut_off.iter().filter(|process| self.is_on_safe_reading(**process)).count();
    }
}
