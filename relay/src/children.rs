//! The connections of a node's children: what each has been sent, and what it has asked.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::frame::{Fault, Report, Subscribe};
use crate::leases::Holder;
use crate::watermark::Summary;
use crate::{ChildId, Micros, bounds};

/// A report that is not answered yet.
#[derive(Clone, Debug)]
pub struct Unanswered {
    /// Which one.
    pub question: u64,
    /// When it came.
    pub received: Micros,
    /// What it says of who is below.
    pub summary: Summary,
}

/// A child that takes the log.
#[derive(Clone, Debug)]
pub struct Subscription {
    /// Who.
    pub holder: Holder,
    /// Up to where the log was sent to it.
    pub cursor: u64,
    /// The latest report, if it waits for its answer.
    pub unanswered: Option<Unanswered>,
    question: u64,
    watermark: u64,
}

/// A connection.
#[derive(Clone, Debug)]
pub struct Child {
    name: Rc<str>,
    /// When it said something last.
    heard: Micros,
    /// None: it only asks, or has said nothing yet.
    pub subscription: Option<Subscription>,
}

/// All connections.
#[derive(Clone, Debug, Default)]
pub struct Children {
    most: usize,
    all: BTreeMap<ChildId, Child>,
    /// Which connection a place's latest process has.
    subscribed: BTreeMap<(Rc<str>, u64), ChildId>,
}

impl Children {
    /// None yet.
    pub fn new(most: usize) -> Self {
        Self { most, ..Self::default() }
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// All of them, in the order of their numbers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ChildId, &mut Child)> {
        self.all.iter_mut().map(|(id, child)| (*id, child))
    }

    /// A new connection.
    pub fn connect(&mut self, id: ChildId, name: &str, now: Micros) -> Result<(), Fault> {
        if self.all.len() >= self.most {
            return Err(Fault::Full);
        }
        let end = (0..=name.len().min(bounds::NAME)).rev().find(|end| name.is_char_boundary(*end));
        let name = Rc::from(&name[..end.unwrap_or(0)]);
        self.all.insert(id, Child { name, heard: now, subscription: None });
        Ok(())
    }

    /// Whether this connection is up.
    pub fn contains(&self, id: ChildId) -> bool {
        self.all.contains_key(&id)
    }

    /// It has said something.
    pub fn hear(&mut self, id: ChildId, now: Micros) {
        if let Some(child) = self.all.get_mut(&id) {
            child.heard = now;
        }
    }

    /// The connection has ended; whose it was.
    pub fn remove(&mut self, id: ChildId) -> Option<Holder> {
        let holder = self.all.remove(&id)?.subscription?.holder;
        let place = (holder.name.clone(), holder.node.instance);
        if self.subscribed.get(&place) == Some(&id) {
            self.subscribed.remove(&place);
        }
        Some(holder)
    }

    /// It wants the log. Returns an older connection that it takes the place of.
    pub fn subscribe(&mut self, id: ChildId, subscribe: &Subscribe) -> Result<Option<ChildId>, Fault> {
        let Some(child) = self.all.get(&id) else { return Ok(None) };
        if child.subscription.is_some() {
            return Err(Fault::Replaced);
        }
        let place = (child.name.clone(), subscribe.node.instance);
        let older = self.subscribed.get(&place).copied();
        let here = older.and_then(|older| self.all.get(&older)?.subscription.as_ref());
        if here.is_some_and(|here| here.holder.node.incarnation > subscribe.node.incarnation) {
            return Err(Fault::Replaced);
        }
        self.subscribed.insert(place, id);
        if let Some(child) = self.all.get_mut(&id) {
            let holder = Holder { name: child.name.clone(), node: subscribe.node };
            let cursor = subscribe.applied;
            child.subscription =
                Some(Subscription { holder, cursor, unanswered: None, question: 0, watermark: 0 });
        }
        Ok(older)
    }

    /// It reports; `latest`: the log's latest number. Returns who it is, and who it says is below.
    pub fn report(
        &mut self,
        id: ChildId,
        report: Report,
        latest: u64,
        now: Micros,
    ) -> Result<(&Holder, &Summary), Fault> {
        let subscription = self.all.get_mut(&id).and_then(|child| child.subscription.as_mut());
        let subscription = subscription.ok_or(Fault::Unexpected)?;
        if report.watermark > latest {
            return Err(Fault::Ahead { claimed: report.watermark, latest });
        }
        if report.question <= subscription.question || report.watermark < subscription.watermark {
            return Err(Fault::Regressed);
        }
        let lagging = &report.summary.lagging;
        if lagging.len() > bounds::LAGGING || lagging.iter().any(|router| router.name.len() > bounds::NAME) {
            return Err(Fault::TooLong);
        }
        (subscription.question, subscription.watermark) = (report.question, report.watermark);
        let unanswered = Unanswered { question: report.question, received: now, summary: report.summary };
        Ok((&subscription.holder, &subscription.unanswered.insert(unanswered).summary))
    }

    /// Those that have said nothing for so long.
    pub fn silent(&self, now: Micros, longest: Micros) -> Vec<ChildId> {
        let silent = |child: &Child| now.saturating_sub(child.heard) > longest;
        self.all.iter().filter(|(_, child)| silent(child)).map(|(id, _)| *id).collect()
    }

    /// Bytes that it holds, about.
    pub fn memory(&self) -> usize {
        const CHILD: usize = size_of::<(ChildId, Child)>() + size_of::<((Rc<str>, u64), ChildId)>();
        self.all.len() * (CHILD + bounds::NAME)
    }
}
