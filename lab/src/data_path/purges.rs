//! Processor time a purge against purges a second, once as many are remembered as stay.

use super::host::{Host, members, processor_time, settings};
use super::{Point, Row, median, rows};

const MICROS_PER_S: u64 = 1_000_000;
const CACHES: u64 = 5;
const PARENTS: u64 = 10;
const PURGES: u64 = 4_000;
const ROUNDS: usize = 5;

/// Purges that are remembered at this rate.
pub fn remembered(rate: u64) -> u64 {
    let settings = settings();
    rate * (settings.purge_complete_within + settings.purge_grace) / MICROS_PER_S
}

/// A host that remembers as many purges as stay at this rate, and the number of the next one.
pub fn warm_host(rate: u64) -> (Host, u64) {
    let mut host = Host::new(members(CACHES, PARENTS));
    let count = 2 * remembered(rate);
    (0..count).for_each(|object| host.purge(MICROS_PER_S / rate, object));
    (host, count)
}

/// Microseconds a purge at so many a second, the median of some rounds.
pub fn time(rate: u64) -> f64 {
    let (mut host, mut object) = warm_host(rate);
    let round = |_| {
        let began = processor_time();
        for _ in 0..PURGES {
            object += 1;
            host.purge(MICROS_PER_S / rate, object);
        }
        (processor_time() - began) / PURGES as f64
    };
    median((0..ROUNDS).map(round).collect())
}

/// Time a purge by purges a second.
pub fn measure(rates: &[u64]) -> Vec<Row> {
    let points: Vec<Point> = rates.iter().map(|rate| (*rate, time(*rate))).collect();
    rows("purge_by_rate", "us", &points)
}
