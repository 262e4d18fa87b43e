//! The swarm of purges: sources, relays and routers host real nodes under crashes, stalls, cuts, splits, late and ended
//! connections and drift, while a simulated coordinator numbers purges. A checker reads what routers serve and what
//! sources answer; it knows what is promised and nothing of how:
//!
//! - no copy is served that a purge has bound for longer than the stated time;
//! - none that a purge has bound which all sources have called everywhere;
//! - a router applies exactly the coordinator's records, in order, each once, a reset standing for what it skips;
//! - once all is healed, a new purge is called everywhere, and all feeds are confirmed, within [`PROGRESS`].

mod checker;
mod coordinator;
mod events;
mod host;
mod network;
mod process;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use silverspindle_relay::{Guards, Micros, NodeId, Role, Settings};

use super::{Fault, Kind, LEASE, MOST_FAULTS, MS, Options, Outcome, SECOND, Sum, TROUBLE, Without};
use checker::Checker;
use coordinator::Coordinator;
use network::{ConnectionId, Network};
use process::Process;

/// The lease of a router that follows the coordinator itself.
const DIRECT: Micros = LEASE * 3 / 5;
/// How long a purge may be unknown to who serves: the lease, and the second order of two clocks' drift.
const STATED: Micros = LEASE + 2 * MS;
/// What nodes allow for their clocks' drift, and what it is at most.
const DRIFT_PPM: u64 = 10_000;
/// See [`DRIFT_PPM`].
const MOST_DRIFT: i64 = 9_900;
const BATCH_EVERY: Micros = LEASE / 10;
const REPORT_EVERY: Micros = LEASE / 5;
/// Sources and routers that follow the coordinator ask it so often.
const POLL_EVERY: Micros = LEASE / 10;
/// Records that a node keeps.
const RECORDS: usize = 30;
/// The coordinator numbers an event so often, on the average.
const EVENT_EVERY: Micros = 90 * MS;
/// The configuration that processes are started with is written so often.
const KNOWN_EVERY: Micros = 3 * SECOND;
/// How often each router serves.
const ACT_EVERY: Micros = 25 * MS;
/// How often staff ask a source.
const ASK_EVERY: Micros = 40 * MS;
/// From the healing on, a new purge is called everywhere and all feeds are confirmed within this time.
pub const PROGRESS: Micros = 20 * SECOND;

/// Who is who, by the seed: 0 is the coordinator, then come sources, relays, routers.
#[derive(Clone, Copy, Debug)]
struct Layout {
    sources: usize,
    relays: usize,
    routers: usize,
}

impl Layout {
    fn of(seed: u64, options: &Options) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x1a_7007);
        Self { sources: rng.random_range(1..=2), relays: rng.random_range(2..=3), routers: options.routers }
    }

    fn peers(&self) -> usize {
        1 + self.sources + self.relays + self.routers
    }

    fn first_relay(&self) -> usize {
        1 + self.sources
    }

    fn first_router(&self) -> usize {
        self.first_relay() + self.relays
    }

    fn role(&self, peer: usize) -> Role {
        match peer {
            _ if peer < self.first_relay() => Role::Source,
            _ if peer < self.first_router() => Role::Relay,
            _ => Role::Router,
        }
    }

    /// Its parents, the preferred one first: each begins with another one.
    fn parents(&self, peer: usize) -> Vec<usize> {
        let (first, count) = match self.role(peer) {
            Role::Source => return vec![],
            Role::Relay => (1, self.sources),
            Role::Router => (self.first_relay(), self.relays),
        };
        (0..count).map(|n| first + (peer + n) % count).collect()
    }

    fn name(&self, peer: usize) -> String {
        match self.role(peer) {
            Role::Source => format!("source{peer}"),
            Role::Relay => format!("relay{peer}"),
            Role::Router => format!("router{peer}"),
        }
    }
}

/// The scenario of a seed, with the number of sources.
pub(super) fn scenario(seed: u64, options: &Options) -> (usize, Vec<Fault>) {
    let layout = Layout::of(seed, options);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x9a_11ab1e);
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(0..=MOST_FAULTS) {
        let (at, lasts) = (rng.random_range(0..TROUBLE), rng.random_range(50 * MS..6 * SECOND));
        let (any, other) = (rng.random_range(1..layout.peers()), rng.random_range(0..layout.peers()));
        let source = rng.random_range(1..=layout.sources);
        let relay = layout.first_relay() + rng.random_range(0..layout.relays);
        let router = layout.first_router() + rng.random_range(0..layout.routers);
        let kind = match rng.random_range(0..18) {
            0 => Kind::Crash(source),
            1..=2 => Kind::Crash(relay),
            3 => Kind::Crash(router),
            4 => Kind::Stall(source),
            5..=6 => Kind::Stall(relay),
            7..=8 => Kind::Stall(router),
            9 => Kind::Cut(0, source),
            10 => Kind::OneWay(0, source),
            11 => Kind::OneWay(any, other),
            12 => Kind::OneWay(relay, router),
            13 => Kind::Cut(any, other),
            14..=15 => Kind::Split(rng.random()),
            16 if rng.random() => Kind::All,
            16 => Kind::Loss(rng.random_range(1..30)),
            _ => Kind::Slow(rng.random_range(5..300)),
        };
        faults.push(Fault { at, lasts: lasts.min(TROUBLE.saturating_sub(at)), kind });
    }
    faults.sort_by_key(|fault| fault.at);
    (layout.sources, faults)
}

