//! The core by itself: one elector, followers near and far behind, seats, proposals, the guard, and bad input.

use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngSeed};
use silverspindle_agreement::*;

const LEASE: Micros = 2_000_000;
const TICK: Micros = 50_000;

fn terms(name: &str, electors: &[&str]) -> Terms {
    Terms {
        name: name.to_owned(),
        life: 1,
        electors: electors.iter().map(|e| (*e).to_owned()).collect(),
        operators: vec!["staff".to_owned()],
        lease: LEASE,
        drift_ppm: 1000,
        patience: 3 * LEASE,
        seed: name.bytes().fold(7, |seed, b| seed * 131 + u64::from(b)),
        guards: Guards::default(),
    }
}

/// Routers on a perfect network: what is sent arrives at once, but for those that are cut off.
struct Net {
    now: Micros,
    nodes: Vec<(String, Node)>,
    off: Vec<String>,
    /// What staff were answered.
    staff: Vec<(ProposalId, Option<Verdict>)>,
    shouts: Vec<String>,
    wholes: usize,
    asked: std::collections::BTreeMap<String, u64>,
}

impl Net {
    /// Questions so far, by asker.
    fn asks(&self) -> Vec<u64> {
        self.nodes.iter().map(|(name, _)| self.asked.get(name).copied().unwrap_or(0)).collect()
    }

    fn new(electors: &[&str], followers: &[&str]) -> Self {
        let disk = |n: usize| Some(Disk::new(100 + n as u64));
        let mut nodes = Vec::new();
        for (n, name) in electors.iter().enumerate() {
            nodes.push(((*name).to_owned(), Node::new(terms(name, electors), disk(n), 0)));
        }
        for name in followers {
            nodes.push(((*name).to_owned(), Node::new(terms(name, electors), None, 0)));
        }
        Self {
            now: 0,
            nodes,
            off: vec![],
            staff: vec![],
            shouts: vec![],
            wholes: 0,
            asked: Default::default(),
        }
    }

    fn node(&self, name: &str) -> &Node {
        &self.nodes.iter().find(|(n, _)| n == name).unwrap().1
    }

    fn event(&mut self, to: &str, event: Event) {
        let mut queue = vec![(to.to_owned(), event)];
        while !queue.is_empty() {
            let (name, event) = queue.remove(0);
            let Some((_, node)) = self.nodes.iter_mut().find(|(n, _)| *n == name) else { continue };
            let mut out = Vec::new();
            node.handle(self.now, event, &mut out);
            for action in out {
                match action {
                    Action::Send { to, frame: Frame::Settled { id, verdict } } if to == "staff" => {
                        self.staff.push((id, verdict));
                    }
                    Action::Send { to, frame } => {
                        if matches!(frame, Frame::Ask { .. }) {
                            *self.asked.entry(name.clone()).or_default() += 1;
                        }
                        if !self.off.contains(&name) && !self.off.contains(&to) {
                            queue.push((to, Event::Heard { from: name.clone(), frame }));
                        }
                    }
                    Action::Shout(what) => self.shouts.push(what),
                    Action::Applied(applied) => self.wholes += usize::from(applied.whole),
                    Action::Write(_) | Action::Answer { .. } => {}
                }
            }
        }
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK / 5;
            let names: Vec<String> = self.nodes.iter().map(|(name, _)| name.clone()).collect();
            names.iter().for_each(|name| self.event(name, Event::Tick));
        }
    }

    fn leader(&self) -> String {
        self.nodes.iter().find(|(_, n)| n.role() == Role::Leader).map(|(name, _)| name.clone()).unwrap()
    }

    fn propose(&mut self, n: u64, builds_on: u64, change: Change) -> Option<Verdict> {
        let (id, to) = (ProposalId(9, n), self.leader());
        let proposal = Proposal { id, builds_on, by: "staff".to_owned(), change };
        let before = self.staff.len();
        self.event(&to, Event::Heard { from: "staff".to_owned(), frame: Frame::Propose(proposal) });
        self.run(TICK);
        let answers = &self.staff[before..];
        answers.iter().rev().find(|(which, _)| *which == id).and_then(|(_, verdict)| verdict.clone())
    }
}

