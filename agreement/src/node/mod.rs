//! One router's part: an elector's or a follower's. Events in, actions out; actions are carried out in order, and a
//! write is durable before any that follows it.

mod confirmation;
mod electors;
mod following;
mod frames;
mod log;
mod proposals;
mod reports;
mod seat;

use std::collections::{BTreeMap, VecDeque};

use raft::eraftpb as pb;
use raft::{RawNode, StateRole};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Micros;
use crate::decision::{LEAST_LEASE, ProposalId};
use crate::disk::{Disk, Log};
use crate::fence::Fence;
use crate::fleet::Fleet;
use crate::forming::Forming;
use crate::interface::{Action, Event, Terms};
use crate::status::{Role, Status};
use crate::wire::Frame;
use following::Asking;
use proposals::{Origin, Pending};

/// Ticks in a lease, between a leader's heartbeats, and until others stand for election.
const TICKS_IN_LEASE: Micros = 40;
const HEARTBEAT_TICKS: usize = 2;
const ELECTION_TICKS: usize = 8;
const LONGEST_ELECTION_TICKS: usize = 15;
/// A follower asks anew after this part of the lease.
const ASKS_IN_LEASE: Micros = 4;
/// Leases after which a warning is repeated, and warnings that are remembered for that.
const WARN_AGAIN_LEASES: Micros = 10;
const MOST_WARNINGS: usize = 64;

/// Who asked this elector lately.
#[derive(Debug)]
struct Asker {
    life: u64,
    have: u64,
    digest: u64,
    age: Option<Micros>,
    at: Micros,
}

/// Proposals' bytes by number.
type NumberedEntries = Vec<(u64, Vec<u8>)>;

/// See the module's text.
pub struct Node {
    terms: Terms,
    /// Between two ticks.
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
    snapshot_due: bool,
    founders: Vec<(String, u64)>,
    /// The round of confirmation that is out, and when it was asked.
    round: Option<(u64, Micros)>,
    rounds: u64,
    /// Confirmed and not applied yet: number, when it was asked.
    unapplied: Option<(u64, Micros)>,
    asking: Asking,
    /// Questions not answered yet, by asker: their number, the asker's number and digest.
    questions: BTreeMap<String, (u64, u64, u64)>,
    /// Who asks for a topic's text, and since when: answered as of then or later.
    note_questions: Vec<(String, String, Micros)>,
    pending: BTreeMap<ProposalId, Pending>,
    /// Numbers applied lately, with their digests.
    recent_digests: VecDeque<(u64, u64)>,
    /// Routers that asked here, by name.
    askers: BTreeMap<String, Asker>,
    /// What this router tells of itself, and what others have told, by name.
    report: Vec<u8>,
    reports: BTreeMap<String, (Micros, Vec<u8>)>,
    /// The first of those that did not fit into the last question.
    reports_from: Option<String>,
    /// Disks of named electors without a seat, by name.
    unseated: BTreeMap<String, u64>,
    /// As it leads: when it knew last that an elector is heard. Raft forgets that at each of its own checks, a
    /// heartbeat's way before it knows again.
    voters_heard: BTreeMap<u64, Micros>,
    /// The leader at the last look: at a change proposals are forwarded anew.
    known_leader: u64,
    /// Warnings, and when each was last given.
    warned: BTreeMap<String, Micros>,
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
        let ask = rng.random_range(0..=terms.lease / ASKS_IN_LEASE);
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
            snapshot_due: false,
            founders: Vec::new(),
            round: None,
            rounds: 0,
            unapplied: None,
            questions: BTreeMap::new(),
            note_questions: Vec::new(),
            pending: BTreeMap::new(),
            recent_digests: VecDeque::new(),
            askers: BTreeMap::new(),
            report: Vec::new(),
            reports: BTreeMap::new(),
            reports_from: None,
            unseated: BTreeMap::new(),
            voters_heard: BTreeMap::new(),
            known_leader: 0,
            warned: BTreeMap::new(),
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

    /// How the fleet stands.
    pub fn status(&self) -> Status {
        let roll = self.fleet.roll.iter().map(|(name, m)| (name.clone(), m.life, m.left));
        let heard = self
            .askers
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
                .unseated
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
            Event::Heard { from, frame } => self.receive(&from, frame, out),
            // Made here, so by this router; other electors take it for nobody else's.
            Event::Propose { proposal, .. } if proposal.by != self.terms.name => debug_assert!(false),
            Event::Propose { token, proposal } => self.propose(proposal, Origin::Here(token), out),
        }
        self.tick_if_due(out);
        self.process_ready(out);
    }

    fn tick_if_due(&mut self, out: &mut Vec<Action>) {
        if self.now >= self.next_tick {
            // After a stall one tick is due, not all that were missed: nobody else's time has stood still for it.
            self.next_tick = self.now + self.tick;
            if let Some(forming) = &self.forming
                && !forming.shut_out
            {
                let frame = Frame::Forming { id: self.id, promise: forming.promise().cloned() };
                self.to_electors(frame, out);
                self.try_forming(out);
            }
            if self.raft.is_some() {
                let draw = self.rng.random_range(ELECTION_TICKS..LONGEST_ELECTION_TICKS);
                if let Some(raft) = &mut self.raft {
                    // Raft draws from the thread's generator; here all comes from the seed.
                    if raft.raft.election_elapsed == 0 {
                        raft.raft.set_randomized_election_timeout(draw);
                    }
                    raft.tick();
                }
                self.process_ready(out);
                self.note_heard_voters();
                self.ask_quorum(out);
                self.promote_learner(out);
            }
            self.retry_proposals(out);
        }
        if self.now >= self.asking.next {
            self.ask_elector(out);
        }
    }

    fn to_electors(&self, frame: Frame, out: &mut Vec<Action>) {
        for to in self.terms.electors.iter().filter(|name| **name != self.terms.name) {
            out.push(Action::Send { to: to.clone(), frame: frame.clone() });
        }
    }

    /// Says a thing to staff, but not over and over.
    fn warn(&mut self, what: String, out: &mut Vec<Action>) {
        let again =
            self.warned.get(&what).is_none_or(|at| self.now >= at + WARN_AGAIN_LEASES * self.terms.lease);
        if again {
            if self.warned.len() > MOST_WARNINGS {
                self.warned.clear();
            }
            self.warned.insert(what.clone(), self.now);
            out.push(Action::Shout(what));
        }
    }
}
