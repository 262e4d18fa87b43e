//! Hosts the relays' real cores: sources that follow a made-up coordinator, relays, and routers below them.

mod faults;
mod network;
mod watch;

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use silverspindle_relay::{
    Action, Entry, Event, Guards, Micros, Node, NodeId, PurgeTarget, Record, Role, Settings,
};

use self::faults::CutRegion;
use self::network::{Connection, ConnectionIndex};
use self::watch::Watch;
use super::meter::{self, Meter};
use super::queue::Queue;
use super::report::{FEED_PURGE, Facts, Row};
use super::scenario::{PURGES_A_SECOND, Scenario};
use super::tree::{Part, Place, Shape, one_way};
use super::{Core, MS, Run, SECOND};

/// The lease of the simulated nodes.
pub const LEASE: Micros = 5 * SECOND;
/// The lease of a router that follows the coordinator itself.
pub const DIRECT_LEASE: Micros = 3 * SECOND;
/// Records are passed on at most so often.
pub const BATCH_EVERY: Micros = 500 * MS;
/// Reports go so often.
pub const REPORT_EVERY: Micros = SECOND;
/// What clocks may run wrong by, in millionths; they are drawn within half of it either way.
pub const DRIFT_PPM: u64 = 1_000;
/// Records kept, but where a cut hour is compressed.
pub const RECORDS: usize = 32_768;
/// Children that a node takes, or twice its part of the routers where that is more.
pub const CHILDREN: usize = 1_024;
/// The coordinator's numbers begin behind this one.
pub const BEGIN: u64 = 1_000_000;
/// Members on the list, and bytes of each in the coordinator's event.
pub const MEMBERS: usize = 1_300;
const MEMBER_BYTES: usize = 27;
/// Who follows the coordinator looks so often; each 20th time it learns that it is current.
const FEED_EVERY: Micros = 50 * MS;
const FEEDS_A_CURRENT: u64 = 20;
/// Sources and relays run for so long before the routers start.
const CONTROL_FIRST: Micros = 8 * SECOND;
/// Routers start within this time of each other, and all at once within that.
const START_SPREAD: Micros = 5 * SECOND;
const START_AT_ONCE: Micros = SECOND;
/// Measuring begins at this time, but where the start itself is measured.
const WARM: Micros = 25 * SECOND;
/// Purges come for so long before.
const PURGES_BEFORE: Micros = 5 * SECOND;
/// So much longer is what came in the measured time followed until it is everywhere.
const TAIL: Micros = 20 * SECOND;

/// What happens next, and when.
enum What {
    /// A node's own time, of this life of it.
    Due {
        process: usize,
        life: u64,
    },
    Start {
        process: usize,
    },
    /// Who follows the coordinator asks it.
    Feed {
        process: usize,
        life: u64,
        following: u64,
        turn: u64,
    },
    /// The answer; it was asked then.
    Fed {
        process: usize,
        life: u64,
        following: u64,
        asked: Micros,
        current: bool,
    },
    Purge,
    Sample,
    Network(network::Happening),
    Fault(faults::Fault),
    Measure,
}

/// A process: it comes and goes, its place stays.
struct Process {
    node: Option<Node>,
    life: u64,
    /// Parts in a million that its clock runs fast.
    drift: i64,
    clock_start: Micros,
    applied: u64,
    /// When its next tick is planned.
    due: Micros,
    /// Its connection to each parent, by the parent's place in its list.
    links: Vec<Option<ConnectionIndex>>,
    /// The parent whose connection came up last.
    current: Option<ConnectionIndex>,
    /// Since which turn it follows the coordinator, and up to which number it was told.
    following: Option<u64>,
    fed: u64,
    /// Its machine is gone: nobody answers, not even with a reset.
    silent: bool,
}

/// See the module's text.
struct Model {
    run: Run,
    guards: Guards,
    cuts: CutRegion,
    shape: Shape,
    places: Vec<Place>,
    processes: Vec<Process>,
    connections: Vec<Connection>,
    now: Micros,
    queue: Queue<What>,
    rng: Pcg64Mcg,
    meter: Meter,
    /// The coordinator's events, from `BEGIN + 1` on, and when each came.
    records: Vec<(Micros, Record)>,
    /// The region that is cut off.
    cut: Option<usize>,
    measure_from: Micros,
    measure_to: Micros,
    records_kept: usize,
    follows: u64,
    gone: u64,
    watch: Watch,
    digest: u64,
    actions: Vec<Action>,
    /// Order in which records were applied wrongly; a broken promise.
    out_of_order: u64,
    /// Routers that follow the coordinator themselves, at most.
    following_most: usize,
    following_now: BTreeSet<usize>,
}

