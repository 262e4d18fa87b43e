//! Taking machines out for work, as a deterministic step from one agreed state to the next.
//!
//! A machine's way: waiting, asked (all routers let go), out (staff may pull the plug), warming (in use again, within
//! its cold budget), done. Each step is one decision. Nothing agreed brings into use what the coordinator withholds.

mod plan;
mod told;

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

pub use plan::{Alone, Guards, Heard, OVERLAP, Place, Rules, Seen, Sight, State, Watch, Why, plan};
pub use told::{Bid, Ledger, Told};

/// Microseconds.
pub type Micros = u64;

/// Whoever leads answers by this topic with what it sees: [`Sight`] and [`Rules`], and nobody agrees on it.
pub const SIGHT: &str = "work/sight";

/// The topic under which the state is agreed.
pub const TOPIC: &str = "work";

/// Orders at a time, machines in all of them, and bytes of a reason: the whole state fits a proposal.
pub const MOST_ORDERS: usize = 64;
/// See [`MOST_ORDERS`].
pub const MOST_MACHINES: usize = 512;
/// See [`MOST_ORDERS`].
pub const MOST_REASON: usize = 200;

/// What can be worked on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Machine {
    /// A box, by its id on the list.
    Box(u32),
    /// A parent, by its id on the list.
    Parent(u32),
    /// A router, by its name.
    Router(String),
}

impl fmt::Display for Machine {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Machine::Box(id) => write!(f, "box {id}"),
            Machine::Parent(id) => write!(f, "parent {id}"),
            Machine::Router(name) => write!(f, "router {name}"),
        }
    }
}

/// Where a machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Its turn has not come.
    Waiting,
    /// All routers let go of it; it may be in use yet.
    Asked,
    /// Nobody uses it: staff may pull the plug.
    Out,
    /// In use again, cold.
    Warming,
}

/// An order of staff.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Drawn by who orders: a repeated order is the same order.
    pub id: u64,
    /// What is to be worked on.
    pub machines: Vec<Machine>,
    /// All at once, where the fleet can bear that.
    pub together: bool,
    /// Why, for people.
    pub reason: String,
    /// Who, by certificate.
    pub by: String,
}

/// Why an order or a word of staff is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refused {
    /// The machine stands in this order already.
    InOrder(Machine, u64),
    /// No such machine is on the list or the roll.
    Unknown(Machine),
    /// The machine is not out, so it can't be back.
    NotOut(Machine),
    /// No such order.
    NoOrder(u64),
    /// Taken together, this place would keep too little: what is left, what is needed, of what its machines can bear.
    TooMuch {
        /// The place.
        place: Place,
        /// What would be left.
        left: u64,
        /// What is needed, headroom included.
        needed: u64,
    },
    /// Over a bound.
    Bound,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::InOrder(machine, id) => write!(f, "{machine} stands in order {id:x} already"),
            Refused::Unknown(machine) => write!(f, "{machine} is on no list"),
            Refused::NotOut(machine) => write!(f, "{machine} is not out"),
            Refused::NoOrder(id) => write!(f, "there is no order {id:x}"),
            Refused::TooMuch { place, left, needed } => {
                write!(f, "place {place} would keep {left} of the {needed} that it needs: order them apart")
            }
            Refused::Bound => f.write_str("more orders or machines than are kept"),
        }
    }
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// By id.
    pub orders: BTreeMap<u64, Order>,
    /// Where the machines in orders stand.
    pub stages: BTreeMap<Machine, (u64, Stage)>,
    /// Nothing more goes out, as staff say.
    pub stopped: bool,
    /// Counts the times that machines were asked, and by machine the latest of its own: a machine that was taken
    /// back and asked again is waited for anew, also by who did not see it in use between.
    turns: u64,
    asked: BTreeMap<Machine, u64>,
}

