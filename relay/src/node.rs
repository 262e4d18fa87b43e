//! One node's part: a source's, a relay's or a router's. Events in, actions out, carried out in order.
//!
//! A node's work towards its children is done at its batch ticks, [`Settings::batch_every`] apart: leases are added up,
//! each child is sent what it lacks and the answer to its latest report in one update, and a relay reports to its own
//! parent. A router reports each [`Settings::report_every`]. So a report costs no frame of its own on the way back,
//! and nothing that one child does is work for the others.

use std::collections::BTreeMap;

use silverspindle_agreement::Confirmation;

use crate::arrivals::Arrivals;
use crate::batch::{Batch, Encoder};
use crate::children::{Children, Subscription};
use crate::feed::{Confirmations, Feed, FeedGuard, Origin};
use crate::frame::{Coded, Confirm, Fault, Frame, Report, Subscribe, Update};
use crate::leases::{Holder, Leases};
use crate::list;
use crate::log::{Entry, Log, Record, Reset};
use crate::parent::{Parents, Step};
use crate::questions::Questions;
pub use crate::settings::{ChildId, Guards, ParentId, Role, Settings};
use crate::watermark::{Status, Summary};
use crate::{Fence, Micros, bounds};

/// What happens to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// It is time; see [`Node::due`].
    Tick,
    /// The coordinator told these (a source, or a router told to [`Action::Follow`]). Those that are new come back
    /// as [`Action::Apply`]. Left out by others.
    Append(Vec<Record>),
    /// The coordinator has told all that it knew at this time of the own clock; what it told was appended before.
    Current {
        /// Since when that is known.
        asked: Micros,
    },
    /// The host has applied the log up to this number, as it was told to.
    Applied {
        /// The number.
        number: u64,
    },
    /// The connection asked for is up.
    ParentUp(ParentId),
    /// It could not be made, or has ended.
    ParentDown(ParentId),
    /// A frame from the parent.
    FromParent(Frame),
    /// A child has connected; its name is its certificate's.
    ChildUp {
        /// Its connection.
        child: ChildId,
        /// Its name.
        name: String,
    },
    /// It has gone.
    ChildDown(ChildId),
    /// A frame of a child's, or of somebody who only asks.
    FromChild {
        /// Its connection.
        child: ChildId,
        /// What it says.
        frame: Frame,
    },
}

/// What the host does, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to this parent; the answer is [`Event::ParentUp`] or [`Event::ParentDown`].
    Connect(ParentId),
    /// End the connection to the parent; no [`Event::ParentDown`] follows.
    Disconnect {
        /// Which.
        parent: ParentId,
        /// What it did.
        fault: Fault,
    },
    /// Send to the parent; lost where the connection is not up.
    ToParent(Frame),
    /// Send to a child.
    ToChild {
        /// Its connection.
        child: ChildId,
        /// What.
        frame: Frame,
    },
    /// End a child's connection; no [`Event::ChildDown`] follows.
    EndChild {
        /// Its connection.
        child: ChildId,
        /// What it did.
        fault: Fault,
    },
    /// Apply these, then say so ([`Event::Applied`]).
    Apply(Vec<Record>),
    /// Apply this in place of the records that it stands for, then say so.
    ApplyReset(Reset),
    /// No parent is to be had: follow the coordinator from this number on, until told to stop.
    Follow {
        /// The last number applied.
        after: u64,
    },
    /// A parent is there again.
    Unfollow,
}

/// What a child is sent at a tick: one answer for all that are as far.
#[derive(Clone)]
enum Next {
    /// It has all.
    Nothing,
    /// These records, and it is sent the log up to this number then.
    Batch(Coded, u64),
    /// What stands for records that are not kept.
    Reset(Reset),
}

