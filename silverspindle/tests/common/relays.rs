//! Helpers for tests of the distribution over relays: a coordinator with a log, connections that can be cut, and
//! readers of record files and log lines.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use serde_json::Value;
use tracing_subscriber::fmt::MakeWriter;

use super::office::{KeyFolder, free_address, named};
use super::*;

/// A lease that expires soon.
pub const SHORT_LEASE: &str = "2500ms";
/// A lease that does not expire during a test, however slow the machine.
pub const LONG_LEASE: &str = "1m";
const RELAY_TIMES: &str = "relay-direct 2s\nrelay-batch 50ms\nrelay-report 200ms\n";
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A coordinator with a log of events, numbered from 2 on. It sends them to each follower, with a repeated event that
/// says that the follower is up to date.
#[derive(Default)]
pub struct Coordinator {
    events: RefCell<Vec<Vec<u8>>>,
    /// If set, nothing is sent, not even the event that says that the follower is up to date.
    pub silent: Cell<bool>,
}

impl Coordinator {
    /// Adds an event.
    pub fn tell(&self, kind: u8, payload: &[u8]) {
        let number = self.events.borrow().len() as u64 + 2;
        self.events.borrow_mut().push(event(number, kind, payload));
    }

    /// Adds a purge of an object with the current time.
    pub fn purge(&self, object: u64) {
        let ms = silverspindle::clock::now() / 1000;
        self.tell(3, &[object.to_be_bytes(), ms.to_be_bytes()].concat());
    }

    /// Serves the followers of one listener; returns their current number.
    pub fn serve(self: &Rc<Self>, tasks: &Tasks, listener: Async<TcpListener>) -> Rc<Cell<usize>> {
        let (open, own, all) = (Rc::new(Cell::new(0)), self.clone(), tasks.clone());
        let counted = open.clone();
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (own, open) = (own.clone(), counted.clone());
                let follow = async move {
                    open.set(open.get() + 1);
                    let _ = own.follow(stream).await;
                    open.set(open.get() - 1);
                };
                all.spawn(follow).detach();
            }
        };
        tasks.spawn(accept).detach();
        open
    }

    async fn follow(&self, stream: Async<TcpStream>) -> io::Result<()> {
        let mut last = [0; 8];
        (&stream).read_exact(&mut last).await?;
        let mut sent = u64::from_be_bytes(last).max(1) as usize - 1;
        let closed = async {
            let read = (&stream).read(&mut [0; 1]).await;
            read.map(drop)
        };
        let tell = async {
            loop {
                let new: Vec<Vec<u8>> = self.events.borrow().iter().skip(sent).cloned().collect();
                if !self.silent.get() {
                    sent += new.len();
                    (&stream).write_all(&new.concat()).await?;
                    (&stream).write_all(&event(0, 0, b"")).await?;
                }
                Timer::after(10 * POLL_INTERVAL).await;
            }
        };
        future::or(closed, tell).await
    }
}

/// A TCP proxy to an address whose connections can be cut.
pub struct CuttableProxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    /// Channel that is closed while the proxy is cut.
    open: Rc<RefCell<async_channel::Receiver<()>>>,
    /// Sending side of the channel; none while the proxy is cut.
    held: RefCell<Option<async_channel::Sender<()>>>,
}

impl CuttableProxy {
    pub fn to(tasks: &Tasks, target: SocketAddr) -> Self {
        let (listener, address) = listen();
        let open = Rc::new(RefCell::new(async_channel::bounded(1).1));
        let (all, state) = (tasks.clone(), open.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let open = state.borrow().clone();
                // Connections that arrive while the proxy is cut are closed at once.
                if !open.is_closed() {
                    all.spawn(async move { drop(pass(stream, target, open).await) }).detach();
                }
            }
        };
        tasks.spawn(accept).detach();
        let proxy = Self { address, open, held: RefCell::default() };
        proxy.mend();
        proxy
    }

    /// Closes all connections and accepts no new one.
    pub fn cut(&self) {
        self.held.borrow_mut().take();
    }

    /// Accepts connections again.
    pub fn mend(&self) {
        let (held, open) = async_channel::bounded(1);
        (*self.held.borrow_mut(), *self.open.borrow_mut()) = (Some(held), open);
    }
}

