//! Orders and their steps: what is refused with which figure, what waits for whom, what is taken back.

use std::collections::BTreeSet;

use silverspindle_work::*;

fn rules() -> Rules {
    Rules { over: 4_000_000, ..Rules::new(250, 2, 2_000_000, 2_000_000, 0) }
}

/// Four boxes of 100 in place 1 that carry 40 each, two parents in place 2, three electors and a router in place 1.
fn sight() -> Sight {
    let mut sight = Sight { leader: "n0".to_owned(), ..Sight::default() };
    let seen = |place, load| Seen { place, capacity: 100, state: State::Up, load };
    sight.machines.extend((1..=4).map(|n| (Machine::Box(n), seen(1, 40))));
    sight.machines.extend((9..=10).map(|n| (Machine::Parent(n), seen(2, 30))));
    for n in 0..4 {
        let name = format!("n{n}");
        sight.machines.insert(Machine::Router(name.clone()), seen(1, 10));
        sight.routers.insert(name.clone(), Some(Heard { number: 100, open: BTreeSet::new() }));
        if n < 3 {
            sight.electors.insert(name, true);
        }
    }
    sight
}

fn order(id: u64, machines: &[Machine], together: bool) -> Order {
    Order { id, machines: machines.to_vec(), together, reason: "fans".to_owned(), by: "staff".to_owned() }
}

fn boxes(ids: &[u32]) -> Vec<Machine> {
    ids.iter().map(|id| Machine::Box(*id)).collect()
}

/// Runs steps until nothing more is to do; the stages that each step led to.
fn steps(work: &mut Work, watch: &mut Watch, sight: &Sight, now: Micros) -> Vec<Why> {
    let mut all = Vec::new();
    while let (Some(new), why) = watch.next(now, 50, work, sight, &rules()) {
        *work = new;
        all.extend(why);
        assert!(all.len() < 100, "it goes round in circles: {all:?}");
    }
    all
}

/// One after the other, two of a place at a time at most, each out only by the routers' word, and back warm.
#[test]
fn an_order_goes_its_way_within_what_the_place_can_bear() {
    let (mut sight, mut watch) = (sight(), Watch::default());
    let mut work = Work::default().order_seen(order(7, &boxes(&[1, 2, 3]), false), &sight, &rules()).unwrap();
    assert_eq!(
        work.order_seen(order(7, &boxes(&[1, 2, 3]), false), &sight, &rules()).unwrap(),
        work,
        "the same order"
    );
    // 160 and a quarter need 200: two of the four boxes can go.
    steps(&mut work, &mut watch, &sight, 0);
    assert!(work.at(Stage::Out).eq(&boxes(&[1, 2])) && work.at(Stage::Waiting).eq(&boxes(&[3])));
    assert!(!work.usable(&Machine::Box(1)) && work.usable(&Machine::Box(3)));
    assert_eq!(work.back(&Machine::Box(3)), Err(Refused::NotOut(Machine::Box(3))));
    // Back, and cold: still missing, so the third waits until it is warm.
    work = work.back(&Machine::Box(1)).unwrap();
    assert_eq!(work.back(&Machine::Box(1)).unwrap(), work, "told twice");
    sight.machines.get_mut(&Machine::Box(1)).unwrap().state = State::Cold;
    steps(&mut work, &mut watch, &sight, 0);
    assert!(work.usable(&Machine::Box(1)) && work.at(Stage::Waiting).eq(&boxes(&[3])));
    sight.machines.get_mut(&Machine::Box(1)).unwrap().state = State::Up;
    steps(&mut work, &mut watch, &sight, 0);
    assert!(work.at(Stage::Out).eq(&boxes(&[2, 3])));
    for id in [2, 3] {
        work = work.back(&Machine::Box(id)).unwrap();
    }
    steps(&mut work, &mut watch, &sight, 0);
    assert!(work.is_done(), "the order has ended");
}

/// A router that has not heard, or has something open, holds a machine; one that can't be reached for as long as
/// anybody may act on what it knew. Where routers serve on alone, it holds it until it is forgotten.
#[test]
fn a_machine_is_out_only_once_nobody_can_use_it() {
    let mut sight = sight();
    let work = Work::default().order_seen(order(7, &boxes(&[1]), false), &sight, &rules()).unwrap();
    let asked = Watch::default().next(0, 49, &work, &sight, &rules()).0.unwrap();
    let held = |sight: &Sight, rules: &Rules, wait: Micros| {
        let mut watch = Watch::default();
        watch.next(10, 50, &asked, sight, rules);
        watch.next(10 + wait, 60, &asked, sight, rules)
    };
    let open = BTreeSet::from([Machine::Box(1)]);
    for heard in [Some(Heard { number: 49, open: BTreeSet::new() }), Some(Heard { number: 50, open }), None] {
        sight.routers.insert("n3".to_owned(), heard);
        let over = rules().over;
        let waits = vec![Why::Held(Machine::Box(1), vec!["n3".to_owned()])];
        assert_eq!(held(&sight, &rules(), over - 1), (None, waits.clone()));
        assert!(held(&sight, &rules(), over).0.is_some());
        assert_eq!(held(&sight, &Rules { alone: Alone::Hold, ..rules() }, 100 * over), (None, waits));
    }
    sight.routers.remove("n3");
    assert!(held(&sight, &Rules { alone: Alone::Hold, ..rules() }, 0).0.is_some(), "forgotten by staff");
}

