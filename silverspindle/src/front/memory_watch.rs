//! Keeps unwritten answers within their part of the memory limit: clients that read too slowly are cut off.

use std::rc::Rc;
use std::time::Duration;

use bitternhold::Micros;

use super::Front;
use super::connection::Connection;
use crate::counters::CloseReason;
use crate::{clock, loop_monitor};

/// Interval at which clients that read too slowly are looked for while unwritten answers are over their limit.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Front {
    /// Whether unwritten answers leave room for this many bytes more.
    pub(super) fn has_room(&self, bytes: usize) -> bool {
        self.unwritten_bytes.get().saturating_add(bytes) <= self.max_unwritten_bytes.get()
    }

    /// Wakes [`Self::run_memory_watch`] if unwritten answers are over their limit.
    pub(super) fn check_memory(&self) {
        if !self.has_room(0) {
            let _ = self.memory_short.0.try_send(());
        }
    }

    /// Runs for ever: while unwritten answers are over their limit, cuts off clients that read far less than the slowest rate
    /// that the operators name. Others are waited for: answers of caches are bounded by their own budget and stay at the
    /// caches, and own copies are served only where there is room.
    pub async fn run_memory_watch(self: Rc<Self>) {
        while self.memory_short.1.recv().await.is_ok() {
            self.connections.borrow().values().for_each(|connection| connection.pace.restart());
            while !self.has_room(0) {
                let due = clock::now() + MEMORY_CHECK_INTERVAL.as_micros() as Micros;
                clock::timer_at(due).await;
                if clock::now() > due + loop_monitor::MAX_TURN_GAP {
                    // What clients took during a delay is not known yet.
                    self.connections.borrow().values().for_each(|connection| connection.pace.restart());
                }
                self.cut_off_too_slow();
            }
        }
    }

    /// Cuts off clients that read too slowly, those with the most unwritten bytes first, until the rest is within the limit.
    fn cut_off_too_slow(&self) {
        let now = clock::now();
        let connections = self.connections.borrow();
        let is_too_slow = |c: &&Rc<Connection>| c.unwritten_bytes.get() > 0 && c.pace.is_too_slow(now);
        let mut too_slow: Vec<_> = connections.values().filter(is_too_slow).collect();
        too_slow.sort_by_key(|c| std::cmp::Reverse(c.unwritten_bytes.get()));
        let mut excess = self.unwritten_bytes.get().saturating_sub(self.max_unwritten_bytes.get());
        for connection in too_slow {
            if excess == 0 {
                return;
            }
            let bytes = connection.unwritten_bytes.get();
            tracing::warn!(client = connection.id, "cut off, {bytes} bytes wait for it");
            let _ = connection.cut.try_send(CloseReason::Memory);
            excess = excess.saturating_sub(bytes);
        }
    }
}
