//! The router's own copies: answers of caches that are kept in memory as far as purges, ages and the memory
//! limit allow, and the time that their bytes take on the router's link. The module decides what is served
//! from here.
//!
//! A request that was offered a copy holds a reference to it (see [`Copies::get`]): such a copy is not
//! evicted for others, and its bytes count against the limit as long as anything refers to it, so that the
//! memory stays bounded.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bitternhold::{ALL_GROUPS, Micros};
use bytes::Bytes;

use crate::clock::Stamp;
use crate::feed::PurgeTarget;

/// Time for which a purge is remembered after it was received, in microseconds. It is applied to answers that
/// were in flight when it came.
const PURGE_KEPT: Micros = 30_000_000;
/// Memory counted for each copy besides its bytes, in bytes.
const ENTRY: usize = 256;
/// An answer that the client's copy is current takes this part (the divisor) of the time that the copy's
/// bytes would take on the link.
const HOLDS_PART: usize = 20;

/// Key of a copy: object, part and index of the class.
pub type Key = (u64, u64, usize);

/// Memory counted for a copy as long as anything refers to it.
#[derive(Debug)]
struct Booked {
    /// Bytes of all copies together.
    all: Rc<Cell<usize>>,
    /// Bytes of this copy.
    own: usize,
}

impl Drop for Booked {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.own);
    }
}

/// A copy of a part, with the version of its content.
#[derive(Debug)]
pub struct Copy {
    /// The content.
    pub body: Bytes,
    /// Tag of the content's version.
    pub tag: Bytes,
    /// When the origin issued it.
    pub stamp: Stamp,
    /// When a cache last answered with it or confirmed it.
    seen: Cell<Micros>,
    /// Group of the object.
    group: u64,
    /// Number of its last use, the key in [`Copies::order`].
    used: Cell<u64>,
    _booked: Booked,
}

impl Copy {
    /// When a cache last answered with it or confirmed it.
    pub fn seen(&self) -> Micros {
        self.seen.get()
    }

    /// Whether a purge of the time `at` applies to it; `object` is the copy's own object.
    pub fn falls_to(&self, object: u64, what: PurgeTarget, at: Stamp) -> bool {
        let named = match what {
            PurgeTarget::Object(key) => key == object,
            PurgeTarget::Group(group) => group == self.group || group == ALL_GROUPS,
        };
        named && self.stamp <= at
    }

    /// Bytes that an answer from it takes on the link. A client that already holds it gets no body.
    pub fn bytes(&self, holds: bool) -> usize {
        if holds { self.body.len() / HOLDS_PART } else { self.body.len() }
    }
}

/// The copies, and the load of the router's link.
#[derive(Debug, Default)]
pub struct Copies {
    /// Memory limit in bytes.
    room: usize,
    /// Memory in use in bytes.
    held: Rc<Cell<usize>>,
    copies: BTreeMap<Key, Rc<Copy>>,
    /// Keys by the number of the last use, least recently used first.
    order: BTreeMap<u64, Key>,
    /// Number of uses so far.
    uses: u64,
    /// Recent purges: the time of the purge, and when it was received.
    purges: BTreeMap<PurgeTarget, (Stamp, Micros)>,
    /// Rate of a single transfer, in bytes per second.
    flow: f64,
    /// Rate of all transfers together, in bytes per second.
    link: f64,
    /// When the link will have sent everything booked on it.
    free: Micros,
}

impl Copies {
    /// An empty store with a memory limit of `room` bytes, on a link with these rates in bytes per second for
    /// a single transfer and for all together. Without these rates no copies are kept.
    pub fn new(room: usize, flow: f64, link: f64) -> Self {
        let room = if flow > 0.0 && link > 0.0 { room } else { 0 };
        Self { room, flow, link, ..Self::default() }
    }

    /// Changes the memory limit, in bytes. Copies beyond it are evicted, least recently used first.
    pub fn set_room(&mut self, room: usize) {
        if self.flow > 0.0 && self.link > 0.0 {
            self.room = room;
        }
        while self.held.get() > self.room && self.displace() {}
    }