/// See the module's text.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    started: Micros,
    /// Lease and direct lease, stretched for both clocks' drift.
    lease_lasts: Micros,
    log: Log,
    /// The last number handed to the host.
    received: u64,
    applied: u64,
    confirmations: Confirmations,
    children: Children,
    leases: Leases,
    parents: Parents,
    questions: Questions,
    /// The highest number that the parent has named on this connection: no more is claimed towards it.
    named: u64,
    report_at: Micros,
    tick_at: Micros,
    arrivals: Arrivals,
    /// As of the last batch tick.
    watermark: u64,
    /// As of the last batch tick.
    summary: Summary,
}

impl Node {
    /// A node that starts now. `applied`: up to where its host has applied the log, from `known`; a source begins its
    /// log behind that. What was purged before is not known to it, so a child that comes with less is told that any
    /// copy may be; see [`Node::starting_at`].
    pub fn new(settings: Settings, applied: u64, now: Micros) -> Self {
        let log = Log::new(applied, settings.records);
        Self::with_log(settings, log, now)
    }

    /// A node whose host knows what all records up to its start come to: a child that comes with less is told that.
    pub fn starting_at(settings: Settings, known: &Reset, now: Micros) -> Self {
        let log = Log::starting_at(known, settings.records);
        Self::with_log(settings, log, now)
    }

    fn with_log(settings: Settings, log: Log, now: Micros) -> Self {
        let applied = log.latest();
        let guard = FeedGuard::new(&settings);
        let stretch = |time: Micros| guard.relay().stretched(guard.relay().stretched(time));
        let (lease_lasts, direct_lasts) = (stretch(settings.lease), stretch(settings.direct_lease));
        Self {
            started: now,
            lease_lasts,
            log,
            received: applied,
            applied,
            confirmations: Confirmations::new(guard, applied),
            children: Children::new(settings.children),
            leases: Leases::new(lease_lasts, settings.children.saturating_mul(bounds::LEASES_PER_CHILD)),
            parents: Parents::new(&settings, now),
            questions: Questions::default(),
            named: 0,
            report_at: Micros::MAX,
            tick_at: now,
            arrivals: Arrivals::new(applied, direct_lasts, now),
            watermark: applied,
            summary: Summary { routers: u32::from(settings.role == Role::Router), ..Summary::default() },
            settings,
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Append(records) if self.hears_coordinator() => {
                self.take(records, out);
                if self.settings.role == Role::Source {
                    self.arrivals.add(self.received, now);
                }
            }
            Event::Current { asked } if self.hears_coordinator() => {
                let origin = if self.settings.role == Role::Source { Origin::Relay } else { Origin::Direct };
                self.confirmations.add(origin, Confirmation { number: self.received, asked });
            }
            Event::Append(_) | Event::Current { .. } => {}
            Event::Applied { number } => self.host_applied(now, number, out),
            Event::ParentUp(parent) if self.parents.up(parent, now) => self.subscribe(now, out),
            Event::ParentUp(_) => {}
            Event::ParentDown(parent) => self.parents.down(parent, now),
            Event::FromParent(frame) => self.hear_parent(now, frame, out),
            Event::ChildUp { child, name } => {
                if let Err(fault) = self.children.connect(child, &name, now) {
                    out.push(Action::EndChild { child, fault });
                }
            }
            Event::ChildDown(child) => self.remove_child(child),
            Event::FromChild { child, frame } => {
                if let Err(fault) = self.hear_child(now, child, frame, out) {
                    self.end_child(child, fault, out);
                }
            }
        }
    }

    /// When it wants [`Event::Tick`] at the latest.
    pub fn due(&self) -> Micros {
        let tick_at = if self.has_ticks() { self.tick_at } else { Micros::MAX };
        let report_at = if self.reports_alone() { self.report_at } else { Micros::MAX };
        tick_at.min(report_at).min(self.parents.due())
    }

    /// The guard of the feed over a parent alone; whoever acts asks [`Node::feed_guard`].
    pub fn fence(&self) -> Fence {
        self.confirmations.guard().relay().clone()
    }

    /// The guard that whoever acts asks, at the moment of acting: clones look at the same confirmations.
    pub fn feed_guard(&self) -> FeedGuard {
        self.confirmations.guard().clone()
    }

