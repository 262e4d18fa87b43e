//! Hollow routers on real sockets: processes of the program that hold a few hundred routers' cores of the purge log each,
//! with a connection each, against real sources and relays. What a size costs, and how soon a purge is at all of them.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

use async_executor::LocalExecutor;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use silverspindle_wire::clock;

use super::purges::layout::{Node, Prepared, STAFF, Tree, files, prepare, timing};
use super::purges::{self};
use crate::checker::lines;
use crate::checker::purges::Event;
use crate::codec::News;
use crate::coordinator::Coordinator;
use crate::office::{Office, Plan, rest};
use crate::process::{peak, steady, tail, used};
use crate::trial::{Router, run};
use crate::{Micros, SECOND};

const MS: Micros = 1000;
const LOOK_AGAIN: Micros = 100 * MS;
/// All routers of one size are connected by then, or the run says where it stopped.
const START: Micros = 90 * SECOND;
/// After the start it settles for so long before it is measured.
const SETTLE: Micros = 3 * SECOND;
/// A purge that is not at all routers so long after the measured time's end counts as not everywhere.
const LATE: Micros = 10 * SECOND;
/// Staff ask after so long.
const ASK_EVERY: Micros = 100 * MS;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Hollow routers.
    pub routers: usize,
    /// How many of them one process holds.
    pub per_process: usize,
    /// Sources.
    pub sources: usize,
    /// Relays.
    pub relays: usize,
    /// How long it is measured.
    pub seconds: u64,
    /// For all that is drawn.
    pub seed: u64,
    /// Purges a second.
    pub purges: u64,
    /// The lease.
    pub lease: Micros,
    /// The lease of a router that follows the coordinator itself.
    pub direct: Micros,
    /// Records are passed on at most so often.
    pub batch: Micros,
    /// A child reports so often.
    pub report: Micros,
}

/// What one process cost in the measured time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Share of a core, in millionths.
    pub core: u64,
    /// The most memory since its start, in kB.
    pub peak: u64,
}

/// What a size came to.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// Hollow routers, and processes that hold them.
    pub routers: usize,
    /// See `routers`.
    pub processes: usize,
    /// Sources and relays.
    pub tree: (usize, usize),
    /// How long it was measured.
    pub seconds: u64,
    /// Routers that take the log from a parent at the end of the measured time.
    pub fed: u64,
    /// From the first hollow process's start until all had the log.
    pub start: Micros,
    /// Purges told in the measured time, and of them those that were not at all routers in the end.
    pub purges: (usize, usize),
    /// From the coordinator's word to the last router, sorted.
    pub everywhere: Vec<Micros>,
    /// From a purge's telling until staff were told that it is everywhere.
    pub known: Option<Micros>,
    /// By process.
    pub costs: BTreeMap<Node, Cost>,
    /// All hollow processes together, and the most memory of one.
    pub hollow: Cost,
    /// Bytes a second that a router got and sent on its connection, encrypted, in the measured time.
    pub bytes: (f64, f64),
    /// Why it ended early.
    pub stopped: Option<String>,
}

impl Row {
    /// Whether each purge came to every router, and staff were told so.
    pub fn is_whole(&self) -> bool {
        self.stopped.is_none()
            && self.purges.1 == 0
            && self.known.is_some()
            && self.fed == self.routers as u64
    }

    fn part(&self, thousandths: usize) -> f64 {
        let last = self.everywhere.len().saturating_sub(1);
        self.everywhere.get(last * thousandths / 1000).map_or(0.0, |time| *time as f64 / 1e3)
    }

    /// The row for a machine.
    pub fn json(&self, command: &str) -> Value {
        let of = |role: fn(&Node) -> bool| {
            let all: Vec<&Cost> =
                self.costs.iter().filter(|(node, _)| role(node)).map(|(_, cost)| cost).collect();
            json!({
                "core": all.iter().map(|cost| cost.core as f64 / 1e6).collect::<Vec<_>>(),
                "peak_kb": all.iter().map(|cost| cost.peak).collect::<Vec<_>>(),
            })
        };
        json!({
            "command": command, "routers": self.routers, "processes": self.processes, "sources": self.tree.0,
            "relays": self.tree.1, "seconds": self.seconds, "fed": self.fed, "start_ms": self.start / MS,
            "purges": self.purges.0, "not_everywhere": self.purges.1,
            "everywhere_ms": {"median": self.part(500), "p99": self.part(990), "longest": self.part(1000)},
            "known_ms": self.known.map(|time| time / MS),
            "source": of(|node| matches!(node, Node::Source(_))),
            "relay": of(|node| matches!(node, Node::Relay(_))),
            "hollow": {"core_all": self.hollow.core as f64 / 1e6, "peak_kb_of_one": self.hollow.peak},
            "bytes_per_router_s": {"down": self.bytes.0, "up": self.bytes.1},
            "stopped": self.stopped,
        })
    }

