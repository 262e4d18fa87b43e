//! Clients' connections. Each is read and written by a task of its own ([`connection`]), and every request gets exactly
//! one answer.

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
use bitternhold::settings::SiteSettings;
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

/// Number of open requests expected on one connection, by which its queues are sized. Twice as many are accepted before
/// further ones are refused.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// A connection used within this time, in microseconds, is not closed to make room, as a request may be on its way.
const IN_USE: Micros = 50_000;
/// Delay before the next accept while no connection is free, or after a failed accept (without a descriptor, for
/// example).
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Backlog of the listener: connections that may wait to be accepted. The kernel admits one more.
pub const LISTEN_BACKLOG: usize = 1024;
/// Maximum number of queued connections accepted after the order to stop: twice the queue's length.
const MOST_QUEUED: usize = 2 * LISTEN_BACKLOG;
/// Number of failed accepts in a row after which a front that was told to stop closes the listener anyway: one second
/// at a delay of [`ACCEPT_AGAIN`] each.
const MOST_FAILED: usize = 50;
/// Maximum number of connections that wait for their client's close, while others wait to be accepted.
const MOST_CLOSING: usize = 8;
/// Capacity of a connection's answer queue: one answer for each open request, and as many that were ready while an
/// earlier answer was still being written.
const MOST_ANSWERS: usize = 2 * MAX_OPEN_REQUESTS;
/// Retry delay, in milliseconds, advised to a client that is refused before the module sees its request, where the
/// settings enable this advice.
const STAY_AWAY: u64 = 200;
/// Interval at which every connection is checked during a drain.
const SWEEP: Duration = Duration::from_millis(25);
/// Ids per generation of the filter that detects repeated request ids: an id may be used once.
const RIDS: usize = 8192;
/// Time without a new request id, in microseconds, after which the filter changes generations.
const RIDS_QUIET: Micros = 30_000_000;

/// Maximum number of clients' connections for this number of descriptors: a third of them, and a few for connections
/// that are just opening or closing.
pub fn max_client_connections(sockets: usize) -> usize {
    sockets / 3 + 8
}

/// The client side of the router: state shared by all clients' connections.
#[derive(Debug)]
pub struct Front {
    site: Rc<SiteSettings>,
    director: Sender<Message>,
    /// Drain state of the router. Answers to `isWell` and the readiness check on the management address come from it.
    drain: Rc<RefCell<Drain>>,
    counters: Rc<Counters>,
    /// Number of answers not yet written.
    unflushed: Cell<usize>,
    /// Bytes of the bodies in these answers.
    held: Cell<usize>,
    /// Limit of `held`.
    most_held: Cell<usize>,
    /// Bytes of bodies of open write requests.
    taken: Rc<Cell<usize>>,
    /// Limit of `taken`.
    most_taken: Cell<usize>,
    most_connections: usize,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// Ids of recent requests.
    rids: RefCell<AgeingFilter>,
    /// Connections that this side has closed and that are read to their end.
    closing: ClosingConnections,
    /// Id of the connection that is to close to make room.
    wanted: Cell<Option<u64>>,
    /// The listener is open.
    accepting: Cell<bool>,
    /// Signals that a connection ended.
    freed: (Sender<()>, Receiver<()>),
    /// Signals that no more connections are to be accepted, as a successor accepts them.
    stop: (Sender<()>, Receiver<()>),
    /// Signals that the drain state may have changed; the sweep waits for it while the router serves.
    nudged: (Sender<()>, Receiver<()>),
    next: Cell<u64>,
}

