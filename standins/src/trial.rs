//! A trial: router processes between the stand-ins, real traffic, faults by script, and a count of every item.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

use async_executor::LocalExecutor;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use silverspindle_wire::clock;
use silverspindle_wire::feed::PurgeTarget;

use crate::clients::{AIM, BUDGET, Clients, Tally};
use crate::codec::{Member, News};
use crate::coordinator::Coordinator;
use crate::office::{Counts, Office, Plan, rest};
pub use crate::office::{Fault, HEAD};
use crate::ports::Port;
use crate::{Micros, SECOND};

/// Objects there are, and how unequal clients' liking is (Zipf's exponent).
pub(crate) const OBJECTS: f64 = 30_000.0;
pub(crate) const LIKING: f64 = 0.9;
/// Share of items that write.
pub(crate) const WRITES: f64 = 0.03;
/// A router must be well by then.
const READY: Micros = 10 * SECOND;
const LOOK_AGAIN: Micros = 5_000;
/// Windows after a restart.
pub const WINDOWS: [u64; 3] = [2, 5, 10];

/// How a router that comes back learns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Inherit {
    /// Not at all.
    #[default]
    No,
    /// From the other routers.
    Exchange,
    /// From its own last snapshot.
    Snapshot,
}

/// What happens, and when, in microseconds from the start of traffic.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// A box or parent is told to drain.
    Drain(u32),
    /// It takes work again.
    Ready(u32),
    /// It starts anew, cold.
    Restart(u32),
    /// All of a group is purged.
    Purge(u16),
    /// A box or parent, or the head office, has this wrong with it from now on.
    Fault(u32, Option<Fault>),
    /// The first router is killed and started again.
    Kill,
}

/// What is tried.
#[derive(Clone, Debug)]
pub struct Options {
    /// The router's program.
    pub program: PathBuf,
    /// How long traffic lasts.
    pub seconds: u64,
    /// For all that is drawn.
    pub seed: u64,
    /// Routers.
    pub routers: u8,
    /// Items a second, to all routers together.
    pub rate: f64,
    /// How a router that comes back learns.
    pub inherit: Inherit,
    /// What happens when, in order.
    pub script: Vec<(Micros, Act)>,
}

/// What one router's items and attempts came to in a window after the kill, and in as long a one before it.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// Seconds.
    pub seconds: u64,
    /// After and before.
    pub after: Sample,
    /// See `after`.
    pub before: Sample,
    /// Time to a served answer at the other routers, which may be giving: 99th percentile and longest, after and
    /// before, in microseconds.
    pub others: [(Micros, Micros); 2],
}

/// Differences of counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Items sent.
    pub sent: u64,
    /// Of them served in the wanted time.
    pub in_time: u64,
    /// The same of pages and of scans: sent, in the wanted time.
    pub classes: [(u64, u64); 2],
    /// Attempts.
    pub attempts: u64,
    /// Hits.
    pub hits: u64,
    /// Reads that reached the head office by this router, and by all.
    pub office: u64,
    /// See `office`.
    pub office_all: u64,
}

/// What a trial came to.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Of each router's clients.
    pub tallies: Vec<Tally>,
    /// Of each router's attempts.
    pub counts: BTreeMap<u8, Counts>,
    /// After the kill, if there was one.
    pub windows: Vec<Window>,
    /// Writes that ran twice within the time in which repeats are dropped, or at all.
    pub writes_twice: u64,
}

impl Outcome {
    /// Every item has its one final answer, and no rule that the stand-ins can see was broken.
    pub fn is_good(&self) -> bool {
        self.tallies.iter().all(Tally::is_good) && self.counts.values().all(|c| c.after_drain == 0)
    }
}

/// A router's process; killed when dropped.
pub(crate) struct Router {
    pub child: Child,
    start: Start,
}

