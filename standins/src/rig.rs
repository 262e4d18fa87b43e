//! The rig: several processes of the program that agree, between proxies and under traffic, while some of them are
//! killed, frozen or cut off. What it came to is judged by [`checker`] from what the processes wrote down.

pub mod hollow;
pub mod purges;
mod steps;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;

use async_executor::LocalExecutor;
use rand::{Rng, SeedableRng};
use rand_distr::Distribution;
use rand_pcg::Pcg64Mcg;
use rustix::process::{Pid, Resource, Rlimit, Signal, prlimit};
use serde_json::Value;
use silverspindle_wire::clock;

use crate::checker::{self, Findings, Told, Versions};
use crate::clients::{BUDGET, Clients, Tally};
use crate::codec::Member;
use crate::coordinator::Coordinator;
use crate::office::{Office, Plan, rest};
use crate::process::{GENEROUS, LOOK_AGAIN, peak, signal, steady, tail, until, used};
use crate::proxy::{Proxy, Way};
use steps::Play;

use crate::trial::{self, Router, Start, WRITES, free, run, well};
use crate::{Micros, SECOND};

const MS: Micros = 1000;
/// Staff's script takes so long from one router to the next.
const HAND: Micros = 200 * MS;
/// Work on a machine takes so long.
const WORK: Micros = 700 * MS;
/// With its disk full a router writes no file beyond so many bytes; an elector's disk is longer from the start.
const FULL: u64 = 8192;

/// Whom a fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// The router of this number.
    Router(usize),
    /// Whoever leads when it begins.
    Leader,
    /// All of them.
    All,
}

/// What is left of a killed elector's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// What it had synced.
    Whole,
    /// Nothing.
    Empty,
    /// Half of its file.
    Torn,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// SIGKILL; started again when the fault ends.
    Kill(Who, Rest),
    /// SIGSTOP, and SIGCONT.
    Freeze(Who),
    /// What the first sends to the second on its own connections does not arrive; the other way is open.
    Hold(usize, usize),
    /// Connections both ways are reset and refused.
    Cut(usize, usize),
    /// What goes either way takes so much longer.
    Late(usize, usize, Micros),
    /// So many bytes a second either way.
    Slow(usize, usize, u64),
    /// The next piece from the one to the other breaks in its middle.
    Tear(usize, usize),
    /// These hear none of the others, and the other way round.
    Split(BTreeSet<usize>),
    /// Its disk takes nothing more from now on; killed and started again with room when the fault ends.
    Full(usize),
    /// Killed, and started so that it dies by itself at a write to its disk, `before N` or `after N`; started again
    /// when the fault ends.
    Die(usize, String),
    /// A younger process of the same name beside it; the older one is told to end when the fault ends.
    Upgrade(usize),
    /// Decisions, so many, as fast as the electors make them.
    Burst(u64),
}

/// A fault, from a time on and for so long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// From the start of traffic.
    pub at: Micros,
    /// For so long.
    pub lasts: Micros,
    /// What.
    pub kind: Kind,
}

/// All boxes and parents worked on once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Round {
    /// By an order.
    Order,
    /// By hand: told to drain, waited for as long as anything may be open, worked on, told ready.
    Hand,
}

/// What is tried.
#[derive(Clone, Debug)]
pub struct Options {
    /// The router's program.
    pub program: PathBuf,
    /// Routers, and of them electors, the first ones.
    pub routers: u8,
    /// See `routers`.
    pub electors: u8,
    /// How long traffic and faults last.
    pub seconds: u64,
    /// For all that is drawn.
    pub seed: u64,
    /// Items a second.
    pub rate: f64,
    /// The stated time.
    pub lease: Micros,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Boxes are ordered out, worked on and brought back.
    pub work: bool,
    /// Boxes; parents are two.
    pub boxes: u32,
    /// With orders: one over all boxes and parents, and the run ends with it; or staff's drains by hand through the
    /// coordinator, one machine after the other.
    pub round: Option<Round>,
    /// What staff do and what happens meanwhile, step by step, in place of what they do by themselves; see [`play`].
    pub steps: &'static str,
    /// A router, and the fills a second of which it needs a limit to be at least.
    pub least: Option<(usize, u64)>,
    /// Staff propose versions of rules.
    pub rules: bool,
    /// Routers, too, and what a router does alone: it serves on and holds work up.
    pub work_routers: bool,
    /// See `work_routers`.
    pub hold: bool,
    /// Staff make no calls: to measure what idle routers cost.
    pub quiet: bool,
    /// A guard taken out of all routers; only a debug build of the program lets that be.
    pub without: Option<&'static str>,
}

/// What it came to.
#[derive(Debug, Default)]
pub struct Outcome {
    /// By the records.
    pub findings: Findings,
    /// What else was not as promised.
    pub failures: Vec<String>,
    /// Of each router's clients, and whether the router was frozen or killed on the way.
    pub tallies: Vec<(Tally, bool)>,
    /// Times that a router began to lead.
    pub leaders: u64,
    /// From the healing to the next decision, and until all routers had it.
    pub recovered: (Micros, Micros),
    /// From a leader's kill to the first decision after it.
    pub failovers: Vec<Micros>,
    /// Staff's calls: made, refused, not known.
    pub calls: [u64; 3],
    /// Machines that were out on the way, and new work that reached one, or that a router among them sent on, from
    /// staff's being told so to their word that it is back.
    pub work: (u64, u64),
    /// How long a round over all machines took.
    pub round: Option<Micros>,
    /// Reads that reached the head office.
    pub office_reads: u64,
    /// For how long two figures were in use that staff changed by hand, sorted.
    pub by_hand: Vec<Micros>,
    /// What the records prove of versions.
    pub versions: Versions,
    /// Versions that held, by the way they came: at once, apart, tried by some first.
    pub ways: [u64; 3],
    /// The most fills in a second that reached the head office, against the limit that held, in thousandths, and
    /// where that was over what the shares and their bursts come to.
    pub office: (u64, Vec<String>),
    /// Processor time of each router, in microseconds, and how long it ran.
    pub used: Vec<(Micros, Micros)>,
    /// The most memory that each held, in kB.
    pub memory: Vec<u64>,
    /// Routers that died by themselves at a write.
    pub died: u64,
}

impl Outcome {
    /// Whether every promise was kept.
    pub fn is_good(&self) -> bool {
        self.findings.breaches.is_empty()
            && self.versions.breaches.is_empty()
            && self.office.1.is_empty()
            && self.failures.is_empty()
            && self.work.1 == 0
    }
}

fn time(text: &str) -> Option<Micros> {
    let (number, unit) =
        text.strip_suffix("ms").map(|n| (n, MS)).or(text.strip_suffix('s').map(|n| (n, SECOND)))?;
    Some((number.parse::<f64>().ok()? * unit as f64) as Micros)
}

fn router(text: &str) -> Option<usize> {
    text.strip_prefix('n')?.parse().ok()
}

fn who(text: &str) -> Option<Who> {
    match text {
        "leader" => Some(Who::Leader),
        "all" => Some(Who::All),
        _ => router(text).map(Who::Router),
    }
}

