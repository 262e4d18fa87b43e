//! How the fleet stands, as one router sees it.

use serde::{Deserialize, Serialize};

use crate::Micros;

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
