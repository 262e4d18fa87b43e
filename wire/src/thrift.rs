//! The protocol of the clients: Thrift's strict binary protocol in the framed transport. No I/O.

use crate::framing::{Cursor, Malformed};

/// Largest frame of a client, in bytes: a write of 48,000 bytes and its fields.
pub const MAX_FRAME: usize = 64 * 1024;
/// Largest body of a write, in bytes.
pub const MAX_WRITE_BODY: usize = 48_000;
/// Deepest nesting of a field that is skipped. No client's message is nested deeper; the limit bounds the recursion in
/// [`skip`].
const MAX_DEPTH: u32 = 8;

// Message types of the Thrift binary protocol.
const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;
// Field types of the Thrift binary protocol.
const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

/// Entries of a string map, read from the frame each time they are asked for: a frame has room for thousands of short
/// ones, and a list of them would take several times its memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fields<'a> {
    /// The encoded entries, checked when the message was decoded.
    entries: Cursor<'a>,
}

impl<'a> Fields<'a> {
    /// All entries: name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&'a [u8], &'a [u8])> + use<'a> {
        let mut entries = self.entries;
        std::iter::from_fn(move || entries.length_prefixed().ok().zip(entries.length_prefixed().ok()))
    }

    /// The value of the first entry with this name.
    pub fn get(&self, name: &[u8]) -> Option<&'a [u8]> {
        self.iter().find(|(other, _)| *other == name).map(|(_, value)| value)
    }
}

/// A decoded message of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Message<'a> {
    /// `serve`: a request.
    Serve {
        /// Sequence number of the call on its connection.
        seq: i32,
        /// Fields of the request.
        fields: Fields<'a>,
        /// Body of a write; empty for other requests.
        body: &'a [u8],
    },
    /// `forget`: the client no longer waits for the call with this sequence number.
    Forget(i32),
    /// `isWell`: a health check, with its sequence number.
    IsWell(i32),
    /// A call of a method that does not exist.
    Unknown {
        /// Sequence number of the call on its connection.
        seq: i32,
        /// Name of the method.
        name: &'a [u8],
        /// The client expects no reply.
        oneway: bool,
    },
}

/// Length of the first frame in the buffer; see [`crate::framing::Measure`].
pub fn measure(buffer: &[u8]) -> Result<usize, Malformed> {
    let Ok(length) = Cursor(buffer).number(4) else { return Ok(4) };
    if length as usize > MAX_FRAME {
        return Err(Malformed("frame too long"));
    }
    Ok(4 + length as usize)
}

/// Length in bytes of the name of the method that a frame which begins with these bytes calls; none if that has not arrived.
pub fn method_name_length(buffer: &[u8]) -> Option<usize> {
    const FRAME_LENGTH_AND_KIND: usize = 8;
    let mut c = Cursor(buffer);
    c.take(FRAME_LENGTH_AND_KIND).ok()?;
    c.number(4).ok().map(|length| length as usize)
}

/// Decodes a whole frame.
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
    let (name, seq) = (c.length_prefixed()?, c.number(4)? as u32 as i32);
    let (mut fields, mut body, mut forgotten) = (None, &b""[..], None);
    loop {
        let field_type = c.number(1)? as u8;
        if field_type == STOP {
            break;
        }
        match (name, field_type, c.number(2)?) {
            (b"serve", MAP, 1) => fields = Some(decode_string_map(&mut c)?),
            (b"serve", STRING, 2) => body = c.length_prefixed()?,
            (b"forget", I32, 1) => forgotten = Some(c.number(4)? as u32 as i32),
            _ => skip(&mut c, field_type, 0)?,
        }
    }
    if !c.0.is_empty() {
        return Err(Malformed("bytes after the message"));
    }
    Ok(match name {
        b"serve" => Message::Serve { seq, fields: fields.unwrap_or_default(), body },
        b"forget" => Message::Forget(forgotten.ok_or(Malformed("forget without a sequence number"))?),
        b"isWell" => Message::IsWell(seq),
        name => Message::Unknown { seq, name, oneway: kind == ONEWAY },
    })
}

/// Decodes a map of strings.
fn decode_string_map<'a>(c: &mut Cursor<'a>) -> Result<Fields<'a>, Malformed> {
    let (key, value, count) = (c.number(1)? as u8, c.number(1)? as u8, c.number(4)? as usize);
    // An entry takes at least eight bytes, so a larger count can't be true. It is rejected before memory is allocated.
    if count > c.0.len() / 8 || (count > 0 && (key, value) != (STRING, STRING)) {
        return Err(Malformed("not a map of strings"));
    }
    let whole = c.0;
    for _ in 0..count {
        c.length_prefixed()?;
        c.length_prefixed()?;
    }
    let entries = &whole[..whole.len() - c.0.len()];
    Ok(Fields { entries: Cursor(entries) })
}

