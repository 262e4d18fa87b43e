//! The connections to one coordinator: opens them as [`Hedging`] decides, and reads frames from all of them.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::{Async, Timer};
use bitternhold::Micros;
use bytes::Bytes;
use futures_lite::stream::{self, Stream};
use futures_lite::{AsyncRead, AsyncWriteExt, future};

use super::hedging::{ConnectionId, Hedging};
use crate::feed;
use crate::framing::MessageReader;
use crate::steady::steady_now;

/// Time without bytes in the middle of a frame after which the frame counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read of a frame at once.
const READ_CHUNK: usize = 16 * 1024;
/// Interval at which a waiting read is polled, to know up to when the socket was empty.
const EMPTY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// What came on a connection.
#[derive(Debug)]
pub(super) enum Incoming {
    /// A whole frame. It arrived after this time of the steady clock: the socket was empty then.
    Frame { frame: Bytes, after: Micros },
    /// The rest of a frame has not come for [`STALL_TIMEOUT`].
    Stalled,
    /// The connection ended, or could not be opened.
    Ended {
        error: io::Error,
        /// The last time at which the connection was known to be up; `None` if it never was, or if this side ended it.
        broken_after: Option<Micros>,
    },
}

/// One connection.
struct Connection {
    id: ConnectionId,
    incoming: Pin<Box<dyn Stream<Item = Incoming>>>,
    /// When bytes last came, on the steady clock; 0 before.
    received_at: Rc<Cell<Micros>>,
}

/// All connections to one coordinator. Dropping it closes them.
pub(super) struct Connections {
    address: SocketAddr,
    hedging: Hedging,
    open: Vec<Connection>,
}

impl Connections {
    /// No connection yet; the first is opened by [`Self::next`].
    pub fn new(address: SocketAddr) -> Self {
        Self { address, hedging: Hedging::new(steady_now()), open: Vec::new() }
    }

    /// What comes next, on any connection. Those that are opened meanwhile ask for what follows the event `last`.
    pub async fn next(&mut self, last: u64) -> (ConnectionId, Incoming) {
        loop {
            let now = steady_now();
            if now >= self.hedging.next_open_at() {
                self.open_another(now, last);
            }
            let wait = Duration::from_micros(self.hedging.next_open_at().saturating_sub(now));
            let due = async {
                Timer::after(wait).await;
                None
            };
            let incoming = async { Some(poll_fn(|context| self.poll_next(context)).await) };
            if let Some(incoming) = future::or(incoming, due).await {
                return incoming;
            }
        }
    }

    fn open_another(&mut self, now: Micros, last: u64) {
        for connection in &self.open {
            self.hedging.received(connection.id, connection.received_at.get());
        }
        let Some(opening) = self.hedging.open(now) else { return };
        if !self.open.is_empty() {
            let open = self.open.len();
            tracing::warn!(
                event = last,
                "coordinator {}: silent on {open}; one more is opened",
                self.address
            );
        }
        self.close_unwanted();
        let received_at = Rc::new(Cell::new(0));
        let incoming = Box::pin(read_connection(self.address, last, received_at.clone()));
        self.open.push(Connection { id: opening.id, incoming, received_at });
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<(ConnectionId, Incoming)> {
        for connection in &mut self.open {
            if let Poll::Ready(Some(incoming)) = connection.incoming.as_mut().poll_next(context) {
                return Poll::Ready((connection.id, incoming));
            }
        }
        Poll::Pending
    }

    /// Records a frame that was taken over, and closes the other connections.
    pub fn delivered(&mut self, id: ConnectionId, is_event: bool) {
        self.hedging.delivered(id, steady_now(), is_event);
        self.close_unwanted();
    }

    /// Records a frame that brought nothing to act on.
    pub fn heard(&mut self, id: ConnectionId) {
        self.hedging.heard(id, steady_now());
    }

    /// Records that a frame stalled.
    pub fn stalled(&mut self) {
        self.hedging.stalled(steady_now());
    }

    /// Closes a connection, or records that it ended.
    pub fn end(&mut self, id: ConnectionId) {
        self.hedging.ended(id, steady_now());
        self.close_unwanted();
    }

    fn close_unwanted(&mut self) {
        self.open.retain(|connection| self.hedging.is_open(connection.id));
    }
}

/// The stages of reading a connection.
enum Stage {
    Connect { address: SocketAddr, last: u64 },
    Read(Box<Reader>),
    Ended,
}

struct Reader {
    frames: MessageReader<Observed>,
    /// The time since when nothing is left unread: what comes then was not there yet, however late it is read.
    empty_at: Micros,
}

/// Connects, asks for what follows the event `last`, and reads until the connection ends. `received_at` is set to the
/// time of each read.
fn read_connection(
    address: SocketAddr,
    last: u64,
    received_at: Rc<Cell<Micros>>,
) -> impl Stream<Item = Incoming> {
    stream::unfold(Stage::Connect { address, last }, move |stage| {
        let received_at = received_at.clone();
        async move {
            let mut reader = match stage {
                Stage::Ended => return None,
                Stage::Read(reader) => reader,
                Stage::Connect { address, last } => match connect(address, last, received_at).await {
                    Ok(reader) => Box::new(reader),
                    Err(error) => return Some((Incoming::Ended { error, broken_after: None }, Stage::Ended)),
                },
            };
            let incoming = reader.next().await;
            let stage = match incoming {
                Incoming::Ended { .. } => Stage::Ended,
                _ => Stage::Read(reader),
            };
            Some((incoming, stage))
        }
    })
}

async fn connect(address: SocketAddr, last: u64, received_at: Rc<Cell<Micros>>) -> io::Result<Reader> {
    let stream = Async::<TcpStream>::connect(address).await?;
    (&stream).write_all(&last.to_be_bytes()).await?;
    tracing::info!(event = last, "coordinator {address}: following");
    let frames = MessageReader::new(Observed { stream, received_at }, feed::measure, READ_CHUNK);
    Ok(Reader { frames: frames.with_stall_timeout(STALL_TIMEOUT), empty_at: steady_now() })
}

impl Reader {
    async fn next(&mut self) -> Incoming {
        let error = match read_when_empty_until(self.frames.next(), &mut self.empty_at).await {
            Ok(Some(frame)) => return Incoming::Frame { frame, after: self.empty_at },
            Ok(None) => io::Error::new(io::ErrorKind::UnexpectedEof, "closed"),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => return Incoming::Stalled,
            Err(error) => error,
        };
        // It is this side that ends a connection with a frame that can't be read.
        let broken = error.kind() != io::ErrorKind::InvalidData;
        Incoming::Ended { error, broken_after: broken.then_some(self.empty_at) }
    }
}

/// Completes a read and records the last time at which the socket was still empty.
async fn read_when_empty_until<T>(read: impl Future<Output = T>, empty_at: &mut Micros) -> T {
    let mut read = pin!(read);
    loop {
        let began = steady_now();
        if let Some(done) = future::poll_once(&mut read).await {
            return done;
        }
        *empty_at = began;
        let check_due = async {
            Timer::after(EMPTY_CHECK_INTERVAL).await;
            None
        };
        if let Some(done) = future::or(async { Some((&mut read).await) }, check_due).await {
            return done;
        }
    }
}

/// A stream that records when bytes were last read from it.
struct Observed {
    stream: Async<TcpStream>,
    received_at: Rc<Cell<Micros>>,
}

impl AsyncRead for Observed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.received_at.set(steady_now());
        }
        read
    }
}
