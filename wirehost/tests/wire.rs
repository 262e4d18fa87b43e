//! Tests of the built binary over its standard streams.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

/// Runs the binary on these lines of input.
fn run_host(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bitternhold-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    for line in lines {
        // The binary exits on a malformed line and reads no further.
        if writeln!(input, "{line}").is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().unwrap()
}

fn replies(out: &Output) -> Vec<Value> {
    let text = String::from_utf8(out.stdout.clone()).unwrap();
    text.lines().map(|l| serde_json::from_str(l).unwrap()).collect()
}

fn batch(now: f64, who: u64, news: Value) -> String {
    json!({"now_ms": now, "parts": [{"who": who, "news": news}]}).to_string()
}

/// Events that start an instance with three members.
fn start(seed: u64) -> Vec<Value> {
    let options = json!({
        "balancers": 1, "my_zone": "edge", "failure_domains": ["hub", "edge"],
        "kinds": ["box", "parent", "origin"], "weights": "nominal", "membership_mode": "pushed",
        "classes": [{"name": "docs", "idempotency": "idempotent", "slo_ms": 400.0, "deadline_ms": 3000.0}],
        "family_info": {"parent_kind": 1, "root_kind": 2, "flow_kb_per_s": 5000.0, "detail": "all",
            "heed_within_ms": 500.0, "cleared_within_ms": 6000.0, "something_new": [1]},
        "limits": {"try_limit": 6, "retry_after": true, "max_retry_after_ms": 500.0},
        "rules": {"cold_ms": 16000.0, "tip_after_ms": 1500.0}
    });
    let entry = |node: u64, sku: &str, hall: &str| json!({"node": node, "sku": sku, "hall": hall, "lifecycle": 1, "nominal": 10, "unit_group": 0, "born_ms": null});
    let records = json!([entry(1, "box", "edge"), entry(2, "parent", "hub"), entry(3, "origin", "hub")]);
    vec![
        json!({"m": "configure", "prng": seed, "options": options}),
        json!({"m": "define_list", "ref": 0, "records": records}),
        json!({"m": "fleet", "kind": 2, "index": 1, "ref": 0}),
    ]
}

const TICKET: &str = "5d3a91c4-16c6-4aea-a771-ad84dd0c2d37";

fn call() -> Value {
    json!({"m": "call", "ticket": TICKET, "repeat": false, "valid_until_ms": 3000.5, "range_no": 0, "band": "docs",
        "length_kb": 640, "write": false, "party": null, "tag": 11, "key": "f-abc", "new_field": {}})
}

fn ended(reason: u64) -> Value {
    json!({"m": "ended", "ticket": TICKET, "seq_no": 0, "node": 1, "reason": reason, "elapsed_ms": 18.5,
        "no_more": reason == 0, "detail": 2, "first_byte_ms": 9.4, "telemetry": {"cpu": 0.5}})
}

#[test]
fn events_are_answered_in_batches_and_unknown_ones_are_ignored() {
    let mut news = start(7);
    news.push(call());
    let lines = [
        json!({"now_ms": 0.5, "parts": []}).to_string(),
        batch(1000.25, 4, news.into()),
        batch(1020.0, 4, json!([ended(0), {"m": "superseded", "key": 0, "age_span_ms": 1.0, "group": 11}])),
        batch(1030.0, 4, json!([{"m": "unheard_of", "x": 1}])),
    ];
    let out = run_host(&lines);
    assert!(out.status.success() && out.stderr.is_empty());
    let replies = replies(&out);
    assert_eq!(replies.len(), 4);
    let action = &replies[1]["parts"][0]["do"][0];
    assert_eq!(replies[1]["parts"][0]["who"], 4);
    assert_eq!(action["m"], "answer_from");
    assert_eq!(action["ticket"], TICKET);
    assert_eq!((&action["node"], &action["fill_source"]), (&json!(1), &json!(2)));
    assert_eq!(action["store_as"], 0);
    assert_eq!(action["abandon_at_ms"], 3000.5);
    assert_eq!(replies[0]["parts"], json!([]));
    assert_eq!(replies[2]["parts"], json!([]));
}

#[test]
fn a_restarted_instance_is_empty_and_others_keep_running() {
    let mut again = vec![json!({"m": "retire"})];
    again.extend(start(8));
    again.push(call());
    let mut first = start(7);
    first.push(call());
    let lines = [
        batch(1.0, 0, first.clone().into()),
        batch(2.0, 1, first.into()),
        batch(3.0, 0, again.into()),
        batch(4.0, 1, json!([ended(14)])),
        batch(5.0, 9, json!([ended(14)])),
    ];
    let out = run_host(&lines);
    assert!(out.status.success());
    let replies = replies(&out);
    assert_ne!(replies[2]["parts"][0]["do"][0]["store_as"], 2, "an empty filter after a start");
    assert_eq!(replies[3]["parts"][0]["who"], 1);
    assert_eq!(replies[4]["parts"], json!([]), "an instance that was never started does nothing");
}

#[test]
fn a_redefined_list_holds_for_the_events_after_it() {
    let mut news = start(7);
    let gone = json!([{"node": 1, "sku": "box", "hall": "edge", "lifecycle": 0, "nominal": 1}]);
    news.push(json!({"m": "define_list", "ref": 0, "records": gone}));
    news.push(json!({"m": "fleet", "kind": 0, "index": 2, "ref": 0}));
    news.push(call());
    let out = run_host(&[batch(1.0, 0, news.into())]);
    assert_eq!(replies(&out)[0]["parts"][0]["do"][0]["m"], "busy");
}

#[test]
fn a_malformed_line_ends_the_program_with_one_line_of_error() {
    let mut bad_call = call();
    bad_call["ticket"] = json!("not-an-id");
    let mut with_call = start(7);
    with_call.push(bad_call);
    let mut with_end = start(7);
    let mut bad_end = ended(0);
    bad_end.as_object_mut().unwrap().remove("node");
    with_end.push(bad_end);
    for (line, message, field) in [
        ("{oops".to_owned(), "batch", ""),
        (json!({"parts": []}).to_string(), "batch", "now_ms"),
        (batch(1.0, 0, with_call.into()), "call", "ticket"),
        (batch(1.0, 0, with_end.into()), "ended", "node"),
    ] {
        let out = run_host(&[line]);
        assert!(!out.status.success());
        assert!(out.stdout.is_empty());
        let text = String::from_utf8(out.stderr).unwrap();
        assert_eq!(text.lines().count(), 1);
        assert!(text.contains(message) && text.contains(field), "{text}");
    }
}
