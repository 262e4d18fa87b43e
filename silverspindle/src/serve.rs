//! Starts the actors and ends them: the life of a router from its configuration to its exit.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bitternhold::ListKind;
use futures_lite::future;
use silverspindle_conf::{Conf, Files};
use silverspindle_knowledge::{InstanceId, Source};

use crate::agreement;
use crate::clock::Stamp;
use crate::config::Config;
use crate::coordinator::Coordinator;
use crate::copies::Copies;
use crate::director::{self, Director, PendingAnswers};
use crate::distribution;
use crate::drain::{self, Drain};
use crate::front::{Front, LISTEN_BACKLOG, most_clients};
use crate::knowledge::exchange::{self, Hub};
use crate::knowledge::{Knowledge, keys::Tls, snapshots};
use crate::links::Connector;
use crate::management::Management;
use crate::traffic::{Descriptors, Message, RoutingState, Shared};
use crate::upgrade::{Beside, part};
use crate::{clock, invariant};

/// Descriptors kept for all else: the listener, the coordinator, signals, the reactor.
const OTHER_DESCRIPTORS: usize = 24;
/// Own copies take this part of the memory, and so many bytes at most.
const COPIES_PART: usize = 8;
const MOST_COPIES: usize = 12_000_000;
/// Moves of the coordinator that may wait to be taken in.
const MOVES: usize = 4;
/// Descriptors for caches without which a relay that has clients does not start.
const LEAST_FOR_PEERS: usize = 16;
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// What an older process holds is looked at so often, while there is one.
const LOOK_BESIDE: Duration = Duration::from_millis(200);
/// So often it is looked whether the exchange's address is free.
const TAKEN_AGAIN: Duration = Duration::from_millis(100);
/// That it is taken is said again after so long.
const SAY_TAKEN: bitternhold::Micros = 10_000_000;
/// Its last word to the other routers, that it is off the roll, takes no longer; SIGKILL may be near.
const LEAVE: Duration = Duration::from_millis(200);
/// While it ends, it says every so often what it waits for.
const SAY_EVERY: bitternhold::Micros = 500_000;

/// The actors of a router, started.
pub struct Router {
    /// Where it listens.
    pub address: SocketAddr,
    moves: Sender<SocketAddr>,
    coordinator: Cell<SocketAddr>,
    front: Rc<Front>,
    drain: Rc<RefCell<Drain>>,
    /// This process's file beside a successor's, in `$TMPDIR`.
    beside: Option<Rc<Beside>>,
    pending_answers: Rc<PendingAnswers>,
    conf: RefCell<Conf>,
    hub: Option<Rc<Hub>>,
    director: Sender<Message>,
    agreed: Rc<RefCell<Option<agreement::Handle>>>,
    name: String,
}

