//! The actor that runs the decision module: it turns messages into events of the module and carries out the
//! module's actions. It owns the open requests, the attempts in flight and the timers. It also does what the
//! simulator does on its own side: it times attempts out, forwards the first good answer to the client, and
//! keeps events in order. It is independent of the wire formats.

mod answers;
mod attempts;
mod freshness;
mod own_copies;

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use bitternhold::{
    Action, Event, FillMode, Keep, Lifecycle, ListKind, Member, MemberId, Micros, Outcome, OwnCopy, Request,
    RequestId, Settings, Status,
};
use futures_lite::future;
use silverspindle_knowledge::Item;

use crate::clock::{self, Stamp};
use crate::copies::{Copies, Copy};
use crate::counters::{Counters, RefusalReason};
use crate::feed::{ListEntry, PurgeTarget, Update};
use crate::knowledge::Knowledge;
use crate::loop_monitor::{self, Backlog};
use crate::memory::{MemoryPool, process_memory};
use crate::skew::Skew;
use crate::traffic::{
    Attempt, AttemptEnd, AttemptHistory, Call, ClientHandle, FetchOptions, Message, Notification, Refusal,
    SafeToRetry, Shared, Verdict,
};
use crate::upstream::{Peer, PeerMessage};
use crate::withheld::Withheld;

/// Capacity of the director's mailbox, in messages.
pub const MAILBOX_CAPACITY: usize = 256;
/// Maximum number of messages handled in a row before the timers are checked again.
const MAX_MESSAGE_BATCH: usize = 64;
/// Delay after a request's deadline at which the director itself fails a request that the module has left
/// open, in microseconds. Normally the module gives the final answer when the attempts time out at the
/// deadline.
const FALLBACK_FAIL_DELAY: Micros = 5_000;

/// A request that has no final answer yet, or still has attempts in flight.
struct OpenRequest {
    call: Rc<Call>,
    received_at: Micros,
    client: Rc<dyn ClientHandle>,
    seq: i32,
    history: AttemptHistory,
    /// Tickets of its attempts in flight.
    in_flight: Vec<u64>,
    /// The router's own copy that was offered to the module for this request.
    own_copy: Option<Rc<Copy>>,
    /// An answer has begun to arrive: for the module the request is finished.
    begun: bool,
    /// Number of attempts before the module was asked for the request, if that was not the first time.
    earlier_attempts: u32,
    closed: bool,
}

/// An attempt in flight.
struct InFlight {
    id: RequestId,
    number: u32,
    member: MemberId,
    /// Mailbox of the peer actor that holds the attempt. By the time the attempt is given up, another actor
    /// may serve the member's id.
    peer: Sender<PeerMessage>,
    sent_at: Micros,
    attempt: Rc<Attempt>,
    /// Its answer has begun to arrive and waits for memory. The module has its outcome.
    begun: bool,
}

impl InFlight {
    /// The attempt's outcome for the module. `closed`: the request is finished.
    fn outcome(&self, now: Micros, closed: bool, end: &AttemptEnd) -> Outcome {
        Outcome {
            id: self.id,
            attempt: self.number,
            member: self.member,
            status: end.status,
            elapsed: now.saturating_sub(self.sent_at),
            closed,
            note: end.note,
            fill_time: end.waited,
            load: end.load,
        }
    }
}

/// What a timer is for.
#[derive(Clone, Copy)]
enum TimerKind {
    /// A timer that the module set, with its token.
    Module(u64),
    /// The timeout of the attempt with this ticket.
    Attempt(u64),
    /// The fallback that fails a request left open after its deadline.
    Request(RequestId),
}

/// Retry delay advised with a refusal that the module did not decide, in milliseconds: what the agreed rules
/// refuse now may be allowed again later.
const DEFAULT_RETRY_DELAY_MS: u64 = 1000;

/// Minimum interval between two looks at the memory of the process, in microseconds.
const MEMORY_CHECK_INTERVAL: Micros = 50_000;

