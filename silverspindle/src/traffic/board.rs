//! What was told last of the members and of purges, and the last look at an attempt at the moment of writing.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Debug;
use std::rc::Rc;

use bitternhold::{EVERY_GROUP, Lifecycle, Member, MemberId, Micros, Note};
use silverspindle_work::Ledger;

use super::Attempt;
use crate::clock::{Clock, Stamp};
use crate::feed::{PurgeTarget, Update};
use crate::steady::steady;

/// A member by the coordinator's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Noted {
    /// Its kind.
    pub kind: usize,
    /// Its zone.
    pub zone: usize,
    /// It takes work.
    pub ready: bool,
    /// When it started, on the own clock.
    pub started: Micros,
}

/// Members on the list.
pub type Members = BTreeMap<MemberId, Noted>;

/// What routers agree on, asked at the moment of acting.
pub trait Guard: Debug {
    /// Whether an attempt to a member may go out now.
    fn allows(&self, attempt: &Attempt, to: MemberId, members: &Members) -> bool;
    /// An attempt ended.
    fn over(&self, attempt: &Attempt, note: Option<Note>);
    /// Whether a request of this class and group is refused.
    fn refuses(&self, class: usize, group: u64) -> bool;
    /// A request was answered, in the wanted time or not.
    fn answered(&self, in_time: bool);
    /// The versions that it acts on; none: rules are off.
    fn version(&self) -> Option<String>;
}

/// How fresh the feed of purges is at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// The moment, by the steady clock.
    pub at: Micros,
    /// How old the feed's confirmation is; none: it has never had one.
    pub age: Option<Micros>,
    /// Where the lease has run out: copies older than this may have been purged without this router's knowing.
    pub oldest: Option<Micros>,
}

/// How fresh the feed of purges is, asked at the moment of acting.
pub trait Lease: Debug {
    /// Now.
    fn look(&self) -> Freshness;
    /// The director has taken a batch in, numbers from behind `after` up to `number`.
    fn applied(&self, after: u64, number: u64);
    /// The director has taken in what stands for all numbers up to this one.
    fn reset(&self, number: u64);
    /// An attempt goes out that was held against this look.
    fn acted(&self, attempt: &Attempt, look: Freshness);
}

/// What the director is told by whoever follows the list and the purges, in order.
#[derive(Debug)]
pub enum Notice {
    /// An event of the coordinator's.
    News(Update),
    /// All copies from before then may be purged.
    PurgedBefore(Stamp),
    /// What was told since is the whole batch of these numbers.
    Batch {
        /// The number before the first.
        after: u64,
        /// The last.
        number: u64,
    },
    /// What was told since stands for all numbers up to this one.
    Reset {
        /// The last.
        number: u64,
    },
}

impl From<Update> for Notice {
    fn from(news: Update) -> Self {
        Self::News(news)
    }
}

/// What was told last of the members and of purges, for a last look at the moment of writing.
#[derive(Debug, Default)]
pub struct Board {
    clock: Clock,
    agreed: RefCell<Option<Rc<dyn Guard>>>,
    /// The feed of purges, where it has a lease.
    lease: RefCell<Option<Rc<dyn Lease>>>,
    /// So long after a purge the caches have dropped all older copies.
    cleared: Cell<Micros>,
    /// Nothing goes out before what is agreed is known: orders for work are on.
    waits: Cell<bool>,
    /// Members on the list.
    members: RefCell<Members>,
    /// What is open where; only kept where orders for work are on.
    ledger: RefCell<Option<Ledger>>,
    /// The module's limits of what may be out to members, and whether it has set them aside.
    limits: RefCell<BTreeMap<MemberId, (f64, bool)>>,
    ready: RefCell<BTreeSet<MemberId>>,
    purges: RefCell<HashMap<PurgeTarget, (u64, Micros)>>,
    told: Cell<u64>,
}

impl Board {
    /// A board that goes by this clock.
    pub fn by(clock: Clock) -> Self {
        Self { clock, ..Self::default() }
    }

    /// The clock that it goes by.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// What routers agree on is in force from now on.
    pub fn agree(&self, guard: Rc<dyn Guard>) {
        *self.agreed.borrow_mut() = Some(guard);
    }

    /// The feed of purges has a lease from now on. So long after a purge the caches have dropped all older copies.
    pub fn lease(&self, lease: Rc<dyn Lease>, cleared: Micros) {
        *self.lease.borrow_mut() = Some(lease);
        self.cleared.set(cleared);
    }

    /// While the feed's lease has run out: copies older than this are not to be served.
    pub fn oldest(&self) -> Option<Micros> {
        self.lease.borrow().as_ref()?.look().oldest
    }

    /// The same for caches' copies; none where the caches have dropped them by then themselves.
    pub fn oldest_asked(&self) -> Option<Micros> {
        self.asked(self.oldest()?)
    }

    fn asked(&self, oldest: Micros) -> Option<Micros> {
        (oldest <= self.cleared.get()).then_some(oldest)
    }

    /// The director has taken a batch in, or what stands for all numbers up to this one.
    pub fn applied(&self, after: Option<u64>, number: u64) {
        match (self.lease.borrow().as_ref(), after) {
            (Some(lease), Some(after)) => lease.applied(after, number),
            (Some(lease), None) => lease.reset(number),
            (None, _) => {}
        }
    }

    /// Nothing goes out before what is agreed is known here.
    pub fn wait(&self) {
        self.waits.set(true);
    }

    /// Whether a request of this class and group is refused by what is agreed.
    pub fn refuses(&self, class: usize, group: u64) -> bool {
        self.agreed.borrow().as_ref().is_some_and(|agreed| agreed.refuses(class, group))
    }

