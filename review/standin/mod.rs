//! Stand-ins of the review, on the standard library alone: caches, the coordinator, clients, the router's process,
//! the record. Each follows PROTOCOL (`../given/kit/users/PROTOCOL.md`); a stand-in is sound unless its case says so.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{env, fs, thread};

/// Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until this Unix millisecond.
pub fn sleep_until(at: u64) {
    sleep_ms(at.saturating_sub(now_ms()));
}

/// Whether the case's disruption takes place (`TROUBLE=0`: no).
pub fn trouble() -> bool {
    env::var("TROUBLE").map_or(true, |v| v != "0")
}

// ---- The record ----

/// Lines of record.txt, each with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, u64)>);

impl Record {
    pub fn new(folder: &Path) -> io::Result<Self> {
        let own = Self(Arc::new((Mutex::new(File::create(folder.join("record.txt"))?), now_ms())));
        own.line(&format!("start at Unix ms {}; trouble {}", own.0.1, trouble()));
        Ok(own)
    }

    pub fn line(&self, text: &str) {
        let at = now_ms().saturating_sub(self.0.1);
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{at:>6} ms  {text}");
    }

    /// To the record and to the terminal.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    /// A Unix millisecond as milliseconds since the start.
    pub fn rel(&self, at: u64) -> u64 {
        at.saturating_sub(self.0.1)
    }
}

// ---- The origin's objects ----

/// What the origin holds: the version of each object, and when it was made.
#[derive(Default)]
pub struct Origin {
    versions: Mutex<HashMap<String, u64>>,
    /// Bytes of each part.
    pub part_bytes: usize,
    /// Writes that ran: key and time.
    pub writes: Mutex<Vec<(String, u64)>>,
}

impl Origin {
    pub fn new(part_bytes: usize) -> Arc<Self> {
        Arc::new(Self { part_bytes, ..Self::default() })
    }

    pub fn version(&self, object: &str) -> u64 {
        self.versions.lock().unwrap().get(object).copied().unwrap_or(1)
    }

    /// The object changes: all older copies are to be purged.
    pub fn change(&self, object: &str) {
        *self.versions.lock().unwrap().entry(object.to_owned()).or_insert(1) += 1;
    }
}

/// The bytes of a part: they name object, part and version.
pub fn body(object: &str, part: &str, version: u64, bytes: usize) -> Vec<u8> {
    format!("{object}/{part}@v{version};").bytes().cycle().take(bytes).collect()
}

/// The version that a part's bytes name; none if they are not whole.
pub fn version_of(object: &str, part: &str, bytes: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(&bytes[..bytes.len().min(60)]).into_owned();
    let version = text.strip_prefix(&format!("{object}/{part}@v"))?.split(';').next()?.parse().ok()?;
    (body(object, part, version, bytes.len()) == bytes).then_some(version)
}

