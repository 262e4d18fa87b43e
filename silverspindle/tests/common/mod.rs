//! Shared helpers of the tests: messages in pieces, and a router between scripted clients, caches and a coordinator on
//! loopback.
#![allow(dead_code)]

pub mod office;
pub mod orders;
pub mod own_copies;
pub mod process;
pub mod relays;
pub mod sender;
pub mod world;

use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use proptest::test_runner::{Config as Cases, RngSeed};
use serde_json::{Value, json};
use silverspindle::config::Config;
use silverspindle::framing::{Malformed, Measure, MessageReader, split};
use silverspindle::serve::Router;
use silverspindle::thrift;
use silverspindle_conf::Conf;
use socket2::{Domain, Protocol, Socket, Type};

/// Time after which a test counts as hanging; far more than any test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub type Stream = Rc<Async<TcpStream>>;
pub type Tasks = Rc<LocalExecutor<'static>>;

/// Configuration of property tests: the same cases in every run, and no file of past failures.
pub fn cases() -> Cases {
    Cases { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..Cases::default() }
}

/// Feeds bytes to a parser in pieces, cycling through these sizes, and collects the messages that it splits off.
pub fn in_pieces(bytes: &[u8], sizes: &[usize], measure: Measure) -> Result<Vec<Bytes>, Malformed> {
    let (mut buffer, mut rest, mut found) = (BytesMut::new(), bytes, Vec::new());
    for size in sizes.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, later) = rest.split_at((*size).clamp(1, rest.len()));
        (rest, _) = (later, buffer.extend_from_slice(piece));
        while let Some(message) = split(&mut buffer, measure)? {
            found.push(message);
        }
    }
    Ok(found)
}

/// Runs a test on an executor and fails it if it hangs.
pub fn run<T>(work: impl AsyncFnOnce(&Tasks) -> T) -> T {
    let tasks: Tasks = Rc::new(LocalExecutor::new());
    let hangs = async {
        Timer::after(TEST_TIMEOUT).await;
        panic!("the test timed out")
    };
    async_io::block_on(tasks.run(futures_lite::future::or(work(&tasks), hangs)))
}

/// A loopback address that only this test uses. After a test ends, its routers may keep connecting to their
/// configured ports, also those of another test run on this machine. On a shared address such a port may belong to
/// this test by then, and the stray connection would be mistaken for one of its own router.
pub fn ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    thread_local!(static OWN: u32 = std::process::id() << 4 | NEXT.fetch_add(1, Ordering::Relaxed) & 15);
    let [_, a, b, c] = OWN.with(|own| own.to_be_bytes());
    Ipv4Addr::new(127, a | 128, b, c.clamp(1, 254))
}

/// A listener on a free port of this test's address.
pub fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind((ip(), 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    (listener, address)
}

/// Settings of a router in the zone `edge`, with the classes `page` and `scan`.
pub fn settings() -> Value {
    let class = |name: &str, kind: &str| json!({"name": name, "idempotency": kind, "group": "all", "slo_ms": 400.0, "deadline_ms": 30000.0, "window_ms": 2000.0});
    json!({
        "balancers": 1, "index": 0, "my_zone": "edge", "failure_domains": ["hub", "edge"],
        "kinds": ["box", "parent", "origin"], "weights": "rough", "membership_mode": "pushed",
        "classes": [class("page", "idempotent"), class("scan", "deduplicated")],
        "family_info": {"parent_kind": 1, "root_kind": 2, "flow_kb_per_s": 5000.0, "detail": "all",
            "class_write": [false, true], "crew_by_zone": [0, 1], "hub_by_zone": [0, 0],
            "heed_within_ms": 500.0, "cleared_within_ms": 6000.0, "neighbours": "any"},
        "limits": {"try_limit": 8, "retry_after": true, "max_retry_after_ms": 2000.0, "cancelling": true,
            "second_copies": true, "connect_timeout_ms": 400.0, "streams_per_conn": 32, "idle_close_ms": 30000.0},
        "rules": {"drain_grace_ms": 1000.0, "cold_ms": 16000.0, "tip_after_ms": 1500.0}
    })
}

/// A member's entry in the configuration's `known`.
pub fn entry(id: u32, kind: &str, address: SocketAddr) -> Value {
    let locality = if kind == "box" { "edge" } else { "hub" };
    json!({"id": format!("s-{id:08x}"), "host_port": address.to_string(), "locality": locality, "flavor": kind,
        "cell": 0, "phase": "ready", "size": 10, "up_since_ms": 0})
}

/// The configuration of the router n0 with these members.
pub fn configuration(members: &[Value], coordinator: SocketAddr) -> Value {
    json!({"name": "n0", "listen": format!("{}:0", ip()), "seed": "7", "coordinator": coordinator.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "flow_bytes_per_s": 310000,
        "link_bytes_per_s": 1240000, "settings": settings(),
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"revision": 1, "complete": true, "members": members}}]}})
}

/// Parses a configuration without environment variables.
pub fn config(file: &Value) -> Result<Config, String> {
    Config::parse(&file.to_string(), &|_| None)
}

