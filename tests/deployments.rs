//! Two deployments that differ only in their settings below: several directors on one simulated clock, with failing
//! caches, must keep the rules that hold everywhere.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bitternhold::settings::SiteSettings;
use bitternhold::*;
use common::{CACHE, MS, ORIGIN, PARENT, S, member};
use serde_json::{Value, json};

/// A site's settings as a router's configuration gives them.
fn site(name: &str) -> Value {
    let class = |name: &str, kind: &str, aim: f64, deadline: f64, worth: f64| {
        json!({"name": name, "idempotency": kind, "group": "all", "slo_ms": aim, "aim_stretch": 2.0,
            "deadline_ms": deadline, "window_ms": 2000.0, "worth": worth, "late_worth": 0.1})
    };
    let mut all = json!({
        "balancers": ROUTERS, "my_zone": "room", "failure_domains": ["hub", "room"], "kinds": ["box", "parent", "origin"],
        "membership_mode": "pushed",
        "classes": [class("piece", "idempotent", 400.0, 5000.0, 2.0), class("page", "idempotent", 250.0, 2500.0, 1.0),
            class("order", "deduplicated", 600.0, 3000.0, 3.0)],
        "family_info": {"parent_kind": 1, "root_kind": 2, "flow_kb_per_s": 5000.0, "class_write": [false, false, true],
            "fresh_for_ms": [0.0, 8000.0, 0.0], "stale_for_ms": [0.0, 20000.0, 0.0], "crew_by_zone": [0, ROUTERS],
            "hub_by_zone": [0, 0], "cleared_within_ms": 6000.0, "upper_cold_from": 0.07, "parent_ramp_ms": 22000.0,
            "parent_fall_multiple": 2.0},
        "limits": {"try_limit": 8, "retry_after": true, "cancelling": true, "connect_timeout_ms": 400.0},
        "rules": {"drain_grace_ms": 1000.0, "cold_from": 0.18, "cold_ms": 18000.0}
    });
    let (info, limits, rules) = match name {
        // Answers carry all notes, second copies are allowed, fills are not joined, any cache may be a source.
        "parcels" => (
            json!({"detail": "all", "neighbours": "any", "shares_fills": false, "heed_within_ms": 500.0}),
            json!({"second_copies": true, "max_retry_after_ms": 2000.0}),
            json!({"fall_multiple": 3.0, "tip_after_ms": 1000.0}),
        ),
        // Answers carry no notes, one attempt at a time, fills are joined, link capacities are given, only caches at
        // the same location may be sources.
        _ => (
            json!({"detail": "none", "neighbours": "location", "shares_fills": true, "heed_within_ms": 300.0,
                "link_in_kb_per_s": [0.0, 40000.0]}),
            json!({"second_copies": false, "probes": true, "max_retry_after_ms": 500.0}),
            json!({"fall_multiple": 4.0, "tip_after_ms": 2000.0}),
        ),
    };
    let merge = |into: &mut Value, from: Value| {
        for (key, value) in from.as_object().into_iter().flatten() {
            into[key] = value.clone();
        }
    };
    merge(&mut all["family_info"], info);
    merge(&mut all["limits"], limits);
    merge(&mut all["rules"], rules);
    all["weights"] = json!(if name == "parcels" { "rough" } else { "nominal" });
    all
}

const ROUTERS: u32 = 3;
const DEPLOYMENTS: [&str; 2] = ["parcels", "maps"];
const CACHES: u64 = 5;
/// Requests per second to each director.
const RATE: u64 = 40;
/// Start of the fault, since the start of the simulation.
const FAULT_START: Micros = 3 * S;
/// End of the fault.
const FAULT_END: Micros = 7 * S;
/// End of the requests.
const REQUESTS_END: Micros = 14 * S;

