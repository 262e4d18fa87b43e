//! The swarm of the agreement: electors and followers under loss, repetition, reorder, delay, cuts, crashes that keep
//! only what was synced, stalls and drift. A checker reads what the routers did, event by event; it knows what they
//! promise and nothing of how.

pub mod purges;
mod rules;
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use silverspindle_agreement::{
    Action, Applied, Assembler, Change, Disk, Event, Frame, Guards, Micros, Node, Proposal, ProposalId,
    Refusal, Seat, Terms, Verdict, Write, pieces,
};

const MS: Micros = 1000;
const SECOND: Micros = 1_000_000;
/// The stated time of the simulated routers.
pub const LEASE: Micros = 2 * SECOND;
/// Their clocks run wrong by so many parts in a million at most, either way.
const DRIFT: i64 = 10_000;
/// Faults happen until then; then all heals.
const TROUBLE: Micros = 12 * SECOND;
/// From the healing on, a new decision is made and everywhere within this time.
pub const PROGRESS: Micros = 8 * SECOND;
/// Work orders end within so much more.
const WORK_ENDS: Micros = 40 * SECOND;
/// A run ends by itself after so long.
const END: Micros = TROUBLE + PROGRESS + SECOND;
/// How often each router acts.
const ACT_EVERY: Micros = 70 * MS;
/// Without the guard of syncing, a disk catches up so much later.
const LAZY: Micros = 400 * MS;
/// The faults of the longest scenario.
const MOST_FAULTS: usize = 14;

/// Which guard is taken out of the simulated routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Without {
    /// The look at the confirmation's age.
    Fence,
    /// Writes before words.
    Sync,
    /// A quorum's word.
    Quorum,
    /// Once through all retries.
    Dedupe,
    /// The wait until nobody uses a machine.
    Clear,
    /// The wait for who is not heard.
    Unreached,
    /// The headroom that a place keeps.
    Headroom,
    /// The leader's handing over before its own turn.
    HandOver,
    /// The wait until nobody acts on the version before alone.
    Apart,
    /// The lesser share until another sharing out holds.
    Shares,
    /// What both versions allow while one is on its way.
    Narrower,
    /// The wait until a silent router's lease has run out.
    Lease,
    /// The wait until who is below has applied what it was sent.
    Watermark,
    /// The look at where a batch joins on.
    Order,
}

/// What goes wrong, at a time and for so long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it begins.
    pub at: Micros,
    /// How long it lasts.
    pub lasts: Micros,
    /// What it is.
    pub kind: Kind,
}

/// Kinds of faults; routers by their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It dies, keeps what was synced, and comes back when the fault ends.
    Crash(usize),
    /// The same, with an empty disk.
    Lose(usize),
    /// It stands still.
    Stall(usize),
    /// What the first sends to the second is lost.
    OneWay(usize, usize),
    /// Both ways.
    Cut(usize, usize),
    /// Those whose bit is set hear none of the others, and the other way round.
    Split(u32),
    /// So many in a hundred frames are lost, everywhere.
    Loss(u8),
    /// Frames take up to so many milliseconds.
    Slow(u16),
    /// All electors die at once; of purges, all relays.
    All,
    /// A box is dead; only where work orders are simulated.
    Box(u32),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ms = |time: Micros| time / MS;
        write!(f, "{} ms for {} ms: {:?}", ms(self.at), ms(self.lasts), self.kind)
    }
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Routers in all; of them 1, 3 or 5 are electors, by the seed.
    pub routers: usize,
    /// The guard that is taken out.
    pub without: Option<Without>,
    /// No faults, and staff at work for so long: to measure, not to check. None: a scenario.
    pub calm: Option<Micros>,
    /// Work orders go on top of the agreement.
    pub work: bool,
    /// Versions of rules do.
    pub rules: bool,
    /// Purges over relays, in place of the agreement.
    pub purges: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { routers: 8, without: None, calm: None, work: false, rules: false, purges: false }
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// What was broken first.
    pub broken: Option<String>,
    /// Of all events.
    pub digest: u64,
    /// Numbers decided.
    pub decided: u64,
    /// The longest that a router acted on an overtaken decision.
    pub worst: Micros,
    /// Acts, and times at which a router could not act for want of a fresh confirmation.
    pub acts: u64,
    /// See `acts`.
    pub held: u64,
    /// From the healing to a decision that all had.
    pub recovered: Micros,
    /// Events handled.
    pub events: u64,
    /// Frames sent.
    pub frames: u64,
    /// Simulated time.
    pub ended: Micros,
    /// In calm: from a decision to the last router's having it.
    pub to_all: Vec<Micros>,
    /// In calm, with rules: for how long two versions were acted on alone, and from a version's decision to its holding.
    pub at_once: Vec<Micros>,
    /// See `at_once`.
    pub to_hold: Vec<Micros>,
    /// In calm: frames and bytes that each router sent.
    pub sent: Vec<(u64, u64)>,
}

