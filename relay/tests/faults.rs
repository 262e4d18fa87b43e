//! Bad input ends the connection of who sent it, and nothing else is touched: one test a fault.

mod common;

use common::{LEASE, Net, SECOND, purges, settings};
use silverspindle_relay::{
    Action, Batch, ChildId, Coded, Confirm, Event, Fault, Frame, Lagging, Node, NodeId, ParentId, Report,
    Reset, Role, Subscribe, Summary, Update, bounds,
};

const BAD: ChildId = ChildId(66);
const GOOD: ChildId = ChildId(7);

/// A source with two children, ten records and a confirmed feed.
fn source() -> Node {
    let mut source = Node::new(settings("source", Role::Source, 0), 0, 0);
    let mut out = vec![];
    source.handle(0, Event::Append(purges(1..=10)), &mut out);
    source.handle(0, Event::Applied { number: 10 }, &mut out);
    source.handle(0, Event::Current { asked: 0 }, &mut out);
    for (child, name) in [(GOOD, "good"), (BAD, "bad")] {
        source.handle(0, Event::ChildUp { child, name: name.to_owned() }, &mut out);
    }
    source
}

fn say(node: &mut Node, child: ChildId, frame: Frame) -> Vec<Action> {
    let mut out = vec![];
    node.handle(SECOND, Event::FromChild { child, frame }, &mut out);
    out
}

fn subscribe(instance: u64, incarnation: u64) -> Frame {
    Frame::Subscribe(Subscribe { node: NodeId { instance, incarnation }, applied: 0 })
}

fn report(question: u64, watermark: u64) -> Frame {
    Frame::Report(Report { question, watermark, summary: Summary::default() })
}

/// The bad child's connection has ended for this, and the good one's goes on.
fn only_the_sender_ends(source: &mut Node, out: &[Action], fault: Fault) {
    assert_eq!(out, [Action::EndChild { child: BAD, fault }]);
    assert_eq!(say(source, BAD, Frame::Ask { number: 0 }), [], "nothing of it is heard any more");
    say(source, GOOD, subscribe(1, 1));
    say(source, GOOD, report(1, 3));
    let mut out = vec![];
    source.handle(SECOND, Event::Tick, &mut out);
    assert!(matches!(
        out.as_slice(),
        [Action::ToChild { child: GOOD, frame: Frame::Update(Update { confirm: Some(_), .. }) }]
    ));
}

#[test]
fn a_frame_of_the_parent_s_kind_from_a_child() {
    for frame in
        [Frame::Update(Update::default()), Frame::Reset(Reset::default()), Frame::Answer(Default::default())]
    {
        let mut source = source();
        let out = say(&mut source, BAD, frame);
        only_the_sender_ends(&mut source, &out, Fault::Unexpected);
    }
}

#[test]
fn a_report_before_the_subscription() {
    let mut source = source();
    let out = say(&mut source, BAD, report(1, 0));
    only_the_sender_ends(&mut source, &out, Fault::Unexpected);
}

#[test]
fn a_watermark_beyond_the_log() {
    let mut source = source();
    say(&mut source, BAD, subscribe(2, 1));
    let out = say(&mut source, BAD, report(1, 11));
    only_the_sender_ends(&mut source, &out, Fault::Ahead { claimed: 11, latest: 10 });
    assert_eq!(source.status(SECOND, 0).latest, 10);
}

#[test]
fn a_watermark_or_a_question_from_the_past() {
    for (question, watermark) in [(5, 9), (4, 4)] {
        let mut source = source();
        say(&mut source, BAD, subscribe(2, 1));
        say(&mut source, BAD, report(4, 5));
        let out = say(&mut source, BAD, report(question, watermark.min(4)));
        only_the_sender_ends(&mut source, &out, Fault::Regressed);
    }
}

#[test]
fn a_report_that_names_too_many_or_too_long() {
    let router = |length: usize| Lagging { name: "n".repeat(length), applied: 1 };
    for lagging in [vec![router(1); bounds::LAGGING + 1], vec![router(bounds::NAME + 1)]] {
        let mut source = source();
        say(&mut source, BAD, subscribe(2, 1));
        let summary = Summary { lagging, ..Summary::default() };
        let out = say(&mut source, BAD, Frame::Report(Report { question: 1, watermark: 0, summary }));
        only_the_sender_ends(&mut source, &out, Fault::TooLong);
    }
}

