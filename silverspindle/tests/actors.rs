//! Tests of single actors: a peer's actor connected to a scripted cache, and the front with the test as its director.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bitternhold::Status;
use bytes::Bytes;
use common::world::{ActorHarness, PEER, SOURCE};
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use silverspindle::clock;
use silverspindle::feed::PurgeTarget;
use silverspindle::front::Front;
use silverspindle::loop_monitor::{self, Backlog};
use silverspindle::thrift;
use silverspindle::traffic::{Message, RoutingState, Verdict};
use silverspindle::upstream::PeerMessage;

/// Largest object, in bytes, and number of answers of this size that clients don't read at once: more than the kernel buffers.
const LARGEST_OBJECT: usize = 240_000;
const UNREAD_ANSWERS: usize = 10;

#[test]
fn a_request_to_a_cache_names_the_fill_options() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        harness.peer().send(PeerMessage::Send(harness.attempt(1, "00000000000000a1"))).await.unwrap();
        let (want, _) = harness.cache.next().await;
        // An age below one millisecond must not become 0, which would mean the class's fresh time.
        for (name, value) in [
            ("fetch", "s-00000002"),
            ("retain", "2"),
            ("newer", "1"),
            ("handle", "coalesce+shallow+transit+freshen"),
        ] {
            assert_eq!(field(&want, name), Some(value), "{name}");
        }
    });
}

/// An attempt waits while its cache or its source is drained or its object is purged. It must end as never sent when it is
/// about to be written, and must not reach the cache.
#[test]
fn an_attempt_made_obsolete_by_a_drain_or_purge_is_never_sent() {
    let news: [fn(&RoutingState); 4] = [
        |state| state.set_ready(PEER, false),
        |state| state.set_ready(SOURCE, false),
        |state| state.record_purge(clock::now(), PurgeTarget::Group(17), 6_000_000),
        |state| state.record_purge(clock::now(), PurgeTarget::Object(0x7f3a9c21e0b4d655), 6_000_000),
    ];
    for tell in news {
        run(async |tasks| {
            let harness = ActorHarness::new(tasks, 9);
            let peer = harness.peer();
            peer.try_send(PeerMessage::Send(harness.attempt(1, "00000000000000a1"))).unwrap();
            tell(&harness.shared.state);
            assert_eq!(harness.end().await, (1, Status::Moot));
            [PEER, SOURCE].into_iter().for_each(|id| harness.shared.state.set_ready(id, true));
            // An attempt decided after the drain or purge is sent, and is the first thing that the cache reads.
            peer.try_send(PeerMessage::Send(harness.attempt(2, "00000000000000a2"))).unwrap();
            assert_eq!(harness.cache.next().await.0[1], "00000000000000a2");
        });
    }
}

/// An id is used only once on a connection, and not again for a while after its attempt was abandoned there: two answers
/// with the same id could not be told apart.
#[test]
fn an_id_is_used_once_on_a_connection() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let peer = harness.peer();
        let first = harness.attempt(1, "00000000000000a1");
        peer.send(PeerMessage::Send(first.clone())).await.unwrap();
        let (_, one) = harness.cache.next().await;
        peer.send(PeerMessage::Send(harness.attempt(2, "00000000000000a1"))).await.unwrap();
        let (_, two) = harness.cache.next().await;
        first.abandoned.set(true);
        peer.send(PeerMessage::Abandon(first, false)).await.unwrap();
        assert_eq!(harness.cache.next().await.0[0], "never_mind");
        peer.send(PeerMessage::Send(harness.attempt(3, "00000000000000a1"))).await.unwrap();
        let (_, three) = harness.cache.next().await;
        let ports: std::collections::BTreeSet<u16> = [&one, &two, &three].iter().map(|s| port(s)).collect();
        assert_eq!(ports.len(), 3);
        // A late answer to an abandoned attempt ends no other attempt.
        reply(&one, &["00000000000000a1", "HIT", NAMED, "old"]).await;
        reply(&two, &["00000000000000a1", "SHED", "-", ""]).await;
        assert_eq!(harness.end().await, (2, Status::Full));
    });
}

