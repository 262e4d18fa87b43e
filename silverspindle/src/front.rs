//! Clients' connections. Each is read and written by a task of its own (`front::connection`), and every request gets exactly
//! one answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bitternhold::settings::SiteSettings;
use bitternhold::{AgeingFilter, Micros};
use futures_lite::future;
use silverspindle_wire::memory::{FREE_SHARE_DIVISOR, MemoryBudget};

use crate::counters::{Counters, RefusalReason};
use crate::drain::Drain;
use crate::limited::LimitedLine;
use crate::memory::{MemoryLimits, MemoryPool};
use crate::traffic::{Call, Message, Refusal, SafeToRetry, Verdict};
use crate::{clock, loop_monitor};

mod closing;
mod connection;
mod drain_log;
pub mod queue;
pub mod reading;
mod replies;
mod request;

use closing::ClosingConnections;
use connection::Connection;
use drain_log::DrainLog;
use queue::AcceptQueue;

/// Number of open requests expected on one connection, by which its queues are sized. Twice as many are accepted before
/// further ones are refused.
pub const EXPECTED_OPEN_REQUESTS: usize = 32;
/// A connection used within this time, in microseconds, is not closed to make room, as a request may be on its way.
const RECENT_USE: Micros = 50_000;
/// Delay before the next accept while no connection is free, or after a failed accept (without a descriptor, for
/// example).
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Backlog of the listener: connections that may wait to be accepted. The kernel admits one more.
pub const LISTEN_BACKLOG: usize = 1024;
/// Maximum number of queued connections accepted after the order to stop: twice the queue's length.
const MAX_QUEUED: usize = 2 * LISTEN_BACKLOG;
/// Number of failed accepts in a row after which a front that was told to stop closes the listener anyway: one second
/// at a delay of [`ACCEPT_RETRY_DELAY`] each.
const MAX_FAILED_ACCEPTS: usize = 50;
/// Maximum number of connections that wait for their client's close, while others wait to be accepted.
const MAX_CLOSING: usize = 8;
/// Number of open requests on a connection from which on further ones are refused. It is the capacity of the
/// connection's answer queue, which has room for [`EXPECTED_OPEN_REQUESTS`] answers and as many that were ready while
/// an earlier answer was still being written.
const MAX_QUEUED_ANSWERS: usize = 2 * EXPECTED_OPEN_REQUESTS;
/// Retry delay, in milliseconds, advised to a client that is refused before the module sees its request, where the
/// settings enable this advice.
const REFUSAL_BACKOFF_MS: u64 = 200;
/// Interval at which every connection is checked during a drain.
const SWEEP_INTERVAL: Duration = Duration::from_millis(25);
/// Ids per generation of the filter that detects repeated request ids: an id may be used once.
const REQUEST_IDS: usize = 8192;
/// Time without a new request id, in microseconds, after which the filter changes generations.
const REQUEST_IDS_IDLE: Micros = 30_000_000;

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
    unwritten_answers: Cell<usize>,
    /// Bytes of the bodies in these answers.
    unwritten_bytes: Cell<usize>,
    /// Limit of `unwritten_bytes`.
    max_unwritten_bytes: Cell<usize>,
    /// Bytes of bodies of open write requests.
    write_bytes: Rc<Cell<usize>>,
    /// Limit of `write_bytes`.
    max_write_bytes: Cell<usize>,
    /// Budget of memory for requests that clients have sent in part.
    incomplete_requests: Arc<MemoryBudget>,
    max_connections: usize,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// Ids of recent requests.
    recent_ids: RefCell<AgeingFilter>,
    /// Connections that this side has closed and that are read to their end.
    closing: ClosingConnections,
    /// Id of the connection that is to close to make room.
    to_evict: Cell<Option<u64>>,
    /// Limits the log line about requests that wait for memory.
    memory_log: RefCell<LimitedLine>,
    /// The listener is open.
    accepting: Cell<bool>,
    /// Signals that a connection ended.
    connection_ended: (Sender<()>, Receiver<()>),
    /// Signals that no more connections are to be accepted, as a successor accepts them.
    stop: (Sender<()>, Receiver<()>),
    /// Signals that the drain state may have changed; the sweep waits for it while the router serves.
    drain_changed: (Sender<()>, Receiver<()>),
    next_id: Cell<u64>,
}

