//! The list's actor: follows the coordinator's events, from `known` on, and hands them to the director.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use std::io;
use std::net::TcpStream;

use crate::feed::{self, Event, News};
use crate::framing::Messages;

/// An empty frame comes each second: without any for so long the coordinator is cut off.
const SILENT: Duration = Duration::from_secs(3);
/// Waits before connecting anew, doubled up to the second.
const AGAIN: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_secs(1);
const CHUNK: usize = 16 * 1024;

/// What the actor needs.
#[derive(Debug)]
pub struct Coordinator {
    /// Where the coordinator listens.
    pub address: SocketAddr,
    /// The last event that is known.
    pub last: u64,
    /// Where events go.
    pub news: Sender<News>,
}

async fn in_time<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let late = async {
        Timer::after(SILENT).await;
        Err(io::Error::new(io::ErrorKind::TimedOut, "silent"))
    };
    future::or(work, late).await
}

impl Coordinator {
    /// Runs until the director is gone.
    pub async fn run(mut self) {
        let mut wait = AGAIN;
        while !self.news.is_closed() {
            let before = self.last;
            let Err(e) = self.follow().await else { break };
            log::warn!("coordinator {}: {e}; connecting anew after event {}", self.address, self.last);
            wait = if self.last > before { AGAIN } else { wait };
            Timer::after(wait).await;
            wait = (wait * 2).min(AGAIN_MOST);
        }
    }

    /// One connection, to its end.
    async fn follow(&mut self) -> io::Result<()> {
        let stream = in_time(Async::<TcpStream>::connect(self.address)).await?;
        (&stream).write_all(&self.last.to_be_bytes()).await?;
        log::info!("coordinator {}: following from event {}", self.address, self.last);
        let mut frames = Messages::new(&stream, feed::measure, CHUNK);
        loop {
            let Some(frame) = in_time(frames.next()).await? else {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed"));
            };
            let Event { index, news } = feed::decode(&frame)?;
            // What came already, before a break, is not told twice: an old list would undo newer changes.
            if news == News::Nothing || index <= self.last {
                continue;
            }
            if index > self.last + 1 {
                log::warn!("coordinator: events {} to {} are missing", self.last + 1, index - 1);
            }
            self.last = index;
            if self.news.send(news).await.is_err() {
                return Ok(());
            }
        }
    }
}
