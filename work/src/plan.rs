//! The next step, from the agreed state and what the routers tell. Whoever leads computes it; with the same input any
//! router comes to the same.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Machine, Micros, Refused, Stage, Work};

/// A location or a hub, by its number on the list.
pub type Place = u32;

/// A machine as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Where it stands.
    pub place: Place,
    /// What it can bear.
    pub capacity: u64,
    /// How it is without any order.
    pub state: State,
    /// What the routers bid: what it carries now, all of them together.
    pub load: u64,
}

/// How a machine is, by the coordinator and the routers' own eyes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Up and warm.
    Up,
    /// Up and cold: counted as missing.
    Cold,
    /// Down, draining or gone without an order.
    Missing,
}

/// What a router on the roll has told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The latest decision that it acts on.
    pub number: u64,
    /// Machines on which it has something open.
    pub open: BTreeSet<Machine>,
}

/// All that the leader sees.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    /// Machines on the list and the roll.
    pub machines: BTreeMap<Machine, Seen>,
    /// Routers on the roll; none: not heard of since this leader leads.
    pub routers: BTreeMap<String, Option<Heard>>,
    /// Routers that vote, and whether they are heard.
    pub electors: BTreeMap<String, bool>,
    /// Who leads.
    pub leader: String,
    /// The latest decision that struck a router off the roll; 0: none. It may act on for a while.
    pub struck: u64,
    /// Routers of which an earlier life was replaced before it had left: it may act beside the later one, and is not
    /// heard.
    pub beside: BTreeSet<String>,
    /// The latest decision that replaced one so; 0: none.
    pub superseded: u64,
}

/// What a router does whose confirmation has run out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Alone {
    /// It takes no new work: the fleet can go on without it.
    Stop,
    /// It serves on: nothing goes out until it is heard or forgotten.
    Hold,
}

/// An earlier life acts on for so long, beside its successor in an upgrade, after it sees that one on the roll.
pub const OVERLAP: Micros = 30_000_000;

impl Rules {
    /// For a stated time and the longest time that a request is open, by clocks that run wrong by so much at most.
    pub fn new(headroom: u64, most_out: usize, lease: Micros, longest: Micros, drift_ppm: u64) -> Self {
        // Twice the drift: the clock of who waits and that of who acts may differ either way.
        let stretched = |time: Micros| time + (2 * time * drift_ppm).div_ceil(1_000_000);
        let (over, overlap) = (stretched(lease + longest), stretched(lease + longest + OVERLAP));
        Self { headroom, most_out, over, overlap, alone: Alone::Stop, guards: Guards::default() }
    }
}

/// Guards that the simulator can take out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guards {
    /// A machine is out only once it is clear.
    pub clear: bool,
    /// Who is not heard is waited for.
    pub unreached: bool,
    /// A place keeps its headroom.
    pub headroom: bool,
    /// The leader hands over before its own turn.
    pub hand_over: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self { clear: true, unreached: true, headroom: true, hand_over: true }
    }
}

/// What the operators' file says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// A place keeps its load and so much more, in thousandths.
    pub headroom: u64,
    /// Machines of a place that may be asked, out or warming at a time.
    pub most_out: usize,
    /// After so long by this router's own clock, stretched by its drift, nobody acts on what was overtaken, and all
    /// that was begun on it has ended: the stated time and the longest deadline.
    pub over: Micros,
    /// After so long an earlier life that was replaced uses nothing any more: the same, and [`OVERLAP`].
    pub overlap: Micros,
    /// What a router does alone.
    pub alone: Alone,
    /// All on, but in the simulator.
    pub guards: Guards,
}

impl Why {
    /// The machine that waits, and for what.
    pub fn waits(&self) -> Option<(&Machine, String)> {
        match self {
            Why::Held(machine, names) => {
                Some((machine, format!("may still be used by {}", names.join(", "))))
            }
            Why::Short(machine, refused) => Some((machine, refused.to_string())),
            _ => None,
        }
    }
}

/// What a leader remembers of its own watch: when it first saw a machine asked. A later leader begins anew, which
/// only makes it wait longer.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    asked: BTreeMap<(Machine, u64), (u64, Micros)>,
    /// The latest striking off that it saw, and when it saw it first.
    struck: (u64, Micros),
    /// The same of an earlier life's replacement.
    superseded: (u64, Micros),
}

