//! Shares of a fleet's limit: what each router may take of it, and how that is held to.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// A limit, whole, in the parts in which shares are counted.
pub const WHOLE: u32 = 1_000_000;
/// A part is given out evenly, so that who had no demand is not without when it comes.
const EVEN: u32 = WHOLE / 10;
/// Shares that differ by less are not worth a change.
const WORTH: u32 = WHOLE / 50;
/// A bucket holds what comes in so long; one fill at least.
const BURST: Micros = 250_000;

/// What a router asked for lately, in fills a second, in thousandths.
pub type Demand = u32;

/// The agreed shares, in millionths of each limit. Who is not named has none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// What holds.
    pub current: BTreeMap<String, u32>,
    /// What is to hold; until it does each router has the lesser of the two.
    pub next: Option<BTreeMap<String, u32>>,
    /// Counts the changes.
    pub turn: u64,
}

impl Shares {
    /// As agreed; none: it can't be read.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        match postcard::take_from_bytes(bytes) {
            Ok((shares, [])) => Some(shares),
            _ => None,
        }
    }

    /// To be agreed.
    pub fn spell(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// A router's share. `apart`: the guard by which it takes the lesser one while another is on its way.
    pub fn of(&self, name: &str, apart: bool) -> u32 {
        let part = |shares: &BTreeMap<String, u32>| shares.get(name).copied().unwrap_or(0);
        match &self.next {
            None => part(&self.current),
            Some(next) if apart => part(&self.current).min(part(next)),
            Some(next) => part(next),
        }
    }

    /// Another sharing out is on its way, where one is worth it.
    pub fn propose(&self, next: BTreeMap<String, u32>) -> Option<Self> {
        let names = next.keys().chain(self.current.keys());
        let part = |shares: &BTreeMap<String, u32>, name: &String| shares.get(name).copied().unwrap_or(0);
        let differs = |name: &String| {
            let (old, new) = (part(&self.current, name), part(&next, name));
            old.abs_diff(new) >= WORTH.min(old.max(new) / 2 + 1) && old != new
        };
        let worth = self.next.is_none() && names.into_iter().any(differs);
        worth.then(|| Self { current: self.current.clone(), next: Some(next), turn: self.turn + 1 })
    }

    /// What is on its way holds everywhere.
    pub fn settled(&self) -> Self {
        match self.next.clone() {
            Some(next) => Self { current: next, next: None, turn: self.turn + 1 },
            None => self.clone(),
        }
    }
}

/// Shares a limit out by demand; never more than the whole.
pub fn share_out(demands: &BTreeMap<String, Demand>) -> BTreeMap<String, u32> {
    let count = demands.len().max(1) as u64;
    let all: u64 = demands.values().map(|d| u64::from(*d)).sum();
    let part = |demand: Demand| match all {
        0 => u64::from(WHOLE) / count,
        all => u64::from(EVEN) / count + u64::from(WHOLE - EVEN) * u64::from(demand) / all,
    };
    demands.iter().map(|(name, demand)| (name.clone(), part(*demand) as u32)).collect()
}

/// Holds one router to its share of one limit.
///
/// Guards against more than the limit at a scarce source. In any time t it lets `rate * t` through and what
/// [`BURST`] brings, one at least; a router that starts anew begins with none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    /// Millionths of a fill.
    held: u64,
    at: Option<Micros>,
}

impl Bucket {
    fn most(rate: u64) -> u64 {
        (rate * BURST / 1_000_000).max(1_000_000)
    }

    /// Takes one, at a rate in millionths of a fill a second; false: there is none to take.
    pub fn take(&mut self, now: Micros, rate: u64) -> bool {
        let since = now.saturating_sub(self.at.unwrap_or(now));
        self.at = Some(now);
        let more = (u128::from(rate) * u128::from(since) / 1_000_000) as u64;
        self.held = self.held.saturating_add(more).min(Self::most(rate));
        let takes = rate > 0 && self.held >= 1_000_000;
        if takes {
            self.held -= 1_000_000;
        }
        takes
    }

    /// One was not used: it hit.
    pub fn put_back(&mut self) {
        self.held = self.held.saturating_add(1_000_000);
    }
}