/// While descriptors are plenty, attempts in flight at the same time use separate connections, and idle connections are
/// reused. Guards against one malformed answer that ends all attempts in flight.
#[test]
fn concurrent_attempts_use_separate_connections() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let peer = harness.peer();
        let mut connections = Vec::new();
        for ticket in 1..=3 {
            peer.send(PeerMessage::Send(harness.attempt(ticket, &format!("{ticket:016x}")))).await.unwrap();
            connections.push(harness.cache.next().await.1);
        }
        (&*connections[1]).write_all(b"noise\r\n").await.unwrap();
        assert_eq!(harness.end().await, (2, Status::Reset));
        reply(&connections[0], &[&format!("{:016x}", 1), "NONE", "-", ""]).await;
        assert_eq!(harness.end().await, (1, Status::Miss));
        peer.send(PeerMessage::Send(harness.attempt(4, &format!("{:016x}", 4)))).await.unwrap();
        assert_eq!(port(&harness.cache.next().await.1), port(&connections[0]));
        reply(&connections[2], &[&format!("{:016x}", 3), "NONE", "-", ""]).await;
        assert_eq!(harness.end().await, (3, Status::Miss));
    });
}

/// Where handshakes have a cost, concurrent attempts share a connection until connections break so often that sharing
/// loses more than a handshake costs. Guards against a fleet that opens a connection for each request in a busy moment.
#[test]
fn connections_are_shared_where_handshakes_have_a_cost_until_they_break() {
    run(async |tasks| {
        let mut options = settings();
        options["deductions"] = serde_json::json!({"handshake": 0.08});
        let harness = ActorHarness::with(tasks, 9, &options);
        let peer = harness.peer();
        let mut ticket = 0;
        let mut pair = async || {
            let mut connections = Vec::new();
            for _ in 0..2 {
                ticket += 1;
                peer.send(PeerMessage::Send(harness.attempt(ticket, &format!("{ticket:016x}"))))
                    .await
                    .unwrap();
                connections.push(harness.cache.next().await.1);
            }
            connections
        };
        // Each break ends two attempts; after two breaks the third pair uses separate connections.
        for shared in [true, true, false] {
            let connections = pair().await;
            assert_eq!(port(&connections[0]) == port(&connections[1]), shared);
            (&*connections[0]).write_all(b"noise\r\n").await.unwrap();
            assert_eq!(harness.end().await.1, Status::Reset);
            if shared {
                assert_eq!(harness.end().await.1, Status::Reset);
            }
        }
    });
}

#[test]
fn streams_per_connection_and_descriptors_are_limited() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 1);
        let peer = harness.peer();
        for ticket in 0..33 {
            peer.send(PeerMessage::Send(harness.attempt(ticket, &format!("{ticket:016x}")))).await.unwrap();
        }
        // The connection of the only descriptor is full, so the last attempt ends as never sent.
        assert_eq!(harness.end().await, (32, Status::Moot));
        for _ in 0..32 {
            harness.cache.next().await;
        }
    });
}

/// A machine that is cut off from the network leaves its connections open and silent. After a timeout, new attempts must
/// use a new connection, as a failed connect proves that nothing ran.
#[test]
fn after_silence_new_attempts_use_a_new_connection() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let peer = harness.peer();
        let first = harness.attempt(1, "00000000000000a1");
        peer.send(PeerMessage::Send(first.clone())).await.unwrap();
        let (_, one) = harness.cache.next().await;
        let other = harness.attempt(9, "00000000000000a9");
        peer.send(PeerMessage::Send(other.clone())).await.unwrap();
        let (_, idle) = harness.cache.next().await;
        other.abandoned.set(true);
        peer.send(PeerMessage::Abandon(other, false)).await.unwrap();
        assert_eq!(harness.cache.next().await.0[0], "never_mind");
        first.abandoned.set(true);
        peer.send(PeerMessage::Abandon(first, true)).await.unwrap();
        assert_eq!(harness.cache.next().await.0[0], "never_mind");
        peer.send(PeerMessage::Send(harness.attempt(2, "00000000000000a2"))).await.unwrap();
        let (_, two) = harness.cache.next().await;
        assert!(![port(&one), port(&idle)].contains(&port(&two)));
    });
}

