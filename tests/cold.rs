//! The budget of a cold member holds for the whole fleet: 3, 30 and 300 instances of the module run on one simulated
//! clock, and the sum of what they send to a cold member is checked for each window of the rule's length. Each seed
//! gives another fleet.

mod common;

use bitternhold::*;
use common::{CACHE, MS, PARENT, S, World, fleet, member, outcome, request};

const COLD_CACHE: u64 = 1;
const COLD_PARENT: u64 = 11;
/// Sending time of one request in seconds: 500 KB at 5,000 KB per second.
const SEND_TIME: f64 = 0.1;
const START: Micros = 100 * S;

/// Arrival pattern of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Traffic {
    /// All routers get the same rate.
    Even,
    /// Some routers get many times the rate of others.
    Uneven,
    /// Periods without requests, then as many as the warm members can serve, for few objects, at all routers at once.
    Bursts,
    /// As `Bursts`, and a third of the attempts fail with varying status: causes retries and second copies.
    Faults,
}

/// Seeded pseudo-random number generator.
struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound.max(1)
    }
}

/// Objects for which the cold member ranks first, as target or as source, even right after its start.
fn objects_ranked_first_at(cold: u64) -> Vec<String> {
    let members =
        fleet().into_iter().map(|m| Member { started: if m.id.0 == cold { START - 1 } else { 0 }, ..m });
    let mut world =
        World::with(Settings { directors: 1, zone_directors: vec![0, 1], ..settings() }, members.collect());
    let first = |n: u128| {
        let sent = world.serve(n, &format!("h{n}"));
        [sent.member.0, sent.source.0].contains(&cold).then(|| format!("h{n}"))
    };
    (1..2_000).filter_map(first).take(4).collect()
}

fn settings() -> Settings {
    Settings { overload_window: S, ..common::settings() }
}

/// Times of all attempts that have the cold member as target or source.
fn send_times(cold: u64, directors: u32, weights: Weights, traffic: Traffic, seed: u64) -> Vec<Micros> {
    let base = Settings {
        directors,
        zone_directors: vec![0, directors],
        weights,
        second_copies: true,
        ..settings()
    };
    let mut rng = Rng(seed.wrapping_mul(7919) + u64::from(directors));
    let mut fleet: Vec<World> = (0..directors)
        .map(|index| {
            let members: Vec<Member> = fleet().into_iter().filter(|m| m.id.0 != cold).collect();
            let mut world = World {
                director: Director::new(rng.below(u64::MAX), Settings { index, ..base.clone() }),
                now: START - 5 * S,
            };
            world.handle(Event::Members { kind: ListKind::Full, members });
            world
        })
        .collect();
    // Each director learns of the start at another time.
    let informed_at: Vec<Micros> = (0..directors).map(|_| START + rng.below(3_000) * MS).collect();
    let mut informed = vec![false; directors as usize];
    let (mut next, mut sent) = (0u128, Vec::new());
    // Pending outcomes and timers: time, router, event.
    let mut due: Vec<(Micros, usize, Event)> = Vec::new();
    let hot_objects = objects_ranked_first_at(cold);
    let tick = 20 * MS;
    let mut now = START - 5 * S;
    while now < START + 12 * S {
        now += tick;
        let mut events: Vec<(usize, Event)> = Vec::new();
        due.retain(|(at, i, event)| {
            if *at <= now {
                events.push((*i, event.clone()));
            }
            *at > now
        });
        for i in 0..directors as usize {
            if !informed[i] && now >= informed_at[i] {
                informed[i] = true;
                let kind = if cold == COLD_PARENT { PARENT } else { CACHE };
                let member = Member { started: START, ..member(cold, kind) };
                events.push((i, Event::Members { kind: ListKind::Delta, members: vec![member] }));
            }
        }
        // The location's warm capacity is 4 x 10 s of work per second: requests for half of it, all of it in a burst.
        let warm_up = now < START;
        let quiet = ((now - 3 * S) / S) % 4 != 2;
        let requests = match traffic {
            _ if warm_up => 4,
            Traffic::Even | Traffic::Uneven => 4,
            Traffic::Bursts | Traffic::Faults if quiet => 0,
            Traffic::Bursts | Traffic::Faults => 8,
        };
        for _ in 0..requests {
            let i = match traffic {
                Traffic::Uneven if rng.below(2) == 0 => rng.below(u64::from(directors).div_ceil(10)),
                _ => rng.below(u64::from(directors)),
            };
            next += 1;
            let few_objects = !warm_up && matches!(traffic, Traffic::Bursts | Traffic::Faults);
            let object = match few_objects {
                true => hot_objects[rng.below(hot_objects.len() as u64) as usize].clone(),
                false => format!("o{}", rng.below(100_000)),
            };
            events.push((i as usize, Event::Request(request(next, &object, now))));
        }
        for (i, event) in events {
            fleet[i].now = now;
            for action in fleet[i].handle(event) {
                match action {
                    Action::Fetch { id, member, source, .. } => {
                        if [member.0, source.0].contains(&cold) {
                            sent.push(now);
                        }
                        let fails = traffic == Traffic::Faults && now > START && rng.below(3) == 0;
                        let status = match rng.below(4) {
                            _ if !fails => Status::Ok,
                            0 => Status::Full,
                            1 => Status::Error,
                            2 => Status::Reset,
                            _ => Status::Timeout,
                        };
                        // Number of the attempt: the pending outcomes of the same request are counted.
                        let number = due
                            .iter()
                            .filter(|(_, j, e)| *j == i && matches!(e, Event::Outcome(o) if o.id == id))
                            .count();
                        let note = (status == Status::Ok).then_some(if source == member {
                            Note::Hit
                        } else {
                            Note::Filled
                        });
                        let mut end = outcome(id.0, number as u32, member, status);
                        (end.note, end.elapsed) = (note, 100 * MS);
                        due.push((now + 100 * MS, i, Event::Outcome(end)));
                    }
                    Action::Timer { delay, token } => due.push((now + delay, i, Event::Timer { token })),
                    _ => {}
                }
            }
        }
    }
    sent
}