impl Front {
    /// Creates a front that passes its requests to the director and keeps to its part of the memory limit.
    pub fn new(
        site: Rc<SiteSettings>,
        director: Sender<Message>,
        memory: usize,
        sockets: usize,
        drain: Rc<RefCell<Drain>>,
    ) -> Rc<Self> {
        let memory = MemoryLimits::divide(memory);
        Rc::new(Self {
            site,
            director,
            drain,
            counters: Rc::default(),
            unwritten_answers: Cell::new(0),
            unwritten_bytes: Cell::new(0),
            max_unwritten_bytes: Cell::new(memory.unwritten_answers),
            write_bytes: Rc::default(),
            max_write_bytes: Cell::new(memory.write_bodies),
            incomplete_requests: MemoryBudget::new(memory.incomplete_requests),
            max_connections: max_client_connections(sockets),
            connections: RefCell::default(),
            recent_ids: RefCell::new(AgeingFilter::new(REQUEST_IDS, REQUEST_IDS_IDLE)),
            closing: ClosingConnections::default(),
            to_evict: Cell::new(None),
            memory_log: RefCell::default(),
            accepting: Cell::new(true),
            connection_ended: async_channel::bounded(1),
            stop: async_channel::bounded(1),
            drain_changed: async_channel::bounded(1),
            next_id: Cell::new(0),
        })
    }

    /// Counters of closed connections and of answers, by reason.
    pub fn counters(&self) -> Rc<Counters> {
        self.counters.clone()
    }

    /// Sender that wakes the sweep; to be used after every change of the drain state.
    pub fn drain_notifier(&self) -> Sender<()> {
        self.drain_changed.0.clone()
    }

    /// Runs for ever: closes each connection that a drain or a shutdown releases, that is, once it owes nothing after
    /// the grace period. While the router serves, it waits for a signal and causes no wake-ups.
    pub async fn run_drain_sweep(self: Rc<Self>) {
        let mut log = DrainLog::default();
        loop {
            log.update(&self);
            if self.drain.borrow().since().is_none() {
                let _ = self.drain_changed.1.recv().await;
                continue;
            }
            Timer::after(SWEEP_INTERVAL).await;
            self.close_releasable();
        }
    }

