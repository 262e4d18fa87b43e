//! Orders for work at this router: what it may not use by them, and, while it leads, the next step.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use async_channel::Sender;
use bitternhold::{MemberId, Micros, Settings};
use silverspindle_agreement::{Node, Proposal, Role};
use silverspindle_conf::Work as Terms;
use silverspindle_knowledge::Source;
use silverspindle_work::{
    Alone, Bid, Guards, Heard, Machine, OVERLAP, Rules, Seen, Sight, Stage, State, TOPIC, Told, Watch, Why,
    Work,
};

use super::{Leading, Withholds};
use crate::clock;
use crate::drain::Drain;
use crate::steady::steady_now;
use crate::traffic::{MemberInfo, Message, RoutingState};

/// The module's limits are looked at so often while there are orders.
const LIMITS_EVERY: Micros = 1_000_000;
/// Stands for what a machine can bear where nobody knows.
const UNKNOWN: u64 = 1 << 40;
/// Bytes of what it tells.
const MOST_TOLD: usize = 3800;

/// What orders need of the router.
#[derive(Clone)]
pub struct Yard {
    /// The coordinator's members.
    pub state: Rc<RoutingState>,
    /// Hears what is withheld.
    pub director: Sender<Message>,
    /// The settings, and the classes' names.
    pub settings: Settings,
    /// See `settings`.
    pub classes: Vec<String>,
    /// The router's own drain, and who is told when it changes.
    pub drain: Rc<RefCell<Drain>>,
    /// See `drain`.
    pub drain_notifier: Sender<()>,
    /// Whether it owes answers.
    pub owes_answers: Rc<dyn Fn() -> bool>,
}

impl Yard {
    /// The longest time that a request is open.
    fn longest(&self) -> Micros {
        self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    fn is_parent(&self, noted: &MemberInfo) -> bool {
        Some(noted.kind) == self.settings.parent_kind
    }

    /// Boxes and parents of one zone are two places, its routers a third.
    fn place(&self, noted: &MemberInfo) -> u32 {
        (noted.zone * 3 + usize::from(self.is_parent(noted))) as u32
    }

    fn is_cold(&self, noted: &MemberInfo) -> bool {
        let settings = &self.settings;
        let time = if self.is_parent(noted) { settings.parent_cold_duration } else { settings.cold_duration };
        noted.started > 0 && clock::now() < noted.started.saturating_add(time)
    }
}

/// What this router may not use, as agreed.
#[derive(Debug, Default)]
pub struct Orders {
    out: RefCell<BTreeSet<MemberId>>,
    /// It is on the roll in this life, or has been followed by a later one just now: for nobody else do others wait.
    member: Cell<bool>,
    /// What it does alone.
    pub holds: bool,
}

impl Orders {
    /// For a router that serves on alone, or does not.
    pub fn new(holds: bool) -> Self {
        Self { holds, ..Self::default() }
    }

    /// Whether a member may be used, as far as orders go.
    pub fn allow(&self, id: MemberId) -> bool {
        self.member.get() && !self.out.borrow().contains(&id)
    }

    /// Whether others wait for this router.
    pub fn is_member(&self) -> bool {
        self.member.get()
    }
}

fn number(machine: &Machine) -> Option<MemberId> {
    match machine {
        Machine::Box(id) | Machine::Parent(id) => Some(MemberId(u64::from(*id))),
        Machine::Router(_) => None,
    }
}

/// The router's part in orders.
pub struct Lead {
    rules: Rules,
    name: String,
    yard: Yard,
    orders: Rc<Orders>,
    /// The life under which it is on the roll.
    life: Rc<Cell<Option<u64>>>,
    watch: Watch,
    /// The number up to which what is withheld has been taken in, and what is agreed as of then; none: it can't be read.
    seen: Option<(u64, bool)>,
    work: Option<Work>,
    /// Since when a later life is on the roll.
    followed: Option<Micros>,
    withholds: Withholds,
    /// What it tells, and whether others wait for it.
    pub told: Vec<u8>,
    /// See `told`.
    pub soon: bool,
    open: BTreeSet<u32>,
    /// It may send nothing on, and says so at the front.
    pub alone: bool,
    limits: Micros,
    /// What it waits for as it leads.
    why: Vec<Why>,
    /// When it looks next, and what it proposes.
    pub leading: Leading,
}

impl Lead {
    /// By the operators' file.
    pub fn new(
        terms: Terms,
        (lease, drift_ppm): (Micros, u64),
        (me, name): (Source, &str),
        yard: Yard,
        orders: Rc<Orders>,
        life: Rc<Cell<Option<u64>>>,
        withholds: Withholds,
    ) -> Self {
        let rules = Rules::new(terms.headroom_permille, terms.max_out, lease, yard.longest(), drift_ppm);
        let guards = Guards { clear: !super::is_disabled("clear"), ..Guards::default() };
        let alone = if terms.hold { Alone::Hold } else { Alone::Stop };
        Self {
            rules: Rules { alone, guards, ..rules },
            name: name.to_owned(),
            yard,
            orders,
            life,
            watch: Watch::default(),
            seen: None,
            work: Some(Work::default()),
            followed: None,
            withholds,
            told: Vec::new(),
            soon: false,
            open: BTreeSet::new(),
            alone: true,
            limits: 0,
            why: Vec::new(),
            leading: Leading::new(me, name, 62),
        }
    }

