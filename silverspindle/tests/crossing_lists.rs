//! What can cross at the list of members and purges: gaps, silence, breaks, moves.

mod common;

use std::net::SocketAddr;

use async_io::Async;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use silverspindle::coordinator::{Coordinator, Sink, Told};
use silverspindle::feed::Update;
use silverspindle::steady::steady;

struct Feed {
    listener: Async<std::net::TcpListener>,
    news: async_channel::Receiver<Update>,
    moves: async_channel::Sender<SocketAddr>,
}

/// The list's actor, which knows event 1, before a scripted coordinator.
fn feed(tasks: &Tasks) -> Feed {
    let (listener, address) = listen();
    let (tell, news) = async_channel::bounded(64);
    let (moves, moved) = async_channel::bounded(4);
    let actor = Coordinator { address, last: 1, news: tell, moves: moved, gap: None };
    tasks.spawn(actor.run()).detach();
    Feed { listener, news, moves }
}

/// The next connection and the last event that it names.
async fn asked(listener: &Async<std::net::TcpListener>) -> (Async<std::net::TcpStream>, u64) {
    let mut stream = listener.accept().await.unwrap().0;
    let mut last = [0; 8];
    stream.read_exact(&mut last).await.unwrap();
    (stream, u64::from_be_bytes(last))
}

fn purge(index: u64) -> Vec<u8> {
    event(index, 4, &[17u16.to_be_bytes().as_slice(), &index.to_be_bytes()].concat())
}

async fn purged(feed: &Feed) -> u64 {
    loop {
        match feed.news.recv().await.unwrap() {
            Update::Purged { at, .. } => return at.as_micros() / 1000,
            Update::UpToDate => {}
            other => panic!("{other:?}"),
        }
    }
}

/// A gap in the numbers is asked for again, not skipped: a drain may be in it. One that comes again is the coordinator's
/// last word, and following goes on.
#[test]
fn a_gap_is_asked_for_again_and_believed_the_second_time() {
    run(async |tasks| {
        let feed = feed(tasks);
        let (mut stream, last) = asked(&feed.listener).await;
        assert_eq!(last, 1);
        stream.write_all(&purge(3)).await.unwrap();
        let (mut stream, last) = asked(&feed.listener).await;
        assert_eq!(last, 1, "from the last that is known");
        assert!(feed.news.is_empty(), "nothing is told out of its turn");
        stream.write_all(&[purge(2), purge(3), purge(6)].concat()).await.unwrap();
        assert_eq!((purged(&feed).await, purged(&feed).await), (2, 3));
        let (mut stream, last) = asked(&feed.listener).await;
        assert_eq!(last, 3);
        stream.write_all(&[purge(6), purge(7)].concat()).await.unwrap();
        assert_eq!((purged(&feed).await, purged(&feed).await), (6, 7));
    });
}

/// A watch that falls silent as soon as it is open is left for another, again and again, without a spin; what is told
/// meanwhile comes with the first one that speaks.
#[test]
fn watches_that_fall_silent_at_once_are_left() {
    run(async |tasks| {
        let feed = feed(tasks);
        let (_one, _) = asked(&feed.listener).await;
        let (_two, last) = asked(&feed.listener).await;
        assert_eq!(last, 1);
        let (mut three, _) = asked(&feed.listener).await;
        three.write_all(&purge(2)).await.unwrap();
        assert_eq!(purged(&feed).await, 2);
    });
}

/// A watch that breaks on each connect is tried again, more slowly from try to try.
#[test]
fn a_watch_that_breaks_on_each_connect_is_no_spin() {
    run(async |tasks| {
        let feed = feed(tasks);
        let from = std::time::Instant::now();
        for _ in 0..5 {
            drop(asked(&feed.listener).await);
        }
        // 0, 50, 100, 200 and 400 ms lie between them at the least.
        drop(asked(&feed.listener).await);
        assert!(from.elapsed().as_millis() >= 700);
    });
}

/// A move in the middle of a frame, and in the middle of a dial, loses nothing: the new coordinator is asked from the
/// last whole event on.
#[test]
fn a_move_in_the_middle_of_a_frame_asks_from_the_last_whole_event() {
    run(async |tasks| {
        let feed = feed(tasks);
        let (mut stream, _) = asked(&feed.listener).await;
        let half = &purge(3)[..10];
        stream.write_all(&[&purge(2), half].concat()).await.unwrap();
        assert_eq!(purged(&feed).await, 2);
        let (next, address) = listen();
        // Two moves at once: the last one holds.
        let (other, there) = listen();
        feed.moves.try_send(there).unwrap();
        feed.moves.try_send(address).unwrap();
        let (mut stream, last) = asked(&next).await;
        assert_eq!(last, 2);
        stream.write_all(&purge(3)).await.unwrap();
        assert_eq!(purged(&feed).await, 3);
        let none = async {
            other.accept().await.unwrap();
            let (stream, _) = other.accept().await.unwrap();
            drop(stream);
            panic!("followed on at an address that was moved away from")
        };
        future::or(none, async { drop(asked(&next).await) }).await;
    });
}

/// News that the director has not taken yet lose nothing: they wait, in order, and so does what comes behind them.
#[test]
fn news_behind_a_full_mailbox_wait_in_order() {
    run(async |tasks| {
        let feed = feed(tasks);
        let (mut stream, _) = asked(&feed.listener).await;
        let all: Vec<u8> = (2..=200).flat_map(purge).collect();
        stream.write_all(&all).await.unwrap();
        while !feed.news.is_full() {
            future::yield_now().await;
        }
        for index in 2..=200 {
            assert_eq!(purged(&feed).await, index);
        }
    });
}

/// Takes events with the time after which they came.
struct Timed(async_channel::Sender<Told>);

impl Sink for Timed {
    const TIMED: bool = true;

    fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    async fn tell(&self, told: Told) -> bool {
        self.0.send(told).await.is_ok()
    }
}

/// The process stands still while the coordinator says that all was told: read later, that is no fresher than when it
/// came. Guards against a lease that a frozen source or router takes up again by what lay in its socket.
#[test]
fn a_word_that_lay_unread_counts_from_before_it_came() {
    run(async |tasks| {
        let (listener, address) = listen();
        let (tell, told) = async_channel::bounded(64);
        let (_, moves) = async_channel::bounded(1);
        let actor = Coordinator { address, last: 1, news: Timed(tell), moves, gap: None };
        tasks.spawn(actor.run()).detach();
        let (stream, _) = asked(&listener).await;
        (&stream).write_all(&event(1, 0, b"")).await.unwrap();
        let began = steady();
        assert!(told.recv().await.unwrap().after <= began);
        // Nothing else runs on this thread meanwhile.
        let came = steady();
        std::io::Write::write_all(&mut stream.get_ref(), &event(1, 0, b"")).unwrap();
        std::thread::sleep(std::time::Duration::from_millis(300));
        assert!(told.recv().await.unwrap().after <= came);
    });
}
