//! The cases. Each returns whether the rule held.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};

use crate::world::*;

/// Slack that the protocol page gives on sockets for every time limit, in milliseconds.
const SLACK: u64 = 50;
/// What the coordinator has to tell counts as told this long after, whether it arrived or not, in milliseconds.
const TOLD_AFTER: u64 = 7000;
/// `rules.drain_grace_ms` of the settings.
const DRAIN_GRACE: u64 = 1000;
/// `family_info.heed_within_ms` of the settings.
const HEED_WITHIN: u64 = 500;

struct Site {
    record: Record,
    world: World,
    coordinator: Coordinator,
    router: Router,
}

impl Site {
    fn start(folder: &str, caches: u32) -> Result<Self, Fault> {
        Self::start_with(folder, caches, 192)
    }

    fn start_with(folder: &str, caches: u32, memory_mb: u32) -> Result<Self, Fault> {
        let text = |e: std::io::Error| e.to_string();
        let record = Record::new(folder).map_err(text)?;
        let world = World::start(&record, caches).map_err(text)?;
        let coordinator = Coordinator::start(&record).map_err(text)?;
        let listen = free_address().map_err(text)?;
        let config = config(&listen, coordinator.address, &world.members, memory_mb);
        let router = Router::start(&record, &listen, &config)?;
        Ok(Self { record, world, coordinator, router })
    }

    /// Asks for parts of many objects for this long, one after another, on connections that last 2 s.
    fn load(&self, seconds: f64) -> Result<(u32, u32), Fault> {
        let began = Instant::now();
        let (mut served, mut other, mut n) = (0, 0, 0u32);
        while began.elapsed() < Duration::from_secs_f64(seconds) {
            let mut client = Client::connect(&self.router.listen, &self.record).map_err(|e| e.to_string())?;
            for _ in 0..50 {
                n += 1;
                let class = if n % 20 == 0 { "entry" } else { "reel" };
                let object = format!("{:016x}", 0xa000_0000_0000_0000u64 + u64::from(n));
                let ask = Ask { class, object, piece: 0, budget_ms: 3000, mem_kb: 49.0, body: 0 };
                match client.ask(&ask).map_err(|e| format!("a request got no answer: {e}"))? {
                    Answer::Served(_) | Answer::Keep => served += 1,
                    _ => other += 1,
                }
                wait_ms(30);
                if began.elapsed() >= Duration::from_secs_f64(seconds) {
                    break;
                }
            }
            client.close();
        }
        Ok((served, other))
    }

    /// Judges the rule on drains: no request to `member` nor with it as source after `from` (of the record).
    fn nothing_sent_after(&self, member: &Member, from: u64) -> bool {
        let late: Vec<_> = self
            .world
            .wants()
            .into_iter()
            .filter(|w| w.at > from && (w.member == member.id || w.field("fetch") == member.name()))
            .collect();
        for want in &late {
            self.record.say(&format!(
                "LATE by {} ms: {} was sent to or names {}",
                want.at - from,
                want.rid,
                member.name()
            ));
        }
        self.record.say(&format!("{} requests were sent after the limit", late.len()));
        late.is_empty()
    }
}

