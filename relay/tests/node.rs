//! Nodes together: records reach every router once and in order, the watermark is never ahead of who holds a confirmed
//! feed, a feed that is not confirmed is known to be so by the router itself.

mod common;

use common::{BATCH, DIRECT, LEASE, MS, Net, SECOND, list, purges, settings};
use silverspindle_relay::{ANY_COPY, Action, Entry, Event, Frame, Mode, Node, Record, Reset, Role};

const SOURCE: usize = 0;
const RELAY: usize = 1;
const ROUTER: usize = 2;

fn everywhere(net: &Net, source: usize, number: u64) -> Option<bool> {
    net.hosts[source].node.status(net.now, number).everywhere
}

fn mode(net: &Net, router: usize) -> Mode {
    net.hosts[router].node.feed(net.now).mode
}

// ---- Order.

#[test]
fn a_router_applies_the_source_s_records_once_and_in_order() {
    let mut net = Net::chain();
    net.run(SECOND);
    net.append(SOURCE, purges(1..=50));
    net.run(2 * SECOND);
    net.append(SOURCE, purges(45..=60));
    net.run(2 * SECOND);
    assert_eq!(net.hosts[ROUTER].records, purges(1..=60));
    assert_eq!(net.hosts[RELAY].records, purges(1..=60));
}

#[test]
fn a_router_that_comes_back_takes_up_the_log_where_it_left_it() {
    let mut net = Net::chain();
    net.append(SOURCE, purges(1..=10));
    net.run(2 * SECOND);
    net.hosts[RELAY].reachable = false;
    net.cut(ROUTER);
    net.append(SOURCE, purges(11..=20));
    net.run(4 * SECOND);
    net.hosts[RELAY].reachable = true;
    net.run(12 * SECOND);
    assert_eq!(net.hosts[ROUTER].records, purges(1..=20));
    assert!(net.hosts[ROUTER].resets.is_empty());
}

#[test]
fn a_host_that_is_slow_to_apply_is_told_nothing_twice() {
    let mut net = Net::chain();
    net.hosts[ROUTER].applies = false;
    net.append(SOURCE, purges(1..=10));
    net.run(2 * SECOND);
    net.cut(ROUTER);
    net.run(2 * SECOND);
    assert_eq!(net.hosts[ROUTER].records, purges(1..=10));
}

#[test]
fn a_child_too_far_behind_is_told_what_the_records_come_to() {
    let mut net = Net::new();
    net.add(source_that_keeps(20), 0, &[]);
    net.append(SOURCE, vec![Record { number: 1, entry: Entry::List(list(1, &[(5, 0)])) }]);
    net.append(SOURCE, purges(2..=100));
    net.add(settings("relay", Role::Relay, 1), 0, &[0]);
    net.run(2 * SECOND);
    let reset = Reset { number: 80, purged_before_ms: 1_700_000_000_720, list: list(1, &[(5, 0)]) };
    assert_eq!(net.hosts[RELAY].resets, vec![reset]);
    assert_eq!(net.hosts[RELAY].records, purges(81..=100));
    assert_eq!(net.hosts[RELAY].node.applied(), 100);
}

/// Else what is kept would move on from under it, tick by tick.
#[test]
fn a_child_that_is_told_a_reset_catches_up_while_the_log_goes_on() {
    let mut net = Net::new();
    net.add(source_that_keeps(20), 0, &[]);
    net.append(SOURCE, purges(1..=100));
    net.add(settings("relay", Role::Relay, 1), 0, &[0]);
    for number in 0..40 {
        net.append(SOURCE, purges(number * 5 + 101..=number * 5 + 105));
        net.run(BATCH / 2);
    }
    net.run(BATCH);
    assert_eq!(net.hosts[RELAY].resets.len(), 1);
    assert_eq!(net.hosts[RELAY].node.applied(), 300);
    assert_eq!(mode(&net, RELAY), Mode::Relay);
}

fn source_that_keeps(records: usize) -> silverspindle_relay::Settings {
    silverspindle_relay::Settings { records, ..settings("source", Role::Source, 0) }
}

