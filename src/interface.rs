//! What the decision module is told and what it answers: settings, events, actions. No decisions here.

/// Time and durations, in microseconds.
pub type Micros = u64;

/// A cache, a parent or the origin; the same number at every director.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

/// A purge of this group concerns all objects of every group.
pub const EVERY_GROUP: u64 = u64::MAX;

/// One try of a client; never used again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    #[default]
    Idempotent,
    /// Carries a key by which a group of members drops repeats.
    Deduplicated,
    /// Must not run twice.
    AtMostOnce,
}

/// Which members drop repeats of a deduplicated request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupGroup {
    /// All of them.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Answered within this, plus the stretch, a request earns its full worth.
    pub aim: Micros,
    /// The aim grows by this multiple of the request's own sending time.
    pub aim_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Micros,
    /// What repeating does.
    pub effect: Effect,
    /// Who drops repeats.
    pub group: DedupGroup,
    /// For how long they do.
    pub window: Micros,
    /// The answer streams.
    pub streamed: bool,
    /// What a request is worth.
    pub worth: f64,
    /// Share of the worth paid for a late answer.
    pub late_worth: f64,
    /// How long a copy is fresh; 0: until it is purged.
    pub fresh: Micros,
    /// How much older than fresh a copy may be when asked for.
    pub stale: Micros,
    /// Share of the worth that a stale copy earns.
    pub stale_worth: f64,
    /// Objects come in parts that clients ask for in turn.
    pub segmented: bool,
    /// Runs at the origin and leaves no copy.
    pub write: bool,
}

/// How news of the members comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Unprompted.
    #[default]
    Pushed,
    /// Only when asked for.
    OnRequest,
}

/// Which other caches may be the source of a fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    /// None.
    #[default]
    None,
    /// Those of the own location.
    Location,
    /// Any.
    Any,
}

/// What outcomes tell about how an answer came about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tells {
    /// Everything.
    All,
    /// Whether it was a hit.
    Hit,
    /// Nothing.
    #[default]
    Nothing,
}

/// What a member's listed weight means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Nothing: it is always 1.
    #[default]
    Unknown,
    /// The transfers that its link carries.
    Nominal,
    /// About that.
    Rough,
    /// Size over load, from a while back.
    Live,
}

/// Figures of the rules, and what the site permits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of this director, from 0.
    pub index: u32,
    /// Directors in all.
    pub directors: u32,
    /// The zone of this director.
    pub zone: usize,
    /// By zone: directors that serve it.
    pub zone_directors: Vec<u32>,
    /// By zone: its hub.
    pub zone_hub: Vec<usize>,
    /// By zone: KB a second that its link for fills carries; 0: not told.
    pub zone_link_kb_per_s: Vec<f64>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Kind of the parents, if there are any.
    pub parent_kind: Option<usize>,
    /// Kind of the origin.
    pub origin_kind: Option<usize>,
    /// KB a second of one transfer to a client.
    pub flow_kb_per_s: f64,
    /// Parents and the origin take attempts too.
    pub direct: bool,
    /// An attempt may wait for a fill that runs.
    pub joins: bool,
    /// Which caches may be sources.
    pub siblings: Siblings,
    /// What outcomes tell.
    pub tells: Tells,
    /// What weights mean.
    pub weights: Weights,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Members may be probed.
    pub probes: bool,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Longest wait that a client obeys; 0: advice isn't passed on.
    pub max_retry_after: Micros,
    /// A connection not up by then has failed.
    pub connect_timeout: Micros,
    /// How members are learnt of.
    pub discovery: Discovery,
    /// Where asked: without news for so long, the director counts as told.
    pub ask_within: Micros,
    /// Slack after the deadline in which an answer counts.
    pub answer_slack: Micros,
    /// Sends to a draining or gone member must have stopped by then.
    pub drain_grace: Micros,
    /// A cache starts with this part of its capacity or more.
    pub cold_from: f64,
    /// By then it has all.
    pub cold_time: Micros,
    /// More than this multiple of its capacity pushes a cold member over.
    pub fall_multiple: f64,
    /// If it lasts so long.
    pub fall_window: Micros,
    /// The same for parents: least part at the start.
    pub parent_cold_from: f64,
    /// By then a parent gives all.
    pub parent_cold_time: Micros,
    /// In place of `fall_multiple`.
    pub parent_fall_multiple: f64,
    /// Time to heed a purge.
    pub purge_grace: Micros,
    /// By then all older copies are dropped.
    pub purge_done: Micros,
}