/// What it takes to start one.
#[derive(Clone)]
pub(crate) struct Start {
    pub program: PathBuf,
    pub config: PathBuf,
    pub conf: Option<PathBuf>,
    pub log: PathBuf,
    pub env: Vec<(&'static str, String)>,
    /// Its ports, held also while it is down.
    pub _ports: [Rc<Port>; 2],
}

impl Start {
    pub fn go(self) -> io::Result<Router> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        // A full disk is an error to the program and no signal, as where a real one is full.
        let mut command = Command::new("sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]).arg(&self.program);
        command.arg("serve").env("LB_CONFIG", &self.config).env_remove("LB_CONF").env_remove("LB_LISTEN");
        if let Some(conf) = &self.conf {
            command.arg("--conf").arg(conf);
        }
        command.envs(self.env.iter().map(|(key, value)| (*key, value)));
        let child =
            command.env_remove("LB_NAME").stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        Ok(Router { child, start: self })
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A port on an address of this router alone, held for it.
pub(crate) fn free(router: u8) -> io::Result<Rc<Port>> {
    Port::hold([127, 0, 1, 10 + router]).map(Rc::new)
}

fn settings(routers: u8, index: u8) -> Value {
    let class = |name: &str, kind: &str| {
        json!({"name": name, "idempotency": kind, "group": "all", "slo_ms": AIM as f64 / 1e3,
            "deadline_ms": BUDGET as f64 / 1e3, "window_ms": 2000.0, "worth": 1.0, "late_worth": 0.2})
    };
    json!({
        "balancers": routers, "index": index, "my_zone": "edge", "failure_domains": ["hub", "edge"],
        "kinds": ["box", "parent", "origin"], "weights": "nominal", "membership_mode": "pushed",
        "classes": [class("page", "idempotent"), class("scan", "deduplicated")],
        "family_info": {"parent_kind": 1, "root_kind": 2, "flow_kb_per_s": 5000.0, "detail": "all",
            "class_write": [false, true], "crew_by_zone": [0, routers], "hub_by_zone": [0, 0],
            "heed_within_ms": 500.0, "cleared_within_ms": 6000.0, "neighbours": "any",
            "upper_cold_from": 0.2, "parent_ramp_ms": 16000.0, "parent_fall_multiple": 2.0},
        "limits": {"try_limit": 6, "retry_after": true, "max_retry_after_ms": 2000.0, "cancelling": true,
            "second_copies": true, "connect_timeout_ms": 400.0, "streams_per_conn": 32, "idle_close_ms": 30000.0},
        "rules": {"drain_grace_ms": 1000.0, "cold_from": 0.2, "cold_ms": 16000.0, "fall_multiple": 2.0,
            "tip_after_ms": 1500.0}
    })
}

pub(crate) fn run(program: &Path, args: &[&str]) -> io::Result<()> {
    let out = Command::new(program).args(args).output()?;
    match out.status.success() {
        true => Ok(()),
        false => Err(io::Error::other(String::from_utf8_lossy(&out.stderr).into_owned())),
    }
}

/// What the platform tells a router.
pub(crate) fn configuration(
    name: &str,
    listen: SocketAddr,
    options: &Options,
    n: u8,
    coordinator: SocketAddr,
    members: &[Value],
) -> Value {
    json!({
        "name": name, "listen": listen.to_string(), "seed": format!("{:x}", options.seed * 100 + u64::from(n)),
        "coordinator": coordinator.to_string(), "settings": settings(options.routers, n),
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"revision": 1, "complete": true, "members": members}}]}
    })
}

