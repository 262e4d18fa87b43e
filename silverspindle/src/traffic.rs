//! What the router's actors say to each other: requests and their answers, attempts and their ends, and the
//! last news that an attempt is held against when it is written. Below the director and the peers, which
//! both speak in these terms.

mod account;
mod board;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use bitternhold::settings::Catalogue;
use bitternhold::{FillMode, Keep, Load, MemberId, Micros, Note, Status};
use bytes::Bytes;
use silverspindle_conf::HalfLives;
use silverspindle_knowledge::Item;

use crate::clock::Stamp;
use crate::copies;
use crate::feed::parse_hex_id;
use crate::{clock, resp};

pub use account::{Account, Refusal, SafeToRetry};
pub use board::{Board, Freshness, Guard, Lease, Members, Noted, Notice};

/// A request, whatever protocol it came by.
#[derive(Debug)]
pub struct Call {
    /// The client's id for it, passed on unchanged.
    pub rid: String,
    /// Place of its class in the settings.
    pub class: usize,
    /// The object, sixteen hex digits.
    pub object: String,
    /// The part of it.
    pub part: u64,
    /// The object's group.
    pub group: u64,
    /// Size, where told.
    pub size_kb: Option<f64>,
    /// The idempotency key.
    pub token: Option<String>,
    /// The tag of the copy that the client holds.
    pub cached: Option<String>,
    /// When the client gives up.
    pub deadline: Micros,
    /// What a write carries.
    pub body: Bytes,
    /// Books the body's memory.
    pub taken: Taken,
    /// It has its answer, or its client left or forgot it: nothing more is sent for it.
    pub over: Cell<bool>,
    /// Connections of peers that its id stood on. It stands on none of them again: a second answer to an attempt that
    /// has ended would be taken for the next one's.
    pub lines: RefCell<Vec<(MemberId, u64)>>,
}

impl Call {
    /// The object as a purge names it.
    pub fn key(&self) -> Option<u64> {
        parse_hex_id(&self.object)
    }

    /// What a copy for it is kept under.
    pub(crate) fn copy(&self) -> Option<copies::Key> {
        Some((self.key()?, self.part, self.class))
    }

    /// The client holds the copy of this tag.
    pub(crate) fn holds(&self, tag: &[u8]) -> bool {
        self.cached.as_ref().is_some_and(|own| own.as_bytes() == tag)
    }
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Served, with the bytes.
    Served(Bytes),
    /// Served: the client's copy is the one.
    Holds,
    /// Refused: trying again is harmless.
    Refused(Refusal),
    /// Failed.
    Failed,
}

impl Verdict {
    /// One word for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Verdict::Served(_) => "served",
            Verdict::Holds => "holds",
            Verdict::Refused(_) => "refused",
            Verdict::Failed => "failed",
        }
    }

    /// Bytes of its body.
    pub fn bytes(&self) -> usize {
        if let Verdict::Served(body) = self { body.len() } else { 0 }
    }
}

/// Books the bytes of a write while it is open.
#[derive(Debug, Default)]
pub struct Taken {
    all: Rc<Cell<usize>>,
    own: usize,
}

impl Taken {
    /// Books so many on top of what all have taken.
    pub fn new(all: &Rc<Cell<usize>>, own: usize) -> Self {
        all.set(all.get() + own);
        Self { all: all.clone(), own }
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.own);
    }
}

/// Where the answers to a client's requests go: what a front for any protocol gives with each request.
pub trait Port: Debug {
    /// Its number; no other port of this director has it.
    fn id(&self) -> u64;
    /// Takes the final answer to the request of this number. Must not wait.
    fn answer(&self, seq: i32, verdict: Verdict);
    /// The client left or forgot a request: no answer will come.
    fn drop_request(&self);
    /// The client has closed, whether the front has been told yet or not.
    fn is_gone(&self) -> bool;
}

/// What the director is told by clients' and peers' actors.
#[derive(Debug)]
pub enum Message {
    /// A request came.
    Request {
        /// Where its answer goes.
        port: Rc<dyn Port>,
        /// Its number there.
        seq: i32,
        /// The request.
        call: Call,
    },
    /// The client has stopped waiting.
    Forget {
        /// Its connection.
        port: u64,
        /// The request's number there.
        seq: i32,
    },
    /// A client's connection ended.
    Left {
        /// The connection.
        port: u64,
    },
    /// What is open on a client's connection gets its final answer now: the connection has to end.
    GiveUp {
        /// The connection.
        port: u64,
    },
    /// An attempt ended.
    Ended(End),
    /// Someone asks for all that is known.
    Give {
        /// Where it goes.
        reply: Sender<Vec<Item>>,
    },
    /// Another told what it knows.
    Learnt {
        /// It was on the way for so long at most.
        transit: Micros,
        /// What it told.
        items: Vec<Item>,
    },
    /// Half-lives changed.
    HalfLives(HalfLives),
    /// Members that the routers have agreed not to use, from now on.
    Withheld(BTreeSet<MemberId>),
    /// Weights of members, in per cent of the list's, from now on.
    Weights(BTreeMap<MemberId, u32>),
    /// Own copies take so many bytes from now on.
    Room(usize),
    /// Put the module's limits on the board, for who plans work.
    Limits,
    /// A probe ended.
    Probed {
        /// Where it went.
        member: MemberId,
        /// How.
        status: Status,
        /// Time since the send.
        elapsed: Micros,
        /// The load report.
        load: Option<Load>,
    },
}

/// Descriptors that peers' connections may take.
#[derive(Debug)]
pub struct Descriptors {
    all: usize,
    left: Cell<usize>,
    /// Left to an older process, in an upgrade.
    reserved: Cell<usize>,
}

