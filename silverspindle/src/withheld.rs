//! Members that the routers have agreed not to use, over the coordinator's list. No I/O.
//!
//! Nothing agreed brings into use what the coordinator withholds: an entry is only ever made less usable here. A member
//! that is withheld is told to the module as draining, by the event that exists for it.

use std::collections::{BTreeMap, BTreeSet};

use bitternhold::{Lifecycle, MemberId};

use crate::feed::ListEntry;

/// The coordinator's entries, and who is withheld of them.
#[derive(Debug, Default)]
pub struct Withheld {
    entries: BTreeMap<MemberId, ListEntry>,
    out: BTreeSet<MemberId>,
    /// In per cent of the list's.
    weights: BTreeMap<MemberId, u32>,
}

impl Withheld {
    /// Takes in what is told of members, by the coordinator or by hearsay, and makes of it what may be acted by.
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

    fn mask(&self, m: &mut ListEntry) {
        if m.member.lifecycle == Lifecycle::Ready && self.out.contains(&m.member.id) {
            m.member.lifecycle = Lifecycle::Draining;
        }
        if let Some(share) = self.weights.get(&m.member.id) {
            m.member.weight *= f64::from(*share) / 100.0;
        }
    }

    /// Other weights hold from now on: the entries that change by that.
    pub fn weigh(&mut self, weights: BTreeMap<MemberId, u32>) -> Vec<ListEntry> {
        let before = std::mem::replace(&mut self.weights, weights);
        let differs = |id: &&MemberId| before.get(id) != self.weights.get(id);
        let ids: BTreeSet<MemberId> =
            before.keys().chain(self.weights.keys()).filter(differs).copied().collect();
        let mut changed: Vec<ListEntry> = ids.iter().filter_map(|id| self.entries.get(id).cloned()).collect();
        changed.iter_mut().for_each(|m| self.mask(m));
        changed
    }

    /// Others are withheld from now on: the entries that change by that.
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

    /// Agreed weights scale the list's, also what it says anew, and go back with it.
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

    /// What is agreed withholds what the coordinator calls ready, also where it says so again or the member comes back
    /// with a new start; what the coordinator withholds nothing agreed brings into use.
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
