//! The stand-ins. Each follows the protocol page; what a case wants to go wrong is set by the fields that are named so.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Fault = String;

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

pub fn wait_ms(ms: u64) {
    sleep(Duration::from_millis(ms));
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, u64);

impl Record {
    pub fn new(folder: &str) -> io::Result<Self> {
        Ok(Self(Arc::new(Mutex::new(File::create(format!("{folder}/record.txt"))?)), unix_ms()))
    }

    /// Milliseconds since the record began.
    pub fn at(&self) -> u64 {
        unix_ms() - self.1
    }

    pub fn say(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.at());
        let _ = self.0.lock().unwrap().write_all(line.as_bytes());
    }
}

/// State of a member on the list that a case brings it to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Draining = 1,
}

/// A member of the list.
#[derive(Clone)]
pub struct Member {
    pub id: u32,
    pub address: SocketAddr,
    pub zone: u8,
    pub kind: u8,
}

impl Member {
    pub fn name(&self) -> String {
        format!("s-{:08x}", self.id)
    }
}

/// A `want` as it came to a member.
#[derive(Clone, Debug)]
pub struct Want {
    /// Milliseconds of the record at which its first byte was read.
    pub at: u64,
    pub member: u32,
    pub rid: String,
    pub fields: HashMap<String, String>,
}

