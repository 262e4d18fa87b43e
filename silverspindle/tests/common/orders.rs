//! Runs one request on the real director and module, without sockets. The test writes and ends the attempts,
//! sets the time, delivers list updates and purges, and checks the results against the rules of the protocol.
//! The rules are implemented from the protocol pages, not from the code: an attempt may have run if the test
//! wrote it and has not ended it with a status that proves the contrary.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use async_channel::Receiver;
use bitternhold::settings::SiteSettings;
use bitternhold::{Lifecycle, ListKind, Member, MemberId, Micros, Status};
use bytes::Bytes;
use serde_json::{Value, json};
use silverspindle::clock::{Clock, Stamp};
use silverspindle::copies::Copies;
use silverspindle::counters::{Counters, RefusalReason};
use silverspindle::director::Director;
use silverspindle::feed::{ListEntry, PurgeTarget, Update};
use silverspindle::traffic::{
    Attempt, AttemptEnd, BodyReservation, Call, ClientHandle, Descriptors, FeedFreshness, FeedLease, Message,
    Notification, RoutingState, Shared, Verdict,
};
use silverspindle::upstream::PeerMessage;
use silverspindle_wire::memory::MemoryBudget;

pub const MS: Micros = 1000;
pub const S: Micros = 1_000_000;
const START: Micros = 1_000_000 * S;

/// Settings of the class. The router's own copy is past its fresh time when the request comes, so that a
/// cache is asked, and expires [`COPY_TIME_LEFT`] later, when an answer from it would still be within the
/// aim.
pub const AIM: Micros = 1200 * MS;
pub const DEADLINE: Micros = 3000 * MS;
pub const WINDOW: Micros = 2200 * MS;
pub const FRESH: Micros = 5 * S;
pub const STALE: Micros = 2 * S;
const COPY_AGE: Micros = 6 * S;
const COPY_TIME_LEFT: Micros = FRESH + STALE - COPY_AGE;
/// Figures of the protocol's rules.
const DRAIN_GRACE: Micros = S;
const PURGE_GRACE: Micros = 500 * MS;
const PURGE_COMPLETE: Micros = 6 * S;
const ANSWER_GRACE: Micros = 8 * MS;
const WINDOW_TOLERANCE: Micros = 50 * MS;
/// While the feed's lease has run out, copies must be younger than this.
const LEASE: Micros = 3 * S;

const OBJECT: u64 = 0x7f3a_9c21_e0b4_d655;
const GROUP: u64 = 17;
const OWN_BODY: &[u8] = b"the router's own copy";
const CACHE_BODY: &[u8] = b"a cache's answer";

/// Where requests of a class may be repeated, as defined by the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Freely,
    InItsCell,
    Never,
}

/// The class and the limits that apply to the request.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub repeats: Repeats,
    pub write: bool,
    pub second_copies: bool,
    pub own_copy: bool,
    /// Number of attempts that the settings allow.
    pub max_attempts: usize,
}

impl Case {
    /// The settings that configure a program for this case.
    pub fn settings(&self) -> Value {
        let (effect, group) = match self.repeats {
            Repeats::Freely => ("idempotent", "all"),
            Repeats::InItsCell => ("deduplicated", "cell"),
            Repeats::Never => ("at_most_once", "all"),
        };
        let mut settings = super::settings();
        settings["classes"] = json!([{"name": "page", "idempotency": effect, "group": group,
            "slo_ms": AIM / MS, "deadline_ms": DEADLINE / MS, "window_ms": WINDOW / MS}]);
        settings["family_info"]["class_write"] = json!([self.write]);
        settings["family_info"]["fresh_for_ms"] = json!([FRESH / MS]);
        settings["family_info"]["stale_for_ms"] = json!([STALE / MS]);
        settings["limits"]["second_copies"] = json!(self.second_copies);
        settings["limits"]["try_limit"] = json!(self.max_attempts);
        settings
    }
}

/// How the test ends an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Served,
    Error,
    Full,
    Miss,
    TooLate,
    Reset,
    ConnectFailed,
    NeverSent,
}

const WRITTEN_ENDINGS: [Ending; 6] =
    [Ending::Served, Ending::Error, Ending::Full, Ending::Miss, Ending::TooLate, Ending::Reset];
