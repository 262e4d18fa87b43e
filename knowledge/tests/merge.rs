//! The merge: its laws for any words in any order, its bounds, and what words come to.

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngSeed};
use silverspindle_knowledge::store::*;
use silverspindle_knowledge::*;

const ME: Source = Source { instance: InstanceId(1), incarnation: 1_000 };
const NOW: Micros = CLOCK_START;
const UNIX: Micros = 1_796_000_000_000_000;
const KEPT: Micros = 6_500_000;
const MINUTE: Micros = 60_000_000;

fn store() -> Store {
    Store::new(ME, HalfLives::default(), KEPT)
}

fn source(instance: u64, incarnation: Micros) -> Source {
    Source { instance: InstanceId(instance), incarnation }
}

fn health(from: Source, member: u64, age: Micros, ill: f32) -> Record {
    Record {
        subject: Subject::Member(member, Aspect::Health),
        source: from,
        seq: 1,
        age,
        up: 10 * MINUTE,
        observations: 100,
        hops: 0,
        value: Value::Health { started: 0, ill, aside: 0 },
    }
}

fn pace(from: Source, age: Micros, limit: f32) -> Record {
    Record {
        subject: Subject::Member(7, Aspect::Pace),
        value: Value::Pace { started: 0, limit, lateness: 0.0 },
        ..health(from, 7, age, 0.0)
    }
}

fn told(records: impl IntoIterator<Item = Record>) -> Store {
    let mut store = store();
    assert_eq!(store.take(NOW, UNIX, 0, records.into_iter().map(Item::Fact).collect()), 0);
    store
}

fn prior(store: &Store) -> MemberPrior {
    let priors = store.priors(NOW, &BTreeMap::from([(7, 0)]));
    priors.members.into_iter().next().unwrap_or_default()
}

fn any_item() -> impl Strategy<Value = Item> {
    let value = prop_oneof![
        (0..3u8, 0..3u64).prop_map(|(state, started)| {
            let lifecycle = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone][usize::from(state)];
            (Aspect::Listed, Value::Listed { lifecycle, started })
        }),
        (0..3u64, 0..4u8, 0..3u64).prop_map(|(started, ill, aside)| {
            (Aspect::Health, Value::Health { started, ill: f32::from(ill) / 4.0, aside: aside * 1_000_000 })
        }),
        (0..3u64, 1..4u8).prop_map(|(started, limit)| {
            (Aspect::Pace, Value::Pace { started, limit: f32::from(limit), lateness: 0.0 })
        }),
    ];
    let figures = (2..16u64, 0..3u64, 0..4u64, 0..20u64, 0..4u32, 0..10u8);
    let fact = (0..3u64, value, figures).prop_map(|(member, (aspect, value), f)| {
        let (instance, incarnation, seq, age, observations, hops) = f;
        Item::Fact(Record {
            subject: Subject::Member(member, aspect),
            source: source(instance, incarnation),
            seq,
            age: age * 500_000,
            up: age,
            observations,
            hops,
            value,
        })
    });
    let purge = (0..4u64, 0..9u64).prop_map(|(what, at)| {
        let what = if what == 3 { Purged::Group(what) } else { Purged::Object(what) };
        Item::Purge(what, UNIX - at * 10_000_000)
    });
    prop_oneof![6 => fact, 1 => purge]
}

fn taken(parts: &[&[Item]]) -> Store {
    let mut store = store();
    for part in parts {
        store.take(NOW, UNIX, 0, part.to_vec());
    }
    store
}

proptest! {
    #![proptest_config(Cases { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(9), ..Cases::default() })]

    /// Whatever comes from whom in whatever order and however often: the same is known. More sources speak of a
    /// member here than are kept, so this holds for the bound as well.
    #[test]
    fn order_and_repetition_change_nothing(mut a in vec(any_item(), 0..80), cut in 0usize..80, seed in any::<u64>()) {
        let whole = taken(&[&a]);
        let (one, two) = a.split_at(cut.min(a.len()));
        prop_assert_eq!(&taken(&[one, two]), &whole, "associative");
        prop_assert_eq!(&taken(&[two, one]), &whole, "commutative");
        prop_assert_eq!(&taken(&[&a, &a, one]), &whole, "idempotent");
        let mut n = seed;
        for i in (1..a.len()).rev() {
            n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            a.swap(i, (n >> 33) as usize % (i + 1));
        }
        prop_assert_eq!(&taken(&[&a]), &whole, "any order");
    }

    /// What one router gives another has no more weight there, and giving it back gains nothing.
    #[test]
    fn hearsay_that_comes_back_gains_nothing(items in vec(any_item(), 0..60)) {
        let mut here = taken(&[&items]);
        let mut there = Store::new(source(99, 5), HalfLives::default(), KEPT);
        there.take(NOW, UNIX, 1_000, here.give(NOW));
        let before = here.clone();
        here.take(NOW, UNIX, 1_000, there.give(NOW));
        prop_assert_eq!(&here, &before);
    }

    /// Ages never shrink on the way, whatever the clocks.
    #[test]
    fn ages_grow_on_the_way(items in vec(any_item(), 1..30), transit in 0u64..3_000_000, clock in 0u64..1_000_000_000) {
        let here = taken(&[&items]);
        let mut there = Store::new(source(99, 5), HalfLives::default(), KEPT);
        there.take(NOW + clock, UNIX, transit, here.give(NOW));
        let ages = |items: Vec<Item>| items.into_iter().filter_map(|i| match i {
            Item::Fact(r) => Some(((r.subject, r.source.instance), r.age)),
            Item::Purge(..) => None,
        }).collect::<BTreeMap<_, _>>();
        let (sent, got) = (ages(here.give(NOW)), ages(there.give(NOW + clock)));
        for (what, age) in got {
            prop_assert!(age >= sent[&what] + transit);
        }
    }
}