/// Writes what each router is started with.
fn prepare(
    options: &Options,
    folder: &Path,
    office: &Office,
    coordinator: SocketAddr,
) -> io::Result<Vec<(Start, SocketAddr)>> {
    let names: Vec<String> = (0..options.routers).map(|n| format!("n{n}")).collect();
    let keys = folder.join("keys");
    let keys_text = keys.display().to_string();
    if options.inherit == Inherit::Exchange {
        run(&options.program, &["keys", "init", &keys_text])?;
        names.iter().try_for_each(|name| run(&options.program, &["keys", "issue", &keys_text, name]))?;
    }
    let exchanges = (0..options.routers).map(free).collect::<io::Result<Vec<_>>>()?;
    let members: Vec<Value> = office.members().iter().map(Member::json).collect();
    let mut starts = Vec::new();
    for (n, name) in (0..options.routers).zip(&names) {
        let (port, exchange) = (free(n)?, exchanges[usize::from(n)].clone());
        let listen = port.address;
        let file = configuration(name, listen, options, n, coordinator, &members);
        let config = folder.join(format!("{name}.json"));
        fs::write(&config, file.to_string())?;
        let mut conf = String::new();
        match options.inherit {
            Inherit::No => {}
            Inherit::Exchange => {
                let _ = writeln!(conf, "exchange-listen {}", exchange.address);
                let _ = writeln!(conf, "exchange-authority '{keys_text}/authority.pem'");
                let _ = writeln!(conf, "exchange-certificate '{keys_text}/{name}.pem'");
                let _ = writeln!(conf, "exchange-key '{keys_text}/{name}.key'");
                for (other, at) in names.iter().zip(&exchanges).filter(|(other, _)| *other != name) {
                    let _ = writeln!(conf, "donor {other} {}", at.address);
                }
            }
            Inherit::Snapshot => {
                let _ = writeln!(conf, "snapshot-directory '{}'\nsnapshot-every 1s", folder.display());
            }
        }
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, &conf)?;
        let conf = (!conf.is_empty()).then_some(path);
        let log = folder.join(format!("{name}.log"));
        let start = Start {
            program: options.program.clone(),
            config,
            conf,
            log,
            env: vec![],
            _ports: [port, exchange],
        };
        starts.push((start, listen));
    }
    Ok(starts)
}

pub(crate) async fn well(clients: &Rc<Clients>, log: &Path) -> io::Result<()> {
    let until = clock::now() + READY;
    while !clients.well().await {
        if clock::now() > until {
            let said = fs::read_to_string(log).unwrap_or_default();
            return Err(io::Error::other(format!("a router does not become well; it said:\n{said}")));
        }
        rest(LOOK_AGAIN).await;
    }
    Ok(())
}

fn sample(clients: &Clients, office: &Office) -> Sample {
    let (tally, counts) = (clients.tally.borrow(), office.counts());
    let own = counts.get(&0).copied().unwrap_or_default();
    Sample {
        sent: tally.sent,
        in_time: tally.in_time,
        classes: tally.classes,
        attempts: own.attempts,
        hits: own.hits,
        office: own.office_reads,
        office_all: counts.values().map(|c| c.office_reads).sum(),
    }
}

/// 99th percentile and longest time of the answers that these clients had in a while.
fn longest(clients: &[Rc<Clients>], from: Micros, to: Micros) -> (Micros, Micros) {
    let mut times = Vec::new();
    for clients in clients {
        let tally = clients.tally.borrow();
        times.extend(tally.trace.iter().filter(|(at, _)| (from..to).contains(at)).map(|(_, took)| *took));
    }
    times.sort_unstable();
    let last = times.last().copied().unwrap_or(0);
    (times.get(times.len() * 99 / 100).copied().unwrap_or(last), last)
}

fn difference(to: Sample, from: Sample) -> Sample {
    Sample {
        sent: to.sent - from.sent,
        in_time: to.in_time - from.in_time,
        classes: [0, 1].map(|i| (to.classes[i].0 - from.classes[i].0, to.classes[i].1 - from.classes[i].1)),
        attempts: to.attempts - from.attempts,
        hits: to.hits - from.hits,
        office: to.office - from.office,
        office_all: to.office_all - from.office_all,
    }
}

/// A rough while: a box drains and comes back, the head office is slow, a box starts cold, a group is purged.
pub fn rough(seconds: u64) -> Vec<(Micros, Act)> {
    let at = |tenth: u64| seconds * tenth * SECOND / 10;
    vec![
        (at(1), Act::Drain(1)),
        (at(3), Act::Ready(1)),
        (at(4), Act::Fault(HEAD, Some(Fault::Slow(3.0)))),
        (at(5), Act::Fault(HEAD, None)),
        (at(5), Act::Purge(17)),
        (at(6), Act::Restart(2)),
        (at(7), Act::Fault(3, Some(Fault::Stall))),
        (at(8), Act::Fault(3, None)),
    ]
}

