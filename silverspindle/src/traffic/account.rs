//! The account of one request's attempts: where each went, whether it was written and how it ended, and what that proves.
//!
//! A refusal promises the client that trying again does no harm. That promise can be given by nobody who does not know what the
//! attempts have come to, so [`Refusal`] can't be made without [`SafeToRetry`], and that comes from here alone.

use std::fmt;
use std::rc::Rc;

use bitternhold::{Class, DedupGroup, Idempotency, MemberId, Micros, Settings, Status};

use super::{Attempt, Call};
use crate::guards::{REFUSAL_PROOF, without};

/// Proof that trying a request again does no harm.
#[derive(Debug)]
pub struct SafeToRetry(());

impl SafeToRetry {
    /// A request that nobody has handed on, nor can from now on.
    pub fn unsent(_: Call) -> Self {
        Self(())
    }

    /// None at all, where this guard is left out.
    pub(crate) fn unproven(guard: &str) -> Option<Self> {
        without(guard).then_some(Self(()))
    }
}

/// A final answer by which the client is told that trying again does no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    backoff: Option<u64>,
}

impl Refusal {
    /// With advice as the module gives it, in milliseconds.
    pub fn advised(_: SafeToRetry, backoff: Option<u64>) -> Self {
        Self { backoff }
    }

    /// With advice from outside the module, in milliseconds, as far as the settings have any.
    pub fn new(_: SafeToRetry, settings: &Settings, advice: u64) -> Self {
        let most = settings.max_retry_after / 1000;
        Self { backoff: (most > 0).then_some(advice.min(most)) }
    }

    /// For so many milliseconds the client is to stay away.
    pub fn backoff(&self) -> Option<u64> {
        self.backoff
    }
}

/// How an attempt stands.
#[derive(Debug)]
enum State {
    /// On its way; it says itself whether its first byte was written.
    Out(Rc<Attempt>),
    /// Ended, after so long.
    Ended(Status, Micros),
}

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
    /// Its class may be repeated anywhere, at any time.
    repeats_freely: bool,
    entries: Vec<Entry>,
}

impl Account {
    /// The account of a request that was not sent on yet, by its class; one not known is taken for the most delicate.
    pub fn new(class: Option<&Class>) -> Self {
        let freely = |c: &Class| match c.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated => c.dedup_group == DedupGroup::All,
            Idempotency::AtMostOnce => false,
        };
        Self { repeats_freely: class.is_some_and(freely), entries: Vec::new() }
    }

    /// The proof that the request may be refused, where there is one. Who refuses it closes it: what is out and unwritten is
    /// then never written.
    pub fn safe_to_retry(&self) -> Option<SafeToRetry> {
        let proven = self.repeats_freely || !self.may_have_run();
        proven.then_some(SafeToRetry(())).or_else(|| SafeToRetry::unproven(REFUSAL_PROOF))
    }

    /// An attempt at this member was decided and is on its way.
    pub fn sent(&mut self, now: Micros, member: MemberId, attempt: &Rc<Attempt>) {
        self.entries.push(Entry { member, decided: now, state: State::Out(attempt.clone()) });
    }

    /// An attempt at this member was decided and could not be sent.
    pub fn unsent(&mut self, now: Micros, member: MemberId) {
        self.entries.push(Entry { member, decided: now, state: State::Ended(Status::Moot, 0) });
    }

    /// An attempt ended.
    pub fn ended(&mut self, now: Micros, ticket: u64, status: Status) {
        let own = |e: &&mut Entry| matches!(&e.state, State::Out(attempt) if attempt.ticket == ticket);
        if let Some(entry) = self.entries.iter_mut().find(own) {
            entry.state = State::Ended(status, now.saturating_sub(entry.decided));
        }
    }

    /// How many attempts were decided.
    pub fn attempts(&self) -> u32 {
        self.entries.len() as u32
    }

    /// How the attempt that was decided last ended; none: it is out, or there was none.
    pub fn last_end(&self) -> Option<Status> {
        match self.entries.last()?.state {
            State::Ended(status, _) => Some(status),
            State::Out(_) => None,
        }
    }

    /// Whether any attempt may have run: its first byte was written, and its end does not prove the contrary.
    pub fn may_have_run(&self) -> bool {
        self.entries.iter().any(Entry::may_have_run)
    }

    /// When the first attempt was decided that is out or may have run. The window in which the request may be repeated
    /// counts from there: what is out may be written at any moment since.
    pub fn repeat_from(&self) -> Option<Micros> {
        let counts = |e: &&Entry| matches!(e.state, State::Out(_)) || e.may_have_run();
        self.entries.iter().find(counts).map(|entry| entry.decided)
    }
}

/// For log lines: member, state and milliseconds of each attempt.
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
