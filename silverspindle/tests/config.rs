//! Tests of the configuration: defaults, precedence of the environment, and messages that name the key.

mod common;

use common::*;
use serde_json::{Value, json};
use silverspindle::config::Config;

fn file() -> Value {
    let at = ([127, 0, 0, 1], 6565).into();
    let mut file = configuration(&[entry(0xc41f7a, "box", at)], at);
    let updates = file["known"]["updates"].as_array_mut().unwrap();
    updates.push(json!({"index": 2, "evict": {"ref": "7f3a9c21e0b4d655", "unix_ms": 1764576000123u64}}));
    updates.push(json!({"index": 3, "evict": {"shard": 17, "unix_ms": 1764576000480u64}}));
    file["known"]["index"] = json!(3);
    file
}

#[test]
fn a_complete_file_is_read() {
    let config = config(&file()).unwrap();
    assert_eq!((config.sockets, config.memory, config.seed), (1024, 192_000_000, 7));
    assert_eq!((config.known.0, config.known.1.len()), (3, 3));
    assert_eq!(config.site.classes, ["page", "scan"]);
}

#[test]
fn absent_keys_have_defaults_and_the_environment_overrides_the_file() {
    let mut file = file();
    file.as_object_mut().unwrap().remove("limits");
    file.as_object_mut().unwrap().remove("known");
    file["settings"]["limits"] = json!({});
    let environment = |name: &str| (name == "LB_NAME").then(|| "n9".to_owned());
    let config = Config::parse(&file.to_string(), &environment).unwrap();
    assert_eq!((config.name.as_str(), config.sockets, config.known.0), ("n9", 1024, 0));
    let c = config.site;
    assert_eq!((c.streams_per_conn, c.idle_close, c.settings.connect_timeout), (32, 30_000_000, 400_000));
}

/// Guards against a router that can't start on the operators' days with halved limits, 24 MB and 192
/// descriptors. Also checks the management address, for which the environment overrides the file.
#[test]
fn halved_limits_and_the_management_address_are_accepted() {
    let mut file = file();
    file["limits"] = json!({"cores": 1.0, "memory_mb": 24, "sockets": 192});
    file["management"] = json!("127.0.0.1:9600");
    let config = config(&file).unwrap();
    assert_eq!((config.memory, config.sockets), (24_000_000, 192));
    assert_eq!(config.management, Some(([127, 0, 0, 1], 9600).into()));
    let environment = |name: &str| (name == "LB_MANAGEMENT").then(|| "127.0.0.2:9601".to_owned());
    let config = Config::parse(&file.to_string(), &environment).unwrap();
    assert_eq!(config.management, Some(([127, 0, 0, 2], 9601).into()));
    file["management"] = json!(9600);
    assert!(
        silverspindle::config::Config::parse(&file.to_string(), &|_| None)
            .unwrap_err()
            .contains("management")
    );
}

/// Guards against messages that leave the operator searching: each fault names its key.
#[test]
fn each_fault_names_its_key() {
    for (pointer, value, key) in [
        ("/name", json!(""), "name"),
        ("/listen", json!("nowhere"), "listen"),
        ("/seed", json!("xyz"), "seed"),
        ("/coordinator", json!(8500), "coordinator"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/memory_mb", json!("much"), "limits.memory_mb"),
        ("/settings", json!([]), "settings"),
        ("/settings/classes", json!([]), "settings.classes"),
        ("/settings/classes/1/name", json!(null), "settings.classes[1].name"),
        ("/settings/classes/0/deadline_ms", json!(0), "settings.classes[0].deadline_ms"),
        ("/settings/my_zone", json!("moon"), "settings.my_zone"),
        ("/settings/family_info/root_kind", json!(null), "settings.family_info.root_kind"),
        ("/known/index", json!("1"), "known.index"),
        ("/known/updates", json!({}), "known.updates"),
        ("/known/updates/0/endpoints/members/0/id", json!("x"), "known.updates[0].endpoints.members.id"),
        (
            "/known/updates/0/endpoints/members/0/host_port",
            json!("x"),
            "known.updates[0].endpoints.members.host_port",
        ),
        ("/known/updates/1/evict/ref", json!("short"), "known.updates[1].evict.ref"),
        ("/known/updates/2/evict/unix_ms", json!(-1), "known.updates[2].evict.unix_ms"),
    ] {
        let mut file = file();
        *file.pointer_mut(pointer).expect(pointer) = value;
        let problem = config(&file).expect_err(pointer);
        assert!(problem.starts_with(&format!("configuration: {key}: ")), "{pointer}: {problem}");
    }
}

/// A setting of a wrong type falls back to a safe default, which is reported as a note. Where no default is
/// safe, the start is refused. All faults are reported at once.
#[test]
fn settings_of_a_wrong_type_are_reported_with_their_safe_default() {
    let mut invalid = file();
    invalid["settings"]["limits"]["second_copies"] = json!("perhaps");
    invalid["settings"]["family_info"]["heed_within_ms"] = json!([500]);
    invalid["settings"]["classes"][0]["idempotency"] = json!("sometimes");
    let read = config(&invalid).unwrap();
    let settings = &read.site.settings;
    assert!(!settings.second_copies && settings.purge_grace == 0);
    assert_eq!(settings.classes[0].idempotency, bitternhold::Idempotency::AtMostOnce);
    let keys: Vec<&str> = read.notes.iter().filter_map(|note| note.split(": ").next()).collect();
    let expected = [
        "settings.limits.second_copies",
        "settings.family_info.heed_within_ms",
        "settings.classes[0].idempotency",
    ];
    assert_eq!(keys, expected);
    assert!(config(&file()).unwrap().notes.is_empty(), "a valid file has no notes");
    invalid["settings"]["rules"]["tip_after_ms"] = json!("soon");
    invalid["settings"]["family_info"]["cleared_within_ms"] = json!(true);
    invalid["seed"] = json!(7);
    let faults = Config::parse_all(&invalid.to_string(), &|_| None).unwrap_err();
    let keys = ["seed", "settings.rules.tip_after_ms", "settings.family_info.cleared_within_ms"];
    assert!(
        faults.len() == 3
            && faults.iter().zip(keys).all(|(f, k)| f.starts_with(&format!("configuration: {k}: "))),
        "{faults:?}"
    );
}

/// Guards against misbehaving clients that fill the disk or use up the processor with log lines: the lines
/// per second are limited, and the suppressed ones are counted.
#[test]
fn log_lines_per_second_are_limited_and_suppressed_ones_counted() {
    let mut limiter = silverspindle::logging::RateLimiter::default();
    let passed = (0..1000).filter(|i| limiter.admit(5_000_000 + i).is_some()).count();
    assert_eq!(passed, 20);
    assert_eq!(limiter.admit(6_000_000), Some(980));
    assert_eq!(limiter.admit(6_000_001), Some(0));
}
