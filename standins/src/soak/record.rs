//! What happened in a soak: requests and connections as clients saw them, attempts as caches did, acts as they were done.

use std::cell::RefCell;

use super::terms::Terms;
use crate::Micros;

/// How a connection ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The router ended the stream.
    Closed,
    /// It was reset.
    Reset,
    /// The client left.
    Left,
}

/// A copy that an answer brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The object that it says it is of.
    pub object: u64,
    /// When it was made, by the wall clock.
    pub stamp: Micros,
    /// Its bytes are those that a cache made.
    pub whole: bool,
}

/// What a client was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Served; none: what came is no cache's answer.
    Served(Option<Copy>),
    /// The copy that the client holds is the one that would be served.
    Current,
    /// Refused: trying again does no harm.
    Refused,
    /// Failed.
    Failed,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its connection.
    pub connection: usize,
    /// Place of its class in the terms.
    pub class: usize,
    /// What is asked for, and the group that it belongs to.
    pub object: u64,
    /// See `object`.
    pub group: u16,
    /// The copy that its client holds, by its time.
    pub cached: Option<Micros>,
    /// When its last bytes were written.
    pub sent: Micros,
    /// How long the client waits.
    pub budget: Micros,
    /// When answers came, and what they said.
    pub answers: Vec<(Micros, Word)>,
    /// When the client cancelled it.
    pub cancelled: Option<Micros>,
    /// It was written whole: nothing is owed to half a request.
    pub whole: bool,
}

/// A client's connection.
#[derive(Clone, Debug)]
pub struct Connection {
    /// The process that it was made to.
    pub process: usize,
    /// When it came up.
    pub opened: Micros,
    /// Its client reads slowly.
    pub slow: bool,
    /// When and how it ended.
    pub ended: Option<(Micros, EndKind)>,
}

/// How an attempt ended at its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Answered, in a way that proves that it never ran.
    NeverRan,
    /// Answered in another way, or given up by the router, or its connection ended.
    MayHaveRun,
}

/// An attempt that a cache has read.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's place.
    pub request: usize,
    /// The cache.
    pub cache: usize,
    /// When it had come whole.
    pub arrived: Micros,
    /// How long the router waits, as it says.
    pub ttl: Micros,
    /// Where a miss is filled from, by id.
    pub source: Option<u32>,
    /// The oldest copy that will do; none: the class's fresh time.
    pub newer: Option<Micros>,
    /// The word that the cache meant to answer.
    pub answer: &'static str,
    /// When and how it ended; none: it is out.
    pub ended: Option<(Micros, AttemptEnd)>,
}

/// A router's process.
#[derive(Clone, Debug)]
pub struct Process {
    /// Its router.
    pub router: usize,
    /// When it was started.
    pub started: Micros,
    /// When it was told to end.
    pub told: Option<Micros>,
    /// When it was killed, and whether that was before the pages allow it after SIGTERM: nothing is owed then.
    pub killed: Option<(Micros, bool)>,
    /// When it was seen to have ended, and whether with 0.
    pub ended: Option<(Micros, bool)>,
}

/// A time in which a router's process was stopped.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// The process.
    pub process: usize,
    /// When it was stopped.
    pub from: Micros,
    /// When it went on.
    pub until: Micros,
}

/// A drain of a router.
#[derive(Clone, Debug)]
pub struct Drain {
    /// The process that was told.
    pub process: usize,
    /// When.
    pub at: Micros,
    /// When it was resumed, told to end or killed.
    pub until: Option<Micros>,
}

/// A member that takes no new work, directly or as a source.
#[derive(Clone, Debug)]
pub struct CacheDrain {
    /// The member's number: its id less one.
    pub cache: usize,
    /// When all routers counted as told, and until when.
    pub told: Micros,
    /// See `told`.
    pub until: Option<Micros>,
}

/// What a purge is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purged {
    /// An object.
    Object(u64),
    /// A group.
    Group(u16),
}

/// A purge.
#[derive(Clone, Copy, Debug)]
pub struct Purge {
    /// What it is of.
    pub what: Purged,
    /// Its own time, by the wall clock.
    pub at: Micros,
    /// When all routers counted as told.
    pub told: Micros,
}

impl Purge {
    /// Whether it is of what is asked for.
    pub fn is_of(&self, request: &Request) -> bool {
        match self.what {
            Purged::Object(object) => object == request.object,
            Purged::Group(group) => group == request.group,
        }
    }
}

/// All of it.
#[derive(Debug, Default)]
pub struct Records {
    /// The settings.
    pub terms: Terms,
    /// The caches' cells, by number.
    pub cells: Vec<u16>,
    /// Requests, by place.
    pub requests: RefCell<Vec<Request>>,
    /// Connections, by place.
    pub connections: RefCell<Vec<Connection>>,
    /// Attempts as they came.
    pub attempts: RefCell<Vec<Attempt>>,
    /// Processes, by place.
    pub processes: RefCell<Vec<Process>>,
    /// Times in which processes were stopped.
    pub stops: RefCell<Vec<Stop>>,
    /// Drains of routers.
    pub drains: RefCell<Vec<Drain>>,
    /// Drains of caches.
    pub cache_drains: RefCell<Vec<CacheDrain>>,
    /// Purges.
    pub purges: RefCell<Vec<Purge>>,
    /// What was done, for the timeline.
    pub acts: RefCell<Vec<(Micros, String)>>,
}

impl Records {
    /// Notes what is done now.
    pub fn act(&self, at: Micros, what: String) {
        self.acts.borrow_mut().push((at, what));
    }

    /// An attempt has ended, if it had not before.
    pub fn attempt_ended(&self, place: usize, at: Micros, how: AttemptEnd) {
        let attempt = &mut self.attempts.borrow_mut()[place];
        attempt.ended = attempt.ended.or(Some((at, how)));
    }
}
