//! The program as a process of its own, with its log and its second address.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// It ends with the test, also with one that fails.
impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// So long a test waits for what must come at all; a failure guard, never the verdict.
pub const AT_MOST: Duration = Duration::from_secs(20);

/// The program as a process.
pub struct Router {
    /// It.
    pub child: Child,
    /// What it logs from now on.
    pub lines: Box<dyn Iterator<Item = String> + Send>,
    /// Its clients' address.
    pub clients: SocketAddr,
    /// Its second address.
    pub management: SocketAddr,
}

pub fn start(file: &serde_json::Value, listen: &str) -> Router {
    start_in(file, listen, &std::env::temp_dir())
}

pub fn start_in(file: &serde_json::Value, listen: &str, directory: &std::path::Path) -> Router {
    start_with(file, listen, directory, &[])
}

/// The same with further variables.
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

/// One call; the status code, and whether the router closed after it.
pub fn call(address: SocketAddr, text: &str) -> u16 {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(AT_MOST)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("Connection: close"), "{answer}");
    answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

pub fn ready(r: &Router) -> u16 {
    call(r.management, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
}

pub fn put(r: &Router, path: &str) -> u16 {
    call(r.management, &format!("PUT {path} HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n"))
}

pub fn end(mut r: Router) {
    assert!(Command::new("kill").arg(r.child.id().to_string()).status().unwrap().success());
    assert!(r.lines.any(|l| l.contains("ended: all is answered")));
    assert!(r.child.wait().unwrap().success());
}