/// The tag of a version.
pub fn tag(object: &str, part: &str, version: u64) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for b in format!("{object}/{part}@v{version}").bytes() {
        hash = (hash ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    format!("{hash:016x}")
}

// ---- Caches ----

/// A request that came to a cache.
#[derive(Clone, Debug)]
pub struct Want {
    pub cache: u32,
    pub at: u64,
    pub rid: String,
    pub fields: BTreeMap<String, String>,
}

/// A cache. It drops older copies `purge_done_ms` after a purge by itself.
pub struct Cache {
    pub id: u32,
    pub address: SocketAddr,
    origin: Arc<Origin>,
    copies: Mutex<HashMap<(String, String), (u64, u64)>>,
    /// Purges: object, and when older copies are dropped.
    purges: Mutex<Vec<(String, u64, u64)>>,
    pub wants: Mutex<Vec<Want>>,
    pub service_ms: Mutex<u64>,
    fresh_ms: HashMap<String, (u64, u64)>,
    record: Record,
}

fn read_line(stream: &mut impl Read) -> io::Result<String> {
    let (mut line, mut byte) = (Vec::new(), [0]);
    loop {
        stream.read_exact(&mut byte)?;
        if byte[0] == b'\n' {
            line.pop();
            return Ok(String::from_utf8_lossy(&line).into_owned());
        }
        line.push(byte[0]);
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads an array of bulk strings.
fn read_command(stream: &mut impl Read) -> io::Result<Vec<Vec<u8>>> {
    let count: usize =
        read_line(stream)?.strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(|| bad("no array"))?;
    (0..count)
        .map(|_| {
            let length: usize = read_line(stream)?
                .strip_prefix('$')
                .and_then(|n| n.parse().ok())
                .ok_or_else(|| bad("no string"))?;
            let mut bytes = vec![0; length + 2];
            stream.read_exact(&mut bytes)?;
            bytes.truncate(length);
            Ok(bytes)
        })
        .collect()
}

fn array(strings: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", strings.len()).into_bytes();
    for s in strings {
        out.extend(format!("${}\r\n", s.len()).into_bytes());
        out.extend(*s);
        out.extend(b"\r\n");
    }
    out
}

impl Cache {
    /// A cache on a loopback address of its own. `fresh` gives the fresh time and the grace of each class; 0: until purged.
    pub fn start(id: u32, origin: &Arc<Origin>, fresh: &[(&str, u64, u64)], record: &Record) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let own = Arc::new(Self {
            id,
            address: listener.local_addr()?,
            origin: origin.clone(),
            copies: Mutex::default(),
            purges: Mutex::default(),
            wants: Mutex::default(),
            service_ms: Mutex::new(5),
            fresh_ms: fresh.iter().map(|(name, fresh, grace)| (name.to_string(), (*fresh, *grace))).collect(),
            record: record.clone(),
        });
        let cache = own.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cache = cache.clone();
                thread::spawn(move || drop(cache.serve(stream)));
            }
        });
        Ok(own)
    }

    /// Drops copies of the object from before `at`, `after_ms` later.
    pub fn purge(&self, object: &str, at: u64, after_ms: u64) {
        self.purges.lock().unwrap().push((object.to_owned(), at, at + after_ms));
    }

    fn serve(self: Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        let given_up: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut reader = io::BufReader::new(stream);
        loop {
            let command = read_command(&mut reader)?;
            let text = |i: usize| String::from_utf8_lossy(command.get(i).map_or(&[][..], Vec::as_slice)).into_owned();
            match text(0).as_str() {
                "want" => {
                    let fields: BTreeMap<String, String> = text(2)
                        .split(',')
                        .filter_map(|f| f.split_once('='))
                        .map(|(n, v)| (n.to_owned(), v.to_owned()))
                        .collect();
                    let want = Want { cache: self.id, at: now_ms(), rid: text(1), fields };
                    self.record.line(&format!("cache s-{:08x} got want {} {}", self.id, want.rid, text(2)));
                    self.wants.lock().unwrap().push(want.clone());
                    let (own, writer, given_up) = (self.clone(), writer.clone(), given_up.clone());
                    thread::spawn(move || {
                        sleep_ms(*own.service_ms.lock().unwrap());
                        if given_up.lock().unwrap().contains(&want.rid) {
                            return;
                        }
                        let answer = own.answer(&want);
                        let _ = writer.lock().unwrap().write_all(&answer);
                    });
                }
                "never_mind" => given_up.lock().unwrap().push(text(1)),
                "there" | "busy" => {
                    writer.lock().unwrap().write_all(&array(&[text(1).as_bytes(), b"PONG", b"-", b""]))?;
                }
                _ => return Err(bad("no such command")),
            }
        }
    }

    /// Answers from the own copy if it will do, else fills from the source that was named, else misses.
    fn answer(&self, want: &Want) -> Vec<u8> {
        let field = |name: &str| want.fields.get(name).cloned().unwrap_or_default();
        let (class, object, part) = (field("lane"), field("name"), field("piece"));
        let now = now_ms();
        if let Some(key) = want.fields.get("dedupe") {
            self.origin.writes.lock().unwrap().push((key.clone(), now));
            return array(&[want.rid.as_bytes(), b"HIT", b"why=deep_fill", b"done"]);
        }
        let (fresh, grace) = self.fresh_ms.get(&class).copied().unwrap_or((0, 0));
        let newer: u64 = field("newer").parse().unwrap_or(0);
        let limit = match (newer, fresh) {
            (0, 0) => u64::MAX,
            (0, fresh) => fresh,
            (newer, 0) => newer,
            (newer, fresh) => newer.min(fresh + grace),
        };
        let dropped = |stamp: u64| {
            self.purges.lock().unwrap().iter().any(|(o, at, gone)| *o == object && stamp <= *at && now >= *gone)
        };
        let key = (object.clone(), part.clone());
        let held = self.copies.lock().unwrap().get(&key).copied();
        let held = held.filter(|(_, stamp)| now.saturating_sub(*stamp) <= limit && !dropped(*stamp));
        let (version, stamp, why) = match held {
            Some((version, stamp)) => (version, stamp, "warm"),
            None if want.fields.contains_key("fetch") => {
                let (version, stamp) = (self.origin.version(&object), now);
                if field("retain").parse().unwrap_or(0) > 0 {
                    self.copies.lock().unwrap().insert(key, (version, stamp));
                }
                (version, stamp, "deep_fill")
            }
            None => return array(&[want.rid.as_bytes(), b"NONE", b"why=lacking", b""]),
        };
        let tag = tag(&object, &part, version);
        let fields = format!("version={tag},stamp={stamp},why={why},rep=util:0.2;x1:0.2");
        if field("holds") == tag {
            return array(&[want.rid.as_bytes(), b"VALID", fields.as_bytes(), b""]);
        }
        let body = body(&object, &part, version, self.origin.part_bytes);
        array(&[want.rid.as_bytes(), b"HIT", fields.as_bytes(), &body])
    }
}