pub fn play(case: &str, folder: &str, trouble: bool) -> Result<bool, Fault> {
    match case {
        "slow-discovery" => slow_discovery(folder, trouble),
        "stopped-discovery" => stopped_discovery(folder, trouble),
        "long-outage" => long_outage(folder, trouble),
        "memory" => memory(folder, trouble),
        "slow-readers" => slow_readers(folder, trouble),
        "slow-writer" => slow_writer(folder, trouble),
        "crowd" => crowd(folder, trouble),
        "spoilt-copy" => spoilt_copy(folder, trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// A cache begins to drain while all that discovery writes comes 2.5 s late.
fn slow_discovery(folder: &str, trouble: bool) -> Result<bool, Fault> {
    let site = Site::start(folder, 3)?;
    site.load(4.0)?;
    if trouble {
        site.coordinator.late.store(2500, Ordering::SeqCst);
        site.record.say("from here on all that the coordinator writes comes 2500 ms late");
    }
    site.load(4.0)?;
    let member = site.world.members[0].clone();
    site.coordinator.tell(News::Change(member.clone(), State::Draining, 0));
    let event_at = site.record.at();
    site.record.say(&format!("event: {} drains", member.name()));
    let (served, other) = site.load(20.0)?;
    site.record.say(&format!("since then {served} served, {other} not"));
    let limit = event_at + if trouble { TOLD_AFTER } else { 200 } + DRAIN_GRACE + SLACK;
    Ok(site.nothing_sent_after(&member, limit))
}

/// A cache begins to drain while discovery is down for 12 s.
fn long_outage(folder: &str, trouble: bool) -> Result<bool, Fault> {
    let site = Site::start(folder, 3)?;
    site.load(4.0)?;
    if trouble {
        site.coordinator.down.store(true, Ordering::SeqCst);
        site.record.say("discovery is down");
    }
    site.load(0.5)?;
    let member = site.world.members[0].clone();
    site.coordinator.tell(News::Change(member.clone(), State::Draining, 0));
    let event_at = site.record.at();
    site.record.say(&format!("event: {} drains", member.name()));
    let (served, other) = site.load(11.5)?;
    site.record.say(&format!("since then {served} served, {other} not"));
    site.coordinator.down.store(false, Ordering::SeqCst);
    site.record.say("discovery is back");
    site.load(4.0)?;
    let limit = event_at + if trouble { TOLD_AFTER } else { 200 } + DRAIN_GRACE + SLACK;
    Ok(site.nothing_sent_after(&member, limit))
}

/// An object is purged right after discovery has stopped and stays open.
fn stopped_discovery(folder: &str, trouble: bool) -> Result<bool, Fault> {
    let site = Site::start(folder, 3)?;
    site.load(4.0)?;
    let object = "7f3a9c21e0b4d655".to_owned();
    let ask = Ask { class: "reel", object: object.clone(), piece: 0, budget_ms: 3000, mem_kb: 49.0, body: 0 };
    let mut client = Client::connect(&site.router.listen, &site.record).map_err(|e| e.to_string())?;
    let mut get = || client.ask(&ask).map_err(|e| e.to_string());
    for _ in 0..4 {
        get()?;
        wait_ms(50);
    }
    let old = site.world.current_tag(&object, "0");
    let stopped_at = site.record.at();
    if trouble {
        site.coordinator.stopped.store(true, Ordering::SeqCst);
        site.record.say("the coordinator stands still; its connections stay open");
    }
    wait_ms(50);
    let purged_at = unix_ms();
    site.world.purge(&object);
    site.coordinator.tell(News::Purge(u64::from_str_radix(&object, 16).unwrap_or(0), purged_at));
    site.record.say(&format!("event: purge of {object}; what carries {old} is older"));
    // Told 4 s after a stop; without the stop, at once (0.2 s allowed for the way).
    let told = stopped_at + if trouble { 4000 } else { 250 };
    let limit = told + HEED_WITHIN + SLACK;
    let (mut late, mut sent) = (0, 0);
    while site.record.at() < stopped_at + 9000 {
        let at = site.record.at();
        let answer = get()?;
        if at > limit {
            sent += 1;
            if let Answer::Served(body) = &answer
                && String::from_utf8_lossy(body).contains(&old)
            {
                late += 1;
                site.record
                    .say(&format!("OLD COPY: sent {} ms after the limit, answered with {old}", at - limit));
            }
        }
        wait_ms(50);
    }
    site.record.say(&format!("of {sent} requests after the limit {late} were answered from the old copy"));
    Ok(late == 0)
}

/// A usual client writes a request slowly on a connection on which another one is open.
fn slow_writer(folder: &str, trouble: bool) -> Result<bool, Fault> {
    let site = Site::start(folder, 3)?;
    site.load(2.0)?;
    let big = "5000000000000001".to_owned();
    site.world.pace.lock().unwrap().insert(big.clone(), 3500);
    let mut held = true;
    for round in 0..3 {
        let mut client = Client::connect(&site.router.listen, &site.record).map_err(|e| e.to_string())?;
        let ask = Ask {
            class: "reel",
            object: big.clone(),
            piece: round,
            budget_ms: 5000,
            mem_kb: 9800.0,
            body: 0,
        };
        let (seq, rid) = client.send(&ask).map_err(|e| e.to_string())?;
        let mut reader = client.split().map_err(|e| e.to_string())?;
        let record = site.record.clone();
        let answers = std::thread::spawn(move || {
            let read = reader.read();
            record.say(&format!("client reads {:?}", read.as_ref().map(|(n, a)| (*n, a.text()))));
            read
        });
        let small = Ask {
            class: "page",
            object: format!("600000000000000{round}"),
            piece: 0,
            budget_ms: 3000,
            mem_kb: 49.0,
            body: 0,
        };
        let (_, other, bytes) = client.encode(&small);
        site.record.say(&format!("client begins to write {other}, {} bytes", bytes.len()));
        let pieces = 15;
        for piece in bytes.chunks(bytes.len().div_ceil(pieces)) {
            let _ = client.write(piece);
            wait_ms(if trouble { 180 } else { 1 });
        }
        site.record.say("client has written it");
        let first = answers.join().map_err(|_| "the reader failed")?;
        // The answer to either may come first.
        let answered = match first {
            Ok((number, _)) if number == seq => true,
            Ok(_) => matches!(client.read(), Ok((number, _)) if number == seq),
            Err(_) => false,
        };
        if !answered {
            held = false;
            site.record.say(&format!("LOST: {rid} was taken and its connection ended with no answer"));
        }
        client.close();
    }
    Ok(held)
}

/// A cache's good answer arrives as noise, once; others ask for the same part afterwards.
fn spoilt_copy(folder: &str, trouble: bool) -> Result<bool, Fault> {
    let site = Site::start(folder, 3)?;
    site.load(2.0)?;
    let object = "7f3a9c21e0b4d655".to_owned();
    let ask = Ask { class: "reel", object: object.clone(), piece: 0, budget_ms: 3000, mem_kb: 49.0, body: 0 };
    if trouble {
        *site.world.spoil.lock().unwrap() = Some(object.clone());
    }
    let good = body_of(&object, "0", &site.world.current_tag(&object, "0"));
    let mut wrong = 0;
    for n in 0..21 {
        let mut client = Client::connect(&site.router.listen, &site.record).map_err(|e| e.to_string())?;
        let answer = client.ask(&ask).map_err(|e| e.to_string())?;
        client.close();
        // The first one is the spoilt answer itself, passed on: that one has failed, and is excused.
        if let Answer::Served(body) = answer
            && body != good
            && n > 0
        {
            wrong += 1;
            site.record.say("WRONG: served with bytes that no cache made for it");
        }
        wait_ms(500);
    }
    site.record
        .say(&format!("{wrong} of 20 later requests were served with bytes that no cache made for them"));
    Ok(wrong == 0)
}

/// Number of connections in the crowd.
const CROWD: usize = 2000;
/// Time that usual clients of the crowd's case wait, in milliseconds.
const BUDGET: u64 = 3000;
/// A final answer counts as lost from this long after the request's time on, in milliseconds.
const LATE_ANSWER: u64 = 500;

/// Thousands of connections that say nothing arrive and stay open, while usual clients come on new connections.
fn crowd(folder: &str, trouble: bool) -> Result<bool, Fault> {
    let site = Site::start(folder, 3)?;
    site.load(2.0)?;
    if trouble {
        site.record.say(&format!("{CROWD} idle connections begin to arrive"));
        for _ in 0..20 {
            let (listen, record) = (site.router.listen.clone(), site.record.clone());
            std::thread::spawn(move || {
                let connect = |_| std::net::TcpStream::connect(&listen).ok();
                let idle: Vec<_> = (0..CROWD / 20).filter_map(connect).collect();
                record.say(&format!("{} idle connections are up", idle.len()));
                wait_ms(40_000);
            });
        }
    }
    let mut clients = Vec::new();
    for n in 0..100u64 {
        let (listen, record) = (site.router.listen.clone(), site.record.clone());
        clients.push(std::thread::spawn(move || {
            // Not accepted by the machine: nothing was taken.
            let Ok(mut client) = Client::connect(&listen, &record) else { return true };
            let object = format!("{:016x}", 0xb000_0000_0000_0000u64 + n);
            let ask = Ask { class: "reel", object, piece: 0, budget_ms: BUDGET, mem_kb: 49.0, body: 0 };
            let Ok((_, rid)) = client.send(&ask) else { return true };
            let written_at = record.at();
            let answer = client.read();
            let waited = record.at() - written_at;
            let lost = waited > BUDGET + LATE_ANSWER + SLACK || answer.is_err();
            let (mark, text) = (if lost { "LOST" } else { "in time" }, answer.map(|(_, a)| a.text()));
            record.say(&format!("{mark}: {rid} had its final answer after {waited} ms: {text:?}"));
            !lost
        }));
        wait_ms(100);
    }
    let held: Vec<bool> = clients.into_iter().map(|c| c.join().unwrap_or(false)).collect();
    let lost = held.iter().filter(|held| !**held).count();
    site.record.say(&format!("{lost} of {} requests of usual clients were lost", held.len()));
    Ok(lost == 0)
}

/// Limit of the memory case, in MB.
const MEMORY_MB: u32 = 32;
/// Clients of the memory case that read objects, and how many of them read slowly.
const READERS: u64 = 300;
const SLOW_READERS: u64 = 150;
/// Clients of the memory case that write.
const WRITERS: u64 = 40;
/// Bytes a second that a slow client reads.
const SLOW_RATE: f64 = 1e6;

/// Memory of a process, in KiB: anonymous, and all that is resident.
fn memory_of(process: u32) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    };
    (field("RssAnon:"), field("VmRSS:"))
}

/// Reads the answers to `count` requests at no more than `rate` bytes a second; returns how many came whole, and
/// whether a further one had begun.
fn read_answers(stream: &mut std::net::TcpStream, count: u32, rate: f64) -> (u32, bool) {
    use std::io::Read;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let (began, mut total, mut whole) = (Instant::now(), 0usize, 0);
    // Bytes of the length of the next frame, and bytes of it still to come.
    let (mut length, mut missing) = (Vec::new(), 0usize);
    let mut buffer = vec![0u8; 32 * 1024];
    while whole < count && began.elapsed() < Duration::from_secs(9) {
        let n = match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };
        total += n;
        let mut bytes = &buffer[..n];
        while !bytes.is_empty() {
            if missing == 0 {
                length.push(bytes[0]);
                bytes = &bytes[1..];
                if let Ok(whole_length) = <[u8; 4]>::try_from(&length[..]) {
                    (missing, length) = (u32::from_be_bytes(whole_length) as usize, Vec::new());
                }
            } else {
                let taken = missing.min(bytes.len());
                (missing, bytes) = (missing - taken, &bytes[taken..]);
                whole += u32::from(missing == 0);
            }
        }
        let ahead = total as f64 / rate - began.elapsed().as_secs_f64();
        if ahead > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(ahead));
        }
    }
    (whole, missing > 0 || !length.is_empty())
}

