//! Versions: what a file may say, what contradicts what, what two neighbours both allow, how one comes into force.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngSeed};
use silverspindle_rules::*;

fn rules(text: &str) -> Rules {
    read(text).unwrap_or_else(|faults| panic!("{faults:?}"))
}

fn state(text: &str) -> State {
    State::default().propose(rules(text), ("staff", "first"), 0, None).unwrap().settled()
}

const OVER: Micros = 2_000_000;

fn sight(told: &[(&str, Option<u64>)]) -> Sight {
    let told = told.iter().map(|(name, number)| {
        let told = number.map(|number| Told { life: 1, number, ..Told::default() });
        ((*name).to_owned(), told)
    });
    Sight { routers: told.collect(), ..Sight::default() }
}

fn next(watch: &mut Watch, now: Micros, at: u64, state: &State, sight: &Sight) -> (Option<State>, Vec<Why>) {
    let shares =
        Shares { current: sight.routers.keys().map(|n| (n.clone(), 1)).collect(), ..Shares::default() };
    let (step, why) = watch.next(now, [at, 0], (state, &shares), sight, OVER, Guards::default());
    match step {
        Some(Step::State(state)) => (Some(*state), why),
        _ => (None, why),
    }
}

/// All faults come at once, each with its line and key; what is shown reads back the same.
#[test]
fn a_file_says_all_its_faults_and_reads_back() {
    let text = "office-fills 0\nweight 3\nfill-from 1 2\nfill-from 2 3 office\nfill-from 3 1\nhalf-life-pace 1parsec\n\
                deny-member 7\ndeny-member 7\nrefuse 5\nalone maybe\n";
    let faults: Vec<String> = read(text).unwrap_err().iter().map(ToString::to_string).collect();
    let starts = [
        "1: office-fills: must lie between",
        "2: weight: takes a member's id and per cent",
        "3: fill-from: fills go round in a circle",
        "6: half-life-pace: \"1parsec\" is no duration",
        "8: deny-member: stands on line 7 already",
        "9: refuse: can't be agreed on",
        "10: alone: \"maybe\" is none of",
    ];
    assert_eq!(faults.len(), starts.len(), "{faults:?}");
    assert!(faults.iter().zip(starts).all(|(fault, start)| fault.starts_with(start)), "{faults:?}");
    let all = "office-fills 200\nparent-fills 90\nrefuse-class 'it''s'\nrefuse-group 4\ndeny-member 7\n\
               fill-from 1 office 2\nweight 3 50\nhalf-life-health 1m30s\nalone serve\n";
    assert_eq!(rules(&show(&rules(all))), rules(all));
    let long: String = (0..40_000).map(|n| format!("deny-member {}\n", 1_000_000 + n)).collect();
    let fault = read(&long).unwrap_err();
    assert!(
        fault[0].problem.contains("bytes"),
        "a list that can't be agreed on is refused at the bound: {fault:?}"
    );
}

/// Two lists that are harmless each and circular together contradict each other; where nothing is left that both allow
/// there is no reading, and the key is named.
#[test]
fn what_contradicts_what_and_what_both_allow() {
    let (a, b) = (rules("fill-from 1 2 office\n"), rules("fill-from 2 1 office\n"));
    let clash = a.clashes(&b);
    assert!(clash.len() == 1 && clash[0].what.contains("circle: 1 from 2 from 1"), "{clash:?}");
    assert_eq!(
        a.both(&b).unwrap(),
        rules("fill-from 1 office\nfill-from 2 office\n"),
        "nobody fills along it"
    );
    let only = rules("fill-from 2 1\n").both(&a).unwrap_err();
    assert!(only.what.contains("circle"), "{only}");
    let c = rules("fill-from 1 3\n");
    assert_eq!(a.both(&c).unwrap_err().key, "fill-from");
    assert!(rules("weight 1 50\n").clashes(&rules("weight 1 60\nhalf-life-pace 5s\n")).is_empty());
    let keys: Vec<String> =
        rules("office-fills 10\nrefuse-class page\ndeny-member 1\nrefuse-group 3\nalone serve\n")
            .clashes(&Rules::default())
            .into_iter()
            .map(|clash| clash.key)
            .collect();
    assert_eq!(keys, ["office-fills", "refuse-class", "refuse-group", "deny-member", "alone"]);
}

