//! Following the log by asking an elector, as followers do; electors ask each other now and then to compare.

use rand::Rng;

use super::{ASKS_IN_LEASE, Node, NumberedEntries};
use crate::Micros;
use crate::fleet::Fleet;
use crate::interface::Action;
use crate::wire::Frame;

/// An elector whose word is fresh still compares outcomes with another one after so many leases.
const COMPARE_LEASES: Micros = 5;

/// A follower's question to an elector.
#[derive(Debug, Default)]
pub(super) struct Asking {
    /// The place of the elector that is asked, among those named.
    pub target: usize,
    /// Counts the questions.
    pub seq: u64,
    /// When the latest was sent.
    pub asked: Micros,
    /// The digest told with the question; it may have learnt more since.
    pub digest: u64,
    /// It has no answer yet.
    pub open: bool,
    /// When the next one is due.
    pub next: Micros,
}

impl Node {
    /// Asks an elector, as a follower does; an elector where its own word grows old, and now and then to compare.
    pub(super) fn ask_elector(&mut self, out: &mut Vec<Action>) {
        let every = self.terms.lease / ASKS_IN_LEASE;
        let jitter = self.rng.random_range(0..=every / 4);
        self.asking.next = self.now + every - jitter;
        self.drop_old_reports();
        let seated = self.raft.is_some();
        let tells = !self.report.is_empty() || !self.reports.is_empty();
        let leader = self.leader().filter(|leader| seated && tells && *leader != self.terms.name);
        if seated && leader.is_none() && self.is_fresh_and_compared() {
            return;
        }
        self.choose_target(leader);
        let Some(to) = self.terms.electors.get(self.asking.target).filter(|to| **to != self.terms.name)
        else {
            return;
        };
        let to = to.clone();
        self.asking.seq += 1;
        (self.asking.asked, self.asking.digest, self.asking.open) = (self.now, self.fleet.digest, true);
        let frame = Frame::Ask {
            seq: self.asking.seq,
            fleet: self.fleet.fleet,
            have: self.fleet.number,
            digest: self.fleet.digest,
            seat: self.disk.as_ref().map(|_| self.id),
            age: self.fence.age(self.now),
            life: self.terms.life,
            reports: self.reports_to_send(seated),
        };
        out.push(Action::Send { to, frame });
    }

    /// An elector's own word is fresh, and it has compared outcomes with another one not long ago.
    fn is_fresh_and_compared(&self) -> bool {
        let fresh = self.fence.age(self.now).is_some_and(|age| age < self.terms.lease / 2);
        fresh && self.now < self.asking.asked + COMPARE_LEASES * self.terms.lease
    }

    /// The elector that is asked next: the leader where it is told reports, else the same one as long as it answers a
    /// follower; electors take turns.
    fn choose_target(&mut self, leader: Option<String>) {
        let electors = &self.terms.electors;
        let mut target = self.asking.target;
        if self.asking.open || self.raft.is_some() {
            target = (target + 1) % electors.len().max(1);
        }
        let lead = electors.iter().position(|name| Some(name) == leader.as_ref());
        target = lead.unwrap_or(target);
        for _ in 0..electors.len() {
            if electors[target] != self.terms.name {
                break;
            }
            target = (target + 1) % electors.len();
        }
        self.asking.target = target;
    }

    /// Applies what an elector has answered, by entries or whole.
    pub(super) fn take_entries(
        &mut self,
        entries: NumberedEntries,
        snapshot: Option<Vec<u8>>,
        out: &mut Vec<Action>,
    ) {
        if let Some(fleet) = snapshot.and_then(|bytes| Fleet::read(&bytes))
            && fleet.number > self.fleet.number
        {
            self.fleet = fleet;
            self.after_apply(None, true, out);
        }
        for (number, data) in entries {
            if number == self.fleet.number + 1 {
                self.apply(&data, out);
            }
        }
        self.take_or_leave_seat(out);
    }

    /// Same decisions, another outcome: from now on nothing agreed is acted on.
    pub(super) fn stop_on_difference(&mut self, from: &str, out: &mut Vec<Action>) {
        self.fence.stop();
        let what = format!(
            "outcomes differ: {:x} here, another at {from} for the same decisions; this router acts on nothing agreed \
             any more",
            self.asking.digest
        );
        self.warn(what, out);
    }
}
