//! A memory budget shared by many message readers. A reader reserves the memory of a large message before it reads
//! it; where the budget is used up it waits, and what has arrived stays in the kernel.
//!
//! A reader may name the recipient that its message is for. A recipient that holds memory already gets no more than a part
//! of what is free (a dynamic threshold, as switches use for shared buffers: Choudhury and Hahne, 1998), so that a few that
//! are slow to give theirs back leave room for the others. Waiting readers are served by what their recipient holds, the
//! least first; where that is equal, the recipient served longest ago goes first, then the reader that has waited longest.

use std::collections::HashMap;
use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// Messages that are passed on in pieces may use this fraction (one in N) of a budget's limit, beyond it.
pub const PIECES_DIVISOR: usize = 4;

/// A recipient that holds memory may have at most this fraction (one in N) of what is free, with what it holds.
pub const FREE_SHARE_DIVISOR: usize = 2;

/// Who a message is for: the connection that it will be written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Recipient(pub u64);

/// What a reader knows of a message that it wants memory for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// Who the message is for, if that is known.
    pub recipient: Option<Recipient>,
    /// Messages for others come behind it on the same stream: it waits for the budget as a whole only, not for its recipient.
    pub blocks_others: bool,
    /// Memory in bytes that it takes if it is passed on in pieces; 0: it can be passed on as a whole only.
    pub piece: usize,
}

/// How a message may be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// There is memory for all of it.
    Whole,
    /// There is memory for one piece at a time: its recipient holds nothing, so it takes each piece as fast as it can, and the
    /// rest need not wait until others give theirs back.
    Pieces,
}

/// Memory for messages, in bytes.
#[derive(Debug)]
pub struct MemoryBudget {
    state: Mutex<State>,
}

/// What a recipient has of a budget.
#[derive(Debug, Default)]
struct Account {
    /// Bytes in use.
    used: usize,
    /// Number of its reservations that wait.
    waiting: usize,
    /// When it was last served, as the number of the grant; 0 if it was not.
    last_grant: u64,
}

#[derive(Debug, Default)]
struct State {
    limit: usize,
    used: usize,
    /// Part of `used` that messages passed on in pieces take.
    used_by_pieces: usize,
    /// Recipients that hold memory or wait for it.
    accounts: HashMap<Recipient, Account>,
    /// Reservations that wait for memory, in the order in which they began to.
    waiting: Vec<Waiting>,
    last_ticket: u64,
    last_grant: u64,
    /// A reservation began to wait since [`MemoryBudget::contended`] last returned.
    contended: bool,
    /// Waits in [`MemoryBudget::contended`].
    observer: Option<Waker>,
}

#[derive(Debug)]
struct Waiting {
    ticket: u64,
    claim: Claim,
    bytes: usize,
    waker: Waker,
}

/// Place of a reservation among those that wait, the lowest first: what its recipient holds, when that was last served, and
/// the reservation's ticket.
type Place = (usize, u64, u64);

impl State {
    /// Whether this much more may be used. Into an unused budget anything fits, so that no message waits for ever.
    fn fits(&self, bytes: usize) -> bool {
        self.used == 0 || self.used.saturating_add(bytes) <= self.limit
    }

    fn account(&self, claim: Claim) -> Option<&Account> {
        self.accounts.get(&claim.recipient?)
    }

    /// Bytes that count against a claim: what its recipient holds.
    fn held(&self, claim: Claim) -> usize {
        if claim.blocks_others { 0 } else { self.account(claim).map_or(0, |account| account.used) }
    }

    /// Whether a claim may be granted this much more.
    fn admits(&self, claim: Claim, bytes: usize) -> bool {
        let held = self.held(claim);
        let free = self.limit.saturating_sub(self.used);
        self.fits(bytes) && (held == 0 || held.saturating_add(bytes) <= free / FREE_SHARE_DIVISOR)
    }

    /// How this much more may be granted to a claim; none if it has to wait.
    fn grant(&self, claim: Claim, bytes: usize) -> Option<Grant> {
        if self.admits(claim, bytes) {
            return Some(Grant::Whole);
        }
        let holds_nothing =
            claim.recipient.is_some() && self.account(claim).is_none_or(|account| account.used == 0);
        let has_room = self.used_by_pieces + claim.piece <= self.limit / PIECES_DIVISOR;
        (claim.piece > 0 && holds_nothing && has_room && !self.fits(bytes)).then_some(Grant::Pieces)
    }

    fn place(&self, claim: Claim, ticket: u64) -> Place {
        (self.held(claim), self.account(claim).map_or(0, |account| account.last_grant), ticket)
    }

    /// The reservation that is served next.
    fn first(&self) -> Option<&Waiting> {
        self.waiting.iter().min_by_key(|waiting| self.place(waiting.claim, waiting.ticket))
    }

    /// Wakes the first reservation that waits, if there is memory for it now.
    fn wake_first(&self) {
        if let Some(first) = self.first().filter(|first| self.grant(first.claim, first.bytes).is_some()) {
            first.waker.wake_by_ref();
        }
    }

