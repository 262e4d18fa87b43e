//! The exchange on sockets, both sides: a donor gives to newcomers behind its clients, a newcomer asks after its
//! start while it serves. What is decided is in `silverspindle-knowledge`; here it meets TCP and TLS.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bitternhold::Micros;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, future};
use futures_rustls::TlsAcceptor;
use rustls::pki_types::CertificateDer;
use silverspindle_conf::Exchange;
use silverspindle_knowledge::asking::{Action, Asking, Event};
use silverspindle_knowledge::giving::{CHUNK, Giving};
use silverspindle_knowledge::protocol::{self, Malformed, Message as Frame, Offer, Taken, Taking, VERSION};
use silverspindle_knowledge::{InstanceId, Item, Source};

use super::Steady;
use super::keys::{self, Tls};
use crate::framing::MessageReader;
use crate::links::{
    Accepted, CONNECT_TIMEOUT, Connector, HANDSHAKE_TIMEOUT, STALL_TIMEOUT, Service, invalid_data, measure,
    with_timeout,
};
use crate::traffic::Message;

/// A whole exchange takes no longer, however it drips.
const WHOLE: Duration = Duration::from_secs(10);
/// Connections of newcomers that may be before their first frame; a bound on descriptors besides those served.
const AT_THE_DOOR: usize = 4;
/// As many more where routers agree on things: electors come back behind all their followers.
pub(crate) const AT_THE_DOOR_AGREED: usize = 16;
/// With more messages waiting than this the director has clients to serve.
const BUSY: usize = 8;
/// Who it is, with room to spare.
const MOST_FIRST: usize = 1024;
/// How often certificates are looked at.
const WATCH: Duration = Duration::from_secs(12 * 3600);
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);

/// Descriptors that it may take.
pub fn descriptors(conf: &Exchange) -> usize {
    let gives = if conf.listen.is_some() { 1 + AT_THE_DOOR + conf.max_newcomers } else { 0 };
    gives + conf.max_donors_at_once.min(conf.donors.len())
}

async fn frame(frames: &mut MessageReader<impl AsyncRead + Unpin>) -> io::Result<bytes::Bytes> {
    let closed = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed by the peer");
    frames.next().await?.ok_or_else(closed)
}

/// The first frame of a connection and nothing behind it: what it opens may have come along with it.
async fn first(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; 4];
    stream.read_exact(&mut bytes).await?;
    let length = measure(&bytes)?;
    if length > MOST_FIRST {
        return Err(invalid_data(Malformed::Length(length as u64 - 4)));
    }
    bytes.resize(length, 0);
    stream.read_exact(&mut bytes[4..]).await?;
    Ok(bytes)
}

