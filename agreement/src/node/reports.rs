//! What routers tell of themselves, handed on to whoever leads.

use std::ops::Bound;

use rand::Rng;

use super::Node;
use crate::Micros;
use crate::decision::bounds;

/// Reports are handed on within so many ticks.
const REPORT_TICKS: Micros = 2;
/// A report is forgotten after so many leases.
const REPORT_LEASES: Micros = 4;

impl Node {
    /// What this router tells of itself from now on, to whoever leads; empty: nothing. Too long a one is not told.
    pub fn tell(&mut self, report: Vec<u8>) {
        self.report = if report.len() <= bounds::REPORT { report } else { Vec::new() };
    }

    /// Others wait for what it tells now: it asks again, and so tells it, before its time; not all at one moment.
    pub fn tell_soon(&mut self) {
        let soon = self.now + self.rng.random_range(0..=self.tick);
        self.asking.next = self.asking.next.min(soon);
    }

    /// What routers have told of themselves, this one among them.
    pub fn reports(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let own = Some((self.terms.name.as_str(), self.report.as_slice())).filter(|(_, own)| !own.is_empty());
        let others = self.reports.iter().filter(|(name, _)| self.fleet.roll.contains_key(*name));
        let others = others.map(|(name, (_, report))| (name.as_str(), report.as_slice()));
        own.into_iter().chain(others)
    }

    /// How old the latest word of the router of this name is; none: it has told nothing, or long ago.
    pub fn told_since(&self, name: &str) -> Option<Micros> {
        if name == self.terms.name {
            return Some(0);
        }
        self.reports.get(name).map(|(at, _)| self.now.saturating_sub(*at))
    }

    /// What goes along with a question: its own telling, and from an elector what it was told.
    pub(super) fn reports_to_send(&mut self, seated: bool) -> Vec<(String, Micros, Vec<u8>)> {
        let mut reports = Vec::new();
        if !self.report.is_empty() {
            reports.push((self.terms.name.clone(), 0, self.report.clone()));
        }
        // One that is named and has no seat may be asked as well: it hands on what it was told.
        if seated || self.terms.electors.contains(&self.terms.name) {
            self.add_others_reports(&mut reports);
        }
        reports
    }

    /// Others' reports, as many as fit. The next question begins behind the last one, so that with more than fit
    /// nobody's is left out each time.
    fn add_others_reports(&mut self, reports: &mut Vec<(String, Micros, Vec<u8>)>) {
        let mut size: usize = reports.iter().map(|(name, _, report)| report_size(name, report)).sum();
        let start = self.reports_from.take();
        let from = start.as_ref().map_or(Bound::Unbounded, Bound::Included);
        let rest = start.as_ref().map(|name| (Bound::Unbounded, Bound::Excluded(name)));
        let rest = rest.map(|range| self.reports.range::<String, _>(range));
        let first = self.reports.range::<String, _>((from, Bound::Unbounded));
        for (name, (at, report)) in first.chain(rest.into_iter().flatten()) {
            size += report_size(name, report);
            if size > bounds::REPORTS {
                self.reports_from = Some(name.clone());
                return;
            }
            reports.push((name.clone(), self.now.saturating_sub(*at), report.clone()));
        }
    }

    /// Takes what a peer has told: of itself anybody, of others an elector; of who is on the roll.
    pub(super) fn take_reports(
        &mut self,
        from: &str,
        elector: bool,
        reports: Vec<(String, Micros, Vec<u8>)>,
    ) {
        for (name, age, report) in reports {
            let may_tell = name == from || (elector && name != self.terms.name);
            if may_tell && report.len() <= bounds::REPORT && self.fleet.roll.contains_key(&name) {
                self.take_report(name, self.now.saturating_sub(age), report);
            }
        }
    }

    fn take_report(&mut self, name: String, at: Micros, report: Vec<u8>) {
        let before = self.reports.get(&name);
        if before.is_some_and(|(before, _)| *before > at) {
            return;
        }
        let news = before.is_none_or(|(_, before)| *before != report);
        self.reports.insert(name, (at, report));
        // An elector hands news on before its time; what comes meanwhile goes along.
        if news && self.raft.is_some() {
            self.asking.next = self.asking.next.min(self.now + REPORT_TICKS * self.tick);
        }
    }

    /// Forgets reports that are too old.
    pub(super) fn drop_old_reports(&mut self) {
        let fresh = self.now.saturating_sub(REPORT_LEASES * self.terms.lease);
        self.reports.retain(|_, (at, _)| *at >= fresh);
    }
}

/// Bytes that a report takes in a frame, at the most.
fn report_size(name: &str, report: &[u8]) -> usize {
    name.len() + report.len() + 16
}