impl Router {
    /// Listens, takes `known` in and starts the actors; then the router is well.
    pub fn start(config: Config, conf: Conf, tasks: &Rc<LocalExecutor<'static>>) -> io::Result<Self> {
        config.notes.iter().for_each(|note| tracing::warn!("{note}"));
        let listener = Async::new(shared_listener(config.listen)?)?;
        let management = config.management.map(Async::<TcpListener>::bind).transpose()?;
        let address = listener.get_ref().local_addr()?;
        let site = Rc::new(config.site);
        let (mailbox, messages) = async_channel::bounded(director::MAILBOX_CAPACITY);
        let (tell, news) = async_channel::bounded(director::MAILBOX_CAPACITY);
        let exchanges = conf.exchange.as_ref().map_or(0, exchange::descriptors);
        // The second address: its listener and the calls it holds at a time.
        let calls = config.management.map_or(0, |_| crate::management::MOST_CALLS + 1);
        let state = Rc::new(RoutingState::default());
        let agrees = conf.agreement.as_ref().map_or(0, agreement::descriptors);
        let relays = conf.relay.as_ref().map_or(0, distribution::descriptors);
        let others = OTHER_DESCRIPTORS + exchanges + agrees + relays + calls;
        let peers = config.sockets.saturating_sub(most_clients(config.sockets) + others);
        if conf.relay.is_some() && peers < LEAST_FOR_PEERS {
            let lacks = format!(
                "limits.sockets: {} leave {peers} for caches, relay-children take {relays}",
                config.sockets
            );
            return Err(io::Error::new(io::ErrorKind::InvalidInput, lacks));
        }
        let descriptors = Descriptors::new(peers);
        let shared = Rc::new(Shared {
            site: site.clone(),
            state: state.clone(),
            descriptors: descriptors.clone(),
            director: mailbox.clone(),
            tasks: tasks.clone(),
        });
        let pending_answers = Rc::new(PendingAnswers::default());
        let copies = Copies::new((config.memory / COPIES_PART).min(MOST_COPIES), config.flow, config.link);
        let on = conf.exchange.is_some() || conf.snapshot.is_some();
        let knowledge = on.then(|| Knowledge::new(&config.name, conf.half_lives, &site.settings));
        let who = knowledge.as_ref().map(|k| (k.me, k.steady));
        let mut director =
            Director::new(config.seed, shared, pending_answers.clone(), copies).with_knowledge(knowledge);
        let (last, known) = config.known;
        let cleared = site.settings.purge_complete_within + site.settings.purge_grace;
        let of_relays = conf.relay.as_ref().map(|_| known.clone());
        known.into_iter().for_each(|event| director.news(event.update, ListKind::Cached));
        if let Some((snapshot, (me, _))) = conf.snapshot.clone().zip(who) {
            let file = snapshots::path(&snapshot.directory, me.instance);
            match snapshots::read(&file, me.instance, snapshot.max_size) {
                Ok(None) => tracing::info!("no snapshot yet"),
                Ok(Some((away, items))) => {
                    tracing::info!("snapshot: {} items, away {} ms", items.len(), away / 1000);
                    director.learn(away, items);
                }
                Err(e) => tracing::warn!("{e}; starting without it"),
            }
            tasks.spawn(snapshots::run(snapshot, me.instance, mailbox.clone())).detach();
        }
        let mut hub = None;
        if let Some((terms, (me, steady))) = conf.exchange.clone().zip(who) {
            let listen = terms.listen.map(exchange_listener).transpose()?;
            let own = Hub::new(me, steady, terms, mailbox.clone()).map_err(io::Error::other)?;
            if let Some(listen) = listen {
                let (own, all) = (own.clone(), tasks.clone());
                tasks.spawn(async move { own.give(listen.await, all).await }).detach();
            }
            tasks.spawn(own.clone().ask(tasks.clone())).detach();
            tasks.spawn(own.clone().watch()).detach();
            hub = Some(own);
        }
        let longest = site.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let drain = Rc::new(RefCell::new(Drain::new().with_longest_deadline(longest)));
        let front = Front::new(site.clone(), mailbox.clone(), config.memory, config.sockets, drain.clone());
        director.set_counters(front.counters());
        let agreed: Rc<RefCell<Option<agreement::Handle>>> = Rc::default();
        if let Some(terms) = conf.agreement.clone() {
            if let Some(lacks) = agreement::lacks(&conf, &config.name) {
                return Err(io::Error::new(io::ErrorKind::InvalidInput, format!("operators' file: {lacks}")));
            }
            let instance = InstanceId::of(&config.name);
            let me = who.map_or(Source { instance, incarnation: clock::now() }, |(me, _)| me);
            let tls = keys_of(hub.as_deref(), &terms.files)?;
            let (pending_answers, own) = (pending_answers.clone(), front.clone());
            let yard = agreement::Yard {
                board: state.clone(),
                director: mailbox.clone(),
                settings: site.settings.clone(),
                classes: site.classes.clone(),
                drain: drain.clone(),
                nudge: front.nudger(),
                owes: Rc::new(move || pending_answers.get() > 0 || !own.flushed()),
            };
            if terms.work.is_some() {
                state.enable_orders();
                drain.borrow_mut().set_alone(terms.work.is_some_and(|work| !work.hold));
            }
            if terms.rules.is_some() {
                state.require_rules();
                drain.borrow_mut().set_alone(true);
            }
            let (hub, state, all) = (hub.clone(), state.clone(), agreed.clone());
            let ready = move |handle: agreement::Handle| {
                state.set_rules(Rc::new(handle.clone()));
                *all.borrow_mut() = Some(handle);
                if let Some(hub) = &hub {
                    hub.agree(Rc::new(agreement::links::Current(all.clone())));
                }
            };
            let connector = Connector { me, tls };
            let part =
                agreement::take_part(terms, me, config.name.clone(), connector, tasks.clone(), yard, ready);
            tasks.spawn(part).detach();
        }
        tasks.spawn(director.run(news, messages)).detach();
        let (moves, moved) = async_channel::bounded(MOVES);
        match conf.relay.clone().zip(of_relays) {
            None => {
                let coordinator =
                    Coordinator { address: config.coordinator, last, news: tell, moves: moved, gap: None };
                tasks.spawn(coordinator.run()).detach();
            }
            Some((terms, known)) => {
                let instance = InstanceId::of(&config.name);
                let me = who.map_or(Source { instance, incarnation: clock::now() }, |(me, _)| me);
                let around = distribution::Surroundings {
                    me,
                    name: config.name.clone(),
                    connector: Connector { me, tls: keys_of(hub.as_deref(), &terms.files)? },
                    tasks: tasks.clone(),
                    board: state.clone(),
                    cleared,
                    notices: tell,
                    coordinator: config.coordinator,
                    moves: moved,
                    applied: last,
                    known,
                };
                let service = distribution::start(terms, around).map_err(io::Error::other)?;
                if let Some((hub, service)) = hub.as_ref().zip(service) {
                    hub.distribute(service);
                }
            }
        }
        let to_director = mailbox.clone();
        let beside = std::env::var_os("TMPDIR")
            .and_then(|directory| Beside::enter(std::path::Path::new(&directory), address, Stamp::now()))
            .map(Rc::new);
        if let Some(beside) = beside.clone().filter(|beside| beside.elders().is_some()) {
            let limits = (config.sockets, config.memory);
            let own = (descriptors, front.clone(), mailbox.clone());
            tasks.spawn(share(beside, limits, own)).detach();
        }
        tasks.spawn(front.clone().accept(listener, tasks.clone())).detach();
        tasks.spawn(front.clone().sweep()).detach();
        if let Some(listener) = management {
            tracing::info!("management on {}", listener.get_ref().local_addr()?);
            tasks
                .spawn(Management::new(drain.clone(), front.nudger()).listen(listener, tasks.clone()))
                .detach();
        }
        drain.borrow_mut().started();
        tracing::info!(event = last, "{} serves on {address}", config.name);
        Ok(Self {
            address,
            moves,
            coordinator: Cell::new(config.coordinator),
            front,
            drain,
            beside,
            pending_answers,
            conf: RefCell::new(conf),
            hub,
            director: to_director,
            agreed,
            name: config.name,
        })
    }

