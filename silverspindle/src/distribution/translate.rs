//! Between the coordinator's events, the log's records and what the director is told. No I/O.

use std::net::IpAddr;

use bitternhold::Lifecycle;
use silverspindle_relay::{ANY_COPY, Entry, Log, Record, Reset};

use crate::clock::{self, Stamp};
use crate::feed::{self, Event, ListEntry, Update};
use crate::framing::Malformed;
use crate::traffic::Notification;

/// A frame of the coordinator's begins with its length and the event's number; the rest is what a record keeps.
const HEAD: usize = 12;
/// Kinds of the frames that tell of members: all of them, or those that changed.
const WHOLE: u8 = 1;
const SOME: u8 = 2;

/// The record of a coordinator's event; none: it tells nothing new.
pub fn record(event: &Event, frame: &[u8]) -> Option<Record> {
    let entry = match &event.update {
        Update::UpToDate => return None,
        Update::Purged { what, at } => Entry::Purge { what: *what, at_ms: at.as_micros() / 1000 },
        Update::Members { .. } => Entry::List(frame.get(HEAD..)?.to_vec()),
    };
    Some(Record { number: event.index, entry })
}

/// What a list event says, as the coordinator spells it.
pub fn list(bytes: &[u8]) -> Result<Update, Malformed> {
    if !matches!(bytes.first(), Some(&(WHOLE | SOME))) {
        return Err(Malformed("no list event"));
    }
    let length = (bytes.len() + HEAD - 4) as u32;
    let frame = [&length.to_be_bytes()[..], &[0; 8], bytes].concat();
    if feed::measure(&frame)? != frame.len() {
        return Err(Malformed("a list event longer than any may be"));
    }
    Ok(feed::decode(&frame)?.update)
}

/// What the director is told of a record.
pub fn news(entry: &Entry) -> Result<Update, Malformed> {
    match entry {
        Entry::Purge { what, at_ms } => Ok(Update::Purged { what: *what, at: Stamp::from_millis(*at_ms) }),
        Entry::List(bytes) => list(bytes),
    }
}

/// What the director is told in place of records.
pub fn notices(reset: &Reset) -> Vec<Notification> {
    let mut all = Vec::new();
    if !reset.list.is_empty() {
        match list(&reset.list) {
            Ok(list) => all.push(Notification::Update(list)),
            Err(e) => tracing::error!(number = reset.number, "relay: a list is left out: {e}"),
        }
    }
    // Where the purges are not known, all that is older than now may be purged.
    let before = Stamp::from_millis(reset.purged_before_ms).min(Stamp::from_micros(clock::now()));
    all.push(Notification::PurgedBefore(before));
    all.push(Notification::Reset { number: reset.number });
    all
}

/// Records of events that were known at the start. A list that the coordinator's frames can't spell is left out.
pub fn known(events: &[Event]) -> Vec<Record> {
    let record = |event: &Event| match &event.update {
        Update::Members { complete, members } => {
            let bytes = spell(*complete, members);
            if bytes.is_none() {
                tracing::warn!(event = event.index, "relay: a list in 'known' can't be passed on");
            }
            Some(Record { number: event.index, entry: Entry::List(bytes?) })
        }
        _ => record(event, &[]),
    };
    events.iter().filter_map(record).collect()
}

/// What the events that were known at the start come to, for a child that has applied less: the list of members, and
/// that any copy may be purged, as the purges among them need not be all.
pub fn condensed(events: &[Event], number: u64) -> Reset {
    let mut log = Log::new(0, 0);
    known(events).into_iter().for_each(|record| log.push(record));
    let list = log.since(0).err().map_or_else(Vec::new, |reset| reset.list);
    let purged_before_ms = if number == 0 { 0 } else { ANY_COPY };
    Reset { number, purged_before_ms, list }
}

/// A list as the coordinator spells it.
fn spell(complete: bool, members: &[ListEntry]) -> Option<Vec<u8>> {
    let mut out = vec![if complete { WHOLE } else { SOME }];
    for ListEntry { member, address } in members {
        let IpAddr::V4(ip) = address.ip() else { return None };
        out.extend(u32::try_from(member.id.0).ok()?.to_be_bytes());
        out.extend(ip.octets());
        out.extend(address.port().to_be_bytes());
        out.push(match member.lifecycle {
            Lifecycle::Ready => 0,
            Lifecycle::Draining => 1,
            Lifecycle::Gone => 2,
        });
        out.push(u8::try_from(member.zone).ok()?);
        out.push(u8::try_from(member.kind).ok()?);
        out.extend(u16::try_from(member.cell).ok()?.to_be_bytes());
        out.extend(((member.weight * 1000.0).round() as u32).to_be_bytes());
        out.extend((member.started / 1000).to_be_bytes());
    }
    Some(out)
}
