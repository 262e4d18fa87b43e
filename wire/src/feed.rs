//! Decoders for the coordinator's events: frames of its feed and the `known` section of the configuration. No I/O.

use std::net::{Ipv4Addr, SocketAddr};

use bitternhold::settings::{SiteSettings, index_of};
use bitternhold::{Lifecycle, Member, MemberId};
use serde_json::Value;

use crate::clock::Stamp;
use crate::framing::{Cursor, Malformed};

/// Largest frame in bytes; it fits a list of about ten thousand members.
const MAX_FRAME: usize = 256 * 1024;
/// Size of one member's record in a frame, in bytes.
const RECORD_SIZE: usize = 27;

/// An entry of the membership list: a member and its address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The member, as passed to the decision module.
    pub member: Member,
    /// Address that the member listens on.
    pub address: SocketAddr,
}

/// Content of a coordinator's event.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// No change: the coordinator has sent everything that it has.
    UpToDate,
    /// Entries of the membership list.
    Members {
        /// The entries are the whole list, not a change to it.
        complete: bool,
        /// The entries.
        members: Vec<ListEntry>,
    },
    /// A purge: copies older than its time must not be served.
    Purged {
        /// What was purged.
        what: PurgeTarget,
        /// Time of the purge on the wall clock of the machine that issued it.
        at: Stamp,
    },
}

/// Target of a purge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PurgeTarget {
    /// An object.
    Object(u64),
    /// All objects of a group.
    Group(u64),
}

/// A numbered event of the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Number of the event in the coordinator's sequence.
    pub index: u64,
    /// Content of the event.
    pub update: Update,
}

/// Length of the first frame in the buffer; see [`crate::framing::Measure`].
pub fn measure(buffer: &[u8]) -> Result<usize, Malformed> {
    match Cursor(buffer).number(4) {
        Err(_) => Ok(4),
        Ok(length) if (9..=MAX_FRAME as u64).contains(&length) => Ok(4 + length as usize),
        Ok(_) => Err(Malformed("frame length out of range")),
    }
}

/// Decodes a whole frame.
pub fn decode(frame: &[u8]) -> Result<Event, Malformed> {
    let mut c = Cursor(frame);
    c.number(4)?;
    let (index, kind) = (c.number(8)?, c.number(1)?);
    let update = match kind {
        0 => Update::UpToDate,
        1 | 2 if c.0.len() % RECORD_SIZE == 0 => {
            let mut members = Vec::with_capacity(c.0.len() / RECORD_SIZE);
            while !c.0.is_empty() {
                members.push(decode_record(&mut c)?);
            }
            Update::Members { complete: kind == 1, members }
        }
        3 => Update::Purged { what: PurgeTarget::Object(c.number(8)?), at: Stamp::from_millis(c.number(8)?) },
        4 => Update::Purged { what: PurgeTarget::Group(c.number(2)?), at: Stamp::from_millis(c.number(8)?) },
        _ => return Err(Malformed("unknown kind or half a record")),
    };
    if kind != 0 && !c.0.is_empty() {
        return Err(Malformed("bytes after the event"));
    }
    Ok(Event { index, update })
}

/// Decodes a member's record in a frame.
fn decode_record(c: &mut Cursor) -> Result<ListEntry, Malformed> {
    let id = MemberId(c.number(4)?);
    let address = SocketAddr::from((Ipv4Addr::from(c.number(4)? as u32), c.number(2)? as u16));
    let lifecycle = match c.number(1)? {
        0 => Lifecycle::Ready,
        1 => Lifecycle::Draining,
        2 => Lifecycle::Gone,
        _ => return Err(Malformed("unknown state")),
    };
    let (zone, kind, cell) = (c.number(1)? as usize, c.number(1)? as usize, c.number(2)?);
    let weight = c.number(4)? as f64 / 1000.0;
    let started = Stamp::from_millis(c.number(8)?).on_own_clock();
    Ok(ListEntry { member: Member { id, lifecycle, zone, kind, cell, weight, started }, address })
}

/// Parses the configuration's `known`: the number of its last event and the events. An error names the key.
pub fn parse_known(value: &Value, site: &SiteSettings) -> Result<(u64, Vec<Event>), String> {
    let index = value["index"].as_u64().ok_or("known.index: must be a whole number")?;
    let updates = value["updates"].as_array().ok_or("known.updates: must be a list")?;
    let events = updates.iter().enumerate().map(|(i, v)| {
        let malformed = |key: &str| format!("known.updates[{i}].{key}: missing or malformed");
        let update = if let Some(list) = v.get("endpoints") {
            let entries = list["members"].as_array().ok_or_else(|| malformed("endpoints.members"))?;
            let members = entries
                .iter()
                .map(|m| parse_entry(m, site).map_err(|key| malformed(&format!("endpoints.members.{key}"))))
                .collect::<Result<_, _>>()?;
            Update::Members { complete: list["complete"].as_bool().unwrap_or(false), members }
        } else {
            let purge = v.get("evict").ok_or_else(|| malformed("endpoints"))?;
            let what = match (purge.get("ref"), purge.get("shard")) {
                (Some(object), _) => object.as_str().and_then(parse_hex_id).map(PurgeTarget::Object),
                (None, group) => group.and_then(Value::as_u64).map(PurgeTarget::Group),
            };
            let at = purge["unix_ms"].as_u64().ok_or_else(|| malformed("evict.unix_ms"))?;
            Update::Purged { what: what.ok_or_else(|| malformed("evict.ref"))?, at: Stamp::from_millis(at) }
        };
        Ok(Event { index: v["index"].as_u64().ok_or_else(|| malformed("index"))?, update })
    });
    Ok((index, events.collect::<Result<_, String>>()?))
}

/// Parses an object or request id: a number of exactly sixteen hex digits.
pub fn parse_hex_id(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Parses a member's entry in `known`. An error is the name of the key.
fn parse_entry(m: &Value, site: &SiteSettings) -> Result<ListEntry, &'static str> {
    let id =
        m["id"].as_str().and_then(|t| t.strip_prefix("s-")).and_then(|t| u32::from_str_radix(t, 16).ok());
    Ok(ListEntry {
        member: Member {
            id: MemberId(u64::from(id.ok_or("id")?)),
            lifecycle: match m["phase"].as_str() {
                Some("ready") => Lifecycle::Ready,
                Some("draining") => Lifecycle::Draining,
                Some("gone") => Lifecycle::Gone,
                _ => return Err("phase"),
            },
            zone: index_of(&site.zones, m["locality"].as_str()),
            kind: index_of(&site.kinds, m["flavor"].as_str()),
            cell: m["cell"].as_u64().unwrap_or(0),
            weight: m["size"].as_f64().unwrap_or(0.0),
            started: Stamp::from_millis(m["up_since_ms"].as_u64().unwrap_or(0)).on_own_clock(),
        },
        address: m["host_port"].as_str().and_then(|t| t.parse().ok()).ok_or("host_port")?,
    })
}
