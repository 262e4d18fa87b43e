//! The terms of a drain, held against the program as a process: 4 s after the call no client's connection is held idle
//! or with a request of the last 2 s, whatever clients and caches do; and each request has its one answer.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use common::process::{Router, put, start};
use common::sender::{Cached, Habit, MS, Sender, USUAL, serve_from};
use common::*;

/// The terms look at connections so long after the call.
const TERM: Duration = Duration::from_secs(4);
/// Requests that have come before the drain is asked for.
const WARM_UP: i32 = 4;

/// Drains a router while a client of this habit sends through it, and holds the drain to its terms.
fn drains_in_time(habit: Habit, cached: Cached) {
    run(async |tasks| {
        let (_coordinator, nowhere) = listen();
        let cache = serve_from(tasks, cached);
        let file = configuration(&[entry(1, "box", cache), entry(99, "origin", nowhere)], nowhere);
        let mut router: Router = start(&file, &format!("{}:0", ip()));
        // Its log must not fill the pipe.
        let lines = std::mem::replace(&mut router.lines, Box::new(std::iter::empty()));
        let log = std::thread::spawn(move || lines.collect::<Vec<String>>());
        let stream = Rc::new(Async::<std::net::TcpStream>::connect(router.clients).await.unwrap());
        let client = Rc::new(Sender::default());
        let traffic = tasks.spawn(client.clone().run(stream, habit));
        while client.last.get() < WARM_UP {
            Timer::after(MS).await;
        }
        assert_eq!(put(&router, "/-/drain"), 200);
        let drained = Instant::now();
        while !client.is_over() && drained.elapsed() < TERM {
            Timer::after(MS).await;
        }
        let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| client.check(drained, TERM)));
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

/// A client always has a request open: there is no moment in which its connection owes nothing.
#[test]
fn a_client_whose_requests_overlap_is_let_go_in_time() {
    drains_in_time(USUAL, Cached::After(700 * MS, 1000));
}

/// Its requests wait for a cache that hangs, to their end, and it sends on behind them.
#[test]
fn a_client_whose_requests_wait_for_a_hung_cache_is_let_go_in_time() {
    drains_in_time(USUAL, Cached::Never);
}

/// It reads 1 MB/s and asks for nearly as much: there are always answers that it has not taken.
#[test]
fn a_client_that_reads_slowly_is_let_go_in_time_with_all_its_answers() {
    drains_in_time(Habit { reads: 1000, ..USUAL }, Cached::After(20 * MS, 200_000));
}

/// There is always half a message on its connection.
#[test]
fn a_client_that_sends_in_halves_is_let_go_in_time() {
    let habit = Habit { every: 150 * MS, halves: true, ..USUAL };
    drains_in_time(habit, Cached::After(20 * MS, 1000));
}

/// It reads 1 MB/s and asks for more, in smaller answers: what it sends while it reads what came before is not lost.
#[test]
fn a_client_that_asks_more_than_it_reads_is_let_go_with_all_its_answers() {
    let habit = Habit { every: 20 * MS, reads: 1000, ..USUAL };
    drains_in_time(habit, Cached::After(5 * MS, 60_000));
}
