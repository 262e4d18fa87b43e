//! A small logger behind the `log` crate: a line to standard error with Unix time, level and module.

use std::io::Write;

use log::{LevelFilter, Log, Metadata, Record};

struct Lines;

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let now = crate::clock::now();
            let target = record.target().rsplit("::").next().unwrap_or_default();
            let (seconds, millis) = (now / 1_000_000, now / 1000 % 1000);
            let line = format!("{seconds}.{millis:03} {:5} {target}: {}\n", record.level(), record.args());
            // Nothing is left to tell it to where standard error can't be written.
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// Lets lines through up to this level; a second call changes the level alone.
pub fn start(level: LevelFilter) {
    let _ = log::set_logger(&Lines);
    log::set_max_level(level);
}
