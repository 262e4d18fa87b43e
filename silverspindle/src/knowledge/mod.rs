//! What the router knows that others could use, and what it makes of their word: the store and the list's ranks
//! of `silverspindle-knowledge`, between the director, the exchange and the snapshots. Off unless the operators'
//! file turns one of the two on.

use std::collections::BTreeMap;
use std::time::Instant;

use bitternhold::{
    self as module, ALL_GROUPS, Inherited, InheritedLimit, InheritedMember, MemberId, MemberReport, Micros,
    Settings,
};
use silverspindle_conf::HalfLives;
use silverspindle_knowledge::list::{self, OwnList};
use silverspindle_knowledge::store::{CLOCK_START, Store};
use silverspindle_knowledge::{Aspect, Ids, InstanceId, Item, Lifecycle, Source, Subject, Value};

use crate::clock::{self, Stamp};
use crate::feed::{ListEntry, PurgeTarget};

pub mod exchange;
pub mod keys;
pub mod snapshots;

/// Purges told by the coordinator that are remembered besides the store's, which forgets what is past.
const MOST_PURGES: usize = 65_536;
/// Groups that a purge can name.
const GROUPS: u64 = 256;

/// A steady clock in microseconds: it never goes back, whatever is done to the Unix clock.
#[derive(Clone, Copy, Debug)]
pub struct Steady {
    began: Instant,
}

impl Steady {
    /// Starts it at the time that the store counts from.
    pub fn start() -> Self {
        Self { began: Instant::now() }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        CLOCK_START + self.up()
    }

    /// Since its start.
    pub fn up(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }
}

/// What taking others' items in led to, for the director to carry out.
#[derive(Debug, Default)]
pub struct Learnt {
    /// Purges that the router had not heard of.
    pub purges: Vec<(PurgeTarget, Stamp)>,
    /// What the module starts from.
    pub inherited: Inherited,
    /// Items refused as out of their ranges.
    pub refused: usize,
}

/// See the module's text.
#[derive(Debug)]
pub struct Knowledge {
    /// Who this router is.
    pub me: Source,
    /// Its steady clock.
    pub steady: Steady,
    store: Store,
    list: OwnList,
    /// The own list's entries, to be told again with another state.
    entries: BTreeMap<MemberId, ListEntry>,
    /// What the director acts by, where that is not the own list's word.
    overruled: BTreeMap<MemberId, list::Listed>,
    /// Purges that the director knows of.
    purges: BTreeMap<silverspindle_knowledge::Purged, Micros>,
}

fn lifecycle(of: module::Lifecycle) -> Lifecycle {
    match of {
        module::Lifecycle::Ready => Lifecycle::Ready,
        module::Lifecycle::Draining => Lifecycle::Draining,
        module::Lifecycle::Gone => Lifecycle::Gone,
    }
}

fn named(what: PurgeTarget) -> silverspindle_knowledge::Purged {
    match what {
        PurgeTarget::Object(key) => silverspindle_knowledge::Purged::Object(key),
        PurgeTarget::Group(ALL_GROUPS) => silverspindle_knowledge::Purged::All,
        PurgeTarget::Group(group) => silverspindle_knowledge::Purged::Group(group),
    }
}

impl Knowledge {
    /// Of the router of this name, which starts now.
    pub fn new(name: &str, conf: HalfLives, settings: &Settings) -> Self {
        let me = Source { instance: InstanceId::of(name), incarnation: clock::now() };
        Self {
            me,
            steady: Steady::start(),
            store: Store::new(me, conf, settings.purge_complete_within + settings.purge_grace),
            list: OwnList::default(),
            entries: BTreeMap::new(),
            overruled: BTreeMap::new(),
            purges: BTreeMap::new(),
        }
    }

    /// Takes other half-lives from now on.
    pub fn reload(&mut self, conf: HalfLives) {
        self.store.set_half_lives(conf);
    }

    /// The coordinator has nothing more to tell: the own list is current.
    pub fn heard(&mut self) {
        self.list.heard(self.steady.now());
    }

    /// The coordinator's word on members, as the director has taken it in.
    pub fn listed(&mut self, complete: bool, members: &[ListEntry]) {
        if complete {
            self.entries.clear();
            self.overruled.clear();
        }
        for m in members {
            self.overruled.remove(&m.member.id);
            self.entries.insert(m.member.id, m.clone());
        }
        self.entries.retain(|_, m| m.member.lifecycle != module::Lifecycle::Gone);
        let entry = |m: &ListEntry| {
            let state = list::Listed { lifecycle: lifecycle(m.member.lifecycle), started: m.member.started };
            (m.member.id.0, state)
        };
        self.list.told(complete, members.iter().map(entry));
    }

    /// The coordinator's word on a purge.
    pub fn purged(&mut self, what: PurgeTarget, at: Stamp) {
        let (what, at) = (named(what), at.as_micros());
        self.store.purged(clock::now(), what, at);
        let slot = self.purges.entry(what).or_insert(at);
        *slot = at.max(*slot);
        if self.purges.len() > MOST_PURGES {
            self.purges = self.store.purges().collect();
        }
    }

