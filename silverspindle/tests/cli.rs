//! Tests of the binary: command line, start, reload and end of the process.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Command, Output, Stdio};

fn run(args: &[&str], config: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_silverspindle"));
    command.args(args).env_remove("LB_CONFIG").env_remove("LB_NAME").env_remove("LB_LISTEN");
    if config.is_some() {
        command.env("LB_CONFIG", "/dev/stdin").stdin(Stdio::piped());
    }
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    if let (Some(text), Some(mut input)) = (config, child.stdin.take()) {
        // The program may exit on a fault before it has read everything.
        let _ = input.write_all(text.as_bytes());
    }
    child.wait_with_output().unwrap()
}

#[test]
fn subcommands_succeed_and_unknown_ones_fail() {
    let version = run(&["version"], None);
    assert!(
        version.status.success() && String::from_utf8_lossy(&version.stdout).starts_with("silverspindle 0.")
    );
    let help = run(&["help"], None);
    assert!(help.status.success() && String::from_utf8_lossy(&help.stdout).contains("check-config"));
    for args in [&["dance"][..], &[], &["version", "now"]] {
        assert!(!run(args, None).status.success(), "{args:?}");
    }
}

/// Guards against an operators' file whose faults are reported one per run, or only once the router runs.
#[test]
fn all_faults_of_the_operators_file_are_reported_at_once() {
    let path =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("faulty-{}", std::process::id()));
    let file = path.to_str().unwrap();
    std::fs::write(&path, "snapshot-directory /d\nsnapshot-every never\nsnapshot-siez 1MB\n").unwrap();
    let checked = run(&["check-conf", file], None);
    let stderr = String::from_utf8_lossy(&checked.stderr).into_owned();
    let expected = format!(
        "{file}:2: snapshot-every: \"never\" is not a duration, as in 200ms or 5s\n\
         {file}:3: snapshot-siez: is not a directive; did you mean snapshot-size?\n"
    );
    assert_eq!((checked.status.code(), stderr.as_str()), (Some(1), expected.as_str()));
    let (_coordinator, address) = common::listen();
    let config = common::configuration(&[common::entry(1, "box", address)], address).to_string();
    let served = run(&["serve", "--conf", file], Some(&config));
    assert_eq!(String::from_utf8_lossy(&served.stderr), expected);
    assert!(!run(&["show-conf", "/nowhere"], None).status.success());

    std::fs::write(&path, "snapshot-directory '/a b'\n").unwrap();
    let shown = run(&["show-conf", file], None).stdout;
    std::fs::write(&path, &shown).unwrap();
    assert!(run(&["check-conf", file], None).status.success());
    assert_eq!(run(&["show-conf", file], None).stdout, shown);
    assert!(String::from_utf8_lossy(&shown).contains("snapshot-directory '/a b'\nsnapshot-every 5s\n"));
}

