//! The latest state of the members, the purges and the agreed rules, and the final check of an attempt right
//! before it is written.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Debug;
use std::rc::Rc;

use bitternhold::{ALL_GROUPS, Lifecycle, Member, MemberId, Micros, Note};
use silverspindle_work::Ledger;

use super::Attempt;
use crate::clock::{Clock, Stamp};
use crate::feed::{PurgeTarget, Update};
use crate::steady::steady_now;

/// A member as the coordinator lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// Index of its kind in the settings.
    pub kind: usize,
    /// Index of its zone in the settings.
    pub zone: usize,
    /// It is ready, so requests may be sent to it.
    pub ready: bool,
    /// When its process started, on this process's clock.
    pub started: Micros,
}

/// The members on the coordinator's list.
pub type Members = BTreeMap<MemberId, MemberInfo>;

/// The rules that the routers have agreed on, consulted right before acting.
pub trait AgreedRules: Debug {
    /// Whether an attempt may be written to this member now.
    fn allows(&self, attempt: &Attempt, to: MemberId, members: &Members) -> bool;
    /// Called when an attempt has ended.
    fn attempt_ended(&self, attempt: &Attempt, note: Option<Note>);
    /// Whether a request of this class and group is refused.
    fn refuses(&self, class: usize, group: u64) -> bool;
    /// Called when a request was answered, within its aim or not.
    fn answered(&self, in_time: bool);
    /// The versions of the rules in force, for the log; `None` if rules are off.
    fn rules_version(&self) -> Option<String>;
}

/// How fresh the feed of purges is at some time.
#[derive(Clone, Copy, Debug)]
pub struct FeedFreshness {
    /// That time, on the steady clock.
    pub at: Micros,
    /// Age of the feed's last confirmation; `None` if there has been none.
    pub age: Option<Micros>,
    /// Set while the lease has run out: own copies older than this may have been purged without this router's
    /// knowledge.
    pub max_copy_age: Option<Micros>,
    /// The same for copies of caches, unless the caches have dropped older purged copies by that age.
    pub max_cache_copy_age: Option<Micros>,
}

/// The lease of the feed of purges, consulted right before acting.
pub trait FeedLease: Debug {
    /// How fresh the feed is now.
    fn freshness(&self) -> FeedFreshness;
    /// Called when the director has applied everything that the coordinator had at this time of the steady clock. A
    /// feed that has its confirmations from elsewhere ignores it.
    fn confirmed(&self, _at: Micros) {}
    /// Called when the connection to the coordinator broke, no earlier than this time of the steady clock. A feed that
    /// has its confirmations from elsewhere ignores it.
    fn broken(&self, _at: Micros) {}
    /// Called when the director has applied a batch: the numbers after `after`, up to and including `number`.
    fn applied(&self, after: u64, number: u64);
    /// Called when the director has applied a state that replaces all numbers up to and including this one.
    fn reset(&self, number: u64);
    /// Called when an attempt is written that was checked against this freshness.
    fn attempt_written(&self, attempt: &Attempt, freshness: FeedFreshness);
}

/// An update from the source of the list and the purges, delivered to the director in order.
#[derive(Debug)]
pub enum Notification {
    /// An event of the coordinator.
    Update(Update),
    /// The updates so far are all that the coordinator had at this time of the steady clock.
    Confirmed {
        /// That time.
        at: Micros,
    },
    /// The connection to the coordinator broke, no earlier than this time of the steady clock.
    Broken {
        /// That time.
        at: Micros,
    },
    /// Events between the updates so far and the next one are lost; purges may be among them.
    EventsMissed,
    /// All copies issued before this time may have been purged.
    PurgedBefore(Stamp),
    /// The updates since the last `Batch` or `Reset` are the complete batch of these numbers.
    Batch {
        /// The number before the first.
        after: u64,
        /// The last number.
        number: u64,
    },
    /// The updates since the last `Batch` or `Reset` replace all numbers up to this one.
    Reset {
        /// The last number.
        number: u64,
    },
}

impl From<Update> for Notification {
    fn from(update: Update) -> Self {
        Self::Update(update)
    }
}

