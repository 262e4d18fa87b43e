//! Routers that learn from each other, on loopback: drains and purges by hearsay, donors that break off, lie
//! about lengths or show no good certificate, and snapshots.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use async_io::Async;
use common::office::*;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use futures_rustls::TlsAcceptor;
use silverspindle::knowledge::keys::{self, Tls};
use silverspindle::knowledge::snapshots;
use silverspindle_knowledge::protocol::{self, Message, Offer, VERSION};
use silverspindle_knowledge::*;

/// Asks for an object until the command that reaches a cache is as wanted; how the others answered tells which
/// cache was asked.
async fn until(client: &Client, caches: [&Cache; 2], seq: &mut i32, good: impl Fn(usize, &Command) -> bool) {
    loop {
        *seq += 1;
        let rid = format!("{seq:016x}", seq = *seq);
        let mut fields: Vec<(&str, &str)> = page(RID);
        (fields[1].1, fields[3].1) = (&rid, &rid);
        client.send(&serve(*seq, &fields, b"")).await;
        let one = async { (0, caches[0].next().await) };
        let two = async { (1, caches[1].next().await) };
        let (which, (want, line)) = futures_lite::future::or(one, two).await;
        reply(&line, &[&rid, "NONE", "-", ""]).await;
        reply_all(client, caches, &rid, *seq).await;
        if good(which, &want) {
            return;
        }
    }
}

/// Answers whatever else comes for a request until its answer is there.
async fn reply_all(client: &Client, caches: [&Cache; 2], rid: &str, seq: i32) {
    let _ = seq;
    let serve = async |cache: &Cache| loop {
        let (want, line) = cache.next().await;
        if want[0] == "want" {
            reply(&line, &[rid, "HIT", NAMED, "x"]).await;
        }
    };
    let both = async {
        futures_lite::future::zip(serve(caches[0]), serve(caches[1])).await;
    };
    futures_lite::future::or(async { drop(client.next().await) }, both).await;
}

const RID: &str = "9b1f03aa5c7e2d41";

/// Which caches these many requests for different objects went to.
async fn asked(client: &Client, caches: [&Cache; 2], seq: &mut i32, requests: usize) -> [usize; 2] {
    let mut counts = [0; 2];
    for _ in 0..requests {
        let seen = Rc::new(std::cell::Cell::new(0));
        until(client, caches, seq, |which, _| {
            seen.set(which);
            true
        })
        .await;
        counts[seen.get()] += 1;
    }
    counts
}

/// The drain is known to the donor and not to the newcomer's list: as soon as the newcomer has learnt of it the
/// box gets nothing, while its own coordinator says nothing at all.
#[test]
fn a_drain_that_only_the_donor_knows_is_heeded() {
    run(async |tasks| {
        let (office, at) = (KeyFolder::new(), free_address());
        let (one, two) = (Cache::start(tasks), Cache::start(tasks));
        let both = [one.address, two.address];
        let (_donor, coordinator) =
            named(tasks, "n0", &both, office.conf("n0", &format!("exchange-listen {at}")));
        let mut told = feed(&coordinator).await;
        told.write_all(&event(2, 2, &record(1, 1, one.address))).await.unwrap();
        told.write_all(&event(0, 0, b"")).await.unwrap();
        let (newcomer, _silent) = named(tasks, "n1", &both, office.conf("n1", &format!("donor n0 {at}")));
        let client = Client::connect(tasks, newcomer.address).await;
        let mut seq = 0;
        // It serves meanwhile; once of forty requests none goes to the box that drains, none does any more.
        while asked(&client, [&one, &two], &mut seq, 40).await[0] > 0 {}
        assert_eq!(asked(&client, [&one, &two], &mut seq, 60).await, [0, 60]);
    });
}

