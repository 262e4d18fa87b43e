//! A router that does not run for a while: its process is stopped, requests and cancels arrive, and it goes on. Each request
//! counts from when it arrived, and what has ended meanwhile is not sent on.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use common::process::{Router, start};
use common::sender::{CacheBehaviour, DEFAULT_BEHAVIOUR, MS, Sender, serve_from};
use common::*;
use futures_lite::AsyncWriteExt;
use rustix::process::{Pid, Signal, kill_process};

/// How long the process is stopped.
const STOP_TIME: Duration = Duration::from_millis(900);
/// Time that the client of a request waits, in milliseconds.
const BUDGET: &str = "1000";
/// Time from when the router goes on to the marker, a request that ends after this time and [`MARKER_BUDGET`]. Together with
/// [`STOP_TIME`] this is less than the client's time and the 0.55 s after it in which a final answer may come.
const MARKER_DELAY: Duration = Duration::from_millis(50);
/// Time that the client of the marker waits, in milliseconds.
const MARKER_BUDGET: &str = "400";
/// The deadline passed on may exceed what the client has left by this.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Runs a test with a router as a process and one cache that is scripted by the test.
fn with_router(test: impl AsyncFnOnce(&Tasks, &Router, &Cache)) {
    run(async |tasks| {
        let (_coordinator, nowhere) = listen();
        let cache = Cache::start(tasks);
        let file = configuration(&[entry(1, "box", cache.address), entry(99, "origin", nowhere)], nowhere);
        let router = start(&file, &format!("{}:0", ip()));
        test(tasks, &router, &cache).await;
    });
}

/// Connects a client whose connection the router has accepted and waits to read from.
async fn connect_and_rest(tasks: &Tasks, router: &Router) -> Client {
    let client = Client::connect(tasks, router.clients).await;
    assert!(client.is_well(1).await);
    // The router comes to another connection only after it has returned to the first one.
    assert!(Client::connect(tasks, router.clients).await.is_well(1).await);
    client
}

/// Stops the process and waits until the kernel reports it as stopped.
async fn stop(router: &Router) {
    kill_process(Pid::from_child(&router.child), Signal::STOP).unwrap();
    let state = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", router.child.id())).unwrap();
        stat.rsplit_once(')').unwrap().1.trim_start().chars().next()
    };
    while state() != Some('T') {
        Timer::after(MS).await;
    }
}

fn go_on(router: &Router) {
    kill_process(Pid::from_child(&router.child), Signal::CONT).unwrap();
}

fn request_id(seq: i32) -> String {
    format!("{seq:016x}")
}

/// A request of the class `page` for an object of its own.
fn request(seq: i32, budget: &'static str) -> Vec<u8> {
    let (rid, object) = (request_id(seq), format!("{:016x}", seq * 7919));
    let mut fields: Vec<(&str, &str)> = page("");
    (fields[1].1, fields[2].1, fields[3].1) = (&rid, budget, &object);
    serve(seq, &fields, b"")
}

/// How long after its time a request is found by the router that goes on.
const LATE: Duration = Duration::from_millis(100);
/// Length of an answer without a body, in bytes, at most; the scripted cache's body is longer.
const MAX_EMPTY_ANSWER: usize = 200;

/// Sequence number in an answer: it follows the length, the version and type, and the name `serve`.
fn sequence_number(answer: &[u8]) -> i32 {
    i32::from_be_bytes(answer[17..21].try_into().unwrap())
}

/// Sequence number of the marker.
const MARKER: i32 = 100;

/// Lets the router go on after it was stopped for `stopped` of the time of a client's request. Checks that the request is
/// answered before a marker whose time ends within the grace of the request, and that the cache, which never answers, was
/// not given more time than the client had left.
async fn ends_in_its_time(tasks: &Tasks, router: &Router, client: &Client, cache: &Cache, stopped: Duration) {
    go_on(router);
    assert!(Client::connect(tasks, router.clients).await.is_well(1).await);
    Timer::after(MARKER_DELAY).await;
    client.send(&request(MARKER, MARKER_BUDGET)).await;
    let answer = client.next().await.expect("an answer");
    assert_ne!(sequence_number(&answer), MARKER, "the request's time was counted anew");
    let budget = Duration::from_millis(BUDGET.parse().unwrap());
    while !cache.nothing_came() {
        let (command, _) = cache.next().await;
        if command[0] == "want" && command[1] != request_id(MARKER) {
            let passed_on = Duration::from_millis(field(&command, "ttl").unwrap().parse().unwrap());
            assert!(
                passed_on + stopped <= budget + DEADLINE_SLACK,
                "a deadline of {passed_on:?} was passed on"
            );
        }
    }
}

#[test]
fn a_request_that_arrived_while_the_router_was_stopped_counts_from_its_arrival() {
    with_router(async |tasks, router, cache| {
        let client = connect_and_rest(tasks, router).await;
        stop(router).await;
        client.send(&request(2, BUDGET)).await;
        let sent = Instant::now();
        Timer::after(STOP_TIME).await;
        ends_in_its_time(tasks, router, &client, cache, sent.elapsed()).await;
    });
}

