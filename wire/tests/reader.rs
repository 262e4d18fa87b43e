//! Reading messages from a stream: in pieces of any size, and within a budget of memory.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use bitternhold::Micros;
use bytes::Bytes;
use futures_lite::{AsyncRead, future};
use silverspindle_wire::clock;
use silverspindle_wire::framing::{ChargedUntil, MessageReader};
use silverspindle_wire::loop_monitor;
use silverspindle_wire::memory::MemoryBudget;
use silverspindle_wire::thrift;

const CHUNK: usize = 4096;
const LARGE: usize = 60_000;

/// A stream that delivers these pieces, one each read at most, and then stays silent.
struct Pieces(VecDeque<Vec<u8>>);

impl Pieces {
    fn of(bytes: &[u8], size: usize) -> Self {
        Self(bytes.chunks(size).map(<[u8]>::to_vec).collect())
    }
}

impl AsyncRead for Pieces {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<usize>> {
        let Some(mut piece) = self.0.pop_front() else { return Poll::Pending };
        let read = piece.len().min(into.len());
        into[..read].copy_from_slice(&piece[..read]);
        if read < piece.len() {
            self.0.push_front(piece.split_off(read));
        }
        Poll::Ready(Ok(read))
    }
}

/// A message of this many bytes behind its length.
fn message(length: usize) -> Vec<u8> {
    let mut message = (length as u32).to_be_bytes().to_vec();
    message.extend((0..length).map(|i| i as u8));
    message
}

fn reader(bytes: &[u8], size: usize) -> MessageReader<Pieces> {
    MessageReader::new(Pieces::of(bytes, size), thrift::measure, CHUNK)
}

/// The next message if it can be read now.
fn next(reader: &mut MessageReader<Pieces>) -> Option<Bytes> {
    future::block_on(future::poll_once(reader.next())).map(|read| read.unwrap().unwrap())
}

/// A large message of which all but the last byte has come.
fn half(budget: &Arc<MemoryBudget>) -> MessageReader<Pieces> {
    reader(&message(LARGE)[..LARGE], CHUNK).with_budget(budget, ChargedUntil::Complete)
}

#[test]
fn messages_come_out_whole_and_unchanged_whatever_the_pieces() {
    let messages: Vec<Vec<u8>> =
        [0, 1, 300, 4092, 4093, LARGE, 5, 9000, 65_536, 200, 200].map(message).into();
    for size in [1, 3, 100, 4095, 4096, 4097, 50_000, 1_000_000] {
        let budget = MemoryBudget::new(200_000);
        let all = messages.concat();
        let plain = reader(&all, size);
        let complete = reader(&all, size).with_budget(&budget, ChargedUntil::Complete);
        let dropped = reader(&all, size).with_budget(&budget, ChargedUntil::Dropped);
        for mut reader in [plain, complete, dropped] {
            for expected in &messages {
                assert_eq!(next(&mut reader).as_deref(), Some(&expected[..]), "pieces of {size}");
            }
            assert_eq!(next(&mut reader), None);
            assert_eq!(reader.partial_since(), None);
        }
        assert_eq!(budget.used(), 0, "all is given back");
    }
}

/// Guards the budget: whoever takes a message may keep it, and as long as a slice of it is kept it takes its memory.
#[test]
fn a_large_message_waits_until_an_earlier_one_is_dropped() {
    let budget = MemoryBudget::new(LARGE + LARGE / 2);
    let all = [message(LARGE), message(LARGE)].concat();
    let mut reader = reader(&all, CHUNK).with_budget(&budget, ChargedUntil::Dropped);
    let first = next(&mut reader).unwrap();
    let kept = first.slice(10..20);
    drop(first);
    assert_eq!(next(&mut reader), None);
    assert_eq!((budget.waiting(), budget.used() <= LARGE + 4), (1, true));
    drop(kept);
    assert_eq!(next(&mut reader).map(|second| second.len()), Some(LARGE + 4));
}

/// Guards against a crowd of senders of half messages: what does not fit stays unread, small messages need no memory of
/// the budget, and readers have their turn in order, also where one before them gives up.
#[test]
fn half_messages_stay_within_the_budget_and_wait_in_order() {
    let budget = MemoryBudget::new(2 * (LARGE + 4));
    let mut held = [half(&budget), half(&budget)];
    let mut waiting = [half(&budget), half(&budget), half(&budget)];
    held.iter_mut().chain(&mut waiting).for_each(|reader| assert_eq!(next(reader), None));
    assert_eq!((budget.used(), budget.waiting()), (2 * (LARGE + 4), 3));
    let mut small = reader(&message(300), 7).with_budget(&budget, ChargedUntil::Complete);
    assert!(next(&mut small).is_some());
    let [first, second, mut third] = waiting;
    drop(held);
    let mut late = half(&budget);
    assert_eq!(next(&mut late), None, "those that wait go first");
    drop(first);
    drop(second);
    assert_eq!(next(&mut third), None);
    assert_eq!((budget.used(), budget.waiting()), (LARGE + 4, 1), "the third has memory, the late one waits");
    assert_eq!(next(&mut late), None);
    assert_eq!((budget.used(), budget.waiting()), (2 * (LARGE + 4), 0));
}

