//! Caches that answer from nothing, as their fault lets them, and record each attempt.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use silverspindle_wire::framing::Messages;
use silverspindle_wire::{clock, resp};
use socket2::SockRef;

use super::record::{Attempt, Class, Records};
use crate::codec;

const CHUNK: usize = 16 * 1024;
/// Milliseconds that an answer takes, at most, where nothing is wrong; and where the cache is slow.
const USUAL_MS: u64 = 300;
const SLOW_MS: u64 = 1500;
/// Bytes of an answer, at most; and of one in so many, which is large.
const MOST_BYTES: usize = 20_000;
const LARGE_BYTES: usize = 240_000;
const LARGE_EVERY: u32 = 4;
/// A copy that is fresh whenever it is asked for.
const YOUNG_MS: u64 = 10;

/// What is wrong with a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It reads and answers nothing.
    Hang,
    /// It takes long.
    Slow,
    /// It resets the connection at each command.
    Reset,
    /// It answers late or never, half and half.
    Late,
}

/// One of them.
#[derive(Debug)]
pub struct Cache {
    /// Its number.
    pub number: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is wrong with it.
    pub fault: Cell<Option<Fault>>,
    records: Rc<Records>,
    /// Requests by id, to their places.
    places: Rc<RefCell<HashMap<String, usize>>>,
    random: RefCell<Pcg64Mcg>,
}

impl Cache {
    /// Listens and serves.
    pub fn start(
        tasks: &Rc<LocalExecutor<'static>>,
        number: usize,
        records: &Rc<Records>,
        places: &Rc<RefCell<HashMap<String, usize>>>,
        random: Pcg64Mcg,
    ) -> io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let (records, places, random) = (records.clone(), places.clone(), RefCell::new(random));
        let cache = Rc::new(Self { number, address, fault: Cell::new(None), records, places, random });
        let (own, all) = (cache.clone(), tasks.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (own, more) = (own.clone(), all.clone());
                all.spawn(async move { drop(own.serve(Rc::new(stream), more).await) }).detach();
            }
        };
        tasks.spawn(accept).detach();
        Ok(cache)
    }

    async fn serve(
        self: Rc<Self>,
        stream: Rc<Async<TcpStream>>,
        tasks: Rc<LocalExecutor<'static>>,
    ) -> io::Result<()> {
        let mut commands = Messages::new(&*stream, codec::measure_command, CHUNK);
        while let Some(frame) = commands.next().await? {
            let arrived = clock::now();
            let strings = codec::command(&frame)?;
            let [b"want", id, fields, _] = strings[..] else { continue };
            let (id, fields) = (String::from_utf8_lossy(id).into_owned(), String::from_utf8_lossy(fields));
            let request = self.places.borrow().get(&id).copied();
            let request = request.ok_or_else(|| io::Error::other("a request that nobody sent"))?;
            let ttl = codec::field(&fields, "ttl").and_then(|ttl| ttl.parse().ok()).unwrap_or(0u64) * 1000;
            self.records.attempts.borrow_mut().push(Attempt { request, cache: self.number, arrived, ttl });
            let class = self.records.requests.borrow()[request].class;
            let Some(wait) = self.wait() else {
                if self.fault.get() == Some(Fault::Reset) {
                    SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))?;
                    return Ok(());
                }
                continue;
            };
            let bytes = self.bytes();
            let stream = stream.clone();
            tasks.spawn(async move { drop(answer(&stream, &id, class, wait, bytes).await) }).detach();
        }
        Ok(())
    }

    fn bytes(&self) -> usize {
        let mut random = self.random.borrow_mut();
        match random.random_ratio(1, LARGE_EVERY) {
            true => random.random_range(MOST_BYTES..LARGE_BYTES),
            false => random.random_range(1..MOST_BYTES),
        }
    }

    /// How long an answer takes; none: it never comes.
    fn wait(&self) -> Option<Duration> {
        let mut random = self.random.borrow_mut();
        let most = match self.fault.get() {
            Some(Fault::Hang | Fault::Reset) => return None,
            Some(Fault::Late) if random.random_bool(0.5) => return None,
            Some(Fault::Slow | Fault::Late) => SLOW_MS,
            None => USUAL_MS,
        };
        Some(Duration::from_millis(random.random_range(1..most)))
    }
}

async fn answer(
    mut stream: &Async<TcpStream>,
    id: &str,
    class: Class,
    wait: Duration,
    bytes: usize,
) -> io::Result<()> {
    Timer::after(wait).await;
    let stamp = clock::Stamp::now().as_micros() / 1000 - YOUNG_MS;
    let fields = match class {
        Class::Page => format!("version=4be0c1927d55a6f3,stamp={stamp},why=warm"),
        Class::Scan | Class::Order => "why=deep_fill".to_owned(),
    };
    let body = vec![b'x'; bytes];
    let strings: [&[u8]; 4] = [id.as_bytes(), b"HIT", fields.as_bytes(), &body];
    stream.write_all(&resp::command(&strings)).await
}