impl Want {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// A copy of a part.
#[derive(Clone)]
pub struct Copy {
    pub tag: String,
    pub stamp: u64,
}

#[derive(Default)]
struct Stores {
    /// Number of purges of each object so far: the origin's version.
    versions: HashMap<String, u64>,
    /// Copies by cache and part.
    copies: HashMap<(u32, String), Copy>,
    wants: Vec<Want>,
}

/// The caches, the parent and the origin of one branch.
#[derive(Clone)]
pub struct World {
    pub record: Record,
    pub members: Vec<Member>,
    stores: Arc<Mutex<Stores>>,
    /// Time that a cache takes for each answer, in milliseconds, by object; 5 where none is set.
    pub pace: Arc<Mutex<HashMap<String, u64>>>,
    /// The caches' part of the record is left out, as it would be too long.
    pub quiet: Arc<AtomicBool>,
    /// The next good answer for this object arrives spoilt: noise in place of its bytes.
    pub spoil: Arc<Mutex<Option<String>>>,
}

/// Bytes of an object, but for those whose id begins with `c`.
const BODY: usize = 3100;
/// Bytes of objects whose id begins with `c`, by the last digit of the id: none over the largest of the protocol page.
const BODIES: [usize; 6] = [240_000, 240_000, 120_000, 60_000, 30_000, 180_000];

/// Bytes of an object.
pub fn size_of(name: &str) -> usize {
    let last = name.chars().last().and_then(|digit| digit.to_digit(16)).unwrap_or(0);
    if name.starts_with('c') { BODIES[last as usize % BODIES.len()] } else { BODY }
}

/// The body of a part: its name and the version's tag, filled up.
pub fn body_of(name: &str, piece: &str, tag: &str) -> Vec<u8> {
    let mut body = format!("{name}/{piece}/{tag}/").into_bytes();
    body.resize(size_of(name), b'.');
    body
}

impl World {
    /// Starts `caches` caches, a parent and the origin.
    pub fn start(record: &Record, caches: u32) -> io::Result<Self> {
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for n in 0..caches + 2 {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let kind = n.saturating_sub(caches - 1).min(2) as u8;
            let zone = u8::from(kind == 0);
            let id = 0x0c00_0001 + n * 0x11;
            members.push(Member { id, address: listener.local_addr()?, zone, kind });
            listeners.push(listener);
        }
        let world = Self {
            record: record.clone(),
            members,
            stores: Arc::default(),
            pace: Arc::default(),
            spoil: Arc::default(),
            quiet: Arc::default(),
        };
        for (member, listener) in world.members.clone().into_iter().zip(listeners) {
            let world = world.clone();
            spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (world, member) = (world.clone(), member.clone());
                    spawn(move || drop(world.serve(&member, stream)));
                }
            });
        }
        for m in &world.members {
            record.say(&format!("member {} kind {} at {}", m.name(), m.kind, m.address));
        }
        Ok(world)
    }

    /// Purges an object: caches and parents drop what is older at once, and the origin gives out a new version.
    pub fn purge(&self, object: &str) {
        let mut stores = self.stores.lock().unwrap();
        *stores.versions.entry(object.to_owned()).or_default() += 1;
        let prefix = format!("{object}/");
        stores.copies.retain(|(_, part), _| !part.starts_with(&prefix));
    }

    /// The tag that the origin gives out for a part now.
    pub fn current_tag(&self, object: &str, piece: &str) -> String {
        let version = self.stores.lock().unwrap().versions.get(object).copied().unwrap_or(0);
        format!("{}{piece:0>4}{version:08x}", &object[..4])
    }

    pub fn wants(&self) -> Vec<Want> {
        self.stores.lock().unwrap().wants.clone()
    }

    fn serve(&self, member: &Member, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        let given_up: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut reader = Reader::new(stream);
        loop {
            let (at, strings) = reader.array(&self.record)?;
            let word = |i: usize| String::from_utf8_lossy(strings.get(i).map_or(&[][..], |s| s)).into_owned();
            match word(0).as_str() {
                "want" => {
                    let fields = word(2);
                    let fields = fields.split(',').filter_map(|f| f.split_once('='));
                    let fields = fields.map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
                    let want = Want { at, member: member.id, rid: word(1), fields };
                    if !self.quiet.load(Ordering::SeqCst) {
                        self.record.say(&format!(
                            "want at {} (first byte {at} ms) {} {}",
                            member.name(),
                            want.rid,
                            word(2)
                        ));
                    }
                    if !self.quiet.load(Ordering::SeqCst) {
                        self.stores.lock().unwrap().wants.push(want.clone());
                    }
                    let (world, writer, given_up) = (self.clone(), writer.clone(), given_up.clone());
                    let member = member.clone();
                    spawn(move || world.answer(&member, &want, &writer, &given_up));
                }
                "never_mind" => given_up.lock().unwrap().push(word(1)),
                "there" | "busy" => {
                    let answer = array(&[word(1).as_bytes(), b"PONG", b"-", b""]);
                    writer.lock().unwrap().write_all(&answer)?;
                }
                other => {
                    self.record.say(&format!("unreadable at {}: {other:?}", member.name()));
                    return Ok(());
                }
            }
        }
    }

    /// Answers a request after the time that it takes, unless it was given up or its time is over.
    fn answer(&self, member: &Member, want: &Want, writer: &Mutex<TcpStream>, given_up: &Mutex<Vec<String>>) {
        let (name, piece) = (want.field("name"), want.field("piece"));
        let pace = self.pace.lock().unwrap().get(name).copied().unwrap_or(5);
        let ttl: u64 = want.field("ttl").parse().unwrap_or(0);
        wait_ms(pace.min(ttl));
        if given_up.lock().unwrap().contains(&want.rid) {
            if !self.quiet.load(Ordering::SeqCst) {
                self.record.say(&format!("given up at {}: {}", member.name(), want.rid));
            }
            return;
        }
        let part = format!("{name}/{piece}");
        let tag = self.current_tag(name, piece);
        let fetch = want.field("fetch");
        let now = unix_ms();
        let (word, fields, body) = if pace > ttl {
            ("LATE", "-".to_owned(), Vec::new())
        } else if want.field("lane") == "entry" {
            if fetch.is_empty() {
                ("NONE", "-".to_owned(), Vec::new())
            } else {
                ("HIT", "why=fill".to_owned(), b"done".to_vec())
            }
        } else {
            let mut stores = self.stores.lock().unwrap();
            let newer: u64 = want.field("newer").parse().unwrap_or(0);
            let limit = match (newer, want.field("lane")) {
                (0, "page") => 5000,
                (0, _) => u64::MAX,
                (newer, _) => newer,
            };
            let held = stores.copies.get(&(member.id, part.clone())).cloned();
            let held = held.filter(|copy| now.saturating_sub(copy.stamp) <= limit);
            match (held, fetch) {
                (Some(copy), _) => {
                    let fields = format!("why=warm,version={},stamp={}", copy.tag, copy.stamp);
                    if want.field("holds") == copy.tag {
                        ("VALID", fields, Vec::new())
                    } else {
                        ("HIT", fields, body_of(name, piece, &copy.tag))
                    }
                }
                (None, "") => ("NONE", "-".to_owned(), Vec::new()),
                (None, _) => {
                    let copy = Copy { tag: tag.clone(), stamp: now };
                    stores.copies.insert((member.id, part), copy);
                    ("HIT", format!("why=fill,took=3,version={tag},stamp={now}"), body_of(name, piece, &tag))
                }
            }
        };
        let mut body = body;
        let mut spoil = self.spoil.lock().unwrap();
        let spoilt = spoil.as_deref() == Some(name) && !body.is_empty();
        if spoilt {
            *spoil = None;
            // Noise of the same length, always the same.
            let mut noise = 0x9e37_79b9_7f4a_7c15u64;
            for byte in &mut body {
                noise = noise.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                *byte = (noise >> 56) as u8;
            }
        }
        drop(spoil);
        let mark = if spoilt { " (its bytes arrive as noise)" } else { "" };
        if !self.quiet.load(Ordering::SeqCst) {
            self.record.say(&format!("answer of {} to {}: {word} {fields}{mark}", member.name(), want.rid));
        }
        let answer = array(&[want.rid.as_bytes(), word.as_bytes(), fields.as_bytes(), &body]);
        let _ = writer.lock().unwrap().write_all(&answer);
    }
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

