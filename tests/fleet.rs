//! Behaviour that is harmless in one director and harmful in many: several instances on one simulated clock.

mod common;

use bitternhold::*;
use common::*;

/// One world for each of the directors.
fn worlds(directors: u32) -> Vec<World> {
    let settings = Settings { directors, zone_directors: vec![0, directors], ..settings() };
    (0..directors).map(|index| World::new(Settings { index, ..settings.clone() })).collect()
}

/// Number of fills that may go on to the origin when each director gets requests for `each` objects and nothing is
/// answered.
fn origin_fills(fleet: &mut [World], each: u128) -> usize {
    let fills = |w: &mut World| -> usize {
        let sent = (0..each).flat_map(|id| sends(&w.ask(id + 1, &format!("o{id}"))));
        sent.filter(|s| s.source != s.member && !s.mode.held_only).count()
    };
    fleet.iter_mut().map(fills).sum()
}

/// Guards against an initial limit per director: when all copies become invalid at once, the origin would get that
/// limit times the number of directors before the first fill is late.
#[test]
fn the_initial_limit_is_shared_by_the_fleet() {
    for (directors, allowed) in [(3, 120), (30, 120), (100, 400), (300, 1200)] {
        let sum = origin_fills(&mut worlds(directors), 50);
        assert!(sum <= allowed && sum * 10 >= allowed * 9, "{directors} directors: {sum}");
    }
}

/// Guards against a fleet that detects congestion at the origin only by answers that arrive when it has lasted for
/// long: a lookup that finds the fill running proves it late, so the fill still counts as in flight and its limit
/// falls.
#[test]
fn a_fill_found_running_is_late_and_still_counts_as_in_flight() {
    let remaining_fills = |found: Option<Note>| {
        let mut settings = Settings { directors: 100, second_copies: true, join_fills: false, ..settings() };
        settings.zone_directors = vec![0, 10];
        let mut w = World::new(settings);
        let mut next = 0;
        for _ in 0..2 {
            next += 1;
            let out = w.ask(next, &format!("slow{next}"));
            let member = sent(&out).member;
            let Some(Action::Timer { delay, token }) = out.iter().find(|a| matches!(a, Action::Timer { .. }))
            else {
                panic!("attempt without a timer: {out:?}")
            };
            w.now += *delay;
            if !sends(&w.handle(Event::Timer { token: *token })).is_empty() {
                let look = Outcome { note: found, ..outcome(next, 1, member, Status::Miss) };
                w.handle(Event::Outcome(look));
            }
        }
        origin_fills(std::slice::from_mut(&mut w), 50)
    };
    // No copy and no fill: the answers were lost, and the limit of four is free for new fills. Running: it is late.
    assert_eq!((remaining_fills(None), remaining_fills(Some(Note::Joined))), (4, 0));
}

/// Requests an object for each id; fills from parent 11 fail, as it is gone, and all others are in time.
fn with_a_dead_parent(w: &mut World, ids: std::ops::Range<u128>) {
    for id in ids {
        let (mut out, mut attempt) = (w.ask(id, &format!("o{id}")), 0);
        while let Some(s) = sends(&out).first().copied() {
            let dead = s.source == MemberId(11);
            let (status, note) =
                if dead { (Status::Full, Note::SourceUnreachable) } else { (Status::Ok, Note::Filled) };
            out = w.handle(Event::Outcome(Outcome {
                note: Some(note),
                ..outcome(id, attempt, s.member, status)
            }));
            attempt += 1;
        }
    }
}

/// Guards against a lost parent that stops the fills from all others: its refusals count against it alone, and are no
/// sign of congestion at the location's link or the origin.
#[test]
fn refusals_of_a_lost_parent_do_not_reduce_the_limit_of_all_fills() {
    let mut w = World::new(settings());
    with_a_dead_parent(&mut w, 1..6);
    assert!(origin_fills(std::slice::from_mut(&mut w), 40) >= 39);
}

/// Guards against a fleet that fills from a lost parent as long as the healthy ones have no room: a quarantined parent
/// must not be a source while the origin is listed.
#[test]
fn the_origin_is_preferred_to_a_quarantined_parent() {
    let mut members = fleet();
    let cold = members.iter_mut().find(|m| m.id == MemberId(12)).expect("the second parent");
    (cold.started, cold.weight) = (100 * S, 0.01);
    let mut w = World::with(settings(), members);
    with_a_dead_parent(&mut w, 1..20);
    let sources: Vec<_> =
        (100..120).flat_map(|id| sends(&w.ask(id, &format!("p{id}")))).map(|s| s.source).collect();
    assert!(sources.iter().filter(|s| **s == MemberId(20)).count() >= 18, "{sources:?}");
    // Without an origin in the list a quarantined parent is better than none.
    let origin = Member { lifecycle: Lifecycle::Gone, ..member(20, ORIGIN) };
    w.handle(Event::Members { kind: ListKind::Delta, members: vec![origin] });
    assert_eq!(sent(&w.ask(200, "q")).source, MemberId(11));
}
