//! Tests of `.ci/known-red`, which reads the list of tests that CI skips: a short list of complete lines.

use std::path::Path;
use std::process::{Command, Output};

fn run_script(list: &str) -> Output {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("KNOWN-RED.txt");
    std::fs::write(&file, list).unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../.ci/known-red");
    Command::new(script).arg(file).output().unwrap()
}

#[test]
fn exactly_the_listed_tests_are_skipped_and_printed() {
    let out =
        run_script("one::case, the clock jumps, #7\n\nother_case, a race in the kernel, seen twice, #8\n");
    assert!(out.status.success());
    assert_eq!(out.stdout, b"--skip\none::case\n--skip\nother_case\n");
    assert!(String::from_utf8_lossy(&out.stderr).contains("the clock jumps"));
    assert!(run_script("").status.success());
}

/// Without known failures there is no list, and nothing is skipped.
#[test]
fn without_a_list_nothing_is_skipped() {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../.ci/known-red");
    let directory = tempfile::tempdir().unwrap();
    let out = Command::new(script).arg(directory.path().join("KNOWN-RED.txt")).output().unwrap();
    assert!(out.status.success() && out.stdout.is_empty() && out.stderr.is_empty());
}

#[test]
fn more_than_three_lines_or_an_incomplete_line_fail() {
    let line = |n: u32| format!("case_{n}, a cause, #{n}\n");
    assert!(run_script(&(1..=3).map(line).collect::<String>()).status.success());
    assert!(!run_script(&(1..=4).map(line).collect::<String>()).status.success());
    for half in [
        "case_1",
        "case_1, a cause",
        "case_1, , #1",
        ", a cause, #1",
        "case_1, a cause, 1",
        "a case, a cause, #1",
    ] {
        assert!(!run_script(half).status.success(), "{half}");
    }
}