/// Which objects are asked for, and after which gaps, at so many items a second.
pub(crate) fn demand(rate: f64) -> io::Result<(Zipf<f64>, Exp<f64>)> {
    let bad = |e: &dyn std::fmt::Display| io::Error::new(io::ErrorKind::InvalidInput, e.to_string());
    let objects = Zipf::new(OBJECTS, LIKING).map_err(|e| bad(&e))?;
    Ok((objects, Exp::new(rate / 1e6).map_err(|e| bad(&e))?))
}

/// Runs a trial to its end. Ends the routers that it started.
pub async fn trial(tasks: &Rc<LocalExecutor<'static>>, options: &Options) -> io::Result<Outcome> {
    let folder = tempfile::tempdir()?;
    let office = Office::start(tasks, Plan { boxes: 4, box_room: 800, parents: 2, parent_room: 4000 })?;
    let coordinator = Coordinator::start(tasks)?;
    let (mut routers, mut clients) = (Vec::new(), Vec::new());
    for (n, (start, listen)) in (0..).zip(prepare(options, folder.path(), &office, coordinator.address)?) {
        routers.push(start.go()?);
        clients.push(Clients::new(n, listen));
    }
    for (router, clients) in routers.iter().zip(&clients) {
        well(clients, &router.start.log).await?;
    }
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let (objects, gaps) = demand(options.rate)?;
    let begin = clock::now();
    let end = begin + options.seconds * SECOND;
    let (mut due, mut script, mut looked) = (begin, options.script.iter().peekable(), begin);
    // The first router's counts a tenth of a second apart, to compare what lies before a kill.
    let mut samples: Vec<(Micros, Sample)> = Vec::new();
    let mut killed = None;
    while due < end {
        due += gaps.sample(&mut random) as Micros + 1;
        clock::timer_at(due).await;
        if clock::now() >= looked + SECOND / 10 {
            looked = clock::now();
            samples.push((looked, sample(&clients[0], &office)));
            clients.iter().for_each(|c| c.overdue());
        }
        while let Some((_, act)) = script.next_if(|(at, _)| clock::now() >= begin + at) {
            if let Act::Kill = act {
                killed = Some(clock::now());
                let start = routers.remove(0).start.clone();
                routers.insert(0, start.go()?);
                let (own, log) = (clients[0].clone(), routers[0].start.log.clone());
                well(&own, &log).await?;
            }
            carry_out(*act, &office, &coordinator);
        }
        // Drawn whatever happens, so that all trials of a seed send the same.
        let (object, write) = (objects.sample(&mut random) as u64, random.random_bool(WRITES));
        let whose = clients[random.random_range(0..clients.len())].clone();
        // Numbers spread: neighbours in liking are no neighbours in ids.
        let object = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let own = tasks.clone();
        tasks.spawn(async move { whose.send(&own, due, object, write).await }).detach();
    }
    let last = clock::now() + BUDGET + SECOND;
    while clients.iter().any(|c| c.open() > 0) && clock::now() < last {
        rest(LOOK_AGAIN).await;
        clients.iter().for_each(|c| c.overdue());
    }
    samples.push((clock::now(), sample(&clients[0], &office)));
    let at = |time: Micros| samples.iter().take_while(|(at, _)| *at <= time).last().map(|(_, s)| *s);
    let windows =
        killed.into_iter().flat_map(|kill| WINDOWS.map(|seconds| (kill, seconds))).map(|(kill, seconds)| {
            let at = |time| at(time).unwrap_or_default();
            let span = seconds * SECOND;
            let after = difference(at(kill + span), at(kill));
            let before = difference(at(kill), at(kill.saturating_sub(span)));
            let others =
                [kill, kill.saturating_sub(span)].map(|from| longest(&clients[1..], from, from + span));
            Window { seconds, after, before, others }
        });
    Ok(Outcome {
        windows: windows.collect(),
        tallies: clients.iter().map(|c| c.tally.borrow().clone()).collect(),
        counts: office.counts(),
        writes_twice: office.writes.borrow().values().filter(|(runs, _)| *runs > 1).count() as u64,
    })
}

