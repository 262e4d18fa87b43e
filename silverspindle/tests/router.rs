//! Tests of a complete router between scripted clients, caches and a coordinator on loopback sockets.

mod common;

use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use silverspindle::front::max_client_connections;
use silverspindle::thrift;

const RID: &str = "9b1f03aa5c7e2d41";
const SECOND_RID: &str = "00000000000000a2";
const THIRD_RID: &str = "00000000000000a3";

#[test]
fn a_request_and_its_answer_are_forwarded_unchanged() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        assert!(client.is_well(1).await);
        let mut fields = page(RID);
        fields.push(("cached", "4be0c1927d55a6f3"));
        client.send(&serve(2, &fields, b"")).await;
        let (want, connection) = cache.next().await;
        assert_eq!((want[0].as_str(), want[1].as_str(), want[3].as_str()), ("want", RID, ""));
        for (name, value) in [
            ("lane", Some("page")),
            ("name", Some("7f3a9c21e0b4d655")),
            ("piece", Some("3")),
            ("fetch", Some("s-00000063")),
            ("holds", Some("4be0c1927d55a6f3")),
            ("newer", None),
            ("dedupe", None),
        ] {
            assert_eq!(field(&want, name), value, "{name}");
        }
        assert!((1..=20_000).contains(&field(&want, "ttl").unwrap().parse::<u64>().unwrap()));
        let body = "x".repeat(240_000);
        reply(&connection, &[RID, "HIT", NAMED, &body]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(2, body.as_bytes()));

        // The client's copy is still valid: the answer has an empty body and `keep`.
        (fields[1].1, fields[4].1) = (SECOND_RID, "4");
        client.send(&serve(3, &fields, b"")).await;
        let (_, connection) = cache.next().await;
        reply(&connection, &[SECOND_RID, "VALID", NAMED, ""]).await;
        let not_modified = thrift::encode_answer("serve", 3, 0, &[("keep", "1")], true).concat();
        assert_eq!(client.next().await.unwrap(), not_modified);
    });
}

#[test]
fn a_write_carries_its_key_and_bytes() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        let mut fields = page(RID);
        fields[0].1 = "scan";
        fields.push(("token", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
        client.send(&serve(1, &fields, b"scanned")).await;
        let (want, connection) = cache.next().await;
        assert_eq!((want[3].as_str(), field(&want, "retain")), ("scanned", None));
        assert_eq!(field(&want, "dedupe"), Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
        reply(&connection, &[RID, "HIT", "why=deep_fill", "done"]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(1, b"done"));
    });
}

#[test]
fn answers_are_forwarded_in_any_order() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        client.send(&[serve(1, &page(RID), b""), serve(2, &page(SECOND_RID), b"")].concat()).await;
        // Each request has a connection of its own, and the cache may read those in any order.
        let mut read = [cache.next().await, cache.next().await];
        read.sort_by(|a, b| b.0[1].cmp(&a.0[1]));
        let [(first, connection), (second, other)] = read;
        assert_eq!((first[1].as_str(), second[1].as_str()), (RID, SECOND_RID));
        reply(&other, &[SECOND_RID, "HIT", NAMED, "b"]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(2, b"b"));
        reply(&connection, &[RID, "HIT", NAMED, "a"]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(1, b"a"));
    });
}

/// Guards against forwarding a request with an invalid field: if one reaches a cache, the operators' run is
/// void.
#[test]
fn a_bad_field_fails_without_an_attempt() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        let bad = [
            ("method", "dance"),
            ("rid", "9b1f"),
            ("budget", "soon"),
            ("budget", "99999999999999999999999"),
            ("obj", "7f3a9c21e0b4d65z"),
            ("block", "-1"),
            ("block", "+1"),
            ("block", "1000000"),
            ("family", "256"),
            ("family", ""),
            ("mem", "nan"),
            ("mem", "1e15"),
            ("cached", "a,fetch=s-00000001"),
            ("token", "a=b"),
        ];
        for (seq, (name, value)) in (1..).zip(bad) {
            let mut fields: Vec<_> = page(RID).into_iter().filter(|(n, _)| *n != name).collect();
            fields.push((name, value));
            client.send(&serve(seq, &fields, b"")).await;
            assert_eq!(client.next().await.unwrap(), thrift::encode_broken(seq), "{name}");
        }
        let mut keyless = page(RID);
        keyless[0].1 = "scan";
        client.send(&serve(20, &keyless, b"")).await;
        assert_eq!(client.next().await.unwrap(), thrift::encode_broken(20));
        client.send(&serve(21, &page(RID), b"a body where nothing is written")).await;
        assert_eq!(client.next().await.unwrap(), thrift::encode_broken(21));
        assert!(cache.nothing_came());
    });
}

