//! The second address on a running router: ready, drain and resume, stalled callers, an upgrade beside an
//! older process on the same clients' address, and what the fleet's platform forbids.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

use common::process::{TIMEOUT, call, end, put, ready, start, start_in};

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
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(put(&r, "/-/drain"), 200);
    assert_eq!(ready(&r), 503);
    // The idle client is let go: the router closes, it does not reset.
    assert_eq!(client.read(&mut [0u8; 16]).unwrap(), 0);
    assert_eq!(put(&r, "/-/resume"), 200);
    assert_eq!(ready(&r), 200);
    let mut again = TcpStream::connect(r.clients).unwrap();
    again.write_all(&common::call(1, "isWell", 1, &[0])).unwrap();
    again.set_read_timeout(Some(TIMEOUT)).unwrap();
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