fn note(topic: &str, body: &str) -> Change {
    Change::Note { topic: topic.to_owned(), body: body.as_bytes().to_vec() }
}

/// One elector decides at once and alone; a follower that comes 10,000 decisions later has them all by a snapshot,
/// its log and its memory of outcomes stay bounded, and what is older than that memory is refused and not made twice.
#[test]
fn a_follower_ten_thousand_decisions_behind_has_them_in_one_answer() {
    let mut net = Net::new(&["a"], &["f"]);
    net.off.push("f".to_owned());
    net.run(LEASE);
    for n in 0..10_000u64 {
        let number = net.node("a").fleet().number;
        let frame = Frame::Propose(Proposal {
            id: ProposalId(9, n),
            builds_on: number,
            by: "staff".to_owned(),
            change: note(&format!("t{}", n % 50), "x"),
        });
        net.event("a", Event::Heard { from: "staff".to_owned(), frame });
    }
    net.run(TICK);
    assert!(net.staff.iter().all(|(_, v)| matches!(v, Some(Verdict::Made(_)))) && net.staff.len() == 10_000);
    assert!(net.node("a").fleet().spell().len() < 100_000, "what is kept is bounded");
    let wholes = net.wholes;
    net.off.clear();
    net.run(LEASE);
    assert_eq!(net.node("f").fleet(), net.node("a").fleet());
    assert_eq!(net.wholes, wholes + 1);
    assert!(net.node("f").fence().may_act(net.now).is_some());
    // The first proposal once more, by somebody whose answer was lost long ago.
    let again = net.propose(0, 2, note("t0", "x"));
    assert!(matches!(again, Some(Verdict::Refused(_, Refusal::TooOld(_)))), "{again:?}");
}

/// What a proposal builds on decides: the second of two that did not know of each other is refused with what stands
/// in its way, and the same proposal again gets the same answer.
#[test]
fn an_overtaken_proposal_is_refused_with_what_stands_in_its_way() {
    let mut net = Net::new(&["a", "b", "c"], &[]);
    net.run(LEASE);
    let known = net.node("a").fleet().number;
    let Some(Verdict::Made(first)) = net.propose(1, known, note("limits", "10")) else { panic!() };
    let second = net.propose(2, known, note("limits", "20"));
    assert!(matches!(second, Some(Verdict::Refused(_, Refusal::Overtaken(by))) if by == first), "{second:?}");
    assert!(matches!(net.propose(3, known, note("lists", "x")), Some(Verdict::Made(_))), "another topic");
    assert_eq!(net.propose(1, known, note("limits", "10")), Some(Verdict::Made(first)));
    assert_eq!(net.propose(2, known, note("limits", "20")), second);
    let frame = Frame::Propose(Proposal {
        id: ProposalId(1, 1),
        builds_on: 0,
        by: "b".into(),
        change: note("x", "y"),
    });
    net.event("a", Event::Heard { from: "b".to_owned(), frame });
    assert!(!net.node("a").fleet().notes.contains_key("x"), "a router is no operator");
}