/// Plays a run; a row for each role.
pub fn play(run: Run) -> Vec<Row> {
    play_with(run, Guards::default())
}

/// The same with nodes whose guards are as given, to see that the checker finds what they guard against.
pub fn play_with(run: Run, guards: Guards) -> Vec<Row> {
    let variants: &[CutRegion] = match run.scenario {
        Scenario::Region => &CutRegion::ALL,
        _ => &CutRegion::ALL[..1],
    };
    variants.iter().flat_map(|variant| play_variant(run, guards, *variant)).collect()
}

fn play_variant(run: Run, guards: Guards, cuts: CutRegion) -> Vec<Row> {
    let mut model = Model::new(run, guards, cuts);
    let end = model.measure_to + TAIL;
    while let Some((at, what)) = model.queue.pop() {
        if at > end {
            break;
        }
        model.now = at;
        model.happens(what);
    }
    model.rows()
}

impl Model {
    fn new(run: Run, guards: Guards, cuts: CutRegion) -> Self {
        let shape = Shape::default();
        let places = shape.places(run.routers);
        let mut rng = Pcg64Mcg::seed_from_u64(run.seed);
        let wrong = (DRIFT_PPM / 2) as i64;
        let processes = places.iter().map(|place| Process {
            node: None,
            life: 0,
            drift: rng.random_range(-wrong..=wrong),
            clock_start: rng.random_range(0..1000 * SECOND),
            applied: BEGIN,
            due: Micros::MAX,
            links: vec![None; place.parents.len()],
            current: None,
            following: None,
            fed: BEGIN,
            silent: false,
        });
        let processes: Vec<Process> = processes.collect();
        let starts = run.scenario == Scenario::Start;
        let measure_from = if starts { CONTROL_FIRST } else { WARM };
        let records_kept = match run.scenario {
            Scenario::Region => (faults::cut_for(run) / SECOND * PURGES_A_SECOND / 2) as usize,
            _ => RECORDS,
        };
        let mut model = Self {
            meter: Meter::new(processes.len()),
            measure_from,
            measure_to: measure_from + run.seconds * SECOND,
            records_kept,
            run,
            guards,
            cuts,
            shape,
            places,
            processes,
            connections: Vec::new(),
            now: 0,
            queue: Queue::default(),
            rng,
            records: Vec::new(),
            cut: None,
            follows: 0,
            gone: 0,
            watch: Watch::new(BEGIN + 1),
            digest: 0,
            actions: Vec::new(),
            out_of_order: 0,
            following_most: 0,
            following_now: BTreeSet::new(),
        };
        model.plan();
        model
    }

    /// Puts in what does not depend on what happens.
    fn plan(&mut self) {
        let list = [vec![1u8], vec![0; MEMBERS * MEMBER_BYTES]].concat();
        self.records.push((0, Record { number: BEGIN + 1, entry: Entry::List(list) }));
        let spread = match self.run.scenario {
            Scenario::Start => START_AT_ONCE,
            _ => START_SPREAD,
        };
        for process in 0..self.places.len() {
            let at = match self.places[process].part {
                Part::Router => CONTROL_FIRST + self.rng.random_range(0..spread),
                _ => self.rng.random_range(0..SECOND),
            };
            self.queue.push(at, What::Start { process });
        }
        if self.run.scenario.has_purges() {
            self.queue.push(self.measure_from - PURGES_BEFORE, What::Purge);
        }
        self.queue.push(0, What::Sample);
        self.queue.push(self.measure_from, What::Measure);
        self.queue.push(self.measure_to, What::Measure);
        self.plan_faults();
    }

    /// A process's own steady clock.
    fn local(&self, process: usize) -> Micros {
        let process = &self.processes[process];
        let wrong = i128::from(self.now) * i128::from(process.drift) / 1_000_000;
        process.clock_start + (i128::from(self.now) + wrong) as Micros
    }

    /// A time of its clock on the true one, not before now.
    fn of_local(&self, process: usize, local: Micros) -> Micros {
        let process = &self.processes[process];
        let since = i128::from(local.saturating_sub(process.clock_start)) * 1_000_000;
        let true_time = (since / (1_000_000 + i128::from(process.drift))) as u128;
        u64::try_from(true_time).unwrap_or(Micros::MAX / 2).max(self.now) + 1
    }

