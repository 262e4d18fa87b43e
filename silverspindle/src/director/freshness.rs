//! What the director makes of the feed: news in their order, word of what it has taken in, and the safe reading while the
//! feed's lease has run out.

use bitternhold::{EVERY_GROUP, Event, ListKind, Micros};

use super::Director;
use crate::clock::Stamp;
use crate::feed::PurgeTarget;
use crate::steady::steady;
use crate::traffic::Notice;

/// While the feed's lease has run out the module is told so this often, as the age that it was told grows from then on.
const TELL_STALE: Micros = 1_000_000;

impl Director {
    /// Takes in what is told of the list and of purges.
    pub fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::News(news) => self.news(news, ListKind::Full),
            Notice::PurgedBefore(at) => {
                let what = PurgeTarget::Group(EVERY_GROUP);
                self.knowledge.iter_mut().for_each(|k| k.purged(what, at));
                self.purged(what, at);
            }
            Notice::Batch { after, number } => self.shared.board.applied(Some(after), number),
            Notice::Reset { number } => self.shared.board.applied(None, number),
        }
    }

    /// Whether a copy that the origin gave out then is younger than the feed's lease, where that has run out.
    pub(super) fn is_young(&self, now: Micros, stamp: Stamp) -> bool {
        self.shared.board.oldest().is_none_or(|oldest| self.skew.copy_age(now, stamp) < oldest)
    }

    /// Tells the module that copies as old as the feed's lease may be purged, while that has run out. Told again before
    /// the age has grown past the lease: an attempt with a later limit is never written.
    pub(super) fn tell_stale(&mut self) {
        let Some(oldest) = self.shared.board.oldest_asked() else {
            self.told_stale = None;
            return;
        };
        let now = steady();
        if self.told_stale.is_none_or(|told| now >= told + TELL_STALE) {
            self.told_stale = Some(now);
            let age = oldest.saturating_sub(TELL_STALE);
            self.backlog.push_back(Event::Purged { object: None, group: EVERY_GROUP, age });
        }
    }
}