/// Reads RESP arrays and Thrift frames.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16384];
        let n = self.stream.read(&mut bytes)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend(&bytes[..n]);
        Ok(())
    }

    fn line(&mut self, from: usize) -> io::Result<(usize, usize)> {
        loop {
            if let Some(end) = self.buffer[from..].iter().position(|b| *b == b'\n') {
                let text = String::from_utf8_lossy(&self.buffer[from + 1..from + end]).trim().to_owned();
                let number = text.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                return Ok((number, from + end + 1));
            }
            self.more()?;
        }
    }

    /// The next array, and when its first byte was read.
    fn array(&mut self, record: &Record) -> io::Result<(u64, Vec<Vec<u8>>)> {
        if self.buffer.is_empty() {
            self.more()?;
        }
        let at = record.at();
        let (count, mut from) = self.line(0)?;
        let mut strings = Vec::new();
        for _ in 0..count {
            let (length, start) = self.line(from)?;
            while self.buffer.len() < start + length + 2 {
                self.more()?;
            }
            strings.push(self.buffer[start..start + length].to_vec());
            from = start + length + 2;
        }
        self.buffer.drain(..from);
        Ok((at, strings))
    }

    /// The next frame behind its four-byte length.
    fn frame(&mut self) -> io::Result<Vec<u8>> {
        while self.buffer.len() < 4 {
            self.more()?;
        }
        let length = u32::from_be_bytes(self.buffer[..4].try_into().unwrap()) as usize;
        while self.buffer.len() < 4 + length {
            self.more()?;
        }
        let frame = self.buffer[4..4 + length].to_vec();
        self.buffer.drain(..4 + length);
        Ok(frame)
    }
}

/// An event of the coordinator.
#[derive(Clone)]
pub enum News {
    /// A member's new state and start (Unix milliseconds; 0: long ago).
    Change(Member, State, u64),
    /// A purge of an object at a Unix millisecond.
    Purge(u64, u64),
}

