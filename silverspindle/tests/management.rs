//! The second address on a running router: ready, drain and resume, stalled callers, an upgrade beside an
//! older process on the same clients' address, and what the fleet's platform forbids.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// So long a test waits for what must come at all; a failure guard, never the verdict.
const AT_MOST: Duration = Duration::from_secs(20);

struct Router {
    child: Child,
    lines: Box<dyn Iterator<Item = String>>,
    clients: SocketAddr,
    management: SocketAddr,
}

fn start(file: &serde_json::Value, listen: &str) -> Router {
    start_in(file, listen, &std::env::temp_dir())
}

fn start_in(file: &serde_json::Value, listen: &str, directory: &std::path::Path) -> Router {
    let mut child = Command::new(env!("CARGO_BIN_EXE_silverspindle"))
        .arg("serve")
        .env("TMPDIR", directory)
        .env("LB_CONFIG", "/dev/stdin")
        .env("LB_LISTEN", listen)
        .env("LB_MANAGEMENT", "127.0.0.1:0")
        .env_remove("LB_CONF")
        .stdin(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(file.to_string().as_bytes()).unwrap();
    let mut lines: Box<dyn Iterator<Item = String>> =
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
fn call(address: SocketAddr, text: &str) -> u16 {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(AT_MOST)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("Connection: close"), "{answer}");
    answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

fn ready(r: &Router) -> u16 {
    call(r.management, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
}

fn put(r: &Router, path: &str) -> u16 {
    call(r.management, &format!("PUT {path} HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n"))
}

fn end(mut r: Router) {
    assert!(Command::new("kill").arg(r.child.id().to_string()).status().unwrap().success());
    assert!(r.lines.any(|l| l.contains("ended: all is answered")));
    assert!(r.child.wait().unwrap().success());
}

/// Guards against a drain that never lets clients go, a resume that does not bring them back, and callers
/// who never finish holding up the others.
#[test]
fn drain_closes_idle_clients_and_resume_takes_them_again() {
    let (_coordinator, address) = common::listen();
    let file = common::configuration(&[common::entry(1, "box", address)], address);
    let r = start(&file, "127.0.0.1:0");
    assert_eq!(ready(&r), 200);
    // Stallers: more than the slots, each with half a call.
    let stalled: Vec<TcpStream> = (0..12)
        .map(|_| {
            let mut s = TcpStream::connect(r.management).unwrap();
            s.write_all(b"GET /-/rea").unwrap();
            s
        })
        .collect();
    assert_eq!(ready(&r), 200, "stalled callers keep nobody waiting");
    assert_eq!(call(r.management, "GET /nothing HTTP/1.1\r\n\r\n"), 404);
    assert_eq!(call(r.management, "DELETE /-/drain HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(call(r.management, "\x01\x02 junk\r\n\r\n"), 400);
    let mut client = TcpStream::connect(r.clients).unwrap();
    client.set_read_timeout(Some(AT_MOST)).unwrap();
    assert_eq!(put(&r, "/-/drain"), 200);
    assert_eq!(ready(&r), 503);
    // The idle client is let go: the router closes, it does not reset.
    assert_eq!(client.read(&mut [0u8; 16]).unwrap(), 0);
    assert_eq!(put(&r, "/-/resume"), 200);
    assert_eq!(ready(&r), 200);
    let mut again = TcpStream::connect(r.clients).unwrap();
    again.write_all(&common::call(1, "isWell", 1, &[0])).unwrap();
    again.set_read_timeout(Some(AT_MOST)).unwrap();
    assert!(again.read(&mut [0u8; 64]).unwrap() > 0, "a resumed router answers");
    drop(stalled);
    end(r);
}

/// Guards against an upgrade that can't start: a second process takes the same clients' address while the
/// first serves, says ready, and the first ends by itself on SIGTERM. Checks on the way what the fleet's
/// platform forbids: no Unix socket is held and no other program is started.
#[test]
fn an_upgrade_shares_the_clients_address() {
    let (_coordinator, address) = common::listen();
    let file = common::configuration(&[common::entry(1, "box", address)], address);
    let directory = std::env::temp_dir().join(format!("upgrade-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let old = start_in(&file, "127.0.0.1:0", &directory);
    let new = start_in(&file, &old.clients.to_string(), &directory);
    assert_eq!(new.clients, old.clients);
    assert_eq!((ready(&old), ready(&new)), (200, 200));
    for r in [&old, &new] {
        let id = r.child.id();
        let unix = std::fs::read_to_string(format!("/proc/{id}/net/unix")).unwrap();
        let inodes: Vec<&str> = unix.lines().skip(1).filter_map(|l| l.split_whitespace().nth(6)).collect();
        for fd in std::fs::read_dir(format!("/proc/{id}/fd")).unwrap() {
            let link = std::fs::read_link(fd.unwrap().path()).unwrap().display().to_string();
            if let Some(inode) = link.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']')) {
                assert!(!inodes.contains(&inode), "a Unix socket is held: {link}");
            }
        }
        for task in std::fs::read_dir(format!("/proc/{id}/task")).unwrap() {
            let children = std::fs::read_to_string(task.unwrap().path().join("children")).unwrap();
            assert!(children.trim().is_empty(), "a program was started: {children}");
        }
    }
    let (mut old, mut new) = (old, new);
    assert!(new.lines.any(|l| l.contains("both keep to one limit")), "the new one knows the old one");
    assert!(Command::new("kill").arg(old.child.id().to_string()).status().unwrap().success());
    assert!(old.lines.any(|l| l.contains("a younger process serves on")), "the old one knows its successor");
    assert!(old.lines.any(|l| l.contains("no more connections taken")));
    assert!(old.lines.any(|l| l.contains("ended: all is answered")));
    assert!(old.child.wait().unwrap().success());
    assert!(new.lines.any(|l| l.contains("the limits are this one's")), "it has them to itself now");
    assert_eq!(ready(&new), 200, "the new one serves on");
    TcpStream::connect(new.clients).unwrap();
    end(new);
    let left: Vec<_> = std::fs::read_dir(&directory).unwrap().collect();
    assert!(left.is_empty(), "each process removes its file: {left:?}");
    std::fs::remove_dir(&directory).unwrap();
}
