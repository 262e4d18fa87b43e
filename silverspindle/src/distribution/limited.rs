//! Lines about a peer's faults: one each, however often it comes again with it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Display;

use bitternhold::Micros;

use crate::steady::steady_now;

/// A peer's fault is said again after so long.
const AGAIN: Micros = 10_000_000;
/// Peers that are remembered; beyond, all may be said again.
const MOST: usize = 1024;

/// What was said of whom, and when.
#[derive(Debug, Default)]
pub struct Limited(RefCell<BTreeMap<String, Micros>>);

impl Limited {
    /// Says what a peer did, unless something was said of it shortly before.
    pub fn warn(&self, peer: &str, what: impl Display) {
        let (mut said, now) = (self.0.borrow_mut(), steady_now());
        if said.get(peer).is_some_and(|at| now < at + AGAIN) {
            return;
        }
        if said.len() >= MOST {
            said.clear();
        }
        said.insert(peer.to_owned(), now);
        tracing::warn!(peer, "relay: {what}");
    }
}
