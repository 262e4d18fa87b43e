//! Attempts: sent as the module decides, and ended by the peer or by the director.

use std::cell::Cell;
use std::rc::Rc;

use bitternhold::{Event, Idempotency, MemberId, Micros, Outcome, RequestId, Status};

use super::{Director, InFlight, OpenRequest, TimerKind, format_member};
use crate::invariant;
use crate::traffic::{Attempt, AttemptEnd, Call, FetchOptions, Verdict};
use crate::upstream::PeerMessage;

/// An attempt at a cold member must be written within this part (the divisor) of the time for which an
/// overload tips such a member over; otherwise the module decides again. Attempts that waited for a
/// connection and arrived together with later ones would exceed the member's budget.
const COLD_WRITE_DIVISOR: Micros = 10;

/// Longest time after a request's deadline, in microseconds, for which its answer waits at the cache while the client is
/// still reading earlier ones.
const MAX_DELIVERY_DELAY: Micros = 10_000_000;
/// Interval, in microseconds, at which it is checked then whether the client still is.
const DELIVERY_CHECK_INTERVAL: Micros = 100_000;

impl Director {
    /// Handles an answer that has begun to arrive and waits for memory. The module has the outcome now: how long the answer
    /// waits depends on who reads slowly and says nothing about the cache.
    pub(super) fn answer_begun(&mut self, end: AttemptEnd) {
        let Some(in_flight) = self.attempts.get_mut(&end.ticket).filter(|in_flight| !in_flight.begun) else {
            return;
        };
        let Some(open) = self.requests.get_mut(&in_flight.id).filter(|open| !open.closed) else { return };
        (in_flight.begun, open.begun) = (true, true);
        let outcome = in_flight.outcome(self.shared.state.clock().now(), true, &end);
        self.handle_event(Event::Outcome(outcome));
    }

    /// Goes on with a request whose answer had begun to arrive and then broke off, and which has no attempt in flight: the
    /// module, which took it for finished, decides on it anew. Fails it where a retry might do harm or comes too late.
    fn decide_again(&mut self, id: RequestId) {
        let now = self.now();
        let is_stuck = |open: &OpenRequest| !open.closed && open.begun && open.in_flight.is_empty();
        let Some(open) = self.requests.get(&id).filter(|open| is_stuck(open)) else { return };
        if open.history.safe_to_retry().is_none() || now >= open.call.deadline || open.client.is_gone() {
            return self.answer(id, Verdict::Failed);
        }
        let Some(mut open) = self.requests.remove(&id) else { return };
        (open.begun, open.earlier_attempts) = (false, open.history.attempts());
        self.last_number += 1;
        self.ask_module(RequestId(u128::from(self.last_number)), open);
    }

    /// Gives up those of a finished request's attempts whose answer has begun to arrive: the module no longer knows them.
    pub(super) fn abandon_begun(&mut self, tickets: &[u64]) {
        for ticket in tickets {
            if self.attempts.get(ticket).is_some_and(|in_flight| in_flight.begun) {
                self.end_attempt(*ticket, Status::Cancelled);
            }
        }
    }

    /// Handles an attempt whose time is over. An answer that has begun to arrive and waits because its own client is still
    /// reading earlier ones is waited for: that time does not count.
    pub(super) fn attempt_overdue(&mut self, ticket: u64) {
        let now = self.now();
        let Some(in_flight) = self.attempts.get(&ticket) else { return };
        let InFlight { attempt, begun, .. } = in_flight;
        let deadline = attempt.call.deadline;
        let next_check = match now < deadline {
            true => deadline,
            false => now + DELIVERY_CHECK_INTERVAL,
        };
        let in_time = now < deadline || (attempt.client.is_behind() && now < deadline + MAX_DELIVERY_DELAY);
        match *begun && in_time {
            true => self.set_timer(next_check, TimerKind::Attempt(ticket)),
            false => self.end_attempt(ticket, Status::Timeout),
        }
    }

    /// Handles the end of an attempt: answers the request if it was served, and passes the outcome to the
    /// module.
    pub(super) fn attempt_ended(&mut self, end: AttemptEnd) {
        let Some(in_flight) = self.attempts.remove(&end.ticket) else { return };
        self.shared.state.attempt_ended(&in_flight.attempt, end.status == Status::Ok, end.note);
        let now = self.now();
        if let Some(open) = self.requests.get_mut(&in_flight.id) {
            open.history.record_end(now, end.ticket, end.status);
        }
        if end.status == Status::Moot {
            // The attempt's maximum copy age may have been too high for the expired lease: the module is told
            // the age again, so that its next decision uses a new limit.
            self.stale_reported_at = None;
        }
        if end.status == Status::Moot && in_flight.attempt.client.is_gone() {
            // The peer found at writing time that the client is gone, before the front reported it: nothing
            // is left to decide.
            self.client_left(in_flight.id);
        }
        if end.status == Status::Ok {
            self.keep_copy(&in_flight.attempt.call, &end);
            let verdict = match (end.body.clone(), end.streamed_body.clone()) {
                (Some(body), _) => Verdict::Served(body),
                (None, Some(body)) => Verdict::Streamed(body),
                (None, None) => Verdict::NotModified,
            };
            self.answer(in_flight.id, verdict);
        }
        let AttemptEnd { status, note, .. } = end;
        let elapsed = now.saturating_sub(in_flight.sent_at);
        let rid = &in_flight.attempt.call.rid;
        tracing::trace!(
            rid,
            number = in_flight.number,
            member = %format_member(in_flight.member),
            elapsed,
            "end {status:?} {note:?}"
        );
        let closed = self.remove_attempt(in_flight.id, end.ticket);
        if !in_flight.begun {
            let finished = closed || self.requests.get(&in_flight.id).is_none_or(|open| open.begun);
            let outcome = in_flight.outcome(now, finished, &end);
            self.handle_event(Event::Outcome(outcome));
        }
        self.decide_again(in_flight.id);
    }

