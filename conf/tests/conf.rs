//! Tests of the operators' file: parsing, faults, and that the shown file parses to the same settings.

use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngSeed};
use silverspindle_conf::*;

const FULL: &str = "\
exchange-listen 127.0.0.1:7465   # where others ask
exchange-authority /etc/a.pem
exchange-certificate '/etc/with space.pem'
exchange-key /etc/k
donor n2 127.0.0.2:7465
donor n3 [::1]:7465
donors-at-once 3
ask-for 1m
give-rate 1500kB
snapshot-directory /var/lib/s
snapshot-every 250ms
half-life-health 1500ms
";

fn faults(text: &str) -> Vec<String> {
    read(text).unwrap_err().iter().map(Fault::to_string).collect()
}

#[test]
fn agreement_needs_electors_and_the_files_of_the_exchange() {
    let files = "exchange-authority a\nexchange-certificate c\nexchange-key k\n";
    let conf =
        read(&format!("{files}agree-elector n1 127.0.0.1:1\nagree-operator staff\nwork-out 2\n")).unwrap();
    let agreement = conf.agreement.unwrap();
    assert_eq!(
        (agreement.lease, agreement.max_callers, agreement.operators),
        (2_000_000, 128, vec!["staff".to_owned()])
    );
    assert_eq!(agreement.work, Some(Work { max_out: 2, headroom_permille: 250, hold: false }));
    assert_eq!(conf.exchange, None);
    let two = format!("{files}agree-elector n1 127.0.0.1:1\nagree-elector n2 127.0.0.1:2\n");
    assert_eq!(faults(&two), ["4: agree-elector: 2 are given; there must be 1, 3 or 5"]);
    assert_eq!(
        faults("work-out 2\n"),
        ["1: work-out: needs agree-elector lines: the routers agree on the order of work"]
    );
    assert_eq!(faults("agree-elector n1 127.0.0.1:1\n").len(), 3, "the three files");
    assert_eq!(faults("agree-within 100ms\n"), ["1: agree-within: must be between 500ms and 1m"]);
}

/// Guards against a tree in which no router has the log, or in which leases expire before the reports that renew them
/// arrive.
#[test]
fn a_relay_role_needs_its_parents_listener_files_and_times() {
    let files = "exchange-authority a\nexchange-certificate c\nexchange-key k\n";
    let read_with = |more: &str| read(&format!("{files}{more}"));
    let found = |more: &str| {
        let all = read_with(more).unwrap_err();
        all.iter().map(|fault| format!("{} {}", fault.line, fault.key)).collect::<Vec<_>>()
    };
    let router =
        read_with("relay-role router\nrelay-parent r1 127.0.0.1:1\nrelay-parent r2 127.0.0.1:2\n").unwrap();
    assert_eq!((router.exchange, router.sources), (None, None));
    let relay = router.relay.unwrap();
    assert_eq!((relay.role, relay.max_children, relay.max_records), (RelayRole::Router, 0, 65_536));
    assert_eq!((relay.lease, relay.direct_lease), (5_000_000, 3_000_000));
    assert_eq!((relay.batch_interval, relay.report_interval), (500_000, 1_000_000));
    let names: Vec<&str> = relay.parents.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["r1", "r2"], "in the order of preference");
    let source = read_with("exchange-listen 127.0.0.1:7\nrelay-role source\nrelay-children 8192\n").unwrap();
    assert_eq!(source.relay.unwrap().max_children, 8192);

    assert_eq!(found("relay-role router\n"), ["4 relay-role"], "without a parent");
    assert_eq!(
        found("relay-role relay\nrelay-parent r1 127.0.0.1:1\n"),
        ["4 relay-role"],
        "without a listener"
    );
    assert_eq!(found("relay-role source\n"), ["4 relay-role"], "without a listener");
    let listens = "exchange-listen 127.0.0.1:7\nrelay-role source\n";
    assert_eq!(found(&format!("{listens}relay-parent r1 127.0.0.1:1\n")), ["6 relay-parent"]);
    assert_eq!(found(&format!("{listens}relay-direct 5s\n")), ["6 relay-direct"]);
    assert_eq!(found(&format!("{listens}relay-within 3s\n")), ["6 relay-direct", "6 relay-report"]);
    assert_eq!(found(&format!("{listens}relay-report 1300ms\n")), ["6 relay-report"]);
    assert_eq!(found(&format!("{listens}relay-children 8193\n")), ["6 relay-children"]);
    assert_eq!(found(&format!("{listens}relay-direct 1900ms\n")), ["6 relay-direct"]);
    let routes = "relay-role router\nrelay-parent r1 127.0.0.1:1\n";
    assert_eq!(found(&format!("{routes}relay-parent r1 127.0.0.1:2\n")), ["6 relay-parent"], "twice");
    assert_eq!(
        found("relay-parent r1 127.0.0.1:1\nrelay-records-file /r\n"),
        ["4 relay-parent", "5 relay-records-file"]
    );
    assert_eq!(faults("relay-role router\nrelay-parent r1 127.0.0.1:1\n").len(), 3, "the three files");
    assert_eq!(faults("relay-role boss\n"), ["1: relay-role: \"boss\" is not one of source, relay, router"]);
}

