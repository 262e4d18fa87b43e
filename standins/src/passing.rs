//! How many bytes a second one router passes on: a stand-in cache that answers every request at once with a body of one
//! size, clients that always have the same number of requests open, and the kernel's account of the router between.
//!
//! Cache and clients run on threads of their own, so that the router is what is used up first.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;

use async_executor::LocalExecutor;
use serde_json::Value;
use silverspindle_wire::{clock, resp};

use crate::clients::Clients;
use crate::codec::{self, Member};
use crate::coordinator::Coordinator;
use crate::office::{HEAD, rest};
use crate::process::used;
use crate::trial::{self, Inherit, Start, free, well};
use crate::{Micros, SECOND};

/// Connections of clients, and requests that each has open: less than a router takes.
const CONNECTIONS: u64 = 4;
const OPEN: u64 = 16;
const CACHES: u32 = 2;
/// Before a measurement.
const WARM_UP: Micros = SECOND;
/// What a cache reads at a time.
const CHUNK: usize = 16 * 1024;
const BODY_BYTE: u8 = b'x';

/// What is passed on.
#[derive(Clone, Debug)]
pub struct Options {
    /// The router's program.
    pub program: PathBuf,
    /// Bytes of a body.
    pub body: usize,
    /// How long is measured.
    pub seconds: u64,
    /// For all that is drawn.
    pub seed: u64,
}

/// What one router did in the measured time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Passed {
    /// Bytes of bodies a second, as clients got them.
    pub bytes_per_s: f64,
    /// Answers a second.
    pub answers_per_s: f64,
    /// Processor time of the router over the time that passed.
    pub core: f64,
    /// Requests that were not served.
    pub unserved: u64,
}

impl Passed {
    /// Processor time a byte, in nanoseconds.
    pub fn processor_ns_per_byte(&self) -> f64 {
        self.core * 1e9 / self.bytes_per_s
    }
}

/// What the threads count.
#[derive(Debug, Default)]
struct Counts {
    served: AtomicU64,
    unserved: AtomicU64,
    ended: AtomicBool,
}

/// A cache that holds everything, with a body of this size.
fn cache(body: usize, counts: Arc<Counts>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if counts.ended.load(Relaxed) {
                return;
            }
            thread::spawn(move || answer_commands(stream, body));
        }
    });
    Ok(address)
}

/// Answers what comes on a connection of the router's, until it ends.
fn answer_commands(mut stream: TcpStream, body: usize) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let body = vec![BODY_BYTE; body];
    let (mut waiting, mut chunk) = (Vec::new(), vec![0; CHUNK]);
    loop {
        let mut length = codec::measure_command(&waiting)?;
        while length > waiting.len() {
            match stream.read(&mut chunk)? {
                0 => return Ok(()),
                read => waiting.extend(&chunk[..read]),
            }
            length = codec::measure_command(&waiting)?;
        }
        let answer = answer(&codec::command(&waiting[..length])?, &body);
        stream.write_all(&answer)?;
        waiting.drain(..length);
    }
}

/// A cache's answer to a command, as far as it takes one.
fn answer(command: &[&[u8]], body: &[u8]) -> Vec<u8> {
    let id = command.get(1).copied().unwrap_or_default();
    match command.first() {
        Some(&b"want") => {
            let fields = format!("version=1,stamp={},why=warm", clock::now() / 1000);
            resp::encode_array(&[id, b"HIT", fields.as_bytes(), body])
        }
        Some(&(b"there" | b"busy")) => resp::encode_array(&[id, b"PONG", b"-", b""]),
        _ => Vec::new(),
    }
}

/// A client's connection that always has the same number of requests open.
struct Client {
    stream: TcpStream,
    /// In front of its requests' ids.
    number: u64,
    requests: u64,
    body: usize,
}