pub(crate) fn carry_out(act: Act, office: &Office, coordinator: &Coordinator) {
    let tell = |id: u32, state: u8, started_ms: u64| {
        if let Some(member) = office.members().into_iter().find(|m| m.id == id) {
            coordinator.tell(News::Changes(vec![Member { state, started_ms, ..member }]));
        }
    };
    let now = clock::now();
    match act {
        Act::Drain(id) => {
            office.tier(id).into_iter().for_each(|t| t.drained.set(Some(now)));
            tell(id, 1, 0);
        }
        Act::Ready(id) => {
            office.tier(id).into_iter().for_each(|t| t.drained.set(None));
            tell(id, 0, 0);
        }
        Act::Restart(id) => {
            office.tier(id).into_iter().for_each(|t| t.servers.restart());
            tell(id, 0, now / 1000);
        }
        Act::Purge(group) => {
            office.purge(PurgeTarget::Group(u64::from(group)), now);
            coordinator.tell(News::Purge(group, now / 1000));
        }
        Act::Fault(HEAD, fault) => office.head.fault.set(fault),
        Act::Fault(id, fault) => office.tier(id).into_iter().for_each(|t| t.servers.fault.set(fault)),
        Act::Kill => {}
    }
}

/// What a trial came to, for a person.
pub fn report(outcome: &Outcome) -> String {
    let mut out = String::new();
    let _ =
        writeln!(out, "router   sent served in-time refused failed  cut lost wrong    p50    p99  p99.9 ms");
    for (n, t) in outcome.tallies.iter().enumerate() {
        let ms = |q: f64| t.times.value_at_quantile(q) as f64 / 1e3;
        let _ = writeln!(
            out,
            "n{n:<5} {:>6} {:>6} {:>6.1}% {:>7} {:>6} {:>4} {:>4} {:>5} {:>6.1} {:>6.1} {:>6.1}",
            t.sent,
            t.served,
            100.0 * t.in_time as f64 / t.sent.max(1) as f64,
            t.refused,
            t.failed,
            t.cut,
            t.lost,
            t.wrong,
            ms(0.5),
            ms(0.99),
            ms(0.999)
        );
    }
    let _ =
        writeln!(out, "\nrouter attempts   hits parent-fills office-reads writes repeats shed after-drain");
    for (n, c) in &outcome.counts {
        let _ = writeln!(
            out,
            "n{n:<5} {:>8} {:>5.1}% {:>12} {:>12} {:>6} {:>7} {:>4} {:>11}",
            c.attempts,
            100.0 * c.hits as f64 / c.attempts.max(1) as f64,
            c.parent_fills,
            c.office_reads,
            c.office_writes,
            c.repeats,
            c.shed,
            c.after_drain
        );
    }
    for w in &outcome.windows {
        let share = |part: u64, of: u64| 100.0 * part as f64 / of.max(1) as f64;
        let _ = writeln!(
            out,
            "\n{} s after the kill (before it): hits {:.1} % ({:.1}), head office reads by n0 {} ({}), by all {} ({}), in time {:.1} % ({:.1})",
            w.seconds,
            share(w.after.hits, w.after.attempts),
            share(w.before.hits, w.before.attempts),
            w.after.office,
            w.before.office,
            w.after.office_all,
            w.before.office_all,
            share(w.after.in_time, w.after.sent),
            share(w.before.in_time, w.before.sent),
        );
        let class = |s: &Sample, i: usize| share(s.classes[i].1, s.classes[i].0);
        let ms = |us: Micros| us as f64 / 1e3;
        let [after, before] = w.others;
        let _ = writeln!(
            out,
            "  pages in time {:.1} % ({:.1}), scans {:.1} % ({:.1}); the others' p99 {:.1} ms ({:.1}), longest {:.1} ({:.1})",
            class(&w.after, 0),
            class(&w.before, 0),
            class(&w.after, 1),
            class(&w.before, 1),
            ms(after.0),
            ms(before.0),
            ms(after.1),
            ms(before.1),
        );
    }
    let verdict = if outcome.is_good() { "every item has its one final answer" } else { "NOT GOOD" };
    let _ = writeln!(out, "\nwrites that ran more than once: {}; {verdict}", outcome.writes_twice);
    out
}
