//! Counters, by reason, of how client connections and requests ended. They are logged at the end of a drain
//! and at the exit, so that an incident report shows why connections were closed and why requests were
//! refused, retried or given up.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;

use bitternhold::Status;

/// Reason why a client connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client closed or reset the connection.
    ClientLeft,
    /// The client sent nothing at all, or nothing more for longer than clients usually pause.
    Idle,
    /// A message was not completely received in time.
    HalfMessage,
    /// Closed by a drain or by the shutdown of the process.
    Drained,
    /// Closed to make room for clients that wait to be accepted.
    MakeRoom,
    /// The bytes received could not be decoded.
    Malformed,
    /// An answer that was passed on in pieces broke off at its cache.
    BrokenAnswer,
    /// The client accepted no byte of an answer for too long.
    Stalled,
}

impl CloseReason {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientLeft => "client_left",
            CloseReason::Idle => "idle",
            CloseReason::HalfMessage => "half_message",
            CloseReason::Drained => "drained",
            CloseReason::MakeRoom => "room",
            CloseReason::Malformed => "malformed",
            CloseReason::BrokenAnswer => "broken_answer",
            CloseReason::Stalled => "stalled",
        }
    }
}

/// Reason why the router refused or gave up a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// Too many requests were open on the connection.
    TooManyOpen,
    /// The bodies of open writes exceeded the memory limit.
    Memory,
    /// Too many answers were still waiting for the client to read them.
    Backlog,
    /// The router was draining and the connection had to be closed.
    Draining,
    /// The process is shutting down and could not have answered the request before SIGKILL.
    Ending,
    /// The router was taken out by an agreed order, or was not allowed to forward requests.
    Withdrawn,
    /// The request was still open when its connection had to be closed, under a drain or before SIGKILL.
    GivenUp,
    /// The rules agreed by the routers refuse its class or group.
    Agreed,
    /// The decision module found no further attempt to make.
    Exhausted,
    /// The decision module refused the request, but its attempts don't prove that a refusal is safe, so it
    /// was answered as failed.
    Unproven,
}

impl RefusalReason {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::TooManyOpen => "too_many_open",
            RefusalReason::Memory => "memory",
            RefusalReason::Backlog => "backlog",
            RefusalReason::Draining => "draining",
            RefusalReason::Ending => "ending",
            RefusalReason::Withdrawn => "withdrawn",
            RefusalReason::GivenUp => "given_up",
            RefusalReason::Agreed => "agreed",
            RefusalReason::Exhausted => "exhausted",
            RefusalReason::Unproven => "unproven",
        }
    }
}

/// Reason why the router's own copy, offered to the decision module when the request arrived, could not
/// answer it later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopyLoss {
    /// The copy was purged.
    Purged,
    /// The copy had exceeded its maximum age.
    Aged,
    /// The last confirmation of the purge feed was too old to rule out a purge of the copy.
    Unconfirmed,
    /// The router's link could no longer carry the copy in time.
    LinkBusy,
    /// Unwritten answers left no memory for the copy.
    Memory,
}

impl CopyLoss {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            CopyLoss::Purged => "purged",
            CopyLoss::Aged => "aged",
            CopyLoss::Unconfirmed => "unconfirmed",
            CopyLoss::LinkBusy => "link_busy",
            CopyLoss::Memory => "memory",
        }
    }
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    closes: RefCell<BTreeMap<CloseReason, u64>>,
    refusals: RefCell<BTreeMap<RefusalReason, u64>>,
    /// Attempts after a request's first one, by the status with which the previous attempt ended.
    retries: RefCell<BTreeMap<&'static str, u64>>,
    /// Final answers by the name of their verdict.
    answers: RefCell<BTreeMap<&'static str, u64>>,
    copies_lost: RefCell<BTreeMap<CopyLoss, u64>>,
}

fn increment<K: Ord>(counts: &RefCell<BTreeMap<K, u64>>, key: K) {
    *counts.borrow_mut().entry(key).or_insert(0) += 1;
}

impl Counters {
    /// Counts a client connection that ended.
    pub fn closed(&self, reason: CloseReason) {
        increment(&self.closes, reason);
    }

    /// Counts a request that was refused or given up.
    pub fn refused(&self, reason: RefusalReason) {
        increment(&self.refusals, reason);
    }

    /// Counts a further attempt for a request. `after` is the status of the previous attempt, or none while
    /// that one is still in flight.
    pub fn retried(&self, after: Option<Status>) {
        increment(&self.retries, after.map_or("second_copy", Status::name));
    }

    /// Counts an own copy that could not answer the request that it was offered for.
    pub fn copy_lost(&self, loss: CopyLoss) {
        increment(&self.copies_lost, loss);
    }

    /// Counts a final answer by the name of its verdict.
    pub fn answered(&self, word: &'static str) {
        increment(&self.answers, word);
    }

    /// Number of client connections that ended for this reason.
    pub fn closes(&self, reason: CloseReason) -> u64 {
        self.closes.borrow().get(&reason).copied().unwrap_or(0)
    }

    /// Number of requests that were refused or given up for this reason.
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        self.refusals.borrow().get(&reason).copied().unwrap_or(0)
    }
}

/// Writes a heading and `name=count` pairs, or `none` where there are none.
fn write_counts<'a>(
    f: &mut fmt::Formatter,
    heading: &str,
    counts: impl Iterator<Item = (&'a str, u64)>,
) -> fmt::Result {
    write!(f, "{heading}:")?;
    let mut no_counts = true;
    for (name, count) in counts {
        no_counts = false;
        write!(f, " {name}={count}")?;
    }
    if no_counts { write!(f, " none") } else { Ok(()) }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (closes, refusals) = (self.closes.borrow(), self.refusals.borrow());
        let (retries, answers) = (self.retries.borrow(), self.answers.borrow());
        write_counts(f, "answers", answers.iter().map(|(word, n)| (*word, *n)))?;
        write_counts(f, "; closes", closes.iter().map(|(reason, n)| (reason.name(), *n)))?;
        write_counts(f, "; refusals", refusals.iter().map(|(reason, n)| (reason.name(), *n)))?;
        write_counts(f, "; retries", retries.iter().map(|(after, n)| (*after, *n)))?;
        let lost = self.copies_lost.borrow();
        write_counts(f, "; own copies lost", lost.iter().map(|(loss, n)| (loss.name(), *n)))
    }
}
