//! The rig of the purge log: sources, relays and routers as processes of the program, with proxies between them and under
//! traffic, while the coordinator tells purges and some of them are killed, frozen or cut off. What it came to is judged
//! by [`checker`] from what the routers wrote down, what the coordinator told and what staff were told.

mod faults;
pub(super) mod layout;
mod report;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;

use async_executor::LocalExecutor;
use rand::{Rng, SeedableRng};
use rand_distr::Distribution;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::Value;
use silverspindle_wire::clock;
use silverspindle_wire::feed::PurgeTarget;

use crate::checker::lines;
use crate::checker::purges::{self as checker, Event, Everywhere, Findings, Purge};
use crate::clients::{BUDGET, Clients, Tally, group};
use crate::codec::{Member, News};
use crate::coordinator::Coordinator;
use crate::office::{Office, Plan, rest};
use crate::process::{LOOK_AGAIN, peak, signal, steady, until, used};
use crate::trial::{self, Router, Start, WRITES, well};
use crate::{Micros, SECOND};

pub use faults::{Fault, Kind, random, script};
pub use layout::{Node, Tree};
use layout::{Prepared, Proxies, STAFF, prepare, records};
pub use report::report;

const MS: Micros = 1000;
/// What the coordinator's page allows from a purge's telling until it counts as told to whoever follows it.
pub const TOLD_WITHIN: Micros = 2 * SECOND;
/// One purge of so many is a group's.
const GROUPS: u32 = 8;
/// One event of so many concerns the list.
const LISTS: u32 = 20;
/// Caches drop copies from before a purge so long after it, shortly before the latest that the platform's page allows.
const CACHES_CLEAR: Micros = 5900 * MS;
/// Staff ask after so long.
const ASK_EVERY: Micros = 300 * MS;
/// Lines of each log that a failure shows.
const LOG_LINES: usize = 25;

/// What is tried.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Who is there.
    pub tree: Tree,
    /// How long traffic and faults last.
    pub seconds: u64,
    /// For all that is drawn.
    pub seed: u64,
    /// Items a second.
    pub rate: f64,
    /// Purges and list events a second.
    pub events: f64,
    /// The lease.
    pub lease: Micros,
    /// The lease of a router that follows the coordinator itself.
    pub direct: Micros,
    /// Records are passed on at most so often.
    pub batch: Micros,
    /// A child reports so often.
    pub report: Micros,
    /// Children that a source or relay takes; none: as the program does by itself.
    pub children: Option<usize>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// A guard taken out of all processes; only a debug build of the program lets that be.
    pub without: Option<&'static str>,
}

impl Options {
    /// The time after which nobody acts without a purge.
    pub fn stated(&self) -> Micros {
        self.lease + TOLD_WITHIN
    }
}

/// What it came to.
#[derive(Debug, Default)]
pub struct Outcome {
    /// By the records.
    pub findings: Findings,
    /// Answers from copies that a purge forbids, by the clients.
    pub stale: Vec<String>,
    /// What else was not as promised.
    pub failures: Vec<String>,
    /// Purges told, and list events.
    pub told: (u64, u64),
    /// Staff's questions, by the answer: everywhere, not yet, not known.
    pub answers: [u64; 3],
    /// From a purge's telling to staff's being told that it is everywhere, of those asked for until then: sorted.
    pub to_everywhere: Vec<Micros>,
    /// From the healing until a new purge was everywhere.
    pub recovered: Micros,
    /// Of each router's clients, and whether it was frozen or killed on the way.
    pub tallies: Vec<(Tally, bool)>,
    /// Of each process: processor time, how long it ran, and the most memory that it held in kB.
    pub accounts: BTreeMap<Node, Account>,
}

/// What a process cost, over all its lives.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// Processor time.
    pub used: Micros,
    /// How long it ran.
    pub ran: Micros,
    /// The most memory, in kB.
    pub peak: u64,
}

impl Outcome {
    /// Whether every promise was kept.
    pub fn is_good(&self) -> bool {
        self.findings.breaches.is_empty() && self.stale.is_empty() && self.failures.is_empty()
    }
}