/// Guards against a ring of routers that take each other's word for news of the day.
#[test]
fn a_ring_of_four_adds_nothing_to_one_word() {
    let mut ring: Vec<Store> =
        (10..14).map(|i| Store::new(source(i, 5), HalfLives::default(), KEPT)).collect();
    let seen = Value::Health { started: 0, ill: 0.9, aside: 4_000_000 };
    ring[0].observe(NOW, 10 * MINUTE, Subject::Member(7, Aspect::Health), 50, seen);
    let mut weights = Vec::new();
    for round in 0..40 {
        let (from, to) = (round % 4, (round + 1) % 4);
        let items = ring[from].give(NOW + round as u64 * 100_000);
        ring[to].take(NOW + round as u64 * 100_000, UNIX, 1_000, items);
        let priors = ring[1].priors(NOW + round as u64 * 100_000, &BTreeMap::from([(7, 0)]));
        weights.push(priors.members[0].health_weight);
    }
    assert!(weights.windows(2).all(|w| w[1] <= w[0]), "{weights:?}");
    // And the source itself takes no word of its own for another's.
    assert!(ring[0].priors(NOW + 4_000_000, &BTreeMap::from([(7, 0)])).members.is_empty());
}

/// Guards against a donor that has only just started and says what it guesses.
#[test]
fn a_fresh_donor_does_not_drown_one_of_long_standing() {
    let old = pace(source(2, 1), 1_000_000, 40.0);
    let fresh = Record { up: 500_000, observations: 3, ..pace(source(3, 9), 0, 2.0) };
    let limit = prior(&told([old.clone(), fresh])).limit;
    assert!((36.0..=40.0).contains(&limit), "{limit}");
    // Nor do five of them.
    let many = (3..8).map(|i| Record { up: 500_000, observations: 3, ..pace(source(i, 9), 0, 2.0) });
    let limit = prior(&told(many.chain([old]))).limit;
    assert!(limit > 30.0, "{limit}");
}

#[test]
fn weight_falls_by_the_half_life_and_an_old_word_is_dropped() {
    let weight = |age| prior(&told([health(source(2, 1), 7, age, 0.5)])).health_weight;
    let (new, old) = (weight(0), weight(5_000_000));
    assert!((new / old - 2.0).abs() < 1e-9, "{new} {old}");
    assert!(told([health(source(2, 1), 7, MINUTE, 0.5)]).is_empty());
}

#[test]
fn two_donors_that_disagree_are_weighed() {
    let [sick, well] = [(2, 0.9), (3, 0.1)].map(|(i, ill)| health(source(i, 1), 7, 0, ill));
    let both = prior(&told([sick.clone(), well.clone()]));
    assert!((both.ill - 0.5).abs() < 1e-6 && both.health_weight > 0.9);
    // The later word weighs more.
    let late = prior(&told([Record { age: 10_000_000, ..sick }, well]));
    assert!(late.ill < 0.3, "{}", late.ill);
}

#[test]
fn a_member_is_set_aside_where_half_the_weight_says_so_and_for_what_is_left() {
    let aside = |i, age, left| Record {
        value: Value::Health { started: 0, ill: 0.8, aside: left },
        ..health(source(i, 1), 7, age, 0.8)
    };
    assert_eq!(prior(&told([aside(2, 1_000_000, 4_000_000)])).aside, 3_000_000);
    assert_eq!(prior(&told([aside(2, 5_000_000, 4_000_000)])).aside, 0);
    assert_eq!(prior(&told([aside(2, 0, 4_000_000), aside(3, 0, 0)])).aside, 4_000_000);
    assert_eq!(prior(&told([aside(2, 0, 4_000_000), aside(3, 0, 0), aside(4, 0, 0)])).aside, 0);
}

