//! Following the list of members and purges through gaps, silence, broken connections and a move of the coordinator.

mod common;

use std::net::SocketAddr;

use async_io::Async;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use silverspindle::coordinator::{Coordinator, DirectorSink, Sink, Told};
use silverspindle::feed::Update;
use silverspindle::steady::steady_now;
use silverspindle::traffic::Notification;

struct FollowerHarness<T> {
    listener: Async<std::net::TcpListener>,
    received: async_channel::Receiver<T>,
    moves: async_channel::Sender<SocketAddr>,
}

/// Passes events on as they were received.
struct Unchanged(async_channel::Sender<Told>);

impl Sink for Unchanged {
    fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    async fn tell(&self, told: Told) -> bool {
        self.0.send(told).await.is_ok()
    }
}

/// The actor that follows the list, with event 1 known, connected to a scripted coordinator.
fn start_follower(tasks: &Tasks) -> FollowerHarness<Told> {
    start_follower_with(tasks, Unchanged)
}

/// As [`start_follower`], with this receiver of the events.
fn start_follower_with<T, S: Sink + 'static>(
    tasks: &Tasks,
    sink: impl FnOnce(async_channel::Sender<T>) -> S,
) -> FollowerHarness<T> {
    let (listener, address) = listen();
    let (sender, received) = async_channel::bounded(64);
    let (moves, moves_receiver) = async_channel::bounded(4);
    let actor = Coordinator { address, last: 1, notices: sink(sender), moves: moves_receiver, gap: None };
    tasks.spawn(actor.run()).detach();
    FollowerHarness { listener, received, moves }
}

/// The next connection, and the number of the last known event that it sends.
async fn accept_follower(listener: &Async<std::net::TcpListener>) -> (Async<std::net::TcpStream>, u64) {
    let mut stream = listener.accept().await.unwrap().0;
    let mut last = [0; 8];
    stream.read_exact(&mut last).await.unwrap();
    (stream, u64::from_be_bytes(last))
}

fn purge_event(index: u64) -> Vec<u8> {
    event(index, 4, &[17u16.to_be_bytes().as_slice(), &index.to_be_bytes()].concat())
}

async fn next_purge(feed: &FollowerHarness<Told>) -> u64 {
    loop {
        match feed.received.recv().await.unwrap().event.update {
            Update::Purged { at, .. } => return at.as_micros() / 1000,
            Update::UpToDate => {}
            other => panic!("{other:?}"),
        }
    }
}

/// The events of a gap in the numbers are requested again and not skipped, as a drain may be among them. If the same gap
/// comes again, the coordinator no longer has these events, and following goes on behind the gap.
#[test]
fn a_gap_is_requested_again_and_accepted_the_second_time() {
    run(async |tasks| {
        let feed = start_follower(tasks);
        let (mut stream, last) = accept_follower(&feed.listener).await;
        assert_eq!(last, 1);
        stream.write_all(&purge_event(3)).await.unwrap();
        let (mut stream, last) = accept_follower(&feed.listener).await;
        assert_eq!(last, 1, "requested from the last known event");
        assert!(feed.received.is_empty(), "no event is delivered out of order");
        stream.write_all(&[purge_event(2), purge_event(3), purge_event(6)].concat()).await.unwrap();
        assert_eq!((next_purge(&feed).await, next_purge(&feed).await), (2, 3));
        let (mut stream, last) = accept_follower(&feed.listener).await;
        assert_eq!(last, 3);
        stream.write_all(&[purge_event(6), purge_event(7)].concat()).await.unwrap();
        assert_eq!((next_purge(&feed).await, next_purge(&feed).await), (6, 7));
    });
}