/// A file of staff names the sources to query, without a role in the relays.
#[test]
fn sources_can_be_named_without_a_relay_role() {
    let files = "exchange-authority a\nexchange-certificate c\nexchange-key k\n";
    let conf = read(&format!("{files}relay-source s1 127.0.0.1:1\nrelay-source s2 127.0.0.1:2\n")).unwrap();
    assert_eq!((conf.sources.unwrap().sources.len(), conf.relay), (2, None));
}

/// While only one elector is up, all routers of a roll of the largest size may connect to it.
#[test]
fn an_elector_can_hold_a_caller_for_each_router_of_a_full_roll() {
    let files =
        "exchange-authority a\nexchange-certificate c\nexchange-key k\nagree-elector n1 127.0.0.1:1\n";
    let conf = read(&format!("{files}agree-callers 8192\n")).unwrap();
    assert_eq!(conf.agreement.unwrap().max_callers, 8192);
    assert_eq!(faults("agree-callers 8193\n"), ["1: agree-callers: must be between 1 and 8192"]);
}

#[test]
fn an_empty_file_turns_nothing_on() {
    for text in ["", "\n\n# a remark\n   \t# another\n"] {
        let conf = read(text).unwrap();
        assert_eq!((&conf.exchange, &conf.snapshot), (&None, &None));
        assert_eq!((&conf.relay, &conf.sources), (&None, &None));
        assert_eq!(conf, Conf::default());
    }
}

#[test]
fn units_quotes_and_repeated_lines_are_read() {
    let conf = read(FULL).unwrap();
    let exchange = conf.exchange.unwrap();
    assert_eq!(exchange.files.certificate.to_str(), Some("/etc/with space.pem"));
    assert_eq!(exchange.donors.len(), 2);
    assert_eq!(
        (exchange.max_donors_at_once, exchange.ask_period, exchange.give_rate),
        (3, 60_000_000, 1_500_000)
    );
    assert_eq!(conf.snapshot.unwrap().interval, 250_000);
    assert_eq!((conf.half_lives.health, conf.half_lives.pace), (1_500_000, 10_000_000));
}

