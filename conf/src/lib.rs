//! Parser of the operators' file: one directive per line, in the style of classic daemons.
//!
//! ```
//! let conf = silverspindle_conf::read("snapshot-directory /var/lib/silverspindle # lasting disk\n").unwrap();
//! assert_eq!(conf.snapshot.unwrap().interval, 5_000_000);
//! let faults = silverspindle_conf::read("snapshot-evry 5s\nsnapshot-every 5 parsecs").unwrap_err();
//! assert_eq!(faults.len(), 2);
//! assert_eq!(faults[0].to_string(), "1: snapshot-evry: is not a directive; did you mean snapshot-every?");
//! ```

pub mod grammar;
pub mod keys;
mod settings;

use std::fmt;

pub use settings::*;

/// A time or duration in microseconds.
pub type Micros = u64;

/// A fault in the operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line number, from 1.
    pub line: usize,
    /// Name of the directive.
    pub key: String,
    /// Description of the problem, for people.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}: {}", self.line, self.key, self.problem)
    }
}

/// Parses the text of an operators' file. An error holds all faults of the file, in the order of their lines.
pub fn read(text: &str) -> Result<Conf, Vec<Fault>> {
    let (directives, mut faults) = grammar::directives(text);
    let given = keys::check(&directives, &mut faults);
    let conf = settings::resolve(&given, &mut faults);
    if faults.is_empty() {
        return Ok(conf);
    }
    faults.sort_by_key(|fault| fault.line);
    Err(faults)
}
