//! Versions of settings and lists at this router: what it may do by them, and, while it leads, the next step.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bitternhold::{MemberId, Micros, Note, Settings};
use silverspindle_agreement::{Fence, Node, Proposal, Role};
use silverspindle_conf::HalfLives;
use silverspindle_knowledge::Source;
use silverspindle_rules::{
    Bucket, Group, Guards, Place, Rules, SHARES, Shares, Sight, State, Step, TOPIC, Told, Watch, Why,
};

use super::{Leading, Withholds};
use crate::steady::steady_now;
use crate::traffic::{Attempt, Members, Message, OFFICE_TOKEN, PARENT_TOKEN};

/// What it asks for is counted over so long.
const WINDOW: Micros = 2_000_000;

/// What it asks of limited sources, in a window and in the one before; and its answers since its start: all, in time.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    since: Micros,
    wanted: u32,
    demand: u32,
    served: [u64; 2],
}

impl Counts {
    fn turn(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.since);
        if passed < WINDOW {
            return;
        }
        let rate = u64::from(self.wanted) * 1_000_000_000 / passed.max(1);
        self.demand = rate.min(u64::from(u32::MAX)) as u32;
        (self.since, self.wanted) = (now, 0);
    }
}

/// What this router acts by. Whoever writes an attempt or takes a request in asks it.
#[derive(Debug)]
pub struct Acting {
    fence: Fence,
    settings: Settings,
    classes: Vec<String>,
    of: Cell<Group>,
    rules: RefCell<Rules>,
    /// Of each limit, in millionths; and since when it may be taken.
    share: Cell<(u32, Micros)>,
    /// The texts can be read, and this life is on the roll.
    stands: Cell<bool>,
    office: RefCell<Bucket>,
    parents: RefCell<BTreeMap<MemberId, Bucket>>,
    counts: RefCell<Counts>,
    half_lives: Cell<HalfLives>,
}

impl Acting {
    /// Nothing is known yet.
    pub fn new(fence: Fence, settings: Settings, classes: Vec<String>, half_lives: HalfLives) -> Self {
        Self {
            fence,
            settings,
            classes,
            of: Cell::new(Group::One(0)),
            rules: RefCell::default(),
            share: Cell::default(),
            stands: Cell::default(),
            office: RefCell::default(),
            parents: RefCell::default(),
            counts: RefCell::default(),
            half_lives: Cell::new(half_lives),
        }
    }

    /// Which versions it acts on, as records and lines name them, and its share.
    pub fn of(&self) -> (Group, u32) {
        (self.of.get(), self.part(steady_now()))
    }

    /// Whether it may act on anything now.
    pub fn may(&self) -> bool {
        let alone = self.rules.borrow().alone_serve && !self.fence.is_stopped();
        self.stands.get() && (alone || self.fence.may_act(steady_now()).is_some())
    }

    /// Alone it has no share: others may have been given it.
    fn part(&self, now: Micros) -> u32 {
        let (part, from) = self.share.get();
        if now >= from && self.fence.may_act(now).is_some() { part } else { 0 }
    }

    /// Whether a request of this class and group is refused by what is agreed.
    pub fn refuses(&self, class: usize, group: u64) -> bool {
        let rules = self.rules.borrow();
        rules.refuse_group.contains(&group)
            || self.classes.get(class).is_some_and(|name| rules.refuse_class.contains(name))
    }