/// The latest state of the members, the purges and the agreed rules, for the final check of an attempt right
/// before it is written.
#[derive(Debug, Default)]
pub struct RoutingState {
    clock: Clock,
    /// The rules that the routers have agreed on, if rules are on.
    rules: RefCell<Option<Rc<dyn AgreedRules>>>,
    /// The lease of the feed of purges, if it has one.
    lease: RefCell<Option<Rc<dyn FeedLease>>>,
    /// Time after a purge by which the caches have dropped all older copies.
    purge_complete_within: Cell<Micros>,
    /// No attempt is written until the agreed rules are known here.
    requires_rules: Cell<bool>,
    /// The members on the coordinator's list.
    members: RefCell<Members>,
    /// The attempts that may be open at each member. Kept only if orders of work are on.
    ledger: RefCell<Option<Ledger>>,
    /// The module's limits on attempts in flight by member, and whether the member is quarantined.
    limits: RefCell<BTreeMap<MemberId, (f64, bool)>>,
    /// Members to which attempts may be written.
    ready: RefCell<BTreeSet<MemberId>>,
    /// The number of the last purge of each object or group, and when it was received.
    purges: RefCell<HashMap<PurgeTarget, (u64, Micros)>>,
    /// Number of purges received.
    purge_count: Cell<u64>,
}

impl RoutingState {
    /// An empty state that uses this clock.
    pub fn with_clock(clock: Clock) -> Self {
        Self { clock, ..Self::default() }
    }

    /// The clock in use.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Puts the agreed rules in force.
    pub fn set_rules(&self, rules: Rc<dyn AgreedRules>) {
        *self.rules.borrow_mut() = Some(rules);
    }

    /// Sets the lease of the feed of purges. `purge_complete_within` is the time after a purge
    /// by which the caches have dropped all older copies.
    pub fn set_lease(&self, lease: Rc<dyn FeedLease>, purge_complete_within: Micros) {
        *self.lease.borrow_mut() = Some(lease);
        self.purge_complete_within.set(purge_complete_within);
    }

    /// While the feed's lease has run out: the maximum age of own copies that may be served.
    pub fn max_copy_age(&self) -> Option<Micros> {
        self.lease.borrow().as_ref()?.freshness().max_copy_age
    }

    /// The same for copies of caches; `None` if the caches themselves have dropped older purged copies by
    /// that age.
    pub fn max_cache_copy_age(&self) -> Option<Micros> {
        self.limit_for_caches(&self.lease.borrow().as_ref()?.freshness())
    }

    fn limit_for_caches(&self, freshness: &FeedFreshness) -> Option<Micros> {
        freshness.max_cache_copy_age.filter(|age| *age <= self.purge_complete_within.get())
    }

    /// Reports that the director has applied everything that the coordinator had at this time of the steady clock.
    pub fn feed_confirmed(&self, at: Micros) {
        if let Some(lease) = self.lease.borrow().as_ref() {
            lease.confirmed(at);
        }
    }

    /// Reports that the connection to the coordinator broke, no earlier than this time of the steady clock.
    pub fn feed_broken(&self, at: Micros) {
        if let Some(lease) = self.lease.borrow().as_ref() {
            lease.broken(at);
        }
    }

    /// Reports that the director has applied a batch, or, without `after`, a state that replaces all numbers
    /// up to this one.
    pub fn applied(&self, after: Option<u64>, number: u64) {
        match (self.lease.borrow().as_ref(), after) {
            (Some(lease), Some(after)) => lease.applied(after, number),
            (Some(lease), None) => lease.reset(number),
            (None, _) => {}
        }
    }

    /// Forbids writing attempts until the agreed rules are known here.
    pub fn require_rules(&self) {
        self.requires_rules.set(true);
    }

    /// Whether the agreed rules refuse requests of this class and group.
    pub fn refuses(&self, class: usize, group: u64) -> bool {
        self.rules.borrow().as_ref().is_some_and(|rules| rules.refuses(class, group))
    }

    /// Reports that a request was answered, within its aim or not.
    pub fn answered(&self, in_time: bool) {
        if let Some(rules) = self.rules.borrow().as_ref() {
            rules.answered(in_time);
        }
    }

    /// The versions of the agreed rules in force, for the log; `None` if rules are off.
    pub fn rules_version(&self) -> Option<String> {
        self.rules.borrow().as_ref()?.rules_version()
    }

    /// Turns orders of work on: open attempts are tracked by member, and no attempt is written until the
    /// orders are known here.
    pub fn enable_orders(&self) {
        self.require_rules();
        *self.ledger.borrow_mut() = Some(Ledger::default());
    }

    /// Records an attempt that is in flight or waits to be written.
    pub(crate) fn attempt_started(&self, attempt: &Attempt, to: MemberId) {
        if let Some(ledger) = &mut *self.ledger.borrow_mut() {
            let members = [Some(to), attempt.options.source].into_iter().flatten();
            let members = members.map(|id| id.0 as u32).collect();
            // On the steady clock: setting the Unix clock must not end the time in which an attempt may be
            // open.
            let (now, remaining) = (steady_now(), attempt.deadline.saturating_sub(self.clock.now()));
            ledger.begin(now, attempt.ticket, members, now + remaining);
        }
    }