#[test]
fn a_second_subscription_on_a_connection() {
    let mut source = source();
    say(&mut source, BAD, subscribe(2, 1));
    let out = say(&mut source, BAD, subscribe(2, 1));
    only_the_sender_ends(&mut source, &out, Fault::Replaced);
}

#[test]
fn an_older_process_beside_a_newer_one_of_its_name() {
    let mut source = source();
    let newer = ChildId(67);
    let mut out = vec![];
    source.handle(0, Event::ChildUp { child: newer, name: "bad".to_owned() }, &mut out);
    say(&mut source, newer, subscribe(2, 5));
    let out = say(&mut source, BAD, subscribe(2, 4));
    assert_eq!(out, [Action::EndChild { child: BAD, fault: Fault::Replaced }]);
    source.handle(0, Event::ChildUp { child: BAD, name: "bad".to_owned() }, &mut vec![]);
    let out = say(&mut source, BAD, subscribe(2, 6));
    assert_eq!(out, [Action::EndChild { child: newer, fault: Fault::Replaced }]);
}

/// Who it claims to be counts under its certificate's name only.
#[test]
fn nobody_takes_the_place_of_another_name() {
    let mut source = source();
    say(&mut source, GOOD, subscribe(1, 1));
    assert_eq!(say(&mut source, BAD, subscribe(1, 9)), []);
    assert_eq!(say(&mut source, GOOD, report(1, 0)), []);
}

#[test]
fn more_children_than_are_taken() {
    let mut source = source();
    let mut out = vec![];
    for child in 100..106 {
        source.handle(0, Event::ChildUp { child: ChildId(child), name: format!("c{child}") }, &mut out);
    }
    assert_eq!(out, []);
    source.handle(0, Event::ChildUp { child: ChildId(106), name: "c106".to_owned() }, &mut out);
    assert_eq!(out, [Action::EndChild { child: ChildId(106), fault: Fault::Full }]);
    let mut router = Node::new(settings("router", Role::Router, 1), 0, 0);
    out.clear();
    router.handle(0, Event::ChildUp { child: GOOD, name: "good".to_owned() }, &mut out);
    assert_eq!(out, [Action::EndChild { child: GOOD, fault: Fault::Full }]);
}

/// A name that comes as ever other processes fills its own part of the leases, not the others'.
#[test]
fn more_processes_of_one_name_than_there_is_room_for() {
    let mut source = source();
    let mut ended = None;
    for life in 1..=20 {
        let child = ChildId(100 + life);
        source.handle(SECOND, Event::ChildUp { child, name: "bad".to_owned() }, &mut vec![]);
        say(&mut source, child, subscribe(2, life));
        let out = say(&mut source, child, report(1, 0));
        if out.contains(&Action::EndChild { child, fault: Fault::Full }) {
            ended = Some(life);
            break;
        }
        source.handle(SECOND, Event::Current { asked: SECOND }, &mut vec![]);
        source.handle(SECOND + life * LEASE / 10, Event::Tick, &mut vec![]);
    }
    assert!(ended.is_some_and(|life| life > 2), "{ended:?}");
    say(&mut source, GOOD, subscribe(1, 1));
    assert_eq!(say(&mut source, GOOD, report(1, 0)), []);
}

#[test]
fn a_child_that_says_nothing_for_longer_than_the_lease() {
    let mut source = source();
    say(&mut source, GOOD, subscribe(1, 1));
    let mut out = vec![];
    source.handle(2 * LEASE, Event::FromChild { child: GOOD, frame: report(1, 0) }, &mut out);
    source.handle(2 * LEASE, Event::Tick, &mut out);
    assert_eq!(out[0], Action::EndChild { child: BAD, fault: Fault::Silent });
    assert!(!out.contains(&Action::EndChild { child: GOOD, fault: Fault::Silent }));
}

// ---- A parent's.

/// A router with ten records that is connected to its parent.
fn router() -> Node {
    let mut router = Node::new(settings("router", Role::Router, 2), 10, 0);
    let mut out = vec![];
    router.handle(0, Event::Tick, &mut out);
    assert_eq!(out, [Action::Connect(ParentId(0))]);
    router.handle(0, Event::ParentUp(ParentId(0)), &mut out);
    router
}

fn hear(router: &mut Node, frame: Frame) -> Vec<Action> {
    let mut out = vec![];
    router.handle(SECOND, Event::FromParent(frame), &mut out);
    out
}

fn batch(after: u64, numbers: std::ops::RangeInclusive<u64>) -> Frame {
    let batch = Batch { after, records: purges(numbers) }.encode();
    Frame::Update(Update { batch: batch.into(), confirm: None })
}

