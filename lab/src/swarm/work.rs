//! Work orders in the swarm: the same simulated routers use boxes as the agreed orders let them, whoever leads takes
//! steps, staff order, withdraw and bring back. The checker looks at uses and decisions alone.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use silverspindle_agreement::{Change, Event, Frame, Proposal, ProposalId, Role};
use silverspindle_work::{
    Alone, Guards, Heard, Machine, Order, Rules, Seen, Sight, Stage, State, TOPIC, Watch, Why, Work,
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
            hand_over: true,
        };
        let over = (LEASE + LONGEST) + (LEASE + LONGEST) / 50;
        Rules { headroom: 250, most_out: MOST_OUT, over, alone: Alone::Stop, guards }
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
        let Some(node) = &mut self.places[n].node else { return };
        let number = node.fleet().number;
        let report: Vec<u8> =
            number.to_le_bytes().into_iter().chain(open.iter().flat_map(|id| id.to_le_bytes())).collect();
        node.tell(report);
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
        if !work.usable(&Machine::Box(id)) || self.yard.dead.contains(&id) {
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
        let read = |name: &str| {
            let (number, open) = told.get(name)?.split_first_chunk()?;
            let open = open
                .chunks_exact(4)
                .filter_map(|id| Some(Machine::Box(u32::from_le_bytes(id.try_into().ok()?))));
            Some(Heard { number: u64::from_le_bytes(*number), open: open.collect() })
        };
        let state = |id| if self.yard.dead.contains(&id) { State::Missing } else { State::Up };
        let seen = |id| Seen { place: 1, capacity: CAPACITY, state: state(id), load: LOAD };
        let roll = node.fleet().roll.iter().filter(|(_, member)| !member.left);
        Some(Sight {
            machines: (1..=BOXES).map(|id| (Machine::Box(id), seen(id))).collect(),
            routers: roll.map(|(name, _)| (name.clone(), read(name))).collect(),
            electors: node.fleet().voters().map(|(_, name)| (name.to_owned(), true)).collect(),
            leader: node.leader().unwrap_or_default(),
            struck: node.fleet().struck,
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
        if let Some(step) = step {
            debug_assert!(!matches!(why.first(), Some(Why::Held(..) | Why::Short(..))));
            let by = self.places[n].name.clone();
            self.offer(n, by, &step);
        }
    }

    fn offer(&mut self, n: usize, by: String, work: &Work) {
        self.yard.proposals += 1;
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
            0..=2 => out.first().and_then(|machine| work.back(machine).ok()),
            3 => work.orders.keys().next().and_then(|id| work.withdraw(*id).ok()),
            4 => Some(work.stop(!work.stopped)),
            _ => {
                let machines = (1..=BOXES).filter(|_| self.rng.random()).map(Machine::Box).collect();
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
    pub(super) fn decided_work(&mut self, n: usize, number: u64) {
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
        let gone = work.stages.values().filter(|(_, stage)| *stage != Stage::Waiting).count();
        if gone > MOST_OUT {
            self.broken(format!("{gone} boxes are asked, out or cold at once, {MOST_OUT} may be"));
        }
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

    /// Whether all that was ordered has ended.
    pub(super) fn work_is_done(&self) -> bool {
        (0..self.electors).all(|n| self.agreed(n).is_some_and(|(_, work)| work.is_done()))
    }
}
