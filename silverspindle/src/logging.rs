//! A small logger behind the `log` crate: a line to standard error with Unix time, level and module. So many
//! lines a second go out at most, so that bad clients fill neither disk nor processor; how many were left out
//! is said with the next line that goes out.

use std::io::Write;
use std::sync::Mutex;

use bitternhold::Micros;
use log::{LevelFilter, Log, Metadata, Record};

/// Lines a second.
const MOST: u32 = 20;

/// Lets so many lines through in each second.
#[derive(Debug, Default)]
pub struct Sieve {
    second: Micros,
    passed: u32,
    left_out: u64,
}

impl Sieve {
    /// Whether a line goes out, with the number of lines left out before it.
    pub fn passes(&mut self, now: Micros) -> Option<u64> {
        if self.second != now / 1_000_000 {
            (self.second, self.passed) = (now / 1_000_000, 0);
        }
        if self.passed >= MOST {
            self.left_out += 1;
            return None;
        }
        self.passed += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

struct Lines(Mutex<Sieve>);

static LINES: Lines = Lines(Mutex::new(Sieve { second: 0, passed: 0, left_out: 0 }));

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let now = crate::clock::now();
        // Who asks for more than the usual lines gets all.
        let all = log::max_level() > LevelFilter::Info;
        let passes = || self.0.lock().map_or(Some(0), |mut sieve| sieve.passes(now));
        let Some(left_out) = (if all { Some(0) } else { passes() }) else { return };
        let target = record.target().rsplit("::").next().unwrap_or_default();
        let (seconds, millis) = (now / 1_000_000, now / 1000 % 1000);
        let mut line = format!("{seconds}.{millis:03} {:5} {target}: {}\n", record.level(), record.args());
        if left_out > 0 {
            line = format!("{seconds}.{millis:03} INFO  logging: {left_out} lines left out\n{line}");
        }
        // Nothing is left to tell it to where standard error can't be written.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

/// Lets lines through up to this level; a second call changes the level alone.
pub fn start(level: LevelFilter) {
    let _ = log::set_logger(&LINES);
    log::set_max_level(level);
}
