//! Connections of children and of staff who ask, by the exchange's listener: bounded in number, in what waits for each
//! and in what waits of them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bitternhold::Micros;
use silverspindle_knowledge::InstanceId;
use silverspindle_relay::{ChildId, Event, Fault, Frame};

use super::limited::Limited;
use crate::links::{Accepted, Service, run_duplex};

/// Frames of children that may wait at the core; who sends more is cut off.
const INBOX: usize = 4096;
/// Bytes of a child's frame: a report names a few routers.
const MOST: usize = 16 * 1024;
/// Frames that may wait for a child; one that takes none is cut off.
const OUTBOX: usize = 16;
/// Connections under one name: of more the oldest ends, as its peer has most likely given it up.
const OF_ONE_NAME: usize = 8;
/// A connection on which nothing was sent for so many leases is closed.
const IDLE: u32 = 10;

struct Child {
    name: String,
    frames: Sender<Frame>,
}

struct Shared {
    all: RefCell<BTreeMap<u64, Child>>,
    next: Cell<u64>,
    most: usize,
    idle: Duration,
    inbox: Sender<Event>,
    limited: Rc<Limited>,
}

/// The connections; clones are the same.
#[derive(Clone)]
pub struct Children(Rc<Shared>);

impl Children {
    /// Room for so many; gives where their frames come out.
    pub fn new(most: usize, lease: Micros) -> (Self, Receiver<Event>) {
        let (inbox, heard) = async_channel::bounded(INBOX);
        let idle = Duration::from_micros(lease) * IDLE;
        let shared = Shared {
            all: RefCell::default(),
            next: Cell::new(0),
            most,
            idle,
            inbox,
            limited: Rc::new(Limited::default()),
        };
        (Self(Rc::new(shared)), heard)
    }

    /// What is said of peers' faults.
    pub fn limited(&self) -> Rc<Limited> {
        self.0.limited.clone()
    }

    /// Sends to a child. False: it takes nothing, and is cut off.
    pub fn send(&self, child: ChildId, frame: Frame) -> bool {
        let sent = self.0.all.borrow().get(&child.0).is_none_or(|c| c.frames.try_send(frame).is_ok());
        if !sent && let Some(child) = self.0.all.borrow_mut().remove(&child.0) {
            self.0.limited.warn(&child.name, "a child takes nothing: its connection ends");
        }
        sent
    }

    /// Ends a child's connection for what it did.
    pub fn end(&self, child: ChildId, fault: Fault) {
        if let Some(child) = self.0.all.borrow_mut().remove(&child.0) {
            self.0.limited.warn(&child.name, format_args!("a child's connection ends: {fault}"));
        }
    }

    fn remove(&self, number: u64) {
        if self.0.all.borrow_mut().remove(&number).is_some() {
            // Where there is no room for it the core finds it silent.
            let _ = self.0.inbox.try_send(Event::ChildDown(ChildId(number)));
        }
    }

    fn heard(&self, number: u64, name: &str, frame: Frame) -> io::Result<()> {
        if let Frame::Subscribe(subscribe) = &frame
            && subscribe.node.instance != InstanceId::of(name).0
        {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the name is not the certificate's"));
        }
        // What is no longer listed has been ended by the core.
        if !self.0.all.borrow().contains_key(&number) {
            return Err(io::Error::new(io::ErrorKind::ConnectionAborted, "ended"));
        }
        let event = Event::FromChild { child: ChildId(number), frame };
        let full = |_| io::Error::other("more frames than can be taken");
        self.0.inbox.try_send(event).map_err(full)
    }
}

/// A connection on the list; off it when dropped.
struct OnList {
    children: Children,
    number: u64,
}

impl Drop for OnList {
    fn drop(&mut self) {
        self.children.remove(self.number);
    }
}

impl Service for Children {
    fn accept(&self, name: &str, stream: Accepted) -> Result<Pin<Box<dyn Future<Output = ()>>>, String> {
        let of_name = |all: &BTreeMap<u64, Child>| {
            all.iter().filter(|(_, c)| c.name == name).map(|(n, _)| *n).collect::<Vec<_>>()
        };
        let same = of_name(&self.0.all.borrow());
        if let Some(oldest) = same.first().filter(|_| same.len() >= OF_ONE_NAME) {
            self.remove(*oldest);
        }
        if self.0.all.borrow().len() >= self.0.most {
            return Err("too many children and callers".to_owned());
        }
        let number = self.0.next.get() + 1;
        self.0.next.set(number);
        let up = Event::ChildUp { child: ChildId(number), name: name.to_owned() };
        self.0.inbox.try_send(up).map_err(|_| "more frames than can be taken")?;
        let (send, frames) = async_channel::bounded(OUTBOX);
        self.0.all.borrow_mut().insert(number, Child { name: name.to_owned(), frames: send });
        let (on_list, name) = (OnList { children: self.clone(), number }, name.to_owned());
        Ok(Box::pin(async move {
            let children = &on_list.children;
            let heard = |frame| children.heard(on_list.number, &name, frame);
            match run_duplex(stream, &frames, Some(children.0.idle), MOST, heard).await {
                Err(e) if e.kind() == io::ErrorKind::InvalidData => {
                    children.0.limited.warn(&name, format_args!("a child's connection ends: {e}"));
                }
                Err(e) => tracing::debug!(peer = name, "relay: a child: {e}"),
                Ok(()) => tracing::debug!(peer = name, "relay: a child has closed"),
            }
        }))
    }
}
