//! The account of one request's attempts: where each went, whether it was written and how it ended.

use std::fmt;
use std::rc::Rc;

use bitternhold::{MemberId, Micros, Status};

use super::Attempt;

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
            State::Ended(status, _) => !status.proves_never_ran(),
        }
    }
}

/// All attempts of one request, in the order in which they were decided.
#[derive(Debug, Default)]
pub struct Account {
    entries: Vec<Entry>,
}

impl Account {
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
