//! Raft's messages and its log: what was committed is applied, and the log's beginning is compacted.

use raft::eraftpb as pb;

use super::Node;
use crate::decision::{Proposal, ProposalId, Verdict, bounds};
use crate::disk::{self, Snapshot, Write};
use crate::fleet::Fleet;
use crate::interface::{Action, Applied};
use crate::wire::{Frame, RaftMessage};

impl Node {
    pub(super) fn step_raft(&mut self, from: &str, message: &RaftMessage, out: &mut Vec<Action>) {
        let known = self.fleet.electors.get(&message.from);
        if known.is_some_and(|e| e.name != from) || message.to != self.id {
            return;
        }
        let Some(raft) = &mut self.raft else { return };
        let Some(message) = message.to_raft(raft.raft.raft_log.last_index()) else {
            return self.warn(format!("a message of {from} that no elector sends"), out);
        };
        // An error here is a message out of its time: dropped, as on a lossy network.
        let _ = raft.step(message);
    }

    pub(super) fn send_raft(&self, messages: &[pb::Message], out: &mut Vec<Action>) {
        for message in messages {
            let to = self.fleet.electors.get(&message.to).map(|e| e.name.clone());
            // A router that has its seat and not its log yet answers by who is waiting for it.
            if let Some((to, frame)) = to.zip(RaftMessage::of(message)) {
                out.push(Action::Send { to, frame: Frame::Raft(frame) });
            }
        }
    }

    pub(super) fn process_ready(&mut self, out: &mut Vec<Action>) {
        while let Some(raft) = self.raft.as_mut().filter(|r| r.has_ready()) {
            let mut ready = raft.ready();
            let messages = ready.take_messages();
            let committed = ready.take_committed_entries();
            let reads = ready.take_read_states();
            let mut write = Write::default();
            if !ready.snapshot().get_metadata().is_empty_snapshot() {
                write.snapshot = Some(disk::snapshot_of_raft(ready.snapshot()));
                write.drop_to = u64::MAX;
            }
            write.entries = ready.entries().iter().map(disk::of_raft).collect();
            if let Some(hard) = ready.hs() {
                let hard = disk::HardState { term: hard.term, vote: hard.vote, commit: hard.commit };
                raft.mut_store().disk.hard = hard;
                if ready.must_sync() {
                    write.hard = Some(hard);
                }
            }
            raft.mut_store().disk.apply(&write);
            let later = ready.take_persisted_messages();
            self.send_raft(&messages, out);
            let restored = write.snapshot.clone();
            if !write.is_empty() {
                out.push(Action::Write(write));
            }
            if let Some(snapshot) = restored {
                self.restore_snapshot(&snapshot, out);
            }
            self.apply_committed(&committed, out);
            self.send_raft(&later, out);
            let Some(raft) = &mut self.raft else { return };
            let mut light = raft.advance_append(ready);
            if let Some(commit) = light.commit_index() {
                raft.mut_store().disk.hard.commit = commit;
            }
            let (messages, committed) = (light.take_messages(), light.take_committed_entries());
            self.send_raft(&messages, out);
            self.apply_committed(&committed, out);
            let Some(raft) = &mut self.raft else { return };
            raft.advance_apply();
            for read in reads {
                self.quorum_answered(read.index, &read.request_ctx, out);
            }
            self.leader_changed(out);
            self.compact_log(out);
        }
    }

    pub(super) fn leader_changed(&mut self, out: &mut Vec<Action>) {
        let Some(raft) = &self.raft else { return };
        if raft.raft.leader_id != self.known_leader {
            self.known_leader = raft.raft.leader_id;
            // What was out to the leader before may be lost: asked for anew.
            self.round = None;
            let ids: Vec<ProposalId> = self.pending.keys().copied().collect();
            if self.known_leader != 0 {
                ids.into_iter().for_each(|id| self.forward_to_leader(id, out));
            }
        }
    }

    pub(super) fn restore_snapshot(&mut self, snapshot: &Snapshot, out: &mut Vec<Action>) {
        self.conf = disk::snapshot_to_raft(snapshot).take_metadata().take_conf_state();
        match Fleet::read(&snapshot.data) {
            Some(fleet) if fleet.number > self.fleet.number => {
                self.fleet = fleet;
                self.after_apply(None, true, out);
            }
            Some(_) => {}
            None => self.warn("a snapshot that can't be read".to_owned(), out),
        }
    }

