//! Random sequences of events by seed: no panic, and the rules that can be checked from events alone.

mod common;
use std::collections::BTreeMap;

use bitternhold::*;
use common::*;

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

/// State of a request as the test tracks it.
#[derive(Default)]
struct Case {
    in_flight: Vec<(u32, MemberId, bool)>,
    sent: u32,
    answers: u32,
    /// Index of its idempotency: 0 idempotent, 1 deduplicated, 2 at most once.
    kind: usize,
    may_have_run: bool,
    group: u64,
    valid_until: Micros,
}

/// Plays a random sequence of events, checks the rules after each and returns all actions.
fn run(seed: u64) -> Vec<Action> {
    let mut rng = Rng(seed);
    let kinds = [Idempotency::Idempotent, Idempotency::Deduplicated, Idempotency::AtMostOnce];
    let classes =
        kinds.map(|idempotency| Class { idempotency, dedup_group: DedupGroup::Zone, ..class() }).to_vec();
    let detail = [Detail::All, Detail::Hit, Detail::Nothing][rng.below(3) as usize];
    let weights = [Weights::Unknown, Weights::Nominal][rng.below(2) as usize];
    let mut w = World::new(Settings { classes, detail, weights, ..settings() });
    let mut state: BTreeMap<u64, Lifecycle> = fleet().iter().map(|m| (m.id.0, Lifecycle::Ready)).collect();
    let mut cases: BTreeMap<u128, Case> = BTreeMap::new();
    let (mut all, mut purged) = (Vec::new(), BTreeMap::<u64, Micros>::new());
    for step in 0..1_500u128 {
        w.now += rng.below(30) * MS;
        let out = match rng.below(20) {
            0 => {
                let id = [1, 2, 3, 4, 11, 12][rng.below(6) as usize];
                let lifecycle =
                    [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone][rng.below(3) as usize];
                state.insert(id, lifecycle);
                let kind = if id > 10 { PARENT } else { CACHE };
                let m = Member { lifecycle, started: w.now, weight: rng.below(3) as f64, ..member(id, kind) };
                w.handle(Event::Members { kind: ListKind::Delta, members: vec![m] })
            }
            1 => {
                let (group, age) = (rng.below(4), rng.below(7_000) * MS);
                let at = purged.entry(group).or_default();
                *at = (*at).max(w.now - age);
                w.handle(Event::Purged { object: None, group, age })
            }
            2 => w.handle(Event::Timer { token: rng.below(3) }),
            3 => w.end(
                u128::from(9_000 + rng.below(99)),
                rng.below(9) as u32,
                MemberId(rng.below(99)),
                Status::Full,
            ),
            4..=11 => {
                let kind = rng.below(3) as usize;
                let group = rng.below(4);
                let valid_until = w.now + rng.below(3_000) * MS;
                cases.insert(step, Case { kind, group, valid_until, ..Case::default() });
                let object = format!("o{}", rng.below(60));
                let size_kb = (rng.below(2) == 0).then(|| 1.0 + rng.below(9_000) as f64);
                let class = if rng.below(50) == 0 { 2 + rng.below(9) as usize } else { kind };
                cases.get_mut(&step).unwrap().kind = class.min(2);
                let base = request(step, &object, w.now);
                w.handle(Event::Request(Request { class, group, size_kb, valid_until, ..base }))
            }
            _ => {
                let open: Vec<u128> =
                    cases.iter().filter(|(_, c)| !c.in_flight.is_empty()).map(|(k, _)| *k).collect();
                if open.is_empty() {
                    continue;
                }
                let id = open[rng.below(open.len() as u64) as usize];
                let case = cases.get_mut(&id).unwrap();
                let (attempt, member, _) =
                    case.in_flight.remove(rng.below(case.in_flight.len() as u64) as usize);
                let status = [
                    Status::Ok,
                    Status::Ok,
                    Status::Error,
                    Status::Full,
                    Status::Timeout,
                    Status::ConnectFailed,
                    Status::Reset,
                    Status::Moot,
                    Status::Miss,
                ][rng.below(9) as usize];
                let ran =
                    ![Status::Full, Status::ConnectFailed, Status::Moot, Status::Miss].contains(&status);
                case.may_have_run |= ran;
                let closed = status == Status::Ok || case.answers > 0;
                case.answers += u32::from(status == Status::Ok && case.answers == 0);
                let note = [None, Some(Note::Hit), Some(Note::SourceRefused), Some(Note::FillsFull)]
                    [rng.below(4) as usize];
                let o = Outcome { closed, note, ..outcome(id, attempt, member, status) };
                w.handle(Event::Outcome(o))
            }
        };
        for action in &out {
            match *action {
                Action::Fetch { id, member, source, max_age, until, .. } => {
                    let case = cases.get_mut(&id.0).expect("a known request");
                    assert_eq!(case.answers, 0, "no attempt after the final answer");
                    assert!(case.in_flight.is_empty(), "one attempt at a time");
                    assert!(until <= case.valid_until && w.now < case.valid_until);
                    assert_eq!(state[&member.0], Lifecycle::Ready);
                    assert!(source == member || state[&source.0] == Lifecycle::Ready);
                    assert!(case.kind != 2 || !case.may_have_run, "no double execution");
                    if let Some(at) = purged.get(&case.group).filter(|at| w.now - **at <= 6 * S) {
                        assert!(max_age.is_some_and(|age| age > 0 && (age == 1 || age < w.now - at)));
                    }
                    case.in_flight.push((case.sent, member, false));
                    case.sent += 1;
                    assert!(case.sent <= 6);
                }
                Action::Refuse { id, .. } => {
                    let case = cases.get_mut(&id.0).unwrap();
                    case.answers += 1;
                    assert!(case.in_flight.is_empty());
                    assert!(case.kind == 0 || !case.may_have_run, "a refusal promises that nothing ran");
                }
                Action::Fail { id } => cases.get_mut(&id.0).unwrap().answers += 1,
                _ => {}
            }
        }
        all.extend(out);
        for (id, case) in &cases {
            assert!(case.answers <= 1, "{id}: one final answer");
            assert!(
                case.answers == 1 || !case.in_flight.is_empty(),
                "{id}: open without an attempt in flight"
            );
        }
    }
    all
}

#[test]
fn the_rules_hold_for_random_sequences_of_events() {
    for seed in 0..120 {
        run(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run(5), run(5));
}