/// Guards against a broken client that affects others: only its own connection is closed.
#[test]
fn a_malformed_message_closes_only_its_connection() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let good = Client::connect(tasks, router.address).await;
        good.send(&serve(1, &page(RID), b"")).await;
        let (_, connection) = cache.next().await;
        for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0, 0, 0, 4, 1, 2, 3, 4], &[0x7f, 0, 0, 0]] {
            let bad = Client::connect(tasks, router.address).await;
            bad.send(garbage).await;
            assert_eq!(bad.next().await, None);
        }
        good.send(&call(1, "dance", 2, &[0])).await;
        assert_eq!(good.next().await.unwrap(), thrift::encode_unknown_method("dance", 2));
        reply(&connection, &[RID, "HIT", NAMED, "a"]).await;
        assert_eq!(good.next().await.unwrap(), served_answer(1, b"a"));
    });
}

/// Guards against an answer after `forget`: the client expects none, and a second answer counts as a lost
/// request.
#[test]
fn a_forgotten_request_gets_no_answer() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        client.send(&serve(1, &page(RID), b"")).await;
        let (_, connection) = cache.next().await;
        client.send(&forget(1)).await;
        // The answer to this call follows the `forget`, so the director has read that before the cache
        // answers.
        assert!(client.is_well(2).await);
        assert_eq!(cache.next().await.0, ["never_mind", RID]);
        reply(&connection, &[RID, "HIT", NAMED, "late"]).await;
        client.send(&serve(3, &page(SECOND_RID), b"")).await;
        let (want, connection) = cache.next().await;
        assert_eq!(want[1], SECOND_RID);
        reply(&connection, &[SECOND_RID, "HIT", NAMED, "b"]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(3, b"b"));
    });
}

/// Guards against a router that spins on a client's close while a request of that client is open, and serves
/// nobody else.
#[test]
fn a_client_that_leaves_does_not_affect_others() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        client.send(&serve(1, &page(RID), b"")).await;
        cache.next().await;
        client.shutdown_write();
        assert_eq!(client.next().await, None);
        assert_eq!(cache.next().await.0, ["never_mind", RID]);
        let other = Client::connect(tasks, router.address).await;
        other.send(&serve(1, &page(SECOND_RID), b"")).await;
        let (want, connection) = cache.next().await;
        assert_eq!(want[1], SECOND_RID);
        reply(&connection, &[SECOND_RID, "HIT", NAMED, "b"]).await;
        assert_eq!(other.next().await.unwrap(), served_answer(1, b"b"));
    });
}

/// Guards against a cache that sends malformed answers or drops its connection. The attempt may have run, so
/// only a request that is safe to repeat is sent to another cache.
#[test]
fn after_a_malformed_answer_or_a_reset_another_cache_answers() {
    for malformed in [
        Some("*1\r\n$3\r\nwat\r\n"),
        Some("*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$5\r\nVALID\r\n$1\r\n-\r\n$0\r\n\r\n"),
        // No tag and no time; a length shorter than the body; a body cut off on an open connection; a body of
        // 3 GB.
        Some("*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\nHIT\r\n$8\r\nwhy=warm\r\n$1\r\nx\r\n"),
        Some("*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\nHIT\r\n$18\r\nversion=aa,stamp=1\r\n$1\r\nxy\r\n"),
        Some("*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\nHIT\r\n$18\r\nversion=aa,stamp=1\r\n$9\r\nxy"),
        Some("*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\nHIT\r\n$18\r\nversion=aa,stamp=1\r\n$3000000000\r\nx"),
        None,
    ] {
        run(async |tasks| {
            let (one, two) = (Cache::start(tasks), Cache::start(tasks));
            let (router, _coordinator) = router(tasks, &[one.address, two.address]);
            let client = Client::connect(tasks, router.address).await;
            let mut fields = page(RID);
            // With this size the first attempt is far from overdue when its answer stalls.
            fields.retain(|(name, _)| *name != "mem");
            fields.push(("mem", "50000"));
            client.send(&serve(1, &fields, b"")).await;
            let next = || futures_lite::future::or(one.next(), two.next());
            let (_, connection) = next().await;
            match malformed {
                Some(bytes) => (&*connection).write_all(bytes.as_bytes()).await.unwrap(),
                None => connection.get_ref().shutdown(std::net::Shutdown::Both).unwrap(),
            }
            let (again, connection) = next().await;
            assert_eq!(again[1], RID);
            reply(&connection, &[RID, "HIT", NAMED, "a"]).await;
            assert_eq!(client.next().await.unwrap(), served_answer(1, b"a"));
        });
    }
}