/// Guards against blaming a new process for what its forerunner did.
#[test]
fn what_was_seen_of_an_earlier_process_says_nothing() {
    let store = told([health(source(2, 1), 7, 0, 0.9)]);
    assert!(store.priors(NOW, &BTreeMap::from([(7, 5)])).members.is_empty());
}

#[test]
fn the_filter_takes_what_most_weight_speaks_for() {
    let filter = |i, up, active: Vec<u64>, passive: Vec<u64>| Record {
        subject: Subject::Filter,
        up,
        value: Value::Filter { active: Ids::new(active), passive: Ids::new(passive) },
        ..health(source(i, 1), 0, 0, 0.0)
    };
    let both = told([
        filter(2, 10 * MINUTE, (0..3000).collect(), (3000..6000).collect()),
        filter(3, 10 * MINUTE, (2000..4000).collect(), vec![9_000_000]),
        filter(4, 100, (10_000..14_000).collect(), vec![]),
    ]);
    let ids = both.priors(NOW, &BTreeMap::new()).filter;
    assert_eq!(ids.len(), GENERATION);
    assert!(ids[..1000].iter().all(|id| (2000..3000).contains(id)), "active at two comes first");
    assert!(ids[1000..2000].iter().all(|id| (3000..4000).contains(id)), "then active and passive");
    assert!(ids.iter().all(|id| *id < 10_000), "a fresh donor's come last");
}

/// Guards against a bound that loses a purge: more than can be kept one by one are covered by one for all.
#[test]
fn purges_are_never_forgotten_early() {
    let mut store = store();
    for n in 0..40_000u64 {
        assert!(store.purged(UNIX, Purged::Object(n), UNIX - 5_000_000 + n));
    }
    store.trim(NOW, UNIX);
    let kept: BTreeMap<Purged, Micros> = store.purges().collect();
    assert!(kept.len() <= 16_384);
    for n in 0..40_000u64 {
        let one = kept.get(&Purged::Object(n)).max(kept.get(&Purged::All));
        assert!(one.is_some_and(|at| *at >= UNIX - 5_000_000 + n), "{n}");
    }
    // Its time is a name that the coordinator gave; a clock that is 30 s off forgets none that is in force.
    store.trim(NOW, UNIX + 30_000_000);
    assert_eq!(store.purges().count(), kept.len());
    store.trim(NOW, UNIX + 2 * MINUTE);
    assert_eq!(store.purges().count(), 0);
    assert!(!store.purged(UNIX, Purged::All, UNIX + 2 * MINUTE), "a purge of the future is nobody's");
}

/// Guards against a router that nobody asks, and that never asks: it is told of purges for months.
#[test]
fn purges_are_bounded_without_any_exchange() {
    let mut store = store();
    for n in 0..200_000u64 {
        store.purged(UNIX + n, Purged::Object(n), UNIX + n);
    }
    assert!(store.purges().count() <= 2 * 16_384 + 1);
}

#[test]
fn memory_is_bounded_whatever_comes() {
    let records = (0..100_000u64).map(|n| Record {
        seq: n,
        age: n % 1000,
        ..health(source(2 + n % 50, n % 3), n % 10_000, 0, 0.5)
    });
    let store = told(records);
    assert!(store.len() <= 4096 * 9, "{}", store.len());
}

#[test]
fn figures_out_of_range_are_refused_one_by_one() {
    let good = health(source(2, 1), 7, 0, 0.5);
    let bad = [
        Record { value: Value::Health { started: 0, ill: f32::NAN, aside: 0 }, ..good.clone() },
        Record { value: Value::Health { started: 0, ill: 1.5, aside: 0 }, ..good.clone() },
        Record { value: Value::Health { started: 0, ill: 0.5, aside: u64::MAX }, ..good.clone() },
        Record { value: Value::Rates([1.0, f32::INFINITY]), subject: Subject::Rates, ..good.clone() },
        Record { value: Value::Rates([1.0, 1.0]), ..good.clone() },
        Record {
            value: Value::Pace { started: 0, limit: 0.0, lateness: 0.0 },
            subject: Subject::Member(7, Aspect::Pace),
            ..good.clone()
        },
    ];
    let mut store = store();
    assert_eq!(store.take(NOW, UNIX, 0, bad.into_iter().map(Item::Fact).collect()), 6);
    assert!(store.is_empty());
    // Merely useless ones are passed over without blame.
    let useless = [
        Record { age: u64::MAX, ..good.clone() },
        Record { hops: 200, ..good.clone() },
        Record { source: ME, ..good },
    ];
    assert_eq!(store.take(NOW, UNIX, u64::MAX, useless.into_iter().map(Item::Fact).collect()), 0);
    assert!(store.is_empty());
}