    /// Records the end of an attempt. After an answer nothing of it is open any more, unless the member still
    /// renews the copy.
    pub(crate) fn attempt_ended(&self, attempt: &Attempt, answered: bool, note: Option<Note>) {
        if let Some(rules) = self.rules.borrow().as_ref() {
            rules.attempt_ended(attempt, note);
        }
        if let Some(ledger) = &mut *self.ledger.borrow_mut() {
            let all_over = !attempt.written.get() || (answered && !attempt.options.mode.renew);
            ledger.end(steady_now(), attempt.ticket, all_over);
        }
    }

    /// Accesses the ledger of open attempts, if orders of work are on.
    pub fn ledger<T>(&self, access: impl FnOnce(&mut Ledger) -> T) -> Option<T> {
        self.ledger.borrow_mut().as_mut().map(access)
    }

    /// The module's limits by member, and whether the member is quarantined.
    pub fn limits(&self) -> std::cell::RefMut<'_, BTreeMap<MemberId, (f64, bool)>> {
        self.limits.borrow_mut()
    }

    /// Applies the coordinator's list, for slow start and for the planning of maintenance work.
    pub fn update_members(&self, complete: bool, members: &[Member]) {
        let mut all = self.members.borrow_mut();
        if complete {
            all.clear();
        }
        for m in members {
            match m.lifecycle {
                Lifecycle::Gone => drop(all.remove(&m.id)),
                state => {
                    let ready = state == Lifecycle::Ready;
                    let info = MemberInfo { kind: m.kind, zone: m.zone, ready, started: m.started };
                    all.insert(m.id, info);
                }
            }
        }
    }

    /// The members on the coordinator's list; see [`RoutingState::update_members`].
    pub fn members(&self) -> Members {
        self.members.borrow().clone()
    }

    /// A member's entry in the coordinator's list.
    pub fn member(&self, id: MemberId) -> Option<MemberInfo> {
        self.members.borrow().get(&id).copied()
    }

    /// Sets whether attempts may be written to a member.
    pub fn set_ready(&self, id: MemberId, ready: bool) {
        match ready {
            true => self.ready.borrow_mut().insert(id),
            false => self.ready.borrow_mut().remove(&id),
        };
    }

    /// Whether attempts may be written to a member.
    pub fn is_ready(&self, id: MemberId) -> bool {
        self.ready.borrow().contains(&id)
    }

    /// Records a purge. Purges received longer than `retention` ago are forgotten, because no pending attempt is
    /// older.
    pub fn record_purge(&self, now: Micros, what: PurgeTarget, retention: Micros) {
        self.purge_count.set(self.purge_count.get() + 1);
        let mut purges = self.purges.borrow_mut();
        purges.retain(|_, (_, at)| now.saturating_sub(*at) <= retention);
        purges.insert(what, (self.purge_count.get(), now));
    }

    /// Number of purges received so far. Stored with a decision, so that later purges can be told from
    /// earlier ones.
    pub fn purge_seq(&self) -> u64 {
        self.purge_count.get()
    }

    /// Whether an attempt may still be written; checked right before its first byte. Guards against attempts
    /// that waited (for a connection, or behind a full socket) while their time ran out, their client left,
    /// their cache or their source was drained, or their object was purged.
    pub fn allows(&self, attempt: &Attempt, to: MemberId) -> bool {
        let purges = self.purges.borrow();
        let purged_since = |what| purges.get(&what).is_some_and(|(number, _)| *number > attempt.purge_seq);
        let freshness = self.lease.borrow().as_ref().map(|lease| lease.freshness());
        let max_copy_age = freshness.and_then(|freshness| self.limit_for_caches(&freshness));
        let allows = self.clock.now() < attempt.write_by
            && !attempt.call.finished.get()
            && !attempt.client.is_gone()
            && self.is_ready(to)
            && attempt.options.source.is_none_or(|source| self.is_ready(source))
            && !purged_since(PurgeTarget::Group(attempt.call.group))
            && !purged_since(PurgeTarget::Group(ALL_GROUPS))
            && !attempt.call.object_key().is_some_and(|key| purged_since(PurgeTarget::Object(key)))
            // An attempt decided before the feed's lease ran out asks for copies that may have been purged.
            && max_copy_age.is_none_or(|limit| attempt.options.max_age.is_some_and(|age| age <= limit));
        let allows = match self.rules.borrow().as_ref() {
            Some(rules) => allows && rules.allows(attempt, to, &self.members.borrow()),
            None => allows && !self.requires_rules.get(),
        };
        if let Some((lease, freshness)) = self.lease.borrow().as_ref().zip(freshness).filter(|_| allows) {
            lease.attempt_written(attempt, freshness);
        }
        allows
    }
}