    /// Takes what happened into the digest that tells two runs apart.
    fn mix(&mut self, kind: u64, process: usize, value: u64) {
        for part in [self.now, kind, process as u64, value] {
            self.digest = (self.digest ^ part).wrapping_mul(0x0100_0000_01b3).rotate_left(23);
        }
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Due { process, life } => self.tick(process, life),
            What::Start { process } => self.start(process),
            What::Feed { process, life, following, turn } => self.feed(process, life, following, turn),
            What::Fed { process, life, following, asked, current } => {
                self.fed(process, life, following, asked, current);
            }
            What::Purge => self.purge(),
            What::Sample => self.sample(),
            What::Network(happening) => self.network(happening),
            What::Fault(fault) => self.fault(fault),
            What::Measure if self.now >= self.measure_to => self.meter.stop(),
            What::Measure => self.meter.start(),
        }
    }

    // ---- Processes.

    fn start(&mut self, process: usize) {
        let now = self.local(process);
        let place = &self.places[process];
        let part = place.part;
        let settings = Settings {
            id: NodeId { instance: process as u64 + 1, incarnation: self.processes[process].life + 1 },
            name: format!("r{process}"),
            role: match part {
                Part::Source => Role::Source,
                Part::Relay => Role::Relay,
                Part::Router => Role::Router,
            },
            parents: place.parents.len(),
            lease: LEASE,
            direct_lease: DIRECT_LEASE,
            drift_ppm: DRIFT_PPM,
            batch_every: BATCH_EVERY,
            report_every: REPORT_EVERY,
            children: match part {
                Part::Router => 0,
                _ => CHILDREN.max(2 * self.run.routers / self.shape.relays),
            },
            records: self.records_kept,
            seed: self.rng.random(),
            guards: self.guards,
        };
        let state = &mut self.processes[process];
        state.node = Some(Node::new(settings, BEGIN, now));
        state.life += 1;
        state.silent = false;
        (state.applied, state.fed) = (BEGIN, BEGIN);
        (state.due, state.current, state.following) = (Micros::MAX, None, None);
        state.links.fill(None);
        self.mix(1, process, 0);
        if part == Part::Source {
            self.follow(process, BEGIN);
        }
        self.handle(process, Event::Tick);
    }

    fn tick(&mut self, process: usize, life: u64) {
        let state = &self.processes[process];
        if state.life != life || state.due != self.now {
            return;
        }
        self.processes[process].due = Micros::MAX;
        self.handle(process, Event::Tick);
    }

    /// Gives a node an event and does what it says, until it says nothing more.
    fn handle(&mut self, process: usize, event: Event) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let now = self.local(process);
            let mut actions = std::mem::take(&mut self.actions);
            let Some(node) = &mut self.processes[process].node else { return };
            self.meter.time(process, || node.handle(now, event, &mut actions));
            for action in actions.drain(..) {
                if let Some(number) = self.act(process, action) {
                    next = Some(Event::Applied { number });
                }
            }
            self.actions = actions;
        }
        self.plan_tick(process);
    }

    fn plan_tick(&mut self, process: usize) {
        let Some(node) = &self.processes[process].node else { return };
        let due = self.of_local(process, node.due());
        let state = &mut self.processes[process];
        if due < state.due {
            state.due = due;
            let life = state.life;
            self.queue.push(due, What::Due { process, life });
        }
    }

    /// Does what a node says; a number where it has applied up to there.
    fn act(&mut self, process: usize, action: Action) -> Option<u64> {
        match action {
            Action::Connect(parent) => self.connect(process, parent),
            Action::Disconnect { parent, .. } => self.disconnect(process, parent),
            Action::ToParent(frame) => self.send_to_parent(process, &frame),
            Action::ToChild { child, frame } => self.send_to_child(child, &frame),
            Action::EndChild { child, .. } => self.end_child(child),
            Action::Apply(records) => return self.apply(process, &records),
            Action::ApplyReset(reset) => {
                self.mix(2, process, reset.number);
                self.processes[process].applied = reset.number;
                return Some(reset.number);
            }
            Action::Follow { after } => self.follow(process, after),
            Action::Unfollow => {
                self.processes[process].following = None;
                self.following_now.remove(&process);
            }
        }
        None
    }

    fn apply(&mut self, process: usize, records: &[Record]) -> Option<u64> {
        let applied = self.processes[process].applied;
        let joins_on = records.iter().enumerate().all(|(n, record)| record.number == applied + 1 + n as u64);
        if !joins_on {
            self.out_of_order += 1;
        }
        let number = records.last()?.number;
        self.processes[process].applied = number;
        self.mix(3, process, number);
        Some(number)
    }

    // ---- The coordinator.

    fn purge(&mut self) {
        let number = BEGIN + 1 + self.records.len() as u64;
        let what = PurgeTarget::Object(self.rng.random());
        let entry = Entry::Purge { what, at_ms: 1_700_000_000_000 + self.now / MS };
        self.records.push((self.now, Record { number, entry }));
        let next = self.now + SECOND / PURGES_A_SECOND;
        if next < self.measure_to {
            self.queue.push(next, What::Purge);
        }
    }

    fn follow(&mut self, process: usize, after: u64) {
        self.follows += 1;
        let following = self.follows;
        let state = &mut self.processes[process];
        (state.following, state.fed) = (Some(following), after);
        let life = state.life;
        if self.places[process].part == Part::Router {
            self.following_now.insert(process);
            self.following_most = self.following_most.max(self.following_now.len());
        }
        self.queue.push(self.now, What::Feed { process, life, following, turn: 0 });
    }

    fn is_following(&self, process: usize, life: u64, following: u64) -> bool {
        let state = &self.processes[process];
        state.life == life && state.node.is_some() && state.following == Some(following)
    }

    fn to_coordinator(&self, process: usize) -> Micros {
        one_way(self.places[process].region, self.shape.coordinator_region())
    }

    fn feed(&mut self, process: usize, life: u64, following: u64, turn: u64) {
        if !self.is_following(process, life, following) {
            return;
        }
        let again = self.now + FEED_EVERY;
        self.queue.push(again, What::Feed { process, life, following, turn: turn + 1 });
        if self.path_is_open(self.places[process].region, self.shape.coordinator_region()) {
            let at = self.now + 2 * self.to_coordinator(process);
            let current = turn.is_multiple_of(FEEDS_A_CURRENT);
            self.queue.push(at, What::Fed { process, life, following, asked: self.now, current });
        }
    }

    fn fed(&mut self, process: usize, life: u64, following: u64, asked: Micros, current: bool) {
        let open = self.path_is_open(self.places[process].region, self.shape.coordinator_region());
        if !open || !self.is_following(process, life, following) {
            return;
        }
        // The coordinator told what it knew when it was asked.
        let told = asked + self.to_coordinator(process);
        let fed = self.processes[process].fed;
        let new = self.records[(fed - BEGIN) as usize..].iter().take_while(|(at, _)| *at <= told);
        let new: Vec<Record> = new.map(|(_, record)| record.clone()).collect();
        for record in &new {
            let bytes = match &record.entry {
                Entry::Purge { .. } => FEED_PURGE,
                Entry::List(list) => 12 + list.len() as u64,
            };
            self.meter.received(process, bytes as usize, meter::feed_event(bytes));
        }
        if let Some(last) = new.last() {
            self.processes[process].fed = last.number;
            self.mix(4, process, last.number);
            self.handle(process, Event::Append(new));
        }
        if current && self.is_following(process, life, following) {
            let asked_local = self.local(process) - (self.now - asked);
            self.handle(process, Event::Current { asked: asked_local });
        }
    }

    // ---- What it came to.

    fn rows(self) -> Vec<Row> {
        let facts = self.facts();
        let parts = [(Part::Source, "source"), (Part::Relay, "relay"), (Part::Router, "router")];
        parts
            .iter()
            .map(|(part, role)| {
                let of_part = |process: &usize| self.places[*process].part == *part;
                let all: Vec<usize> = (0..self.places.len()).filter(of_part).collect();
                let usage: Vec<_> = all.iter().map(|process| self.meter.usage()[*process]).collect();
                let nodes = all.iter().filter_map(|process| self.processes[*process].node.as_ref());
                let held: Vec<f64> = nodes.map(|node| node.memory() as f64).collect();
                let state = held.iter().sum::<f64>() / held.len().max(1) as f64;
                Row::of(&facts, role, &usage, state)
            })
            .collect()
    }

    fn facts(&self) -> Facts {
        let mut facts = self.watch.facts(self.run, Core::Relay, self.records.last());
        if self.run.scenario == Scenario::Region {
            facts.variant = self.cuts.name().to_owned();
        }
        facts.digest = format!("{:016x}", self.digest);
        let Shape { sources, relays, zones, regions, .. } = self.shape;
        facts.note = format!(
            "{sources} sources, {relays} relays, {zones} zones, {regions} regions; {}; {} records kept; {} routers followed \
             the coordinator at most; {} applied out of order",
            self.faults_note(),
            self.records_kept,
            self.following_most,
            self.out_of_order
        );
        facts
    }
}