/// A machine taken back and asked again is waited for anew, by a leader too that saw neither; and who was struck off the
/// roll may act for as long as who is not heard.
#[test]
fn a_second_turn_and_a_router_struck_off_are_waited_for() {
    let mut sight = sight();
    sight.routers.insert("n3".to_owned(), None);
    let mut watch = Watch::default();
    let work = Work::default().order_seen(order(7, &boxes(&[1]), false), &sight, &rules()).unwrap();
    let asked = watch.next(0, 49, &work, &sight, &rules()).0.unwrap();
    watch.next(0, 50, &asked, &sight, &rules());
    let back = watch.next(0, 50, &asked.stop(true), &sight, &rules()).0.unwrap();
    let again = watch.clone().next(1000, 51, &back.stop(false), &sight, &rules()).0.unwrap();
    let over = rules().over;
    assert_eq!(
        watch.next(over, 52, &again, &sight, &rules()).0,
        None,
        "the first turn's time does not count"
    );
    assert!(watch.next(2 * over, 52, &again, &sight, &rules()).0.is_some());
    // n3 is forgotten: all others have let go, it may not have.
    let mut watch = Watch::default();
    watch.next(0, 50, &asked, &sight, &rules());
    sight.routers.remove("n3");
    sight.struck = 51;
    assert_eq!(watch.next(1000, 51, &asked, &sight, &rules()).0, None);
    assert!(watch.next(1000 + over, 51, &asked, &sight, &rules()).0.is_some());
}

/// A box that dies while another is asked takes that one back; nothing more goes out while the place is short; staff's
/// stop does the same.
#[test]
fn a_place_that_becomes_short_takes_back_what_is_not_out() {
    let (mut sight, mut watch) = (sight(), Watch::default());
    sight.routers.insert("n3".to_owned(), None);
    let mut work = Work::default().order_seen(order(7, &boxes(&[1, 2]), false), &sight, &rules()).unwrap();
    steps(&mut work, &mut watch, &sight, 0);
    assert!(work.at(Stage::Asked).eq(&boxes(&[1, 2])));
    sight.machines.get_mut(&Machine::Box(4)).unwrap().state = State::Missing;
    let why = steps(&mut work, &mut watch, &sight, 0);
    assert!(why.contains(&Why::TakenBack(Machine::Box(1))), "{why:?}");
    assert_eq!(work.at(Stage::Asked).count(), 1);
    let stopped = work.stop(true);
    let (new, why) = watch.next(0, 60, &stopped, &sight, &rules());
    assert!(new.unwrap().at(Stage::Asked).next().is_none() && matches!(why[..], [Why::TakenBack(_)]));
}

/// Orders that can't be are refused with the figure; withdrawn between asked and out a machine stays in use, withdrawn
/// when out it stays out until it is back.
#[test]
fn contradicting_orders_have_a_told_outcome() {
    let sight = sight();
    let all = Work::default().order_seen(order(1, &boxes(&[1, 2, 3, 4]), true), &sight, &rules());
    assert_eq!(all, Err(Refused::TooMuch { place: 1, left: 0, needed: 200 }));
    let work = Work::default().order_seen(order(1, &boxes(&[1, 2, 3, 4]), false), &sight, &rules()).unwrap();
    let twice = work.order_seen(order(2, &boxes(&[4]), false), &sight, &rules());
    assert_eq!(twice, Err(Refused::InOrder(Machine::Box(4), 1)));
    let unknown = work.order_seen(order(2, &boxes(&[77]), false), &sight, &rules());
    assert_eq!(unknown, Err(Refused::Unknown(Machine::Box(77))));
    let mut out = work.clone();
    steps(&mut out, &mut Watch::default(), &sight, 0);
    let withdrawn = out.withdraw(1).unwrap();
    assert!(withdrawn.at(Stage::Out).eq(&boxes(&[1, 2])) && withdrawn.stages.len() == 2);
    assert!(!withdrawn.usable(&Machine::Box(1)) && withdrawn.usable(&Machine::Box(3)));
    assert_eq!(withdrawn.withdraw(9), Err(Refused::NoOrder(9)));
    assert_eq!(Work::read(&out.spell()), Some(out));
    assert_eq!(Work::read(b"\xff\xff"), None);
}

