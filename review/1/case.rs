//! Case 1: discovery is down for 8 s; a purge that counts as told is not heeded for the router's own copies.

#[path = "../standin/mod.rs"]
mod standin;

use standin::*;

/// How long discovery is down (FLEET and STANDING, `herd+mass`: "discovery is down for 8 s").
const DOWN_MS: u64 = 8_000;
/// PROTOCOL: what the coordinator has to tell counts as told no later than 7 s after.
const TOLD_MS: u64 = 7_000;
/// The settings' `heed_within_ms`, and the 50 ms by which every limit is longer on sockets.
const HEED_MS: u64 = 500 + 50;
/// A bound of our own on top, so that no answer near the limit counts.
const MARGIN_MS: u64 = 50;
const OBJECTS: u64 = 6;

fn main() {
    main_of(|folder, temp, record| {
        let origin = Origin::new(16_000);
        let caches: Vec<_> =
            (1..=3).map(|id| Cache::start(id, &origin, &FRESH, record)).collect::<Result<_, _>>()?;
        let upper = Cache::start(PARENT, &origin, &FRESH, record)?;
        let coordinator = Coordinator::start(record)?;
        let listen = free_address()?;
        let deployment = Deployment {
            name: "n0",
            listen,
            coordinator: coordinator.address,
            memory_mb: 192,
            caches: &caches,
            routers: 1,
            last: 1,
        };
        let config = configuration(&deployment, upper.address);
        let _router = Router::start(folder, temp, "n0", listen, &config, record)?;
        let objects: Vec<u64> = (0..OBJECTS).map(|i| 0x7f3a_9c21_e0b4_0000 + i).collect();

        let ask = |object: u64| -> std::io::Result<(Answer, u64, Option<u64>)> {
            let (rid, name) = (rid(), format!("{object:016x}"));
            let fields = [
                ("method", "route-video"),
                ("rid", &rid),
                ("budget", "5000"),
                ("obj", &name),
                ("block", "0"),
                ("family", "17"),
                ("mem", "412.5"),
            ];
            let sent = now_ms();
            let answer = Client::connect(listen)?.serve(&fields, b"")?;
            let version = match &answer {
                Answer::Served(bytes) => version_of(&name, "0", bytes),
                _ => None,
            };
            record.line(&format!("client: {rid} {name} sent at {}: {}, version {version:?}", record.rel(sent), answer.word()));
            Ok((answer, sent, version))
        };

        // A quiet time first: clients ask for the objects, three times each.
        for _ in 0..3 {
            for object in &objects {
                ask(*object)?;
                sleep_ms(40);
            }
        }
        sleep_ms(500);

        // Discovery goes down; 100 ms later the objects change and are purged. Caches drop older copies within 6 s.
        let down_at = now_ms();
        if trouble() {
            coordinator.set_down(true);
        }
        sleep_until(down_at + 100);
        let purged_at = now_ms();
        for object in &objects {
            let name = format!("{object:016x}");
            origin.change(&name);
            caches.iter().for_each(|c| c.purge(&name, purged_at, 2_000));
            let number = coordinator.tell(Event::Purge(*object, purged_at));
            record.line(&format!("purge of {name} at {} is event {number}", record.rel(purged_at)));
        }
        let told_at = purged_at + TOLD_MS;
        sleep_until(told_at + HEED_MS + MARGIN_MS);

        // Still within the 8 s: no request that is sent from here on may be answered from a copy older than the purge.
        let mut stale = 0;
        let mut asked = 0;
        for object in &objects {
            if now_ms() > down_at + DOWN_MS - 20 {
                break;
            }
            let (answer, _, version) = ask(*object)?;
            let answered = now_ms();
            asked += 1;
            if version == Some(1) {
                stale += 1;
                let from_cache = caches.iter().any(|c| c.wants.lock().unwrap().iter().any(|w| w.at >= told_at && w.fields.get("name").is_some_and(|n| *n == format!("{object:016x}"))));
                record.line(&format!(
                    "  BROKEN: {:016x} answered {} ms after the purge with the version from before it ({}); a cache was asked: {from_cache}",
                    object, answered - purged_at, answer.word()
                ));
            }
        }
        sleep_until(down_at + DOWN_MS);
        if trouble() {
            coordinator.set_down(false);
        }
        sleep_ms(1_500);
        let mut after = 0;
        for object in &objects {
            after += u32::from(ask(*object)?.2 == Some(1));
        }
        record.say(&format!(
            "{asked} requests sent {} ms and more after the purge: {stale} answered with the copy from before it; 1.5 s after discovery came back: {after} of {}",
            TOLD_MS + HEED_MS + MARGIN_MS,
            objects.len()
        ));
        if asked == 0 {
            return Err(std::io::Error::other("no request could be sent in time"));
        }
        Ok(stale > 0)
    })
}