/// State of a member in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// Which one.
    pub id: MemberId,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its zone.
    pub zone: usize,
    /// Its kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Its weight, see [`Weights`].
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started: Micros,
}

/// Kind of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// All entries.
    Full,
    /// All entries as last seen, perhaps long ago.
    Cached,
    /// Asking failed, or the subscription ended.
    Failed,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Place of its class in the settings; out of range: a class not met before.
    pub class: usize,
    /// The object.
    pub object: String,
    /// The part of it.
    pub part: u64,
    /// The object's group.
    pub group: u64,
    /// Size, where told.
    pub size_kb: Option<f64>,
    /// It writes.
    pub write: bool,
    /// When the client gives this try up.
    pub valid_until: Micros,
    /// The copy that the director itself holds, if it does.
    pub own: Option<Own>,
}

/// A copy in the director's own memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Own {
    /// Time since the origin gave it out.
    pub age: Micros,
    /// Time since a cache last answered with it.
    pub unseen: Micros,
    /// Until its bytes would be with the client, behind those on the director's link.
    pub wait: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The member answered with an error; it may have run.
    Error,
    /// Turned away; nothing ran.
    Full,
    /// No reply in time; it may have run.
    Timeout,
    /// No connection; nothing ran.
    ConnectFailed,
    /// Broken off; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// Nothing suitable held; nothing ran.
    Miss,
}

impl Status {
    /// Whether an attempt that ended so can't have run.
    pub fn proves_never_ran(self) -> bool {
        matches!(self, Status::Full | Status::ConnectFailed | Status::Moot | Status::Miss)
    }

    /// As it stands in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Status::Ok => "ok",
            Status::Error => "error",
            Status::Full => "full",
            Status::Timeout => "timeout",
            Status::ConnectFailed => "connect_failed",
            Status::Reset => "reset",
            Status::Cancelled => "cancelled",
            Status::Moot => "moot",
            Status::Miss => "miss",
        }
    }
}

/// What an outcome tells besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// Found at the member.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled, and the origin was asked.
    FilledByOrigin,
    /// Joined a fill under way.
    Joined,
    /// A copy past its fresh time.
    Stale,
    /// The source refused.
    SourceRefused,
    /// The source was not reached, broke off or was too slow.
    SourceUnreachable,
    /// The source lacks it.
    SourceLacks,
    /// All places for fills are taken at the member.
    FillsFull,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// A load report; what isn't reported is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of the processor in use.
    pub cpu: Option<f64>,
    /// Requests held.
    pub active: Option<f64>,
    /// Requests queued.
    pub waiting: Option<f64>,
    /// Cache: transfers on the location's link over those that fit; parent: fetches out.
    pub link: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Where it went.
    pub member: MemberId,
    /// How it ended.
    pub status: Status,
    /// Time since the send.
    pub elapsed: Micros,
    /// The request is finished.
    pub closed: bool,
    /// How it came about, where told.
    pub note: Option<Note>,
    /// The fill's time to its first byte or its failure, where told.
    pub waited: Option<Micros>,
    /// The member's report, where one came along.
    pub load: Option<Load>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the members.
    Members {
        /// What the list is.
        kind: ListKind,
        /// Its entries.
        members: Vec<Member>,
    },
    /// A request came.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A streamed answer has begun; the client owns the attempt now.
    Streaming {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client left, or the answer is past due.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// Copies older than the purge must not be served any more.
    Purged {
        /// The object, or the whole group.
        object: Option<String>,
        /// The group; [`EVERY_GROUP`]: any copy of that age may be purged.
        group: u64,
        /// Time since the purge.
        age: Micros,
    },
    /// What became of the director's own copy, which was to answer a request. It is told of each [`Action::Own`], before
    /// any other event of the request.
    OwnCopy {
        /// The request.
        id: RequestId,
        /// It answered; else it is not there any more, and the request is still open.
        served: bool,
    },
    /// A probe's result.
    Probed {
        /// Where it went.
        member: MemberId,
        /// How it ended.
        status: Status,
        /// Time since the send.
        elapsed: Micros,
        /// The member's report, where one came along.
        load: Option<Load>,
    },
    /// A timer came due.
    Timer {
        /// As it was set.
        token: u64,
    },
    /// What others saw, to start from.
    Inherited(Inherited),
}

