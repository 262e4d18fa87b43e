//! Hosts the agreement's real cores: five electors among the routers, all others follow and tell of themselves as the
//! program does.

mod staff;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use silverspindle_agreement::{
    Action, Assembler, Change, Disk, Event, Fleet, Frame, Guards, HardState, Member, Micros, Node, Proposal,
    ProposalId, Refusal, Snapshot, Terms, Verdict, Write, pieces,
};
use silverspindle_rules::Told;

use self::staff::{Staff, Variant};
use super::everywhere::Progress;
use super::meter::{self, Meter};
use super::queue::Queue;
use super::report::{Facts, Row};
use super::scenario::{self, CHURN_COMPRESSED, Scenario};
use super::tree::{Shape, one_way};
use super::{Core, MS, Run, SECOND};

/// Electors.
pub const ELECTORS: usize = 5;
/// The stated time.
pub const LEASE: Micros = 2 * SECOND;
/// Clocks may run wrong by so many millionths; they are drawn within half of it either way.
pub const DRIFT_PPM: u64 = 1_000;
/// As the program: how long a proposal is tried, and when a join without an outcome is tried again.
const PATIENCE: Micros = 3 * LEASE;
const JOIN_AGAIN: Micros = SECOND;
/// Routers start within this time of each other, and all at once within that.
const START_SPREAD: Micros = 5 * SECOND;
const START_AT_ONCE: Micros = SECOND;
/// Electors run for so long before all others start.
const CONTROL_FIRST: Micros = 8 * SECOND;
/// Measuring begins at this time, but where the start itself is measured.
const WARM: Micros = 20 * SECOND;
/// So much longer is what came in the measured time followed.
const TAIL: Micros = 20 * SECOND;
/// The checker looks so often; times are rounded up to it.
const SAMPLE_EVERY: Micros = 100 * MS;
/// A router that is restarted leaves so long before, and is back so long after; one whose machine fails is back then.
const LEAVES_BEFORE: Micros = SECOND;
const RESTARTS_WITHIN: Micros = SECOND;
const REPLACED_WITHIN: Micros = 10 * SECOND;

/// Who proposes that a router is there, and that it leaves.
const JOIN: u64 = 1 << 40;
const LEAVE: u64 = 1 << 41;

/// What happens next, and when.
enum What {
    Due { router: usize, life: u64 },
    Start { router: usize },
    Join { router: usize, life: u64 },
    Die { router: usize, back: Micros },
    Frame { from: usize, to: usize, bytes: Vec<Vec<u8>> },
    Churn,
    Staff,
    Sample,
    Measure,
}

/// A router: its process comes and goes.
struct Router {
    node: Option<Node>,
    disk: Option<Disk>,
    name: String,
    life: u64,
    /// The life that it is on the roll with: as the program, a later one where a join has grown too old.
    joined_as: u64,
    drift: i64,
    clock_start: Micros,
    due: Micros,
    region: usize,
}

/// See the module's text.
struct Model {
    run: Run,
    variant: Option<Variant>,
    routers: Vec<Router>,
    now: Micros,
    queue: Queue<What>,
    rng: Pcg64Mcg,
    meter: Meter,
    measure_from: Micros,
    measure_to: Micros,
    staff: Staff,
    /// The staff's changes, by the order in which they were made.
    progress: Progress,
    gone: u64,
    joined: Option<Micros>,
    refused_joins: u64,
    roll_most: usize,
    digest: u64,
    actions: Vec<Action>,
}

/// Plays a run, in each of its variants; a row for each role.
pub fn play(run: Run) -> Vec<Row> {
    let variants = match run.scenario {
        Scenario::Versions => Variant::ALL.iter().copied().map(Some).collect(),
        _ => vec![None],
    };
    variants.into_iter().flat_map(|variant| play_variant(run, variant)).collect()
}

fn play_variant(run: Run, variant: Option<Variant>) -> Vec<Row> {
    let mut model = Model::new(run, variant);
    let end = model.measure_to + TAIL;
    while let Some((at, what)) = model.queue.pop() {
        if at > end || (at > model.measure_to && model.is_done()) {
            break;
        }
        model.now = at;
        model.happens(what);
    }
    model.rows()
}