/// Guards against borrowed news that a box is well: the newcomer's own list says that it drains, the donor, cut
/// off from the coordinator since, says ready and tells of its limits.
#[test]
fn no_word_of_another_lifts_a_drain_of_ones_own() {
    run(async |tasks| {
        let (office, at) = (KeyFolder::new(), free_address());
        let (one, two) = (Cache::start(tasks), Cache::start(tasks));
        let both = [one.address, two.address];
        let (donor, donors_coordinator) =
            named(tasks, "n0", &both, office.conf("n0", &format!("exchange-listen {at}")));
        let mut told = feed(&donors_coordinator).await;
        told.write_all(&event(0, 0, b"")).await.unwrap();
        let client = Client::connect(tasks, donor.address).await;
        assert!(asked(&client, [&one, &two], &mut 0, 20).await[0] > 0);
        let (newcomer, coordinator) = named(tasks, "n1", &both, office.conf("n1", &format!("donor n0 {at}")));
        let mut told = feed(&coordinator).await;
        told.write_all(&event(2, 2, &record(1, 1, one.address))).await.unwrap();
        let client = Client::connect(tasks, newcomer.address).await;
        let mut seq = 0;
        while asked(&client, [&one, &two], &mut seq, 40).await[0] > 0 {}
        // A donor is asked again every second while it is fresh: its word comes in between.
        for _ in 0..30 {
            assert_eq!(asked(&client, [&one, &two], &mut seq, 10).await, [0, 10]);
            async_io::Timer::after(std::time::Duration::from_millis(50)).await;
        }
    });
}

/// A purge that only the donor was told: the newcomer asks for nothing older.
#[test]
fn a_purge_that_only_the_donor_knows_is_kept() {
    run(async |tasks| {
        let (office, at) = (KeyFolder::new(), free_address());
        let (one, two) = (Cache::start(tasks), Cache::start(tasks));
        let both = [one.address, two.address];
        let (_donor, coordinator) =
            named(tasks, "n0", &both, office.conf("n0", &format!("exchange-listen {at}")));
        let ms = silverspindle::clock::now() / 1000;
        let purge = [17u16.to_be_bytes().as_slice(), &ms.to_be_bytes()].concat();
        let mut told = feed(&coordinator).await;
        told.write_all(&event(2, 4, &purge)).await.unwrap();
        let (newcomer, _silent) = named(tasks, "n1", &both, office.conf("n1", &format!("donor n0 {at}")));
        let client = Client::connect(tasks, newcomer.address).await;
        until(&client, [&one, &two], &mut 0, |_, want| {
            field(want, "newer").is_some_and(|ms| ms.parse::<u64>().unwrap() < 60_000)
        })
        .await;
    });
}

/// A donor by script: TLS as ever, then these bytes, then it stays open or not.
fn scripted(
    tasks: &Tasks,
    tls: Tls,
    bytes: Vec<Vec<u8>>,
    open: bool,
) -> (SocketAddr, async_channel::Receiver<()>) {
    let (listener, at) = listen();
    let (tell, asked) = async_channel::unbounded();
    let all = tasks.clone();
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (acceptor, bytes, tell) =
                (TlsAcceptor::from(tls.server.clone()), bytes.clone(), tell.clone());
            let serve = async move {
                let Ok(mut stream) = acceptor.accept(stream).await else { return };
                let mut hello = [0; 64];
                let _ = stream.read(&mut hello).await;
                for part in bytes {
                    let _ = stream.write_all(&part).await;
                    let _ = stream.flush().await;
                }
                let _ = tell.send(()).await;
                if open {
                    // Until the other side closes.
                    while stream.read(&mut hello).await.is_ok_and(|n| n > 0) {}
                }
            };
            all.spawn(serve).detach();
        }
    };
    tasks.spawn(accept).detach();
    (at, asked)
}

