//! What the decisions come to: the roll, the electors, the notes. Every router applies the same decisions with this
//! code; the digest tells whether it came to the same.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::decision::{Change, Proposal, ProposalId, Refusal, Seat, Verdict, bounds};
use crate::digest;

/// A router on the roll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its latest life.
    pub life: u64,
    /// Whether that life has left by itself.
    pub left: bool,
    /// The decision that said so.
    pub number: u64,
    /// Earlier lives that were replaced before they had left, the oldest first: killed, or still beside it in an
    /// upgrade; nobody can tell. 0: some that are not kept any more.
    pub earlier: Vec<u64>,
}

/// A router that settles decisions, by its disk's identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Elector {
    /// Its name.
    pub name: String,
    /// Whether it votes yet.
    pub votes: bool,
    /// The decision that said so.
    pub number: u64,
}

/// A topic's text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The decision that set it.
    pub number: u64,
    /// The text.
    pub body: Vec<u8>,
}

/// See the module's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Which fleet; 0: none yet.
    pub fleet: u64,
    /// The latest decision applied.
    pub number: u64,
    /// Of all outcomes up to it.
    pub digest: u64,
    /// Routers by name.
    pub roll: BTreeMap<String, Member>,
    /// Electors by their disks' identity.
    pub electors: BTreeMap<u64, Elector>,
    /// The latest decision that struck a router off the roll; 0: none.
    pub struck: u64,
    /// The latest decision that put a life in the place of one that had not left; 0: none.
    pub superseded: u64,
    /// Texts by topic.
    pub notes: BTreeMap<String, Note>,
    /// What was settled lately, for who asks again; oldest first.
    settled: VecDeque<(ProposalId, Verdict)>,
    /// What builds on less may have been made and forgotten.
    horizon: u64,
}

impl Fleet {
    /// A fleet as its electors form it.
    pub fn formed(electors: &[(String, u64)]) -> Self {
        let mut fleet = Self { number: 1, ..Self::default() };
        for (name, id) in electors {
            fleet.electors.insert(*id, Elector { name: name.clone(), votes: true, number: 1 });
        }
        let names: Vec<u8> = postcard::to_stdvec(electors).unwrap_or_default();
        fleet.fleet = digest(&[b"fleet", &names]).max(1);
        fleet.digest = fleet.fleet;
        fleet
    }

    /// What became of a proposal, if it was settled and is remembered.
    pub fn settled(&self, id: ProposalId) -> Option<&Verdict> {
        self.settled.iter().rev().find(|(other, _)| *other == id).map(|(_, verdict)| verdict)
    }

    /// Names of those that vote.
    pub fn voters(&self) -> impl Iterator<Item = (u64, &str)> {
        self.electors.iter().filter(|(_, e)| e.votes).map(|(id, e)| (*id, e.name.as_str()))
    }

    /// Applies the entry of the next number; an empty one is a leader's first. `dedupe`: the guard against
    /// applying one proposal twice. The verdict is none where it was settled before.
    pub fn apply(&mut self, number: u64, data: &[u8], dedupe: bool) -> Option<(ProposalId, Verdict)> {
        debug_assert_eq!(number, self.number + 1);
        self.number = number;
        let proposal = postcard::from_bytes::<Proposal>(data).ok();
        let outcome = proposal.and_then(|proposal| {
            if dedupe && self.settled(proposal.id).is_some() {
                return None;
            }
            let verdict = match self.change(number, &proposal, dedupe) {
                Ok(()) => Verdict::Made(number),
                Err(refusal) => Verdict::Refused(number, refusal),
            };
            self.settled.push_back((proposal.id, verdict.clone()));
            if self.settled.len() > bounds::REMEMBERED {
                let (_, Verdict::Made(n) | Verdict::Refused(n, _)) = self.settled.pop_front()?;
                self.horizon = n;
            }
            Some((proposal.id, verdict))
        });
        let outcome_bytes = postcard::to_stdvec(&outcome).unwrap_or_default();
        self.digest = digest(&[&self.digest.to_le_bytes(), &number.to_le_bytes(), data, &outcome_bytes]);
        outcome
    }

