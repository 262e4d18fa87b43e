//! Staff at work: changes of configuration as notes in the log, a change twice, as it is proposed and as it holds.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use silverspindle_agreement::{Change, Event, Frame, Micros, Proposal, ProposalId, Refusal, Role, Verdict};

use super::super::scenario::{Scenario, VERSION_EVERY, VERSIONS_AT_ONCE};
use super::super::{MS, SECOND};
use super::{Model, What};

/// The name in staff's certificate.
pub(super) const NAME: &str = "staff";
/// The first part of their proposals' ids.
const PROPOSER: u64 = 7;
/// A change goes through the log twice: together that is 56 KB.
const WHOLE_TEXT: usize = 28 * 1024;
/// A small change, each of the two.
const SMALL_TEXT: usize = 512;
/// A probe, where the scenario is about something else.
const PROBE_TEXT: usize = 16;
const PROBE_EVERY: Micros = 2 * SECOND;
/// Changes at once go to so many topics, those of one topic after each other.
const TOPICS: usize = 10;
/// Staff look again so often for what has not been answered; a proposal that is not is sent again after that.
const LOOK_EVERY: Micros = 100 * MS;
const AGAIN: Micros = 2 * SECOND;

/// How the versions are played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Variant {
    /// Whole texts, one each 28 s.
    Whole,
    /// Small texts, one each 28 s.
    Small,
    /// Whole texts, 20 at once.
    WholeBurst,
    /// Small texts, 20 at once.
    SmallBurst,
}

impl Variant {
    pub(super) const ALL: [Variant; 4] =
        [Variant::Whole, Variant::Small, Variant::WholeBurst, Variant::SmallBurst];

    pub(super) fn name(self) -> &'static str {
        match self {
            Variant::Whole => "56 KB each 28 s",
            Variant::Small => "1 KB each 28 s",
            Variant::WholeBurst => "20 of 56 KB at once",
            Variant::SmallBurst => "20 of 1 KB at once",
        }
    }

    fn text(self) -> usize {
        match self {
            Variant::Whole | Variant::WholeBurst => WHOLE_TEXT,
            Variant::Small | Variant::SmallBurst => SMALL_TEXT,
        }
    }

    fn at_once(self) -> usize {
        match self {
            Variant::Whole | Variant::Small => 1,
            Variant::WholeBurst | Variant::SmallBurst => VERSIONS_AT_ONCE,
        }
    }
}

/// A change that staff want.
#[derive(Clone, Debug)]
struct Wanted {
    topic: usize,
    text: usize,
    came: Micros,
    /// Of its two texts, how many are made.
    made: u32,
    /// The latest one's number.
    number: u64,
    /// The proposal that is out, and when it was sent.
    out: Option<(u64, Micros)>,
}

/// See the module's text.
#[derive(Debug, Default)]
pub(super) struct Staff {
    waiting: VecDeque<Wanted>,
    proposals: u64,
    began: bool,
    /// When the next change comes.
    next: Micros,
    /// Changes that are made, by the number of the second text, and when staff wanted them.
    pub made: Vec<(u64, Micros)>,
}

impl Staff {
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl Model {
    fn wanted_next(&mut self) {
        let (text, at_once, every) = match self.variant {
            Some(variant) => (variant.text(), variant.at_once(), VERSION_EVERY),
            None => (PROBE_TEXT, 1, PROBE_EVERY),
        };
        let once = at_once > 1 && self.staff.began;
        if self.now < self.staff.next || self.now >= self.measure_to || once {
            return;
        }
        (self.staff.began, self.staff.next) = (true, self.now + every);
        for n in 0..at_once {
            let wanted = Wanted { topic: n % TOPICS, text, came: self.now, made: 0, number: 0, out: None };
            self.staff.waiting.push_back(wanted);
        }
    }

    /// Whether the second text may follow: all that live have applied the first, as whoever leads waits for.
    fn all_have(&self, number: u64) -> bool {
        let mut live = self.routers.iter().filter_map(|router| router.node.as_ref());
        live.all(|node| node.fleet().number >= number)
    }

    pub(super) fn work(&mut self) {
        self.queue.push(self.now + LOOK_EVERY, What::Staff);
        self.wanted_next();
        let mut busy = [false; TOPICS];
        for n in 0..self.staff.waiting.len() {
            let wanted = self.staff.waiting[n].clone();
            let turn = !std::mem::replace(&mut busy[wanted.topic], true);
            let late = wanted.out.is_none_or(|(_, sent)| self.now >= sent + AGAIN);
            if turn && late && (wanted.made == 0 || self.all_have(wanted.number)) {
                self.propose(n, &wanted);
            }
        }
    }

    /// Through an elector that has the latest of what is decided: the leader.
    fn propose(&mut self, n: usize, wanted: &Wanted) {
        let leads = |node: &silverspindle_agreement::Node| node.role() == Role::Leader;
        let leader =
            self.routers.iter().take(super::ELECTORS).position(|r| r.node.as_ref().is_some_and(leads));
        let Some(leader) = leader else { return };
        let builds_on = self.routers[leader].node.as_ref().map_or(0, |node| node.fleet().number);
        // One that is sent again is the same proposal.
        let number = match wanted.out {
            Some((number, _)) => number,
            None => {
                self.staff.proposals += 1;
                self.staff.proposals
            }
        };
        self.staff.waiting[n].out = Some((number, self.now));
        // Random bytes: nothing on the way makes them smaller; the same ones where it is sent again.
        let mut body = vec![0; wanted.text];
        Pcg64Mcg::seed_from_u64(number).fill(body.as_mut_slice());
        let change = Change::Note { topic: format!("t{}", wanted.topic), body };
        let by = NAME.to_owned();
        let frame = Frame::Propose(Proposal { id: ProposalId(PROPOSER, number), builds_on, by, change });
        self.handle(leader, Event::Heard { from: NAME.to_owned(), frame });
    }

    /// What became of a proposal.
    pub(super) fn staff_hear(&mut self, frame: Frame) {
        let Frame::Settled { id, verdict } = frame else { return };
        let is_out = |wanted: &Wanted| wanted.out.is_some_and(|(number, _)| number == id.1);
        let Some(n) = self.staff.waiting.iter().position(is_out) else { return };
        let wanted = &mut self.staff.waiting[n];
        match verdict {
            Some(Verdict::Made(number)) => {
                wanted.out = None;
                wanted.number = number;
                wanted.made += 1;
                if wanted.made == 2 || self.run.scenario != Scenario::Versions {
                    let came = wanted.came;
                    self.staff.waiting.remove(n);
                    self.staff.made.push((number, came));
                }
            }
            Some(Verdict::Refused(_, Refusal::Overtaken(_) | Refusal::TooOld(_))) => wanted.out = None,
            Some(Verdict::Refused(..)) => drop(self.staff.waiting.remove(n)),
            None => {}
        }
    }
}
