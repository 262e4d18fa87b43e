//! A seeded soak: router processes between clients and caches. Settings, signals, drains, upgrades, kills, steps of the wall
//! clock, failing calls, faulty caches, lists and purges are drawn from the seed; records of both sides are judged by the
//! protocol's rules.

mod caches;
pub mod checker;
mod clients;
mod nodes;
pub mod record;
pub mod terms;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::io::Errno;
use silverspindle_wire::clock::{self, Stamp};

use crate::codec::{Member, News};
use crate::coordinator::Coordinator;
use crate::shim::SystemCall;
use crate::{Micros, SECOND};
use caches::{Cache, Fault};
pub use checker::Broken;
use clients::{Habit, Town};
use nodes::{Node, call, is_ready};
use record::{CacheDrain, Drain, Purge, Purged, Records};
use terms::Terms;

const MS: Micros = 1000;
/// Caches, the last of them the head office; the others stand in two cells.
const CACHES: usize = 5;
const CELLS: u16 = 2;
/// Parents, which caches fill from.
const PARENTS: usize = 2;
/// Purges are told this often, at most and at least, and this late at most; after a silence of the list they count as told
/// so much later.
const PURGE_EVERY: std::ops::Range<Micros> = 100 * MS..1500 * MS;
const PURGE_LATE: Micros = 400 * MS;
const TOLD_AFTER_SILENCE: Micros = 7 * SECOND;
/// Events reach routers within this where the list is not silent.
const TOLD: Micros = 100 * MS;
/// Objects and groups that are purged, of those that clients ask for.
const PURGED_OBJECTS: u64 = 20;
const PURGED_GROUPS: u16 = 4;
/// Clients of each habit, for each router.
const CLIENTS: usize = 1;
/// A round of acts, each on a router or cache of its own, takes so long.
const ROUND: Micros = 9 * SECOND;
/// New connections stop so long after a no: the front asks ten times a second, and 0.2 s pass.
const FRONT_STOPS: Duration = Duration::from_millis(300);
/// A drain lasts so long; yes is due again so long after its end.
const DRAINED: Micros = 6 * SECOND;
const DRAIN_TERM: Micros = 4 * SECOND;
const READY_AGAIN: Micros = 2 * SECOND;
/// A cache that has crashed is down for so long.
const CRASHED: Duration = Duration::from_millis(700);
/// When in a round a process is stopped, and for how long.
const STOPPED_FROM: std::ops::Range<Micros> = SECOND..7 * SECOND;
const STOPPED_FOR: std::ops::Range<Micros> = 150 * MS..1500 * MS;
/// The longest stop as SIGTERM comes.
const STOPPED_AT_END: Micros = SECOND;
/// Idle connections of a crowd.
const CROWD: usize = 120;
/// So often it is looked whether the soak itself is late.
const TICK: Duration = Duration::from_millis(5);

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The router's program.
    pub program: PathBuf,
    /// For all that is drawn.
    pub seed: u64,
    /// How long acts are begun.
    pub seconds: u64,
    /// Routers.
    pub routers: usize,
}

/// What came of it.
#[derive(Debug)]
pub struct Outcome {
    /// Its seed.
    pub seed: u64,
    /// Broken rules, the first first.
    pub broken: Vec<Broken>,
    /// What was done, in time.
    pub acts: Vec<(Micros, String)>,
    /// When it began.
    pub began: Micros,
    /// Requests, attempts, connections and processes.
    pub counts: [usize; 4],
    /// The settings that were drawn.
    pub terms: Terms,
    /// How late the soak itself was at worst: all limits are longer by it.
    pub lateness: Micros,
}

impl Outcome {
    /// For people: the counts, the first broken rule, and what was done before.
    pub fn report(&self) -> String {
        let [requests, attempts, connections, processes] = self.counts;
        let mut text = format!(
            "seed {}: {requests} requests, {attempts} attempts, {connections} connections, {processes} processes, late by \
             {} ms at most, {} broken\n",
            self.seed,
            self.lateness / MS,
            self.broken.len()
        );
        let second = |at: Micros| (at as f64 - self.began as f64) / SECOND as f64;
        if !self.broken.is_empty() {
            let _ = writeln!(text, "  {:?}", self.terms);
        }
        if let Some(first) = self.broken.first() {
            for (at, act) in self.acts.iter().filter(|(at, _)| *at <= first.at) {
                let _ = writeln!(text, "  {:8.3} {act}", second(*at));
            }
            let _ = writeln!(text, "  {:8.3} BROKEN {}: {}", second(first.at), first.rule, first.seen);
            for other in self.broken.iter().skip(1) {
                let _ = writeln!(text, "  {:8.3} also {}", second(other.at), other.rule);
            }
        }
        text
    }
}