/// The rig while it runs.
struct Rig {
    options: Options,
    folder: PathBuf,
    starts: BTreeMap<Node, Start>,
    running: RefCell<BTreeMap<Node, (Router, Micros)>>,
    proxies: Proxies,
    coordinator: Rc<Coordinator>,
    /// Silences of the coordinator that are not over.
    silences: Cell<u32>,
    /// Kills and freezes of a process that are not over.
    down: RefCell<BTreeMap<Node, u32>>,
    frozen: RefCell<BTreeMap<Node, u32>>,
    touched: RefCell<BTreeSet<Node>>,
    events: RefCell<Vec<Event>>,
    purges: RefCell<Vec<Purge>>,
    everywhere: RefCell<Vec<Everywhere>>,
    out: RefCell<Outcome>,
}

impl Rig {
    fn start(&self, node: Node) {
        match self.starts[&node].clone().go() {
            Ok(process) => drop(self.running.borrow_mut().insert(node, (process, clock::now()))),
            Err(e) => self.fail(format!("{node} does not start: {e}")),
        }
    }

    fn fail(&self, what: String) {
        self.out.borrow_mut().failures.push(what);
    }

    /// Adds what a process has cost so far.
    fn account(&self, node: Node, process: &Router, since: Micros) {
        let mut out = self.out.borrow_mut();
        let account = out.accounts.entry(node).or_default();
        account.used += used(process.child.id()).unwrap_or(0);
        account.ran += clock::now().saturating_sub(since);
        account.peak = account.peak.max(peak(process.child.id()).unwrap_or(0));
    }

    fn kill(&self, node: Node) {
        let process = self.running.borrow_mut().remove(&node);
        if let Some((process, since)) = process {
            self.account(node, &process, since);
        }
    }

    fn signal(&self, node: Node, what: Signal) {
        if let Some((process, _)) = self.running.borrow().get(&node) {
            signal(process, what);
        }
    }

    async fn fault(&self, number: usize, fault: &Fault) {
        self.begin(number, &fault.kind);
        rest(fault.lasts).await;
        self.end(number, &fault.kind);
    }

    fn begin(&self, number: usize, kind: &Kind) {
        for (link, ways) in kind.links(&self.options.tree) {
            if let Some(proxy) = self.proxies.get(&link) {
                proxy.fault(number, Some(ways));
            }
        }
        match kind {
            Kind::Kill(whom) => {
                for node in whom {
                    self.touched.borrow_mut().insert(*node);
                    *self.down.borrow_mut().entry(*node).or_default() += 1;
                    self.kill(*node);
                }
            }
            Kind::Freeze(whom) => {
                for node in whom {
                    self.touched.borrow_mut().insert(*node);
                    *self.frozen.borrow_mut().entry(*node).or_default() += 1;
                    self.signal(*node, Signal::STOP);
                }
            }
            Kind::Tear(from, to) => {
                if let Some(proxy) = self.proxies.get(&(*from, *to)) {
                    proxy.tear.set(true);
                }
            }
            Kind::Silence => self.silence(self.silences.get() + 1),
            Kind::Link(..) | Kind::Split(_) => {}
        }
    }

    fn end(&self, number: usize, kind: &Kind) {
        for (link, _) in kind.links(&self.options.tree) {
            if let Some(proxy) = self.proxies.get(&link) {
                proxy.fault(number, None);
            }
        }
        let over = |count: &mut BTreeMap<Node, u32>, node: &Node| {
            let left = count.entry(*node).or_default();
            *left = left.saturating_sub(1);
            *left == 0
        };
        match kind {
            Kind::Kill(whom) => {
                let back = whom.iter().filter(|node| over(&mut self.down.borrow_mut(), node));
                back.for_each(|node| self.start_unless_frozen(*node));
            }
            Kind::Freeze(whom) => {
                let back = whom.iter().filter(|node| over(&mut self.frozen.borrow_mut(), node));
                back.for_each(|node| self.signal(*node, Signal::CONT));
            }
            Kind::Silence => self.silence(self.silences.get().saturating_sub(1)),
            Kind::Tear(..) | Kind::Link(..) | Kind::Split(_) => {}
        }
    }

    fn start_unless_frozen(&self, node: Node) {
        self.start(node);
        if self.frozen.borrow().get(&node).is_some_and(|count| *count > 0) {
            self.signal(node, Signal::STOP);
        }
    }

    fn silence(&self, silences: u32) {
        self.silences.set(silences);
        self.coordinator.stalled.set(silences > 0);
    }