    /// Whether this process may act: its life is on the roll, or a later one is since less than [`OVERLAP`].
    fn is_member(&mut self, now: Micros, node: &Node) -> bool {
        let own = self.life.get();
        let Some((member, own)) = node.fleet().roll.get(&self.name).zip(own) else { return false };
        if member.life <= own {
            self.followed = None;
            return member.life == own && !member.left;
        }
        now < *self.followed.get_or_insert(now) + OVERLAP
    }

    /// Takes in what is agreed now, and tells of it; whether it is time to look for a step. `active`: its guard is the
    /// one that acts.
    pub fn look(&mut self, now: Micros, node: &Node, active: bool) -> bool {
        let member = self.is_member(now, node);
        let note = node.fleet().notes.get(TOPIC);
        let at = note.map_or(0, |note| note.number);
        let news = self.seen.is_none_or(|(seen, _)| seen != at);
        if news {
            self.work = note.map_or(Some(Work::default()), |note| Work::read(&note.body));
            if self.work.is_none() {
                tracing::error!(number = at, "work: the orders can't be read; this router uses nothing");
            }
        }
        let changed = self.seen != Some((at, member));
        self.seen = Some((at, member));
        self.orders.member.set(member && self.work.is_some());
        let Some(work) = self.work.take() else { return false };
        if changed {
            let taken = work.at(Stage::Asked).chain(work.at(Stage::Out));
            let out: BTreeSet<MemberId> = taken.filter_map(number).collect();
            if out != *self.orders.out.borrow() {
                tracing::info!(number = at, "work: {} machines are not used", out.len());
                *self.orders.out.borrow_mut() = out.clone();
            }
            // The guard at the moment of writing holds at once; the module hears of it so that it chooses others.
            self.withholds.out(out);
        }
        let may = member && node.fence().may_act(now).is_some();
        self.alone = !(self.orders.holds || may);
        let due = self.leading.is_due(now, changed) && active;
        self.soon |= changed;
        if due {
            self.own_turn(&work);
            self.tell(now, &work, node);
        }
        self.work = Some(work);
        due
    }

    /// The leader's next step, if there is one.
    pub fn step(
        &mut self,
        now: Micros,
        node: &mut Node,
        told: &BTreeMap<String, Vec<u8>>,
    ) -> Option<Proposal> {
        let ((at, _), work) = self.seen.zip(self.work.as_ref())?;
        if node.role() != Role::Leader || node.fence().may_act(now).is_none() {
            self.watch = Watch::default();
            self.why.clear();
            return None;
        }
        let (step, why) = self.watch.next(now, at, work, &self.sight(node, told), &self.rules);
        if why.contains(&Why::HandOver) {
            tracing::info!("work: this router's own turn comes: another one is to lead");
            node.hand_over();
        }
        self.why = why;
        let Some(step) = step else {
            if !self.why.is_empty() && self.leading.may_say(now) {
                tracing::info!("work: waits: {:?}", self.why);
            }
            return None;
        };
        match self.why.first() {
            Some(Why::Turn(machine)) => tracing::info!("work: {machine} is asked for"),
            Some(Why::Clear(machine)) => tracing::info!("work: {machine} is out"),
            Some(Why::Warm(machine)) => tracing::info!("work: {machine} is done"),
            Some(Why::TakenBack(machine)) => tracing::info!("work: {machine} is taken back"),
            _ => {}
        }
        Some(self.leading.propose(now, node, TOPIC, step.spell()))
    }

    /// Drains while its own turn lasts.
    fn own_turn(&self, work: &Work) {
        let now = clock::now();
        let mut drain = self.yard.drain.borrow_mut();
        let before = drain.phase();
        match work.stages.get(&Machine::Router(self.name.clone())) {
            Some((_, stage @ (Stage::Asked | Stage::Out))) => drain.order_out(now, *stage == Stage::Out),
            _ => drain.end_order(),
        }
        if drain.phase() != before {
            tracing::info!("work: this router {}", if drain.ready() { "serves again" } else { "goes out" });
            let _ = self.yard.drain_notifier.try_send(());
        }
    }

