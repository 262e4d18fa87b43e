//! A request from its fields: what can't be used fails here, and nothing is sent for it.

use std::cell::{Cell, RefCell};

use bitternhold::settings::place;
use bitternhold::{Effect, Micros};
use bytes::Bytes;

use super::Front;
use crate::counters::RefusalReason;
use crate::feed::parse_hex_id;
use crate::thrift;
use crate::traffic::{Call, Taken, Verdict};

/// Longest text passed on, and the highest part of an object that is believed.
const MOST_TEXT: usize = 128;
const MOST_PART: u64 = u16::MAX as u64;
/// A budget over this multiple of the class's deadline is no figure of a client's.
const OVER_DEADLINE: u64 = 2;
/// A size that takes this many times longer to send than any client of the site waits is no size.
const OVER_SIZE: f64 = 1000.0;

impl Front {
    /// A request from its fields. One that can't be used is failed here: nothing may be sent for it.
    pub(super) fn call(
        &self,
        fields: &thrift::Fields,
        body: Bytes,
        arrived: Micros,
    ) -> Result<Call, Verdict> {
        // Outer none: not readable; inner none: not given.
        let given = |name: &str| match fields.iter().find(|(n, _)| *n == name.as_bytes()) {
            Some((_, value)) => std::str::from_utf8(value).ok().map(Some),
            None => Some(None),
        };
        // Caches read lists of name=value: what would end a value there must not get into one.
        let plain = |t: &str| {
            let good = |b: u8| b.is_ascii_graphic() && b != b',' && b != b'=';
            ((1..=MOST_TEXT).contains(&t.len()) && t.bytes().all(good)).then(|| t.to_owned())
        };
        let passed = |name: &str| match given(name)? {
            Some(text) => plain(text).map(Some),
            None => Some(None),
        };
        let number = |text: &str| text.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
        // Digits alone: what is passed on must be what the client wrote.
        let whole = |name: &str, most: u64| match given(name)? {
            Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => {
                text.parse().ok().filter(|n: &u64| *n <= most)
            }
            Some(_) => None,
            None => Some(0),
        };
        let named = |name: &str| given(name)?.filter(|t| parse_hex_id(t).is_some()).map(str::to_owned);
        let read = || {
            let class = place(&self.catalogue.classes, given("method")?);
            let terms = self.catalogue.settings.classes.get(class)?;
            let token = passed("token")?;
            if (terms.effect == Effect::Deduplicated && token.is_none())
                || body.len() > if terms.write { thrift::MAX_WRITE_BODY } else { 0 }
            {
                return None;
            }
            let budget = (number(given("budget")??)? * 1000.0) as Micros;
            if budget > OVER_DEADLINE.saturating_mul(terms.deadline) {
                return None;
            }
            // A size that nobody could ever be sent is none. One that takes longer than this client waits is served all
            // the same (the deadline is short, or the object large), but not believed to the letter: it would be
            // counted in the class's mean sending time, by which just-started caches are spared, for a thousand requests.
            let flow = self.catalogue.settings.flow_kb_per_s;
            let believed = OVER_DEADLINE as f64 * terms.deadline as f64 / 1e6 * flow;
            let size_kb = match given("mem")? {
                Some(text) if number(text)? > OVER_SIZE * believed && flow > 0.0 => return None,
                Some(text) if flow > 0.0 => Some(number(text)?.min(believed)).filter(|kb| *kb > 0.0),
                Some(text) => Some(number(text)?).filter(|kb| *kb > 0.0),
                None => None,
            };
            Some(Call {
                rid: named("rid")?,
                class,
                object: named("obj")?,
                part: whole("block", MOST_PART)?,
                group: whole("family", 255)?,
                size_kb,
                token,
                cached: passed("cached")?,
                deadline: arrived + budget,
                taken: Taken::new(&self.taken, body.len()),
                body: body.clone(),
                over: Cell::new(false),
                lines: RefCell::default(),
            })
        };
        let call = read().ok_or(Verdict::Failed)?;
        // An id is new with every request. Guards against answers that can't be told apart, and against floods
        // of one request: only the first goes on.
        if parse_hex_id(&call.rid).is_none_or(|rid| self.rids.borrow_mut().seen(arrived, rid)) {
            return Err(Verdict::Failed);
        }
        match self.taken.get() > self.most_taken.get() {
            // Guards the memory: nothing has run, so a refusal does no harm.
            true => Err(self.refuse(call, RefusalReason::Memory)),
            false => Ok(call),
        }
    }
}
