//! A few nodes and their connections, in order and without delay, on a clock that the test moves.
#![allow(dead_code)]

use std::collections::VecDeque;

use silverspindle_relay::{
    Action, ChildId, Entry, Event, Fault, Frame, Guards, Micros, Node, NodeId, ParentId, PurgeTarget, Record,
    Reset, Role, Settings,
};

pub const MS: Micros = 1000;
pub const SECOND: Micros = 1_000_000;
pub const LEASE: Micros = 5 * SECOND;
pub const DIRECT: Micros = 3 * SECOND;
pub const BATCH: Micros = 500 * MS;

pub fn settings(name: &str, role: Role, parents: usize) -> Settings {
    Settings {
        id: NodeId { instance: name.bytes().map(u64::from).sum(), incarnation: 1 },
        name: name.to_owned(),
        role,
        parents,
        lease: LEASE,
        direct_lease: DIRECT,
        drift_ppm: 1000,
        batch_every: BATCH,
        report_every: SECOND,
        children: if role == Role::Router { 0 } else { 8 },
        records: 1000,
        seed: 7,
        guards: Guards::default(),
    }
}

pub fn purge(number: u64, object: u64, at_ms: u64) -> Record {
    Record { number, entry: Entry::Purge { what: PurgeTarget::Object(object), at_ms } }
}

/// Purges with these numbers, each of its own object.
pub fn purges(numbers: std::ops::RangeInclusive<u64>) -> Vec<Record> {
    numbers.map(|number| purge(number, number * 1000, 1_700_000_000_000 + number * 9)).collect()
}

/// A list event.
pub fn list(kind: u8, members: &[(u32, u8)]) -> Vec<u8> {
    let mut event = vec![kind];
    for (id, state) in members {
        let mut record = [0; 27];
        record[..4].copy_from_slice(&id.to_be_bytes());
        record[10] = *state;
        event.extend_from_slice(&record);
    }
    event
}

/// One node and its host.
pub struct Host {
    pub node: Node,
    pub name: String,
    /// Its parents among the hosts.
    pub parents: Vec<usize>,
    /// What the host was told to apply.
    pub records: Vec<Record>,
    pub resets: Vec<Reset>,
    /// It says at once that it has applied what it was told to.
    pub applies: bool,
    /// It can be connected to.
    pub reachable: bool,
    pub follows: bool,
    pub faults: Vec<Fault>,
    /// Frames that it sent.
    pub sent: Vec<Frame>,
    parent: Option<(usize, ChildId)>,
}

impl Host {
    pub fn numbers(&self) -> Vec<u64> {
        self.records.iter().map(|record| record.number).collect()
    }

    /// The parent that it is connected to.
    pub fn parent(&self) -> Option<usize> {
        self.parent.map(|(parent, _)| parent)
    }
}

#[derive(Default)]
pub struct Net {
    pub now: Micros,
    pub hosts: Vec<Host>,
    next_child: u64,
    /// When the coordinator said last that all is told.
    told: Micros,
    queue: VecDeque<(usize, Event)>,
    /// The coordinator tells sources each tick of the test that all is told.
    pub current: bool,
}

impl Net {
    pub fn new() -> Self {
        Self { now: 100 * SECOND, current: true, ..Self::default() }
    }

    pub fn add(&mut self, settings: Settings, applied: u64, parents: &[usize]) -> usize {
        let name = settings.name.clone();
        let node = Node::new(settings, applied, self.now);
        self.hosts.push(Host {
            node,
            name,
            parents: parents.to_vec(),
            records: vec![],
            resets: vec![],
            applies: true,
            reachable: true,
            follows: false,
            faults: vec![],
            sent: vec![],
            parent: None,
        });
        self.hosts.len() - 1
    }

    /// A source, a relay below it, a router below that.
    pub fn chain() -> Self {
        let mut net = Self::new();
        net.add(settings("source", Role::Source, 0), 0, &[]);
        net.add(settings("relay", Role::Relay, 1), 0, &[0]);
        net.add(settings("router", Role::Router, 1), 0, &[1]);
        net
    }

    pub fn event(&mut self, host: usize, event: Event) {
        self.queue.push_back((host, event));
        while let Some((host, event)) = self.queue.pop_front() {
            let mut out = vec![];
            self.hosts[host].node.handle(self.now, event, &mut out);
            out.into_iter().for_each(|action| self.carry_out(host, action));
        }
    }

    pub fn append(&mut self, host: usize, records: Vec<Record>) {
        self.event(host, Event::Append(records));
    }

