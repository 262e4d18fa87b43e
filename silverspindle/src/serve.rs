//! Life cycle of a router process: starts the actors from the configuration, reloads on SIGHUP and shuts
//! down.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bitternhold::ListKind;
use futures_lite::future;
use silverspindle_conf::{Conf, Files};
use silverspindle_knowledge::{InstanceId, Source};
use silverspindle_wire::memory::MemoryBudget;

use crate::agreement;
use crate::clock::Stamp;
use crate::config::Config;
use crate::coordinator::lease::CoordinatorLease;
use crate::coordinator::{Coordinator, DirectorSink};
use crate::copies::Copies;
use crate::director::{self, Director, PendingAnswers};
use crate::distribution;
use crate::drain::{self, Drain};
use crate::front::{Front, LISTEN_BACKLOG, max_client_connections};
use crate::knowledge::exchange::{self, Hub};
use crate::knowledge::{Knowledge, keys::Tls, snapshots};
use crate::limited::LimitedLine;
use crate::links::Connector;
use crate::management::Management;
use crate::memory::{MemoryLimits, MemoryPool};
use crate::steady::steady_now;
use crate::traffic::{Descriptors, Message, RoutingState, Shared};
use crate::upgrade::{ProcessFile, remaining_limit};
use crate::{clock, invariant, loop_monitor};

/// File descriptors reserved for everything but clients and peers: the listener, the coordinator, signals,
/// the reactor.
const OTHER_DESCRIPTORS: usize = 24;
/// Capacity of the queue of new coordinator addresses.
const COORDINATOR_MOVES_CAPACITY: usize = 4;
/// Minimum number of file descriptors for caches: a relay that has clients doesn't start with fewer.
const MIN_PEER_DESCRIPTORS: usize = 16;
/// Interval at which a shutdown checks whether the process may exit.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the usage of an older process on the same address is measured, while there is one.
const OLDER_PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay between two attempts to bind the exchange's address while another process holds it.
const EXCHANGE_BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between two warnings that the exchange's address is in use, in microseconds.
const EXCHANGE_BIND_LOG_INTERVAL: bitternhold::Micros = 10_000_000;
/// Timeout for reporting to the other routers that this one has left the roll. Short, as SIGKILL may follow
/// soon.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval of the log line that says what a shutdown waits for, in microseconds.
const SHUTDOWN_LOG_INTERVAL: bitternhold::Micros = 500_000;

/// A running router: handles to its actors.
pub struct Router {
    /// Address on which clients connect, with the port that the kernel chose if the configuration says 0.
    pub address: SocketAddr,
    /// Sends the coordinator's new address to the actor that follows it.
    coordinator_moves: Sender<SocketAddr>,
    /// The coordinator's address of the configuration in effect.
    coordinator_address: Cell<SocketAddr>,
    front: Rc<Front>,
    drain: Rc<RefCell<Drain>>,
    /// The file in `$TMPDIR` by which processes on the same address find each other; none if it can't be
    /// written.
    process_file: Option<Rc<ProcessFile>>,
    /// Number of requests without a final answer.
    pending_answers: Rc<PendingAnswers>,
    /// The operators' file in effect.
    conf: RefCell<Conf>,
    /// The exchange with other routers, if it is on.
    hub: Option<Rc<Hub>>,
    director: Sender<Message>,
    /// The agreement with other routers, once it has started.
    agreement_handle: Rc<RefCell<Option<agreement::Handle>>>,
    name: String,
}

