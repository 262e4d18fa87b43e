//! Parties that have gone or misbehave: nothing is sent on behalf of a client that has left, a cache at the address of one that
//! has gone is another cache, and a client at full speed holds up nobody else.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_io::{Async, Timer};
use common::process::{anonymous_memory, end, start_with_cache};
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::process::{Pid, Signal, kill_process};

const LIMIT_MB: usize = 32;
const MB: usize = 1_000_000;

/// Writes by the client that leaves: more than the kernel's buffers hold, and fewer than may be open on a connection.
const UNREAD_WRITES: i32 = 60;
const WRITE_BYTES: usize = 40_000;

/// A write that may run once for its token.
fn write_request(seq: i32) -> Vec<u8> {
    let rid = format!("{:016x}", 0xa000 + seq);
    let token = format!("{:032x}", 0xb000 + seq);
    let mut fields: Vec<(&str, &str)> = page("");
    (fields[0].1, fields[1].1) = ("scan", &rid);
    fields.push(("token", &token));
    serve(seq, &fields, &vec![b'w'; WRITE_BYTES])
}

/// Guards against requests that are sent on for a client which has closed its connection behind much that was still unread: a
/// router that was stopped meanwhile finds the requests and the end together.
#[test]
fn nothing_is_sent_for_a_client_that_left_behind_unread_requests() {
    run(async |tasks| {
        let (router, cache, _coordinator) = start_with_cache(tasks, LIMIT_MB);
        let mut leaves = TcpStream::connect(router.clients).unwrap();
        let good = Client::connect(tasks, router.clients).await;
        assert!(good.is_well(1).await);
        let process = Pid::from_child(&router.child);
        kill_process(process, Signal::STOP).unwrap();
        leaves.set_nonblocking(true).unwrap();
        let requests: Vec<u8> = (1..=UNREAD_WRITES).flat_map(write_request).collect();
        let mut left = &requests[..];
        loop {
            match leaves.write(left) {
                Ok(written) => left = &left[written..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => panic!("{e}"),
            }
            if left.is_empty() {
                break;
            }
        }
        assert!(requests.len() - left.len() > 2 * WRITE_BYTES);
        drop(leaves);
        // Longer than what may begin after a client's close.
        Timer::after(Duration::from_millis(200)).await;
        kill_process(process, Signal::CONT).unwrap();
        good.send(&serve(2, &page("00000000000000a1"), b"")).await;
        let (wanted, connection) = cache.next().await;
        assert_eq!(wanted[1], "00000000000000a1", "nothing comes of the client that left");
        reply(&connection, &[&wanted[1], "HIT", NAMED, "x"]).await;
        assert_eq!(good.next().await.unwrap(), served_answer(2, b"x"));
        drop(good);
        end(router);
        assert!(cache.nothing_came());
    });
}

/// Guards against an id that runs twice: it comes again on another connection after its client has left.
#[test]
fn an_id_that_comes_again_after_its_client_left_is_sent_once() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let first = Client::connect(tasks, router.address).await;
        first.send(&write_request(1)).await;
        let (wanted, _connection) = cache.next().await;
        assert_eq!(wanted[0], "want");
        drop(first);
        let again = Client::connect(tasks, router.address).await;
        again.send(&write_request(1)).await;
        assert_eq!(again.next().await.unwrap(), silverspindle::thrift::encode_broken(1));
        while !cache.nothing_came() {
            assert_ne!(cache.next().await.0[0], "want", "sent again");
        }
    });
}