fn confirm(question: u64, number: u64, age: u64) -> Frame {
    let confirm = Some(Confirm { question, number, age });
    Frame::Update(Update { batch: Coded::default(), confirm })
}

/// The connection has ended, and the next one asks for what comes behind the last number applied.
fn ends_and_comes_back(router: &mut Node, out: &[Action], fault: Fault) {
    assert_eq!(out, [Action::Disconnect { parent: ParentId(0), fault }]);
    assert_eq!(router.applied(), 10);
    let mut out = vec![];
    router.handle(2 * SECOND, Event::Tick, &mut out);
    assert_eq!(out, [Action::Connect(ParentId(1))]);
    router.handle(2 * SECOND, Event::ParentUp(ParentId(1)), &mut out);
    assert!(matches!(&out[1], Action::ToParent(Frame::Subscribe(Subscribe { applied: 10, .. }))));
}

#[test]
fn a_batch_with_a_gap() {
    let mut router = router();
    let out = hear(&mut router, batch(11, 12..=13));
    ends_and_comes_back(&mut router, &out, Fault::Gap { applied: 10, after: 11 });
}

#[test]
fn a_batch_that_can_t_be_read() {
    let mut router = router();
    let batch = Coded::from(vec![10, 0, 77]);
    let out = hear(&mut router, Frame::Update(Update { batch, confirm: None }));
    ends_and_comes_back(&mut router, &out, Fault::Unreadable);
}

#[test]
fn a_batch_whose_numbers_end() {
    let mut router = router();
    let mut bytes = Batch { after: u64::MAX - 1, records: vec![] }.encode();
    (0..2).for_each(|_| bytes.extend([2, 0, 0, 0, 0, 0, 0, 0, 1]));
    let out = hear(&mut router, Frame::Update(Update { batch: bytes.into(), confirm: None }));
    ends_and_comes_back(&mut router, &out, Fault::Order);
}

#[test]
fn a_reset_whose_list_is_none() {
    let mut router = router();
    let out = hear(&mut router, Frame::Reset(Reset { number: 20, purged_before_ms: 0, list: vec![9; 28] }));
    ends_and_comes_back(&mut router, &out, Fault::Unreadable);
}

#[test]
fn a_child_s_frame_from_the_parent() {
    for frame in [subscribe(1, 1), report(1, 1), Frame::Ask { number: 0 }] {
        let mut router = router();
        let out = hear(&mut router, frame);
        ends_and_comes_back(&mut router, &out, Fault::Unexpected);
    }
}

#[test]
fn an_answer_to_a_question_that_was_not_asked() {
    let mut router = router();
    let out = hear(&mut router, confirm(2, 10, 0));
    ends_and_comes_back(&mut router, &out, Fault::Unexpected);
}

#[test]
fn an_answer_given_twice() {
    let mut router = router();
    assert_eq!(hear(&mut router, confirm(1, 10, 0)), []);
    let out = hear(&mut router, confirm(1, 10, 0));
    ends_and_comes_back(&mut router, &out, Fault::Regressed);
}

/// Records that are told again are no fault, and are not applied again.
#[test]
fn a_batch_told_again_is_skipped() {
    let mut router = router();
    assert_eq!(hear(&mut router, batch(0, 1..=10)), []);
    assert_eq!(hear(&mut router, batch(8, 9..=12)), [Action::Apply(purges(11..=12))]);
    assert_eq!(hear(&mut router, Frame::Reset(Reset { number: 5, ..Reset::default() })), []);
}

/// An age from before this clock's zero would be counted as its zero: it says nothing instead.
#[test]
fn an_age_beyond_the_own_clock_confirms_nothing() {
    let mut router = router();
    assert_eq!(hear(&mut router, confirm(1, 10, 1)), []);
    assert_eq!(router.feed(SECOND).age, None);
}

/// The net's nodes, among themselves, commit none of these.
#[test]
fn nodes_do_nothing_wrong_to_each_other() {
    let mut net = Net::chain();
    for n in 0..40 {
        net.append(0, purges(n * 10 + 1..=n * 10 + 10));
        net.run(SECOND / 3);
        if n % 7 == 0 {
            net.cut(2);
        }
        if n % 11 == 0 {
            net.cut(1);
        }
    }
    net.run(10 * SECOND);
    assert!(net.hosts.iter().all(|host| host.faults.is_empty()));
    assert_eq!(net.hosts[2].records, purges(1..=400));
}
