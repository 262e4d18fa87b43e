//! The actor round the core: what comes of connections, the coordinator and the director goes in as events, what the
//! core wants done is carried out in order.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;
use silverspindle_conf::{Relay as Conf, RelayRole};
use silverspindle_relay::{Action, ChildId, Event, Fault, Frame, Node, ParentId, Record, Reset};

use super::Surroundings;
use super::children::Children;
use super::lease::Feed;
use super::limited::Limited;
use super::parents::{Heard, Parent};
use super::translate;
use crate::coordinator::{Coordinator, Sink, Told};
use crate::feed::Update;
use crate::links::Connector;
use crate::steady::steady_now;
use crate::traffic::Notification;

/// Events of the coordinator's that may wait to be taken in.
const TOLD: usize = 256;
/// Of them, those that are taken in together.
const TOGETHER: usize = 256;

/// Where the coordinator's events go while it is followed.
struct Log(Sender<Told>);

impl Sink for Log {
    fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    async fn tell(&self, told: Told) -> bool {
        self.0.send(told).await.is_ok()
    }
}

/// The coordinator, followed until this is dropped.
struct Following {
    told: Receiver<Told>,
    /// The last number that came.
    last: u64,
    _task: Task<()>,
}

/// What woke the actor.
enum Input {
    Heard(Heard),
    Told(Told),
    Applied,
    Moved(SocketAddr),
    Child(Event),
    Due,
}

/// See the module's text.
pub struct Actor {
    node: Node,
    role: RelayRole,
    parents: Vec<(String, SocketAddr)>,
    parent: Option<Parent>,
    children: Children,
    from_children: Receiver<Event>,
    limited: Rc<Limited>,
    feed: Rc<Feed>,
    applied: Receiver<()>,
    following: Option<Following>,
    coordinator: SocketAddr,
    moves: Receiver<SocketAddr>,
    /// Up to here the director has taken all in before the start.
    known: u64,
    notices: Sender<Notification>,
    connector: Connector,
    tasks: Rc<LocalExecutor<'static>>,
    out: Vec<Action>,
}

impl Actor {
    /// An actor round this core.
    pub fn new(
        conf: Conf,
        node: Node,
        feed: Rc<Feed>,
        applied: Receiver<()>,
        (children, from_children): (Children, Receiver<Event>),
        around: Surroundings,
    ) -> Self {
        Self {
            node,
            role: conf.role,
            parents: conf.parents,
            parent: None,
            limited: children.limited(),
            children,
            from_children,
            feed,
            applied,
            following: None,
            coordinator: around.coordinator,
            moves: around.moves,
            known: around.applied,
            notices: around.notices,
            connector: around.connector,
            tasks: around.tasks,
            out: Vec::new(),
        }
    }

    /// Runs until the director is gone. `known`: what a source was told before its start.
    pub async fn run(mut self, known: Vec<Record>) {
        if self.role == RelayRole::Source {
            self.follow(self.known);
            self.handle(Event::Append(known));
        }
        loop {
            self.handle_due();
            if !self.carry_out_all().await {
                return;
            }
            self.feed.say_mode();
            let input = self.next().await;
            self.take(input);
        }
    }

    fn handle(&mut self, event: Event) {
        self.node.handle(steady_now(), event, &mut self.out);
    }

    fn handle_due(&mut self) {
        if self.node.due() <= steady_now() {
            self.handle(Event::Tick);
        }
    }