/// With `LB_LOG_FORMAT=json` each log line is a JSON object with named fields.
#[test]
fn log_lines_are_json_if_configured() {
    let (_coordinator, address) = common::listen();
    let file = common::configuration(&[common::entry(1, "box", address)], address);
    let mut child = Command::new(env!("CARGO_BIN_EXE_silverspindle"))
        .arg("serve")
        .envs([("LB_CONFIG", "/dev/stdin"), ("LB_LOG_FORMAT", "json")])
        .stdin(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(file.to_string().as_bytes()).unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut lines = lines.map(|l| serde_json::from_str::<serde_json::Value>(&l).unwrap());
    let ready = lines.find(|l| l["fields"]["message"].as_str().unwrap().starts_with("n0 serves on")).unwrap();
    assert_eq!((&ready["fields"]["event"], &ready["level"]), (&1.into(), &"INFO".into()));
    assert!(Command::new("kill").arg(child.id().to_string()).status().unwrap().success());
    assert!(lines.any(|l| l["fields"]["message"].as_str().unwrap().starts_with("ended")));
    assert!(child.wait().unwrap().success());
}

/// Runs `silverspindle try`, a router between stand-ins: every item gets exactly one final answer through a
/// drain, a slow head office, a cold box, a purge, a stalled box and a kill of the router.
#[test]
fn in_a_trial_every_item_gets_exactly_one_final_answer() {
    let out = run(
        &["try", "--seconds", "4", "--rate", "60", "--rough", "--kill", "2", "--inherit", "snapshot"],
        None,
    );
    let stdout = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{stdout}{}", String::from_utf8_lossy(&out.stderr));
    assert!(stdout.contains("every item has its one final answer"), "{stdout}");
}

#[test]
fn completion_manual_and_help_name_the_commands() {
    for args in [&["completion", "bash"][..], &["man"], &["help"]] {
        let out = run(args, None);
        assert!(out.status.success() && String::from_utf8_lossy(&out.stdout).contains("show"), "{args:?}");
    }
}

#[test]
fn bad_configuration_ends_the_process_and_names_the_key() {
    for command in ["serve", "check-config"] {
        for (config, key) in
            [(None, "LB_CONFIG"), (Some("{"), "LB_CONFIG"), (Some(r#"{"name":"n0"}"#), "listen")]
        {
            let out = run(&[command], config);
            let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
            assert!(!out.status.success() && stderr.contains(&format!("configuration: {key}: ")), "{stderr}");
        }
    }
}

/// Guards against a planned restart that counts as a crash: after SIGTERM the process exits by itself with
/// status 0.
#[test]
fn the_process_exits_with_0_after_sigterm() {
    let (_coordinator, address) = common::listen();
    let file = common::configuration(&[common::entry(1, "box", address)], address);
    let mut child = Command::new(env!("CARGO_BIN_EXE_silverspindle"))
        .arg("serve")
        .env("LB_CONFIG", "/dev/stdin")
        .env("LB_LISTEN", "127.0.0.1:0")
        .stdin(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(file.to_string().as_bytes()).unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let ready = lines.find(|l| l.contains("n0 serves on 127.0.0.1:")).unwrap();
    let address = ready.split_once("serves on ").and_then(|(_, rest)| rest.split(' ').next()).unwrap();
    std::net::TcpStream::connect(address).unwrap();
    assert!(Command::new("kill").arg(child.id().to_string()).status().unwrap().success());
    assert!(lines.any(|l| l.contains("ended: all is answered")));
    assert!(child.wait().unwrap().success());
}

/// Guards against an exit on SIGHUP, and against a faulty file that replaces a good configuration. After a
/// good file the router connects to the coordinator named there and resumes from the last event number; a
/// faulty file is logged with its key.
#[test]
fn sighup_reloads_the_configuration() {
    let ((_old, first), (new, second)) = (common::listen(), common::listen());
    let path =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("sighup-{}.json", std::process::id()));
    let write = |text: String| std::fs::write(&path, text).unwrap();
    let file =
        |coordinator| common::configuration(&[common::entry(1, "box", first)], coordinator).to_string();
    write(file(first));
    let conf = path.with_extension("conf");
    std::fs::write(&conf, "").unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_silverspindle"))
        .arg("serve")
        .env("LB_CONFIG", &path)
        .env("LB_CONF", &conf)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let signal = |name: &str| {
        let id = child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    };
    assert!(lines.any(|l| l.contains("n0 serves on")));
    write(r#"{"name": "n0"}"#.to_owned());
    std::fs::write(&conf, "\nsnapshot-evry 5s\n").unwrap();
    signal("-HUP");
    let fault =
        format!("{}:2: snapshot-evry: is not a directive; did you mean snapshot-every?", conf.display());
    assert!(lines.any(|l| l.contains(&fault)));
    assert!(lines.any(|l| l.contains("the old operators' file is kept")));
    assert!(lines.any(|l| l.contains("configuration: listen: is missing; the old configuration is kept")));
    write(file(second));
    signal("-HUP");
    let new = new.into_inner().unwrap();
    new.set_nonblocking(false).unwrap();
    let mut last = [0; 8];
    new.accept().unwrap().0.read_exact(&mut last).unwrap();
    assert_eq!(u64::from_be_bytes(last), 1);
    signal("-TERM");
    assert!(lines.any(|l| l.contains("ended: all is answered")));
    assert!(child.wait().unwrap().success());
}
