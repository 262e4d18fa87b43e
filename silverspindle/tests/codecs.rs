//! Tests of the decoders with valid messages split at random points and with random garbage, from a fixed seed.

mod common;

use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use bitternhold::{Lifecycle, Note, Status};
use common::*;
use futures_lite::AsyncWriteExt;
use proptest::prelude::*;
use silverspindle::clock::{self, Stamp};
use silverspindle::feed::{self, PurgeTarget, Update};
use silverspindle::framing::{Measure, MessageReader};
use silverspindle::{resp, thrift};

fn frame(index: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (9 + payload.len() as u32).to_be_bytes().to_vec();
    out.extend(index.to_be_bytes());
    out.push(kind);
    out.extend(payload);
    out
}

fn sizes() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(1usize..40, 1..8)
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn calls_decode_however_they_are_split(
        fields in prop::collection::vec(("[a-z]{0,9}", "[ -~]{0,20}"), 0..9),
        body in prop::collection::vec(any::<u8>(), 0..300),
        seq in any::<i32>(),
        sizes in sizes(),
    ) {
        let fields: Vec<(&str, &str)> = fields.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect();
        let mut bytes = serve(seq, &fields, &body);
        bytes.extend(forget(seq));
        let frames = in_pieces(&bytes, &sizes, thrift::measure).unwrap();
        prop_assert_eq!(frames.len(), 2);
        let fields: Vec<_> = fields.iter().map(|(a, b)| (a.as_bytes(), b.as_bytes())).collect();
        let thrift::Message::Serve { seq: decoded_seq, fields: decoded_fields, body: decoded_body } =
            thrift::decode(&frames[0]).unwrap()
        else {
            panic!("not a request")
        };
        prop_assert_eq!((decoded_seq, decoded_body), (seq, &body[..]));
        prop_assert_eq!(decoded_fields.iter().collect::<Vec<_>>(), fields);
        prop_assert_eq!(thrift::decode(&frames[1]), Ok(thrift::Message::Forget(seq)));
    }

    #[test]
    fn answers_decode_however_they_are_split(
        id in "[0-9a-f]{16}",
        body in prop::collection::vec(any::<u8>(), 0..300),
        sizes in sizes(),
    ) {
        let fields = b"version=ab,why=aged,took=2.5,rep=inflight:7;util:0.61;x1:1.5,new=";
        let mut bytes = resp::encode_array(&[id.as_bytes(), b"HIT", fields, &body]);
        bytes.extend(resp::encode_array(&[b"probe-1", b"PONG"]));
        let frames = in_pieces(&bytes, &sizes, resp::measure).unwrap();
        prop_assert_eq!(frames.len(), 2);
        let answer = resp::decode(&frames[0]).unwrap();
        prop_assert_eq!((answer.id, answer.body), (id.as_bytes(), &body[..]));
        prop_assert_eq!((answer.note, answer.waited), (Some(Note::Stale), Some(2500)));
        let load = answer.load.unwrap();
        prop_assert_eq!((load.active, load.cpu, load.link, load.waiting), (Some(7.0), Some(0.61), Some(1.5), None));
        prop_assert_eq!(resp::decode(&frames[1]).unwrap().code.status(), Status::Ok);
    }

    #[test]
    fn events_decode_however_they_are_split(id in any::<u32>(), weight in any::<u32>(), at in any::<u32>(), sizes in sizes()) {
        let mut record = id.to_be_bytes().to_vec();
        record.extend([127, 0, 0, 9, 0x19, 0xa5, 1, 2, 1, 0, 5]);
        record.extend(weight.to_be_bytes());
        record.extend(u64::from(at).to_be_bytes());
        let mut group = vec![0, 17];
        group.extend(u64::from(at).to_be_bytes());
        let bytes = [frame(7, 0, &[]), frame(8, 2, &[record.clone(), record].concat()), frame(9, 4, &group)].concat();
        let frames = in_pieces(&bytes, &sizes, feed::measure).unwrap();
        let events: Vec<_> = frames.iter().map(|f| feed::decode(f).unwrap()).collect();
        prop_assert_eq!(events.iter().map(|e| e.index).collect::<Vec<_>>(), vec![7, 8, 9]);
        let Update::Members { complete: false, members } = &events[1].update else { panic!("no members") };
        let listed = &members[1];
        prop_assert_eq!(listed.address.to_string(), "127.0.0.9:6565");
        let m = &listed.member;
        prop_assert_eq!((m.id.0, m.lifecycle, m.zone, m.kind, m.cell), (u64::from(id), Lifecycle::Draining, 2, 1, 5));
        prop_assert_eq!((m.weight, m.started), (f64::from(weight) / 1000.0, u64::from(at) * 1000));
        let purge = Update::Purged { what: PurgeTarget::Group(17), at: Stamp::from_millis(u64::from(at)) };
        prop_assert_eq!(&events[2].update, &purge);
    }

    /// Guards against a panic on input from a socket, and against memory allocated for a length that the input only
    /// claims. Some inputs start like valid messages, so that the garbage gets past the first check.
    #[test]
    fn garbage_is_an_error_or_an_incomplete_message(
        start in prop::sample::select(vec![&b""[..], b"\0\0\0\x20\x80\x01\0\x01", b"*4\r\n$3\r\n", b"\0\0\0\x24\0\0\0\0\0\0\0\x01"]),
        garbage in prop::collection::vec(any::<u8>(), 0..200),
        sizes in sizes(),
    ) {
        let bytes = [start, &garbage].concat();
        for measure in [thrift::measure as Measure, resp::measure, feed::measure] {
            for frame in in_pieces(&bytes, &sizes, measure).into_iter().flatten() {
                let _ = (thrift::decode(&frame).is_ok(), resp::decode(&frame).is_ok(), feed::decode(&frame).is_ok());
            }
            prop_assert!(measure(&bytes).is_err_or(|n| n <= 512 * 1024));
        }
    }
}

