//! Log lines that are said once in a while, however often their cause comes.

use bitternhold::Micros;

use crate::clock;

/// The same line is said again after so long.
const SAY_AGAIN: Micros = 5_000_000;

/// One kind of line.
#[derive(Debug, Default)]
pub(crate) struct LimitedLine {
    said: Option<Micros>,
}

impl LimitedLine {
    /// Whether it is said now: not where it was said shortly before.
    pub fn is_due(&mut self) -> bool {
        let now = clock::now();
        let due = self.said.is_none_or(|at| now >= at.saturating_add(SAY_AGAIN));
        if due {
            self.said = Some(now);
        }
        due
    }
}
