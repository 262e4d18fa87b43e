//! What is known by hearsay: the merge, its bounds, and what it comes to.
//!
//! The merge is a join. Of one source's word on one subject the latest version stays, by incarnation and
//! count, so what comes round in a ring gains nothing. When it was seen is the latest of all estimates: ages
//! grow on the way and never shrink, so every estimate is on the old side, and a later version can't have been
//! seen before an earlier one. Where there are too many sources or members a sample of them stays, by a hash of
//! their ids: the same one whatever came first, which "the latest" would not be, as a version that was dropped
//! for its age may be the one that counts. What has faded makes room.

use std::collections::{BTreeMap, BTreeSet};

use crate::facts::*;
use crate::{Micros, SECOND, mix};

/// Sources kept of each subject; filters are larger, so fewer of those.
const SOURCES: usize = 8;
const FILTERS: usize = 4;
/// Members and purges kept: some ten times what the largest list has.
const MEMBERS: usize = 4096;
const PURGES: usize = 16_384;
/// Half the weight has who was up for so long; who saw so much.
const SEASONED: f64 = 30e6;
const SEEN_ENOUGH: f64 = 8.0;
/// What a passing-on leaves of the weight.
const HOP: f64 = 0.9;
/// Less than this is no word any more.
const LEAST_WEIGHT: f64 = 0.01;
/// Clocks of the coordinator and the routers may be so far apart.
pub const CLOCK_ERROR: Micros = 60 * SECOND;

/// How fast another's word loses weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HalfLives {
    /// Faults and stalls.
    pub health: Micros,
    /// Limits.
    pub pace: Micros,
    /// What warm members take.
    pub rates: Micros,
    /// Objects asked for lately.
    pub filter: Micros,
}

impl Default for HalfLives {
    fn default() -> Self {
        Self { health: 5 * SECOND, pace: 10 * SECOND, rates: 60 * SECOND, filter: 60 * SECOND }
    }
}

impl HalfLives {
    fn of(&self, subject: Subject) -> Micros {
        match subject {
            Subject::Member(_, Aspect::Health) => self.health,
            Subject::Member(_, Aspect::Pace) | Subject::Fills => self.pace,
            // A list's word does not fade: it is set against the own list, see `list`.
            Subject::Member(_, Aspect::Listed) => OLDEST,
            Subject::Rates => self.rates,
            Subject::Filter => self.filter,
        }
        .max(1)
    }
}

/// A source's word on a subject.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The source's life.
    pub incarnation: Micros,
    /// The version within it.
    pub seq: u64,
    /// When it was seen, by the router's own steady clock; 0 stands for before that clock began.
    pub seen: Micros,
    /// See [`Record::up`].
    pub up: Micros,
    /// See [`Record::observations`].
    pub observations: u32,
    /// See [`Record::hops`]; the fewest by any way.
    pub hops: u8,
    /// What was seen.
    pub value: Value,
}

impl Entry {
    fn join(&mut self, other: Entry) {
        let seen = self.seen.max(other.seen);
        let version = |e: &Entry| (e.incarnation, e.seq, e.observations, e.up);
        let newer = version(&other).cmp(&version(self)).then(other.value.order(&self.value));
        let hops = if newer.is_eq() { self.hops.min(other.hops) } else { 0 };
        match newer {
            std::cmp::Ordering::Greater => *self = other,
            std::cmp::Ordering::Equal => self.hops = hops,
            std::cmp::Ordering::Less => {}
        }
        self.seen = seen;
    }
}

/// What another's word on a member comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberPrior {
    /// The member.
    pub id: u64,
    /// The share of faults to start from, and how much that word weighs, 0 to 1.
    pub ill: f64,
    /// See `ill`.
    pub health_weight: f64,
    /// It is set aside for so long from now.
    pub aside: Micros,
    /// The limit to start from, and how much that word weighs, 0 to 1.
    pub limit: f64,
    /// The share of late answers to start from.
    pub lateness: f64,
    /// See `limit`.
    pub pace_weight: f64,
}

/// What all hearsay comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Priors {
    /// By member, in the order of ids.
    pub members: Vec<MemberPrior>,
    /// Limits of all fills and of those that may go on to the origin, with the shares of late ones, and the
    /// weight of that word.
    pub fills: Option<([f64; 2], [f64; 2], f64)>,
    /// What a warm cache, a warm parent takes, and the weight of that word.
    pub rates: Option<([f64; 2], f64)>,
    /// Objects asked for lately, the surest first.
    pub filter: Vec<u64>,
}

