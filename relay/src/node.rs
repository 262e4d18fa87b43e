//! One node's part: a source's, a relay's or a router's. Events in, actions out, carried out in order.

use crate::frame::{Fault, Frame};
use crate::log::{Record, Reset};
use crate::watermark::Status;
use crate::{Fence, Micros, NodeId};

/// Guards that the simulator can take out, to see that its checks find what they guard against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// Nobody acts on an older confirmation than the lease.
    pub fence: bool,
    /// Who is silent counts until its lease has certainly run out, and a source that starts waits for all leases.
    pub lease: bool,
    /// What is reported is what everybody below has applied, not what was sent to them.
    pub watermark: bool,
    /// A batch is applied only where it joins on, and no record twice.
    pub order: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self { fence: true, lease: true, watermark: true, order: true }
    }
}

/// What a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Its records come from the coordinator ([`Event::Append`]).
    Source,
    /// It takes the log from a parent and passes it on.
    Relay,
    /// It takes the log from a parent.
    Router,
}

/// A parent's place in [`Settings::parents`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ParentId(pub usize);

/// A child's connection, numbered by the host; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChildId(pub u64);

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Which process it is.
    pub id: NodeId,
    /// Its name, as in its certificate.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// How many parents there are to choose from, the preferred one first.
    pub parents: usize,
    /// The lease: how old a confirmation may be that is acted on. The same at every node.
    pub lease: Micros,
    /// The lease of a router that follows the coordinator itself, where it reaches no parent: shorter, as nobody
    /// counts it. A source says of no number that it is everywhere before so long after it came.
    pub direct_lease: Micros,
    /// Steady clocks may run wrong by so many parts in a million.
    pub drift_ppm: u64,
    /// Records are passed on at most so often.
    pub batch_every: Micros,
    /// A child reports so often.
    pub report_every: Micros,
    /// Children that it takes; 0: none.
    pub children: usize,
    /// Records that it keeps for children that come back.
    pub records: usize,
    /// For all that is drawn: waits before a reconnect, and when the first report goes.
    pub seed: u64,
    /// All on, but in the simulator.
    pub guards: Guards,
}

/// What happens to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// It is time; see [`Node::due`].
    Tick,
    /// The coordinator told these (a source, or a router told to [`Action::Follow`]).
    Append(Vec<Record>),
    /// The coordinator has told all that it knew at this time of the own clock.
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

/// See the module's text.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    fence: Fence,
}

impl Node {
    /// A node that starts now. `applied`: up to where its host has applied the log, from `known`; a source begins its
    /// log behind that.
    pub fn new(settings: Settings, applied: u64, now: Micros) -> Self {
        let fence = Fence::new(settings.lease, settings.drift_ppm, settings.guards.fence);
        let _ = (applied, now);
        Self { settings, fence }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let _ = (now, event, out);
        unimplemented!("{}", self.settings.name)
    }

    /// When it wants [`Event::Tick`] at the latest.
    pub fn due(&self) -> Micros {
        unimplemented!()
    }

    /// The guard that whoever acts asks: clones look at the same confirmation.
    pub fn fence(&self) -> Fence {
        self.fence.clone()
    }

    /// Up to where the host has applied the log.
    pub fn applied(&self) -> u64 {
        unimplemented!()
    }

    /// How far a number has come, 0 for the latest; asked of a source for the whole fleet below it.
    pub fn status(&self, now: Micros, number: u64) -> Status {
        let _ = (now, number);
        unimplemented!()
    }

    /// Bytes that it holds, about: log, leases, queues.
    pub fn memory(&self) -> usize {
        unimplemented!()
    }
}