    pub(super) fn apply_committed(&mut self, entries: &[pb::Entry], out: &mut Vec<Action>) {
        for entry in entries {
            let seats = entry.get_entry_type() != pb::EntryType::EntryNormal;
            let data = if seats { &entry.context } else { &entry.data };
            if entry.index == self.fleet.number + 1 {
                self.apply(data, out);
            }
            if seats && self.made_at(data, entry.index) {
                self.change_voters(entry, out);
            }
        }
    }

    /// Whether the entry of this number made its proposal, and neither refused nor repeated it.
    pub(super) fn made_at(&self, data: &[u8], number: u64) -> bool {
        let proposal = postcard::from_bytes::<Proposal>(data).ok();
        proposal.is_some_and(|p| self.fleet.settled(p.id) == Some(&Verdict::Made(number)))
    }

    pub(super) fn change_voters(&mut self, entry: &pb::Entry, out: &mut Vec<Action>) {
        let mut change = pb::ConfChange::default();
        let read = protobuf::Message::merge_from_bytes(&mut change, &entry.data);
        let Some(raft) = self.raft.as_mut().filter(|_| read.is_ok()) else { return };
        if let Ok(conf) = raft.apply_conf_change(&change) {
            self.conf = conf;
        }
        // Who gets a seat starts from a snapshot that names it.
        self.snapshot_due = true;
        if change.node_id == self.id && change.get_change_type() == pb::ConfChangeType::RemoveNode {
            self.leave_seat(out);
        }
    }

    pub(super) fn apply(&mut self, data: &[u8], out: &mut Vec<Action>) {
        let number = self.fleet.number + 1;
        let outcome = self.fleet.apply(number, data, self.terms.guards.dedupe);
        self.after_apply(outcome.clone(), false, out);
        if let Some((id, verdict)) = &outcome {
            self.settle(*id, verdict, out);
        } else if let Ok(proposal) = postcard::from_bytes::<Proposal>(data)
            && let Some(verdict) = self.fleet.settled(proposal.id).cloned()
        {
            self.settle(proposal.id, &verdict, out);
        }
    }

    pub(super) fn after_apply(
        &mut self,
        outcome: Option<(ProposalId, Verdict)>,
        whole: bool,
        out: &mut Vec<Action>,
    ) {
        let (number, digest) = (self.fleet.number, self.fleet.digest);
        if self.reports.len() > self.fleet.roll.len() {
            self.reports.retain(|name, _| self.fleet.roll.contains_key(name));
        }
        self.fence.applied(number, digest);
        self.recent_digests.push_back((number, digest));
        if self.recent_digests.len() > bounds::REMEMBERED {
            self.recent_digests.pop_front();
        }
        out.push(Action::Applied(Applied { number, digest, outcome, whole }));
        if whole {
            let ids: Vec<ProposalId> = self.pending.keys().copied().collect();
            for id in ids {
                if let Some(verdict) = self.fleet.settled(id).cloned() {
                    self.settle(id, &verdict, out);
                }
            }
        }
        self.confirm_applied(out);
    }

    /// Makes a snapshot as of the number applied and drops the log's beginning, when it has grown too long or the
    /// electors have changed.
    pub(super) fn compact_log(&mut self, out: &mut Vec<Action>) {
        let Some(raft) = &self.raft else { return };
        let log = raft.store();
        let behind = self.fleet.number.saturating_sub(log.disk.snapshot.index);
        let applied = raft.raft.raft_log.applied;
        if (behind < bounds::LOG && !self.snapshot_due) || applied != self.fleet.number {
            return;
        }
        self.snapshot_due = false;
        let (index, term) = (applied, log.term_of(applied).unwrap_or(0));
        let snapshot = Snapshot {
            index,
            term,
            voters: self.conf.voters.clone(),
            learners: self.conf.learners.clone(),
            data: self.fleet.spell(),
        };
        let Some(raft) = &mut self.raft else { return };
        // What a snapshot holds is settled: a commit behind it would be a disk that contradicts itself.
        let mut hard = raft.store().disk.hard;
        hard.commit = hard.commit.max(index);
        let drop_to = index.saturating_sub(bounds::LOG / 2);
        let write = Write { hard: Some(hard), snapshot: Some(snapshot), drop_to, ..Write::default() };
        raft.mut_store().disk.apply(&write);
        out.push(Action::Write(write));
    }
}

trait EmptySnapshot {
    fn is_empty_snapshot(&self) -> bool;
}

impl EmptySnapshot for pb::SnapshotMetadata {
    fn is_empty_snapshot(&self) -> bool {
        self.index == 0
    }
}