impl Model {
    fn new(run: Run, variant: Option<Variant>) -> Self {
        let shape = Shape::default();
        let mut rng = Pcg64Mcg::seed_from_u64(run.seed);
        let wrong = (DRIFT_PPM / 2) as i64;
        let electors = ELECTORS.min(run.routers);
        let disks: Vec<u64> = (0..electors).map(|_| rng.random_range(1..u64::MAX)).collect();
        let starts = run.scenario == Scenario::Start;
        let routers = (0..run.routers).map(|n| Router {
            node: None,
            disk: disks.get(n).map(|id| Disk { boots: 0, ..Disk::new(*id) }),
            name: format!("n{n}"),
            life: 0,
            joined_as: 0,
            drift: rng.random_range(-wrong..=wrong),
            clock_start: rng.random_range(0..1000 * SECOND),
            due: Micros::MAX,
            region: n % shape.zones % shape.regions,
        });
        let routers = routers.collect();
        let measure_from = if starts { CONTROL_FIRST } else { WARM };
        let mut model = Self {
            meter: Meter::new(run.routers),
            measure_from,
            measure_to: measure_from + run.seconds * SECOND,
            run,
            variant,
            routers,
            now: 0,
            queue: Queue::default(),
            rng,
            staff: Staff::default(),
            progress: Progress::from(0),
            gone: 0,
            joined: None,
            refused_joins: 0,
            roll_most: 0,
            digest: 0,
            actions: Vec::new(),
        };
        if !starts {
            model.begin_with_all_on_the_roll(&disks);
        }
        model.plan();
        model
    }

    /// The electors' disks hold a fleet whose roll has all routers: what a fleet has after its start, without one.
    fn begin_with_all_on_the_roll(&mut self, disks: &[u64]) {
        let set: Vec<(String, u64)> =
            disks.iter().enumerate().map(|(n, id)| (self.routers[n].name.clone(), *id)).collect();
        let mut fleet = Fleet::formed(&set);
        for router in &self.routers {
            let member = Member { life: 1, left: false, number: 1, earlier: vec![] };
            fleet.roll.insert(router.name.clone(), member);
        }
        let snapshot =
            Snapshot { index: 1, term: 1, voters: disks.to_vec(), learners: vec![], data: fleet.spell() };
        for router in self.routers.iter_mut() {
            if let Some(disk) = &mut router.disk {
                disk.promise = Some(set.clone());
                disk.hard = HardState { term: 1, vote: 0, commit: 1 };
                disk.snapshot = snapshot.clone();
            }
        }
    }

    fn plan(&mut self) {
        let spread = if self.run.scenario == Scenario::Start { START_AT_ONCE } else { START_SPREAD };
        for router in 0..self.routers.len() {
            let at = match self.routers[router].disk {
                Some(_) => self.rng.random_range(0..SECOND),
                None => CONTROL_FIRST + self.rng.random_range(0..spread),
            };
            self.queue.push(at, What::Start { router });
        }
        self.queue.push(CONTROL_FIRST, What::Sample);
        self.queue.push(self.measure_from, What::Measure);
        self.queue.push(self.measure_to, What::Measure);
        if self.run.scenario == Scenario::Churn {
            self.queue.push(self.measure_from, What::Churn);
        }
        if self.run.scenario != Scenario::Quiet {
            self.queue.push(self.measure_from + SECOND, What::Staff);
        }
    }

    fn local(&self, router: usize) -> Micros {
        let router = &self.routers[router];
        let wrong = i128::from(self.now) * i128::from(router.drift) / 1_000_000;
        router.clock_start + (i128::from(self.now) + wrong) as Micros
    }

    fn of_local(&self, router: usize, local: Micros) -> Micros {
        let router = &self.routers[router];
        let since = i128::from(local.saturating_sub(router.clock_start)) * 1_000_000;
        let true_time = (since / (1_000_000 + i128::from(router.drift))) as u128;
        u64::try_from(true_time).unwrap_or(Micros::MAX / 2).max(self.now) + 1
    }

