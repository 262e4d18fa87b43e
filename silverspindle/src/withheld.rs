//! Applies what the routers have agreed on, members not to use and weights, to the coordinator's list. No
//! I/O.
//!
//! An agreement never puts a member into use that the coordinator withholds: an entry is only ever made less
//! usable here. The module is told of a withheld member as a draining one, by the ordinary list event.

use std::collections::{BTreeMap, BTreeSet};

use bitternhold::{Lifecycle, MemberId};

use crate::feed::ListEntry;

/// The coordinator's entries, and the agreed changes to them.
#[derive(Debug, Default)]
pub struct Withheld {
    entries: BTreeMap<MemberId, ListEntry>,
    /// Members that are not to be used.
    out: BTreeSet<MemberId>,
    /// Agreed weights in per cent of the list's weights.
    weights: BTreeMap<MemberId, u32>,
}

impl Withheld {
    /// Stores list entries from the coordinator or from other routers, and applies what is agreed to them in
    /// place.
    pub fn told(&mut self, complete: bool, members: &mut [ListEntry]) {
        if complete {
            self.entries.clear();
        }
        for m in members {
            match m.member.lifecycle {
                Lifecycle::Gone => drop(self.entries.remove(&m.member.id)),
                _ => drop(self.entries.insert(m.member.id, m.clone())),
            }
            self.mask(m);
        }
    }

    /// Applies what is agreed to an entry.
    fn mask(&self, m: &mut ListEntry) {
        if m.member.lifecycle == Lifecycle::Ready && self.out.contains(&m.member.id) {
            m.member.lifecycle = Lifecycle::Draining;
        }
        if let Some(share) = self.weights.get(&m.member.id) {
            m.member.weight *= f64::from(*share) / 100.0;
        }
    }

    /// Replaces the agreed weights. Returns the entries that change by that.
    pub fn weigh(&mut self, weights: BTreeMap<MemberId, u32>) -> Vec<ListEntry> {
        let before = std::mem::replace(&mut self.weights, weights);
        let differs = |id: &&MemberId| before.get(id) != self.weights.get(id);
        let ids: BTreeSet<MemberId> =
            before.keys().chain(self.weights.keys()).filter(differs).copied().collect();
        let mut changed: Vec<ListEntry> = ids.iter().filter_map(|id| self.entries.get(id).cloned()).collect();
        changed.iter_mut().for_each(|m| self.mask(m));
        changed
    }

    /// Replaces the set of withheld members. Returns the entries that change by that.
    pub fn set(&mut self, out: BTreeSet<MemberId>) -> Vec<ListEntry> {
        let before = std::mem::replace(&mut self.out, out);
        let changed = before.symmetric_difference(&self.out).filter_map(|id| self.entries.get(id).cloned());
        let mut changed: Vec<ListEntry> =
            changed.filter(|m| m.member.lifecycle == Lifecycle::Ready).collect();
        changed.iter_mut().for_each(|m| self.mask(m));
        changed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bitternhold::Member;

    fn entry(id: u32, lifecycle: Lifecycle) -> ListEntry {
        let member = Member {
            id: MemberId(u64::from(id)),
            lifecycle,
            zone: 0,
            kind: 0,
            cell: 1,
            weight: 1.0,
            started: 0,
        };
        ListEntry { member, address: ([127, 0, 0, 1], 1).into() }
    }

    fn states(all: &[ListEntry]) -> Vec<(u64, Lifecycle)> {
        all.iter().map(|m| (m.member.id.0, m.member.lifecycle)).collect()
    }

    /// Agreed weights scale the weights of the list, also in later entries; without an agreed weight the
    /// list's holds again.
    #[test]
    fn agreed_weights_scale_the_lists() {
        let mut withheld = Withheld::default();
        withheld.told(true, &mut [entry(1, Lifecycle::Ready), entry(2, Lifecycle::Ready)]);
        let changed = withheld.weigh([(MemberId(1), 25)].into());
        assert_eq!(changed.iter().map(|m| (m.member.id.0, m.member.weight)).collect::<Vec<_>>(), [(1, 0.25)]);
        let mut again = [entry(1, Lifecycle::Ready)];
        withheld.told(false, &mut again);
        assert_eq!(again[0].member.weight, 0.25);
        assert_eq!(withheld.weigh(BTreeMap::new())[0].member.weight, 1.0);
    }

    /// A member that is agreed to be withheld drains although the coordinator lists it as ready, also when it
    /// is listed again or after a restart. A member that the coordinator drains is not put into use by any
    /// agreement.
    #[test]
    fn the_coordinators_drain_outranks_and_an_agreed_out_holds() {
        use Lifecycle::{Draining, Gone, Ready};
        let mut withheld = Withheld::default();
        let mut list = [entry(1, Ready), entry(2, Draining), entry(3, Ready)];
        withheld.told(true, &mut list);
        assert_eq!(states(&list), [(1, Ready), (2, Draining), (3, Ready)]);
        let out = BTreeSet::from([MemberId(1), MemberId(2)]);
        assert_eq!(states(&withheld.set(out)), [(1, Draining)]);
        let mut again = [entry(1, Ready), entry(2, Ready)];
        withheld.told(false, &mut again);
        assert_eq!(states(&again), [(1, Draining), (2, Draining)]);
        let mut drains = [entry(1, Draining), entry(3, Gone)];
        withheld.told(false, &mut drains);
        assert_eq!(
            states(&withheld.set(BTreeSet::new())),
            [(2, Ready)],
            "1 drains by the coordinator's word"
        );
    }
}
