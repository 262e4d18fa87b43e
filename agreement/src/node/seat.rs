//! How this router's disk takes part in forming the fleet, takes its seat, and leaves it.

use raft::RawNode;
use rand::Rng;

use super::{ELECTION_TICKS, HEARTBEAT_TICKS, LONGEST_ELECTION_TICKS, Node};
use crate::disk::{self, Disk, Log, Snapshot, Write};
use crate::fleet::Fleet;
use crate::forming::Step;
use crate::interface::Action;

/// Bytes that the leader has out to an elector in one message, messages at a time, and bytes not committed at all.
const RAFT_MESSAGE_BYTES: u64 = 64 * 1024;
const RAFT_MESSAGES_IN_FLIGHT: usize = 32;
const UNCOMMITTED_BYTES: u64 = 1 << 20;

impl Node {
    pub(super) fn try_forming(&mut self, out: &mut Vec<Action>) {
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
                    self.form_fleet(&set, out);
                }
            }
            Step::Form(set) => self.form_fleet(&set, out),
        }
    }

    /// The fleet lives: all disks of the set have promised it.
    pub(super) fn form_fleet(&mut self, set: &[(String, u64)], out: &mut Vec<Action>) {
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
        self.after_apply(None, true, out);
    }

    /// Raft begins on a disk.
    pub(super) fn take_seat(&mut self, disk: Disk) {
        if let Some(fleet) = Fleet::read(&disk.snapshot.data)
            && fleet.number > self.fleet.number
        {
            self.fleet = fleet;
            self.fence.applied(self.fleet.number, self.fleet.digest);
        }
        self.conf = disk::snapshot_to_raft(&disk.snapshot).take_metadata().take_conf_state();
        let config = raft::Config {
            id: self.id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            min_election_tick: ELECTION_TICKS,
            max_election_tick: LONGEST_ELECTION_TICKS,
            applied: disk.snapshot.index,
            max_size_per_msg: RAFT_MESSAGE_BYTES,
            max_inflight_msgs: RAFT_MESSAGES_IN_FLIGHT,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: UNCOMMITTED_BYTES,
            max_committed_size_per_ready: UNCOMMITTED_BYTES,
            ..raft::Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        match RawNode::new(&config, Log { disk }, &quiet) {
            Ok(mut raft) => {
                raft.raft.set_randomized_election_timeout(
                    self.rng.random_range(ELECTION_TICKS..LONGEST_ELECTION_TICKS),
                );
                self.raft = Some(raft);
            }
            Err(e) => debug_assert!(false, "{e}"),
        }
    }

    /// The fleet has taken this disk's seat: it follows from now on.
    pub(super) fn leave_seat(&mut self, out: &mut Vec<Action>) {
        if self.raft.take().is_some() {
            (self.round, self.unapplied) = (None, None);
            self.asking.next = self.now;
            self.warn("this router is no elector any more; it follows".to_owned(), out);
        }
    }

    /// Takes a seat that the fleet has given this disk, or leaves one that it has taken.
    pub(super) fn take_or_leave_seat(&mut self, out: &mut Vec<Action>) {
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
}
