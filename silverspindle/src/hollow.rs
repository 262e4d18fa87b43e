//! Hollow routers: the cores of the purge log of some hundred routers in one process, each with a certificate of its
//! own name and a connection of its own to a relay, and nothing else of a router. For measurements of what a fleet costs
//! its relays and sources; `silverspindle try --hollow` starts such processes.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, future};
use futures_rustls::TlsConnector;
use futures_rustls::client::TlsStream;
use rustls::pki_types::ServerName;
use serde_json::json;
use silverspindle_conf::{Files, Relay};
use silverspindle_knowledge::protocol::{self, Message, VERSION};
use silverspindle_knowledge::{InstanceId, Source};
use silverspindle_relay::{Action, Event, Frame, Guards, Node, NodeId, ParentId, Role, Settings, bounds};

use crate::clock;
use crate::knowledge::keys::{self, Tls};
use crate::links::{self, CONNECT_TIMEOUT, HANDSHAKE_TIMEOUT, with_timeout};
use crate::steady::{MAX_CLOCK_DRIFT_PPM, steady_now};

/// Days that its certificates hold.
const DAYS: u32 = 1;
/// The number that routers of the rig know from their configuration.
const KNOWN: u64 = 1;
/// Its word of itself comes so often at least.
const WORD_EVERY: Duration = Duration::from_secs(1);
/// Words come no nearer to each other.
const WORD_APART: Duration = Duration::from_millis(5);
/// Frames that wait for a connection.
const QUEUE: usize = 64;

/// What all routers of the process come to.
#[derive(Debug)]
struct Totals {
    /// Up to where each has applied the log, and the least of it.
    applied: RefCell<Vec<u64>>,
    least: Cell<u64>,
    /// When the least was reached.
    since: Cell<u64>,
    /// Connections to parents.
    fed: Cell<u64>,
    /// Bytes from parents and to them, as they go over the network.
    down: Cell<u64>,
    up: Cell<u64>,
    /// Tells that the least has changed.
    changed: Sender<()>,
}

impl Totals {
    fn apply(&self, index: usize, number: u64) {
        let mut applied = self.applied.borrow_mut();
        let before = std::mem::replace(&mut applied[index], number);
        if before > self.least.get() {
            return;
        }
        let least = applied.iter().copied().min().unwrap_or(0);
        if least > self.least.replace(least) {
            self.since.set(steady_now());
            let _ = self.changed.try_send(());
        }
    }

    /// A line for each change of the least, and one a second in any case.
    async fn tell(&self, changes: Receiver<()>) {
        loop {
            let quiet = async {
                Timer::after(WORD_EVERY).await;
                steady_now()
            };
            let change = async {
                let _ = changes.recv().await;
                self.since.get()
            };
            let at = future::or(change, quiet).await;
            let (applied, fed) = (self.least.get(), self.fed.get());
            println!(
                "{}",
                json!({"at": at, "applied": applied, "fed": fed, "down": self.down.get(), "up": self.up.get()})
            );
            Timer::after(WORD_APART).await;
        }
    }
}

/// A stream whose bytes are counted.
struct Counted {
    stream: Async<TcpStream>,
    totals: Rc<Totals>,
}

fn count(total: &Cell<u64>, bytes: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(bytes)) = &bytes {
        total.set(total.get() + *bytes as u64);
    }
    bytes
}

impl AsyncRead for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, into);
        count(&self.totals.down, read)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, from: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, from);
        count(&self.totals.up, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// What a router's connections need.
struct Connector {
    me: Source,
    tls: Tls,
    parents: Vec<(String, SocketAddr)>,
    totals: Rc<Totals>,
}

impl Connector {
    async fn connect(&self, parent: ParentId) -> io::Result<TlsStream<Counted>> {
        let (name, at) = self.parents.get(parent.0).ok_or(io::ErrorKind::NotFound)?;
        let server = ServerName::try_from(name.clone()).map_err(io::Error::other)?;
        let stream = with_timeout(CONNECT_TIMEOUT, "connection", Async::<TcpStream>::connect(*at)).await?;
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Counted { stream, totals: self.totals.clone() };
        let connector = TlsConnector::from(self.tls.client.clone());
        let mut stream =
            with_timeout(HANDSHAKE_TIMEOUT, "handshake", connector.connect(server, stream)).await?;
        stream.write_all(&protocol::encode(&Message::Subscribe { me: self.me }, VERSION)).await?;
        stream.flush().await?;
        Ok(stream)
    }

    /// One connection, to its end.
    async fn run(self: Rc<Self>, parent: ParentId, frames: Receiver<Frame>, events: Sender<Event>) {
        match self.connect(parent).await {
            Ok(stream) => {
                let _fed = Fed::begin(&self.totals);
                let _ = events.send(Event::ParentUp(parent)).await;
                let gone = |_| io::Error::other("the router is gone");
                let heard = |frame| events.try_send(Event::FromParent(frame)).map_err(gone);
                if let Err(e) = links::run_duplex(stream, &frames, None, bounds::FRAME, heard).await {
                    tracing::debug!("parent {}: {e}", parent.0);
                }
            }
            Err(e) => tracing::warn!("parent {}: {e}", parent.0),
        }
        let _ = events.send(Event::ParentDown(parent)).await;
    }
}

/// Counts a connection as long as it lives.
struct Fed<'a>(&'a Totals);