enum What {
    /// A router's own time, of this life of it.
    Due(usize, u64),
    Frame {
        from: usize,
        to: usize,
        bytes: Vec<Vec<u8>>,
    },
    Act(usize),
    Propose,
    Lead(usize),
    Staff,
    LeadRules(usize),
    StaffRules,
    /// Staff unplug a router, or plug it in.
    Plug(usize, bool),
    Fault(usize),
    Heal(usize),
    /// Writes that a disk was slow with are on it.
    Synced(usize, u64),
    /// A stalled router or one that waits for its disk goes on.
    Go(usize, u64),
}

/// One router's place: its process comes and goes.
struct Place {
    name: String,
    node: Option<Node>,
    disk: Option<Disk>,
    /// Written and not synced, without the guard.
    loose: Vec<Write>,
    life: u64,
    /// Parts in a million that its clock runs fast.
    drift: i64,
    start: Micros,
    /// It does nothing before.
    still: Micros,
    /// What came meanwhile.
    queue: Vec<Event>,
    /// What is to be done once the disk has what was written.
    after: Vec<Action>,
    last: u64,
    down: u32,
}

struct Call {
    proposal: Proposal,
    settled: bool,
}

struct Swarm<'a> {
    options: Options,
    faults: &'a [Fault],
    rng: Pcg64Mcg,
    now: Micros,
    seq: u64,
    queue: BTreeMap<(Micros, u64), What>,
    places: Vec<Place>,
    electors: usize,
    /// Cuts by directed pair, counted.
    cut: BTreeMap<(usize, usize), u32>,
    loss: u32,
    slow: Micros,
    healed: Option<Micros>,
    calls: Vec<Call>,
    last_call: Option<(usize, Option<u64>)>,
    yard: work::Yard,
    office: rules::Office,
    // The checker's.
    digests: BTreeMap<u64, u64>,
    decided_at: BTreeMap<u64, Micros>,
    settled: BTreeMap<ProposalId, Verdict>,
    /// In calm: how many routers have a number.
    reached: BTreeMap<u64, usize>,
    told: BTreeMap<ProposalId, Verdict>,
    out: Outcome,
}

/// The scenario of a seed, with the number of electors; of purges, of sources.
pub fn scenario(seed: u64, options: &Options) -> (usize, Vec<Fault>) {
    if options.purges {
        return purges::scenario(seed, options);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5ca1_ab1e);
    let electors = [1, 3, 3, 5][rng.random_range(0..4)].min(options.routers);
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(0..=MOST_FAULTS) {
        let (at, lasts) = (rng.random_range(0..TROUBLE), rng.random_range(50 * MS..6 * SECOND));
        let (one, two) = (rng.random_range(0..options.routers), rng.random_range(0..options.routers));
        let elector = rng.random_range(0..electors);
        let kind = match rng.random_range(0..16) {
            0..=2 => Kind::Crash(elector),
            3 => Kind::Crash(one),
            4..=5 => Kind::Stall(elector),
            6 => Kind::Stall(one),
            7 => Kind::OneWay(elector, two),
            8 => Kind::OneWay(one, elector),
            9 => Kind::Cut(elector, two % electors),
            10..=11 => Kind::Split(rng.random()),
            12 => Kind::Loss(rng.random_range(1..60)),
            13 => Kind::Slow(rng.random_range(5..400)),
            14 => Kind::All,
            _ if options.work && rng.random() => Kind::Box(rng.random_range(1..=4)),
            _ => Kind::Lose(elector),
        };
        // Disks lost: a minority's at most, or there is nothing left to agree with.
        let lost: BTreeSet<usize> = faults
            .iter()
            .filter_map(|f: &Fault| if let Kind::Lose(n) = f.kind { Some(n) } else { None })
            .collect();
        if matches!(kind, Kind::Lose(_)) && lost.len() + 1 > electors / 2 {
            continue;
        }
        faults.push(Fault { at, lasts: lasts.min(TROUBLE.saturating_sub(at)), kind });
    }
    faults.sort_by_key(|f| f.at);
    (electors, faults)
}

