//! A stand-in coordinator: it keeps its events and gives each router what it lacks, then an empty frame a second.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::codec::{self, News};

/// How soon a router hears of an event.
const LOOK: Duration = Duration::from_millis(20);
const HEARTBEAT: u32 = 50;

/// The coordinator.
#[derive(Debug)]
pub struct Coordinator {
    /// Where it listens.
    pub address: SocketAddr,
    /// Events from number 2 on; number 1 is the list that routers start with.
    events: RefCell<Vec<News>>,
    /// It tells nothing, not even that there is nothing.
    pub stalled: Cell<bool>,
}

impl Coordinator {
    /// Listens and serves.
    pub fn start(tasks: &Rc<LocalExecutor<'static>>) -> io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let own = Rc::new(Self { address, events: RefCell::default(), stalled: Cell::new(false) });
        let (all, this) = (tasks.clone(), own.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let this = this.clone();
                all.spawn(async move { drop(this.serve(stream).await) }).detach();
            }
        };
        tasks.spawn(accept).detach();
        Ok(own)
    }

    /// Tells all routers; the event's number.
    pub fn tell(&self, news: News) -> u64 {
        let mut events = self.events.borrow_mut();
        events.push(news);
        events.len() as u64 + 1
    }

    async fn serve(&self, mut stream: Async<TcpStream>) -> io::Result<()> {
        let mut last = [0; 8];
        stream.read_exact(&mut last).await?;
        let (mut last, mut quiet) = (u64::from_be_bytes(last).max(1), HEARTBEAT);
        loop {
            while self.stalled.get() {
                Timer::after(LOOK).await;
            }
            let next: Vec<News> = self.events.borrow().iter().skip(last as usize - 1).cloned().collect();
            for news in &next {
                last += 1;
                stream.write_all(&codec::event(last, news)).await?;
            }
            quiet += 1;
            if quiet >= HEARTBEAT || !next.is_empty() {
                stream.write_all(&codec::event(last, &News::Nothing)).await?;
                quiet = 0;
            }
            Timer::after(LOOK).await;
        }
    }
}
