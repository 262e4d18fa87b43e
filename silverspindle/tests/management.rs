//! Tests of the management address on a running router: ready, drain and resume, stalled callers, an upgrade
//! on the clients' address of an older process, and the restrictions of the fleet's platform.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

use common::process::{TIMEOUT, call, end, put, ready, start, start_in};

/// Guards against a drain that never closes idle connections, a resume after which no clients are accepted,
/// and callers that never finish and delay the others.
#[test]
fn drain_closes_idle_clients_and_resume_accepts_them_again() {
    let (_coordinator, address) = common::listen();
    let file = common::configuration(&[common::entry(1, "box", address)], address);
    let router = start(&file, "127.0.0.1:0");
    assert_eq!(ready(&router), 200);
    // More stalled callers than there are slots, each with half a call.
    let stalled: Vec<TcpStream> = (0..12)
        .map(|_| {
            let mut stream = TcpStream::connect(router.management).unwrap();
            stream.write_all(b"GET /-/rea").unwrap();
            stream
        })
        .collect();
    assert_eq!(ready(&router), 200, "stalled callers delay nobody");
    assert_eq!(call(router.management, "GET /nothing HTTP/1.1\r\n\r\n"), 404);
    assert_eq!(call(router.management, "DELETE /-/drain HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(call(router.management, "\x01\x02 junk\r\n\r\n"), 400);
    let mut client = TcpStream::connect(router.clients).unwrap();
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(put(&router, "/-/drain"), 200);
    assert_eq!(ready(&router), 503);
    // The idle client's connection is closed, not reset.
    assert_eq!(client.read(&mut [0u8; 16]).unwrap(), 0);
    assert_eq!(put(&router, "/-/resume"), 200);
    assert_eq!(ready(&router), 200);
    let mut again = TcpStream::connect(router.clients).unwrap();
    again.write_all(&common::call(1, "isWell", 1, &[0])).unwrap();
    again.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert!(again.read(&mut [0u8; 64]).unwrap() > 0, "a resumed router answers");
    drop(stalled);
    end(router);
}

/// Guards against an upgrade that can't start: a second process binds the same clients' address while the
/// first one serves and reports ready, and the first one exits by itself on SIGTERM. Also checks the
/// restrictions of the fleet's platform: no Unix socket is open and no other program is started.
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
    for router in [&old, &new] {
        let id = router.child.id();
        let unix = std::fs::read_to_string(format!("/proc/{id}/net/unix")).unwrap();
        let inodes: Vec<&str> = unix.lines().skip(1).filter_map(|l| l.split_whitespace().nth(6)).collect();
        for fd in std::fs::read_dir(format!("/proc/{id}/fd")).unwrap() {
            let link = std::fs::read_link(fd.unwrap().path()).unwrap().display().to_string();
            if let Some(inode) = link.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']')) {
                assert!(!inodes.contains(&inode), "a Unix socket is open: {link}");
            }
        }
        for task in std::fs::read_dir(format!("/proc/{id}/task")).unwrap() {
            let children = std::fs::read_to_string(task.unwrap().path().join("children")).unwrap();
            assert!(children.trim().is_empty(), "a program was started: {children}");
        }
    }
    let (mut old, mut new) = (old, new);
    assert!(new.lines.any(|l| l.contains("both keep to one limit")), "the new process has found the old one");
    assert!(Command::new("kill").arg(old.child.id().to_string()).status().unwrap().success());
    assert!(
        old.lines.any(|l| l.contains("a younger process serves on")),
        "the old process has found its successor"
    );
    assert!(old.lines.any(|l| l.contains("no more connections taken")));
    assert!(old.lines.any(|l| l.contains("ended: all is answered")));
    assert!(old.child.wait().unwrap().success());
    assert!(
        new.lines.any(|l| l.contains("the limits are this one's")),
        "the new process has the limits to itself again"
    );
    assert_eq!(ready(&new), 200, "the new process keeps serving");
    TcpStream::connect(new.clients).unwrap();
    end(new);
    let left: Vec<_> = std::fs::read_dir(&directory).unwrap().collect();
    assert!(left.is_empty(), "each process removes its file: {left:?}");
    std::fs::remove_dir(&directory).unwrap();
}