impl Router {
    /// Opens the listeners, applies the `known` events of the configuration and starts the actors. On return
    /// the router is ready.
    pub fn start(config: Config, conf: Conf, tasks: &Rc<LocalExecutor<'static>>) -> io::Result<Self> {
        config.notes.iter().for_each(|note| tracing::warn!("{note}"));
        let listening_since = clock::now();
        let listener = Async::new(bind_shared(config.listen)?)?;
        let management = config.management.map(Async::<TcpListener>::bind).transpose()?;
        let address = listener.get_ref().local_addr()?;
        let site = Rc::new(config.site);
        let (mailbox, mailbox_receiver) = async_channel::bounded(director::MAILBOX_CAPACITY);
        let (notice_sender, notices) = async_channel::bounded(director::MAILBOX_CAPACITY);
        let exchange_descriptors = conf.exchange.as_ref().map_or(0, exchange::descriptors);
        // The management address uses one descriptor for the listener and one for each open call.
        let management_descriptors = config.management.map_or(0, |_| crate::management::MAX_CALLS + 1);
        let state = Rc::new(RoutingState::default());
        let agreement_descriptors = conf.agreement.as_ref().map_or(0, agreement::descriptors);
        let relay_descriptors = conf.relay.as_ref().map_or(0, distribution::descriptors);
        let other_descriptors = OTHER_DESCRIPTORS
            + exchange_descriptors
            + agreement_descriptors
            + relay_descriptors
            + management_descriptors;
        let peer_descriptors =
            config.sockets.saturating_sub(max_client_connections(config.sockets) + other_descriptors);
        if conf.relay.is_some() && peer_descriptors < MIN_PEER_DESCRIPTORS {
            let problem = format!(
                "limits.sockets: {} leaves {peer_descriptors} file descriptors for caches, too few; relay-children uses {relay_descriptors}",
                config.sockets
            );
            return Err(io::Error::new(io::ErrorKind::InvalidInput, problem));
        }
        let descriptors = Descriptors::new(peer_descriptors);
        let memory = MemoryLimits::divide(config.memory);
        let answer_memory = MemoryBudget::new(memory.answers);
        let shared = Rc::new(Shared {
            site: site.clone(),
            state: state.clone(),
            descriptors: descriptors.clone(),
            answer_memory: answer_memory.clone(),
            director: mailbox.clone(),
            tasks: tasks.clone(),
        });
        let pending_answers = Rc::new(PendingAnswers::default());
        let copies = Copies::new(memory.own_copies, config.flow_bytes_per_s, config.link_bytes_per_s);
        let uses_knowledge = conf.exchange.is_some() || conf.snapshot.is_some();
        let knowledge = uses_knowledge.then(|| Knowledge::new(&config.name, conf.half_lives, &site.settings));
        let identity = knowledge.as_ref().map(|k| (k.me, k.steady));
        let mut director =
            Director::new(config.seed, shared, pending_answers.clone(), copies).with_knowledge(knowledge);
        let (last_event, known) = config.known;
        let purge_grace = site.settings.purge_grace;
        let purge_cleared_after = site.settings.purge_complete_within + site.settings.purge_grace;
        let known_for_relay = conf.relay.as_ref().map(|_| known.clone());
        known.into_iter().for_each(|event| director.handle_update(event.update, ListKind::Cached));
        if let Some((snapshot, (me, _))) = conf.snapshot.clone().zip(identity) {
            let path = snapshots::path(&snapshot.directory, me.instance);
            match snapshots::read(&path, me.instance, snapshot.max_size) {
                Ok(None) => tracing::info!("no snapshot found"),
                Ok(Some((age, items))) => {
                    tracing::info!("snapshot loaded: {} items, {} ms old", items.len(), age / 1000);
                    director.import_knowledge(age, items);
                }
                Err(e) => tracing::warn!("{e}; starting without the snapshot"),
            }
            tasks.spawn(snapshots::run(snapshot, me.instance, mailbox.clone())).detach();
        }
        let mut hub = None;
        if let Some((terms, (me, steady))) = conf.exchange.clone().zip(identity) {
            let listen = terms.listen.map(bind_exchange).transpose()?;
            let new_hub = Hub::new(me, steady, terms, mailbox.clone()).map_err(io::Error::other)?;
            if let Some(listen) = listen {
                let (new_hub, executor) = (new_hub.clone(), tasks.clone());
                tasks.spawn(async move { new_hub.give(listen.await, executor).await }).detach();
            }
            tasks.spawn(new_hub.clone().ask(tasks.clone())).detach();
            tasks.spawn(new_hub.clone().watch()).detach();
            hub = Some(new_hub);
        }
        let longest_deadline = site.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let drain = Rc::new(RefCell::new(Drain::new().with_longest_deadline(longest_deadline)));
        let front = Front::new(site.clone(), mailbox.clone(), config.memory, config.sockets, drain.clone());
        director.set_counters(front.counters());
        let memory_pool = Rc::new(front.memory_pool(memory, answer_memory.clone()));
        director.set_memory_pool(memory_pool.clone());
        tasks.spawn(report_contention(answer_memory.clone(), mailbox.clone())).detach();
        let agreement_handle: Rc<RefCell<Option<agreement::Handle>>> = Rc::default();
        if let Some(terms) = conf.agreement.clone() {
            if let Some(problem) = agreement::lacks(&conf, &config.name) {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidInput,
                    format!("operators' file: {problem}"),
                ));
            }
            let instance = InstanceId::of(&config.name);
            let me = identity.map_or(Source { instance, incarnation: clock::now() }, |(me, _)| me);
            let tls = tls_keys(hub.as_deref(), &terms.files)?;
            let (pending_answers, own_front) = (pending_answers.clone(), front.clone());
            let surroundings = agreement::Yard {
                state: state.clone(),
                director: mailbox.clone(),
                settings: site.settings.clone(),
                classes: site.classes.clone(),
                drain: drain.clone(),
                drain_notifier: front.drain_notifier(),
                owes_answers: Rc::new(move || pending_answers.get() > 0 || !own_front.all_answers_written()),
            };
            if terms.work.is_some() {
                state.enable_orders();
                drain.borrow_mut().set_alone(terms.work.is_some_and(|work| !work.hold));
            }
            if terms.rules.is_some() {
                state.require_rules();
                drain.borrow_mut().set_alone(true);
            }
            let (hub, state, current) = (hub.clone(), state.clone(), agreement_handle.clone());
            let on_ready = move |handle: agreement::Handle| {
                state.set_rules(Rc::new(handle.clone()));
                *current.borrow_mut() = Some(handle);
                if let Some(hub) = &hub {
                    hub.agree(Rc::new(agreement::links::Current(current.clone())));
                }
            };
            let connector = Connector { me, tls };
            let participation = agreement::take_part(
                terms,
                me,
                config.name.clone(),
                connector,
                tasks.clone(),
                surroundings,
                on_ready,
            );
            tasks.spawn(participation).detach();
        }
        tasks.spawn(director.run(notices, mailbox_receiver)).detach();
        let (coordinator_moves, new_addresses) = async_channel::bounded(COORDINATOR_MOVES_CAPACITY);
        match conf.relay.clone().zip(known_for_relay) {
            None => {
                // The known events are those of the start.
                let confirmed_at = (last_event > 0).then(steady_now);
                let lease = CoordinatorLease::new(confirmed_at, purge_grace);
                state.set_lease(Rc::new(lease), purge_cleared_after);
                let coordinator = Coordinator {
                    address: config.coordinator,
                    last: last_event,
                    notices: DirectorSink(notice_sender),
                    moves: new_addresses,
                    gap: None,
                };
                tasks.spawn(coordinator.run()).detach();
            }
            Some((terms, known)) => {
                let instance = InstanceId::of(&config.name);
                let me = identity.map_or(Source { instance, incarnation: clock::now() }, |(me, _)| me);
                let surroundings = distribution::Surroundings {
                    me,
                    name: config.name.clone(),
                    connector: Connector { me, tls: tls_keys(hub.as_deref(), &terms.files)? },
                    tasks: tasks.clone(),
                    state: state.clone(),
                    purge_cleared_after,
                    notices: notice_sender,
                    coordinator: config.coordinator,
                    moves: new_addresses,
                    applied: last_event,
                    known,
                };
                let service = distribution::start(terms, surroundings).map_err(io::Error::other)?;
                if let Some((hub, service)) = hub.as_ref().zip(service) {
                    hub.distribute(service);
                }
            }
        }
        let director_mailbox = mailbox.clone();
        let process_file = std::env::var_os("TMPDIR")
            .and_then(|dir| ProcessFile::register(std::path::Path::new(&dir), address, Stamp::now()))
            .map(Rc::new);
        if let Some(process_file) = process_file.clone().filter(|file| file.older_usage().is_some()) {
            let limits = (config.sockets, config.memory);
            let limited = (descriptors, memory_pool, front.clone(), mailbox.clone());
            tasks.spawn(share_limits(process_file, limits, limited)).detach();
        }
        tasks.spawn(monitor_loop()).detach();
        tasks.spawn(front.clone().accept(listener, listening_since, tasks.clone())).detach();
        tasks.spawn(front.clone().run_drain_sweep()).detach();
        if let Some(listener) = management {
            tracing::info!("management on {}", listener.get_ref().local_addr()?);
            tasks
                .spawn(Management::new(drain.clone(), front.drain_notifier()).listen(listener, tasks.clone()))
                .detach();
        }
        drain.borrow_mut().started();
        tracing::info!(event = last_event, "{} serves on {address}", config.name);
        Ok(Self {
            address,
            coordinator_moves,
            coordinator_address: Cell::new(config.coordinator),
            front,
            drain,
            process_file,
            pending_answers,
            conf: RefCell::new(conf),
            hub,
            director: director_mailbox,
            agreement_handle,
            name: config.name,
        })
    }

    /// Number of client connections currently open.
    pub fn client_connections(&self) -> usize {
        self.front.connection_counts().0
    }

    /// Applies both configurations after a reload. Of the platform's configuration only the coordinator's
    /// address is applied; the rest stays until a restart. Changes to the operators' file that need a restart
    /// are logged. A faulty configuration changes nothing.
    pub async fn reload(&self, config: Result<Config, String>, conf: Result<Conf, Vec<String>>) {
        match conf {
            Ok(conf) => {
                for key in self.conf.borrow().need_restart(&conf) {
                    tracing::warn!("operators' file: {key} has changed; that needs a restart");
                }
                if let (Some(hub), Some(exchange)) = (&self.hub, &conf.exchange) {
                    hub.reload(exchange);
                }
                let handle = self.agreement_handle.borrow().clone();
                let half_lives = handle.map_or(conf.half_lives, |handle| handle.half_lives(conf.half_lives));
                let _ = self.director.send(Message::HalfLives(half_lives)).await;
                *self.conf.borrow_mut() = conf;
            }
            Err(faults) => {
                faults.iter().for_each(|fault| tracing::warn!("{fault}"));
                tracing::warn!("the old operators' file is kept");
            }
        }
        match config {
            Ok(config) if config.coordinator != self.coordinator_address.get() => {
                self.coordinator_address.set(config.coordinator);
                let _ = self.coordinator_moves.send(config.coordinator).await;
            }
            Ok(_) => tracing::info!("configuration read anew, coordinator as before"),
            Err(e) => tracing::warn!("{e}; the old configuration is kept"),
        }
    }

    /// Shuts down: reports not ready, keeps serving the clients that still connect, and returns once every
    /// request has its answer.
    pub async fn shut_down(&self) {
        let now = clock::now();
        self.drain.borrow_mut().end_noticed(now, loop_monitor::earliest_arrival(now));
        let _ = self.front.drain_notifier().try_send(());
        if self.process_file.as_ref().is_some_and(|process_file| process_file.has_successor()) {
            tracing::info!("a younger process serves on {}: it takes the new connections", self.address);
            self.front.stop_accepting();
        }
        let mut last_log = clock::now();
        // The listener is closed once no new clients are expected; connections in its queue are accepted,
        // read and answered first.
        let accept_until = self.drain.borrow().since().unwrap_or(0).saturating_add(drain::ARRIVAL_WINDOW);
        while !self.drain.borrow().may_exit(
            clock::now(),
            self.pending_answers.get(),
            self.front.is_finished(),
        ) {
            if clock::now() >= accept_until {
                self.front.stop_accepting();
            }
            if clock::now() >= last_log + SHUTDOWN_LOG_INTERVAL {
                last_log = clock::now();
                let (connections, open) = self.front.connection_counts();
                tracing::info!(
                    "ending: {} owed, {connections} clients' connections with {open} open",
                    self.pending_answers.get()
                );
            }
            Timer::after(SHUTDOWN_POLL_INTERVAL).await;
        }
        tracing::info!("since the start: {}", self.front.counters());
        // Leave the roll only after the last answer: other routers wait for the requests of every router on
        // the roll.
        let handle = self.agreement_handle.borrow().clone();
        if let Some(handle) = handle {
            let timed_out = async {
                Timer::after(LEAVE_TIMEOUT).await;
            };
            future::or(agreement::leave(handle, self.name.clone()), timed_out).await;
        }
    }
}