    /// The coordinator tells this; the event's number.
    fn tell(&self, news: News, what: Option<PurgeTarget>) -> u64 {
        let number = self.coordinator.tell(news);
        self.events.borrow_mut().push(Event { number, at: steady(), is_purge: what.is_some() });
        if let Some(what) = what {
            self.purges.borrow_mut().push(Purge { number, what, at: clock::now() });
        }
        number
    }

    fn tell_purge(&self, what: PurgeTarget) -> u64 {
        let ms = clock::now() / MS;
        let news = match what {
            PurgeTarget::Object(object) => News::PurgeObject(object, ms),
            PurgeTarget::Group(group) => News::Purge(group as u16, ms),
        };
        self.tell(news, Some(what))
    }

    fn tell_list(&self, member: Member) -> u64 {
        self.tell(News::Changes(vec![member]), None)
    }

    /// Staff ask how far a number has come: everywhere, not yet, or not known.
    async fn ask(&self, number: u64) -> Option<bool> {
        let mut command = Command::new(&self.options.program);
        command.args(["fleet", "--json", "--conf"]).arg(self.folder.join(STAFF));
        command.args(["purge", "status", &number.to_string()]);
        let out = blocking::unblock(move || command.output()).await.ok()?;
        let at = steady();
        let said: Value = serde_json::from_slice(&out.stdout).unwrap_or(Value::Null);
        let everywhere = said["everywhere"].as_bool();
        if everywhere == Some(true) {
            self.everywhere.borrow_mut().push(Everywhere { number, at });
        }
        let answer = match everywhere {
            Some(true) => 0,
            Some(false) => 1,
            None => 2,
        };
        self.out.borrow_mut().answers[answer] += 1;
        everywhere
    }

    /// Asks until the answer is yes, at staff's pace.
    async fn is_everywhere(&self, number: u64) -> bool {
        let everywhere = self.ask(number).await == Some(true);
        if !everywhere {
            rest(ASK_EVERY).await;
        }
        everywhere
    }

    /// When an event was told.
    fn told_at(&self, number: u64) -> Option<Micros> {
        let events = self.events.borrow();
        let found = events.partition_point(|event| event.number < number);
        events.get(found).filter(|event| event.number == number).map(|event| event.at)
    }

    fn records(&self) -> Vec<Value> {
        let read = |node| fs::read_to_string(records(&self.folder, node)).unwrap_or_default();
        let routers = (0..self.options.tree.routers).map(Node::Router);
        routers.flat_map(|node| lines(&read(node))).collect()
    }

    fn log(&self, node: Node) -> String {
        fs::read_to_string(&self.starts[&node].log).unwrap_or_default()
    }

    /// The last lines of all logs.
    fn logs(&self) -> String {
        let last = |node: &Node| {
            let log = self.log(*node);
            let lines: Vec<&str> = log.lines().collect();
            format!("{node}:\n{}", lines[lines.len().saturating_sub(LOG_LINES)..].join("\n"))
        };
        self.starts.keys().map(last).collect::<Vec<_>>().join("\n")
    }
}

/// The coordinator tells purges of objects that clients ask for, of groups, and now and then a member's new weight.
async fn tell(rig: Rc<Rig>, office: Rc<Office>, end: Micros) -> io::Result<()> {
    let mut random = Pcg64Mcg::seed_from_u64(rig.options.seed ^ 0x7e11);
    let (objects, gaps) = trial::demand(rig.options.events)?;
    let members = office.members();
    let boxes: Vec<Member> = members.into_iter().filter(|member| member.kind == 0).collect();
    let mut due = clock::now();
    while due < end {
        due += gaps.sample(&mut random) as Micros + 1;
        clock::timer_at(due).await;
        let object = spread(objects.sample(&mut random) as u64);
        let (is_list, is_group) = (random.random_ratio(1, LISTS), random.random_ratio(1, GROUPS));
        let (which, weight) = (random.random_range(0..boxes.len()), random.random_range(10..=16));
        // A silent coordinator has nothing to tell: when it would have been told is nobody's to say.
        if rig.coordinator.stalled.get() {
            continue;
        }
        match (is_list, is_group) {
            (true, _) => rig.tell_list(Member { weight, ..boxes[which] }),
            (false, true) => rig.tell_purge(PurgeTarget::Group(group(object))),
            (false, false) => rig.tell_purge(PurgeTarget::Object(object)),
        };
    }
    Ok(())
}