/// A source that began behind a number can't know what was purged before.
#[test]
fn a_child_from_before_the_source_s_beginning_takes_any_copy_for_purged() {
    let mut net = Net::new();
    net.add(settings("source", Role::Source, 0), 100, &[]);
    net.add(settings("relay", Role::Relay, 1), 40, &[0]);
    net.run(SECOND);
    let reset = Reset { number: 100, purged_before_ms: ANY_COPY, list: vec![] };
    assert_eq!(net.hosts[RELAY].resets, vec![reset]);
}

#[test]
fn a_long_log_comes_in_batches_a_tick_apart() {
    let mut net = Net::new();
    let big = silverspindle_relay::Settings { records: 100_000, ..settings("source", Role::Source, 0) };
    net.add(big, 0, &[]);
    net.append(SOURCE, purges(1..=20_000));
    net.add(settings("relay", Role::Relay, 1), 0, &[0]);
    net.run(BATCH * 3 / 2);
    let first = net.hosts[RELAY].node.applied();
    assert!(first > 7_000 && first < 7_500, "{first}");
    net.run(BATCH * 2);
    assert_eq!(net.hosts[RELAY].numbers(), (1..=20_000).collect::<Vec<_>>());
}

/// A parent that knows less than its child sends it nothing until it knows more.
#[test]
fn a_child_that_is_ahead_of_its_parent_stays_connected() {
    let mut net = Net::new();
    net.add(settings("source", Role::Source, 0), 0, &[]);
    net.append(SOURCE, purges(1..=10));
    net.add(settings("relay", Role::Relay, 1), 20, &[0]);
    net.run(4 * SECOND);
    assert!(net.hosts[SOURCE].faults.is_empty() && net.hosts[RELAY].faults.is_empty());
    net.append(SOURCE, purges(11..=25));
    net.run(SECOND);
    assert_eq!(net.hosts[RELAY].numbers(), (21..=25).collect::<Vec<_>>());
}

// ---- What it costs.

#[test]
fn a_child_is_sent_one_update_a_batch_tick_at_most() {
    let mut net = Net::chain();
    net.run(5 * SECOND);
    let before = net.hosts[RELAY].sent.len();
    for number in 0..80 {
        net.append(SOURCE, purges(number * 14 + 1..=number * 14 + 14));
        net.run(SECOND / 8);
    }
    let sent = &net.hosts[RELAY].sent[before..];
    let updates = sent.iter().filter(|frame| matches!(frame, Frame::Update(_))).count();
    assert!((19..=21).contains(&updates), "{updates} updates in 10 s");
    let bytes: usize = sent.iter().filter(|f| matches!(f, Frame::Update(_))).map(|f| f.encode().len()).sum();
    assert!(bytes < 10 * 1100, "{bytes} bytes for 10 s of 112 purges a second");
    assert_eq!(net.hosts[ROUTER].node.applied(), 1120);
}

#[test]
fn children_that_are_as_far_share_one_coded_batch() {
    let mut net = Net::new();
    net.add(settings("source", Role::Source, 0), 0, &[]);
    for name in ["r1", "r2", "r3"] {
        net.add(settings(name, Role::Relay, 1), 0, &[0]);
    }
    net.run(2 * SECOND);
    net.hosts[SOURCE].sent.clear();
    net.append(SOURCE, purges(1..=100));
    net.run(SECOND);
    let batches = net.hosts[SOURCE].sent.iter().filter_map(|frame| match frame {
        Frame::Update(update) if !update.batch.is_empty() => Some(update.batch.as_ptr()),
        _ => None,
    });
    let batches: Vec<_> = batches.collect();
    assert_eq!(batches.len(), 3);
    assert!(batches.iter().all(|batch| *batch == batches[0]));
}

// ---- Watermark.

#[test]
fn a_number_is_everywhere_once_all_have_it_and_the_direct_lease_has_passed() {
    let mut net = Net::chain();
    net.run(12 * SECOND);
    net.append(SOURCE, purges(1..=1));
    net.run(DIRECT - SECOND / 4);
    let status = net.hosts[SOURCE].node.status(net.now, 1);
    assert_eq!(
        (status.watermark, status.everywhere),
        (1, Some(false)),
        "a router may follow the coordinator itself"
    );
    net.run(SECOND / 2);
    let status = net.hosts[SOURCE].node.status(net.now, 0);
    assert_eq!((status.number, status.everywhere), (1, Some(true)));
    assert_eq!((status.summary.routers, status.summary.expired), (1, 0));
    assert_eq!(everywhere(&net, SOURCE, 2), Some(false), "a number that is not known yet");
}