#[test]
fn a_refused_connection_is_answered_by_another_cache() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        // No other test listens on this address, so the port stays unused.
        let dead = std::net::TcpListener::bind("127.0.0.77:0").unwrap();
        let address = dead.local_addr().unwrap();
        drop(dead);
        let (router, _coordinator) = router(tasks, &[cache.address, address]);
        let client = Client::connect(tasks, router.address).await;
        // Parts of many objects, as some of them hash to the dead cache.
        for seq in 1..=8 {
            let object = format!("{seq:016x}");
            let mut fields: Vec<(&str, &str)> = page(RID);
            (fields[1].1, fields[3].1) = (&object, &object);
            client.send(&serve(seq, &fields, b"")).await;
            let (_, connection) = cache.next().await;
            reply(&connection, &[&object, "HIT", NAMED, "a"]).await;
            assert_eq!(client.next().await.unwrap(), served_answer(seq, b"a"));
        }
    });
}

/// Guards against requests without an answer: an attempt at a silent cache times out at the deadline, the
/// cache gets a cancellation, and the client a refusal with retry advice.
#[test]
fn an_attempt_at_a_silent_cache_ends_at_the_deadline() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        let mut fields = page(RID);
        fields[2].1 = "1000";
        client.send(&serve(1, &fields, b"")).await;
        let (want, _line) = cache.next().await;
        assert_eq!(want[0], "want");
        assert!(backoff_advice(&client.next().await.unwrap(), 1).is_some_and(|ms| ms > 0));
        // A second copy of the request may arrive first.
        while cache.next().await.0 != ["never_mind", RID] {}
    });
}

/// Guards against attempts at a cache that drains, and against events missed after a lost connection: the
/// feed is resumed from the last event, and an event that arrives twice is applied once.
#[test]
fn the_list_is_followed_across_a_lost_connection() {
    run(async |tasks| {
        let (one, two) = (Cache::start(tasks), Cache::start(tasks));
        let (router, coordinator) = router(tasks, &[one.address, two.address]);
        let client = Client::connect(tasks, router.address).await;
        let record = |id: u32, state: u8, cache: &Cache| record(id, state, cache.address);
        let frame = |index, payload: &[u8]| event(index, 2, payload);
        let drain = frame(2, &record(1, 1, &one));
        let mut feed = coordinator.accept().await.unwrap().0;
        let mut last = [0; 8];
        feed.read_exact(&mut last).await.unwrap();
        assert_eq!(u64::from_be_bytes(last), 1);
        feed.write_all(&drain).await.unwrap();
        // A malformed frame ends the connection, as a close does.
        feed.write_all(&[0, 0, 0, 1, 9]).await.unwrap();
        let mut feed = coordinator.accept().await.unwrap().0;
        feed.read_exact(&mut last).await.unwrap();
        assert_eq!(u64::from_be_bytes(last), 2);
        // The old event, by which the first cache is ready, must be ignored; the new one drains the second
        // cache.
        feed.write_all(&frame(1, &record(1, 0, &one))).await.unwrap();
        feed.write_all(&frame(3, &record(2, 1, &two))).await.unwrap();
        // With no cache left every request is refused, once the router has applied the event.
        for seq in 1.. {
            let rid = format!("{seq:016x}");
            let mut fields: Vec<(&str, &str)> = page(RID);
            fields[1].1 = &rid;
            client.send(&serve(seq, &fields, b"")).await;
            let when_refused = async { client.next().await.map(|a| backoff_advice(&a, seq).is_some()) };
            let when_served = async {
                let (_, connection) = two.next().await;
                reply(&connection, &[&rid, "HIT", NAMED, "a"]).await;
                client.next().await.map(|a| backoff_advice(&a, seq).is_some())
            };
            if futures_lite::future::or(when_refused, when_served).await.unwrap() {
                break;
            }
        }
        assert!(one.nothing_came());
    });
}

