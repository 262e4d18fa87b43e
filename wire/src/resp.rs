//! The caches' protocol: RESP arrays of bulk strings. No I/O.

use bitternhold::{Load, Micros, Note, Status};

use crate::clock::Stamp;
use crate::framing::Malformed;

/// The largest object is 240,000 bytes; what else an answer holds is short.
const MOST_BODY: usize = 256 * 1024;
const MOST_FIELDS: usize = 4096;
const MOST_WORD: usize = 64;
/// A line of an array's or a string's length, `$` and line end included.
const MOST_LINE: usize = 12;

const WORDS: [(&[u8], Word); 8] = [
    (b"HIT", Word::Hit),
    (b"VALID", Word::Valid),
    (b"NONE", Word::None),
    (b"SHED", Word::Shed),
    (b"FAULT", Word::Fault),
    (b"LATE", Word::Late),
    (b"PONG", Word::Pong),
    (b"SICK", Word::Sick),
];

const NOTES: [(&str, Note); 10] = [
    ("warm", Note::Hit),
    ("fill", Note::Filled),
    ("deep_fill", Note::FilledByOrigin),
    ("piggy", Note::Joined),
    ("aged", Note::Stale),
    ("bounced", Note::SourceRefused),
    ("dropped", Note::SourceUnreachable),
    ("lacking", Note::SourceLacks),
    ("jammed", Note::FillsFull),
    ("backfire", Note::OriginFailed),
];

/// How a cache answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Served, with the bytes.
    Hit,
    /// Served: the client's copy is the one.
    Valid,
    /// Miss; it never ran.
    None,
    /// Full; it never ran.
    Shed,
    /// Error; it may have run.
    Fault,
    /// The request was over already; it never ran.
    Late,
    /// A probe's good answer.
    Pong,
    /// A probe's bad answer.
    Sick,
}

impl Word {
    /// What it proves of an attempt.
    pub fn status(self) -> Status {
        match self {
            Word::Hit | Word::Valid | Word::Pong => Status::Ok,
            Word::None => Status::Miss,
            Word::Shed => Status::Full,
            Word::Fault | Word::Sick => Status::Error,
            Word::Late => Status::Moot,
        }
    }
}

/// An answer of a cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer<'a> {
    /// The request's id or the probe's tag.
    pub id: &'a [u8],
    /// How it ended.
    pub word: Word,
    /// How it came about.
    pub note: Option<Note>,
    /// Time spent waiting for the source.
    pub waited: Option<Micros>,
    /// The load report.
    pub load: Option<Load>,
    /// The tag of its copy, and when the origin gave it out.
    pub name: Option<(&'a [u8], Stamp)>,
    /// The bytes.
    pub body: &'a [u8],
}

/// What stands in a line after its mark, and where the next begins; none if the line is not whole.
fn line(buffer: &[u8], at: usize, mark: u8) -> Result<Option<(usize, usize)>, Malformed> {
    let rest = &buffer[at.min(buffer.len())..];
    if rest.first().is_some_and(|b| *b != mark) {
        return Err(Malformed("not an array of bulk strings"));
    }
    let Some(end) = rest.iter().take(MOST_LINE).position(|b| *b == b'\n') else {
        return if rest.len() < MOST_LINE { Ok(None) } else { Err(Malformed("endless length")) };
    };
    let digits = rest[1..end].strip_suffix(b"\r").ok_or(Malformed("bad line end"))?;
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Malformed("bad length"));
    }
    let number = digits.iter().fold(0, |n, d| n * 10 + usize::from(d - b'0'));
    Ok(Some((number, at + end + 1)))
}

/// Calls back with each string of the first array, as far as it is there; the bytes it needs at least.
fn walk<'a>(buffer: &'a [u8], mut each: impl FnMut(usize, &'a [u8])) -> Result<usize, Malformed> {
    let Some((count, mut at)) = line(buffer, 0, b'*')? else { return Ok(buffer.len() + 1) };
    if !(2..=4).contains(&count) {
        return Err(Malformed("an answer has two to four strings"));
    }
    for i in 0..count {
        let Some((length, start)) = line(buffer, at, b'$')? else { return Ok(buffer.len() + 1) };
        let most = [MOST_WORD, MOST_WORD, MOST_FIELDS, MOST_BODY][i];
        if length > most {
            return Err(Malformed("string too long"));
        }
        let end = start + length;
        at = end + 2;
        match buffer.get(end..at) {
            None => return Ok(at),
            Some(b"\r\n") => each(i, &buffer[start..end]),
            Some(_) => return Err(Malformed("string without its end")),
        }
    }
    Ok(at)
}

/// See [`crate::framing::Measure`].
pub fn measure(buffer: &[u8]) -> Result<usize, Malformed> {
    walk(buffer, |_, _| ())
}

/// Reads a whole answer.
pub fn decode(frame: &[u8]) -> Result<Answer<'_>, Malformed> {
    let mut strings = [&b""[..]; 4];
    if walk(frame, |i, s| strings[i] = s)? != frame.len() {
        return Err(Malformed("not one whole answer"));
    }
    let [id, word, fields, body] = strings;
    let word = WORDS.iter().find(|(w, _)| *w == word).ok_or(Malformed("unknown word"))?.1;
    let mut answer = Answer { id, word, note: None, waited: None, load: None, name: None, body };
    let (mut tag, mut stamp) = (None, None);
    let fields = std::str::from_utf8(fields).map_err(|_| Malformed("fields are no text"))?;
    for (name, value) in fields.split(',').filter_map(|f| f.split_once('=')) {
        match name {
            "why" => answer.note = NOTES.iter().find(|(n, _)| *n == value).map(|(_, note)| *note),
            "took" => answer.waited = number(value).map(|ms| (ms * 1000.0) as Micros),
            "version" => tag = Some(value.as_bytes()).filter(|tag| !tag.is_empty()),
            "stamp" => stamp = value.parse().ok().filter(|ms| *ms <= u64::MAX / 1000).map(Stamp::from_millis),
            "rep" => answer.load = Some(load(value)),
            _ => {}
        }
    }
    answer.name = tag.zip(stamp);
    Ok(answer)
}

fn number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0)
}

fn load(report: &str) -> Load {
    let mut load = Load::default();
    for (name, value) in report.split(';').filter_map(|f| f.split_once(':')) {
        match name {
            "util" | "cpu" => load.cpu = number(value),
            "inflight" | "active" => load.active = number(value),
            "queue" | "waiting" => load.waiting = number(value),
            "x1" => load.link = number(value),
            _ => {}
        }
    }
    load
}

/// A command: an array of these strings.
pub fn command(strings: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(strings.iter().map(|s| s.len() + MOST_LINE).sum());
    out.extend(format!("*{}\r\n", strings.len()).into_bytes());
    for s in strings {
        out.extend(format!("${}\r\n", s.len()).into_bytes());
        out.extend(*s);
        out.extend(b"\r\n");
    }
    out
}