    /// Whether an attempt may be written; takes of the router's shares what it may use.
    pub(crate) fn allows(&self, attempt: &Attempt, to: MemberId, members: &Members) -> bool {
        if !self.may() || self.refuses(attempt.call.class, attempt.call.group) {
            return false;
        }
        let rules = self.rules.borrow();
        let denied = |id: MemberId| u32::try_from(id.0).is_ok_and(|id| rules.deny_member.contains(&id));
        let source = attempt.options.source;
        if denied(to) || source.is_some_and(denied) {
            return false;
        }
        let Some(source) = source else { return true };
        let known = members.get(&source);
        let zone = members.get(&to).map_or(0, |noted| noted.zone as u32);
        let place = match known {
            Some(noted) if Some(noted.kind) == self.settings.origin_kind => Place::Office,
            Some(noted) => Place::Zone(noted.zone as u32),
            None => return rules.fill_from.is_empty(),
        };
        if !rules.may_fill(zone, place) {
            return false;
        }
        // A parent that lacks it asks the head office: whatever names a source may end there.
        let now = steady_now();
        let part = u64::from(self.part(now));
        let parent = known.is_some_and(|noted| Some(noted.kind) == self.settings.parent_kind);
        let limits = [rules.office_fills, rules.parent_fills.filter(|_| parent)];
        let write = self.settings.classes.get(attempt.call.class).is_none_or(|class| class.write);
        if limits == [None, None] || write {
            return true;
        }
        self.counts.borrow_mut().wanted += 1;
        let [office, own] = limits.map(|limit| limit.map(|limit| limit * part));
        // Without a share to take the first attempt still looks whether the cache holds it.
        let look = || {
            attempt.without_source.set(attempt.is_first);
            attempt.is_first
        };
        if office.is_some_and(|rate| !self.office.borrow_mut().take(now, rate)) {
            return look();
        }
        // Of parents that are gone nothing is kept.
        self.parents.borrow_mut().retain(|id, _| members.contains_key(id));
        if own.is_some_and(|rate| !self.parents.borrow_mut().entry(source).or_default().take(now, rate)) {
            if office.is_some() {
                self.office.borrow_mut().put_back();
            }
            return look();
        }
        attempt.tokens.set(
            if office.is_some() { OFFICE_TOKEN } else { 0 } | if own.is_some() { PARENT_TOKEN } else { 0 },
        );
        true
    }

    /// An attempt ended: what it did not use of a limit goes back.
    pub(crate) fn over(&self, attempt: &Attempt, note: Option<Note>) {
        let tokens = attempt.tokens.take();
        let (hit, from_parent) =
            (matches!(note, Some(Note::Hit | Note::Joined)), matches!(note, Some(Note::Filled)));
        if tokens & OFFICE_TOKEN != 0 && (hit || from_parent) {
            self.office.borrow_mut().put_back();
        }
        if tokens & PARENT_TOKEN != 0
            && hit
            && let Some(source) = attempt.options.source
        {
            self.parents.borrow_mut().entry(source).or_default().put_back();
        }
        if (tokens != 0 || attempt.without_source.get()) && hit {
            let mut counts = self.counts.borrow_mut();
            counts.wanted = counts.wanted.saturating_sub(1);
        }
    }

    /// A request was answered, in the wanted time or not.
    pub fn answered(&self, in_time: bool) {
        let served = &mut self.counts.borrow_mut().served;
        served[0] += 1;
        served[1] += u64::from(in_time);
    }

    /// Half-lives by the operators' file, and by what is agreed over it.
    pub fn half_lives(&self, own: HalfLives) -> HalfLives {
        self.half_lives.set(own);
        let rules = self.rules.borrow();
        let or = |what: &str, own| rules.half_life.get(what).copied().unwrap_or(own);
        HalfLives {
            health: or("health", own.health),
            pace: or("pace", own.pace),
            rates: or("rates", own.rates),
            filter: or("filter", own.filter),
        }
    }
}

/// The router's part in versions.
pub struct Lead {
    name: String,
    life: Rc<Cell<Option<u64>>>,
    acting: Rc<Acting>,
    withholds: Withholds,
    /// Fills a second of which it needs a limit to be at least.
    least: u64,
    over: Micros,
    watch: Watch,
    guards: Guards,
    seen: Option<([u64; 2], bool)>,
    /// Since when an earlier life that had not left may be over.
    from: Option<Micros>,
    state: State,
    shares: Shares,
    cannot: Option<String>,
    /// Lines of the operators' file, by key.
    lines: BTreeMap<&'static str, usize>,
    /// What it tells, and whether others wait for it.
    pub told: Vec<u8>,
    /// See `told`.
    pub soon: bool,
    why: Vec<Why>,
    /// When it looks next, and what it proposes.
    pub leading: Leading,
}