/// All that acts need.
struct Soak {
    records: Rc<Records>,
    nodes: Vec<Rc<Node>>,
    caches: Vec<Rc<Cache>>,
    members: Vec<Member>,
    coordinator: Rc<Coordinator>,
    /// What acts saw that no record holds.
    seen: RefCell<Vec<Broken>>,
}

/// Plays a soak.
pub fn run(options: &Options) -> io::Result<Outcome> {
    let tasks = Rc::new(LocalExecutor::new());
    async_io::block_on(tasks.run(play(options, tasks.clone())))
}

async fn play(options: &Options, tasks: Rc<LocalExecutor<'static>>) -> io::Result<Outcome> {
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let directory = tempfile::tempdir()?;
    let terms = Terms::draw(&mut Pcg64Mcg::seed_from_u64(random.random()));
    let cells = (0..CACHES as u16).map(|number| number % CELLS).collect();
    let records = Rc::new(Records { terms: terms.clone(), cells, ..Records::default() });
    let places = Rc::<RefCell<HashMap<String, usize>>>::default();
    let coordinator = Coordinator::start(&tasks)?;
    let mut fork = || Pcg64Mcg::seed_from_u64(random.random());
    let mut caches = Vec::new();
    for number in 0..CACHES {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        caches.push(Cache::start(&tasks, number, &records, &places, fork(), listener)?);
    }
    let member = |cache: &Rc<Cache>| {
        let kind = if cache.number + 1 == CACHES { 2 } else { 0 };
        let id = cache.number as u32 + 1;
        let cell = cache.number as u16 % CELLS;
        Member { id, state: 0, kind, cell, weight: 10, started_ms: 0, address: cache.address }
    };
    let mut members: Vec<Member> = caches.iter().map(member).collect();
    for _ in 0..PARENTS {
        // Nothing is sent to a parent but through a cache: its address is the head office's.
        let last = members[CACHES - 1];
        members.push(Member { id: members.len() as u32 + 1, kind: 1, cell: 0, ..last });
    }
    let address = coordinator.address.to_string();
    let config = terms.config(&members, &address, options.routers, options.seed);
    let mut nodes = Vec::new();
    for number in 0..options.routers {
        let node = Node::new(number, &options.program, directory.path(), config.clone(), &records)?;
        let running = node.start().await?;
        node.serve(running);
        nodes.push(Rc::new(node));
    }
    let began = clock::now();
    let doors = nodes.iter().map(|node| node.door.clone()).collect();
    let (copies, is_over) = (RefCell::default(), Cell::new(false));
    let town = Rc::new(Town { records: records.clone(), places, copies, doors, is_over });
    let mut clients = Vec::new();
    for _ in 0..CLIENTS * options.routers {
        for habit in Habit::ALL {
            clients.push(tasks.spawn(clients::live(town.clone(), habit, fork())));
        }
    }
    let lateness = Rc::new(Cell::new(0));
    let watch = tasks.spawn(watch(lateness.clone()));
    let soak = Rc::new(Soak {
        records: records.clone(),
        nodes,
        caches,
        members,
        coordinator,
        seen: RefCell::default(),
    });
    let purging = tasks.spawn(soak.clone().purge(fork()));
    let rounds = (options.seconds * SECOND).div_ceil(ROUND).max(1);
    let mut acts = Vec::new();
    for _ in 0..rounds {
        let next = clock::now() + ROUND;
        acts.extend(soak.round(&tasks, &mut fork()));
        clock::timer_at(next).await;
    }
    for act in acts {
        act.await;
    }
    drop(purging);
    town.is_over.set(true);
    for client in clients {
        client.await;
    }
    let ends: Vec<_> =
        soak.nodes.iter().map(|node| tasks.spawn(soak.clone().last_end(node.clone()))).collect();
    for end in ends {
        end.await;
    }
    drop(watch);
    let mut broken = checker::check(&records, clock::now(), lateness.get());
    broken.extend(soak.seen.take());
    broken.sort_by_key(|broken| broken.at);
    let counts = [
        records.requests.borrow().len(),
        records.attempts.borrow().len(),
        records.connections.borrow().len(),
        records.processes.borrow().len(),
    ];
    let acts = records.acts.take();
    Ok(Outcome { seed: options.seed, broken, acts, began, counts, terms, lateness: lateness.get() })
}

