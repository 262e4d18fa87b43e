//! Versions of rules in the swarm: the same simulated routers act by what is agreed, staff propose, whoever leads takes
//! steps. The checker looks at acts and decisions alone.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use silverspindle_agreement::{Change, Event, Frame, Proposal, ProposalId, Role};
use silverspindle_rules::{
    Group, Guards, Rules, SHARES, Shares, Sight, State, Step, TOPIC, Told, Trial, WHOLE, Watch, Way,
};

use super::{DRIFT, LEASE, MS, Micros, SECOND, Swarm, What, Without};

const LEAD_EVERY: Micros = 150 * MS;
const STAFF_EVERY: Micros = 700 * MS;
const MEMBERS: u32 = 4;

/// What the swarm has besides, where versions are simulated.
#[derive(Default)]
pub(super) struct Office {
    watches: Vec<Watch>,
    demands: Vec<u32>,
    proposals: u64,
    /// The texts of the latest decision, and their numbers.
    latest: u64,
    state: State,
    shares: Shares,
    /// When a version was first acted on alone, by number.
    alone: BTreeMap<u64, Micros>,
    /// In calm: when last.
    last: BTreeMap<u64, Micros>,
    /// When the version on its way was decided.
    began: Micros,
    /// Versions that came apart, and versions tried by a part first.
    apart: BTreeSet<u64>,
    tried: BTreeSet<u64>,
    /// Versions that came to hold, and acts on what two allow, over the run.
    pub held: u64,
    /// See `held`.
    pub both: u64,
}