/// The word of instance n0 that box 1 drains, as a donor would write it: offer, items, end.
fn drains(me: Source, items: u32) -> [Vec<u8>; 3] {
    let drain = Item::Fact(Record {
        subject: Subject::Member(1, Aspect::Listed),
        source: me,
        seq: 1,
        age: 0,
        up: 60_000_000,
        observations: 1,
        hops: 0,
        value: silverspindle_knowledge::Value::Listed { lifecycle: Lifecycle::Draining, started: 0 },
    });
    let offer = Message::Offer(Offer { me, up: 600_000_000, items });
    [offer, Message::Items(vec![drain]), Message::End].map(|m| protocol::encode(&m, VERSION))
}

const N0: &str = "n0";

fn n0() -> Source {
    Source { instance: InstanceId::of(N0), incarnation: 1 }
}

/// Of what is broken off, stalled, garbled, lying or newer nothing is taken in, by whole frames or halves, and
/// nobody else is touched. Each of these says before its fault that box 1 drains.
#[test]
fn of_a_donor_that_fails_nothing_is_taken_in() {
    let [offer, items, end] = drains(n0(), 1);
    let two = drains(n0(), 2)[0].clone();
    let newer = protocol::encode(&Message::Offer(Offer { me: n0(), up: 1, items: 1 }), VERSION + 1);
    let foreign = drains(Source { instance: InstanceId::of("n2"), incarnation: 1 }, 1);
    let cases: Vec<(&str, Vec<Vec<u8>>, bool)> = vec![
        ("killed mid-transfer", vec![offer.clone(), items.clone()], false),
        ("stalled with the connection open", vec![offer.clone(), items.clone(), end[..3].to_vec()], true),
        ("garbage", vec![offer.clone(), items.clone(), b"GET / HTTP/1.1\r\n\r\n".to_vec()], true),
        (
            "a frame of 3 GB",
            vec![offer.clone(), items.clone(), 3_000_000_000u32.to_be_bytes().to_vec()],
            true,
        ),
        ("a newer version", vec![newer, items.clone(), end.clone()], false),
        ("fewer items than offered", vec![two, items.clone(), end.clone()], false),
        ("another's name", foreign.to_vec(), false),
        ("items before the offer", vec![items, end], false),
    ];
    for (what, bytes, open) in cases {
        run(async |tasks| {
            let office = KeyFolder::new();
            let (one, two) = (Cache::start(tasks), Cache::start(tasks));
            let (at, told) = scripted(tasks, Tls::read(&office.files(N0)).unwrap(), bytes, open);
            let (newcomer, _silent) =
                named(tasks, "n1", &[one.address, two.address], office.conf("n1", &format!("donor n0 {at}")));
            // Asked twice: the first time is over, as it is asked again.
            told.recv().await.unwrap();
            told.recv().await.unwrap();
            let client = Client::connect(tasks, newcomer.address).await;
            assert!(asked(&client, [&one, &two], &mut 0, 40).await[0] > 0, "{what}");
        });
    }
}

/// The same donor without a fault is heeded, so that the test above proves something; and after faulty donors a
/// good one is asked.
#[test]
fn a_good_donor_is_heeded_beside_faulty_ones() {
    run(async |tasks| {
        let office = KeyFolder::new();
        let (one, two) = (Cache::start(tasks), Cache::start(tasks));
        let (at, _) = scripted(tasks, Tls::read(&office.files(N0)).unwrap(), drains(n0(), 1).to_vec(), false);
        let (faulty, _) =
            scripted(tasks, Tls::read(&office.files("n2")).unwrap(), vec![b"garbage".to_vec()], true);
        let donors =
            format!("donors-at-once 1\ndonor n2 {faulty}\ndonor n0 {at}\ndonor n3 {}", free_address());
        let (newcomer, _silent) = named(tasks, "n1", &[one.address, two.address], office.conf("n1", &donors));
        let client = Client::connect(tasks, newcomer.address).await;
        let mut seq = 0;
        while asked(&client, [&one, &two], &mut seq, 40).await[0] > 0 {}
        assert_eq!(asked(&client, [&one, &two], &mut seq, 30).await, [0, 30]);
    });
}