    /// Evicts the least recently used copy that no request refers to. Returns false if there is none.
    fn displace(&mut self) -> bool {
        let unheld = |key: &&Key| self.copies.get(key).is_some_and(|copy| Rc::strong_count(copy) == 1);
        let Some(oldest) = self.order.values().find(unheld).copied() else { return false };
        self.remove(&oldest);
        true
    }

    /// Keeps the copy of an answer, unless it is too large, purged or older than the present one. The bytes
    /// are copied, because a slice would keep the whole read buffer alive.
    pub fn keep(&mut self, now: Micros, key: Key, group: u64, tag: &[u8], stamp: Stamp, body: &[u8]) {
        let size = body.len() + tag.len() + ENTRY;
        let old = self.copies.get(&key).is_some_and(|c| c.stamp > stamp);
        if size > self.room || old || self.is_purged(&key, group, stamp) {
            return;
        }
        self.remove(&key);
        while self.held.get() + size > self.room {
            if !self.displace() {
                return;
            }
        }
        self.held.set(self.held.get() + size);
        self.uses += 1;
        self.order.insert(self.uses, key);
        let [body, tag] = [body, tag].map(Bytes::copy_from_slice);
        let (seen, used) = (Cell::new(now), Cell::new(self.uses));
        let booked = Booked { all: self.held.clone(), own: size };
        self.copies.insert(key, Rc::new(Copy { body, tag, stamp, seen, group, used, _booked: booked }));
    }

    /// Whether a copy of this part that the origin issued at this time is covered by a remembered purge.
    pub fn is_purged(&self, key: &Key, group: u64, stamp: Stamp) -> bool {
        let purged = [PurgeTarget::Object(key.0), PurgeTarget::Group(group), PurgeTarget::Group(ALL_GROUPS)];
        purged.iter().filter_map(|what| self.purges.get(what)).any(|(at, _)| stamp <= *at)
    }

    /// Records that a cache has confirmed the copy with this tag as current.
    pub fn confirm(&mut self, now: Micros, key: Key, tag: &[u8]) {
        if let Some(copy) = self.copies.get(&key).filter(|c| c.tag == tag) {
            copy.seen.set(now);
        }
    }

    /// The copy of a part. It is not evicted while a clone of the reference exists.
    pub fn get(&self, key: &Key) -> Option<&Rc<Copy>> {
        self.copies.get(key)
    }

    /// Marks a copy as used, for the eviction order.
    pub fn touch(&mut self, key: &Key) {
        if let Some(copy) = self.copies.get(key) {
            self.uses += 1;
            self.order.remove(&copy.used.replace(self.uses));
            self.order.insert(self.uses, *key);
        }
    }

    /// Drops the copies that a purge applies to, and remembers the purge for answers that arrive later.
    pub fn purge(&mut self, now: Micros, what: PurgeTarget, at: Stamp) {
        self.purges.retain(|_, (_, told)| now.saturating_sub(*told) < PURGE_KEPT);
        let slot = self.purges.entry(what).or_insert((at, now));
        *slot = (at.max(slot.0), now);
        let gone: Vec<Key> = match what {
            PurgeTarget::Object(object) => {
                let parts = (object, 0, 0)..=(object, u64::MAX, usize::MAX);
                self.copies
                    .range(parts)
                    .filter(|(key, c)| c.falls_to(key.0, what, at))
                    .map(|(key, _)| *key)
                    .collect()
            }
            PurgeTarget::Group(_) => self
                .copies
                .iter()
                .filter(|(key, c)| c.falls_to(key.0, what, at))
                .map(|(key, _)| *key)
                .collect(),
        };
        gone.iter().for_each(|key| self.remove(key));
    }

    /// Time that this number of bytes would take now, behind those already booked on the link.
    pub fn wait(&self, now: Micros, bytes: usize) -> Micros {
        let micros = |rate: f64| (bytes as f64 / rate * 1e6) as Micros;
        micros(self.flow).max(self.free.saturating_sub(now) + micros(self.link))
    }

    /// Books bytes that are sent on the link.
    pub fn send(&mut self, now: Micros, bytes: usize) {
        self.free = self.free.max(now) + (bytes as f64 / self.link * 1e6) as Micros;
    }

    fn remove(&mut self, key: &Key) {
        if let Some(copy) = self.copies.remove(key) {
            self.order.remove(&copy.used.get());
        }
    }
}
