//! The connection to a parent: one at a time, made where the core says so.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use silverspindle_knowledge::protocol::Message;
use silverspindle_relay::{Frame, ParentId, bounds};

use crate::links::{Connector, run_duplex};

/// Frames that may wait for the parent: reports, of which the next says more than a lost one.
const OUTBOX: usize = 16;
/// Frames of the parent's that may wait for the core.
const INBOX: usize = 64;

/// What a parent's connection tells.
#[derive(Debug)]
pub enum Heard {
    /// It is up.
    Up,
    /// A frame came.
    Frame(Frame),
    /// It could not be made, or has ended.
    Down(String),
}

/// A connection, made or being made; it ends when dropped.
pub struct Parent {
    /// Which.
    pub id: ParentId,
    /// Its name.
    pub name: String,
    /// What goes to it.
    pub frames: Sender<Frame>,
    /// What comes of it.
    pub heard: Receiver<Heard>,
    _task: Task<()>,
}

impl Parent {
    /// Begins to connect.
    pub fn connect(
        id: ParentId,
        (name, at): (String, SocketAddr),
        connector: Connector,
        tasks: &LocalExecutor<'static>,
    ) -> Self {
        let (frames, outbox) = async_channel::bounded(OUTBOX);
        let (inbox, heard) = async_channel::bounded(INBOX);
        let talk = talk(connector, name.clone(), at, outbox, inbox);
        Self { id, name, frames, heard, _task: tasks.spawn(talk) }
    }
}

async fn talk(
    connector: Connector,
    name: String,
    at: SocketAddr,
    outbox: Receiver<Frame>,
    inbox: Sender<Heard>,
) {
    let whole = async {
        let stream = connector.connect_and_send(&name, at, &Message::Subscribe { me: connector.me }).await?;
        let _ = inbox.send(Heard::Up).await;
        let full = |_| std::io::Error::other("more frames than can be taken");
        let heard = |frame| inbox.try_send(Heard::Frame(frame)).map_err(full);
        run_duplex(stream, &outbox, None::<Duration>, bounds::FRAME, heard).await
    };
    let why = match whole.await {
        Ok(()) => "closed".to_owned(),
        Err(e) => e.to_string(),
    };
    let _ = inbox.send(Heard::Down(why)).await;
}