/// Certificates of another authority, past their end, of another name, and none at all: neither side gives or
/// takes anything.
#[test]
fn without_a_good_certificate_nothing_is_given_or_taken() {
    let (office, other) = (KeyFolder::new(), KeyFolder::new());
    let expired = {
        // The name must be right for the date to be the fault.
        let folder = KeyFolder::new();
        for (from, to) in [("authority.pem", "authority.pem"), ("authority.key", "authority.key")] {
            std::fs::copy(office.0.join(from), folder.0.join(to)).unwrap();
        }
        for name in ["n0.pem", "n0.key"] {
            std::fs::remove_file(folder.0.join(name)).unwrap();
        }
        let before = time::OffsetDateTime::now_utc() - time::Duration::days(3);
        keys::issue_at(before, &folder.0, "n0", 2).unwrap();
        folder
    };
    for (what, tls) in [
        ("another authority", Tls::read(&other.files(N0)).unwrap()),
        ("past its end", Tls::read(&expired.files(N0)).unwrap()),
        ("another name", Tls::read(&office.files("n2")).unwrap()),
    ] {
        run(async |tasks| {
            let (one, two) = (Cache::start(tasks), Cache::start(tasks));
            let (listener, at) = listen();
            let bytes = drains(n0(), 1).concat();
            let (tell, told) = async_channel::unbounded();
            let acceptor = TlsAcceptor::from(tls.server.clone());
            let serve = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    if let Ok(mut stream) = acceptor.accept(stream).await {
                        let _ = stream.write_all(&bytes).await;
                        let _ = stream.flush().await;
                    }
                    let _ = tell.send(()).await;
                }
            };
            tasks.spawn(serve).detach();
            let conf = office.conf("n1", &format!("donor n0 {at}"));
            let (newcomer, _silent) = named(tasks, "n1", &[one.address, two.address], conf);
            told.recv().await.unwrap();
            told.recv().await.unwrap();
            let client = Client::connect(tasks, newcomer.address).await;
            assert!(asked(&client, [&one, &two], &mut 0, 40).await[0] > 0, "{what}");
        });
    }
    // And a donor gives nothing to them, nor to one that shows none or speaks no TLS.
    run(async |tasks| {
        let at = free_address();
        let conf = office.conf("n0", &format!("exchange-listen {at}"));
        let (donor, _coordinator) = named(tasks, "n0", &[], conf);
        let hello = protocol::encode(&Message::Hello { me: n0() }, VERSION);
        for files in [Some(other.files("n1")), Some(expired.files(N0)), None] {
            let mut client = (*Tls::read(&office.files("n1")).unwrap().client).clone();
            match files {
                // Trusts the donor, shows what is not good.
                Some(files) => {
                    let own = Tls::read(&files).unwrap();
                    client.client_auth_cert_resolver = own.client.client_auth_cert_resolver.clone();
                }
                None => {
                    client.client_auth_cert_resolver = std::sync::Arc::new(NoCertificate);
                }
            }
            let connector = futures_rustls::TlsConnector::from(std::sync::Arc::new(client));
            let stream = Async::<std::net::TcpStream>::connect(at).await.unwrap();
            // With TLS 1.3 the asker's handshake ends first; the refusal comes with the first read.
            if let Ok(mut stream) = connector.connect("n0".try_into().unwrap(), stream).await {
                let _ = stream.write_all(&hello).await;
                let read = stream.read(&mut [0; 100]).await;
                assert!(!read.is_ok_and(|n| n > 0));
            }
        }
        let mut plain = Async::<std::net::TcpStream>::connect(at).await.unwrap();
        plain.write_all(&hello).await.unwrap();
        let mut got = Vec::new();
        let _ = plain.read_to_end(&mut got).await;
        assert!(got.windows(4).all(|w| w != b"SSPK"));
        let client = Client::connect(tasks, donor.address).await;
        assert!(client.is_well(1).await, "nobody else is touched");
    });
}

#[derive(Debug)]
struct NoCertificate;