    /// Asks each connection that the drain releases to close; the connection checks its socket once more before it does.
    /// Where the drain no longer waits for a connection to become free, its open requests get their final answers, and
    /// clients that neither read nor wait any more are cut off.
    pub fn close_releasable(&self) {
        let (now, drain) = (clock::now(), self.drain.borrow());
        if drain.is_before_kill(now) {
            self.closing.end_all();
        }
        for connection in self.connections.borrow().values() {
            let state = connection.state();
            if drain.may_close(now, state) {
                let _ = connection.close.try_send(());
            } else if connection.is_waiting() && drain.must_answer_now(now, state) {
                // If the director's mailbox is full, the next sweep sends the message.
                let _ = self.director.try_send(Message::GiveUp { client: connection.id });
            } else if state.unwritten > 0 && connection.must_cut_off(now, &drain) {
                let _ = connection.cut.try_send(());
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
        (connections.len(), connections.values().map(|c| c.state().open).sum())
    }

    /// Whether the listener, with its queue, is closed and every connection was read to its end, answered and closed.
    /// Only then may the process exit: the exit resets whatever connection is left.
    pub fn is_finished(&self) -> bool {
        !self.accepting.get() && self.connections.borrow().is_empty() && self.closing.len() == 0
    }

    /// Bytes of answers that wait to be written to clients.
    pub fn unwritten_bytes(&self) -> usize {
        self.unwritten_bytes.get()
    }

    /// Whether unwritten answers leave room for an answer of this many bytes for a connection that reads slowly and has this
    /// many unwritten bytes: with them, no more than a part of what is free.
    fn has_room_for_slow(&self, unwritten: usize, bytes: usize) -> bool {
        let free = self.max_unwritten_bytes.get().saturating_sub(self.unwritten_bytes.get());
        unwritten.saturating_add(bytes) <= free / FREE_SHARE_DIVISOR
    }

    /// Whether unwritten answers leave room for this many bytes more.
    fn has_room(&self, bytes: usize) -> bool {
        self.unwritten_bytes.get().saturating_add(bytes) <= self.max_unwritten_bytes.get()
    }

    /// Whether all answers are written.
    pub fn all_answers_written(&self) -> bool {
        self.unwritten_answers.get() == 0
    }

    /// The memory of all uses: of this front, of answers of caches, and of own copies.
    pub fn memory_pool(&self, limits: MemoryLimits, answers: Arc<MemoryBudget>) -> MemoryPool {
        MemoryPool::new(limits, answers, self.incomplete_requests.clone(), self.write_bytes.clone())
    }

    /// Sets the memory limits anew.
    pub fn set_memory_limits(&self, memory: &MemoryLimits) {
        self.max_unwritten_bytes.set(memory.unwritten_answers);
        self.max_write_bytes.set(memory.write_bodies);
        self.incomplete_requests.set_limit(memory.incomplete_requests);
    }

    /// Logs that requests sent in part wait for memory, if they do.
    fn log_waiting_requests(&self) {
        let waiting = self.incomplete_requests.waiting();
        if waiting > 0 && self.memory_log.borrow_mut().is_due() {
            let used = self.incomplete_requests.used();
            tracing::warn!("{waiting} requests sent in part wait for memory, {used} bytes are in use");
        }
    }

    /// Counts a request that is refused before the module sees it, and returns its answer.
    fn refuse(&self, call: Call, reason: RefusalReason) -> Verdict {
        self.counters.refused(reason);
        tracing::debug!(rid = call.rid, reason = reason.name(), "refused");
        Verdict::Refused(Refusal::new(SafeToRetry::unsent(call), &self.site.settings, REFUSAL_BACKOFF_MS))
    }

    /// Asks one unused connection to close, to make room for a client that waits to be accepted. Otherwise connections
    /// that are held and not used would keep all other clients out. One that never sent a message is chosen first, else
    /// the one unused for longest. A connection with an open request stays.
    fn evict(&self) {
        let before = clock::now().saturating_sub(RECENT_USE);
        let connections = self.connections.borrow();
        let unused = connections.values().filter(|c| c.state().open == 0 && c.last_active.get() < before);
        if let Some(connection) = unused.min_by_key(|c| (c.received_any.get(), c.last_active.get())) {
            tracing::debug!(client = connection.id, "closed to make room");
            self.to_evict.set(Some(connection.id));
            let _ = connection.close.try_send(());
        }
    }

    /// Whether all connections allowed for clients are in use.
    fn is_full(&self) -> bool {
        self.connections.borrow().len() + self.closing.len() >= self.max_connections
    }

    /// Removes a connection that has ended or is closing.
    fn remove_connection(&self, id: u64) {
        self.connections.borrow_mut().remove(&id);
        let _ = self.connection_ended.0.try_send(());
    }

    /// Removes a closing connection that has ended.
    fn closing_ended(&self, id: u64) {
        self.closing.remove(id);
        let _ = self.connection_ended.0.try_send(());
    }

    /// Accepts clients until told to stop. While all connections allowed for clients are in use, further clients wait
    /// until one is free. The listener's queue was empty at the time `listening_since`.
    pub async fn accept(
        self: Rc<Self>,
        listener: Async<std::net::TcpListener>,
        listening_since: Micros,
        tasks: Rc<LocalExecutor<'static>>,
    ) {
        let mut queue = AcceptQueue::new(LISTEN_BACKLOG + 1, listening_since);
        let mut queued_accepted = None;
        let (mut full_log, mut failure_log, mut failed_accepts) =
            (LimitedLine::default(), LimitedLine::default(), 0);
        loop {
            // On the order to stop, the queued connections are accepted first: closing the listener would reset them.
            let stop = async {
                let _ = self.stop.1.recv().await;
                None
            };
            let accepted = match &mut queued_accepted {
                None => {
                    let accept = async { Some(listener.accept().await.map(|(s, _)| s)) };
                    let mut accept = pin!(future::or(accept, stop));
                    let polled_at = clock::now();
                    match future::poll_once(&mut accept).await {
                        Some(accepted) => accepted,
                        None => {
                            queue.seen_empty(polled_at);
                            let accepted = accept.await;
                            // Woken by the new connection: the queue was empty until it came.
                            queue.seen_empty(loop_monitor::earliest_arrival(clock::now()));
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
                queued_accepted = Some(0);
                continue;
            };
            let arrived_after = accepted.is_ok().then(|| queue.accepted(clock::now()));
            while self.is_full() {
                if self.closing.len() < MAX_CLOSING {
                    self.evict();
                }
                self.closing.end_evictable();
                if full_log.is_due() {
                    tracing::warn!("clients hold all their connections; those unused are closed for others");
                }
                let connection_ended = async { self.connection_ended.1.recv().await.is_ok() };
                let retry = async { Timer::after(ACCEPT_RETRY_DELAY).await < std::time::Instant::now() };
                future::or(connection_ended, retry).await;
            }
            match accepted {
                Ok(stream) => {
                    failed_accepts = 0;
                    self.admit(stream, arrived_after.unwrap_or_else(clock::now), &tasks);
                }
                // The client has closed, or a signal came: the next connection may be waiting already.
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
                Err(e) => {
                    if failure_log.is_due() {
                        tracing::warn!("accept: {e}");
                    }
                    failed_accepts += 1;
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
            // After the order to stop: no more connections than can have been queued, and no endless retries.
            if queued_accepted.is_some_and(|n| n >= MAX_QUEUED || failed_accepts >= MAX_FAILED_ACCEPTS) {
                break;
            }
        }
        drop(listener);
        self.accepting.set(false);
        tracing::info!("no more connections taken; {} were waiting", queued_accepted.unwrap_or(0));
    }

    /// Registers a new connection and starts its task. `arrived_after` is the earliest time at which the connection can have
    /// arrived.
    fn admit(
        self: &Rc<Self>,
        stream: Async<TcpStream>,
        arrived_after: Micros,
        tasks: &LocalExecutor<'static>,
    ) {
        self.log_waiting_requests();
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let stream = Rc::new(stream);
        let (connection, channels) = Connection::new(id, &stream, self);
        self.connections.borrow_mut().insert(id, connection.clone());
        tasks.spawn(connection.run(stream, arrived_after, channels)).detach();
    }
}