#[test]
fn a_request_on_a_connection_that_came_while_the_router_was_stopped_counts_from_its_arrival() {
    with_router(async |tasks, router, cache| {
        connect_and_rest(tasks, router).await;
        stop(router).await;
        let client = Client::connect(tasks, router.clients).await;
        client.send(&request(1, BUDGET)).await;
        let sent = Instant::now();
        Timer::after(STOP_TIME).await;
        ends_in_its_time(tasks, router, &client, cache, sent.elapsed()).await;
    });
}

#[test]
fn requests_cancelled_while_the_router_was_stopped_are_not_sent_on() {
    const REQUESTS: i32 = 40;
    with_router(async |tasks, router, cache| {
        let client = connect_and_rest(tasks, router).await;
        stop(router).await;
        let numbers = 2..2 + REQUESTS;
        client.send(&numbers.clone().flat_map(|seq| request(seq, "20000")).collect::<Vec<u8>>()).await;
        client.send(&numbers.flat_map(forget).collect::<Vec<u8>>()).await;
        Timer::after(STOP_TIME).await;
        go_on(router);
        let last = 2 + REQUESTS;
        client.send(&request(last, "20000")).await;
        let mut sent_on = 0;
        loop {
            let (command, line) = cache.next().await;
            if command[0] == "want" && command[1] == request_id(last) {
                reply(&line, &[&command[1], "HIT", NAMED, "x"]).await;
                break;
            }
            sent_on += usize::from(command[0] == "want");
        }
        assert!(client.next().await.is_some(), "the connection was closed");
        assert_eq!(sent_on, 0, "cancelled requests were sent on");
    });
}

#[test]
fn an_answer_that_arrived_in_time_while_the_router_was_stopped_goes_before_the_timeout() {
    with_router(async |tasks, router, cache| {
        let client = connect_and_rest(tasks, router).await;
        client.send(&request(2, BUDGET)).await;
        let sent = Instant::now();
        let (command, line) = cache.next().await;
        stop(router).await;
        reply(&line, &[&command[1], "HIT", NAMED, &"x".repeat(2 * MAX_EMPTY_ANSWER)]).await;
        Timer::at(sent + Duration::from_millis(BUDGET.parse().unwrap()) + LATE).await;
        go_on(router);
        let answer = client.next().await.expect("an answer");
        assert!(answer.len() > MAX_EMPTY_ANSWER, "the answer was given up");
    });
}

#[test]
fn a_drain_requested_while_the_router_was_stopped_closes_connections_in_time() {
    const CLOSE_DEADLINE: Duration = Duration::from_secs(4);
    const REQUESTS_BEFORE_DRAIN: i32 = 4;
    run(async |tasks| {
        let (_coordinator, nowhere) = listen();
        let cache = serve_from(tasks, CacheBehaviour::Never);
        let file = configuration(&[entry(1, "box", cache), entry(99, "origin", nowhere)], nowhere);
        let router = start(&file, &format!("{}:0", ip()));
        let stream = Rc::new(Async::<std::net::TcpStream>::connect(router.clients).await.unwrap());
        let client = Rc::new(Sender::default());
        let traffic = tasks.spawn(client.clone().run(stream, DEFAULT_BEHAVIOUR));
        while client.last.get() < REQUESTS_BEFORE_DRAIN {
            Timer::after(MS).await;
        }
        stop(&router).await;
        let management = Async::<std::net::TcpStream>::connect(router.management).await.unwrap();
        (&management).write_all(b"PUT /-/drain HTTP/1.1\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        let requested = Instant::now();
        Timer::after(STOP_TIME).await;
        go_on(&router);
        while !client.is_over() && requested.elapsed() < CLOSE_DEADLINE {
            Timer::after(MS).await;
        }
        client.check(requested, CLOSE_DEADLINE);
        drop(traffic);
    });
}

/// A hung request is given up before SIGKILL may come. Two routers get SIGTERM in one moment, one of them while it is
/// stopped: it must not be later by the time of the stop.
#[test]
fn a_router_that_was_stopped_as_sigterm_came_gives_up_in_time_for_sigkill() {
    const STOP_TIME: Duration = Duration::from_secs(2);
    run(async |tasks| {
        let (_coordinator, nowhere) = listen();
        let cache = serve_from(tasks, CacheBehaviour::Never);
        let file = configuration(&[entry(1, "box", cache), entry(99, "origin", nowhere)], nowhere);
        let routers = [(); 2].map(|()| start(&file, &format!("{}:0", ip())));
        let mut clients = Vec::new();
        for router in &routers {
            let client = connect_and_rest(tasks, router).await;
            client.send(&request(2, "20000")).await;
            clients.push(client);
        }
        let [_, stopped] = &routers;
        stop(stopped).await;
        for router in &routers {
            kill_process(Pid::from_child(&router.child), Signal::TERM).unwrap();
        }
        Timer::after(STOP_TIME).await;
        go_on(stopped);
        let answered = async |client: &Client| {
            assert!(client.next().await.is_some(), "closed without an answer");
            Instant::now()
        };
        let (first, second) = both(answered(&clients[0]), answered(&clients[1])).await;
        let later = second.saturating_duration_since(first);
        assert!(later < STOP_TIME / 2, "given up {later:?} after the router that was not stopped");
    });
}