/// Fault of cache 1, or of parent 11 where the variant says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Its process crashes: connections are refused, and it comes back cold.
    Crash,
    /// It answers with errors at once.
    Errors,
    /// It accepts requests and answers none.
    Hang,
    /// Connections can't be established and attempts in flight get no answer; it comes back cold.
    Vanish,
    /// All caches refuse connections.
    AllCaches,
    /// Parent 11 can't be reached.
    Parent,
    /// The list reports it as draining, then gone.
    Drain,
    /// A group of objects is purged.
    Purge,
}

/// A scheduled event of the simulation.
#[derive(Debug)]
enum Step {
    SendRequest(usize),
    Outcome { router: usize, outcome: Outcome },
    Timer { router: usize, token: u64 },
    Probe { router: usize, member: MemberId },
    SendUpdates,
}

/// An attempt in flight.
struct InFlight {
    member: u64,
    sent: Micros,
}

/// Results of a simulation.
#[derive(Default)]
struct Results {
    requests: u64,
    served: u64,
    refused: u64,
    failed: u64,
    /// Number of final answers by request; must be one each.
    answers: BTreeMap<(usize, u128), u32>,
    /// Attempts to cache 1 by half second since its cold start.
    cold: BTreeMap<Micros, f64>,
}

/// Directors, members and the pending events of a simulation.
struct Sim {
    settings: Settings,
    fault: Fault,
    now: Micros,
    seq: u64,
    queue: BTreeMap<(Micros, u64), Step>,
    routers: Vec<Director>,
    open: BTreeMap<(usize, u128), BTreeMap<u32, InFlight>>,
    attempts: BTreeMap<(usize, u128), u32>,
    deadlines: BTreeMap<(usize, u128), Micros>,
    /// Requests for objects of the purged group.
    purged: BTreeSet<(usize, u128)>,
    kept: BTreeSet<(u64, String)>,
    results: Results,
}

impl Sim {
    fn run(name: &str, fault: Fault) -> Results {
        let text = site(name);
        let site = SiteSettings::parse(text.as_object().unwrap());
        let mut members: Vec<Member> = (1..=CACHES).map(|id| member(id, CACHE)).collect();
        members.extend([member(11, PARENT), member(12, PARENT), member(20, ORIGIN)]);
        let routers = (0..ROUTERS).map(|index| Settings { index, ..site.settings.clone() });
        let mut sim = Sim {
            fault,
            now: 100 * S,
            seq: 0,
            queue: BTreeMap::new(),
            routers: routers.enumerate().map(|(n, s)| Director::new(n as u64 + 1, s)).collect(),
            settings: site.settings,
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            purged: BTreeSet::new(),
            kept: BTreeSet::new(),
            results: Results::default(),
        };
        for router in 0..sim.routers.len() {
            sim.handle(router, Event::Members { kind: ListKind::Full, members: members.clone() });
            sim.at(10 * MS * router as Micros, Step::SendRequest(router));
        }
        for at in [FAULT_START, FAULT_START + S, FAULT_END] {
            sim.at(at, Step::SendUpdates);
        }
        while let Some(((at, _), step)) = sim.queue.pop_first() {
            sim.now = at;
            sim.event(step);
        }
        sim.results
    }

    fn at(&mut self, after: Micros, step: Step) {
        self.seq += 1;
        self.queue.insert((self.now.max(100 * S) + after, self.seq), step);
    }

    /// Time since the start of the simulation.
    fn elapsed(&self) -> Micros {
        self.now - 100 * S
    }

