//! Both sides' plans, the protocol's bounds, and snapshots' refusals.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngSeed};
use silverspindle_knowledge::asking::{Action, Asking, Event};
use silverspindle_knowledge::giving::Giving;
use silverspindle_knowledge::protocol::*;
use silverspindle_knowledge::snapshot::{self, Refused};
use silverspindle_knowledge::*;

const ME: Source = Source { instance: InstanceId(1), incarnation: 1_000 };
const SECOND: Micros = 1_000_000;

fn donors(n: u64) -> Vec<InstanceId> {
    (0..n).map(|i| InstanceId::of(&format!("n{i}"))).collect()
}

fn asked(actions: &[Action]) -> Vec<usize> {
    actions.iter().filter_map(|a| if let Action::Ask(d) = a { Some(*d) } else { None }).collect()
}

fn step(plan: &mut Asking, now: Micros, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    plan.handle(now, event, &mut out);
    out
}

#[test]
fn one_donor_of_long_standing_is_enough() {
    let mut plan = Asking::new(ME, &donors(5), 2, 30 * SECOND);
    let first = asked(&step(&mut plan, 0, Event::Tick));
    assert_eq!(first.len(), 2);
    let up = 600 * SECOND;
    assert_eq!(asked(&step(&mut plan, SECOND, Event::Answered { donor: first[0], up })), []);
    assert_eq!(step(&mut plan, 2 * SECOND, Event::Failed { donor: first[1] }), [Action::Done]);
}

/// Guards against newcomers that ask only each other: fresh donors weigh little, so the next ones are asked,
/// and the fresh ones again later.
#[test]
fn among_fresh_donors_a_newcomer_goes_on() {
    let mut plan = Asking::new(ME, &donors(4), 2, 30 * SECOND);
    let mut waiting = asked(&step(&mut plan, 0, Event::Tick));
    let mut seen = waiting.clone();
    for n in 0..4 {
        let more = step(&mut plan, 1000 + n, Event::Answered { donor: waiting.remove(0), up: 2 * SECOND });
        waiting.extend(asked(&more));
        seen.extend(asked(&more));
    }
    seen.sort_unstable();
    assert_eq!(seen, [0, 1, 2, 3]);
    let again = asked(&step(&mut plan, 2 * SECOND, Event::Tick));
    assert_eq!(again.len(), 2, "fresh donors are asked again after a second");
    assert_eq!(step(&mut plan, 30 * SECOND, Event::Tick), [Action::Done]);
}

#[test]
fn newcomers_of_one_roll_spread_over_the_donors() {
    let mut first = [0; 10];
    for n in 0..1000 {
        let me = Source { instance: InstanceId::of(&format!("new{n}")), incarnation: n };
        let mut plan = Asking::new(me, &donors(10), 1, SECOND);
        first[asked(&step(&mut plan, 0, Event::Tick))[0]] += 1;
    }
    assert!(first.iter().all(|n| (60..=140).contains(n)), "{first:?}");
    // Nobody asks itself.
    let me = Source { instance: donors(10)[4], incarnation: 5 };
    let mut plan = Asking::new(me, &donors(10), 20, SECOND);
    assert!(!asked(&step(&mut plan, 0, Event::Tick)).contains(&4));
}

#[test]
fn a_busy_and_a_dead_donor_are_asked_again_later_and_not_for_ever() {
    let mut plan = Asking::new(ME, &donors(1), 1, 30 * SECOND);
    assert_eq!(asked(&step(&mut plan, 0, Event::Tick)), [0]);
    let told = step(&mut plan, 0, Event::Busy { donor: 0, after: 3 * SECOND });
    assert_eq!(told, [Action::Wake(3 * SECOND)]);
    let (mut now, mut times) = (3 * SECOND, 0);
    while let [.., Action::Wake(next)] = step(&mut plan, now, Event::Tick)[..] {
        times += 1;
        assert!(next > now);
        match step(&mut plan, now, Event::Failed { donor: 0 })[..] {
            [.., Action::Wake(next)] => now = next,
            _ => break,
        }
    }
    assert!((5..12).contains(&times), "{times}");
}

