//! The router as a process of its own, with its log and its management address.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use async_io::Async;

use super::{Cache, Tasks, configuration, entry, ip, listen};

/// Kills the process at the end of the test, also if the test fails.
impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Longest wait for an event that must happen; it only ends failing tests, and no test asserts on it.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A router that runs as a process.
pub struct Router {
    /// The process.
    pub child: Child,
    /// Log lines that were not read yet.
    pub lines: Box<dyn Iterator<Item = String> + Send>,
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address for management.
    pub management: SocketAddr,
}

/// Starts a router with this configuration.
pub fn start(file: &serde_json::Value, listen: &str) -> Router {
    start_in(file, listen, &std::env::temp_dir())
}

/// Starts a router with this memory limit, one scripted cache, and an origin that never answers. The last value is the listener
/// of its coordinator, which is silent.
pub fn start_with_cache(tasks: &Tasks, limit_mb: usize) -> (Router, Cache, Async<std::net::TcpListener>) {
    let cache = Cache::start(tasks);
    let (coordinator, address) = listen();
    let mut file = configuration(&[entry(1, "box", cache.address), entry(99, "origin", address)], address);
    file["limits"]["memory_mb"] = limit_mb.into();
    (start(&file, &format!("{}:0", ip())), cache, coordinator)
}

/// As [`start`], with this directory for temporary files.
pub fn start_in(file: &serde_json::Value, listen: &str, directory: &std::path::Path) -> Router {
    start_with(file, listen, directory, &[])
}

/// As [`start_in`], with further environment variables.
pub fn start_with(
    file: &serde_json::Value,
    listen: &str,
    directory: &std::path::Path,
    variables: &[(&str, &std::path::Path)],
) -> Router {
    let mut child = Command::new(env!("CARGO_BIN_EXE_silverspindle"))
        .arg("serve")
        .env("TMPDIR", directory)
        .env("LB_CONFIG", "/dev/stdin")
        .env("LB_LISTEN", listen)
        .env("LB_MANAGEMENT", "127.0.0.1:0")
        .env_remove("LB_CONF")
        .envs(variables.iter().copied())
        .stdin(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(file.to_string().as_bytes()).unwrap();
    let mut lines: Box<dyn Iterator<Item = String> + Send> =
        Box::new(BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok));
    let after = |line: &str, mark: &str| -> SocketAddr {
        let rest = line.split_once(mark).unwrap().1;
        rest.split(' ').next().unwrap().parse().unwrap()
    };
    let management = after(&lines.find(|l| l.contains("management on ")).unwrap(), "management on ");
    let clients = after(&lines.find(|l| l.contains(" serves on ")).unwrap(), "serves on ");
    Router { child, lines, clients, management }
}

/// Sends one HTTP request and returns the status code; checks that the response announces the close of the connection.
pub fn call(address: SocketAddr, text: &str) -> u16 {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("Connection: close"), "{answer}");
    answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Status code of the router's readiness check.
pub fn ready(r: &Router) -> u16 {
    call(r.management, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
}

/// Status code of a PUT request to the management address.
pub fn put(r: &Router, path: &str) -> u16 {
    call(r.management, &format!("PUT {path} HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n"))
}

/// Ends the router with SIGTERM and checks that it exits cleanly.
pub fn end(mut r: Router) {
    assert!(Command::new("kill").arg(r.child.id().to_string()).status().unwrap().success());
    assert!(r.lines.any(|l| l.contains("ended: all is answered")));
    assert!(r.child.wait().unwrap().success());
}

/// Anonymous memory of a process, in bytes.
pub fn anonymous_memory(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
    line.split_whitespace().next().unwrap().parse::<usize>().unwrap() * 1024
}
