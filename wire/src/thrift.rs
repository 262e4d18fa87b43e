//! The clients' protocol: Thrift's strict binary protocol in frames. No I/O.

use crate::framing::{Cursor, Malformed};

/// The largest frame of a client: a write of 48,000 bytes and its fields.
pub const MOST_FRAME: usize = 64 * 1024;
/// The largest body of a write.
pub const MOST_WRITE: usize = 48_000;
/// Nesting past this is nobody's message; a bound, as skipping goes down by calls.
const MOST_DEPTH: u32 = 8;

const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;
const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
const TEXT: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

/// The entries of a map, as slices of the frame.
pub type Fields<'a> = Vec<(&'a [u8], &'a [u8])>;

/// A message of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Message<'a> {
    /// `serve`
    Serve {
        /// Its number on the connection.
        seq: i32,
        /// Its fields.
        fields: Fields<'a>,
        /// What a write carries.
        body: &'a [u8],
    },
    /// `forget`: the client waits for this number no longer.
    Forget(i32),
    /// `isWell`
    IsWell(i32),
    /// A method that is not there.
    Unknown {
        /// Its number on the connection.
        seq: i32,
        /// Its name.
        name: &'a [u8],
        /// It wants no reply.
        oneway: bool,
    },
}

/// See [`crate::framing::Measure`].
pub fn measure(buffer: &[u8]) -> Result<usize, Malformed> {
    let Ok(length) = Cursor(buffer).number(4) else { return Ok(4) };
    if length as usize > MOST_FRAME {
        return Err(Malformed("frame too long"));
    }
    Ok(4 + length as usize)
}

/// Reads a whole frame.
pub fn decode(frame: &[u8]) -> Result<Message<'_>, Malformed> {
    let mut c = Cursor(frame);
    c.number(4)?;
    let kind = match c.number(4)? {
        n if n >> 8 == 0x80_0100 => n as u8,
        _ => return Err(Malformed("not the strict binary protocol")),
    };
    if kind != CALL && kind != ONEWAY {
        return Err(Malformed("not a call"));
    }
    let (name, seq) = (c.counted()?, c.number(4)? as u32 as i32);
    let (mut fields, mut body, mut forgotten) = (None, &b""[..], None);
    loop {
        let sort = c.number(1)? as u8;
        if sort == STOP {
            break;
        }
        match (name, sort, c.number(2)?) {
            (b"serve", MAP, 1) => fields = Some(map(&mut c)?),
            (b"serve", TEXT, 2) => body = c.counted()?,
            (b"forget", I32, 1) => forgotten = Some(c.number(4)? as u32 as i32),
            _ => skip(&mut c, sort, 0)?,
        }
    }
    if !c.0.is_empty() {
        return Err(Malformed("bytes after the message"));
    }
    Ok(match name {
        b"serve" => Message::Serve { seq, fields: fields.unwrap_or_default(), body },
        b"forget" => Message::Forget(forgotten.ok_or(Malformed("forget names no number"))?),
        b"isWell" => Message::IsWell(seq),
        name => Message::Unknown { seq, name, oneway: kind == ONEWAY },
    })
}

fn map<'a>(c: &mut Cursor<'a>) -> Result<Fields<'a>, Malformed> {
    let (key, value, count) = (c.number(1)? as u8, c.number(1)? as u8, c.number(4)? as usize);
    // An entry takes eight bytes at least: a count past that is a lie, found before anything is kept.
    if count > c.0.len() / 8 || (count > 0 && (key, value) != (TEXT, TEXT)) {
        return Err(Malformed("not a map of texts"));
    }
    (0..count).map(|_| Ok((c.counted()?, c.counted()?))).collect()
}

fn skip(c: &mut Cursor, sort: u8, depth: u32) -> Result<(), Malformed> {
    if depth > MOST_DEPTH {
        return Err(Malformed("nested too deep"));
    }
    let width = |sort| match sort {
        BOOL | 3 => Some(1),
        6 => Some(2),
        I32 => Some(4),
        4 | 10 => Some(8),
        _ => None,
    };
    match sort {
        TEXT => drop(c.counted()?),
        STRUCT => loop {
            let sort = c.number(1)? as u8;
            if sort == STOP {
                break;
            }
            c.number(2)?;
            skip(c, sort, depth + 1)?;
        },
        MAP => {
            let (key, value, count) = (c.number(1)? as u8, c.number(1)? as u8, c.number(4)? as usize);
            for _ in 0..count {
                skip(c, key, depth + 1)?;
                skip(c, value, depth + 1)?;
            }
        }
        14 | 15 => {
            let (sort, count) = (c.number(1)? as u8, c.number(4)? as usize);
            for _ in 0..count {
                skip(c, sort, depth + 1)?;
            }
        }
        sort => drop(c.take(width(sort).ok_or(Malformed("unknown type"))?)?),
    }
    Ok(())
}

fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

fn put_field(out: &mut Vec<u8>, sort: u8, id: u16) {
    out.push(sort);
    out.extend(id.to_be_bytes());
}

fn put_fields(out: &mut Vec<u8>, id: u16, fields: &[(&str, &str)]) {
    put_field(out, MAP, id);
    out.extend([TEXT, TEXT]);
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_text(out, name.as_bytes());
        put_text(out, value.as_bytes());
    }
}

fn open(kind: u8, name: &str, seq: i32) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend([0x80, 1, 0, kind]);
    put_text(&mut out, name.as_bytes());
    out.extend(seq.to_be_bytes());
    out
}

/// Writes the length in front, of what is there and of `more` bytes that follow from elsewhere.
fn finish(out: &mut [u8], more: usize) {
    let length = (out.len() - 4 + more) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
}

/// An `Answer` to a method, in the parts before and after its body, which is written as it is.
pub fn answer(method: &str, seq: i32, body: usize, fields: &[(&str, &str)], good: bool) -> [Vec<u8>; 2] {
    let mut head = open(REPLY, method, seq);
    put_field(&mut head, STRUCT, 0);
    put_field(&mut head, TEXT, 1);
    head.extend((body as u32).to_be_bytes());
    let mut tail = Vec::new();
    put_fields(&mut tail, 2, fields);
    put_field(&mut tail, BOOL, 3);
    tail.extend([u8::from(good), STOP, STOP]);
    finish(&mut head, body + tail.len());
    [head, tail]
}

fn thrown(seq: i32, exception: u16, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = open(REPLY, "serve", seq);
    put_field(&mut out, STRUCT, exception);
    put_fields(&mut out, 1, fields);
    out.extend([STOP, STOP]);
    finish(&mut out, 0);
    out
}

/// `Throttled`, with the milliseconds to stay away where there is advice.
pub fn throttled(seq: i32, backoff: Option<u64>) -> Vec<u8> {
    match backoff.map(|ms| ms.to_string()) {
        Some(ms) => thrown(seq, 1, &[("backoff", &ms)]),
        None => thrown(seq, 1, &[]),
    }
}

/// `Broken`
pub fn broken(seq: i32) -> Vec<u8> {
    thrown(seq, 2, &[])
}

/// The application exception for a method that is not there.
pub fn unknown_method(name: &str, seq: i32) -> Vec<u8> {
    const UNKNOWN_METHOD: i32 = 1;
    let mut out = open(EXCEPTION, name, seq);
    put_field(&mut out, TEXT, 1);
    put_text(&mut out, b"unknown method");
    put_field(&mut out, I32, 2);
    out.extend(UNKNOWN_METHOD.to_be_bytes());
    out.push(STOP);
    finish(&mut out, 0);
    out
}