    /// How fresh the feed is, and by which reading the router acts.
    pub fn feed(&self, now: Micros) -> Feed {
        self.confirmations.guard().read(now)
    }

    /// Up to where the host has applied the log.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// How far a number has come, 0 for the latest; asked of a source for the whole fleet below it.
    pub fn status(&self, now: Micros, number: u64) -> Status {
        let latest = self.received;
        let number = if number == 0 { latest } else { number };
        Status {
            number,
            latest,
            watermark: self.watermark,
            everywhere: self.everywhere(now, number),
            age: self.confirmations.guard().relay().age(now),
            summary: self.summary.clone(),
        }
    }

    /// Bytes that it holds, about: log, leases, connections.
    pub fn memory(&self) -> usize {
        let children = self.children.memory() + self.leases.memory();
        size_of::<Self>() + self.log.memory() + children + self.arrivals.memory()
    }

    fn everywhere(&self, now: Micros, number: u64) -> Option<bool> {
        if number > self.received {
            return Some(false);
        }
        let waited = now.saturating_sub(self.started) >= self.lease_lasts || !self.settings.guards.lease;
        if self.settings.role != Role::Source || !waited {
            return None;
        }
        Some(self.watermark >= number && self.arrivals.is_settled(number, now))
    }

    /// Whether the coordinator's own events come to this node.
    fn hears_coordinator(&self) -> bool {
        match self.settings.role {
            Role::Source => true,
            Role::Relay => false,
            Role::Router => self.parents.follows(),
        }
    }

    // ---- The log.

    /// Takes new records in and hands them to the host.
    fn take(&mut self, records: Vec<Record>, out: &mut Vec<Action>) {
        let mut new = Vec::with_capacity(records.len());
        for record in records {
            let is_next = record.number > self.received;
            if (!is_next && self.settings.guards.order) || !is_sound(&record) {
                continue;
            }
            self.received = self.received.max(record.number);
            if self.settings.role != Role::Router {
                self.log.push(record.clone());
            }
            new.push(record);
        }
        if !new.is_empty() {
            out.push(Action::Apply(new));
        }
    }

    fn host_applied(&mut self, now: Micros, number: u64, out: &mut Vec<Action>) {
        self.applied = self.applied.max(number.min(self.received));
        let before = self.relay_confirmed();
        self.confirmations.applied(self.applied);
        self.note_confirmed(before, now, out);
    }

    fn relay_confirmed(&self) -> Option<Confirmation> {
        self.confirmations.guard().relay().latest()
    }

    /// Stops following the coordinator once the feed over a parent is fresh again.
    fn note_confirmed(&mut self, before: Option<Confirmation>, now: Micros, out: &mut Vec<Action>) {
        let is_fresh = self.confirmations.guard().relay().may_act(now).is_some();
        if self.relay_confirmed() != before && is_fresh && self.parents.confirmed(now) {
            out.push(Action::Unfollow);
        }
    }

    // ---- Towards the parent.

    fn subscribe(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.questions.connected();
        self.named = 0;
        let subscribe = Subscribe { node: self.settings.id, applied: self.applied };
        out.push(Action::ToParent(Frame::Subscribe(subscribe)));
        self.report(now, out);
    }

    fn report(&mut self, now: Micros, out: &mut Vec<Action>) {
        let question = self.questions.ask(now);
        let watermark = self.told_watermark().min(self.named);
        let summary = self.summary.clone();
        out.push(Action::ToParent(Frame::Report(Report { question, watermark, summary })));
        self.report_at = now.saturating_add(self.settings.report_every);
    }

    /// What is told to the parent: a router's own, or what was added up at the last batch tick.
    fn told_watermark(&self) -> u64 {
        match (self.settings.guards.watermark, self.settings.role) {
            (false, _) => self.received,
            (true, Role::Router) => self.applied,
            (true, _) => self.watermark,
        }
    }

