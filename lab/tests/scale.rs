//! What the scale runs promise: rows for each size and role, the same ones for the same seed, purges in force in time,
//! and no cost to one router that grows with the number of others. No verdict here rests on speed.

use std::collections::BTreeSet;
use std::process::Command;

use silverspindle_lab::scale::{Core, Row, Run, Scenario, fit, play, play_all, relay_model};
use silverspindle_relay::Guards;

/// The target: a purge is everywhere within this.
const EVERYWHERE_MS: u64 = 9_200;

fn run(routers: usize, scenario: Scenario, seconds: u64) -> Run {
    Run { routers, scenario, seconds, seed: 1 }
}

fn relay(routers: usize, scenario: Scenario, seconds: u64) -> Vec<Row> {
    play(run(routers, scenario, seconds), Some(Core::Relay))
}

fn role<'a>(rows: &'a [Row], role: &str) -> &'a Row {
    rows.iter().find(|row| row.role == role).unwrap_or_else(|| panic!("no row of a {role}"))
}

/// Everything that a row holds but the processor's time.
fn without_processor_time(rows: &[Row]) -> Vec<String> {
    let line = |row: &Row| {
        let mut row = row.clone();
        (row.cpu_s_per_s, row.busiest_cpu_s_per_s) = (0.0, 0.0);
        row.fit.remove("cpu_s_per_s");
        row.json()
    };
    rows.iter().map(line).collect()
}

/// Purges come in every scenario of the relays but the quiet one; each is everywhere in time, and no source says so before.
#[test]
fn purges_are_everywhere_in_time_in_every_scenario_of_the_relays() {
    let scenarios = [
        Scenario::Purges,
        Scenario::Churn,
        Scenario::Zone,
        Scenario::Region,
        Scenario::Relay,
        Scenario::Start,
    ];
    for scenario in scenarios {
        for row in relay(120, scenario, 20) {
            let facts = &row.facts;
            assert_eq!((facts.said_too_early, facts.events_unfinished), (0, 0), "{facts:?}");
            assert!(facts.events_measured > 1_000, "{facts:?}");
            for times in [facts.everywhere_ms, facts.in_force_ms] {
                let longest = times.map(|times| times.longest);
                assert!(longest.is_some_and(|ms| ms <= EVERYWHERE_MS), "{facts:?}");
            }
            assert!(facts.note.ends_with(" 0 applied out of order"), "{facts:?}");
        }
    }
}

/// A check that finds nothing when the guard is gone proves nothing.
#[test]
fn without_the_lease_or_the_watermark_a_source_speaks_too_early() {
    let all = Guards::default();
    for (scenario, guards) in [
        (Scenario::Relay, Guards { lease: false, ..all }),
        (Scenario::Region, Guards { watermark: false, ..all }),
    ] {
        let rows = relay_model::play_with(run(120, scenario, 20), guards);
        assert!(rows.iter().any(|row| row.said_too_early > 0), "{guards:?}: {:?}", rows[0].facts);
    }
}

/// Routers of a region that is cut off know it by themselves, and the sources count them no more.
#[test]
fn routers_of_a_cut_region_are_on_the_safe_reading_and_counted_out() {
    let rows = relay(120, Scenario::Region, 30);
    let variants: BTreeSet<&str> = rows.iter().map(|row| row.variant.as_str()).collect();
    assert_eq!(variants.len(), 2, "a region with a relay in it, and one without");
    for row in &rows {
        let facts = &row.facts;
        assert!(facts.cut_off > 0, "{facts:?}");
        assert_eq!(facts.cut_off_on_safe_reading, facts.cut_off, "{facts:?}");
        assert!(facts.counted_least <= 120 - facts.cut_off as u64, "{facts:?}");
    }
}

/// A lost zone is counted out and back in.
#[test]
fn a_lost_zone_is_counted_out() {
    let rows = relay(120, Scenario::Zone, 30);
    let facts = &role(&rows, "router").facts;
    assert!(facts.counted_least < 120, "{facts:?}");
    assert!(facts.joined_ms.is_some(), "{facts:?}");
}

/// What a router sends and receives does not grow with the fleet.
#[test]
fn a_router_below_relays_costs_the_same_in_a_larger_fleet() {
    let (small, large) = (relay(30, Scenario::Purges, 10), relay(120, Scenario::Purges, 10));
    let bytes = |rows: &[Row]| {
        let row = role(rows, "router");
        row.sent_bytes_per_s + row.received_bytes_per_s
    };
    assert!(bytes(&small) > 0.0);
    assert!(bytes(&large) < 1.2 * bytes(&small), "{} against {}", bytes(&large), bytes(&small));
}

