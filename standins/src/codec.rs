//! The other side of the router's protocols: commands as a cache reads them, answers as a client does, events as a
//! coordinator writes them.

use std::net::SocketAddr;

use silverspindle_wire::framing::{Cursor, Malformed};

/// The largest string of a command, and the most that are in one.
const MOST_STRING: usize = 256 * 1024;
const MOST_STRINGS: usize = 8;

/// Where the strings of the first command lie, as far as they are there; the bytes it needs at least.
fn walk(buffer: &[u8], mut each: impl FnMut(usize, usize)) -> Result<usize, Malformed> {
    let line = |at: usize, mark: u8| -> Result<Option<(usize, usize)>, Malformed> {
        let rest = &buffer[at.min(buffer.len())..];
        let Some(end) = rest.iter().position(|b| *b == b'\n') else { return Ok(None) };
        let text = std::str::from_utf8(&rest[..end]).ok().and_then(|t| t.strip_suffix('\r'));
        let number = text.and_then(|t| t.strip_prefix(char::from(mark))).and_then(|t| t.parse().ok());
        number.map(|n| Some((n, at + end + 1))).ok_or(Malformed("no command"))
    };
    let Some((strings, mut at)) = line(0, b'*')? else { return Ok(buffer.len() + 1) };
    if strings > MOST_STRINGS {
        return Err(Malformed("too many strings"));
    }
    for _ in 0..strings {
        let Some((length, start)) = line(at, b'$')? else { return Ok(buffer.len() + 1) };
        if length > MOST_STRING {
            return Err(Malformed("string too long"));
        }
        at = start + length + 2;
        if at > buffer.len() {
            return Ok(at);
        }
        each(start, start + length);
    }
    Ok(at)
}

/// See `silverspindle_wire::framing::Measure`.
pub fn measure_command(buffer: &[u8]) -> Result<usize, Malformed> {
    walk(buffer, |_, _| ())
}

/// The strings of a whole command.
pub fn command(frame: &[u8]) -> Result<Vec<&[u8]>, Malformed> {
    let mut strings = Vec::new();
    walk(frame, |from, to| strings.push(&frame[from..to]))?;
    Ok(strings)
}

/// The value of a field in a command's FIELDS.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

fn call(kind: u8, name: &str, seq: i32, arguments: &[u8]) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend([0x80, 1, 0, kind]);
    put_text(&mut out, name.as_bytes());
    out.extend(seq.to_be_bytes());
    out.extend(arguments);
    let length = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// A client's `serve`.
pub fn serve(seq: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![13, 0, 1, 11, 11];
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_text(&mut out, name.as_bytes());
        put_text(&mut out, value.as_bytes());
    }
    out.extend([11, 0, 2]);
    put_text(&mut out, body);
    out.push(0);
    call(1, "serve", seq, &out)
}

/// A client's `isWell`.
pub fn is_well(seq: i32) -> Vec<u8> {
    call(1, "isWell", seq, &[2, 0, 1, 0, 0])
}

/// A client's `forget`.
pub fn forget(seq: i32) -> Vec<u8> {
    let mut out = vec![8, 0, 1];
    out.extend(seq.to_be_bytes());
    out.push(0);
    call(4, "forget", 0, &out)
}

/// What a router answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served, with the body; or good.
    Served(Vec<u8>, bool),
    /// Refused, with the milliseconds to stay away.
    Refused(Option<u64>),
    /// Failed.
    Failed,
}

/// See `silverspindle_wire::framing::Measure`.
pub fn measure_answer(buffer: &[u8]) -> Result<usize, Malformed> {
    let Ok(length) = Cursor(buffer).number(4) else { return Ok(4) };
    if length > 1 << 20 { Err(Malformed("frame too long")) } else { Ok(4 + length as usize) }
}