impl rustls::client::ResolvesClientCert for NoCertificate {
    fn resolve(
        &self,
        _: &[&[u8]],
        _: &[rustls::SignatureScheme],
    ) -> Option<std::sync::Arc<rustls::sign::CertifiedKey>> {
        None
    }

    fn has_certs(&self) -> bool {
        false
    }
}

/// Newcomers past the bound are told when to come back, and do.
#[test]
fn a_busy_donor_says_when_to_come_back() {
    run(async |tasks| {
        let (office, at) = (KeyFolder::new(), free_address());
        let conf = office.conf("n0", &format!("exchange-listen {at}\ngive-newcomers 1\ngive-rate 1kB"));
        let (_donor, coordinator) = named(tasks, "n0", &[], conf);
        let mut told = feed(&coordinator).await;
        // Purges enough for an answer of several chunks, which at this rate takes long.
        let purges: Vec<u8> = (0..5000u64)
            .flat_map(|n| {
                let ms = silverspindle::clock::now() / 1000;
                event(2 + n, 3, &[n.to_be_bytes(), ms.to_be_bytes()].concat())
            })
            .collect();
        told.write_all(&purges).await.unwrap();
        let ask = async |name: &str| {
            let tls = Tls::read(&office.files(name)).unwrap();
            let stream = Async::<std::net::TcpStream>::connect(at).await.unwrap();
            let connector = futures_rustls::TlsConnector::from(tls.client);
            let mut stream = connector.connect("n0".try_into().unwrap(), stream).await.ok()?;
            let me = Source { instance: InstanceId::of(name), incarnation: 1 };
            stream.write_all(&protocol::encode(&Message::Hello { me }, VERSION)).await.ok()?;
            // Turned away at the door, where those asked in vain before still are, it comes again.
            let mut length = [0; 4];
            stream.read_exact(&mut length).await.ok()?;
            let mut rest = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut rest).await.ok()?;
            Some((protocol::decode(&[&length[..], &rest].concat()).unwrap(), stream))
        };
        // Until the purges are in, an answer is short and soon over.
        let (first, _open) = loop {
            match ask("n1").await {
                Some((Message::Offer(offer), stream)) if offer.items > 4000 => break (offer, stream),
                _ => async_io::Timer::after(std::time::Duration::from_millis(20)).await,
            };
        };
        assert!(first.items > 4000);
        let after = loop {
            match ask("n2").await {
                Some((Message::Busy { after }, _)) => break after,
                Some(other) => panic!("{:?}", other.0),
                None => {}
            }
        };
        assert!((50_000..=600_000_000).contains(&after), "{after}");
    });
}

/// What a donor of this name and time in service says of box 1: that it drains or not, that it is set aside or
/// not, on so many observations.
fn says(name: &str, incarnation: Micros, up: Micros, met: u32, drains: bool, aside: Micros) -> Vec<Vec<u8>> {
    let source = Source { instance: InstanceId::of(name), incarnation };
    let lifecycle = if drains { Lifecycle::Draining } else { Lifecycle::Ready };
    let ill = if aside > 0 { 0.9 } else { 0.0 };
    let record = |aspect, observations, value| {
        let subject = Subject::Member(1, aspect);
        Item::Fact(Record { subject, source, seq: 1, age: 0, up, observations, hops: 0, value })
    };
    let items = vec![
        record(Aspect::Listed, 1, silverspindle_knowledge::Value::Listed { lifecycle, started: 0 }),
        record(Aspect::Health, met, silverspindle_knowledge::Value::Health { started: 0, ill, aside }),
    ];
    let offer = Message::Offer(Offer { me: source, up, items: 2 });
    [offer, Message::Items(items), Message::End].iter().map(|m| protocol::encode(m, VERSION)).collect()
}

const MINUTE: Micros = 60_000_000;

