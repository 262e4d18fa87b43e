//! Whatever a peer says, a node does not panic, stays within its bounds and keeps its promises.

mod common;

use common::{SECOND, list, purge, purges, settings};
use proptest::prelude::*;
use silverspindle_relay::{
    Action, Batch, ChildId, Confirm, Entry, Event, Frame, Lagging, Mode, Node, NodeId, ParentId, Record,
    Report, Reset, Role, Subscribe, Summary, Update,
};

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![8 => 0..30u64, 1 => any::<u64>()]
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let event = |n: u64| Record { number: n, entry: Entry::List(list(2, &[(n as u32, 0)])) };
    prop::collection::vec((number(), any::<bool>()), 0..6).prop_map(move |all| {
        all.into_iter().map(|(n, is_list)| if is_list { event(n) } else { purge(n, n, n) }).collect()
    })
}

fn update() -> impl Strategy<Value = Update> {
    let bytes = prop_oneof![
        4 => (number(), records()).prop_map(|(after, records)| Batch { after, records }.encode()),
        1 => prop::collection::vec(any::<u8>(), 0..40),
    ];
    let confirm = prop::option::of((number(), number(), number()))
        .prop_map(|c| c.map(|(question, number, age)| Confirm { question, number, age }));
    (bytes, confirm).prop_map(|(batch, confirm)| Update { batch: batch.into(), confirm })
}

fn summary() -> impl Strategy<Value = Summary> {
    let lagging = ("[a-z]{0,70}", number()).prop_map(|(name, applied)| Lagging { name, applied });
    (any::<u32>(), any::<u32>(), prop::collection::vec(lagging, 0..10))
        .prop_map(|(routers, expired, lagging)| Summary { routers, expired, lagging })
}

fn frame() -> impl Strategy<Value = Frame> {
    let node = (0..3u64, 0..4u64).prop_map(|(instance, incarnation)| NodeId { instance, incarnation });
    prop_oneof![
        3 => (node, number()).prop_map(|(node, applied)| Frame::Subscribe(Subscribe { node, applied })),
        4 => (number(), number(), summary()).prop_map(|(question, watermark, summary)| {
            Frame::Report(Report { question, watermark, summary })
        }),
        4 => update().prop_map(Frame::Update),
        1 => (number(), number(), prop::collection::vec(0..3u8, 0..60)).prop_map(
            |(number, purged_before_ms, list)| Frame::Reset(Reset { number, purged_before_ms, list })
        ),
        1 => number().prop_map(|number| Frame::Ask { number }),
        1 => Just(Frame::Answer(Default::default())),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let child = || (0..12u64).prop_map(ChildId);
    let parent = || (0..3usize).prop_map(ParentId);
    prop_oneof![
        6 => Just(Event::Tick),
        1 => records().prop_map(Event::Append),
        1 => number().prop_map(|asked| Event::Current { asked }),
        3 => number().prop_map(|number| Event::Applied { number }),
        3 => parent().prop_map(Event::ParentUp),
        1 => parent().prop_map(Event::ParentDown),
        8 => frame().prop_map(Event::FromParent),
        3 => (child(), "[a-c]").prop_map(|(child, name)| Event::ChildUp { child, name }),
        1 => child().prop_map(Event::ChildDown),
        8 => (child(), frame()).prop_map(|(child, frame)| Event::FromChild { child, frame }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn a_node_survives_any_events(
        role in prop_oneof![Just(Role::Source), Just(Role::Relay), Just(Role::Router)],
        events in prop::collection::vec((0..2 * SECOND, event()), 1..120),
    ) {
        let mut node = Node::new(settings("node", role, 2), 0, 0);
        let (mut now, mut watermark, mut applied) = (0, 0, 0);
        let mut told: u64 = 0;
        for (time, event) in events {
            now += time;
            let mut out = vec![];
            node.handle(now, event, &mut out);
            for action in out {
                if let Action::Apply(records) = action {
                    for record in records {
                        prop_assert!(record.number > told, "told again or out of order");
                        told = record.number;
                    }
                } else if let Action::ApplyReset(reset) = action {
                    prop_assert!(reset.number > told);
                    told = reset.number;
                }
            }
            let status = node.status(now, 0);
            prop_assert!(status.watermark >= watermark && status.watermark <= told.max(node.applied()));
            prop_assert!(node.applied() >= applied);
            (watermark, applied) = (status.watermark, node.applied());
            prop_assert!(status.summary.lagging.len() <= silverspindle_relay::bounds::LAGGING);
            prop_assert!(node.memory() < 1 << 20);
            let _ = (node.due(), node.feed(now));
        }
    }

    /// Whatever is said to a source by a bad child, a good child's share is the same.
    #[test]
    fn a_bad_child_changes_nothing_for_a_good_one(frames in prop::collection::vec(frame(), 0..40)) {
        let (good, bad) = (ChildId(1), ChildId(2));
        let mut source = Node::new(settings("source", Role::Source, 0), 0, 0);
        let mut out = vec![];
        source.handle(0, Event::Append(purges(1..=10)), &mut out);
        source.handle(0, Event::Applied { number: 10 }, &mut out);
        source.handle(0, Event::Current { asked: 0 }, &mut out);
        for (child, name) in [(good, "good"), (bad, "bad")] {
            source.handle(0, Event::ChildUp { child, name: name.to_owned() }, &mut out);
        }
        let node = NodeId { instance: 1, incarnation: 1 };
        let say = |source: &mut Node, child, frame| {
            let mut out = vec![];
            source.handle(0, Event::FromChild { child, frame }, &mut out);
            out
        };
        say(&mut source, good, Frame::Subscribe(Subscribe { node, applied: 4 }));
        for frame in frames {
            let touched = |action: &Action| match action {
                Action::ToChild { child, .. } | Action::EndChild { child, .. } => *child != bad,
                _ => true,
            };
            prop_assert!(!say(&mut source, bad, frame).iter().any(touched));
        }
        say(&mut source, good, Frame::Report(Report { question: 1, watermark: 0, summary: Summary::default() }));
        out.clear();
        source.handle(0, Event::Tick, &mut out);
        let batch = Batch { after: 4, records: purges(5..=10) }.encode().into();
        let confirm = Some(Confirm { question: 1, number: 10, age: 0 });
        let frame = Frame::Update(Update { batch, confirm });
        let answer = Action::ToChild { child: good, frame };
        prop_assert!(out.contains(&answer), "{:?}", out);
    }

    /// No answer that a parent makes up confirms a time after the asking.
    #[test]
    fn no_answer_confirms_more_than_the_lease_after_the_asking(frames in prop::collection::vec(frame(), 0..40)) {
        let mut router = Node::new(settings("router", Role::Router, 1), 0, 0);
        let mut out = vec![];
        router.handle(0, Event::Tick, &mut out);
        router.handle(0, Event::ParentUp(ParentId(0)), &mut out);
        for frame in frames {
            router.handle(0, Event::FromParent(frame), &mut out);
            let applied = router.applied();
            router.handle(0, Event::Applied { number: applied + 3 }, &mut out);
        }
        prop_assert_eq!(router.feed(common::LEASE).mode, Mode::Safe);
    }
}