/// What others saw of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InheritedMember {
    /// Which one.
    pub id: MemberId,
    /// The process that it was seen of: one that started at another time is another.
    pub started: Micros,
    /// Running share of faults, 0 to 1, and the weight of that word, 0 to 1.
    pub ill: f64,
    /// See `ill`.
    pub ill_weight: f64,
    /// It is set aside for so long.
    pub aside: Micros,
    /// How much it bears.
    pub pace: InheritedPace,
}

/// What others found of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InheritedPace {
    /// Attempts that may be out.
    pub limit: f64,
    /// Running share of late answers, 0 to 1.
    pub lateness: f64,
    /// Weight of that word, 0 to 1.
    pub weight: f64,
}

/// What others saw, and what it weighs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inherited {
    /// By member.
    pub members: Vec<InheritedMember>,
    /// Of all fills, and of those that may go on to the origin.
    pub fills: [InheritedPace; 2],
    /// Sending time a second that a warm cache, a warm parent takes from one director; 0: no word.
    pub warm_rate: [f64; 2],
    /// Objects asked for lately, as the filter's ids.
    pub seen: Vec<u64>,
}

/// What a director saw of a member, to be told to others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberReport {
    /// Which one.
    pub id: MemberId,
    /// The process that was seen.
    pub started: Micros,
    /// Attempts that ended there.
    pub met: u32,
    /// Running share of faults, 0 to 1.
    pub ill: f64,
    /// It is set aside for so long from now.
    pub aside: Micros,
    /// Attempts that may be out to it.
    pub limit: f64,
    /// Running share of late answers, 0 to 1.
    pub lateness: f64,
}

/// What a director itself saw, without what it was told by others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// By member, those that it met.
    pub members: Vec<MemberReport>,
    /// Limit and share of late ones of all fills, and of those that may go on to the origin.
    pub fills: [(f64, f64); 2],
    /// See [`Inherited::warm_rate`].
    pub warm_rate: [f64; 2],
    /// Objects asked for lately and a while ago, as the filter's ids.
    pub seen: [Vec<u64>; 2],
}

/// The rank at which a copy is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keep {
    /// Pass it through; a hit leaves the rank.
    Pass,
    /// Dropped first.
    Low,
    /// Dropped next.
    Middle,
    /// Dropped last.
    High,
}

/// How a fill is done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FillMode {
    /// Wait for a fill that runs already.
    pub join: bool,
    /// The source gives only what it holds.
    pub held_only: bool,
    /// The parent keeps no copy.
    pub parent_pass: bool,
    /// Fetch an ageing copy anew behind its answer.
    pub renew: bool,
}

/// What the director does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// An attempt that only looks (the origin holds everything).
    Look {
        /// The request.
        id: RequestId,
        /// Where to.
        member: MemberId,
        /// When to drop the attempt.
        until: Micros,
    },
    /// An attempt that says how a miss is filled.
    Fetch {
        /// The request.
        id: RequestId,
        /// Where to.
        member: MemberId,
        /// When to drop the attempt.
        until: Micros,
        /// Where a miss is filled from; the member itself: nowhere.
        source: MemberId,
        /// How the copy is kept.
        keep: Keep,
        /// The oldest copy that will do; none: the class's fresh time.
        max_age: Option<Micros>,
        /// How the fill is done.
        mode: FillMode,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: the director's own copy, where it is still there ([`Event::OwnCopy`] tells).
    Own {
        /// The request.
        id: RequestId,
    },
    /// Final answer: refused, a further try does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait; 0: no advice.
        wait: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set a timer.
    Timer {
        /// From now.
        delay: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Probe a member.
    Probe {
        /// Which one.
        member: MemberId,
    },
    /// Subscribe to news of the members.
    Watch,
    /// Ask for the whole list once.
    FetchList,
    /// A line for the operators.
    Log(String),
}
