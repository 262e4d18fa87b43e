//! Connections between children and parents: in order each way, with delay, lost when a machine or a path is gone.

use rand::Rng;
use silverspindle_relay::{ChildId, Event, Frame, Micros, ParentId};

use super::super::meter;
use super::super::tree::one_way;
use super::super::{MS, SECOND};
use super::{Model, What};

/// A connection's place in the model's list, which only grows.
pub(super) type ConnectionIndex = usize;

/// A connection that can't be made is given up after so long.
const CONNECT: Micros = SECOND;
/// One frame in so many is sent again after that time; assumed.
const LOST_ONE_IN: u32 = 1_000;
const SENT_AGAIN: Micros = 200 * MS;
/// One ways until a child, and until its parent, has the connection: TCP, TLS 1.3, the exchange's first message.
const CHILD_UP_AFTER: u64 = 4;
const PARENT_UP_AFTER: u64 = 5;
/// Bytes of a piece of a frame.
const PIECE: usize = 48 * 1024;

/// One end of a connection.
#[derive(Clone, Copy, Debug, Default)]
struct End {
    process: usize,
    life: u64,
    open: bool,
    /// What comes to this end comes no earlier.
    ready: Micros,
}

/// A connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    child: End,
    parent: End,
    place: ParentId,
    /// Something was lost on it for good: TCP ends it as soon as either side sends again on an open path.
    broken: bool,
}

/// Which end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Child,
    Parent,
}

/// What happens on the network.
#[derive(Debug)]
pub(super) enum Happening {
    /// It could not be made.
    Failed(ConnectionIndex),
    /// It is there for the end.
    Up(ConnectionIndex, Side),
    /// The end learns that it has ended.
    Down(ConnectionIndex, Side),
    /// A frame arrives at the end.
    Frame(ConnectionIndex, Side, Vec<u8>),
}

impl Connection {
    fn end(&mut self, side: Side) -> &mut End {
        match side {
            Side::Child => &mut self.child,
            Side::Parent => &mut self.parent,
        }
    }
}

impl Side {
    fn other(self) -> Self {
        match self {
            Side::Child => Side::Parent,
            Side::Parent => Side::Child,
        }
    }
}

impl Model {
    /// Whether messages between two regions arrive.
    pub(super) fn path_is_open(&self, one: usize, other: usize) -> bool {
        one == other || self.cut.is_none_or(|cut| cut != one && cut != other)
    }

    fn region(&self, process: usize) -> usize {
        self.places[process].region
    }

    fn delay(&mut self, from: usize, to: usize) -> Micros {
        let way = one_way(self.region(from), self.region(to));
        way + self.rng.random_range(0..=way / 5)
    }

    fn lives(&self, end: End) -> bool {
        let process = &self.processes[end.process];
        process.life == end.life && process.node.is_some()
    }

    fn network_at(&mut self, at: Micros, happening: Happening) {
        self.queue.push(at, What::Network(happening));
    }

    pub(super) fn connect(&mut self, child: usize, place: ParentId) {
        let Some(parent) = self.places[child].parents.get(place.0).copied() else { return };
        let index = self.connections.len();
        let end = |process: usize, life: u64| End { process, life, ..End::default() };
        let connection = Connection {
            child: end(child, self.processes[child].life),
            parent: end(parent, self.processes[parent].life),
            place,
            broken: false,
        };
        self.connections.push(connection);
        self.processes[child].links[place.0] = Some(index);
        self.mix(5, child, parent as u64);
        let open = self.path_is_open(self.region(child), self.region(parent));
        let way = self.delay(child, parent);
        let parent_up = self.processes[parent].node.is_some();
        if parent_up && open {
            self.network_at(self.now + CHILD_UP_AFTER * way, Happening::Up(index, Side::Child));
            self.network_at(self.now + PARENT_UP_AFTER * way, Happening::Up(index, Side::Parent));
            self.connections[index].parent.ready = self.now + PARENT_UP_AFTER * way;
            self.meter.handshake(child, parent);
        } else if self.processes[parent].silent || !open {
            self.network_at(self.now + CONNECT, Happening::Failed(index));
        } else {
            self.network_at(self.now + 2 * way, Happening::Failed(index));
        }
    }

    pub(super) fn network(&mut self, happening: Happening) {
        match happening {
            Happening::Failed(index) => self.failed(index),
            Happening::Up(index, side) => self.up(index, side),
            Happening::Down(index, side) => self.down(index, side),
            Happening::Frame(index, side, bytes) => self.arrives(index, side, &bytes),
        }
    }

    /// Whether the child still wants this connection.
    fn is_wanted(&self, index: ConnectionIndex) -> bool {
        let Connection { child, place, .. } = self.connections[index];
        self.lives(child) && self.processes[child.process].links[place.0] == Some(index)
    }

    fn failed(&mut self, index: ConnectionIndex) {
        if self.is_wanted(index) {
            let Connection { child, place, .. } = self.connections[index];
            self.processes[child.process].links[place.0] = None;
            self.handle(child.process, Event::ParentDown(place));
        }
    }

    fn up(&mut self, index: ConnectionIndex, side: Side) {
        let Connection { child, parent, place, .. } = self.connections[index];
        let open = self.path_is_open(self.region(child.process), self.region(parent.process));
        if !open || !self.lives(parent) {
            self.connections[index].broken = true;
            // The side that knows of the connection finds out later; the child that waits for it does now.
            if side == Side::Child {
                self.failed(index);
            }
            return;
        }
        match side {
            Side::Child if self.is_wanted(index) => {
                self.connections[index].child.open = true;
                self.processes[child.process].current = Some(index);
                self.handle(child.process, Event::ParentUp(place));
            }
            Side::Parent if self.lives(child) && self.connections[index].child.open => {
                self.connections[index].parent.open = true;
                let name = format!("r{}", child.process);
                let event = Event::ChildUp { child: ChildId(index as u64), name };
                self.handle(parent.process, event);
            }
            _ => {}
        }
    }