/// Seats go by disk: a lost disk's name waits, is admitted, learns and votes; a seat that the quorum needs stays.
#[test]
fn a_lost_disk_gets_a_new_seat_and_a_needed_seat_stays() {
    let mut net = Net::new(&["a", "b", "c"], &[]);
    net.run(LEASE);
    // c comes back with an empty disk.
    let electors = ["a", "b", "c"];
    let at = net.nodes.iter().position(|(name, _)| name == "c").unwrap();
    net.nodes[at].1 = Node::new(terms("c", &electors), Some(Disk::new(555)), net.now);
    net.run(LEASE);
    assert_eq!(net.node("c").role(), Role::Follower);
    assert!(net.node("c").fence().may_act(net.now).is_some(), "it follows meanwhile");
    let leader = net.leader();
    assert_eq!(net.node(&leader).status().waiting, [("c".to_owned(), 555)]);
    let number = net.node(&leader).fleet().number;
    let needed = if leader == "a" { 101 } else { 100 };
    let refused = net.propose(1, number, Change::Seat(Seat::Dismiss { id: needed }));
    assert!(matches!(refused, Some(Verdict::Refused(_, Refusal::Quorum))), "{refused:?}");
    assert!(matches!(
        net.propose(2, number, Change::Seat(Seat::Dismiss { id: 102 })),
        Some(Verdict::Made(_))
    ));
    let number = net.node(&leader).fleet().number;
    let admit = Change::Seat(Seat::Admit { name: "c".to_owned(), id: 555 });
    assert!(matches!(net.propose(3, number, admit), Some(Verdict::Made(_))));
    net.run(2 * LEASE);
    assert_eq!(net.node("c").role(), Role::Elector);
    // It counts now: without another one the two decide on.
    net.off.push(if leader == "a" { "b" } else { "a" }.to_owned());
    net.run(LEASE);
    let number = net.node("c").fleet().number;
    assert!(matches!(net.propose(4, number, note("x", "y")), Some(Verdict::Made(_))));
    assert_eq!(net.node("c").fleet().notes.len(), 1);
}

/// An elector whose disk is lost between promise and fleet forms none with another disk: nothing is decided, and staff
/// are told.
#[test]
fn two_fleets_never_form_under_one_set_of_names() {
    let electors = ["a", "b", "c"];
    let mut net = Net::new(&electors, &[]);
    net.off.push("c".to_owned());
    net.run(LEASE);
    assert!(net.nodes.iter().all(|(_, node)| node.fleet().fleet == 0), "two of three form nothing");
    // c's word comes through once; a and b promise its disk; then it is lost.
    net.off.clear();
    let frame = Frame::Forming { id: 102, promise: None };
    for to in ["a", "b"] {
        net.off.push("c".to_owned());
        net.event(to, Event::Heard { from: "c".to_owned(), frame: frame.clone() });
    }
    net.run(TICK);
    let at = net.nodes.iter().position(|(name, _)| name == "c").unwrap();
    net.nodes[at].1 = Node::new(terms("c", &electors), Some(Disk::new(555)), net.now);
    net.off.clear();
    net.run(2 * LEASE);
    assert!(net.nodes.iter().all(|(_, node)| node.fleet().fleet == 0));
    assert!(net.shouts.iter().any(|s| s.contains("another disk than was promised")), "{:?}", net.shouts);
}

/// The age is rounded up by the clocks' drift, and a word that came late does not make an older one younger.
#[test]
fn a_confirmation_runs_out_by_the_routers_own_clock_alone() {
    let mut net = Net::new(&["a", "b", "c"], &["f"]);
    net.run(2 * LEASE);
    let fence = net.node("f").fence().clone();
    assert!(fence.may_act(net.now).is_some());
    net.off.push("f".to_owned());
    let asked = fence.latest().unwrap().asked;
    assert!(fence.may_act(asked + LEASE - LEASE / 1000 - 1).is_some());
    assert_eq!(fence.may_act(asked + LEASE - LEASE / 1000 + 2), None, "a clock that is slow by the drift");
    // A minority's leader confirms nothing, however sure of itself it is.
    let leader = net.leader();
    net.off.push(leader.clone());
    net.run(LEASE + TICK);
    assert_eq!(net.node(&leader).fence().may_act(net.now), None);
}

/// A hundred followers that lost their elector at once come back without a common beat: no twentieth of the time
/// between two questions gets a fifth of them, now or a minute later.
#[test]
fn a_hundred_followers_come_back_without_a_common_beat() {
    let names: Vec<String> = (0..100).map(|n| format!("f{n}")).collect();
    let followers: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut net = Net::new(&["a"], &followers);
    net.run(LEASE);
    net.off.push("a".to_owned());
    net.run(3 * LEASE);
    net.off.clear();
    for pause in [0, 60_000_000] {
        net.run(pause);
        let part = LEASE / 4 / 20;
        for _ in 0..20 {
            let before: Vec<u64> = net.asks();
            net.run(part);
            let asked = net.asks().iter().zip(&before).filter(|(now, before)| now > before).count();
            assert!(asked <= 20, "{asked} of 100 in {part} us");
        }
    }
    assert!(names.iter().all(|name| net.node(name).fence().may_act(net.now).is_some()));
}

