//! Case 2: connections with half a message take more memory than the router may have; the platform kills it.

#[path = "../standin/mod.rs"]
mod standin;

use standin::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// "Thousands of idle or half-written connections arrive." "Connections go quiet and stay open."
const CROWD: u64 = 1_000;
/// Bytes that each writes of its one message, which is a little longer.
const HALF_BYTES: usize = 64_000;
/// "Each edge router has [...] 32 to 192 MB [...] and 256 to 1,024 descriptors".
const MEMORY_MB: u32 = 32;
/// The mean size of `route-video` is 320 to 510 ms of sending; 400 ms at 310,000 bytes a second.
const OBJECT_BYTES: usize = 124_000;
/// Usual clients, each with a request every 100 ms at the most: "at most 170 requests a second".
const CLIENTS: u64 = 16;
const SECONDS: u64 = 8;

fn main() {
    main_of(|folder, temp, record| {
        let origin = Origin::new(OBJECT_BYTES);
        let caches: Vec<_> =
            (1..=4).map(|id| Cache::start(id, &origin, &FRESH, record)).collect::<Result<_, _>>()?;
        caches.iter().for_each(|c| *c.service_ms.lock().unwrap() = 100);
        let upper = Cache::start(PARENT, &origin, &FRESH, record)?;
        let coordinator = Coordinator::start(record)?;
        let listen = free_address()?;
        let deployment = Deployment {
            name: "n0",
            listen,
            coordinator: coordinator.address,
            memory_mb: MEMORY_MB,
            caches: &caches,
            routers: 1,
            last: 1,
        };
        let config = configuration(&deployment, upper.address);
        let router = Router::start(folder, temp, "n0", listen, &config, record)?;
        let begun = now_ms();
        let until = begun + SECONDS * 1000;

        // The platform: over its limit a router is killed. Only anonymous memory counts here, which no reading leaves
        // out; the limit is taken as 32 x 1,048,576 bytes, the larger reading of MB.
        let (peak, killed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let platform = {
            let (pid, peak, killed, record) = (router.child.id(), peak.clone(), killed.clone(), record.clone());
            thread::spawn(move || {
                let mut shown = 0;
                while now_ms() < until + 1_000 {
                    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
                    let kb = |name: &str| -> u64 {
                        let line = status.lines().find_map(|l| l.strip_prefix(name));
                        line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
                    };
                    let (anonymous, resident) = (kb("RssAnon:"), kb("VmRSS:"));
                    peak.fetch_max(anonymous, Ordering::Relaxed);
                    if anonymous >= shown + 2_000 {
                        shown = anonymous;
                        record.line(&format!("platform: {anonymous} kB anonymous, {resident} kB resident"));
                    }
                    if anonymous > u64::from(MEMORY_MB) * 1024 {
                        record.line(&format!("platform: over {MEMORY_MB} MB ({anonymous} kB): process {pid} is killed"));
                        killed.store(true, Ordering::Relaxed);
                        let _ = std::process::Command::new("kill").args(["-KILL", &pid.to_string()]).status();
                        return;
                    }
                    sleep_ms(5);
                }
            })
        };

        let clients: Vec<_> = (0..CLIENTS)
            .map(|id| {
                let record = record.clone();
                thread::spawn(move || {
                    let (mut served, mut other, mut lost) = (0u64, 0u64, 0u64);
                    let mut client = None;
                    let mut next = begun + id * 100 / CLIENTS;
                    let mut n = 0;
                    while next < until {
                        sleep_until(next);
                        n += 1;
                        next = now_ms().max(next + 100);
                        let (rid, name) = (rid(), format!("{:016x}", 0x7f3a_9c21_0000_0000 + id * 1000 + n));
                        let fields = [
                            ("method", "route-video"),
                            ("rid", rid.as_str()),
                            ("budget", "5000"),
                            ("obj", &name),
                            ("block", "0"),
                            ("family", "17"),
                            ("mem", "3200"),
                        ];
                        if client.is_none() {
                            client = Client::connect(listen).ok();
                        }
                        let Some(open) = client.as_mut() else { break };
                        match open.serve(&fields, b"") {
                            Ok(Answer::Served(_)) => served += 1,
                            Ok(_) => other += 1,
                            Err(e) => {
                                record.line(&format!("client {id}: {rid}: no answer, {:?}", e.kind()));
                                // The request that was open. The client ends here: what it would send to a process
                                // that is dying is not counted.
                                lost += 1;
                                break;
                            }
                        }
                    }
                    (served, other, lost)
                })
            })
            .collect();

        sleep_until(begun + 2_000);
        let mut held = Vec::new();
        if trouble() {
            let mut message = encode_serve(1, &[("method", "scan-record"), ("rid", &rid())], &vec![b'x'; HALF_BYTES]);
            message.truncate(HALF_BYTES);
            for _ in 0..CROWD {
                if killed.load(Ordering::Relaxed) {
                    break;
                }
                if let Ok(mut stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(300)) {
                    stream.set_nonblocking(true)?;
                    let _ = stream.write(&message);
                    held.push(stream);
                }
                sleep_ms(1);
            }
            record.line(&format!("crowd: {} connections with half a message each, the last {} ms after the start", held.len(), now_ms() - begun));
        }
        let (mut served, mut other, mut lost) = (0, 0, 0);
        for client in clients {
            let (s, o, l) = client.join().map_err(|_| std::io::Error::other("client"))?;
            (served, other, lost) = (served + s, other + o, lost + l);
        }
        let _ = platform.join();
        let killed = killed.load(Ordering::Relaxed);
        record.say(&format!(
            "{} half-written connections; the router's anonymous memory {} kB at its peak, limit {} kB; killed by the platform: {killed}; usual requests: {served} served, {other} refused or failed, {lost} without an answer",
            held.len(),
            peak.load(Ordering::Relaxed),
            MEMORY_MB * 1024
        ));
        drop(held);
        Ok(killed)
    })
}
