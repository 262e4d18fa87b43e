//! The protocol of the caches: RESP arrays of bulk strings. No I/O.

use bitternhold::{Load, Micros, Note, Status};

use crate::clock::Stamp;
use crate::framing::Malformed;

/// Largest body in bytes. The largest object has 240,000 bytes; everything else in an answer is short.
const MAX_BODY: usize = 256 * 1024;
/// Largest fields string in bytes.
const MAX_FIELDS: usize = 4096;
/// Largest id and largest answer word, in bytes.
const MAX_SHORT_STRING: usize = 64;
/// Longest length line of an array or string in bytes, including the `*` or `$` and the line end.
const MAX_LINE: usize = 12;

/// Line end behind each string.
pub const LINE_END: &[u8] = b"\r\n";

/// Answer words on the wire.
const CODES: [(&[u8], AnswerCode); 8] = [
    (b"HIT", AnswerCode::Hit),
    (b"VALID", AnswerCode::Valid),
    (b"NONE", AnswerCode::None),
    (b"SHED", AnswerCode::Shed),
    (b"FAULT", AnswerCode::Fault),
    (b"LATE", AnswerCode::Late),
    (b"PONG", AnswerCode::Pong),
    (b"SICK", AnswerCode::Sick),
];

/// Values of the field `why` on the wire.
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

/// Answer word of a cache: how a request or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCode {
    /// Served with a body.
    Hit,
    /// Served without a body: the client's own copy is current.
    Valid,
    /// Miss; the request did not run.
    None,
    /// The cache is full; the request did not run.
    Shed,
    /// Error; the request may have run.
    Fault,
    /// The request was over already when the cache came to it; it did not run.
    Late,
    /// Answer of a healthy member to a probe.
    Pong,
    /// Answer of an unhealthy member to a probe.
    Sick,
}

impl AnswerCode {
    /// Status of the attempt that received this answer.
    pub fn status(self) -> Status {
        match self {
            AnswerCode::Hit | AnswerCode::Valid | AnswerCode::Pong => Status::Ok,
            AnswerCode::None => Status::Miss,
            AnswerCode::Shed => Status::Full,
            AnswerCode::Fault | AnswerCode::Sick => Status::Error,
            AnswerCode::Late => Status::Moot,
        }
    }
}

/// A decoded answer of a cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer<'a> {
    /// Id of the request, or tag of the probe.
    pub id: &'a [u8],
    /// How the request or the probe ended.
    pub code: AnswerCode,
    /// How the cache obtained the answer.
    pub note: Option<Note>,
    /// Time that the cache waited for the source of the fill.
    pub waited: Option<Micros>,
    /// Load report of the cache.
    pub load: Option<Load>,
    /// Version of the object: its tag, and the time at which the origin issued it.
    pub version: Option<(&'a [u8], Stamp)>,
    /// Bytes of the object.
    pub body: &'a [u8],
}

/// Parses a length line at this position: the number behind its mark (`*` or `$`) and the start of the next line.
/// None if the line is incomplete.
fn length_line(buffer: &[u8], at: usize, mark: u8) -> Result<Option<(usize, usize)>, Malformed> {
    let rest = &buffer[at.min(buffer.len())..];
    if rest.first().is_some_and(|b| *b != mark) {
        return Err(Malformed("not an array of bulk strings"));
    }
    let Some(end) = rest.iter().take(MAX_LINE).position(|b| *b == b'\n') else {
        return if rest.len() < MAX_LINE { Ok(None) } else { Err(Malformed("length line too long")) };
    };
    let digits = rest[1..end].strip_suffix(b"\r").ok_or(Malformed("bad line end"))?;
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Malformed("bad length"));
    }
    let number = digits.iter().fold(0, |n, d| n * 10 + usize::from(d - b'0'));
    Ok(Some((number, at + end + 1)))
}

/// Calls `each` with every string of the first array that the buffer holds completely. Returns the number of bytes that
/// the array needs at least.
fn walk_strings<'a>(buffer: &'a [u8], mut each: impl FnMut(usize, &'a [u8])) -> Result<usize, Malformed> {
    let Some((count, mut at)) = length_line(buffer, 0, b'*')? else { return Ok(buffer.len() + 1) };
    if !(2..=4).contains(&count) {
        return Err(Malformed("an answer has two to four strings"));
    }
    for i in 0..count {
        let Some((length, start)) = length_line(buffer, at, b'$')? else { return Ok(buffer.len() + 1) };
        let max_length = [MAX_SHORT_STRING, MAX_SHORT_STRING, MAX_FIELDS, MAX_BODY][i];
        if length > max_length {
            return Err(Malformed("string too long"));
        }
        let end = start + length;
        at = end + 2;
        match buffer.get(end..at) {
            None => return Ok(at),
            Some(LINE_END) => each(i, &buffer[start..end]),
            Some(_) => return Err(Malformed("string without its line end")),
        }
    }
    Ok(at)
}

