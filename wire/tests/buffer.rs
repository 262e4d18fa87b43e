//! Buffers with pages of their own, and how many of them are kept for reuse.

use bytes::Bytes;
use silverspindle_wire::buffer::{Buffer, MIN_MAPPED, set_spare_limit, spare_bytes};

const LARGE: usize = 100_000;

/// Guards against memory that is kept without a bound: pages are reused only within the limit, and given back when it is
/// lowered.
#[test]
fn pages_are_kept_within_the_limit_and_reused() {
    drop(Buffer::with_length(LARGE));
    assert_eq!(spare_bytes(), 0, "none is kept before a limit is set");
    set_spare_limit(2 * LARGE + LARGE / 2);
    drop([(); 3].map(|()| Buffer::with_length(LARGE)));
    assert_eq!(spare_bytes(), 2 * LARGE);
    let reused = Buffer::with_length(LARGE - LARGE / 10);
    assert_eq!((reused.len(), spare_bytes()), (LARGE - LARGE / 10, LARGE));
    let much_smaller = Buffer::with_length(LARGE / 2);
    assert_eq!((much_smaller.len(), spare_bytes()), (LARGE / 2, LARGE), "too large for it");
    set_spare_limit(0);
    assert_eq!(spare_bytes(), 0);
    drop(reused);
    assert_eq!(spare_bytes(), 0);
}

/// Guards the content of reused pages: what an earlier message left there is never part of a later one.
#[test]
fn a_reused_buffer_holds_the_new_bytes_alone() {
    set_spare_limit(LARGE);
    drop(Buffer::copy_of(&[b'o'; LARGE]));
    let copy: Bytes = Buffer::copy_of(&[b'n'; LARGE - 1000]).into();
    assert_eq!(copy.len(), LARGE - 1000);
    assert!(copy.iter().all(|byte| *byte == b'n'));
}

/// A short buffer is appended to; one with pages of its own keeps its first bytes when it becomes a short one.
#[test]
fn bytes_are_appended_behind_those_that_are_kept() {
    let mut short = Buffer::default();
    short.replace_from(0, b"abc");
    short.replace_from(2, b"de");
    assert_eq!(&short[..], b"abde");
    let mut large = Buffer::copy_of(&[b'x'; MIN_MAPPED]);
    large.replace_from(1, b"y");
    assert_eq!(&large[..], b"xy");
}