    /// The row for a person.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "{} routers in {} processes, all connected after {} ms; {} purges, {} not everywhere; everywhere after {:.0} ms \
             (median), {:.0} (99 %), {:.0} (longest); known so after {} ms; {:.0} bytes/s down, {:.0} up a router",
            self.routers,
            self.processes,
            self.start / MS,
            self.purges.0,
            self.purges.1,
            self.part(500),
            self.part(990),
            self.part(1000),
            self.known.map_or("-".to_owned(), |time| (time / MS).to_string()),
            self.bytes.0,
            self.bytes.1
        );
        for (node, cost) in &self.costs {
            let _ = writeln!(out, "  {node}: {:.2} % of a core, {} kB", cost.core as f64 / 1e4, cost.peak);
        }
        if let Some(why) = &self.stopped {
            let _ = writeln!(out, "  STOPPED: {why}");
        }
        out
    }
}

/// A hollow process; killed when dropped. It ends by itself where its standard input does.
struct Hollow {
    child: Child,
    words: PathBuf,
}

impl Drop for Hollow {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a hollow process has said last of itself.
#[derive(Clone, Copy, Debug, Default)]
struct Word {
    fed: u64,
    applied: u64,
    down: u64,
    up: u64,
}

impl Hollow {
    fn start(program: &Path, folder: &Path, first: usize, count: usize) -> io::Result<Self> {
        let words = folder.join(format!("hollow{first}.words"));
        let log = fs::File::create(folder.join(format!("hollow{first}.log")))?;
        let mut command = Command::new(program);
        command.arg("hollow").arg("--conf").arg(folder.join(CONF)).arg("--keys").arg(folder.join("keys"));
        command.args(["--first", &first.to_string(), "--count", &count.to_string()]);
        command.env_remove("LB_CONF").stdin(Stdio::piped()).stdout(fs::File::create(&words)?).stderr(log);
        Ok(Self { child: command.spawn()?, words })
    }

    fn word(&self) -> Word {
        let text = tail(&self.words);
        let last = lines(&text).into_iter().rfind(|line| line["fed"].is_u64());
        let Some(last) = last else { return Word::default() };
        let number = |key: &str| last[key].as_u64().unwrap_or(0);
        Word { fed: number("fed"), applied: number("applied"), down: number("down"), up: number("up") }
    }

