//! The types that the router's actors exchange: requests and their answers, attempts and their ends, and the
//! latest state of members and purges that an attempt is checked against when it is written. The director and
//! the peer actors both build on this module.

mod account;
mod board;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use bitternhold::settings::SiteSettings;
use bitternhold::{FillMode, Keep, Load, MemberId, Micros, Note, Status};
use bytes::Bytes;
use silverspindle_conf::HalfLives;
use silverspindle_knowledge::Item;
use silverspindle_wire::memory::MemoryBudget;

use crate::clock::Stamp;
use crate::copies;
use crate::feed::parse_hex_id;
use crate::{clock, resp};

pub use account::{AttemptHistory, Refusal, SafeToRetry};
pub use board::{AgreedRules, FeedFreshness, FeedLease, MemberInfo, Members, Notification, RoutingState};

/// A request, independent of the protocol by which it came.
#[derive(Debug)]
pub struct Call {
    /// The client's request id, forwarded unchanged.
    pub rid: String,
    /// Index of its class in the settings.
    pub class: usize,
    /// Object id, sixteen hex digits.
    pub object: String,
    /// Number of the requested part of the object.
    pub part: u64,
    /// Group of the object.
    pub group: u64,
    /// Size of the part in KB, if the client stated it.
    pub size_kb: Option<f64>,
    /// Idempotency key, by which members drop repeats.
    pub idempotency_key: Option<String>,
    /// Tag of the copy that the client holds.
    pub client_tag: Option<String>,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// Body of a write.
    pub body: Bytes,
    /// Accounts for the body's memory.
    pub body_reservation: BodyReservation,
    /// The request has its final answer, or its client disconnected or no longer waits: no more attempts are
    /// written.
    pub finished: Cell<bool>,
    /// Connections to peers on which its id was used. The id is not used again on any of them: a second
    /// answer to an attempt that has ended would be taken for the answer to the next one.
    pub used_connections: RefCell<Vec<(MemberId, u64)>>,
}

impl Call {
    /// The object id as a number, as purges name it.
    pub fn object_key(&self) -> Option<u64> {
        parse_hex_id(&self.object)
    }

    /// The key under which a copy that answers it is kept.
    pub(crate) fn copy_key(&self) -> Option<copies::Key> {
        Some((self.object_key()?, self.part, self.class))
    }

    /// Whether the client holds the copy with this tag.
    pub(crate) fn holds(&self, tag: &[u8]) -> bool {
        self.client_tag.as_ref().is_some_and(|held| held.as_bytes() == tag)
    }
}

/// A body that is passed on in pieces as it arrives, because there is no memory for all of it.
#[derive(Clone, Debug)]
pub struct StreamedBody {
    /// Number of bytes.
    pub length: usize,
    /// Its bytes in order, perhaps with bytes behind the body. Closed before the body is complete: its stream has broken off.
    pub pieces: Receiver<Bytes>,
}

impl PartialEq for StreamedBody {
    fn eq(&self, other: &Self) -> bool {
        self.length == other.length && self.pieces.same_channel(&other.pieces)
    }
}

impl Eq for StreamedBody {}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Served, with the body.
    Served(Bytes),
    /// Served, with a body that is still arriving.
    Streamed(StreamedBody),
    /// Served without a body: the copy that the client holds is current.
    NotModified,
    /// Refused: a retry does no harm.
    Refused(Refusal),
    /// Failed: the client can't conclude whether a retry does harm.
    Failed,
}

impl Verdict {
    /// Name in log lines and counters.
    pub fn name(&self) -> &'static str {
        match self {
            Verdict::Served(_) | Verdict::Streamed(_) => "served",
            Verdict::NotModified => "holds",
            Verdict::Refused(_) => "refused",
            Verdict::Failed => "failed",
        }
    }

    /// Bytes of the body that are held.
    pub fn bytes(&self) -> usize {
        if let Verdict::Served(body) = self { body.len() } else { 0 }
    }
}

/// Accounts for the memory of a write's body while the request is open.
#[derive(Debug, Default)]
pub struct BodyReservation {
    /// Bytes that all open writes take together.
    total: Rc<Cell<usize>>,
    /// Bytes of this one.
    bytes: usize,
}

