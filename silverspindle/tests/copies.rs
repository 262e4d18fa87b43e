//! The router's own copies: purges, the memory limit, the time on the link.

use silverspindle::clock::Stamp;
use silverspindle::copies::{Copies, Key};
use silverspindle::feed::PurgeTarget;

const KEY: Key = (7, 0, 0);
const S: u64 = 1_000_000;

fn stamp(unix_micros: u64) -> Stamp {
    Stamp::from_micros(unix_micros)
}

fn copies(memory_limit: usize) -> Copies {
    Copies::new(memory_limit, 1000.0, 4000.0)
}

/// Guards against serving purged content: a purge drops the kept copies, and copies that arrive after the
/// purge but were issued before it are not kept.
#[test]
fn a_purge_drops_older_copies_now_and_when_they_arrive_later() {
    for what in [PurgeTarget::Object(7), PurgeTarget::Group(3)] {
        let mut copies = copies(100_000);
        copies.store(S, KEY, 3, b"old", stamp(5 * S), b"x");
        copies.store(S, (8, 0, 0), 4, b"other", stamp(5 * S), b"x");
        copies.purge(7 * S, what, stamp(6 * S));
        assert!(copies.get(&KEY).is_none() && copies.get(&(8, 0, 0)).is_some());
        copies.store(8 * S, KEY, 3, b"late", stamp(6 * S), b"x");
        assert!(copies.get(&KEY).is_none());
        copies.store(8 * S, KEY, 3, b"new", stamp(6 * S + 1), b"x");
        assert_eq!(copies.get(&KEY).unwrap().tag, "new");
        copies.store(9 * S, KEY, 3, b"late", stamp(6 * S), b"x");
        assert_eq!(copies.get(&KEY).unwrap().tag, "new", "an older copy does not replace it");
    }
}

/// Guards the memory limit: the least recently used copy is evicted, and a copy larger than the limit is not
/// kept.
#[test]
fn the_least_recently_used_copy_is_evicted() {
    let mut copies = copies(3000);
    for object in 1..=2 {
        copies.store(S, (object, 0, 0), 0, b"t", stamp(S), &[0; 1000]);
    }
    copies.mark_used(&(1, 0, 0));
    copies.store(S, (3, 0, 0), 0, b"t", stamp(S), &[0; 1000]);
    copies.store(S, (4, 0, 0), 0, b"t", stamp(S), &[0; 3000]);
    let kept: Vec<u64> = (1..=4).filter(|object| copies.get(&(*object, 0, 0)).is_some()).collect();
    assert_eq!(kept, [1, 3]);
    let mut disabled = Copies::new(3000, 0.0, 0.0);
    disabled.store(S, KEY, 0, b"t", stamp(S), b"x");
    assert!(disabled.get(&KEY).is_none(), "without the link's rates no copies are kept");
}

#[test]
fn transfer_time_includes_bytes_already_on_the_link() {
    let mut copies = copies(100_000);
    assert_eq!(copies.transfer_time(S, 1000), S, "a single transfer at its own rate");
    (0..4).for_each(|_| copies.book_transfer(S, 1000));
    assert_eq!(copies.transfer_time(S, 1000), S + S / 4);
    assert_eq!(copies.transfer_time(3 * S, 1000), S);
    copies.store(S, KEY, 0, b"t", stamp(S), &[0; 2000]);
    let copy = copies.get(&KEY).unwrap();
    assert_eq!((copy.bytes(false), copy.bytes(true)), (2000, 100));
}