/// Plays a seed with these faults.
pub(super) fn play(seed: u64, options: &Options, faults: &[Fault]) -> Outcome {
    let mut world = World::new(seed, *options, faults);
    while world.out.broken.is_none() && world.out.recovered == 0 {
        let Some(((at, _), what)) = world.queue.pop_first() else { break };
        world.now = at;
        world.out.events += 1;
        world.event(what);
    }
    world.out.worst = world.checker.worst;
    world.out.decided = world.coordinator.log.len() as u64;
    world.out.ended = world.now;
    world.out
}

/// What many runs came to, for a person.
pub fn summary(all: &Sum) -> String {
    let mut recovered = all.recovered.clone();
    recovered.sort_unstable();
    let part = |share: usize| recovered.get(recovered.len() * share / 100).copied().unwrap_or(0) / MS;
    format!(
        "{} runs, {} broken\noldest purge acted against {} ms of {} ms (seed {}); {} events numbered, {} copies \
         served, {} of them on the safe reading\nfrom the healing to a purge everywhere and all feeds confirmed: \
         median {} ms, 99 % {} ms, longest {} ms",
        all.runs,
        all.broken,
        all.worst.0 / MS,
        LEASE / MS,
        all.worst.1,
        all.decided,
        all.acts,
        all.held,
        part(50),
        part(99),
        recovered.last().copied().unwrap_or(0) / MS
    )
}

enum What {
    /// A process's own time, if it is still due then.
    Due(usize),
    /// A message comes to one end of a connection.
    Message(ConnectionId, network::End, network::Message),
    /// A connection on a cut way ends.
    Reset(ConnectionId),
    /// A process of this life has applied what it was told to first.
    Applied(usize, u64),
    /// A process that follows the coordinator asks it.
    Poll(usize, ConnectionId),
    /// A process of this life tries the coordinator again.
    Follow(usize, u64),
    Act(usize),
    Ask,
    CoordinatorEvent,
    WriteKnown,
    Fault(usize),
    Heal(usize),
    /// All is healed.
    Healed,
    /// There must have been progress.
    End,
}

struct World<'a> {
    options: Options,
    layout: Layout,
    faults: &'a [Fault],
    rng: Pcg64Mcg,
    now: Micros,
    seq: u64,
    queue: BTreeMap<(Micros, u64), What>,
    coordinator: Coordinator,
    network: Network,
    /// By peer; the coordinator's place is empty.
    processes: Vec<Process>,
    checker: Checker,
    /// The purge that must come to be everywhere after the healing.
    last_call: Option<u64>,
    out: Outcome,
}

impl<'a> World<'a> {
    fn new(seed: u64, options: Options, faults: &'a [Fault]) -> Self {
        let layout = Layout::of(seed, &options);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let processes = (0..layout.peers()).map(|_| Process::new(&mut rng)).collect();
        let mut world = Self {
            options,
            layout,
            faults,
            rng,
            now: 0,
            seq: 0,
            queue: BTreeMap::new(),
            coordinator: Coordinator::default(),
            network: Network::default(),
            processes,
            checker: Checker::new(layout.sources),
            last_call: None,
            out: Outcome::default(),
        };
        for peer in 1..layout.peers() {
            world.start(peer);
        }
        for peer in layout.first_router()..layout.peers() {
            let at = world.rng.random_range(0..ACT_EVERY);
            world.at(at, What::Act(peer));
        }
        for (n, fault) in faults.iter().enumerate() {
            world.at(fault.at, What::Fault(n));
            world.at(fault.at + fault.lasts, What::Heal(n));
        }
        world.at(0, What::CoordinatorEvent);
        world.at(KNOWN_EVERY, What::WriteKnown);
        world.at(0, What::Ask);
        world.at(TROUBLE + 1, What::Healed);
        world.at(TROUBLE + PROGRESS, What::End);
        world
    }

    fn at(&mut self, at: Micros, what: What) {
        self.seq += 1;
        self.queue.insert((at, self.seq), what);
    }

    fn broken(&mut self, what: String) {
        let now = self.now / MS;
        self.out.broken.get_or_insert_with(|| format!("at {now} ms: {what}"));
    }

    fn settings(&mut self, peer: usize) -> Settings {
        let without = self.options.without;
        let role = self.layout.role(peer);
        Settings {
            id: NodeId { instance: peer as u64, incarnation: self.processes[peer].life },
            name: self.layout.name(peer),
            role,
            parents: self.layout.parents(peer).len(),
            lease: LEASE,
            direct_lease: DIRECT,
            drift_ppm: DRIFT_PPM,
            batch_every: BATCH_EVERY,
            report_every: REPORT_EVERY,
            children: if role == Role::Router { 0 } else { 2 * self.layout.peers() },
            records: RECORDS,
            seed: self.rng.random(),
            guards: Guards {
                fence: without != Some(Without::Fence),
                lease: without != Some(Without::Lease),
                watermark: without != Some(Without::Watermark),
                order: without != Some(Without::Order),
            },
        }
    }

    /// What has not come to be within the stated time after the healing.
    fn missing(&self) -> String {
        let routers = self.layout.first_router()..self.layout.peers();
        let unconfirmed: Vec<String> =
            routers.filter(|peer| !self.is_confirmed(*peer)).map(|peer| self.layout.name(peer)).collect();
        let (call, everywhere) = (self.last_call.unwrap_or(0), self.checker.everywhere());
        format!("no progress: {call} was to be everywhere, {everywhere} is; not confirmed: {unconfirmed:?}")
    }
}
