//! Connections that carry what routers agree on: the queue of each one to an elector, and who calls an elector.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use bitternhold::Micros;
use silverspindle_agreement::{Frame, MOST_FRAME};
use silverspindle_knowledge::protocol::Message;

use super::Handle;
use crate::links::{Accepted, Connector, Service, run_duplex, write_frame};

/// After a failure it is tried again between these, drawn anew each time so that many don't come with one beat.
const SOONEST: u64 = 50;
const LATEST: u64 = 500;
/// A connection that nothing was sent on for so many stated times is closed.
const IDLE: u32 = 10;

/// The queue of a connection to an elector.
pub struct Link {
    /// What goes to it.
    pub frames: Sender<Frame>,
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
            let mut stream =
                connector.connect_and_send(&name, at, &Message::Open { me: connector.me }).await?;
            write_frame(&mut stream, &first).await?;
            if failing {
                tracing::info!(peer = name, "agreement: heard again at {at}");
            }
            failing = false;
            let heard = |frame| {
                handle.heard(&name, frame);
                Ok(())
            };
            run_duplex(stream, &frames, Some(idle), MOST_FRAME, heard).await
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

/// Takes connections of callers for the handle that is the router's now: another one takes over in an upgrade.
pub struct Current(pub Rc<RefCell<Option<Handle>>>);

impl Service for Current {
    /// It lives as long as its peer likes, bounded in number by the handle.
    fn accept(&self, name: &str, stream: Accepted) -> Result<Pin<Box<dyn Future<Output = ()>>>, String> {
        let handle = self.0.borrow().clone().ok_or("this router agrees on nothing")?;
        let caller = handle.caller(name).ok_or("too many callers")?;
        let (current, name) = (self.0.clone(), name.to_owned());
        Ok(Box::pin(async move {
            let heard = |frame| {
                if let Some(handle) = &*current.borrow() {
                    handle.heard(&name, frame);
                }
                Ok(())
            };
            if let Err(e) = run_duplex(stream, &caller.frames, None, caller.longest_frame, heard).await {
                tracing::debug!(peer = name, "agreement: {e}");
            }
        }))
    }
}
