//! Clients' connections: each is read and written by a task of its own ([`connection`]) and answers every request once.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bitternhold::settings::Catalogue;
use bitternhold::{AgeingFilter, Micros};
use futures_lite::future;

use crate::clock;
use crate::counters::{CloseReason, Counters, RefusalReason};
use crate::drain::Drain;
use crate::limited::LimitedLine;
use crate::traffic::{Call, Message, Refusal, SafeToRetry, Verdict};

mod closing;
mod connection;
mod drain_log;
pub mod queue;
pub mod reading;
mod request;

use closing::ClosingConnections;
use connection::Connection;
use drain_log::DrainLog;
use queue::AcceptQueue;

/// Requests that may be open on one connection.
pub const MOST_OPEN: usize = 32;
/// What was used within this is not closed to make room: a request may be on its way.
const IN_USE: Micros = 50_000;
/// Wait for room, or after a failed accept: out of descriptors, say.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Connections that may wait to be accepted; the kernel lets one more in.
pub const LISTEN_BACKLOG: usize = 1024;
/// Told to stop, it takes so many connections at most: twice the queue's length. And it tries so often, after a failed
/// accept, before it closes the listener all the same: a second's worth of [`ACCEPT_AGAIN`].
const MOST_QUEUED: usize = 2 * LISTEN_BACKLOG;
const MOST_FAILED: usize = 50;
/// Connections closed from this side that wait for the client's own close, while others wait to be accepted.
const MOST_CLOSING: usize = 8;
/// Answers that may wait for a connection's writer: the open requests, and as many that were answered
/// while an earlier answer was still being written.
const MOST_ANSWERS: usize = 2 * MOST_OPEN;
/// Advice in milliseconds to a client that is refused before the module sees it, where the settings have advice.
const STAY_AWAY: u64 = 200;
/// A drain looks at every connection so often.
const SWEEP: Duration = Duration::from_millis(25);
/// Ids of requests that are remembered: each may come once.
const RIDS: usize = 8192;
const RIDS_QUIET: Micros = 30_000_000;

/// Descriptors kept for clients: the third of all that they may hold, and a few for those that come and go.
pub fn most_clients(sockets: usize) -> usize {
    sockets / 3 + 8
}

/// What all connections share.
#[derive(Debug)]
pub struct Front {
    catalogue: Rc<Catalogue>,
    director: Sender<Message>,
    /// Whether it takes clients: `isWell` and the second address are answered from this.
    drain: Rc<RefCell<Drain>>,
    counters: Rc<Counters>,
    /// Answers not yet written, and bytes of bodies in them; as much is borne.
    unflushed: Cell<usize>,
    held: Cell<usize>,
    most_held: Cell<usize>,
    /// Bytes of writes taken in and not yet finished; as much is borne.
    taken: Rc<Cell<usize>>,
    most_taken: Cell<usize>,
    most_connections: usize,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// Ids of requests that came lately.
    rids: RefCell<AgeingFilter>,
    /// Connections that this side has closed and reads to their ends.
    closing: ClosingConnections,
    /// It is to close to make room.
    wanted: Cell<Option<u64>>,
    /// The listener is there.
    accepting: Cell<bool>,
    /// A connection ended.
    freed: (Sender<()>, Receiver<()>),
    /// No more connections are to be taken: a successor takes them.
    stop: (Sender<()>, Receiver<()>),
    /// The drain may have changed: the sweep sleeps on this while the router serves.
    nudged: (Sender<()>, Receiver<()>),
    next: Cell<u64>,
}

