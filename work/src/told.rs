//! What a router tells of itself: what it has open where, and what each machine means to it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::{Machine, Micros};

/// Loads are means over so long.
const WINDOW: Micros = 2_000_000;

/// What a machine means to a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bid {
    /// The machine's id on the list.
    pub id: u32,
    /// Attempts out there, the mean of the last seconds, in thousandths.
    pub load: u32,
    /// Attempts that the router would let be out there, in thousandths.
    pub limit: u32,
    /// The router has set it aside as ill.
    pub aside: bool,
}

/// A router's word, as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Which life of it speaks.
    pub life: u64,
    /// Its zone on the list.
    pub zone: u32,
    /// The latest decision that it acts on.
    pub number: u64,
    /// Ids on the list of what it has anything open on; only of machines in orders.
    pub open: BTreeSet<u32>,
    /// It has work of clients, or takes what comes.
    pub serves: bool,
    /// Of machines in the places of those in orders.
    pub bids: Vec<Bid>,
}

impl Told {
    /// As told; none: it can't be read.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        match postcard::take_from_bytes(bytes) {
            Ok((told, [])) => Some(told),
            _ => None,
        }
    }

    /// To be told, in so many bytes at most: the least bids are left out first.
    pub fn spell(mut self, most: usize) -> Vec<u8> {
        self.bids.sort_by_key(|bid| (std::cmp::Reverse(bid.load), bid.id));
        loop {
            let bytes = postcard::to_stdvec(&self).unwrap_or_default();
            if bytes.len() <= most || self.bids.is_empty() {
                return bytes;
            }
            self.bids.truncate(self.bids.len() * 3 / 4);
        }
    }

    /// On which machines something is open.
    pub fn open(&self, name: &str) -> BTreeSet<Machine> {
        let members = self.open.iter().flat_map(|id| [Machine::Box(*id), Machine::Parent(*id)]);
        members.chain(self.serves.then(|| Machine::Router(name.to_owned()))).collect()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Gauge {
    out: u32,
    /// Attempts times microseconds since the window's beginning.
    area: u64,
    at: Micros,
    /// Of the last whole window, in thousandths.
    mean: u32,
}

impl Gauge {
    fn to(&mut self, now: Micros) -> &mut Self {
        self.area += u64::from(self.out) * now.saturating_sub(self.at);
        self.at = now.max(self.at);
        self
    }
}

/// What a router has open at members of the list.
///
/// Guards against a machine called clear while somebody waits for it, or it for something. What was given up without
/// an answer counts until its time is over: the machine may not have heard of that.
#[derive(Debug, Default)]
pub struct Ledger {
    out: HashMap<u64, (Vec<u32>, Micros)>,
    /// Given up and not answered, by when it is over at the latest.
    lingers: BTreeMap<u32, Micros>,
    gauges: BTreeMap<u32, Gauge>,
    window: Micros,
}

impl Ledger {
    /// An attempt by this ticket, at these members (who serves and who is the source), due by then.
    pub fn begin(&mut self, now: Micros, ticket: u64, members: Vec<u32>, until: Micros) {
        self.turn(now);
        for id in &members {
            self.gauges.entry(*id).or_default().to(now).out += 1;
        }
        self.out.insert(ticket, (members, until));
    }

    /// It ended; `whole`: nothing of it goes on at any of them.
    pub fn end(&mut self, now: Micros, ticket: u64, whole: bool) {
        let Some((members, until)) = self.out.remove(&ticket) else { return };
        for id in members {
            if let Some(gauge) = self.gauges.get_mut(&id) {
                let gauge = gauge.to(now);
                gauge.out = gauge.out.saturating_sub(1);
            }
            if !whole && until > now {
                let over = self.lingers.entry(id).or_default();
                *over = until.max(*over);
            }
        }
    }

    /// Members on which something is open, or may be.
    pub fn open(&mut self, now: Micros) -> BTreeSet<u32> {
        self.lingers.retain(|_, until| *until > now);
        let out = self.out.values().flat_map(|(members, _)| members.iter().copied());
        out.chain(self.lingers.keys().copied()).collect()
    }

    /// The mean of attempts out at each member over the last whole window, in thousandths.
    pub fn loads(&mut self, now: Micros) -> BTreeMap<u32, u32> {
        self.turn(now);
        self.gauges.iter().map(|(id, gauge)| (*id, gauge.mean)).collect()
    }

    /// A window ends; nothing is kept of members that none uses any more.
    fn turn(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.window);
        if passed < WINDOW {
            return;
        }
        for gauge in self.gauges.values_mut() {
            gauge.to(now).mean = u32::try_from(gauge.area.saturating_mul(1000) / passed).unwrap_or(u32::MAX);
            gauge.area = 0;
        }
        self.window = now;
        self.gauges.retain(|_, gauge| gauge.out > 0 || gauge.mean > 0);
        self.lingers.retain(|_, until| *until > now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What is answered is over; what was given up counts until its time; loads are means of attempts out.
    #[test]
    fn what_was_given_up_counts_until_its_time_is_over() {
        let mut ledger = Ledger::default();
        ledger.loads(WINDOW);
        ledger.begin(WINDOW, 1, vec![7, 9], 4 * WINDOW);
        ledger.begin(WINDOW, 2, vec![8], 3 * WINDOW);
        assert!(ledger.open(WINDOW).into_iter().eq([7, 8, 9]));
        ledger.end(WINDOW + WINDOW / 2, 1, true);
        ledger.end(WINDOW + WINDOW / 4, 2, false);
        assert!(ledger.open(2 * WINDOW).into_iter().eq([8]));
        let loads = ledger.loads(2 * WINDOW);
        assert_eq!((loads[&7], loads[&8]), (500, 250), "half and a quarter of the window");
        assert!(ledger.open(3 * WINDOW).is_empty());
        ledger.end(3 * WINDOW, 2, true);
        ledger.loads(4 * WINDOW);
        assert!(ledger.loads(6 * WINDOW).is_empty(), "nothing is kept of who is idle");
    }

    /// A word keeps within its bytes, the least bids go first, and reads back; garbage does not.
    #[test]
    fn a_word_keeps_within_its_bytes() {
        let bids = (0..2000).map(|id| Bid { id, load: id, limit: 1 << 20, aside: false }).collect();
        let told = Told { life: 1, number: 9, open: [3].into(), serves: true, bids, ..Told::default() };
        let bytes = told.spell(4096);
        let read = Told::read(&bytes).unwrap();
        assert!(bytes.len() <= 4096 && read.bids.len() > 200 && read.bids[0].id == 1999);
        assert!(read.open("n1").contains(&Machine::Router("n1".to_owned())) && read.open("n1").len() == 3);
        assert_eq!(Told::read(&bytes[1..]), None);
    }
}