/// Reads a script: `AT LASTS KIND ...` a line, as in `2s 3s kill leader`, `2s 1s freeze n1`, `1s 1s hold n0 n1`, `1s 1s
/// cut n0 n1`, `1s 1s full n1`, `1s 1s die n1 after 3`, `1s 2s upgrade n1`, `1s 0s burst 1000`, `1s 1s late n0 n1 200ms`, `1s 1s slow n0 n1 2000`, `1s 0s tear n0 n1`, `1s 3s split n0,n1`, `1s 1s kill
/// n2 empty`.
pub fn script(text: &str) -> Result<Vec<Fault>, String> {
    let mut faults = Vec::new();
    for (n, line) in (1..).zip(text.lines()) {
        let line = line.split('#').next().unwrap_or("");
        let words: Vec<&str> = line.split_whitespace().collect();
        let [at, lasts, rest @ ..] = &words[..] else {
            if words.is_empty() {
                continue;
            }
            return Err(format!("line {n}: takes AT LASTS KIND"));
        };
        let kind = match rest {
            ["kill", whom] => who(whom).map(|w| Kind::Kill(w, Rest::Whole)),
            ["kill", whom, "empty"] => who(whom).map(|w| Kind::Kill(w, Rest::Empty)),
            ["kill", whom, "torn"] => who(whom).map(|w| Kind::Kill(w, Rest::Torn)),
            ["freeze", whom] => who(whom).map(Kind::Freeze),
            ["hold", a, b] => router(a).zip(router(b)).map(|(a, b)| Kind::Hold(a, b)),
            ["cut", a, b] => router(a).zip(router(b)).map(|(a, b)| Kind::Cut(a, b)),
            ["tear", a, b] => router(a).zip(router(b)).map(|(a, b)| Kind::Tear(a, b)),
            ["late", a, b, by] => {
                router(a).zip(router(b)).zip(time(by)).map(|((a, b), by)| Kind::Late(a, b, by))
            }
            ["slow", a, b, by] => {
                router(a).zip(router(b)).zip(by.parse().ok()).map(|((a, b), by)| Kind::Slow(a, b, by))
            }
            ["full", whom] => router(whom).map(Kind::Full),
            ["die", whom, when @ ("before" | "after"), write] => router(whom)
                .zip(write.parse::<u64>().ok())
                .map(|(n, write)| Kind::Die(n, format!("{when} {write}"))),
            ["upgrade", whom] => router(whom).map(Kind::Upgrade),
            ["burst", count] => count.parse().ok().map(Kind::Burst),
            ["split", side] => side.split(',').map(router).collect::<Option<_>>().map(Kind::Split),
            _ => None,
        };
        let fault = time(at).zip(time(lasts)).zip(kind).map(|((at, lasts), kind)| Fault { at, lasts, kind });
        faults.push(fault.ok_or_else(|| format!("line {n}: {line:?} is no fault"))?);
    }
    faults.sort_by_key(|f| f.at);
    Ok(faults)
}

/// Faults drawn by a seed, all ended by then.
pub fn random(seed: u64, routers: u8, electors: u8, seconds: u64) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x0bad_5eed);
    let (routers, electors, end) = (usize::from(routers), usize::from(electors), seconds * SECOND);
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(2..=6) {
        let at = rng.random_range(SECOND..end.max(2 * SECOND) - SECOND / 2);
        let lasts = rng.random_range(300 * MS..5 * SECOND).min(end.saturating_sub(at));
        let (elector, one) = (rng.random_range(0..electors), rng.random_range(0..routers));
        let other = (one + rng.random_range(1..routers.max(2))) % routers;
        let kind = match rng.random_range(0..14) {
            0..=1 => Kind::Kill(Who::Leader, Rest::Whole),
            2 => Kind::Kill(Who::Router(one), Rest::Whole),
            3 => Kind::Kill(Who::All, Rest::Whole),
            4..=5 => Kind::Freeze(Who::Leader),
            6 => Kind::Freeze(Who::Router(one)),
            7 => Kind::Hold(one, elector),
            8 => Kind::Cut(one, elector),
            9 => Kind::Late(one, elector, rng.random_range(10 * MS..400 * MS)),
            10 => Kind::Slow(one, elector, rng.random_range(500..20_000)),
            11 => Kind::Tear(one, elector),
            _ => Kind::Split([one, other].into()),
        };
        faults.push(Fault { at, lasts, kind });
    }
    faults.sort_by_key(|f| f.at);
    faults
}

/// A router and an elector that it sends to.
type Pair = (usize, usize);
type Proxies = BTreeMap<Pair, Rc<Proxy>>;

/// The rig while it runs.
struct Rig {
    options: Options,
    folder: PathBuf,
    tasks: Rc<LocalExecutor<'static>>,
    starts: Vec<Start>,
    routers: RefCell<Vec<Option<Router>>>,
    began: RefCell<Vec<Micros>>,
    /// By router and elector.
    proxies: Proxies,
    told: RefCell<Vec<Told>>,
    out: RefCell<Outcome>,
    touched: RefCell<BTreeSet<usize>>,
    torn: RefCell<BTreeSet<usize>>,
    down: RefCell<BTreeMap<usize, u32>>,
    frozen: RefCell<BTreeMap<usize, u32>>,
    /// Routers' own turns: from staff's being told that one is out to their word that it is back.
    turns: RefCell<Vec<(usize, Micros, Micros)>>,
    /// Versions that may have been made with this number, by way.
    came: RefCell<BTreeMap<u64, Vec<usize>>>,
    /// Limits of the head office's fills while nothing else was on its way: from when, until when.
    limits: RefCell<Vec<(u64, Micros, Micros)>>,
    /// Traffic is over: work comes to its end.
    ending: Cell<bool>,
}

impl Rig {
    /// Runs staff's command; what it printed in JSON, and whether it was well.
    async fn command(&self, elector: usize, args: &[&str]) -> (Value, bool) {
        self.told(&format!("staff{elector}.conf"), args).await
    }

    /// The same with this file of staff's.
    async fn told(&self, conf: &str, args: &[&str]) -> (Value, bool) {
        match self.run(conf, args).await {
            Some(out) => {
                let text = String::from_utf8_lossy(&out.stdout);
                (serde_json::from_str(text.trim()).unwrap_or(Value::Null), out.status.success())
            }
            None => (Value::Null, false),
        }
    }

    /// The same, with all that it said.
    async fn words(&self, elector: usize, args: &[&str]) -> (bool, String) {
        match self.run(&format!("staff{elector}.conf"), args).await {
            Some(out) => {
                let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                (out.status.success(), text(&out.stdout) + &text(&out.stderr))
            }
            None => (false, String::new()),
        }
    }

    async fn run(&self, conf: &str, args: &[&str]) -> Option<std::process::Output> {
        let mut command = Command::new(&self.options.program);
        command.args(["fleet", "--json", "--conf"]).arg(self.folder.join(conf)).args(args);
        blocking::unblock(move || command.output()).await.ok()
    }

    async fn leader(&self) -> Option<usize> {
        let (status, _) = self.command(0, &["status"]).await;
        let all = status["electors"].as_array()?;
        let leads = all.iter().filter(|e| e["role"] == "leader").max_by_key(|e| e["term"].as_u64())?;
        router(leads["elector"].as_str()?)
    }