    /// Lets time pass, each node ticking when it is due.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            let due = self.hosts.iter().map(|host| host.node.due()).min().unwrap_or(end);
            self.now = due.max(self.now).min(end).min(self.told + SECOND / 4);
            if self.now >= self.told + SECOND / 4 {
                self.told = self.now;
                self.tell_current();
            }
            for host in 0..self.hosts.len() {
                self.tick(host);
            }
        }
    }

    /// Ticks a node until it is not due any more: a connection that is up at once may be due at once.
    fn tick(&mut self, host: usize) {
        for _ in 0..4 {
            if self.hosts[host].node.due() > self.now {
                return;
            }
            self.event(host, Event::Tick);
        }
        panic!("{} is due at once again and again", self.hosts[host].name);
    }

    fn tell_current(&mut self) {
        let asked = self.now;
        for host in 0..self.hosts.len() {
            if self.current && (self.hosts[host].parents.is_empty() || self.hosts[host].follows) {
                self.event(host, Event::Current { asked });
            }
        }
    }

    /// Ends a host's connection to its parent; both are told.
    pub fn cut(&mut self, host: usize) {
        let Some((parent, child)) = self.hosts[host].parent.take() else { return };
        let place = self.hosts[host].parents.iter().position(|p| *p == parent).unwrap_or(0);
        self.event(parent, Event::ChildDown(child));
        self.event(host, Event::ParentDown(ParentId(place)));
    }

    /// A host dies, or is cut off from all: its connections end.
    pub fn unreach(&mut self, host: usize) {
        self.hosts[host].reachable = false;
        self.cut(host);
        let children: Vec<usize> =
            (0..self.hosts.len()).filter(|n| self.hosts[*n].parent().is_some_and(|p| p == host)).collect();
        children.into_iter().for_each(|child| self.cut(child));
    }

    fn carry_out(&mut self, host: usize, action: Action) {
        match action {
            Action::Connect(place) => {
                let parent = self.hosts[host].parents[place.0];
                if !self.hosts[parent].reachable || !self.hosts[host].reachable {
                    return self.queue.push_back((host, Event::ParentDown(place)));
                }
                self.next_child += 1;
                let child = ChildId(self.next_child);
                self.hosts[host].parent = Some((parent, child));
                let name = self.hosts[host].name.clone();
                self.queue.push_back((parent, Event::ChildUp { child, name }));
                self.queue.push_back((host, Event::ParentUp(place)));
            }
            Action::Disconnect { fault, .. } => {
                self.hosts[host].faults.push(fault);
                if let Some((parent, child)) = self.hosts[host].parent.take() {
                    self.queue.push_back((parent, Event::ChildDown(child)));
                }
            }
            Action::ToParent(frame) => {
                self.hosts[host].sent.push(frame.clone());
                if let Some((parent, child)) = self.hosts[host].parent {
                    self.queue.push_back((parent, Event::FromChild { child, frame: over_the_wire(&frame) }));
                }
            }
            Action::ToChild { child, frame } => {
                self.hosts[host].sent.push(frame.clone());
                if let Some(to) = self.child(host, child) {
                    self.queue.push_back((to, Event::FromParent(over_the_wire(&frame))));
                }
            }
            Action::EndChild { child, fault } => {
                self.hosts[host].faults.push(fault);
                if let Some(to) = self.child(host, child) {
                    self.hosts[to].parent = None;
                    let place = self.hosts[to].parents.iter().position(|p| *p == host).unwrap_or(0);
                    self.queue.push_back((to, Event::ParentDown(ParentId(place))));
                }
            }
            Action::Apply(records) => {
                let number = records.last().map_or(0, |record| record.number);
                self.hosts[host].records.extend(records);
                self.applied(host, number);
            }
            Action::ApplyReset(reset) => {
                let number = reset.number;
                self.hosts[host].resets.push(reset);
                self.applied(host, number);
            }
            Action::Follow { .. } => self.hosts[host].follows = true,
            Action::Unfollow => self.hosts[host].follows = false,
        }
    }

    fn applied(&mut self, host: usize, number: u64) {
        if self.hosts[host].applies {
            self.queue.push_back((host, Event::Applied { number }));
        }
    }

    fn child(&self, parent: usize, child: ChildId) -> Option<usize> {
        self.hosts.iter().position(|host| host.parent == Some((parent, child)))
    }
}

fn over_the_wire(frame: &Frame) -> Frame {
    Frame::decode(&frame.encode()).expect("a node's own frame")
}