/// Runs for ever: logs delays of the event loop.
async fn monitor_loop() {
    let mut log = LimitedLine::default();
    loop_monitor::run(|delay| {
        if log.is_due() {
            tracing::warn!("the event loop did not run for {} ms", delay / 1000);
        }
    })
    .await;
}

/// Returns the TLS keys for connections to other routers: those of the exchange where it is on, as it reloads
/// them on SIGHUP, otherwise those read from `files`.
fn tls_keys(hub: Option<&Hub>, files: &Files) -> io::Result<Rc<RefCell<Tls>>> {
    match hub {
        Some(hub) => Ok(hub.tls.clone()),
        None => Ok(Rc::new(RefCell::new(Tls::read(files).map_err(io::Error::other)?))),
    }
}

/// Runs for ever: tells the director when an answer begins to wait for memory.
async fn report_contention(answer_memory: Arc<MemoryBudget>, director: Sender<Message>) {
    loop {
        answer_memory.contended().await;
        if director.send(Message::MemoryShort).await.is_err() {
            return;
        }
    }
}

/// Lowers the limits of this process while an older process serves on the same address, so that both together
/// stay within one limit: this process may use what the older one leaves.
async fn share_limits(
    process_file: Rc<ProcessFile>,
    (sockets, memory): (usize, usize),
    (descriptors, memory_pool, front, director): (
        Rc<Descriptors>,
        Rc<MemoryPool>,
        Rc<Front>,
        Sender<Message>,
    ),
) {
    let all_descriptors = descriptors.all();
    let apply_limits = |sockets_left: usize, memory_left: usize| {
        // Clients move from one process to the other, and both together use the third reserved for clients.
        // The reduction therefore applies to the peers' descriptors.
        descriptors
            .set_limit(all_descriptors.saturating_sub(sockets - sockets_left).max(all_descriptors / 4));
        let memory = MemoryLimits::divide(memory_left);
        memory_pool.set_limits(memory);
        front.set_memory_limits(&memory);
        let _ = director.try_send(Message::CopyMemory(memory.own_copies));
    };
    tracing::info!("an older process serves beside this one: both keep to one limit");
    while let Some((used_descriptors, used_memory)) = process_file.older_usage() {
        apply_limits(remaining_limit(sockets, used_descriptors), remaining_limit(memory, used_memory));
        Timer::after(OLDER_PROCESS_POLL_INTERVAL).await;
    }
    apply_limits(sockets, memory);
    tracing::info!("the older process has ended: the limits are this one's");
}