/// Guards a donor's clients: so many bytes a second whoever asks, and it waits while they have work for it.
#[test]
fn a_donor_gives_within_its_rate_and_behind_its_clients() {
    let mut giving = Giving::new(1_000_000, 2);
    let [one, two] = [400_000, 400_000].map(|bytes| giving.begin(bytes));
    let (mut now, mut sent) = (10 * SECOND, 0);
    for n in 0..200 {
        match giving.may_write(if n % 2 == 0 { one } else { two }, 16_384, false, now) {
            Ok(()) => sent += 16_384,
            Err(wait) => now += wait,
        }
    }
    let elapsed = now - 10 * SECOND;
    let most = elapsed as f64 + 2.0 * 16_384.0;
    assert!(sent as f64 <= most && sent as f64 > 0.8 * elapsed as f64, "{sent} in {elapsed}");
    // Advice by what is left, spread.
    let advice: std::collections::BTreeSet<Micros> =
        donors(20).iter().map(|who| giving.admit(*who, now).unwrap_err()).collect();
    assert!(advice.len() > 15 && advice.iter().all(|a| (50_000..SECOND).contains(a)), "{advice:?}");
    giving.end(one);
    assert_eq!(giving.admit(ME.instance, now), Ok(()));
    now += SECOND;
    let mut put_off = 0;
    while giving.may_write(two, 100, true, now).is_err() {
        put_off += 1;
    }
    assert_eq!(put_off, 20, "busy for ever must not mean never");
}

fn item(n: u64) -> Item {
    Item::Fact(Record {
        subject: Subject::Member(n, Aspect::Pace),
        source: ME,
        seq: n,
        age: 5,
        up: 6,
        observations: 7,
        hops: 0,
        value: Value::Pace { started: 0, limit: 3.0, lateness: 0.5 },
    })
}

fn offer(items: u32) -> Vec<u8> {
    encode(&Message::Offer(Offer { me: ME, up: 9, items }), VERSION)
}

#[test]
fn an_answer_is_taken_whole_or_not_at_all() {
    let items: Vec<Item> = (0..2000).map(item).collect();
    let (count, frames) = answer(items.clone(), MOST_TRANSFER);
    assert_eq!(count, 2000);
    assert!(frames.len() > 3 && frames.iter().all(|f| f.len() <= MOST_FRAME));
    let mut taking = Taking::default();
    assert_eq!(taking.frame(&offer(count)), Ok(Taken::More));
    for frame in &frames[..frames.len() - 1] {
        assert_eq!(taking.frame(frame), Ok(Taken::More));
    }
    let Ok(Taken::Whole(_, got)) = taking.frame(&frames[frames.len() - 1]) else { panic!() };
    assert_eq!(got, items);
    // One frame less, and one too many.
    for count in [1999, 2001] {
        let mut taking = Taking::default();
        taking.frame(&offer(count)).unwrap();
        let ends: Vec<_> = frames.iter().map(|f| taking.frame(f)).collect();
        assert!(ends.contains(&Err(Malformed::Count)));
    }
    // More than fits is left out from the end.
    let (fewer, _) = answer(items, 10_000);
    assert!((100..2000).contains(&fewer), "{fewer}");
}

#[test]
fn what_a_donor_must_not_say_is_refused_with_a_reason() {
    let fresh = Taking::default;
    assert_eq!(measure(&3_000_000_000u32.to_be_bytes()), Err(Malformed::Length(3_000_000_000)));
    assert_eq!(measure(&[0; 4]), Err(Malformed::Length(0)));
    let newer = encode(&Message::Offer(Offer { me: ME, up: 9, items: 1 }), 2);
    assert_eq!(fresh().frame(&newer), Err(Malformed::Version(2)));
    assert_eq!(Malformed::Version(2).to_string(), "version 2, this router speaks 1");
    let items = encode(&Message::Items(vec![item(1)]), VERSION);
    assert_eq!(fresh().frame(&items), Err(Malformed::Kind(4)), "items before an offer");
    let mut twice = fresh();
    twice.frame(&offer(1)).unwrap();
    assert_eq!(twice.frame(&offer(1)), Err(Malformed::Kind(2)));
    let mut nan = fresh();
    nan.frame(&offer(2)).unwrap();
    let Item::Fact(good) = item(1) else { panic!() };
    let bad = Record { value: Value::Pace { started: 0, limit: f32::NAN, lateness: 0.0 }, ..good };
    let mixed = encode(&Message::Items(vec![item(2), Item::Fact(bad)]), VERSION);
    assert_eq!(nan.frame(&mixed), Err(Malformed::Range));
    assert_eq!(fresh().frame(b"\0\0\0\x08\x02GET / H"), Err(Malformed::Magic));
}

