//! Reports of a director's observations, for other directors. No decisions are made here.

use super::*;

impl Director {
    /// This director's own observations, without the inherited ones. Where an estimate combines both and they
    /// can't be separated, the combined value is reported; `attempts_ended` says how much of it is this
    /// director's own.
    pub fn report(&self, now: Micros) -> Report {
        Report {
            members: self.members_report(now),
            fills: [&self.fill_limit, &self.origin_limit].map(|l| (l.limit, l.late_rate)),
            // Before the director has measured a rate itself, its value is inherited.
            warm_rate: if self.rate_since > 0 { self.warm_rate } else { [0.0; 2] },
            seen_ids: [&self.filter.active, &self.filter.passive].map(|ids| ids.iter().copied().collect()),
        }
    }

    /// The members of [`Director::report`] alone.
    pub fn members_report(&self, now: Micros) -> Vec<MemberReport> {
        let observed = self.peers.values().filter(|p| p.attempts_ended > 0);
        let members = observed.map(|p| MemberReport {
            id: p.entry.id,
            started: p.entry.started,
            attempts_ended: p.attempts_ended,
            fault_rate: p.fault_rate,
            quarantine: p.quarantined_until.saturating_sub(now),
            limit: p.concurrency.limit,
            late_rate: p.concurrency.late_rate,
        });
        members.collect()
    }
}