/// Binds the exchange's listener. During an upgrade the older process may still hold the address; the
/// returned future then retries until the address is free, while this process serves already.
fn bind_exchange(address: SocketAddr) -> io::Result<impl Future<Output = Async<TcpListener>>> {
    let first = match Async::<TcpListener>::bind(address) {
        Ok(listener) => Some(listener),
        Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
            tracing::warn!(
                "exchange-listen {address}: taken, by an older process or another program; waiting for it"
            );
            None
        }
        Err(e) => return Err(e),
    };
    let mut last_log = None;
    Ok(async move {
        let listener = match first {
            Some(listener) => listener,
            None => loop {
                if last_log.is_none_or(|at| clock::now() >= at + EXCHANGE_BIND_LOG_INTERVAL) {
                    last_log = Some(clock::now());
                    tracing::warn!(
                        "exchange-listen {address}: taken, by an older process or another program; waiting for it"
                    );
                }
                Timer::after(EXCHANGE_BIND_RETRY_DELAY).await;
                if let Ok(listener) = Async::<TcpListener>::bind(address) {
                    break listener;
                }
            },
        };
        tracing::info!("exchange listening on {address}");
        listener
    })
}

/// Binds the clients' address with SO_REUSEPORT, so that a newer process can bind it too during an upgrade:
/// both accept connections while they overlap, and no connection is refused.
fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG as i32)?;
    Ok(socket.into())
}