trait IsErrOr {
    fn is_err_or(&self, holds: impl Fn(usize) -> bool) -> bool;
}

impl<E> IsErrOr for Result<usize, E> {
    fn is_err_or(&self, holds: impl Fn(usize) -> bool) -> bool {
        self.as_ref().map_or(true, |n| holds(*n))
    }
}

#[test]
fn too_long_messages_are_rejected_by_their_length() {
    assert!(thrift::measure(&[0, 1, 0, 1]).is_err());
    assert!(thrift::measure(&[0xff; 4]).is_err());
    assert!(resp::measure(b"*4\r\n$2\r\nab\r\n$3\r\nHIT\r\n$1\r\n-\r\n$999999\r\n").is_err());
    assert!(resp::measure(b"*4\r\n$-1\r\n").is_err());
    assert!(resp::measure(b"*123456789012").is_err());
    assert!(feed::measure(&[0, 0, 0, 8]).is_err());
    // A map that claims a billion entries, in a frame of a few bytes.
    let false_count = call(1, "serve", 1, &[13, 0, 1, 11, 11, 0x40, 0, 0, 0, 0]);
    assert!(thrift::decode(&false_count).is_err());
}

/// Guards against a deadline that is too late because a request lay unread while its reader was busy: its arrival must
/// be reported no later than it arrived, however late it is read.
#[test]
fn the_arrival_time_of_a_message_includes_the_time_that_it_lay_unread() {
    run(async |_| {
        let (listener, address) = listen();
        let client = Async::<TcpStream>::connect(address).await.unwrap();
        let (server, _) = listener.accept().await.unwrap();
        let mut messages = MessageReader::new(&server, thrift::measure, 4096);
        let (send, wake) =
            (serve(1, &page("9b1f03aa5c7e2d41"), b""), serve(2, &page("9b1f03aa5c7e2d42"), b""));
        let before = clock::now();
        let (first, _) = both(messages.next(), async { (&client).write_all(&send).await.unwrap() }).await;
        assert!(first.unwrap().is_some() && messages.received_at() >= before, "read as it came");
        (&client).write_all(&wake).await.unwrap();
        let sent = clock::now();
        // The reader is busy elsewhere.
        server.readable().await.unwrap();
        Timer::after(Duration::from_millis(20)).await;
        assert!(messages.next().await.unwrap().is_some());
        assert!(messages.received_at() <= sent, "{} us after it was sent", messages.received_at() - sent);
        // A connection that waited in the accept queue.
        let mut late = MessageReader::new(&server, thrift::measure, 4096).unread_since(before);
        (&client).write_all(&serve(3, &page("9b1f03aa5c7e2d43"), b"")).await.unwrap();
        server.readable().await.unwrap();
        assert!(late.next().await.unwrap().is_some());
        assert_eq!(late.received_at(), before);
    });
}
