//! Tests of the drain's deadline with the program as a process: 4 s after the drain is requested, no client's
//! connection is held that is idle or had a request in the last 2 s, whatever clients and caches do, and each request
//! has exactly one answer.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use common::process::{Router, put, start};
use common::sender::{CacheBehaviour, DEFAULT_BEHAVIOUR, MS, Sender, SenderBehaviour, serve_from};
use common::*;

/// Time after the request for a drain at which connections are checked.
const CLOSE_DEADLINE: Duration = Duration::from_secs(4);
/// Number of requests sent before the drain is requested.
const REQUESTS_BEFORE_DRAIN: i32 = 4;

/// Drains a router while a client sends through it, and checks that its connection is closed in time.
fn drains_in_time(client_behaviour: SenderBehaviour, cache_behaviour: CacheBehaviour) {
    run(async |tasks| {
        let (_coordinator, nowhere) = listen();
        let cache = serve_from(tasks, cache_behaviour);
        let file = configuration(&[entry(1, "box", cache), entry(99, "origin", nowhere)], nowhere);
        let mut router: Router = start(&file, &format!("{}:0", ip()));
        // Reads the log all the time, so that the pipe does not fill up and block the router.
        let lines = std::mem::replace(&mut router.lines, Box::new(std::iter::empty()));
        let log = std::thread::spawn(move || lines.collect::<Vec<String>>());
        let stream = Rc::new(Async::<std::net::TcpStream>::connect(router.clients).await.unwrap());
        let client = Rc::new(Sender::default());
        let traffic = tasks.spawn(client.clone().run(stream, client_behaviour));
        while client.last.get() < REQUESTS_BEFORE_DRAIN {
            Timer::after(MS).await;
        }
        assert_eq!(put(&router, "/-/drain"), 200);
        let drained = Instant::now();
        while !client.is_over() && drained.elapsed() < CLOSE_DEADLINE {
            Timer::after(MS).await;
        }
        let verdict =
            std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| client.check(drained, CLOSE_DEADLINE)));
        drop(traffic);
        let _ = router.child.kill();
        let _ = router.child.wait();
        let log = log.join().unwrap();
        if let Err(failure) = verdict {
            log.iter().for_each(|line| eprintln!("{line}"));
            std::panic::resume_unwind(failure);
        }
    });
}

/// Guards against a connection held for ever because the client's requests overlap: there is no moment in which no
/// answer is owed on it.
#[test]
fn a_connection_with_overlapping_requests_closes_in_time() {
    drains_in_time(DEFAULT_BEHAVIOUR, CacheBehaviour::After(700 * MS, 1000));
}

/// Guards against a connection held because its requests wait for a cache that hangs, up to their deadlines, while the
/// client sends further requests behind them.
#[test]
fn a_connection_whose_requests_wait_for_a_hung_cache_closes_in_time() {
    drains_in_time(DEFAULT_BEHAVIOUR, CacheBehaviour::Never);
}

/// Guards against a connection held because its client reads 1 MB/s and requests nearly as much, so that unread answers
/// are always waiting.
#[test]
fn a_slow_readers_connection_closes_in_time_after_all_its_answers() {
    drains_in_time(
        SenderBehaviour { reads: 1000, ..DEFAULT_BEHAVIOUR },
        CacheBehaviour::After(20 * MS, 200_000),
    );
}

/// Guards against a connection held because it always has a partially received message.
#[test]
fn a_connection_with_partial_messages_closes_in_time() {
    let client_behaviour = SenderBehaviour { every: 150 * MS, halves: true, ..DEFAULT_BEHAVIOUR };
    drains_in_time(client_behaviour, CacheBehaviour::After(20 * MS, 1000));
}

/// Guards against requests that are lost at the close because the client, which reads 1 MB/s and requests more in
/// smaller answers, sent them while still reading earlier answers.
#[test]
fn a_connection_that_requests_more_than_it_reads_closes_after_all_its_answers() {
    let client_behaviour = SenderBehaviour { every: 20 * MS, reads: 1000, ..DEFAULT_BEHAVIOUR };
    drains_in_time(client_behaviour, CacheBehaviour::After(5 * MS, 60_000));
}
