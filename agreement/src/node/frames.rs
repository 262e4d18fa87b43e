//! Frames of peers, each judged by the name in its sender's certificate: what an elector says counts from no other.

use super::{Asker, Node, Origin};
use crate::Micros;
use crate::decision::{Proposal, Refusal, Verdict, bounds};
use crate::fence::Confirmation;
use crate::forming::{Set, Step};
use crate::interface::Action;
use crate::wire::Frame;

/// What a peer asks of an elector, by [`Frame::Ask`].
struct Question {
    seq: u64,
    fleet: u64,
    have: u64,
    digest: u64,
    seat: Option<u64>,
    age: Option<Micros>,
    life: u64,
}

impl Node {
    pub(super) fn receive(&mut self, from: &str, frame: Frame, out: &mut Vec<Action>) {
        let elector = self.terms.electors.iter().any(|name| name == from)
            || self.fleet.electors.values().any(|e| e.name == from);
        match frame {
            Frame::Forming { id, promise } if elector => self.on_forming(from, id, promise, out),
            Frame::Formed { set } if elector => self.on_formed(&set, out),
            Frame::Raft(message) if elector => self.step_raft(from, &message, out),
            Frame::Propose(proposal) => self.on_propose(from, proposal, out),
            Frame::Forward(proposal) if elector && self.raft.is_some() => {
                self.propose(proposal, Origin::Peer(from.to_owned()), out);
            }
            Frame::Settled { id, verdict: Some(verdict) } if elector => self.settle(id, &verdict, out),
            Frame::Ask { seq, fleet, have, digest, seat, age, life, reports } => {
                self.take_reports(from, elector, reports);
                self.on_ask(from, elector, Question { seq, fleet, have, digest, seat, age, life }, out);
            }
            Frame::Answer { seq, fleet, age, number, at_have, entries, snapshot } if elector => {
                if !self.is_answer_in_time(from, seq, fleet, out) {
                    return;
                }
                if at_have.is_some_and(|digest| digest != self.asking.digest) {
                    return self.stop_on_difference(from, out);
                }
                self.take_entries(entries, snapshot, out);
                self.on_confirmation(age, number);
            }
            Frame::AskNote { topic } => self.on_ask_note(from, topic),
            Frame::AskStatus => {
                let status = Box::new(self.status());
                out.push(Action::Send { to: from.to_owned(), frame: Frame::StatusIs(status) });
            }
            // From who is no elector, or to who is none: nothing of it counts.
            _ => {}
        }
    }

    /// A named elector has no fleet yet.
    fn on_forming(&mut self, from: &str, id: u64, promise: Option<Set>, out: &mut Vec<Action>) {
        if self.fleet.fleet != 0 {
            self.unseated.insert(from.to_owned(), id);
            let frame = Frame::Formed { set: self.founders.clone() };
            return out.push(Action::Send { to: from.to_owned(), frame });
        }
        let Some(forming) = &mut self.forming else { return };
        if forming.hear(from, id, promise) {
            let what = format!("{from} has another disk than was promised; no fleet can form with it");
            self.warn(what, out);
        }
        self.try_forming(out);
    }

    /// An elector has a fleet that began with this set.
    fn on_formed(&mut self, set: &Set, out: &mut Vec<Action>) {
        let Some(forming) = &mut self.forming else { return };
        let was_shut_out = forming.shut_out;
        match forming.formed(set) {
            Step::Form(set) => self.form_fleet(&set, out),
            _ if !was_shut_out => self.warn(
                "the electors have a fleet without this disk: it follows until it is given a seat".to_owned(),
                out,
            ),
            _ => {}
        }
    }

    fn on_propose(&mut self, from: &str, proposal: Proposal, out: &mut Vec<Action>) {
        if proposal.by == from && self.may_propose(&proposal) {
            return self.propose(proposal, Origin::Peer(from.to_owned()), out);
        }
        let verdict = Some(Verdict::Refused(self.fleet.number, Refusal::Forbidden));
        let frame = Frame::Settled { id: proposal.id, verdict };
        out.push(Action::Send { to: from.to_owned(), frame });
    }

    fn on_ask(&mut self, from: &str, elector: bool, question: Question, out: &mut Vec<Action>) {
        let Question { seq, fleet, have, digest, seat, age, life } = question;
        if self.askers.len() < bounds::ROLL || self.askers.contains_key(from) {
            self.askers.insert(from.to_owned(), Asker { life, have, digest, age, at: self.now });
        }
        match seat {
            Some(id) if elector => self.unseated.insert(from.to_owned(), id),
            _ => self.unseated.remove(from),
        };
        if self.fleet.fleet == 0 {
            return;
        }
        if fleet != 0 && fleet != self.fleet.fleet {
            return self.warn(format!("{from} belongs to another fleet, {fleet:x}"), out);
        }
        if self.questions.len() < bounds::ROLL {
            self.questions.insert(from.to_owned(), (seq, have, digest));
        }
        self.answer_questions(out);
    }

    fn on_ask_note(&mut self, from: &str, topic: String) {
        let good = self.raft.is_some() && topic.len() <= bounds::NAME;
        if good && self.note_questions.len() < bounds::PENDING {
            self.note_questions.push((from.to_owned(), topic, self.now));
        }
    }

    /// Whether an answer belongs to the open question, which it closes, and comes from this router's fleet.
    fn is_answer_in_time(&mut self, from: &str, seq: u64, fleet: u64, out: &mut Vec<Action>) -> bool {
        if seq != self.asking.seq || !self.asking.open {
            return false;
        }
        self.asking.open = false;
        let other_fleet = self.fleet.fleet != 0 && fleet != self.fleet.fleet;
        if other_fleet {
            self.warn(format!("{from} belongs to another fleet, {fleet:x}"), out);
        }
        !other_fleet
    }

    /// An elector's word that this number was the latest, so old by its clock.
    fn on_confirmation(&mut self, age: Micros, number: u64) {
        let asked = self.asking.asked.saturating_sub(self.fence.stretched(age));
        if self.fleet.number >= number {
            self.fence.confirm(Confirmation { number, asked });
        } else {
            // The rest of a long log: asked for at once.
            self.asking.next = self.now;
        }
    }
}
