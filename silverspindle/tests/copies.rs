//! The router's own copies: purges, the memory limit, the time on the link.

use silverspindle::clock::Stamp;
use silverspindle::copies::{Copies, Key};
use silverspindle::feed::PurgeTarget;

const KEY: Key = (7, 0, 0);
const S: u64 = 1_000_000;

fn at(unix: u64) -> Stamp {
    Stamp::from_micros(unix)
}

fn copies(room: usize) -> Copies {
    Copies::new(room, 1000.0, 4000.0)
}

/// Guards against serving purged content: a purge drops the kept copies, and copies that arrive after the
/// purge but were issued before it are not kept.
#[test]
fn a_purge_drops_what_is_older_now_and_later() {
    for what in [PurgeTarget::Object(7), PurgeTarget::Group(3)] {
        let mut copies = copies(100_000);
        copies.keep(S, KEY, 3, b"old", at(5 * S), b"x");
        copies.keep(S, (8, 0, 0), 4, b"other", at(5 * S), b"x");
        copies.purge(7 * S, what, at(6 * S));
        assert!(copies.get(&KEY).is_none() && copies.get(&(8, 0, 0)).is_some());
        copies.keep(8 * S, KEY, 3, b"late", at(6 * S), b"x");
        assert!(copies.get(&KEY).is_none());
        copies.keep(8 * S, KEY, 3, b"new", at(6 * S + 1), b"x");
        assert_eq!(copies.get(&KEY).unwrap().tag, "new");
        copies.keep(9 * S, KEY, 3, b"late", at(6 * S), b"x");
        assert_eq!(copies.get(&KEY).unwrap().tag, "new", "an older copy does not replace it");
    }
}

/// Guards the memory limit: the least recently used copy is evicted, and a copy larger than the limit is not
/// kept.
#[test]
fn memory_holds_what_was_used_last() {
    let mut copies = copies(3000);
    for object in 1..=2 {
        copies.keep(S, (object, 0, 0), 0, b"t", at(S), &[0; 1000]);
    }
    copies.touch(&(1, 0, 0));
    copies.keep(S, (3, 0, 0), 0, b"t", at(S), &[0; 1000]);
    copies.keep(S, (4, 0, 0), 0, b"t", at(S), &[0; 3000]);
    let held: Vec<u64> = (1..=4).filter(|object| copies.get(&(*object, 0, 0)).is_some()).collect();
    assert_eq!(held, [1, 3]);
    let mut none = Copies::new(3000, 0.0, 0.0);
    none.keep(S, KEY, 0, b"t", at(S), b"x");
    assert!(none.get(&KEY).is_none(), "without the link's rates no copies are kept");
}

#[test]
fn bytes_wait_behind_those_on_the_link() {
    let mut copies = copies(100_000);
    assert_eq!(copies.wait(S, 1000), S, "a single transfer at its own rate");
    (0..4).for_each(|_| copies.send(S, 1000));
    assert_eq!(copies.wait(S, 1000), S + S / 4);
    assert_eq!(copies.wait(3 * S, 1000), S);
    copies.keep(S, KEY, 0, b"t", at(S), &[0; 2000]);
    let copy = copies.get(&KEY).unwrap();
    assert_eq!((copy.bytes(false), copy.bytes(true)), (2000, 100));
}