    /// An end learns that the connection has gone.
    fn down(&mut self, index: ConnectionIndex, side: Side) {
        let end = *self.connections[index].end(side);
        if !end.open || !self.lives(end) {
            return;
        }
        self.connections[index].end(side).open = false;
        self.mix(6, end.process, index as u64);
        match side {
            Side::Child => {
                let place = self.connections[index].place;
                self.forget(index);
                self.handle(end.process, Event::ParentDown(place));
            }
            Side::Parent => self.handle(end.process, Event::ChildDown(ChildId(index as u64))),
        }
    }

    /// The child holds this connection no more.
    fn forget(&mut self, index: ConnectionIndex) {
        let Connection { child, place, .. } = self.connections[index];
        let process = &mut self.processes[child.process];
        if process.links[place.0] == Some(index) {
            process.links[place.0] = None;
        }
        if process.current == Some(index) {
            process.current = None;
        }
    }

    pub(super) fn disconnect(&mut self, child: usize, place: ParentId) {
        let Some(index) = self.processes[child].links.get(place.0).copied().flatten() else { return };
        self.forget(index);
        self.connections[index].child.open = false;
        self.tell_of_end(index, Side::Parent);
    }

    pub(super) fn end_child(&mut self, child: ChildId) {
        let index = child.0 as usize;
        self.connections[index].parent.open = false;
        self.tell_of_end(index, Side::Child);
    }

    /// The other side is told by TCP that the connection has ended, behind all that was sent before.
    fn tell_of_end(&mut self, index: ConnectionIndex, to: Side) {
        let mut connection = self.connections[index];
        let (from, to_end) = (*connection.end(to.other()), *connection.end(to));
        if !self.path_is_open(self.region(from.process), self.region(to_end.process)) {
            self.connections[index].broken = true;
            return;
        }
        let at = (self.now + self.delay(from.process, to_end.process)).max(to_end.ready + 1);
        self.network_at(at, Happening::Down(index, to));
    }

    pub(super) fn send_to_parent(&mut self, child: usize, frame: &Frame) {
        if let Some(index) = self.processes[child].current {
            self.send(index, Side::Parent, frame);
        }
    }

    pub(super) fn send_to_child(&mut self, child: ChildId, frame: &Frame) {
        let index = child.0 as usize;
        if self.connections[index].parent.open {
            self.send(index, Side::Child, frame);
        }
    }

    fn send(&mut self, index: ConnectionIndex, to: Side, frame: &Frame) {
        let mut connection = self.connections[index];
        let (from, to_end) = (*connection.end(to.other()), *connection.end(to));
        let bytes = self.meter.time(from.process, || frame.encode());
        self.meter.sent(from.process, bytes.len(), on_wire(bytes.len()));
        let open = self.path_is_open(self.region(from.process), self.region(to_end.process));
        let gone = !self.lives(to_end);
        if open && (connection.broken || (gone && !self.processes[to_end.process].silent)) {
            // A reset comes back.
            let back = self.now + 2 * self.delay(from.process, to_end.process);
            self.network_at(back, Happening::Down(index, to.other()));
            return;
        }
        if !open || gone {
            self.connections[index].broken = true;
            return;
        }
        let again = if self.rng.random_range(0..LOST_ONE_IN) == 0 { SENT_AGAIN } else { 0 };
        let at = self.now + again + self.delay(from.process, to_end.process);
        let at = at.max(to_end.ready + 1);
        self.connections[index].end(to).ready = at;
        self.network_at(at, Happening::Frame(index, to, bytes));
    }

    fn arrives(&mut self, index: ConnectionIndex, side: Side, bytes: &[u8]) {
        let mut connection = self.connections[index];
        let (from, to) = (*connection.end(side.other()), *connection.end(side));
        if !self.path_is_open(self.region(from.process), self.region(to.process)) {
            self.connections[index].broken = true;
            return;
        }
        if !to.open || !self.lives(to) {
            return;
        }
        self.meter.received(to.process, bytes.len(), on_wire(bytes.len()));
        let Ok(frame) = self.meter.time(to.process, || Frame::decode(bytes)) else {
            debug_assert!(false, "a node's own frame");
            return;
        };
        self.mix(7, to.process, bytes.len() as u64);
        let event = match side {
            Side::Child => Event::FromParent(frame),
            Side::Parent => Event::FromChild { child: ChildId(index as u64), frame },
        };
        self.handle(to.process, event);
    }

    /// All connections of a process that dies: the other sides are told, unless its machine dies with it.
    pub(super) fn end_all(&mut self, process: usize, told: bool) {
        let life = self.processes[process].life;
        for index in 0..self.connections.len() {
            for side in [Side::Child, Side::Parent] {
                let end = *self.connections[index].end(side);
                if end.process != process || end.life != life || !end.open {
                    continue;
                }
                self.connections[index].end(side).open = false;
                if told {
                    self.tell_of_end(index, side.other());
                }
            }
        }
    }
}

fn on_wire(bytes: usize) -> meter::OnWire {
    meter::exchange_frame(bytes as u64, bytes.div_ceil(PIECE).max(1) as u64)
}
