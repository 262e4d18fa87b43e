//! Throughput of one router process between stand-ins on loopback: bytes per second passed on, and processor
//! time per byte. Prints one JSON object per line, each with the median of several runs. Run with `cargo
//! bench -p silverspindle --bench passing`.
#![allow(missing_docs)]

use std::io;
use std::path::PathBuf;
use std::rc::Rc;

use async_executor::LocalExecutor;
use serde_json::json;
use silverspindle_standins::passing::{self, Options, Passed};

/// Sizes of the answers' bodies in bytes; the last is the largest that a cache's answer may have.
const BODIES: [usize; 3] = [2 * 1024, 32 * 1024, 256 * 1024];
/// Number of runs per body size.
const RUNS: u64 = 3;
/// Duration of a run in seconds.
const SECONDS: u64 = 3;

fn median(runs: &[Passed], figure: impl Fn(&Passed) -> f64) -> f64 {
    let mut figures: Vec<f64> = runs.iter().map(figure).collect();
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

fn print(metric: &str, body: usize, value: f64, unit: &str) {
    println!("{}", json!({"what": metric, "n": body, "value": value, "unit": unit, "fit": null}));
}

fn main() -> io::Result<()> {
    let tasks = Rc::new(LocalExecutor::new());
    for body in BODIES {
        let mut runs = Vec::new();
        for seed in 1..=RUNS {
            let program = PathBuf::from(env!("CARGO_BIN_EXE_silverspindle"));
            let options = Options { program, body, seconds: SECONDS, seed };
            let passed = async_io::block_on(tasks.run(passing::measure(&tasks, &options)))?;
            eprintln!("{body} bytes, run {seed}: {passed:?}");
            runs.push(passed);
        }
        print("passed_bytes_per_s", body, median(&runs, |run| run.bytes_per_s), "bytes/s");
        print("passed_answers_per_s", body, median(&runs, |run| run.answers_per_s), "1/s");
        print("passed_core", body, median(&runs, |run| run.core), "core");
        print("passed_ns_per_byte", body, median(&runs, Passed::processor_ns_per_byte), "ns/byte");
        print("passed_unserved", body, median(&runs, |run| run.unserved as f64), "requests");
    }
    Ok(())
}