    /// One call of staff, by one or two electors at once.
    async fn call(&self, n: u64, electors: &[usize], topic: &str) -> Option<u64> {
        let id = format!("{:016x}{n:016x}", self.options.seed | 1 << 60);
        let text = n.to_string();
        let mut made = None;
        let args = ["note", topic, &text, "--id", &id];
        let all = LocalExecutor::new();
        let calls: Vec<_> = electors.iter().map(|e| all.spawn(self.command(*e, &args))).collect();
        all.run(async {
            for call in calls {
                let (said, _) = call.await;
                let told =
                    Told { id: id.clone(), made: said["made"].as_bool(), number: said["number"].as_u64() };
                let which = match told.made {
                    Some(true) => 0,
                    Some(false) => 1,
                    None => 2,
                };
                self.out.borrow_mut().calls[which] += 1;
                made = made.or(told.number.filter(|_| told.made == Some(true)));
                self.told.borrow_mut().push(told);
            }
        })
        .await;
        made
    }

    fn start(&self, n: usize) -> io::Result<()> {
        self.start_with(n, None)
    }

    fn start_with(&self, n: usize, die: Option<&str>) -> io::Result<()> {
        let mut start = self.starts[n].clone();
        start.env.extend(die.map(|die| ("SILVERSPINDLE_DIE_AT", die.to_owned())));
        self.routers.borrow_mut()[n] = Some(start.go()?);
        self.began.borrow_mut()[n] = clock::now();
        Ok(())
    }

    fn kill(&self, n: usize, rest: Rest) {
        let router = self.routers.borrow_mut()[n].take();
        if let Some(router) = router {
            self.account(n, &router);
            drop(router);
        }
        let folder = self.folder.join(format!("n{n}"));
        let files = fs::read_dir(folder).into_iter().flatten().flatten();
        for file in files.map(|f| f.path()).filter(|f| f.extension().is_some_and(|e| e == "agreement")) {
            match rest {
                Rest::Whole => {}
                Rest::Empty => drop(fs::remove_file(file)),
                Rest::Torn => {
                    self.torn.borrow_mut().insert(n);
                    let half = fs::metadata(&file).map_or(0, |m| m.len() / 2);
                    let opened = fs::OpenOptions::new().write(true).open(&file);
                    let _ = opened.and_then(|f| f.set_len(half));
                }
            }
        }
    }

    /// Bounds the length of the files that a router may write; none: as before.
    fn room(&self, n: usize, most: Option<u64>) {
        if let Some(router) = &self.routers.borrow()[n] {
            let limit = Rlimit { current: most, maximum: None };
            let set = prlimit(Some(Pid::from_child(&router.child)), Resource::Fsize, limit);
            if let Err(e) = set {
                self.out.borrow_mut().failures.push(format!("n{n}: its disk can't be made full: {e}"));
            }
        }
    }

    fn account(&self, n: usize, router: &Router) {
        if let Some(peak) = peak(router.child.id()) {
            let mut out = self.out.borrow_mut();
            out.memory.resize(self.starts.len(), 0);
            out.memory[n] = out.memory[n].max(peak);
        }
        if let Some(used) = used(router.child.id()) {
            let ran = clock::now().saturating_sub(self.began.borrow()[n]);
            let mut out = self.out.borrow_mut();
            out.used.resize(self.starts.len(), (0, 0));
            out.used[n] = (out.used[n].0 + used, out.used[n].1 + ran);
        }
    }

    /// A fault on a proxy begins or ends.
    fn way(&self, fault: usize, pair: Pair, way: Option<Way>) {
        let Some(proxy) = self.proxies.get(&pair) else { return };
        // A hold is one way; all else is both.
        proxy.fault(fault, way.map(|way| [way, if way == Way::Held { Way::Open } else { way }]));
    }

    fn whom(&self, who: Who, leader: Option<usize>) -> Vec<usize> {
        match who {
            Who::Router(n) => vec![n],
            Who::Leader => leader.into_iter().collect(),
            Who::All => (0..self.starts.len()).collect(),
        }
    }

    async fn fault(&self, number: usize, fault: &Fault) {
        let both = |a: usize, b: usize| [(a, b), (b, a)];
        let leads = matches!(fault.kind, Kind::Kill(Who::Leader, _) | Kind::Freeze(Who::Leader));
        let leader = if leads { self.leader().await } else { None };
        let ends = |ways: &[((usize, usize), Way)], begins: bool| {
            ways.iter().for_each(|(pair, way)| self.way(number, *pair, begins.then_some(*way)));
        };
        let ways: Vec<((usize, usize), Way)> = match &fault.kind {
            Kind::Hold(a, b) => vec![((*a, *b), Way::Held)],
            Kind::Cut(a, b) => both(*a, *b).map(|pair| (pair, Way::Cut)).to_vec(),
            Kind::Late(a, b, by) => both(*a, *b).map(|pair| (pair, Way::Late(*by))).to_vec(),
            Kind::Slow(a, b, by) => both(*a, *b).map(|pair| (pair, Way::Slow(*by))).to_vec(),
            Kind::Split(side) => {
                let apart = self.proxies.keys().filter(|(a, b)| side.contains(a) != side.contains(b));
                apart.map(|pair| (*pair, Way::Cut)).collect()
            }
            _ => vec![],
        };
        ends(&ways, true);
        let mut killed = Vec::new();
        let mut frozen = Vec::new();
        let mut older = None;
        match &fault.kind {
            Kind::Full(n) => {
                self.touched.borrow_mut().insert(*n);
                self.room(*n, Some(FULL));
            }
            Kind::Die(n, when) => {
                self.touched.borrow_mut().insert(*n);
                self.kill(*n, Rest::Whole);
                if let Err(e) = self.start_with(*n, Some(when)) {
                    self.out.borrow_mut().failures.push(format!("n{n} does not start: {e}"));
                }
            }
            Kind::Upgrade(n) => {
                older = self.routers.borrow_mut()[*n].take();
                if let Err(e) = self.start(*n) {
                    self.out.borrow_mut().failures.push(format!("n{n} does not start: {e}"));
                }
            }
            Kind::Burst(count) => {
                let (_, good) = self.command(0, &["burst", &count.to_string()]).await;
                if !good {
                    self.out.borrow_mut().failures.push(format!("a burst of {count} was not decided"));
                }
            }
            Kind::Kill(who, rest) => {
                killed = self.whom(*who, leader);
                let at = clock::now();
                for n in &killed {
                    self.touched.borrow_mut().insert(*n);
                    *self.down.borrow_mut().entry(*n).or_default() += 1;
                    self.kill(*n, *rest);
                }
                if leader.is_some() {
                    self.failover(at);
                }
            }
            Kind::Freeze(who) => {
                frozen = self.whom(*who, leader);
                for n in &frozen {
                    self.touched.borrow_mut().insert(*n);
                    *self.frozen.borrow_mut().entry(*n).or_default() += 1;
                    if let Some(router) = &self.routers.borrow()[*n] {
                        signal(router, Signal::STOP);
                    }
                }
            }
            Kind::Tear(a, b) => {
                if let Some(proxy) = self.proxies.get(&(*a, *b)) {
                    proxy.tear.set(true);
                }
            }
            _ => {}
        }
        rest(fault.lasts).await;
        ends(&ways, false);
        if let Kind::Full(n) | Kind::Die(n, _) = &fault.kind {
            let mut router = self.routers.borrow_mut()[*n].take();
            if let (Kind::Die(..), Some(router)) = (&fault.kind, router.as_mut()) {
                // It dies when it writes; how soon that is nobody says.
                let _ = until("a write", async || router.child.try_wait().ok().flatten()).await;
            }
            let died = router.is_some_and(|mut r| r.child.try_wait().is_ok_and(|end| end.is_some()));
            if matches!(fault.kind, Kind::Die(..)) {
                self.out.borrow_mut().died += u64::from(died);
            }
            if let Err(e) = self.start(*n) {
                self.out.borrow_mut().failures.push(format!("n{n} does not start: {e}"));
            }
        }
        if let (Kind::Upgrade(n), Some(mut older)) = (&fault.kind, older) {
            signal(&older, Signal::TERM);
            let ended =
                until("the older process's end", async || older.child.try_wait().ok().flatten()).await;
            if !ended.as_ref().is_ok_and(|status| status.success()) {
                self.out.borrow_mut().failures.push(format!("n{n}: the older process: {ended:?}"));
            }
        }
        for n in killed {
            let mut down = self.down.borrow_mut();
            let count = down.entry(n).or_default();
            *count = count.saturating_sub(1);
            if *count == 0
                && let Err(e) = self.start(n)
            {
                self.out.borrow_mut().failures.push(format!("n{n} does not start: {e}"));
            }
        }
        for n in frozen {
            let mut frozen = self.frozen.borrow_mut();
            let count = frozen.entry(n).or_default();
            *count = count.saturating_sub(1);
            if let Some(router) = self.routers.borrow()[n].as_ref().filter(|_| *count == 0) {
                signal(router, Signal::CONT);
            }
        }
    }