/// Guards against steady traffic on one connection that postpones the closing of idle ones for ever.
#[test]
fn an_idle_connection_is_closed_while_another_is_busy() {
    run(async |tasks| {
        let mut options = settings();
        options["limits"]["idle_close_ms"] = serde_json::json!(500.0);
        let harness = ActorHarness::with(tasks, 9, &options);
        let peer = harness.peer();
        for ticket in 1..=2 {
            peer.send(PeerMessage::Send(harness.attempt(ticket, "00000000000000a1"))).await.unwrap();
        }
        let (one, two) = (harness.cache.next().await.1, harness.cache.next().await.1);
        for connection in [&one, &two] {
            reply(connection, &["00000000000000a1", "NONE", "-", ""]).await;
            harness.end().await;
        }
        while harness.cache.closed.is_empty() {
            peer.send(PeerMessage::Send(harness.attempt(3, "00000000000000a1"))).await.unwrap();
            let (_, connection) = harness.cache.next().await;
            reply(&connection, &["00000000000000a1", "NONE", "-", ""]).await;
            harness.end().await;
        }
    });
}

#[test]
fn each_answer_code_ends_the_attempt_with_its_status() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let peer = harness.peer();
        for (word, status) in [
            ("HIT", Status::Ok),
            ("NONE", Status::Miss),
            ("SHED", Status::Full),
            ("FAULT", Status::Error),
            ("LATE", Status::Moot),
        ] {
            peer.send(PeerMessage::Send(harness.attempt(5, "00000000000000a1"))).await.unwrap();
            let (_, connection) = harness.cache.next().await;
            reply(&connection, &["00000000000000a1", word, &format!("why=dropped,{NAMED}"), ""]).await;
            assert_eq!(harness.end().await, (5, status), "{word}");
        }
    });
}

/// An attempt waits when the loop is delayed, and its cache's drain lies unread behind the delay: it is not written before
/// that is read, and then not at all.
#[test]
fn an_attempt_is_not_written_while_what_came_during_a_delay_is_unread() {
    const TURNS: usize = 50;
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let peer = harness.peer();
        peer.send(PeerMessage::Send(harness.attempt(1, "00000000000000a1"))).await.unwrap();
        let (_, connection) = harness.cache.next().await;
        reply(&connection, &["00000000000000a1", "NONE", "-", ""]).await;
        assert_eq!(harness.end().await.0, 1);
        let monitor = tasks.spawn(loop_monitor::run(|_| ()));
        future::yield_now().await;
        std::thread::sleep(Duration::from_micros(2 * loop_monitor::MAX_TURN_GAP));
        let unread = Backlog::of_reader().expect("the loop was delayed");
        peer.send(PeerMessage::Send(harness.attempt(2, "00000000000000a2"))).await.unwrap();
        for _ in 0..TURNS {
            future::yield_now().await;
        }
        harness.shared.state.set_ready(PEER, false);
        drop(unread);
        assert_eq!(harness.end().await, (2, Status::Moot));
        assert!(harness.cache.nothing_came());
        drop(monitor);
    });
}

/// A front whose unwritten answers may take next to no memory, and its address.
fn front_without_memory(tasks: &Tasks, harness: &ActorHarness) -> (Rc<Front>, SocketAddr) {
    let (listener, address) = listen();
    let front =
        Front::new(harness.shared.site.clone(), harness.shared.director.clone(), 3000, 64, Rc::default());
    tasks.spawn(front.clone().accept(listener, clock::now(), tasks.clone())).detach();
    (front, address)
}