impl<'a> Fed<'a> {
    fn begin(totals: &'a Totals) -> Self {
        totals.fed.set(totals.fed.get() + 1);
        Self(totals)
    }
}

impl Drop for Fed<'_> {
    fn drop(&mut self) {
        self.0.fed.set(self.0.fed.get() - 1);
    }
}

/// One router: a core and its connection.
struct Router {
    index: usize,
    node: Node,
    connector: Rc<Connector>,
    tasks: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    /// The connection's queue and its task; dropped, it ends.
    connection: Option<(Sender<Frame>, Task<()>)>,
}

impl Router {
    async fn run(mut self, heard: Receiver<Event>) {
        let mut event = Event::Tick;
        loop {
            self.handle(event);
            let wait = Duration::from_micros(self.node.due().saturating_sub(steady_now()));
            let tick = async {
                Timer::after(wait).await;
                Event::Tick
            };
            event = future::or(async { heard.recv().await.unwrap_or(Event::Tick) }, tick).await;
        }
    }

    fn handle(&mut self, event: Event) {
        let (mut events, mut actions) = (vec![event], Vec::new());
        while let Some(event) = events.pop() {
            self.node.handle(steady_now(), event, &mut actions);
            events.extend(actions.drain(..).filter_map(|action| self.act(action)));
        }
    }

    /// Carries an action out; what follows from it.
    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Connect(parent) => {
                let (queue, frames) = async_channel::bounded(QUEUE);
                let run = self.connector.clone().run(parent, frames, self.events.clone());
                self.connection = Some((queue, self.tasks.spawn(run)));
                None
            }
            Action::Disconnect { .. } => {
                self.connection = None;
                None
            }
            Action::ToParent(frame) => {
                let sent = self.connection.as_ref().map(|(queue, _)| queue.try_send(frame));
                if sent.is_some_and(|sent| sent.is_err()) {
                    tracing::debug!("a frame is lost");
                }
                None
            }
            Action::Apply(records) => {
                let number = records.last()?.number;
                self.applied(number)
            }
            Action::ApplyReset(reset) => self.applied(reset.number),
            // There is no coordinator here, and there are no children.
            Action::Follow { .. } | Action::Unfollow | Action::ToChild { .. } | Action::EndChild { .. } => {
                None
            }
        }
    }

    fn applied(&self, number: u64) -> Option<Event> {
        self.connector.totals.apply(self.index, number);
        Some(Event::Applied { number })
    }
}

fn settings(conf: &Relay, name: String, me: Source) -> Settings {
    Settings {
        id: NodeId { instance: me.instance.0, incarnation: me.incarnation },
        name,
        role: Role::Router,
        parents: conf.parents.len(),
        lease: conf.lease,
        direct_lease: conf.direct_lease,
        drift_ppm: MAX_CLOCK_DRIFT_PPM,
        batch_every: conf.batch_interval,
        report_every: conf.report_interval,
        children: 0,
        records: conf.max_records,
        seed: me.instance.0 ^ me.incarnation,
        guards: Guards::default(),
    }
}

/// Issues the router's certificate in the authority's folder, and reads it.
fn tls(folder: &Path, name: &str) -> Result<Tls, String> {
    keys::issue(folder, name, DAYS)?;
    Tls::read(&Files {
        authority: folder.join("authority.pem"),
        certificate: folder.join(format!("{name}.pem")),
        key: folder.join(format!("{name}.key")),
    })
}

fn router(
    tasks: &Rc<LocalExecutor<'static>>,
    conf: &Relay,
    keys: &Path,
    number: usize,
    totals: &Rc<Totals>,
    index: usize,
) -> Result<(Router, Receiver<Event>), String> {
    let name = format!("h{number}");
    let me = Source { instance: InstanceId::of(&name), incarnation: clock::now() };
    let tls = tls(keys, &name)?;
    // Neighbours prefer different parents, so that all have as many.
    let mut parents = conf.parents.clone();
    if !parents.is_empty() {
        parents.rotate_left(number % conf.parents.len());
    }
    let node = Node::new(settings(conf, name, me), KNOWN, steady_now());
    let connector = Rc::new(Connector { me, tls, parents, totals: totals.clone() });
    let (events, heard) = async_channel::unbounded();
    Ok((Router { index, node, connector, tasks: tasks.clone(), events, connection: None }, heard))
}

/// Runs the routers `first` to `first + count` until standard input ends.
pub fn run(conf: &Relay, keys: &Path, first: usize, count: usize) -> Result<(), String> {
    let (changed, changes) = async_channel::bounded(1);
    let totals = Rc::new(Totals {
        applied: RefCell::new(vec![KNOWN; count]),
        least: Cell::new(KNOWN),
        since: Cell::new(0),
        fed: Cell::new(0),
        down: Cell::new(0),
        up: Cell::new(0),
        changed,
    });
    let tasks = Rc::new(LocalExecutor::new());
    for index in 0..count {
        let (router, heard) = router(&tasks, conf, keys, first + index, &totals, index)?;
        tasks.spawn(router.run(heard)).detach();
    }
    let own = totals.clone();
    tasks.spawn(async move { own.tell(changes).await }).detach();
    let input = blocking::unblock(|| io::copy(&mut io::stdin(), &mut io::sink()));
    async_io::block_on(tasks.run(input)).map(|_| ()).map_err(|e| e.to_string())
}