/// Caches drop what a purge forbids, as late as they may.
async fn clear_caches(rig: Rc<Rig>, office: Rc<Office>) {
    let mut cleared = 0;
    loop {
        let due: Vec<Purge> = {
            let purges = rig.purges.borrow();
            let due = |purge: &&Purge| purge.at + CACHES_CLEAR <= clock::now();
            purges[cleared..].iter().take_while(due).copied().collect()
        };
        cleared += due.len();
        due.iter().for_each(|purge| office.purge(purge.what, purge.at));
        rest(LOOK_AGAIN).await;
    }
}

/// Staff ask of the latest purge until it is everywhere or another while has passed, then of the latest one then.
async fn ask(rig: Rc<Rig>, end: Micros) {
    let mut asked: Option<(u64, Micros)> = None;
    while clock::now() < end {
        let latest = rig.purges.borrow().last().map(|purge| purge.number);
        let again = asked.filter(|(_, since)| clock::now() < since + rig.options.stated());
        let (number, since) = match (again, latest) {
            (Some(again), _) => again,
            (None, Some(latest)) => (latest, clock::now()),
            (None, None) => {
                rest(ASK_EVERY).await;
                continue;
            }
        };
        asked = Some((number, since));
        if rig.ask(number).await == Some(true) {
            let took = rig.told_at(number).map(|at| steady().saturating_sub(at));
            rig.out.borrow_mut().to_everywhere.extend(took);
            asked = None;
        }
        rest(ASK_EVERY).await;
    }
}