    /// Records that this much more is in use.
    fn take(&mut self, claim: Claim, bytes: usize) {
        self.used += bytes;
        self.last_grant += 1;
        if let Some(recipient) = claim.recipient {
            let account = self.accounts.entry(recipient).or_default();
            account.used += bytes;
            account.last_grant = self.last_grant;
        }
    }

    /// Records that this much is no longer in use.
    fn give_back(&mut self, claim: Claim, bytes: usize) {
        self.used -= bytes;
        self.change_account(claim, |account| account.used -= bytes);
    }

    /// Changes the account of a claim's recipient, and forgets it once it is empty.
    fn change_account(&mut self, claim: Claim, change: impl FnOnce(&mut Account)) {
        let Some(recipient) = claim.recipient else { return };
        let account = self.accounts.entry(recipient).or_default();
        change(account);
        if account.used == 0 && account.waiting == 0 {
            self.accounts.remove(&recipient);
        }
    }

    /// Records that a reservation began to wait.
    fn note_contention(&mut self) {
        self.contended = true;
        if let Some(observer) = self.observer.take() {
            observer.wake();
        }
    }
}

impl MemoryBudget {
    /// A budget of this many bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { state: Mutex::new(State { limit, ..State::default() }) })
    }

    /// Changes the number of bytes. What is in use beyond it stays in use.
    pub fn set_limit(&self, limit: usize) {
        let mut state = self.lock();
        state.limit = limit;
        state.wake_first();
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.lock().used
    }

    /// Number of reservations that wait for memory.
    pub fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Bytes that reservations wait for.
    pub fn waiting_bytes(&self) -> usize {
        self.lock().waiting.iter().map(|waiting| waiting.bytes).sum()
    }

    /// Completes when a reservation has begun to wait since the last call. For one observer at a time.
    pub async fn contended(&self) {
        poll_fn(|context| {
            let mut state = self.lock();
            if std::mem::take(&mut state.contended) {
                return Poll::Ready(());
            }
            state.observer = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes of a budget in use by one message, until dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    claim: Claim,
    bytes: usize,
    /// Its place among those that wait for memory.
    ticket: Option<u64>,
    /// It was granted for pieces.
    in_pieces: bool,
}

impl Reservation {
    /// A reservation of nothing yet.
    pub fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self { budget: budget.clone(), claim: Claim::default(), bytes: 0, ticket: None, in_pieces: false }
    }

    /// Sets what is known of the message, before anything is reserved for it; later calls change nothing.
    pub fn set_claim(&mut self, claim: Claim) {
        if self.bytes == 0 && self.ticket.is_none() {
            self.claim = claim;
        }
    }

    /// Who the message is for, if that is known.
    pub fn recipient(&self) -> Option<Recipient> {
        self.claim.recipient
    }

    /// Whether it has at least this many bytes.
    pub fn covers(&self, bytes: usize) -> bool {
        self.bytes >= bytes
    }

    /// Grows to this many bytes at once, even beyond the budget's limit.
    pub fn force(&mut self, bytes: usize) {
        self.stop_waiting();
        if bytes > self.bytes {
            self.budget.lock().take(self.claim, bytes - self.bytes);
            self.bytes = bytes;
        }
    }

    /// Grows to this many bytes when there is memory for them and nobody who goes before; to one piece where the claim allows
    /// that and the message would have to wait for others.
    pub fn poll_grow(&mut self, context: &mut Context<'_>, bytes: usize) -> Poll<Grant> {
        if self.covers(bytes) {
            self.stop_waiting();
            return Poll::Ready(Grant::Whole);
        }
        let (claim, more) = (self.claim, bytes - self.bytes);
        let mut state = self.budget.lock();
        let place = state.place(claim, self.ticket.unwrap_or(u64::MAX));
        let is_first = state.first().is_none_or(|first| place <= state.place(first.claim, first.ticket));
        if let Some(grant) = state.grant(claim, more).filter(|_| is_first) {
            self.in_pieces = grant == Grant::Pieces;
            let granted = if self.in_pieces { claim.piece } else { more };
            state.take(claim, granted);
            state.used_by_pieces += if self.in_pieces { granted } else { 0 };
            self.bytes += granted;
            drop(state);
            self.stop_waiting();
            return Poll::Ready(grant);
        }
        let waker = context.waker().clone();
        let own = self.ticket.and_then(|ticket| state.waiting.iter_mut().find(|w| w.ticket == ticket));
        match own {
            Some(own) => (own.bytes, own.waker) = (more, waker),
            None => {
                state.last_ticket += 1;
                let ticket = state.last_ticket;
                state.waiting.push(Waiting { ticket, claim, bytes: more, waker });
                state.change_account(claim, |account| account.waiting += 1);
                self.ticket = Some(ticket);
                state.note_contention();
            }
        }
        Poll::Pending
    }

    /// Leaves the queue, so that the next one may have its turn.
    fn stop_waiting(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let mut state = self.budget.lock();
            state.waiting.retain(|waiting| waiting.ticket != ticket);
            state.change_account(self.claim, |account| account.waiting -= 1);
            state.wake_first();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.stop_waiting();
        let mut state = self.budget.lock();
        state.give_back(self.claim, self.bytes);
        state.used_by_pieces -= if self.in_pieces { self.bytes } else { 0 };
        state.wake_first();
    }
}
