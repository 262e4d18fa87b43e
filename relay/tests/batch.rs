//! Batches: what is coded is read back, at nine bytes a purge, and nothing that a peer sends does harm.

mod common;

use common::{list, purge, purges};
use proptest::prelude::*;
use silverspindle_relay::batch::Batch;
use silverspindle_relay::{Entry, Fault, Frame, PurgeTarget, Record, bounds};

fn entry() -> impl Strategy<Value = Entry> {
    let what =
        prop_oneof![any::<u64>().prop_map(PurgeTarget::Object), any::<u64>().prop_map(PurgeTarget::Group)];
    let at_ms = prop_oneof![any::<u64>(), 1_700_000_000_000..1_700_000_100_000u64];
    let members = prop::collection::vec((any::<u32>(), 0..3u8), 0..5);
    prop_oneof![
        8 => (what, at_ms).prop_map(|(what, at_ms)| Entry::Purge { what, at_ms }),
        1 => (1..=2u8, members).prop_map(|(kind, members)| Entry::List(list(kind, &members))),
    ]
}

fn batch() -> impl Strategy<Value = Batch> {
    let steps = prop::collection::vec((prop_oneof![4 => Just(1u64), 1 => 1..1_000_000u64], entry()), 0..60);
    (0..u64::MAX / 2, steps).prop_map(|(after, steps)| {
        let mut number = after;
        let record = |(step, entry)| {
            number += step;
            Record { number, entry }
        };
        Batch { after, records: steps.into_iter().map(record).collect() }
    })
}

proptest! {
    #[test]
    fn a_batch_is_read_back_as_it_was(batch in batch()) {
        prop_assert_eq!(Batch::decode(&batch.encode()), Ok(batch));
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(batch) = Batch::decode(&bytes) {
            let numbers: Vec<u64> = batch.records.iter().map(|record| record.number).collect();
            prop_assert!(numbers.first().is_none_or(|first| *first > batch.after));
            prop_assert!(numbers.is_sorted_by(|a, b| a < b));
        }
        let _ = Frame::decode(&bytes);
    }

    #[test]
    fn a_damaged_batch_is_read_or_refused(batch in batch(), at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = batch.encode();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let _ = Batch::decode(&bytes);
        let _ = Batch::decode(&bytes[..at]);
    }
}

/// 110 a second are nine milliseconds apart.
#[test]
fn an_object_s_purge_takes_nine_bytes() {
    let coded = Batch { after: 5_000_000, records: purges(5_000_001..=5_000_110) }.encode();
    let first = 4 + 6 + 8;
    assert_eq!(coded.len(), first + 109 * 9);
}

#[test]
fn numbers_beyond_the_last_are_refused() {
    let coded = Batch { after: u64::MAX - 1, records: vec![purge(u64::MAX, 1, 1)] }.encode();
    assert!(Batch::decode(&coded).is_ok());
    let beyond = [coded.as_slice(), &coded[coded.len() - 9..]].concat();
    assert_eq!(Batch::decode(&beyond), Err(Fault::Order));
}

#[test]
fn what_is_longer_than_a_batch_or_no_list_event_is_refused() {
    let long = vec![0; bounds::BATCH + bounds::LIST + 65];
    assert_eq!(Batch::decode(&long), Err(Fault::TooLong));
    assert_eq!(Frame::decode(&vec![0; bounds::FRAME + 1]), Err(Fault::TooLong));
    let half = Entry::List(vec![1; 20]);
    let coded = Batch { after: 0, records: vec![Record { number: 1, entry: half }] }.encode();
    assert_eq!(Batch::decode(&coded), Err(Fault::Unreadable));
}