/// What a step is, or what nothing is done for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// The machine's turn has come.
    Turn(Machine),
    /// Nobody uses it any more.
    Clear(Machine),
    /// It is warm.
    Warm(Machine),
    /// Its place has become short, or staff have stopped the work: it stays in use.
    TakenBack(Machine),
    /// The leader's own turn: another one has to lead first.
    HandOver,
    /// These hold a machine up.
    Held(Machine, Vec<String>),
    /// The place can't spare it now.
    Short(Machine, Refused),
}

impl Sight {
    /// Whether the fleet can do without these besides what the state has out. `ideal`: as if all were up.
    pub(crate) fn bears(
        &self,
        work: &Work,
        more: &[Machine],
        rules: &Rules,
        ideal: bool,
    ) -> Result<(), Refused> {
        let taken = |machine: &Machine| work.stages.get(machine).is_some_and(|(_, s)| *s != Stage::Waiting);
        let places: BTreeSet<(bool, Place)> =
            more.iter().filter_map(|m| Some((self.is_router(m), self.machines.get(m)?.place))).collect();
        for (routers, place) in places {
            let (mut left, mut load, mut out) = (0, 0, 0);
            for (machine, seen) in
                self.machines.iter().filter(|(m, s)| s.place == place && self.is_router(m) == routers)
            {
                load += seen.load;
                let gone = taken(machine) || more.contains(machine);
                out += usize::from(gone);
                if !gone && (ideal || seen.state == State::Up) {
                    left += seen.capacity;
                }
            }
            let needed = (load * (1000 + rules.headroom)).div_ceil(1000);
            if rules.guards.headroom && (left < needed || left == 0 || (out > rules.most_out && !ideal)) {
                return Err(Refused::TooMuch { place, left, needed });
            }
        }
        // Electors: never so many that those left and heard are no quorum.
        let stay = |name: &&String| {
            let machine = Machine::Router((*name).clone());
            !taken(&machine) && !more.contains(&machine) && (ideal || self.electors[*name])
        };
        let left = self.electors.keys().filter(stay).count();
        let touches =
            more.iter().any(|m| matches!(m, Machine::Router(name) if self.electors.contains_key(name)));
        if touches && left * 2 <= self.electors.len() {
            let (left, needed) = (left as u64, self.electors.len() as u64 / 2 + 1);
            return Err(Refused::TooMuch { place: Place::MAX, left, needed });
        }
        Ok(())
    }

    fn is_router(&self, machine: &Machine) -> bool {
        matches!(machine, Machine::Router(_))
    }
}

impl Watch {
    /// The next step of all, if there is one, and why; else what is waited for. `number`: the decision that the
    /// state is of.
    pub fn next(
        &mut self,
        now: Micros,
        number: u64,
        work: &Work,
        sight: &Sight,
        rules: &Rules,
    ) -> (Option<Work>, Vec<Why>) {
        let asked: BTreeSet<(Machine, u64)> =
            work.at(Stage::Asked).map(|m| (m.clone(), work.turn(m))).collect();
        self.asked.retain(|turn, _| asked.contains(turn));
        for turn in asked {
            self.asked.entry(turn).or_insert((number, now));
        }
        if self.struck.0 != sight.struck {
            self.struck = (sight.struck, now);
        }
        if self.superseded.0 != sight.superseded {
            self.superseded = (sight.superseded, now);
        }
        // What was asked and is not out is taken back where the place has become short, or staff have said stop.
        for machine in work.at(Stage::Asked) {
            let kept = work.staged(machine, Stage::Waiting);
            let short = sight.bears(&kept, std::slice::from_ref(machine), rules, false).is_err();
            if work.stopped || short {
                return (Some(kept), vec![Why::TakenBack(machine.clone())]);
            }
        }
        let mut waits = Vec::new();
        for machine in work.at(Stage::Asked) {
            let holding = self.holding(now, (machine, work.turn(machine)), sight, rules);
            if holding.is_empty() || !rules.guards.clear {
                return (Some(work.staged(machine, Stage::Out)), vec![Why::Clear(machine.clone())]);
            }
            waits.push(Why::Held(machine.clone(), holding));
        }
        for machine in work.at(Stage::Warming) {
            if sight.machines.get(machine).is_none_or(|seen| seen.state == State::Up) {
                return (Some(work.done(machine)), vec![Why::Warm(machine.clone())]);
            }
        }
        if work.stopped {
            return (None, waits);
        }
        // The least missed goes first: by what the routers bid, then by name, the same at every router.
        let mut waiting: Vec<(&Machine, u64)> = work
            .stages
            .iter()
            .filter(|(_, (_, s))| *s == Stage::Waiting)
            .map(|(m, (id, _))| (m, *id))
            .collect();
        waiting.sort_by_key(|(m, _)| (sight.machines.get(m).map_or(0, |seen| seen.load), *m));
        for (machine, id) in waiting {
            let order = work.orders.get(&id);
            let group: Vec<Machine> = match order.is_some_and(|order| order.together) {
                true => work.at(Stage::Waiting).filter(|m| work.stages[*m].0 == id).cloned().collect(),
                false => vec![machine.clone()],
            };
            if let Some(unknown) = group.iter().find(|m| !sight.machines.contains_key(m)) {
                waits.push(Why::Short(machine.clone(), Refused::Unknown(unknown.clone())));
                continue;
            }
            if let Err(short) = sight.bears(work, &group, rules, false) {
                waits.push(Why::Short(machine.clone(), short));
                continue;
            }
            let own = Machine::Router(sight.leader.clone());
            if rules.guards.hand_over && group.contains(&own) {
                waits.push(Why::HandOver);
                continue;
            }
            let new = group.iter().fold(work.clone(), |work, m| work.staged(m, Stage::Asked));
            return (Some(new), vec![Why::Turn(machine.clone())]);
        }
        (None, waits)
    }