/// The coordinator: every event that a router lacks, then an empty frame each second.
#[derive(Clone)]
pub struct Coordinator {
    pub address: SocketAddr,
    record: Record,
    events: Arc<Mutex<Vec<News>>>,
    /// Time by which everything that it writes is late, in milliseconds.
    pub late: Arc<AtomicU64>,
    /// It stands still: connections stay open and come up, nothing is read or written.
    pub stopped: Arc<AtomicBool>,
    /// It is down: its connections are closed, new ones are refused.
    pub down: Arc<AtomicBool>,
}

impl Coordinator {
    /// Starts it; event 1 is the list of the start.
    pub fn start(record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let own = Self {
            address: listener.local_addr()?,
            record: record.clone(),
            events: Arc::default(),
            late: Arc::default(),
            stopped: Arc::default(),
            down: Arc::default(),
        };
        listener.set_nonblocking(true)?;
        let this = own.clone();
        spawn(move || {
            let mut listener = Some(listener);
            loop {
                wait_ms(2);
                if this.down.load(Ordering::SeqCst) {
                    listener = None;
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(this.address).ok();
                    let _ = listener.as_ref().map(|l| l.set_nonblocking(true));
                }
                let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) else { continue };
                let _ = stream.set_nonblocking(false);
                let this = this.clone();
                spawn(move || {
                    let end = this.serve(stream);
                    this.record.say(&format!("coordinator: a connection ended: {end:?}"));
                });
            }
        });
        Ok(own)
    }

    /// Adds an event; returns its number.
    pub fn tell(&self, news: News) -> u64 {
        let mut events = self.events.lock().unwrap();
        events.push(news);
        events.len() as u64 + 1
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut last = [0; 8];
        stream.read_exact(&mut last)?;
        let mut last = u64::from_be_bytes(last).max(1);
        self.record.say(&format!("coordinator: a router asks from event {last} on"));
        // What is to be written, each with the time at which the coordinator had it to tell.
        let (queue, lines) = std::sync::mpsc::channel::<(Instant, String, Vec<u8>)>();
        let (late, stopped, record) = (self.late.clone(), self.stopped.clone(), self.record.clone());
        let mut out = stream.try_clone()?;
        let ended = Arc::new(AtomicBool::new(false));
        let writer_ended = ended.clone();
        spawn(move || {
            for (due, what, frame) in lines {
                while stopped.load(Ordering::SeqCst)
                    || due.elapsed() < Duration::from_millis(late.load(Ordering::SeqCst))
                {
                    wait_ms(2);
                }
                if !what.is_empty() {
                    record.say(&format!("coordinator: writes {what}"));
                }
                if out.write_all(&frame).is_err() {
                    break;
                }
            }
            writer_ended.store(true, Ordering::SeqCst);
        });
        // Notices that the router has closed.
        let (reader_ended, own_end) = (ended.clone(), stream.try_clone()?);
        spawn(move || {
            let _ = stream.read(&mut [0; 64]);
            reader_ended.store(true, Ordering::SeqCst);
        });
        let mut quiet = Instant::now().checked_sub(Duration::from_secs(2)).unwrap_or_else(Instant::now);
        while !ended.load(Ordering::SeqCst) {
            let next: Vec<News> =
                self.events.lock().unwrap().iter().skip(last as usize - 1).cloned().collect();
            for news in &next {
                last += 1;
                let _ = queue.send((Instant::now(), format!("event {last}"), frame(last, Some(news))));
            }
            if quiet.elapsed() >= Duration::from_secs(1) {
                quiet = Instant::now();
                let _ = queue.send((quiet, String::new(), frame(last, None)));
            }
            wait_ms(10);
            if self.down.load(Ordering::SeqCst) {
                own_end.shutdown(Shutdown::Both)?;
                return Err(io::Error::other("the coordinator is down"));
            }
        }
        Err(io::Error::other("the router has closed it"))
    }
}

