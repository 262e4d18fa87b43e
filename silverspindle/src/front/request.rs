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
const MAX_TEXT: usize = 128;
/// Maximum part number of an object.
const MAX_PART: u64 = u16::MAX as u64;
/// Maximum budget of a request, as a multiple of its class's deadline. A higher value is invalid.
const MAX_BUDGET_FACTOR: u64 = 2;
/// Maximum size of an object, as a multiple of the size that can be sent within the longest budget of the request's
/// class. A larger size is invalid.
const MAX_SIZE_FACTOR: f64 = 1000.0;

impl Front {
    /// Builds a request from its fields, or returns the answer to one that is invalid or refused: nothing may be sent
    /// for it.
    pub(super) fn parse_call(
        &self,
        fields: &thrift::Fields,
        body: Bytes,
        arrived: Micros,
    ) -> Result<Call, Verdict> {
        // Outer none: not valid UTF-8. Inner none: the field is absent.
        let field = |name: &str| match fields.get(name.as_bytes()) {
            Some(value) => std::str::from_utf8(value).ok().map(Some),
            None => Some(None),
        };
        // Caches parse lists of name=value, so a value must not hold a separator.
        let plain_text = |t: &str| {
            let allowed = |b: u8| b.is_ascii_graphic() && b != b',' && b != b'=';
            ((1..=MAX_TEXT).contains(&t.len()) && t.bytes().all(allowed)).then(|| t.to_owned())
        };
        let optional_text = |name: &str| match field(name)? {
            Some(text) => plain_text(text).map(Some),
            None => Some(None),
        };
        let number = |text: &str| text.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
        // Digits only, without a sign or blanks: the number passed on must be what the client wrote.
        let integer = |name: &str, highest: u64| match field(name)? {
            Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => {
                text.parse().ok().filter(|n: &u64| *n <= highest)
            }
            Some(_) => None,
            None => Some(0),
        };
        let hex_id = |name: &str| field(name)?.filter(|t| parse_hex_id(t).is_some()).map(str::to_owned);
        let parse = || {
            let class = index_of(&self.site.classes, field("method")?);
            let class_settings = self.site.settings.classes.get(class)?;
            let token = optional_text("token")?;
            if (class_settings.idempotency == Idempotency::Deduplicated && token.is_none())
                || body.len() > if class_settings.write { thrift::MAX_WRITE_BODY } else { 0 }
            {
                return None;
            }
            let budget = (number(field("budget")??)? * 1000.0) as Micros;
            if budget > MAX_BUDGET_FACTOR.saturating_mul(class_settings.deadline) {
                return None;
            }
            // A size that could never be sent to any client is invalid. One that takes longer to send than this client
            // waits is accepted, as the deadline may be short or the object large, but the size is capped: it would
            // otherwise count in the class's mean sending time, by which just-started caches are spared, for a thousand
            // requests.
            let flow = self.site.settings.flow_kb_per_s;
            let max_sendable_kb = MAX_BUDGET_FACTOR as f64 * class_settings.deadline as f64 / 1e6 * flow;
            let size_kb = match field("mem")? {
                Some(text) if number(text)? > MAX_SIZE_FACTOR * max_sendable_kb && flow > 0.0 => return None,
                Some(text) if flow > 0.0 => Some(number(text)?.min(max_sendable_kb)).filter(|kb| *kb > 0.0),
                Some(text) => Some(number(text)?).filter(|kb| *kb > 0.0),
                None => None,
            };
            Some(Call {
                rid: hex_id("rid")?,
                class,
                object: hex_id("obj")?,
                part: integer("block", MAX_PART)?,
                group: integer("family", 255)?,
                size_kb,
                idempotency_key: token,
                client_tag: optional_text("cached")?,
                deadline: arrived + budget,
                body_reservation: BodyReservation::new(&self.write_bytes, body.len()),
                body: body.clone(),
                finished: Cell::new(false),
                used_connections: RefCell::default(),
            })
        };
        let call = parse().ok_or(Verdict::Failed)?;
        // Every request must have a new id, as answers to the same id can't be told apart. This also stops a flood of
        // one request: only the first is sent on.
        if parse_hex_id(&call.rid).is_none_or(|rid| self.recent_ids.borrow_mut().seen(arrived, rid)) {
            return Err(Verdict::Failed);
        }
        match self.write_bytes.get() > self.max_write_bytes.get() {
            // Limits the memory taken by writes. Nothing has run, so a refusal does no harm.
            true => Err(self.refuse(call, RefusalReason::Memory)),
            false => Ok(call),
        }
    }
}
