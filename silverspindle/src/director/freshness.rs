//! How the director handles the feed: it applies updates in order, acknowledges what it has applied, and
//! treats all older copies as possibly purged while the feed's lease has run out.

use bitternhold::{ALL_GROUPS, Event, ListKind, Micros};

use super::Director;
use crate::clock::Stamp;
use crate::feed::PurgeTarget;
use crate::steady::steady_now;
use crate::traffic::Notification;

/// Interval in which the module is told the maximum copy age while the feed's lease has run out, in
/// microseconds. It has to be repeated because the age that the module was told keeps growing.
const STALE_REPORT_INTERVAL: Micros = 1_000_000;

impl Director {
    /// Handles an update of the list or of the purges.
    pub fn handle_notification(&mut self, notification: Notification) {
        match notification {
            Notification::Update(update) => self.handle_update(update, ListKind::Full),
            Notification::Confirmed { at } => self.shared.state.feed_confirmed(at),
            Notification::Broken { at } => self.shared.state.feed_broken(at),
            Notification::EventsMissed => self.discard_own_copies(),
            Notification::PurgedBefore(at) => {
                let what = PurgeTarget::Group(ALL_GROUPS);
                self.knowledge.iter_mut().for_each(|k| k.purged(what, at));
                self.apply_purge(what, at);
            }
            Notification::Batch { after, number } => self.shared.state.applied(Some(after), number),
            Notification::Reset { number } => self.shared.state.applied(None, number),
        }
    }

    /// Discards all own copies, as a purge that was never received may apply to them. Copies issued before now are
    /// not kept for a while either: caches may still answer with them, as they have dropped purged copies only some
    /// time after the purge.
    fn discard_own_copies(&mut self) {
        let (now, any) = (self.now(), PurgeTarget::Group(ALL_GROUPS));
        let issued_before = self.skew.latest_stamp(now);
        self.copies.purge(now, any, issued_before);
        self.release_purged_copies(any, issued_before);
    }

    /// Whether a copy that the origin issued at this time may be served as far as the feed's lease goes:
    /// always while the lease holds, and only if no purge that binds unheard can apply to it once it has run out.
    pub(super) fn is_covered_by_lease(&self, now: Micros, stamp: Stamp) -> bool {
        self.shared.state.max_copy_age().is_none_or(|max_age| self.skew.copy_age(now, stamp) < max_age)
    }

    /// While the feed's lease has run out, tells the module that copies as old as the lease may have been
    /// purged. This is repeated before the age has grown past the lease, because an attempt with a higher age
    /// limit is never written.
    pub(super) fn report_stale_feed(&mut self) {
        let Some(max_age) = self.shared.state.max_cache_copy_age() else {
            self.stale_reported_at = None;
            return;
        };
        let now = steady_now();
        if self.stale_reported_at.is_none_or(|reported_at| now >= reported_at + STALE_REPORT_INTERVAL) {
            self.stale_reported_at = Some(now);
            let age = max_age.saturating_sub(STALE_REPORT_INTERVAL);
            self.backlog.push_back(Event::Purged { object: None, group: ALL_GROUPS, age });
        }
    }
}