fn cases() -> Cases {
    Cases { rng_seed: RngSeed::Fixed(24), failure_persistence: None, cases: 400, ..Cases::default() }
}

proptest! {
    #![proptest_config(cases())]

    /// Any bytes are a frame or refused, and whatever frame comes from an elector's name, Raft's messages with any
    /// figures among them, no router panics and the fleet goes on.
    #[test]
    fn bad_frames_hurt_nobody(bytes in proptest::collection::vec(any::<u8>(), 0..300), kind in 0u8..9, from in 0usize..3) {
        let mut net = Net::new(&["a", "b", "c"], &[]);
        net.run(LEASE);
        let mut whole = Assembler::default();
        let _ = whole.piece(&bytes);
        // A frame's kind, then anything: postcard reads most of that as some frame.
        let mut whole = Assembler::default();
        let frame = whole.piece(&[&[1, kind][..], &bytes].concat());
        if let Ok(Some(frame)) = frame {
            let from = ["a", "b", "staff"][from].to_owned();
            net.event("c", Event::Heard { from: from.clone(), frame: frame.clone() });
            net.event("a", Event::Heard { from, frame });
        }
        net.run(2 * LEASE);
        let number = net.node(&net.leader()).fleet().number;
        prop_assert!(matches!(net.propose(1, number, note("x", "y")), Some(Verdict::Made(_))));
    }
}