/// A value and what its word weighs.
fn mean(words: &[(f64, f64)]) -> f64 {
    let total: f64 = words.iter().map(|(_, w)| w).sum();
    words.iter().map(|(x, w)| x * w).sum::<f64>() / total.max(f64::MIN_POSITIVE)
}

/// What several words weigh together: each lowers what is left to doubt.
fn together(weights: impl Iterator<Item = f64>) -> f64 {
    1.0 - weights.map(|w| 1.0 - w).product::<f64>()
}

/// All that is known by hearsay, and what the router itself tells others.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    me: Source,
    half_lives: HalfLives,
    /// Purges are kept for so long after their time.
    purge_kept: Micros,
    facts: BTreeMap<Subject, BTreeMap<InstanceId, Entry>>,
    purges: BTreeMap<Purged, Micros>,
    seq: u64,
}

impl Store {
    /// Of this router; a purge is in force for `purge_kept` after its time.
    pub fn new(me: Source, half_lives: HalfLives, purge_kept: Micros) -> Self {
        let (facts, purges, seq) = Default::default();
        Self { me, half_lives, purge_kept: purge_kept + CLOCK_ERROR, facts, purges, seq }
    }

    /// Other half-lives from now on.
    pub fn set_half_lives(&mut self, half_lives: HalfLives) {
        self.half_lives = half_lives;
    }

    /// Notes what the router itself saw, to be told to others.
    pub fn observe(&mut self, seen: Micros, up: Micros, subject: Subject, observations: u32, value: Value) {
        self.seq += 1;
        let (incarnation, seq) = (self.me.incarnation, self.seq);
        let entry = Entry { incarnation, seq, seen, up, observations, hops: 0, value };
        self.enter(subject, self.me.instance, entry);
    }

    fn enter(&mut self, subject: Subject, instance: InstanceId, entry: Entry) {
        let words = self.facts.entry(subject).or_default();
        match words.get_mut(&instance) {
            Some(old) => old.join(entry),
            None => drop(words.insert(instance, entry)),
        }
        let most = if subject == Subject::Filter { FILTERS } else { SOURCES };
        if words.len() > most {
            // The own word stays out of the count: it is not hearsay and not this store's to lose.
            let foreign = words.keys().copied().filter(|id| *id != self.me.instance);
            let mut order: Vec<(u64, InstanceId)> = foreign.map(|id| (mix(id.0), id)).collect();
            order.sort_unstable();
            for (_, id) in order.iter().skip(most) {
                words.remove(id);
            }
        }
    }

    /// Takes in another's items, which were on the way for `transit` at most. Returns how many were refused as
    /// out of their ranges; of what is too old, too far travelled or the router's own nothing is kept.
    pub fn take(&mut self, now: Micros, unix: Micros, transit: Micros, items: Vec<Item>) -> usize {
        let mut refused = 0;
        for item in items {
            match item {
                Item::Fact(record) => refused += usize::from(!self.fact(now, transit, record)),
                Item::Purge(what, at) => refused += usize::from(!self.purged(unix, what, at)),
            }
        }
        self.trim(now, unix);
        refused
    }

    fn fact(&mut self, now: Micros, transit: Micros, record: Record) -> bool {
        if record.check().is_err() {
            return false;
        }
        let Record { subject, source, seq, age, up, observations, hops, value } = record;
        let age = age.saturating_add(transit);
        let echo = source.instance == self.me.instance && source.incarnation >= self.me.incarnation;
        if echo || age > OLDEST || hops >= MOST_HOPS {
            return true;
        }
        let seen = now.saturating_sub(age);
        let entry =
            Entry { incarnation: source.incarnation, seq, seen, up, observations, hops: hops + 1, value };
        self.enter(subject, source.instance, entry);
        true
    }

    /// Notes a purge, whoever told it; false if its time can't be. Never forgotten before its time.
    pub fn purged(&mut self, unix: Micros, what: Purged, at: Micros) -> bool {
        if at > unix.saturating_add(CLOCK_ERROR) {
            return false;
        }
        if unix.saturating_sub(at) <= self.purge_kept {
            let slot = self.purges.entry(what).or_insert(at);
            *slot = at.max(*slot);
        }
        // A router that nobody asks is told of purges all the same.
        if self.purges.len() > 2 * PURGES {
            self.trim_purges(unix);
        }
        true
    }

