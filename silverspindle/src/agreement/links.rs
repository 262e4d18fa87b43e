//! Connections that carry what routers agree on: the exchange's, with its TLS and frames.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bitternhold::Micros;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, future, io as streams};
use futures_rustls::{TlsConnector, client::TlsStream};
use rustls::pki_types::ServerName;
use silverspindle_agreement::{Assembler, Frame, MOST_FRAME, pieces};
use silverspindle_knowledge::Source;
use silverspindle_knowledge::protocol::{self, Message, VERSION};

use super::{Caller, Handle};
use crate::framing::Messages;
use crate::knowledge::exchange::{CONNECT, HANDSHAKE, STALL, measure, within};
use crate::knowledge::keys::Tls;

/// A write that gets no further for so long ends its connection.
const WRITE: Duration = Duration::from_secs(2);
/// After a failure it is tried again between these, drawn anew each time so that many don't come with one beat.
const SOONEST: u64 = 50;
const LATEST: u64 = 500;
/// A connection that nothing was sent on for so many stated times is closed.
const IDLE: u32 = 10;

/// What it takes to connect.
#[derive(Clone)]
pub struct Connector {
    /// Who this is.
    pub me: Source,
    /// Keys, read anew on SIGHUP.
    pub tls: Rc<RefCell<Tls>>,
}

/// The queue of a connection to an elector.
pub struct Link {
    /// What goes to it.
    pub frames: Sender<Frame>,
}

impl Connector {
    /// A connection to the router with this name in its certificate, open for frames.
    pub async fn connect(&self, name: &str, at: SocketAddr) -> io::Result<TlsStream<Async<TcpStream>>> {
        let server = ServerName::try_from(name.to_owned()).map_err(io::Error::other)?;
        let connector = TlsConnector::from(self.tls.borrow().client.clone());
        let stream = within(CONNECT, "connection", Async::<TcpStream>::connect(at)).await?;
        let _ = stream.get_ref().set_nodelay(true);
        let mut stream = within(HANDSHAKE, "handshake", connector.connect(server, stream)).await?;
        stream.write_all(&protocol::encode(&Message::Open { me: self.me }, VERSION)).await?;
        stream.flush().await?;
        Ok(stream)
    }
}

/// Writes a frame in its pieces.
pub async fn write(stream: &mut (impl AsyncWrite + Unpin), frame: &Frame) -> io::Result<()> {
    for piece in pieces(frame) {
        let bytes = protocol::encode(&Message::Piece(piece), VERSION);
        within(WRITE, "room for a frame", stream.write_all(&bytes)).await?;
    }
    within(WRITE, "room for a frame", stream.flush()).await
}

/// Reads an elector's frames until the connection ends.
pub async fn read(stream: impl AsyncRead + Unpin, each: impl FnMut(Frame)) -> io::Result<()> {
    read_up_to(MOST_FRAME, stream, each).await
}

/// Reads frames that are no longer than this until the connection ends.
async fn read_up_to(
    longest_frame: usize,
    stream: impl AsyncRead + Unpin,
    mut each: impl FnMut(Frame),
) -> io::Result<()> {
    let mut messages = Messages::new(stream, measure, 16 * 1024).or_stall(STALL);
    let mut whole = Assembler::of_frames_up_to(longest_frame);
    let malformed = |why: &dyn std::fmt::Display| io::Error::new(io::ErrorKind::InvalidData, why.to_string());
    while let Some(bytes) = messages.next().await? {
        match protocol::decode(&bytes).map_err(|e| malformed(&e))? {
            Message::Piece(piece) => {
                if let Some(frame) = whole.piece(&piece).map_err(|e| malformed(&e))? {
                    each(frame);
                }
            }
            _ => return Err(malformed(&"another kind of frame among pieces")),
        }
    }
    Ok(())
}

/// A caller's connection, until one side ends it.
pub async fn serve<S: AsyncRead + AsyncWrite + Unpin>(
    stream: S,
    caller: &Caller,
    each: impl FnMut(Frame),
) -> io::Result<()> {
    both(stream, &caller.frames, None, caller.longest_frame, each).await
}

/// Both ways at once, until one of them ends.
async fn both<S: AsyncRead + AsyncWrite + Unpin>(
    stream: S,
    frames: &Receiver<Frame>,
    idle: Option<Duration>,
    longest_frame: usize,
    each: impl FnMut(Frame),
) -> io::Result<()> {
    let (reader, mut writer) = streams::split(stream);
    let writes = async {
        loop {
            let quiet = async {
                match idle {
                    Some(idle) => Timer::after(idle).await,
                    None => Timer::never().await,
                };
                None
            };
            match future::or(async { frames.recv().await.ok() }, quiet).await {
                Some(frame) => write(&mut writer, &frame).await?,
                None => return writer.close().await,
            }
        }
    };
    future::or(writes, read_up_to(longest_frame, reader, each)).await
}

/// The connection to an elector, made when there is something to send; for ever.
pub async fn run(
    connector: Connector,
    name: String,
    at: SocketAddr,
    frames: Receiver<Frame>,
    handle: Handle,
    lease: Micros,
) {
    let idle = Duration::from_micros(lease) * IDLE;
    let mut failing = false;
    while let Ok(first) = frames.recv().await {
        let talk = async {
            let mut stream = connector.connect(&name, at).await?;
            write(&mut stream, &first).await?;
            if failing {
                tracing::info!(peer = name, "agreement: heard again at {at}");
            }
            failing = false;
            both(stream, &frames, Some(idle), MOST_FRAME, |frame| handle.heard(&name, frame)).await
        };
        if let Err(e) = talk.await {
            if !failing {
                tracing::warn!(peer = name, "agreement: {at}: {e}");
            }
            failing = true;
            let pause = SOONEST + super::draw().unwrap_or(0) % (LATEST - SOONEST);
            Timer::after(Duration::from_millis(pause)).await;
            // What waited is older than what the core would say now.
            while frames.try_recv().is_ok() {}
        }
    }
}