fn frame(number: u64, news: Option<&News>) -> Vec<u8> {
    let mut out = number.to_be_bytes().to_vec();
    match news {
        None => out.push(0),
        Some(News::Change(m, state, started)) => {
            out.push(2);
            out.extend(m.id.to_be_bytes());
            let SocketAddr::V4(address) = m.address else { unreachable!("loopback addresses are IPv4 here") };
            out.extend(address.ip().octets());
            out.extend(address.port().to_be_bytes());
            out.extend([*state as u8, m.zone, m.kind]);
            out.extend(0u16.to_be_bytes());
            out.extend(4000u32.to_be_bytes());
            out.extend(started.to_be_bytes());
        }
        Some(News::Purge(object, at)) => {
            out.push(3);
            out.extend(object.to_be_bytes());
            out.extend(at.to_be_bytes());
        }
    }
    let mut whole = (out.len() as u32).to_be_bytes().to_vec();
    whole.extend(out);
    whole
}

/// The settings of a small deployment: one branch, three classes.
pub fn config(listen: &str, coordinator: SocketAddr, members: &[Member], memory_mb: u32) -> String {
    let kinds = ["cache", "parent", "origin"];
    let zones = ["hub", "branch"];
    let list: Vec<String> = members
        .iter()
        .map(|m| {
            format!(
                r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"{}","cell":0,"phase":"ready","size":4,"up_since_ms":0}}"#,
                m.name(), m.address, zones[m.zone as usize], kinds[m.kind as usize]
            )
        })
        .collect();
    format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","coordinator":"{coordinator}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},"flow_bytes_per_s":2400000,"link_bytes_per_s":9600000,
"known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
"settings":{{"balancers":1,"index":0,"family":"edge","membership_mode":"pushed","my_zone":"branch","stage":0,
"failure_domains":["hub","branch"],"kinds":["cache","parent","origin"],"tiers":["tier"],"tenants":[],"tick_ms":2.0,
"weights":"rough","worth_by":"request","over_share_worth":0.1,"clients":{{"marks_retry":false}},
"classes":[
{{"name":"reel","idempotency":"idempotent","group":"all","slo_ms":400.0,"aim_stretch":2.0,"deadline_ms":5000.0,"late_worth":0.15,"streamed":false,"window_ms":5000.0,"worth":2.0}},
{{"name":"page","idempotency":"idempotent","group":"all","slo_ms":300.0,"aim_stretch":2.0,"deadline_ms":3000.0,"late_worth":0.2,"streamed":false,"window_ms":5000.0,"worth":1.0}},
{{"name":"entry","idempotency":"deduplicated","group":"all","slo_ms":700.0,"deadline_ms":3000.0,"late_worth":0.0,"streamed":false,"window_ms":2000.0,"worth":3.0}}],
"family_info":{{"bypass_allowed":false,"class_stale_worth":[0.7,0.7,0.7],"class_write":[false,false,true],"cleared_within_ms":6000.0,
"crew_by_zone":[0,1],"detail":"all","flow_kb_per_s":4900.0,"fresh_for_ms":[0.0,5000.0,0.0],"heed_within_ms":500.0,"hub_by_zone":[0,0],
"link_in_kb_per_s":[0.0,0.0],"neighbours":"any","origin_fall_ms":3000.0,"origin_limit_factor":0.0,"parent_fall_multiple":2.0,
"parent_kind":1,"parent_ramp_ms":22000.0,"price_of_link":0.04,"report_x0":"","report_x1":"","root_kind":2,"segmented":[true,false,false],
"shares_fills":false,"stale_for_ms":[0.0,30000.0,0.0],"upper_cold_from":0.08}},
"goal":{{"whole":0.5,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.3}},
"limits":{{"cancelling":true,"connect_timeout_ms":400.0,"idle_close_ms":30000.0,"max_retry_after_ms":2000.0,"most_held":2000,"peers":false,"probes":true,"retry_after":true,"second_copies":true,"streams_per_conn":32,"try_limit":8}},
"deductions":{{"connection":0.0,"cross_zone":0.014,"handshake":0.0,"late_fail":0.05,"origin":0.05,"probe":0.0071,"waste":0.03}},
"report":{{"fields":["cpu","x1"],"how":"none"}},
"rules":{{"cold_from":0.23,"cold_ms":18000.0,"drain_grace_ms":1000.0,"fall_multiple":3.0,"grace_to_answer_ms":8.0,"must_ask_in_ms":10000.0,"tip_after_ms":1000.0}}}}}}"#,
        list.join(",")
    )
}

