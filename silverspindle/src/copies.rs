//! The router's own copies: answers of caches that are kept in memory as far as purges, ages and the memory
//! limit allow, and the time that their bytes take on the router's link. The module decides what is served
//! from here.
//!
//! A request that was offered a copy holds a reference to it (see [`Copies::get`]), and an answer that is
//! being written to one holds its body: such a copy is not evicted for others, and its bytes count against
//! the limit as long as anything refers to them, so that the memory stays bounded.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bitternhold::{ALL_GROUPS, Micros};
use bytes::Bytes;
use silverspindle_wire::buffer::Buffer;

use crate::clock::Stamp;
use crate::feed::PurgeTarget;

/// Time for which a purge is remembered after it was received, in microseconds. It is applied to answers that
/// were in flight when it came.
const PURGE_RETENTION: Micros = 30_000_000;
/// Memory counted for each copy besides its bytes, in bytes.
const ENTRY_OVERHEAD: usize = 256;
/// An answer that the client's copy is current takes this part (the divisor) of the time that the copy's
/// bytes would take on the link.
const HELD_ANSWER_DIVISOR: usize = 20;

/// Key of a copy: object, part and index of the class.
pub type Key = (u64, u64, usize);

/// The bytes of a copy's body, counted as long as anything refers to them.
#[derive(Clone, Debug)]
struct SharedBody(Arc<ChargedBody>);

#[derive(Debug)]
struct ChargedBody {
    bytes: Buffer,
    /// Bytes of all copies together.
    total: Arc<AtomicUsize>,
    /// Memory counted for this copy, in bytes.
    charge: usize,
}

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.0.bytes
    }
}

impl Drop for ChargedBody {
    fn drop(&mut self) {
        self.total.fetch_sub(self.charge, Ordering::Relaxed);
    }
}

/// A copy of a part, with the version of its content.
#[derive(Debug)]
pub struct Copy {
    /// The content.
    body: SharedBody,
    /// Tag of the content's version.
    pub tag: Bytes,
    /// When the origin issued it.
    pub stamp: Stamp,
    /// When a cache last answered with it or confirmed it.
    confirmed_at: Cell<Micros>,
    /// Group of the object.
    group: u64,
    /// Number of its last use, its key in `Copies::by_last_use`.
    used: Cell<u64>,
}

impl Copy {
    /// When a cache last answered with it or confirmed it.
    pub fn confirmed_at(&self) -> Micros {
        self.confirmed_at.get()
    }

    /// Whether a purge of the time `at` applies to it; `object` is the copy's own object.
    pub fn is_covered_by(&self, object: u64, what: PurgeTarget, at: Stamp) -> bool {
        let matches = match what {
            PurgeTarget::Object(key) => key == object,
            PurgeTarget::Group(group) => group == self.group || group == ALL_GROUPS,
        };
        matches && self.stamp <= at
    }

    /// The content, without a copy of it.
    pub fn body(&self) -> Bytes {
        Bytes::from_owner(self.body.clone())
    }

    /// Length of the content in bytes.
    pub fn length(&self) -> usize {
        self.body.as_ref().len()
    }

    /// Whether its content is being written to a client.
    fn is_being_written(&self) -> bool {
        Arc::strong_count(&self.body.0) > 1
    }

    /// Bytes that an answer from it takes on the link. A client that already holds it gets no body.
    pub fn bytes(&self, client_holds_it: bool) -> usize {
        if client_holds_it { self.length() / HELD_ANSWER_DIVISOR } else { self.length() }
    }
}

/// The copies, and the load of the router's link.
#[derive(Debug, Default)]
pub struct Copies {
    /// Memory limit in bytes.
    memory_limit: usize,
    /// Memory that other uses leave at the moment, in bytes.
    memory_available: usize,
    /// Memory in use in bytes.
    memory_used: Arc<AtomicUsize>,
    copies: BTreeMap<Key, Rc<Copy>>,
    /// Keys by the number of the last use, least recently used first.
    by_last_use: BTreeMap<u64, Key>,
    /// Number of the most recent use.
    last_use: u64,
    /// Recent purges: the time of the purge, and when it was received.
    purges: BTreeMap<PurgeTarget, (Stamp, Micros)>,
    /// Rate of a single transfer, in bytes per second.
    flow_rate: f64,
    /// Rate of all transfers together, in bytes per second.
    link_rate: f64,
    /// When the link will have sent everything booked on it.
    link_free_at: Micros,
}

impl Copies {
    /// An empty store with a memory limit of `memory_limit` bytes, on a link with these rates in bytes per
    /// second for a single transfer and for all together. Without these rates no copies are kept.
    pub fn new(memory_limit: usize, flow_rate: f64, link_rate: f64) -> Self {
        let memory_limit = if flow_rate > 0.0 && link_rate > 0.0 { memory_limit } else { 0 };
        Self { memory_limit, memory_available: usize::MAX, flow_rate, link_rate, ..Self::default() }
    }

    /// Changes the memory limit, in bytes. Copies beyond it are evicted, least recently used first.
    pub fn set_memory_limit(&mut self, memory_limit: usize) {
        if self.flow_rate > 0.0 && self.link_rate > 0.0 {
            self.memory_limit = memory_limit;
        }
        self.evict_to_limit();
    }