/// Electors go one at a time and never a majority; the leader's turn comes after another one leads; two routers of a
/// place are not taken where its clients would have nowhere to go.
#[test]
fn electors_and_the_leader_go_without_losing_the_quorum() {
    let (mut sight, mut watch) = (sight(), Watch::default());
    let routers: Vec<Machine> = (0..3).map(|n| Machine::Router(format!("n{n}"))).collect();
    let mut work = Work::default().order_seen(order(7, &routers, false), &sight, &rules()).unwrap();
    let why = steps(&mut work, &mut watch, &sight, 0);
    assert_eq!(work.at(Stage::Out).count(), 1, "{work:?}");
    assert!(!why.iter().any(|w| *w == Why::Turn(Machine::Router("n0".to_owned()))));
    work = work.back(&Machine::Router("n1".to_owned())).unwrap();
    steps(&mut work, &mut watch, &sight, 0);
    work = work.back(&Machine::Router("n2".to_owned())).unwrap();
    steps(&mut work, &mut watch, &sight, 0);
    assert_eq!(watch.next(0, 60, &work, &sight, &rules()), (None, vec![Why::HandOver]));
    sight.leader = "n1".to_owned();
    // Another elector is not heard: none may go.
    sight.electors.insert("n2".to_owned(), false);
    assert!(watch.next(0, 60, &work, &sight, &rules()).0.is_none());
    sight.electors.insert("n2".to_owned(), true);
    assert!(watch.next(0, 60, &work, &sight, &rules()).0.is_some());
    let majority = Work::default().order_seen(order(8, &routers, true), &sight, &rules());
    assert!(matches!(majority, Err(Refused::TooMuch { .. })), "{majority:?}");
}

/// A plan says what would go in which turn and what never would, and changes nothing.
#[test]
fn a_plan_says_the_turns_and_what_never_goes() {
    let mut sight = sight();
    let machines = [boxes(&[1, 2, 3]), vec![Machine::Parent(9), Machine::Parent(10)]].concat();
    let mut work = Work::default().order_seen(order(7, &machines, false), &sight, &rules()).unwrap();
    let (turns, never) = plan(&work, &sight, &rules());
    let boxes_of = |turn: &[Machine]| turn.iter().filter(|m| matches!(m, Machine::Box(_))).count();
    assert_eq!(turns.iter().map(|t| boxes_of(t)).collect::<Vec<_>>(), [2, 1], "two of four boxes at a time");
    assert_eq!(turns.iter().flatten().count(), 5, "each once");
    assert!(never.is_empty());
    // With one of the two parents down the other can't go at all.
    sight.machines.get_mut(&Machine::Parent(9)).unwrap().state = State::Missing;
    work = Work::default().order(order(8, &[Machine::Parent(10)], false)).unwrap();
    let (turns, never) = plan(&work, &sight, &rules());
    assert!(turns.is_empty() && matches!(never[..], [Why::Short(Machine::Parent(10), _)]), "{never:?}");
}

/// A router's own word that it still serves outranks any time; an earlier life beside it in an upgrade holds machines
/// that go by word, for as long as it may act.
#[test]
fn a_router_that_serves_and_an_earlier_life_are_waited_for() {
    let mut sight = sight();
    let n3 = Machine::Router("n3".to_owned());
    let work =
        Work::default().order_seen(order(7, std::slice::from_ref(&n3), false), &sight, &rules()).unwrap();
    let mut watch = Watch::default();
    let asked = watch.next(0, 49, &work, &sight, &rules()).0.unwrap();
    sight.routers.insert("n3".to_owned(), Some(Heard { number: 50, open: [n3].into() }));
    watch.next(0, 50, &asked, &sight, &rules());
    assert_eq!(watch.next(100 * rules().over, 50, &asked, &sight, &rules()).0, None, "it serves");
    sight.routers.insert("n3".to_owned(), Some(Heard { number: 50, open: BTreeSet::new() }));
    assert!(watch.next(100 * rules().over, 50, &asked, &sight, &rules()).0.is_some());

    let work = Work::default().order_seen(order(7, &boxes(&[1]), false), &sight, &rules()).unwrap();
    (sight.superseded, sight.beside) = (40, ["n2".to_owned()].into());
    let holds = |at: Micros, rules: &Rules| {
        let mut watch = Watch::default();
        watch.next(0, 49, &work, &sight, rules);
        let asked = watch.next(at, 49, &work, &sight, rules).0.unwrap();
        watch.next(at, 50, &asked, &sight, rules).0.is_none()
    };
    assert!(holds(0, &rules()) && holds(rules().overlap - 1, &rules()));
    assert!(!holds(rules().overlap, &rules()), "it acts no more");
    let hold = Rules { alone: Alone::Hold, ..rules() };
    assert!(holds(100 * rules().overlap, &hold), "it may, until it has left or is forgotten");
}