impl Front {
    /// A front that hands its requests to the director. A third of the memory may lie in answers that slow
    /// clients have not taken, an eighth in writes.
    pub fn new(
        catalogue: Rc<Catalogue>,
        director: Sender<Message>,
        memory: usize,
        sockets: usize,
        drain: Rc<RefCell<Drain>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            catalogue,
            director,
            drain,
            counters: Rc::default(),
            unflushed: Cell::new(0),
            held: Cell::new(0),
            most_held: Cell::new(memory / 3),
            taken: Rc::default(),
            most_taken: Cell::new(memory / 8),
            most_connections: most_clients(sockets),
            connections: RefCell::default(),
            rids: RefCell::new(AgeingFilter::new(RIDS, RIDS_QUIET)),
            closing: ClosingConnections::default(),
            wanted: Cell::new(None),
            accepting: Cell::new(true),
            freed: async_channel::bounded(1),
            stop: async_channel::bounded(1),
            nudged: async_channel::bounded(1),
            next: Cell::new(0),
        })
    }

    /// What became of connections and requests, by reason.
    pub fn counters(&self) -> Rc<Counters> {
        self.counters.clone()
    }

    /// Whoever changes the drain tells the sweep with this.
    pub fn nudger(&self) -> Sender<()> {
        self.nudged.0.clone()
    }

    /// Closes what a drain or an end lets go, for ever: each connection once it owes nothing after the grace.
    /// While the router serves it waits to be nudged, and costs no wake-up.
    pub async fn sweep(self: Rc<Self>) {
        let mut log = DrainLog::default();
        loop {
            log.look(&self);
            if self.drain.borrow().since().is_none() {
                let _ = self.nudged.1.recv().await;
                continue;
            }
            Timer::after(SWEEP).await;
            self.let_go();
        }
    }

    /// Asks each connection that the drain lets go to close: it looks once more whether anything came. Where the drain
    /// waits no longer for a quiet moment, what is open gets its final answer, and who does not read is cut off.
    pub fn let_go(&self) {
        let (now, drain) = (clock::now(), self.drain.borrow());
        if drain.is_before_kill(now) {
            self.closing.end_all();
        }
        for port in self.connections.borrow().values() {
            let seen = port.seen();
            if drain.may_close(now, seen) {
                let _ = port.close.try_send(());
            } else if port.is_waiting() && drain.must_answer_now(now, seen) {
                // Where its mailbox is full it is told at the next look.
                let _ = self.director.try_send(Message::GiveUp { port: port.id });
            } else if seen.unwritten > 0 && drain.must_cut_off(now, port.takes_nothing_since()) {
                let _ = port.cut.try_send(CloseReason::Stalled);
            }
        }
    }

    /// Takes what waits to be accepted and then no more connections: the listener is closed, and the kernel
    /// sends new ones to the process that shares the address.
    pub fn stop_accepting(&self) {
        let _ = self.stop.0.try_send(());
    }

    /// Clients' connections, and the requests open on them.
    pub fn held(&self) -> (usize, usize) {
        let connections = self.connections.borrow();
        (connections.len(), connections.values().map(|c| c.seen().open).sum())
    }

    /// No client has anything to come: no listener with connections in its queue, and each connection that there was has
    /// been read to its end, answered and closed. Only then may the process exit: with it all else would be reset.
    pub fn settled(&self) -> bool {
        !self.accepting.get() && self.connections.borrow().is_empty() && self.closing.len() == 0
    }

    /// Bytes of answers that wait for clients to take them.
    pub fn backlog(&self) -> usize {
        self.held.get()
    }

    /// All answers are written.
    pub fn flushed(&self) -> bool {
        self.unflushed.get() == 0
    }

    /// Of so much memory its parts, from now on.
    pub fn keep_to(&self, memory: usize) {
        self.most_held.set(memory / 3);
        self.most_taken.set(memory / 8);
    }

    /// Guards the memory against slow readers: past the bound, who holds most is cut off.
    fn relieve(&self) {
        if self.held.get() <= self.most_held.get() {
            return;
        }
        if let Some(port) = self.connections.borrow().values().max_by_key(|p| p.held.get()) {
            tracing::warn!(client = port.id, "cut off, {} bytes wait for it", port.held.get());
            let _ = port.cut.try_send(CloseReason::Memory);
        }
    }

    /// The answer to what is refused before the module sees it.
    fn refuse(&self, call: Call, reason: RefusalReason) -> Verdict {
        self.counters.refused(reason);
        tracing::debug!(rid = call.rid, reason = reason.name(), "refused");
        Verdict::Refused(Refusal::new(SafeToRetry::unsent(call), &self.catalogue.settings, STAY_AWAY))
    }

    /// Makes room for a client that waits to be accepted. Guards against connections that are held and not
    /// used, which would keep all others out: one without any message goes first, else what was unused for
    /// longest. A connection with an open request stays.
    fn evict(&self) {
        let before = clock::now().saturating_sub(IN_USE);
        let connections = self.connections.borrow();
        let unused = connections.values().filter(|c| c.seen().open == 0 && c.used.get() < before);
        if let Some(port) = unused.min_by_key(|c| (c.asked.get(), c.used.get())) {
            tracing::debug!(client = port.id, "closed to make room");
            self.wanted.set(Some(port.id));
            let _ = port.close.try_send(());
        }
    }

    fn is_full(&self) -> bool {
        self.connections.borrow().len() + self.closing.len() >= self.most_connections
    }

    /// A connection has ended, or is closing.
    fn ended(&self, id: u64) {
        self.connections.borrow_mut().remove(&id);
        let _ = self.freed.0.try_send(());
    }

    /// One that was closing has ended.
    fn closed(&self, id: u64) {
        self.closing.remove(id);
        let _ = self.freed.0.try_send(());
    }

    /// Accepts clients, for ever. With all descriptors of clients in use, the next wait until one is free.
    pub async fn accept(
        self: Rc<Self>,
        listener: Async<std::net::TcpListener>,
        tasks: Rc<LocalExecutor<'static>>,
    ) {
        let mut queue = AcceptQueue::new(LISTEN_BACKLOG + 1, clock::now());
        let mut queued = None;
        let (mut crowded, mut failing, mut failed) = (LimitedLine::default(), LimitedLine::default(), 0);
        loop {
            // Told to stop, it takes what is queued first: that would be reset with the listener.
            let stop = async {
                let _ = self.stop.1.recv().await;
                None
            };
            let accepted = match &mut queued {
                None => {
                    let accept = async { Some(listener.accept().await.map(|(s, _)| s)) };
                    let mut accept = pin!(future::or(accept, stop));
                    match future::poll_once(&mut accept).await {
                        Some(accepted) => accepted,
                        None => {
                            queue.seen_empty(clock::now());
                            let accepted = accept.await;
                            // Woken by who came: nobody waited before that.
                            queue.seen_empty(clock::now());
                            accepted
                        }
                    }
                }
                Some(n) => match listener.get_ref().accept() {
                    Ok((stream, _)) => {
                        *n += 1;
                        Some(Async::new(stream))
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    Err(e) => Some(Err(e)),
                },
            };
            let Some(accepted) = accepted else {
                queued = Some(0);
                continue;
            };
            let came = accepted.is_ok().then(|| queue.take(clock::now()));
            while self.is_full() {
                if self.closing.len() < MOST_CLOSING {
                    self.evict();
                }
                self.closing.hurry();
                if crowded.is_due() {
                    tracing::warn!("clients hold all their connections; those unused are closed for others");
                }
                let freed = async { self.freed.1.recv().await.is_ok() };
                let later = async { Timer::after(ACCEPT_AGAIN).await < std::time::Instant::now() };
                future::or(freed, later).await;
            }
            match accepted {
                Ok(stream) => {
                    failed = 0;
                    self.admit(stream, came.unwrap_or_else(clock::now), &tasks);
                }
                // The client's own end, or a signal: the next may wait already.
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
                Err(e) => {
                    if failing.is_due() {
                        tracing::warn!("accept: {e}");
                    }
                    failed += 1;
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
            // Told to stop, it takes no more than can have waited, and waits for no failure that goes on.
            if queued.is_some_and(|taken| taken >= MOST_QUEUED || failed >= MOST_FAILED) {
                break;
            }
        }
        drop(listener);
        self.accepting.set(false);
        tracing::info!("no more connections taken; {} were waiting", queued.unwrap_or(0));
    }

    /// Enters a new connection, which can have come at this time at the earliest, and starts its task.
    fn admit(self: &Rc<Self>, stream: Async<TcpStream>, came: Micros, tasks: &LocalExecutor<'static>) {
        let id = self.next.get();
        self.next.set(id + 1);
        let stream = Rc::new(stream);
        let (port, ends) = Connection::new(id, &stream, self);
        self.connections.borrow_mut().insert(id, port.clone());
        tasks.spawn(port.run(stream, came, ends)).detach();
    }
}
