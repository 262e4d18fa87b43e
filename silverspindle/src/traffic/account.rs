//! The history of one request's attempts: where each was sent, whether it was written, how it ended, and what
//! that proves.
//!
//! A refusal promises the client that a retry does no harm. Only code that knows how all attempts ended can
//! give that promise, so a [`Refusal`] can't be constructed without a [`SafeToRetry`], and only this module
//! creates one.

use std::fmt;
use std::rc::Rc;

use bitternhold::{Class, DedupGroup, Idempotency, MemberId, Micros, Settings, Status};

use super::{Attempt, Call};
use crate::guards::{REFUSAL_PROOF, is_disabled};

/// Proof that retrying a request does no harm.
#[derive(Debug)]
pub struct SafeToRetry(());

impl SafeToRetry {
    /// The proof for a request that was never sent. Taking the request by value ensures that it can't be sent
    /// later.
    pub fn unsent(_: Call) -> Self {
        Self(())
    }

    /// Creates a proof without grounds if this guard is disabled, for tests of the checkers.
    pub(crate) fn unproven(guard: &str) -> Option<Self> {
        is_disabled(guard).then_some(Self(()))
    }
}

/// A final answer that tells the client that a retry does no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    backoff: Option<u64>,
}

impl Refusal {
    /// A refusal with the retry delay that the module advises, in milliseconds.
    pub fn with_backoff(_: SafeToRetry, backoff: Option<u64>) -> Self {
        Self { backoff }
    }

    /// A refusal with a retry delay that does not come from the module, in milliseconds: capped by the
    /// settings, and left out if they pass no delay on.
    pub fn new(_: SafeToRetry, settings: &Settings, retry_delay_ms: u64) -> Self {
        let max_delay_ms = settings.max_retry_after / 1000;
        Self { backoff: (max_delay_ms > 0).then_some(retry_delay_ms.min(max_delay_ms)) }
    }

    /// Delay before the client may retry, in milliseconds.
    pub fn backoff(&self) -> Option<u64> {
        self.backoff
    }
}

/// State of an attempt.
#[derive(Debug)]
enum AttemptState {
    /// In flight; [`Attempt::written`] tells whether its first byte was written.
    InFlight(Rc<Attempt>),
    /// Ended, this long after the decision.
    Ended(Status, Micros),
}

/// An attempt in the history.
#[derive(Debug)]
struct Entry {
    member: MemberId,
    decided: Micros,
    state: AttemptState,
}

impl Entry {
    fn may_have_run(&self) -> bool {
        match &self.state {
            AttemptState::InFlight(attempt) => attempt.written.get(),
            AttemptState::Ended(status, _) => !status.never_executed(),
        }
    }
}

/// All attempts of one request, in the order in which they were decided.
#[derive(Debug)]
pub struct AttemptHistory {
    /// Requests of its class may be repeated at any member, at any time.
    freely_repeatable: bool,
    entries: Vec<Entry>,
}

impl AttemptHistory {
    /// The history of a request of this class without any attempts. An unknown class is treated as at most
    /// once.
    pub fn new(class: Option<&Class>) -> Self {
        let is_freely_repeatable = |c: &Class| match c.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated => c.dedup_group == DedupGroup::All,
            Idempotency::AtMostOnce => false,
        };
        Self { freely_repeatable: class.is_some_and(is_freely_repeatable), entries: Vec::new() }
    }

    /// The proof that the request may be refused, if the attempts give one. The caller has to close the
    /// request when it refuses it: attempts in flight that are still unwritten are then never written.
    pub fn safe_to_retry(&self) -> Option<SafeToRetry> {
        let proven = self.freely_repeatable || !self.may_have_run();
        proven.then_some(SafeToRetry(())).or_else(|| SafeToRetry::unproven(REFUSAL_PROOF))
    }

    /// Records an attempt that was handed to the member's peer actor.
    pub fn record_sent(&mut self, now: Micros, member: MemberId, attempt: &Rc<Attempt>) {
        self.entries.push(Entry { member, decided: now, state: AttemptState::InFlight(attempt.clone()) });
    }

    /// Records an attempt that was decided but could not be sent.
    pub fn record_unsent(&mut self, now: Micros, member: MemberId) {
        self.entries.push(Entry { member, decided: now, state: AttemptState::Ended(Status::Moot, 0) });
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, now: Micros, ticket: u64, status: Status) {
        let is_this =
            |e: &&mut Entry| matches!(&e.state, AttemptState::InFlight(attempt) if attempt.ticket == ticket);
        if let Some(entry) = self.entries.iter_mut().find(is_this) {
            entry.state = AttemptState::Ended(status, now.saturating_sub(entry.decided));
        }
    }

    /// Number of attempts that were decided.
    pub fn attempts(&self) -> u32 {
        self.entries.len() as u32
    }

    /// How the most recently decided attempt ended; `None` if it is in flight or there was none.
    pub fn last_end(&self) -> Option<Status> {
        match self.entries.last()?.state {
            AttemptState::Ended(status, _) => Some(status),
            AttemptState::InFlight(_) => None,
        }
    }

    /// Whether any attempt may have run: its first byte was written, and it has not ended with a status that
    /// proves that it never ran.
    pub fn may_have_run(&self) -> bool {
        self.entries.iter().any(Entry::may_have_run)
    }

    /// When the first attempt that is in flight or may have run was decided. The window in which the request
    /// may be repeated counts from there, because an attempt in flight may have been written at any time
    /// since.
    pub fn repeat_window_start(&self) -> Option<Micros> {
        let opens_window = |e: &&Entry| matches!(e.state, AttemptState::InFlight(_)) || e.may_have_run();
        self.entries.iter().find(opens_window).map(|entry| entry.decided)
    }
}

/// Formats the attempts for log lines: member, state and duration in milliseconds of each.
impl fmt::Display for AttemptHistory {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (i, entry) in self.entries.iter().enumerate() {
            let separator = if i > 0 { ", " } else { "" };
            write!(f, "{separator}s-{:08x} ", entry.member.0)?;
            match &entry.state {
                AttemptState::InFlight(attempt) if attempt.written.get() => write!(f, "out, written")?,
                AttemptState::InFlight(_) => write!(f, "out, unwritten")?,
                AttemptState::Ended(status, elapsed) => write!(f, "{} {} ms", status.name(), elapsed / 1000)?,
            }
        }
        Ok(())
    }
}