    fn change(&mut self, number: u64, proposal: &Proposal, dedupe: bool) -> Result<(), Refusal> {
        self.may(proposal, dedupe)?;
        match proposal.change.clone() {
            Change::Join { name, life } => {
                let old = self.roll.remove(&name);
                let mut earlier = old.as_ref().map_or_else(Vec::new, |old| old.earlier.clone());
                if let Some(old) = old.filter(|old| !old.left) {
                    earlier.push(old.life);
                    self.superseded = number;
                }
                if earlier.len() > bounds::EARLIER {
                    earlier.remove(1);
                    earlier[0] = 0;
                }
                self.roll.insert(name, Member { life, left: false, number, earlier });
            }
            Change::Leave { name, life } => {
                if let Some(member) = self.roll.get_mut(&name) {
                    match member.life == life {
                        true => (member.left, member.number) = (true, number),
                        false => member.earlier.retain(|earlier| *earlier != life),
                    }
                }
            }
            Change::Forget { name } => {
                self.roll.remove(&name);
                self.struck = number;
            }
            Change::Seat(Seat::Admit { name, id }) => {
                self.electors.insert(id, Elector { name, votes: false, number });
            }
            Change::Seat(Seat::Promote { id }) => {
                if let Some(elector) = self.electors.get_mut(&id) {
                    (elector.votes, elector.number) = (true, number);
                }
            }
            Change::Seat(Seat::Dismiss { id }) => {
                self.electors.remove(&id);
            }
            Change::Note { topic, body } => {
                self.notes.insert(topic, Note { number, body });
            }
        }
        Ok(())
    }

    /// Whether a proposal could be made on what stands now.
    pub fn may(&self, proposal: &Proposal, dedupe: bool) -> Result<(), Refusal> {
        if dedupe && proposal.builds_on < self.horizon {
            return Err(Refusal::TooOld(self.horizon));
        }
        let overtaken = |number: u64| match number > proposal.builds_on {
            true => Err(Refusal::Overtaken(number)),
            false => Ok(()),
        };
        let good = |name: &str| !name.is_empty() && name.len() <= bounds::NAME;
        match &proposal.change {
            Change::Join { name, life } => match self.roll.get(name) {
                Some(member) if member.life > *life => Err(Refusal::OlderLife(member.life)),
                Some(member) if member.life == *life => Err(Refusal::Already),
                Some(_) => Ok(()),
                None if !good(name) || self.roll.len() >= bounds::ROLL => Err(Refusal::Bound),
                None => Ok(()),
            },
            Change::Leave { name, life } => match self.roll.get(name) {
                Some(member) if *life > 0 && member.earlier.contains(life) => Ok(()),
                Some(member) if member.life > *life => Err(Refusal::OlderLife(member.life)),
                Some(member) if member.left => Err(Refusal::Already),
                Some(_) => Ok(()),
                None => Err(Refusal::Unknown),
            },
            Change::Forget { name } => overtaken(self.roll.get(name).ok_or(Refusal::Unknown)?.number),
            Change::Seat(Seat::Admit { name, id }) => match self.electors.get(id) {
                Some(_) => Err(Refusal::Already),
                None if !good(name) || self.electors.len() > bounds::ELECTORS => Err(Refusal::Bound),
                None => Ok(()),
            },
            Change::Seat(Seat::Promote { id }) => match self.electors.get(id) {
                Some(elector) if elector.votes => Err(Refusal::Already),
                Some(elector) => overtaken(elector.number),
                None => Err(Refusal::Unknown),
            },
            Change::Seat(Seat::Dismiss { id }) => match self.electors.get(id) {
                Some(elector) if elector.votes && self.voters().count() == 1 => Err(Refusal::Quorum),
                Some(elector) => overtaken(elector.number),
                None => Err(Refusal::Unknown),
            },
            Change::Note { topic, body } => {
                let old = self.notes.get(topic);
                let all: usize = self.notes.values().map(|n| n.body.len()).sum();
                let size = all - old.map_or(0, |n| n.body.len()) + body.len();
                let full = old.is_none() && self.notes.len() >= bounds::TOPICS;
                if !good(topic) || body.len() > bounds::BODY || size > bounds::NOTES || full {
                    return Err(Refusal::Bound);
                }
                old.map_or(Ok(()), |note| overtaken(note.number))
            }
        }
    }

    /// All of it, to be read back by [`Fleet::read`].
    pub fn spell(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a snapshot.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