/// Guards against a bound that a full filter does not fit in.
#[test]
fn two_full_generations_fit_a_frame() {
    let ids = |n: u64| {
        Ids::new((0..GENERATION as u64).map(|i| (i + n).wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect())
    };
    let Item::Fact(record) = item(1) else { panic!() };
    let value = Value::Filter { active: ids(0), passive: ids(9000) };
    let full = Item::Fact(Record { subject: Subject::Filter, value, ..record });
    let (count, frames) = answer(vec![item(2), full.clone(), item(3)], MOST_TRANSFER);
    assert!(count == 3 && frames.iter().all(|f| measure(f) == Ok(f.len())));
    let mut taking = Taking::default();
    taking.frame(&offer(3)).unwrap();
    let ends: Vec<_> = frames.iter().map(|f| taking.frame(f)).collect();
    let Some(Ok(Taken::Whole(_, items))) = ends.last() else {
        panic!("{:?}", ends.iter().map(|e| e.as_ref().err()).collect::<Vec<_>>())
    };
    assert_eq!(items[1], full);
}

/// Guards against an answer without an end.
#[test]
fn an_endless_answer_is_cut_off() {
    let mut taking = Taking::default();
    taking.frame(&offer(u32::MAX)).unwrap();
    let frame = encode(&Message::Items((0..1000).map(item).collect()), VERSION);
    let refused = (0..1000).find_map(|_| taking.frame(&frame).err());
    assert_eq!(refused, Some(Malformed::TooMuch));
}

fn shot() -> Vec<u8> {
    snapshot::encode(ME.instance, 50 * SECOND, (0..100).map(item).collect(), 1 << 20)
}

#[test]
fn a_snapshot_reads_back_older_by_the_time_away() {
    let (away, items) = snapshot::decode(ME.instance, 57 * SECOND, &shot()).unwrap();
    assert_eq!((away, items.len()), (7 * SECOND, 100));
    let small = snapshot::encode(ME.instance, 0, (0..100).map(item).collect(), 1000);
    assert!(small.len() <= 1000);
    assert!((20..100).contains(&snapshot::decode(ME.instance, 0, &small).unwrap().1.len()));
}

#[test]
fn a_snapshot_that_is_not_whole_or_not_ours_is_refused() {
    let good = shot();
    let read = |bytes: &[u8]| snapshot::decode(ME.instance, 57 * SECOND, bytes).unwrap_err();
    for cut in 0..good.len() {
        assert_eq!(read(&good[..cut]), Refused::Torn, "{cut}");
    }
    for flip in 0..good.len() {
        let mut bytes = good.clone();
        bytes[flip] ^= 0x10;
        let refused = read(&bytes);
        let fits = match flip {
            0..8 => refused == Refused::Foreign,
            8..10 => matches!(refused, Refused::Version(_)),
            26..30 => refused == Refused::Torn,
            _ => refused == Refused::Checksum,
        };
        assert!(fits, "{flip}: {refused:?}");
    }
    assert_eq!(snapshot::decode(InstanceId(2), 57 * SECOND, &good).unwrap_err(), Refused::Instance);
    assert_eq!(snapshot::decode(ME.instance, 2 * 3600 * SECOND, &good).unwrap_err(), Refused::TooOld);
    let later = snapshot::encode(ME.instance, 500 * SECOND, vec![], 1000);
    assert_eq!(read(&later), Refused::Future);
}

proptest! {
    #![proptest_config(Cases { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..Cases::default() })]

    /// Guards against a panic, or a reservation, on any bytes: random ones, and good frames with some changed.
    #[test]
    fn any_bytes_are_read_or_refused(noise in vec(any::<u8>(), 0..200), at in 0usize..2000, with in vec(any::<u8>(), 1..9)) {
        let mut changed = encode(&Message::Items((0..20).map(item).collect()), VERSION);
        let at = at % changed.len();
        let end = (at + with.len()).min(changed.len());
        changed[at..end].copy_from_slice(&with[..end - at]);
        for bytes in [noise.clone(), changed, [offer(3), noise].concat()] {
            let _ = measure(&bytes);
            let _ = decode(&bytes);
            let _ = snapshot::decode(ME.instance, 0, &bytes);
            let mut taking = Taking::default();
            let _ = taking.frame(&offer(9));
            let _ = taking.frame(&bytes);
        }
    }
}