const BEGUN_ENDINGS: [Ending; 2] = [Ending::Served, Ending::Reset];
const UNWRITTEN_ENDINGS: [Ending; 2] = [Ending::ConnectFailed, Ending::NeverSent];

impl Ending {
    fn status(self) -> Status {
        match self {
            Ending::Served => Status::Ok,
            Ending::Error => Status::Error,
            Ending::Full => Status::Full,
            Ending::Miss => Status::Miss,
            Ending::TooLate | Ending::NeverSent => Status::Moot,
            Ending::Reset => Status::Reset,
            Ending::ConnectFailed => Status::ConnectFailed,
        }
    }

    /// As defined by the protocol: NONE, SHED and LATE never ran; an error, a reset and a served attempt may
    /// have.
    fn may_have_run(self) -> bool {
        matches!(self, Ending::Served | Ending::Error | Ending::Reset)
    }
}

/// An event that the test can cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The first byte of the attempt with this index is written, if the final check allows it.
    Write(usize),
    /// The answer to the attempt with this index begins to arrive, and waits for memory.
    Begin(usize),
    /// The attempt with this index ends.
    End(usize, Ending),
    /// The client no longer waits for the answer.
    Forget,
    /// The client's connection ends.
    Disconnect,
    /// The front asks for the final answer at once, because the connection has to end.
    GiveUp,
    /// The member of the first attempt is listed as draining.
    Drain,
    /// The member of the first attempt is listed as gone.
    Remove,
    /// The member of the first attempt is listed again, in another cell.
    Relist,
    PurgeObject,
    PurgeGroup,
    /// A purge that is received only after the caches have dropped older copies themselves.
    LatePurge,
    /// The feed's lease runs out.
    LeaseExpired,
    /// The memory limit of the own copies falls to 0.
    CopyEvicted,
    /// Time passes until the own copy is past its fresh and stale time.
    CopyExpired,
    /// Time passes until the window in which the request may be repeated is over.
    WindowExpired,
    /// Time passes until the director's next timer.
    NextTimer,
}

/// An attempt that the director has sent.
#[derive(Debug)]
struct Sent {
    attempt: Rc<Attempt>,
    member: MemberId,
    cell: u64,
    written: Option<Micros>,
    begun: bool,
    ended: Option<Ending>,
    given_up: bool,
}

impl Sent {
    fn may_have_run(&self) -> bool {
        self.written.is_some() && self.ended.is_none_or(Ending::may_have_run)
    }

    fn is_in_flight(&self) -> bool {
        self.written.is_some() && self.ended.is_none() && !self.given_up
    }
}

/// A client that records the answers it gets.
#[derive(Debug, Default)]
struct Client {
    id: u64,
    answers: RefCell<Vec<Verdict>>,
    gone: Cell<bool>,
}

impl ClientHandle for Client {
    fn id(&self) -> u64 {
        self.id
    }
    fn answer(&self, _: i32, verdict: Verdict) {
        self.answers.borrow_mut().push(verdict);
    }
    fn drop_request(&self) {}
    fn is_gone(&self) -> bool {
        self.gone.get()
    }
}

/// A feed whose lease has run out if this is set.
#[derive(Debug, Default)]
struct Feed(Cell<bool>);

impl FeedLease for Feed {
    fn freshness(&self) -> FeedFreshness {
        FeedFreshness {
            at: 0,
            age: None,
            max_copy_age: self.0.get().then_some(LEASE),
            max_cache_copy_age: self.0.get().then_some(LEASE),
        }
    }
    fn applied(&self, _: u64, _: u64) {}
    fn reset(&self, _: u64) {}
    fn attempt_written(&self, _: &Attempt, _: FeedFreshness) {}
}

type Mailboxes = Rc<RefCell<BTreeMap<MemberId, Receiver<PeerMessage>>>>;

/// The request, the simulated environment and what was observed of both.
pub struct Simulation {
    case: Case,
    time: Rc<Cell<Micros>>,
    director: Director,
    state: Rc<RoutingState>,
    feed: Rc<Feed>,
    mailboxes: Mailboxes,
    members: BTreeMap<MemberId, Member>,
    not_ready_since: BTreeMap<MemberId, Micros>,
    client: Rc<Client>,
    counters: Rc<Counters>,
    received_at: Micros,
    copy_stamp: Micros,
    sent: Vec<Sent>,
    /// When each purge was received, and its own time stamp.
    purges: Vec<(Micros, Micros)>,
    closed: bool,
    answers_checked: usize,
    trace: Vec<String>,
    violation: Option<String>,
}

