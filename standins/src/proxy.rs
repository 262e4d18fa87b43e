//! Proxies between processes: one for each directed pair, that holds, delays, throttles, cuts and breaks in mid-frame
//! by script. What is held comes later: on TCP a lost packet is a wait, never a gap.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use crate::Micros;
use crate::office::rest;

const LOOK_AGAIN: Micros = 5_000;

/// What is wrong on the way from the one to the other; answers on the same connection have a way of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// Nothing.
    #[default]
    Open,
    /// Nothing gets through.
    Held,
    /// Each piece takes so much longer.
    Late(Micros),
    /// So many bytes a second.
    Slow(u64),
    /// Connections are reset, and refused.
    Cut,
}

/// A proxy to one address.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    to: SocketAddr,
    /// Towards that address, and back.
    pub ways: [Cell<Way>; 2],
    /// The next piece goes through by half, then its connection is reset.
    pub tear: Cell<bool>,
    /// Bytes that went either way.
    pub bytes: Cell<u64>,
    /// Faults that are not over, by number, with what they make of both ways; the last one counts.
    faults: RefCell<Vec<(usize, [Way; 2])>>,
}

fn reset(stream: &Async<TcpStream>) {
    let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(std::time::Duration::ZERO));
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}

impl Proxy {
    /// Listens and passes on.
    pub fn start(tasks: &Rc<LocalExecutor<'static>>, to: SocketAddr) -> io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 2, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let proxy = Rc::new(Self {
            address,
            to,
            ways: Default::default(),
            tear: Cell::new(false),
            bytes: Cell::new(0),
            faults: RefCell::default(),
        });
        let (own, all) = (proxy.clone(), tasks.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let own = own.clone();
                all.spawn(async move { drop(own.connection(stream).await) }).detach();
            }
        };
        tasks.spawn(accept).detach();
        Ok(proxy)
    }

    /// A fault begins, with what it makes of the way there and of the way back, or ends. The latest one that is not over
    /// counts.
    pub fn fault(&self, number: usize, ways: Option<[Way; 2]>) {
        let mut faults = self.faults.borrow_mut();
        faults.retain(|(other, _)| *other != number);
        faults.extend(ways.map(|ways| (number, ways)));
        let now = faults.last().map_or([Way::Open; 2], |(_, ways)| *ways);
        self.ways.iter().zip(now).for_each(|(way, now)| way.set(now));
    }

    fn is_cut(&self) -> bool {
        self.ways.iter().any(|way| way.get() == Way::Cut)
    }

    async fn connection(&self, near: Async<TcpStream>) -> io::Result<()> {
        if self.is_cut() {
            reset(&near);
            return Ok(());
        }
        let far = Async::<TcpStream>::connect(self.to).await?;
        near.get_ref().set_nodelay(true)?;
        far.get_ref().set_nodelay(true)?;
        let cut = async {
            while !self.is_cut() {
                rest(LOOK_AGAIN).await;
            }
            Ok(())
        };
        let ways = future::or(self.pump(&near, &far, 0), self.pump(&far, &near, 1));
        let ended = future::or(ways, cut).await;
        reset(&near);
        reset(&far);
        ended
    }

    async fn pump(
        &self,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        way: usize,
    ) -> io::Result<()> {
        let mut piece = vec![0; 16 * 1024];
        loop {
            let read = from.read(&mut piece).await?;
            if read == 0 {
                return Ok(());
            }
            match self.ways[way].get() {
                Way::Late(time) => rest(time).await,
                Way::Slow(bytes) => rest(read as u64 * 1_000_000 / bytes.max(1)).await,
                Way::Open | Way::Held | Way::Cut => {}
            }
            while self.ways[way].get() == Way::Held {
                rest(LOOK_AGAIN).await;
            }
            if self.tear.replace(false) {
                to.write_all(&piece[..read / 2]).await?;
                return Ok(());
            }
            to.write_all(&piece[..read]).await?;
            self.bytes.set(self.bytes.get() + read as u64);
        }
    }
}
