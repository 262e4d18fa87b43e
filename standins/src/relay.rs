//! Relays between routers: one for each directed pair, that holds, delays, throttles, cuts and breaks in mid-frame
//! by script. What is held comes later: on TCP a lost packet is a wait, never a gap.

use std::cell::Cell;
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

/// A relay to one address.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    to: SocketAddr,
    /// Towards that address, and back.
    pub ways: [Cell<Way>; 2],
    /// The next piece goes through by half, then its connection is reset.
    pub tear: Cell<bool>,
    /// Bytes that went either way.
    pub bytes: Cell<u64>,
}

fn reset(stream: &Async<TcpStream>) {
    let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(std::time::Duration::ZERO));
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}

impl Relay {
    /// Listens and relays.
    pub fn start(tasks: &Rc<LocalExecutor<'static>>, to: SocketAddr) -> io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 2, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let relay = Rc::new(Self {
            address,
            to,
            ways: Default::default(),
            tear: Cell::new(false),
            bytes: Cell::new(0),
        });
        let (own, all) = (relay.clone(), tasks.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let own = own.clone();
                all.spawn(async move { drop(own.connection(stream).await) }).detach();
            }
        };
        tasks.spawn(accept).detach();
        Ok(relay)
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
