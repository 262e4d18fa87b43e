//! Lines and words. A `#` at the start of a word begins a comment; quotes and backslashes are a shell's.

use crate::Fault;

/// The largest file, in bytes, and the longest line: nobody's settings, and a bound on what is read.
pub const MOST_FILE: usize = 1 << 20;
const MOST_LINE: usize = 4096;

/// A line that says something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// The line, from 1.
    pub line: usize,
    /// Its first word.
    pub key: String,
    /// The others.
    pub words: Vec<String>,
}

/// Splits a text into directives. A line that can't be split is a fault and says nothing.
pub fn directives(text: &str) -> (Vec<Directive>, Vec<Fault>) {
    let (mut found, mut faults) = (Vec::new(), Vec::new());
    if text.len() > MOST_FILE {
        let problem = format!("is {} bytes long, {MOST_FILE} at most are read", text.len());
        return (found, vec![Fault { line: 1, key: "file".to_owned(), problem }]);
    }
    for (line, words) in (1..).zip(text.lines()) {
        let first = || words.split_whitespace().next().unwrap_or_default().chars().take(40).collect();
        let mut fault =
            |problem: &str| faults.push(Fault { line, key: first(), problem: problem.to_owned() });
        if words.len() > MOST_LINE {
            fault("the line is longer than 4096 bytes");
            continue;
        }
        if words.chars().any(|c| c.is_control() && c != '\t') {
            fault("the line holds a control character");
            continue;
        }
        match shell_words::split(words) {
            Err(_) => fault("a quote is opened and not closed"),
            Ok(words) => {
                let mut words = words.into_iter();
                if let Some(key) = words.next() {
                    found.push(Directive { line, key, words: words.collect() });
                }
            }
        }
    }
    (found, faults)
}
