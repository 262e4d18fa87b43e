//! A model of a cache's store: two ranks, the least recently used of the lower rank is dropped first.

use std::collections::HashMap;

const NONE: u32 = u32::MAX;

/// The rank at which a copy is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Dropped first.
    Low,
    /// Dropped next.
    Middle,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    id: u64,
    rank: Rank,
    newer: u32,
    older: u32,
}

/// The copies of a rank from the one used last to the one used longest ago.
#[derive(Clone, Copy, Debug)]
struct Order {
    newest: u32,
    oldest: u32,
}

/// Copies of objects of one size, up to a number.
#[derive(Debug)]
pub struct RankedLru {
    room: usize,
    slots: Vec<Slot>,
    places: HashMap<u64, u32>,
    orders: [Order; 2],
}

impl RankedLru {
    /// An empty store for so many copies.
    pub fn new(room: usize) -> Self {
        let empty = Order { newest: NONE, oldest: NONE };
        Self { room: room.max(1), slots: Vec::new(), places: HashMap::new(), orders: [empty; 2] }
    }

    /// Whether there is a copy. It is the last one used then, and takes the rank if one is given.
    pub fn hit(&mut self, id: u64, rank: Option<Rank>) -> bool {
        let Some(place) = self.places.get(&id).copied() else { return false };
        self.unlink(place);
        let slot = &mut self.slots[place as usize];
        slot.rank = rank.unwrap_or(slot.rank);
        self.link(place);
        true
    }

    /// Keeps a copy of an object that there is none of, unless all that could make room are of a higher rank.
    pub fn keep(&mut self, id: u64, rank: Rank) {
        let slot = Slot { id, rank, newer: NONE, older: NONE };
        if self.slots.len() < self.room {
            self.slots.push(slot);
            return self.place(id, self.slots.len() as u32 - 1);
        }
        let Some(victim) = self.victim(rank) else { return };
        self.unlink(victim);
        self.places.remove(&self.slots[victim as usize].id);
        self.slots[victim as usize] = slot;
        self.place(id, victim);
    }

    fn victim(&self, rank: Rank) -> Option<u32> {
        let oldest = [Rank::Low, Rank::Middle].into_iter().filter(|lower| *lower <= rank);
        oldest.map(|lower| self.orders[lower as usize].oldest).find(|place| *place != NONE)
    }

    fn place(&mut self, id: u64, place: u32) {
        self.places.insert(id, place);
        self.link(place);
    }

    fn link(&mut self, place: u32) {
        let order = &mut self.orders[self.slots[place as usize].rank as usize];
        let before = std::mem::replace(&mut order.newest, place);
        if before == NONE {
            order.oldest = place;
        } else {
            self.slots[before as usize].newer = place;
        }
        let slot = &mut self.slots[place as usize];
        (slot.newer, slot.older) = (NONE, before);
    }

    fn unlink(&mut self, place: u32) {
        let Slot { rank, newer, older, .. } = self.slots[place as usize];
        let order = &mut self.orders[rank as usize];
        if newer == NONE {
            order.newest = older;
        } else {
            self.slots[newer as usize].older = older;
        }
        if older == NONE {
            self.orders[rank as usize].oldest = newer;
        } else {
            self.slots[older as usize].newer = newer;
        }
    }
}