/// A connection to the coordinator that is silent from its start is replaced by another, repeatedly and without a busy
/// loop. Events from meanwhile arrive on the first connection that is not silent.
#[test]
fn connections_that_are_silent_from_the_start_are_replaced() {
    run(async |tasks| {
        let feed = start_follower(tasks);
        let (_one, _) = accept_follower(&feed.listener).await;
        let (_two, last) = accept_follower(&feed.listener).await;
        assert_eq!(last, 1);
        let (mut three, _) = accept_follower(&feed.listener).await;
        three.write_all(&purge_event(2)).await.unwrap();
        assert_eq!(next_purge(&feed).await, 2);
    });
}

/// A crowded coordinator serves the first connection only once others wait as well. Guards against a router that gives
/// each silent connection up before its turn comes, and so never hears of a drain.
#[test]
fn a_connection_that_is_served_late_is_still_read() {
    run(async |tasks| {
        let feed = start_follower(tasks);
        let (mut first, _) = accept_follower(&feed.listener).await;
        let (mut second, _) = accept_follower(&feed.listener).await;
        let (mut third, _) = accept_follower(&feed.listener).await;
        first.write_all(&purge_event(2)).await.unwrap();
        assert_eq!(next_purge(&feed).await, 2);
        // The others are closed, and the one that delivered is followed on.
        assert_eq!(second.read(&mut [0]).await.unwrap(), 0);
        assert_eq!(third.read(&mut [0]).await.unwrap(), 0);
        first.write_all(&purge_event(3)).await.unwrap();
        assert_eq!(next_purge(&feed).await, 3);
    });
}

/// A frame drips: its parts come so far apart that others are tried meanwhile. Guards against a router that starts a
/// frame over and over and never has it whole.
#[test]
fn a_frame_that_drips_is_read_to_its_end() {
    run(async |tasks| {
        let feed = start_follower(tasks);
        let (mut dripping, _) = accept_follower(&feed.listener).await;
        let frame = purge_event(2);
        let (start, rest) = frame.split_at(3);
        dripping.write_all(start).await.unwrap();
        let _silent = accept_follower(&feed.listener).await;
        let (middle, end) = rest.split_at(5);
        dripping.write_all(middle).await.unwrap();
        let _other_silent = accept_follower(&feed.listener).await;
        dripping.write_all(end).await.unwrap();
        assert_eq!(next_purge(&feed).await, 2);
    });
}

/// A connection to the coordinator that breaks after every connect is retried with a growing delay.
#[test]
fn a_connection_that_breaks_after_every_connect_is_retried_with_backoff() {
    run(async |tasks| {
        let feed = start_follower(tasks);
        let from = std::time::Instant::now();
        for _ in 0..5 {
            drop(accept_follower(&feed.listener).await);
        }
        // The delays between them are at least 0, 50, 100, 200 and 400 ms.
        drop(accept_follower(&feed.listener).await);
        assert!(from.elapsed().as_millis() >= 700);
    });
}

/// A move to another coordinator in the middle of a frame, or while connecting, loses no event: the new coordinator is
/// asked for everything after the last complete event.
#[test]
fn a_move_in_the_middle_of_a_frame_continues_after_the_last_complete_event() {
    run(async |tasks| {
        let feed = start_follower(tasks);
        let (mut stream, _) = accept_follower(&feed.listener).await;
        let half = &purge_event(3)[..10];
        stream.write_all(&[&purge_event(2), half].concat()).await.unwrap();
        assert_eq!(next_purge(&feed).await, 2);
        let (next, address) = listen();
        // Of two moves at once the last one counts.
        let (other, there) = listen();
        feed.moves.try_send(there).unwrap();
        feed.moves.try_send(address).unwrap();
        let (mut stream, last) = accept_follower(&next).await;
        assert_eq!(last, 2);
        stream.write_all(&purge_event(3)).await.unwrap();
        assert_eq!(next_purge(&feed).await, 3);
        let none = async {
            other.accept().await.unwrap();
            let (stream, _) = other.accept().await.unwrap();
            drop(stream);
            panic!("still follows at the address before the last move")
        };
        future::or(none, async { drop(accept_follower(&next).await) }).await;
    });
}