// ---- The coordinator ----

/// An event of the coordinator.
#[derive(Clone)]
pub enum Event {
    /// Changes of the list.
    Changes(Vec<Entry>),
    /// A purge of an object, with its Unix millisecond.
    Purge(u64, u64),
}

/// An entry of the list: state 0 is ready, 1 draining, 2 gone.
#[derive(Clone)]
pub struct Entry {
    pub id: u32,
    pub address: SocketAddr,
    pub state: u8,
    pub zone: u8,
    pub kind: u8,
    pub weight: u32,
    pub started: u64,
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = ((9 + payload.len()) as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    out.extend(payload);
    out
}

impl Event {
    fn encode(&self, number: u64) -> Vec<u8> {
        match self {
            Event::Purge(object, at) => {
                let payload = [object.to_be_bytes(), at.to_be_bytes()].concat();
                frame(number, 3, &payload)
            }
            Event::Changes(entries) => {
                let mut payload = Vec::new();
                for e in entries {
                    payload.extend(e.id.to_be_bytes());
                    let SocketAddr::V4(a) = e.address else { continue };
                    payload.extend(a.ip().octets());
                    payload.extend(a.port().to_be_bytes());
                    payload.extend([e.state, e.zone, e.kind, 0, 0]);
                    payload.extend(e.weight.to_be_bytes());
                    payload.extend(e.started.to_be_bytes());
                }
                frame(number, 2, &payload)
            }
        }
    }
}

#[derive(Default)]
struct CoordinatorState {
    events: Vec<Event>,
    down: bool,
    /// How long a new connection waits until it is answered for the first time.
    first_after_ms: u64,
}

/// The coordinator: event 1 is the list that the configuration holds, later ones are told here.
pub struct Coordinator {
    pub address: SocketAddr,
    state: Arc<Mutex<CoordinatorState>>,
    record: Record,
}

impl Coordinator {
    pub fn start(record: &Record) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let own = Arc::new(Self { address, state: Arc::default(), record: record.clone() });
        let (state, record) = (own.state.clone(), record.clone());
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let down = state.lock().unwrap().down;
                if down {
                    listener = None;
                } else if listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                }
                if let Some(listener) = &listener {
                    let _ = listener.set_nonblocking(true);
                    if let Ok((stream, _)) = listener.accept() {
                        let _ = stream.set_nonblocking(false);
                        let (state, record) = (state.clone(), record.clone());
                        thread::spawn(move || {
                            let end = Self::serve(stream, &state, &record);
                            record.line(&format!("coordinator: a connection ended: {:?}", end.err().map(|e| e.kind())));
                        });
                        continue;
                    }
                }
                sleep_ms(2);
            }
        });
        Ok(own)
    }

    /// Puts an event into the coordinator; its number. It is told 50 ms later.
    pub fn tell(&self, event: Event) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.events.push(event);
        state.events.len() as u64 + 1
    }

    /// Down: nobody listens, and what was open is closed.
    pub fn set_down(&self, down: bool) {
        self.record.line(if down { "coordinator goes down" } else { "coordinator is back" });
        self.state.lock().unwrap().down = down;
    }

    /// From now on new connections wait this long for their first answer.
    pub fn set_first_after(&self, ms: u64) {
        self.record.line(&format!("coordinator: the first answer on a new connection comes after {ms} ms"));
        self.state.lock().unwrap().first_after_ms = ms;
    }

    /// Resets nothing: closes all connections that are open now.
    pub fn break_off(&self) {
        self.record.line("coordinator breaks off its open connections");
        self.state.lock().unwrap().down = true;
        sleep_ms(30);
        self.state.lock().unwrap().down = false;
    }

    fn serve(mut stream: TcpStream, state: &Mutex<CoordinatorState>, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut last = [0; 8];
        stream.read_exact(&mut last)?;
        let mut last = u64::from_be_bytes(last).max(1);
        record.line(&format!("coordinator: asked for events from {} on", last + 1));
        let wait = state.lock().unwrap().first_after_ms;
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(wait) {
            if state.lock().unwrap().down {
                return Ok(());
            }
            sleep_ms(5);
        }
        let mut heartbeat = Instant::now() - Duration::from_secs(2);
        loop {
            let next: Vec<Event> = {
                let state = state.lock().unwrap();
                if state.down {
                    return stream.shutdown(Shutdown::Both);
                }
                state.events.iter().skip(last as usize - 1).cloned().collect()
            };
            for event in next {
                last += 1;
                stream.write_all(&event.encode(last))?;
                record.line(&format!("coordinator: told event {last}"));
            }
            if heartbeat.elapsed() >= Duration::from_millis(950) {
                heartbeat = Instant::now();
                stream.write_all(&frame(last, 0, &[]))?;
            }
            sleep_ms(10);
        }
    }
}