#[test]
fn a_router_that_has_not_applied_a_number_is_waited_for_and_named() {
    let mut net = Net::chain();
    net.run(12 * SECOND);
    net.hosts[ROUTER].applies = false;
    net.append(SOURCE, purges(1..=3));
    // Its reports are answered, so its lease goes on for as long as it talks.
    net.run(20 * SECOND);
    let status = net.hosts[SOURCE].node.status(net.now, 3);
    assert_eq!((status.watermark, status.everywhere), (0, Some(false)));
    assert_eq!(status.summary.lagging.len(), 1);
    assert_eq!((status.summary.lagging[0].name.as_str(), status.summary.lagging[0].applied), ("router", 0));
    net.event(ROUTER, Event::Applied { number: 3 });
    net.run(3 * SECOND);
    assert_eq!(everywhere(&net, SOURCE, 3), Some(true));
}

#[test]
fn who_is_silent_counts_until_its_lease_has_run_out_and_not_longer() {
    let mut net = Net::chain();
    net.run(12 * SECOND);
    net.unreach(ROUTER);
    net.append(SOURCE, purges(1..=1));
    let cut = net.now;
    let mut fence_ended = None;
    while everywhere(&net, SOURCE, 1) == Some(false) {
        net.run(SECOND / 10);
        if mode(&net, ROUTER) == Mode::Safe {
            fence_ended.get_or_insert(net.now);
        }
    }
    let told = net.now;
    assert!(fence_ended.is_some_and(|ended| ended < told), "{fence_ended:?} {told}");
    assert!(told - cut <= LEASE + 2 * BATCH, "{}", told - cut);
    assert_eq!(net.hosts[SOURCE].node.status(net.now, 1).summary.expired, 1);
}

#[test]
fn another_connection_of_the_same_process_goes_on_with_its_lease() {
    let mut net = Net::chain();
    net.run(12 * SECOND);
    net.hosts[ROUTER].applies = false;
    net.append(SOURCE, purges(1..=1));
    net.run(2 * SECOND);
    net.cut(ROUTER);
    net.run(12 * SECOND);
    assert_eq!(
        net.hosts[SOURCE].node.status(net.now, 1).watermark,
        0,
        "the newer connection's floor is the older's"
    );
}

#[test]
fn another_process_of_the_same_name_begins_a_lease_beside_the_older_one() {
    let mut net = Net::chain();
    net.run(12 * SECOND);
    net.hosts[ROUTER].applies = false;
    net.append(SOURCE, purges(1..=5));
    net.run(SECOND);
    net.unreach(ROUTER);
    let mut restarted = settings("router", Role::Router, 1);
    restarted.id.incarnation = 2;
    let newer = net.add(restarted, 0, &[RELAY]);
    net.run(3 * SECOND);
    assert_eq!(net.hosts[newer].node.applied(), 5);
    assert_eq!(net.hosts[SOURCE].node.status(net.now, 5).watermark, 0, "the process before may act yet");
    net.run(4 * SECOND);
    let status = net.hosts[SOURCE].node.status(net.now, 5);
    assert_eq!((status.watermark, status.everywhere), (5, Some(true)));
    assert_eq!((status.summary.routers, status.summary.expired), (1, 0), "the place was taken up again");
}

#[test]
fn a_newcomer_never_lowers_a_watermark_that_was_told() {
    let mut net = Net::chain();
    net.append(SOURCE, purges(1..=5));
    net.run(12 * SECOND);
    assert_eq!(everywhere(&net, SOURCE, 5), Some(true));
    let newcomer = net.add(settings("newcomer", Role::Router, 1), 0, &[RELAY]);
    net.hosts[newcomer].applies = false;
    net.run(3 * SECOND);
    assert_eq!(everywhere(&net, SOURCE, 5), Some(true));
    assert_eq!(mode(&net, newcomer), Mode::Safe, "it has not applied what its confirmation names");
    net.append(SOURCE, purges(6..=6));
    net.run(4 * SECOND);
    assert_eq!(everywhere(&net, SOURCE, 6), Some(false));
}