/// A newcomer between two boxes and two scripted donors, n0 and n2; how its first requests after both were heard
/// fall on the boxes.
fn between(n0: Vec<Vec<u8>>, n2: Vec<Vec<u8>>) -> [usize; 2] {
    run(async |tasks| {
        let office = KeyFolder::new();
        let (one, two) = (Cache::start(tasks), Cache::start(tasks));
        let (first, told) = scripted(tasks, Tls::read(&office.files("n0")).unwrap(), n0, false);
        let (second, said) = scripted(tasks, Tls::read(&office.files("n2")).unwrap(), n2, false);
        // And one that is told last: asked a second time, as it is fresh, it proves that the others were heard.
        let last = says("n3", 1, 1, 0, false, 0);
        let (third, after) = scripted(tasks, Tls::read(&office.files("n3")).unwrap(), last, false);
        let donors = format!("donors-at-once 8\ndonor n0 {first}\ndonor n2 {second}\ndonor n3 {third}");
        let caches = [one.address, two.address];
        let (newcomer, _silent) = named(tasks, "n1", &caches, office.conf("n1", &donors));
        for heard in [told, said, after] {
            heard.recv().await.unwrap();
        }
        let client = Client::connect(tasks, newcomer.address).await;
        let mut seq = 0;
        // The last bytes are under way still: what comes before they are in is not counted.
        for _ in 0..20 {
            asked(&client, [&one, &two], &mut seq, 2).await;
        }
        asked(&client, [&one, &two], &mut seq, 40).await
    })
}

#[test]
fn of_two_donors_that_disagree_on_a_drain_the_cautious_one_is_heeded() {
    for (n0, n2) in [(true, false), (false, true)] {
        let counts = between(says("n0", 1, 10 * MINUTE, 100, n0, 0), says("n2", 1, 10 * MINUTE, 100, n2, 0));
        assert_eq!(counts, [0, 40]);
    }
    let counts =
        between(says("n0", 1, 10 * MINUTE, 100, false, 0), says("n2", 1, 10 * MINUTE, 100, false, 0));
    assert!(counts[0] > 0);
}

/// A donor that started a moment ago says that the box is well; one of long standing has set it aside.
#[test]
fn a_fresh_donor_does_not_outweigh_an_old_one() {
    let old = says("n0", 1, 10 * MINUTE, 100, false, 30_000_000);
    assert_eq!(between(old.clone(), says("n2", 9, 1_000, 1, false, 0)), [0, 40]);
    // Nor does it set aside what the old one finds well.
    let well = says("n0", 1, 10 * MINUTE, 100, false, 0);
    assert!(between(well, says("n2", 9, 1_000, 1, false, 30_000_000))[0] > 0);
}

/// A donor's clock is 30 s ahead or behind: its ages are durations, so its drains hold all the same.
#[test]
fn a_donors_clock_does_not_matter() {
    let now = silverspindle::clock::now();
    for clock in [now + 30_000_000, now - 30_000_000] {
        let well = says("n2", 1, 10 * MINUTE, 100, false, 0);
        assert_eq!(between(says("n0", clock, 10 * MINUTE, 100, true, 0), well), [0, 40]);
    }
}

