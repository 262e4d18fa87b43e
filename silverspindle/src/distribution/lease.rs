//! The feed's guard as the board asks it at the moment of acting, and where the director says what it has applied.

use std::cell::Cell;

use async_channel::Sender;
use silverspindle_relay::{FeedGuard, Mode};

use super::records::Records;
use crate::steady::steady_now;
use crate::traffic::{Attempt, FeedFreshness, FeedLease};

/// The feed, shared between the board and the actor.
#[derive(Debug)]
pub struct Feed {
    guard: FeedGuard,
    applied: Cell<u64>,
    said: Cell<Option<Mode>>,
    ping: Sender<()>,
    records: Option<Records>,
}

impl Feed {
    /// A feed under this guard; `ping` hears of each batch that the director has taken in.
    pub fn new(guard: FeedGuard, applied: u64, ping: Sender<()>, records: Option<Records>) -> Self {
        if let Some(records) = &records {
            records.start(applied);
        }
        Self { guard, applied: Cell::new(applied), said: Cell::new(None), ping, records }
    }

    /// Up to where the director has taken the log in.
    pub fn number(&self) -> u64 {
        self.applied.get()
    }

    /// Says by which reading the router acts, where that has changed.
    pub fn say_mode(&self) {
        let feed = self.guard.read(steady_now());
        self.say(feed.mode, feed.age);
    }

    fn say(&self, mode: Mode, age: Option<u64>) {
        let before = self.said.replace(Some(mode));
        if before == Some(mode) {
            return;
        }
        if let Some(records) = &self.records {
            records.mode(mode);
        }
        let number = self.number();
        match (mode, age) {
            (Mode::Safe, None) => tracing::info!(number, "relay: the feed waits for its first confirmation"),
            (Mode::Safe, Some(age)) => {
                tracing::warn!(
                    number,
                    "relay: the feed is {} ms old: only young copies are served",
                    age / 1000
                );
            }
            (Mode::Direct, _) => tracing::info!(number, "relay: the feed is the coordinator's own"),
            (Mode::Relay, _) => tracing::info!(number, "relay: the feed is current"),
        }
    }

    fn take(&self, number: u64) {
        self.applied.set(number);
        // One that waits to be heard says the same.
        let _ = self.ping.try_send(());
    }
}

impl FeedLease for Feed {
    fn freshness(&self) -> FeedFreshness {
        let at = steady_now();
        let feed = self.guard.read(at);
        FeedFreshness {
            at,
            age: feed.age,
            max_copy_age: feed.max_copy_age,
            max_cache_copy_age: feed.max_copy_age,
        }
    }

    fn applied(&self, after: u64, number: u64) {
        if let Some(records) = &self.records {
            records.applied(after, number);
        }
        self.take(number);
    }

    fn reset(&self, number: u64) {
        if let Some(records) = &self.records {
            records.reset(number);
        }
        self.take(number);
    }

    fn attempt_written(&self, attempt: &Attempt, look: FeedFreshness) {
        if let Some(records) = &self.records {
            let mode = self.guard.read(look.at).mode;
            self.say(mode, look.age);
            records.attempt(self.number(), mode, attempt, look);
        }
    }
}