    /// Clients' connections held now.
    pub fn clients(&self) -> usize {
        self.front.held().0
    }

    /// Takes both configurations read anew: the coordinator may have moved, all else of the platform's stays
    /// until a restart; of the operators' file what needs one is said. A faulty one changes nothing.
    pub async fn reload(&self, config: Result<Config, String>, conf: Result<Conf, Vec<String>>) {
        match conf {
            Ok(conf) => {
                for key in self.conf.borrow().need_restart(&conf) {
                    tracing::warn!("operators' file: {key} has changed; that needs a restart");
                }
                if let (Some(hub), Some(exchange)) = (&self.hub, &conf.exchange) {
                    hub.reload(exchange);
                }
                let agreed = self.agreed.borrow().clone();
                let half_lives = agreed.map_or(conf.half_lives, |agreed| agreed.half_lives(conf.half_lives));
                let _ = self.director.send(Message::HalfLives(half_lives)).await;
                *self.conf.borrow_mut() = conf;
            }
            Err(faults) => {
                faults.iter().for_each(|fault| tracing::warn!("{fault}"));
                tracing::warn!("the old operators' file is kept");
            }
        }
        match config {
            Ok(config) if config.coordinator != self.coordinator.get() => {
                self.coordinator.set(config.coordinator);
                let _ = self.moves.send(config.coordinator).await;
            }
            Ok(_) => tracing::info!("configuration read anew, coordinator as before"),
            Err(e) => tracing::warn!("{e}; the old configuration is kept"),
        }
    }

    /// Says that no more clients should come, serves those that still do, and returns when all is answered.
    pub async fn end(&self) {
        self.drain.borrow_mut().end(clock::now());
        let _ = self.front.nudger().try_send(());
        if self.beside.as_ref().is_some_and(|beside| beside.succeeded()) {
            tracing::info!("a younger process serves on {}: it takes the new connections", self.address);
            self.front.stop_accepting();
        }
        let mut said = clock::now();
        // The listener goes once nobody comes any more; what lies in its queue is taken, read and answered first.
        let nobody = self.drain.borrow().since().unwrap_or(0).saturating_add(drain::ARRIVAL_WINDOW);
        while !self.drain.borrow().may_exit(clock::now(), self.pending_answers.get(), self.front.settled()) {
            if clock::now() >= nobody {
                self.front.stop_accepting();
            }
            if clock::now() >= said + SAY_EVERY {
                said = clock::now();
                let (connections, open) = self.front.held();
                tracing::info!(
                    "ending: {} owed, {connections} clients' connections with {open} open",
                    self.pending_answers.get()
                );
            }
            Timer::after(LOOK_AGAIN).await;
        }
        tracing::info!("since the start: {}", self.front.counters());
        // Only now: others wait for what is answered by who is on the roll.
        let handle = self.agreed.borrow().clone();
        if let Some(handle) = handle {
            let late = async {
                Timer::after(LEAVE).await;
            };
            future::or(agreement::leave(handle, self.name.clone()), late).await;
        }
    }
}

