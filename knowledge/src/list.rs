//! The router's own list against others' word of theirs.
//!
//! What outranks what, and why:
//!
//! 1. The coordinator's word to this router, as far as its list is known to be current: it tells all routers
//!    the same, in the same order, so a list that is current later knows all that an earlier one knew.
//! 2. Another's word that a member drains or is gone, where the own list is not known to be current past that
//!    word by [`SETTLE`]. Not heeding it would send work to a box that was taken out; heeding a wrong one
//!    costs a box for as long as the own list takes to become current, seconds.
//! 3. The own list as it was read back at the start.
//! 4. Another's word that a member is ready changes nothing, ever: it may be from before a drain.
//!
//! A word on an earlier process of a member says nothing of a later one. A word of a later process than the
//! own list has is taken for its start: the member is cold, which errs to the safe side.

use std::collections::BTreeMap;

use crate::facts::Lifecycle;
use crate::{Micros, SECOND};

/// Ages of others' words are too high by what they took on the way and by what their list lagged behind; by
/// so much at most.
pub const SETTLE: Micros = 3 * SECOND;
/// Tombstones kept of members that are gone.
const MOST_GONE: usize = 1024;

/// An entry of the own list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Listed {
    /// The member's state.
    pub lifecycle: Lifecycle,
    /// When its process started, by the coordinator.
    pub started: Micros,
}

/// The router's own list, and until when it is known to be current.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OwnList {
    current: Option<Micros>,
    members: BTreeMap<u64, Listed>,
}

impl OwnList {
    /// The coordinator was heard: the list is current as of now.
    pub fn heard(&mut self, now: Micros) {
        self.current = Some(self.current.map_or(now, |at| at.max(now)));
    }

    /// When the list was known to be current last; none: never since the start.
    pub fn current(&self) -> Option<Micros> {
        self.current
    }

    /// Takes entries in; where they are all there are, what they lack is gone.
    pub fn told(&mut self, complete: bool, entries: impl Iterator<Item = (u64, Listed)>) {
        if complete {
            self.members.values_mut().for_each(|m| m.lifecycle = Lifecycle::Gone);
        }
        self.members.extend(entries);
        let gone = self.members.iter().filter(|(_, m)| m.lifecycle == Lifecycle::Gone).map(|(id, _)| *id);
        let gone: Vec<u64> = gone.collect();
        // Lower ids first, for want of a time: tombstones serve newcomers with old lists only.
        for id in &gone[..gone.len().saturating_sub(MOST_GONE)] {
            self.members.remove(id);
        }
    }

    /// The own entries.
    pub fn entries(&self) -> impl Iterator<Item = (u64, Listed)> + '_ {
        self.members.iter().map(|(id, m)| (*id, *m))
    }

    /// The entries with others' words weighed in, by the ranks above: what the router is to act by. Members that
    /// the own list never had stay out, whatever others say of them: there is no address to them.
    pub fn effective(
        &self,
        hearsay: impl Iterator<Item = (u64, Lifecycle, Micros, Micros)>,
    ) -> BTreeMap<u64, Listed> {
        let mut effective = self.members.clone();
        let mut words: Vec<(u64, Lifecycle, Micros, Micros)> = hearsay
            .filter(|(.., seen)| self.current.is_none_or(|at| at < seen.saturating_add(SETTLE)))
            .collect();
        // The latest process first: what others say of earlier ones is about them alone.
        words.sort_unstable_by_key(|(id, lifecycle, started, _)| {
            (*id, std::cmp::Reverse(*started), std::cmp::Reverse(*lifecycle))
        });
        for (id, lifecycle, started, _) in words {
            let own = effective.get_mut(&id).filter(|m| m.lifecycle != Lifecycle::Gone);
            if let Some(m) = own.filter(|m| started >= m.started) {
                m.started = started;
                m.lifecycle = m.lifecycle.max(lifecycle);
            }
        }
        effective
    }
}