/// Guards against a coordinator that is cut off: its connection stays open, but no more empty frames
/// (heartbeats) arrive.
#[test]
fn the_router_reconnects_to_a_silent_coordinator() {
    run(async |tasks| {
        let (_router, coordinator) = router(tasks, &[]);
        let _silent = coordinator.accept().await.unwrap();
        coordinator.accept().await.unwrap();
    });
}

/// Guards against requests lost around a planned restart: a router that shuts down reports that it is not
/// well, keeps serving, and ends only once every request is answered.
#[test]
fn a_shutdown_waits_for_open_and_late_requests() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        client.send(&serve(1, &page(RID), b"")).await;
        let (_, first) = cache.next().await;
        let client_script = async {
            let late = Client::connect(tasks, router.address).await;
            while late.is_well(1).await {}
            late.send(&serve(2, &page(SECOND_RID), b"")).await;
            let (want, connection) = cache.next().await;
            assert_eq!(want[1], SECOND_RID);
            reply(&connection, &[SECOND_RID, "HIT", NAMED, "b"]).await;
            assert_eq!(late.next().await.unwrap(), served_answer(2, b"b"));
            reply(&first, &[RID, "HIT", NAMED, "a"]).await;
            assert_eq!(client.next().await.unwrap(), served_answer(1, b"a"));
        };
        both(router.shut_down(), client_script).await;
    });
}

/// Guards against clients that hold unused connections and keep others out. Connections with an open request
/// stay.
#[test]
fn unused_connections_make_room_for_waiting_clients() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router_with_sockets(tasks, &[cache.address], 64);
        let busy = Client::connect(tasks, router.address).await;
        busy.send(&serve(1, &page(RID), b"")).await;
        let (_, connection) = cache.next().await;
        let mut held = Vec::new();
        for _ in 0..3 * max_client_connections(64) {
            let client = Client::connect(tasks, router.address).await;
            assert!(client.is_well(1).await);
            held.push(client);
        }
        assert_eq!(held[0].next().await, None, "the connection unused for longest is closed");
        reply(&connection, &[RID, "HIT", NAMED, "a"]).await;
        assert_eq!(busy.next().await.unwrap(), served_answer(1, b"a"));
    });
}

/// Guards against connections that send nothing or only part of a message: each is closed, even if only a few
/// are open.
#[test]
fn silent_connections_and_partial_messages_are_closed() {
    run(async |tasks| {
        let (router, _coordinator) = router(tasks, &[]);
        let silent = Client::connect(tasks, router.address).await;
        let half = Client::connect(tasks, router.address).await;
        half.send(&serve(1, &page(RID), b"")[..40]).await;
        let later = Client::connect(tasks, router.address).await;
        assert!(later.is_well(1).await);
        later.send(&[0, 0]).await;
        for client in [silent, half, later] {
            assert_eq!(client.next().await, None);
        }
    });
}

/// Guards against answers that can't be told apart and against floods of one request. A request whose id was
/// used before, on any connection, fails without an attempt; a sequence number that doesn't increase closes
/// its connection.
#[test]
fn request_ids_are_unique_and_sequence_numbers_increase() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let (good, bad) =
            (Client::connect(tasks, router.address).await, Client::connect(tasks, router.address).await);
        good.send(&serve(1, &page(RID), b"")).await;
        let (_, connection) = cache.next().await;
        let mut other = page(RID);
        other[3].1 = "00000000000000b1";
        bad.send(&serve(7, &other, b"")).await;
        assert_eq!(bad.next().await.unwrap(), thrift::encode_broken(7));
        bad.send(&serve(7, &page(SECOND_RID), b"")).await;
        assert_eq!(bad.next().await, None);
        assert!(cache.nothing_came());
        reply(&connection, &[RID, "HIT", NAMED, "a"]).await;
        assert_eq!(good.next().await.unwrap(), served_answer(1, b"a"));
    });
}

