//! Kills thirty processes together under traffic and starts them again on their addresses.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of router processes.
const PROCESSES: usize = 30;
/// Maximum time until nine in ten processes are ready. The operators require 10 s; the test allows more, so
/// that its result doesn't depend on the speed of a busy machine.
const MAX_READY_TIME: Duration = Duration::from_secs(60);

/// Starts a router process; returns it with its address once it serves.
fn start(file: &serde_json::Value, listen: &str) -> (Child, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_silverspindle"))
        .arg("serve")
        .env("TMPDIR", env!("CARGO_TARGET_TMPDIR"))
        .env("LB_CONFIG", "/dev/stdin")
        .env("LB_LISTEN", listen)
        .env_remove("LB_CONF")
        .stdin(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(file.to_string().as_bytes()).unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let line = lines.find(|l| l.contains(" serves on ")).unwrap();
    // Keep reading, so that the process never writes to a closed pipe.
    std::thread::spawn(move || lines.for_each(drop));
    let rest = line.split_once("serves on ").unwrap().1;
    (child, rest.split(' ').next().unwrap().parse().unwrap())
}

/// Whether the router at this address answers `isWell` with true.
fn is_well(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let expected = silverspindle::thrift::encode_answer("isWell", 1, 0, &[], true).concat();
    let mut answer = vec![0; expected.len()];
    stream.write_all(&common::call(1, "isWell", 1, &[2, 0, 1, 0, 0])).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer == expected
}

/// Guards against a slow start when many processes start at once or while many clients connect. Each process
/// must become ready on the address of the killed one.
#[test]
fn thirty_processes_killed_under_traffic_are_ready_again() {
    let (_listener, coordinator_address) = common::listen();
    let members: Vec<_> = (1..=200).map(|id| common::entry(id, "box", coordinator_address)).collect();
    let file = common::configuration(&members, coordinator_address);
    let first: Vec<_> = (0..PROCESSES).map(|_| start(&file, &format!("{}:0", common::ip()))).collect();
    let addresses: Vec<SocketAddr> = first.iter().map(|(_, address)| *address).collect();
    // Clients that keep reconnecting, whatever answer they get.
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|n| {
            let (addresses, stop) = (addresses.clone(), stop.clone());
            std::thread::spawn(move || {
                for (i, address) in addresses.iter().cycle().enumerate() {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    if let Ok(mut stream) = TcpStream::connect_timeout(address, Duration::from_millis(200)) {
                        let rid = format!("{:016x}", n << 32 | i);
                        let mut fields: Vec<(&str, &str)> = common::page("");
                        (fields[1].1, fields[2].1) = (&rid, "500");
                        let _ = stream.write_all(&common::serve(1, &fields, b""));
                    }
                }
            })
        })
        .collect();
    for (mut child, _) in first {
        child.kill().unwrap();
        child.wait().unwrap();
    }
    let killed_at = Instant::now();
    let restarted: Vec<_> = addresses
        .iter()
        .map(|address| {
            let (file, address) = (file.clone(), *address);
            std::thread::spawn(move || {
                let (child, _) = start(&file, &address.to_string());
                while killed_at.elapsed() < MAX_READY_TIME && !is_well(address) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                (child, killed_at.elapsed())
            })
        })
        .collect();
    let mut ready_times = Vec::new();
    for thread in restarted {
        let (mut child, ready) = thread.join().unwrap();
        ready_times.push(ready);
        child.kill().unwrap();
        child.wait().unwrap();
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    ready_times.sort();
    println!(
        "ready after: median {:?}, nine in ten {:?}, last {:?}",
        ready_times[14], ready_times[26], ready_times[29]
    );
    assert!(ready_times[26] < MAX_READY_TIME, "{ready_times:?}");
}
