//! Counts by reason of what became of clients' connections and requests. They are logged at the end of a drain and at the
//! exit, so that a report from service says why connections were closed and requests refused, retried or given up.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;

use bitternhold::Status;

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client closed or reset it.
    ClientLeft,
    /// It said nothing at all, or nothing more for longer than clients rest.
    Idle,
    /// A message did not come whole in time.
    HalfMessage,
    /// A drain or the end of the process let it go.
    Drained,
    /// Others waited for its place.
    Room,
    /// What came on it could not be read.
    Malformed,
    /// Its answers took too much of the memory.
    Memory,
    /// It took no byte of an answer for too long.
    Stalled,
}

impl CloseReason {
    /// As it stands in log lines.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientLeft => "client_left",
            CloseReason::Idle => "idle",
            CloseReason::HalfMessage => "half_message",
            CloseReason::Drained => "drained",
            CloseReason::Room => "room",
            CloseReason::Malformed => "malformed",
            CloseReason::Memory => "memory",
            CloseReason::Stalled => "stalled",
        }
    }
}

/// Why a request was refused or given up outside the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// Too many were open on its connection.
    TooManyOpen,
    /// What writes carry took too much of the memory.
    Memory,
    /// Its client had too many answers to take yet.
    Backlog,
    /// The router was drained, and its connection had to come to an end.
    Draining,
    /// The process could not have answered it before it is killed.
    Ending,
    /// The router was out by an agreed order, or might send nothing on.
    Withdrawn,
    /// It was open when its connection had to end under a drain or before a kill.
    GivenUp,
    /// Its class or group is refused by what the routers agree on.
    Agreed,
    /// The module found nothing more to try for it.
    Exhausted,
    /// The module would have it refused, and its attempts do not prove that this does no harm: it failed.
    Unproven,
}

impl RefusalReason {
    /// As it stands in log lines.
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

/// Why the router's own copy, which was offered when a request came, could not answer it later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopyLoss {
    /// It was purged.
    Purged,
    /// It had grown too old.
    Aged,
    /// The feed of purges was too old to vouch for it.
    Unconfirmed,
}

impl CopyLoss {
    /// As it stands in log lines.
    pub fn name(self) -> &'static str {
        match self {
            CopyLoss::Purged => "purged",
            CopyLoss::Aged => "aged",
            CopyLoss::Unconfirmed => "unconfirmed",
        }
    }
}

/// The counts since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    closes: RefCell<BTreeMap<CloseReason, u64>>,
    refusals: RefCell<BTreeMap<RefusalReason, u64>>,
    /// Attempts after a request's first, by the end of the one before it.
    retries: RefCell<BTreeMap<&'static str, u64>>,
    /// Final answers by word.
    answers: RefCell<BTreeMap<&'static str, u64>>,
    copies_lost: RefCell<BTreeMap<CopyLoss, u64>>,
}

fn count<K: Ord>(counts: &RefCell<BTreeMap<K, u64>>, key: K) {
    *counts.borrow_mut().entry(key).or_insert(0) += 1;
}

impl Counters {
    /// A client's connection ended.
    pub fn closed(&self, reason: CloseReason) {
        count(&self.closes, reason);
    }

    /// A request was refused, or given up.
    pub fn refused(&self, reason: RefusalReason) {
        count(&self.refusals, reason);
    }

    /// A further attempt went out for a request; `after` is how the one before it ended, none while that is still out.
    pub fn retried(&self, after: Option<Status>) {
        count(&self.retries, after.map_or("second_copy", Status::name));
    }

    /// An own copy could not answer the request that it was offered for.
    pub fn copy_lost(&self, loss: CopyLoss) {
        count(&self.copies_lost, loss);
    }

    /// A request got this final answer.
    pub fn answered(&self, word: &'static str) {
        count(&self.answers, word);
    }

    /// Connections that ended for this reason.
    pub fn closes(&self, reason: CloseReason) -> u64 {
        self.closes.borrow().get(&reason).copied().unwrap_or(0)
    }

    /// Requests that were refused or given up for this reason.
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        self.refusals.borrow().get(&reason).copied().unwrap_or(0)
    }
}

fn write_counts<'a>(
    f: &mut fmt::Formatter,
    what: &str,
    counts: impl Iterator<Item = (&'a str, u64)>,
) -> fmt::Result {
    write!(f, "{what}:")?;
    let mut none = true;
    for (name, count) in counts {
        none = false;
        write!(f, " {name}={count}")?;
    }
    if none { write!(f, " none") } else { Ok(()) }
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