    /// Drops what is out of date, and what is too much.
    pub fn trim(&mut self, now: Micros, unix: Micros) {
        let half_lives = self.half_lives;
        self.facts.retain(|subject, words| {
            words.retain(|_, e| fading(half_lives.of(*subject), now.saturating_sub(e.seen)) >= LEAST_WEIGHT);
            !words.is_empty()
        });
        self.trim_purges(unix);
        let members = self.facts.keys().filter_map(|subject| match subject {
            Subject::Member(id, _) => Some((mix(*id), *id)),
            _ => None,
        });
        let members: BTreeSet<(u64, u64)> = members.collect();
        for (_, id) in members.into_iter().skip(MEMBERS) {
            for aspect in [Aspect::Listed, Aspect::Health, Aspect::Pace] {
                self.facts.remove(&Subject::Member(id, aspect));
            }
        }
    }

    fn trim_purges(&mut self, unix: Micros) {
        self.purges.retain(|_, at| unix.saturating_sub(*at) <= self.purge_kept);
        if self.purges.len() > PURGES {
            // The oldest are folded into one that covers them: copies are fetched anew, none is served wrongly.
            let mut order: Vec<(Micros, Purged)> =
                self.purges.iter().map(|(what, at)| (*at, *what)).collect();
            order.sort_unstable();
            let folded = &order[..order.len() - PURGES + 1];
            for (_, what) in folded {
                self.purges.remove(what);
            }
            if let Some((at, _)) = folded.last() {
                self.purged(unix, Purged::All, *at);
            }
        }
    }

    /// All there is to tell, purges and the list's word first: what a newcomer must not do without.
    pub fn give(&self, now: Micros) -> Vec<Item> {
        let purges = self.purges.iter().map(|(what, at)| Item::Purge(*what, *at));
        let records = self.facts.iter().flat_map(|(subject, words)| {
            words.iter().filter(|(_, e)| e.hops < MOST_HOPS).map(|(instance, e)| Record {
                subject: *subject,
                source: Source { instance: *instance, incarnation: e.incarnation },
                seq: e.seq,
                age: now.saturating_sub(e.seen),
                up: e.up,
                observations: e.observations,
                hops: e.hops,
                value: e.value.clone(),
            })
        });
        let mut records: Vec<Record> = records.collect();
        let weight = |r: &Record| match r.subject {
            Subject::Member(_, Aspect::Listed) => 0,
            Subject::Member(..) => 1,
            Subject::Rates | Subject::Fills => 2,
            Subject::Filter => 3,
        };
        records.sort_by_key(weight);
        purges.chain(records.into_iter().map(Item::Fact)).collect()
    }