    /// Watches the records for the first decision after a leader's kill.
    fn failover(&self, killed: Micros) {
        // Records have the steady clock, this has the Unix clock: both of this machine, compared once.
        let offset = steady().wrapping_sub(clock::now());
        let mut out = self.out.borrow_mut();
        out.failovers.push(killed.wrapping_add(offset));
    }

    fn records(&self) -> Vec<Value> {
        let read = |n: usize| fs::read_to_string(self.folder.join(format!("n{n}.acts"))).unwrap_or_default();
        (0..self.starts.len()).flat_map(|n| checker::lines(&read(n))).collect()
    }

    /// The latest number that each router has recorded.
    fn numbers(&self) -> Vec<u64> {
        let last = |n: usize| {
            let text = tail(&self.folder.join(format!("n{n}.acts")));
            checker::lines(&text).iter().filter_map(|r| r["number"].as_u64()).max()
        };
        (0..self.starts.len()).map(|n| last(n).unwrap_or(0)).collect()
    }
}

fn prepare(
    options: &Options,
    folder: &Path,
    tasks: &Rc<LocalExecutor<'static>>,
    office: &Office,
    coordinator: &Coordinator,
) -> io::Result<(Vec<(Start, std::net::SocketAddr)>, Proxies)> {
    let names: Vec<String> = (0..options.routers).map(|n| format!("n{n}")).collect();
    let keys = folder.join("keys").display().to_string();
    run(&options.program, &["keys", "init", &keys])?;
    for name in names.iter().map(String::as_str).chain(["staff"]) {
        run(&options.program, &["keys", "issue", &keys, name])?;
    }
    let ports = (0..options.routers).map(free).collect::<io::Result<Vec<_>>>()?;
    let electors: Vec<usize> = (0..usize::from(options.electors)).collect();
    let members: Vec<Value> = office.members().iter().map(Member::json).collect();
    let files = |name: &str| {
        format!(
            "exchange-authority '{keys}/authority.pem'\nexchange-certificate '{keys}/{name}.pem'\nexchange-key \
             '{keys}/{name}.key'\nagree-within {}ms\n",
            options.lease / MS
        )
    };
    let (mut starts, mut proxies) = (Vec::new(), BTreeMap::new());
    for (n, name) in (0..options.routers).zip(&names) {
        let (port, exchange) = (free(n)?, ports[usize::from(n)].clone());
        let listen = port.address;
        let old = trial::Options {
            program: options.program.clone(),
            seconds: options.seconds,
            seed: options.seed,
            routers: options.routers,
            rate: options.rate,
            inherit: trial::Inherit::No,
            script: vec![],
        };
        let file = trial::configuration(name, listen, &old, n, coordinator.address, &members);
        let config = folder.join(format!("{name}.json"));
        fs::write(&config, file.to_string())?;
        fs::create_dir_all(folder.join(name))?;
        let mut conf = files(name);
        let _ = writeln!(conf, "exchange-listen {}\nagree-operator staff", exchange.address);
        let _ = writeln!(conf, "agree-records '{}/{name}.acts'", folder.display());
        let _ = writeln!(conf, "agree-directory '{}/{name}'", folder.display());
        if options.work {
            let _ = writeln!(conf, "work-out 2\nwork-alone {}", if options.hold { "hold" } else { "stop" });
        }
        if let Some((router, least)) = options.least {
            let least = if router == usize::from(n) { least } else { 0 };
            let _ = writeln!(conf, "rules-least-fills {least}");
        }
        if options.rules && options.round != Some(Round::Hand) {
            let _ = writeln!(conf, "agree-rules on");
        }
        for elector in &electors {
            let at = match *elector == usize::from(n) {
                true => exchange.address,
                false => {
                    let proxy = Proxy::start(tasks, ports[*elector].address)?;
                    proxies.insert((usize::from(n), *elector), proxy.clone());
                    proxy.address
                }
            };
            let _ = writeln!(conf, "agree-elector n{elector} {at}");
        }
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, &conf)?;
        let log = folder.join(format!("{name}.log"));
        let env =
            options.without.map(|guard| ("SILVERSPINDLE_WITHOUT", guard.to_owned())).into_iter().collect();
        let start = Start {
            program: options.program.clone(),
            config,
            conf: Some(path),
            log,
            env,
            _ports: [port, exchange],
        };
        starts.push((start, listen));
    }
    for first in &electors {
        let mut conf = files("staff");
        for n in 0..electors.len() {
            let elector = (first + n) % electors.len();
            let _ = writeln!(conf, "agree-elector n{elector} {}", ports[elector].address);
        }
        fs::write(folder.join(format!("staff{first}.conf")), conf)?;
        // Staff who can reach this one alone.
        let one = format!("{}agree-elector n{first} {}\n", files("staff"), ports[*first].address);
        fs::write(folder.join(format!("alone{first}.conf")), one)?;
    }
    Ok((starts, proxies))
}

