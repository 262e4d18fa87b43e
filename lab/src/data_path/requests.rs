//! Processor time a request against listed members. The figures hold the host's own part: making the events and
//! keeping the timers.

use super::host::{Host, members, processor_time};
use super::{Point, REQUESTS_PER_S, Row, median, rows};

/// Members of the other sort, of which there are few.
const FEW: u64 = 5;
/// Before a measurement, until timers and open requests are as many as they stay.
const WARM_UP: u64 = 2_000;
const REQUESTS: u64 = 2_000;
const ROUNDS: usize = 5;
const AGAINST_CACHES: &str = "request_by_caches";
const AGAINST_PARENTS: &str = "request_by_parents";

/// Microseconds a request before so many caches and parents, the median of some rounds.
pub fn time(caches: u64, parents: u64) -> f64 {
    let mut host = Host::new(members(caches, parents));
    (0..WARM_UP).for_each(|_| host.next_request());
    let round = |_| {
        let began = processor_time();
        (0..REQUESTS).for_each(|_| host.next_request());
        (processor_time() - began) / REQUESTS as f64
    };
    let times = (0..ROUNDS).map(round).collect();
    assert_eq!(host.unserved, 0, "the stream is one that its members bear");
    median(times)
}

/// Time a request by listed caches and by listed parents.
pub fn measure(sizes: &[u64]) -> Vec<Row> {
    let caches: Vec<Point> = sizes.iter().map(|n| (*n, time(*n, FEW))).collect();
    let parents: Vec<Point> = sizes.iter().map(|n| (*n, time(FEW, *n))).collect();
    [rows(AGAINST_CACHES, "us", &caches), rows(AGAINST_PARENTS, "us", &parents)].concat()
}

/// The part of a core that a router's part of the peak takes by these times.
pub fn core_share(times: &[Row]) -> Vec<Row> {
    let share = |(from, what)| {
        let measured = times.iter().filter(move |row| row.what == from);
        let points: Vec<Point> =
            measured.map(|row| (row.n, row.value * REQUESTS_PER_S as f64 / 1e6)).collect();
        rows(what, "core", &points)
    };
    [(AGAINST_CACHES, "core_by_caches"), (AGAINST_PARENTS, "core_by_parents")].map(share).concat()
}
