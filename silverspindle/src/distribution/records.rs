//! Records of what was applied and acted on: a JSON line each, enough to prove or refute afterwards that every purge was
//! in force in time. Times are of the steady clock that counts suspended time, in microseconds.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

use serde_json::{Value, json};
use silverspindle_relay::Mode;

use crate::steady::steady_now;
use crate::traffic::{Attempt, FeedFreshness};

fn word(mode: Mode) -> &'static str {
    match mode {
        Mode::Relay => "relay",
        Mode::Direct => "direct",
        Mode::Safe => "safe",
    }
}

/// A router's record file.
#[derive(Debug)]
pub struct Records {
    file: RefCell<File>,
    router: String,
    life: u64,
}

impl Records {
    /// Appends to a file.
    pub fn open(path: &Path, router: &str, life: u64) -> Result<Self, String> {
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Self { file: RefCell::new(file), router: router.to_owned(), life })
    }

    fn line(&self, kind: &str, mut fields: Value) {
        fields["kind"] = kind.into();
        fields["router"] = self.router.as_str().into();
        fields["life"] = self.life.into();
        if fields["at"].is_null() {
            fields["at"] = steady_now().into();
        }
        // One write a line: a kill leaves whole lines, but for the last.
        if let Err(e) = self.file.borrow_mut().write_all(format!("{fields}\n").as_bytes()) {
            tracing::warn!("records: {e}");
        }
    }

    /// It starts with the log applied up to this number.
    pub fn start(&self, number: u64) {
        self.line("start", json!({"number": number}));
    }

    /// Numbers from behind `from` up to `to` were applied.
    pub fn applied(&self, from: u64, to: u64) {
        self.line("applied", json!({"from": from, "to": to}));
    }

    /// What stands for all numbers up to this one was applied.
    pub fn reset(&self, number: u64) {
        self.line("reset", json!({"number": number}));
    }

    /// It reads in another way from now on.
    pub fn mode(&self, mode: Mode) {
        self.line("mode", json!({"mode": word(mode)}));
    }

    /// An attempt goes out.
    pub fn attempt(&self, number: u64, mode: Mode, attempt: &Attempt, look: FeedFreshness) {
        let call = &attempt.call;
        let fields = json!({"at": look.at, "number": number, "age": look.age, "mode": word(mode),
            "limit": attempt.options.max_age, "object": call.object.to_ascii_lowercase(), "group": call.group});
        self.line("attempt", fields);
    }
}
