//! Rate limit for log lines whose cause may recur often.

use bitternhold::Micros;

use crate::clock;

/// Minimum interval between two lines of the same kind, in microseconds.
const MIN_INTERVAL: Micros = 5_000_000;

/// Limiter of one kind of log line.
#[derive(Debug, Default)]
pub(crate) struct LimitedLine {
    /// When the line was last logged.
    last_logged: Option<Micros>,
}

impl LimitedLine {
    /// Whether the line is to be logged now, and if so notes that it was. False within [`MIN_INTERVAL`] of the last time.
    pub fn is_due(&mut self) -> bool {
        let now = clock::now();
        let due = self.last_logged.is_none_or(|at| now >= at.saturating_add(MIN_INTERVAL));
        if due {
            self.last_logged = Some(now);
        }
        due
    }
}