    /// Who may still use a machine that all were asked to let go of. Guards against pulling the plug under a request:
    /// a router is let go by its own word, or, where it stops alone, once nobody can act on what was overtaken
    /// when this leader first saw it asked. Harm it may do: a router that is cut off holds work up for that long.
    fn holding(&self, now: Micros, turn: (&Machine, u64), sight: &Sight, rules: &Rules) -> Vec<String> {
        let (machine, turn) = turn;
        let Some((number, since)) = self.asked.get(&(machine.clone(), turn)) else {
            return vec!["?".to_owned()];
        };
        let stop = rules.alone == Alone::Stop;
        let over = stop && now >= since + rules.over;
        // Its own word that it still serves outranks the time: it knows that it is asked, and takes what comes.
        let serves = |name: &str, heard: &Option<Heard>| {
            let own = matches!(machine, Machine::Router(router) if router == name);
            own && heard.as_ref().is_some_and(|h| h.number >= *number && h.open.contains(machine))
        };
        let holds = |heard: &Option<Heard>| match heard {
            Some(heard) => heard.number < *number || heard.open.contains(machine),
            None => rules.guards.unreached,
        };
        let beside =
            |name: &String| sight.beside.contains(name) && (!stop || now < self.superseded.1 + rules.overlap);
        let holding = sight
            .routers
            .iter()
            .filter(|(name, heard)| serves(name, heard) || (!over && (holds(heard) || beside(name))));
        // Who was struck off is on no roll, and may act for as long as anybody who was not heard.
        let struck = self.struck.0 > 0 && now < self.struck.1 + rules.over && !over;
        let struck = (struck && stop).then(|| "a router struck off".to_owned());
        holding.map(|(name, _)| name.clone()).chain(struck).collect()
    }
}

/// What would happen to the orders from here on, were staff to bring each machine back as soon as it is out and warm:
/// what goes in which turn, and what would never go and why. Nothing is done.
pub fn plan(work: &Work, sight: &Sight, rules: &Rules) -> (Vec<Vec<Machine>>, Vec<Why>) {
    let rules = Rules { alone: Alone::Stop, guards: Guards { hand_over: false, ..rules.guards }, ..*rules };
    let mut work = work.stop(false);
    let (mut turns, mut turn, mut now) = (Vec::new(), Vec::new(), 0);
    let mut watch = Watch::default();
    // Each machine asks, clears and warms; a bound besides for what a fault would make of it.
    for _ in 0..8 * (work.stages.len() + 1) {
        let (step, why) = watch.next(now, 1, &work, sight, &rules);
        now += rules.overlap;
        match step {
            Some(new) => {
                turn.extend(new.at(Stage::Asked).filter(|m| work.at(Stage::Asked).all(|a| a != *m)).cloned());
                work = new;
            }
            None => {
                let out: Vec<Machine> = work.at(Stage::Out).cloned().collect();
                if out.is_empty() {
                    let short = why.into_iter().filter(|why| matches!(why, Why::Short(..)));
                    turns.extend((!turn.is_empty()).then_some(turn));
                    return (turns, short.collect());
                }
                out.iter().for_each(|m| work = work.done(m));
                turns.extend((!turn.is_empty()).then(|| std::mem::take(&mut turn)));
            }
        }
    }
    (turns, Vec::new())
}