// ---- Clients ----

/// What a client was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    /// The client's copy is the one.
    Keep,
    Throttled,
    Broken,
    Other,
}

impl Answer {
    pub fn word(&self) -> String {
        match self {
            Answer::Served(body) => format!("served {} bytes", body.len()),
            Answer::Keep => "keep".into(),
            Answer::Throttled => "refused".into(),
            Answer::Broken => "failed".into(),
            Answer::Other => "other".into(),
        }
    }
}

fn put_string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

fn framed(payload: Vec<u8>) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_be_bytes().to_vec();
    out.extend(payload);
    out
}

fn call(kind: u8, name: &str, seq: i32) -> Vec<u8> {
    let mut out = vec![0x80, 1, 0, kind];
    put_string(&mut out, name.as_bytes());
    out.extend(seq.to_be_bytes());
    out
}

/// A new request id.
pub fn rid() -> String {
    static NEXT: Mutex<u64> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    *next += 1;
    format!("{:016x}", (*next).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (u64::from(std::process::id()) << 20))
}

/// The bytes of `serve` with these fields.
pub fn encode_serve(seq: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = call(1, "serve", seq);
    out.extend([13, 0, 1, 11, 11]);
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_string(&mut out, name.as_bytes());
        put_string(&mut out, value.as_bytes());
    }
    out.extend([11, 0, 2]);
    put_string(&mut out, body);
    out.push(0);
    framed(out)
}

pub fn encode_is_well(seq: i32) -> Vec<u8> {
    let mut out = call(1, "isWell", seq);
    out.extend([2, 0, 1, 1, 0]);
    framed(out)
}

/// Reads a whole frame.
pub fn read_frame(stream: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame)?;
    Ok(frame)
}

/// A reply: its sequence number, the answer, and `good`.
pub fn decode_reply(frame: &[u8]) -> io::Result<(i32, Answer, bool)> {
    struct At<'a>(&'a [u8]);
    impl<'a> At<'a> {
        fn take(&mut self, n: usize) -> io::Result<&'a [u8]> {
            if self.0.len() < n {
                return Err(bad("reply ends early"));
            }
            let (head, rest) = self.0.split_at(n);
            self.0 = rest;
            Ok(head)
        }
        fn number(&mut self, n: usize) -> io::Result<u64> {
            Ok(self.take(n)?.iter().fold(0, |x, b| x << 8 | u64::from(*b)))
        }
        fn string(&mut self) -> io::Result<&'a [u8]> {
            let n = self.number(4)? as usize;
            self.take(n)
        }
    }
    let mut c = At(frame);
    let kind = c.number(4)? as u8;
    c.string()?;
    let seq = c.number(4)? as i32;
    if kind != 2 {
        return Ok((seq, Answer::Other, false));
    }
    let (field, id) = (c.number(1)?, c.number(2)?);
    if field != 12 {
        return Err(bad("reply without a struct"));
    }
    let (mut body, mut keep, mut good) = (Vec::new(), false, false);
    loop {
        match c.number(1)? {
            0 => break,
            11 => {
                c.number(2)?;
                body = c.string()?.to_vec();
            }
            2 => {
                c.number(2)?;
                good = c.number(1)? == 1;
            }
            13 => {
                c.number(2)?;
                c.number(2)?;
                for _ in 0..c.number(4)? {
                    let (name, value) = (c.string()?, c.string()?);
                    keep |= name == b"keep" && value == b"1";
                }
            }
            _ => return Err(bad("unknown field of a reply")),
        }
    }
    let answer = match id {
        1 => Answer::Throttled,
        2 => Answer::Broken,
        0 if keep && body.is_empty() => Answer::Keep,
        _ => Answer::Served(body),
    };
    Ok((seq, answer, good))
}