/// Numbers spread: neighbours in liking are no neighbours in ids.
fn spread(object: u64) -> u64 {
    object.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

async fn traffic(
    rig: &Rc<Rig>,
    office: &Rc<Office>,
    tasks: &Rc<LocalExecutor<'static>>,
    clients: &[Rc<Clients>],
) -> io::Result<()> {
    let options = &rig.options;
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let (objects, gaps) = trial::demand(options.rate)?;
    let begin = clock::now();
    let end = begin + options.seconds * SECOND;
    let mut running = Vec::new();
    for (number, fault) in options.faults.iter().cloned().enumerate() {
        let own = rig.clone();
        running.push(tasks.spawn(async move {
            rest(fault.at).await;
            own.fault(number, &fault).await;
        }));
    }
    let telling = tasks.spawn(tell(rig.clone(), office.clone(), end));
    let asking = tasks.spawn(ask(rig.clone(), end));
    let (mut due, mut looked) = (begin, begin);
    while due < end {
        due += gaps.sample(&mut random) as Micros + 1;
        clock::timer_at(due).await;
        if clock::now() >= looked + SECOND / 10 {
            looked = clock::now();
            clients.iter().for_each(|c| c.overdue());
        }
        let (object, write) = (spread(objects.sample(&mut random) as u64), random.random_bool(WRITES));
        let whose = clients[random.random_range(0..clients.len())].clone();
        let own = tasks.clone();
        tasks.spawn(async move { whose.send(&own, due, object, write).await }).detach();
    }
    for fault in running {
        fault.await;
    }
    asking.await;
    telling.await
}

/// All faults are over: a new purge comes to be everywhere, each router has applied it, and items end.
async fn heal(rig: &Rc<Rig>, clients: &[Rc<Clients>]) -> io::Result<()> {
    let began = clock::now();
    let number = rig.tell_purge(PurgeTarget::Object(0));
    until("a purge everywhere after the healing", async || rig.is_everywhere(number).await.then_some(()))
        .await?;
    rig.out.borrow_mut().recovered = clock::now() - began;
    until("that purge's being applied by each router", async || {
        let all = (0..rig.options.tree.routers).map(Node::Router);
        let mut applied = all.map(|node| applied(&records(&rig.folder, node)));
        applied.all(|applied| applied >= number).then_some(())
    })
    .await?;
    let last = clock::now() + BUDGET + SECOND;
    while clients.iter().any(|c| c.open() > 0) && clock::now() < last {
        rest(LOOK_AGAIN).await;
        clients.iter().for_each(|c| c.overdue());
    }
    Ok(())
}

/// The latest number that a router's records name as applied.
fn applied(path: &Path) -> u64 {
    let latest = |record: &Value| record["to"].as_u64().or(record["number"].as_u64());
    lines(&crate::process::tail(path)).iter().filter_map(latest).max().unwrap_or(0)
}

/// SIGTERM for all that run; each ends by itself, with 0.
async fn finish(rig: &Rc<Rig>) {
    let running = rig.running.take();
    for (node, (process, since)) in &running {
        rig.account(*node, process, *since);
        signal(process, Signal::TERM);
    }
    for (node, (mut process, _)) in running {
        let ended = until("its end by SIGTERM", async || process.child.try_wait().ok().flatten()).await;
        match ended {
            Ok(status) if status.success() => {}
            Ok(status) => rig.fail(format!("{node}: {status}")),
            Err(e) => rig.fail(format!("{node}: {e}")),
        }
    }
}

/// Runs it to its end. Ends the processes that it started, also where it fails.
pub async fn play(tasks: &Rc<LocalExecutor<'static>>, options: &Options) -> io::Result<Outcome> {
    let folder = tempfile::tempdir()?;
    let office = Office::start(tasks, Plan { boxes: 4, box_room: 800, parents: 2, parent_room: 4000 })?;
    let coordinator = Coordinator::start(tasks)?;
    let (prepared, proxies) = prepare(options, folder.path(), tasks, &office, &coordinator)?;
    let listens: BTreeMap<Node, _> =
        prepared.iter().map(|(node, Prepared { listen, .. })| (*node, *listen)).collect();
    let clients: Vec<Rc<Clients>> =
        (0..options.tree.routers).map(|n| Clients::new(n as u8, listens[&Node::Router(n)])).collect();
    let rig = Rc::new(Rig {
        options: options.clone(),
        folder: folder.path().to_owned(),
        starts: prepared.into_iter().map(|(node, prepared)| (node, prepared.start)).collect(),
        running: RefCell::default(),
        proxies,
        coordinator,
        silences: Cell::default(),
        down: RefCell::default(),
        frozen: RefCell::default(),
        touched: RefCell::default(),
        events: RefCell::default(),
        purges: RefCell::default(),
        everywhere: RefCell::default(),
        out: RefCell::default(),
    });
    for node in options.tree.processes() {
        rig.start(node);
    }
    if let Err(e) = run(&rig, &office, tasks, &clients).await {
        rig.fail(format!("{e}\n{}", rig.logs()));
    }
    finish(&rig).await;
    Ok(judge(&rig, &clients))
}

async fn run(
    rig: &Rc<Rig>,
    office: &Rc<Office>,
    tasks: &Rc<LocalExecutor<'static>>,
    clients: &[Rc<Clients>],
) -> io::Result<()> {
    for (n, clients) in clients.iter().enumerate() {
        well(clients, &rig.starts[&Node::Router(n)].log).await?;
    }
    let first = rig.tell_purge(PurgeTarget::Object(0));
    until("a first purge everywhere", async || rig.is_everywhere(first).await.then_some(())).await?;
    let _clearing = tasks.spawn(clear_caches(rig.clone(), office.clone()));
    traffic(rig, office, tasks, clients).await?;
    heal(rig, clients).await
}

fn judge(rig: &Rig, clients: &[Rc<Clients>]) -> Outcome {
    let mut out = rig.out.take();
    let (events, purges) = (rig.events.borrow(), rig.purges.borrow());
    let stated = rig.options.stated();
    out.findings = checker::check(&rig.records(), &events, &rig.everywhere.borrow(), stated);
    out.told = (purges.len() as u64, (events.len() - purges.len()) as u64);
    out.to_everywhere.sort_unstable();
    for node in rig.starts.keys() {
        let log = rig.log(*node);
        out.failures.extend(log.lines().find(|l| l.contains("panicked")).map(|l| format!("{node}: {l}")));
    }
    let touched = rig.touched.borrow();
    for (n, clients) in clients.iter().enumerate() {
        let node = Node::Router(n);
        let tally = clients.tally.borrow().clone();
        out.stale.extend(checker::stale(&node.to_string(), &tally.copies, &purges, stated));
        if !touched.contains(&node) && !tally.is_good() {
            let (lost, wrong) = (tally.lost, tally.wrong);
            out.failures.push(format!("{node}: {lost} items without an answer, {wrong} with a wrong one"));
        }
        out.tallies.push((tally, touched.contains(&node)));
    }
    out
}