/// Sends `count` requests at once on a new connection and reads their answers; repeats it each `period_ms`.
fn bursts(
    record: &Record,
    listen: &str,
    seed: u64,
    count: u32,
    period_ms: u64,
    rate: f64,
    write: bool,
    open: &AtomicI64,
    sent: &AtomicI64,
) {
    let mut n = 0u64;
    loop {
        let began = Instant::now();
        if let Ok(mut client) = Client::connect(listen, record) {
            let mut bytes = Vec::new();
            for _ in 0..count {
                n += 1;
                let object = format!("{}{:015x}", if write { 'e' } else { 'c' }, (seed << 24) + n);
                let (class, body) = if write { ("entry", 47_900) } else { ("reel", 0) };
                let mem_kb = if write { 98.0 } else { size_of(&object) as f64 / 240_000.0 * 490.0 };
                bytes.extend(
                    client
                        .encode(&Ask {
                            class,
                            object,
                            piece: 0,
                            budget_ms: if write { 3000 } else { 5000 },
                            mem_kb,
                            body,
                        })
                        .2,
                );
            }
            if client.write(&bytes).is_ok() {
                open.fetch_add(i64::from(count), Ordering::SeqCst);
                sent.fetch_add(i64::from(count), Ordering::SeqCst);
                let (whole, _) = read_answers(client.stream(), count, rate);
                open.fetch_sub(i64::from(whole), Ordering::SeqCst);
            }
            // Clients close a connection that has been idle for 4 s.
            wait_ms(period_ms.saturating_sub(began.elapsed().as_millis() as u64));
            client.close();
        }
        wait_ms(20);
    }
}