/// Plays a seed with these faults.
pub fn play(seed: u64, options: &Options, electors: usize, faults: &[Fault]) -> Outcome {
    if options.purges {
        return purges::play(seed, options, faults);
    }
    let mut swarm = Swarm::new(seed, *options, electors, faults);
    let end = options.calm.unwrap_or(if options.work || options.rules { END + WORK_ENDS } else { END });
    while swarm.out.broken.is_none() {
        let Some(((at, _), what)) = swarm.queue.pop_first() else { break };
        if at > end {
            break;
        }
        swarm.now = at;
        swarm.out.events += 1;
        swarm.event(what);
        if matches!(swarm.last_call, Some((_, Some(_)))) {
            break;
        }
    }
    swarm.end()
}

/// A calm while with so many electors, in words for a person.
pub fn calm(routers: usize, electors: usize, time: Micros, seed: u64, rules: bool) -> String {
    let options = Options { routers, without: None, calm: Some(time), work: false, rules, purges: false };
    let mut out = play(seed, &options, electors, &[]);
    out.to_all.sort_unstable();
    // The first seconds are the forming's and the joins'.
    let part = |share: usize| out.to_all.get(out.to_all.len() * share / 100).copied().unwrap_or(0) / MS;
    let rate = |range: std::ops::Range<usize>| {
        let all = out.sent.get(range.clone()).unwrap_or_default();
        let (frames, bytes) = all.iter().fold((0, 0), |(f, b), (g, c)| (f + g, b + c));
        let each = (range.len().max(1) as u64 * time) as f64 / SECOND as f64;
        (frames as f64 / each, bytes as f64 / each)
    };
    let (elector, follower) = (rate(0..electors), rate(electors..routers));
    let versions = match rules {
        false => String::new(),
        true => {
            out.to_hold.sort_unstable();
            let of = |all: &[Micros]| {
                let (middle, last) = (all.get(all.len() / 2), all.last());
                format!("median {} ms, longest {} ms", middle.unwrap_or(&0) / MS, last.unwrap_or(&0) / MS)
            };
            let (both, hold) = (of(&out.at_once), of(&out.to_hold));
            format!(
                "; {} versions: two at once {both}; from decided to holding everywhere {hold}",
                out.to_hold.len()
            )
        }
    };
    let broken = out.broken.map_or(String::new(), |what| format!("; BROKEN: {what}"));
    format!(
        "{routers} routers, {electors} electors, {} s, seed {seed}: {} decisions at all: median {} ms, 95 % {} ms, \
         longest {} ms; an elector sends {:.1} frames and {:.0} bytes a second, a follower {:.1} and {:.0}{versions}{broken}",
        time / SECOND,
        out.to_all.len(),
        part(50),
        part(95),
        out.to_all.last().copied().unwrap_or(0) / MS,
        elector.0,
        elector.1,
        follower.0,
        follower.1
    )
}

/// What many runs came to.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    /// Runs.
    pub runs: u64,
    /// Of them broken.
    pub broken: u64,
    /// The first seed that broke, and how.
    pub first: Option<(u64, String)>,
    /// The longest that a router acted on an overtaken decision, and in which seed.
    pub worst: (Micros, u64),
    /// Times from the healing to a decision that all had.
    pub recovered: Vec<Micros>,
    /// Numbers decided, acts, acts held back.
    pub decided: u64,
    /// See `decided`.
    pub acts: u64,
    /// See `decided`.
    pub held: u64,
}

impl Sum {
    fn add(&mut self, seed: u64, outcome: Outcome) {
        self.runs += 1;
        (self.decided, self.acts, self.held) =
            (self.decided + outcome.decided, self.acts + outcome.acts, self.held + outcome.held);
        self.worst = self.worst.max((outcome.worst, seed));
        match outcome.broken {
            Some(what) => {
                self.broken += 1;
                self.first = self.first.take().filter(|(first, _)| *first < seed).or(Some((seed, what)));
            }
            None => self.recovered.push(outcome.recovered),
        }
    }

    fn merge(&mut self, other: Sum) {
        self.runs += other.runs;
        self.broken += other.broken;
        (self.decided, self.acts, self.held) =
            (self.decided + other.decided, self.acts + other.acts, self.held + other.held);
        self.worst = self.worst.max(other.worst);
        self.recovered.extend(other.recovered);
        self.first = [self.first.take(), other.first].into_iter().flatten().min();
    }

