//! The electors as the leader sees them: who is heard, who gets a vote, who may lead next.

use std::collections::BTreeMap;

use raft::StateRole;

use super::proposals::Origin;
use super::{ELECTION_TICKS, Node};
use crate::decision::{Change, Proposal, ProposalId, Seat};
use crate::interface::Action;
use crate::status::Role;
use crate::{Micros, digest};

impl Node {
    /// Who votes, and whether this leader has heard of them lately; none are heard by who does not lead.
    pub fn electors_heard(&self) -> BTreeMap<String, bool> {
        let leads = self.role() == Role::Leader;
        self.fleet.voters().map(|(id, name)| (name.to_owned(), leads && self.is_heard(id))).collect()
    }

    /// Whether an elector has been heard within two of Raft's checks.
    pub(super) fn is_heard(&self, id: u64) -> bool {
        let within = 2 * ELECTION_TICKS as Micros * self.tick;
        id == self.id || self.voters_heard.get(&id).is_some_and(|at| self.now < at + within)
    }

    pub(super) fn note_heard_voters(&mut self) {
        let Some(raft) = self.raft.as_ref().filter(|r| r.raft.state == StateRole::Leader) else {
            return self.voters_heard.clear();
        };
        let heard = raft.raft.prs().iter().filter(|(_, p)| p.recent_active).map(|(id, _)| (*id, self.now));
        let heard: Vec<(u64, Micros)> = heard.collect();
        self.voters_heard.extend(heard);
    }

    /// Hands the lead to another elector that is level.
    pub fn hand_over(&mut self) {
        let Some(raft) = &mut self.raft else { return };
        let own = raft.raft.raft_log.last_index();
        let best = raft.raft.prs().iter().filter(|(id, p)| {
            **id != self.id
                && p.recent_active
                && self.fleet.electors.get(id).is_some_and(|e| e.votes)
                && p.matched <= own
        });
        if let Some((to, _)) = best.max_by_key(|(id, p)| (p.matched, **id)) {
            let to = *to;
            raft.transfer_leader(to);
        }
    }

    /// Guards against a change of electors after which those that can be heard would be no quorum.
    pub(super) fn is_quorum_after(&self, seat: &Seat) -> bool {
        if self.raft.is_none() {
            return false;
        }
        let after: Vec<u64> = match seat {
            Seat::Admit { .. } => return true,
            Seat::Promote { id } => self.fleet.voters().map(|(v, _)| v).chain([*id]).collect(),
            Seat::Dismiss { id } => self.fleet.voters().map(|(v, _)| v).filter(|v| v != id).collect(),
        };
        after.is_empty() || after.iter().filter(|id| self.is_heard(**id)).count() * 2 > after.len()
    }

    /// A learner that is level gets its vote.
    pub(super) fn promote_learner(&mut self, out: &mut Vec<Action>) {
        let Some(raft) = self.raft.as_ref().filter(|r| r.raft.state == StateRole::Leader) else { return };
        let level = |id: u64| {
            raft.raft
                .prs()
                .get(id)
                .is_some_and(|p| p.recent_active && p.matched >= raft.raft.raft_log.committed)
        };
        let ready = self.fleet.electors.iter().find(|(id, e)| !e.votes && level(**id));
        if let Some((id, elector)) = ready.map(|(id, e)| (*id, e.clone())) {
            let own = ProposalId(digest(&[b"promote", &id.to_le_bytes()]), elector.number);
            let change = Change::Seat(Seat::Promote { id });
            let by = self.terms.name.clone();
            self.propose(Proposal { id: own, builds_on: self.fleet.number, by, change }, Origin::Own, out);
        }
    }
}
