//! Requests whose answers the router may keep as own copies.

use futures_lite::future;

use super::*;

/// What reaches a cache for a request, which is answered with a copy of this age.
pub async fn want(client: &Client, cache: &Cache, seq: i32, object: &str, age_ms: i64) -> Command {
    let rid = format!("{seq:016x}");
    let mut fields: Vec<(&str, &str)> = page("");
    (fields[1].1, fields[3].1) = (&rid, object);
    client.send(&serve(seq, &fields, b"")).await;
    let (want, line) = cache.next().await;
    let stamp = (silverspindle::clock::now() / 1000).strict_add_signed(-age_ms);
    reply(&line, &[&rid, "HIT", &format!("version=4be0c1927d55a6f3,stamp={stamp},why=warm"), "x"]).await;
    assert_eq!(client.next().await.unwrap(), served_answer(seq, b"x"));
    want
}

/// Whether a request is served without a cache; where one is asked it gives an old copy.
pub async fn from_own(client: &Client, cache: &Cache, seq: i32, object: &str) -> bool {
    let rid = format!("{seq:016x}");
    let mut fields: Vec<(&str, &str)> = page("");
    (fields[1].1, fields[3].1) = (&rid, object);
    client.send(&serve(seq, &fields, b"")).await;
    let own = async { client.next().await.unwrap() };
    let asked = async {
        let (_, line) = cache.next().await;
        let stamp = silverspindle::clock::now() / 1000 - 20_000;
        reply(&line, &[&rid, "HIT", &format!("version=4be0c1927d55a6f3,stamp={stamp},why=warm"), "x"]).await;
    };
    let first = future::or(async { Some(own.await) }, async {
        asked.await;
        None
    });
    match first.await {
        Some(answer) => answer == served_answer(seq, b"x"),
        None => {
            client.next().await.unwrap();
            false
        }
    }
}