/// Result of reloading the platform's configuration and the operators' file.
pub type Reloaded = (Result<Config, String>, Result<Conf, Vec<String>>);

/// Runs a router until SIGTERM or SIGINT, answers the requests that are still open and returns. On SIGHUP
/// both configurations are read again with `read_again`.
pub fn serve(config: Config, conf: Conf, read_again: impl Fn() -> Reloaded) -> io::Result<()> {
    let signals = Signals::new()?;
    let tasks = Rc::new(LocalExecutor::new());
    let router = Router::start(config, conf, &tasks)?;
    let run = async {
        loop {
            if !signals.next().await {
                tracing::info!("ending on a signal: {} requests open", router.pending_answers.get());
                break;
            }
            let (config, conf) = read_again();
            router.reload(config, conf).await;
        }
        router.shut_down().await;
        tracing::info!("ended: all is answered; {} invariants broken", invariant::violations());
    };
    async_io::block_on(tasks.run(run));
    Ok(())
}

/// Receives signals as bytes on two pipes, one for SIGTERM and SIGINT, the other for SIGHUP. These are pipes
/// and not socket pairs because the fleet's platform has no Unix sockets.
struct Signals {
    terminate: Async<std::io::PipeReader>,
    hangup: Async<std::io::PipeReader>,
}