impl Front {
    /// Creates a front that passes its requests to the director. Answers that slow clients have not read yet may take a
    /// third of the memory, bodies of writes an eighth.
    pub fn new(
        site: Rc<SiteSettings>,
        director: Sender<Message>,
        memory: usize,
        sockets: usize,
        drain: Rc<RefCell<Drain>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            site,
            director,
            drain,
            counters: Rc::default(),
            unflushed: Cell::new(0),
            held: Cell::new(0),
            most_held: Cell::new(memory / 3),
            taken: Rc::default(),
            most_taken: Cell::new(memory / 8),
            most_connections: max_client_connections(sockets),
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

    /// Counters of closed connections and of answers, by reason.
    pub fn counters(&self) -> Rc<Counters> {
        self.counters.clone()
    }

    /// Sender that wakes the sweep; to be used after every change of the drain state.
    pub fn drain_notifier(&self) -> Sender<()> {
        self.nudged.0.clone()
    }

    /// Runs for ever: closes each connection that a drain or a shutdown releases, that is, once it owes nothing after
    /// the grace period. While the router serves, it waits for a signal and causes no wake-ups.
    pub async fn run_drain_sweep(self: Rc<Self>) {
        let mut log = DrainLog::default();
        loop {
            log.look(&self);
            if self.drain.borrow().since().is_none() {
                let _ = self.nudged.1.recv().await;
                continue;
            }
            Timer::after(SWEEP).await;
            self.close_releasable();
        }
    }

    /// Asks each connection that the drain releases to close; the connection checks its socket once more before it does.
    /// Where the drain no longer waits for a connection to become free, its open requests get their final answers, and
    /// clients that do not read are cut off.
    pub fn close_releasable(&self) {
        let (now, drain) = (clock::now(), self.drain.borrow());
        if drain.is_before_kill(now) {
            self.closing.end_all();
        }
        for port in self.connections.borrow().values() {
            let seen = port.seen();
            if drain.may_close(now, seen) {
                let _ = port.close.try_send(());
            } else if port.is_waiting() && drain.must_answer_now(now, seen) {
                // If the director's mailbox is full, the next sweep sends the message.
                let _ = self.director.try_send(Message::GiveUp { client: port.id });
            } else if seen.unwritten > 0 && drain.must_cut_off(now, port.takes_nothing_since()) {
                let _ = port.cut.try_send(CloseReason::Stalled);
            }
        }
    }

    /// Accepts the connections that are queued and then closes the listener: the kernel passes new connections to the
    /// process that shares the address.
    pub fn stop_accepting(&self) {
        let _ = self.stop.0.try_send(());
    }

    /// Number of clients' connections, and number of requests open on them.
    pub fn connection_counts(&self) -> (usize, usize) {
        let connections = self.connections.borrow();
        (connections.len(), connections.values().map(|c| c.seen().open).sum())
    }

    /// Whether the listener, with its queue, is closed and every connection was read to its end, answered and closed.
    /// Only then may the process exit: the exit resets whatever connection is left.
    pub fn is_finished(&self) -> bool {
        !self.accepting.get() && self.connections.borrow().is_empty() && self.closing.len() == 0
    }

    /// Bytes of answers that wait to be written to clients.
    pub fn unwritten_bytes(&self) -> usize {
        self.held.get()
    }

    /// Whether all answers are written.
    pub fn all_answers_written(&self) -> bool {
        self.unflushed.get() == 0
    }

    /// Sets the memory limits anew, as shares of this much memory.
    pub fn set_memory_limit(&self, memory: usize) {
        self.most_held.set(memory / 3);
        self.most_taken.set(memory / 8);
    }

    /// Limits the memory taken by slow readers: over the limit, the connection with the most unwritten bytes is cut off.
    fn relieve(&self) {
        if self.held.get() <= self.most_held.get() {
            return;
        }
        if let Some(port) = self.connections.borrow().values().max_by_key(|p| p.held.get()) {
            tracing::warn!(client = port.id, "cut off, {} bytes wait for it", port.held.get());
            let _ = port.cut.try_send(CloseReason::Memory);
        }
    }

    /// Counts a request that is refused before the module sees it, and returns its answer.
    fn refuse(&self, call: Call, reason: RefusalReason) -> Verdict {
        self.counters.refused(reason);
        tracing::debug!(rid = call.rid, reason = reason.name(), "refused");
        Verdict::Refused(Refusal::new(SafeToRetry::unsent(call), &self.site.settings, STAY_AWAY))
    }

    /// Asks one unused connection to close, to make room for a client that waits to be accepted. Otherwise connections
    /// that are held and not used would keep all other clients out. One that never sent a message is chosen first, else
    /// the one unused for longest. A connection with an open request stays.
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

    /// Removes a connection that has ended or is closing.
    fn ended(&self, id: u64) {
        self.connections.borrow_mut().remove(&id);
        let _ = self.freed.0.try_send(());
    }

    /// Removes a closing connection that has ended.
    fn closed(&self, id: u64) {
        self.closing.remove(id);
        let _ = self.freed.0.try_send(());
    }

    /// Accepts clients until told to stop. While all connections allowed for clients are in use, further clients wait
    /// until one is free.
    pub async fn accept(
        self: Rc<Self>,
        listener: Async<std::net::TcpListener>,
        tasks: Rc<LocalExecutor<'static>>,
    ) {
        let mut queue = AcceptQueue::new(LISTEN_BACKLOG + 1, clock::now());
        let mut queued = None;
        let (mut crowded, mut failing, mut failed) = (LimitedLine::default(), LimitedLine::default(), 0);
        loop {
            // On the order to stop, the queued connections are accepted first: closing the listener would reset them.
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
                            // Woken by the new connection: the queue was empty until then.
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
                // The client has closed, or a signal came: the next connection may be waiting already.
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
            // After the order to stop: no more connections than can have been queued, and no endless retries.
            if queued.is_some_and(|taken| taken >= MOST_QUEUED || failed >= MOST_FAILED) {
                break;
            }
        }
        drop(listener);
        self.accepting.set(false);
        tracing::info!("no more connections taken; {} were waiting", queued.unwrap_or(0));
    }

    /// Registers a new connection and starts its task. `came` is the earliest time at which the connection can have
    /// arrived.
    fn admit(self: &Rc<Self>, stream: Async<TcpStream>, came: Micros, tasks: &LocalExecutor<'static>) {
        let id = self.next.get();
        self.next.set(id + 1);
        let stream = Rc::new(stream);
        let (port, ends) = Connection::new(id, &stream, self);
        self.connections.borrow_mut().insert(id, port.clone());
        tasks.spawn(port.run(stream, came, ends)).detach();
    }
}