/// Runs it to its end. Ends the processes that it started, also where it fails.
pub async fn play(tasks: &Rc<LocalExecutor<'static>>, options: &Options) -> io::Result<Outcome> {
    let folder = tempfile::tempdir()?;
    let office = Office::start(
        tasks,
        Plan { boxes: options.boxes, box_room: 3200 / options.boxes as usize, parents: 2, parent_room: 4000 },
    )?;
    let coordinator = Coordinator::start(tasks)?;
    let (starts, proxies) = prepare(options, folder.path(), tasks, &office, &coordinator)?;
    let clients: Vec<Rc<Clients>> =
        (0..).zip(&starts).map(|(n, (_, listen))| Clients::new(n, *listen)).collect();
    let count = starts.len();
    let rig = Rc::new(Rig {
        options: options.clone(),
        folder: folder.path().to_owned(),
        tasks: tasks.clone(),
        starts: starts.into_iter().map(|(start, _)| start).collect(),
        routers: RefCell::new((0..count).map(|_| None).collect()),
        began: RefCell::new(vec![0; count]),
        proxies,
        told: RefCell::default(),
        out: RefCell::default(),
        touched: RefCell::default(),
        torn: RefCell::default(),
        down: RefCell::default(),
        frozen: RefCell::default(),
        turns: RefCell::default(),
        came: RefCell::default(),
        limits: RefCell::default(),
        ending: Cell::new(false),
    });
    for n in 0..count {
        rig.start(n)?;
    }
    for (clients, start) in clients.iter().zip(&rig.starts) {
        well(clients, &start.log).await?;
    }
    let yard = office.clone();
    let all_on_the_roll = async || {
        let (status, good) = rig.command(0, &["status"]).await;
        let roll = |e: &Value| e["roll"].as_array().map_or(0, Vec::len);
        let most = status["electors"].as_array()?.iter().map(roll).max()?;
        (good && most == count).then_some(())
    };
    until("a first quorum with all routers on the roll", all_on_the_roll).await?;
    let play = match options.steps {
        "" => None,
        _ => Some(Play { rig: rig.clone(), office: office.clone(), coordinator: coordinator.clone() }),
    };
    let play = play.map(|play| tasks.spawn(play.run()));
    let work = match options.round.filter(|_| options.work) {
        None => tasks.spawn(work(rig.clone(), yard.clone())),
        Some(round) => tasks.spawn(all_round(rig.clone(), yard.clone(), coordinator.clone(), round)),
    };
    let rules = tasks.spawn(rules(rig.clone(), yard));
    let played = traffic(&rig, &clients).await;
    rig.ending.set(true);
    let worked = work.await.and(rules.await).and(match play {
        Some(play) => play.await,
        None => Ok(()),
    });
    let healed = match played.and(worked) {
        Ok(()) => heal(&rig, &clients).await,
        Err(e) => Err(e),
    };
    if let Err(e) = healed {
        let numbers = rig.numbers();
        let tails = (0..count).map(|n| {
            let log = fs::read_to_string(&rig.starts[n].log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            format!("n{n}:\n{}", lines[lines.len().saturating_sub(25)..].join("\n"))
        });
        let tails: Vec<String> = tails.collect();
        rig.out.borrow_mut().failures.push(format!("{e}; numbers {numbers:?}\n{}", tails.join("\n")));
    }
    end(&rig).await;
    let records = rig.records();
    let mut out = rig.out.take();
    out.office_reads = office.counts().values().map(|c| c.office_reads).sum();
    out.work.1 = office.counts().values().map(|c| c.after_drain).sum();
    // A router that is out sends nothing on.
    let acts = records.iter().filter(|r| r["kind"] == "act");
    let acts = acts.filter_map(|r| Some((router(r["router"].as_str()?)?, r["at"].as_u64()?)));
    let turns = rig.turns.borrow();
    out.work.1 += acts
        .filter(|(n, at)| turns.iter().any(|(of, since, until)| of == n && (since..until).contains(&at)))
        .count() as u64;
    let ways = rig.came.borrow();
    let only = |which: usize| -> Vec<u64> {
        ways.iter().filter(|(_, all)| all.iter().all(|way| *way == which)).map(|(n, _)| *n).collect()
    };
    out.versions = checker::versions(&records, &only(APART), &only(TRIED), options.lease);
    out.ways = [AT_ONCE, APART, TRIED].map(|way| only(way).len() as u64);
    out.office = office_peak(&office.arrivals.borrow(), &rig.limits.borrow(), count);
    out.findings = checker::check(&records, &rig.told.borrow(), options.lease, count);
    let mut decided: BTreeMap<u64, Micros> = BTreeMap::new();
    for record in records.iter().filter(|r| r["kind"] == "applied" && r["made"] == true) {
        if let (Some(number), Some(at)) = (record["number"].as_u64(), record["at"].as_u64()) {
            let first = decided.entry(number).or_insert(at);
            *first = at.min(*first);
        }
    }
    let after = |killed: &Micros| decided.values().filter(|at| *at > killed).min().map(|at| at - killed);
    out.failovers = out.failovers.iter().filter_map(after).collect();
    for n in 0..count {
        let log = fs::read_to_string(&rig.starts[n].log).unwrap_or_default();
        out.leaders += log.lines().filter(|l| l.contains("agreement: Leader")).count() as u64;
        let faulty = log.lines().find(|l| l.contains("panicked") || l.contains("outcomes differ"));
        out.failures.extend(faulty.map(|l| format!("n{n}: {l}")));
    }
    let touched = rig.touched.borrow();
    out.tallies =
        clients.iter().enumerate().map(|(n, c)| (c.tally.borrow().clone(), touched.contains(&n))).collect();
    for (n, (tally, touched)) in out.tallies.iter().enumerate() {
        if !touched && !tally.is_good() {
            let (lost, wrong) = (tally.lost, tally.wrong);
            out.failures.push(format!("n{n}: {lost} items without an answer, {wrong} with a wrong one"));
        }
    }
    Ok(out)
}

/// Staff who work on boxes: order two of them, unplug what they are told is out, bring it back a while later. A box
/// that staff have been told is out counts all new work that comes to it until they say that it is back.
async fn work(rig: Rc<Rig>, office: Rc<Office>) -> io::Result<()> {
    if !rig.options.work || !rig.options.steps.is_empty() {
        return Ok(());
    }
    let mut random = Pcg64Mcg::seed_from_u64(rig.options.seed ^ 0x0ff1ce);
    let mut out: BTreeMap<String, Micros> = BTreeMap::new();
    let mut turns: BTreeMap<usize, Micros> = BTreeMap::new();
    let last = Cell::new(Micros::MAX);
    loop {
        if rig.ending.get() && last.get() == Micros::MAX {
            last.set(clock::now() + GENEROUS);
        }
        if clock::now() > last.get() {
            let (status, _) = rig.command(0, &["work", "status"]).await;
            return Err(io::Error::other(format!("orders do not end: {status}")));
        }
        let elector = random.random_range(0..usize::from(rig.options.electors));
        let (status, _) = rig.command(elector, &["work", "status"]).await;
        let all = status["orders"].as_array().into_iter().flatten();
        let all = all.flat_map(|o| o["machines"].as_array().into_iter().flatten());
        let at_out =
            all.filter(|m| m["stage"] == "out").filter_map(|m| m["machine"].as_str().map(str::to_owned));
        for machine in at_out.collect::<Vec<_>>() {
            if out.contains_key(&machine) {
                continue;
            }
            rig.out.borrow_mut().work.0 += 1;
            let now = clock::now();
            out.insert(machine.clone(), now);
            if let Some(id) = listed(&machine) {
                // From now on all new work is counted: as of a second ago, as a drain has a second to be heard.
                office.tier(id).into_iter().for_each(|t| t.drained.set(Some(now - SECOND)));
            }
            if let Some(n) = machine.strip_prefix("router ").and_then(router) {
                turns.insert(n, steady());
                // Staff pull its plug, and plug it in again at once: it stays unused until they say that it is back.
                rig.kill(n, Rest::Whole);
                rig.touched.borrow_mut().insert(n);
                if rig.down.borrow().get(&n).is_none_or(|down| *down == 0)
                    && let Err(e) = rig.start(n)
                {
                    rig.out.borrow_mut().failures.push(format!("n{n} does not start: {e}"));
                }
            }
        }
        let done: Vec<String> = out
            .iter()
            .filter(|(_, at)| clock::now() >= **at + 700 * MS)
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in done {
            if let Some(id) = listed(&machine) {
                office.tier(id).into_iter().for_each(|t| t.drained.set(None));
            }
            if let Some(n) = machine.strip_prefix("router ").and_then(router)
                && let Some(since) = turns.remove(&n)
            {
                rig.turns.borrow_mut().push((n, since, steady()));
            }
            let words: Vec<&str> = machine.split(' ').collect();
            let kind = format!("--{}", words[0]);
            let (said, _) = rig.command(elector, &["work", "back", &kind, words[1]]).await;
            if said["made"] == true {
                out.remove(&machine);
            } else {
                // Not known, or not made: it is looked at again before anybody counts.
                out.insert(machine, clock::now());
            }
        }
        let none = status["orders"].as_array().is_some_and(Vec::is_empty);
        if none && out.is_empty() {
            if rig.ending.get() {
                return Ok(());
            }
            let one = random.random_range(1..=4u32);
            let (one, two) = (one.to_string(), (one % 4 + 1).to_string());
            let mut args = vec!["work", "order", "--box", &one, "--box", &two, "--reason", "rig"];
            let name = format!("n{}", random.random_range(0..rig.starts.len()));
            if rig.options.work_routers {
                args.extend(["--router", &name]);
            }
            rig.command(elector, &args).await;
        }
        rest(200 * MS).await;
    }
}

/// Every box and parent is worked on once: how long that takes.
async fn all_round(
    rig: Rc<Rig>,
    office: Rc<Office>,
    coordinator: Rc<Coordinator>,
    round: Round,
) -> io::Result<()> {
    let ids: Vec<u32> = office.members().iter().map(|m| m.id).filter(|id| *id != trial::HEAD).collect();
    let began = clock::now();
    if round == Round::Hand {
        for id in ids {
            trial::carry_out(trial::Act::Drain(id), &office, &coordinator);
            // A second to be heard, and the longest time that anything is open.
            rest(SECOND + BUDGET).await;
            rest(WORK).await;
            trial::carry_out(trial::Act::Ready(id), &office, &coordinator);
            rig.out.borrow_mut().work.0 += 1;
        }
        rig.out.borrow_mut().round = Some(clock::now() - began);
        return Ok(());
    }
    let parent = |id: u32| id > rig.options.boxes;
    let texts: Vec<(&str, String)> =
        ids.iter().map(|id| (if parent(*id) { "--parent" } else { "--box" }, id.to_string())).collect();
    let mut args = vec!["work", "order"];
    texts.iter().for_each(|(kind, id)| args.extend([*kind, id.as_str()]));
    until("the order's being made", async || {
        let (said, _) = rig.command(0, &args).await;
        (said["made"] == true).then_some(())
    })
    .await?;
    let mut out: BTreeMap<u32, Micros> = BTreeMap::new();
    let last = began + 10 * GENEROUS;
    loop {
        let (status, _) = rig.command(0, &["work", "status"]).await;
        if status["orders"].as_array().is_some_and(Vec::is_empty) {
            rig.out.borrow_mut().round = Some(clock::now() - began);
            return Ok(());
        }
        if clock::now() > last {
            return Err(io::Error::other(format!("the order does not end: {status}")));
        }
        let all = status["orders"].as_array().into_iter().flatten();
        let all = all.flat_map(|o| o["machines"].as_array().into_iter().flatten());
        let now_out = all.filter(|m| m["stage"] == "out").filter_map(|m| listed(m["machine"].as_str()?));
        for id in now_out.collect::<Vec<_>>() {
            out.entry(id).or_insert_with(|| {
                rig.out.borrow_mut().work.0 += 1;
                let now = clock::now();
                office.tier(id).into_iter().for_each(|t| t.drained.set(Some(now - SECOND)));
                now
            });
        }
        let done: Vec<u32> =
            out.iter().filter(|(_, at)| clock::now() >= **at + WORK).map(|(id, _)| *id).collect();
        for id in done {
            office.tier(id).into_iter().for_each(|t| t.drained.set(None));
            let kind = if parent(id) { "--parent" } else { "--box" };
            let (said, _) = rig.command(0, &["work", "back", kind, &id.to_string()]).await;
            if said["made"] == true {
                out.remove(&id);
            }
        }
        rest(50 * MS).await;
    }
}

/// Ways in which versions come.
const AT_ONCE: usize = 0;
const APART: usize = 1;
const TRIED: usize = 2;

/// Staff who change rules: boxes denied, limits of fills, weights, some of them tried by a part first, one after the
/// other. A box that is denied everywhere counts new work a second later, as one that drains does.
async fn rules(rig: Rc<Rig>, office: Rc<Office>) -> io::Result<()> {
    if rig.options.round == Some(Round::Hand) && !rig.options.work {
        return by_hand(rig).await;
    }
    if !rig.options.rules || !rig.options.steps.is_empty() {
        return Ok(());
    }
    let mut random = Pcg64Mcg::seed_from_u64(rig.options.seed ^ 0x001e_57a7);
    let (mut last, mut round) = (Micros::MAX, 0u32);
    let mut marked: BTreeSet<u32> = BTreeSet::new();
    let mut held: Option<(u64, u64, Micros)> = None;
    let close = |held: &mut Option<(u64, u64, Micros)>| {
        if let Some((_, limit, since)) = held.take() {
            rig.limits.borrow_mut().push((limit, since, clock::now()));
        }
    };
    loop {
        if rig.ending.get() && last == Micros::MAX {
            last = clock::now() + GENEROUS;
        }
        let elector = random.random_range(0..usize::from(rig.options.electors));
        let (status, _) = rig.command(elector, &["rules", "status"]).await;
        if clock::now() > last {
            return Err(io::Error::other(format!("versions do not come to hold: {status}")));
        }
        let number = status["current"]["number"].as_u64();
        let settled = status["next"].is_null() && number.is_some();
        if !settled {
            rest(200 * MS).await;
            continue;
        }
        let text = status["rules"].as_str().unwrap_or("").to_owned();
        let denied = text.lines().filter_map(|l| l.strip_prefix("deny-member ")?.parse::<u32>().ok());
        for id in denied.filter(|id| marked.insert(*id)).collect::<Vec<_>>() {
            office.tier(id).into_iter().for_each(|t| t.drained.set(Some(clock::now())));
        }
        let limit = text.lines().find_map(|l| l.strip_prefix("office-fills ")?.parse::<u64>().ok());
        if let Some(limit) = limit.filter(|_| held.is_none()) {
            held = Some((number.unwrap_or(0), limit, clock::now()));
        }
        if rig.ending.get() {
            close(&mut held);
            return Ok(());
        }
        rest(random.random_range(100 * MS..700 * MS)).await;
        round += 1;
        // From here on another version may hold.
        for id in std::mem::take(&mut marked) {
            office.tier(id).into_iter().for_each(|t| t.drained.set(None));
        }
        let (keep, way) = match random.random_range(0..4) {
            0 => ("weight", AT_ONCE),
            1 => ("weight", TRIED),
            2 => ("deny-member", APART),
            _ => ("office-fills", APART),
        };
        // The limit goes on where the next version says the same of it.
        if keep == "office-fills" {
            close(&mut held);
        }
        let mut lines: Vec<String> =
            text.lines().filter(|l| !l.starts_with(keep)).map(str::to_owned).collect();
        lines.extend(match keep {
            "weight" => {
                Some(format!("weight {} {}", random.random_range(1..=4), random.random_range(20..200)))
            }
            "deny-member" => {
                let id = random.random_range(1..=6u32);
                (id <= 4).then(|| format!("deny-member {id}"))
            }
            _ => Some(format!("office-fills {}", random.random_range(40..200))),
        });
        let file = rig.folder.join(format!("version{round}"));
        fs::write(&file, lines.join("\n") + "\n")?;
        let file = file.display().to_string();
        let mut args = vec!["rules", "propose", &file, "--reason", "rig"];
        if way == TRIED {
            args.extend(["--trial", "50", "--trial-for", "1"]);
        }
        let (said, _) = rig.command(elector, &args).await;
        if let Some(version) = said["version"].as_u64().filter(|_| said["made"] != false) {
            rig.came.borrow_mut().entry(version).or_default().push(way);
        }
    }
}

/// Staff without versions: a new figure into each router's file and SIGHUP, one router after the other by a script. For
/// how long two figures were in use is from the first router's taking it in to the last one's, by their logs.
async fn by_hand(rig: Rc<Rig>) -> io::Result<()> {
    let read_anew = |n: usize| -> Vec<Micros> {
        let log = fs::read_to_string(&rig.starts[n].log).unwrap_or_default();
        let lines = log.lines().filter(|l| l.contains("configuration read anew"));
        let at = lines.filter_map(|l| l.split_whitespace().next()?.parse::<f64>().ok());
        at.map(|at| (at * 1e6) as Micros).collect()
    };
    let mut round = 0;
    while !rig.ending.get() {
        round += 1;
        let began = clock::now() - clock::now() % 1000;
        for (n, start) in rig.starts.iter().enumerate() {
            let Some(conf) = &start.conf else { continue };
            let text = fs::read_to_string(conf)?;
            let old: Vec<&str> = text.lines().filter(|l| !l.starts_with("half-life-pace")).collect();
            fs::write(conf, format!("{}\nhalf-life-pace {}s\n", old.join("\n"), 5 + round % 9))?;
            if let Some(router) = &rig.routers.borrow()[n] {
                signal(router, Signal::HUP);
            }
            rest(HAND).await;
        }
        // A router that was down reads the file at its start; one that stands still when it goes on.
        rest(SECOND).await;
        let late = clock::now() + GENEROUS;
        let first = |n: usize| read_anew(n).into_iter().find(|at| *at >= began);
        let up = |n: usize| rig.routers.borrow()[n].is_some();
        while (0..rig.starts.len()).any(|n| up(n) && first(n).is_none()) && clock::now() < late {
            rest(100 * MS).await;
        }
        let all: Vec<Micros> = (0..rig.starts.len()).filter_map(first).collect();
        if let (Some(first), Some(last)) = (all.iter().min(), all.iter().max()) {
            rig.out.borrow_mut().versions.at_once.push(last - first);
        }
    }
    let mut out = rig.out.borrow_mut();
    out.versions.at_once.sort_unstable();
    out.by_hand = std::mem::take(&mut out.versions.at_once);
    Ok(())
}

/// The most fills in a second that reached the head office while a limit held, in thousandths of it; and where it was
/// over the limit with what the buckets of all routers hold at a time, which a second may bring besides.
fn office_peak(arrivals: &[Micros], limits: &[(u64, Micros, Micros)], routers: usize) -> (u64, Vec<String>) {
    let (mut most, mut over) = (0, Vec::new());
    for (limit, since, until) in limits {
        // What was on its way as the limit came to hold is not counted against it.
        let within: Vec<Micros> =
            arrivals.iter().copied().filter(|at| (since + SECOND..*until).contains(at)).collect();
        let bound = limit + limit / 4 + routers as u64;
        for (n, at) in within.iter().enumerate() {
            let count = within[n..].iter().take_while(|other| **other < at + SECOND).count() as u64;
            most = most.max(count * 1000 / limit.max(&1));
            if count > bound && over.is_empty() {
                over.push(format!("{count} fills in a second at the head office, {limit} was the limit"));
            }
        }
    }
    (most, over)
}

/// The number on the list of a box or parent.
fn listed(machine: &str) -> Option<u32> {
    machine.strip_prefix("box ").or(machine.strip_prefix("parent "))?.parse().ok()
}

async fn traffic(rig: &Rc<Rig>, clients: &[Rc<Clients>]) -> io::Result<()> {
    let options = &rig.options;
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let (objects, gaps) = trial::demand(options.rate)?;
    let begin = clock::now();
    let end = begin + options.seconds * SECOND;
    let mut running = Vec::new();
    for (number, fault) in options.faults.iter().cloned().enumerate() {
        let own = rig.clone();
        let late = async move {
            rest(fault.at).await;
            own.fault(number, &fault).await;
        };
        running.push(rig.tasks.spawn(late));
    }
    // Staff at work: a call every few tenths of a second, some of them impatient, by two electors at once.
    let own = rig.clone();
    let mut staff = Pcg64Mcg::seed_from_u64(options.seed ^ 0x57aff);
    let calls = async move {
        let (mut n, mut running) = (0, Vec::new());
        while clock::now() < end && !own.options.quiet {
            n += 1;
            let one = staff.random_range(0..usize::from(own.options.electors));
            let two = (one + 1) % usize::from(own.options.electors);
            let electors = if staff.random_range(0..4) == 0 { vec![one, two] } else { vec![one] };
            let topic = format!("t{}", staff.random_range(0..6));
            let rig = own.clone();
            running.push(own.tasks.spawn(async move { rig.call(n, &electors, &topic).await }));
            rest(staff.random_range(150 * MS..500 * MS)).await;
        }
        for call in running {
            call.await;
        }
    };
    let calls = rig.tasks.spawn(calls);
    let (mut due, mut looked) = (begin, begin);
    while due < end {
        due += gaps.sample(&mut random) as Micros + 1;
        clock::timer_at(due).await;
        if clock::now() >= looked + SECOND / 10 {
            looked = clock::now();
            clients.iter().for_each(|c| c.overdue());
        }
        let (object, write) = (objects.sample(&mut random) as u64, random.random_bool(WRITES));
        let whose = clients[random.random_range(0..clients.len())].clone();
        let object = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let own = rig.tasks.clone();
        rig.tasks.spawn(async move { whose.send(&own, due, object, write).await }).detach();
    }
    for fault in running {
        fault.await;
    }
    calls.await;
    Ok(())
}

/// All faults are over: a decision is made and reaches all, and traffic goes on under it.
async fn heal(rig: &Rc<Rig>, clients: &[Rc<Clients>]) -> io::Result<()> {
    let began = clock::now();
    let (mut n, electors) = (1 << 32, usize::from(rig.options.electors));
    let number = until("a decision after the healing", async || {
        n += 1;
        rig.call(n, &[n as usize % electors], "healed").await
    })
    .await?;
    let made = clock::now() - began;
    // A disk that was torn keeps its router out until staff see to it: it serves by itself.
    let torn = rig.torn.borrow().clone();
    until("the decision at all routers", async || {
        let numbers = rig.numbers();
        let all = numbers.iter().enumerate().all(|(n, at)| *at >= number || torn.contains(&n));
        all.then_some(())
    })
    .await?;
    rig.out.borrow_mut().recovered = (made, clock::now() - began);
    let last = clock::now() + BUDGET + SECOND;
    while clients.iter().any(|c| c.open() > 0) && clock::now() < last {
        rest(LOOK_AGAIN).await;
        clients.iter().for_each(|c| c.overdue());
    }
    Ok(())
}

/// SIGTERM for all that run; each ends by itself, with 0.
async fn end(rig: &Rc<Rig>) {
    let running: Vec<(usize, Router)> = {
        let mut routers = rig.routers.borrow_mut();
        routers.iter_mut().enumerate().filter_map(|(n, r)| Some((n, r.take()?))).collect()
    };
    for (n, router) in &running {
        rig.account(*n, router);
        signal(router, Signal::TERM);
    }
    for (n, mut router) in running {
        let ended = until("its end by SIGTERM", async || router.child.try_wait().ok().flatten()).await;
        let problem = match ended {
            Ok(status) if status.success() => continue,
            Ok(status) => status.to_string(),
            Err(e) => e.to_string(),
        };
        rig.out.borrow_mut().failures.push(format!("n{n}: {problem}"));
    }
}

/// What it came to, for a person.
pub fn report(options: &Options, outcome: &Outcome) -> String {
    let mut out = String::new();
    let found = &outcome.findings;
    for fault in &options.faults {
        let _ = writeln!(out, "{} ms for {} ms: {:?}", fault.at / MS, fault.lasts / MS, fault.kind);
    }
    let part = |share: usize| found.to_all.get(found.to_all.len() * share / 100).copied().unwrap_or(0) / MS;
    let _ = writeln!(
        out,
        "decisions {}, of them {} proposals made; to all routers: median {} ms, 95 % {} ms, longest {} ms",
        found.decided,
        found.made,
        part(50),
        part(95),
        found.to_all.last().copied().unwrap_or(0) / MS
    );
    let (sent, in_time) = outcome.tallies.iter().fold((0, 0), |(a, b), (t, _)| (a + t.sent, b + t.in_time));
    let round = outcome.round.map_or(String::new(), |t| format!("all round in {} ms; ", t / MS));
    let _ = writeln!(
        out,
        "{round}{:.2} % of the items served in time, {} reads at the head office",
        100.0 * in_time as f64 / sent.max(1) as f64,
        outcome.office_reads
    );
    if options.work {
        let (boxes, reached) = outcome.work;
        let _ = writeln!(
            out,
            "machines out {boxes}; new work that reached one meanwhile, or that it sent on: {reached}"
        );
    }
    if !outcome.by_hand.is_empty() {
        let all = &outcome.by_hand;
        let (middle, last) = (all[all.len() / 2], all.last().copied().unwrap_or(0));
        let _ = writeln!(
            out,
            "{} changes by hand; two figures in use: median {} ms, longest {} ms",
            all.len(),
            middle / MS,
            last / MS
        );
    }
    if options.rules {
        let [once, apart, tried] = outcome.ways;
        let v = &outcome.versions;
        let _ = writeln!(
            out,
            "versions proposed: {once} at once, {apart} apart, {tried} tried; {} acted on alone, {} acts on what two allow; two at \
             once: median {} ms, longest {} ms of {} ms; apart: {} ms; head office's peak {:.2} of its limit",
            v.acted,
            v.both,
            v.at_once.get(v.at_once.len() / 2).copied().unwrap_or(0) / MS,
            v.at_once.last().copied().unwrap_or(0) / MS,
            options.lease / MS,
            v.apart / MS,
            outcome.office.0 as f64 / 1000.0
        );
    }
    let [made, refused, unknown] = outcome.calls;
    let _ = writeln!(out, "staff's calls: {made} made, {refused} refused, {unknown} not known");
    let _ = writeln!(
        out,
        "leader changes {}; {} acts, {} times held back",
        outcome.leaders, found.acts, found.held
    );
    let _ = writeln!(
        out,
        "worst act on an overtaken decision {} ms of {} ms",
        found.worst / MS,
        options.lease / MS
    );
    let failovers: Vec<String> = outcome.failovers.iter().map(|t| (t / MS).to_string()).collect();
    if !failovers.is_empty() {
        let _ = writeln!(out, "leader killed to the next decision: {} ms", failovers.join(", "));
    }
    let (made, all) = outcome.recovered;
    let _ = writeln!(out, "healed to the next decision {} ms, to all routers {} ms", made / MS, all / MS);
    for (n, (tally, touched)) in outcome.tallies.iter().enumerate() {
        let (used, ran) = outcome.used.get(n).copied().unwrap_or_default();
        let _ = writeln!(
            out,
            "n{n}: {} items, {} served, {} refused, {} failed, {} cut, {} lost, {} wrong{}; {:.2} % of a core, {} kB at most",
            tally.sent,
            tally.served,
            tally.refused,
            tally.failed,
            tally.cut,
            tally.lost,
            tally.wrong,
            if *touched { " (it was killed or frozen)" } else { "" },
            100.0 * used as f64 / ran.max(1) as f64,
            outcome.memory.get(n).copied().unwrap_or(0)
        );
    }
    let problems = found.breaches.iter().take(10).chain(&outcome.versions.breaches).chain(&outcome.office.1);
    for problem in problems.chain(&outcome.failures) {
        let _ = writeln!(out, "BROKEN: {problem}");
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A limit that is kept is measured; one that is passed by more than the buckets' bursts is found; what came before it
    /// held everywhere is not counted.
    #[test]
    fn fills_over_a_limit_are_found() {
        let limits = [(40, 0, 10 * SECOND)];
        let every = |gap: Micros, from: Micros| (from..9 * SECOND).step_by(gap as usize).collect::<Vec<_>>();
        let (most, over) = office_peak(&every(25 * MS, 0), &limits, 5);
        assert_eq!((most, over.len()), (1000, 0));
        let (_, over) = office_peak(&every(15 * MS, 2 * SECOND), &limits, 5);
        assert_eq!(over.len(), 1, "{over:?}");
        let early: Vec<Micros> = (0..SECOND).step_by(1000).collect();
        assert_eq!(office_peak(&early, &limits, 5).0, 0);
    }
}
