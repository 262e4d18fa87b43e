//! Final answers. Each request gets exactly one; a refusal requires the proof that a retry does no harm,
//! which comes from the history of the request's attempts.

use bitternhold::{Event, Micros, RequestId};

use super::{DEFAULT_RETRY_DELAY_MS, Director};
use crate::counters::RefusalReason;
use crate::traffic::{Call, Refusal, Verdict};

impl Director {
    /// Marks a request as finished. Returns false if it already was.
    pub(super) fn close(&mut self, id: RequestId) -> bool {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.closed) else { return false };
        open.closed = true;
        open.call.finished.set(true);
        open.own_copy = None;
        self.by_client.remove(&(open.client.id(), open.seq));
        self.pending_answers.set(self.pending_answers.get() - 1);
        let begun = if open.begun { open.in_flight.clone() } else { Vec::new() };
        if open.in_flight.is_empty() {
            self.requests.remove(&id);
        }
        self.abandon_begun(&begun);
        true
    }

    /// Gives a request its final answer, unless it already has one.
    pub(super) fn answer(&mut self, id: RequestId, verdict: Verdict) {
        let Some(open) = self.requests.get(&id) else { return };
        let (client, seq) = (open.client.clone(), open.seq);
        let Call { rid, class, .. } = &*open.call;
        let spare = open.call.deadline.saturating_sub(self.now());
        // The versions of the agreed rules that are in force, if rules are on.
        let rules =
            tracing::enabled!(tracing::Level::TRACE).then(|| self.shared.state.rules_version()).flatten();
        let attempts = open.history.attempts();
        tracing::trace!(rid, class, attempts, spare, rules, "answer {}", verdict.name());
        if matches!(verdict, Verdict::Refused(_) | Verdict::Failed) && !open.closed {
            let may_have_run = open.history.may_have_run();
            tracing::debug!(rid, class, may_have_run, "{}; attempts: {}", verdict.name(), open.history);
        }
        let elapsed = self.now().saturating_sub(open.received_at);
        let served = matches!(verdict, Verdict::Served(_) | Verdict::Streamed(_) | Verdict::NotModified);
        self.shared.state.answered(served && elapsed <= self.aim(&open.call));
        if self.close(id) {
            self.counters.answered(verdict.name());
            client.answer(seq, verdict);
        }
    }

    /// Ends a request early because its connection has to end: refused if its attempts prove that a retry
    /// does no harm, failed otherwise.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(open) = self.requests.get(&id).filter(|open| !open.closed) else { return };
        let verdict = match open.history.safe_to_retry() {
            Some(proof) => Verdict::Refused(Refusal::new(proof, &self.settings, DEFAULT_RETRY_DELAY_MS)),
            None => Verdict::Failed,
        };
        tracing::debug!(rid = open.call.rid, "given up: {}", verdict.name());
        self.counters.refused(RefusalReason::GivenUp);
        self.answer(id, verdict);
        self.handle_event(Event::ClientGone { id });
    }

    /// Refuses a request as the module decided, if its attempts prove that a retry does no harm; otherwise
    /// the request fails.
    pub(super) fn refuse(&mut self, id: RequestId, wait: Micros) {
        let Some(open) = self.requests.get(&id).filter(|open| !open.closed) else { return };
        let Some(proof) = open.history.safe_to_retry() else {
            tracing::warn!(
                rid = open.call.rid,
                "a refusal without proof is withheld; attempts: {}",
                open.history
            );
            self.counters.refused(RefusalReason::Unproven);
            return self.answer(id, Verdict::Failed);
        };
        self.counters.refused(RefusalReason::Exhausted);
        // Rounded up to whole milliseconds: the client should wait at least this long.
        let backoff = (wait > 0).then(|| wait.div_ceil(1000));
        self.answer(id, Verdict::Refused(Refusal::with_backoff(proof, backoff)));
    }

    /// Time within which an answer to this request earns its full worth: the aim of the class plus the
    /// class's multiple of the request's sending time.
    pub(super) fn aim(&self, call: &Call) -> Micros {
        let Some(class) = self.settings.classes.get(call.class) else { return 0 };
        let sending_time_s = call.size_kb.unwrap_or(0.0) / self.settings.flow_kb_per_s.max(1.0);
        class.aim + (class.aim_stretch * sending_time_s * 1e6) as Micros
    }

    /// Closes a request whose client has closed the connection or no longer waits for the answer.
    pub(super) fn client_left(&mut self, id: RequestId) {
        let client = self.requests.get(&id).map(|open| open.client.clone());
        if self.close(id) {
            client.iter().for_each(|client| client.drop_request());
            self.handle_event(Event::ClientGone { id });
        }
    }
}