/// Copies bytes both ways between a connection and the target, until one of them or the channel is closed.
async fn pass(one: Async<TcpStream>, target: SocketAddr, cut: async_channel::Receiver<()>) -> io::Result<()> {
    let other = Async::<TcpStream>::connect(target).await?;
    let there = futures_lite::io::copy(&one, &other);
    let back = futures_lite::io::copy(&other, &one);
    let cut = async {
        let _ = cut.recv().await;
        Ok(0)
    };
    future::or(cut, future::or(there, back)).await.map(drop)
}

/// Path of a router's record file.
pub fn records_path(office: &KeyFolder, name: &str) -> PathBuf {
    office.0.join(format!("{name}.records.json"))
}

/// Operators' file of a router with this lease and further directives.
pub fn relay_conf(office: &KeyFolder, name: &str, lease: &str, more: &str) -> silverspindle_conf::Conf {
    let records = records_path(office, name);
    let file =
        format!("{RELAY_TIMES}relay-within {lease}\nrelay-records-file '{}'\n{more}", records.display());
    office.conf(name, &file)
}

/// Lines of a record file, without an incomplete last line.
pub fn records(path: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
    whole.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// Waits until a line matches; returns all lines up to then.
pub async fn wait_for_record(path: &Path, matches: impl Fn(&Value) -> bool) -> Vec<Value> {
    loop {
        let all = records(path);
        if all.iter().any(&matches) {
            return all;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits until the log is applied up to this number, and checks that every record from number 1 on was applied once
/// and in order.
pub async fn wait_for_applied(path: &Path, number: u64) -> Vec<Value> {
    let all =
        wait_for_record(path, |line| line["kind"] == "applied" && line["to"].as_u64() >= Some(number)).await;
    let mut applied = 1;
    for line in all.iter().filter(|line| line["kind"] == "applied") {
        assert_eq!(line["from"], applied, "{all:?}");
        applied = line["to"].as_u64().unwrap();
    }
    all
}

/// Waits until the latest mode in the records is this one.
pub async fn wait_for_mode(path: &Path, mode: &str) {
    loop {
        let all = records(path);
        if all.iter().rfind(|line| line["kind"] == "mode").is_some_and(|line| line["mode"] == mode) {
            return;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits until a condition holds.
pub async fn wait_until(holds: impl Fn() -> bool) {
    while !holds() {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Captured log lines of this thread.
#[derive(Clone, Default)]
pub struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl CapturedLog {
    /// Captures log lines until the guard is dropped.
    pub fn capture() -> (Self, tracing::subscriber::DefaultGuard) {
        let lines = Self::default();
        let subscriber = tracing_subscriber::fmt().with_writer(lines.clone()).with_ansi(false).finish();
        (lines, tracing::subscriber::set_default(subscriber))
    }

    /// Captured lines that contain these words.
    pub fn with(&self, words: &str) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().filter(|line| line.contains(words)).map(str::to_owned).collect()
    }
}

impl io::Write for CapturedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for CapturedLog {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Starts a source of this office that follows a coordinator with these events; returns its address for children.
pub fn source(tasks: &Tasks, office: &KeyFolder, lease: &str, coordinator: &Rc<Coordinator>) -> SocketAddr {
    let at = free_address();
    let conf = relay_conf(
        office,
        "n0",
        lease,
        &format!("relay-role source\nexchange-listen {at}\nrelay-children 20\n"),
    );
    let (_router, listener) = named(tasks, "n0", &[], conf);
    coordinator.serve(tasks, listener);
    at
}

/// Operators' file of a router with these parents.
pub fn router_conf(office: &KeyFolder, name: &str, lease: &str, parents: &[(&str, SocketAddr)]) -> Conf {
    let parents = parents.iter().map(|(name, at)| format!("relay-parent {name} {at}\n"));
    relay_conf(office, name, lease, &format!("relay-role router\n{}", parents.collect::<String>()))
}
