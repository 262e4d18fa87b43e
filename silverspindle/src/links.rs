//! Connections between routers: TCP with mutual TLS, carrying the messages of the exchange protocol, and on top of these
//! frames of any serializable type, split into pieces and sent in both directions at once. The exchange, the agreement
//! and the distribution are built on this module.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, future, io as streams};
use futures_rustls::{TlsConnector, client, server};
use rustls::pki_types::ServerName;
use serde::Serialize;
use serde::de::DeserializeOwned;
use silverspindle_agreement::{MOST_FRAME, Pieces, pieces};
use silverspindle_knowledge::Source;
use silverspindle_knowledge::protocol::{self, Malformed, Message, VERSION};

use crate::framing::{self, MessageReader};
use crate::knowledge::keys::Tls;

/// Timeout of a TCP connect, and of the first frame on a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the TLS handshake.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout between two reads of a frame that has begun.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of writing one piece of a frame; the connection ends when it expires.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes per read.
const READ_CHUNK: usize = 16 * 1024;

/// A connection accepted from a peer.
pub type Accepted = server::TlsStream<Async<TcpStream>>;
/// A connection made to a peer.
pub type Connected = client::TlsStream<Async<TcpStream>>;

/// Takes over long-lived connections after their first frame.
pub trait Service {
    /// Returns the task that serves a connection of the peer with this name in its certificate, or the reason for
    /// refusing it.
    fn accept(&self, name: &str, stream: Accepted) -> Result<Pin<Box<dyn Future<Output = ()>>>, String>;
}

/// Runs `work` with a timeout. `what` names the awaited thing in the error.
pub(crate) async fn with_timeout<T>(
    timeout: Duration,
    what: &str,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let expired = async {
        Timer::after(timeout).await;
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("no {what} in time")))
    };
    future::or(work, expired).await
}

/// Number of bytes that the first message of the exchange protocol in the buffer needs.
pub(crate) fn measure(buffer: &[u8]) -> Result<usize, framing::Malformed> {
    protocol::measure(buffer).map_err(|_| framing::Malformed("a frame longer than any may be"))
}

/// An I/O error of kind `InvalidData`.
pub(crate) fn invalid_data(why: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_string())
}

/// Opens connections to other routers.
#[derive(Clone)]
pub struct Connector {
    /// Identity of this router.
    pub me: Source,
    /// TLS certificates and keys, reloaded on SIGHUP.
    pub tls: Rc<RefCell<Tls>>,
}

impl Connector {
    /// Opens a TLS connection to the router with this name in its certificate.
    pub async fn connect_tls(&self, name: &str, address: SocketAddr) -> io::Result<Connected> {
        let server = ServerName::try_from(name.to_owned()).map_err(io::Error::other)?;
        let connector = TlsConnector::from(self.tls.borrow().client.clone());
        let stream =
            with_timeout(CONNECT_TIMEOUT, "connection", Async::<TcpStream>::connect(address)).await?;
        let _ = stream.get_ref().set_nodelay(true);
        with_timeout(HANDSHAKE_TIMEOUT, "handshake", connector.connect(server, stream)).await
    }

    /// Opens a connection and sends its first message.
    pub async fn connect_and_send(
        &self,
        name: &str,
        address: SocketAddr,
        first: &Message,
    ) -> io::Result<Connected> {
        let mut stream = self.connect_tls(name, address).await?;
        stream.write_all(&protocol::encode(first, VERSION)).await?;
        stream.flush().await?;
        Ok(stream)
    }
}

/// Writes a frame as a sequence of pieces.
pub async fn write_frame<F: Serialize>(stream: &mut (impl AsyncWrite + Unpin), frame: &F) -> io::Result<()> {
    for piece in pieces(frame) {
        let bytes = protocol::encode(&Message::Piece(piece), VERSION);
        with_timeout(WRITE_TIMEOUT, "room for a frame", stream.write_all(&bytes)).await?;
    }
    with_timeout(WRITE_TIMEOUT, "room for a frame", stream.flush()).await
}

/// Reads frames of at most `max_bytes` bytes and passes them to `on_frame`, until the connection ends or `on_frame`
/// returns an error.
pub async fn read_frames<F: DeserializeOwned>(
    stream: impl AsyncRead + Unpin,
    max_bytes: usize,
    mut on_frame: impl FnMut(F) -> io::Result<()>,
) -> io::Result<()> {
    let mut messages = MessageReader::new(stream, measure, READ_CHUNK).with_stall_timeout(STALL_TIMEOUT);
    let mut assembler = Pieces::up_to(max_bytes);
    while let Some(bytes) = messages.next().await? {
        match protocol::decode(&bytes).map_err(invalid_data)? {
            Message::Piece(piece) => {
                if let Some(frame) = assembler.piece(&piece).map_err(invalid_data)? {
                    on_frame(frame)?;
                }
            }
            _ => return Err(invalid_data(Malformed::Kind(bytes[4]))),
        }
    }
    Ok(())
}

/// Sends the queued frames and reads the peer's frames at the same time, until one direction ends. A frame of the peer
/// may have at most `max_bytes` bytes. The connection is closed when nothing was sent for `idle`.
pub async fn run_duplex<F, S>(
    stream: S,
    frames: &Receiver<F>,
    idle: Option<Duration>,
    max_bytes: usize,
    on_frame: impl FnMut(F) -> io::Result<()>,
) -> io::Result<()>
where
    F: Serialize + DeserializeOwned,
    S: AsyncRead + AsyncWrite + Unpin,
{
    let (reader, mut writer) = streams::split(stream);
    let writes = async {
        loop {
            let idle_expired = async {
                match idle {
                    Some(idle) => Timer::after(idle).await,
                    None => Timer::never().await,
                };
                None
            };
            match future::or(async { frames.recv().await.ok() }, idle_expired).await {
                Some(frame) => write_frame(&mut writer, &frame).await?,
                None => return writer.close().await,
            }
        }
    };
    future::or(writes, read_frames(reader, max_bytes, on_frame)).await
}

/// Sends a question and waits for the first frame that `accept` takes as its answer. `likely_cause` is named in the
/// error if the peer closes the connection instead.
pub async fn ask<F, T>(
    mut stream: Connected,
    question: &F,
    timeout: Duration,
    likely_cause: &str,
    mut accept: impl FnMut(F) -> Option<T>,
) -> io::Result<T>
where
    F: Serialize + DeserializeOwned,
{
    write_frame(&mut stream, question).await?;
    let found = RefCell::new(None);
    let (notify, notified) = async_channel::bounded::<()>(1);
    let on_frame = |frame| {
        if let Some(answer) = accept(frame) {
            *found.borrow_mut() = Some(answer);
            let _ = notify.try_send(());
        }
        Ok(())
    };
    let reads = async {
        read_frames(stream, MOST_FRAME, on_frame).await?;
        Err(io::Error::other(format!("closed without an answer: {likely_cause}")))
    };
    let answered = async {
        let _ = notified.recv().await;
        Ok(())
    };
    with_timeout(timeout, "answer", future::or(answered, reads)).await?;
    found.take().ok_or_else(|| io::Error::other("no answer"))
}
