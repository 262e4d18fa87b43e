//! What happened in a soak: requests and connections as clients saw them, attempts as caches did, acts as they were done.

use std::cell::RefCell;

use crate::Micros;

/// A class of the soak's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Safe to repeat.
    Page,
    /// Carries a key; repeats within the window are dropped.
    Scan,
    /// Runs once at most.
    Order,
}

impl Class {
    /// As the settings name it.
    pub fn name(self) -> &'static str {
        match self {
            Class::Page => "page",
            Class::Scan => "scan",
            Class::Order => "order",
        }
    }
}

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

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its connection.
    pub connection: usize,
    /// Its class.
    pub class: Class,
    /// When its last bytes were written.
    pub sent: Micros,
    /// How long the client waits.
    pub budget: Micros,
    /// When answers came.
    pub answers: Vec<Micros>,
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
}

/// A router's process.
#[derive(Clone, Debug)]
pub struct Process {
    /// Its router.
    pub router: usize,
    /// When it was told to end.
    pub told: Option<Micros>,
    /// When it was killed, and whether that was before the pages allow it after SIGTERM: nothing is owed then.
    pub killed: Option<(Micros, bool)>,
    /// When it was seen to have ended, and whether with 0.
    pub ended: Option<(Micros, bool)>,
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

/// A cache that takes no new work.
#[derive(Clone, Debug)]
pub struct CacheDrain {
    /// The cache.
    pub cache: usize,
    /// When all routers counted as told, and until when.
    pub told: Micros,
    /// See `told`.
    pub until: Option<Micros>,
}

/// All of it.
#[derive(Debug, Default)]
pub struct Records {
    /// Requests, by place.
    pub requests: RefCell<Vec<Request>>,
    /// Connections, by place.
    pub connections: RefCell<Vec<Connection>>,
    /// Attempts as they came.
    pub attempts: RefCell<Vec<Attempt>>,
    /// Processes, by place.
    pub processes: RefCell<Vec<Process>>,
    /// Drains of routers.
    pub drains: RefCell<Vec<Drain>>,
    /// Drains of caches.
    pub cache_drains: RefCell<Vec<CacheDrain>>,
    /// What was done, for the timeline.
    pub acts: RefCell<Vec<(Micros, String)>>,
}

impl Records {
    /// Notes what is done now.
    pub fn act(&self, at: Micros, what: String) {
        self.acts.borrow_mut().push((at, what));
    }
}
