//! Races at members' connections: waiting attempts, malformed answers, idle closes, members that leave and return.
//! The critical order is forced: a full accept queue delays the establishment of a connection, a cache that does not read
//! fills the socket, and a sleeping thread keeps every actor from running.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bitternhold::Status;
use bytes::Bytes;
use common::world::{ActorHarness, PEER, SOURCE};
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use serde_json::json;
use silverspindle::clock;
use silverspindle::thrift;
use silverspindle::traffic::Attempt;
use silverspindle::upstream::PeerMessage;

const RID: &str = "9b1f03aa5c7e2d41";
const OTHER_RID: &str = "00000000000000a2";

/// A listener with a full accept queue: connections to it are established only after it is opened.
struct DelayedListener {
    listener: TcpListener,
    filler: Vec<std::net::TcpStream>,
    address: SocketAddr,
}

impl DelayedListener {
    fn closed() -> Self {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((ip(), 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        let filler = std::iter::from_fn(|| {
            std::net::TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()
        });
        let filler = filler.collect();
        Self { listener, filler, address }
    }

    /// Accepts the connections that fill the queue; the next one is the router's.
    async fn open(self) -> Async<std::net::TcpStream> {
        for _ in &self.filler {
            self.listener.accept().unwrap();
        }
        Async::new(self.listener).unwrap().accept().await.unwrap().0
    }
}

fn long_connect_timeout() -> serde_json::Value {
    let mut options = settings();
    options["limits"]["connect_timeout_ms"] = json!(20_000.0);
    options
}

/// Whether nothing arrives on this connection until it ends or 300 ms have passed.
async fn reads_nothing(connection: &Async<std::net::TcpStream>) -> bool {
    let mut connection = connection;
    let read = async { connection.read(&mut [0]).await.unwrap_or(0) == 0 };
    future::or(read, async {
        Timer::after(Duration::from_millis(300)).await;
        true
    })
    .await
}

/// While an attempt waits for its connection to be established, its client may leave, its request may get its answer, its
/// source may become unusable, or the attempt may be abandoned. It must not be written then.
#[test]
fn an_attempt_that_became_obsolete_while_connecting_is_never_written() {
    let make_obsolete: [fn(&ActorHarness, &Attempt); 4] = [
        |harness, _| harness.client.gone.set(true),
        |_, attempt| attempt.call.finished.set(true),
        |harness, _| harness.shared.state.set_ready(SOURCE, false),
        |_, attempt| attempt.abandoned.set(true),
    ];
    for (n, make_obsolete) in make_obsolete.into_iter().enumerate() {
        run(async |tasks| {
            let harness = ActorHarness::with(tasks, 9, &long_connect_timeout());
            let delayed = DelayedListener::closed();
            let peer = silverspindle::upstream::Peer::start(PEER, delayed.address, &harness.shared);
            let attempt = harness.attempt(1, RID);
            peer.send(PeerMessage::Send(attempt.clone())).await.unwrap();
            Timer::after(Duration::from_millis(20)).await;
            make_obsolete(&harness, &attempt);
            let connection = delayed.open().await;
            assert!(reads_nothing(&connection).await, "case {n}");
            if !attempt.abandoned.get() {
                assert_eq!(harness.end().await, (1, Status::Moot));
            }
        });
    }
}

/// The window in which a request may be repeated is checked when the repeat is written: here its connection is
/// established too late.
#[test]
fn a_repeat_is_not_written_after_its_window() {
    run(async |tasks| {
        let harness = ActorHarness::with(tasks, 9, &long_connect_timeout());
        let delayed = DelayedListener::closed();
        let peer = silverspindle::upstream::Peer::start(PEER, delayed.address, &harness.shared);
        let mut attempt = Rc::into_inner(harness.attempt(1, RID)).unwrap();
        attempt.write_by = clock::now();
        peer.send(PeerMessage::Send(Rc::new(attempt))).await.unwrap();
        let connection = delayed.open().await;
        assert!(reads_nothing(&connection).await);
        assert_eq!(harness.end().await, (1, Status::Moot));
    });
}

/// The same with the director: a write that may have run is repeated on another cache, whose connection is established
/// only after the window. The client gets its answer at once, and the second cache receives nothing.
#[test]
fn the_director_keeps_a_repeat_within_its_window() {
    run(async |tasks| {
        let (one, delayed) = (Cache::start(tasks), DelayedListener::closed());
        let (_coordinator, address) = listen();
        let members =
            [entry(1, "box", one.address), entry(2, "box", delayed.address), entry(99, "origin", address)];
        let mut file = configuration(&members, address);
        file["settings"]["classes"][1]["window_ms"] = json!(400.0);
        file["settings"]["limits"]["connect_timeout_ms"] = json!(20_000.0);
        file["settings"]["limits"]["second_copies"] = false.into();
        let router =
            silverspindle::serve::Router::start(config(&file).unwrap(), Default::default(), tasks).unwrap();
        let client = Client::connect(tasks, router.address).await;
        // Some objects belong to the first cache by their hash; the first one that reaches it fails there.
        let mut seq = 0;
        let connection = loop {
            seq += 1;
            let id = format!("{seq:016x}");
            let mut fields: Vec<(&str, &str)> = page(RID);
            (fields[0].1, fields[1].1, fields[3].1) = ("scan", &id, &id);
            fields.push(("token", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
            client.send(&serve(seq, &fields, b"w")).await;
            let found = async { Some(one.next().await.1) };
            let not = async {
                Timer::after(Duration::from_millis(100)).await;
                None
            };
            if let Some(connection) = future::or(found, not).await {
                break connection;
            }
            client.send(&forget(seq)).await;
        };
        reply(&connection, &[&format!("{seq:016x}"), "FAULT", "-", ""]).await;
        // The repeat is decided within the window and waits for the second cache until the window has ended.
        Timer::after(Duration::from_millis(600)).await;
        let connection = delayed.open().await;
        assert!(reads_nothing(&connection).await, "repeat written after its window");
        let answer = client.next().await.unwrap();
        assert!(answer == thrift::encode_broken(seq) || backoff_advice(&answer, seq).is_some());
    });
}

/// An attempt at a cold member is written soon or decided again: if its connection is established late, other attempts
/// may have taken the member's budget. With one try the request is refused then; with more it is sent on that connection.
#[test]
fn an_attempt_at_a_cold_member_is_not_written_late() {
    for tries in [1, 8] {
        run(async |tasks| {
            let (delayed, (_coordinator, address)) = (DelayedListener::closed(), listen());
            let mut cold = entry(1, "box", delayed.address);
            cold["up_since_ms"] = (clock::now() / 1000).into();
            let mut file = configuration(&[cold, entry(99, "origin", address)], address);
            file["settings"]["rules"]["cold_from"] = json!(0.5);
            file["settings"]["rules"]["fall_multiple"] = json!(1000.0);
            file["settings"]["limits"]["connect_timeout_ms"] = json!(20_000.0);
            file["settings"]["limits"]["second_copies"] = false.into();
            file["settings"]["limits"]["try_limit"] = tries.into();
            let router =
                silverspindle::serve::Router::start(config(&file).unwrap(), Default::default(), tasks)
                    .unwrap();
            let client = Client::connect(tasks, router.address).await;
            client.send(&serve(1, &page(RID), b"")).await;
            Timer::after(Duration::from_millis(300)).await;
            let connection = delayed.open().await;
            match tries {
                1 => {
                    assert!(backoff_advice(&client.next().await.unwrap(), 1).is_some());
                    assert!(reads_nothing(&connection).await);
                }
                _ => assert!(!reads_nothing(&connection).await),
            }
        });
    }
}

/// A connection that is still being established to a member's old address gets nothing to send once the member has a new
/// address.
#[test]
fn an_attempt_follows_its_member_to_a_new_address() {
    run(async |tasks| {
        let harness = ActorHarness::with(tasks, 9, &long_connect_timeout());
        let delayed = DelayedListener::closed();
        let peer = silverspindle::upstream::Peer::start(PEER, delayed.address, &harness.shared);
        peer.send(PeerMessage::Send(harness.attempt(1, RID))).await.unwrap();
        Timer::after(Duration::from_millis(20)).await;
        peer.send(PeerMessage::Address(harness.cache.address, 5)).await.unwrap();
        // An older version that arrives late is ignored.
        peer.send(PeerMessage::Address(delayed.address, 4)).await.unwrap();
        let (want, connection) = harness.cache.next().await;
        assert_eq!(want[1], RID);
        reply(&connection, &[RID, "NONE", "-", ""]).await;
        assert_eq!(harness.end().await, (1, Status::Miss));
        peer.send(PeerMessage::Send(harness.attempt(2, OTHER_RID))).await.unwrap();
        assert_eq!(harness.cache.next().await.0[1], OTHER_RID);
    });
}

/// A retired actor reports the end of every attempt that was not written, on its connections and in its mailbox, and then
/// ends.
#[test]
fn a_retired_peer_reports_the_end_of_every_attempt() {
    run(async |tasks| {
        let harness = ActorHarness::with(tasks, 9, &long_connect_timeout());
        let delayed = DelayedListener::closed();
        let peer = silverspindle::upstream::Peer::start(PEER, delayed.address, &harness.shared);
        peer.send(PeerMessage::Send(harness.attempt(1, RID))).await.unwrap();
        Timer::after(Duration::from_millis(20)).await;
        peer.try_send(PeerMessage::Retire).unwrap();
        peer.try_send(PeerMessage::Send(harness.attempt(2, OTHER_RID))).unwrap();
        assert_eq!(harness.end().await, (1, Status::Moot));
        assert_eq!(harness.end().await, (2, Status::Moot));
        while !peer.is_closed() {
            future::yield_now().await;
        }
    });
}

/// Abandoning an attempt is sent to a member that has left the list, and its connection is then closed: a cache that hangs
/// while it shuts down would otherwise hold a descriptor for ever.
#[test]
fn abandoned_attempts_reach_a_member_that_has_left() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        client.send(&serve(1, &page(RID), b"")).await;
        cache.next().await;
        let mut feed = coordinator.accept().await.unwrap().0;
        feed.write_all(&event(2, 2, &record(1, 2, cache.address))).await.unwrap();
        // Without a cache all requests are refused, once the router has learned of it.
        for seq in 2.. {
            let rid = format!("{seq:016x}");
            let mut fields: Vec<(&str, &str)> = page(RID);
            (fields[1].1, fields[2].1) = (&rid, "60");
            client.send(&serve(seq, &fields, b"")).await;
            let refused = async { backoff_advice(&client.next().await.unwrap(), seq).is_some() };
            let sent = async {
                while cache.next().await.0[0] != "want" {}
                false
            };
            if future::or(refused, sent).await {
                break;
            }
        }
        client.send(&forget(1)).await;
        while cache.next().await.0 != ["never_mind", RID] {}
        cache.closed.recv().await.unwrap();
    });
}

/// An id is never used twice on a connection, so that a duplicate answer to an attempt can't be taken for the answer to
/// the next attempt.
#[test]
fn a_duplicate_answer_is_not_taken_for_the_next_attempts_answer() {
    run(async |tasks| {
        let cache = Cache::start(tasks);
        let (router, _coordinator) = router(tasks, &[cache.address]);
        let client = Client::connect(tasks, router.address).await;
        client.send(&serve(1, &page(RID), b"")).await;
        let (_, first) = cache.next().await;
        reply(&first, &[RID, "SHED", "-", ""]).await;
        let (again, second) = cache.next().await;
        assert_eq!(again[1], RID);
        assert_ne!(port(&first), port(&second));
        reply(&first, &[RID, "HIT", NAMED, "spoilt"]).await;
        // The answer to another request, sent after it, proves that it was read.
        client.send(&serve(2, &page(OTHER_RID), b"")).await;
        let (_, connection) = cache.next().await;
        reply(&connection, &[OTHER_RID, "HIT", NAMED, "b"]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(2, b"b"));
        reply(&second, &[RID, "HIT", NAMED, "a"]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(1, b"a"));
    });
}

/// A client's copy counts as current only if the cache names that same copy.
#[test]
fn a_copy_is_current_only_if_the_cache_named_it() {
    run(async |tasks| {
        let (one, two) = (Cache::start(tasks), Cache::start(tasks));
        let (router, _coordinator) = router(tasks, &[one.address, two.address]);
        let client = Client::connect(tasks, router.address).await;
        let mut holder = page(RID);
        holder.push(("cached", "aaaaaaaaaaaaaaaa"));
        client.send(&serve(1, &holder, b"")).await;
        let next = || future::or(one.next(), two.next());
        let (_, connection) = next().await;
        reply(&connection, &[RID, "VALID", NAMED, ""]).await;
        let (_, connection) = next().await;
        reply(&connection, &[RID, "HIT", NAMED, "a"]).await;
        assert_eq!(client.next().await.unwrap(), served_answer(1, b"a"));
    });
}

/// An answer that trickles without an end never reaches the stall timeout. Its connection ends after the longest
/// deadline, when no client can be waiting for it.
#[test]
fn an_answer_that_never_ends_closes_its_connection() {
    run(async |tasks| {
        let mut options = settings();
        for class in options["classes"].as_array_mut().unwrap() {
            class["deadline_ms"] = json!(500.0);
        }
        let harness = ActorHarness::with(tasks, 9, &options);
        let peer = harness.peer();
        peer.send(PeerMessage::Send(harness.attempt(1, RID))).await.unwrap();
        let (_, connection) = harness.cache.next().await;
        let head = format!("*4\r\n$16\r\n{RID}\r\n$3\r\nHIT\r\n$19\r\nversion=aa,stamp=11\r\n$200000\r\n");
        (&*connection).write_all(head.as_bytes()).await.unwrap();
        let trickle = async {
            while (&*connection).write_all(b"x").await.is_ok() {
                Timer::after(Duration::from_millis(50)).await;
            }
            future::pending::<()>().await
        };
        let end = future::or(async { Some(harness.end().await) }, async {
            trickle.await;
            None
        });
        assert_eq!(end.await, Some((1, Status::Reset)));
    });
}

/// A connection that its peer may be about to close is not chosen, even before the sweep has closed it.
#[test]
fn a_connection_near_its_idle_close_is_not_chosen() {
    run(async |tasks| {
        let mut options = settings();
        options["limits"]["idle_close_ms"] = json!(600.0);
        let harness = ActorHarness::with(tasks, 9, &options);
        let peer = harness.peer();
        peer.send(PeerMessage::Send(harness.attempt(1, RID))).await.unwrap();
        let (_, one) = harness.cache.next().await;
        reply(&one, &[RID, "NONE", "-", ""]).await;
        assert_eq!(harness.end().await, (1, Status::Miss));
        // No task runs meanwhile, nor does the sweep; the attempt is in the mailbox when the actor runs again.
        std::thread::sleep(Duration::from_millis(400));
        peer.try_send(PeerMessage::Send(harness.attempt(2, OTHER_RID))).unwrap();
        let (_, two) = harness.cache.next().await;
        assert_ne!(port(&one), port(&two));
    });
}

/// Attempts that wait behind a full socket are checked when their first byte can be written, not before. Those abandoned
/// meanwhile are never written, and the rest are written completely.
#[test]
fn attempts_behind_a_full_socket_are_checked_when_they_are_written() {
    run(async |tasks| {
        let (listener, address) = listen();
        let harness = ActorHarness::new(tasks, 1);
        let peer = silverspindle::upstream::Peer::start(PEER, address, &harness.shared);
        let write = |ticket: u64, size: usize| {
            let mut attempt = Rc::into_inner(harness.attempt(ticket, &format!("{ticket:016x}"))).unwrap();
            Rc::get_mut(&mut attempt.call).unwrap().body = Bytes::from(vec![b'x'; size]);
            Rc::new(attempt)
        };
        // One connection that the cache does not read, and far more bytes than both sockets hold.
        let big = write(1, 16_000_000);
        peer.send(PeerMessage::Send(big.clone())).await.unwrap();
        let (connection, _) = listener.accept().await.unwrap();
        while !big.written.get() {
            future::yield_now().await;
        }
        let waiting: Vec<_> = (2..=5).map(|ticket| write(ticket, 10)).collect();
        for attempt in &waiting {
            peer.send(PeerMessage::Send(attempt.clone())).await.unwrap();
        }
        Timer::after(Duration::from_millis(20)).await;
        waiting[0].abandoned.set(true);
        peer.send(PeerMessage::Abandon(waiting[0].clone(), false)).await.unwrap();
        waiting[1].call.finished.set(true);
        let mut all = Vec::new();
        let mut buffer = vec![0; 1 << 16];
        let last = format!("{:016x}", 5);
        while !String::from_utf8_lossy(&all[all.len().saturating_sub(4096)..]).contains(&last) {
            let n = (&connection).read(&mut buffer).await.unwrap();
            all.extend_from_slice(&buffer[..n]);
        }
        let tail = String::from_utf8_lossy(&all[all.len().saturating_sub(4096)..]).into_owned();
        for (ticket, goes) in [(2, false), (3, false), (4, true), (5, true)] {
            assert_eq!(tail.contains(&format!("{ticket:016x}")), goes, "{ticket}");
        }
        assert_eq!(harness.end().await, (3, Status::Moot));
    });
}

/// A connection with a malformed answer is closed before the ends of its attempts are reported. Where only one attempt of
/// a request may be in flight at a time, the earlier one must be lost for certain when the next one is decided.
#[test]
fn a_connection_with_a_malformed_answer_is_closed_before_its_ends_are_reported() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let peer = harness.peer();
        peer.send(PeerMessage::Send(harness.attempt(1, RID))).await.unwrap();
        let (_, connection) = harness.cache.next().await;
        reply(&connection, &[RID, "PONG", "-", ""]).await;
        assert_eq!(harness.end().await, (1, Status::Reset));
        // No other task has run since the end was reported.
        let mut byte = [0];
        let closed = matches!(connection.get_ref().peek(&mut byte), Ok(0) | Err(_))
            && !matches!(connection.get_ref().peek(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        assert!(closed);
    });
}

/// A connection may not write an attempt, and before the actor learns of it the attempt has moved to another connection and
/// was written there. It may have run, so only its answer ends it.
#[test]
fn an_attempt_not_written_on_one_connection_but_on_another_is_not_reported_as_never_sent() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let peer = harness.peer();
        let attempt = harness.attempt(1, RID);
        peer.send(PeerMessage::Send(attempt.clone())).await.unwrap();
        let (_, connection) = harness.cache.next().await;
        let left_before = attempt.connection.get() + 1;
        peer.send(PeerMessage::NotWritten(left_before, attempt)).await.unwrap();
        reply(&connection, &[RID, "FAULT", "-", ""]).await;
        assert_eq!(harness.end().await, (1, Status::Error));
    });
}