/// Each scenario gives a row for each role of its cores, and three sizes give a fit.
#[test]
fn every_role_has_a_row_and_three_sizes_a_fit() {
    let runs = [30, 60, 120].map(|routers| run(routers, Scenario::Quiet, 4));
    let rows = play_all(&runs, None, 2);
    let roles: Vec<&str> = rows.iter().map(|row| row.role).collect();
    assert_eq!(roles, ["elector", "follower", "source", "relay", "router"].repeat(3));
    for row in &rows {
        assert!(row.sent_messages_per_s > 0.0 || row.role == "source", "{row:?}");
        assert!(row.fit.contains_key("received_bytes_per_s"), "{row:?}");
    }
    let agreed = play(run(30, Scenario::Versions, 10), None);
    assert_eq!(agreed.len(), 8, "two roles in each of four variants");
    for row in &agreed {
        assert!(row.events_measured > 0 && row.events_unfinished == 0, "{row:?}");
    }
}

/// All routers get onto the roll where they start at once, and after churn.
#[test]
fn all_routers_join_the_agreement() {
    for scenario in [Scenario::Start, Scenario::Churn] {
        let rows = play(run(60, scenario, 20), Some(Core::Agreement));
        let facts = &role(&rows, "follower").facts;
        assert!(facts.joined_ms.is_some() && facts.events_unfinished == 0, "{scenario:?}: {facts:?}");
    }
}

/// The same seed gives the same events and the same figures, but for processor time; another seed others.
#[test]
fn a_seed_repeats() {
    for (scenario, core) in [(Scenario::Churn, Core::Relay), (Scenario::Churn, Core::Agreement)] {
        let once = play(run(30, scenario, 6), Some(core));
        let again = play(run(30, scenario, 6), Some(core));
        assert_eq!(without_processor_time(&once), without_processor_time(&again));
        let other = play(Run { seed: 2, ..run(30, scenario, 6) }, Some(core));
        assert_ne!(once[0].digest, other[0].digest);
    }
}

/// The fit finds the power that figures were made with, and says nothing of too few sizes.
#[test]
fn a_fit_finds_the_power() {
    let square: Vec<(f64, f64)> =
        [300.0, 1_000.0, 2_000.0, 5_600.0].iter().map(|n| (*n, 0.5 * n * n)).collect();
    assert!(fit::exponent(&square).is_some_and(|power| (power - 2.0).abs() < 1e-9));
    assert_eq!(fit::exponent(&square[..2]), None);
    assert_eq!(fit::exponent(&[(1.0, 0.0), (2.0, 1.0), (3.0, 1.0)]), None);
}

fn lab(arguments: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_silverspindle-lab")).arg("scale").args(arguments).output().expect("runs")
}

/// Bad arguments are refused before anything is played.
#[test]
fn bad_arguments_are_refused() {
    for bad in [
        &["--routers", "0", "--scenario", "quiet"][..],
        &["--routers", "20001", "--scenario", "quiet"],
        &["--routers", "30,x", "--scenario", "quiet"],
        &["--routers", "30", "--scenario", "storm"],
        &["--routers", "30"],
        &["--scenario", "quiet"],
        &["--routers", "30", "--scenario", "quiet", "--seconds", "0"],
    ] {
        let output = lab(bad);
        assert_eq!(output.status.code(), Some(2), "{bad:?}");
        assert!(output.stdout.is_empty(), "{bad:?}");
    }
}

/// Lines of JSON hold the fields that the capacity page is worked out from.
#[test]
fn json_lines_hold_the_documented_fields() {
    let output = lab(&["--routers", "30", "--scenario", "purges", "--seconds", "3", "--json"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let rows: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    let roles: Vec<&str> = rows.iter().filter_map(|row| row["role"].as_str()).collect();
    assert_eq!(roles, ["source", "relay", "router", "router"]);
    for row in &rows {
        for field in ["scenario", "core", "role", "command"] {
            assert!(row[field].is_string(), "{field} in {row}");
        }
        for field in [
            "routers",
            "seconds",
            "seed",
            "sent_bytes_per_s",
            "sent_frame_bytes_per_s",
            "sent_messages_per_s",
            "received_bytes_per_s",
            "received_frame_bytes_per_s",
            "received_messages_per_s",
            "cpu_s_per_s",
            "state_bytes",
        ] {
            assert!(row[field].is_number(), "{field} in {row}");
        }
        assert!(row["fit"].is_object(), "{row}");
    }
    assert!(rows[0]["everywhere_ms"]["longest"].is_number());
}