#[test]
fn all_faults_are_reported_together_with_line_and_key() {
    let found = faults(
        "exchange-listen localhost\ndonr n2 127.0.0.2:1\nsnapshot-every 5 s\nsnapshot-every 0ms\n\
         give-newcomers many\ngive-newcomers 0\nask-for 'x\nsnapshot-size 12 MB\nsnapshot-size\n\
         donor n/2 127.0.0.1:1\ndonors-at-once 2\ndonors-at-once 3\nquux 1\n",
    );
    let expected = [
        "1: exchange-listen: \"localhost\" is not an address and port, as in 127.0.0.1:7465",
        "2: donr: is not a directive; did you mean donor?",
        "3: snapshot-every: takes a duration and nothing else",
        "4: snapshot-every: must be between 100ms and 1h",
        "5: give-newcomers: \"many\" is not a whole number",
        "6: give-newcomers: must be between 1 and 64",
        "7: ask-for: a quote is opened and not closed",
        "8: snapshot-size: takes a size and nothing else",
        "9: snapshot-size: lacks a size",
        "10: donor: \"n/2\" is not a name: letters, digits, '-', '_', '.', at most 63",
        "12: donors-at-once: is set on line 11 already",
        "13: quux: is not a directive",
    ];
    assert_eq!(found, expected);
}

/// Guards against an exchange without keys, which would be unencrypted or fail.
#[test]
fn an_exchange_needs_its_three_files() {
    let found = faults("exchange-authority /a\ndonor n2 127.0.0.1:1\ndonor n2 127.0.0.1:2");
    assert_eq!(
        found,
        [
            "2: exchange-certificate: is missing: the exchange on line 2 needs it",
            "2: exchange-key: is missing: the exchange on line 2 needs it",
            "3: donor: n2 is given twice",
        ]
    );
}

#[test]
fn the_shown_file_parses_to_the_same_settings() {
    for text in ["", FULL] {
        let conf = read(text).unwrap();
        let again = read(&conf.show()).unwrap();
        assert_eq!(
            (again.exchange.clone(), again.snapshot.clone(), again.half_lives),
            (conf.exchange.clone(), conf.snapshot.clone(), conf.half_lives)
        );
        assert_eq!(again.show(), conf.show());
        assert!(conf.need_restart(&again).is_empty());
    }
    let moved = read(&FULL.replace("7465   #", "7466   #")).unwrap();
    assert_eq!(read(FULL).unwrap().need_restart(&moved), ["exchange-listen"]);
}

/// The shipped file documents every directive, turns nothing on, and its examples are valid.
#[test]
fn the_shipped_file_is_generated_from_the_table() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/silverspindle.conf");
    assert_eq!(std::fs::read_to_string(path).unwrap(), shipped());
    assert_eq!(read(&shipped()).unwrap(), Conf::default());
    let on: String = shipped()
        .lines()
        .filter_map(|l| l.strip_prefix('#'))
        .filter(|l| keys::by_name(l.split(' ').next().unwrap_or_default()).is_some())
        .map(|l| format!("{l}\n"))
        .collect();
    assert_eq!(on.lines().count(), keys::all().count());
    read(&on).unwrap();
}

proptest! {
    #![proptest_config(Cases { failure_persistence: None, rng_seed: RngSeed::Fixed(8), ..Cases::default() })]

    /// Guards against a panic on any text, and against a fault without a valid line number.
    #[test]
    fn any_text_parses_or_yields_faults_with_lines(text in "(([a-z-]{1,12}|donor|snapshot-every|'|\"|#|\\\\| |[0-9]{1,22}(ms|s|MB|h)?|\\PC|\n){0,40})") {
        if let Err(faults) = read(&text) {
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|f| f.line >= 1 && f.line <= text.lines().count().max(1)));
        }
    }

    /// Any duration and size within the bounds is formatted exactly.
    #[test]
    fn shown_durations_and_sizes_are_exact(every in 100_000u64..3_600_000_000, most in 10_000u64..1 << 30) {
        let text = format!("snapshot-directory /d\nsnapshot-every {every}us\nsnapshot-size {most}");
        let conf = read(&text).unwrap();
        prop_assert_eq!(conf.snapshot.clone().unwrap().interval, every);
        prop_assert_eq!(read(&conf.show()).unwrap().snapshot, conf.snapshot);
    }
}
