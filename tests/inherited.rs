//! Observations inherited from other directors are only initial estimates, which a director's own observations soon
//! outweigh.

mod common;

use bitternhold::*;
use common::*;

fn inherit(world: &mut World, members: Vec<InheritedMember>) {
    world.handle(Event::Inherited(Inherited { members, ..Inherited::default() }));
}

fn faulty(id: u64, quarantine: Micros) -> InheritedMember {
    InheritedMember {
        id: MemberId(id),
        fault_rate: 0.9,
        fault_rate_weight: 0.9,
        quarantine,
        ..InheritedMember::default()
    }
}

/// Number of first attempts that went to this cache, of requests for 60 objects.
fn first_attempts(world: &mut World, from: u128, cache: u64) -> usize {
    (from..from + 60).filter(|id| world.serve(*id, &format!("o{id}")).member == MemberId(cache)).count()
}

/// Guards against a new director that detects a faulty member all over again: it quarantines the member at once, and
/// puts it on probation afterwards.
#[test]
fn a_member_quarantined_by_others_gets_no_attempts_until_its_probation() {
    let mut world = World::new(settings());
    inherit(&mut world, vec![faulty(1, 3 * S)]);
    assert_eq!(first_attempts(&mut world, 1, 1), 0);
    world.now += 4 * S;
    assert!(first_attempts(&mut world, 100, 1) > 5, "trusted again after successful answers");
}

/// Guards against outdated reports: the director's own observations take precedence.
#[test]
fn inherited_observations_count_little_for_a_member_with_many_attempts() {
    let mut world = World::new(settings());
    assert!(first_attempts(&mut world, 1, 1) > 5);
    inherit(&mut world, vec![faulty(1, 3 * S)]);
    assert!(first_attempts(&mut world, 100, 1) > 5);
}

#[test]
fn observations_of_an_earlier_process_change_nothing() {
    let mut world = World::new(settings());
    inherit(&mut world, vec![InheritedMember { started: 5, ..faulty(1, 3 * S) }]);
    assert!(first_attempts(&mut world, 1, 1) > 5);
}

/// A limit that others found applies to a new director before it has detected the congestion itself.
#[test]
fn an_inherited_limit_applies_from_the_first_request() {
    let open = |prior: Option<f64>| {
        let mut world = World::new(Settings { zone_directors: vec![0, 1], ..settings() });
        if let Some(limit) = prior {
            let of = |id| InheritedMember {
                id: MemberId(id),
                concurrency: InheritedLimit { limit, late_rate: 0.0, weight: 1.0 },
                ..InheritedMember::default()
            };
            inherit(&mut world, (1..=4).map(of).collect());
        }
        (1..=60).filter(|id| !sends(&world.ask(*id, &format!("o{id}"))).is_empty()).count()
    };
    assert_eq!((open(None), open(Some(4.0))), (60, 16));
}

/// Guards against filling the caches again after a restart: objects that others have seen are kept from the first
/// request on.
#[test]
fn objects_seen_by_others_are_kept_at_once_and_not_reported_again() {
    let mut donor = World::with(Settings { zone_directors: vec![0, 1], ..settings() }, fleet());
    donor.serve(1, "popular");
    let report = donor.director.report(donor.now);
    assert_eq!(report.seen_ids[0].len(), 1);
    let mut world = World::with(Settings { zone_directors: vec![0, 1], ..settings() }, fleet());
    world
        .handle(Event::Inherited(Inherited { seen_ids: report.seen_ids[0].clone(), ..Inherited::default() }));
    assert_eq!(world.serve(1, "popular").keep, Keep::Middle);
    assert_eq!(world.serve(2, "other").keep, Keep::Pass);
    // A director reports only the objects requested of it, not the inherited ones.
    let mut idle = World::with(settings(), fleet());
    idle.handle(Event::Inherited(Inherited { seen_ids: report.seen_ids[0].clone(), ..Inherited::default() }));
    assert_eq!(idle.director.report(idle.now).seen_ids, [Vec::<u64>::new(), vec![]]);
}

/// Only members at which an attempt has ended are reported, with the number of attempts.
#[test]
fn a_report_contains_only_members_with_attempts() {
    let mut world = World::new(settings());
    let cache = world.serve(1, "a").member;
    let report = world.director.report(world.now);
    let caches: Vec<_> = report.members.iter().map(|m| (m.id, m.attempts_ended)).collect();
    assert_eq!(caches, [(cache, 1)]);
}

/// Guards the rules: no inherited observation makes the director use a member that is unknown or not listed as ready.
#[test]
fn an_inherited_observation_brings_no_member_into_use() {
    let mut fleet = fleet();
    fleet[0].lifecycle = Lifecycle::Draining;
    let mut world = World::with(settings(), fleet);
    let healthy = |id| InheritedMember {
        id: MemberId(id),
        fault_rate_weight: 1.0,
        concurrency: InheritedLimit { limit: 1e6, late_rate: 0.0, weight: 1.0 },
        ..faulty(id, 0)
    };
    inherit(&mut world, vec![healthy(1), healthy(77)]);
    assert_eq!(first_attempts(&mut world, 1, 1) + first_attempts(&mut world, 100, 77), 0);
}

/// The limits that others found for all fills, and for fills by the origin, apply to a new director's first fills.
#[test]
fn an_inherited_limit_of_fills_applies() {
    let fills = |inherited: Option<[f64; 2]>| {
        let mut world = World::new(Settings { zone_directors: vec![0, 1], ..settings() });
        if let Some(limits) = inherited {
            let fills = limits.map(|limit| InheritedLimit { limit, late_rate: 0.5, weight: 1.0 });
            world.handle(Event::Inherited(Inherited { fills, ..Inherited::default() }));
        }
        let sent: Vec<Sent> = (1..=40).flat_map(|id| sends(&world.ask(id, &format!("o{id}")))).collect();
        let filled = sent.iter().filter(|s| s.source != s.member);
        (filled.clone().filter(|s| !s.mode.held_only).count(), filled.count())
    };
    // Without inherited limits: the new director's share, one of two, of the initial limit.
    assert_eq!(fills(None), (40, 40));
    assert_eq!(fills(Some([12.0, 5.0])), (5, 12));
}