impl Signals {
    fn new() -> io::Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        use signal_hook::low_level::pipe::register;
        // A signal handler must never block on a full pipe, so the write ends are non-blocking as well.
        let nonblocking = |w: std::io::PipeWriter| Async::new(w)?.into_inner();
        let (terminate, terminate_writer) = std::io::pipe()?;
        let terminate_writer = nonblocking(terminate_writer)?;
        register(SIGTERM, terminate_writer.try_clone()?)?;
        register(SIGINT, terminate_writer)?;
        let (hangup, hangup_writer) = std::io::pipe()?;
        register(SIGHUP, nonblocking(hangup_writer)?)?;
        Ok(Self { terminate: Async::new(terminate)?, hangup: Async::new(hangup)? })
    }

    /// Waits for the next signal: false for SIGTERM or SIGINT, true for SIGHUP. SIGHUPs that arrive together
    /// count as one.
    async fn next(&self) -> bool {
        future::or(
            async {
                let _ = read_signals(&self.terminate).await;
                false
            },
            async { read_signals(&self.hangup).await.is_ok() },
        )
        .await
    }
}

/// Waits for signals on a pipe and reads the bytes that they wrote.
async fn read_signals(pipe: &Async<std::io::PipeReader>) -> io::Result<usize> {
    pipe.read_with(|mut reader| std::io::Read::read(&mut reader, &mut [0u8; 64])).await
}
