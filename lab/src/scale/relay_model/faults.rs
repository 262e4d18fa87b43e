//! What goes wrong in a scenario, and when.

use silverspindle_relay::Micros;

use super::super::scenario::{self, CUT_SECONDS, Scenario};
use super::super::tree::{Part, Shape};
use super::super::{MS, Run, SECOND};
use super::{Model, What};

/// Faults begin so long after the measuring does.
const AFTER: Micros = 3 * SECOND;
/// A zone is gone for so long at most.
const ZONE_GONE: Micros = 12 * SECOND;
/// A router that is restarted is gone for so long, and one whose machine fails.
const RESTARTS_WITHIN: Micros = SECOND;
const REPLACED_WITHIN: Micros = 10 * SECOND;
/// The relay that dies, among the relays, and the zone that is hit.
const DEAD_RELAY: usize = 0;
const HIT_ZONE: usize = 0;

/// Which region is cut off, where one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CutRegion {
    /// One with a relay, which goes on with its routers there and loses its source.
    WithRelay,
    /// One without: its routers lose their relays.
    WithoutRelay,
}

impl CutRegion {
    pub(super) const ALL: [CutRegion; 2] = [CutRegion::WithRelay, CutRegion::WithoutRelay];

    pub(super) fn name(self) -> &'static str {
        match self {
            CutRegion::WithRelay => "with a relay",
            CutRegion::WithoutRelay => "without a relay",
        }
    }

    fn region(self, shape: &Shape) -> usize {
        match self {
            CutRegion::WithRelay => 0,
            CutRegion::WithoutRelay => shape.relays,
        }
    }
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The next router in turn goes away and comes back.
    Churn,
    /// A zone's machines are gone.
    ZoneLost,
    /// They are back.
    ZoneBack,
    /// A region is cut off.
    Cut,
    /// It just before that heals.
    BeforeHealing,
    /// It heals.
    Heal,
    /// A relay's machine dies and stays dead.
    RelayDies,
}

/// How long a region is cut off in a run.
pub(super) fn cut_for(run: Run) -> Micros {
    run.seconds.saturating_sub(5).clamp(8, CUT_SECONDS) * SECOND
}

fn zone_gone_for(run: Run) -> Micros {
    (run.seconds * SECOND / 2).min(ZONE_GONE)
}

impl Model {
    pub(super) fn plan_faults(&mut self) {
        let at = self.measure_from + AFTER;
        let faults = match self.run.scenario {
            Scenario::Churn => vec![(self.measure_from, Fault::Churn)],
            Scenario::Zone => vec![(at, Fault::ZoneLost), (at + zone_gone_for(self.run), Fault::ZoneBack)],
            Scenario::Region => {
                let healed = at + cut_for(self.run);
                vec![(at, Fault::Cut), (healed - MS, Fault::BeforeHealing), (healed, Fault::Heal)]
            }
            Scenario::Relay => vec![(at, Fault::RelayDies)],
            _ => vec![],
        };
        for (at, fault) in faults {
            self.queue.push(at, What::Fault(fault));
        }
    }

    /// What the scenario does, for the row's reader.
    pub(super) fn faults_note(&self) -> String {
        match self.run.scenario {
            Scenario::Churn => format!(
                "30 failures and 760 restarts a day of 5,600 routers, {} times as fast: {} in the measured time",
                scenario::CHURN_COMPRESSED,
                self.gone
            ),
            Scenario::Zone => {
                format!(
                    "{} routers gone at once for {} s",
                    self.zone().len(),
                    zone_gone_for(self.run) / SECOND
                )
            }
            Scenario::Region => format!(
                "a region cut off; an hour is {} s here, and fewer records are kept than come in it",
                cut_for(self.run) / SECOND
            ),
            Scenario::Relay => "a relay's machine dies without a word and stays dead".to_owned(),
            Scenario::Start => "all routers start within a second, control machines run already".to_owned(),
            _ => "no faults".to_owned(),
        }
    }

    fn zone(&self) -> Vec<usize> {
        let all = 0..self.places.len();
        all.filter(|process| self.places[*process].zone == Some(HIT_ZONE)).collect()
    }

    pub(super) fn is_in_cut_region(&self, process: usize) -> bool {
        self.places[process].region == self.cuts.region(&self.shape)
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Churn => self.churn(),
            Fault::ZoneLost => self.zone().into_iter().for_each(|process| self.die(process, true)),
            Fault::ZoneBack => {
                for process in self.zone() {
                    self.queue.push(self.now, What::Start { process });
                }
            }
            Fault::Cut => self.cut = Some(self.cuts.region(&self.shape)),
            Fault::BeforeHealing => self.look_at_cut_region(),
            Fault::Heal => self.cut = None,
            Fault::RelayDies => self.die(self.shape.sources + DEAD_RELAY, true),
        }
    }

    /// A process dies; its machine with it, or not.
    fn die(&mut self, process: usize, with_machine: bool) {
        self.mix(8, process, u64::from(with_machine));
        self.end_all(process, !with_machine);
        let state = &mut self.processes[process];
        state.node = None;
        state.silent = with_machine;
        state.following = None;
        self.following_now.remove(&process);
    }

    /// One router goes away, and comes back in its place.
    fn churn(&mut self) {
        let every = scenario::churn_every(self.run.routers);
        if self.now + every < self.measure_to {
            self.queue.push(self.now + every, What::Fault(Fault::Churn));
        }
        let routers = self.run.routers;
        // A step that goes through all routers, whatever their number.
        let router = (self.gone as usize).wrapping_mul(7919) % routers;
        let process = self.shape.control() + router;
        debug_assert_eq!(self.places[process].part, Part::Router);
        if self.processes[process].node.is_none() {
            return;
        }
        let fails = scenario::is_failure(self.gone);
        self.gone += 1;
        self.die(process, fails);
        let back = if fails { REPLACED_WITHIN } else { RESTARTS_WITHIN };
        self.queue.push(self.now + back, What::Start { process });
    }
}