    /// Tells whoever leads what it acts on and what is open here; nothing while there are no orders.
    fn tell(&mut self, now: Micros, work: &Work, node: &Node) {
        let Some(life) = self.life.get().filter(|_| !work.is_done()) else { return self.told.clear() };
        if now >= self.limits + LIMITS_EVERY {
            self.limits = now;
            let _ = self.yard.director.try_send(Message::PublishLimits);
        }
        let (unix, steady) = (clock::now(), steady_now());
        let members = self.yard.state.members();
        let in_orders: BTreeSet<MemberId> = work.stages.keys().filter_map(number).collect();
        let places: BTreeSet<u32> =
            in_orders.iter().filter_map(|id| members.get(id)).map(|noted| self.yard.place(noted)).collect();
        let open = self.yard.state.ledger(|ledger| (ledger.open(steady), ledger.loads(steady)));
        let (open, loads) = open.unwrap_or_default();
        let limits = self.yard.state.limits();
        let near = members.iter().filter(|(_, noted)| places.contains(&self.yard.place(noted)));
        let thousandths = |x: f64| (x * 1000.0).clamp(0.0, 4e9) as u32;
        let bid = |id: &MemberId| {
            let (limit, aside) = limits.get(id).copied().unwrap_or_default();
            let load = loads.get(&(id.0 as u32)).copied().unwrap_or(0);
            Bid { id: id.0 as u32, load, limit: thousandths(limit), aside }
        };
        let told = Told {
            life,
            zone: self.yard.settings.zone as u32,
            number: node.fleet().number,
            open: open.into_iter().filter(|id| in_orders.contains(&MemberId(u64::from(*id)))).collect(),
            serves: !self.yard.drain.borrow().is_out(unix) || (self.yard.owes_answers)(),
            bids: near.map(|(id, _)| bid(id)).collect(),
        };
        drop(limits);
        // The last request there has ended: that is what a machine waits for.
        self.soon |= self.open.iter().any(|id| !told.open.contains(id));
        self.open.clone_from(&told.open);
        self.told = told.spell(MOST_TOLD);
    }

    /// What it sees, as it leads.
    pub fn sight(&self, node: &Node, reports: &BTreeMap<String, Vec<u8>>) -> Sight {
        let fleet = node.fleet();
        let told: BTreeMap<&str, Told> = reports
            .iter()
            .filter_map(|(name, bytes)| {
                let told = Told::read(bytes)?;
                (fleet.roll.get(name)?.life == told.life).then_some((name.as_str(), told))
            })
            .collect();
        let lease = self.rules.over;
        let fresh = |name: &str| node.told_since(name).is_some_and(|since| since < lease);
        let mut bids: BTreeMap<u32, (u64, u64, usize)> = BTreeMap::new();
        for bid in told.iter().filter(|(name, _)| fresh(name)).flat_map(|(_, told)| &told.bids) {
            let all = bids.entry(bid.id).or_default();
            *all =
                (all.0 + u64::from(bid.load), all.1 + u64::from(bid.limit), all.2 + usize::from(bid.aside));
        }
        let listed = self.yard.state.members();
        let listed = listed.iter().filter(|(_, noted)| Some(noted.kind) != self.yard.settings.origin_kind);
        let members = listed.map(|(id, noted)| {
            let short = id.0 as u32;
            let (load, limit, aside) = bids.get(&short).copied().unwrap_or_default();
            let parent = self.yard.is_parent(noted);
            let machine = if parent { Machine::Parent(short) } else { Machine::Box(short) };
            // Set aside by more than half of the routers that tell.
            let ill = aside * 2 > told.len();
            let state = match noted.ready && !ill {
                false => State::Missing,
                true if self.yard.is_cold(noted) => State::Cold,
                true => State::Up,
            };
            // What the routers' limits together would let be out there. Where no router has one, as of parents that none
            // asks directly, nobody knows: then machines are counted, and not what they bear.
            let capacity = if limit > 0 { limit } else { UNKNOWN };
            (machine, Seen { place: self.yard.place(noted), capacity, state, load })
        });
        let routers = fleet.roll.iter().map(|(name, member)| {
            let zone = told.get(name.as_str()).map_or(self.yard.settings.zone as u32, |told| told.zone);
            let state = if !member.left && fresh(name) { State::Up } else { State::Missing };
            (Machine::Router(name.clone()), Seen { place: zone * 3 + 2, capacity: 1, state, load: 0 })
        });
        let heard =
            |name: &str| told.get(name).map(|told| Heard { number: told.number, open: told.open(name) });
        // Who has left has answered all that it took.
        let roll = fleet.roll.iter().filter(|(_, member)| !member.left);
        Sight {
            machines: members.chain(routers).collect(),
            routers: roll.map(|(name, _)| (name.clone(), heard(name))).collect(),
            electors: node.electors_heard(),
            leader: self.name.clone(),
            struck: fleet.struck,
            beside: fleet
                .roll
                .iter()
                .filter(|(_, m)| !m.earlier.is_empty())
                .map(|(name, _)| name.clone())
                .collect(),
            superseded: fleet.superseded,
        }
    }

    /// The same for staff, with the rules and what it waits for; empty: it does not lead, or can't be sure that it does.
    pub fn spelt_sight(&self, now: Micros, node: &Node, reports: &BTreeMap<String, Vec<u8>>) -> Vec<u8> {
        match node.role() == Role::Leader && node.fence().may_act(now).is_some() {
            true => {
                postcard::to_stdvec(&(self.sight(node, reports), self.rules, &self.why)).unwrap_or_default()
            }
            false => Vec::new(),
        }
    }
}