    fn mix(&mut self, kind: u64, router: usize, value: u64) {
        for part in [self.now, kind, router as u64, value] {
            self.digest = (self.digest ^ part).wrapping_mul(0x0100_0000_01b3).rotate_left(23);
        }
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Due { router, life } => self.tick(router, life),
            What::Start { router } => self.start(router),
            What::Join { router, life } => self.join(router, life),
            What::Die { router, back } => self.die(router, back),
            What::Frame { from, to, bytes } => self.arrives(from, to, &bytes),
            What::Churn => self.churn(),
            What::Staff => self.work(),
            What::Sample => self.sample(),
            What::Measure if self.now >= self.measure_to => self.meter.stop(),
            What::Measure => self.meter.start(),
        }
    }

    // ---- Routers.

    fn start(&mut self, router: usize) {
        let now = self.local(router);
        let seed = self.rng.random();
        let electors: Vec<String> = (0..ELECTORS.min(self.run.routers)).map(|n| format!("n{n}")).collect();
        let state = &mut self.routers[router];
        state.life += 1;
        state.joined_as = state.joined_as.max(state.life - 1) + 1;
        state.due = Micros::MAX;
        if let Some(disk) = &mut state.disk {
            disk.boots += 1;
        }
        let terms = Terms {
            name: state.name.clone(),
            life: state.joined_as,
            electors,
            operators: vec![staff::NAME.to_owned()],
            lease: LEASE,
            drift_ppm: DRIFT_PPM,
            patience: PATIENCE,
            seed,
            guards: Guards::default(),
        };
        state.node = Some(Node::new(terms, state.disk.clone(), now));
        let life = state.life;
        self.mix(1, router, life);
        // Whoever begins on the roll is there in its first life.
        if self.run.scenario == Scenario::Start || life > 1 {
            self.join(router, life);
        }
        self.handle(router, Event::Tick);
    }

    fn join(&mut self, router: usize, life: u64) {
        let state = &self.routers[router];
        let Some(node) = state.node.as_ref().filter(|_| state.life == life) else { return };
        let (name, by, joins_as) = (state.name.clone(), state.name.clone(), state.joined_as);
        let id = ProposalId(JOIN | router as u64, joins_as);
        let builds_on = node.fence().latest().map_or(0, |confirmation| confirmation.number);
        let change = Change::Join { name, life: joins_as };
        let proposal = Proposal { id, builds_on, by, change };
        self.handle(router, Event::Propose { token: life, proposal });
    }

    fn leave(&mut self, router: usize) {
        let state = &self.routers[router];
        let Some(node) = &state.node else { return };
        let (name, life) = (state.name.clone(), state.joined_as);
        let builds_on = node.fence().latest().map_or(0, |confirmation| confirmation.number);
        let id = ProposalId(LEAVE | router as u64, life);
        let proposal = Proposal { id, builds_on, by: name.clone(), change: Change::Leave { name, life } };
        // Nobody waits for its outcome.
        self.handle(router, Event::Propose { token: 0, proposal });
    }

    fn die(&mut self, router: usize, back: Micros) {
        self.mix(2, router, 0);
        self.routers[router].node = None;
        self.queue.push(self.now + back, What::Start { router });
    }

    /// One follower goes away, and comes back in its place.
    fn churn(&mut self) {
        let every = scenario::churn_every(self.run.routers);
        if self.now + every < self.measure_to {
            self.queue.push(self.now + every, What::Churn);
        }
        let followers = self.routers.len() - ELECTORS.min(self.routers.len());
        if followers == 0 {
            return;
        }
        let router = ELECTORS + (self.gone as usize).wrapping_mul(7919) % followers;
        let fails = scenario::is_failure(self.gone);
        self.gone += 1;
        if self.routers[router].node.is_none() {
            return;
        }
        match fails {
            true => self.die(router, REPLACED_WITHIN),
            false => {
                self.leave(router);
                let die = What::Die { router, back: RESTARTS_WITHIN };
                self.queue.push(self.now + LEAVES_BEFORE, die);
            }
        }
    }

    fn tick(&mut self, router: usize, life: u64) {
        let state = &self.routers[router];
        if state.life != life || state.due != self.now {
            return;
        }
        self.routers[router].due = Micros::MAX;
        self.tell(router);
        self.handle(router, Event::Tick);
    }

    /// What a router tells of itself: as the program with versions of rules, whose counts change each time.
    fn tell(&mut self, router: usize) {
        let served = [self.now / MS, self.now / MS / 2];
        let life = self.routers[router].joined_as;
        let Some(node) = &mut self.routers[router].node else { return };
        let number = node.fleet().number;
        let told = Told { life, number, cannot: None, demand: 1000, served };
        let orders: &[u8] = &[];
        let report = postcard::to_stdvec(&(orders, told.spell().as_slice())).unwrap_or_default();
        node.tell(report);
    }

    fn handle(&mut self, router: usize, event: Event) {
        let now = self.local(router);
        let mut actions = std::mem::take(&mut self.actions);
        let Some(node) = &mut self.routers[router].node else { return };
        self.meter.time(router, || node.handle(now, event, &mut actions));
        for action in actions.drain(..) {
            self.act(router, action);
        }
        self.actions = actions;
        self.plan_tick(router);
    }

    fn plan_tick(&mut self, router: usize) {
        let Some(node) = &self.routers[router].node else { return };
        let due = node.due().max(self.local(router) + MS);
        let due = self.of_local(router, due);
        let state = &mut self.routers[router];
        if due < state.due {
            state.due = due;
            let life = state.life;
            self.queue.push(due, What::Due { router, life });
        }
    }

    fn act(&mut self, router: usize, action: Action) {
        match action {
            Action::Write(write) => self.write(router, &write),
            Action::Send { to, frame } if to == staff::NAME => self.staff_hear(frame),
            Action::Send { to, frame } => self.send(router, &to, &frame),
            Action::Applied(applied) => self.mix(3, router, applied.number),
            Action::Answer { token, reply } => self.answered(router, token, reply),
            Action::Shout(_) => {}
        }
    }

    fn write(&mut self, router: usize, write: &Write) {
        if let Some(disk) = &mut self.routers[router].disk {
            disk.apply(write);
        }
    }

    /// The outcome of a join, for which its life is the token.
    fn answered(&mut self, router: usize, life: u64, reply: Option<Verdict>) {
        if life == 0 || life != self.routers[router].life {
            return;
        }
        match reply {
            None => {
                let at = self.now + JOIN_AGAIN;
                self.queue.push(at, What::Join { router, life });
            }
            Some(Verdict::Refused(_, Refusal::Bound)) => self.refused_joins += 1,
            Some(Verdict::Refused(_, Refusal::TooOld(_))) => {
                self.routers[router].joined_as += 1;
                self.queue.push(self.now, What::Join { router, life });
            }
            Some(Verdict::Refused(_, Refusal::OlderLife(later))) => {
                self.routers[router].joined_as = later + 1;
                self.queue.push(self.now, What::Join { router, life });
            }
            Some(_) => {}
        }
    }

    // ---- Frames.

    fn send(&mut self, from: usize, to: &str, frame: &Frame) {
        let Some(to) = to.strip_prefix('n').and_then(|n| n.parse::<usize>().ok()) else { return };
        let bytes = self.meter.time(from, || pieces(frame));
        let (frame_bytes, wire) = on_wire(&bytes);
        self.meter.sent(from, frame_bytes, wire);
        let way = one_way(self.routers[from].region, self.routers[to].region);
        let at = self.now + way + self.rng.random_range(0..=way / 5);
        self.queue.push(at, What::Frame { from, to, bytes });
    }

    fn arrives(&mut self, from: usize, to: usize, bytes: &[Vec<u8>]) {
        if self.routers[to].node.is_none() {
            return;
        }
        let (frame_bytes, wire) = on_wire(bytes);
        self.meter.received(to, frame_bytes, wire);
        self.mix(4, to, frame_bytes as u64);
        let frame = self.meter.time(to, || assemble(bytes));
        debug_assert!(frame.is_some(), "a router's own frame");
        let Some(frame) = frame else { return };
        let from = self.routers[from].name.clone();
        self.handle(to, Event::Heard { from, frame });
    }

    // ---- What it came to.

    fn sample(&mut self) {
        self.queue.push(self.now + SAMPLE_EVERY, What::Sample);
        let live = self.routers.iter().filter_map(|router| router.node.as_ref());
        let least = live.map(|node| node.fleet().number).min().unwrap_or(0);
        while let Some((number, came)) = self.staff.made.get(self.progress.next() as usize).copied() {
            if number > least {
                break;
            }
            self.progress.pass(self.now, Some(came));
        }
        let roll = self.routers[0].node.as_ref().map_or(0, |node| node.fleet().roll.len());
        self.roll_most = self.roll_most.max(roll);
        let all = self.routers.iter().all(|router| {
            let member = |node: &Node| node.fleet().roll.contains_key(&router.name);
            router.node.as_ref().is_some_and(member)
        });
        if self.joined.is_none() && all {
            self.joined = Some(self.now - CONTROL_FIRST);
        }
    }

    fn is_done(&self) -> bool {
        self.staff.is_idle() && self.progress.next() as usize == self.staff.made.len()
    }

    /// Bytes that a router holds: what its parts come to when they are serialized.
    fn state_bytes(&self, router: &Router) -> Option<f64> {
        let node = router.node.as_ref()?;
        let log = router.disk.as_ref().map_or(0, |disk| {
            let entries = disk.entries.values();
            entries.map(|entry| entry.data.len() + entry.context.len() + ENTRY_HEAD).sum::<usize>()
                + disk.snapshot.data.len()
        });
        let reports: usize =
            node.reports().map(|(name, report)| name.len() + report.len() + REPORT_HEAD).sum();
        Some((node.fleet().spell().len() + log + reports) as f64)
    }

    fn rows(self) -> Vec<Row> {
        let facts = self.facts();
        let split = ELECTORS.min(self.routers.len());
        let parts = [("elector", 0..split), ("follower", split..self.routers.len())];
        let row = |(role, range): (&'static str, std::ops::Range<usize>)| {
            // Followers hold the same: some of them stand for all.
            let held: Vec<f64> = self.routers[range.clone()]
                .iter()
                .take(STATE_SAMPLES)
                .filter_map(|router| self.state_bytes(router))
                .collect();
            let state = held.iter().sum::<f64>() / held.len().max(1) as f64;
            Row::of(&facts, role, &self.meter.usage()[range], state)
        };
        parts.into_iter().map(row).collect()
    }

    fn facts(&self) -> Facts {
        let waiting = self.staff.waiting() as u64 + self.staff.made.len() as u64 - self.progress.next();
        let mut notes = Vec::new();
        if self.run.scenario != Scenario::Start {
            notes.push("begins with all on the roll, without their joins".to_owned());
        }
        if self.run.scenario == Scenario::Churn {
            notes.push(format!(
                "30 failures and 760 restarts a day of 5,600 routers, {CHURN_COMPRESSED} times as fast: {} in the \
                 measured time",
                self.gone
            ));
        }
        if self.refused_joins > 0 {
            notes.push(format!(
                "stops at the cap: {} joins refused, {} on the roll",
                self.refused_joins, self.roll_most
            ));
        }
        notes.push(format!("{} changes by staff", self.staff.made.len()));
        Facts {
            variant: self.variant.map_or(String::new(), |variant| variant.name().to_owned()),
            everywhere_ms: self.progress.times(),
            events_measured: self.progress.measured(),
            events_unfinished: waiting,
            joined_ms: self.joined.map(|joined| joined / MS),
            digest: format!("{:016x}", self.digest),
            note: notes.join("; "),
            ..Facts::of(self.run, Core::Agreement)
        }
    }
}

/// Of an entry's number, term and kind, and of a report's time.
const ENTRY_HEAD: usize = 24;
const REPORT_HEAD: usize = 16;
/// Routers of a role whose state is looked at.
const STATE_SAMPLES: usize = 5;

fn assemble(bytes: &[Vec<u8>]) -> Option<Frame> {
    let mut whole = Assembler::default();
    bytes.iter().find_map(|piece| whole.piece(piece).ok().flatten())
}

/// A frame's bytes, without the flags of its pieces, and what they are on the wire.
fn on_wire(bytes: &[Vec<u8>]) -> (usize, meter::OnWire) {
    let frame_bytes = bytes.iter().map(|piece| piece.len() - meter::PIECE_FLAG as usize).sum::<usize>();
    (frame_bytes, meter::exchange_frame(frame_bytes as u64, bytes.len() as u64))
}
