//! Copies of the router's own: answers of caches that are kept in memory, as far as purges, ages and memory
//! allow, and the time that their bytes take on the router's link. What is served from here the module
//! decides.
//!
//! A request that was offered a copy holds it ([`Copies::get`] hands out a counted reference): such a copy is not displaced by
//! others, and its bytes count as long as anybody holds them, so that the memory stays bounded.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bitternhold::{EVERY_GROUP, Micros};
use bytes::Bytes;

use crate::clock::Stamp;
use crate::feed::PurgeTarget;

/// A purge is held against answers that were under way for so long after it was told.
const PURGE_KEPT: Micros = 30_000_000;
/// Memory booked for each copy besides its bytes.
const ENTRY: usize = 256;
/// Telling a client that its copy holds costs this part of its bytes' time.
const HOLDS_PART: usize = 20;

/// A part of an object, as a class asks for it.
pub type Key = (u64, u64, usize);

/// Memory booked for a copy while anybody holds it.
#[derive(Debug)]
struct Booked {
    all: Rc<Cell<usize>>,
    own: usize,
}

impl Drop for Booked {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.own);
    }
}

/// A copy.
#[derive(Debug)]
pub struct Copy {
    /// Its bytes.
    pub body: Bytes,
    /// Its tag.
    pub tag: Bytes,
    /// When the origin gave it out.
    pub stamp: Stamp,
    seen: Cell<Micros>,
    group: u64,
    used: Cell<u64>,
    _booked: Booked,
}

impl Copy {
    /// When a cache last answered with it.
    pub fn seen(&self) -> Micros {
        self.seen.get()
    }

    /// Whether this purge is of it.
    pub fn falls_to(&self, object: u64, what: PurgeTarget, at: Stamp) -> bool {
        let named = match what {
            PurgeTarget::Object(key) => key == object,
            PurgeTarget::Group(group) => group == self.group || group == EVERY_GROUP,
        };
        named && self.stamp <= at
    }

    /// Bytes on the link for an answer from it; a client that holds it is told so alone.
    pub fn bytes(&self, holds: bool) -> usize {
        if holds { self.body.len() / HOLDS_PART } else { self.body.len() }
    }
}

/// The copies, and the link.
#[derive(Debug, Default)]
pub struct Copies {
    room: usize,
    held: Rc<Cell<usize>>,
    copies: BTreeMap<Key, Rc<Copy>>,
    /// By last use, the oldest first.
    order: BTreeMap<u64, Key>,
    uses: u64,
    purges: BTreeMap<PurgeTarget, (Stamp, Micros)>,
    /// Bytes a second of one transfer and of all together; when the link has sent what it has.
    flow: f64,
    link: f64,
    free: Micros,
}

impl Copies {
    /// Copies in so much memory, on a link of so many bytes a second for one transfer and for all. Without
    /// these figures none are kept.
    pub fn new(room: usize, flow: f64, link: f64) -> Self {
        let room = if flow > 0.0 && link > 0.0 { room } else { 0 };
        Self { room, flow, link, ..Self::default() }
    }

    /// Takes so many bytes from now on; what is over goes, the longest unused first.
    pub fn set_room(&mut self, room: usize) {
        if self.flow > 0.0 && self.link > 0.0 {
            self.room = room;
        }
        while self.held.get() > self.room && self.displace() {}
    }

    /// Drops the copy that was unused for longest and that no request holds; false if there is none.
    fn displace(&mut self) -> bool {
        let unheld = |key: &&Key| self.copies.get(key).is_some_and(|copy| Rc::strong_count(copy) == 1);
        let Some(oldest) = self.order.values().find(unheld).copied() else { return false };
        self.remove(&oldest);
        true
    }

    /// Keeps an answer's copy. The bytes are copied: a slice would hold the whole buffer it was read into.
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

    /// Whether a copy of this part that the origin gave out then is held to be purged.
    pub fn is_purged(&self, key: &Key, group: u64, stamp: Stamp) -> bool {
        let purged = [PurgeTarget::Object(key.0), PurgeTarget::Group(group), PurgeTarget::Group(EVERY_GROUP)];
        purged.iter().filter_map(|what| self.purges.get(what)).any(|(at, _)| stamp <= *at)
    }

    /// A cache said that this copy is the one still.
    pub fn confirm(&mut self, now: Micros, key: Key, tag: &[u8]) {
        if let Some(copy) = self.copies.get(&key).filter(|c| c.tag == tag) {
            copy.seen.set(now);
        }
    }

    /// The copy of a part; who clones the reference holds it.
    pub fn get(&self, key: &Key) -> Option<&Rc<Copy>> {
        self.copies.get(key)
    }

    /// Notes a use of it, so that it stays.
    pub fn touch(&mut self, key: &Key) {
        if let Some(copy) = self.copies.get(key) {
            self.uses += 1;
            self.order.remove(&copy.used.replace(self.uses));
            self.order.insert(self.uses, *key);
        }
    }

    /// Drops what is older than a purge, now and when it comes in late.
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

    /// How long so many bytes would take now, behind those that are on the link.
    pub fn wait(&self, now: Micros, bytes: usize) -> Micros {
        let micros = |rate: f64| (bytes as f64 / rate * 1e6) as Micros;
        micros(self.flow).max(self.free.saturating_sub(now) + micros(self.link))
    }

    /// Books bytes that go out on the link.
    pub fn send(&mut self, now: Micros, bytes: usize) {
        self.free = self.free.max(now) + (bytes as f64 / self.link * 1e6) as Micros;
    }

    fn remove(&mut self, key: &Key) {
        if let Some(copy) = self.copies.remove(key) {
            self.order.remove(&copy.used.get());
        }
    }
}