/// Guards against asking a cache for an object of which the router holds a copy, and against serving that
/// copy after a purge.
#[test]
fn an_own_copy_is_served_until_it_is_purged() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        client.send(&serve(1, &page(RID), b"")).await;
        let (_, connection) = cache.next().await;
        reply(&connection, &[RID, "HIT", NAMED, "a"]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(1, b"a"));
        client.send(&serve(2, &page(SECOND_RID), b"")).await;
        assert_eq!(client.next().await.unwrap(), served_answer(2, b"a"));
        let mut holder = page("00000000000000a3");
        holder.push(("cached", "4be0c1927d55a6f3"));
        client.send(&serve(3, &holder, b"")).await;
        let not_modified = thrift::encode_answer("serve", 3, 0, &[("keep", "1")], true).concat();
        assert_eq!(client.next().await.unwrap(), not_modified);
        assert!(cache.nothing_came());

        let mut feed = coordinator.accept().await.unwrap().0;
        let purge = [17u16.to_be_bytes().as_slice(), &1_764_576_000_123u64.to_be_bytes()].concat();
        feed.write_all(&event(2, 4, &purge)).await.unwrap();
        for seq in 4.. {
            let rid = format!("{seq:016x}");
            let mut fields: Vec<(&str, &str)> = page(RID);
            fields[1].1 = &rid;
            client.send(&serve(seq, &fields, b"")).await;
            let asked = async { Some(cache.next().await) };
            let own = async { client.next().await.and(None) };
            if let Some((_, connection)) = futures_lite::future::or(asked, own).await {
                reply(&connection, &[&rid, "HIT", "version=bb,stamp=1764576000124", "b"]).await;
                assert_eq!(client.next().await.unwrap(), served_answer(seq, b"b"));
                break;
            }
        }
    });
}

/// Guards against a router that shuts down and accepts requests that SIGKILL would leave unanswered. On a
/// busy connection, a request that arrives after `ARRIVAL_WINDOW` and is due after the kill is refused at
/// once with advice and sent to no cache. One that is due before the kill is still served, and requests
/// accepted earlier are answered.
#[test]
fn a_router_that_shuts_down_refuses_requests_due_after_the_kill() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        client.send(&serve(1, &page(RID), b"")).await;
        let (_, first) = cache.next().await;
        let client_script = async {
            // Wait for the end of `ARRIVAL_WINDOW`, as requests within it are accepted whatever their
            // deadline.
            silverspindle::clock::timer_at(
                silverspindle::clock::now() + silverspindle::drain::ARRIVAL_WINDOW,
            )
            .await;
            client.send(&serve(2, &page(SECOND_RID), b"")).await;
            let answer = client.next().await.unwrap();
            assert!(backoff_advice(&answer, 2).is_some(), "a 20 s budget ends after the kill: refused");
            let mut short = page(THIRD_RID);
            short.retain(|(name, _)| *name != "budget");
            short.push(("budget", "1000"));
            client.send(&serve(3, &short, b"")).await;
            // Second copies of the first request may arrive in between; the refused one never does.
            let (want, connection) = loop {
                let (want, connection) = cache.next().await;
                if want[1] != RID {
                    break (want, connection);
                }
            };
            assert_eq!(want[1], THIRD_RID, "no attempt was made for the refused request");
            reply(&connection, &[THIRD_RID, "HIT", NAMED, "c"]).await;
            assert_eq!(client.next().await.unwrap(), served_answer(3, b"c"));
            reply(&first, &[RID, "HIT", NAMED, "a"]).await;
            assert_eq!(client.next().await.unwrap(), served_answer(1, b"a"));
        };
        both(router.shut_down(), client_script).await;
    });
}