/// Sends [`UNREAD_ANSWERS`] requests and has each answered with a body of the largest size.
async fn request_largest(harness: &ActorHarness, client: &Async<TcpStream>) {
    for seq in 1..=UNREAD_ANSWERS {
        let rid = format!("{seq:016x}");
        let mut fields: Vec<(&str, &str)> = page("");
        fields[1].1 = &rid;
        client.get_ref().write_all(&serve(seq as i32, &fields, b"")).unwrap();
    }
    for _ in 0..UNREAD_ANSWERS {
        let (handle, seq, _) = harness.request().await;
        handle.answer(seq, Verdict::Served(Bytes::from(vec![7; LARGEST_OBJECT])));
    }
}

/// How long a client reads nothing, in a test of what waits for it meanwhile.
const PAUSE: Duration = Duration::from_millis(2500);

/// Reads the [`UNREAD_ANSWERS`] answers of [`request_largest`] at this many bytes each millisecond; fails if they are cut off.
async fn read_largest(mut client: &Async<TcpStream>, bytes_per_ms: usize) {
    let expected = UNREAD_ANSWERS * served_answer(1, &[7; LARGEST_OBJECT]).len();
    let (mut received, mut piece, began) = (0, vec![0; 10 * bytes_per_ms], Instant::now());
    while received < expected {
        let n = client.read(&mut piece).await.unwrap();
        assert!(n > 0, "cut off after {received} of {expected} bytes");
        received += n;
        Timer::at(began + Duration::from_millis((received / bytes_per_ms) as u64)).await;
    }
}

/// Guards answers of a client that stops reading while memory is short and reads on seconds later: none is lost, and others
/// have theirs meanwhile.
#[test]
fn a_client_that_pauses_gets_all_its_answers_when_memory_is_short() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let (front, address) = front_without_memory(tasks, &harness);
        let paused = connect_with_small_buffer(address).await;
        request_largest(&harness, &paused).await;
        let good = Client::connect(tasks, address).await;
        good.send(&serve(7, &page("00000000000000a2"), b"")).await;
        let (handle, seq, _) = harness.request().await;
        handle.answer(seq, Verdict::Served(Bytes::from_static(b"small")));
        assert_eq!(good.next().await.unwrap(), served_answer(7, b"small"));
        Timer::after(PAUSE).await;
        assert!(!front.all_answers_written());
        read_largest(&paused, 10_000).await;
        let counters = front.counters().to_string();
        assert!(!counters.contains("stalled"), "nobody is cut off: {counters}");
        good.is_well(8).await;
    });
}

/// Guards answers of clients that read at the slowest rate that the operators name: none is lost when memory is short.
#[test]
fn a_client_that_reads_slowly_gets_all_its_answers_when_memory_is_short() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let (_front, address) = front_without_memory(tasks, &harness);
        let client = connect_with_small_buffer(address).await;
        request_largest(&harness, &client).await;
        read_largest(&client, 1000).await;
    });
}

/// Guards answers of clients that read far slower than the slowest rate that the operators name (review, case 8): none is
/// lost when memory is short.
#[test]
fn a_client_that_reads_very_slowly_gets_all_its_answers_when_memory_is_short() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let (_front, address) = front_without_memory(tasks, &harness);
        let client = connect_with_small_buffer(address).await;
        request_largest(&harness, &client).await;
        read_largest(&client, 300).await;
    });
}