impl BodyReservation {
    /// Adds this number of bytes to the total of all open writes, until dropped.
    pub fn new(total: &Rc<Cell<usize>>, bytes: usize) -> Self {
        total.set(total.get() + bytes);
        Self { total: total.clone(), bytes }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}

/// The client connection that answers go to. A front for any protocol passes one with each request.
pub trait ClientHandle: Debug {
    /// Number of the connection, unique within the director.
    fn id(&self) -> u64;
    /// Takes the final answer to the request with this sequence number. Must not block.
    fn answer(&self, seq: i32, verdict: Verdict);
    /// The client has disconnected or no longer waits for a request: no answer will come.
    fn drop_request(&self);
    /// Whether there is memory for an answer with a body of this many bytes that no cache's budget accounts for.
    fn has_room(&self, _bytes: usize) -> bool {
        true
    }
    /// Whether earlier answers wait for the client to read them.
    fn is_behind(&self) -> bool {
        false
    }
    /// Whether the client has closed the connection, even if the front has not noticed it yet.
    fn is_gone(&self) -> bool;
}

/// A message to the director, from the actors of clients and peers and from the other parts of the router.
#[derive(Debug)]
pub enum Message {
    /// A request was received.
    Request {
        /// The connection that its answer goes to.
        client: Rc<dyn ClientHandle>,
        /// Its sequence number on the connection.
        seq: i32,
        /// The request.
        call: Call,
    },
    /// The client no longer waits for a request.
    Forget {
        /// Number of the client's connection.
        client: u64,
        /// The request's sequence number on it.
        seq: i32,
    },
    /// A client's connection ended.
    Disconnected {
        /// Number of the connection.
        client: u64,
    },
    /// All open requests of a client's connection get their final answers now, because the connection has to
    /// end.
    GiveUp {
        /// Number of the connection.
        client: u64,
    },
    /// An attempt's answer has begun to arrive and waits for memory; its end, with the body, follows.
    AnswerBegun(AttemptEnd),
    /// An attempt ended.
    Ended(AttemptEnd),
    /// Asks for all knowledge that can be shared with other routers.
    ExportKnowledge {
        /// Receives the items.
        reply: Sender<Vec<Item>>,
    },
    /// Items of knowledge received from another router.
    ImportKnowledge {
        /// Upper bound on the time that the items were in transit.
        transit: Micros,
        /// The items.
        items: Vec<Item>,
    },
    /// The half-lives of shared knowledge have changed.
    HalfLives(HalfLives),
    /// The members that the routers have agreed not to use. Replaces the previous set.
    Withheld(BTreeSet<MemberId>),
    /// Agreed weights of members, in per cent of the list's weights. Replaces the previous weights.
    Weights(BTreeMap<MemberId, u32>),
    /// New memory limit of the own copies, in bytes.
    CopyMemory(usize),
    /// An answer waits for memory, which own copies may hold.
    MemoryShort,
    /// Asks the director to publish the module's per-member limits, for the planning of maintenance work.
    PublishLimits,
    /// A probe ended.
    Probed {
        /// The member that was probed.
        member: MemberId,
        /// The result.
        status: Status,
        /// Time since the probe was sent.
        elapsed: Micros,
        /// The member's load report, if it sent one.
        load: Option<Load>,
    },
}

/// Budget of file descriptors for connections to peers.
#[derive(Debug)]
pub struct Descriptors {
    total: usize,
    /// Descriptors not in use.
    left: Cell<usize>,
    /// Descriptors left to an older process during an upgrade.
    reserved: Cell<usize>,
}

impl Descriptors {
    /// A budget of `n` descriptors.
    pub fn new(n: usize) -> Rc<Self> {
        Rc::new(Self { total: n, left: Cell::new(n), reserved: Cell::new(0) })
    }

    /// Limits the descriptors in use to this number. Descriptors already in use beyond it are kept.
    pub fn set_limit(&self, max_in_use: usize) {
        self.reserved.set(self.total.saturating_sub(max_in_use));
    }

    /// Size of the whole budget.
    pub fn all(&self) -> usize {
        self.total
    }

    /// Whether enough descriptors are left to open connections that are not strictly necessary.
    pub(crate) fn has_spare(&self) -> bool {
        self.left.get() > self.total / 3 + self.reserved.get()
    }

    /// Takes a descriptor from the budget, if one is left.
    pub(crate) fn take(self: &Rc<Self>) -> Option<Descriptor> {
        let left = self.left.get().checked_sub(1).filter(|left| *left >= self.reserved.get())?;
        self.left.set(left);
        Some(Descriptor(self.clone()))
    }
}

/// A descriptor in use, returned to the budget when dropped.
#[derive(Debug)]
pub(crate) struct Descriptor(Rc<Descriptors>);

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.left.set(self.0.left.get() + 1);
    }
}

/// How an attempt is to be answered, as the module decided.
#[derive(Clone, Debug)]
pub struct FetchOptions {
    /// The member from which a miss is filled; `None`: a miss is not filled.
    pub source: Option<MemberId>,
    /// Rank at which the cache keeps the copy.
    pub keep: Keep,
    /// Maximum age of the copy; `None`: the fresh time of the class.
    pub max_age: Option<Micros>,
    /// How the fill is done.
    pub mode: FillMode,
}

