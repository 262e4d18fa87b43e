//! Own copies share the router's link: a request that is served from one counts as served once the link has carried it.

mod common;

use std::time::Duration;

use common::*;
use futures_lite::AsyncWriteExt;
use serde_json::json;
use silverspindle::clock::Stamp;
use silverspindle::config::Config;
use silverspindle_conf::Conf;

const BODY: usize = 100_000;
/// Time that the link takes for one copy, and the rate that follows from it.
const LINK_TIME: Duration = Duration::from_millis(200);
const LINK_RATE: u64 = BODY as u64 * 1000 / LINK_TIME.as_millis() as u64;
/// Time that each client waits, in milliseconds; nearly all of it is the aim, so that an own copy is in time for long.
const BUDGET: &str = "1500";
const AIM_MS: u64 = 1400;
/// A final answer may come this long after its time.
const ANSWER_GRACE: Duration = Duration::from_millis(550);
/// Requests that fall back to the own copy in one moment; the link can carry 10 of them in the time allowed.
const REQUESTS: i32 = 40;

fn configuration_with_copies(members: &[serde_json::Value], coordinator: std::net::SocketAddr) -> Config {
    let mut file = configuration(members, coordinator);
    file["flow_bytes_per_s"] = LINK_RATE.into();
    file["link_bytes_per_s"] = LINK_RATE.into();
    let settings = &mut file["settings"];
    settings["classes"][0]["slo_ms"] = AIM_MS.into();
    settings["family_info"]["fresh_for_ms"] = json!([60_000, 0]);
    settings["family_info"]["stale_for_ms"] = json!([60_000, 0]);
    config(&file).unwrap()
}

fn request(seq: i32, budget: &'static str) -> Vec<u8> {
    let rid = format!("{seq:016x}");
    let mut fields: Vec<(&str, &str)> = page("");
    (fields[1].1, fields[2].1) = (&rid, budget);
    serve(seq, &fields, b"")
}

#[test]
fn requests_that_fall_back_to_own_copies_together_are_served_only_as_far_as_the_link_carries_them() {
    run(async |tasks| {
        let (listener, address) = listen();
        let cache = Cache::start(tasks);
        let members = [entry(1, "box", cache.address), entry(99, "origin", address)];
        let config = configuration_with_copies(&members, address);
        let router = silverspindle::serve::Router::start(config, Conf::default(), tasks).unwrap();
        let feed = std::rc::Rc::new(listener.accept().await.unwrap().0);
        confirm_each_second(tasks, &feed);
        let client = Client::connect(tasks, router.address).await;
        client.send(&request(1, "20000")).await;
        let (want, line) = cache.next().await;
        let named = format!("version=4be0c1927d55a6f3,stamp={},why=warm", Stamp::now().as_micros() / 1000);
        reply(&line, &[&want[1], "HIT", &named, &"x".repeat(BODY)]).await;
        assert!(client.next().await.unwrap().len() > BODY, "served by the cache");
        let requests = (2..2 + REQUESTS).flat_map(|seq| request(seq, BUDGET)).collect::<Vec<u8>>();
        client.send(&requests).await;
        let mut attempts = Vec::new();
        for _ in 0..REQUESTS {
            attempts.push(cache.next().await);
        }
        for (want, line) in attempts {
            reply(&line, &[&want[1], "FAULT", "-", ""]).await;
        }
        let mut served = 0;
        for _ in 0..REQUESTS {
            served += u32::from(client.next().await.expect("an answer").len() > BODY);
        }
        let budget = Duration::from_millis(BUDGET.parse().unwrap());
        assert!(served > 0, "none was served from the own copy");
        assert!(served * LINK_TIME <= budget + ANSWER_GRACE, "{served} own copies were served");
    });
}

/// Own copies for clients that don't read take no memory beyond the limit: caches are asked, whose answers have a budget.
#[test]
fn an_own_copy_is_not_served_while_unread_answers_leave_no_room() {
    const LARGEST_OBJECT: usize = 240_000;
    const CLIENTS: usize = 6;
    const REQUESTS_OF_EACH: i32 = 8;
    run(async |tasks| {
        let (listener, address) = listen();
        let cache = Cache::start(tasks);
        let mut file =
            configuration(&[entry(1, "box", cache.address), entry(99, "origin", address)], address);
        file["limits"]["memory_mb"] = 16.into();
        file["flow_bytes_per_s"] = 1_000_000_000.into();
        file["link_bytes_per_s"] = 1_000_000_000.into();
        let router =
            silverspindle::serve::Router::start(config(&file).unwrap(), Conf::default(), tasks).unwrap();
        let feed = std::rc::Rc::new(listener.accept().await.unwrap().0);
        confirm_each_second(tasks, &feed);
        let client = Client::connect(tasks, router.address).await;
        client.send(&request(1, "20000")).await;
        let (want, line) = cache.next().await;
        let named = format!("version=4be0c1927d55a6f3,stamp={},why=warm", Stamp::now().as_micros() / 1000);
        reply(&line, &[&want[1], "HIT", &named, &"x".repeat(LARGEST_OBJECT)]).await;
        assert!(client.next().await.unwrap().len() > LARGEST_OBJECT, "served by the cache");
        client.send(&request(2, "20000")).await;
        assert!(client.next().await.unwrap().len() > LARGEST_OBJECT);
        assert!(cache.nothing_came(), "not served from the own copy");
        let mut silent = Vec::new();
        for number in 0..CLIENTS as i32 {
            let client = connect_with_small_buffer(router.address).await;
            for seq in 1..=REQUESTS_OF_EACH {
                let rid = format!("{:016x}", (number + 1) * 100 + seq);
                let mut fields: Vec<(&str, &str)> = page("");
                fields[1].1 = &rid;
                (&client).write_all(&serve(seq, &fields, b"")).await.unwrap();
            }
            silent.push(client);
        }
        // Without the limit all of these requests are served from the own copy, and no cache is ever asked.
        assert_eq!(cache.next().await.0[0], "want");
    });
}
