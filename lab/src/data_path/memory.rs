//! Bytes of the module's state against members, open requests, purges and ids in the filter, from the kernel's account
//! of this process: many of a kind are made and kept, and what the process grew by is shared out.

use std::fs;

use bitternhold::AgeingFilter;

use super::host::{Host, members};
use super::{Point, Row, purges, rows};

const PAGE: u64 = 4_096;
/// So many members, ids, purges or open requests in all are made for each size.
const TOTAL_MEMBERS: u64 = 200_000;
const TOTAL_IDS: u64 = 8_000_000;
const TOTAL_PURGES: u64 = 500_000;
const TOTAL_OPEN: u64 = 48_000;
const OPEN: [u64; 3] = [500, 2_000, 8_000];
const GENERATIONS: [u64; 4] = [4_096, 65_536, 1_048_576, 4_194_304];
/// Caches and parents of a host whose other state is measured.
const CACHES: u64 = 100;
const PARENTS: u64 = 10;
const NO_QUIET: u64 = u64::MAX;
/// Spreads numbers over all ids.
const ODD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Bytes that the process holds in memory.
fn resident() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm").ok();
    let pages = pages.and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

/// Bytes that one takes of so many that are made and kept until all are there.
fn bytes_of_one<T>(count: u64, make: impl Fn() -> T) -> f64 {
    let before = resident();
    let kept: Vec<T> = (0..count).map(|_| make()).collect();
    let grown = resident().saturating_sub(before);
    // Given back to the kernel late or never: forgotten, so that the next measurement can't grow into it.
    std::mem::forget(kept);
    grown as f64 / count as f64
}

/// A filter with both generations full.
fn full_filter(generation: u64) -> AgeingFilter {
    let mut filter = AgeingFilter::new(generation as usize, NO_QUIET);
    for n in 1..2 * generation {
        filter.seen(0, n.wrapping_mul(ODD));
    }
    filter
}

fn open_requests(open: u64) -> Host {
    let mut host = Host::new(members(CACHES, PARENTS));
    (0..open).for_each(|_| host.ask());
    host
}

fn points(sizes: &[u64], bytes: impl Fn(u64) -> f64) -> Vec<Point> {
    sizes.iter().map(|n| (*n, bytes(*n))).collect()
}

/// Bytes by listed caches, open requests, purges a second and ids of a generation.
pub fn measure(member_sizes: &[u64], purge_rates: &[u64]) -> Vec<Row> {
    let by_members =
        points(member_sizes, |n| bytes_of_one(TOTAL_MEMBERS / n, || Host::new(members(n, PARENTS))));
    let by_open = points(&OPEN, |n| bytes_of_one(TOTAL_OPEN / n, || open_requests(n)));
    let by_purges = points(purge_rates, |rate| {
        bytes_of_one(TOTAL_PURGES / purges::remembered(rate), || purges::warm_host(rate))
    });
    let by_ids = points(&GENERATIONS, |n| bytes_of_one((TOTAL_IDS / n / 2).max(1), || full_filter(n)));
    [
        rows("bytes_by_caches", "bytes", &by_members),
        rows("bytes_by_open_requests", "bytes", &by_open),
        rows("bytes_by_purge_rate", "bytes", &by_purges),
        rows("bytes_by_generation", "bytes", &by_ids),
    ]
    .concat()
}
