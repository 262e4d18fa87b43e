//! The leases that a node has given to its children, and what they come to: the least number, counts, the slowest.
//!
//! A lease runs from the latest report that was answered, by this node's own clock, and ends when no confirmation given
//! on it can be alive any more. The end of a connection does not end it; another connection of the same process takes
//! it up again; another process of the same name has one of its own.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::watermark::{Lagging, Summary};
use crate::{Micros, NodeId, bounds};

/// Whose lease: a name is its certificate's, so nobody touches another one's lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Its name.
    pub name: Rc<str>,
    /// Which process.
    pub node: NodeId,
}

impl Holder {
    /// All processes of the same name and instance.
    fn place(&self) -> (Rc<str>, u64) {
        (self.name.clone(), self.node.instance)
    }
}

#[derive(Clone, Debug)]
struct Lease {
    /// All below the holder have applied the log up to here, as far as their confirmations are alive.
    floor: u64,
    ends: Micros,
    summary: Summary,
}

/// What the leases come to at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// The least floor; none: no lease is alive.
    pub floor: Option<u64>,
    /// Who that is.
    pub summary: Summary,
}

/// All leases of a node.
#[derive(Clone, Debug)]
pub struct Leases {
    /// From a report to its lease's end.
    lasts: Micros,
    /// Live ones at most.
    most: usize,
    live: BTreeMap<Holder, Lease>,
    /// Places whose lease has ended and was not taken up again, and when.
    expired: BTreeMap<(Rc<str>, u64), Micros>,
}

/// For so many leases' time an expired one is counted.
const EXPIRED_SHOWN: Micros = 12;
/// Live leases of one place at most: processes of it within a lease's time.
const MOST_PROCESSES: usize = 8;

impl Leases {
    /// None yet. `lasts`: the lease, stretched for both clocks' drift.
    pub fn new(lasts: Micros, most: usize) -> Self {
        Self { lasts, most, live: BTreeMap::new(), expired: BTreeMap::new() }
    }

    /// Whether none is alive.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Whether a report of this process may be answered.
    pub fn has_room(&self, holder: &Holder) -> bool {
        if self.live.contains_key(holder) {
            return true;
        }
        self.live.len() < self.most && self.processes(holder).take(MOST_PROCESSES).count() < MOST_PROCESSES
    }

    /// A report says that all below have applied the log up to here, and who that is.
    pub fn reported(&mut self, holder: &Holder, watermark: u64, summary: &Summary) {
        if let Some(lease) = self.live.get_mut(holder) {
            lease.floor = lease.floor.max(watermark);
            lease.summary.clone_from(summary);
        }
    }

    /// A report that came then is answered, and the answer names this number: the lease begins or goes on.
    pub fn answered(&mut self, holder: &Holder, received: Micros, number: u64, summary: Summary) {
        let ends = received.saturating_add(self.lasts);
        match self.live.get_mut(holder) {
            Some(lease) => lease.ends = lease.ends.max(ends),
            None => {
                self.expired.remove(&holder.place());
                self.live.insert(holder.clone(), Lease { floor: number, ends, summary });
            }
        }
    }

    /// Ends a lease before its time: only where the simulator has taken the guard out.
    pub fn forget(&mut self, holder: &Holder) {
        self.live.remove(holder);
    }

    /// Takes out what has run out, and adds up the others. Whoever's own number is below `applied` counts as behind.
    pub fn total(&mut self, now: Micros, applied: u64) -> Total {
        self.expire(now);
        let floor = self.live.values().map(|lease| lease.floor).min();
        let mut summary = Summary { expired: count(self.expired.len()), ..Summary::default() };
        let mut behind: Vec<(u64, &str)> = Vec::new();
        for (holder, lease) in &self.live {
            summary.routers = summary.routers.saturating_add(lease.summary.routers);
            summary.expired = summary.expired.saturating_add(lease.summary.expired);
            match lease.summary.lagging.as_slice() {
                [] if lease.floor < applied => behind.push((lease.floor, &*holder.name)),
                named => behind.extend(named.iter().map(|router| (router.applied, router.name.as_str()))),
            }
        }
        behind.sort_unstable();
        let slowest = behind.into_iter().take(bounds::LAGGING);
        summary.lagging = slowest.map(|(applied, name)| Lagging { name: name.to_owned(), applied }).collect();
        Total { floor, summary }
    }

    fn expire(&mut self, now: Micros) {
        let ended: Vec<Holder> = self
            .live
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(holder, _)| holder.clone())
            .collect();
        for holder in ended {
            self.live.remove(&holder);
            let taken_up = self.processes(&holder).next().is_some();
            if !taken_up && self.expired.len() < self.most {
                self.expired.insert(holder.place(), now);
            }
        }
        let shown = self.lasts.saturating_mul(EXPIRED_SHOWN);
        self.expired.retain(|_, at| now.saturating_sub(*at) < shown);
    }

    /// Live leases of the same name and instance.
    fn processes(&self, holder: &Holder) -> impl Iterator<Item = &Lease> {
        let first = Holder { name: holder.name.clone(), node: NodeId { incarnation: 0, ..holder.node } };
        let place = holder.place();
        self.live.range(first..).take_while(move |(other, _)| other.place() == place).map(|(_, lease)| lease)
    }

    /// Bytes that it holds, about.
    pub fn memory(&self) -> usize {
        const LEASE: usize = size_of::<(Holder, Lease)>() + bounds::NAME;
        const EXPIRED: usize = size_of::<((Rc<str>, u64), Micros)>();
        self.live.len() * LEASE + self.expired.len() * EXPIRED
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
