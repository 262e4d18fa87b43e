#![allow(missing_docs)]
//! What a merge takes: 100 instances' words on 1,000 members, and a newcomer's priors from them.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use silverspindle_knowledge::store::{CLOCK_START, HalfLives, Store};
use silverspindle_knowledge::*;

const UNIX: Micros = 1_796_000_000_000_000;

fn words(instance: u64, members: u64) -> Vec<Item> {
    let source = Source { instance: InstanceId(instance), incarnation: 1 };
    let record = |subject, value| Record {
        subject,
        source,
        seq: 1,
        age: 1_000 * instance,
        up: 600_000_000,
        observations: 50,
        hops: 0,
        value,
    };
    let member = |id: u64| {
        let of = |aspect| Subject::Member(id, aspect);
        [
            record(of(Aspect::Listed), Value::Listed { lifecycle: Lifecycle::Ready, started: 0 }),
            record(of(Aspect::Health), Value::Health { started: 0, ill: 0.1, aside: 0 }),
            record(of(Aspect::Pace), Value::Pace { started: 0, limit: 30.0, lateness: 0.1 }),
        ]
    };
    let ids =
        |n: u64| Ids::new((0..4096).map(|i| (i * 31 + n + instance * 7) * 0x9e37_79b9_7f4a_7c15).collect());
    let filter = Value::Filter { active: ids(0), passive: ids(1) };
    (0..members).flat_map(member).chain([record(Subject::Filter, filter)]).map(Item::Fact).collect()
}

fn fresh() -> Store {
    let me = Source { instance: InstanceId(1_000_000), incarnation: 1 };
    Store::new(me, HalfLives::default(), 6_500_000)
}

fn merge(c: &mut Criterion) {
    for (instances, members) in [(1, 1000), (100, 1000)] {
        let all: Vec<Vec<Item>> = (0..instances).map(|i| words(i, members)).collect();
        c.bench_function(&format!("take {instances} instances x {members} members"), |b| {
            let run = |all: Vec<Vec<Item>>| {
                let mut store = fresh();
                for items in all {
                    store.take(CLOCK_START, UNIX, 0, items);
                }
                store
            };
            b.iter_batched(|| all.clone(), run, BatchSize::PerIteration);
        });
        let mut store = fresh();
        for items in all {
            store.take(CLOCK_START, UNIX, 0, items);
        }
        let (given, bytes) = protocol::answer(store.give(CLOCK_START), protocol::MOST_TRANSFER);
        let bytes: usize = bytes.iter().map(Vec::len).sum();
        println!("{} facts held; an answer of {given} items in {bytes} bytes", store.len());
        let started: BTreeMap<u64, Micros> = (0..members).map(|id| (id, 0)).collect();
        c.bench_function(&format!("priors {instances} instances x {members} members"), |b| {
            b.iter(|| black_box(store.priors(CLOCK_START, &started)));
        });
        c.bench_function(&format!("give {instances} instances x {members} members"), |b| {
            b.iter(|| protocol::answer(store.give(CLOCK_START), protocol::MOST_TRANSFER).0);
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).measurement_time(std::time::Duration::from_secs(1));
    targets = merge
}
criterion_main!(benches);
