//! How requests use the router's own copies: a copy is kept from an answer, offered to the module when a
//! request comes, served when the module says so, and released when it is purged.

use std::rc::Rc;

use bitternhold::{Micros, RequestId};

use super::Director;
use crate::clock::Stamp;
use crate::copies::Copy;
use crate::counters::CopyLoss;
use crate::feed::PurgeTarget;
use crate::guards::OWN_COPY_LOSS;
use crate::traffic::{AttemptEnd, Call, Refusal, SafeToRetry, Verdict};

impl Director {
    /// Keeps the copy that an answer carried, or records that a cache has confirmed the version that the
    /// router holds.
    pub(super) fn keep_copy(&mut self, call: &Call, end: &AttemptEnd) {
        let write = self.settings.classes.get(call.class).is_none_or(|c| c.write);
        let Some((key, (tag, stamp))) = call.copy_key().zip(end.version.as_ref()).filter(|_| !write) else {
            return;
        };
        self.skew.record(self.now(), *stamp);
        match &end.body {
            // It is never held as a whole.
            None if end.streamed_body.is_some() => {}
            Some(body) => self.copies.store(self.now(), key, call.group, tag, *stamp, body),
            None => self.copies.mark_confirmed(self.now(), key, tag),
        }
    }

    /// The router's own copy of the requested part, unless the feed's lease has run out and the copy is too
    /// old.
    pub(super) fn offered_copy(&self, now: Micros, call: &Call) -> Option<Rc<Copy>> {
        let copy = self.copies.get(&call.copy_key()?)?;
        self.is_covered_by_lease(now, copy.stamp).then(|| copy.clone())
    }

    /// Answers a request from the copy that was offered for it. Returns false if the copy may not be served
    /// any more. The copy's age is counted up to the request's arrival, so it does not age out while the
    /// request is open; a purge, an expired feed lease or what other copies have booked on the link since still rules
    /// it out.
    pub(super) fn serve_own_copy(&mut self, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id).filter(|open| !open.closed) else { return true };
        let (call, now) = (open.call.clone(), self.now());
        let class = self.settings.classes.get(call.class).filter(|c| !c.write);
        let unproven = SafeToRetry::unproven(OWN_COPY_LOSS);
        let age_until = if unproven.is_some() { now } else { open.received_at };
        let age = |copy: &Copy| self.skew.copy_age(age_until, copy.stamp);
        let is_usable =
            |copy: &Copy| class.is_some_and(|c| c.fresh_for == 0 || age(copy) < c.fresh_for + c.stale_for);
        let loss = match &open.own_copy {
            None => CopyLoss::Purged,
            Some(copy) if !is_usable(copy) => CopyLoss::Aged,
            Some(copy) if !self.is_covered_by_lease(now, copy.stamp) => CopyLoss::Unconfirmed,
            Some(copy) if !self.can_deliver(now, &call, copy) => CopyLoss::LinkBusy,
            Some(copy) if !call.holds(&copy.tag) && !open.client.has_room(copy.length()) => CopyLoss::Memory,
            Some(copy) => {
                let (copy, holds) = (copy.clone(), call.holds(&copy.tag));
                self.copies.book_transfer(now, copy.bytes(holds));
                call.copy_key().iter().for_each(|key| self.copies.mark_used(key));
                let verdict = if holds { Verdict::NotModified } else { Verdict::Served(copy.body()) };
                self.answer(id, verdict);
                return true;
            }
        };
        let waited_ms = now.saturating_sub(open.received_at) / 1000;
        let may_have_run = open.history.may_have_run();
        tracing::debug!(rid = call.rid, waited_ms, may_have_run, "own copy lost: {}", loss.name());
        self.counters.copy_lost(loss);
        let Some(unproven) = unproven else { return false };
        self.answer(id, Verdict::Refused(Refusal::with_backoff(unproven, None)));
        true
    }

    /// Whether the router's link can carry a copy while the client still waits.
    fn can_deliver(&self, now: Micros, call: &Call, copy: &Copy) -> bool {
        let transfer_time = self.copies.transfer_time(now, copy.bytes(call.holds(&copy.tag)));
        now.saturating_add(transfer_time) <= call.deadline
    }

    /// Makes open requests release the own copies that a purge applies to.
    pub(super) fn release_purged_copies(&mut self, what: PurgeTarget, at: Stamp) {
        for open in self.requests.values_mut() {
            let (call, own_copy) = (&open.call, &mut open.own_copy);
            *own_copy = own_copy
                .take()
                .filter(|copy| !call.object_key().is_some_and(|key| copy.is_covered_by(key, what, at)));
        }
    }
}