/// A version waits for the one before, names what it builds on, comes apart where it must, can't be tried where it must
/// not differ, and can't deny more while routers serve on alone.
#[test]
fn proposals_that_can_not_be_are_refused_with_the_reason() {
    let one = state("weight 1 50\n");
    let who = ("staff", "");
    let pending = one.propose(rules("weight 1 60\n"), who, 1, None).unwrap();
    assert_eq!(pending.next.as_ref().unwrap().way, Way::AtOnce);
    assert_eq!(pending.propose(rules(""), who, 1, None), Err(Refused::OnItsWay(2)));
    assert!(matches!(
        one.propose(rules(""), who, 0, None),
        Err(Refused::Overtaken { builds_on: 0, holds: 1 })
    ));
    assert_eq!(one.propose(rules("weight 1 50\n"), who, 1, None), Err(Refused::Same));
    let denies = rules("weight 1 50\ndeny-member 4\n");
    assert_eq!(one.propose(denies.clone(), who, 1, None).unwrap().next.unwrap().way, Way::Apart);
    assert!(matches!(one.propose(denies.clone(), who, 1, Some(Way::AtOnce)), Err(Refused::MustBeApart(_))));
    let trial = Way::Trial(Trial { per_mille: 200, lasts: OVER, margin: 20 });
    assert!(matches!(one.propose(denies, who, 1, Some(trial)), Err(Refused::NoTrial(_))));
    let alone = state("alone serve\n");
    let more = alone.propose(rules("alone serve\ndeny-member 4\n"), who, 1, None);
    assert_eq!(more, Err(Refused::Alone("deny-member")));
    assert!(alone.propose(rules("alone serve\nweight 1 9\n"), who, 1, None).is_ok());
}

/// Apart: from its decision on routers act on what both allow; it holds once all have said so, or none can act on the
/// one before; with routers that serve on alone only their word counts; who can't carry it stops it.
#[test]
fn a_version_that_comes_apart_waits_for_all() {
    let one = state("deny-member 1\n");
    let two = one.propose(rules("deny-member 2\n"), ("staff", ""), 1, None).unwrap();
    let reading = two.reading("a", true);
    assert_eq!((reading.of, reading.rules.deny_member.len()), (Group::Both(1, 2), 2));
    let mut watch = Watch::default();
    let late = sight(&[("a", Some(50)), ("b", Some(49)), ("c", None)]);
    let (step, why) = next(&mut watch, 10, 50, &two, &late);
    assert_eq!((step, why), (None, vec![Why::Held(2, vec!["b".to_owned(), "c".to_owned()])]));
    assert!(next(&mut watch.clone(), 10 + OVER - 1, 60, &two, &late).0.is_none());
    let held = next(&mut watch.clone(), 10 + OVER, 60, &two, &late).0.unwrap();
    assert_eq!((held.current.head.number, held.next.is_none()), (2, true));
    assert_eq!(held.reading("a", true).of, Group::One(2));
    let all = sight(&[("a", Some(50)), ("b", Some(51)), ("c", Some(50))]);
    assert!(next(&mut watch.clone(), 20, 60, &two, &all).0.is_some(), "by their word");
    let mut beside = all.clone();
    beside.beside.insert("b".to_owned());
    assert!(next(&mut watch.clone(), 20, 60, &two, &beside).0.is_none(), "an earlier life may act besides");
    let mut cannot = all.clone();
    cannot.routers.get_mut("b").unwrap().as_mut().unwrap().cannot = Some("office-fills: too low".to_owned());
    let (step, why) = next(&mut watch.clone(), 100 * OVER, 60, &two, &cannot);
    assert!(step.is_none() && matches!(&why[..], [Why::Cannot(who, _)] if who == "b"), "{why:?}");
    let alone = state("alone serve\n").propose(rules(""), ("staff", ""), 1, None).unwrap();
    let mut watch = Watch::default();
    next(&mut watch, 0, 50, &alone, &late);
    assert!(next(&mut watch, 100 * OVER, 60, &alone, &late).0.is_none(), "who serves on alone has not heard");
    assert!(next(&mut watch, 100 * OVER, 60, &alone, &all).0.is_some());
}

/// A trial is acted on by its share, the same at every router; worse than the others it is taken back, and told so;
/// otherwise all act on it; without enough answers it is taken back as well.
#[test]
fn a_trial_is_taken_back_where_it_is_worse() {
    let one = state("weight 1 50\n");
    let way = Way::Trial(Trial { per_mille: 500, lasts: OVER, margin: 50 });
    let two = one.propose(rules("weight 1 60\n"), ("staff", ""), 1, Some(way)).unwrap();
    let names: Vec<String> = (0..40).map(|n| format!("n{n}")).collect();
    let trying = names.iter().filter(|name| two.reading(name, true).of == Group::One(2)).count();
    assert!((10..30).contains(&trying), "{trying} of 40");
    // Each router has answered a hundred thousand before, badly; from then on a hundred each half second.
    let seen = |in_time: u64, round: u64| {
        let told = names.iter().map(|name| {
            let good = if two.is_trying(name) { in_time } else { 95 };
            let served = [100_000 + 100 * round, 50_000 + good * round];
            (name.clone(), Some(Told { life: 1, number: 60, served, ..Told::default() }))
        });
        Sight { routers: told.collect(), ..Sight::default() }
    };
    let play = |in_time: u64, until: Micros| {
        let mut watch = Watch::default();
        let rounds = (0..until).step_by(500_000).enumerate();
        let mut at = |(round, now)| next(&mut watch, now, 50, &two, &seen(in_time, round as u64)).0;
        rounds.into_iter().find_map(&mut at)
    };
    let back = play(80, 10 * OVER).unwrap();
    assert!(back.next.is_none() && back.current.head.number == 1);
    assert_eq!(back.history.back().unwrap().returned.as_deref(), Some("in time 800 of 1000, the others 950"));
    let on = play(93, 10 * OVER).unwrap();
    assert_eq!(on.next.unwrap().way, Way::AtOnce);
    let quiet = sight(&names.iter().map(|name| (name.as_str(), None)).collect::<Vec<_>>());
    let mut watch = Watch::default();
    let ended = (0..5 * OVER).step_by(500_000).find_map(|now| next(&mut watch, now, 50, &two, &quiet).0);
    assert!(ended.unwrap().next.is_none(), "nothing to judge by");
    assert_eq!(
        back.propose(rules("weight 1 70\n"), ("staff", ""), 1, None)
            .unwrap()
            .next
            .unwrap()
            .version
            .head
            .number,
        3
    );
}