    fn event(&mut self, step: Step) {
        match step {
            Step::SendRequest(router) if self.elapsed() < REQUESTS_END => {
                self.results.requests += 1;
                let id = u128::from(self.results.requests);
                let draw = self.results.requests.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
                let class = [0, 0, 1, 1, 1, 2][draw as usize % 6];
                let object = format!("o{}", (draw >> 3) % 60 * ((draw >> 9) % 3 + 1));
                let deadline = self.settings.classes[class].deadline;
                let request = Request {
                    id: RequestId(id),
                    class,
                    object,
                    part: 0,
                    group: draw % 4,
                    size_kb: Some(50.0),
                    write: class == 2,
                    valid_until: self.now + deadline,
                    own_copy: None,
                };
                self.open.insert((router, id), BTreeMap::new());
                self.deadlines.insert((router, id), self.now + deadline);
                if draw % 4 == 2 && class != 2 {
                    self.purged.insert((router, id));
                }
                self.handle(router, Event::Request(request));
                self.at(S / RATE, Step::SendRequest(router));
            }
            Step::SendRequest(_) => {}
            Step::Outcome { router, outcome } => {
                let id = outcome.id.0;
                let out = self.open.get_mut(&(router, id)).and_then(|all| all.remove(&outcome.attempt));
                if out.is_some() {
                    let closed = self.results.answers.contains_key(&(router, id));
                    if outcome.status == Status::Ok && !closed {
                        self.answer(router, id);
                        self.results.served += 1;
                    }
                    let closed = self.results.answers.contains_key(&(router, id));
                    self.handle(router, Event::Outcome(Outcome { closed, ..outcome }));
                }
            }
            Step::Timer { router, token } => self.handle(router, Event::Timer { token }),
            Step::Probe { router, member } => {
                let failure = self.failure(member.0).is_some();
                let (status, elapsed) =
                    if failure { (Status::Timeout, 400 * MS) } else { (Status::Ok, 2 * MS) };
                self.handle(router, Event::Probed { member, status, elapsed, load: None });
            }
            Step::SendUpdates => self.send_updates(),
        }
    }

    /// Sends the list updates and the purge that are due.
    fn send_updates(&mut self) {
        let since = self.elapsed();
        let state = |lifecycle, started| Member { lifecycle, started, ..member(1, CACHE) };
        let entry = match (self.fault, since) {
            (Fault::Drain, FAULT_START) => Some(state(Lifecycle::Draining, 0)),
            (Fault::Drain, at) if at < FAULT_END => Some(state(Lifecycle::Gone, 0)),
            (Fault::Drain | Fault::Crash | Fault::Vanish, FAULT_END) => {
                self.kept.retain(|(id, _)| *id != 1);
                Some(state(Lifecycle::Ready, self.now))
            }
            _ => None,
        };
        for router in 0..self.routers.len() {
            if let Some(entry) = entry.clone() {
                self.handle(router, Event::Members { kind: ListKind::Delta, members: vec![entry] });
            }
            if self.fault == Fault::Purge && since == FAULT_START {
                self.handle(router, Event::Purged { object: None, group: 2, age: 0 });
            }
        }
    }

    /// Status with which an attempt to the member fails at this time, if the fault affects it.
    fn failure(&self, member: u64) -> Option<Status> {
        let during = (FAULT_START..FAULT_END).contains(&self.elapsed());
        match self.fault {
            _ if !during => None,
            Fault::Crash if member == 1 => Some(Status::ConnectFailed),
            Fault::Drain if member == 1 && self.elapsed() > FAULT_START + S => Some(Status::ConnectFailed),
            Fault::AllCaches if member <= CACHES => Some(Status::ConnectFailed),
            Fault::Errors if member == 1 => Some(Status::Error),
            Fault::Hang | Fault::Vanish if member == 1 => Some(Status::Timeout),
            _ => None,
        }
    }

    fn handle(&mut self, router: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[router].handle(self.now, event, &mut out);
        for action in out {
            self.act(router, action);
        }
    }

    /// Records a final answer and checks that it is the only one of its request.
    fn answer(&mut self, router: usize, id: u128) {
        let since = self.elapsed();
        let answers = self.results.answers.entry((router, id)).or_default();
        *answers += 1;
        assert_eq!(*answers, 1, "request {id} of director {router} has a second answer at {since}");
    }

