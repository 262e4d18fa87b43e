//! Logs the progress of a drain or a shutdown: the number of connections still held and the reasons, at its start, every
//! second and at its end.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;

use bitternhold::Micros;

use super::Front;
use super::connection::Connection;
use crate::clock;

/// Interval between progress lines while connections are held, in microseconds.
const LOG_INTERVAL: Micros = 1_000_000;
/// Maximum number of connections that are described one by one, oldest first.
const MAX_DESCRIBED: usize = 3;

/// What has been logged about the current drain.
#[derive(Debug, Default)]
pub(super) struct DrainLog {
    /// When the drain began, and when its progress was last logged.
    began: Option<(Micros, Micros)>,
    /// The line that all connections are closed was logged.
    logged_empty: bool,
}

impl DrainLog {
    /// Checks the state of the drain and logs what has changed.
    pub fn update(&mut self, front: &Front) {
        let (now, since) = (clock::now(), front.drain.borrow().since());
        match (since, self.began) {
            (None, None) => {}
            (None, Some((began, _))) => {
                if !self.logged_empty {
                    let held = front.connections.borrow().len();
                    tracing::info!(
                        "drain ended after {} ms with {held} connections held",
                        (now - began) / 1000
                    );
                }
                *self = Self::default();
            }
            (Some(_), None) => {
                let (held, open) = front.connection_counts();
                tracing::info!("draining: {held} connections held, {open} requests open");
                self.began = Some((now, now));
            }
            (Some(_), Some((began, last_logged))) => self.log_progress(front, now, began, last_logged),
        }
    }

    /// Logs the state of a drain in progress when it is due, and its completion once.
    fn log_progress(&mut self, front: &Front, now: Micros, began: Micros, last_logged: Micros) {
        let after = now.saturating_sub(began) / 1000;
        if front.connections.borrow().is_empty() {
            if !self.logged_empty {
                tracing::info!("drained: no connection left after {after} ms; {}", front.counters);
            }
            self.logged_empty = true;
        } else if now >= last_logged.saturating_add(LOG_INTERVAL) {
            self.logged_empty = false;
            self.began = Some((began, now));
            tracing::info!("draining for {after} ms: {}", reasons(front, now));
            for connection in longest_held(front) {
                describe(&connection, now);
            }
        }
    }
}

/// The number of connections held for each reason, as text.
fn reasons(front: &Front, now: Micros) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for connection in front.connections.borrow().values() {
        *counts.entry(connection.hold_reason(now).unwrap_or("closing")).or_insert(0) += 1;
    }
    let mut text = String::from("connections held:");
    for (reason, count) in counts {
        let _ = write!(text, " {reason}={count}");
    }
    text
}

/// The oldest connections still held.
fn longest_held(front: &Front) -> Vec<Rc<Connection>> {
    front.connections.borrow().values().take(MAX_DESCRIBED).cloned().collect()
}

/// Logs why one connection is still held.
fn describe(connection: &Connection, now: Micros) {
    let (unwritten, since_last_request) = connection.unwritten_and_last_request(now);
    let last_request_ms = since_last_request.map(|ago| ago / 1000);
    let (open, reason) = (connection.state().open, connection.hold_reason(now).unwrap_or("closing"));
    tracing::info!(client = connection.id, open, unwritten, last_request_ms, reason, "connection held");
}