    /// When all of its routers had applied the log up to which number, in order.
    fn applied(&self) -> Vec<(u64, Micros)> {
        let text = fs::read_to_string(&self.words).unwrap_or_default();
        let all = lines(&text).into_iter();
        all.filter_map(|line| Some((line["applied"].as_u64()?, line["at"].as_u64()?))).collect()
    }
}

const CONF: &str = "hollow.conf";

/// Sources, relays and the coordinator, and the hollow processes as they start.
struct Bench {
    options: Options,
    folder: tempfile::TempDir,
    coordinator: Rc<Coordinator>,
    processes: BTreeMap<Node, Router>,
    hollow: Vec<Hollow>,
    events: Vec<Event>,
    random: Pcg64Mcg,
    _office: Rc<Office>,
}

impl Bench {
    fn start(tasks: &Rc<LocalExecutor<'static>>, options: &Options) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let office = Office::start(tasks, Plan { boxes: 1, box_room: 1, parents: 1, parent_room: 1 })?;
        let coordinator = Coordinator::start(tasks)?;
        let tree = Tree { sources: options.sources, relays: options.relays, routers: 0 };
        // Room for the routers of a relay that has died.
        let children = 2 * options.routers.div_ceil(options.relays.max(1)) + options.relays;
        let layout = purges::Options {
            program: options.program.clone(),
            tree,
            seconds: options.seconds,
            seed: options.seed,
            rate: 1.0,
            events: 1.0,
            lease: options.lease,
            direct: options.direct,
            batch: options.batch,
            report: options.report,
            children: Some(children),
            faults: vec![],
            without: None,
        };
        let (prepared, _) = prepare(&layout, folder.path(), tasks, &office, &coordinator)?;
        let keys = folder.path().join("keys").display().to_string();
        run(&options.program, &["keys", "issue", &keys, "hollow"])?;
        let mut conf = files(&keys, "hollow");
        conf.push_str("relay-role router\n");
        conf.push_str(&timing(&layout));
        for n in 0..options.relays {
            if let Some(Prepared { exchange, .. }) = prepared.get(&Node::Relay(n)) {
                let _ = writeln!(conf, "relay-parent r{n} {exchange}");
            }
        }
        fs::write(folder.path().join(CONF), conf)?;
        let mut processes = BTreeMap::new();
        for (node, Prepared { start, .. }) in prepared {
            processes.insert(node, start.go()?);
        }
        let random = Pcg64Mcg::seed_from_u64(options.seed);
        Ok(Self {
            options: options.clone(),
            folder,
            coordinator,
            processes,
            hollow: Vec::new(),
            events: Vec::new(),
            random,
            _office: office,
        })
    }

    fn tell(&mut self) -> u64 {
        let object = self.random.random();
        let number = self.coordinator.tell(News::PurgeObject(object, clock::now() / MS));
        self.events.push(Event { number, at: steady(), is_purge: true });
        number
    }

    /// Starts all hollow processes; how long it took until each router had the log.
    async fn fill(&mut self) -> Result<Micros, String> {
        let began = steady();
        let number = self.tell();
        let Options { routers, per_process, .. } = self.options;
        for first in (0..routers).step_by(per_process.max(1)) {
            let count = per_process.min(routers - first);
            let hollow = Hollow::start(&self.options.program, self.folder.path(), first, count);
            self.hollow.push(hollow.map_err(|e| format!("a hollow process does not start: {e}"))?);
        }
        while !self.hollow.iter().all(|hollow| hollow.word().applied >= number) {
            if steady() > began + START {
                return Err(self.stop_words("not all routers had the log in time"));
            }
            self.alive()?;
            rest(LOOK_AGAIN).await;
        }
        Ok(steady() - began)
    }

    /// Fails where a process has ended.
    fn alive(&mut self) -> Result<(), String> {
        let dead =
            self.hollow.iter_mut().any(|hollow| hollow.child.try_wait().is_ok_and(|end| end.is_some()));
        let ended = |(node, process): (&Node, &mut Router)| {
            process.child.try_wait().is_ok_and(|end| end.is_some()).then_some(*node)
        };
        let ended = self.processes.iter_mut().find_map(ended);
        match (dead, ended) {
            (_, Some(node)) => Err(self.stop_words(&format!("{node} has ended"))),
            (true, _) => Err(self.stop_words("a hollow process has ended")),
            _ => Ok(()),
        }
    }

    fn words(&self) -> Vec<Word> {
        self.hollow.iter().map(Hollow::word).collect()
    }

    /// Why it stopped, with the last line of each log that has one.
    fn stop_words(&self, why: &str) -> String {
        let fed: u64 = self.words().iter().map(|word| word.fed).sum();
        let logs = fs::read_dir(self.folder.path()).into_iter().flatten().flatten().map(|entry| entry.path());
        let logs = logs.filter(|path| path.extension().is_some_and(|end| end == "log"));
        let last = |path: PathBuf| Some(tail(&path).lines().last()?.to_owned());
        let last: Vec<String> = logs.filter_map(last).collect();
        format!("{why}; {fed} of {} routers were fed; {}", self.options.routers, last.join(" | "))
    }

    /// Tells purges at their pace for the measured time.
    async fn tell_on(&mut self) -> Result<(), String> {
        let gap = SECOND / self.options.purges.max(1);
        let mut due = clock::now();
        let end = due + self.options.seconds * SECOND;
        while due < end {
            due += gap;
            clock::timer_at(due).await;
            self.tell();
        }
        self.alive()
    }