/// Number of requests that have no final answer yet.
pub type PendingAnswers = Cell<usize>;

/// The actor that runs the decision module.
pub struct Director {
    module: bitternhold::Director,
    settings: Settings,
    shared: Rc<Shared>,
    pending_answers: Rc<PendingAnswers>,
    /// Mailboxes of the peer actors by member.
    peers: HashMap<MemberId, Sender<PeerMessage>>,
    requests: HashMap<RequestId, OpenRequest>,
    /// Open requests by client connection and sequence number.
    by_client: BTreeMap<(u64, i32), RequestId>,
    /// Attempts in flight by ticket.
    attempts: HashMap<u64, InFlight>,
    /// Timers by due time, with a number that makes the key unique.
    timers: BTreeMap<(Micros, u64), TimerKind>,
    /// Events for the module that arose while its actions were carried out.
    backlog: VecDeque<Event>,
    actions: Vec<Action>,
    /// The router's own copies.
    copies: Copies,
    /// The memory that own copies share with all else; `None` if they have theirs for themselves.
    memory: Option<Rc<MemoryPool>>,
    /// When the memory of the process is looked at next.
    memory_check_at: Micros,
    /// Error of this machine's wall clock, estimated from the time stamps of copies.
    skew: Skew,
    /// What this router shares with other routers and has learnt from them; `None` if that is turned off.
    knowledge: Option<Knowledge>,
    /// Members that the routers have agreed not to use, and agreed weights.
    withheld: Withheld,
    /// When the module was last told that the feed's lease has run out, on the steady clock.
    stale_reported_at: Option<Micros>,
    counters: Rc<Counters>,
    start_peer: StartPeer,
    /// Last number given to a request, an attempt, a timer or an address of a peer.
    last_number: u64,
}

/// Starts the actor of the member at this address and returns its mailbox.
type StartPeer = Box<dyn Fn(MemberId, SocketAddr) -> Sender<PeerMessage>>;

impl Director {
    /// Creates a director whose module uses this random seed.
    pub fn new(seed: u64, shared: Rc<Shared>, pending_answers: Rc<PendingAnswers>, copies: Copies) -> Self {
        let settings = shared.site.settings.clone();
        let for_peers = shared.clone();
        Self {
            start_peer: Box::new(move |id, address| Peer::start(id, address, &for_peers)),
            module: bitternhold::Director::new(seed, settings.clone()),
            settings,
            shared,
            pending_answers,
            peers: HashMap::new(),
            requests: HashMap::new(),
            by_client: BTreeMap::new(),
            attempts: HashMap::new(),
            timers: BTreeMap::new(),
            backlog: VecDeque::new(),
            actions: Vec::new(),
            copies,
            memory: None,
            memory_check_at: 0,
            skew: Skew::default(),
            knowledge: None,
            withheld: Withheld::default(),
            stale_reported_at: None,
            counters: Rc::default(),
            last_number: 0,
        }
    }

    /// Sets the store of knowledge that is exchanged with other routers.
    pub fn with_knowledge(mut self, knowledge: Option<Knowledge>) -> Self {
        self.knowledge = knowledge;
        self
    }

    /// Counts answers, refusals, retries and lost own copies in these counters.
    pub fn set_counters(&mut self, counters: Rc<Counters>) {
        self.counters = counters;
    }

    /// Sets the memory that own copies share with all else.
    pub fn set_memory_pool(&mut self, memory: Rc<MemoryPool>) {
        self.memory = Some(memory);
    }

    /// Evicts own copies as far as other uses need their memory, and leaves the rest to answers of caches.
    fn balance_memory(&mut self) {
        let now = clock::now();
        if let Some(memory) = &self.memory {
            if now >= self.memory_check_at {
                self.memory_check_at = now + MEMORY_CHECK_INTERVAL;
                process_memory().iter().for_each(|bytes| memory.observe(*bytes, self.copies.memory_used()));
            }
            self.copies.set_memory_available(memory.available_to_copies());
            memory.limit_answers(self.copies.memory_used());
        }
    }

