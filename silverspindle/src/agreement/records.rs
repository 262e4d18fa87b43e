//! Records of acts: a JSON line each, enough to prove or refute afterwards that nobody acted on an overtaken decision.
//! Times are of the steady clock that counts suspended time, in microseconds.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

use bitternhold::Micros;
use serde_json::json;
use silverspindle_agreement::Fence;
use silverspindle_rules::Group;

use crate::steady::steady_now;

/// Acts nearer to each other are one record, as are times without a confirmation.
const APART: Micros = 5_000;

/// A router's record file.
#[derive(Debug)]
pub struct Records {
    file: RefCell<File>,
    router: String,
    life: u64,
    last: Cell<(Micros, Option<u64>, Option<Group>)>,
}

impl Records {
    /// Appends to a file.
    pub fn open(path: &Path, router: &str, life: u64) -> Result<Self, String> {
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.map_err(|e| format!("{}: {e}", path.display()))?;
        let last = Cell::new((0, None, None));
        Ok(Self { file: RefCell::new(file), router: router.to_owned(), life, last })
    }

    fn line(&self, value: &serde_json::Value) {
        // One write a line: a kill leaves whole lines, but for the last.
        if let Err(e) = self.file.borrow_mut().write_all(format!("{value}\n").as_bytes()) {
            tracing::warn!("records: {e}");
        }
    }

    /// A number was applied here.
    pub fn applied(&self, number: u64, digest: u64, outcome: Option<(String, bool)>) {
        let (id, made) = outcome.map_or((None, None), |(id, made)| (Some(id), Some(made)));
        self.line(&json!({"kind": "applied", "router": self.router, "life": self.life, "number": number,
            "digest": format!("{digest:016x}"), "at": steady_now(), "id": id, "made": made}));
    }

    /// An attempt goes out: on which number the router acts, if on any, on which versions of the rules, and with which
    /// share.
    pub fn act(&self, fence: &Fence, rules: Option<(Group, u32)>) {
        let now = steady_now();
        let may = fence.may_act(now);
        let (at, number, group) = self.last.get();
        let of = rules.map(|(of, _)| of);
        if now < at + APART && number == may.map(|(number, ..)| number) && group == of {
            return;
        }
        self.last.set((now, may.map(|(number, ..)| number), of));
        let (rules, share) = rules.map_or((None, None), |(of, share)| (Some(of.to_string()), Some(share)));
        match may {
            Some((number, digest, age)) => self.line(&json!({"kind": "act", "router": self.router,
                "life": self.life, "number": number, "digest": format!("{digest:016x}"), "at": now, "age": age,
                "rules": rules, "share": share})),
            None => self.line(&json!({"kind": "held", "router": self.router, "life": self.life, "at": now,
                "rules": rules})),
        }
    }
}
