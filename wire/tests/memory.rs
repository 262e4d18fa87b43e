//! The memory budget: what a recipient may hold, and who is served next.

use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use silverspindle_wire::memory::{
    Claim, FREE_SHARE_DIVISOR, Grant, MemoryBudget, PIECES_DIVISOR, Recipient, Reservation,
};

const MESSAGE: usize = 100;
const SLOW: Claim = Claim { recipient: Some(Recipient(1)), blocks_others: false, piece: 0 };
const QUICK: Claim = Claim { recipient: Some(Recipient(2)), blocks_others: false, piece: 0 };
const THIRD: Claim = Claim { recipient: Some(Recipient(3)), blocks_others: false, piece: 0 };

/// A reservation for a message of [`MESSAGE`] bytes, and whether it was granted.
fn reserve(budget: &Arc<MemoryBudget>, claim: Claim) -> (Reservation, bool) {
    let mut reservation = Reservation::new(budget);
    reservation.set_claim(claim);
    let granted = try_again(&mut reservation);
    (reservation, granted)
}

fn try_again(reservation: &mut Reservation) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    reservation.poll_grow(&mut context, MESSAGE) == Poll::Ready(Grant::Whole)
}

/// Guards against one recipient that takes all the memory: it leaves a part of it free, and others are served from that
/// beside those of its messages that wait.
#[test]
fn a_recipient_leaves_a_part_of_what_is_free_to_others() {
    const MESSAGES: usize = 30;
    let budget = MemoryBudget::new(MESSAGES * MESSAGE);
    let mut slow: Vec<_> = (0..MESSAGES).map(|_| reserve(&budget, SLOW)).collect();
    let granted = slow.iter().filter(|(_, granted)| *granted).count();
    assert_eq!(granted, MESSAGES / (FREE_SHARE_DIVISOR + 1));
    let left = MESSAGES - granted;
    let others: Vec<_> = (0..left as u64)
        .map(|n| {
            reserve(&budget, Claim { recipient: Some(Recipient(10 + n)), blocks_others: false, piece: 0 })
        })
        .collect();
    assert!(others.iter().all(|(_, granted)| *granted), "each of the others has room for one");
    assert_eq!(budget.used(), MESSAGES * MESSAGE);
    drop(others);
    slow.retain(|(_, granted)| !granted);
    let first = &mut slow[0].0;
    assert!(try_again(first), "as it holds nothing any more");
}

/// Guards against recipients that starve behind others' earlier messages: who holds least goes first, and of those that hold
/// as much, the one that was served longest ago.
#[test]
fn recipients_are_served_in_turn_whoever_began_to_wait_first() {
    let budget = MemoryBudget::new(2 * MESSAGE);
    let (mut held, _) = (vec![reserve(&budget, SLOW), reserve(&budget, QUICK)], ());
    assert!(held.iter().all(|(_, granted)| *granted));
    let [mut slow, mut slow_again, mut third] = [SLOW, SLOW, THIRD].map(|claim| reserve(&budget, claim).0);
    drop(held.remove(0));
    assert!(!try_again(&mut slow) && !try_again(&mut slow_again), "it was served before the third");
    assert!(try_again(&mut third));
    drop(third);
    assert!(try_again(&mut slow));
    assert!(!try_again(&mut slow_again));
    drop(slow);
    assert!(try_again(&mut slow_again));
}

/// Guards against recipients that hold all the memory and read nothing: who holds nothing has its message in pieces, one at a
/// time, within a part of the budget. Once there is room again it comes as a whole.
#[test]
fn a_recipient_that_holds_nothing_has_its_message_in_pieces_where_all_memory_is_held() {
    const PIECE: usize = MESSAGE / 10;
    let budget = MemoryBudget::new(4 * MESSAGE);
    let in_pieces = |number| Claim { recipient: Some(Recipient(number)), blocks_others: false, piece: PIECE };
    let mut context = Context::from_waker(Waker::noop());
    let mut grow = |reservation: &mut Reservation| reservation.poll_grow(&mut context, MESSAGE);
    let reservation = |claim| {
        let mut reservation = Reservation::new(&budget);
        reservation.set_claim(claim);
        reservation
    };
    let mut held: Vec<_> = (1..=4).map(|number| reservation(in_pieces(number))).collect();
    assert!(held.iter_mut().all(|held| grow(held) == Poll::Ready(Grant::Whole)));
    let mut again = reservation(in_pieces(1));
    assert!(grow(&mut again).is_pending(), "it holds a message");
    let mut first = reservation(in_pieces(5));
    assert_eq!(grow(&mut first), Poll::Ready(Grant::Pieces));
    let mut second = reservation(in_pieces(5));
    assert!(grow(&mut second).is_pending(), "it has one in pieces already");
    let pieces = 4 * MESSAGE / PIECES_DIVISOR / PIECE;
    let mut others: Vec<_> = (10..).take(pieces).map(|number| reservation(in_pieces(number))).collect();
    let granted = others.iter_mut().filter_map(|other| match grow(other) {
        Poll::Ready(grant) => Some(grant),
        Poll::Pending => None,
    });
    assert_eq!(
        granted.collect::<Vec<_>>(),
        vec![Grant::Pieces; pieces - 1],
        "the part for pieces is used up"
    );
    assert_eq!(budget.used(), 4 * MESSAGE + pieces * PIECE);
    drop(first);
    assert_eq!(grow(others.last_mut().unwrap()), Poll::Ready(Grant::Pieces));
    drop((others, held, again));
    assert_eq!(grow(&mut second), Poll::Ready(Grant::Whole));
}

/// A message with others behind it waits for the budget as a whole only.
#[test]
fn a_message_that_others_wait_behind_is_not_held_back_for_its_recipient() {
    let budget = MemoryBudget::new(4 * MESSAGE);
    let first = reserve(&budget, SLOW);
    let second = reserve(&budget, SLOW);
    assert!(first.1 && !second.1);
    let blocking = reserve(&budget, Claim { blocks_others: true, ..SLOW });
    assert!(blocking.1);
    assert_eq!(budget.used(), 2 * MESSAGE);
}