    /// A few lines for a person.
    pub fn summary(&self) -> String {
        let mut recovered = self.recovered.clone();
        recovered.sort_unstable();
        let part = |share: usize| recovered.get(recovered.len() * share / 100).copied().unwrap_or(0) / MS;
        format!(
            "{} runs, {} broken\nworst act on an overtaken decision {} ms of {} ms (seed {}); {} decisions, {} acts, \
             {} held back\nfrom the healing to a decision at all: median {} ms, 99 % {} ms, longest {} ms",
            self.runs,
            self.broken,
            self.worst.0 / MS,
            LEASE / MS,
            self.worst.1,
            self.decided,
            self.acts,
            self.held,
            part(50),
            part(99),
            recovered.last().copied().unwrap_or(0) / MS
        )
    }
}

/// Plays many seeds on all cores.
pub fn many(seeds: std::ops::Range<u64>, options: &Options) -> Sum {
    let next = std::sync::atomic::AtomicU64::new(seeds.start);
    let work = || {
        let mut sum = Sum::default();
        loop {
            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            if seed >= seeds.end {
                return sum;
            }
            let (electors, faults) = scenario(seed, options);
            sum.add(seed, play(seed, options, electors, &faults));
        }
    };
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let mut all = Sum::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..cores).map(|_| scope.spawn(work)).collect();
        for thread in threads {
            match thread.join() {
                Ok(sum) => all.merge(sum),
                Err(panic) => std::panic::resume_unwind(panic),
            }
        }
    });
    all
}

/// Drops faults for as long as the seed still breaks without them.
pub fn shrink(seed: u64, options: &Options, electors: usize, mut faults: Vec<Fault>) -> Vec<Fault> {
    let mut n = 0;
    while n < faults.len() {
        let mut fewer = faults.clone();
        fewer.remove(n);
        match play(seed, options, electors, &fewer).broken {
            Some(_) => faults = fewer,
            None => n += 1,
        }
    }
    faults
}

impl<'a> Swarm<'a> {
    fn new(seed: u64, options: Options, electors: usize, faults: &'a [Fault]) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let places = (0..options.routers)
            .map(|n| Place {
                name: format!("n{n}"),
                node: None,
                disk: (n < electors).then(|| Disk { boots: 0, ..Disk::new(rng.random_range(1..u64::MAX)) }),
                loose: vec![],
                life: 0,
                drift: rng.random_range(-DRIFT / 2..=DRIFT / 2),
                start: rng.random_range(0..1000 * SECOND),
                still: 0,
                queue: vec![],
                after: vec![],
                last: 0,
                down: 0,
            })
            .collect();
        let mut swarm = Self {
            options,
            faults,
            rng,
            now: 0,
            seq: 0,
            queue: BTreeMap::new(),
            places,
            electors,
            cut: BTreeMap::new(),
            loss: 0,
            slow: 0,
            healed: None,
            calls: vec![],
            last_call: None,
            yard: work::Yard::default(),
            office: rules::Office::default(),
            digests: BTreeMap::new(),
            decided_at: BTreeMap::new(),
            settled: BTreeMap::new(),
            reached: BTreeMap::new(),
            told: BTreeMap::new(),
            out: Outcome::default(),
        };
        if options.work {
            swarm.begin_work();
        }
        if options.rules {
            swarm.begin_rules();
        }
        for n in 0..options.routers {
            swarm.start(n);
            let at = swarm.rng.random_range(0..ACT_EVERY);
            swarm.at(at, What::Act(n));
        }
        for (n, fault) in faults.iter().enumerate() {
            swarm.at(fault.at, What::Fault(n));
            swarm.at(fault.at + fault.lasts, What::Heal(n));
        }
        swarm.at(SECOND, What::Propose);
        swarm
    }

    fn at(&mut self, at: Micros, what: What) {
        self.seq += 1;
        self.queue.insert((at, self.seq), what);
    }

    fn broken(&mut self, what: String) {
        let now = self.now / MS;
        self.out.broken.get_or_insert_with(|| format!("at {now} ms: {what}"));
    }

    /// The router's own steady clock.
    fn local(&self, n: usize) -> Micros {
        let place = &self.places[n];
        let wrong = i128::from(self.now) * i128::from(place.drift) / 1_000_000;
        place.start + (i128::from(self.now) + wrong) as Micros
    }

