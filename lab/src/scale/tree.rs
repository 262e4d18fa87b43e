//! Who is where: control machines and routers by region and zone, each one's parents, and how long a message takes.

use super::{MS, Micros};

/// The fleet's shape; the defaults are the target's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Processes that follow the coordinator.
    pub sources: usize,
    /// Processes between them and the routers. With 5,600 routers 8 have 590 to 737 each, by zones.
    pub relays: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// Relays that a router names.
    pub choices: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self { sources: 2, relays: 8, zones: 38, regions: 14, choices: 3 }
    }
}

/// A process's part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// See [`Shape::sources`].
    Source,
    /// See [`Shape::relays`].
    Relay,
    /// A router.
    Router,
}

/// A process's place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its part.
    pub part: Part,
    /// Its zone; control machines are of no router's zone.
    pub zone: Option<usize>,
    /// Its region.
    pub region: usize,
    /// Its parents by index, the preferred one first.
    pub parents: Vec<usize>,
}

/// One way within a region; assumed.
pub const NEAR: Micros = 2 * MS;
/// One way between regions; assumed.
pub const FAR: Micros = 40 * MS;

/// One way between two regions, without its variation.
pub fn one_way(from_region: usize, to_region: usize) -> Micros {
    if from_region == to_region { NEAR } else { FAR }
}

impl Shape {
    /// Control machines.
    pub fn control(&self) -> usize {
        self.sources + self.relays
    }

    /// The region that the coordinator is in: the last one, which no scenario cuts off.
    pub fn coordinator_region(&self) -> usize {
        self.regions - 1
    }

    /// The relay that routers of a zone prefer: their region's, else one in turn.
    fn relay_of_zone(&self, zone: usize) -> usize {
        let region = zone % self.regions;
        if region < self.relays {
            return region;
        }
        let without = self.regions - self.relays.min(self.regions);
        let turn = (zone / self.regions) * without + (region - self.relays);
        turn % self.relays
    }

    /// All processes: sources, relays, then so many routers.
    pub fn places(&self, routers: usize) -> Vec<Place> {
        let mut places = Vec::with_capacity(self.control() + routers);
        for source in 0..self.sources {
            let region = (self.coordinator_region() + self.regions - source) % self.regions;
            places.push(Place { part: Part::Source, zone: None, region, parents: vec![] });
        }
        for relay in 0..self.relays {
            let parents = (0..self.sources).map(|n| (relay + n) % self.sources).collect();
            places.push(Place { part: Part::Relay, zone: None, region: relay % self.regions, parents });
        }
        for router in 0..routers {
            let zone = router % self.zones;
            let first = self.relay_of_zone(zone);
            // Routers of one relay name different second ones, so that the others share its load.
            let step = 1 + (router / self.zones) % self.relays.saturating_sub(1).max(1);
            let mut parents: Vec<usize> = Vec::new();
            for n in 0..self.relays {
                let relay = self.sources + (first + n * step) % self.relays;
                if !parents.contains(&relay) && parents.len() < self.choices {
                    parents.push(relay);
                }
            }
            let region = zone % self.regions;
            places.push(Place { part: Part::Router, zone: Some(zone), region, parents });
        }
        places
    }
}
