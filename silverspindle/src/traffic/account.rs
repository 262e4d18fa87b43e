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
    pub fn advised(_: SafeToRetry, backoff: Option<u64>) -> Self {
        Self { backoff }
    }

    /// A refusal with a retry delay that does not come from the module, in milliseconds: capped by the
    /// settings, and left out if they pass no delay on.
    pub fn new(_: SafeToRetry, settings: &Settings, advice: u64) -> Self {
        let most = settings.max_retry_after / 1000;
        Self { backoff: (most > 0).then_some(advice.min(most)) }
    }

    /// Delay before the client may retry, in milliseconds.
    pub fn backoff(&self) -> Option<u64> {
        self.backoff
    }
}

/// State of an attempt.
#[derive(Debug)]
enum State {
    /// In flight; [`Attempt::written`] tells whether its first byte was written.
    Out(Rc<Attempt>),
    /// Ended, this long after the decision.
    Ended(Status, Micros),
}

/// An attempt in the history.
#[derive(Debug)]
struct Entry {
    member: MemberId,
    decided: Micros,
    state: State,
}

impl Entry {
    fn may_have_run(&self) -> bool {
        match &self.state {
            State::Out(attempt) => attempt.written.get(),
            State::Ended(status, _) => !status.never_executed(),
        }
    }
}

/// All attempts of one request, in the order in which they were decided.
#[derive(Debug)]
pub struct Account {
    /// Requests of its class may be repeated at any member, at any time.
    repeats_freely: bool,
    entries: Vec<Entry>,
}

impl Account {
    /// The history of a request of this class without any attempts. An unknown class is treated as at most
    /// once.
    pub fn new(class: Option<&Class>) -> Self {
        let freely = |c: &Class| match c.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated => c.dedup_group == DedupGroup::All,
            Idempotency::AtMostOnce => false,
        };
        Self { repeats_freely: class.is_some_and(freely), entries: Vec::new() }
    }

    /// The proof that the request may be refused, if the attempts give one. The caller has to close the
    /// request when it refuses it: attempts in flight that are still unwritten are then never written.
    pub fn safe_to_retry(&self) -> Option<SafeToRetry> {
        let proven = self.repeats_freely || !self.may_have_run();
        proven.then_some(SafeToRetry(())).or_else(|| SafeToRetry::unproven(REFUSAL_PROOF))
    }

    /// Records an attempt that was handed to the member's peer actor.
    pub fn sent(&mut self, now: Micros, member: MemberId, attempt: &Rc<Attempt>) {
        self.entries.push(Entry { member, decided: now, state: State::Out(attempt.clone()) });
    }

    /// Records an attempt that was decided but could not be sent.
    pub fn unsent(&mut self, now: Micros, member: MemberId) {
        self.entries.push(Entry { member, decided: now, state: State::Ended(Status::Moot, 0) });
    }

    /// Records the end of an attempt.
    pub fn ended(&mut self, now: Micros, ticket: u64, status: Status) {
        let own = |e: &&mut Entry| matches!(&e.state, State::Out(attempt) if attempt.ticket == ticket);
        if let Some(entry) = self.entries.iter_mut().find(own) {
            entry.state = State::Ended(status, now.saturating_sub(entry.decided));
        }
    }

    /// Number of attempts that were decided.
    pub fn attempts(&self) -> u32 {
        self.entries.len() as u32
    }

    /// How the most recently decided attempt ended; `None` if it is in flight or there was none.
    pub fn last_end(&self) -> Option<Status> {
        match self.entries.last()?.state {
            State::Ended(status, _) => Some(status),
            State::Out(_) => None,
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
    pub fn repeat_from(&self) -> Option<Micros> {
        let counts = |e: &&Entry| matches!(e.state, State::Out(_)) || e.may_have_run();
        self.entries.iter().find(counts).map(|entry| entry.decided)
    }
}

/// Formats the attempts for log lines: member, state and duration in milliseconds of each.
impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (i, entry) in self.entries.iter().enumerate() {
            let space = if i > 0 { ", " } else { "" };
            write!(f, "{space}s-{:08x} ", entry.member.0)?;
            match &entry.state {
                State::Out(attempt) if attempt.written.get() => write!(f, "out, written")?,
                State::Out(_) => write!(f, "out, unwritten")?,
                State::Ended(status, after) => write!(f, "{} {} ms", status.name(), after / 1000)?,
            }
        }
        Ok(())
    }
}