impl Simulation {
    /// Starts a program with these settings and delivers the request to it.
    pub fn start(case: Case, settings: &Rc<SiteSettings>) -> Self {
        let time = Rc::new(Cell::new(START));
        let state = Rc::new(RoutingState::with_clock(Clock::manual(time.clone())));
        let feed = Rc::new(Feed::default());
        state.set_lease(feed.clone(), PURGE_COMPLETE);
        let (to_director, _) = async_channel::bounded(1);
        let shared = Rc::new(Shared {
            site: settings.clone(),
            state: state.clone(),
            descriptors: Descriptors::new(64),
            answer_memory: MemoryBudget::new(64_000_000),
            director: to_director,
            tasks: Rc::default(),
        });
        let mut director = Director::new(7, shared, Rc::default(), Copies::new(1_000_000, 1e6, 4e6));
        let counters = Rc::<Counters>::default();
        director.set_counters(counters.clone());
        let mailboxes = Mailboxes::default();
        let peer_mailboxes = mailboxes.clone();
        director.set_peer_starter(move |id, _| {
            let (sender, mailbox) = async_channel::bounded(256);
            peer_mailboxes.borrow_mut().insert(id, mailbox);
            sender
        });
        let cells = [(1, 0), (2, 0), (3, 1)];
        let caches = cells.map(|(id, cell)| member(id, 0, 1, cell));
        let members = caches.into_iter().chain([member(99, 2, 0, 0)]);
        let mut simulation = Simulation {
            case,
            time,
            director,
            state,
            feed,
            mailboxes,
            members: members.map(|m| (m.id, m)).collect(),
            not_ready_since: BTreeMap::new(),
            client: Rc::new(Client { id: 2, ..Client::default() }),
            counters,
            received_at: 0,
            copy_stamp: 0,
            sent: Vec::new(),
            purges: Vec::new(),
            closed: false,
            answers_checked: 0,
            trace: Vec::new(),
            violation: None,
        };
        let list = simulation.members.values().cloned().map(listed).collect();
        simulation
            .director
            .handle_update(Update::Members { complete: true, members: list }, ListKind::Cached);
        if case.own_copy {
            simulation.fill_own_copy();
        }
        simulation.received_at = simulation.now();
        let client: Rc<dyn ClientHandle> = simulation.client.clone();
        simulation.director.handle_message(Message::Request { client, seq: 1, call: simulation.call(0xb) });
        simulation.process_output();
        simulation
    }

    /// Runs an earlier request whose answer the router keeps as its own copy.
    fn fill_own_copy(&mut self) {
        let earlier_client = Rc::new(Client { id: 1, ..Client::default() });
        self.director.handle_message(Message::Request {
            client: earlier_client,
            seq: 1,
            call: self.call(0xa),
        });
        self.process_output();
        self.copy_stamp = self.now();
        self.sent[0].attempt.written.set(true);
        let end = AttemptEnd { body: Some(Bytes::from_static(OWN_BODY)), ..self.end(0, Status::Ok) };
        self.director.handle_message(Message::Ended(end));
        self.sent.clear();
        self.time.set(self.now() + COPY_AGE);
        self.director.run_due_timers();
    }

    fn call(&self, rid: u64) -> Call {
        Call {
            rid: format!("{rid:016x}"),
            class: 0,
            object: format!("{OBJECT:016x}"),
            part: 0,
            group: GROUP,
            size_kb: Some(10.0),
            idempotency_key: Some("5c0f6e1a2b3d4c59".to_owned()),
            client_tag: None,
            deadline: self.now() + DEADLINE,
            body: Bytes::new(),
            body_reservation: BodyReservation::default(),
            finished: Cell::new(false),
            used_connections: RefCell::default(),
        }
    }

    fn now(&self) -> Micros {
        self.time.get()
    }

    fn deadline(&self) -> Micros {
        self.received_at + DEADLINE
    }

