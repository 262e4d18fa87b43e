//! The confirmation: an elector's by a quorum's word, a follower's by an elector's answer.

use super::{ASKS_IN_LEASE, Node, NumberedEntries};
use crate::Micros;
use crate::fence::Confirmation;
use crate::interface::Action;
use crate::wire::Frame;

/// An elector confirms itself after this part of the lease.
const CONFIRMATIONS_IN_LEASE: Micros = 8;
/// Entries in an answer, and bytes of them.
const ANSWER_ENTRIES: usize = 512;
const ANSWER_BYTES: usize = 256 * 1024;

impl Node {
    /// An elector's own: a quorum's word, asked for now.
    pub(super) fn ask_quorum(&mut self, out: &mut Vec<Action>) {
        let age = self.fence.age(self.now);
        let wanted = age.is_none_or(|age| age >= self.terms.lease / CONFIRMATIONS_IN_LEASE)
            || !self.questions.is_empty()
            || !self.note_questions.is_empty();
        let lost = self.round.is_none_or(|(_, asked)| self.now >= asked + self.terms.lease / ASKS_IN_LEASE);
        let Some(raft) = &mut self.raft else { return };
        if !self.terms.guards.quorum {
            let number = self.fleet.number;
            self.fence.confirm(Confirmation { number, asked: self.now });
            return self.answer_questions(out);
        }
        if wanted && lost && raft.raft.leader_id != 0 {
            self.rounds += 1;
            self.round = Some((self.rounds, self.now));
            let context = [self.id, self.boots, self.rounds].map(u64::to_le_bytes).concat();
            raft.read_index(context);
            self.process_ready(out);
        }
    }

    pub(super) fn quorum_answered(&mut self, index: u64, context: &[u8], out: &mut Vec<Action>) {
        let Some((round, asked)) = self.round else { return };
        if context != [self.id, self.boots, round].map(u64::to_le_bytes).concat() {
            return;
        }
        self.round = None;
        self.unapplied = Some((index, asked));
        self.confirm_applied(out);
    }

    /// A confirmed number counts once it is applied.
    pub(super) fn confirm_applied(&mut self, out: &mut Vec<Action>) {
        if let Some((number, asked)) = self.unapplied.filter(|(number, _)| self.fleet.number >= *number) {
            self.unapplied = None;
            self.fence.confirm(Confirmation { number, asked });
            self.answer_questions(out);
        }
    }

    /// Answers what is asked here, once this router's own word is fresh.
    pub(super) fn answer_questions(&mut self, out: &mut Vec<Action>) {
        let fresh = self.fence.age(self.now).filter(|age| *age < self.terms.lease / ASKS_IN_LEASE);
        let (Some(age), Some(latest)) = (fresh, self.fence.latest()) else { return };
        if self.fence.is_stopped() || self.fleet.fleet == 0 {
            return;
        }
        self.answer_note_questions(latest.asked, out);
        self.answer_number_questions(age, latest.number, out);
    }

    /// Staff pull plugs by these words: not as of some time ago, but as of their asking.
    fn answer_note_questions(&mut self, confirmed: Micros, out: &mut Vec<Action>) {
        for (to, topic, since) in std::mem::take(&mut self.note_questions) {
            if confirmed < since {
                if self.now < since + self.terms.patience {
                    self.note_questions.push((to, topic, since));
                }
                continue;
            }
            let note = self.fleet.notes.get(&topic);
            let (number, body) = note.map_or((0, vec![]), |note| (note.number, note.body.clone()));
            out.push(Action::Send {
                to,
                frame: Frame::NoteIs { topic, number, body, at: self.fleet.number },
            });
        }
    }

    fn answer_number_questions(&mut self, age: Micros, latest: u64, out: &mut Vec<Action>) {
        for (to, (seq, have, digest)) in std::mem::take(&mut self.questions) {
            let known = self
                .recent_digests
                .iter()
                .rev()
                .find(|(number, _)| *number == have)
                .map(|(_, digest)| *digest);
            if known.is_some_and(|known| known != digest) {
                self.warn(format!("outcomes differ at {have}: {digest:x} at {to}, another here"), out);
            }
            let (entries, snapshot) = self.entries_after(have);
            let frame = Frame::Answer {
                seq,
                fleet: self.fleet.fleet,
                age,
                number: latest,
                at_have: known,
                entries,
                snapshot,
            };
            out.push(Action::Send { to, frame });
        }
    }

    /// What follows a number: by log, or whole.
    pub(super) fn entries_after(&self, have: u64) -> (NumberedEntries, Option<Vec<u8>>) {
        if have >= self.fleet.number {
            return (vec![], None);
        }
        // What this router learnt by asking may be ahead of its own log, whose end is then not settled and may be
        // another one.
        let own = self.raft.as_ref().map(|r| (&r.store().disk.entries, r.raft.raft_log.committed));
        let own = own.filter(|(all, settled)| have > 0 && have < *settled && all.contains_key(&(have + 1)));
        let Some((entries, settled)) = own else { return (vec![], Some(self.fleet.spell())) };
        let (mut found, mut size) = (Vec::new(), 0);
        for (number, entry) in entries.range(have + 1..=settled.min(self.fleet.number)) {
            let data = if entry.kind == 0 { &entry.data } else { &entry.context };
            size += data.len() + 16;
            if found.len() >= ANSWER_ENTRIES || (size > ANSWER_BYTES && !found.is_empty()) {
                break;
            }
            found.push((*number, data.clone()));
        }
        (found, None)
    }
}
