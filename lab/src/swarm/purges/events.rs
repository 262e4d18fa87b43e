//! What happens in the swarm of purges, event by event.

use std::collections::VecDeque;

use rand::Rng;
use silverspindle_relay::{Action, ChildId, Event, Frame, Micros, Mode, Node, ParentId, Role};

use super::coordinator::OBJECTS;
use super::host::Host;
use super::network::{ConnectionId, End, Message};
use super::process::{Input, Work};
use super::{
    ACT_EVERY, ASK_EVERY, EVENT_EVERY, KNOWN_EVERY, Kind, LEASE, MS, POLL_EVERY, SECOND, What, World,
};

/// The coordinator's peer number.
const COORDINATOR: usize = 0;
/// A connection to the coordinator that says nothing for so long is ended, by the process's own clock.
const COORDINATOR_SILENT: Micros = LEASE / 2;
/// Copies are as old as that at most.
const OLDEST_COPY: Micros = 3 * LEASE;
/// After a crash or a cut, the other end learns of it within this time where no message tells it.
const UNNOTICED: Micros = 4 * SECOND;

impl World<'_> {
    pub(super) fn event(&mut self, what: What) {
        match what {
            What::Due(peer) => {
                if self.processes[peer].due == self.now {
                    self.handle(peer, Event::Tick);
                }
            }
            What::Message(id, end, message) => self.arrived(id, end, message),
            What::Reset(id) => self.end_if_stuck(id),
            What::Applied(peer, life) => {
                if self.processes[peer].life == life {
                    self.input(peer, Input::Applied);
                }
            }
            What::Poll(peer, id) => self.poll(peer, id),
            What::Follow(peer, life) => {
                if self.processes[peer].life == life {
                    self.follow_coordinator(peer);
                }
            }
            What::Act(peer) => {
                self.act(peer);
                let at = self.now + self.rng.random_range(ACT_EVERY / 2..ACT_EVERY * 3 / 2);
                self.at(at, What::Act(peer));
            }
            What::Ask => self.ask(),
            What::CoordinatorEvent => {
                self.number_event();
                let at = self.now + self.rng.random_range(EVENT_EVERY / 8..EVENT_EVERY * 15 / 8);
                self.at(at, What::CoordinatorEvent);
            }
            What::WriteKnown => {
                self.coordinator.write_known();
                self.at(self.now + KNOWN_EVERY, What::WriteKnown);
            }
            What::Fault(n) => self.fault(self.faults[n].kind, true),
            What::Heal(n) => self.fault(self.faults[n].kind, false),
            What::Healed => self.last_call = Some(self.number_event()),
            What::End => {
                let missing = self.missing();
                self.broken(missing);
            }
        }
    }

    // ---- Processes.

    pub(super) fn start(&mut self, peer: usize) {
        self.processes[peer].life += 1;
        let settings = self.settings(peer);
        let now = self.processes[peer].local(self.now);
        let known = &self.coordinator.known;
        let node = match settings.role {
            Role::Router => Node::new(settings, known.number, now),
            Role::Source | Role::Relay => Node::starting_at(settings, known, now),
        };
        let host = Host::starting(&self.coordinator);
        let process = &mut self.processes[peer];
        process.guard = Some(node.feed_guard());
        (process.node, process.host) = (Some(node), host);
        if self.layout.role(peer) == Role::Source {
            self.follow_coordinator(peer);
        }
        self.schedule(peer);
    }

    fn crash(&mut self, peer: usize) {
        self.processes[peer].die();
        self.processes[peer].life += 1;
        for (id, end) in self.network.of(peer) {
            self.network.close(id, end);
            // The machine says so, or nobody does.
            let at =
                if self.rng.random() { self.now } else { self.now + self.rng.random_range(0..UNNOTICED) };
            self.send_at(id, end.other(), Message::Closed, at);
        }
    }

    fn thaw(&mut self, peer: usize) {
        // Whoever stood still acts first, on what it knew before.
        self.act(peer);
        let mut backlog = std::mem::take(&mut self.processes[peer].backlog);
        while let Some(input) = backlog.pop_front() {
            self.input(peer, input);
        }
        self.schedule(peer);
    }

    fn runs(&self, peer: usize) -> bool {
        self.processes[peer].node.is_some() && self.processes[peer].still == 0
    }

    fn input(&mut self, peer: usize, input: Input) {
        if !self.runs(peer) {
            if self.processes[peer].node.is_some() {
                self.processes[peer].backlog.push_back(input);
            }
            return;
        }
        match input {
            Input::Message(id, end, message) => self.message(peer, id, end, message),
            Input::Applied => self.apply(peer),
        }
    }

    fn handle(&mut self, peer: usize, event: Event) {
        if !self.runs(peer) {
            return;
        }
        let now = self.processes[peer].local(self.now);
        let Some(node) = &mut self.processes[peer].node else { return };
        let mut out = Vec::new();
        node.handle(now, event, &mut out);
        out.into_iter().for_each(|action| self.carry_out(peer, action));
        self.schedule(peer);
    }

    fn schedule(&mut self, peer: usize) {
        let process = &mut self.processes[peer];
        let Some(node) = &process.node else { return };
        if node.due() == Micros::MAX {
            return;
        }
        let due = process.of_local(node.due(), self.now);
        if process.due != due {
            process.due = due;
            self.at(due, What::Due(peer));
        }
    }

    fn carry_out(&mut self, peer: usize, action: Action) {
        match action {
            Action::Connect(place) => {
                let parent = self.layout.parents(peer)[place.0];
                let id = self.network.open(peer, parent, place);
                self.processes[peer].parent = Some(id);
                self.send(id, End::Parent, Message::Open);
            }
            Action::Disconnect { .. } => {
                if let Some(id) = self.processes[peer].parent.take() {
                    self.close(id, End::Child);
                }
            }
            Action::ToParent(frame) => {
                if let Some(id) = self.processes[peer].parent {
                    self.send_frame(id, End::Parent, &frame);
                }
            }
            Action::ToChild { child, frame } => self.send_frame(ConnectionId(child.0), End::Child, &frame),
            Action::EndChild { child, .. } => self.close(ConnectionId(child.0), End::Parent),
            Action::Apply(records) => self.work(peer, Work::Records(records)),
            Action::ApplyReset(reset) => self.work(peer, Work::Reset(reset)),
            Action::Follow { .. } => {
                self.processes[peer].follows = true;
                self.follow_coordinator(peer);
            }
            Action::Unfollow => {
                self.processes[peer].follows = false;
                if let Some((id, _)) = self.processes[peer].feed.take() {
                    self.close(id, End::Child);
                }
            }
        }
    }

    // ---- What a host applies.

    fn work(&mut self, peer: usize, work: Work) {
        let takes = if self.rng.random_range(0..20) == 0 { 300 * MS } else { 20 * MS };
        let takes = self.rng.random_range(0..takes);
        let process = &mut self.processes[peer];
        process.work.push_back(work);
        process.busy_until = process.busy_until.max(self.now) + takes + 1;
        let (at, life) = (process.busy_until, process.life);
        self.at(at, What::Applied(peer, life));
    }

    fn apply(&mut self, peer: usize) {
        let process = &mut self.processes[peer];
        let Some(work) = process.work.pop_front() else { return };
        let (applied, number) = match &work {
            Work::Records(records) => {
                let number = records.last().map_or(0, |record| record.number);
                (process.host.apply(records, &self.coordinator), number)
            }
            Work::Reset(reset) => (process.host.reset(reset, self.now, &self.coordinator), reset.number),
        };
        if let Err(wrong) = applied {
            let name = self.layout.name(peer);
            return self.broken(format!("{name} {wrong}"));
        }
        self.handle(peer, Event::Applied { number });
    }

    // ---- The promises.

    /// A router serves a copy of any age, if its purges and its feed at this moment let it.
    fn act(&mut self, peer: usize) {
        if !self.runs(peer) || self.layout.role(peer) != Role::Router {
            return;
        }
        let process = &self.processes[peer];
        let Some(guard) = &process.guard else { return };
        let feed = guard.read(process.local(self.now));
        let object = self.rng.random_range(0..OBJECTS);
        let stamp_ms = self.now.saturating_sub(self.rng.random_range(0..OLDEST_COPY)) / MS;
        let age = process.lasts(self.now - stamp_ms * MS);
        if !process.host.serves(object, stamp_ms, age, &feed) {
            return;
        }
        self.out.acts += 1;
        self.out.held += u64::from(feed.mode == Mode::Safe);
        if let Err(wrong) = self.checker.served(object, stamp_ms, self.now, &self.coordinator) {
            let name = self.layout.name(peer);
            self.broken(format!("{name} ({:?}, applied {}) {wrong}", feed.mode, feed.applied));
        }
    }

    /// Staff ask one of the sources for the highest number that is everywhere.
    fn ask(&mut self) {
        self.at(self.now + ASK_EVERY, What::Ask);
        let source = self.rng.random_range(0..self.layout.sources);
        let peer = 1 + source;
        if !self.runs(peer) {
            return;
        }
        let process = &self.processes[peer];
        let now = process.local(self.now);
        let Some(node) = &process.node else { return };
        let (mut low, mut high) = (0, node.status(now, 0).latest);
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            match node.status(now, middle).everywhere {
                Some(true) => low = middle,
                Some(false) | None => high = middle - 1,
            }
        }
        self.checker.answered(source, low);
        self.look_for_progress();
    }

    fn look_for_progress(&mut self) {
        let everywhere = self.checker.everywhere();
        let Some(call) = self.last_call.filter(|call| *call <= everywhere) else { return };
        debug_assert!(call > 0);
        if (self.layout.first_router()..self.layout.peers()).all(|peer| self.is_confirmed(peer)) {
            self.out.recovered = self.now - super::TROUBLE;
        }
    }

    /// Whether a router's feed over a relay is confirmed.
    pub(super) fn is_confirmed(&self, peer: usize) -> bool {
        let process = &self.processes[peer];
        let feed = process.guard.as_ref().map(|guard| guard.read(process.local(self.now)));
        feed.is_some_and(|feed| feed.mode == Mode::Relay)
    }

    // ---- Connections.

    fn send_frame(&mut self, id: ConnectionId, to: End, frame: &Frame) {
        self.out.frames += 1;
        let digest = self.out.digest ^ self.now ^ id.0 << 32;
        self.out.digest = digest.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
        self.send(id, to, Message::Frame(frame.encode()));
    }

    fn send(&mut self, id: ConnectionId, to: End, message: Message) {
        self.send_at(id, to, message, self.now);
    }

    fn send_at(&mut self, id: ConnectionId, to: End, message: Message, at: Micros) {
        let mut way = self.rng.random_range(100..2 * MS) + self.rng.random_range(0..=self.network.slow);
        if self.rng.random_range(0..100) < self.network.loss {
            way += self.rng.random_range(200 * MS..SECOND);
            if self.rng.random_range(0..10) == 0 {
                self.end_both(id);
            }
        }
        match self.network.send(id, to, &message, at + way) {
            Some(at) => self.at(at, What::Message(id, to, message)),
            None => self.draw_end(id),
        }
    }

    /// A connection on a cut way ends after a while, unless the way is there again before.
    fn draw_end(&mut self, id: ConnectionId) {
        let Some(connection) = self.network.connections.get_mut(&id).filter(|c| !c.ending) else { return };
        connection.ending = true;
        let at = self.now + self.rng.random_range(300 * MS..6 * SECOND);
        self.at(at, What::Reset(id));
    }

    fn end_if_stuck(&mut self, id: ConnectionId) {
        match self.network.is_stuck(id) {
            true => self.end_both(id),
            false => {
                if let Some(connection) = self.network.connections.get_mut(&id) {
                    connection.ending = false;
                }
            }
        }
    }

    /// The connection is gone; each end learns it at a time of its own.
    fn end_both(&mut self, id: ConnectionId) {
        for end in [End::Child, End::Parent] {
            let at = self.now + self.rng.random_range(0..UNNOTICED / 2);
            self.at(at, What::Message(id, end, Message::Closed));
        }
    }

    fn close(&mut self, id: ConnectionId, end: End) {
        if self.network.connections.get(&id).is_some_and(|connection| !connection.is_closed(end)) {
            self.send(id, end.other(), Message::Closed);
            self.network.close(id, end);
        }
    }

    /// A message has come to a machine.
    fn arrived(&mut self, id: ConnectionId, end: End, message: Message) {
        let Some(connection) = self.network.connections.get(&id).filter(|c| !c.is_closed(end)) else {
            return;
        };
        let peer = connection.at(end);
        if peer == COORDINATOR {
            return self.at_coordinator(id, message);
        }
        match message {
            // The machine answers, whether the process stands still or not.
            Message::Open if self.processes[peer].node.is_none() => {
                self.send(id, End::Child, Message::Refused);
                self.network.close(id, End::Parent);
            }
            Message::Open => {
                self.send(id, End::Child, Message::Accepted);
                self.input(peer, Input::Message(id, end, Message::Open));
            }
            message => self.input(peer, Input::Message(id, end, message)),
        }
    }

    /// A process reads a message.
    fn message(&mut self, peer: usize, id: ConnectionId, end: End, message: Message) {
        let Some(connection) = self.network.connections.get(&id).filter(|c| !c.is_closed(end)) else {
            return;
        };
        let (child_peer, place, child) = (connection.child, connection.place, ChildId(id.0));
        if connection.parent == COORDINATOR {
            return self.hear_coordinator(peer, id, message);
        }
        match (end, message) {
            (End::Parent, Message::Open) => {
                let name = self.layout.name(child_peer);
                self.handle(peer, Event::ChildUp { child, name });
            }
            (End::Parent, Message::Frame(bytes)) => {
                if let Some(frame) = self.read(peer, &bytes) {
                    self.handle(peer, Event::FromChild { child, frame });
                }
            }
            (End::Parent, Message::Closed) => {
                self.network.close(id, End::Parent);
                self.handle(peer, Event::ChildDown(child));
            }
            (End::Child, Message::Accepted) => self.handle(peer, Event::ParentUp(place)),
            (End::Child, Message::Frame(bytes)) => {
                if let Some(frame) = self.read(peer, &bytes) {
                    self.handle(peer, Event::FromParent(frame));
                }
            }
            (End::Child, Message::Refused | Message::Closed) => self.parent_down(peer, id, place),
            _ => {}
        }
    }

    fn parent_down(&mut self, peer: usize, id: ConnectionId, place: ParentId) {
        self.network.close(id, End::Child);
        if self.processes[peer].parent == Some(id) {
            self.processes[peer].parent = None;
            self.handle(peer, Event::ParentDown(place));
        }
    }

    fn read(&mut self, peer: usize, bytes: &[u8]) -> Option<Frame> {
        match Frame::decode(bytes) {
            Ok(frame) => Some(frame),
            Err(fault) => {
                let name = self.layout.name(peer);
                self.broken(format!("{name} is sent {fault}"));
                None
            }
        }
    }

    // ---- The coordinator.

    fn number_event(&mut self) -> u64 {
        let number = self.coordinator.event(self.now, &mut self.rng);
        let followers: Vec<ConnectionId> = self.coordinator.followers.keys().copied().collect();
        followers.into_iter().for_each(|id| self.tell_events(id));
        number
    }

    fn tell_events(&mut self, id: ConnectionId) {
        let Some(told) = self.coordinator.followers.get_mut(&id) else { return };
        let begin = self.coordinator.log.partition_point(|record| record.number <= *told);
        let records = self.coordinator.log[begin..].to_vec();
        if let Some(last) = records.last() {
            *told = last.number;
            self.send(id, End::Child, Message::Events(records));
        }
    }

    fn at_coordinator(&mut self, id: ConnectionId, message: Message) {
        match message {
            Message::Open => self.send(id, End::Child, Message::Accepted),
            Message::Hello { after } => {
                self.coordinator.followers.insert(id, after);
                self.tell_events(id);
            }
            // All that it knows has been told on this connection before.
            Message::Poll { asked } if self.coordinator.followers.contains_key(&id) => {
                self.send(id, End::Child, Message::Told { asked });
            }
            Message::Closed => {
                self.coordinator.followers.remove(&id);
                self.network.close(id, End::Parent);
            }
            _ => {}
        }
    }

    fn follow_coordinator(&mut self, peer: usize) {
        let wanted = self.layout.role(peer) == Role::Source || self.processes[peer].follows;
        if !wanted || self.processes[peer].node.is_none() || self.processes[peer].feed.is_some() {
            return;
        }
        let id = self.network.open(peer, COORDINATOR, ParentId(0));
        let now = self.processes[peer].local(self.now);
        self.processes[peer].feed = Some((id, now));
        self.send(id, End::Parent, Message::Open);
        self.at(self.now + POLL_EVERY, What::Poll(peer, id));
    }

    fn hear_coordinator(&mut self, peer: usize, id: ConnectionId, message: Message) {
        let now = self.processes[peer].local(self.now);
        match &mut self.processes[peer].feed {
            Some((feed, heard)) if *feed == id => *heard = now,
            _ => return,
        }
        match message {
            Message::Accepted => {
                let after = self.processes[peer].node.as_ref().map_or(0, |node| node.status(now, 0).latest);
                self.send(id, End::Parent, Message::Hello { after });
                self.send(id, End::Parent, Message::Poll { asked: now });
            }
            Message::Events(records) => self.handle(peer, Event::Append(records)),
            Message::Told { asked } => self.handle(peer, Event::Current { asked }),
            Message::Closed => self.leave_coordinator(peer),
            _ => {}
        }
    }

    fn leave_coordinator(&mut self, peer: usize) {
        if let Some((id, _)) = self.processes[peer].feed.take() {
            self.close(id, End::Child);
        }
        let at = self.now + self.rng.random_range(50 * MS..SECOND);
        let life = self.processes[peer].life;
        self.at(at, What::Follow(peer, life));
    }

    fn poll(&mut self, peer: usize, id: ConnectionId) {
        let Some((feed, heard)) = self.processes[peer].feed else { return };
        if feed != id {
            return;
        }
        if self.runs(peer) {
            let now = self.processes[peer].local(self.now);
            if now.saturating_sub(heard) > COORDINATOR_SILENT {
                return self.leave_coordinator(peer);
            }
            self.send(id, End::Parent, Message::Poll { asked: now });
        }
        self.at(self.now + POLL_EVERY, What::Poll(peer, id));
    }

    // ---- Faults.

    fn fault(&mut self, kind: Kind, begins: bool) {
        let (peers, relays) = (self.layout.peers(), self.layout.first_relay()..self.layout.first_router());
        match kind {
            Kind::Crash(peer) | Kind::Lose(peer) => self.power(peer, begins),
            Kind::All => relays.for_each(|peer| self.power(peer, begins)),
            Kind::Stall(peer) => {
                let still = &mut self.processes[peer].still;
                *still = if begins { *still + 1 } else { still.saturating_sub(1) };
                if *still == 0 {
                    self.thaw(peer);
                }
            }
            Kind::OneWay(from, to) => self.network.cut(from, to, begins),
            Kind::Cut(one, two) => {
                self.network.cut(one, two, begins);
                self.network.cut(two, one, begins);
            }
            Kind::Split(sides) => {
                let side = |peer: usize| sides >> (peer % 32) & 1;
                for one in 0..peers {
                    for two in (0..peers).filter(|two| side(*two) != side(one)) {
                        self.network.cut(one, two, begins);
                    }
                }
            }
            Kind::Loss(share) => self.network.loss = if begins { u32::from(share) } else { 0 },
            Kind::Slow(most) => self.network.slow = if begins { Micros::from(most) * MS } else { 0 },
            Kind::Box(_) => {}
        }
        if !begins {
            let waited: VecDeque<_> = self.network.healed().into();
            waited.into_iter().for_each(|(id, to, message)| self.send(id, to, message));
        }
    }

    /// A process dies, or is started again.
    fn power(&mut self, peer: usize, dies: bool) {
        let process = &mut self.processes[peer];
        process.down = if dies { process.down + 1 } else { process.down.saturating_sub(1) };
        match (dies, process.down) {
            (true, 1) => self.crash(peer),
            (false, 0) => self.start(peer),
            _ => {}
        }
    }
}