impl Work {
    /// As agreed; none: it can't be read, and nothing may be taken for usable on its word.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        match postcard::take_from_bytes(bytes) {
            Ok((work, [])) => Some(work),
            _ => None,
        }
    }

    /// To be agreed.
    pub fn spell(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Whether routers may use a machine, as far as this goes: the coordinator may withhold it all the same.
    pub fn usable(&self, machine: &Machine) -> bool {
        !matches!(self.stages.get(machine), Some((_, Stage::Asked | Stage::Out)))
    }

    /// The machines at this stage.
    pub fn at(&self, stage: Stage) -> impl Iterator<Item = &Machine> {
        self.stages.iter().filter(move |(_, (_, s))| *s == stage).map(|(machine, _)| machine)
    }

    /// Takes an order as one who sees the fleet: what can never be is refused with its figure.
    pub fn order_seen(&self, order: Order, sight: &Sight, rules: &Rules) -> Result<Self, Refused> {
        if let Some(unknown) = order.machines.iter().find(|m| !sight.machines.contains_key(m)) {
            return Err(Refused::Unknown(unknown.clone()));
        }
        let new = self.order(order.clone())?;
        // What can never fit, with all else up and nothing else out, is told now and does not wait for ever.
        let size = if order.together { order.machines.len().max(1) } else { 1 };
        for group in order.machines.chunks(size) {
            sight.bears(&Work::default(), group, rules, true)?;
        }
        Ok(new)
    }

    /// Takes an order; the same one again changes nothing. A machine that nobody knows waits, and is named as unknown.
    pub fn order(&self, order: Order) -> Result<Self, Refused> {
        if self.orders.get(&order.id) == Some(&order) {
            return Ok(self.clone());
        }
        if self.orders.len() >= MOST_ORDERS
            || self.stages.len() + order.machines.len() > MOST_MACHINES
            || order.machines.is_empty()
            || order.reason.len() > MOST_REASON
            || self.orders.contains_key(&order.id)
        {
            return Err(Refused::Bound);
        }
        let mut new = self.clone();
        for machine in &order.machines {
            let waiting = (order.id, Stage::Waiting);
            if let Some((other, _)) = new.stages.insert(machine.clone(), waiting) {
                return Err(Refused::InOrder(machine.clone(), other));
            }
        }
        new.orders.insert(order.id, order);
        Ok(new)
    }

    /// Takes an order back: what is not out stays in use, what is out stays out until it is back.
    pub fn withdraw(&self, id: u64) -> Result<Self, Refused> {
        if !self.orders.contains_key(&id) {
            return Err(Refused::NoOrder(id));
        }
        let mut new = self.clone();
        new.stages.retain(|_, (order, stage)| *order != id || matches!(stage, Stage::Out | Stage::Warming));
        Ok(new.tidied())
    }

    /// Staff's word that a machine is back; told twice it changes nothing.
    pub fn back(&self, machine: &Machine) -> Result<Self, Refused> {
        let mut new = self.clone();
        match new.stages.get_mut(machine) {
            Some((_, stage @ (Stage::Out | Stage::Warming))) => *stage = Stage::Warming,
            _ => return Err(Refused::NotOut(machine.clone())),
        }
        Ok(new)
    }

    /// Nothing more goes out, or work goes on.
    pub fn stop(&self, stopped: bool) -> Self {
        Self { stopped, ..self.clone() }
    }

    /// A machine's way ends.
    fn done(&self, machine: &Machine) -> Self {
        let mut new = self.clone();
        new.stages.remove(machine);
        new.asked.remove(machine);
        new.tidied()
    }

    fn staged(&self, machine: &Machine, stage: Stage) -> Self {
        let mut new = self.clone();
        if let Some((_, old)) = new.stages.get_mut(machine) {
            *old = stage;
        }
        if stage == Stage::Asked {
            new.turns += 1;
            new.asked.insert(machine.clone(), new.turns);
        }
        new
    }

    /// Which turn an asked machine has.
    fn turn(&self, machine: &Machine) -> u64 {
        self.asked.get(machine).copied().unwrap_or(0)
    }

    /// Whether there is nothing to do.
    pub fn is_done(&self) -> bool {
        self.orders.is_empty() && self.stages.is_empty() && !self.stopped
    }

    /// Orders of which nothing is left are gone.
    fn tidied(mut self) -> Self {
        let Self { orders, stages, asked, .. } = &mut self;
        asked.retain(|machine, _| stages.contains_key(machine));
        orders.retain(|id, _| stages.values().any(|(order, _)| order == id));
        self
    }
}