/// Answer fields of a copy: its tag, the time at which the origin issued it, and a note.
pub const NAMED: &str = "version=4be0c1927d55a6f3,stamp=1764576000123,why=warm";

/// Strings of a command that a cache received.
pub type Command = Vec<String>;

/// A scripted cache. It passes each command that it reads to the test, with the command's connection; the test writes
/// the answers.
pub struct Cache {
    pub address: SocketAddr,
    commands: async_channel::Receiver<(Command, Stream)>,
    queue: async_channel::Sender<(Command, Stream)>,
    /// Connections that the router has closed, by the router's port.
    pub closed: async_channel::Receiver<u16>,
}

impl Cache {
    pub fn start(tasks: &Tasks) -> Self {
        let (listener, address) = listen();
        let (queue, commands) = async_channel::unbounded();
        let own = queue.clone();
        let (close, closed) = async_channel::unbounded();
        let all = tasks.clone();
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (stream, queue, close) = (Rc::new(stream), queue.clone(), close.clone());
                let serve = async move {
                    while let Some(command) = read_command(&stream).await {
                        let _ = queue.send((command, stream.clone())).await;
                    }
                    let _ = close.send(port(&stream)).await;
                };
                all.spawn(serve).detach();
            }
        };
        tasks.spawn(accept).detach();
        Self { address, commands, queue: own, closed }
    }

    /// Puts a command back behind those that wait.
    pub fn put_back(&self, command: (Command, Stream)) {
        self.queue.try_send(command).unwrap();
    }

    /// The next command, and the connection for its answer.
    pub async fn next(&self) -> (Command, Stream) {
        self.commands.recv().await.unwrap()
    }

    /// Whether no command waits to be read by the test.
    pub fn nothing_came(&self) -> bool {
        self.commands.is_empty()
    }
}

/// Port of the other side of a connection.
pub fn port(stream: &Async<TcpStream>) -> u16 {
    stream.get_ref().peer_addr().map_or(0, |a| a.port())
}

async fn read_command(mut stream: &Async<TcpStream>) -> Option<Command> {
    let strings = read_length(&mut stream).await?;
    let mut command = Vec::new();
    for _ in 0..strings {
        let mut bytes = vec![0; read_length(&mut stream).await? + 2];
        stream.read_exact(&mut bytes).await.ok()?;
        bytes.truncate(bytes.len() - 2);
        command.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    Some(command)
}

/// Reads a length line of an array or bulk string.
async fn read_length(stream: &mut &Async<TcpStream>) -> Option<usize> {
    let (mut line, mut byte) = (String::new(), [0]);
    while byte[0] != b'\n' {
        stream.read_exact(&mut byte).await.ok()?;
        line.push(char::from(byte[0]));
    }
    line.trim()[1..].parse().ok()
}

/// Writes an array of bulk strings to a router.
pub async fn reply(mut stream: &Async<TcpStream>, strings: &[&str]) {
    let strings: Vec<&[u8]> = strings.iter().map(|s| s.as_bytes()).collect();
    stream.write_all(&silverspindle::resp::encode_array(&strings)).await.unwrap();
}

/// The value of a field in a command's FIELDS.
pub fn field<'a>(command: &'a Command, name: &str) -> Option<&'a str> {
    command[2].split(',').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// Appends a string behind its length.
fn put_string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

/// A frame of a client: a call (`kind` 1) or a oneway call (4) with these arguments, including the stop byte.
pub fn call(kind: u8, name: &str, seq: i32, arguments: &[u8]) -> Vec<u8> {
    let mut out = vec![0x80, 1, 0, kind];
    put_string(&mut out, name.as_bytes());
    out.extend(seq.to_be_bytes());
    out.extend(arguments);
    let mut frame = (out.len() as u32).to_be_bytes().to_vec();
    frame.append(&mut out);
    frame
}

/// Encodes a call of `serve`.
pub fn serve(seq: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![13, 0, 1, 11, 11];
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_string(&mut out, name.as_bytes());
        put_string(&mut out, value.as_bytes());
    }
    out.extend([11, 0, 2]);
    put_string(&mut out, body);
    out.push(0);
    call(1, "serve", seq, &out)
}

/// Encodes a oneway call of `forget`.
pub fn forget(seq: i32) -> Vec<u8> {
    let mut out = vec![8, 0, 1];
    out.extend(seq.to_be_bytes());
    out.push(0);
    call(4, "forget", 0, &out)
}

/// Fields of a request of the class `page` with this id.
pub fn page(rid: &'static str) -> Vec<(&'static str, &'static str)> {
    vec![
        ("method", "page"),
        ("rid", rid),
        ("budget", "20000"),
        ("obj", "7f3a9c21e0b4d655"),
        ("block", "3"),
        ("family", "17"),
        ("mem", "412.5"),
    ]
}

/// Encodes an event of the coordinator.
pub fn event(index: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (9 + payload.len() as u32).to_be_bytes().to_vec();
    out.extend(index.to_be_bytes());
    out.push(kind);
    out.extend(payload);
    out
}