/// A client's connection that asks one thing at a time.
pub struct Client {
    stream: TcpStream,
    seq: i32,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        Ok(Self { stream, seq: 0 })
    }

    pub fn is_well(&mut self) -> io::Result<bool> {
        self.seq += 1;
        self.stream.write_all(&encode_is_well(self.seq))?;
        Ok(decode_reply(&read_frame(&mut self.stream)?)?.2)
    }

    /// Sends a request and waits for its answer.
    pub fn serve(&mut self, fields: &[(&str, &str)], body: &[u8]) -> io::Result<Answer> {
        self.seq += 1;
        self.stream.write_all(&encode_serve(self.seq, fields, body))?;
        let (seq, answer, _) = decode_reply(&read_frame(&mut self.stream)?)?;
        if seq == self.seq { Ok(answer) } else { Err(bad("answer to another request")) }
    }
}

// ---- The router ----

/// A router's process, started by the deploy file's `run`. Killed when dropped.
pub struct Router {
    pub child: Child,
    pub listen: SocketAddr,
}

/// Processes that the case started, to be ended also where it gives up.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_started() {
    for pid in STARTED.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
}

/// A free port of a loopback address.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The repository's root: the folder above the case's folder `review/N`.
pub fn root(folder: &Path) -> PathBuf {
    folder.join("../..").canonicalize().unwrap_or_else(|_| PathBuf::from("."))
}

impl Router {
    pub fn start(folder: &Path, temp: &Path, name: &str, listen: SocketAddr, config: &str, record: &Record) -> io::Result<Self> {
        Self::start_with(folder, temp, name, listen, config, &[], record)
    }

    /// Starts `run` of deploy/balancer.toml from the root, and waits until `isWell` says good.
    pub fn start_with(
        folder: &Path,
        temp: &Path,
        name: &str,
        listen: SocketAddr,
        config: &str,
        more: &[(&str, &str)],
        record: &Record,
    ) -> io::Result<Self> {
        let root = root(folder);
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))?;
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = \"")?.split('"').next())
            .ok_or_else(|| bad("deploy file without run"))?
            .to_owned();
        let file = temp.join(format!("{name}.json"));
        fs::write(&file, config)?;
        let log = fs::OpenOptions::new().create(true).append(true).open(temp.join(format!("{name}.log")))?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(&root)
            .env("LB_NAME", name)
            .env("LB_LISTEN", listen.to_string())
            .env("LB_CONFIG", &file)
            .env("TMPDIR", temp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        for (key, value) in more {
            command.env(key, value);
        }
        let child = command.spawn()?;
        STARTED.lock().unwrap().push(child.id());
        record.line(&format!("router {name}: `{run}` as process {} on {listen}", child.id()));
        let own = Self { child, listen };
        let until = now_ms() + 10_000;
        loop {
            if Client::connect(listen).and_then(|mut c| c.is_well()).unwrap_or(false) {
                record.line(&format!("router {name} is well"));
                return Ok(own);
            }
            if now_ms() > until {
                return Err(io::Error::other("the router is not ready within 10 s"));
            }
            sleep_ms(20);
        }
    }

    /// Resident memory in kB, now and at its peak, as the kernel counts it.
    pub fn memory_kb(&self) -> (u64, u64) {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name));
            line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
        };
        (line("VmRSS:"), line("VmHWM:"))
    }

    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status().map(drop)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        STARTED.lock().unwrap_or_else(|e| e.into_inner()).retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What the case's own settings change.
pub struct Deployment<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub coordinator: SocketAddr,
    pub memory_mb: u32,
    pub caches: &'a [Arc<Cache>],
    pub routers: u32,
    pub last: u64,
}

/// Ids of the parent and of the head office store; nobody connects to them, as caches fill by themselves.
pub const PARENT: u32 = 0x51;
pub const ORIGIN: u32 = 0x99;