    fn end(&self, index: usize, status: Status) -> AttemptEnd {
        let version = (Bytes::from_static(b"4be0c1927d55a6f3"), Stamp::from_micros(self.now()));
        AttemptEnd {
            version: Some(version),
            ..AttemptEnd::without_details(self.sent[index].attempt.ticket, status)
        }
    }

    /// The events that can occur next.
    pub fn possible_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, sent) in self.sent.iter().enumerate().filter(|(_, s)| s.ended.is_none() && !s.given_up) {
            if sent.begun {
                steps.extend(BEGUN_ENDINGS.map(|ending| Step::End(index, ending)));
            } else if sent.written.is_some() {
                if !self.case.write {
                    steps.push(Step::Begin(index));
                }
                steps.extend(WRITTEN_ENDINGS.map(|ending| Step::End(index, ending)));
            } else {
                steps.push(Step::Write(index));
                steps.extend(UNWRITTEN_ENDINGS.map(|ending| Step::End(index, ending)));
            }
        }
        if !self.closed {
            steps.extend([Step::Forget, Step::Disconnect, Step::GiveUp]);
        }
        if !self.is_finished() {
            let first = self.sent.first().and_then(|s| self.members.get(&s.member));
            if first.is_some_and(|m| m.lifecycle == Lifecycle::Ready) {
                steps.extend([Step::Drain, Step::Remove]);
            }
            if first.is_none_or(|m| m.lifecycle != Lifecycle::Ready) && !self.sent.is_empty() {
                steps.push(Step::Relist);
            }
            if self.purges.is_empty() {
                steps.extend([Step::PurgeObject, Step::PurgeGroup, Step::LatePurge]);
            }
            if !self.feed.0.get() {
                steps.push(Step::LeaseExpired);
            }
            if self.case.own_copy {
                steps.push(Step::CopyEvicted);
            }
            if self.case.own_copy && self.now() < self.received_at + COPY_TIME_LEFT {
                steps.push(Step::CopyExpired);
            }
            if self.now() < self.received_at + WINDOW {
                steps.push(Step::WindowExpired);
            }
            steps.push(Step::NextTimer);
        }
        steps
    }

    /// Whether the request has its answer and no attempt that could still be written.
    fn is_finished(&self) -> bool {
        self.closed && self.sent.iter().all(|s| s.written.is_some() || s.ended.is_some() || s.given_up)
    }

    /// Causes an event.
    pub fn perform(&mut self, step: Step) {
        self.trace.push(format!("{} ms: {step:?}", (self.now() - self.received_at) / MS));
        let client: u64 = self.client.id;
        let first = self.sent.first().map(|s| s.member);
        match step {
            Step::Write(index) => self.write(index),
            Step::Begin(index) => {
                self.sent[index].begun = true;
                self.director.handle_message(Message::AnswerBegun(self.end(index, Status::Ok)));
            }
            Step::End(index, ending) => self.end_attempt(index, ending),
            Step::Forget => {
                self.closed = true;
                self.director.handle_message(Message::Forget { client, seq: 1 });
            }
            Step::Disconnect => {
                self.closed = true;
                self.client.gone.set(true);
                self.director.handle_message(Message::Disconnected { client });
            }
            Step::GiveUp => self.director.handle_message(Message::GiveUp { client }),
            Step::Drain => self.list(first, |m| m.lifecycle = Lifecycle::Draining),
            Step::Remove => self.list(first, |m| m.lifecycle = Lifecycle::Gone),
            Step::Relist => self.list(first, |m| (m.lifecycle, m.cell) = (Lifecycle::Ready, m.cell + 10)),
            Step::PurgeObject => self.purge(PurgeTarget::Object(OBJECT), 0),
            Step::PurgeGroup => self.purge(PurgeTarget::Group(GROUP), 0),
            Step::LatePurge => self.purge(PurgeTarget::Object(OBJECT), COPY_AGE + 500 * MS),
            Step::LeaseExpired => self.feed.0.set(true),
            Step::CopyEvicted => self.director.handle_message(Message::CopyMemory(0)),
            Step::CopyExpired => self.advance_to(self.received_at + COPY_TIME_LEFT + MS),
            Step::WindowExpired => self.advance_to(self.received_at + WINDOW + WINDOW_TOLERANCE + MS),
            Step::NextTimer => {
                let next = self.director.next_timer().unwrap_or(self.now());
                self.advance_to(next.max(self.now()));
            }
        }
        self.process_output();
    }

    fn advance_to(&mut self, time: Micros) {
        while let Some(due) = self.director.next_timer().filter(|due| *due <= time) {
            self.time.set(due.max(self.now()));
            self.director.run_due_timers();
            self.process_output();
        }
        self.time.set(time.max(self.now()));
        self.director.run_due_timers();
    }

    fn list(&mut self, id: Option<MemberId>, change: impl Fn(&mut Member)) {
        let Some(id) = id else { return };
        let Some(member) = self.members.get_mut(&id) else { return };
        change(member);
        match member.lifecycle {
            Lifecycle::Ready => drop(self.not_ready_since.remove(&id)),
            _ => drop(self.not_ready_since.entry(id).or_insert(self.time.get())),
        }
        let members = vec![listed(member.clone())];
        self.director.handle_notification(Notification::Update(Update::Members { complete: false, members }));
    }

    fn purge(&mut self, what: PurgeTarget, age: Micros) {
        let at = self.now() - age;
        self.purges.push((self.now(), at));
        self.director
            .handle_notification(Notification::Update(Update::Purged { what, at: Stamp::from_micros(at) }));
    }

    fn write(&mut self, index: usize) {
        let sent = &self.sent[index];
        if !self.state.allows(&sent.attempt, sent.member) {
            return self.end_attempt(index, Ending::NeverSent);
        }
        if let Some(violation) = self.check_write(index) {
            self.record_violation(violation);
        }
        let now = self.now();
        self.sent[index].written = Some(now);
        self.sent[index].attempt.written.set(true);
    }

    /// Checks the rules for sending and repeating; returns the violation, if any.
    fn check_write(&self, index: usize) -> Option<&'static str> {
        let (now, sent) = (self.now(), &self.sent[index]);
        let others = || self.sent.iter().enumerate().filter(|(i, _)| *i != index).map(|(_, other)| other);
        let first_run = others().filter(|other| other.may_have_run()).min_by_key(|other| other.written);
        if self.closed || now >= self.deadline() {
            return Some("sent for a request that has its answer, whose client left or whose time is over");
        }
        if self.not_ready_since.get(&sent.member).is_some_and(|since| now > since + DRAIN_GRACE) {
            return Some("sent to a draining or gone member");
        }
        if others().filter(|other| other.written.is_some()).count() >= self.case.max_attempts {
            return Some("sent more often than the settings allow");
        }
        if !self.case.second_copies && others().any(Sent::is_in_flight) {
            return Some("two attempts out where one is allowed");
        }
        match (self.case.repeats, first_run) {
            (Repeats::Freely, _) | (_, None) => {}
            (Repeats::Never, Some(_)) => return Some("sent again what may have run and may run once"),
            (Repeats::InItsCell, Some(first)) if first.cell != sent.cell => {
                return Some("sent again outside the group of the first that may have run");
            }
            (Repeats::InItsCell, Some(first))
                if first.written.is_some_and(|at| now > at + WINDOW + WINDOW_TOLERANCE) =>
            {
                return Some("sent again after the window");
            }
            (Repeats::InItsCell, Some(_)) => {}
        }
        let limit = sent.attempt.options.max_age.unwrap_or(FRESH + STALE);
        let is_in_force =
            |(told, at): &(Micros, Micros)| now > told + PURGE_GRACE && now <= at + PURGE_COMPLETE;
        if !self.case.write
            && self.purges.iter().any(|p| is_in_force(p) && now.saturating_sub(limit) < p.1 - MS)
        {
            return Some("asked for a copy that is older than a purge");
        }
        (!self.case.write && self.feed.0.get() && limit > LEASE)
            .then_some("asked for copies that may be purged")
    }

    fn end_attempt(&mut self, index: usize, ending: Ending) {
        self.sent[index].ended = Some(ending);
        let mut end = self.end(index, ending.status());
        if ending == Ending::Served {
            end.body = Some(Bytes::from_static(CACHE_BODY));
        }
        self.director.handle_message(Message::Ended(end));
    }

    /// Processes the orders and answers that the director has given.
    fn process_output(&mut self) {
        for (member, mailbox) in &*self.mailboxes.borrow() {
            while let Ok(order) = mailbox.try_recv() {
                match order {
                    PeerMessage::Send(attempt) => {
                        let cell = self.members.get(member).map_or(0, |m| m.cell);
                        let (written, begun, ended, given_up) = (None, false, None, false);
                        let sent = Sent { attempt, member: *member, cell, written, begun, ended, given_up };
                        self.trace.push(format!("  attempt {} at member {}", self.sent.len(), member.0));
                        self.sent.push(sent);
                    }
                    PeerMessage::Abandon(attempt, _) => {
                        let is_this = |s: &&mut Sent| s.attempt.ticket == attempt.ticket;
                        self.sent.iter_mut().filter(is_this).for_each(|s| s.given_up = true);
                    }
                    _ => {}
                }
            }
        }
        let answers: Vec<Verdict> = self.client.answers.borrow()[self.answers_checked..].to_vec();
        self.answers_checked += answers.len();
        for verdict in answers {
            self.trace.push(format!(
                "  {} ms: answer {}",
                (self.now() - self.received_at) / MS,
                verdict.name()
            ));
            if let Some(violation) = self.check_answer(&verdict) {
                self.record_violation(violation);
            }
            self.closed = true;
        }
    }

    /// Checks the rules for final answers; returns the violation, if any.
    fn check_answer(&self, verdict: &Verdict) -> Option<&'static str> {
        let now = self.now();
        if self.closed {
            return Some("a second final answer, or one that nobody is owed");
        }
        if now > self.deadline() + ANSWER_GRACE {
            return Some("answered too late");
        }
        match verdict {
            Verdict::Refused(_) => {
                let may_have_run =
                    self.case.repeats != Repeats::Freely && self.sent.iter().any(Sent::may_have_run);
                may_have_run.then_some("refused what may have run")
            }
            Verdict::Served(body) if body == OWN_BODY => {
                let old = self.received_at - self.copy_stamp >= FRESH + STALE;
                let purged = self
                    .purges
                    .iter()
                    .any(|(told, at)| *told <= now.saturating_sub(PURGE_GRACE) && self.copy_stamp <= *at);
                let unconfirmed = self.feed.0.get() && now - self.copy_stamp >= LEASE;
                let violations = [
                    (self.case.write, "a write served from a copy"),
                    (old, "a copy that was too old when the request came"),
                    (purged, "a purged copy"),
                    (unconfirmed, "a copy that may be purged"),
                ];
                violations.into_iter().find(|(violated, _)| *violated).map(|(_, violation)| violation)
            }
            Verdict::Served(_) | Verdict::Streamed(_) => {
                let served = self.sent.iter().any(|s| s.ended == Some(Ending::Served));
                (!served).then_some("served what no cache answered")
            }
            Verdict::NotModified => Some("the client's copy is called current though no cache named it"),
            Verdict::Failed => None,
        }
    }

    fn record_violation(&mut self, violation: &str) {
        if self.violation.is_none() {
            self.violation = Some(format!("{violation}\n{:?}\n{}", self.case, self.trace.join("\n")));
        }
    }

    /// Lets the time pass until the request must have been answered. Returns the first violation, with the
    /// sequence of events.
    pub fn finish(mut self) -> Result<(), String> {
        let end = self.deadline() + ANSWER_GRACE;
        self.advance_to(end.max(self.now()));
        self.process_output();
        if !self.closed {
            self.record_violation("no final answer in its time");
        }
        // The module keeps its own history of the attempts, which must agree with the director's.
        if self.counters.refusals(RefusalReason::Unproven) > 0 {
            self.record_violation("the module would have refused what may have run");
        }
        self.violation.take().map_or(Ok(()), Err)
    }
}

fn member(id: u64, kind: usize, zone: usize, cell: u64) -> Member {
    let (lifecycle, weight, started) = (Lifecycle::Ready, 10.0, 0);
    Member { id: MemberId(id), lifecycle, zone, kind, cell, weight, started }
}

fn listed(member: Member) -> ListEntry {
    ListEntry { member, address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)) }
}

/// If the program panics, prints the sequence of events that led to it.
impl Drop for Simulation {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{:?}\n{}", self.case, self.trace.join("\n"));
        }
    }
}