/// A message of Raft as it is spelt, to have any figures in it.
#[derive(serde::Serialize, Debug)]
struct Spelt {
    kind: u8,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<Entry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<Snapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

fn figure() -> impl Strategy<Value = u64> {
    prop_oneof![0u64..12, Just(1 << 40), Just(u64::MAX)]
}

prop_compose! {
    fn spelt()(
        kind in 0u8..14, term in figure(), log_term in figure(), index in figure(), commit in figure(),
        commit_term in figure(), request_snapshot in figure(), reject in any::<bool>(), reject_hint in figure(),
        entries in proptest::collection::vec((figure(), figure(), 0u8..4), 0..3),
        whole in proptest::option::of((figure(), figure())),
    ) -> Spelt {
        let entry = |(index, term, kind)| Entry { index, term, kind, data: vec![1], context: vec![] };
        let snapshot = |(index, term)| Snapshot { index, term, voters: vec![100, 101], ..Snapshot::default() };
        Spelt {
            kind, to: 102, from: 100, term, log_term, index, commit, commit_term, request_snapshot, reject, reject_hint,
            entries: entries.into_iter().map(entry).collect(), snapshot: whole.map(snapshot), context: vec![0; 24], priority: 0,
        }
    }
}

proptest! {
    #![proptest_config(Cases { cases: 2000, ..cases() })]

    /// An elector gone wrong may say anything in Raft's own terms: no other panics, leader or not.
    #[test]
    fn raft_messages_with_any_figures_make_no_router_panic(spelt in spelt()) {
        let mut net = Net::new(&["a", "b", "c"], &[]);
        net.run(LEASE);
        for (to, id) in [("c", 102), ("b", 101)] {
            let bytes = postcard::to_stdvec(&Spelt { to: id, entries: spelt.entries.clone(), snapshot: spelt.snapshot.clone(),
                context: spelt.context.clone(), ..spelt }).unwrap();
            let mut whole = Assembler::default();
            let frame = whole.piece(&[&[1, 2][..], &bytes].concat()).unwrap().unwrap();
            prop_assert!(matches!(frame, Frame::Raft(_)));
            net.event(to, Event::Heard { from: "a".to_owned(), frame });
        }
        net.off.push("a".to_owned());
        net.run(2 * LEASE);
    }
}

/// A frame longer than any may be is refused before it is whole.
#[test]
fn an_endless_frame_is_cut_off() {
    let mut whole = Assembler::default();
    let piece = [&[0][..], &[7; PIECE]].concat();
    let pieces = (0..).take_while(|_| whole.piece(&piece).is_ok()).count();
    assert!(pieces * PIECE <= MOST_FRAME);
    let frame = Frame::Formed { set: vec![("x".repeat(60), 1); 4000] };
    let mut whole = Assembler::default();
    let mut read = None;
    for piece in pieces_of(&frame) {
        read = whole.piece(&piece).unwrap();
    }
    assert_eq!(read, Some(frame));
}

fn pieces_of(frame: &Frame) -> Vec<Vec<u8>> {
    pieces(frame)
}

/// A life that is replaced before it has left is remembered, as it may act on beside its successor, until it leaves or
/// staff say that it is dead.
#[test]
fn a_life_that_was_replaced_unleft_is_remembered_until_it_leaves() {
    let mut net = Net::new(&["a"], &[]);
    net.run(LEASE);
    let join = |life| Change::Join { name: "f".to_owned(), life };
    let leave = |life| Change::Leave { name: "f".to_owned(), life };
    let mut made = |n, change| matches!(net.propose(n, 1_000_000, change), Some(Verdict::Made(_)));
    assert!(made(1, join(5)) && made(2, join(7)));
    assert!(!made(3, leave(6)), "nobody's");
    assert!(made(4, leave(5)) && !made(5, leave(5)));
    assert!(made(6, leave(7)) && made(7, join(9)));
    let fleet = net.node("a").fleet();
    assert!(fleet.roll["f"].earlier.is_empty() && fleet.superseded > 0);
    for life in 10..40 {
        let number = net.node("a").fleet().number;
        net.propose(life, number, join(life));
    }
    let earlier = &net.node("a").fleet().roll["f"].earlier;
    assert!(earlier.len() == bounds::EARLIER && earlier[0] == 0, "{earlier:?}");
}

/// Guards against electors that are heard and seem not to be each time Raft has checked its quorum: a machine's turn was
/// taken back by that. One that is cut off is soon not heard.
#[test]
fn an_elector_that_is_heard_is_so_at_every_moment() {
    let mut net = Net::new(&["a", "b", "c"], &[]);
    net.run(3 * LEASE);
    let leader = net.leader();
    let other = ["a", "b", "c"].into_iter().find(|name| *name != leader).unwrap();
    for step in 0..400 {
        // At each third moment its frames are lost: the checks come at such moments, too.
        net.off = if step % 3 == 0 { vec![other.to_owned()] } else { vec![] };
        net.run(TICK / 5);
        let heard = net.node(&leader).electors_heard();
        assert!(heard.len() == 3 && heard.values().all(|heard| *heard), "{heard:?} at step {step}");
    }
    net.off.push(other.to_owned());
    net.run(LEASE);
    assert!(!net.node(&leader).electors_heard()[other]);
}

/// Guards against reports that never reach the leader where an elector holds more than it hands on at a time: those that
/// did not fit go first in the next question.
#[test]
fn more_reports_than_fit_into_a_question_all_reach_the_leader_within_a_lease() {
    const ROUTERS: usize = 2 * bounds::REPORTS / bounds::REPORT;
    let mut net = Net::new(&["a", "b", "c"], &[]);
    net.run(LEASE);
    let name = |n: usize| format!("router-{n:03}");
    for n in 0..ROUTERS {
        let join = Change::Join { name: name(n), life: 1 };
        assert!(matches!(net.propose(n as u64, 1_000_000, join), Some(Verdict::Made(_))));
    }
    let leader = net.leader();
    let others: Vec<&str> = ["a", "b", "c"].into_iter().filter(|name| *name != leader).collect();
    let reports = (0..ROUTERS).map(|n| (name(n), 0, vec![7; bounds::REPORT])).collect();
    let frame = Frame::Ask { seq: 1, fleet: 0, have: 0, digest: 0, seat: None, age: None, life: 1, reports };
    net.event(others[0], Event::Heard { from: others[1].to_owned(), frame });
    net.run(LEASE);
    assert_eq!(net.node(&leader).reports().count(), ROUTERS);
}