    /// Removes an attempt that is no longer in flight from its request. Returns whether the request is
    /// finished.
    pub(super) fn remove_attempt(&mut self, id: RequestId, ticket: u64) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return true };
        open.in_flight.retain(|t| *t != ticket);
        let closed = open.closed;
        if closed && open.in_flight.is_empty() {
            self.requests.remove(&id);
        }
        closed
    }

    /// Ends an attempt from the director's side, because it has timed out or the module has cancelled it.
    pub(super) fn end_attempt(&mut self, ticket: u64, status: Status) {
        let Some(in_flight) = self.attempts.get(&ticket) else { return };
        in_flight.attempt.abandoned.set(true);
        self.send_to_peer(
            &in_flight.peer,
            PeerMessage::Abandon(in_flight.attempt.clone(), status == Status::Timeout),
        );
        self.attempt_ended(AttemptEnd::without_details(ticket, status));
    }

    /// Whether a member started so recently that its load is still limited (slow start).
    pub(super) fn is_cold(&self, now: Micros, id: MemberId) -> bool {
        let Some(info) = self.shared.state.member(id).filter(|info| info.started > 0) else { return false };
        let time = match Some(info.kind) {
            kind if kind == self.settings.origin_kind => 0,
            kind if kind == self.settings.parent_kind => self.settings.parent_cold_duration,
            _ => self.settings.cold_duration,
        };
        now < info.started.saturating_add(time)
    }

    /// Sends an attempt, or reports it to the module as never sent if it may not or can't be sent.
    pub(super) fn send_attempt(
        &mut self,
        id: RequestId,
        member: MemberId,
        until: Micros,
        options: FetchOptions,
    ) {
        let now = self.now();
        let max_attempts = self.settings.max_attempts;
        let peer = self.peers.get(&member).cloned();
        let cold = [Some(member), options.source].into_iter().flatten().any(|id| self.is_cold(now, id));
        let Some(open) = self.requests.get_mut(&id) else {
            invariant!(false, "an attempt for a request that is not open");
            return;
        };
        let all_attempts = open.history.attempts();
        let number = all_attempts - open.earlier_attempts;
        let deadline = if until == 0 { open.call.deadline } else { until.min(open.call.deadline) };
        let class = self.settings.classes.get(open.call.class);
        let window = class.filter(|c| c.idempotency == Idempotency::Deduplicated).map(|c| c.dedup_window);
        let repeat_by = window
            .zip(open.history.repeat_window_start())
            .map(|(window, first)| first.saturating_add(window));
        let window = self.settings.overload_window;
        let cold_by = (cold && window > 0).then(|| now + window / COLD_WRITE_DIVISOR);
        let write_by = [repeat_by, cold_by].into_iter().flatten().fold(deadline, Micros::min);
        self.last_number += 1;
        let ticket = self.last_number;
        let attempt = Rc::new(Attempt {
            ticket,
            call: open.call.clone(),
            options,
            client: open.client.clone(),
            deadline,
            write_by,
            connection: Cell::new(0),
            purge_seq: self.shared.state.purge_seq(),
            written: Cell::new(false),
            abandoned: Cell::new(false),
            is_first: all_attempts == 0,
            without_source: Cell::new(false),
            tokens: Cell::new(0),
        });
        // As in the simulator, an attempt that may not or can't be sent any more ends as never sent.
        let may_send = !open.closed && deadline > now && (max_attempts == 0 || all_attempts < max_attempts);
        self.shared.state.attempt_started(&attempt, member);
        let peer = peer.filter(|p| may_send && p.try_send(PeerMessage::Send(attempt.clone())).is_ok());
        let Some(peer) = peer else {
            self.shared.state.attempt_ended(&attempt, false, None);
            open.history.record_unsent(now, member);
            let closed = open.closed;
            self.backlog.push_back(Event::Outcome(Outcome {
                id,
                attempt: number,
                member,
                status: Status::Moot,
                elapsed: 0,
                closed,
                note: None,
                fill_time: None,
                load: None,
            }));
            return;
        };
        let (source, held) =
            (attempt.options.source.map_or_else(String::new, format_member), attempt.options.mode.held_only);
        let Call { rid, class, object, part, size_kb, .. } = &*attempt.call;
        let member_name = format_member(member);
        if all_attempts > 0 {
            self.counters.retried(open.history.last_end().filter(|_| open.in_flight.is_empty()));
        }
        tracing::trace!(
            rid,
            class,
            object,
            part,
            size_kb,
            number,
            member = member_name,
            source,
            held,
            "attempt"
        );
        open.in_flight.push(ticket);
        open.history.record_sent(now, member, &attempt);
        self.attempts
            .insert(ticket, InFlight { id, number, member, peer, sent_at: now, attempt, begun: false });
        self.set_timer(deadline, TimerKind::Attempt(ticket));
    }
}
