//! Work orders in the swarm: the same simulated routers use boxes as the agreed orders let them, whoever leads takes
//! steps, staff order, withdraw and bring back. The checker looks at uses and decisions alone.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use silverspindle_agreement::{Change, Event, Frame, Proposal, ProposalId, Role};
use silverspindle_work::{
    Guards, Heard, Machine, Order, Rules, Seen, Sight, Stage, State, TOPIC, Told, Watch, Why, Work,
};

use super::{LEASE, MS, Micros, SECOND, Swarm, What, Without};

/// Boxes, all in one place; what each can bear and carries.
const BOXES: u32 = 4;
const CAPACITY: u64 = 100;
const LOAD: u64 = 40;
/// Boxes that may be asked, out or warming at a time.
pub(super) const MOST_OUT: usize = 2;
/// The longest that a request is open.
const LONGEST: Micros = SECOND;
const LEAD_EVERY: Micros = 150 * MS;
const STAFF_EVERY: Micros = 900 * MS;

/// What the swarm has besides, where orders are simulated.
#[derive(Default)]
pub(super) struct Yard {
    /// By router: box and when its request ends.
    uses: Vec<Vec<(u32, Micros)>>,
    watches: Vec<Watch>,
    /// Boxes that are dead.
    pub dead: BTreeSet<u32>,
    /// By the latest decision: boxes that are out.
    out: BTreeSet<u32>,
    latest: u64,
    proposals: u64,
    /// Who proposed which.
    proposers: BTreeMap<u64, String>,
    /// By the latest decision: routers that are asked or out.
    routers: BTreeSet<String>,
    /// By the latest decision: routers that are out, and of them those that staff have unplugged.
    gone: BTreeSet<usize>,
    /// See `gone`.
    unplugged: BTreeSet<usize>,
    /// Boxes that came out, over the run.
    pub taken: u64,
}