/// Many clients send several commands at once, and some of them read slowly; the platform kills what goes over its limit.
fn memory(folder: &str, trouble: bool) -> Result<bool, Fault> {
    let mut site = Site::start_with(folder, 3, MEMORY_MB)?;
    site.world.quiet.store(true, Ordering::SeqCst);
    let (open, sent): (Arc<AtomicI64>, Arc<AtomicI64>) = Default::default();
    let process = site.router.child.id();
    for n in 0..READERS + WRITERS {
        let (record, listen) = (site.record.clone(), site.router.listen.clone());
        let (open, sent) = (open.clone(), sent.clone());
        let rate = if trouble && n < SLOW_READERS { SLOW_RATE } else { f64::INFINITY };
        std::thread::spawn(move || {
            let (write, count, period) = if n < READERS { (false, 10, 4000) } else { (true, 8, 2000) };
            wait_ms(n * period / READERS % period);
            bursts(&record, &listen, n, count, period, rate, write, &open, &sent);
        });
    }
    let limit = u64::from(MEMORY_MB) * 1024;
    let (began, mut next, mut most) = (Instant::now(), 0, (0, 0));
    while began.elapsed() < Duration::from_secs(25) {
        wait_ms(10);
        let (anonymous, resident) = memory_of(process);
        most = (most.0.max(anonymous), most.1.max(resident));
        if began.elapsed().as_secs() >= next {
            next += 1;
            let per_second = sent.load(Ordering::SeqCst) as f64 / began.elapsed().as_secs_f64().max(1.0);
            site.record.say(&format!(
                "memory: {anonymous} KiB anonymous, {resident} KiB resident; {per_second:.0} requests a second so far, {} open",
                open.load(Ordering::SeqCst)
            ));
        }
        if anonymous > limit {
            site.record.say(&format!("OVER: {anonymous} KiB of anonymous memory ({resident} KiB resident), the limit is {limit} KiB"));
            let lost = open.load(Ordering::SeqCst);
            let _ = site.router.child.kill();
            let _ = site.router.child.wait();
            site.record.say(&format!("the platform has killed the router; some {lost} requests were open"));
            return Ok(false);
        }
        if let Ok(Some(status)) = site.router.child.try_wait() {
            site.record.say(&format!("the router has ended by itself: {status}"));
            return Ok(false);
        }
    }
    site.record
        .say(&format!("at most {} KiB anonymous, {} KiB resident; the limit is {limit} KiB", most.0, most.1));
    Ok(true)
}