impl Swarm<'_> {
    fn rule_guards(&self) -> Guards {
        let without = self.options.without;
        Guards {
            apart: without != Some(Without::Apart),
            shares: without != Some(Without::Shares),
            narrower: without != Some(Without::Narrower),
        }
    }

    pub(super) fn begin_rules(&mut self) {
        let routers = self.options.routers;
        self.office.watches.resize(routers, Watch::default());
        self.office.demands.resize(routers, 1000);
        for n in 0..routers.min(self.electors) {
            let at = self.rng.random_range(0..LEAD_EVERY);
            self.at(at, What::LeadRules(n));
        }
        self.at(SECOND, What::StaffRules);
    }

    fn texts(&self, n: usize) -> Option<([u64; 2], State, Shares)> {
        let notes = &self.places[n].node.as_ref()?.fleet().notes;
        let (state, shares) = (notes.get(TOPIC), notes.get(SHARES));
        let at = [state, shares].map(|note| note.map_or(0, |note| note.number));
        let state = state.map_or(Some(State::default()), |note| State::read(&note.body))?;
        let shares = shares.map_or(Some(Shares::default()), |note| Shares::read(&note.body))?;
        Some((at, state, shares))
    }

    /// What a router tells of itself.
    pub(super) fn report_rules(&mut self, n: usize) {
        if self.rng.random_range(0..50) == 0 {
            self.office.demands[n] = self.rng.random_range(0..5000);
        }
        let (life, demand) = (self.places[n].life, self.office.demands[n]);
        let now = self.now / MS;
        let served = [now, now / 2 + self.rng.random_range(0..=now / 4)];
        let Some(node) = &mut self.places[n].node else { return };
        let number = node.fleet().number;
        node.tell(Told { life, number, cannot: None, demand, served }.spell());
    }

    fn is_member(&self, n: usize) -> bool {
        let place = &self.places[n];
        let member = place.node.as_ref().and_then(|node| node.fleet().roll.get(&place.name));
        member.is_some_and(|member| member.life == place.life && !member.left)
    }

    /// A router that may act does, by what it takes to hold; and all shares that may be acted on now are summed.
    pub(super) fn act_by_rules(&mut self, n: usize) {
        if !self.is_member(n) {
            return;
        }
        let Some((_, state, _)) = self.texts(n) else { return };
        let narrower = self.rule_guards().narrower;
        let reading = state.reading(&self.places[n].name, narrower);
        let member = self.rng.random_range(1..=MEMBERS);
        let used = !reading.rules.deny_member.contains(&member);
        match reading.of {
            Group::Both(..) => self.office.both += 1,
            Group::One(version) => {
                let now = self.now;
                self.office.alone.entry(version).or_insert(now);
                self.office.last.insert(version, now);
                let later: Vec<(u64, Micros)> =
                    self.office.alone.range(version + 1..).map(|(v, at)| (*v, *at)).collect();
                let trial = matches!(state.next, Some(ref next) if matches!(next.way, Way::Trial(_)));
                for (other, since) in later {
                    let what = format!("n{n} acts on version {version} alone, {other} was acted on alone");
                    if self.office.apart.contains(&other) {
                        self.broken(what);
                    } else if now > since + LEASE && !trial && !self.office.is_trial(other) {
                        self.broken(format!("{what} {} ms before", (now - since) / MS));
                    }
                }
            }
        }
        let denied = |rules: &Rules| rules.deny_member.contains(&member);
        if used && denied(&self.office.state.current.rules) {
            self.broken(format!("n{n} uses member {member}, which is denied since it was agreed apart"));
        }
        // Looks at all routers: with hundreds of them that is the faults' runs', not the calm's.
        if self.options.calm.is_none() {
            self.sum_shares();
        }
    }

    fn sum_shares(&mut self) {
        let limit = self.office.state.current.rules.office_fills;
        let (mut parts, mut rate) = (0u64, 0u64);
        let guards = self.rule_guards();
        for n in 0..self.places.len() {
            let may = self.places[n].still <= self.now
                && self.is_member(n)
                && self.places[n]
                    .node
                    .as_ref()
                    .is_some_and(|node| node.fence().may_act(self.local(n)).is_some());
            let Some((_, state, shares)) = self.texts(n).filter(|_| may) else { continue };
            let name = &self.places[n].name;
            let part = u64::from(shares.of(name, guards.shares));
            let own = state.reading(name, guards.narrower).rules.office_fills;
            parts += part;
            rate = rate.saturating_add(own.map_or(0, |limit| limit * part));
        }
        if parts > u64::from(WHOLE) {
            self.broken(format!("shares of {parts} millionths together may be acted on"));
        }
        if let Some(limit) = limit.filter(|limit| rate > limit * u64::from(WHOLE)) {
            self.broken(format!(
                "{rate} millionths of a fill a second may be asked for, {limit} is the limit"
            ));
        }
    }

    fn rules_sight(&self, n: usize) -> Option<Sight> {
        let node = self.places[n].node.as_ref()?;
        let told: BTreeMap<&str, &[u8]> = node.reports().collect();
        let fresh = |name: &str| node.told_since(name).is_some_and(|since| since < LEASE);
        let read =
            |name: &str, life| Told::read(told.get(name)?).filter(|told| told.life == life && fresh(name));
        let roll = node.fleet().roll.iter().filter(|(_, m)| !m.left);
        Some(Sight {
            routers: roll.map(|(name, m)| (name.clone(), read(name, m.life))).collect(),
            // Here a life that is replaced is dead.
            beside: BTreeSet::new(),
            struck: node.fleet().struck,
        })
    }

    /// Whoever leads takes the next step.
    pub(super) fn lead_rules(&mut self, n: usize) {
        let at = self.now + LEAD_EVERY;
        self.at(at, What::LeadRules(n));
        if self.places[n].still > self.now {
            return;
        }
        let now = self.local(n);
        let node = self.places[n].node.as_ref();
        if !node.is_some_and(|node| node.role() == Role::Leader && node.fence().may_act(now).is_some()) {
            self.office.watches[n] = Watch::default();
            return;
        }
        let (Some((at, state, shares)), Some(sight)) = (self.texts(n), self.rules_sight(n)) else { return };
        let over = LEASE + LEASE * 2 * DRIFT as u64 / 1_000_000;
        let guards = self.rule_guards();
        let (step, _) = self.office.watches[n].next(now, at, (&state, &shares), &sight, over, guards);
        let by = self.places[n].name.clone();
        match step {
            Some(Step::State(state)) => self.offer_rules(n, by, TOPIC, state.spell()),
            Some(Step::Shares(shares)) => self.offer_rules(n, by, SHARES, shares.spell()),
            None => {}
        }
    }

    fn offer_rules(&mut self, n: usize, by: String, topic: &str, body: Vec<u8>) {
        self.office.proposals += 1;
        let id = ProposalId(13, self.office.proposals);
        let Some(node) = &self.places[n].node else { return };
        let builds_on = node.fleet().number;
        let change = Change::Note { topic: topic.to_owned(), body };
        let proposal = Proposal { id, builds_on, by: by.clone(), change };
        let event = match by == "staff" {
            true => Event::Heard { from: by, frame: Frame::Propose(proposal) },
            false => Event::Propose { token: 0, proposal },
        };
        self.handle(n, event);
    }

    /// Staff at work: versions of all kinds, some of them tried by a part first.
    pub(super) fn staff_rules(&mut self) {
        if self.healed.is_some() {
            return;
        }
        let at = self.now + self.rng.random_range(STAFF_EVERY / 2..STAFF_EVERY * 3 / 2);
        self.at(at, What::StaffRules);
        let n = self.rng.random_range(0..self.electors);
        let Some((_, state, _)) = self.texts(n) else { return };
        let mut rules = state.current.rules.clone();
        let mut way = None;
        match self.rng.random_range(0..4) {
            0 => rules.office_fills = self.rng.random_bool(0.8).then(|| self.rng.random_range(10..200)),
            1 => rules.deny_member = (1..MEMBERS).filter(|_| self.rng.random()).collect(),
            2 => {
                rules.weight.insert(1, self.rng.random_range(1..200));
                let per_mille = self.rng.random_range(100..900);
                way = self.rng.random::<bool>().then_some(Way::Trial(Trial {
                    per_mille,
                    lasts: SECOND,
                    margin: 100,
                }));
            }
            _ => rules.alone_serve = false,
        }
        let holds = state.current.head.number;
        if let Ok(new) = state.propose(rules, ("staff", ""), holds, way) {
            self.offer_rules(n, "staff".to_owned(), TOPIC, new.spell());
        }
    }

    /// The checker's look at a decision that nobody had made before.
    pub(super) fn decided_rules(&mut self, n: usize, number: u64) {
        if number <= self.office.latest {
            return;
        }
        self.office.latest = number;
        let Some((_, state, shares)) = self.texts(n) else {
            return self.broken("a text that can't be read".to_owned());
        };
        if let Some(next) = state.next.as_ref().filter(|next| next.way == Way::Apart) {
            self.office.apart.insert(next.version.head.number);
        }
        if let Some(next) = state.next.as_ref().filter(|next| matches!(next.way, Way::Trial(_))) {
            self.office.tried.insert(next.version.head.number);
        }
        let given = |all: &BTreeMap<String, u32>| all.values().map(|part| u64::from(*part)).sum::<u64>();
        if given(&shares.current) > u64::from(WHOLE)
            || shares.next.as_ref().is_some_and(|s| given(s) > u64::from(WHOLE))
        {
            self.broken("more than the whole is shared out".to_owned());
        }
        if state.next.is_some() && self.office.state.next.is_none() {
            self.office.began = self.now;
        }
        if state.current.head.number != self.office.state.current.head.number {
            self.out.to_hold.push(self.now - self.office.began);
        }
        self.office.held += u64::from(state.current.head.number != self.office.state.current.head.number);
        (self.office.state, self.office.shares) = (state, shares);
    }

    /// For how long two versions that came at once were both acted on alone, sorted.
    pub(super) fn both_in_use(&self) -> Vec<Micros> {
        let office = &self.office;
        let at_once = |v: &u64| !office.apart.contains(v) && !office.tried.contains(v);
        let both = |v: &u64| Some(office.last.get(&(v - 1))?.saturating_sub(*office.alone.get(v)?));
        let mut all: Vec<Micros> =
            office.alone.keys().filter(|v| **v > 0 && at_once(v)).filter_map(both).collect();
        all.sort_unstable();
        all
    }

    /// What is still on its way, and what the leader waits for.
    pub(super) fn rules_left(&mut self) -> String {
        let leads = |p: &super::Place| p.node.as_ref().is_some_and(|node| node.role() == Role::Leader);
        let Some(n) = self.places.iter().position(leads) else { return "; nobody leads".to_owned() };
        let (Some((at, state, shares)), Some(sight)) = (self.texts(n), self.rules_sight(n)) else {
            return String::new();
        };
        let (now, guards) = (self.local(n), self.rule_guards());
        let why = self.office.watches[n].next(now, at, (&state, &shares), &sight, 2 * LEASE, guards).1;
        let next = state.next.map(|next| (next.version.head.number, next.way));
        format!("; on its way {next:?}, shares {:?} at {at:?}; the leader: {why:?}", shares.next)
    }

    /// Whether nothing is on its way any more.
    pub(super) fn rules_are_settled(&self) -> bool {
        (0..self.electors).all(|n| {
            self.texts(n).is_some_and(|(_, state, shares)| state.next.is_none() && shares.next.is_none())
        })
    }
}

impl Office {
    /// Whether a version is, or was, tried by a part: then two are in use for longer, in what harms nobody.
    fn is_trial(&self, version: u64) -> bool {
        self.tried.contains(&version)
    }
}