    async fn next(&mut self) -> Input {
        let heard = receive(self.parent.as_ref().map(|parent| &parent.heard), Input::Heard);
        let told = receive(self.following.as_ref().map(|following| &following.told), Input::Told);
        let applied = receive(Some(&self.applied), |()| Input::Applied);
        let moved = receive(Some(&self.moves), Input::Moved);
        let child = receive(Some(&self.from_children), Input::Child);
        let due = Duration::from_micros(self.node.due().saturating_sub(steady_now()));
        let due = async {
            Timer::after(due).await;
            Input::Due
        };
        let own = future::or(applied, future::or(moved, heard));
        future::or(own, future::or(told, future::or(child, due))).await
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Heard(heard) => self.heard(heard),
            Input::Told(told) => self.told(told),
            Input::Applied => self.handle(Event::Applied { number: self.feed.number() }),
            Input::Moved(address) => self.moved(address),
            Input::Child(event) => self.handle(event),
            Input::Due => {}
        }
    }

    fn heard(&mut self, heard: Heard) {
        let Some(parent) = &self.parent else { return };
        let id = parent.id;
        match heard {
            Heard::Up => {
                tracing::info!(peer = parent.name, "relay: takes the log from this parent");
                self.handle(Event::ParentUp(id));
            }
            Heard::Frame(frame) => self.handle(Event::FromParent(frame)),
            Heard::Down(why) => {
                self.limited.warn(&parent.name, format_args!("a parent is not to be had: {why}"));
                self.parent = None;
                self.handle(Event::ParentDown(id));
            }
        }
    }

    // ---- The coordinator.

    fn follow(&mut self, last: u64) {
        let (send, told) = async_channel::bounded(TOLD);
        // Moves are heard here, also while nobody is followed.
        let (_, moves) = async_channel::bounded(1);
        let coordinator =
            Coordinator { address: self.coordinator, last, notices: Log(send), moves, gap: None };
        self.following = Some(Following { told, last, _task: self.tasks.spawn(coordinator.run()) });
    }

    fn moved(&mut self, address: SocketAddr) {
        tracing::info!("coordinator {}: moves to {address}", self.coordinator);
        self.coordinator = address;
        if let Some(following) = self.following.take() {
            self.follow(following.last);
        }
    }

    /// Takes in what the coordinator told, and what has come since, up to its word that this was all.
    fn told(&mut self, told: Told) {
        let Some(following) = &mut self.following else { return };
        let (mut next, mut records) = (Some(told), Vec::new());
        let mut current = None;
        while let Some(Told { event, frame, after }) = next.take() {
            if event.update == Update::UpToDate {
                current = Some(after);
                break;
            }
            following.last = following.last.max(event.index);
            records.extend(translate::record(&event, &frame));
            if records.len() < TOGETHER {
                next = following.told.try_recv().ok();
            }
        }
        if !records.is_empty() {
            self.handle(Event::Append(records));
        }
        if let Some(asked) = current {
            self.handle(Event::Current { asked });
        }
    }

    // ---- What the core wants done.

    /// All of it in order, until there is no more. False: the director is gone.
    async fn carry_out_all(&mut self) -> bool {
        while !self.out.is_empty() {
            for action in std::mem::take(&mut self.out) {
                if !self.carry_out(action).await {
                    return false;
                }
            }
        }
        true
    }

    async fn carry_out(&mut self, action: Action) -> bool {
        match action {
            Action::Connect(parent) => self.connect(parent),
            Action::Disconnect { parent, fault } => self.disconnect(parent, fault),
            Action::ToParent(frame) => self.send_to_parent(frame),
            Action::ToChild { child, frame } => self.send_to_child(child, frame),
            Action::EndChild { child, fault } => self.children.end(child, fault),
            Action::Apply(records) => return self.apply(records).await,
            Action::ApplyReset(reset) => return self.apply_reset(&reset).await,
            Action::Follow { after } => {
                tracing::warn!(event = after, "relay: no parent is to be had: follows the coordinator");
                self.follow(after);
            }
            Action::Unfollow => {
                tracing::info!("relay: a parent is there again: no longer follows the coordinator");
                self.following = None;
            }
        }
        true
    }

    fn connect(&mut self, id: ParentId) {
        let Some(parent) = self.parents.get(id.0).cloned() else { return };
        self.parent = Some(Parent::connect(id, parent, self.connector.clone(), &self.tasks));
    }

    fn disconnect(&mut self, id: ParentId, fault: Fault) {
        let Some(parent) = self.parent.take_if(|parent| parent.id == id) else { return };
        match fault {
            Fault::Replaced => {
                tracing::info!(peer = parent.name, "relay: left for a parent that goes before it")
            }
            _ => self.limited.warn(&parent.name, format_args!("a parent's connection ends: {fault}")),
        }
    }

    /// Lost where the connection is not up or takes nothing: the next report says more.
    fn send_to_parent(&self, frame: Frame) {
        if let Some(parent) = &self.parent {
            let _ = parent.frames.try_send(frame);
        }
    }

    fn send_to_child(&mut self, child: ChildId, frame: Frame) {
        if !self.children.send(child, frame) {
            self.handle(Event::ChildDown(child));
        }
    }

    /// Tells the director, and at the end of it that this was all: it says so when it has taken it in.
    async fn apply(&mut self, records: Vec<Record>) -> bool {
        let Some(number) = records.last().map(|record| record.number) else { return true };
        let mut new = records.into_iter().filter(|record| record.number > self.known).peekable();
        let Some(after) = new.peek().map(|record| record.number - 1) else {
            // It was there before the start.
            self.node.handle(steady_now(), Event::Applied { number }, &mut self.out);
            return true;
        };
        for record in new {
            match translate::news(&record.entry) {
                Ok(news) => {
                    if !tell(&self.notices, Notification::Update(news)).await {
                        return false;
                    }
                }
                Err(e) => tracing::error!(number = record.number, "relay: a record is left out: {e}"),
            }
        }
        tell(&self.notices, Notification::Batch { after, number }).await
    }

    async fn apply_reset(&mut self, reset: &Reset) -> bool {
        for notice in translate::notices(reset) {
            if !tell(&self.notices, notice).await {
                return false;
            }
        }
        true
    }
}

async fn tell(notices: &Sender<Notification>, notice: Notification) -> bool {
    notices.send(notice).await.is_ok()
}

/// The next of a channel; never where there is none or it has closed.
async fn receive<T>(from: Option<&Receiver<T>>, input: impl Fn(T) -> Input) -> Input {
    match from {
        Some(from) => match from.recv().await {
            Ok(value) => input(value),
            Err(_) => future::pending().await,
        },
        None => future::pending().await,
    }
}
