//! One router's part: an elector's or a follower's. Events in, actions out; actions are carried out in order, and a
//! write is durable before any that follows it.

use std::collections::{BTreeMap, VecDeque};

use raft::eraftpb as pb;
use raft::{RawNode, StateRole};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::decision::{Change, LEAST_LEASE, Proposal, ProposalId, Refusal, Seat, Verdict, bounds};
use crate::disk::{self, Disk, Log, Snapshot, Write};
use crate::fence::{Confirmation, Fence};
use crate::fleet::Fleet;
use crate::forming::{Forming, Step};
use crate::wire::{Frame, RaftMessage};
use crate::{Micros, digest};

/// A tick is this part of the stated time; so many of them between a leader's heartbeats, and until others stand
/// for election.
const TICKS_IN_LEASE: Micros = 40;
const HEARTBEAT: usize = 2;
const ELECTION: usize = 8;
const LONGEST_ELECTION: usize = 15;
/// A follower asks anew after this part of the stated time, an elector confirms itself after that one.
const ASK_PART: Micros = 4;
const CONFIRM_PART: Micros = 8;
/// A proposal that is not settled is handed on again after so many ticks.
const AGAIN: Micros = 8;
/// What others told of themselves is handed on within so many ticks.
const HAND_ON: Micros = 2;
/// What routers tell of themselves is forgotten after so many stated times.
const TOLD: Micros = 4;
/// An elector whose word is fresh still compares outcomes with another one after so many stated times.
const COMPARE: Micros = 5;
/// Entries in an answer, and bytes of them.
const ANSWER_ENTRIES: usize = 512;
const ANSWER_BYTES: usize = 256 * 1024;
/// Bytes that the leader has out to an elector in one message, messages at a time, and bytes not settled at all.
const MESSAGE_BYTES: u64 = 64 * 1024;
const IN_FLIGHT: usize = 32;
const UNSETTLED_BYTES: u64 = 1 << 20;

/// Guards that the simulator can take out of its routers, to see that its checks find what they guard against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// Nobody acts on an older confirmation than the stated time.
    pub fence: bool,
    /// Only a quorum's word confirms.
    pub quorum: bool,
    /// A proposal is applied once.
    pub dedupe: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self { fence: true, quorum: true, dedupe: true }
    }
}

/// What a router is told at its start.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Its name, as in its certificate.
    pub name: String,
    /// Counts up with each of its starts.
    pub life: u64,
    /// The electors' names, by the operators' file.
    pub electors: Vec<String>,
    /// Names of those whose certificates may propose all.
    pub operators: Vec<String>,
    /// The stated time.
    pub lease: Micros,
    /// Steady clocks may run wrong by so many parts in a million.
    pub drift_ppm: u64,
    /// How long a proposal is tried before its maker is told that its outcome is not known.
    pub patience: Micros,
    /// For all that is drawn.
    pub seed: u64,
    /// All on, but in the simulator.
    pub guards: Guards,
}

/// What happens to a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// It is time; see [`Node::due`].
    Tick,
    /// A frame of the peer with this name in its certificate.
    Heard {
        /// Who.
        from: String,
        /// What.
        frame: Frame,
    },
    /// Somebody at this router wants a change; its outcome comes as an [`Action::Answer`] with this token.
    Propose {
        /// The asker's.
        token: u64,
        /// What.
        proposal: Proposal,
    },
}

/// What the host does, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make this durable, then go on.
    Write(Write),
    /// Send to the peer of this name; it may get lost.
    Send {
        /// To whom.
        to: String,
        /// What.
        frame: Frame,
    },
    /// A number was applied.
    Applied(Applied),
    /// What became of a proposal made here; none: it is not known.
    Answer {
        /// The asker's.
        token: u64,
        /// What.
        reply: Reply,
    },
    /// Staff should know.
    Shout(String),
}

/// The outcome of a proposal, as far as it is known.
pub type Reply = Option<Verdict>;

/// A number applied here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Which.
    pub number: u64,
    /// The digest of all outcomes up to it.
    pub digest: u64,
    /// What became of whose proposal; none for a leader's first entry, a repetition, or a snapshot.
    pub outcome: Option<(ProposalId, Verdict)>,
    /// Whether it stands for all up to it, by a snapshot.
    pub whole: bool,
}

/// What a router is in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It follows.
    Follower,
    /// It is named as an elector and the fleet has not formed.
    Forming,
    /// It hears all and votes not yet.
    Learner,
    /// It votes.
    Elector,
    /// It leads.
    Leader,
}

/// How the fleet stands, as one router sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Its life.
    pub life: u64,
    /// The fleet; 0: none.
    pub fleet: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<String>,
    /// Raft's term; 0: no elector.
    pub term: u64,
    /// The latest number applied, and the digest of all outcomes up to it.
    pub number: u64,
    /// See `number`.
    pub digest: u64,
    /// How old its confirmation is.
    pub age: Option<Micros>,
    /// The stated time.
    pub lease: Micros,
    /// It acts on nothing agreed any more, as its outcomes are not the others'.
    pub stopped: bool,
    /// Electors: disk, name, whether they vote.
    pub electors: Vec<(u64, String, bool)>,
    /// The roll: name, life, whether it has left.
    pub roll: Vec<(String, u64, bool)>,
    /// Topics and the decisions that set them.
    pub notes: Vec<(String, u64)>,
    /// Who has asked here lately: name, life, number, digest, age of its confirmation, time since.
    pub heard: Vec<(String, u64, u64, u64, Option<Micros>, Micros)>,
    /// Disks that are named as electors, wait and have no seat.
    pub waiting: Vec<(String, u64)>,
}