/// The keys for connections to other routers: the exchange's where it is on, as those are read anew on SIGHUP.
fn keys_of(hub: Option<&Hub>, files: &Files) -> io::Result<Rc<RefCell<Tls>>> {
    match hub {
        Some(hub) => Ok(hub.tls.clone()),
        None => Ok(Rc::new(RefCell::new(Tls::read(files).map_err(io::Error::other)?))),
    }
}

/// While an older process of this router stands beside it, both keep to one limit: this one takes what that one leaves.
async fn share(
    beside: Rc<Beside>,
    (sockets, memory): (usize, usize),
    (descriptors, front, director): (Rc<Descriptors>, Rc<Front>, Sender<Message>),
) {
    let all = descriptors.all();
    let keep_to = |sockets_left: usize, memory_left: usize| {
        // Clients move from the one to the other, and hold their third together: the rest is the peers'.
        descriptors.set_limit(all.saturating_sub(sockets - sockets_left).max(all / 4));
        front.keep_to(memory_left);
        let _ = director.try_send(Message::CopyMemory((memory_left / COPIES_PART).min(MOST_COPIES)));
    };
    tracing::info!("an older process serves beside this one: both keep to one limit");
    while let Some((held, bytes)) = beside.elders() {
        keep_to(part(sockets, held), part(memory, bytes));
        Timer::after(LOOK_BESIDE).await;
    }
    keep_to(sockets, memory);
    tracing::info!("the older process has ended: the limits are this one's");
}

/// Where the exchange listens. An older process of this router, in an upgrade, may have the address yet: it is waited
/// for while this one serves.
fn exchange_listener(address: SocketAddr) -> io::Result<impl Future<Output = Async<TcpListener>>> {
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
    let mut said = None;
    Ok(async move {
        let listener = match first {
            Some(listener) => listener,
            None => loop {
                if said.is_none_or(|at| clock::now() >= at + SAY_TAKEN) {
                    said = Some(clock::now());
                    tracing::warn!(
                        "exchange-listen {address}: taken, by an older process or another program; waiting for it"
                    );
                }
                Timer::after(TAKEN_AGAIN).await;
                if let Ok(listener) = Async::<TcpListener>::bind(address) {
                    break listener;
                }
            },
        };
        tracing::info!("gives on {address}");
        listener
    })
}

/// The clients' address, shared with a process that upgrades this one (SO_REUSEPORT): both take connections
/// while they overlap, and neither refuses one.
fn shared_listener(address: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG as i32)?;
    Ok(socket.into())
}

/// Both configurations, read anew.
pub type Anew = (Result<Config, String>, Result<Conf, Vec<String>>);

/// Serves until a signal to end, then answers what is owed and returns. On SIGHUP the configuration is read
/// anew.
pub fn serve(config: Config, conf: Conf, again: impl Fn() -> Anew) -> io::Result<()> {
    let signals = Signals::new()?;
    let tasks = Rc::new(LocalExecutor::new());
    let router = Router::start(config, conf, &tasks)?;
    let run = async {
        loop {
            if !signals.next().await {
                tracing::info!("ending on a signal: {} requests open", router.pending_answers.get());
                break;
            }
            let (config, conf) = again();
            router.reload(config, conf).await;
        }
        router.end().await;
        tracing::info!("ended: all is answered; {} invariants broken", invariant::broken());
    };
    async_io::block_on(tasks.run(run));
    Ok(())
}

/// Signals as bytes on pipes, one for ending (SIGTERM, SIGINT) and one for SIGHUP. Pipes and not a socket
/// pair: the fleet's platform has no Unix sockets.
struct Signals {
    end: Async<std::io::PipeReader>,
    hup: Async<std::io::PipeReader>,
}

impl Signals {
    fn new() -> io::Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        use signal_hook::low_level::pipe::register;
        // The handler must never block on a full pipe: the writing ends are made non-blocking as well.
        let writer = |w: std::io::PipeWriter| Async::new(w)?.into_inner();
        let (end, end_writer) = std::io::pipe()?;
        let end_writer = writer(end_writer)?;
        register(SIGTERM, end_writer.try_clone()?)?;
        register(SIGINT, end_writer)?;
        let (hup, hup_writer) = std::io::pipe()?;
        register(SIGHUP, writer(hup_writer)?)?;
        Ok(Self { end: Async::new(end)?, hup: Async::new(hup)? })
    }

    /// The next signal: false for an end, true for SIGHUP. Several SIGHUP that came together are one.
    async fn next(&self) -> bool {
        future::or(
            async {
                let _ = drained(&self.end).await;
                false
            },
            async { drained(&self.hup).await.is_ok() },
        )
        .await
    }
}

/// Reads what signals wrote.
async fn drained(pipe: &Async<std::io::PipeReader>) -> io::Result<usize> {
    pipe.read_with(|mut reader| std::io::Read::read(&mut reader, &mut [0u8; 64])).await
}