#[test]
fn a_source_that_has_just_started_does_not_know() {
    let mut net = Net::chain();
    net.append(SOURCE, purges(1..=1));
    net.run(LEASE);
    assert_eq!(everywhere(&net, SOURCE, 1), None);
    net.run(SECOND);
    assert_eq!(everywhere(&net, SOURCE, 1), Some(true));
}

#[test]
fn anybody_may_ask_without_taking_the_log() {
    let mut source = Node::new(settings("source", Role::Source, 0), 0, 0);
    let child = silverspindle_relay::ChildId(1);
    let mut out = vec![];
    source.handle(0, Event::ChildUp { child, name: "staff".to_owned() }, &mut out);
    source.handle(0, Event::Append(purges(1..=4)), &mut out);
    out.clear();
    source.handle(0, Event::FromChild { child, frame: Frame::Ask { number: 0 } }, &mut out);
    let Some(Action::ToChild { frame: Frame::Answer(status), .. }) = out.first() else {
        panic!("no answer: {out:?}")
    };
    assert_eq!((status.number, status.latest, status.everywhere, status.age), (4, 4, None, None));
}

// ---- Lease.

#[test]
fn a_router_whose_feed_is_older_than_the_lease_knows_it_by_itself() {
    let mut net = Net::chain();
    net.run(12 * SECOND);
    let guard = net.hosts[ROUTER].node.feed_guard();
    assert_eq!(guard.read(net.now).mode, Mode::Relay);
    // The process stands still and acts when it goes on: nothing has told it anything.
    let later = net.now + LEASE;
    let feed = guard.read(later);
    assert_eq!(feed.mode, Mode::Safe);
    assert!(feed.max_copy_age.is_some_and(|age| age < DIRECT && age > DIRECT - 10 * MS));
}

#[test]
fn a_parent_whose_own_feed_is_too_old_confirms_nothing() {
    let mut net = Net::chain();
    net.run(12 * SECOND);
    net.current = false;
    net.run(LEASE + SECOND);
    assert_eq!(mode(&net, RELAY), Mode::Safe);
    assert_eq!(mode(&net, ROUTER), Mode::Safe);
    net.hosts[RELAY].sent.clear();
    net.run(SECOND);
    let confirms = |frame: &Frame| matches!(frame, Frame::Update(update) if update.confirm.is_some());
    assert!(!net.hosts[RELAY].sent.iter().any(confirms));
}

/// The ages of all on the way add up.
#[test]
fn a_feed_is_no_younger_than_the_source_s_own() {
    let mut net = Net::chain();
    net.run(12 * SECOND);
    net.current = false;
    let since = net.now;
    net.run(3 * SECOND);
    let age = net.hosts[ROUTER].node.feed(net.now).age;
    assert!(age.is_some_and(|age| age >= net.now - since - SECOND / 4), "{age:?}");
}

/// The coordinator's word each quarter of a second, a relay's report and its answer, a router's report and its answer.
#[test]
fn in_quiet_a_feed_stays_well_under_the_lease() {
    let mut net = Net::chain();
    net.run(12 * SECOND);
    let oldest = SECOND / 4 + (BATCH + BATCH) + (SECOND + BATCH) + 10 * MS;
    assert!(oldest < LEASE * 3 / 5);
    for _ in 0..200 {
        net.run(SECOND / 10);
        let feed = net.hosts[ROUTER].node.feed(net.now);
        assert!(feed.age.is_some_and(|age| age <= oldest) && feed.mode == Mode::Relay, "{feed:?}");
    }
}

// ---- Parents.

fn two_relays() -> Net {
    let mut net = Net::new();
    net.add(settings("source", Role::Source, 0), 0, &[]);
    net.add(settings("relay", Role::Relay, 1), 0, &[0]);
    net.add(settings("other", Role::Relay, 1), 0, &[0]);
    net.add(settings("router", Role::Router, 2), 0, &[1, 2]);
    net
}

