//! Own copies while the router does not hear of purges: the coordinator is down, or has lost events.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use common::own_copies::{from_own, want};
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use silverspindle::coordinator::lease::{
    CoordinatorLease, LEASE, LEASE_AFTER_BREAK, UNSENT_PURGE_BINDS_AFTER,
};
use silverspindle::serve::Router;
use silverspindle::traffic::FeedLease;

const OBJECT: &str = "7f3a9c21e0b4d655";
const YOUNG_OBJECT: &str = "7f3a9c21e0b4d656";
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
        let harness = Self::start_confirmed_once(tasks, age_ms).await;
        confirm_each_second(tasks, &harness.feed);
        harness
    }

    /// The same with a coordinator that confirms the feed once and is silent from then on.
    async fn start_confirmed_once(tasks: &Tasks, age_ms: i64) -> Self {
        let cache = Cache::start(tasks);
        let (router, coordinator) = router(tasks, &[cache.address]);
        let feed = accept_feed(&coordinator).await;
        (&*feed).write_all(&event(1, 0, b"")).await.unwrap();
        let client = Client::connect(tasks, router.address).await;
        want(&client, &cache, 1, OBJECT, age_ms).await;
        let mut harness = Self { _router: router, coordinator, feed, cache, client, sequence: 1 };
        harness.request_until(true).await;
        harness
    }

    /// Sends a request for the object; whether it is served from an own copy.
    async fn request(&mut self) -> bool {
        self.request_object(OBJECT).await
    }

    /// The same for any object.
    async fn request_object(&mut self, object: &str) -> bool {
        self.sequence += 1;
        from_own(&self.client, &self.cache, self.sequence, object).await
    }

    /// Has a copy of the young object kept that is issued now.
    async fn keep_young_copy(&mut self) {
        self.sequence += 1;
        want(&self.client, &self.cache, self.sequence, YOUNG_OBJECT, 0).await;
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

/// The coordinator stops, its connection stays open, and new ones are silent too. Guards against own copies of 4 to 7 s
/// served on though a purge from right after the stop binds the router: all copies are withheld together. None is dropped:
/// the young one is served again once the feed is confirmed.
#[test]
fn own_copies_of_any_age_are_withheld_together_after_a_stop_and_none_is_dropped() {
    run(async |tasks| {
        let mut harness = Harness::start_confirmed_once(tasks, OLD_MS).await;
        harness.keep_young_copy().await;
        harness.request_until(false).await;
        assert!(!harness.request_object(YOUNG_OBJECT).await, "a purge may apply to the young copy as well");
        // Connections that the router has given up may still be queued before the one that it reads.
        let (coordinator, all) = (harness.coordinator, tasks.clone());
        let confirm_all = async move {
            loop {
                confirm_each_second(&all, &accept_feed(&coordinator).await);
            }
        };
        tasks.spawn(confirm_all).detach();
        harness.coordinator = listen().0;
        while !harness.request_object(YOUNG_OBJECT).await {
            Timer::after(PAUSE).await;
        }
    });
}

const STEP: u64 = 100 * MS;
const LONGEST: u64 = 3_600_000 * MS;
/// After a purge was told, older copies may be served for this long.
const PURGE_GRACE: u64 = 500 * MS;
const CONFIRMED_AT: u64 = 1_000_000_000_000;

/// Where everything that was not sent counts as told at `told_at`, or when it is made if that is later: no copy is served
/// that a binding purge may apply to.
fn assert_no_purged_copy_is_served(lease: &CoordinatorLease, now: u64, told_at: u64) {
    let limit = lease.freshness_at(now).max_copy_age;
    for purged_at in (CONFIRMED_AT + 1..=now).rev().step_by(STEP as usize).take(300) {
        let told_at = purged_at.max(told_at).min(purged_at + UNSENT_PURGE_BINDS_AFTER);
        if told_at + PURGE_GRACE <= now {
            let affected_copy_age = now - purged_at;
            assert!(
                limit.is_some_and(|limit| limit <= affected_copy_age),
                "{now}: purged at {purged_at}, told at {told_at}"
            );
        }
    }
}

fn silences() -> impl Iterator<Item = u64> {
    (0..20_000 * MS).step_by(STEP as usize).chain([LONGEST])
}

/// Guards the bounds of the lease: whatever the silence and the age of a copy, it is withheld before a purge that may
/// apply to it binds unsent; and while the lease runs nothing is withheld.
#[test]
fn a_copy_is_withheld_before_an_unsent_purge_of_it_binds() {
    let lease = CoordinatorLease::new(Some(CONFIRMED_AT), PURGE_GRACE);
    for silence in silences() {
        let now = CONFIRMED_AT + silence;
        assert_eq!(
            lease.freshness_at(now).max_copy_age.is_none(),
            silence < LEASE - LEASE / 1000,
            "after {silence} us"
        );
        assert_no_purged_copy_is_served(&lease, now, CONFIRMED_AT + LEASE);
    }
    let confirmed_at = CONFIRMED_AT;
    let never_confirmed = CoordinatorLease::new(None, PURGE_GRACE);
    assert!(never_confirmed.freshness_at(confirmed_at).max_copy_age.is_some());
    never_confirmed.confirmed(confirmed_at);
    assert!(never_confirmed.freshness_at(confirmed_at).max_copy_age.is_none());
    never_confirmed.confirmed(confirmed_at - LONGEST);
    assert!(
        never_confirmed.freshness_at(confirmed_at).max_copy_age.is_none(),
        "an older one changes nothing"
    );
}

/// Guards the bound after a break, which is shorter than the one after a stop: nothing is withheld before it, a second
/// break or an older confirmation does not move it, and a confirmation from after the break ends it.
#[test]
fn a_copy_is_withheld_earlier_after_a_break() {
    let broken_at = CONFIRMED_AT + 900 * MS;
    let lease = CoordinatorLease::new(Some(CONFIRMED_AT), PURGE_GRACE);
    lease.broken(broken_at);
    lease.broken(broken_at + LEASE_AFTER_BREAK / 2);
    lease.confirmed(broken_at - 1);
    for silence in silences() {
        let now = broken_at + silence;
        assert_eq!(
            lease.freshness_at(now).max_copy_age.is_none(),
            silence < LEASE_AFTER_BREAK - LEASE_AFTER_BREAK / 1000,
            "{silence} us after the break"
        );
        assert_no_purged_copy_is_served(&lease, now, broken_at + LEASE_AFTER_BREAK);
    }
    lease.confirmed(broken_at);
    assert!(lease.freshness_at(broken_at + LEASE_AFTER_BREAK).max_copy_age.is_none());
}
