//! Own copies while the router does not hear of purges: the coordinator is down, or has lost events.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use common::own_copies::{from_own, want};
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use silverspindle::coordinator::lease::{CoordinatorLease, LEASE, UNSENT_PURGE_BINDS_AFTER};
use silverspindle::serve::Router;
use silverspindle::traffic::FeedLease;

const OBJECT: &str = "7f3a9c21e0b4d655";
/// Age of the copies in milliseconds: older than a purge that binds without having been sent.
const OLD_MS: i64 = 20_000;
const HOUR_MS: i64 = 3_600_000;
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(50);
const MS: u64 = 1000;

/// The next connection of the router to its coordinator, behind its greeting.
async fn accept_feed(coordinator: &Async<std::net::TcpListener>) -> Stream {
    let mut stream = coordinator.accept().await.unwrap().0;
    stream.read_exact(&mut [0; 8]).await.unwrap();
    Rc::new(stream)
}

/// A router that serves an own copy of the object, issued this long ago, with its client, cache and coordinator.
struct Harness {
    _router: Router,
    coordinator: Async<std::net::TcpListener>,
    feed: Stream,
    cache: Cache,
    client: Client,
    sequence: i32,
}

impl Harness {
    async fn start(tasks: &Tasks, age_ms: i64) -> Self {
        let cache = Cache::start(tasks);
        let (router, coordinator) = router(tasks, &[cache.address]);
        let feed = accept_feed(&coordinator).await;
        confirm_each_second(tasks, &feed);
        let client = Client::connect(tasks, router.address).await;
        want(&client, &cache, 1, OBJECT, age_ms).await;
        let mut harness = Self { _router: router, coordinator, feed, cache, client, sequence: 1 };
        harness.request_until(true).await;
        harness
    }

    /// Sends a request for the object; whether it is served from an own copy.
    async fn request(&mut self) -> bool {
        self.sequence += 1;
        from_own(&self.client, &self.cache, self.sequence, OBJECT).await
    }

    /// Sends requests for the object until one is served from an own copy, or until one is not.
    async fn request_until(&mut self, own: bool) {
        while self.request().await != own {
            Timer::after(PAUSE).await;
        }
    }
}

/// The coordinator goes away and comes back. Guards against own copies served for as long as it stays away, though a
/// purge that it could not send binds the router all the same.
#[test]
fn a_router_without_its_coordinator_withholds_old_own_copies_until_it_is_back() {
    run(async |tasks| {
        let mut harness = Harness::start(tasks, OLD_MS).await;
        let address: SocketAddr = harness.coordinator.get_ref().local_addr().unwrap();
        harness.feed.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
        harness.coordinator = listen().0;
        harness.request_until(false).await;
        harness.coordinator = Async::<std::net::TcpListener>::bind(address).unwrap();
        harness.feed = accept_feed(&harness.coordinator).await;
        confirm_each_second(tasks, &harness.feed);
        harness.request_until(true).await;
    });
}

/// Events are lost for good, among them perhaps a purge of the own copy. Guards against serving it on, also where this
/// machine's wall clock is an hour behind the origin's.
#[test]
fn own_copies_are_discarded_where_the_coordinator_has_lost_events() {
    for age_ms in [OLD_MS, -HOUR_MS] {
        run(async |tasks| {
            let mut harness = Harness::start(tasks, age_ms).await;
            let other_object = event(3, 3, &[0xb7u64.to_be_bytes(), [0; 8]].concat());
            (&*harness.feed).write_all(&other_object).await.unwrap();
            harness.feed = accept_feed(&harness.coordinator).await;
            (&*harness.feed).write_all(&other_object).await.unwrap();
            // Confirmed, so that the lease is not what withholds the copy.
            confirm_each_second(tasks, &harness.feed);
            harness.request_until(false).await;
            assert!(!harness.request().await, "a copy from before the loss was kept again, {age_ms}");
        });
    }
}

/// Guards the bounds of the lease: whatever the silence and the age of a copy, it is withheld before a purge that may
/// apply to it binds unsent; and while the lease runs nothing is withheld.
#[test]
fn a_copy_is_withheld_before_an_unsent_purge_of_it_binds() {
    const STEP: u64 = 100 * MS;
    const LONGEST: u64 = 3_600_000 * MS;
    let confirmed_at = 1_000_000_000_000;
    let lease = CoordinatorLease::new(Some(confirmed_at));
    let silences = (0..20_000 * MS).step_by(STEP as usize).chain([LONGEST]);
    for silence in silences {
        let now = confirmed_at + silence;
        let limit = lease.freshness_at(now).max_copy_age;
        assert_eq!(limit.is_none(), silence < LEASE - LEASE / 1000, "after {silence} us");
        // The oldest and the latest purge that were not sent and bind by now.
        let (first_unsent, last_binding) = (confirmed_at + 1, now - UNSENT_PURGE_BINDS_AFTER);
        if first_unsent <= last_binding {
            let youngest_affected_copy_age = now - last_binding;
            assert!(limit.is_some_and(|limit| limit <= youngest_affected_copy_age), "after {silence} us");
        }
    }
    let never_confirmed = CoordinatorLease::new(None);
    assert!(never_confirmed.freshness_at(confirmed_at).max_copy_age.is_some());
    never_confirmed.confirmed(confirmed_at);
    assert!(never_confirmed.freshness_at(confirmed_at).max_copy_age.is_none());
    never_confirmed.confirmed(confirmed_at - LONGEST);
    assert!(
        never_confirmed.freshness_at(confirmed_at).max_copy_age.is_none(),
        "an older one changes nothing"
    );
}