    /// Entries whose state is another than what the director acts by: others' word came in, or has been
    /// overtaken by the own list. A member that is gone by hearsay is withheld like a draining one, and kept.
    pub fn review(&mut self) -> Vec<ListEntry> {
        let effective = self.list.effective(self.store.hearsay());
        let mut changed = Vec::new();
        for (id, entry) in &self.entries {
            let Some(now) = effective.get(&id.0) else { continue };
            let own =
                list::Listed { lifecycle: lifecycle(entry.member.lifecycle), started: entry.member.started };
            let before = self.overruled.get(id).copied().unwrap_or(own);
            if *now == before {
                continue;
            }
            match *now == own {
                true => self.overruled.remove(id),
                false => self.overruled.insert(*id, *now),
            };
            let mut entry = entry.clone();
            entry.member.started = now.started;
            entry.member.lifecycle = match now.lifecycle {
                Lifecycle::Ready => module::Lifecycle::Ready,
                Lifecycle::Draining | Lifecycle::Gone => module::Lifecycle::Draining,
            };
            changed.push(entry);
        }
        changed
    }

    /// All that can be told, with what the module saw up to now.
    pub fn give(&mut self, report: module::Report) -> Vec<Item> {
        let (now, up) = (self.steady.now(), self.steady.up());
        let met: u32 = report.members.iter().fold(0, |all, m| all.saturating_add(m.attempts_ended));
        if let Some(current) = self.list.current() {
            for (id, list::Listed { lifecycle, started }) in self.list.entries().collect::<Vec<_>>() {
                let value = Value::Listed { lifecycle, started };
                self.store.observe(current, up, Subject::Member(id, Aspect::Listed), 1, value);
            }
        }
        for MemberReport {
            id,
            started,
            attempts_ended: met,
            fault_rate: ill,
            quarantine: aside,
            limit,
            late_rate: lateness,
        } in report.members
        {
            let (ill, limit, lateness) = (ill as f32, limit as f32, lateness as f32);
            let health = Value::Health { started, ill: ill.clamp(0.0, 1.0), aside };
            self.store.observe(now, up, Subject::Member(id.0, Aspect::Health), met, health);
            let pace = Value::Pace { started, limit, lateness: lateness.clamp(0.0, 1.0) };
            self.store.observe(now, up, Subject::Member(id.0, Aspect::Pace), met, pace);
        }
        if report.warm_rate.iter().any(|rate| *rate > 0.0) {
            let rates = Value::Rates(report.warm_rate.map(|rate| rate as f32));
            self.store.observe(now, up, Subject::Rates, met, rates);
        }
        if met > 0 {
            let [limits, lateness] = [report.fills.map(|f| f.0 as f32), report.fills.map(|f| f.1 as f32)];
            let lateness = lateness.map(|share| share.clamp(0.0, 1.0));
            self.store.observe(now, up, Subject::Fills, met, Value::Fills { limits, lateness });
        }
        let [active, passive] = report.seen_ids.map(Ids::new);
        if !(active.is_empty() && passive.is_empty()) {
            self.store.observe(now, up, Subject::Filter, met, Value::Filter { active, passive });
        }
        self.store.trim(now, clock::now());
        self.store.give(now)
    }

    /// Takes another's items in, which were on the way for `transit` at most.
    pub fn take(&mut self, transit: Micros, items: Vec<Item>) -> Learnt {
        let (now, unix) = (self.steady.now(), clock::now());
        let refused = self.store.take(now, unix, transit, items);
        let mut purges = Vec::new();
        let known = std::mem::take(&mut self.purges);
        for (what, at) in self.store.purges() {
            self.purges.insert(what, at);
            if known.get(&what).is_some_and(|before| *before >= at) {
                continue;
            }
            let at = Stamp::from_micros(at);
            match what {
                silverspindle_knowledge::Purged::Object(key) => purges.push((PurgeTarget::Object(key), at)),
                silverspindle_knowledge::Purged::Group(group) => purges.push((PurgeTarget::Group(group), at)),
                silverspindle_knowledge::Purged::All => {
                    purges.extend((0..GROUPS).map(|group| (PurgeTarget::Group(group), at)));
                }
            }
        }
        let started: BTreeMap<u64, Micros> = self
            .list
            .effective(self.store.hearsay())
            .into_iter()
            .map(|(id, listed)| (id, listed.started))
            .collect();
        let priors = self.store.priors(now, &started);
        let members = priors.members.into_iter().map(|m| InheritedMember {
            id: MemberId(m.id),
            started: started.get(&m.id).copied().unwrap_or_default(),
            fault_rate: m.ill,
            fault_rate_weight: m.health_weight,
            quarantine: m.aside,
            concurrency: InheritedLimit { limit: m.limit, late_rate: m.lateness, weight: m.pace_weight },
        });
        // A rate has no prior to weigh against: half a word is used whole, less is none.
        let warm_rate = priors.rates.filter(|(_, weight)| *weight >= 0.5).map_or([0.0; 2], |(r, _)| r);
        let fills = priors.fills.map_or_else(Default::default, |(limits, lateness, weight)| {
            [0, 1].map(|i| InheritedLimit { limit: limits[i], late_rate: lateness[i], weight })
        });
        let inherited = Inherited { members: members.collect(), fills, warm_rate, seen_ids: priors.filter };
        Learnt { purges, inherited, refused }
    }
}