/// A client requests more than it reads. The answers that wait for it are limited to what it can read in the time of a
/// drain or a shutdown, and its further requests are refused as never run.
#[test]
fn a_client_with_many_unread_answers_is_refused() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let (front, address) = harness.front(tasks, &Rc::default()).await;
        let client = Async::<TcpStream>::connect(address).await.unwrap();
        let ask = |seq: i32| {
            let rid = format!("{seq:016x}");
            let mut fields: Vec<(&str, &str)> = page("");
            fields[1].1 = &rid;
            client.get_ref().write_all(&serve(seq, &fields, b"")).unwrap();
        };
        let body = Bytes::from(vec![7; 240_000]);
        let mut seq = 0;
        // The client reads nothing: at some point the kernel takes no more bytes, and answers wait in the process.
        while front.unwritten_bytes() < 1_500_000 {
            seq += 1;
            ask(seq);
            let (handle, ..) = harness.request().await;
            handle.answer(seq, Verdict::Served(body.clone()));
            future::yield_now().await;
        }
        ask(seq + 1);
        let mut all = Vec::new();
        let refused = thrift::encode_throttled(seq + 1, Some(200));
        let mut piece = vec![0; 100_000];
        while !all.ends_with(&refused) {
            let n = (&client).read(&mut piece).await.unwrap();
            all.extend_from_slice(&piece[..n]);
        }
        assert_eq!(all.len(), seq as usize * served_answer(1, &body).len() + refused.len());
        ask(seq + 2);
        let (_, again, _) = harness.request().await;
        assert_eq!(again, seq + 2, "accepted again once the client has read");
    });
}

/// Guards the memory against many concurrent writes: over the limit a write is refused, which is safe as nothing has run.
#[test]
fn writes_over_the_memory_limit_are_refused() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let (listener, address) = listen();
        let front = Front::new(
            harness.shared.site.clone(),
            harness.shared.director.clone(),
            8 * 150,
            64,
            Rc::default(),
        );
        tasks.spawn(front.accept(listener, clock::now(), tasks.clone())).detach();
        let client = Client::connect(tasks, address).await;
        let write = |seq| {
            let mut fields =
                page(["00000000000000a1", "00000000000000a2", "00000000000000a3"][seq as usize - 1]);
            fields[0].1 = "scan";
            fields.push(("token", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
            serve(seq, &fields, &[7; 100])
        };
        client.send(&write(1)).await;
        let first = harness.messages.recv().await.unwrap();
        client.send(&write(2)).await;
        assert!(backoff_advice(&client.next().await.unwrap(), 2).is_some_and(|ms| ms > 0));
        assert!(harness.messages.is_empty());
        drop(first);
        client.send(&write(3)).await;
        let Message::Request { seq: 3, .. } = harness.messages.recv().await.unwrap() else { panic!() };
    });
}

/// A client opens more requests than allowed: those over the limit are refused, and a `forget` behind them is still read.
#[test]
fn too_many_requests_are_refused_and_a_forget_behind_them_is_read() {
    run(async |tasks| {
        let harness = ActorHarness::new(tasks, 9);
        let (listener, address) = listen();
        let front = Front::new(
            harness.shared.site.clone(),
            harness.shared.director.clone(),
            192_000_000,
            64,
            Rc::default(),
        );
        tasks.spawn(front.accept(listener, clock::now(), tasks.clone())).detach();
        let client = Client::connect(tasks, address).await;
        let request = |seq| {
            let rid = format!("{seq:016x}");
            let mut fields: Vec<(&str, &str)> = page("");
            fields[1].1 = &rid;
            serve(seq, &fields, b"")
        };
        for seq in 1..=65 {
            client.send(&request(seq)).await;
        }
        client.send(&forget(2)).await;
        assert!(backoff_advice(&client.next().await.unwrap(), 65).is_some());
        let mut handles = Vec::new();
        for _ in 0..64 {
            let Message::Request { client: handle, .. } = harness.messages.recv().await.unwrap() else {
                panic!()
            };
            handles.push(handle);
        }
        let Message::Forget { seq: 2, .. } = harness.messages.recv().await.unwrap() else { panic!() };
        handles[0].answer(5, Verdict::Failed);
        assert_eq!(client.next().await.unwrap(), silverspindle::thrift::encode_broken(5));
        client.send(&request(66)).await;
        let Message::Request { seq: 66, .. } = harness.messages.recv().await.unwrap() else { panic!() };
    });
}