/// An attempt in flight, or pending at a peer.
#[derive(Debug)]
pub struct Attempt {
    /// The director's number for the attempt.
    pub ticket: u64,
    /// The request.
    pub call: Rc<Call>,
    /// How it is to be answered.
    pub options: FetchOptions,
    /// The client connection that waits for the answer.
    pub client: Rc<dyn ClientHandle>,
    /// When the attempt times out.
    pub deadline: Micros,
    /// Latest time for its first byte to be written: the earliest of its timeout, the end of the window in
    /// which the request may be repeated, and, for a cold member, a short time after the decision.
    pub write_by: Micros,
    /// Number of the connection to the peer that is to write it; other connections skip it.
    pub connection: Cell<u64>,
    /// Number of purges that were known when it was decided. Later purges forbid writing it.
    pub purge_seq: u64,
    /// Its first byte has been written, so it may have run.
    pub written: Cell<bool>,
    /// The director has timed it out or cancelled it.
    pub abandoned: Cell<bool>,
    /// It is the first attempt of its request.
    pub is_first: bool,
    /// Written without its source, because the router's share of a limit is used up; the cache may still hold
    /// a copy.
    pub without_source: Cell<bool>,
    /// Rate limit tokens that it holds, as a set of bits: [`OFFICE_TOKEN`], [`PARENT_TOKEN`].
    pub tokens: Cell<u8>,
}

/// A token of the router's share of the head office's limit.
pub const OFFICE_TOKEN: u8 = 1;
/// A token of the router's share of a parent's limit.
pub const PARENT_TOKEN: u8 = 2;

impl Attempt {
    /// Encodes the attempt as a command to the member.
    pub(crate) fn command(&self, site: &SiteSettings) -> Vec<u8> {
        let call = &*self.call;
        let class = site.classes.get(call.class).map_or("", String::as_str);
        // Times are rounded down, to a shorter wait and a younger copy, but not to 0, which would mean the
        // fresh time.
        let ttl = (self.deadline.saturating_sub(clock::now()) / 1000).max(1);
        let mut fields = format!("lane={class},name={},piece={},ttl={ttl}", call.object, call.part);
        let mut put = |name: &str, value: &str| {
            fields.push(',');
            fields.push_str(name);
            fields.push('=');
            fields.push_str(value);
        };
        if let Some(key) = &call.idempotency_key {
            put("dedupe", key);
        }
        let FetchOptions { mut source, mut keep, max_age, mut mode } = self.options.clone();
        if self.without_source.get() {
            (source, keep, mode) = (None, Keep::Pass, FillMode::default());
        }
        if let Some(MemberId(source)) = source {
            put("fetch", &format!("s-{source:08x}"));
        }
        if keep != Keep::Pass {
            put("retain", &(keep as u8).to_string());
        }
        if let Some(age) = max_age {
            put("newer", &(age / 1000).max(1).to_string());
        }
        let FillMode { join, held_only, parent_pass, renew } = mode;
        let words =
            [(join, "coalesce"), (held_only, "shallow"), (parent_pass, "transit"), (renew, "freshen")];
        let words: Vec<&str> = words.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
        if !words.is_empty() {
            put("handle", &words.join("+"));
        }
        if let Some(tag) = &call.client_tag {
            put("holds", tag);
        }
        resp::encode_array(&[b"want", call.rid.as_bytes(), fields.as_bytes(), &call.body])
    }
}

/// The end of an attempt, with what its answer carried.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The director's number for the attempt.
    pub ticket: u64,
    /// How it ended.
    pub status: Status,
    /// How the answer came about, as reported by the member.
    pub note: Option<Note>,
    /// Time that the member spent waiting for the source.
    pub waited: Option<Micros>,
    /// The member's load report.
    pub load: Option<Load>,
    /// The body, if it was served; `None` if the copy that the client holds is current.
    pub body: Option<Bytes>,
    /// The body, if it is still arriving.
    pub streamed_body: Option<StreamedBody>,
    /// Tag of the copy and the time at which the origin issued it, if the answer has them.
    pub version: Option<(Bytes, Stamp)>,
}

impl AttemptEnd {
    /// An end with a status only.
    pub fn without_details(ticket: u64, status: Status) -> Self {
        let (body, streamed_body) = (None, None);
        Self { ticket, status, note: None, waited: None, load: None, body, streamed_body, version: None }
    }
}

/// What the director and all peer actors share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub site: Rc<SiteSettings>,
    /// Latest state of the members, the purges and the agreed rules.
    pub state: Rc<RoutingState>,
    /// Budget of file descriptors for connections to peers.
    pub descriptors: Rc<Descriptors>,
    /// Budget of memory for answers, from when they are read until they are written.
    pub answer_memory: Arc<MemoryBudget>,
    /// The director's mailbox.
    pub director: Sender<Message>,
    /// The executor that runs all tasks.
    pub tasks: Rc<LocalExecutor<'static>>,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// During an upgrade, descriptors left to the older process are not taken, and descriptors in use are
    /// kept.
    #[test]
    fn descriptors_are_left_to_an_older_process_during_an_upgrade() {
        let all = Descriptors::new(4);
        let held: Vec<_> = (0..3).filter_map(|_| all.take()).collect();
        all.set_limit(2);
        assert!(all.take().is_none() && held.len() == 3);
        drop(held);
        let two: Vec<_> = (0..4).filter_map(|_| all.take()).collect();
        assert_eq!(two.len(), 2);
        all.set_limit(4);
        assert!(all.take().is_some());
    }
}