    fn used(&self) -> BTreeMap<Node, Micros> {
        let used = |process: &Router| used(process.child.id()).unwrap_or(0);
        self.processes.iter().map(|(node, process)| (*node, used(process))).collect()
    }

    fn used_by_hollow(&self) -> Micros {
        self.hollow.iter().map(|hollow| used(hollow.child.id()).unwrap_or(0)).sum()
    }

    /// Tells one more purge and asks until staff are told that it is everywhere.
    async fn known(&mut self) -> Option<Micros> {
        let began = steady();
        let number = self.tell().to_string();
        while steady() < began + START {
            let mut command = Command::new(&self.options.program);
            command.args(["fleet", "--json", "--conf"]).arg(self.folder.path().join(STAFF));
            command.args(["purge", "status", &number]);
            let out = blocking::unblock(move || command.output()).await.ok()?;
            let said: Value = serde_json::from_slice(&out.stdout).unwrap_or(Value::Null);
            if said["everywhere"] == true {
                return Some(steady() - began);
            }
            rest(ASK_EVERY).await;
        }
        None
    }

    /// Steady state: from its beginning to its end, by difference.
    async fn measure(&mut self, row: &mut Row) -> Result<(), String> {
        rest(SETTLE).await;
        let (used, hollow, words) = (self.used(), self.used_by_hollow(), self.words());
        let (began, first) = (steady(), self.events.len());
        self.tell_on().await?;
        let ran = (steady() - began).max(1);
        let core = |used: Micros| used.saturating_mul(SECOND) / ran;
        for (node, now) in self.used() {
            let pid = self.processes[&node].child.id();
            let cost = Cost { core: core(now - used[&node]), peak: peak(pid).unwrap_or(0) };
            row.costs.insert(node, cost);
        }
        row.hollow = Cost {
            core: core(self.used_by_hollow() - hollow),
            peak: self.hollow.iter().filter_map(|hollow| peak(hollow.child.id())).max().unwrap_or(0),
        };
        let sum = |words: &[Word], of: fn(&Word) -> u64| words.iter().map(of).sum::<u64>();
        let now = self.words();
        let rate = |of: fn(&Word) -> u64| {
            let bytes = sum(&now, of).saturating_sub(sum(&words, of)) as f64;
            bytes * 1e6 / ran as f64 / self.options.routers as f64
        };
        row.bytes = (rate(|word| word.down), rate(|word| word.up));
        row.fed = sum(&now, |word| word.fed);
        self.arrivals(row, first).await;
        row.known = self.known().await;
        Ok(())
    }

    /// Waits until the last purge is at all routers, and reads when each one was.
    async fn arrivals(&self, row: &mut Row, first: usize) {
        let late = steady() + LATE;
        let last = self.events.last().map_or(0, |event| event.number);
        while self.words().iter().any(|word| word.applied < last) && steady() < late {
            rest(LOOK_AGAIN).await;
        }
        let applied: Vec<Vec<(u64, Micros)>> = self.hollow.iter().map(Hollow::applied).collect();
        let arrival = |event: &Event| {
            let at = |all: &Vec<(u64, Micros)>| {
                let found = all.partition_point(|(number, _)| *number < event.number);
                all.get(found).map(|(_, at)| *at)
            };
            let times: Option<Vec<Micros>> = applied.iter().map(at).collect();
            Some(times?.into_iter().max()?.saturating_sub(event.at))
        };
        let told = &self.events[first..];
        row.everywhere = told.iter().filter_map(arrival).collect();
        row.everywhere.sort_unstable();
        row.purges = (told.len(), told.len() - row.everywhere.len());
    }
}

/// Measures one size. Ends the processes that it started, also where it fails.
pub async fn measure(tasks: &Rc<LocalExecutor<'static>>, options: &Options) -> io::Result<Row> {
    let mut bench = Bench::start(tasks, options)?;
    let mut row = Row {
        routers: options.routers,
        processes: options.routers.div_ceil(options.per_process.max(1)),
        tree: (options.sources, options.relays),
        seconds: options.seconds,
        ..Row::default()
    };
    let measured = match bench.fill().await {
        Ok(start) => {
            row.start = start;
            bench.measure(&mut row).await
        }
        Err(why) => Err(why),
    };
    row.stopped = measured.err();
    Ok(row)
}
