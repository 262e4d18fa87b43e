//! Splits the file into lines and words. A `#` at the start of a word begins a comment; quotes and backslashes work
//! as in a shell.

use crate::Fault;

/// Largest file, in bytes. No real configuration is that long; the limit bounds what is read.
pub const MAX_FILE_SIZE: usize = 1 << 20;
/// Longest line, in bytes.
const MAX_LINE_LENGTH: usize = 4096;

/// A line with a directive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// Line number, from 1.
    pub line: usize,
    /// Name of the directive: the first word of the line.
    pub key: String,
    /// The other words of the line.
    pub words: Vec<String>,
}

/// Splits a text into directives. A line that can't be split into words is a fault and yields no directive.
pub fn directives(text: &str) -> (Vec<Directive>, Vec<Fault>) {
    let (mut found, mut faults) = (Vec::new(), Vec::new());
    if text.len() > MAX_FILE_SIZE {
        let problem = format!("is {} bytes long, at most {MAX_FILE_SIZE} are allowed", text.len());
        return (found, vec![Fault { line: 1, key: "file".to_owned(), problem }]);
    }
    for (line, words) in (1..).zip(text.lines()) {
        let first = || words.split_whitespace().next().unwrap_or_default().chars().take(40).collect();
        let mut fault =
            |problem: &str| faults.push(Fault { line, key: first(), problem: problem.to_owned() });
        if words.len() > MAX_LINE_LENGTH {
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