    /// Changes the memory that other uses leave, in bytes. Copies beyond it are evicted, least recently used first.
    pub fn set_memory_available(&mut self, memory_available: usize) {
        self.memory_available = memory_available;
        self.evict_to_limit();
    }

    /// Memory in use, in bytes.
    pub fn memory_used(&self) -> usize {
        self.memory_used.load(Ordering::Relaxed)
    }

    fn current_limit(&self) -> usize {
        self.memory_limit.min(self.memory_available)
    }

    fn evict_to_limit(&mut self) {
        while self.memory_used() > self.current_limit() && self.evict() {}
    }

    /// Evicts the least recently used copy that nothing refers to. Returns false if there is none.
    fn evict(&mut self) -> bool {
        let is_unreferenced = |key: &&Key| {
            self.copies.get(key).is_some_and(|copy| Rc::strong_count(copy) == 1 && !copy.is_being_written())
        };
        let Some(oldest) = self.by_last_use.values().find(is_unreferenced).copied() else { return false };
        self.remove(&oldest);
        true
    }

    /// Keeps the copy of an answer, unless it is too large, purged or older than the present one. The bytes
    /// are copied, because a slice would keep the whole read buffer alive.
    pub fn store(&mut self, now: Micros, key: Key, group: u64, tag: &[u8], stamp: Stamp, body: &[u8]) {
        let size = body.len() + tag.len() + ENTRY_OVERHEAD;
        let is_outdated = self.copies.get(&key).is_some_and(|c| c.stamp > stamp);
        if size > self.current_limit() || is_outdated || self.is_purged(&key, group, stamp) {
            return;
        }
        self.remove(&key);
        while self.memory_used() + size > self.current_limit() {
            if !self.evict() {
                return;
            }
        }
        self.memory_used.fetch_add(size, Ordering::Relaxed);
        self.last_use += 1;
        self.by_last_use.insert(self.last_use, key);
        let body =
            ChargedBody { bytes: Buffer::copy_of(body), total: self.memory_used.clone(), charge: size };
        let (body, tag) = (SharedBody(Arc::new(body)), Bytes::copy_from_slice(tag));
        let (confirmed_at, used) = (Cell::new(now), Cell::new(self.last_use));
        self.copies.insert(key, Rc::new(Copy { body, tag, stamp, confirmed_at, group, used }));
    }

    /// Whether a copy of this part that the origin issued at this time is covered by a remembered purge.
    pub fn is_purged(&self, key: &Key, group: u64, stamp: Stamp) -> bool {
        let purged = [PurgeTarget::Object(key.0), PurgeTarget::Group(group), PurgeTarget::Group(ALL_GROUPS)];
        purged.iter().filter_map(|what| self.purges.get(what)).any(|(at, _)| stamp <= *at)
    }

    /// Records that a cache has confirmed the copy with this tag as current.
    pub fn mark_confirmed(&mut self, now: Micros, key: Key, tag: &[u8]) {
        if let Some(copy) = self.copies.get(&key).filter(|c| c.tag == tag) {
            copy.confirmed_at.set(now);
        }
    }

    /// The copy of a part. It is not evicted while a clone of the reference exists.
    pub fn get(&self, key: &Key) -> Option<&Rc<Copy>> {
        self.copies.get(key)
    }

    /// Marks a copy as used, for the eviction order.
    pub fn mark_used(&mut self, key: &Key) {
        if let Some(copy) = self.copies.get(key) {
            self.last_use += 1;
            self.by_last_use.remove(&copy.used.replace(self.last_use));
            self.by_last_use.insert(self.last_use, *key);
        }
    }

    /// Drops the copies that a purge applies to, and remembers the purge for answers that arrive later.
    pub fn purge(&mut self, now: Micros, what: PurgeTarget, at: Stamp) {
        self.purges.retain(|_, (_, received)| now.saturating_sub(*received) < PURGE_RETENTION);
        let newest = self.purges.entry(what).or_insert((at, now));
        *newest = (at.max(newest.0), now);
        let covered: Vec<Key> = match what {
            PurgeTarget::Object(object) => {
                let parts = (object, 0, 0)..=(object, u64::MAX, usize::MAX);
                self.copies
                    .range(parts)
                    .filter(|(key, c)| c.is_covered_by(key.0, what, at))
                    .map(|(key, _)| *key)
                    .collect()
            }
            PurgeTarget::Group(_) => self
                .copies
                .iter()
                .filter(|(key, c)| c.is_covered_by(key.0, what, at))
                .map(|(key, _)| *key)
                .collect(),
        };
        covered.iter().for_each(|key| self.remove(key));
    }

    /// Time that this number of bytes would take now, behind those already booked on the link.
    pub fn transfer_time(&self, now: Micros, bytes: usize) -> Micros {
        let transfer_at = |rate: f64| (bytes as f64 / rate * 1e6) as Micros;
        transfer_at(self.flow_rate).max(self.link_free_at.saturating_sub(now) + transfer_at(self.link_rate))
    }

    /// Books bytes that are sent on the link.
    pub fn book_transfer(&mut self, now: Micros, bytes: usize) {
        self.link_free_at = self.link_free_at.max(now) + (bytes as f64 / self.link_rate * 1e6) as Micros;
    }

    fn remove(&mut self, key: &Key) {
        if let Some(copy) = self.copies.remove(key) {
            self.by_last_use.remove(&copy.used.get());
        }
    }
}