    fn hear_parent(&mut self, now: Micros, frame: Frame, out: &mut Vec<Action>) {
        if !self.parents.is_up() {
            return;
        }
        let heard = match frame {
            Frame::Update(update) => self.update(now, &update, out),
            Frame::Reset(reset) => self.reset(reset, out),
            Frame::Answer(_) => Ok(()),
            Frame::Subscribe(_) | Frame::Report(_) | Frame::Ask { .. } => Err(Fault::Unexpected),
        };
        if let Err(fault) = heard
            && let Some(parent) = self.parents.end(now)
        {
            out.push(Action::Disconnect { parent, fault });
        }
    }

    fn update(&mut self, now: Micros, update: &Update, out: &mut Vec<Action>) -> Result<(), Fault> {
        if !update.batch.is_empty() {
            let batch = Batch::decode(&update.batch)?;
            if batch.after > self.received && self.settings.guards.order {
                return Err(Fault::Gap { applied: self.received, after: batch.after });
            }
            self.named = self.named.max(batch.records.last().map_or(batch.after, |last| last.number));
            self.take(batch.records, out);
        }
        let Some(confirm) = update.confirm else { return Ok(()) };
        let confirmation = self.questions.answer(&confirm)?;
        self.named = self.named.max(confirm.number);
        self.parents.answered(now);
        if let Some(confirmation) = confirmation {
            let before = self.relay_confirmed();
            self.confirmations.add(Origin::Relay, confirmation);
            self.note_confirmed(before, now, out);
        }
        Ok(())
    }

    fn reset(&mut self, reset: Reset, out: &mut Vec<Action>) -> Result<(), Fault> {
        if !reset.list.is_empty() && !list::is_event(&reset.list) {
            return Err(Fault::Unreadable);
        }
        self.named = self.named.max(reset.number);
        if reset.number <= self.received {
            return Ok(());
        }
        self.received = reset.number;
        if self.settings.role != Role::Router {
            self.log.reset(&reset);
        }
        out.push(Action::ApplyReset(reset));
        Ok(())
    }

    // ---- Towards the children.

    fn hear_child(
        &mut self,
        now: Micros,
        child: ChildId,
        frame: Frame,
        out: &mut Vec<Action>,
    ) -> Result<(), Fault> {
        if !self.children.contains(child) {
            return Ok(());
        }
        self.children.hear(child, now);
        match frame {
            Frame::Subscribe(subscribe) => {
                if let Some(older) = self.children.subscribe(child, &subscribe)? {
                    self.end_child(older, Fault::Replaced, out);
                }
            }
            Frame::Report(report) => {
                let watermark = report.watermark;
                let (holder, summary) = self.children.report(child, report, self.log.latest(), now)?;
                self.leases.reported(holder, watermark, summary);
                if !self.leases.has_room(holder) {
                    return Err(Fault::Full);
                }
            }
            Frame::Ask { number } => {
                let frame = Frame::Answer(self.status(now, number));
                out.push(Action::ToChild { child, frame });
            }
            Frame::Update(_) | Frame::Reset(_) | Frame::Answer(_) => return Err(Fault::Unexpected),
        }
        Ok(())
    }

    fn remove_child(&mut self, child: ChildId) {
        let holder = self.children.remove(child);
        if let Some(holder) = holder.filter(|_| !self.settings.guards.lease) {
            self.leases.forget(&holder);
        }
    }

    fn end_child(&mut self, child: ChildId, fault: Fault, out: &mut Vec<Action>) {
        self.remove_child(child);
        out.push(Action::EndChild { child, fault });
    }

    // ---- Time.

    /// Whether there is anybody to tell or to wait for.
    fn has_ticks(&self) -> bool {
        let reports = self.settings.role == Role::Relay && self.parents.is_up();
        reports || !self.children.is_empty() || !self.leases.is_empty() || self.is_behind()
    }

    /// Whether the watermark of the last tick is lower than without any lease.
    fn is_behind(&self) -> bool {
        self.settings.role == Role::Source && self.watermark < self.applied
    }