    fn act(&mut self, router: usize, action: Action) {
        match action {
            Action::Fetch { id, member, until, source, max_age, .. } => {
                self.check_max_age(router, id.0, max_age);
                self.send(router, id.0, member.0, source.0, until, None);
            }
            Action::Lookup { id, member, until } => {
                self.check_max_age(router, id.0, None);
                self.send(router, id.0, member.0, member.0, until, Some(()));
            }
            Action::Cancel { id, attempt } => {
                // The attempt is no longer in flight, and its end is reported.
                if let Some(out) = self.open.get_mut(&(router, id.0)).and_then(|all| all.remove(&attempt)) {
                    let closed = self.results.answers.contains_key(&(router, id.0));
                    let outcome = Outcome {
                        elapsed: self.now - out.sent,
                        closed,
                        note: None,
                        ..common::outcome(id.0, attempt, MemberId(out.member), Status::Cancelled)
                    };
                    self.handle(router, Event::Outcome(outcome));
                }
            }
            Action::Refuse { id, wait } => {
                assert!(wait <= self.settings.max_retry_after, "retry delay that no client obeys: {wait}");
                self.answer(router, id.0);
                self.results.refused += 1;
            }
            Action::Fail { id } => {
                self.answer(router, id.0);
                self.results.failed += 1;
            }
            Action::Own { .. } => panic!("answered with an own copy that doesn't exist"),
            Action::Timer { delay, token } => self.at(delay, Step::Timer { router, token }),
            Action::Probe { member } => {
                assert!(self.settings.probes, "probe sent although probes are not allowed");
                self.at(2 * MS, Step::Probe { router, member });
            }
            Action::Watch | Action::FetchList | Action::Log(_) => {}
        }
    }

    /// From the end of the purge's grace period until all older copies are dropped, an attempt must have a maximum age
    /// that excludes them.
    fn check_max_age(&self, router: usize, id: u128, max_age: Option<Micros>) {
        let Settings { purge_grace, purge_complete_within, .. } = self.settings;
        let concerned = self.fault == Fault::Purge && self.purged.contains(&(router, id));
        if concerned
            && (FAULT_START + purge_grace..FAULT_START + purge_complete_within).contains(&self.elapsed())
        {
            let young = max_age.is_some_and(|age| age <= self.elapsed() - FAULT_START);
            assert!(
                young,
                "{max_age:?} allows copies older than the purge {} ago",
                self.elapsed() - FAULT_START
            );
        }
    }

    /// Checks an attempt against the rules and schedules its outcome.
    fn send(&mut self, router: usize, id: u128, member: u64, source: u64, until: Micros, lookup: Option<()>) {
        let key = (router, id);
        let until = if until == 0 { self.deadlines[&key] } else { until.min(self.deadlines[&key]) };
        let attempts = self.attempts.entry(key).or_default();
        let attempt = *attempts;
        *attempts += 1;
        assert!(attempt < self.settings.max_attempts, "request {id} has attempt {attempt}");
        assert!(!self.results.answers.contains_key(&key), "attempt after the final answer");
        let out = self.open.get_mut(&key).expect("an open request");
        if !self.settings.second_copies {
            assert!(out.is_empty(), "two attempts of request {id} at a time, at {}", self.now - 100 * S);
        }
        out.insert(attempt, InFlight { member, sent: self.now });
        // Targets and sources that the settings allow.
        assert!(member <= CACHES, "attempt to {member}, which is not a cache");
        if self.settings.siblings == Siblings::None {
            assert!(source == member || source > CACHES, "source {source} is not allowed");
        }
        if self.fault == Fault::Drain && (FAULT_START + S..FAULT_END).contains(&self.elapsed()) {
            assert!(
                member != 1 && source != 1,
                "cache 1 is target or source although it is draining or gone, at {}",
                self.elapsed()
            );
        }
        let started = [Fault::Drain, Fault::Crash, Fault::Vanish].contains(&self.fault);
        if started && self.elapsed() >= FAULT_END && member == 1 {
            *self.results.cold.entry((self.elapsed() - FAULT_END) / (S / 2)).or_default() += 1.0;
        }
        // Determines the outcome.
        let object = format!("{member}");
        let kept = self.kept.contains(&(member, object.clone()));
        let parent_gone =
            self.fault == Fault::Parent && source == 11 && (FAULT_START..FAULT_END).contains(&self.elapsed());
        let (status, after, note) = match self.failure(member) {
            Some(Status::Timeout) => (Status::Timeout, until.saturating_sub(self.now), None),
            Some(status) => (status, 5 * MS, None),
            None if lookup.is_some() && !kept => (Status::Miss, 4 * MS, None),
            None if source != member && parent_gone => (Status::Full, 8 * MS, Some(Note::SourceUnreachable)),
            None if source == member => (Status::Ok, 6 * MS, Some(Note::Hit)),
            None => (Status::Ok, 60 * MS, Some(Note::Filled)),
        };
        if status == Status::Ok {
            self.kept.insert((member, object));
        }
        let note = note.filter(|_| self.settings.detail != Detail::Nothing || status != Status::Ok);
        let outcome =
            Outcome { elapsed: after, note, ..common::outcome(id, attempt, MemberId(member), status) };
        self.at(after.max(1), Step::Outcome { router, outcome });
    }
}