impl Swarm<'_> {
    fn rules(&self) -> Rules {
        let without = self.options.without;
        let guards = Guards {
            clear: without != Some(Without::Clear),
            unreached: without != Some(Without::Unreached),
            headroom: without != Some(Without::Headroom),
            hand_over: without != Some(Without::HandOver),
        };
        Rules { guards, ..Rules::new(250, MOST_OUT, LEASE, LONGEST, super::DRIFT as u64) }
    }

    pub(super) fn begin_work(&mut self) {
        let routers = self.options.routers;
        self.yard.uses.resize(routers, vec![]);
        self.yard.watches.resize(routers, Watch::default());
        for n in 0..routers.min(self.electors) {
            let at = self.rng.random_range(0..LEAD_EVERY);
            self.at(at, What::Lead(n));
        }
        self.at(SECOND, What::Staff);
    }

    fn agreed(&self, n: usize) -> Option<(u64, Work)> {
        let note = self.places[n].node.as_ref()?.fleet().notes.get(TOPIC);
        note.map_or(Some((0, Work::default())), |note| Some((note.number, Work::read(&note.body)?)))
    }

    /// What a router tells of itself: the number that it acts on and what it has open, as of one moment.
    pub(super) fn report(&mut self, n: usize) {
        let now = self.now;
        self.yard.uses[n].retain(|(_, until)| *until > now);
        let open: Vec<u32> = self.yard.uses[n].iter().map(|(id, _)| *id).collect();
        let life = self.places[n].life;
        let Some(node) = &mut self.places[n].node else { return };
        let number = node.fleet().number;
        let serves = !open.is_empty();
        let told = Told { life, number, open: open.into_iter().collect(), serves, ..Told::default() };
        node.tell(told.spell(1024));
    }

    /// A router that may act sends a request to a box that it takes for usable. Only who is on the roll in this life
    /// may: for nobody else do others wait.
    pub(super) fn use_a_box(&mut self, n: usize) {
        let place = &self.places[n];
        let member = place.node.as_ref().and_then(|node| node.fleet().roll.get(&place.name));
        if member.is_none_or(|member| member.life != place.life || member.left) {
            return;
        }
        let Some((_, work)) = self.agreed(n) else { return };
        let id = self.rng.random_range(1..=BOXES);
        // A router whose own turn has come takes nothing more.
        if !work.usable(&Machine::Router(self.places[n].name.clone()))
            || !work.usable(&Machine::Box(id))
            || self.yard.dead.contains(&id)
        {
            return;
        }
        let until = self.now + self.rng.random_range(MS..LONGEST);
        self.yard.uses[n].push((id, until));
        if self.yard.out.contains(&id) {
            self.broken(format!("n{n} uses box {id}, which is out"));
        }
    }

    /// A router that dies has nothing open any more.
    pub(super) fn drop_uses(&mut self, n: usize) {
        if let Some(uses) = self.yard.uses.get_mut(n) {
            uses.clear();
            self.yard.watches[n] = Watch::default();
        }
    }

    fn sight(&self, n: usize) -> Option<Sight> {
        let node = self.places[n].node.as_ref()?;
        let told: BTreeMap<&str, &[u8]> = node.reports().collect();
        let read = |name: &str, life: u64| {
            let told = Told::read(told.get(name)?).filter(|told| told.life == life)?;
            Some(Heard { number: told.number, open: told.open(name) })
        };
        let state = |id| if self.yard.dead.contains(&id) { State::Missing } else { State::Up };
        let seen = |place, state| Seen { place, capacity: CAPACITY, state, load: LOAD };
        let roll = node.fleet().roll.iter();
        let here = |name: &str, left: bool| {
            let heard = node.told_since(name).is_some_and(|since| since < LEASE);
            if !left && heard { State::Up } else { State::Missing }
        };
        let routers =
            roll.clone().map(|(name, m)| (Machine::Router(name.clone()), seen(2, here(name, m.left))));
        let boxes = (1..=BOXES).map(|id| (Machine::Box(id), seen(1, state(id))));
        Some(Sight {
            machines: boxes.chain(routers).collect(),
            routers: roll
                .clone()
                .filter(|(_, m)| !m.left)
                .map(|(name, m)| (name.clone(), read(name, m.life)))
                .collect(),
            electors: node.electors_heard(),
            leader: node.leader().unwrap_or_default(),
            struck: node.fleet().struck,
            // Here a life that is replaced is dead.
            ..Sight::default()
        })
    }

    /// Whoever leads takes the next step.
    pub(super) fn lead(&mut self, n: usize) {
        let at = self.now + LEAD_EVERY;
        self.at(at, What::Lead(n));
        if self.places[n].still > self.now {
            return;
        }
        let leads = self.places[n].node.as_ref().is_some_and(|node| node.role() == Role::Leader);
        if !leads {
            self.yard.watches[n] = Watch::default();
            return;
        }
        let now = self.local(n);
        // Only what is confirmed is a ground for a step: what it sees is no older than the stated time.
        let confirmed = self.places[n].node.as_ref().is_some_and(|node| node.fence().may_act(now).is_some());
        let (Some((number, work)), Some(sight), true) = (self.agreed(n), self.sight(n), confirmed) else {
            return;
        };
        let rules = self.rules();
        let (step, why) = self.yard.watches[n].next(now, number, &work, &sight, &rules);
        if why.contains(&Why::HandOver)
            && let Some(node) = &mut self.places[n].node
        {
            node.hand_over();
        }
        if let Some(step) = step {
            debug_assert!(!matches!(why.first(), Some(Why::Held(..) | Why::Short(..))));
            let by = self.places[n].name.clone();
            self.offer(n, by, &step);
        }
    }

    fn offer(&mut self, n: usize, by: String, work: &Work) {
        self.yard.proposals += 1;
        self.yard.proposers.insert(self.yard.proposals, by.clone());
        let id = ProposalId(11, self.yard.proposals);
        let Some(node) = &self.places[n].node else { return };
        let builds_on = node.fleet().number;
        let change = Change::Note { topic: TOPIC.to_owned(), body: work.spell() };
        let proposal = Proposal { id, builds_on, by: by.clone(), change };
        let event = match by == "staff" {
            true => Event::Heard { from: by, frame: Frame::Propose(proposal) },
            false => Event::Propose { token: 0, proposal },
        };
        self.handle(n, event);
    }

    /// Staff at work: orders, words that machines are back, withdrawals, stop and go.
    pub(super) fn staff(&mut self) {
        let at = self.now + self.rng.random_range(STAFF_EVERY / 2..STAFF_EVERY * 3 / 2);
        self.at(at, What::Staff);
        let n = self.rng.random_range(0..self.electors);
        let (Some((_, work)), Some(sight)) = (self.agreed(n), self.sight(n)) else { return };
        let out: Vec<Machine> = work.at(Stage::Out).cloned().collect();
        let healed = self.healed.is_some();
        let draw = if healed { 0 } else { self.rng.random_range(0..10) };
        let new = match draw {
            0 if healed && work.stopped => Some(work.stop(false)),
            // What waits for an elector whose disk is lost waits for staff: they take it back.
            0 if healed && out.is_empty() && self.rng.random_range(0..3) == 0 => {
                work.orders.keys().next().and_then(|id| work.withdraw(*id).ok())
            }
            0..=2 => out.first().and_then(|machine| work.back(machine).ok()),
            3 => work.orders.keys().next().and_then(|id| work.withdraw(*id).ok()),
            4 => Some(work.stop(!work.stopped)),
            _ => {
                let mut machines: Vec<Machine> =
                    (1..=BOXES).filter(|_| self.rng.random()).map(Machine::Box).collect();
                if self.rng.random_range(0..3) == 0 {
                    let router = self.rng.random_range(0..self.places.len());
                    machines.push(Machine::Router(self.places[router].name.clone()));
                }
                let (id, together) = (self.rng.random(), self.rng.random());
                let order = Order { id, machines, together, reason: String::new(), by: "staff".to_owned() };
                work.order_seen(order, &sight, &self.rules()).ok()
            }
        };
        if let Some(new) = new {
            self.offer(n, "staff".to_owned(), &new);
        }
    }

    /// The checker's look at a decision that nobody had made before.
    pub(super) fn decided_work(&mut self, n: usize, number: u64, by: Option<ProposalId>) {
        if number <= self.yard.latest {
            return;
        }
        self.yard.latest = number;
        let Some((_, work)) = self.agreed(n) else {
            return self.broken("a state that can't be read".to_owned());
        };
        let ids =
            |stage| work.at(stage).filter_map(|m| if let Machine::Box(id) = m { Some(*id) } else { None });
        let out: BTreeSet<u32> = ids(Stage::Out).collect();
        let gone = work.stages.iter().filter(|(_, (_, stage))| *stage != Stage::Waiting);
        let gone = gone.filter(|(machine, _)| matches!(machine, Machine::Box(_))).count();
        if gone > MOST_OUT {
            self.broken(format!("{gone} boxes are asked, out or cold at once, {MOST_OUT} may be"));
        }
        self.decided_routers(&work, by);
        for id in out.difference(&self.yard.out.clone()) {
            self.yard.taken += 1;
            let (now, id) = (self.now, *id);
            let user =
                self.yard.uses.iter().position(|uses| uses.iter().any(|(b, until)| *b == id && *until > now));
            if let Some(user) = user {
                self.broken(format!("box {id} is out and n{user} has a request open there"));
            }
        }
        self.yard.out = out;
    }

    /// Routers' own turns: never the one that proposes its own while it leads, never with something open, and what
    /// is out is unplugged until staff say that it is back.
    fn decided_routers(&mut self, work: &Work, by: Option<ProposalId>) {
        let named = |stage| {
            work.at(stage)
                .filter_map(|m| if let Machine::Router(name) = m { Some(name.clone()) } else { None })
        };
        let taken: BTreeSet<String> = named(Stage::Asked).chain(named(Stage::Out)).collect();
        let proposer = by.and_then(|id| self.yard.proposers.get(&id.1).filter(|_| id.0 == 11)).cloned();
        let fresh: Vec<String> = taken.difference(&self.yard.routers).cloned().collect();
        if let Some(own) = fresh.into_iter().find(|name| Some(name) == proposer.as_ref()) {
            self.broken(format!("{own} leads and takes itself out"));
        }
        self.yard.routers = taken;
        let out: BTreeSet<usize> =
            named(Stage::Out).filter_map(|name| self.places.iter().position(|p| p.name == name)).collect();
        for n in out.difference(&self.yard.gone.clone()).copied() {
            let now = self.now;
            if self.yard.uses[n].iter().any(|(_, until)| *until > now) {
                self.broken(format!("n{n} is out and has a request open"));
            }
            if self.healed.is_none() && self.yard.unplugged.insert(n) {
                self.unplug(n, true);
            }
        }
        for n in self.yard.unplugged.difference(&out).copied().collect::<Vec<_>>() {
            self.yard.unplugged.remove(&n);
            self.unplug(n, false);
        }
        self.yard.gone = out;
    }

    /// What has not ended, and what the leader waits for.
    pub(super) fn work_left(&mut self) -> String {
        let leads = |p: &super::Place| p.node.as_ref().is_some_and(|node| node.role() == Role::Leader);
        let Some(n) = self.places.iter().position(leads) else { return "; nobody leads".to_owned() };
        let (Some((number, work)), Some(sight)) = (self.agreed(n), self.sight(n)) else {
            return String::new();
        };
        let (now, rules) = (self.local(n), self.rules());
        let why = self.yard.watches[n].next(now, number, &work, &sight, &rules);
        format!("; stopped: {}, {:?}; the leader: {why:?}", work.stopped, work.stages)
    }

    /// Staff plug in what they unplugged, before the fleet has agreed that it is back: an elector among them may be
    /// what the quorum lacks. It takes no work until then.
    pub(super) fn plug_in(&mut self) {
        for n in std::mem::take(&mut self.yard.unplugged) {
            self.unplug(n, false);
        }
    }

    /// Whether all that was ordered has ended.
    pub(super) fn work_is_done(&self) -> bool {
        (0..self.electors).all(|n| self.agreed(n).is_some_and(|(_, work)| work.is_done()))
    }
}