    /// Whether reports go by a time of their own: a relay's go with its batch ticks.
    fn reports_alone(&self) -> bool {
        self.settings.role == Role::Router && self.parents.is_up()
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(step) = self.parents.step(now) {
            out.push(match step {
                Step::Connect(parent) => Action::Connect(parent),
                Step::GiveUp(parent) => Action::Disconnect { parent, fault: Fault::Silent },
                Step::GoBack(parent) => Action::Disconnect { parent, fault: Fault::Replaced },
                Step::Follow => Action::Follow { after: self.received },
            });
        }
        if self.reports_alone() && self.report_at <= now {
            self.report(now, out);
        }
        if self.has_ticks() && self.tick_at <= now {
            self.batch_tick(now, out);
            self.tick_at = now.saturating_add(self.settings.batch_every);
        }
    }

    fn batch_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        for child in self.children.silent(now, self.lease_lasts) {
            self.end_child(child, Fault::Silent, out);
        }
        self.add_up(now);
        self.send_updates(now, out);
        if self.settings.role == Role::Relay && self.parents.is_up() {
            self.report(now, out);
        }
    }

    fn add_up(&mut self, now: Micros) {
        let total = self.leases.total(now, self.applied);
        self.watermark = total.floor.map_or(self.applied, |floor| floor.min(self.applied));
        self.summary = total.summary;
        self.summary.routers += u32::from(self.settings.role == Role::Router);
    }

    fn send_updates(&mut self, now: Micros, out: &mut Vec<Action>) {
        let feed = self.confirmations.guard().relay();
        let confirmed = feed.may_act(now).and_then(|_| feed.latest());
        let mut by_cursor = BTreeMap::new();
        let mut next = |cursor| by_cursor.entry(cursor).or_insert_with(|| next(&self.log, cursor)).clone();
        for (child, connection) in self.children.iter_mut() {
            let Some(subscription) = &mut connection.subscription else { continue };
            let mut batch = Coded::default();
            if let Next::Reset(reset) = next(subscription.cursor) {
                // What comes behind it goes at once: by the next tick it may not be kept any more.
                subscription.cursor = reset.number;
                out.push(Action::ToChild { child, frame: Frame::Reset(reset) });
            }
            if let Next::Batch(records, number) = next(subscription.cursor) {
                (batch, subscription.cursor) = (records, number);
            }
            let confirm = confirmed.and_then(|confirmed| {
                answer(subscription, &mut self.leases, self.log.latest(), |received| {
                    feed.stretched(received.saturating_sub(confirmed.asked))
                })
            });
            if !batch.is_empty() || confirm.is_some() {
                out.push(Action::ToChild { child, frame: Frame::Update(Update { batch, confirm }) });
            }
        }
    }
}

/// What a child that has the log up to `cursor` is sent next.
fn next(log: &Log, cursor: u64) -> Next {
    let records = match log.since(cursor) {
        Ok(records) => records,
        Err(reset) => return Next::Reset(reset),
    };
    let mut encoder = Encoder::new(cursor);
    for record in records {
        encoder.push(record);
        if encoder.len() >= bounds::BATCH {
            break;
        }
    }
    match encoder.number() {
        number if number == cursor => Next::Nothing,
        number => Next::Batch(Coded::from(encoder.finish()), number),
    }
}

/// Answers a child's latest report, which begins its lease or lets it go on. `age`: how old this node's own word was
/// when the report came.
fn answer(
    subscription: &mut Subscription,
    leases: &mut Leases,
    number: u64,
    age: impl Fn(Micros) -> Micros,
) -> Option<Confirm> {
    let report = subscription.unanswered.take()?;
    let holder: &Holder = &subscription.holder;
    leases.answered(holder, report.received, number, report.summary);
    Some(Confirm { question: report.question, number, age: age(report.received) })
}

/// Whether children can be told of a record: a list event that they refuse would end all their connections.
fn is_sound(record: &Record) -> bool {
    match &record.entry {
        Entry::Purge { .. } => true,
        Entry::List(event) => list::is_event(event),
    }
}