/// Guards against a cache that is taken for the one which had its address before: what comes for the new one goes out on a
/// connection of its own, and what is out at the old one is answered by that.
#[test]
fn a_cache_at_the_address_of_one_that_has_gone_has_connections_of_its_own() {
    const LIST_CHANGES: u8 = 2;
    const GONE: u8 = 2;
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, coordinator) = router(tasks, &[cache.address]);
        let (feed, _) = coordinator.accept().await.unwrap();
        (&feed).read_exact(&mut [0; 8]).await.unwrap();
        let client = Client::connect(tasks, router.address).await;
        client.send(&serve(1, &page("00000000000000a1"), b"")).await;
        let (first, old_connection) = cache.next().await;
        let changes = [record(1, GONE, cache.address), record(2, 0, cache.address)].concat();
        (&feed).write_all(&event(2, LIST_CHANGES, &changes)).await.unwrap();
        // Read before the next request: list events go first.
        client.is_well(2).await;
        client.send(&serve(3, &page("00000000000000a2"), b"")).await;
        let (second, new_connection) = cache.next().await;
        assert_eq!((&*first[1], &*second[1]), ("00000000000000a1", "00000000000000a2"));
        assert_ne!(port(&old_connection), port(&new_connection));
        reply(&new_connection, &[&second[1], "HIT", NAMED, "new"]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(3, b"new"));
        reply(&old_connection, &[&first[1], "HIT", NAMED, "old"]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(1, b"old"));
        assert_eq!(cache.closed.recv().await.unwrap(), port(&old_connection), "it is of no more use");
    });
}

/// First id of the flood, above all others.
const FIRST_FLOOD_ID: i32 = 0x10_0000;

/// What the client at full speed sends, by its number: unsound requests, requests under ever new names, and calls of methods
/// that there are not.
fn flood(number: i32) -> Vec<u8> {
    let (rid, object) = (format!("{:016x}", FIRST_FLOOD_ID + number), format!("{number:016x}"));
    let mut fields: Vec<(&str, &str)> = page("");
    (fields[1].1, fields[3].1) = (&rid, &object);
    let class = format!("class-{number}");
    match number % 3 {
        0 => (fields[2].1, fields[6].1) = ("none", "none"),
        1 => fields[0].1 = &class,
        _ => return call(1, &format!("method-{number}"), number, &[0]),
    }
    serve(number, &fields, b"")
}

/// Guards other clients beside one that sends unsound requests, under ever new names too, at full speed: each of their requests
/// is served while it goes on, and the memory keeps to its limit.
#[test]
fn a_client_at_full_speed_holds_up_no_other() {
    const REQUESTS: i32 = 2000;
    run(async |tasks| {
        let (router, cache, _coordinator) = start_with_cache(tasks, LIMIT_MB);
        let over = Arc::new(AtomicBool::new(false));
        let stream = TcpStream::connect(router.clients).unwrap();
        let (mut reader, mut writer, is_over) = (stream.try_clone().unwrap(), stream, over.clone());
        let read = std::thread::spawn(move || {
            let mut piece = vec![0; 1 << 16];
            while reader.read(&mut piece).is_ok_and(|n| n > 0) {}
        });
        let write = std::thread::spawn(move || {
            let mut number = 1;
            while !is_over.load(Ordering::SeqCst) {
                let batch: Vec<u8> = (number..number + 100).flat_map(flood).collect();
                writer.write_all(&batch).expect("the flood is read on");
                number += 100;
            }
            writer.shutdown(std::net::Shutdown::Both).unwrap();
        });
        let client = Async::<TcpStream>::connect(router.clients).await.unwrap();
        for seq in 1..=REQUESTS {
            // An object of its own, so that a cache is asked.
            let (rid, object) = (format!("{seq:016x}"), format!("{:016x}", seq * 7919));
            let mut fields: Vec<(&str, &str)> = page("");
            (fields[1].1, fields[3].1) = (&rid, &object);
            (&client).write_all(&serve(seq, &fields, b"")).await.unwrap();
            let connection = loop {
                let (wanted, connection) = cache.next().await;
                let number = u64::from_str_radix(&wanted[1], 16).unwrap();
                assert!(number <= seq as u64, "nothing of the flood is sent on");
                // A second copy of an earlier one, or its end, may come before.
                if wanted[1] == rid {
                    break connection;
                }
            };
            reply(&connection, &[&rid, "HIT", NAMED, "x"]).await;
            let mut answer = vec![0; served_answer(seq, b"x").len()];
            (&client).read_exact(&mut answer).await.unwrap();
            assert_eq!(answer, served_answer(seq, b"x"));
            let memory = anonymous_memory(router.child.id());
            assert!(memory <= LIMIT_MB * MB, "{memory} bytes");
        }
        over.store(true, Ordering::SeqCst);
        write.join().unwrap();
        read.join().unwrap();
    });
}