/// The name in a peer's certificate, for the log.
fn peer(certificates: Option<&[CertificateDer<'static>]>) -> String {
    let about = certificates.and_then(|all| keys::about(all.first()?).ok());
    about.and_then(|a| a.names.into_iter().next()).unwrap_or_else(|| "-".to_owned())
}

/// What both sides share.
pub struct Hub {
    me: Source,
    steady: Steady,
    /// Read anew on SIGHUP; what routers agree on goes by the same.
    pub tls: Rc<RefCell<Tls>>,
    conf: RefCell<Exchange>,
    giving: RefCell<Giving>,
    at_the_door: Cell<usize>,
    director: Sender<Message>,
    /// What routers agree on, where that is on.
    agreement: RefCell<Option<Rc<dyn Service>>>,
    /// Who takes purges and list events from this one, where that is on.
    distribution: RefCell<Option<Rc<dyn Service>>>,
    /// Connections beyond the usual that may be before their first frame.
    more_at_the_door: Cell<usize>,
}

impl Hub {
    /// Reads the keys; a fault in them is the start's.
    pub fn new(
        me: Source,
        steady: Steady,
        conf: Exchange,
        director: Sender<Message>,
    ) -> Result<Rc<Self>, String> {
        Ok(Rc::new(Self {
            me,
            steady,
            tls: Rc::new(RefCell::new(Tls::read(&conf.files)?)),
            giving: RefCell::new(Giving::new(conf.give_rate, conf.max_newcomers)),
            conf: RefCell::new(conf),
            at_the_door: Cell::new(0),
            director,
            agreement: RefCell::new(None),
            distribution: RefCell::new(None),
            more_at_the_door: Cell::new(0),
        }))
    }

    /// Connections that open for it carry what routers agree on from now on.
    pub fn agree(&self, service: Rc<dyn Service>) {
        *self.agreement.borrow_mut() = Some(service);
        self.more_at_the_door.set(AT_THE_DOOR_AGREED);
    }

    /// Connections that subscribe carry purges and list events from now on.
    pub fn distribute(&self, service: Rc<dyn Service>) {
        *self.distribution.borrow_mut() = Some(service);
        self.more_at_the_door.set(AT_THE_DOOR_AGREED);
    }

    /// Takes new settings and reads the keys anew. A fault keeps the old ones.
    pub fn reload(&self, conf: &Exchange) {
        match Tls::read(&conf.files) {
            Ok(tls) => {
                *self.tls.borrow_mut() = tls;
                self.giving.borrow_mut().set(conf.give_rate, conf.max_newcomers);
                *self.conf.borrow_mut() = conf.clone();
            }
            Err(e) => tracing::warn!("{e}; the old keys are kept"),
        }
    }

    /// Warns of certificates that end, twice a day, for ever.
    pub async fn watch(self: Rc<Self>) {
        loop {
            Timer::after(WATCH).await;
            self.tls.borrow().warn();
        }
    }

    /// Gives to whoever asks with a certificate of the office's authority, for ever.
    pub async fn give(self: Rc<Self>, listener: Async<TcpListener>, tasks: Rc<LocalExecutor<'static>>) {
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    Timer::after(ACCEPT_AGAIN).await;
                    continue;
                }
            };
            if self.at_the_door.get() >= AT_THE_DOOR + self.more_at_the_door.get() {
                // Who is turned away here has no certificate shown yet; a newcomer comes again by itself.
                continue;
            }
            self.at_the_door.set(self.at_the_door.get() + 1);
            let hub = self.clone();
            let serve = async move {
                match with_timeout(WHOLE, "end", hub.serve(stream)).await {
                    Ok(None) => {}
                    Ok(Some(stays)) => stays.await,
                    Err(e) => tracing::warn!(peer = %from, "a newcomer was not served: {e}"),
                }
            };
            tasks.spawn(serve).detach();
        }
    }

    /// Serves a newcomer whole, or takes a connection in that stays.
    async fn serve(&self, stream: Async<TcpStream>) -> io::Result<Option<Staying>> {
        let _ = stream.get_ref().set_nodelay(true);
        let hello = async {
            let acceptor = TlsAcceptor::from(self.tls.borrow().server.clone());
            let mut stream = with_timeout(HANDSHAKE_TIMEOUT, "handshake", acceptor.accept(stream)).await?;
            let hello = with_timeout(CONNECT_TIMEOUT, "first frame", first(&mut stream)).await?;
            Ok::<_, io::Error>((stream, hello))
        };
        let door = Door(&self.at_the_door);
        let (mut stream, hello) = hello.await?;
        drop(door);
        let name = peer(stream.get_ref().1.peer_certificates());
        let me = match protocol::decode(&hello) {
            Ok(Frame::Hello { me }) if me.instance == InstanceId::of(&name) => me,
            Ok(Frame::Open { me }) if me.instance == InstanceId::of(&name) => {
                return stays(&self.agreement, "this router agrees on nothing", &name, stream);
            }
            Ok(Frame::Subscribe { me }) if me.instance == InstanceId::of(&name) => {
                return stays(&self.distribution, "this router passes no purges on", &name, stream);
            }
            Ok(Frame::Hello { .. } | Frame::Open { .. } | Frame::Subscribe { .. }) => {
                return Err(io::Error::other("the name is not the certificate's"));
            }
            Ok(_) => return Err(invalid_data(Malformed::Kind(hello[4]))),
            Err(why) => {
                // So that a peer of another version learns which one is spoken here.
                let own = Offer { me: self.me, up: self.steady.up(), items: 0 };
                let _ = stream.write_all(&protocol::encode(&Frame::Offer(own), VERSION)).await;
                return Err(invalid_data(why));
            }
        };
        let admitted = self.giving.borrow().admit(me.instance, self.steady.now());
        if let Err(after) = admitted {
            stream.write_all(&protocol::encode(&Frame::Busy { after }, VERSION)).await?;
            return stream.close().await.map(|()| None);
        }
        let (reply, items) = async_channel::bounded(1);
        let gone = |_| io::Error::other("the router is ending");
        self.director
            .send(Message::ExportKnowledge { reply })
            .await
            .map_err(|_| io::Error::other("the router is ending"))?;
        let items = items.recv().await.map_err(gone)?;
        let up = self.steady.up();
        let (count, frames) = protocol::answer(items, protocol::MOST_TRANSFER);
        let transfer = Transfer::begin(&self.giving, frames.iter().map(Vec::len).sum());
        let offer = Offer { me: self.me, up, items: count };
        stream.write_all(&protocol::encode(&Frame::Offer(offer), VERSION)).await?;
        for chunk in frames.iter().flat_map(|frame| frame.chunks(CHUNK)) {
            transfer.wait(chunk.len(), &self.steady, &self.director).await;
            stream.write_all(chunk).await?;
            stream.flush().await?;
            future::yield_now().await;
        }
        let ms = (self.steady.up() - up) / 1000;
        tracing::info!(peer = name, "gave {count} items, {} bytes, in {ms} ms", transfer.bytes);
        stream.close().await.map(|()| None)
    }

    /// Asks donors, from the start on until enough is known.
    pub async fn ask(self: Rc<Self>, tasks: Rc<LocalExecutor<'static>>) {
        let donors = self.conf.borrow().donors.clone();
        let ids: Vec<InstanceId> = donors.iter().map(|(name, _)| InstanceId::of(name)).collect();
        let (at_once, until) = {
            let conf = self.conf.borrow();
            (conf.max_donors_at_once, self.steady.now() + conf.ask_period)
        };
        let mut plan = Asking::new(self.me, &ids, at_once, until);
        let (tell, told) = async_channel::bounded(ids.len().max(1));
        let (mut actions, mut event) = (Vec::new(), Event::Tick);
        loop {
            plan.handle(self.steady.now(), event, &mut actions);
            let mut wake = None;
            for action in actions.drain(..) {
                match action {
                    Action::Ask(donor) => {
                        let (hub, (name, at), tell) = (self.clone(), donors[donor].clone(), tell.clone());
                        let ask = async move {
                            let event = hub.one(donor, &name, at).await;
                            let _ = tell.send(event).await;
                        };
                        tasks.spawn(ask).detach();
                    }
                    Action::Wake(at) => wake = Some(at),
                    Action::Done => return tracing::info!("asked enough"),
                }
            }
            let due = wake.unwrap_or(until).saturating_sub(self.steady.now());
            let tick = async {
                Timer::after(Duration::from_micros(due)).await;
                Event::Tick
            };
            let answer = async { told.recv().await.unwrap_or(Event::Tick) };
            event = future::or(answer, tick).await;
        }
    }

    /// Asks one donor; what it gives whole goes to the director.
    async fn one(&self, donor: usize, name: &str, at: SocketAddr) -> Event {
        match with_timeout(WHOLE, "end", self.fetch(name, at)).await {
            Ok(Answer::Busy(after)) => Event::Busy { donor, after },
            Ok(Answer::Whole { offer, items, transit }) => {
                let n = items.len();
                tracing::info!(peer = name, "learnt {n} items, up {} s", offer.up / 1_000_000);
                let _ = self.director.send(Message::ImportKnowledge { transit, items }).await;
                Event::Answered { donor, up: offer.up }
            }
            Err(e) => {
                tracing::warn!(peer = name, "donor at {at}: {e}; nothing of it is taken in");
                Event::Failed { donor }
            }
        }
    }

    async fn fetch(&self, name: &str, at: SocketAddr) -> io::Result<Answer> {
        let connector = Connector { me: self.me, tls: self.tls.clone() };
        let mut stream = connector.connect_tls(name, at).await?;
        let asked = self.steady.now();
        stream.write_all(&protocol::encode(&Frame::Hello { me: self.me }, VERSION)).await?;
        stream.flush().await?;
        self.read(name, asked, stream).await
    }

    async fn read(
        &self,
        name: &str,
        asked: Micros,
        stream: impl AsyncRead + AsyncWrite + Unpin,
    ) -> io::Result<Answer> {
        let mut frames = MessageReader::new(stream, measure, CHUNK).with_stall_timeout(STALL_TIMEOUT);
        let mut taking = Taking::default();
        let mut next = with_timeout(CONNECT_TIMEOUT, "offer", frame(&mut frames)).await?;
        loop {
            match taking.frame(&next).map_err(invalid_data)? {
                Taken::More => {}
                Taken::Busy(after) => return Ok(Answer::Busy(after)),
                Taken::Whole(offer, _) if offer.me.instance != InstanceId::of(name) => {
                    return Err(io::Error::other("the name is not the certificate's"));
                }
                Taken::Whole(offer, items) => {
                    // Ages are as of when they were written, at some time since it was asked.
                    let transit = self.steady.now() - asked;
                    return Ok(Answer::Whole { offer, items, transit });
                }
            }
            next = frame(&mut frames).await?;
        }
    }
}