/// While the director's mailbox is full, events wait in order and none is lost.
#[test]
fn events_wait_in_order_while_the_mailbox_is_full() {
    run(async |tasks| {
        let feed = start_follower(tasks);
        let (mut stream, _) = accept_follower(&feed.listener).await;
        let all: Vec<u8> = (2..=200).flat_map(purge_event).collect();
        stream.write_all(&all).await.unwrap();
        while !feed.received.is_full() {
            future::yield_now().await;
        }
        for index in 2..=200 {
            assert_eq!(next_purge(&feed).await, index);
        }
    });
}

/// The process is stopped while the coordinator confirms that all events were sent. Read later, the confirmation counts
/// only from a time before it arrived. Guards against a frozen source or router that renews its lease by a message that
/// lay unread in its socket.
#[test]
fn a_confirmation_that_lay_unread_counts_from_before_its_arrival() {
    run(async |tasks| {
        let FollowerHarness { listener, received, .. } = start_follower(tasks);
        let (stream, _) = accept_follower(&listener).await;
        (&stream).write_all(&event(1, 0, b"")).await.unwrap();
        let began = steady_now();
        assert!(received.recv().await.unwrap().after <= began);
        // Nothing else runs on this thread meanwhile.
        let came = steady_now();
        std::io::Write::write_all(&mut stream.get_ref(), &event(1, 0, b"")).unwrap();
        std::thread::sleep(std::time::Duration::from_millis(300));
        assert!(received.recv().await.unwrap().after <= came);
    });
}

/// The director is told that the feed is confirmed only behind everything that was sent before, never by an event and
/// never by a frame that is numbered ahead; events that are lost for good are reported before what follows them. Guards
/// against a lease that is renewed while purges are missing.
#[test]
fn only_a_complete_feed_is_confirmed_and_lost_events_are_reported() {
    run(async |tasks| {
        let FollowerHarness { listener, received, .. } = start_follower_with(tasks, DirectorSink);
        let began = steady_now();
        let (mut stream, _) = accept_follower(&listener).await;
        let numbered_ahead = event(3, 0, b"");
        stream.write_all(&[purge_event(2), numbered_ahead, event(2, 0, b"")].concat()).await.unwrap();
        assert!(matches!(received.recv().await.unwrap(), Notification::Update(Update::Purged { .. })));
        assert!(matches!(received.recv().await.unwrap(), Notification::Update(Update::UpToDate)));
        let Notification::Confirmed { at } = received.recv().await.unwrap() else { panic!("not confirmed") };
        assert!((began..=steady_now()).contains(&at));
        stream.write_all(&purge_event(4)).await.unwrap();
        let (mut stream, last) = accept_follower(&listener).await;
        assert_eq!(last, 2);
        stream.write_all(&purge_event(4)).await.unwrap();
        assert!(matches!(received.recv().await.unwrap(), Notification::EventsMissed));
        assert!(matches!(received.recv().await.unwrap(), Notification::Update(Update::Purged { .. })));
        assert!(received.is_empty());
    });
}

/// A connection that the coordinator breaks is reported behind what it brought, and one that this side gives up for its
/// silence is not. Guards against own copies that a purge may apply to which was to be sent when the connection broke.
#[test]
fn a_break_is_reported_and_a_silence_is_not() {
    run(async |tasks| {
        let FollowerHarness { listener, received, .. } = start_follower_with(tasks, DirectorSink);
        let (_silent, _) = accept_follower(&listener).await;
        let (mut stream, _) = accept_follower(&listener).await;
        let began = steady_now();
        stream.write_all(&[purge_event(2), purge_event(3)[..10].to_vec()].concat()).await.unwrap();
        assert!(matches!(received.recv().await.unwrap(), Notification::Update(Update::Purged { .. })));
        drop(stream);
        let broken = received.recv().await.unwrap();
        let Notification::Broken { at } = broken else { panic!("{broken:?}") };
        assert!(at <= steady_now() && at + 1_000_000 >= began);
        assert_eq!(accept_follower(&listener).await.1, 2);
        assert!(received.is_empty());
    });
}
