//! Orders for work at this router: what it may not use by them, and, while it leads, the next step.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use async_channel::Sender;
use bitternhold::{MemberId, Micros};
use silverspindle_agreement::{Change, Node, Proposal, ProposalId, Role};
use silverspindle_conf::Work as Terms;
use silverspindle_knowledge::Source;
use silverspindle_work::{
    Alone, Guards, Heard, Machine, Rules, Seen, Sight, Stage, State, TOPIC, Watch, Why, Work,
};

use crate::traffic::{Board, Message};

/// How often the leader looks whether there is a step to take.
const LOOK: Micros = 100_000;
/// A step that it proposed is waited for so long before it looks again.
const SETTLES: Micros = 1_000_000;
/// What holds machines up is said at most so often.
const SAY_EVERY: Micros = 5_000_000;

/// What orders need of the router.
#[derive(Clone)]
pub struct Yard {
    /// The coordinator's members.
    pub board: Rc<Board>,
    /// Hears what is withheld.
    pub director: Sender<Message>,
    /// The longest time that a request is open.
    pub longest: Micros,
    /// The kinds of parents and of the origin, by the settings.
    pub parents: Option<usize>,
    /// See `parents`.
    pub origin: Option<usize>,
}

/// What this router may not use, as agreed.
#[derive(Debug, Default)]
pub struct Orders {
    out: RefCell<BTreeSet<MemberId>>,
    /// It is on the roll in this life: for nobody else do others wait.
    member: Cell<bool>,
}

impl Orders {
    /// Whether a member may be used, as far as orders go.
    pub fn allow(&self, id: MemberId) -> bool {
        self.member.get() && !self.out.borrow().contains(&id)
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
    me: Source,
    name: String,
    yard: Yard,
    orders: Rc<Orders>,
    watch: Watch,
    /// The number up to which what is withheld has been taken in.
    seen: Option<(u64, bool)>,
    proposed: u64,
    said: Micros,
    /// When it looks next.
    pub due: Micros,
}

impl Lead {
    /// By the operators' file.
    pub fn new(
        terms: Terms,
        lease: Micros,
        drift_ppm: u64,
        me: Source,
        name: &str,
        yard: Yard,
        orders: Rc<Orders>,
    ) -> Self {
        // Twice the drift: the clock of who waits and that of who acts may differ either way.
        let over = lease + yard.longest;
        let over = over + (2 * over * drift_ppm).div_ceil(1_000_000);
        let rules = Rules {
            headroom: terms.headroom,
            most_out: terms.most_out,
            over,
            alone: Alone::Stop,
            guards: Guards { clear: !super::without("clear"), ..Guards::default() },
        };
        let name = name.to_owned();
        Self {
            rules,
            me,
            name,
            yard,
            orders,
            watch: Watch::default(),
            seen: None,
            proposed: 0,
            said: 0,
            due: 0,
        }
    }

    /// Takes in what is agreed now; the leader's next step, if there is one.
    pub fn look(&mut self, now: Micros, node: &Node) -> Option<Proposal> {
        let fleet = node.fleet();
        let note = fleet.notes.get(TOPIC);
        let work = note.map_or(Some(Work::default()), |note| Work::read(&note.body));
        let at = note.map_or(0, |note| note.number);
        let member = fleet.roll.get(&self.name).is_some_and(|m| !m.left && m.life >= self.me.incarnation);
        let Some(work) = work else {
            self.orders.member.set(false);
            return None;
        };
        if self.seen != Some((at, member)) {
            self.seen = Some((at, member));
            self.orders.member.set(member);
            let taken = work.at(Stage::Asked).chain(work.at(Stage::Out));
            let out: BTreeSet<MemberId> = taken.filter_map(number).collect();
            if out != *self.orders.out.borrow() {
                tracing::info!(number = at, "work: {} machines are not used", out.len());
                *self.orders.out.borrow_mut() = out.clone();
            }
            // The guard at the moment of writing holds at once; the module hears of it so that it chooses others.
            let _ = self.yard.director.try_send(Message::Withheld(out));
        }
        if now < self.due {
            return None;
        }
        self.due = now + LOOK;
        if node.role() != Role::Leader || node.fence().may_act(now).is_none() {
            self.watch = Watch::default();
            return None;
        }
        let (step, why) = self.watch.next(now, at, &work, &self.sight(node), &self.rules);
        let Some(step) = step else {
            if !why.is_empty() && now >= self.said + SAY_EVERY {
                self.said = now;
                tracing::info!("work: waits: {why:?}");
            }
            return None;
        };
        match why.first() {
            Some(Why::Turn(machine)) => tracing::info!("work: {machine} is asked for"),
            Some(Why::Clear(machine)) => tracing::info!("work: {machine} is out"),
            Some(Why::Warm(machine)) => tracing::info!("work: {machine} is done"),
            Some(Why::TakenBack(machine)) => tracing::info!("work: {machine} is taken back"),
            _ => {}
        }
        self.due = now + SETTLES.min(self.rules.over);
        self.proposed += 1;
        let id = ProposalId(self.me.instance.0 ^ self.me.incarnation, 1 << 62 | self.proposed);
        let change = Change::Note { topic: TOPIC.to_owned(), body: step.spell() };
        Some(Proposal { id, builds_on: fleet.number, by: self.name.clone(), change })
    }

    fn sight(&self, node: &Node) -> Sight {
        let machines = self
            .yard
            .board
            .members()
            .into_iter()
            .filter(|(_, (kind, ..))| Some(*kind) != self.yard.origin)
            .map(|(id, m)| {
                let (kind, zone, ready) = m;
                let id = id.0 as u32;
                let parent = Some(kind) == self.yard.parents;
                let machine = if parent { Machine::Parent(id) } else { Machine::Box(id) };
                // Boxes and parents of one zone are two places.
                let place = (zone * 2 + usize::from(parent)) as u32;
                let state = if ready { State::Up } else { State::Missing };
                (machine, Seen { place, capacity: 1, state, load: 0 })
            });
        // Also who has left: it says so as its end begins, and answers what it has open after that.
        let routers = node.fleet().roll.keys().map(|name| (name.clone(), None::<Heard>));
        Sight {
            machines: machines.collect(),
            routers: routers.collect(),
            electors: node.fleet().voters().map(|(_, name)| (name.to_owned(), true)).collect(),
            leader: self.name.clone(),
            struck: node.fleet().struck,
        }
    }
}