/// The life of a connection that stays.
type Staying = Pin<Box<dyn Future<Output = ()>>>;

/// Hands a connection that stays to whom it opened for.
fn stays(
    service: &RefCell<Option<Rc<dyn Service>>>,
    off: &str,
    name: &str,
    stream: Accepted,
) -> io::Result<Option<Staying>> {
    let service = service.borrow().clone().ok_or_else(|| io::Error::other(off))?;
    service.accept(name, stream).map(Some).map_err(io::Error::other)
}

enum Answer {
    Busy(Micros),
    Whole { offer: Offer, items: Vec<Item>, transit: Micros },
}

/// One connection before its first frame; gone when dropped.
struct Door<'a>(&'a Cell<usize>);

impl Drop for Door<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A transfer under the donor's plan; ended when dropped.
struct Transfer<'a> {
    giving: &'a RefCell<Giving>,
    number: u64,
    bytes: usize,
}

impl<'a> Transfer<'a> {
    fn begin(giving: &'a RefCell<Giving>, bytes: usize) -> Self {
        let number = giving.borrow_mut().begin(bytes);
        Self { giving, number, bytes }
    }

    async fn wait(&self, bytes: usize, steady: &Steady, director: &Sender<Message>) {
        loop {
            let busy = director.len() > BUSY;
            let may = self.giving.borrow_mut().may_write(self.number, bytes, busy, steady.now());
            match may {
                Ok(()) => return,
                Err(wait) => Timer::after(Duration::from_micros(wait)).await,
            };
        }
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.giving.borrow_mut().end(self.number);
    }
}