/// Who waits for a proposal's outcome.
#[derive(Clone, Debug, PartialEq)]
enum Origin {
    Here(u64),
    Peer(String),
    /// Nobody: the leader's own.
    Own,
}

#[derive(Debug)]
struct Pending {
    proposal: Proposal,
    origins: Vec<Origin>,
    until: Micros,
    again: Micros,
    /// Handed to the log in this term.
    in_term: u64,
}

#[derive(Debug)]
struct Heard {
    life: u64,
    have: u64,
    digest: u64,
    age: Option<Micros>,
    at: Micros,
}

/// Proposals' bytes by number.
type Numbered = Vec<(u64, Vec<u8>)>;

/// A follower's question to an elector.
#[derive(Debug, Default)]
struct Asking {
    target: usize,
    seq: u64,
    asked: Micros,
    /// The digest told with the question; it may have learnt more since.
    digest: u64,
    open: bool,
    next: Micros,
}

/// See the module's text.
pub struct Node {
    terms: Terms,
    tick: Micros,
    now: Micros,
    next_tick: Micros,
    rng: Pcg64Mcg,
    fence: Fence,
    fleet: Fleet,
    /// The disk of a router that is named as an elector, while Raft does not hold it.
    disk: Option<Disk>,
    id: u64,
    boots: u64,
    forming: Option<Forming>,
    raft: Option<RawNode<Log>>,
    conf: pb::ConfState,
    /// The electors have changed since the last snapshot.
    keep_due: bool,
    founders: Vec<(String, u64)>,
    /// The round of confirmation that is out, and when it was asked.
    round: Option<(u64, Micros)>,
    rounds: u64,
    /// Confirmed and not applied yet: number, when it was asked.
    unmet: Option<(u64, Micros)>,
    asking: Asking,
    questions: BTreeMap<String, (u64, u64, u64)>,
    /// Who asks for a topic's text, and since when: answered as of then or later.
    note_questions: Vec<(String, String, Micros)>,
    pending: BTreeMap<ProposalId, Pending>,
    digests: VecDeque<(u64, u64)>,
    heard: BTreeMap<String, Heard>,
    /// What this router tells of itself, and what others have told, by name.
    report: Vec<u8>,
    reports: BTreeMap<String, (Micros, Vec<u8>)>,
    waiting: BTreeMap<String, u64>,
    /// As it leads: when it knew last that an elector is heard. Raft forgets that at each of its own checks, a
    /// heartbeat's way before it knows again.
    active: BTreeMap<u64, Micros>,
    /// Leaders seen, for who counts changes.
    lead: u64,
    shouted: BTreeMap<String, Micros>,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} at {} of fleet {:x}", self.terms.name, self.fleet.number, self.fleet.fleet)
    }
}

impl Node {
    /// A router that starts now; `disk` where it is named as an elector, as it was read after its start was counted.
    pub fn new(terms: Terms, disk: Option<Disk>, now: Micros) -> Self {
        debug_assert!(terms.lease >= LEAST_LEASE);
        let tick = terms.lease / TICKS_IN_LEASE;
        let fence = Fence::new(terms.lease, terms.drift_ppm, terms.guards.fence);
        let mut rng = Pcg64Mcg::seed_from_u64(terms.seed);
        let ask = rng.random_range(0..=terms.lease / ASK_PART);
        let mut node = Self {
            tick,
            now,
            next_tick: now + tick,
            asking: Asking {
                target: rng.random_range(0..terms.electors.len().max(1)),
                next: now + ask,
                // Not from 1 on: an answer to an earlier life's question must not pass for one to this life's.
                seq: rng.random::<u64>() >> 1,
                ..Asking::default()
            },
            rng,
            fence,
            fleet: Fleet::default(),
            id: 0,
            boots: 0,
            forming: None,
            raft: None,
            conf: pb::ConfState::default(),
            keep_due: false,
            founders: Vec::new(),
            round: None,
            rounds: 0,
            unmet: None,
            questions: BTreeMap::new(),
            note_questions: Vec::new(),
            pending: BTreeMap::new(),
            digests: VecDeque::new(),
            heard: BTreeMap::new(),
            report: Vec::new(),
            reports: BTreeMap::new(),
            waiting: BTreeMap::new(),
            active: BTreeMap::new(),
            lead: 0,
            shouted: BTreeMap::new(),
            disk: None,
            terms,
        };
        if let Some(disk) = disk {
            (node.id, node.boots) = (disk.id, disk.boots);
            node.founders = disk.promise.clone().unwrap_or_default();
            if disk.snapshot.index > 0 {
                node.take_seat(disk);
            } else {
                let (name, named) = (&node.terms.name, &node.terms.electors);
                node.forming = Some(Forming::new(name, disk.id, named, disk.promise.clone()));
                node.disk = Some(disk);
            }
        }
        node
    }

