//! Proposals: who may make them, their way to the leader, and their outcome's way back.

use raft::StateRole;
use raft::eraftpb as pb;

use super::Node;
use crate::Micros;
use crate::decision::{Change, Proposal, ProposalId, Refusal, Seat, Verdict, bounds};
use crate::interface::{Action, Reply};
use crate::wire::Frame;

/// A proposal that is not settled is forwarded again after so many ticks.
const RETRY_TICKS: Micros = 8;
/// Askers that wait for one proposal's outcome.
const MOST_ORIGINS: usize = 16;

/// Who waits for a proposal's outcome.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Origin {
    Here(u64),
    Peer(String),
    /// Nobody: the leader's own.
    Own,
}

#[derive(Debug)]
pub(super) struct Pending {
    proposal: Proposal,
    origins: Vec<Origin>,
    expires_at: Micros,
    retry_at: Micros,
    /// Handed to the log in this term.
    in_term: u64,
}

impl Node {
    /// Whether its maker may propose that.
    pub(super) fn may_propose(&self, proposal: &Proposal) -> bool {
        let operator = self.terms.operators.contains(&proposal.by);
        match &proposal.change {
            Change::Join { name, .. } | Change::Leave { name, .. } => *name == proposal.by || operator,
            _ => operator,
        }
    }

    pub(super) fn propose(&mut self, proposal: Proposal, origin: Origin, out: &mut Vec<Action>) {
        let id = proposal.id;
        if self.raft.is_none() && matches!(origin, Origin::Peer(_)) {
            // Others' proposals are for electors: nobody else can vouch for their maker.
            return self.reply(id, &origin, None, out);
        }
        if let Some(verdict) = self.fleet.settled(id).cloned() {
            return self.reply(id, &origin, Some(verdict), out);
        }
        if !self.pending.contains_key(&id) && self.pending.len() >= bounds::PENDING {
            return self.reply(id, &origin, None, out);
        }
        let expires_at = self.now + self.terms.patience;
        let new = Pending { proposal, origins: vec![], expires_at, retry_at: self.now, in_term: 0 };
        let pending = self.pending.entry(id).or_insert(new);
        if !pending.origins.contains(&origin) && pending.origins.len() < MOST_ORIGINS {
            pending.origins.push(origin);
            pending.expires_at = expires_at;
        }
        self.forward_to_leader(id, out);
    }

    /// Brings a proposal to the leader.
    pub(super) fn forward_to_leader(&mut self, id: ProposalId, out: &mut Vec<Action>) {
        let retry_at = self.now + RETRY_TICKS * self.tick;
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.retry_at = retry_at;
        let Some(raft) = &mut self.raft else {
            let electors = &self.terms.electors;
            if let Some(to) = electors.get(self.asking.target).filter(|to| **to != self.terms.name) {
                let frame = Frame::Propose(pending.proposal.clone());
                out.push(Action::Send { to: to.clone(), frame });
            }
            return;
        };
        if raft.raft.state != StateRole::Leader {
            let leader = raft.raft.leader_id;
            if let Some(elector) = self.fleet.electors.get(&leader) {
                let frame = Frame::Forward(pending.proposal.clone());
                out.push(Action::Send { to: elector.name.clone(), frame });
            }
            return;
        }
        let term = raft.raft.term;
        if pending.in_term == term {
            return;
        }
        let proposal = pending.proposal.clone();
        let bytes = postcard::to_stdvec(&proposal).unwrap_or_default();
        if bytes.len() > bounds::BODY + 1024 {
            let verdict = Verdict::Refused(self.fleet.number, Refusal::Bound);
            return self.settle(id, &verdict, out);
        }
        let handed = match &proposal.change {
            Change::Seat(seat) => self.hand_seat_to_log(id, seat, bytes, out),
            _ => raft.propose(vec![], bytes).is_ok(),
        };
        if let Some(pending) = self.pending.get_mut(&id).filter(|_| handed) {
            pending.in_term = term;
        }
    }

    /// Brings a change of the electors to the log; false where it is refused, or has to be tried again.
    fn hand_seat_to_log(
        &mut self,
        id: ProposalId,
        seat: &Seat,
        bytes: Vec<u8>,
        out: &mut Vec<Action>,
    ) -> bool {
        // What has been committed in its own term only does the leader know whole.
        if !self.raft.as_ref().is_some_and(|raft| raft.raft.commit_to_current_term()) {
            return false;
        }
        // All else is refused by the log, the same at every router.
        if !self.is_quorum_after(seat) {
            self.settle(id, &Verdict::Refused(self.fleet.number, Refusal::Quorum), out);
            return false;
        }
        if matches!(seat, Seat::Dismiss { id } if *id == self.id) {
            // Its own seat: another leads first, and the proposal comes again to that one.
            self.hand_over();
            return false;
        }
        let (kind, node) = match seat {
            Seat::Admit { id, .. } => (pb::ConfChangeType::AddLearnerNode, *id),
            Seat::Promote { id } => (pb::ConfChangeType::AddNode, *id),
            Seat::Dismiss { id } => (pb::ConfChangeType::RemoveNode, *id),
        };
        let mut change = pb::ConfChange::default();
        change.set_change_type(kind);
        change.node_id = node;
        // An earlier change that is not applied yet makes Raft drop this one: it is tried again.
        match &mut self.raft {
            Some(raft) if !raft.raft.has_pending_conf() => raft.propose_conf_change(bytes, change).is_ok(),
            _ => false,
        }
    }

    pub(super) fn retry_proposals(&mut self, out: &mut Vec<Action>) {
        let late: Vec<ProposalId> =
            self.pending.iter().filter(|(_, p)| self.now >= p.expires_at).map(|(id, _)| *id).collect();
        for id in late {
            let Some(pending) = self.pending.remove(&id) else { continue };
            for origin in &pending.origins {
                self.reply(id, origin, None, out);
            }
        }
        let due: Vec<ProposalId> =
            self.pending.iter().filter(|(_, p)| self.now >= p.retry_at).map(|(id, _)| *id).collect();
        for id in due {
            self.forward_to_leader(id, out);
        }
    }

    pub(super) fn settle(&mut self, id: ProposalId, verdict: &Verdict, out: &mut Vec<Action>) {
        if let Some(pending) = self.pending.remove(&id) {
            for origin in &pending.origins {
                self.reply(id, origin, Some(verdict.clone()), out);
            }
        }
    }

    pub(super) fn reply(&self, id: ProposalId, origin: &Origin, reply: Reply, out: &mut Vec<Action>) {
        match origin {
            Origin::Here(token) => out.push(Action::Answer { token: *token, reply }),
            Origin::Peer(to) => {
                out.push(Action::Send { to: to.clone(), frame: Frame::Settled { id, verdict: reply } })
            }
            Origin::Own => {}
        }
    }
}