/// The configuration of a small deployment with the classes and figures of the site branch-cache.
pub fn configuration(d: &Deployment, upper: SocketAddr) -> String {
    let member = |id: u32, address: SocketAddr, zone: &str, kind: &str| {
        format!(
            r#"{{"id":"s-{id:08x}","host_port":"{address}","locality":"{zone}","flavor":"{kind}","cell":0,"phase":"ready","size":20,"up_since_ms":0}}"#
        )
    };
    let mut members: Vec<String> =
        d.caches.iter().map(|c| member(c.id, c.address, "branch-1", "small-box")).collect();
    members.push(member(PARENT, upper, "north-trunk", "aimag-cache"));
    members.push(member(ORIGIN, upper, "north-trunk", "head-office"));
    let class = |name: &str, kind: &str, aim: u32, deadline: u32, worth: u32| {
        format!(
            r#"{{"name":"{name}","idempotency":"{kind}","group":"all","slo_ms":{aim},"aim_stretch":2,"deadline_ms":{deadline},"window_ms":2000,"worth":{worth},"late_worth":0.15}}"#
        )
    };
    let classes = [
        class("route-video", "idempotent", 400, 5000, 2),
        class("parcel-page", "idempotent", 300, 3000, 1),
        class("scan-record", "deduplicated", 700, 3000, 3),
    ]
    .join(",");
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory},"sockets":1024}},
"coordinator":"{coordinator}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"index":{last},"updates":[{{"index":1,"endpoints":{{"revision":1,"complete":true,"members":[{members}]}}}}]}},
"settings":{{"balancers":{routers},"index":0,"my_zone":"branch-1","failure_domains":["north-trunk","branch-1"],
"kinds":["small-box","aimag-cache","head-office"],"weights":"rough","membership_mode":"pushed","classes":[{classes}],
"family_info":{{"parent_kind":1,"root_kind":2,"flow_kb_per_s":8000,"detail":"all","segmented":[true,false,false],
"class_write":[false,false,true],"fresh_for_ms":[0,5000,0],"stale_for_ms":[0,30000,0],"class_stale_worth":[1,0.7,1],
"crew_by_zone":[0,{routers}],"hub_by_zone":[0,0],"heed_within_ms":500,"cleared_within_ms":6000,"neighbours":"any",
"shares_fills":false,"bypass_allowed":false,"upper_cold_from":0.08,"parent_ramp_ms":22000,"parent_fall_multiple":2}},
"limits":{{"try_limit":8,"retry_after":true,"max_retry_after_ms":2000,"cancelling":true,"second_copies":true,"probes":true,
"connect_timeout_ms":400,"streams_per_conn":32,"idle_close_ms":30000,"most_held":1000}},
"report":{{"fields":["cpu","x1"],"how":"answers"}},
"rules":{{"grace_to_answer_ms":0,"drain_grace_ms":1000,"cold_from":0.23,"cold_ms":18000,"fall_multiple":3,"tip_after_ms":1000}},
"deductions":{{"handshake":0}}}}}}"#,
        name = d.name,
        listen = d.listen,
        memory = d.memory_mb,
        coordinator = d.coordinator,
        last = d.last,
        members = members.join(","),
        routers = d.routers,
    )
}

/// The classes' fresh times and graces, for the caches.
pub const FRESH: [(&str, u64, u64); 3] = [("route-video", 0, 0), ("parcel-page", 5_000, 30_000), ("scan-record", 0, 0)];

/// Runs a case: exits with 1 where the rule was broken, 0 where it held, 2 where the case couldn't run. Ends the process
/// after 110 s whatever happens.
pub fn main_of(case: impl FnOnce(&Path, &Path, &Record) -> io::Result<bool>) -> ! {
    let folder = PathBuf::from(env::args().nth(1).unwrap_or_else(|| ".".into()));
    let temp = env::temp_dir().join(format!("review-{}-{}", std::process::id(), now_ms()));
    let run = || -> io::Result<bool> {
        let folder = folder.canonicalize()?;
        fs::create_dir_all(&temp)?;
        let record = Record::new(&folder)?;
        let broken = case(&folder, &temp, &record)?;
        record.say(if broken { "RULE BROKEN" } else { "the rule held" });
        Ok(broken)
    };
    thread::spawn(|| {
        sleep_ms(110_000);
        println!("the case couldn't run: not done after 110 s");
        end_started();
        std::process::exit(2);
    });
    let code = match std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)) {
        Ok(Ok(broken)) => i32::from(broken),
        Ok(Err(e)) => {
            println!("the case couldn't run: {e}");
            2
        }
        Err(_) => 2,
    };
    end_started();
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temp);
    } else {
        println!("kept {}", temp.display());
    }
    std::process::exit(code)
}