/// Largest excess over what the rule allows in a window, with a margin for chance (2 square roots plus 2), and the
/// number of sends.
fn excess(cold: u64, sent: &[Micros]) -> (f64, usize) {
    let s = settings();
    let (multiple, from, time) = match cold {
        COLD_PARENT => (s.parent_overload_multiple, s.parent_cold_start_share, s.parent_cold_duration),
        _ => (s.overload_multiple, s.cold_start_share, s.cold_duration),
    };
    let mut worst = f64::MIN;
    for (i, end) in sent.iter().enumerate().filter(|(_, end)| **end < START + time) {
        let part = (from + (1.0 - from) * (end - START) as f64 / time as f64).min(1.0);
        let allowed = multiple * part * 10.0 * s.overload_window as f64 / 1e6 / SEND_TIME;
        let within = sent[..=i].iter().filter(|at| **at + s.overload_window > *end).count() as f64;
        worst = worst.max(within - (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
    (worst, sent.len())
}

#[test]
fn the_fleet_together_stays_within_a_cold_members_budget() {
    for cold in [COLD_CACHE, COLD_PARENT] {
        for directors in [3, 30, 300] {
            for traffic in [Traffic::Even, Traffic::Uneven, Traffic::Bursts, Traffic::Faults] {
                for weights in [Weights::Nominal, Weights::Unknown] {
                    for seed in 1..=1 {
                        let sent = send_times(cold, directors, weights, traffic, seed);
                        let (excess, n) = excess(cold, &sent);
                        assert!(
                            excess <= 0.0,
                            "{cold} {directors} {traffic:?} {weights:?} {seed}: {excess:.1} of {n}"
                        );
                    }
                }
            }
        }
    }
}

/// Without an overload window in the settings a cold member has no budget, and must not be excluded either.
#[test]
fn without_an_overload_window_a_cold_member_is_used() {
    let members = fleet().into_iter().map(|m| Member { started: START - 1, ..m }).collect();
    let mut world = World::with(Settings { overload_window: 0, ..settings() }, members);
    for id in 1..=50 {
        world.serve(id, &format!("o{id}"));
    }
}