    /// Replaces the function that starts members' actors. The default is [`Peer::start`].
    pub fn set_peer_starter(
        &mut self,
        start: impl Fn(MemberId, SocketAddr) -> Sender<PeerMessage> + 'static,
    ) {
        self.start_peer = Box::new(start);
    }

    fn now(&self) -> Micros {
        self.shared.state.clock().now()
    }

    /// Merges items received from another router. Purges and drains take effect at once; the rest becomes
    /// priors of the module.
    pub fn import_knowledge(&mut self, transit: Micros, items: Vec<Item>) {
        let Some(learnt) = self.knowledge.as_mut().map(|k| k.take(transit, items)) else { return };
        if learnt.refused > 0 {
            tracing::warn!("{} items from another router are out of range and were dropped", learnt.refused);
        }
        learnt.purges.into_iter().for_each(|(what, at)| self.apply_purge(what, at));
        self.apply_router_reports();
        self.handle_event(Event::Inherited(learnt.inherited));
    }

    /// Applies what other routers report of members where that outranks the own list, and the own list again
    /// where it no longer does.
    fn apply_router_reports(&mut self) {
        let mut changed = self.knowledge.as_mut().map_or_else(Vec::new, Knowledge::review);
        self.withheld.apply_list(false, &mut changed);
        self.apply_changes(changed);
    }

    /// Applies changed list entries: to the peer actors and to the module.
    fn apply_changes(&mut self, changed: Vec<ListEntry>) {
        if changed.is_empty() {
            return;
        }
        for m in &changed {
            let id = m.member.id;
            tracing::info!(
                member = %format_member(id),
                "acts by {:?}, started {}",
                m.member.lifecycle,
                m.member.started
            );
            self.apply_entry(m);
        }
        let members = changed.into_iter().map(|m| m.member).collect();
        self.handle_event(Event::Members { kind: ListKind::Delta, members });
    }

    /// Runs until both mailboxes are closed. Feed updates are handled before everything else that is pending:
    /// a purge or a drain must not queue behind requests that would otherwise be sent without regard to it.
    pub async fn run(mut self, notifications: Receiver<Notification>, mailbox: Receiver<Message>) {
        loop {
            let next_due = self.next_timer();
            let timer = async {
                match next_due {
                    Some(at) => clock::timer_at(at).await,
                    None => Timer::never().await,
                };
                Some(NextInput::TimersDue)
            };
            let notification = async { notifications.recv().await.ok().map(NextInput::Notification) };
            let message =
                async { mailbox.recv().await.ok().map(|message| NextInput::Message(Box::new(message))) };
            let input = future::or(notification, future::or(message, timer)).await;
            let backlog = Backlog::of_handler();
            if backlog.is_some() {
                // What came during a delay is decided on only now: an answer goes before the timeout that passed meanwhile.
                loop_monitor::all_read().await;
            }
            match input {
                Some(NextInput::Notification(notification)) => self.handle_notification(notification),
                Some(NextInput::Message(message)) => {
                    self.handle_pending(&notifications);
                    self.handle_message(*message);
                }
                Some(NextInput::TimersDue) => {}
                None => return,
            }
            let mut remaining = if backlog.is_some() { MAILBOX_CAPACITY } else { MAX_MESSAGE_BATCH };
            loop {
                self.handle_pending(&notifications);
                let Some(message) = (remaining > 0).then(|| mailbox.try_recv().ok()).flatten() else { break };
                remaining -= 1;
                self.handle_message(message);
            }
            self.run_due_timers();
            self.balance_memory();
        }
    }

    /// Handles the feed updates that are pending.
    fn handle_pending(&mut self, notifications: &Receiver<Notification>) {
        while let Ok(notification) = notifications.try_recv() {
            self.handle_notification(notification);
        }
    }