impl Lead {
    /// `clock`: the stated time and the drift of clocks; `lines`: where half-lives stand in the operators' file.
    pub fn new(
        (lease, drift_ppm): (Micros, u64),
        (me, name): (Source, &str),
        life: Rc<Cell<Option<u64>>>,
        acting: Rc<Acting>,
        withholds: Withholds,
        least: u64,
        lines: BTreeMap<&'static str, usize>,
    ) -> Self {
        let without = super::is_disabled;
        Self {
            name: name.to_owned(),
            life,
            acting,
            withholds,
            least,
            over: lease + (2 * lease * drift_ppm).div_ceil(1_000_000),
            watch: Watch::default(),
            guards: Guards {
                apart: !without("apart"),
                shares: !without("shares"),
                narrower: !without("narrower"),
            },
            seen: None,
            from: None,
            state: State::default(),
            shares: Shares::default(),
            cannot: None,
            lines,
            told: Vec::new(),
            soon: false,
            why: Vec::new(),
            leading: Leading::new(me, name, 61),
        }
    }

    /// Takes in what is agreed now, and tells of it; whether it is time to look for a step. `active`: its guard is the
    /// one that acts.
    pub fn look(&mut self, now: Micros, node: &Node, active: bool) -> bool {
        let fleet = node.fleet();
        let member = fleet.roll.get(&self.name).zip(self.life.get());
        let stands = member.is_some_and(|(member, own)| member.life >= own && !member.left);
        let latest = member.is_some_and(|(member, own)| member.life == own);
        let notes = [TOPIC, SHARES].map(|topic| fleet.notes.get(topic));
        let at = notes.map(|note| note.map_or(0, |note| note.number));
        let changed = self.seen != Some((at, stands));
        if changed {
            self.seen = Some((at, stands));
            let state = notes[0].map_or(Some(State::default()), |note| State::read(&note.body));
            let shares = notes[1].map_or(Some(Shares::default()), |note| Shares::read(&note.body));
            match state.zip(shares) {
                Some((state, shares)) => {
                    (self.state, self.shares) = (state, shares);
                    self.acting.stands.set(stands);
                    self.take_in(at[0]);
                }
                // Another version of the program: nothing may be done on its word.
                None => {
                    tracing::error!(
                        number = at[0],
                        "rules: what is agreed can't be read; this router acts on nothing"
                    );
                    self.acting.stands.set(false);
                }
            }
        }
        // Of two processes of one name the younger takes the share, once the older has heard of it or acts no more.
        if latest && self.from.is_none() {
            self.from = Some(now + self.over);
        }
        let part = if latest { self.shares.of(&self.name, self.guards.shares) } else { 0 };
        self.acting.share.set((part, self.from.unwrap_or(Micros::MAX)));
        let due = self.leading.is_due(now, changed) && active;
        self.soon |= changed;
        if due {
            self.tell(now, fleet.number);
        }
        due
    }

    /// The leader's next step, if there is one.
    pub fn step(&mut self, now: Micros, node: &Node, told: &BTreeMap<String, Vec<u8>>) -> Option<Proposal> {
        let (at, _) = self.seen?;
        if node.role() != Role::Leader || node.fence().may_act(now).is_none() {
            self.watch = Watch::default();
            self.why.clear();
            return None;
        }
        let sight = self.sight(node, told);
        let texts = (&self.state, &self.shares);
        let (step, why) = self.watch.next(now, at, texts, &sight, self.over, self.guards);
        self.why = why;
        if step.is_none() && !self.why.is_empty() && self.leading.may_say(now) {
            tracing::info!("rules: waits: {:?}", self.why);
        }
        let (topic, body) = match step? {
            Step::State(state) => {
                tracing::info!("rules: {:?}", self.why);
                (TOPIC, state.spell())
            }
            Step::Shares(shares) => (SHARES, shares.spell()),
        };
        Some(self.leading.propose(now, node, topic, body))
    }