/// A donor that drips a byte a second holds up nobody: the other one is heard at once, the router serves, and
/// the drip is cut off.
#[test]
fn a_donor_that_drips_is_cut_off() {
    run(async |tasks| {
        let office = KeyFolder::new();
        let (one, two) = (Cache::start(tasks), Cache::start(tasks));
        let drip = drains(Source { instance: InstanceId::of("n2"), incarnation: 1 }, 1).concat();
        let acceptor = TlsAcceptor::from(Tls::read(&office.files("n2")).unwrap().server);
        let (listener, slow) = listen();
        let (tell, cut) = async_channel::unbounded();
        let serve = async move {
            let (stream, _) = listener.accept().await.unwrap();
            let mut stream = acceptor.accept(stream).await.unwrap();
            let _ = stream.read(&mut [0; 64]).await;
            for byte in drip {
                if stream.write_all(&[byte]).await.is_err() || stream.flush().await.is_err() {
                    break;
                }
                async_io::Timer::after(std::time::Duration::from_millis(900)).await;
            }
            let _ = tell.send(()).await;
        };
        tasks.spawn(serve).detach();
        let (good, _) =
            scripted(tasks, Tls::read(&office.files(N0)).unwrap(), drains(n0(), 1).to_vec(), false);
        let donors = format!("donor n0 {good}\ndonor n2 {slow}");
        let (newcomer, _silent) = named(tasks, "n1", &[one.address, two.address], office.conf("n1", &donors));
        let client = Client::connect(tasks, newcomer.address).await;
        let mut seq = 0;
        while asked(&client, [&one, &two], &mut seq, 40).await[0] > 0 {}
        assert_eq!(asked(&client, [&one, &two], &mut seq, 30).await, [0, 30]);
        assert!(cut.is_empty(), "the drip goes on meanwhile");
        cut.recv().await.unwrap();
    });
}

/// Four routers in a ring, each learning from the one before. The first one's list says that box 1 drains; the
/// box then came back as a new process under its id, which only the last one's list has. Word of the drain comes
/// round to it and says nothing of the new process; the others heed it.
#[test]
fn round_a_ring_a_word_stays_with_the_process_that_it_was_about() {
    run(async |tasks| {
        let office = KeyFolder::new();
        let (one, two) = (Cache::start(tasks), Cache::start(tasks));
        let both = [one.address, two.address];
        let at: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect();
        let ring = |n: usize| {
            let before = (n + 3) % 4;
            office
                .conf(&format!("n{n}"), &format!("exchange-listen {}\ndonor n{before} {}", at[n], at[before]))
        };
        let (_first, coordinator) = named(tasks, "n0", &both, ring(0));
        let mut told = feed(&coordinator).await;
        told.write_all(&event(2, 2, &record(1, 1, one.address))).await.unwrap();
        told.write_all(&event(0, 0, b"")).await.unwrap();
        let (second, _silent) = named(tasks, "n1", &both, ring(1));
        let client = Client::connect(tasks, second.address).await;
        let mut seq = 0;
        while asked(&client, [&one, &two], &mut seq, 40).await[0] > 0 {}
        let (third, _quiet) = named(tasks, "n2", &both, ring(2));
        let client = Client::connect(tasks, third.address).await;
        while asked(&client, [&one, &two], &mut seq, 40).await[0] > 0 {}
        // The last one's list has the new process.
        let (fourth, coordinator) = named(tasks, "n3", &both, ring(3));
        let mut told = feed(&coordinator).await;
        let mut came_back = record(1, 0, one.address);
        let started = silverspindle::clock::now() / 1000 - 60_000;
        came_back[19..27].copy_from_slice(&started.to_be_bytes());
        told.write_all(&event(2, 2, &came_back)).await.unwrap();
        // Fresh donors are asked again each second: word of the drain is there after three.
        async_io::Timer::after(std::time::Duration::from_secs(3)).await;
        let client = Client::connect(tasks, fourth.address).await;
        assert!(asked(&client, [&one, &two], &mut seq, 40).await[0] > 0);
    });
}