    /// Handles an event of the coordinator. `whole` is the kind under which a complete list is passed to the
    /// module: read back from disk at the start, or received.
    pub fn handle_update(&mut self, update: Update, whole: ListKind) {
        match update {
            Update::UpToDate => {
                self.knowledge.iter_mut().for_each(Knowledge::heard);
                self.apply_router_reports();
            }
            Update::Members { complete, mut members } => {
                let entries: Vec<Member> = members.iter().map(|m| m.member.clone()).collect();
                self.shared.state.update_members(complete, &entries);
                self.knowledge.iter_mut().for_each(|k| k.listed(complete, &members));
                if complete {
                    let listed: Vec<MemberId> = members.iter().map(|m| m.member.id).collect();
                    let absent: Vec<MemberId> =
                        self.peers.keys().filter(|id| !listed.contains(id)).copied().collect();
                    absent.into_iter().for_each(|id| self.retire_member(id));
                }
                self.withheld.apply_list(complete, &mut members);
                members.iter().for_each(|m| self.apply_entry(m));
                let members: Vec<Member> = members.into_iter().map(|m| m.member).collect();
                tracing::debug!(complete, "list: {} entries", members.len());
                self.handle_event(Event::Members {
                    kind: if complete { whole } else { ListKind::Delta },
                    members,
                });
                self.apply_router_reports();
            }
            Update::Purged { what, at } => {
                self.knowledge.iter_mut().for_each(|k| k.purged(what, at));
                self.apply_purge(what, at);
            }
        }
    }

    /// Applies a purge to the own copies and the attempts not yet written, and passes it to the module.
    fn apply_purge(&mut self, what: PurgeTarget, at: Stamp) {
        let now = self.now();
        let retention = self.settings.purge_complete_within + self.settings.purge_grace;
        self.shared.state.record_purge(now, what, retention);
        self.copies.purge(now, what, at);
        self.release_purged_copies(what, at);
        let (object, group) = match what {
            PurgeTarget::Object(key) => (Some(format!("{key:016x}")), 0),
            PurgeTarget::Group(group) => (None, group),
        };
        self.handle_event(Event::Purged { object, group, age: self.skew.purge_age(now, at) });
    }

    /// Retires the actor of a member that is gone.
    fn retire_member(&mut self, id: MemberId) {
        self.shared.state.set_ready(id, false);
        if let Some(peer) = self.peers.remove(&id) {
            self.send_to_peer(&peer, PeerMessage::Retire);
        }
    }

    /// Applies a list entry: starts, updates or retires the member's actor.
    fn apply_entry(&mut self, m: &ListEntry) {
        let id = m.member.id;
        if m.member.lifecycle == Lifecycle::Gone {
            return self.retire_member(id);
        }
        self.shared.state.set_ready(id, m.member.lifecycle == Lifecycle::Ready);
        match self.peers.get(&id).cloned() {
            Some(peer) => {
                self.last_number += 1;
                self.send_to_peer(&peer, PeerMessage::Address(m.address, self.last_number));
            }
            None => drop(self.peers.insert(id, (self.start_peer)(id, m.address))),
        }
    }

    /// Sends a message that must not be lost to a peer actor, even if the mailbox is full.
    fn send_to_peer(&self, peer: &Sender<PeerMessage>, message: PeerMessage) {
        if let Err(async_channel::TrySendError::Full(message)) = peer.try_send(message) {
            let peer = peer.clone();
            self.shared.tasks.spawn(async move { drop(peer.send(message).await) }).detach();
        }
    }