    /// Purges in force, with their times.
    pub fn purges(&self) -> impl Iterator<Item = (Purged, Micros)> + '_ {
        self.purges.iter().map(|(what, at)| (*what, *at))
    }

    /// How many facts are held.
    pub fn len(&self) -> usize {
        self.facts.values().map(BTreeMap::len).sum()
    }

    /// Whether no fact is held.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Others' words on a subject.
    fn words(&self, subject: Subject) -> impl Iterator<Item = &Entry> {
        let own =
            |id: &InstanceId, e: &Entry| *id == self.me.instance && e.incarnation == self.me.incarnation;
        let words = self.facts.get(&subject);
        words.into_iter().flatten().filter(move |(id, e)| !own(id, e)).map(|(_, e)| e)
    }

    /// Others' words of the list on each member, with when they were seen.
    pub fn hearsay(&self) -> impl Iterator<Item = (u64, Lifecycle, Micros, Micros)> + '_ {
        let listed = self.facts.keys().filter_map(|subject| match subject {
            Subject::Member(id, Aspect::Listed) => Some((*id, *subject)),
            _ => None,
        });
        listed.flat_map(move |(id, subject)| {
            self.words(subject).filter_map(move |e| match e.value {
                Value::Listed { lifecycle, started } => Some((id, lifecycle, started, e.seen)),
                _ => None,
            })
        })
    }

    fn weight(&self, now: Micros, subject: Subject, e: &Entry) -> f64 {
        let seasoned = e.up as f64 / (e.up as f64 + SEASONED);
        let seen = f64::from(e.observations) / (f64::from(e.observations) + SEEN_ENOUGH);
        let age = now.saturating_sub(e.seen);
        fading(self.half_lives.of(subject), age) * seasoned * seen * HOP.powi(i32::from(e.hops) - 1)
    }

    /// What others' words come to. `started` tells which process of a member is meant: what was seen of an
    /// earlier one says nothing, and a member it gives nothing for is not asked about.
    pub fn priors(&self, now: Micros, started: &BTreeMap<u64, Micros>) -> Priors {
        let members = started.iter().filter_map(|(id, started)| self.member(now, *id, *started)).collect();
        let rates = self.pairs(now, Subject::Rates, |value| match value {
            Value::Rates(rates) => rates.map(f64::from),
            _ => [0.0; 2],
        });
        let limits = self.pairs(now, Subject::Fills, |value| match value {
            Value::Fills { limits, .. } => limits.map(|l| f64::from(l).ln()),
            _ => [0.0; 2],
        });
        let lateness = self.pairs(now, Subject::Fills, |value| match value {
            Value::Fills { lateness, .. } => lateness.map(f64::from),
            _ => [0.0; 2],
        });
        let fills = limits.zip(lateness).map(|((l, weight), (late, _))| (l.map(f64::exp), late, weight));
        Priors { members, fills, rates, filter: self.filter(now) }
    }

    /// Means of two figures over all words on a subject, and what the words weigh together.
    fn pairs(&self, now: Micros, subject: Subject, of: fn(&Value) -> [f64; 2]) -> Option<([f64; 2], f64)> {
        let words: Vec<([f64; 2], f64)> =
            self.words(subject).map(|e| (of(&e.value), self.weight(now, subject, e))).collect();
        let figure = |i: usize| mean(&words.iter().map(|(pair, w)| (pair[i], *w)).collect::<Vec<_>>());
        (!words.is_empty()).then(|| ([figure(0), figure(1)], together(words.iter().map(|(_, w)| *w))))
    }

    fn member(&self, now: Micros, id: u64, process: Micros) -> Option<MemberPrior> {
        let mut prior = MemberPrior { id, ..MemberPrior::default() };
        let (mut ills, mut asides, mut limits, mut lates) = (vec![], vec![], vec![], vec![]);
        let subject = Subject::Member(id, Aspect::Health);
        for e in self.words(subject) {
            if let Value::Health { started, ill, aside } = e.value
                && started == process
            {
                let weight = self.weight(now, subject, e);
                ills.push((f64::from(ill), weight));
                asides.push((aside.saturating_sub(now.saturating_sub(e.seen)), weight));
            }
        }
        let subject = Subject::Member(id, Aspect::Pace);
        for e in self.words(subject) {
            if let Value::Pace { started, limit, lateness } = e.value
                && started == process
            {
                let weight = self.weight(now, subject, e);
                limits.push((f64::from(limit).ln(), weight));
                lates.push((f64::from(lateness), weight));
            }
        }
        if ills.is_empty() && limits.is_empty() {
            return None;
        }
        if !ills.is_empty() {
            (prior.ill, prior.health_weight) = (mean(&ills), together(ills.iter().map(|(_, w)| *w)));
            // Set aside where those who say so weigh at least what the others do.
            let total: f64 = asides.iter().map(|(_, w)| w).sum();
            let aside: f64 = asides.iter().filter(|(left, _)| *left > 0).map(|(_, w)| w).sum();
            if 2.0 * aside >= total && total >= LEAST_WEIGHT {
                prior.aside = asides.iter().map(|(left, _)| *left).max().unwrap_or(0);
            }
        }
        if !limits.is_empty() {
            (prior.limit, prior.lateness) = (mean(&limits).exp(), mean(&lates));
            prior.pace_weight = together(limits.iter().map(|(_, w)| *w));
        }
        Some(prior)
    }

    /// The ids that most weight speaks for, a generation of them; a passive id counts half.
    fn filter(&self, now: Micros) -> Vec<u64> {
        let mut votes: BTreeMap<u64, f64> = BTreeMap::new();
        for e in self.words(Subject::Filter) {
            if let Value::Filter { active, passive } = &e.value {
                let weight = self.weight(now, Subject::Filter, e);
                active.iter().for_each(|id| *votes.entry(id).or_default() += weight);
                passive.iter().for_each(|id| *votes.entry(id).or_default() += weight / 2.0);
            }
        }
        let mut votes: Vec<(f64, u64)> = votes.into_iter().map(|(id, vote)| (vote, id)).collect();
        votes.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        votes.truncate(GENERATION);
        votes.into_iter().map(|(_, id)| id).collect()
    }
}

/// What an age leaves of a word's weight.
fn fading(half_life: Micros, age: Micros) -> f64 {
    (-(age as f64) / half_life as f64).exp2()
}

/// Where a router's steady clock starts, so that what others saw long before has a time on it.
pub const CLOCK_START: Micros = 2 * OLDEST;