impl Descriptors {
    /// So many.
    pub fn new(n: usize) -> Rc<Self> {
        Rc::new(Self { all: n, left: Cell::new(n), reserved: Cell::new(0) })
    }

    /// Takes no more than so many from now on; what is held stays.
    pub fn keep_to(&self, most: usize) {
        self.reserved.set(self.all.saturating_sub(most));
    }

    /// All of them.
    pub fn all(&self) -> usize {
        self.all
    }

    /// There are enough for connections that could be done without.
    pub(crate) fn are_plenty(&self) -> bool {
        self.left.get() > self.all / 3 + self.reserved.get()
    }

    pub(crate) fn take(self: &Rc<Self>) -> Option<Descriptor> {
        let left = self.left.get().checked_sub(1).filter(|left| *left >= self.reserved.get())?;
        self.left.set(left);
        Some(Descriptor(self.clone()))
    }
}

/// One of them, given back when dropped.
#[derive(Debug)]
pub(crate) struct Descriptor(Rc<Descriptors>);

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.left.set(self.0.left.get() + 1);
    }
}

/// What the module decided on an attempt's answer.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Where a miss is filled from; none: nowhere.
    pub source: Option<MemberId>,
    /// How the copy is kept.
    pub keep: Keep,
    /// The oldest copy that will do; none: the class's fresh time.
    pub max_age: Option<Micros>,
    /// How the fill is done.
    pub mode: FillMode,
}

/// An attempt on its way.
#[derive(Debug)]
pub struct Attempt {
    /// The director's number for it.
    pub ticket: u64,
    /// The request.
    pub call: Rc<Call>,
    /// How it is answered.
    pub terms: Terms,
    /// Who waits for the answer.
    pub client: Rc<dyn Port>,
    /// When the attempt is dropped.
    pub until: Micros,
    /// Its first byte is written before this or never: its end, the end of the window in which the request may be
    /// repeated, and for a cold member shortly after it was booked there.
    pub write_by: Micros,
    /// The peer's connection that is to write it; another one passes it over.
    pub line: Cell<u64>,
    /// The board's moment at which it was decided.
    pub decided: u64,
    /// Its first byte was written: from then on it may have run.
    pub written: Cell<bool>,
    /// Nobody waits for it any more.
    pub dropped: Cell<bool>,
    /// It is its request's first.
    pub first: bool,
    /// Written without its source: the router's share of a limit is used up, and the cache may hold a copy.
    pub bare: Cell<bool>,
    /// What it holds of shares of limits: [`OFFICE_TOKEN`], [`PARENT_TOKEN`].
    pub tokens: Cell<u8>,
}

/// Of the head office's limit.
pub const OFFICE_TOKEN: u8 = 1;
/// Of a parent's limit.
pub const PARENT_TOKEN: u8 = 2;

impl Attempt {
    pub(crate) fn command(&self, names: &Catalogue) -> Vec<u8> {
        let call = &*self.call;
        let class = names.classes.get(call.class).map_or("", String::as_str);
        // Rounded to the safe side: a shorter wait, a younger copy; 0 would mean the fresh time.
        let ttl = (self.until.saturating_sub(clock::now()) / 1000).max(1);
        let mut fields = format!("lane={class},name={},piece={},ttl={ttl}", call.object, call.part);
        let mut put = |name: &str, value: &str| {
            fields.push(',');
            fields.push_str(name);
            fields.push('=');
            fields.push_str(value);
        };
        if let Some(token) = &call.token {
            put("dedupe", token);
        }
        let Terms { mut source, mut keep, max_age, mut mode } = self.terms.clone();
        if self.bare.get() {
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
        if let Some(tag) = &call.cached {
            put("holds", tag);
        }
        resp::encode_array(&[b"want", call.rid.as_bytes(), fields.as_bytes(), &call.body])
    }
}

/// How an attempt ended, and what came with it.
#[derive(Debug)]
pub struct End {
    /// The director's number for it.
    pub ticket: u64,
    /// How.
    pub status: Status,
    /// How it came about.
    pub note: Option<Note>,
    /// Time spent waiting for the source.
    pub waited: Option<Micros>,
    /// The load report.
    pub load: Option<Load>,
    /// The bytes, if it was served; none where the client's copy is the one.
    pub body: Option<Bytes>,
    /// The copy's tag and when the origin gave it out, where it has these.
    pub name: Option<(Bytes, Stamp)>,
}

impl End {
    /// An end of which nothing else is known.
    pub fn bare(ticket: u64, status: Status) -> Self {
        Self { ticket, status, note: None, waited: None, load: None, body: None, name: None }
    }
}

/// What all peers share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub catalogue: Rc<Catalogue>,
    /// What was told last.
    pub board: Rc<Board>,
    /// Descriptors left.
    pub descriptors: Rc<Descriptors>,
    /// The director's mailbox.
    pub director: Sender<Message>,
    /// Where tasks run.
    pub tasks: Rc<LocalExecutor<'static>>,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What is left to an older process is not taken, and what is held stays held.
    #[test]
    fn descriptors_keep_to_their_part_while_an_older_process_stands_beside() {
        let all = Descriptors::new(4);
        let held: Vec<_> = (0..3).filter_map(|_| all.take()).collect();
        all.keep_to(2);
        assert!(all.take().is_none() && held.len() == 3);
        drop(held);
        let two: Vec<_> = (0..4).filter_map(|_| all.take()).collect();
        assert_eq!(two.len(), 2);
        all.keep_to(4);
        assert!(all.take().is_some());
    }
}