/// Skips a value of this field type.
fn skip(c: &mut Cursor, field_type: u8, depth: u32) -> Result<(), Malformed> {
    if depth > MAX_DEPTH {
        return Err(Malformed("nested too deeply"));
    }
    let width = |field_type| match field_type {
        // 3 is a byte, 6 an i16, 4 a double and 10 an i64.
        BOOL | 3 => Some(1),
        6 => Some(2),
        I32 => Some(4),
        4 | 10 => Some(8),
        _ => None,
    };
    match field_type {
        STRING => drop(c.length_prefixed()?),
        STRUCT => loop {
            let field_type = c.number(1)? as u8;
            if field_type == STOP {
                break;
            }
            c.number(2)?;
            skip(c, field_type, depth + 1)?;
        },
        MAP => {
            let (key, value, count) = (c.number(1)? as u8, c.number(1)? as u8, c.number(4)? as usize);
            for _ in 0..count {
                skip(c, key, depth + 1)?;
                skip(c, value, depth + 1)?;
            }
        }
        // A set or a list.
        14 | 15 => {
            let (field_type, count) = (c.number(1)? as u8, c.number(4)? as usize);
            for _ in 0..count {
                skip(c, field_type, depth + 1)?;
            }
        }
        field_type => drop(c.take(width(field_type).ok_or(Malformed("unknown type"))?)?),
    }
    Ok(())
}

/// Appends a string behind its length.
fn put_string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

/// Appends the header of a field: its type and its id.
fn put_field_header(out: &mut Vec<u8>, field_type: u8, id: u16) {
    out.push(field_type);
    out.extend(id.to_be_bytes());
}

/// Appends a field that is a map of strings.
fn put_string_map(out: &mut Vec<u8>, id: u16, fields: &[(&str, &str)]) {
    put_field_header(out, MAP, id);
    out.extend([STRING, STRING]);
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_string(out, name.as_bytes());
        put_string(out, value.as_bytes());
    }
}

/// Starts a frame: room for its length, then the message header.
fn begin_frame(kind: u8, name: &str, seq: i32) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend([0x80, 1, 0, kind]);
    put_string(&mut out, name.as_bytes());
    out.extend(seq.to_be_bytes());
    out
}

/// Writes the frame's length into its first four bytes: the bytes in `out` and `more` bytes that are sent behind them.
fn write_length(out: &mut [u8], more: usize) {
    let length = (out.len() - 4 + more) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
}

/// Encodes a reply that returns an `Answer`: the bytes before and after its body, which is sent from where it lies.
pub fn encode_answer(
    method: &str,
    seq: i32,
    body_length: usize,
    fields: &[(&str, &str)],
    good: bool,
) -> [Vec<u8>; 2] {
    let mut head = begin_frame(REPLY, method, seq);
    put_field_header(&mut head, STRUCT, 0);
    put_field_header(&mut head, STRING, 1);
    head.extend((body_length as u32).to_be_bytes());
    let mut tail = Vec::new();
    put_string_map(&mut tail, 2, fields);
    put_field_header(&mut tail, BOOL, 3);
    tail.extend([u8::from(good), STOP, STOP]);
    write_length(&mut head, body_length + tail.len());
    [head, tail]
}

fn exception_reply(seq: i32, exception: u16, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = begin_frame(REPLY, "serve", seq);
    put_field_header(&mut out, STRUCT, exception);
    put_string_map(&mut out, 1, fields);
    out.extend([STOP, STOP]);
    write_length(&mut out, 0);
    out
}

/// Encodes the exception `Throttled`, with the milliseconds to back off if there is such advice.
pub fn encode_throttled(seq: i32, backoff: Option<u64>) -> Vec<u8> {
    match backoff.map(|ms| ms.to_string()) {
        Some(ms) => exception_reply(seq, 1, &[("backoff", &ms)]),
        None => exception_reply(seq, 1, &[]),
    }
}

/// Encodes the exception `Broken`.
pub fn encode_broken(seq: i32) -> Vec<u8> {
    exception_reply(seq, 2, &[])
}

/// Encodes the application exception for a method that does not exist.
pub fn encode_unknown_method(name: &str, seq: i32) -> Vec<u8> {
    const UNKNOWN_METHOD: i32 = 1;
    let mut out = begin_frame(EXCEPTION, name, seq);
    put_field_header(&mut out, STRING, 1);
    put_string(&mut out, b"unknown method");
    put_field_header(&mut out, I32, 2);
    out.extend(UNKNOWN_METHOD.to_be_bytes());
    out.push(STOP);
    write_length(&mut out, 0);
    out
}