/// A router that comes back reads what it knew: the drain that its configuration's list has forgotten. What is
/// torn, of another router or none is refused, and the router starts without.
#[test]
fn a_snapshot_is_one_more_donor() {
    run(async |tasks| {
        let office = KeyFolder::new();
        let (one, two) = (Cache::start(tasks), Cache::start(tasks));
        let both = [one.address, two.address];
        let text = format!("snapshot-directory '{}'\nsnapshot-every 100ms", office.0.display());
        let conf = silverspindle_conf::read(&text).unwrap();
        let file = snapshots::path(&office.0, InstanceId::of("n0"));
        let (_first, coordinator) = named(tasks, "n0", &both, conf.clone());
        let mut told = feed(&coordinator).await;
        told.write_all(&event(2, 2, &record(1, 1, one.address))).await.unwrap();
        told.write_all(&event(0, 0, b"")).await.unwrap();
        let drained = |items: &[Item]| {
            items.iter().any(|i| {
                matches!(
                    i,
                    Item::Fact(Record {
                        value: silverspindle_knowledge::Value::Listed { lifecycle: Lifecycle::Draining, .. },
                        ..
                    })
                )
            })
        };
        loop {
            match snapshots::read(&file, InstanceId::of("n0"), 1 << 20) {
                Ok(Some((_, items))) if drained(&items) => break,
                Ok(_) => async_io::Timer::after(std::time::Duration::from_millis(10)).await,
                Err(e) => panic!("{e}"),
            };
        }
        let good = std::fs::read(&file).unwrap();
        let start = async |bytes: &[u8]| {
            let folder = KeyFolder::new();
            std::fs::write(snapshots::path(&folder.0, InstanceId::of("n0")), bytes).unwrap();
            let text = format!("snapshot-directory '{}'\nsnapshot-every 1h", folder.0.display());
            let conf = silverspindle_conf::read(&text).unwrap();
            let (second, _silent) = named(tasks, "n0", &both, conf);
            let client = Client::connect(tasks, second.address).await;
            asked(&client, [&one, &two], &mut 0, 40).await
        };
        assert_eq!(start(&good).await, [0, 40]);
        for bad in [
            &good[..good.len() - 1],
            b"",
            b"something else that lies there by chance",
            &[&good[..], b"x"].concat(),
        ] {
            assert!(start(bad).await[0] > 0);
        }
    });
}

/// Writes snapshots as fast as it can until it is killed or has written many; run by the test below as a process of its own.
#[test]
#[ignore = "a process for the next test"]
fn writer_of_snapshots() {
    let folder = PathBuf::from(std::env::var("SNAPSHOTS").unwrap());
    let path = snapshots::path(&folder, InstanceId::of("n0"));
    // It is killed long before this; a bound for where the test that started it was killed itself.
    for n in 0..2000 {
        snapshots::write(&path, &numbered(n)).unwrap();
    }
}

fn numbered(n: u64) -> Vec<u8> {
    let items = (0..2000).map(|i| Item::Purge(Purged::Object(i), n)).collect();
    snapshot::encode(InstanceId::of("n0"), silverspindle::clock::now(), items, 1 << 20)
}

/// Guards against a torn snapshot after a kill at any point: the old one or the new one is there, whole.
#[test]
fn a_writer_killed_at_any_point_leaves_the_old_or_the_new() {
    let office = KeyFolder::new();
    let path = snapshots::path(&office.0, InstanceId::of("n0"));
    snapshots::write(&path, &numbered(0)).unwrap();
    let (mut last, mut beside) = (0, 0);
    for round in 0..200u64 {
        let mut child = std::process::Command::new(std::env::current_exe().unwrap())
            .args(["--ignored", "--exact", "writer_of_snapshots", "--nocapture"])
            .env("SNAPSHOTS", &office.0)
            .stdout(std::process::Stdio::null())
            .stderr(std::process::Stdio::null())
            .spawn()
            .unwrap();
        // From before it has begun to amid its writes; the point differs by itself as well.
        std::thread::sleep(std::time::Duration::from_micros(500 + round * 97 % 9_000));
        child.kill().unwrap();
        child.wait().unwrap();
        let (_, items) = snapshots::read(&path, InstanceId::of("n0"), 1 << 20).unwrap().unwrap();
        let Item::Purge(_, first) = items[0] else { panic!() };
        assert!(items.len() == 2000 && items.iter().all(|i| matches!(i, Item::Purge(_, n) if *n == first)));
        last += u64::from(first > 0);
        beside += u64::from(path.with_extension("new").exists());
    }
    assert!(last > 0 && beside > 0, "some kills came amid the writes: {last}, {beside}");
}