    /// Acts by the texts from here on.
    fn take_in(&mut self, number: u64) {
        let reading = self.state.reading(&self.name, self.guards.narrower);
        let next = self.state.next.as_ref().map(|next| &next.version.rules);
        let under = next.and_then(|rules| rules.office_fills).filter(|limit| *limit < self.least);
        let cannot = under.map(|limit| {
            format!(
                "office-fills: {limit} is under rules-least-fills {}, which this router needs",
                self.least
            )
        });
        if cannot.is_some() && cannot != self.cannot {
            tracing::warn!(number, "rules: {}", cannot.as_deref().unwrap_or_default());
        }
        self.cannot = cannot;
        let changed = *self.acting.rules.borrow() != *reading.rules;
        if self.acting.of.get() != reading.of {
            tracing::info!(number, "rules: acts on version {}", reading.of);
        }
        self.acting.of.set(reading.of);
        if !changed {
            return;
        }
        let rules = reading.rules.into_owned();
        let local = |what: &str| match what {
            "health" => "half-life-health",
            "pace" => "half-life-pace",
            "rates" => "half-life-rates",
            _ => "half-life-filter",
        };
        for (what, time) in &rules.half_life {
            if let Some(line) = self.lines.get(local(what)) {
                let time = silverspindle_conf::keys::format_duration(*time);
                tracing::warn!(
                    "operators' file:{line}: {}: version {} says {time}, which holds",
                    local(what),
                    self.acting.of.get()
                );
            }
        }
        let denied = rules.deny_member.iter().map(|id| MemberId(u64::from(*id))).collect();
        let weights = rules.weight.iter().map(|(id, share)| (MemberId(u64::from(*id)), *share)).collect();
        *self.acting.rules.borrow_mut() = rules;
        let half_lives = self.acting.half_lives(self.acting.half_lives.get());
        self.withholds.denied(denied);
        self.withholds.say(1, Message::Weights(weights));
        self.withholds.say(2, Message::HalfLives(half_lives));
    }

    /// Says what it acts on; nothing where no version was ever agreed.
    fn tell(&mut self, now: Micros, number: u64) {
        let Some(life) = self.life.get().filter(|_| self.state.turn > 0) else { return self.told.clear() };
        let mut counts = self.acting.counts.borrow_mut();
        counts.turn(now);
        let Counts { demand, served, .. } = *counts;
        self.told = Told { life, number, cannot: self.cannot.clone(), demand, served }.spell();
    }

    fn sight(&self, node: &Node, reports: &BTreeMap<String, Vec<u8>>) -> Sight {
        let fleet = node.fleet();
        let told = |name: &str, life: u64| {
            let fresh = node.told_since(name).is_some_and(|since| since < self.over);
            Told::read(reports.get(name)?).filter(|told| told.life == life && fresh)
        };
        let roll = fleet.roll.iter().filter(|(_, member)| !member.left);
        Sight {
            routers: roll.map(|(name, m)| (name.clone(), told(name, m.life))).collect(),
            beside: fleet
                .roll
                .iter()
                .filter(|(_, m)| !m.earlier.is_empty())
                .map(|(name, _)| name.clone())
                .collect::<BTreeSet<_>>(),
            struck: fleet.struck.max(fleet.superseded),
        }
    }

    /// Alone it may do nothing: it says so at the front.
    pub fn is_alone(&self) -> bool {
        !self.acting.may()
    }

    /// What it waits for, and the number that each router told, for staff; empty: it does not lead.
    pub fn spelt_sight(&self, now: Micros, node: &Node, reports: &BTreeMap<String, Vec<u8>>) -> Vec<u8> {
        if node.role() != Role::Leader || node.fence().may_act(now).is_none() {
            return Vec::new();
        }
        let sight = self.sight(node, reports);
        let acted: BTreeMap<&String, Option<u64>> =
            sight.routers.iter().map(|(name, told)| (name, told.as_ref().map(|told| told.number))).collect();
        postcard::to_stdvec(&(&self.why, acted)).unwrap_or_default()
    }
}