/// Reads a whole answer: its number and what it says.
pub fn answer(frame: &[u8]) -> Result<(i32, Answer), Malformed> {
    let mut c = Cursor(frame);
    c.number(4)?;
    let kind = c.number(4)? as u8;
    c.length_prefixed()?;
    let seq = c.number(4)? as u32 as i32;
    if kind != 2 {
        return Ok((seq, Answer::Failed));
    }
    let (sort, field) = (c.number(1)?, c.number(2)?);
    if sort != 12 {
        return Err(Malformed("not a struct"));
    }
    let (mut body, mut good, mut backoff) = (Vec::new(), false, None);
    loop {
        let sort = c.number(1)?;
        if sort == 0 {
            break;
        }
        match (sort, c.number(2)?) {
            (11, _) => body = c.length_prefixed()?.to_vec(),
            (2, _) => good = c.number(1)? == 1,
            (13, _) => {
                c.number(2)?;
                for _ in 0..c.number(4)? {
                    let (name, value) = (c.length_prefixed()?, c.length_prefixed()?);
                    if name == b"backoff" {
                        backoff = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
                    }
                }
            }
            _ => return Err(Malformed("no field of an answer")),
        }
    }
    Ok((
        seq,
        match field {
            0 => Answer::Served(body, good),
            1 => Answer::Refused(backoff),
            _ => Answer::Failed,
        },
    ))
}

/// A member as the coordinator lists it.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Its id.
    pub id: u32,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    /// 0 box, 1 parent, 2 head office; boxes stand in zone 1, others in 0.
    pub kind: u8,
    /// Its cell.
    pub cell: u16,
    /// Its weight.
    pub weight: u32,
    /// Unix milliseconds of its start; 0: long ago.
    pub started_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Member {
    fn record(&self) -> Vec<u8> {
        let ip = match self.address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets(),
            std::net::IpAddr::V6(_) => [0; 4],
        };
        let mut r = self.id.to_be_bytes().to_vec();
        r.extend(ip);
        r.extend(self.address.port().to_be_bytes());
        r.extend([self.state, u8::from(self.kind == 0), self.kind]);
        r.extend(self.cell.to_be_bytes());
        r.extend((self.weight * 1000).to_be_bytes());
        r.extend(self.started_ms.to_be_bytes());
        r
    }

    /// The entry as a configuration's `known` has it.
    pub fn json(&self) -> serde_json::Value {
        let kind = ["box", "parent", "origin"][usize::from(self.kind)];
        let phase = ["ready", "draining", "gone"][usize::from(self.state)];
        serde_json::json!({
            "id": format!("s-{:08x}", self.id), "host_port": self.address.to_string(),
            "locality": if self.kind == 0 { "edge" } else { "hub" },
            "flavor": kind, "cell": self.cell,
            "phase": phase, "size": self.weight,
            "up_since_ms": self.started_ms,
        })
    }
}

/// What the coordinator tells.
#[derive(Clone, Debug)]
pub enum News {
    /// Nothing.
    Nothing,
    /// Changed entries.
    Changes(Vec<Member>),
    /// A purge of an object, with its Unix millisecond.
    PurgeObject(u64, u64),
    /// A purge of a group, with its Unix millisecond.
    Purge(u16, u64),
}

/// An event's frame.
pub fn event(index: u64, news: &News) -> Vec<u8> {
    let (kind, payload) = match news {
        News::Nothing => (0, Vec::new()),
        News::Changes(members) => (2, members.iter().flat_map(Member::record).collect()),
        News::PurgeObject(object, ms) => (3, [object.to_be_bytes(), ms.to_be_bytes()].concat()),
        News::Purge(group, ms) => (4, [group.to_be_bytes().as_slice(), &ms.to_be_bytes()].concat()),
    };
    let mut out = (9 + payload.len() as u32).to_be_bytes().to_vec();
    out.extend(index.to_be_bytes());
    out.push(kind);
    out.extend(payload);
    out
}

/// A body that says what it is of: the object, the time of the copy in microseconds, and how many bytes follow.
pub fn marked_body(object: u64, stamp: u64, bytes: usize) -> Vec<u8> {
    let mut body = format!("{object:016x} {stamp} {bytes} ").into_bytes();
    body.resize(body.len() + bytes, b'x');
    body
}

/// The tag of a copy of this time.
pub fn tag(stamp: u64) -> String {
    format!("{stamp:016x}")
}

/// What a marked body says, and whether all that it says follows; none: it is no such body.
pub fn read_marked_body(body: &[u8]) -> Option<(u64, u64, bool)> {
    let mut parts = body.splitn(4, |byte| *byte == b' ');
    let mut text = || std::str::from_utf8(parts.next()?).ok();
    let object = u64::from_str_radix(text()?, 16).ok()?;
    let (stamp, bytes): (u64, usize) = (text()?.parse().ok()?, text()?.parse().ok()?);
    let rest = parts.next()?;
    Some((object, stamp, rest.len() == bytes && rest.iter().all(|byte| *byte == b'x')))
}