    /// A request was answered, in the wanted time or not.
    pub fn answered(&self, in_time: bool) {
        if let Some(agreed) = self.agreed.borrow().as_ref() {
            agreed.answered(in_time);
        }
    }

    /// The versions that it acts on, for its log; none: rules are off.
    pub fn version(&self) -> Option<String> {
        self.agreed.borrow().as_ref()?.version()
    }

    /// Orders for work are on: what is open where is kept, and nothing goes out before they are known here.
    pub fn wait_for_orders(&self) {
        self.wait();
        *self.ledger.borrow_mut() = Some(Ledger::default());
    }

    /// An attempt is on its way, or waits to be written.
    pub(crate) fn begun(&self, attempt: &Attempt, to: MemberId) {
        if let Some(ledger) = &mut *self.ledger.borrow_mut() {
            let members = [Some(to), attempt.terms.source].into_iter().flatten();
            let members = members.map(|id| id.0 as u32).collect();
            // By the steady clock: what may be open must not end as the Unix clock is set.
            let (now, left) = (steady(), attempt.until.saturating_sub(self.clock.now()));
            ledger.begin(now, attempt.ticket, members, now + left);
        }
    }

    /// It ended; an answer ends all of it, unless the copy is renewed behind it.
    pub(crate) fn over(&self, attempt: &Attempt, answered: bool, note: Option<Note>) {
        if let Some(agreed) = self.agreed.borrow().as_ref() {
            agreed.over(attempt, note);
        }
        if let Some(ledger) = &mut *self.ledger.borrow_mut() {
            let whole = !attempt.written.get() || (answered && !attempt.terms.mode.renew);
            ledger.end(steady(), attempt.ticket, whole);
        }
    }

    /// What is open where.
    pub fn ledger<T>(&self, look: impl FnOnce(&mut Ledger) -> T) -> Option<T> {
        self.ledger.borrow_mut().as_mut().map(look)
    }

    /// The module's limits, by member, and whether it has set it aside.
    pub fn limits(&self) -> std::cell::RefMut<'_, BTreeMap<MemberId, (f64, bool)>> {
        self.limits.borrow_mut()
    }

    /// The coordinator's list, for who plans work on its members.
    pub fn note_members(&self, complete: bool, members: &[Member]) {
        let mut all = self.members.borrow_mut();
        if complete {
            all.clear();
        }
        for m in members {
            match m.lifecycle {
                Lifecycle::Gone => drop(all.remove(&m.id)),
                state => {
                    let ready = state == Lifecycle::Ready;
                    let noted = Noted { kind: m.kind, zone: m.zone, ready, started: m.started };
                    all.insert(m.id, noted);
                }
            }
        }
    }

    /// See [`Board::note_members`].
    pub fn members(&self) -> Members {
        self.members.borrow().clone()
    }

    /// What the coordinator's list says of a member.
    pub fn noted(&self, id: MemberId) -> Option<Noted> {
        self.members.borrow().get(&id).copied()
    }

    /// A member takes work or does not.
    pub fn set_ready(&self, id: MemberId, ready: bool) {
        match ready {
            true => self.ready.borrow_mut().insert(id),
            false => self.ready.borrow_mut().remove(&id),
        };
    }

    /// Whether a member takes work.
    pub fn is_ready(&self, id: MemberId) -> bool {
        self.ready.borrow().contains(&id)
    }

    /// Notes a purge; those told longer ago than `keep` concern nothing that still waits.
    pub fn purged(&self, now: Micros, what: PurgeTarget, keep: Micros) {
        self.told.set(self.told.get() + 1);
        let mut purges = self.purges.borrow_mut();
        purges.retain(|_, (_, at)| now.saturating_sub(*at) <= keep);
        purges.insert(what, (self.told.get(), now));
    }

    /// The moment of a decision, to be compared with what is told later.
    pub fn moment(&self) -> u64 {
        self.told.get()
    }

    /// Whether an attempt may still be written: asked when its first byte is. Guards against what waited (for a
    /// connection, or behind a full socket) while its time ran out, its client left, its cache or its source was
    /// drained or its object purged.
    pub fn allows(&self, attempt: &Attempt, to: MemberId) -> bool {
        let purges = self.purges.borrow();
        let since = |what| purges.get(&what).is_some_and(|(told, _)| *told > attempt.decided);
        let look = self.lease.borrow().as_ref().map(|lease| lease.look());
        let oldest = look.and_then(|look| self.asked(look.oldest?));
        let allows = self.clock.now() < attempt.write_by
            && !attempt.call.over.get()
            && !attempt.client.is_gone()
            && self.is_ready(to)
            && attempt.terms.source.is_none_or(|source| self.is_ready(source))
            && !since(PurgeTarget::Group(attempt.call.group))
            && !since(PurgeTarget::Group(EVERY_GROUP))
            && !attempt.call.key().is_some_and(|key| since(PurgeTarget::Object(key)))
            // Decided before the feed's lease ran out, it asks for copies that may be purged.
            && oldest.is_none_or(|oldest| attempt.terms.max_age.is_some_and(|age| age <= oldest));
        let allows = match self.agreed.borrow().as_ref() {
            Some(agreed) => allows && agreed.allows(attempt, to, &self.members.borrow()),
            None => allows && !self.waits.get(),
        };
        if let Some((lease, look)) = self.lease.borrow().as_ref().zip(look).filter(|_| allows) {
            lease.acted(attempt, look);
        }
        allows
    }
}