    /// A time of a router's clock on the true one, not before now.
    fn of_local(&self, n: usize, local: Micros) -> Micros {
        let place = &self.places[n];
        let since = i128::from(local.saturating_sub(place.start)) * 1_000_000;
        ((since / (1_000_000 + i128::from(place.drift))) as Micros).max(self.now) + 1
    }

    fn guards(&self) -> Guards {
        let without = self.options.without;
        Guards {
            fence: without != Some(Without::Fence),
            quorum: without != Some(Without::Quorum),
            dedupe: without != Some(Without::Dedupe),
        }
    }

    fn start(&mut self, n: usize) {
        let now = self.local(n);
        let (electors, guards, seed) = (self.electors, self.guards(), self.rng.random());
        let place = &mut self.places[n];
        place.life += 1;
        if let Some(disk) = &mut place.disk {
            disk.boots += 1;
        }
        let terms = Terms {
            name: place.name.clone(),
            life: place.life,
            electors: (0..electors).map(|n| format!("n{n}")).collect(),
            operators: vec!["staff".to_owned()],
            lease: LEASE,
            drift_ppm: DRIFT as u64,
            patience: 3 * SECOND,
            seed,
            guards,
        };
        let node = Node::new(terms, place.disk.clone(), now);
        place.last = node.fleet().number;
        place.node = Some(node);
        let life = place.life;
        // The router tells the fleet that it is there.
        let id = ProposalId(1 << 40 | n as u64, life);
        let name = place.name.clone();
        let join =
            Proposal { id, builds_on: place.last, by: name.clone(), change: Change::Join { name, life } };
        self.handle(n, Event::Propose { token: 0, proposal: join });
        self.at(self.now, What::Due(n, life));
    }

    fn crash(&mut self, n: usize) {
        self.drop_uses(n);
        let place = &mut self.places[n];
        place.node = None;
        place.queue.clear();
        place.after.clear();
        place.still = 0;
        // What was not synced is gone.
        place.loose.clear();
        place.life += 1;
    }

    // ---- Events.

    fn event(&mut self, what: What) {
        match what {
            What::Due(n, life) if self.places[n].life == life => {
                self.handle(n, Event::Tick);
                if let Some(node) = &self.places[n].node {
                    let due = node.due().max(self.local(n) + MS);
                    let at = self.of_local(n, due).max(self.places[n].still);
                    self.at(at, What::Due(n, life));
                }
            }
            What::Due(..) => {}
            What::Frame { from, to, bytes } => {
                let mut whole = Assembler::default();
                for piece in bytes {
                    match whole.piece(&piece) {
                        Ok(Some(frame)) => {
                            let from = self.places[from].name.clone();
                            self.handle(to, Event::Heard { from, frame });
                        }
                        Ok(None) => {}
                        Err(e) => self.broken(format!("a router's own frame: {e}")),
                    }
                }
            }
            What::Act(n) => {
                self.act(n);
                let at = self.now + self.rng.random_range(ACT_EVERY / 2..ACT_EVERY * 3 / 2);
                self.at(at, What::Act(n));
            }
            What::Propose => self.call(),
            What::Lead(n) => self.lead(n),
            What::Staff => self.staff(),
            What::LeadRules(n) => self.lead_rules(n),
            What::StaffRules => self.staff_rules(),
            What::Plug(n, out) => self.power(n, out),
            What::Fault(n) => self.fault(self.faults[n].kind, true),
            What::Heal(n) => {
                self.fault(self.faults[n].kind, false);
            }
            What::Synced(n, life) => {
                let place = &mut self.places[n];
                if place.life == life {
                    if let Some(disk) = &mut place.disk {
                        place.loose.iter().for_each(|write| disk.apply(write));
                    }
                    place.loose.clear();
                }
            }
            What::Go(n, life) => {
                if self.places[n].life == life && self.places[n].still <= self.now {
                    let after = std::mem::take(&mut self.places[n].after);
                    self.carry_out(n, after);
                    while self.places[n].still <= self.now && !self.places[n].queue.is_empty() {
                        let event = self.places[n].queue.remove(0);
                        self.handle(n, event);
                    }
                }
            }
        }
        if self.options.calm.is_none()
            && self.now >= TROUBLE
            && self.healed.is_none()
            && self.out.broken.is_none()
        {
            self.healed = Some(self.now);
            self.plug_in();
            self.call();
        }
    }