/// Lets the coordinator of a test confirm each second that it has told everything, as the protocol says, until the
/// connection ends.
pub fn confirm_each_second(tasks: &Tasks, feed: &Stream) {
    let feed = feed.clone();
    let confirm = async move {
        while (&*feed).write_all(&event(1, 0, b"")).await.is_ok() {
            Timer::after(Duration::from_secs(1)).await;
        }
    };
    tasks.spawn(confirm).detach();
}

/// Encodes a member's record in a whole or partial list of the coordinator.
pub fn record(id: u32, state: u8, address: SocketAddr) -> Vec<u8> {
    let kind = if id == 99 { 2 } else { 0 };
    let mut r = id.to_be_bytes().to_vec();
    let IpAddr::V4(ip) = address.ip() else { panic!("{address}") };
    r.extend(ip.octets());
    r.extend(address.port().to_be_bytes());
    r.extend([state, 1, kind, 0, 0]);
    r.extend(10_000u32.to_be_bytes());
    r.extend([0; 8]);
    r
}

/// A client's connection to a router.
pub struct Client {
    stream: Stream,
    answers: async_channel::Receiver<Bytes>,
}

impl Client {
    pub async fn connect(tasks: &Tasks, address: SocketAddr) -> Self {
        let stream = Rc::new(Async::<TcpStream>::connect(address).await.unwrap());
        // The limits of the router's own codec don't fit: answers are larger than what it reads from clients.
        let measure: Measure = |b| match b.first_chunk::<4>() {
            Some(length) => Ok(4 + u32::from_be_bytes(*length) as usize),
            None => Ok(4),
        };
        let (tell, answers) = async_channel::unbounded();
        let own = stream.clone();
        let read = async move {
            let mut answers = MessageReader::new(&*own, measure, 4096);
            while let Ok(Some(answer)) = answers.next().await {
                let _ = tell.send(answer).await;
            }
        };
        tasks.spawn(read).detach();
        Self { stream, answers }
    }

    pub async fn send(&self, bytes: &[u8]) {
        (&*self.stream).write_all(bytes).await.unwrap();
    }

    /// Shuts down the writing side of the connection.
    pub fn shutdown_write(&self) {
        self.stream.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// The next answer; none if the router has closed the connection.
    pub async fn next(&self) -> Option<Bytes> {
        self.answers.recv().await.ok()
    }

    /// Calls `isWell`; whether the router is ready.
    pub async fn is_well(&self, seq: i32) -> bool {
        self.send(&call(1, "isWell", seq, &[2, 0, 1, 0, 0])).await;
        let answer = self.next().await.unwrap();
        let [yes, no] = [true, false].map(|good| thrift::encode_answer("isWell", seq, 0, &[], good).concat());
        assert!(answer == yes || answer == no);
        answer == yes
    }
}

/// The expected answer to a request that was served with this body.
pub fn served_answer(seq: i32, body: &[u8]) -> Vec<u8> {
    let [mut head, tail] = thrift::encode_answer("serve", seq, body.len(), &[], true);
    head.extend(body);
    head.extend(tail);
    head
}

/// Backoff advice of a refusal, in milliseconds; none if the answer is not a refusal with advice.
pub fn backoff_advice(answer: &[u8], seq: i32) -> Option<u64> {
    let text = answer.strip_suffix(&[0, 0])?;
    let digits = text.iter().rev().take_while(|b| b.is_ascii_digit()).count();
    let ms = std::str::from_utf8(&text[text.len() - digits..]).ok()?.parse().ok()?;
    (answer == thrift::encode_throttled(seq, Some(ms))).then_some(ms)
}

/// A router with these caches and an origin that never answers, and the listener of its coordinator.
pub fn router(tasks: &Tasks, caches: &[SocketAddr]) -> (Router, Async<TcpListener>) {
    router_with_sockets(tasks, caches, 1024)
}

/// As [`router`], with this limit of sockets.
pub fn router_with_sockets(
    tasks: &Tasks,
    caches: &[SocketAddr],
    sockets: u64,
) -> (Router, Async<TcpListener>) {
    let (coordinator, address) = listen();
    let mut members: Vec<Value> = (1..).zip(caches).map(|(id, at)| entry(id, "box", *at)).collect();
    members.push(entry(99, "origin", address));
    let mut file = configuration(&members, address);
    file["limits"]["sockets"] = sockets.into();
    (Router::start(config(&file).unwrap(), Conf::default(), tasks).unwrap(), coordinator)
}

/// Runs two futures to completion.
pub async fn both<A, B>(a: impl Future<Output = A>, b: impl Future<Output = B>) -> (A, B) {
    futures_lite::future::zip(a, b).await
}

/// Buffer size requested for a socket with small buffers, in bytes; the kernel allocates twice as many.
pub const SMALL_BUFFER: usize = 16 * 1024;

/// A client whose socket has a small receive buffer.
pub async fn connect_with_small_buffer(address: SocketAddr) -> Async<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP)).unwrap();
    // Set before the TCP handshake, which negotiates the window.
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    socket.connect(&address.into()).unwrap();
    Async::new(socket.into()).unwrap()
}