#[test]
fn a_router_takes_its_second_choice_and_goes_back_to_the_preferred_one() {
    let (other, router) = (2, 3);
    let mut net = two_relays();
    net.run(3 * SECOND);
    assert_eq!(net.hosts[router].parent(), Some(RELAY));
    net.unreach(RELAY);
    net.append(SOURCE, purges(1..=5));
    net.run(3 * SECOND);
    assert_eq!(net.hosts[router].parent(), Some(other));
    assert_eq!((net.hosts[router].node.applied(), mode(&net, router)), (5, Mode::Relay));
    net.hosts[RELAY].reachable = true;
    net.run(60 * SECOND);
    assert_eq!(net.hosts[router].parent(), Some(RELAY));
    assert_eq!(mode(&net, router), Mode::Relay);
}

#[test]
fn a_parent_that_answers_nothing_is_left_within_half_a_lease() {
    let (other, router) = (2, 3);
    let mut net = two_relays();
    net.run(3 * SECOND);
    // The first relay stands still: it takes frames in and says nothing.
    net.hosts[RELAY].node = Node::new(settings("still", Role::Relay, 0), 0, net.now);
    net.run(LEASE);
    assert_eq!(net.hosts[router].parent(), Some(other));
    assert_eq!(mode(&net, router), Mode::Relay);
}

#[test]
fn a_router_without_a_parent_follows_the_coordinator_and_stops_when_one_is_there() {
    let mut net = Net::chain();
    net.append(SOURCE, purges(1..=3));
    net.run(3 * SECOND);
    net.unreach(RELAY);
    net.run(LEASE + LEASE / 4 + SECOND);
    assert!(net.hosts[ROUTER].follows);
    net.append(ROUTER, purges(1..=8));
    net.run(SECOND);
    assert_eq!(mode(&net, ROUTER), Mode::Direct);
    net.append(SOURCE, purges(4..=6));
    net.hosts[RELAY].reachable = true;
    net.run(20 * SECOND);
    assert!(!net.hosts[ROUTER].follows);
    assert_eq!(mode(&net, ROUTER), Mode::Relay);
    assert_eq!(net.hosts[ROUTER].records, purges(1..=8), "nothing twice, though both told it");
}

#[test]
fn what_the_coordinator_says_keeps_a_router_alive_for_the_direct_lease_only() {
    let mut net = Net::new();
    net.add(settings("router", Role::Router, 0), 0, &[]);
    net.run(SECOND);
    assert_eq!(mode(&net, 0), Mode::Direct);
    net.current = false;
    net.run(DIRECT - SECOND / 4);
    assert_eq!(mode(&net, 0), Mode::Direct);
    net.run(SECOND / 2);
    assert_eq!(mode(&net, 0), Mode::Safe);
}

#[test]
fn a_relay_never_follows_the_coordinator() {
    let mut net = Net::chain();
    net.hosts[SOURCE].reachable = false;
    net.run(30 * SECOND);
    assert!(!net.hosts[RELAY].follows && net.hosts[ROUTER].follows);
}

#[test]
fn tries_at_parents_that_are_not_there_become_rare() {
    let mut net = Net::chain();
    net.hosts[RELAY].reachable = false;
    net.run(120 * SECOND);
    let mut tries = 0;
    for _ in 0..600 {
        let due = net.hosts[ROUTER].node.due();
        net.run(SECOND / 10);
        tries += u32::from(due <= net.now);
    }
    assert!((5..=60).contains(&tries), "{tries} in a minute");
}

#[test]
fn a_restarted_source_is_no_danger_to_what_its_predecessor_promised() {
    let mut net = Net::chain();
    net.run(12 * SECOND);
    net.hosts[ROUTER].applies = false;
    net.append(SOURCE, purges(1..=5));
    net.run(SECOND);
    net.unreach(SOURCE);
    net.hosts[SOURCE].node = Node::new(settings("source", Role::Source, 0), 0, net.now);
    net.hosts[SOURCE].reachable = true;
    net.append(SOURCE, purges(1..=5));
    let began = net.now;
    // Its relay's lease there begins at the number that the answer names; the router's older feed may live on meanwhile.
    while everywhere(&net, SOURCE, 5).is_none() {
        net.run(SECOND / 10);
    }
    assert!(net.now - began >= LEASE);
}
