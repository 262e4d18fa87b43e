//! A batch of records, coded compactly: an object's purge takes nine bytes, eight of them its id.
//!
//! Coding: the number before the first record as a varint, then the records one after the other. Times are differences
//! to the purge before, numbers count up by one unless said otherwise.
//!
//! - the usual record: varint of (zigzag difference in milliseconds + 1), eight bytes of object;
//! - the others: a zero byte, a kind ([`OBJECT`], [`GROUP`], [`LIST`]), varint of the numbers left out, then the
//!   difference and object or group, or length and bytes of a list event.

use silverspindle_wire::feed::PurgeTarget;

use crate::bounds;
use crate::frame::Fault;
use crate::list;
use crate::log::{Entry, Record};

/// In place of the usual record's first varint.
const ESCAPE: u8 = 0;
/// An object's purge whose number or time doesn't fit the usual record.
const OBJECT: u8 = 0;
/// A group's purge.
const GROUP: u8 = 1;
/// A list event.
const LIST: u8 = 2;
/// No batch is longer: one list event may follow a batch that is nearly full.
const MOST: usize = bounds::BATCH + bounds::LIST + 64;

/// Records that follow each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The number before the first record: whoever has applied up to there applies it.
    pub after: u64,
    /// The records, numbers counting up.
    pub records: Vec<Record>,
}

impl Batch {
    /// Its bytes. Records whose numbers don't count up are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut encoder = Encoder::new(self.after);
        self.records.iter().for_each(|record| encoder.push(record));
        encoder.bytes
    }

    /// Reads a whole batch.
    pub fn decode(bytes: &[u8]) -> Result<Self, Fault> {
        if bytes.len() > MOST {
            return Err(Fault::TooLong);
        }
        let mut decoder = Decoder { rest: bytes, number: 0, at_ms: 0 };
        let after = decoder.varint()?;
        decoder.number = after;
        let mut records = Vec::with_capacity(decoder.rest.len() / 9);
        while !decoder.rest.is_empty() {
            records.push(decoder.record()?);
        }
        Ok(Self { after, records })
    }
}

/// Codes records one by one, so that a parent need not copy them out of its log.
#[derive(Clone, Debug)]
pub struct Encoder {
    bytes: Vec<u8>,
    number: u64,
    at_ms: u64,
}

impl Encoder {
    /// An empty batch behind this number.
    pub fn new(after: u64) -> Self {
        let mut encoder = Self { bytes: Vec::new(), number: after, at_ms: 0 };
        encoder.varint(after);
        encoder
    }

    /// Bytes so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing is coded yet, not even where it begins: never.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The number of the last record.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The bytes of all.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }

    /// Adds a record; one whose number does not count up is left out.
    pub fn push(&mut self, record: &Record) {
        let Some(skipped) = record.number.checked_sub(self.number).and_then(|step| step.checked_sub(1))
        else {
            return;
        };
        self.number = record.number;
        match &record.entry {
            Entry::Purge { what: PurgeTarget::Object(object), at_ms } => {
                let difference = self.difference(*at_ms);
                match difference.checked_add(1).filter(|_| skipped == 0) {
                    Some(header) => self.varint(header),
                    None => {
                        self.escape(OBJECT, skipped);
                        self.varint(difference);
                    }
                }
                self.bytes.extend_from_slice(&object.to_be_bytes());
            }
            Entry::Purge { what: PurgeTarget::Group(group), at_ms } => {
                let difference = self.difference(*at_ms);
                self.escape(GROUP, skipped);
                self.varint(difference);
                self.varint(*group);
            }
            Entry::List(list) => {
                self.escape(LIST, skipped);
                self.varint(list.len() as u64);
                self.bytes.extend_from_slice(list);
            }
        }
    }

    fn escape(&mut self, kind: u8, skipped: u64) {
        self.bytes.extend_from_slice(&[ESCAPE, kind]);
        self.varint(skipped);
    }

    /// The zigzag difference to the purge before.
    fn difference(&mut self, at_ms: u64) -> u64 {
        let difference = at_ms.wrapping_sub(self.at_ms) as i64;
        self.at_ms = at_ms;
        ((difference << 1) ^ (difference >> 63)) as u64
    }

    fn varint(&mut self, mut value: u64) {
        while value >= 0x80 {
            self.bytes.push(value as u8 | 0x80);
            value >>= 7;
        }
        self.bytes.push(value as u8);
    }
}

struct Decoder<'a> {
    rest: &'a [u8],
    number: u64,
    at_ms: u64,
}

impl Decoder<'_> {
    fn record(&mut self) -> Result<Record, Fault> {
        let header = self.varint()?;
        if header != u64::from(ESCAPE) {
            self.count_up(0)?;
            let at_ms = self.time(header - 1);
            return self.object(at_ms);
        }
        let kind = self.bytes(1)?[0];
        let skipped = self.varint()?;
        self.count_up(skipped)?;
        match kind {
            OBJECT => {
                let difference = self.varint()?;
                let at_ms = self.time(difference);
                self.object(at_ms)
            }
            GROUP => {
                let difference = self.varint()?;
                let at_ms = self.time(difference);
                let what = PurgeTarget::Group(self.varint()?);
                Ok(Record { number: self.number, entry: Entry::Purge { what, at_ms } })
            }
            LIST => {
                let length = usize::try_from(self.varint()?).map_err(|_| Fault::Unreadable)?;
                let event = self.bytes(length)?.to_vec();
                if !list::is_event(&event) {
                    return Err(Fault::Unreadable);
                }
                Ok(Record { number: self.number, entry: Entry::List(event) })
            }
            _ => Err(Fault::Unreadable),
        }
    }

    fn object(&mut self, at_ms: u64) -> Result<Record, Fault> {
        let id: [u8; 8] = self.bytes(8)?.try_into().map_err(|_| Fault::Unreadable)?;
        let what = PurgeTarget::Object(u64::from_be_bytes(id));
        Ok(Record { number: self.number, entry: Entry::Purge { what, at_ms } })
    }

    fn count_up(&mut self, skipped: u64) -> Result<(), Fault> {
        let number = self.number.checked_add(1).and_then(|next| next.checked_add(skipped));
        self.number = number.ok_or(Fault::Order)?;
        Ok(())
    }

    fn time(&mut self, zigzag: u64) -> u64 {
        let difference = (zigzag >> 1) as i64 ^ -((zigzag & 1) as i64);
        self.at_ms = self.at_ms.wrapping_add(difference as u64);
        self.at_ms
    }

    fn bytes(&mut self, length: usize) -> Result<&[u8], Fault> {
        let (taken, rest) = self.rest.split_at_checked(length).ok_or(Fault::Unreadable)?;
        self.rest = rest;
        Ok(taken)
    }

    fn varint(&mut self) -> Result<u64, Fault> {
        let mut value = 0u64;
        for shift in (0..64).step_by(7) {
            let byte = self.bytes(1)?[0];
            let part = u64::from(byte & 0x7f);
            if shift == 63 && part > 1 {
                return Err(Fault::Unreadable);
            }
            value |= part << shift;
            if byte & 0x80 == 0 {
                return Ok(value);
            }
        }
        Err(Fault::Unreadable)
    }
}