/// How late this process itself gets its turn.
async fn watch(lateness: Rc<Cell<Micros>>) {
    loop {
        let due = clock::now() + TICK.as_micros() as Micros;
        Timer::after(TICK).await;
        lateness.set(lateness.get().max(clock::now().saturating_sub(due)));
    }
}

async fn rest(time: Micros) {
    Timer::after(Duration::from_micros(time)).await;
}

impl Soak {
    fn act(&self, what: String) {
        self.records.act(clock::now(), what);
    }

    fn broke(&self, rule: &'static str, seen: String) {
        self.seen.borrow_mut().push(Broken { at: clock::now(), rule, seen });
    }

    /// Begins what this round brings: all routers but one may be concerned, and each cache.
    fn round(
        self: &Rc<Self>,
        tasks: &Rc<LocalExecutor<'static>>,
        random: &mut Pcg64Mcg,
    ) -> Vec<async_executor::Task<()>> {
        let mut all = Vec::new();
        let mut free: Vec<Rc<Node>> = self.nodes.iter().filter(|node| !node.is_busy.get()).cloned().collect();
        free.shuffle(random);
        let most = free.len().min(self.nodes.len().saturating_sub(1).max(1));
        let together = random.random_range(1..=most.max(1)).min(free.len());
        // Drains come in series, on several at once; the rest one by one.
        let drains = random.random_bool(0.5);
        for node in free.into_iter().take(together) {
            node.is_busy.set(true);
            let kind = if drains { 0 } else { random.random_range(0..8) };
            let wait = random.random_range(0..500) * MS;
            all.push(tasks.spawn(self.clone().on_router(node, kind, wait, random.random())));
        }
        for node in &self.nodes {
            if random.random_bool(0.5) {
                let offset = [5, -5, 3600, -3600][random.random_range(0..4usize)];
                let wait = random.random_range(0..ROUND);
                all.push(tasks.spawn(self.clone().on_clock(node.clone(), offset, wait)));
            }
        }
        for cache in self.caches.iter().take(CACHES - 1).cloned() {
            if random.random_bool(0.6) {
                let faults =
                    [Fault::Hang, Fault::Slow, Fault::Reset, Fault::Late, Fault::Errors, Fault::Spoils];
                let fault = faults[random.random_range(0..faults.len())];
                let (wait, lasts) =
                    (random.random_range(0..5 * SECOND), random.random_range(SECOND..4 * SECOND));
                match random.random_ratio(1, 5) {
                    true => all.push(tasks.spawn(self.clone().crash(cache, wait))),
                    false => all.push(tasks.spawn(self.clone().on_cache(cache, fault, wait, lasts))),
                }
            }
        }
        let listed = random.random_range(0..4);
        let wait = random.random_range(0..3 * SECOND);
        let number = random.random_range(0..self.members.len() - 1);
        // The head office is always there.
        let number = if number >= CACHES - 1 { number + 1 } else { number };
        all.push(tasks.spawn(self.clone().on_list(listed, wait, number)));
        for node in &self.nodes {
            if random.random_bool(0.7) {
                let (wait, time) = (random.random_range(STOPPED_FROM), random.random_range(STOPPED_FOR));
                all.push(tasks.spawn(self.clone().on_process(node.clone(), wait, time)));
            }
        }
        all
    }

    /// A process is stopped and goes on, unless something else is being done with its router.
    async fn on_process(self: Rc<Self>, node: Rc<Node>, wait: Micros, time: Micros) {
        rest(wait).await;
        let Some(running) = node.running.borrow().clone().filter(|_| !node.is_busy.get()) else { return };
        self.act(format!("n{}: stopped for {} ms", node.number, time / MS));
        node.is_busy.set(true);
        node.stop(&running, time).await;
        node.is_busy.set(false);
    }