/// The program under review, as the deploy file's `run` starts it. Killed when dropped.
pub struct Router {
    pub child: Child,
    pub listen: String,
}

/// A free port of the loopback address.
pub fn free_address() -> io::Result<String> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

impl Router {
    /// Starts the program and waits until it says that it is well.
    pub fn start(record: &Record, listen: &str, config: &str) -> Result<Self, Fault> {
        let var = |name: &str| std::env::var(name).map_err(|_| format!("{name} is not set"));
        let (root, run, folder) = (var("ROOT")?, var("RUN")?, var("TMPDIR")?);
        let path = format!("{folder}/config.json");
        std::fs::write(&path, config).map_err(|e| e.to_string())?;
        let log = File::options().create(true).append(true).open(format!("{folder}/router.log"));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(root)
            .env("LB_CONFIG", &path)
            .env("TMPDIR", &folder)
            .env("LB_LOG", std::env::var("LB_LOG").unwrap_or_else(|_| "info".to_owned()))
            .stdin(Stdio::null())
            .stderr(log.map_err(|e| e.to_string())?)
            .stdout(Stdio::null())
            .spawn()
            .map_err(|e| e.to_string())?;
        let router = Self { child, listen: listen.to_owned() };
        record.say(&format!("router started as process {}", router.child.id()));
        // For run.sh, should this process be ended.
        std::fs::write(format!("{folder}/router.pid"), router.child.id().to_string())
            .map_err(|e| e.to_string())?;
        for _ in 0..200 {
            wait_ms(50);
            if let Ok(mut client) = Client::connect(listen, record)
                && client.is_well().unwrap_or(false)
            {
                record.say("router is well");
                return Ok(router);
            }
        }
        Err("the router did not become ready within 10 s".to_owned())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(folder) = std::env::var("TMPDIR") {
            let _ = std::fs::remove_file(format!("{folder}/router.pid"));
        }
    }
}

/// A final answer as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Keep,
    Refused,
    Failed,
}

impl Answer {
    /// For the record: the answer, and of a body the tag in it.
    pub fn text(&self) -> String {
        match self {
            Self::Served(body) if body.is_ascii() => {
                format!(
                    "served {}",
                    String::from_utf8_lossy(&body[..body.len().min(40)]).trim_end_matches('.')
                )
            }
            Self::Served(body) => format!("served {} bytes of noise", body.len()),
            other => format!("{other:?}"),
        }
    }
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: Reader,
    seq: i32,
    record: Record,
}

static NEXT_RID: AtomicU64 = AtomicU64::new(0);

/// What a client asks for.
#[derive(Clone)]
pub struct Ask {
    pub class: &'static str,
    pub object: String,
    pub piece: u32,
    pub budget_ms: u64,
    pub mem_kb: f64,
    /// Bytes of a write.
    pub body: usize,
}