    /// The guard that whoever acts asks.
    pub fn fence(&self) -> &Fence {
        &self.fence
    }

    /// What the decisions come to.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// When it wants its next tick.
    pub fn due(&self) -> Micros {
        match self.raft.is_some() || self.forming.is_some() {
            true => self.next_tick.min(self.asking.next),
            false => self.asking.next,
        }
    }

    /// What it is.
    pub fn role(&self) -> Role {
        match &self.raft {
            Some(raft) if raft.raft.state == StateRole::Leader => Role::Leader,
            Some(_) if self.fleet.electors.get(&self.id).is_some_and(|e| e.votes) => Role::Elector,
            Some(_) => Role::Learner,
            None if self.forming.as_ref().is_some_and(|f| !f.shut_out) => Role::Forming,
            None => Role::Follower,
        }
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<String> {
        let leader = self.raft.as_ref()?.raft.leader_id;
        self.fleet.electors.get(&leader).map(|e| e.name.clone())
    }

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

    /// Who votes, and whether this leader has heard of them lately; none are heard by who does not lead.
    pub fn electors_heard(&self) -> BTreeMap<String, bool> {
        let leads = self.role() == Role::Leader;
        self.fleet.voters().map(|(id, name)| (name.to_owned(), leads && self.is_active(id))).collect()
    }

    /// Whether an elector has been heard within two of Raft's checks.
    fn is_active(&self, id: u64) -> bool {
        let within = 2 * ELECTION as Micros * self.tick;
        id == self.id || self.active.get(&id).is_some_and(|at| self.now < at + within)
    }

    fn note_active(&mut self) {
        let Some(raft) = self.raft.as_ref().filter(|r| r.raft.state == StateRole::Leader) else {
            return self.active.clear();
        };
        let heard = raft.raft.prs().iter().filter(|(_, p)| p.recent_active).map(|(id, _)| (*id, self.now));
        let heard: Vec<(u64, Micros)> = heard.collect();
        self.active.extend(heard);
    }

    /// How old the latest word of the router of this name is; none: it has told nothing, or long ago.
    pub fn told_since(&self, name: &str) -> Option<Micros> {
        if name == self.terms.name {
            return Some(0);
        }
        self.reports.get(name).map(|(at, _)| self.now.saturating_sub(*at))
    }

    /// How the fleet stands.
    pub fn status(&self) -> Status {
        let roll = self.fleet.roll.iter().map(|(name, m)| (name.clone(), m.life, m.left));
        let heard = self
            .heard
            .iter()
            .map(|(name, h)| (name.clone(), h.life, h.have, h.digest, h.age, self.now.saturating_sub(h.at)));
        Status {
            name: self.terms.name.clone(),
            role: self.role(),
            life: self.terms.life,
            fleet: self.fleet.fleet,
            leader: self.leader(),
            term: self.raft.as_ref().map_or(0, |r| r.raft.term),
            number: self.fleet.number,
            digest: self.fleet.digest,
            age: self.fence.age(self.now),
            lease: self.terms.lease,
            stopped: self.fence.is_stopped(),
            electors: self.fleet.electors.iter().map(|(id, e)| (*id, e.name.clone(), e.votes)).collect(),
            roll: roll.collect(),
            notes: self.fleet.notes.iter().map(|(topic, n)| (topic.clone(), n.number)).collect(),
            heard: heard.collect(),
            waiting: self
                .waiting
                .iter()
                .filter(|(_, id)| !self.fleet.electors.contains_key(id))
                .map(|(name, id)| (name.clone(), *id))
                .collect(),
        }
    }

    /// An event at a time of the router's own steady clock.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::Heard { from, frame } => self.frame(&from, frame, out),
            // Made here, so by this router; other electors take it for nobody else's.
            Event::Propose { proposal, .. } if proposal.by != self.terms.name => debug_assert!(false),
            Event::Propose { token, proposal } => self.propose(proposal, Origin::Here(token), out),
        }
        self.time(out);
        self.drain(out);
    }

    fn time(&mut self, out: &mut Vec<Action>) {
        if self.now >= self.next_tick {
            // After a stall one tick is due, not all that were missed: nobody else's time has stood still for it.
            self.next_tick = self.now + self.tick;
            if let Some(forming) = &self.forming
                && !forming.shut_out
            {
                let frame = Frame::Forming { id: self.id, promise: forming.promise().cloned() };
                self.to_electors(frame, out);
                self.form(out);
            }
            if self.raft.is_some() {
                let draw = self.rng.random_range(ELECTION..LONGEST_ELECTION);
                if let Some(raft) = &mut self.raft {
                    // Raft draws from the thread's generator; here all comes from the seed.
                    if raft.raft.election_elapsed == 0 {
                        raft.raft.set_randomized_election_timeout(draw);
                    }
                    raft.tick();
                }
                self.drain(out);
                self.note_active();
                self.confirm(out);
                self.promote(out);
            }
            self.retry(out);
        }
        if self.now >= self.asking.next {
            self.ask(out);
        }
    }

    fn to_electors(&self, frame: Frame, out: &mut Vec<Action>) {
        for to in self.terms.electors.iter().filter(|name| **name != self.terms.name) {
            out.push(Action::Send { to: to.clone(), frame: frame.clone() });
        }
    }

    /// Says a thing to staff, but not over and over.
    fn shout(&mut self, what: String, out: &mut Vec<Action>) {
        let again = self.shouted.get(&what).is_none_or(|at| self.now >= at + 10 * self.terms.lease);
        if again {
            if self.shouted.len() > 64 {
                self.shouted.clear();
            }
            self.shouted.insert(what.clone(), self.now);
            out.push(Action::Shout(what));
        }
    }

    // ---- Forming.

    fn form(&mut self, out: &mut Vec<Action>) {
        let Some(forming) = &mut self.forming else { return };
        match forming.step() {
            Step::Wait => {}
            Step::Promise(set) => {
                forming.promised(set.clone());
                self.founders = set.clone();
                let write = Write { promise: Some(set), ..Write::default() };
                if let Some(disk) = &mut self.disk {
                    disk.apply(&write);
                }
                out.push(Action::Write(write));
                if let Step::Form(set) = forming.step() {
                    self.found(&set, out);
                }
            }
            Step::Form(set) => self.found(&set, out),
        }
    }

    /// The fleet lives: all disks of the set have promised it.
    fn found(&mut self, set: &[(String, u64)], out: &mut Vec<Action>) {
        let Some(mut disk) = self.disk.take() else { return };
        let fleet = Fleet::formed(set);
        let voters: Vec<u64> = fleet.voters().map(|(id, _)| id).collect();
        let snapshot = Snapshot { index: 1, term: 1, voters, learners: vec![], data: fleet.spell() };
        let hard = disk::HardState { term: 1, vote: 0, commit: 1 };
        let write = Write { hard: Some(hard), snapshot: Some(snapshot), ..Write::default() };
        disk.apply(&write);
        out.push(Action::Write(write));
        self.forming = None;
        self.take_seat(disk);
        self.applied(None, true, out);
    }

    /// Raft begins on a disk.
    fn take_seat(&mut self, disk: Disk) {
        if let Some(fleet) = Fleet::read(&disk.snapshot.data)
            && fleet.number > self.fleet.number
        {
            self.fleet = fleet;
            self.fence.applied(self.fleet.number, self.fleet.digest);
        }
        self.conf = disk::snapshot_to_raft(&disk.snapshot).take_metadata().take_conf_state();
        let config = raft::Config {
            id: self.id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            min_election_tick: ELECTION,
            max_election_tick: LONGEST_ELECTION,
            applied: disk.snapshot.index,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: IN_FLIGHT,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: UNSETTLED_BYTES,
            max_committed_size_per_ready: UNSETTLED_BYTES,
            ..raft::Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        match RawNode::new(&config, Log { disk }, &quiet) {
            Ok(mut raft) => {
                raft.raft.set_randomized_election_timeout(self.rng.random_range(ELECTION..LONGEST_ELECTION));
                self.raft = Some(raft);
            }
            Err(e) => debug_assert!(false, "{e}"),
        }
    }

    /// The fleet has taken this disk's seat: it follows from now on.
    fn leave_seat(&mut self, out: &mut Vec<Action>) {
        if self.raft.take().is_some() {
            (self.round, self.unmet) = (None, None);
            self.asking.next = self.now;
            self.shout("this router is no elector any more; it follows".to_owned(), out);
        }
    }

    // ---- Frames.

    fn frame(&mut self, from: &str, frame: Frame, out: &mut Vec<Action>) {
        let elector = self.terms.electors.iter().any(|name| name == from)
            || self.fleet.electors.values().any(|e| e.name == from);
        match frame {
            Frame::Forming { id, promise } if elector => {
                if self.fleet.fleet != 0 {
                    self.waiting.insert(from.to_owned(), id);
                    let to = from.to_owned();
                    out.push(Action::Send { to, frame: Frame::Formed { set: self.founders.clone() } });
                } else if let Some(forming) = &mut self.forming {
                    if forming.hear(from, id, promise) {
                        let what =
                            format!("{from} has another disk than was promised; no fleet can form with it");
                        self.shout(what, out);
                    }
                    self.form(out);
                }
            }
            Frame::Formed { set } if elector => {
                if let Some(forming) = &mut self.forming {
                    let was = forming.shut_out;
                    match forming.formed(&set) {
                        Step::Form(set) => self.found(&set, out),
                        _ if !was => self.shout(
                            "the electors have a fleet without this disk: it follows until it is given a seat"
                                .to_owned(),
                            out,
                        ),
                        _ => {}
                    }
                }
            }
            Frame::Raft(message) if elector => self.raft_message(from, &message, out),
            Frame::Propose(proposal) => {
                let id = proposal.id;
                match proposal.by == from && self.allowed(&proposal) {
                    true => self.propose(proposal, Origin::Peer(from.to_owned()), out),
                    false => {
                        let verdict = Some(Verdict::Refused(self.fleet.number, Refusal::Forbidden));
                        out.push(Action::Send { to: from.to_owned(), frame: Frame::Settled { id, verdict } });
                    }
                }
            }
            Frame::Forward(proposal) if elector && self.raft.is_some() => {
                self.propose(proposal, Origin::Peer(from.to_owned()), out);
            }
            Frame::Settled { id, verdict: Some(verdict) } if elector => self.settle(id, &verdict, out),
            Frame::Ask { seq, fleet, have, digest, seat, age, life, reports } => {
                if self.heard.len() < bounds::ROLL || self.heard.contains_key(from) {
                    let heard = Heard { life, have, digest, age, at: self.now };
                    self.heard.insert(from.to_owned(), heard);
                }
                for (name, age, report) in reports {
                    // Of itself anybody, of others an elector; of who is on the roll.
                    let may = name == from || (elector && name != self.terms.name);
                    if may && report.len() <= bounds::REPORT && self.fleet.roll.contains_key(&name) {
                        let at = self.now.saturating_sub(age);
                        let before = self.reports.get(&name);
                        if before.is_none_or(|(before, _)| *before <= at) {
                            let news = before.is_none_or(|(_, before)| *before != report);
                            self.reports.insert(name, (at, report));
                            // An elector hands news on before its time; what comes meanwhile goes along.
                            if news && self.raft.is_some() {
                                self.asking.next = self.asking.next.min(self.now + HAND_ON * self.tick);
                            }
                        }
                    }
                }
                match seat {
                    Some(id) if elector => self.waiting.insert(from.to_owned(), id),
                    _ => self.waiting.remove(from),
                };
                if self.fleet.fleet == 0 {
                    return;
                }
                if fleet != 0 && fleet != self.fleet.fleet {
                    let what = format!("{from} belongs to another fleet, {fleet:x}");
                    return self.shout(what, out);
                }
                if self.questions.len() < bounds::ROLL {
                    self.questions.insert(from.to_owned(), (seq, have, digest));
                }
                self.answer(out);
            }
            Frame::Answer { seq, fleet, age, number, at_have, entries, snapshot } if elector => {
                if seq != self.asking.seq || !self.asking.open {
                    return;
                }
                self.asking.open = false;
                if self.fleet.fleet != 0 && fleet != self.fleet.fleet {
                    return self.shout(format!("{from} belongs to another fleet, {fleet:x}"), out);
                }
                if at_have.is_some_and(|digest| digest != self.asking.digest) {
                    self.differ(from, out);
                    return;
                }
                self.learn(entries, snapshot, out);
                let asked = self.asking.asked.saturating_sub(self.fence.stretched(age));
                if self.fleet.number >= number {
                    self.fence.confirm(Confirmation { number, asked });
                } else {
                    // The rest of a long log: asked for at once.
                    self.asking.next = self.now;
                }
            }
            Frame::AskNote { topic } => {
                let good = self.raft.is_some() && topic.len() <= bounds::NAME;
                if good && self.note_questions.len() < bounds::PENDING {
                    self.note_questions.push((from.to_owned(), topic, self.now));
                }
            }
            Frame::AskStatus => {
                let status = Box::new(self.status());
                out.push(Action::Send { to: from.to_owned(), frame: Frame::StatusIs(status) });
            }
            // From who is no elector, or to who is none: nothing of it counts.
            _ => {}
        }
    }

    /// Whether its maker may propose that.
    fn allowed(&self, proposal: &Proposal) -> bool {
        let operator = self.terms.operators.contains(&proposal.by);
        match &proposal.change {
            Change::Join { name, .. } | Change::Leave { name, .. } => *name == proposal.by || operator,
            _ => operator,
        }
    }

    fn differ(&mut self, from: &str, out: &mut Vec<Action>) {
        self.fence.stop();
        let what = format!(
            "outcomes differ: {:x} here, another at {from} for the same decisions; this router acts on nothing agreed \
             any more",
            self.asking.digest
        );
        self.shout(what, out);
    }

    // ---- Proposals.

    fn propose(&mut self, proposal: Proposal, origin: Origin, out: &mut Vec<Action>) {
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
        let until = self.now + self.terms.patience;
        let new = Pending { proposal, origins: vec![], until, again: self.now, in_term: 0 };
        let pending = self.pending.entry(id).or_insert(new);
        if !pending.origins.contains(&origin) && pending.origins.len() < 16 {
            pending.origins.push(origin);
            pending.until = until;
        }
        self.hand_on(id, out);
    }

    /// Brings a proposal to the leader.
    fn hand_on(&mut self, id: ProposalId, out: &mut Vec<Action>) {
        let again = self.now + AGAIN * self.tick;
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.again = again;
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
            Change::Seat(seat) => {
                // What has been settled in its own term only does the leader know whole.
                if !raft.raft.commit_to_current_term() {
                    return;
                }
                // All else is refused by the log, the same at every router.
                if !self.is_quorum_after(seat) {
                    let verdict = Verdict::Refused(self.fleet.number, Refusal::Quorum);
                    return self.settle(id, &verdict, out);
                }
                let mut change = pb::ConfChange::default();
                let (kind, node) = match seat {
                    Seat::Admit { id, .. } => (pb::ConfChangeType::AddLearnerNode, *id),
                    Seat::Promote { id } => (pb::ConfChangeType::AddNode, *id),
                    Seat::Dismiss { id } => (pb::ConfChangeType::RemoveNode, *id),
                };
                if matches!(seat, Seat::Dismiss { id } if *id == self.id) {
                    // Its own seat: another leads first, and the proposal comes again to that one.
                    self.hand_over();
                    return;
                }
                change.set_change_type(kind);
                change.node_id = node;
                // An earlier change that is not applied yet makes Raft drop this one: it is tried again.
                match &mut self.raft {
                    Some(raft) if !raft.raft.has_pending_conf() => raft.propose_conf_change(bytes, change),
                    _ => return,
                }
            }
            _ => raft.propose(vec![], bytes),
        };
        if let Some(pending) = self.pending.get_mut(&id)
            && handed.is_ok()
        {
            pending.in_term = term;
        }
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
    fn is_quorum_after(&self, seat: &Seat) -> bool {
        if self.raft.is_none() {
            return false;
        }
        let after: Vec<u64> = match seat {
            Seat::Admit { .. } => return true,
            Seat::Promote { id } => self.fleet.voters().map(|(v, _)| v).chain([*id]).collect(),
            Seat::Dismiss { id } => self.fleet.voters().map(|(v, _)| v).filter(|v| v != id).collect(),
        };
        after.is_empty() || after.iter().filter(|id| self.is_active(**id)).count() * 2 > after.len()
    }

    /// A learner that is level gets its vote.
    fn promote(&mut self, out: &mut Vec<Action>) {
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

    fn retry(&mut self, out: &mut Vec<Action>) {
        let late: Vec<ProposalId> =
            self.pending.iter().filter(|(_, p)| self.now >= p.until).map(|(id, _)| *id).collect();
        for id in late {
            let Some(pending) = self.pending.remove(&id) else { continue };
            for origin in &pending.origins {
                self.reply(id, origin, None, out);
            }
        }
        let due: Vec<ProposalId> =
            self.pending.iter().filter(|(_, p)| self.now >= p.again).map(|(id, _)| *id).collect();
        for id in due {
            self.hand_on(id, out);
        }
    }

    fn settle(&mut self, id: ProposalId, verdict: &Verdict, out: &mut Vec<Action>) {
        if let Some(pending) = self.pending.remove(&id) {
            for origin in &pending.origins {
                self.reply(id, origin, Some(verdict.clone()), out);
            }
        }
    }

    fn reply(&self, id: ProposalId, origin: &Origin, reply: Reply, out: &mut Vec<Action>) {
        match origin {
            Origin::Here(token) => out.push(Action::Answer { token: *token, reply }),
            Origin::Peer(to) => {
                out.push(Action::Send { to: to.clone(), frame: Frame::Settled { id, verdict: reply } })
            }
            Origin::Own => {}
        }
    }

    // ---- Confirmation.

    /// An elector's own: a quorum's word, asked for now.
    fn confirm(&mut self, out: &mut Vec<Action>) {
        let age = self.fence.age(self.now);
        let wanted = age.is_none_or(|age| age >= self.terms.lease / CONFIRM_PART)
            || !self.questions.is_empty()
            || !self.note_questions.is_empty();
        let lost = self.round.is_none_or(|(_, asked)| self.now >= asked + self.terms.lease / ASK_PART);
        let Some(raft) = &mut self.raft else { return };
        if !self.terms.guards.quorum {
            let number = self.fleet.number;
            self.fence.confirm(Confirmation { number, asked: self.now });
            return self.answer(out);
        }
        if wanted && lost && raft.raft.leader_id != 0 {
            self.rounds += 1;
            self.round = Some((self.rounds, self.now));
            let context = [self.id, self.boots, self.rounds].map(u64::to_le_bytes).concat();
            raft.read_index(context);
            self.drain(out);
        }
    }

    fn confirmed(&mut self, index: u64, context: &[u8], out: &mut Vec<Action>) {
        let Some((round, asked)) = self.round else { return };
        if context != [self.id, self.boots, round].map(u64::to_le_bytes).concat() {
            return;
        }
        self.round = None;
        self.unmet = Some((index, asked));
        self.meet(out);
    }

    /// A confirmed number counts once it is applied.
    fn meet(&mut self, out: &mut Vec<Action>) {
        if let Some((number, asked)) = self.unmet.filter(|(number, _)| self.fleet.number >= *number) {
            self.unmet = None;
            self.fence.confirm(Confirmation { number, asked });
            self.answer(out);
        }
    }

    /// Answers what is asked here, once this router's own word is fresh.
    fn answer(&mut self, out: &mut Vec<Action>) {
        let fresh = self.fence.age(self.now).filter(|age| *age < self.terms.lease / ASK_PART);
        let (Some(age), Some(latest)) = (fresh, self.fence.latest()) else { return };
        if self.fence.is_stopped() || self.fleet.fleet == 0 {
            return;
        }
        // Staff pull plugs by these words: not as of some time ago, but as of their asking.
        for (to, topic, since) in std::mem::take(&mut self.note_questions) {
            if latest.asked < since {
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
        for (to, (seq, have, digest)) in std::mem::take(&mut self.questions) {
            let known =
                self.digests.iter().rev().find(|(number, _)| *number == have).map(|(_, digest)| *digest);
            if known.is_some_and(|known| known != digest) {
                self.shout(format!("outcomes differ at {have}: {digest:x} at {to}, another here"), out);
            }
            let (entries, snapshot) = self.since(have);
            let frame = Frame::Answer {
                seq,
                fleet: self.fleet.fleet,
                age,
                number: latest.number,
                at_have: known,
                entries,
                snapshot,
            };
            out.push(Action::Send { to, frame });
        }
    }

    /// What follows a number: by log, or whole.
    fn since(&self, have: u64) -> (Numbered, Option<Vec<u8>>) {
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

    /// Asks an elector, as a follower does; an elector where its own word grows old, and now and then to compare.
    fn ask(&mut self, out: &mut Vec<Action>) {
        let every = self.terms.lease / ASK_PART;
        let jitter = self.rng.random_range(0..=every / 4);
        self.asking.next = self.now + every - jitter;
        let seated = self.raft.is_some();
        let fresh = self.now.saturating_sub(TOLD * self.terms.lease);
        self.reports.retain(|_, (at, _)| *at >= fresh);
        let tells = !self.report.is_empty() || !self.reports.is_empty();
        let leader = self.leader().filter(|leader| seated && tells && *leader != self.terms.name);
        if seated
            && leader.is_none()
            && self.fence.age(self.now).is_some_and(|age| age < self.terms.lease / 2)
        {
            let compare = COMPARE * self.terms.lease;
            if self.now < self.asking.asked + compare {
                return;
            }
        }
        let electors = self.terms.electors.len();
        if self.asking.open || seated {
            self.asking.target = (self.asking.target + 1) % electors.max(1);
        }
        let lead = self.terms.electors.iter().position(|name| Some(name) == leader.as_ref());
        self.asking.target = lead.unwrap_or(self.asking.target);
        for _ in 0..electors {
            if self.terms.electors[self.asking.target] != self.terms.name {
                break;
            }
            self.asking.target = (self.asking.target + 1) % electors;
        }
        let Some(to) = self.terms.electors.get(self.asking.target).filter(|to| **to != self.terms.name)
        else {
            return;
        };
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
            reports: self.told(seated),
        };
        out.push(Action::Send { to: to.clone(), frame });
    }

    /// What goes along with a question: its own telling, and from an elector what it was told.
    fn told(&self, seated: bool) -> Vec<(String, Micros, Vec<u8>)> {
        let own = (!self.report.is_empty()).then_some((&self.terms.name, 0, &self.report));
        // One that is named and has no seat may be asked as well: it hands on what it was told.
        let named = seated || self.terms.electors.contains(&self.terms.name);
        let others = self.reports.iter().filter(|_| named);
        let others = others.map(|(name, (at, report))| (name, self.now.saturating_sub(*at), report));
        let mut size = 0;
        let fits = |(name, _, report): &(&String, Micros, &Vec<u8>)| {
            size += name.len() + report.len() + 16;
            size <= bounds::REPORTS
        };
        let all = own.into_iter().chain(others).take_while(fits);
        all.map(|(name, age, report)| (name.clone(), age, report.clone())).collect()
    }

    fn learn(&mut self, entries: Numbered, snapshot: Option<Vec<u8>>, out: &mut Vec<Action>) {
        if let Some(fleet) = snapshot.and_then(|bytes| Fleet::read(&bytes))
            && fleet.number > self.fleet.number
        {
            self.fleet = fleet;
            self.applied(None, true, out);
        }
        for (number, data) in entries {
            if number == self.fleet.number + 1 {
                self.apply(&data, out);
            }
        }
        self.seats(out);
    }

    /// Takes a seat that the fleet has given this disk, or leaves one that it has taken.
    fn seats(&mut self, out: &mut Vec<Action>) {
        let mine = self.fleet.electors.contains_key(&self.id);
        if mine && self.fleet.fleet != 0 && self.raft.is_none() {
            if let Some(disk) = self.disk.take() {
                self.forming = None;
                self.take_seat(disk);
                self.next_tick = self.now + self.tick;
            }
        } else if !mine && self.fleet.fleet != 0 {
            self.leave_seat(out);
        }
    }

    // ---- Raft.

    fn raft_message(&mut self, from: &str, message: &RaftMessage, out: &mut Vec<Action>) {
        let known = self.fleet.electors.get(&message.from);
        if known.is_some_and(|e| e.name != from) || message.to != self.id {
            return;
        }
        let Some(raft) = &mut self.raft else { return };
        let Some(message) = message.to_raft(raft.raft.raft_log.last_index()) else {
            return self.shout(format!("a message of {from} that no elector sends"), out);
        };
        // An error here is a message out of its time: dropped, as on a lossy network.
        let _ = raft.step(message);
    }

    fn send(&self, messages: &[pb::Message], out: &mut Vec<Action>) {
        for message in messages {
            let to = self.fleet.electors.get(&message.to).map(|e| e.name.clone());
            // A router that has its seat and not its log yet answers by who is waiting for it.
            if let Some((to, frame)) = to.zip(RaftMessage::of(message)) {
                out.push(Action::Send { to, frame: Frame::Raft(frame) });
            }
        }
    }

    fn drain(&mut self, out: &mut Vec<Action>) {
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
            self.send(&messages, out);
            let restored = write.snapshot.clone();
            if !write.is_empty() {
                out.push(Action::Write(write));
            }
            if let Some(snapshot) = restored {
                self.restore(&snapshot, out);
            }
            self.committed(&committed, out);
            self.send(&later, out);
            let Some(raft) = &mut self.raft else { return };
            let mut light = raft.advance_append(ready);
            if let Some(commit) = light.commit_index() {
                raft.mut_store().disk.hard.commit = commit;
            }
            let (messages, committed) = (light.take_messages(), light.take_committed_entries());
            self.send(&messages, out);
            self.committed(&committed, out);
            let Some(raft) = &mut self.raft else { return };
            raft.advance_apply();
            for read in reads {
                self.confirmed(read.index, &read.request_ctx, out);
            }
            self.lead_changed(out);
            self.compact(out);
        }
    }

    fn lead_changed(&mut self, out: &mut Vec<Action>) {
        let Some(raft) = &self.raft else { return };
        if raft.raft.leader_id != self.lead {
            self.lead = raft.raft.leader_id;
            // What was out to the leader before may be lost: asked for anew.
            self.round = None;
            let ids: Vec<ProposalId> = self.pending.keys().copied().collect();
            if self.lead != 0 {
                ids.into_iter().for_each(|id| self.hand_on(id, out));
            }
        }
    }

    fn restore(&mut self, snapshot: &Snapshot, out: &mut Vec<Action>) {
        self.conf = disk::snapshot_to_raft(snapshot).take_metadata().take_conf_state();
        match Fleet::read(&snapshot.data) {
            Some(fleet) if fleet.number > self.fleet.number => {
                self.fleet = fleet;
                self.applied(None, true, out);
            }
            Some(_) => {}
            None => self.shout("a snapshot that can't be read".to_owned(), out),
        }
    }

    fn committed(&mut self, entries: &[pb::Entry], out: &mut Vec<Action>) {
        for entry in entries {
            let seats = entry.get_entry_type() != pb::EntryType::EntryNormal;
            let data = if seats { &entry.context } else { &entry.data };
            if entry.index == self.fleet.number + 1 {
                self.apply(data, out);
            }
            if seats && self.made_at(data, entry.index) {
                self.reseat(entry, out);
            }
        }
    }

    /// Whether the entry of this number made its proposal, and neither refused nor repeated it.
    fn made_at(&self, data: &[u8], number: u64) -> bool {
        let proposal = postcard::from_bytes::<Proposal>(data).ok();
        proposal.is_some_and(|p| self.fleet.settled(p.id) == Some(&Verdict::Made(number)))
    }

    fn reseat(&mut self, entry: &pb::Entry, out: &mut Vec<Action>) {
        let mut change = pb::ConfChange::default();
        let read = protobuf::Message::merge_from_bytes(&mut change, &entry.data);
        let Some(raft) = self.raft.as_mut().filter(|_| read.is_ok()) else { return };
        if let Ok(conf) = raft.apply_conf_change(&change) {
            self.conf = conf;
        }
        // Who gets a seat starts from a snapshot that names it.
        self.keep_due = true;
        if change.node_id == self.id && change.get_change_type() == pb::ConfChangeType::RemoveNode {
            self.leave_seat(out);
        }
    }

    fn apply(&mut self, data: &[u8], out: &mut Vec<Action>) {
        let number = self.fleet.number + 1;
        let outcome = self.fleet.apply(number, data, self.terms.guards.dedupe);
        self.applied(outcome.clone(), false, out);
        if let Some((id, verdict)) = &outcome {
            self.settle(*id, verdict, out);
        } else if let Ok(proposal) = postcard::from_bytes::<Proposal>(data)
            && let Some(verdict) = self.fleet.settled(proposal.id).cloned()
        {
            self.settle(proposal.id, &verdict, out);
        }
    }

    fn applied(&mut self, outcome: Option<(ProposalId, Verdict)>, whole: bool, out: &mut Vec<Action>) {
        let (number, digest) = (self.fleet.number, self.fleet.digest);
        if self.reports.len() > self.fleet.roll.len() {
            self.reports.retain(|name, _| self.fleet.roll.contains_key(name));
        }
        self.fence.applied(number, digest);
        self.digests.push_back((number, digest));
        if self.digests.len() > bounds::REMEMBERED {
            self.digests.pop_front();
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
        self.meet(out);
    }

    /// Makes a snapshot as of the number applied and drops the log's beginning, when it has grown too long or the
    /// electors have changed.
    fn compact(&mut self, out: &mut Vec<Action>) {
        let Some(raft) = &self.raft else { return };
        let log = raft.store();
        let behind = self.fleet.number.saturating_sub(log.disk.snapshot.index);
        let applied = raft.raft.raft_log.applied;
        if (behind < bounds::LOG && !self.keep_due) || applied != self.fleet.number {
            return;
        }
        self.keep_due = false;
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