    async fn on_router(self: Rc<Self>, node: Rc<Node>, kind: u32, wait: Micros, seed: u64) {
        rest(wait).await;
        let Some(running) = node.running.borrow().clone() else { return };
        let name = format!("n{}", node.number);
        let done = match kind {
            0 => self.drain(&node, &running, &name).await,
            1 => self.restart(&node, &running, &name, seed).await,
            2 | 3 => self.upgrade(&node, &running, &name).await,
            4 => self.kill(&node, &running, &name).await,
            5 => self.fail_accepts(&node, &name, seed).await,
            6 => self.crowd(&node, &name).await,
            _ => {
                self.act(format!("{name}: SIGHUP"));
                node.reload(&running);
                Ok(())
            }
        };
        if let Err(e) = done {
            self.broke("a router is not ready in time", e.to_string());
        }
        node.is_busy.set(false);
    }

    async fn on_clock(self: Rc<Self>, node: Rc<Node>, offset: i64, wait: Micros) {
        rest(wait).await;
        if node.is_starting.get() {
            return;
        }
        self.act(format!("n{}: its wall clock is off by {offset} s", node.number));
        let _ = node.clock.step_to(offset * SECOND as i64);
    }

    async fn drain(&self, node: &Node, running: &nodes::Running, name: &str) -> io::Result<()> {
        self.act(format!("{name}: drain"));
        if call(running.management, "PUT /-/drain").await != Some(true) {
            self.broke("a call is not answered", format!("{name}: drain"));
        }
        let at = clock::now();
        let drain = {
            let mut drains = self.records.drains.borrow_mut();
            drains.push(Drain { process: running.place, at, until: None });
            drains.len() - 1
        };
        Timer::after(FRONT_STOPS).await;
        node.door.admits.set(false);
        clock::timer_at(at + DRAIN_TERM).await;
        if is_ready(running.management).await {
            self.broke("ready under a drain", name.to_owned());
        }
        clock::timer_at(at + DRAINED).await;
        self.act(format!("{name}: resume"));
        self.records.drains.borrow_mut()[drain].until = Some(clock::now());
        if call(running.management, "PUT /-/resume").await != Some(true) {
            self.broke("a call is not answered", format!("{name}: resume"));
        }
        let by = clock::now() + READY_AGAIN;
        while !is_ready(running.management).await {
            if clock::now() > by {
                self.broke("not ready again after a drain", name.to_owned());
                break;
            }
            rest(10 * MS).await;
        }
        node.door.admits.set(true);
        Ok(())
    }

    async fn restart(
        self: &Rc<Self>,
        node: &Rc<Node>,
        running: &nodes::Running,
        name: &str,
        seed: u64,
    ) -> io::Result<()> {
        // Every other process is stopped as the signal comes.
        let stopped = if seed.is_multiple_of(2) { seed / 2 % STOPPED_AT_END } else { 0 };
        self.act(format!("{name}: SIGTERM while it is stopped for {} ms, and a restart", stopped / MS));
        let door = node.door.clone();
        let close = async {
            Timer::after(FRONT_STOPS).await;
            door.admits.set(false);
        };
        futures_lite::future::zip(node.end(running, stopped), close).await;
        node.running.borrow_mut().take();
        node.serve(node.start().await?);
        Ok(())
    }

    async fn upgrade(&self, node: &Node, running: &nodes::Running, name: &str) -> io::Result<()> {
        self.act(format!("{name}: an upgrade beside it"));
        let new = node.start().await?;
        node.serve(new);
        self.act(format!("{name}: SIGTERM to the older process"));
        node.end(running, 0).await;
        Ok(())
    }

    async fn kill(&self, node: &Node, running: &nodes::Running, name: &str) -> io::Result<()> {
        self.act(format!("{name}: SIGKILL"));
        node.kill(running);
        node.door.admits.set(false);
        rest(500 * MS).await;
        node.running.borrow_mut().take();
        node.serve(node.start().await?);
        Ok(())
    }