/// Every fault in both deployments: each request gets exactly one final answer, has one attempt at a time where no
/// second copies are allowed, nothing is sent to a draining or gone member, the number of attempts and the retry delays
/// stay within the settings, and most requests are still served.
#[test]
fn both_deployments_keep_the_rules_under_every_fault() {
    use Fault::{AllCaches, Crash, Drain, Errors, Hang, None, Parent, Purge, Vanish};
    for name in DEPLOYMENTS {
        for fault in [None, Crash, Errors, Hang, Vanish, AllCaches, Parent, Drain, Purge] {
            let results = Sim::run(name, fault);
            let answered = results.answers.len() as u64;
            assert_eq!(answered, results.requests, "{name}, {fault:?}: requests without a final answer");
            assert_eq!(
                results.served + results.refused + results.failed,
                results.requests,
                "{name}, {fault:?}"
            );
            // Without caches for four of fourteen seconds no more can be served.
            let min_share = if fault == AllCaches { 0.6 } else { 0.9 };
            let share = results.served as f64 / results.requests as f64;
            assert!(
                share >= min_share,
                "{name}, {fault:?}: {share:.3} served, {} refused, {} failed",
                results.refused,
                results.failed
            );
        }
    }
}

/// A cache that restarts cold must not be overloaded by the sum of all directors' attempts, nor get too few of them.
#[test]
fn a_cache_that_restarts_cold_gets_its_budget_from_all_directors_together() {
    for name in DEPLOYMENTS {
        for fault in [Fault::Crash, Fault::Vanish, Fault::Drain] {
            let results = Sim::run(name, fault);
            let settings = SiteSettings::parse(site(name).as_object().unwrap()).settings;
            // Its share when warm is a fifth of the load, which is what it is sized for.
            let warm = (u64::from(ROUTERS) * RATE) as f64 / CACHES as f64 / 2.0;
            let allowed = |half: Micros| {
                let warmed = (half + 1) as f64 * 0.5 / (settings.cold_duration as f64 / S as f64);
                let part = settings.cold_start_share + (1.0 - settings.cold_start_share) * warmed;
                warm * part * settings.overload_multiple
            };
            for (half, sent) in &results.cold {
                assert!(
                    *sent <= allowed(*half) + 3.0 * allowed(*half).sqrt(),
                    "{name}, {fault:?}: {half}: {:?}",
                    results.cold
                );
            }
            assert!(
                results.cold.values().sum::<f64>() > 5.0,
                "{name}, {fault:?}: too few attempts: {:?}",
                results.cold
            );
        }
    }
}
