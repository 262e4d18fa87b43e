//! Placement by the shared hash: cache and parent of an object, effects of the cold-start ramp and of list changes.

mod common;
use bitternhold::*;
use common::*;

/// First attempts of requests for `n` objects.
fn first_attempts(world: &mut World, n: u128) -> Vec<Sent> {
    (0..n).map(|i| world.serve(i, &format!("object-{i}"))).collect()
}

#[test]
fn all_directors_choose_the_same_members_and_spread_the_objects() {
    let (mut a, mut b) = (World::new(settings()), World::new(Settings { index: 1, ..settings() }));
    b.director = Director::new(99, Settings { index: 1, ..settings() });
    b.handle(Event::Members { kind: ListKind::Cached, members: fleet() });
    let (x, y) = (first_attempts(&mut a, 200), first_attempts(&mut b, 200));
    assert!(x.iter().zip(&y).all(|(x, y)| (x.member, x.source) == (y.member, y.source)));
    for id in 1..=4 {
        assert!(x.iter().filter(|s| s.member == MemberId(id)).count() > 25);
    }
}

#[test]
fn a_leaving_cache_moves_only_its_own_objects() {
    let mut before = World::new(settings());
    let mut after = World::with(settings(), fleet().into_iter().filter(|m| m.id.0 != 2).collect());
    for (x, y) in first_attempts(&mut before, 200).iter().zip(first_attempts(&mut after, 200)) {
        assert!(x.member == y.member || x.member == MemberId(2));
        assert_eq!(x.source, y.source);
    }
}

#[test]
fn all_caches_fill_an_object_from_the_same_parent() {
    let mut here = World::new(settings());
    let mut there = World::new(Settings { zone: 0, zone_hub: vec![1, 1], ..settings() });
    let mut caches = fleet();
    caches.iter_mut().for_each(|m| m.zone = 0);
    there.handle(Event::Members { kind: ListKind::Full, members: caches });
    for (x, y) in first_attempts(&mut here, 100).iter().zip(first_attempts(&mut there, 100)) {
        assert_eq!(x.source, y.source);
        assert!([11, 12].contains(&x.source.0));
    }
}

#[test]
fn the_share_of_a_cache_rises_after_its_start() {
    let share = |age: Micros| {
        let mut members = fleet();
        members[0].started = 100 * S - age;
        // A large budget, so that only the ramp limits the share.
        let mut w = World::with(Settings { overload_multiple: 1e6, ..settings() }, members);
        first_attempts(&mut w, 400).iter().filter(|s| s.member == MemberId(1)).count()
    };
    let (young, middle, old) = (share(100 * MS), share(5 * S), share(10 * S));
    assert!(young * 2 < middle && middle < old, "{young} {middle} {old}");
}

#[test]
fn an_overloaded_cache_is_avoided() {
    let mut w = World::new(settings());
    let members: Vec<MemberId> = (0..20).map(|i| sent(&w.ask(i, "hot")).member).collect();
    assert!(members.iter().any(|m| *m != members[0]));
}

#[test]
fn parts_of_a_segmented_object_spread_over_caches_but_share_a_parent() {
    let mut w = World::new(Settings { classes: vec![Class { segmented: true, ..class() }], ..settings() });
    let mut seen = Vec::new();
    for part in 0..16 {
        let r = Request { part, ..request(u128::from(part), "video", w.now) };
        let s = sent(&w.handle(Event::Request(r)));
        w.end(u128::from(part), 0, s.member, Status::Ok);
        seen.push(s);
    }
    assert!(seen.iter().any(|s| s.member != seen[0].member));
    assert!(seen.iter().all(|s| s.source == seen[0].source));
    assert_ne!(seen[0].keep, Keep::Middle);
    assert_eq!(seen[1].keep, Keep::Middle, "the filter's id is that of the object, not of its part");
}

#[test]
fn without_parents_the_origin_is_the_source() {
    let mut w = World::with(
        Settings { parent_kind: None, ..settings() },
        fleet().into_iter().filter(|m| m.kind != PARENT).collect(),
    );
    assert_eq!(w.serve(1, "a").source, MemberId(20));
}