    fn handle(&mut self, n: usize, event: Event) {
        let now = self.local(n);
        if self.options.work {
            self.report(n);
        }
        if self.options.rules {
            self.report_rules(n);
        }
        let place = &mut self.places[n];
        if place.still > self.now || !place.after.is_empty() {
            // What waits at a process that stands still is bounded, as a socket's buffer is.
            if place.queue.len() < 200 && !matches!(event, Event::Tick) {
                place.queue.push(event);
            }
            return;
        }
        let Some(node) = &mut place.node else { return };
        let mut out = Vec::new();
        node.handle(now, event, &mut out);
        self.carry_out(n, out);
    }

    fn carry_out(&mut self, n: usize, actions: Vec<Action>) {
        let mut actions = actions.into_iter();
        while let Some(action) = actions.next() {
            match action {
                Action::Write(write) if self.options.without == Some(Without::Sync) => {
                    self.places[n].loose.push(write);
                    let life = self.places[n].life;
                    self.at(self.now + LAZY, What::Synced(n, life));
                }
                Action::Write(write) => {
                    let place = &mut self.places[n];
                    if let Some(disk) = &mut place.disk {
                        disk.apply(&write);
                    }
                    // The disk takes its time; the router does nothing else with the log meanwhile.
                    let rest: Vec<Action> = actions.collect();
                    let life = place.life;
                    place.after.extend(rest);
                    place.still = place.still.max(self.now + self.rng.random_range(100..4 * MS));
                    let at = place.still;
                    self.at(at, What::Go(n, life));
                    return;
                }
                Action::Send { to, frame } => self.send(n, &to, &frame),
                Action::Applied(applied) => self.applied(n, &applied),
                // Of a router's own joining; staff's answers are frames.
                Action::Answer { .. } => {}
                Action::Shout(what) => {
                    if what.contains("outcomes differ") || what.contains("another fleet") {
                        self.broken(format!("n{n} shouts: {what}"));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, frame: &Frame) {
        if let Frame::Settled { id: ProposalId(7, n), verdict } = frame
            && to == "staff"
        {
            return self.answered(*n as usize, verdict.clone());
        }
        let Some(to) = to.strip_prefix('n').and_then(|n| n.parse::<usize>().ok()) else { return };
        self.out.frames += 1;
        let digest = self.out.digest ^ self.now ^ (from as u64) << 32 ^ to as u64;
        self.out.digest = digest.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
        if self.cut.get(&(from, to)).is_some_and(|n| *n > 0) || self.rng.random_range(0..100) < self.loss {
            return;
        }
        let bytes = pieces(frame);
        if self.options.calm.is_some() {
            self.out.sent.resize(self.places.len(), (0, 0));
            let all: usize = bytes.iter().map(|piece| piece.len() + 5).sum();
            let (frames, sent) = self.out.sent[from];
            self.out.sent[from] = (frames + 1, sent + all as u64);
        }
        let copies = 1 + u32::from(self.loss > 0 && self.rng.random_range(0..10) == 0);
        for _ in 0..copies {
            let way = self.rng.random_range(100..2 * MS) + self.rng.random_range(0..=self.slow);
            self.at(self.now + way, What::Frame { from, to, bytes: bytes.clone() });
        }
    }

    fn fault(&mut self, kind: Kind, begins: bool) {
        let change = |count: &mut u32| *count = if begins { *count + 1 } else { count.saturating_sub(1) };
        let mut pairs = Vec::new();
        let mut dies = Vec::new();
        match kind {
            Kind::Crash(n) => dies.push(n),
            Kind::All => dies.extend(0..self.electors),
            Kind::Lose(n) => {
                // Before a quorum has the fleet, a lost disk may leave a promise that nobody can keep: staff's to mend
                // (seed 17776: lost by the one that had formed first). A second decision shows the quorum.
                if begins && self.digests.len() > 1 {
                    let id = self.rng.random_range(1..u64::MAX);
                    self.places[n].disk = Some(Disk { boots: 0, ..Disk::new(id) });
                }
                dies.push(n);
            }
            Kind::Stall(n) => {
                let life = self.places[n].life;
                match begins {
                    true => self.places[n].still = END * 9,
                    false => {
                        self.places[n].still = self.now;
                        self.at(self.now, What::Go(n, life));
                        self.at(self.now, What::Due(n, life));
                    }
                }
            }
            Kind::OneWay(a, b) => pairs.push((a, b)),
            Kind::Cut(a, b) => pairs.extend([(a, b), (b, a)]),
            Kind::Split(bits) => {
                let side = |n: usize| bits >> (n % 32) & 1;
                let all = self.options.routers;
                let apart = (0..all).flat_map(|a| (0..all).map(move |b| (a, b)));
                pairs.extend(apart.filter(|(a, b)| side(*a) != side(*b)));
            }
            Kind::Box(id) => {
                if begins {
                    self.yard.dead.insert(id);
                } else {
                    self.yard.dead.remove(&id);
                }
            }
            Kind::Loss(share) => self.loss = if begins { u32::from(share) } else { 0 },
            Kind::Slow(ms) => self.slow = if begins { Micros::from(ms) * MS } else { 0 },
        }
        for pair in pairs {
            change(self.cut.entry(pair).or_default());
        }
        for n in dies {
            self.power(n, begins);
        }
    }

    /// A router dies, or one reason for its being down is gone.
    fn power(&mut self, n: usize, dies: bool) {
        let place = &mut self.places[n];
        place.down = if dies { place.down + 1 } else { place.down.saturating_sub(1) };
        if dies {
            self.crash(n);
        } else if place.down == 0 && place.node.is_none() {
            self.start(n);
        }
    }

    /// Not amid the event that says so.
    fn unplug(&mut self, n: usize, out: bool) {
        self.at(self.now, What::Plug(n, out));
    }

    /// Staff want something: through any router, sometimes through two at once, and again where they hear nothing.
    fn call(&mut self) {
        let n = self.calls.len();
        let twice = n > 0 && self.rng.random_range(0..4) == 0;
        let call = match self.last_call {
            Some((call, _)) => call,
            None if twice && self.healed.is_none() => self.rng.random_range(0..n),
            None => n,
        };
        if call == n {
            let builds_on = self.digests.last_key_value().map_or(0, |(number, _)| *number);
            let change = match self.rng.random_range(0..12) {
                // A disk that waits for a seat gets one, and the lost one's is taken away.
                0 if self.healed.is_none() => self.reseat().unwrap_or_else(|| note(n, &mut self.rng)),
                _ if self.healed.is_some() => Change::Note { topic: "healed".to_owned(), body: vec![] },
                _ => note(n, &mut self.rng),
            };
            let id = ProposalId(7, n as u64);
            let by = "staff".to_owned();
            self.calls.push(Call { proposal: Proposal { id, builds_on, by, change }, settled: false });
        }
        let proposal = self.calls[call].proposal.clone();
        for _ in 0..1 + u32::from(twice) {
            let at = self.rng.random_range(0..self.electors);
            let frame = Frame::Propose(proposal.clone());
            self.handle(at, Event::Heard { from: "staff".to_owned(), frame });
        }
        let healed = self.healed.is_some();
        if healed {
            self.last_call.get_or_insert((n, None));
        }
        let pause = match (healed, self.options.calm) {
            (true, _) => 700 * MS,
            (_, Some(_)) => SECOND,
            _ => self.rng.random_range(50 * MS..900 * MS),
        };
        if healed && self.calls[call].settled {
            return;
        }
        self.at(self.now + pause, What::Propose);
    }

    fn reseat(&mut self) -> Option<Change> {
        let status = self.places.iter().filter_map(|p| p.node.as_ref()).map(Node::status);
        let status = status.filter(|s| !s.waiting.is_empty()).max_by_key(|s| s.number)?;
        let (name, id) = status.waiting.first()?.clone();
        let old = status.electors.iter().find(|(_, n, _)| *n == name).map(|(id, ..)| *id);
        Some(Change::Seat(match old {
            Some(id) => Seat::Dismiss { id },
            None => Seat::Admit { name, id },
        }))
    }

    // ---- The checker: from here on nothing looks into a router.

    fn applied(&mut self, n: usize, applied: &Applied) {
        let number = applied.number;
        if !applied.whole && number != self.places[n].last + 1 {
            let last = self.places[n].last;
            self.broken(format!("n{n} applied {number} after {last}"));
        }
        self.places[n].last = number;
        let digest = *self.digests.entry(number).or_insert(applied.digest);
        if digest != applied.digest {
            self.broken(format!("n{n} has another outcome at {number} than was seen before"));
        }
        let decided = *self.decided_at.entry(number).or_insert(self.now);
        if self.options.work {
            self.decided_work(n, number, applied.outcome.as_ref().map(|(id, _)| *id));
        }
        if self.options.rules {
            self.decided_rules(n, number);
        }
        if self.options.calm.is_some() {
            let reached = self.reached.entry(number).or_default();
            *reached += 1;
            if *reached == self.options.routers {
                self.out.to_all.push(self.now - decided);
            }
        }
        if let Some((id, verdict)) = &applied.outcome {
            let first = self.settled.entry(*id).or_insert_with(|| verdict.clone()).clone();
            if first != *verdict {
                self.broken(format!("proposal {id} was settled twice, as {first:?} and {verdict:?}"));
            }
        }
    }

    fn answered(&mut self, call: usize, reply: Option<Verdict>) {
        let id = self.calls[call].proposal.id;
        match reply {
            // Refused before it came to the log: that may change.
            None | Some(Verdict::Refused(_, Refusal::Quorum)) => return,
            Some(verdict) => self.told.insert(id, verdict),
        };
        self.calls[call].settled = true;
    }

    fn act(&mut self, n: usize) {
        let now = self.local(n);
        let place = &self.places[n];
        if place.still > self.now {
            return;
        }
        let Some(node) = &place.node else { return };
        match node.fence().may_act(now) {
            None => self.out.held += 1,
            Some((number, ..)) => {
                self.out.acts += 1;
                let next = self.decided_at.range(number + 1..).map(|(_, at)| *at).min();
                let late = next.map_or(0, |at| self.now.saturating_sub(at));
                self.out.worst = self.out.worst.max(late);
                if self.options.work {
                    self.use_a_box(n);
                }
                if self.options.rules {
                    self.act_by_rules(n);
                }
                if late > LEASE {
                    self.broken(format!("n{n} acts on {number}, overtaken for {} ms", late / MS));
                }
                if let (Some(healed), Some((call, None))) = (self.healed, self.last_call)
                    && let Some(Verdict::Made(made)) = self.settled.get(&self.calls[call].proposal.id)
                {
                    let made = *made;
                    let all = self
                        .places
                        .iter()
                        .all(|p| p.node.as_ref().is_some_and(|node| node.fleet().number >= made));
                    if all && self.all_may_act() && self.has_ended() {
                        self.out.recovered = self.now - healed;
                        self.last_call = Some((call, Some(self.now)));
                    }
                }
            }
        }
    }

    /// What goes on top of the agreement has come to its end.
    fn has_ended(&self) -> bool {
        (!self.options.work || self.work_is_done()) && (!self.options.rules || self.rules_are_settled())
    }

    fn all_may_act(&self) -> bool {
        let may = |n: usize| {
            self.places[n].node.as_ref().is_some_and(|node| node.fence().may_act(self.local(n)).is_some())
        };
        (0..self.places.len()).all(may)
    }

    fn end(mut self) -> Outcome {
        self.out.decided = self.digests.last_key_value().map_or(0, |(number, _)| *number);
        self.out.ended = self.now;
        if self.out.broken.is_some() || self.options.calm.is_some() {
            self.out.at_once = self.both_in_use();
            return self.out;
        }
        if !matches!(self.last_call, Some((_, Some(_)))) {
            let which: Vec<String> = (0..self.places.len())
                .map(|n| {
                    let node = self.places[n].node.as_ref();
                    let age = node.and_then(|node| node.fence().age(self.local(n)));
                    format!(
                        "n{n} {:?} {:?} ms",
                        node.map(|node| (node.role(), node.fleet().number)),
                        age.map(|a| a / MS)
                    )
                })
                .collect();
            let mut orders = if self.options.work { self.work_left() } else { String::new() };
            if self.options.rules {
                orders.push_str(&self.rules_left());
            }
            self.broken(format!(
                "no decision at all routers {} s after all healed: {}{orders}",
                PROGRESS / SECOND,
                which.join(", ")
            ));
            return self.out;
        }
        let lost = self.told.iter().find(|(id, verdict)| self.settled.get(id) != Some(verdict));
        if let Some((id, verdict)) = lost.map(|(id, verdict)| (*id, verdict.clone())) {
            self.broken(format!("staff were told {verdict:?} of {id}, which is not so"));
        }
        self.out
    }
}

fn note(n: usize, rng: &mut Pcg64Mcg) -> Change {
    let topic = format!("t{}", rng.random_range(0..4));
    Change::Note { topic, body: n.to_string().into_bytes() }
}