    async fn fail_accepts(&self, node: &Node, name: &str, seed: u64) -> io::Result<()> {
        let errors = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::CONNABORTED];
        let error = errors[seed as usize % errors.len()];
        self.act(format!("{name}: accepts fail, {error}"));
        node.calls.fail(SystemCall::Accept, Some(error.raw_os_error()))?;
        rest(300 * MS).await;
        node.calls.fail(SystemCall::Accept, None)
    }

    async fn crowd(&self, node: &Node, name: &str) -> io::Result<()> {
        self.act(format!("{name}: a crowd of idle clients"));
        let mut idle = Vec::new();
        for _ in 0..CROWD {
            idle.extend(Async::<TcpStream>::connect(node.door.address).await);
        }
        rest(2 * SECOND).await;
        Ok(())
    }

    async fn on_cache(self: Rc<Self>, cache: Rc<Cache>, fault: Fault, wait: Micros, lasts: Micros) {
        rest(wait).await;
        self.act(format!("cache {}: {fault:?} for {} ms", cache.number, lasts / MS));
        cache.fault.set(Some(fault));
        rest(lasts).await;
        cache.fault.set(None);
    }

    /// A cache's process dies and is back, cold, a little later; the list tells its new start.
    async fn crash(self: Rc<Self>, cache: Rc<Cache>, wait: Micros) {
        rest(wait).await;
        self.act(format!("cache {}: crashes", cache.number));
        cache.crash(CRASHED).await;
        let started_ms = Stamp::now().as_micros() / MS;
        // The list says that it is ready, also where it was told to drain before.
        let mut drains = self.records.cache_drains.borrow_mut();
        let own = drains.iter_mut().filter(|drain| drain.cache == cache.number && drain.until.is_none());
        own.for_each(|drain| drain.until = Some(clock::now()));
        self.coordinator.tell(News::Changes(vec![Member { started_ms, ..self.members[cache.number] }]));
        self.act(format!("cache {}: is back, cold", cache.number));
    }

    /// Purges objects and groups, on and on.
    async fn purge(self: Rc<Self>, mut random: Pcg64Mcg) {
        loop {
            rest(random.random_range(PURGE_EVERY)).await;
            let at = Stamp::now().as_micros() / MS * MS;
            let what = match random.random_bool(0.7) {
                true => Purged::Object(random.random_range(0..PURGED_OBJECTS)),
                false => Purged::Group(random.random_range(0..PURGED_GROUPS)),
            };
            rest(random.random_range(0..PURGE_LATE)).await;
            let late = if self.coordinator.stalled.get() { TOLD_AFTER_SILENCE } else { TOLD };
            let told = clock::now() + late;
            self.records.purges.borrow_mut().push(Purge { what, at, told });
            self.coordinator.tell(match what {
                Purged::Object(object) => News::PurgeObject(object, at / MS),
                Purged::Group(group) => News::Purge(group, at / MS),
            });
        }
    }

    /// The list: a cache drains and comes back, or the feed is silent for a while, or nothing happens.
    async fn on_list(self: Rc<Self>, kind: u32, wait: Micros, cache: usize) {
        rest(wait).await;
        match kind {
            0 => {
                self.act(format!("list: member {cache} drains"));
                self.coordinator.tell(News::Changes(vec![Member { state: 1, ..self.members[cache] }]));
                let drain = {
                    let mut drains = self.records.cache_drains.borrow_mut();
                    drains.push(CacheDrain { cache, told: clock::now(), until: None });
                    drains.len() - 1
                };
                rest(3 * SECOND).await;
                self.act(format!("list: member {cache} is ready"));
                let until = &mut self.records.cache_drains.borrow_mut()[drain].until;
                *until = until.or(Some(clock::now()));
                self.coordinator.tell(News::Changes(vec![self.members[cache]]));
            }
            1 => {
                self.act("list: silent for 2.5 s".to_owned());
                self.coordinator.stalled.set(true);
                let now = clock::now();
                for purge in self.records.purges.borrow_mut().iter_mut().filter(|purge| purge.told > now) {
                    purge.told += TOLD_AFTER_SILENCE;
                }
                rest(2500 * MS).await;
                self.coordinator.stalled.set(false);
            }
            2 => {
                self.act(format!("list: member {cache} drains and is ready in quick succession"));
                for state in [1, 0, 1, 0] {
                    self.coordinator.tell(News::Changes(vec![Member { state, ..self.members[cache] }]));
                    rest(30 * MS).await;
                }
            }
            _ => {}
        }
    }

    async fn last_end(self: Rc<Self>, node: Rc<Node>) {
        let Some(running) = node.running.borrow().clone() else { return };
        self.act(format!("n{}: SIGTERM at the end", node.number));
        node.end(&running, 0).await;
    }
}