/// What held before is kept whole as far as there is room, the oldest dropped first.
#[test]
fn versions_that_held_are_kept_within_bounds() {
    let mut past = Past::default();
    for number in 1..20 {
        let list: String = (0..5000).map(|n| format!("deny-member {}\n", 100_000 * number + n)).collect();
        let head = Head { number, ..Head::default() };
        past = past.with(&Version { head, rules: rules(&list) }).unwrap();
    }
    assert!(past.spell().len() <= 100 * 1024 && past.rules(19).is_some() && past.rules(1).is_none());
    assert_eq!(
        past.with(&Version { head: Head { number: 19, ..Head::default() }, rules: Rules::default() }),
        None
    );
    assert_eq!(Past::read(&past.spell()), past);
}

/// In any time a bucket lets its rate through and one burst more, however it is asked.
#[test]
fn a_bucket_keeps_to_its_rate() {
    let (mut bucket, mut taken) = (Bucket::default(), 0u64);
    for now in (0..10_000_000).step_by(1000) {
        taken += u64::from(bucket.take(now, 20_000_000));
    }
    assert!((195..=205).contains(&taken), "{taken} of 20 a second in ten seconds");
    assert!(!Bucket::default().take(5, 0), "no share, nothing");
    let mut small = Bucket::default();
    let taken = (0..100_000_000).step_by(1000).filter(|now| small.take(*now, 500_000)).count();
    assert!((49..=51).contains(&taken), "{taken} of a half a second in a hundred seconds");
}

proptest! {
    #![proptest_config(Cases { cases: 200, rng_seed: RngSeed::Fixed(11), ..Cases::default() })]

    /// Shares never come to more than the whole, also by the lesser of two, whatever is asked for.
    #[test]
    fn shares_never_come_to_more_than_the_whole(
        one in proptest::collection::btree_map("[a-f]{1,3}", 0u32.., 0..40),
        two in proptest::collection::btree_map("[a-f]{1,3}", 0u32..5000, 0..40),
    ) {
        let sum = |shares: &BTreeMap<String, u32>| shares.values().map(|n| u64::from(*n)).sum::<u64>();
        let (first, second) = (share_out(&one), share_out(&two));
        prop_assert!(sum(&first) <= u64::from(WHOLE) && sum(&second) <= u64::from(WHOLE));
        let shares = Shares { current: first, ..Shares::default() };
        if let Some(on_its_way) = shares.propose(second) {
            let lesser: u64 = one.keys().chain(two.keys()).collect::<std::collections::BTreeSet<_>>().into_iter()
                .map(|name| u64::from(on_its_way.of(name, true))).sum();
            prop_assert!(lesser <= u64::from(WHOLE));
            prop_assert_eq!(Shares::read(&on_its_way.spell()), Some(on_its_way));
        }
    }

    /// What two versions both allow is allowed by each, and a file says nothing that does not read back.
    #[test]
    fn both_allow_no_more_than_each(
        denied in proptest::collection::vec(0u32..9, 0..6), other in proptest::collection::vec(0u32..9, 0..6),
        limits in proptest::array::uniform4(proptest::option::of(1u64..500)),
        from in proptest::collection::vec((0u32..4, 0u32..4), 0..4),
    ) {
        let set = |denied: &[u32], office, parent, from: &[(u32, u32)]| {
            let mut rules = Rules { office_fills: office, parent_fills: parent, ..Rules::default() };
            rules.deny_member.extend(denied);
            for (zone, to) in from {
                rules.fill_from.entry(*zone).or_default().extend([Place::Office, Place::Zone(*to)]);
            }
            rules
        };
        let (a, b) = (set(&denied, limits[0], limits[1], &from), set(&other, limits[2], limits[3], &from[..from.len() / 2]));
        let both = a.both(&b).unwrap();
        for one in [&a, &b] {
            prop_assert!(one.deny_member.is_subset(&both.deny_member));
            prop_assert!(one.office_fills.is_none_or(|n| both.office_fills.is_some_and(|m| m <= n)));
            for zone in 0..4 {
                for to in 0..4 {
                    prop_assert!(!both.may_fill(zone, Place::Zone(to)) || one.may_fill(zone, Place::Zone(to)));
                }
            }
            prop_assert!(both.narrowed_by(one).is_none());
            if check(one).is_ok() {
                prop_assert_eq!(&read(&show(one)).unwrap(), one);
            }
        }
    }
}