    /// Handles a message.
    pub fn handle_message(&mut self, message: Message) {
        match message {
            Message::Request { client, seq, call } => self.handle_request(client, seq, call),
            Message::Forget { client, seq } => {
                if let Some(id) = self.by_client.get(&(client, seq)).copied() {
                    self.client_left(id);
                }
            }
            Message::Disconnected { client } => {
                self.open_requests_of(client).into_iter().for_each(|id| self.client_left(id))
            }
            Message::GiveUp { client } => {
                self.open_requests_of(client).into_iter().for_each(|id| self.give_up(id))
            }
            Message::AnswerBegun(end) => self.answer_begun(end),
            Message::Ended(end) => self.attempt_ended(end),
            Message::ExportKnowledge { reply } => {
                let report = self.module.report(self.now());
                let items = self.knowledge.as_mut().map_or_else(Vec::new, |k| k.give(report));
                let _ = reply.try_send(items);
            }
            Message::ImportKnowledge { transit, items } => self.import_knowledge(transit, items),
            Message::HalfLives(half_lives) => {
                self.knowledge.iter_mut().for_each(|k| k.reload(half_lives));
            }
            Message::Withheld(members) => {
                let changed = self.withheld.set_withheld(members);
                self.apply_changes(changed);
            }
            Message::CopyMemory(bytes) => self.copies.set_memory_limit(bytes),
            Message::MemoryShort => self.balance_memory(),
            Message::Weights(weights) => {
                let changed = self.withheld.set_weights(weights);
                self.apply_changes(changed);
            }
            Message::PublishLimits => {
                let members = self.module.members_report(self.now());
                let limits = members.into_iter().map(|m| (m.id, (m.limit, m.quarantine > 0)));
                *self.shared.state.limits() = limits.collect();
            }
            Message::Probed { member, status, elapsed, load } => {
                self.handle_event(Event::Probed { member, status, elapsed, load });
            }
        }
    }

    /// Handles a request: refuses it if the agreed rules say so, otherwise passes it to the module.
    fn handle_request(&mut self, client: Rc<dyn ClientHandle>, seq: i32, call: Call) {
        // A sequence number that is already open can't be answered twice: the later request fails.
        if self.by_client.contains_key(&(client.id(), seq)) {
            tracing::warn!(
                client = client.id(),
                rid = call.rid,
                "sequence number {seq} is already in use by an open request"
            );
            return client.answer(seq, Verdict::Failed);
        }
        if self.shared.state.refuses(call.class, call.group) {
            self.counters.refused(RefusalReason::Agreed);
            let refusal = Refusal::new(SafeToRetry::unsent(call), &self.settings, DEFAULT_RETRY_DELAY_MS);
            return client.answer(seq, Verdict::Refused(refusal));
        }
        self.last_number += 1;
        let id = RequestId(u128::from(self.last_number));
        let call = Rc::new(call);
        let history = AttemptHistory::new(self.settings.classes.get(call.class));
        let open = OpenRequest {
            call,
            received_at: self.now(),
            client,
            seq,
            history,
            in_flight: Vec::new(),
            own_copy: None,
            begun: false,
            earlier_attempts: 0,
            closed: false,
        };
        self.pending_answers.set(self.pending_answers.get() + 1);
        self.ask_module(id, open);
    }

    /// Passes an open request to the module under this id, with the router's own copy if there is one.
    fn ask_module(&mut self, id: RequestId, mut open: OpenRequest) {
        let (now, call) = (self.now(), open.call.clone());
        let copy = self.offered_copy(now, &call);
        let own_copy = copy.as_ref().map(|copy| OwnCopy {
            age: self.skew.copy_age(now, copy.stamp),
            since_cache_hit: now.saturating_sub(copy.confirmed_at()),
            delivery_time: self.copies.transfer_time(now, copy.bytes(call.holds(&copy.tag))),
        });
        open.own_copy = copy;
        self.by_client.insert((open.client.id(), open.seq), id);
        self.requests.insert(id, open);
        self.set_timer(call.deadline + FALLBACK_FAIL_DELAY, TimerKind::Request(id));
        self.handle_event(Event::Request(Request {
            own_copy,
            id,
            class: call.class,
            object: call.object.to_ascii_lowercase(),
            part: call.part,
            group: call.group,
            size_kb: call.size_kb,
            write: self.settings.classes.get(call.class).is_some_and(|c| c.write),
            valid_until: call.deadline,
        }));
    }