/// Guards against whole messages that starve behind half ones: what has arrived as a whole is read without waiting.
#[test]
fn a_message_that_has_arrived_as_a_whole_is_read_without_waiting() {
    let budget = MemoryBudget::new(LARGE);
    let mut held = half(&budget);
    assert_eq!(next(&mut held), None);
    let whole = message(LARGE);
    let unread = Rc::new(Cell::new(LARGE + 3 - CHUNK));
    let available = unread.clone();
    let mut arriving = reader(&whole, CHUNK)
        .with_budget(&budget, ChargedUntil::Complete)
        .with_available(move || available.get());
    assert_eq!((next(&mut arriving), arriving.has_arrived()), (None, false));
    unread.set(LARGE + 4 - CHUNK);
    assert!(arriving.has_arrived(), "a close must not overtake it");
    assert_eq!(next(&mut arriving).as_deref(), Some(&whole[..]));
    assert!(budget.used() <= LARGE + 4, "given back as soon as it is read");
}

/// Guards readers without a budget: a sender that announces a long message and sends little of it takes little memory.
#[test]
fn without_a_budget_room_is_made_as_bytes_arrive() {
    /// A stream that delivers the head of a message once and counts the room that reads offer.
    struct Head<'a>(Option<Vec<u8>>, &'a Cell<usize>);
    impl AsyncRead for Head<'_> {
        fn poll_read(
            mut self: Pin<&mut Self>,
            _: &mut Context<'_>,
            into: &mut [u8],
        ) -> Poll<io::Result<usize>> {
            self.1.set(self.1.get().max(into.len()));
            let Some(head) = self.0.take() else { return Poll::Pending };
            into[..head.len()].copy_from_slice(&head);
            Poll::Ready(Ok(head.len()))
        }
    }
    let room = Cell::new(0);
    let head = Head(Some(message(LARGE)[..100].to_vec()), &room);
    let mut reader = MessageReader::new(head, thrift::measure, CHUNK);
    assert!(future::block_on(future::poll_once(reader.next())).is_none());
    assert!(room.get() <= 2 * CHUNK, "{}", room.get());
}

/// A message larger than the whole budget is read once nothing else is.
#[test]
fn a_message_larger_than_the_budget_is_read_alone() {
    let budget = MemoryBudget::new(100);
    let whole = message(LARGE);
    let mut reader = reader(&whole, CHUNK).with_budget(&budget, ChargedUntil::Dropped);
    assert!(next(&mut reader).is_some());
}

/// A stream whose process is stopped for a while behind each system call. Notes when the first of these returned.
struct StoppedBehindReads {
    pieces: Pieces,
    first_read: Rc<Cell<Option<Micros>>>,
}

impl AsyncRead for StoppedBehindReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.pieces).poll_read(context, into);
        self.first_read.set(self.first_read.get().or(Some(clock::now())));
        std::thread::sleep(Duration::from_millis(20));
        read
    }
}

/// The second message may have come while the process was stopped behind the read of the first one.
#[test]
fn a_message_counts_from_before_a_stop_behind_the_read_that_found_the_stream_empty() {
    let mut pieces = Pieces::of(&message(1), CHUNK);
    pieces.0.push_back(message(2));
    let first_read = Rc::new(Cell::new(None));
    let stream = StoppedBehindReads { pieces, first_read: first_read.clone() };
    let mut reader = MessageReader::new(stream, thrift::measure, CHUNK);
    assert_eq!(future::block_on(reader.next()).unwrap().unwrap(), message(1));
    assert_eq!(future::block_on(reader.next()).unwrap().unwrap(), message(2));
    assert!(reader.received_at() <= first_read.get().unwrap());
}

/// What a reader finds after a delay of the loop counts as unread until the reader has found its stream empty.
#[test]
fn the_loop_is_behind_until_a_reader_has_found_its_stream_empty() {
    let mut monitor = std::pin::pin!(loop_monitor::run(|_| ()));
    let mut run_monitor = |time| {
        future::block_on(future::or(&mut monitor, async {
            Timer::after(time).await;
        }));
    };
    run_monitor(Duration::ZERO);
    let mut pieces = Pieces::of(&message(1), CHUNK);
    pieces.0.push_back(message(2));
    let mut reader = MessageReader::new(pieces, thrift::measure, CHUNK);
    std::thread::sleep(Duration::from_micros(2 * loop_monitor::MAX_TURN_GAP));
    assert!(next(&mut reader).is_some());
    run_monitor(Duration::from_millis(30));
    assert!(loop_monitor::is_behind(), "a message is unread");
    assert!(next(&mut reader).is_some());
    assert!(loop_monitor::is_behind(), "the stream was not found empty");
    assert!(next(&mut reader).is_none());
    while loop_monitor::is_behind() {
        run_monitor(Duration::from_millis(30));
    }
}
