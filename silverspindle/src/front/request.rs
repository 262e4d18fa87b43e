//! Builds a request from its fields. Invalid requests fail here, and nothing is sent for them.

use std::cell::{Cell, RefCell};

use bitternhold::settings::index_of;
use bitternhold::{Idempotency, Micros};
use bytes::Bytes;

use super::Front;
use crate::counters::RefusalReason;
use crate::feed::parse_hex_id;
use crate::thrift;
use crate::traffic::{BodyReservation, Call, Verdict};

/// Maximum length in bytes of a text that is passed on to caches.
const MOST_TEXT: usize = 128;
/// Maximum part number of an object.
const MOST_PART: u64 = u16::MAX as u64;
/// Maximum budget of a request, as a multiple of its class's deadline. A higher value is invalid.
const OVER_DEADLINE: u64 = 2;
/// Maximum size of an object, as a multiple of the size that can be sent within the longest budget of the request's
/// class. A larger size is invalid.
const OVER_SIZE: f64 = 1000.0;

impl Front {
    /// Builds a request from its fields, or returns the answer to one that is invalid or refused: nothing may be sent
    /// for it.
    pub(super) fn call(
        &self,
        fields: &thrift::Fields,
        body: Bytes,
        arrived: Micros,
    ) -> Result<Call, Verdict> {
        // Outer none: not valid UTF-8. Inner none: the field is absent.
        let given = |name: &str| match fields.iter().find(|(n, _)| *n == name.as_bytes()) {
            Some((_, value)) => std::str::from_utf8(value).ok().map(Some),
            None => Some(None),
        };
        // Caches parse lists of name=value, so a value must not hold a separator.
        let plain = |t: &str| {
            let good = |b: u8| b.is_ascii_graphic() && b != b',' && b != b'=';
            ((1..=MOST_TEXT).contains(&t.len()) && t.bytes().all(good)).then(|| t.to_owned())
        };
        let passed = |name: &str| match given(name)? {
            Some(text) => plain(text).map(Some),
            None => Some(None),
        };
        let number = |text: &str| text.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
        // Digits only, without a sign or blanks: the number passed on must be what the client wrote.
        let whole = |name: &str, most: u64| match given(name)? {
            Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => {
                text.parse().ok().filter(|n: &u64| *n <= most)
            }
            Some(_) => None,
            None => Some(0),
        };
        let named = |name: &str| given(name)?.filter(|t| parse_hex_id(t).is_some()).map(str::to_owned);
        let read = || {
            let class = index_of(&self.site.classes, given("method")?);
            let terms = self.site.settings.classes.get(class)?;
            let token = passed("token")?;
            if (terms.idempotency == Idempotency::Deduplicated && token.is_none())
                || body.len() > if terms.write { thrift::MAX_WRITE_BODY } else { 0 }
            {
                return None;
            }
            let budget = (number(given("budget")??)? * 1000.0) as Micros;
            if budget > OVER_DEADLINE.saturating_mul(terms.deadline) {
                return None;
            }
            // A size that could never be sent to any client is invalid. One that takes longer to send than this client
            // waits is accepted, as the deadline may be short or the object large, but the size is capped: it would
            // otherwise count in the class's mean sending time, by which just-started caches are spared, for a thousand
            // requests.
            let flow = self.site.settings.flow_kb_per_s;
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
                idempotency_key: token,
                client_tag: passed("cached")?,
                deadline: arrived + budget,
                body_reservation: BodyReservation::new(&self.taken, body.len()),
                body: body.clone(),
                finished: Cell::new(false),
                used_connections: RefCell::default(),
            })
        };
        let call = read().ok_or(Verdict::Failed)?;
        // Every request must have a new id, as answers to the same id can't be told apart. This also stops a flood of
        // one request: only the first is sent on.
        if parse_hex_id(&call.rid).is_none_or(|rid| self.rids.borrow_mut().seen(arrived, rid)) {
            return Err(Verdict::Failed);
        }
        match self.taken.get() > self.most_taken.get() {
            // Limits the memory taken by writes. Nothing has run, so a refusal does no harm.
            true => Err(self.refuse(call, RefusalReason::Memory)),
            false => Ok(call),
        }
    }
}
