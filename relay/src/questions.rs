//! A child's questions to its parent: when each was asked, by the own clock, and which answers fit.

use std::collections::VecDeque;

use silverspindle_agreement::Confirmation;

use crate::Micros;
use crate::frame::{Confirm, Fault};

/// Questions whose time is remembered; an answer to an older one is of no use.
const MOST_ASKED: usize = 64;

/// The questions, over all connections; answers belong to the connection that is up.
#[derive(Clone, Debug, Default)]
pub struct Questions {
    last: u64,
    /// Asked on this connection and not answered: which, and when.
    asked: VecDeque<(u64, Micros)>,
    answered: u64,
    /// The number of the latest answer.
    confirmed: u64,
}

impl Questions {
    /// Another connection is up: answers to what was asked before do not come any more.
    pub fn connected(&mut self) {
        self.asked.clear();
        (self.answered, self.confirmed) = (self.last, 0);
    }

    /// The next question, asked now.
    pub fn ask(&mut self, now: Micros) -> u64 {
        self.last += 1;
        if self.asked.len() == MOST_ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back((self.last, now));
        self.last
    }

    /// An answer: what it makes sure of. None: it says nothing of a time that this clock knows.
    pub fn answer(&mut self, confirm: &Confirm) -> Result<Option<Confirmation>, Fault> {
        if confirm.question > self.last {
            return Err(Fault::Unexpected);
        }
        if confirm.question <= self.answered || confirm.number < self.confirmed {
            return Err(Fault::Regressed);
        }
        (self.answered, self.confirmed) = (confirm.question, confirm.number);
        let asked = self.asked.iter().find(|(question, _)| *question == confirm.question).map(|(_, at)| *at);
        self.asked.retain(|(question, _)| *question > confirm.question);
        let since = asked.and_then(|asked| asked.checked_sub(confirm.age));
        Ok(since.map(|asked| Confirmation { number: confirm.number, asked }))
    }
}