/// Clients of the slow readers' case, the requests that each sends at once, and the bytes a second that each reads.
const PATIENT: u64 = 40;
const AT_ONCE: u64 = 10;
const PATIENT_RATE: f64 = 600_000.0;

/// Clients send ten reads each and read the answers steadily, at less than 1 MB a second.
fn slow_readers(folder: &str, trouble: bool) -> Result<bool, Fault> {
    let site = Site::start_with(folder, 3, MEMORY_MB)?;
    site.world.quiet.store(true, Ordering::SeqCst);
    let rate = if trouble { PATIENT_RATE } else { f64::INFINITY };
    let mut clients = Vec::new();
    for n in 0..PATIENT {
        let (listen, record) = (site.router.listen.clone(), site.record.clone());
        clients.push(std::thread::spawn(move || -> std::io::Result<u64> {
            wait_ms(n * 1000 / PATIENT);
            let mut client = Client::connect(&listen, &record)?;
            let mut bytes = Vec::new();
            for part in 0..AT_ONCE {
                // All objects are of the largest size.
                let object = format!("c{:014x}0", (n << 20) + part);
                let ask = Ask { class: "reel", object, piece: 0, budget_ms: 5000, mem_kb: 490.0, body: 0 };
                bytes.extend(client.encode(&ask).2);
            }
            client.write(&bytes)?;
            let began = Instant::now();
            let (whole, begun) = read_answers(client.stream(), AT_ONCE as u32, rate);
            // An answer that had begun has failed and is not lost.
            let lost = AT_ONCE - u64::from(whole) - u64::from(begun);
            let mark = if lost > 0 { "LOST: " } else { "" };
            record.say(&format!(
                "{mark}client {n}: after {} ms {whole} of {AT_ONCE} answered, one begun: {begun}, {lost} without any byte",
                began.elapsed().as_millis()
            ));
            Ok(lost)
        }));
    }
    let mut lost = 0;
    for client in clients {
        lost += client.join().map_err(|_| "a client failed")?.map_err(|e| e.to_string())?;
    }
    site.record.say(&format!("{lost} of {} requests were lost", PATIENT * AT_ONCE));
    Ok(lost == 0)
}
