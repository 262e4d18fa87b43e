//! Connections of the simulated processes: in order, without gaps, and each may end at any time. Where a way is cut, what
//! is sent waits; it comes late once the way is there again, or never, if the connection ends before.

use std::collections::{BTreeMap, VecDeque};

use silverspindle_relay::{Micros, ParentId, Record};

/// A connection, numbered over the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(pub u64);

/// What goes over a connection.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// The child asks for the connection.
    Open,
    /// The parent's machine has taken it.
    Accepted,
    /// Nobody listens there.
    Refused,
    /// The other end has closed it, or died.
    Closed,
    /// A frame of the mechanism's.
    Frame(Vec<u8>),
    /// To the coordinator: tell what comes after this number.
    Hello { after: u64 },
    /// The coordinator's events.
    Events(Vec<Record>),
    /// To the coordinator: is all told? Asked at this time of the asker's clock.
    Poll { asked: Micros },
    /// All is told.
    Told { asked: Micros },
}

/// An end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Child,
    Parent,
}

impl End {
    pub fn other(self) -> Self {
        match self {
            End::Child => End::Parent,
            End::Parent => End::Child,
        }
    }
}

/// A way from one end to the other.
#[derive(Default)]
struct Way {
    /// When what was sent last comes: nothing overtakes it.
    last: Micros,
    /// What waits because the way is cut.
    waiting: VecDeque<Message>,
}

pub(super) struct Connection {
    pub child: usize,
    /// 0: the coordinator.
    pub parent: usize,
    /// The parent's place among the child's.
    pub place: ParentId,
    to_parent: Way,
    to_child: Way,
    child_closed: bool,
    parent_closed: bool,
    /// Its end for want of answers is drawn.
    pub ending: bool,
}

impl Connection {
    pub fn at(&self, end: End) -> usize {
        match end {
            End::Child => self.child,
            End::Parent => self.parent,
        }
    }

    pub fn is_closed(&self, end: End) -> bool {
        match end {
            End::Child => self.child_closed,
            End::Parent => self.parent_closed,
        }
    }

    fn way_to(&mut self, end: End) -> &mut Way {
        match end {
            End::Child => &mut self.to_child,
            End::Parent => &mut self.to_parent,
        }
    }
}

#[derive(Default)]
pub(super) struct Network {
    pub connections: BTreeMap<ConnectionId, Connection>,
    last: u64,
    /// Cuts by directed pair, counted.
    cut: BTreeMap<(usize, usize), u32>,
    /// So many in a hundred messages are late, as after a loss.
    pub loss: u32,
    /// Messages take up to so much longer.
    pub slow: Micros,
}

impl Network {
    pub fn open(&mut self, child: usize, parent: usize, place: ParentId) -> ConnectionId {
        self.last += 1;
        let id = ConnectionId(self.last);
        let connection = Connection {
            child,
            parent,
            place,
            to_parent: Way::default(),
            to_child: Way::default(),
            child_closed: false,
            parent_closed: false,
            ending: false,
        };
        self.connections.insert(id, connection);
        id
    }

    pub fn cut(&mut self, from: usize, to: usize, begins: bool) {
        let count = self.cut.entry((from, to)).or_default();
        *count = if begins { *count + 1 } else { count.saturating_sub(1) };
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.get(&(from, to)).is_some_and(|count| *count > 0)
    }

    /// Sends to an end. Returns when the message comes; none: it waits.
    pub fn send(&mut self, id: ConnectionId, to: End, message: &Message, at: Micros) -> Option<Micros> {
        let (from, target) = {
            let connection = self.connections.get(&id)?;
            (connection.at(to.other()), connection.at(to))
        };
        let is_cut = self.is_cut(from, target);
        let way = self.connections.get_mut(&id)?.way_to(to);
        if is_cut || !way.waiting.is_empty() {
            way.waiting.push_back(message.clone());
            return None;
        }
        way.last = way.last.max(at) + 1;
        Some(way.last)
    }

    /// Whether something waits on a cut way.
    pub fn is_stuck(&self, id: ConnectionId) -> bool {
        let waits = |connection: &Connection| {
            !connection.to_parent.waiting.is_empty() || !connection.to_child.waiting.is_empty()
        };
        self.connections.get(&id).is_some_and(waits)
    }

    /// What waits no longer, as a cut has ended.
    pub fn healed(&mut self) -> Vec<(ConnectionId, End, Message)> {
        let mut all = Vec::new();
        let cut = &self.cut;
        let is_cut = |from, to| cut.get(&(from, to)).is_some_and(|count| *count > 0);
        for (id, connection) in &mut self.connections {
            let (child, parent) = (connection.child, connection.parent);
            if !is_cut(child, parent) {
                all.extend(connection.to_parent.waiting.drain(..).map(|m| (*id, End::Parent, m)));
            }
            if !is_cut(parent, child) {
                all.extend(connection.to_child.waiting.drain(..).map(|m| (*id, End::Child, m)));
            }
        }
        all
    }

    /// An end is closed: nothing comes there any more. Returns whether it was open.
    pub fn close(&mut self, id: ConnectionId, end: End) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let closed = match end {
            End::Child => &mut connection.child_closed,
            End::Parent => &mut connection.parent_closed,
        };
        let was_open = !std::mem::replace(closed, true);
        if connection.child_closed && connection.parent_closed {
            self.connections.remove(&id);
        }
        was_open
    }

    /// The open ends of a process.
    pub fn of(&self, peer: usize) -> Vec<(ConnectionId, End)> {
        let ends = |(id, connection): (&ConnectionId, &Connection)| {
            let mine = |end| (connection.at(end) == peer && !connection.is_closed(end)).then_some((*id, end));
            [mine(End::Child), mine(End::Parent)].into_iter().flatten().collect::<Vec<_>>()
        };
        self.connections.iter().flat_map(ends).collect()
    }
}
