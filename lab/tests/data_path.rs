//! What the measurements of the data path rest on: the fit, the store's order, the stream's being served, and that the
//! filter's figures come by seed. No verdict from speed.

use silverspindle_lab::data_path::cache::{Rank, RankedLru};
use silverspindle_lab::data_path::filter::{self, Options};
use silverspindle_lab::data_path::fit::Power;
use silverspindle_lab::data_path::host::{Host, members};
use silverspindle_lab::data_path::{Row, requests, rows};

#[test]
fn a_power_law_is_found_again() {
    let points: Vec<(u64, f64)> = [10, 100, 1000].map(|n| (n, 0.36 * (n as f64).powf(1.5))).to_vec();
    let fit = Power::through(&points).unwrap();
    assert!((fit.power - 1.5).abs() < 1e-9 && (fit.coefficient - 0.36).abs() < 1e-9, "{fit}");
    assert!((fit.at(400.0) - 0.36 * 8_000.0).abs() < 1e-6);
}

#[test]
fn a_fit_takes_three_sizes_that_differ_and_no_zero() {
    assert_eq!(Power::through(&[(1, 1.0), (2, 2.0)]), None);
    assert_eq!(Power::through(&[(1, 1.0), (2, 0.0), (3, 3.0)]), None);
    assert_eq!(Power::through(&[(5, 1.0), (5, 2.0), (5, 3.0)]), None);
}

#[test]
fn rows_carry_the_fit_of_all_their_points() {
    let rows: Vec<Row> = rows("x", "us", &[(1, 2.0), (2, 4.0), (4, 8.0)]);
    assert_eq!(rows.len(), 3);
    assert!(rows.iter().all(|row| row.fit.is_some_and(|fit| (fit.power - 1.0).abs() < 1e-9)));
}

/// The stream that is measured is served whole: no refusal makes a request cheap.
#[test]
fn all_requests_of_the_stream_are_served() {
    for (caches, parents) in [(1, 1), (10, 5), (5, 100)] {
        let mut host = Host::new(members(caches, parents));
        (0..3_000).for_each(|_| host.next_request());
        assert_eq!(host.unserved, 0, "{caches} caches, {parents} parents");
    }
}

#[test]
fn the_core_share_is_the_time_by_the_requests_of_the_peak() {
    let times = rows("request_by_caches", "us", &[(10, 5.0), (100, 50.0), (1000, 500.0)]);
    let shares = requests::core_share(&times);
    assert_eq!(shares.iter().map(|row| row.n).collect::<Vec<_>>(), [10, 100, 1000]);
    assert!((shares[1].value - 0.0545).abs() < 1e-12);
}

#[test]
fn the_store_drops_the_lower_rank_first_and_in_it_what_was_used_longest_ago() {
    let mut store = RankedLru::new(3);
    store.keep(1, Rank::Middle);
    store.keep(2, Rank::Low);
    store.keep(3, Rank::Low);
    assert!(store.hit(2, None));
    store.keep(4, Rank::Middle);
    assert!(!store.hit(3, None), "the lower rank's least recent one went");
    assert!(store.hit(1, None) && store.hit(2, None) && store.hit(4, None));
}

#[test]
fn a_copy_of_the_lower_rank_pushes_out_none_of_the_higher() {
    let mut store = RankedLru::new(2);
    store.keep(1, Rank::Middle);
    store.keep(2, Rank::Middle);
    store.keep(3, Rank::Low);
    assert!(!store.hit(3, None) && store.hit(1, None) && store.hit(2, None));
    assert!(store.hit(1, Some(Rank::Low)), "a hit sets the rank that it names");
    store.keep(4, Rank::Low);
    assert!(!store.hit(1, None) && store.hit(4, None));
}

fn options() -> Options {
    Options { generations: vec![64, 4096], exponents: vec![0.9], rooms: vec![500], seconds: 8, seed: 3 }
}

#[test]
fn the_filters_figures_come_by_seed() {
    let first = filter::measure(&options()).unwrap();
    assert_eq!(first, filter::measure(&options()).unwrap());
    let other = filter::measure(&Options { seed: 4, ..options() }).unwrap();
    assert_ne!(first, other);
}

#[test]
fn longer_generations_know_more() {
    let shares = filter::measure(&options()).unwrap();
    let seen = |n| shares.iter().find(|s| s.what == "seen" && s.n == n).unwrap().value;
    assert!(seen(Some(64)) < seen(Some(4096)) && seen(Some(4096)) <= seen(None));
}

#[test]
fn an_exponent_that_is_none_is_refused() {
    assert!(filter::measure(&Options { exponents: vec![f64::NAN], ..options() }).is_err());
}