    /// The open requests of a client's connection.
    fn open_requests_of(&self, client: u64) -> Vec<RequestId> {
        self.by_client.range((client, i32::MIN)..=(client, i32::MAX)).map(|(_, id)| *id).collect()
    }

    /// Sets a timer.
    fn set_timer(&mut self, at: Micros, kind: TimerKind) {
        self.last_number += 1;
        self.timers.insert((at, self.last_number), kind);
    }

    /// Returns when the next timer is due.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.keys().next().map(|(at, _)| *at)
    }

    /// Runs the timers that are due.
    pub fn run_due_timers(&mut self) {
        let now = self.now();
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                TimerKind::Module(token) => self.handle_event(Event::Timer { token }),
                TimerKind::Attempt(ticket) => self.attempt_overdue(ticket),
                TimerKind::Request(id) => {
                    let left_open = self.requests.get(&id).filter(|open| !open.closed);
                    if let Some(open) = left_open.filter(|open| !open.begun) {
                        tracing::warn!(rid = open.call.rid, "no answer from the module at the deadline");
                        self.answer(id, Verdict::Failed);
                        self.handle_event(Event::ClientGone { id });
                    }
                }
            }
        }
    }

    /// Passes an event to the module and carries out its actions. Events that arise from the actions are
    /// passed to the module in turn.
    fn handle_event(&mut self, event: Event) {
        self.report_stale_feed();
        self.backlog.push_back(event);
        while let Some(event) = self.backlog.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.handle(self.now(), event, &mut actions);
            actions.drain(..).for_each(|action| self.perform(action));
            self.actions = actions;
        }
    }

    /// Carries out an action of the module.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Lookup { id, member, until } => {
                let (keep, mode) = (Keep::Pass, FillMode::default());
                self.send_attempt(
                    id,
                    member,
                    until,
                    FetchOptions { source: None, keep, max_age: None, mode },
                );
            }
            Action::Fetch { id, member, until, source, keep, max_age, mode } => {
                let source = (source != member).then_some(source);
                self.send_attempt(id, member, until, FetchOptions { source, keep, max_age, mode });
            }
            Action::Cancel { id, attempt } => {
                let tickets = self.requests.get(&id).map(|open| open.in_flight.clone()).unwrap_or_default();
                let is_this = |t: &u64| self.attempts.get(t).is_some_and(|o| o.number == attempt);
                if let Some(ticket) = tickets.into_iter().find(is_this) {
                    self.end_attempt(ticket, Status::Cancelled);
                }
            }
            Action::Refuse { id, wait } => self.refuse(id, wait),
            Action::Own { id } => {
                // That the copy is lost does not prove that no attempt has run, so the request is not refused
                // here: the module decides again without the copy.
                let served = self.serve_own_copy(id);
                self.backlog.push_back(Event::OwnCopyResult { id, served });
            }
            Action::Fail { id } => self.answer(id, Verdict::Failed),
            Action::Timer { delay, token } => self.set_timer(self.now() + delay, TimerKind::Module(token)),
            Action::Probe { member } => {
                let sent = self.peers.get(&member).is_some_and(|p| p.try_send(PeerMessage::Probe).is_ok());
                if !sent {
                    let (status, elapsed, load) = (Status::ConnectFailed, 0, None);
                    self.backlog.push_back(Event::Probed { member, status, elapsed, load });
                }
            }
            // Nothing to do: the feed is followed all the time.
            Action::Watch | Action::FetchList => {}
            Action::Log(text) => tracing::info!("module: {text}"),
        }
    }
}

/// Formats a member's id as the coordinator and the caches write it.
fn format_member(id: MemberId) -> String {
    format!("s-{:08x}", id.0)
}

/// What the run loop handles next.
enum NextInput {
    Notification(Notification),
    Message(Box<Message>),
    TimersDue,
}