/// Length of the first answer in the buffer; see [`crate::framing::Measure`].
pub fn measure(buffer: &[u8]) -> Result<usize, Malformed> {
    walk_strings(buffer, |_, _| ())
}

/// The id of the answer that begins with these bytes; none if it has not arrived as a whole.
pub fn answer_id(buffer: &[u8]) -> Option<&[u8]> {
    let mut id = None;
    walk_strings(buffer, |i, string| {
        if i == 0 {
            id = Some(string)
        }
    })
    .ok()?;
    id
}

/// Decodes an answer that begins with these bytes and whose body has not arrived as a whole; the body is empty. None if the
/// strings before it are not complete either.
pub fn decode_head(buffer: &[u8]) -> Result<Option<Answer<'_>>, Malformed> {
    let (mut strings, mut complete) = ([&b""[..]; 4], 0);
    walk_strings(buffer, |i, s| (strings[i], complete) = (s, i + 1))?;
    let [id, word, fields, _] = strings;
    if complete < 3 { Ok(None) } else { parse(id, word, fields, b"").map(Some) }
}

/// Where the body lies in the frame of an answer with one, of which these are the first bytes: its start, and its length in
/// bytes. None if that has not arrived. Behind the body come the two bytes of its line end.
pub fn body_position(buffer: &[u8]) -> Option<(usize, usize)> {
    let (count, mut at) = length_line(buffer, 0, b'*').ok()??;
    if count != 4 {
        return None;
    }
    for _ in 0..3 {
        let (length, start) = length_line(buffer, at, b'$').ok()??;
        at = start + length + 2;
    }
    let (length, start) = length_line(buffer, at, b'$').ok()??;
    Some((start, length))
}

/// Decodes a whole answer.
pub fn decode(frame: &[u8]) -> Result<Answer<'_>, Malformed> {
    let mut strings = [&b""[..]; 4];
    if walk_strings(frame, |i, s| strings[i] = s)? != frame.len() {
        return Err(Malformed("not exactly one whole answer"));
    }
    let [id, word, fields, body] = strings;
    parse(id, word, fields, body)
}

/// Parses the strings of an answer.
fn parse<'a>(id: &'a [u8], word: &[u8], fields: &'a [u8], body: &'a [u8]) -> Result<Answer<'a>, Malformed> {
    let code = CODES.iter().find(|(text, _)| *text == word).ok_or(Malformed("unknown word"))?.1;
    let mut answer = Answer { id, code, note: None, waited: None, load: None, version: None, body };
    let (mut tag, mut stamp) = (None, None);
    let fields = std::str::from_utf8(fields).map_err(|_| Malformed("fields are not valid UTF-8"))?;
    for (name, value) in fields.split(',').filter_map(|f| f.split_once('=')) {
        match name {
            "why" => answer.note = NOTES.iter().find(|(n, _)| *n == value).map(|(_, note)| *note),
            "took" => answer.waited = parse_number(value).map(|ms| (ms * 1000.0) as Micros),
            "version" => tag = Some(value.as_bytes()).filter(|tag| !tag.is_empty()),
            "stamp" => stamp = value.parse().ok().filter(|ms| *ms <= u64::MAX / 1000).map(Stamp::from_millis),
            "rep" => answer.load = Some(parse_load(value)),
            _ => {}
        }
    }
    answer.version = tag.zip(stamp);
    Ok(answer)
}

/// Parses a finite number that is not negative.
fn parse_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0)
}

/// Parses a load report: `name:value` pairs with semicolons between them. Unknown names are ignored.
fn parse_load(report: &str) -> Load {
    let mut load = Load::default();
    for (name, value) in report.split(';').filter_map(|f| f.split_once(':')) {
        match name {
            "util" | "cpu" => load.cpu = parse_number(value),
            "inflight" | "active" => load.active = parse_number(value),
            "queue" | "waiting" => load.waiting = parse_number(value),
            "x1" => load.link = parse_number(value),
            _ => {}
        }
    }
    load
}

/// Encodes an array of these bulk strings: a command to a cache.
pub fn encode_array(strings: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(strings.iter().map(|s| s.len() + MAX_LINE).sum());
    out.extend(format!("*{}\r\n", strings.len()).into_bytes());
    for s in strings {
        out.extend(format!("${}\r\n", s.len()).into_bytes());
        out.extend(*s);
        out.extend(b"\r\n");
    }
    out
}