impl Client {
    pub fn connect(address: &str, record: &Record) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        Ok(Self { reader: Reader::new(stream.try_clone()?), stream, seq: 0, record: record.clone() })
    }

    pub fn is_well(&mut self) -> io::Result<bool> {
        self.seq += 1;
        let mut out = head(1, "isWell", self.seq);
        out.extend([2, 0, 1, 0, 0]);
        self.stream.write_all(&framed(out))?;
        // The Answer's bool is the last value before two ends of structs.
        let frame = self.reader.frame()?;
        Ok(frame.len() > 3 && frame[frame.len() - 3] == 1)
    }

    /// The bytes of a request, with its number and id.
    pub fn encode(&mut self, ask: &Ask) -> (i32, String, Vec<u8>) {
        self.seq += 1;
        let n = NEXT_RID.fetch_add(1, Ordering::SeqCst);
        let rid = format!("{:016x}", (unix_ms() << 20).wrapping_mul(0x9e37_79b9).wrapping_add(n));
        let (budget, block, mem) =
            (ask.budget_ms.to_string(), ask.piece.to_string(), format!("{:.1}", ask.mem_kb));
        let mut fields = vec![
            ("method", ask.class),
            ("rid", &rid),
            ("budget", &budget),
            ("obj", &ask.object),
            ("block", &block),
            ("family", "17"),
            ("mem", &mem),
        ];
        let token = format!("{rid}{rid}");
        if ask.class == "entry" {
            fields.push(("token", &token));
        }
        let mut out = head(1, "serve", self.seq);
        out.extend([13, 0, 1, 11, 11]);
        out.extend((fields.len() as u32).to_be_bytes());
        for (name, value) in &fields {
            for text in [name, value] {
                out.extend((text.len() as u32).to_be_bytes());
                out.extend(text.as_bytes());
            }
        }
        out.extend([11, 0, 2]);
        out.extend((ask.body as u32).to_be_bytes());
        out.resize(out.len() + ask.body, b'x');
        out.push(0);
        (self.seq, rid, framed(out))
    }

    /// Sends a request; returns its number and id.
    pub fn send(&mut self, ask: &Ask) -> io::Result<(i32, String)> {
        let (seq, rid, bytes) = self.encode(ask);
        self.record.say(&format!(
            "client sends {rid} (number {seq}): {} {} part {}",
            ask.class, ask.object, ask.piece
        ));
        self.stream.write_all(&bytes)?;
        Ok((seq, rid))
    }

    /// The connection itself.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Writes bytes of a request.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the next answer.
    pub fn read(&mut self) -> io::Result<(i32, Answer)> {
        let frame = self.reader.frame()?;
        let bad = || io::Error::from(io::ErrorKind::InvalidData);
        let number = |at: usize, n: usize| -> io::Result<usize> {
            let bytes = frame.get(at..at + n).ok_or_else(bad)?;
            Ok(bytes.iter().fold(0, |sum, b| sum << 8 | usize::from(*b)))
        };
        let kind = number(3, 1)?;
        let name = number(4, 4)?;
        let seq = number(8 + name, 4)? as u32 as i32;
        let at = 12 + name;
        if kind == 3 {
            return Ok((seq, Answer::Failed));
        }
        // The result: field 0 is the answer, 1 and 2 the exceptions.
        let answer = match number(at + 1, 2)? {
            1 => Answer::Refused,
            2 => Answer::Failed,
            _ => {
                let length = number(at + 6, 4)?;
                let body = frame.get(at + 10..at + 10 + length).ok_or_else(bad)?.to_vec();
                let fields = number(at + 10 + length + 5, 4)?;
                if fields > 0 && body.is_empty() { Answer::Keep } else { Answer::Served(body) }
            }
        };
        Ok((seq, answer))
    }

    /// Sends a request and reads its answer.
    pub fn ask(&mut self, ask: &Ask) -> io::Result<Answer> {
        let (seq, rid) = self.send(ask)?;
        let (number, answer) = self.read()?;
        if number != seq {
            return Err(io::Error::other("an answer to another request"));
        }
        self.record.say(&format!("client reads the answer to {rid}: {}", answer.text()));
        Ok(answer)
    }

    /// A second handle for reading while this one writes.
    pub fn split(&self) -> io::Result<Self> {
        let stream = self.stream.try_clone()?;
        Ok(Self {
            reader: Reader::new(stream.try_clone()?),
            stream,
            seq: self.seq,
            record: self.record.clone(),
        })
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn head(kind: u8, name: &str, seq: i32) -> Vec<u8> {
    let mut out = vec![0x80, 1, 0, kind];
    out.extend((name.len() as u32).to_be_bytes());
    out.extend(name.as_bytes());
    out.extend(seq.to_be_bytes());
    out
}

fn framed(bytes: Vec<u8>) -> Vec<u8> {
    let mut out = (bytes.len() as u32).to_be_bytes().to_vec();
    out.extend(bytes);
    out
}