impl Client {
    fn connect(router: SocketAddr, number: u64, body: usize) -> io::Result<Self> {
        let stream = TcpStream::connect(router)?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, number, requests: 0, body })
    }

    fn ask(&mut self) -> io::Result<()> {
        self.requests += 1;
        let id = format!("{:016x}", self.number << 48 | self.requests);
        let (size_kb, group) = ((self.body / 1000).to_string(), (self.requests % 256).to_string());
        let fields = [
            ("method", "page"),
            ("rid", id.as_str()),
            ("budget", "2000"),
            ("obj", id.as_str()),
            ("block", "0"),
            ("family", group.as_str()),
            ("mem", size_kb.as_str()),
        ];
        self.stream.write_all(&codec::serve(self.requests as i32, &fields, b""))
    }

    /// Asks and reads until the connection or the measurement ends.
    fn run(mut self, counts: &Counts) -> io::Result<()> {
        for _ in 0..OPEN {
            self.ask()?;
        }
        let mut frame = Vec::new();
        while !counts.ended.load(Relaxed) {
            let mut length = [0; 4];
            self.stream.read_exact(&mut length)?;
            frame.resize(u32::from_be_bytes(length) as usize, 0);
            self.stream.read_exact(&mut frame)?;
            // A refusal and a failure are far shorter than any body that is asked for.
            let served = frame.len() >= self.body;
            let count = if served { &counts.served } else { &counts.unserved };
            count.fetch_add(1, Relaxed);
            self.ask()?;
        }
        Ok(())
    }
}

/// Configures a router before these caches.
fn prepare(
    options: &Options,
    folder: &Path,
    caches: &[SocketAddr],
    coordinator: SocketAddr,
) -> io::Result<(Start, SocketAddr)> {
    let nobody = ([127, 0, 0, 1], 1).into();
    let member =
        |id, kind, address| Member { id, state: 0, kind, cell: 0, weight: 200, started_ms: 0, address };
    let listed = (1..).zip(caches).map(|(id, address)| member(id, 0, *address));
    let members: Vec<Value> = listed.chain([member(HEAD, 2, nobody)]).map(|member| member.json()).collect();
    let trial = trial::Options {
        program: options.program.clone(),
        seconds: options.seconds,
        seed: options.seed,
        routers: 1,
        rate: 0.0,
        inherit: Inherit::No,
        script: Vec::new(),
    };
    let (port, other) = (free(0)?, free(0)?);
    let listen = port.address;
    let config = folder.join("n0.json");
    let file = trial::configuration("n0", listen, &trial, 0, coordinator, &members);
    std::fs::write(&config, file.to_string())?;
    let start = Start {
        program: options.program.clone(),
        config,
        conf: None,
        log: folder.join("n0.log"),
        env: vec![("LB_LOG", "warn".to_owned())],
        _ports: [port, other],
    };
    Ok((start, listen))
}

/// Measures one router once.
pub async fn measure(tasks: &Rc<LocalExecutor<'static>>, options: &Options) -> io::Result<Passed> {
    let folder = tempfile::tempdir()?;
    let coordinator = Coordinator::start(tasks)?;
    let counts = Arc::new(Counts::default());
    let caches = (0..CACHES).map(|_| cache(options.body, counts.clone())).collect::<io::Result<Vec<_>>>()?;
    let (start, listen) = prepare(options, folder.path(), &caches, coordinator.address)?;
    let log = start.log.clone();
    let router = start.go()?;
    well(&Clients::new(0, listen), &log).await?;
    for number in 1..=CONNECTIONS {
        let (client, counts) = (Client::connect(listen, number, options.body)?, counts.clone());
        thread::spawn(move || client.run(&counts));
    }
    rest(WARM_UP).await;
    let look = || {
        let used = used(router.child.id()).ok_or(io::ErrorKind::NotFound)?;
        let (served, unserved) = (counts.served.load(Relaxed), counts.unserved.load(Relaxed));
        Ok::<_, io::Error>((clock::now(), used, served, unserved))
    };
    let before = look()?;
    rest(options.seconds * SECOND).await;
    let after = look()?;
    counts.ended.store(true, Relaxed);
    // Wakes those that accept.
    caches.iter().for_each(|cache| drop(TcpStream::connect(cache)));
    let seconds = (after.0 - before.0) as f64 / SECOND as f64;
    let answers_per_s = (after.2 - before.2) as f64 / seconds;
    Ok(Passed {
        bytes_per_s: answers_per_s * options.body as f64,
        answers_per_s,
        core: (after.1 - before.1) as f64 / SECOND as f64 / seconds,
        unserved: after.3 - before.3,
    })
}
