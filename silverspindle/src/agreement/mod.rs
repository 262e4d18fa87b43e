//! What routers agree on, on sockets: the core of `silverspindle-agreement` between the exchange's connections and an
//! elector's disk. Off unless the operators' file names electors.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender, TrySendError};
use async_executor::LocalExecutor;
use async_io::Timer;
use bitternhold::{MemberId, Micros, Note};
use futures_lite::future;
use silverspindle_agreement::{
    Action, Change, Disk, Event, Fence, Frame, Guards, MOST_FRAME, Node, Proposal, ProposalId, Refusal,
    Reply, Terms, Verdict, bounds,
};
use silverspindle_conf::Agreement as Conf;
use silverspindle_conf::HalfLives;
use silverspindle_knowledge::{InstanceId, Source};
use silverspindle_work::SIGHT;

pub mod links;
pub mod orders;
pub mod records;
pub mod rules;
pub mod staff;
pub mod store;

use links::Link;
use orders::Orders;
pub use orders::Yard;
use records::Records;
use rules::Acting;
pub use store::Fault;
use store::{Store, draw};

use crate::guards::is_disabled;
use crate::links::Connector;
use crate::steady::{MAX_CLOCK_DRIFT_PPM, steady_now};
use crate::traffic::{AgreedRules, Attempt, Members, Message};

/// Whoever leads answers by this topic with what it waits for with versions.
pub const RULES_SIGHT: &str = "rules/sight";
/// Frames that may wait at the core, and on a connection; what is over is lost, as on a bad network.
const INBOX: usize = 1024;
const OUTBOX: usize = 64;
/// Connections of callers with one name: staff's commands at a time.
const OF_ONE_NAME: usize = 16;
/// A proposal is tried for so many stated times before its maker hears that its outcome is not known.
const PATIENCE: Micros = 3;
/// Its own joining is proposed again after so long.
const JOIN_AGAIN: Duration = Duration::from_secs(1);
const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// So often it is looked whether an older process has let the disk go.
const HELD_AGAIN: Duration = Duration::from_millis(200);

/// All on. Only a debug build, for the tests of the checker, lets one be taken out.
fn guards() -> Guards {
    Guards { fence: !is_disabled("fence"), quorum: !is_disabled("quorum"), dedupe: !is_disabled("dedupe") }
}

/// For the tests of kills: a debug build dies at the write that it is told, `before N` or `after N`.
fn die_at(write: u64, when: &str) {
    if cfg!(debug_assertions)
        && std::env::var("SILVERSPINDLE_DIE_AT").is_ok_and(|at| at == format!("{when} {write}"))
    {
        let _ = rustix::process::kill_process(rustix::process::getpid(), rustix::process::Signal::KILL);
    }
}

/// How often whoever goes by an agreed text looks at it.
const LOOK: Micros = 100_000;
/// A step that it proposed is waited for so long before it looks again.
const SETTLES: Micros = 1_000_000;
/// What is waited for is said at most so often.
const SAY_EVERY: Micros = 5_000_000;

/// Descriptors that it may take: callers, links to electors, the disk.
pub fn descriptors(conf: &Conf) -> usize {
    conf.max_callers + conf.electors.len() + crate::knowledge::exchange::AT_THE_DOOR_AGREED + 2
}

enum Input {
    Heard { from: String, frame: Frame },
    Propose { proposal: Proposal, reply: Sender<Reply> },
}

/// What the director hears of by orders and by rules: members that are not to be used by either, together, and what
/// rules say of weights and half-lives. What it has no room for now is said again, the latest of each alone.
#[derive(Clone)]
pub struct Withholds {
    director: Sender<Message>,
    by: Rc<RefCell<[BTreeSet<MemberId>; 2]>>,
    untold: Rc<RefCell<[Option<Message>; 3]>>,
}

impl Withholds {
    fn new(director: Sender<Message>) -> Self {
        Self { director, by: Rc::default(), untold: Rc::default() }
    }

    fn set(&self, which: usize, members: BTreeSet<MemberId>) {
        self.by.borrow_mut()[which] = members;
        let all = self.by.borrow().iter().flatten().copied().collect();
        self.say(0, Message::Withheld(all));
    }

    /// Out for work.
    pub fn out(&self, members: BTreeSet<MemberId>) {
        self.set(0, members);
    }

    /// Denied.
    pub fn denied(&self, members: BTreeSet<MemberId>) {
        self.set(1, members);
    }

    fn say(&self, kind: usize, message: Message) {
        self.untold.borrow_mut()[kind] = Some(message);
        self.go_on();
    }

    /// Says what there was no room for.
    fn go_on(&self) {
        for slot in self.untold.borrow_mut().iter_mut() {
            let Some(message) = slot.take() else { continue };
            if let Err(TrySendError::Full(message)) = self.director.try_send(message) {
                *slot = Some(message);
            }
        }
    }
}

/// When whoever goes by an agreed text looks at it, and what it proposes of its own as it leads.
#[derive(Debug)]
pub struct Leading {
    me: Source,
    name: String,
    /// Tells the proposals of one text from those of another.
    bit: u32,
    proposed: u64,
    due: Micros,
    said: Micros,
}

impl Leading {
    fn new(me: Source, name: &str, bit: u32) -> Self {
        Self { me, name: name.to_owned(), bit, proposed: 0, due: 0, said: 0 }
    }

    /// Whether it is time to look, or the text has changed; then it looks again a while later.
    fn is_due(&mut self, now: Micros, changed: bool) -> bool {
        let due = now >= self.due || changed;
        if due {
            self.due = now + LOOK;
        }
        due
    }

    /// What is waited for is said now and then.
    fn may_say(&mut self, now: Micros) -> bool {
        let may = now >= self.said + SAY_EVERY;
        if may {
            self.said = now;
        }
        may
    }

    /// A step of its own, which is waited for before the next: its outcome shows as the text's change.
    fn propose(&mut self, now: Micros, node: &Node, topic: &str, body: Vec<u8>) -> Proposal {
        self.due = now + SETTLES;
        self.proposed += 1;
        let id = ProposalId(self.me.instance.0 ^ self.me.incarnation, 1 << self.bit | self.proposed);
        let change = Change::Note { topic: topic.to_owned(), body };
        Proposal { id, builds_on: node.fleet().number, by: self.name.clone(), change }
    }
}

/// What a router tells of itself by its orders and by its rules, in one.
fn told(orders: &[u8], rules: &[u8]) -> Vec<u8> {
    match orders.is_empty() && rules.is_empty() {
        true => Vec::new(),
        false => postcard::to_stdvec(&(orders, rules)).unwrap_or_default(),
    }
}

/// Reports by what they are about, by router.
type Reports = [BTreeMap<String, Vec<u8>>; 2];

fn reports(node: &Node) -> Reports {
    let mut all = Reports::default();
    if node.role() == silverspindle_agreement::Role::Leader {
        for (name, bytes) in node.reports() {
            let Ok((orders, rules)) = postcard::from_bytes::<(&[u8], &[u8])>(bytes) else { continue };
            all[0].insert(name.to_owned(), orders.to_vec());
            all[1].insert(name.to_owned(), rules.to_vec());
        }
    }
    all
}

/// Callers' connections by name, each with its number.
type Callers = BTreeMap<String, Vec<(u64, Sender<Frame>)>>;

/// The way to the core, for the exchange and for who proposes; clones are the same.
#[derive(Clone)]
pub struct Handle {
    inbox: Sender<Input>,
    callers: Rc<RefCell<Callers>>,
    calls: Rc<Cell<u64>>,
    most: usize,
    /// Names of the electors, whose frames may be long.
    electors: Rc<BTreeSet<String>>,
    /// The life under which it is on the roll.
    life: Rc<Cell<Option<u64>>>,
    /// The guard that whoever acts asks.
    pub fence: Fence,
    /// Machines in orders, where those are on.
    orders: Option<Rc<Orders>>,
    /// Versions of rules, where those are on.
    rules: Option<Rc<Acting>>,
    /// Its acts' records, where they are written.
    pub records: Option<Rc<Records>>,
}

/// A caller's connection; taken off the list when dropped.
pub struct Caller {
    handle: Handle,
    name: String,
    number: u64,
    /// What goes to it.
    pub frames: Receiver<Frame>,
    /// What comes from it is no longer.
    pub longest_frame: usize,
}

impl Drop for Caller {
    fn drop(&mut self) {
        let mut callers = self.handle.callers.borrow_mut();
        if let Some(all) = callers.get_mut(&self.name) {
            all.retain(|(number, _)| *number != self.number);
            if all.is_empty() {
                callers.remove(&self.name);
            }
        }
    }
}

impl Handle {
    /// A connection of the peer with this name in its certificate. Of too many under one name the oldest ends:
    /// its peer has most likely given it up. None: there are too many of all names.
    pub fn caller(&self, name: &str) -> Option<Caller> {
        let mut callers = self.callers.borrow_mut();
        if callers.values().map(Vec::len).sum::<usize>() >= self.most {
            return None;
        }
        let (send, frames) = async_channel::bounded(OUTBOX);
        self.calls.set(self.calls.get() + 1);
        let all = callers.entry(name.to_owned()).or_default();
        if all.len() >= OF_ONE_NAME {
            all.remove(0);
        }
        all.push((self.calls.get(), send));
        drop(callers);
        let number = self.calls.get();
        let longest_frame = match self.electors.contains(name) {
            true => MOST_FRAME,
            false => bounds::CALLER_FRAME,
        };
        Some(Caller { handle: self.clone(), name: name.to_owned(), number, frames, longest_frame })
    }

    /// A frame of a peer. Lost where too many wait.
    pub fn heard(&self, from: &str, frame: Frame) {
        let _ = self.inbox.try_send(Input::Heard { from: from.to_owned(), frame });
    }

    /// Proposes a change of this router's own; none: its outcome is not known.
    pub async fn propose(&self, proposal: Proposal) -> Reply {
        let (reply, outcome) = async_channel::bounded(1);
        self.inbox.send(Input::Propose { proposal, reply }).await.ok()?;
        outcome.recv().await.ok().flatten()
    }

    fn act(&self) {
        if let Some(records) = &self.records {
            records.act(&self.fence, self.rules.as_ref().map(|rules| rules.of()));
        }
    }

    /// Half-lives as they hold over the operators' file's.
    pub fn half_lives(&self, own: HalfLives) -> HalfLives {
        self.rules.as_ref().map_or(own, |rules| rules.half_lives(own))
    }
}

impl AgreedRules for Handle {
    /// What it is done on goes to the records.
    fn allows(&self, attempt: &Attempt, to: MemberId, members: &Members) -> bool {
        let source = attempt.options.source;
        let allows = self.orders.as_ref().is_none_or(|orders| {
            // Alone, with a confirmation that has run out, it takes nothing new: others may have gone on. Unless staff
            // will have it hold all work up instead.
            (orders.holds && !self.fence.is_stopped() || self.fence.may_act(steady_now()).is_some())
                && orders.allow(to)
                && source.is_none_or(|s| orders.allow(s))
        });
        // Last, as it takes of the router's shares.
        let allows = allows && self.rules.as_ref().is_none_or(|rules| rules.allows(attempt, to, members));
        if allows {
            self.act();
        }
        allows
    }

    fn attempt_ended(&self, attempt: &Attempt, note: Option<Note>) {
        if let Some(rules) = &self.rules {
            rules.over(attempt, note);
        }
    }

    fn refuses(&self, class: usize, group: u64) -> bool {
        self.rules.as_ref().is_some_and(|rules| rules.refuses(class, group))
    }

    fn answered(&self, in_time: bool) {
        if let Some(rules) = &self.rules {
            rules.answered(in_time);
        }
    }

    fn rules_version(&self) -> Option<String> {
        Some(self.rules.as_ref()?.of().0.to_string())
    }
}

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "agreement at {:?}", self.fence.latest())
    }
}

/// The actor round the core.
pub struct Actor {
    node: Node,
    store: Option<Store>,
    inbox: Receiver<Input>,
    handle: Handle,
    electors: BTreeMap<String, SocketAddr>,
    links: HashMap<String, Link>,
    connector: Connector,
    tasks: Rc<LocalExecutor<'static>>,
    waiting: HashMap<u64, Sender<Reply>>,
    tokens: u64,
    out: Vec<Action>,
    said: Option<(silverspindle_agreement::Role, Option<String>)>,
    lease: Micros,
    lead: Option<orders::Lead>,
    rules: Option<rules::Lead>,
    yard: Yard,
    withholds: Withholds,
    /// Its guard is the one that acts: only then does it tell what it acts on, and lead.
    active: Rc<Cell<bool>>,
    /// Writes to the disk so far.
    writes: u64,
}

impl Actor {
    /// Reads the disk where this router is named as an elector. A disk that can't be used takes the router out of
    /// what is agreed, with the reason as error: it serves on by itself. `follows`: without its disk, which an older
    /// process has.
    pub fn new(
        conf: &Conf,
        me: Source,
        name: &str,
        connector: Connector,
        tasks: &Rc<LocalExecutor<'static>>,
        yard: &Yard,
        follows: bool,
    ) -> Result<Self, Fault> {
        let named = !follows && conf.electors.iter().any(|(elector, _)| elector == name);
        let (store, disk): (Option<Store>, Option<Disk>) = match (&conf.directory, named) {
            (Some(directory), true) => {
                let (store, disk) = Store::open(directory, name)?;
                (Some(store), Some(disk))
            }
            (None, true) => return Err(Fault::Disk("agree-directory: is missing".to_owned())),
            (_, false) => (None, None),
        };
        let terms = Terms {
            name: name.to_owned(),
            life: me.incarnation,
            electors: conf.electors.iter().map(|(name, _)| name.clone()).collect(),
            operators: conf.operators.clone(),
            lease: conf.lease,
            drift_ppm: MAX_CLOCK_DRIFT_PPM,
            patience: PATIENCE * conf.lease,
            seed: draw().map_err(Fault::Disk)?,
            guards: guards(),
        };
        let node = Node::new(terms, disk, steady_now());
        let (send, inbox) = async_channel::bounded(INBOX);
        let records = conf.records_file.as_ref().map(|path| Records::open(path, name, me.incarnation));
        let records = records.transpose().map_err(Fault::Disk)?;
        let life = Rc::new(Cell::new(None));
        let withholds = Withholds::new(yard.director.clone());
        let clock = (conf.lease, MAX_CLOCK_DRIFT_PPM);
        let (acting, rules) = match &conf.rules {
            Some(terms) => {
                let (settings, classes) = (yard.settings.clone(), yard.classes.clone());
                let acting = Acting::new(node.fence().clone(), settings, classes, terms.half_lives);
                let acting = Rc::new(acting);
                let (least, lines) = (terms.min_fills, terms.lines.clone());
                let who = (me, name);
                let (own, all) = (life.clone(), withholds.clone());
                let lead = rules::Lead::new(clock, who, own, acting.clone(), all, least, lines);
                (Some(acting), Some(lead))
            }
            None => (None, None),
        };
        let (orders, lead) = match conf.work {
            Some(terms) => {
                let orders = Rc::new(Orders::new(terms.hold));
                let (yard, own) = (yard.clone(), life.clone());
                let lead =
                    orders::Lead::new(terms, clock, (me, name), yard, orders.clone(), own, withholds.clone());
                (Some(orders), Some(lead))
            }
            None => (None, None),
        };
        let handle = Handle {
            orders,
            rules: acting,
            inbox: send,
            callers: Rc::default(),
            calls: Rc::default(),
            most: conf.max_callers,
            electors: Rc::new(conf.electors.iter().map(|(name, _)| name.clone()).collect()),
            life,
            fence: node.fence().clone(),
            records: records.map(Rc::new),
        };
        Ok(Self {
            node,
            store,
            inbox,
            handle,
            electors: conf.electors.iter().cloned().collect(),
            links: HashMap::new(),
            connector,
            tasks: tasks.clone(),
            waiting: HashMap::new(),
            tokens: 0,
            out: Vec::new(),
            said: None,
            lease: conf.lease,
            lead,
            rules,
            yard: yard.clone(),
            withholds,
            active: Rc::new(Cell::new(true)),
            writes: 0,
        })
    }

    /// The way to it.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Runs until the disk fails; the confirmation runs out then, and nothing agreed is acted on any more.
    pub async fn run(mut self) {
        loop {
            let due = self
                .node
                .due()
                .min(self.lead.as_ref().map_or(u64::MAX, |lead| lead.leading.due))
                .min(self.rules.as_ref().map_or(u64::MAX, |lead| lead.leading.due))
                .saturating_sub(steady_now());
            let tick = async {
                Timer::after(Duration::from_micros(due)).await;
                None
            };
            let input = async { self.inbox.recv().await.ok() };
            let event = match future::or(input, tick).await {
                None => Event::Tick,
                Some(Input::Heard { from, frame: Frame::AskNote { topic } })
                    if topic == SIGHT || topic == RULES_SIGHT =>
                {
                    let (now, [orders, rules]) = (steady_now(), reports(&self.node));
                    let body = match topic == SIGHT {
                        true => self.lead.as_ref().map(|lead| lead.spelt_sight(now, &self.node, &orders)),
                        false => self.rules.as_ref().map(|lead| lead.spelt_sight(now, &self.node, &rules)),
                    };
                    let at = self.node.fleet().number;
                    let body = body.unwrap_or_default();
                    self.send(&from, Frame::NoteIs { topic, number: 0, body, at });
                    continue;
                }
                Some(Input::Heard { from, frame }) => Event::Heard { from, frame },
                Some(Input::Propose { proposal, reply }) => {
                    self.tokens += 1;
                    self.waiting.insert(self.tokens, reply);
                    Event::Propose { token: self.tokens, proposal }
                }
            };
            self.node.handle(steady_now(), event, &mut self.out);
            if let Err(e) = self.carry_out_all().await {
                tracing::error!("agreement: {e}; this router takes no part in it until a restart");
                return;
            }
            self.say();
        }
    }

    /// What the core wants done, in order, and what the orders make of it; until there is no more.
    async fn carry_out_all(&mut self) -> Result<(), String> {
        loop {
            let mut out = std::mem::take(&mut self.out);
            for action in out.drain(..) {
                self.carry_out(action).await?;
            }
            self.out = out;
            let steps = self.look();
            // Its own steps: the outcome shows in the texts that are agreed.
            if steps.iter().all(Option::is_none) {
                return Ok(());
            }
            for proposal in steps.into_iter().flatten() {
                self.node.handle(steady_now(), Event::Propose { token: 0, proposal }, &mut self.out);
            }
        }
    }

    /// What goes on top of the agreement takes in what is agreed, and takes its next steps.
    fn look(&mut self) -> [Option<Proposal>; 2] {
        if self.lead.is_none() && self.rules.is_none() {
            return [None, None];
        }
        let (now, active) = (steady_now(), self.active.get());
        let steps = self.lead.as_mut().is_some_and(|lead| lead.look(now, &self.node, active));
        let others = self.rules.as_mut().is_some_and(|lead| lead.look(now, &self.node, active));
        self.withholds.go_on();
        if !(steps || others) {
            return [None, None];
        }
        let empty: &[u8] = &[];
        let orders = self.lead.as_ref().map_or(empty, |lead| &lead.told);
        let rules = self.rules.as_ref().map_or(empty, |lead| &lead.told);
        self.node.tell(told(orders, rules));
        let soon = self.lead.as_mut().is_some_and(|lead| std::mem::take(&mut lead.soon))
            | self.rules.as_mut().is_some_and(|lead| std::mem::take(&mut lead.soon));
        if soon {
            self.node.tell_soon();
        }
        let alone = self.lead.as_ref().is_some_and(|lead| lead.alone)
            || self.rules.as_ref().is_some_and(rules::Lead::is_alone);
        self.yard.drain.borrow_mut().set_alone(alone);
        let [orders, rules] = reports(&self.node);
        let step = self.lead.as_mut().filter(|_| steps);
        let step = step.and_then(|lead| lead.step(now, &mut self.node, &orders));
        let other = self.rules.as_mut().filter(|_| others);
        [step, other.and_then(|lead| lead.step(now, &self.node, &rules))]
    }

    async fn carry_out(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Write(write) => {
                if let Some(store) = self.store.clone() {
                    self.writes += 1;
                    die_at(self.writes, "before");
                    blocking::unblock(move || store.write(&write)).await?;
                    die_at(self.writes, "after");
                }
            }
            Action::Send { to, frame } => self.send(&to, frame),
            Action::Applied(applied) => {
                tracing::debug!(number = applied.number, "agreed, digest {:016x}", applied.digest);
                if let Some(records) = &self.handle.records {
                    let outcome =
                        applied.outcome.map(|(id, v)| (id.to_string(), matches!(v, Verdict::Made(_))));
                    records.applied(applied.number, applied.digest, outcome);
                }
            }
            Action::Answer { token, reply } => {
                if let Some(waiting) = self.waiting.remove(&token) {
                    let _ = waiting.try_send(reply);
                }
            }
            Action::Shout(what) => tracing::warn!("agreement: {what}"),
        }
        Ok(())
    }

    fn send(&mut self, to: &str, frame: Frame) {
        let answers = matches!(frame, Frame::Answer { .. } | Frame::Settled { .. });
        let address = self.electors.get(to);
        // In an upgrade two processes have an elector's name, and only the older one its address.
        if address.is_none() || answers {
            // Frames name the question that they answer: each of the peer's connections picks out its own.
            for (_, caller) in self.handle.callers.borrow().get(to).into_iter().flatten() {
                // A caller that does not read loses frames; the core asks and answers again by itself.
                let _ = caller.try_send(frame.clone());
            }
        }
        let Some(address) = address else { return };
        let link = self.links.entry(to.to_owned()).or_insert_with(|| {
            let (send, frames) = async_channel::bounded(OUTBOX);
            let link = links::run(
                self.connector.clone(),
                to.to_owned(),
                *address,
                frames,
                self.handle.clone(),
                self.lease,
            );
            self.tasks.spawn(link).detach();
            Link { frames: send }
        });
        if let Err(TrySendError::Full(_)) = link.frames.try_send(frame) {
            tracing::trace!(peer = to, "a frame is lost: the peer does not take them");
        }
    }

    /// Says who leads when that changes.
    fn say(&mut self) {
        let now = (self.node.role(), self.node.leader());
        if self.said.as_ref() != Some(&now) {
            let leader = now.1.as_deref().unwrap_or("nobody known");
            if now.0 != silverspindle_agreement::Role::Follower {
                tracing::info!(number = self.node.fleet().number, "agreement: {:?}, led by {leader}", now.0);
            }
            self.said = Some(now);
        }
    }
}

/// What the operators' file lacks for a router of this name.
pub fn lacks(conf: &silverspindle_conf::Conf, name: &str) -> Option<String> {
    let agreement = conf.agreement.as_ref()?;
    if !agreement.electors.iter().any(|(elector, _)| elector == name) {
        return None;
    }
    let listens = conf.exchange.as_ref().is_some_and(|e| e.listen.is_some());
    let lacks = |key: &str| Some(format!("{key}: is missing: {name} is named as an elector"));
    match (listens, &agreement.directory) {
        (false, _) => lacks("exchange-listen"),
        (_, None) => lacks("agree-directory"),
        _ => None,
    }
}

/// Takes part for as long as the router lives: waits for the disk where an older process of this name still holds
/// it, joins, and tells `ready` the way to the core.
pub async fn take_part(
    conf: Conf,
    me: Source,
    name: String,
    connector: Connector,
    tasks: Rc<LocalExecutor<'static>>,
    yard: Yard,
    ready: impl Fn(Handle),
) {
    let faulty =
        |e: String| tracing::error!("agreement: {e}; this router takes no part in it until a restart");
    let new = |follows| Actor::new(&conf, me, &name, connector.clone(), &tasks, &yard, follows);
    let mut before = None;
    let actor = match new(false) {
        Ok(actor) => actor,
        Err(Fault::Held) => {
            tracing::info!(
                "agreement: another process holds this elector's disk; follows until that one ends"
            );
            let follower = match new(true) {
                Ok(follower) => follower,
                Err(Fault::Disk(e)) => return faulty(e),
                Err(Fault::Held) => return faulty("a follower needs no disk".to_owned()),
            };
            ready(follower.handle());
            before = Some(follower.handle());
            let join = join(follower.handle(), name.clone(), me.incarnation);
            let disk = async {
                loop {
                    Timer::after(HELD_AGAIN).await;
                    match new(false) {
                        Err(Fault::Held) => {}
                        other => return other,
                    }
                }
            };
            let follow = async {
                follower.run().await;
                future::pending().await
            };
            let joining = async {
                join.await;
                future::pending().await
            };
            match future::or(disk, future::or(follow, joining)).await {
                Ok(actor) => actor,
                Err(Fault::Disk(e)) => return faulty(e),
                Err(Fault::Held) => return,
            }
        }
        Err(Fault::Disk(e)) => return faulty(e),
    };
    let handle = actor.handle();
    tasks.spawn(join(handle.clone(), name.clone(), me.incarnation)).detach();
    let Some(before) = before else {
        ready(handle);
        return actor.run().await;
    };
    // The follower's guard counts on until the elector's has a confirmation; only then does the elector tell what it
    // acts on. The follower itself has ended, so its confirmation runs out by itself.
    let active = actor.active.clone();
    active.set(false);
    let switch = async {
        let may = |handle: &Handle| {
            handle.fence.may_act(steady_now()).is_some()
                && handle.orders.as_ref().is_none_or(|orders| orders.is_member())
                && handle.rules.as_ref().is_none_or(|rules| rules.may())
        };
        while may(&before) && !may(&handle) {
            Timer::after(LOOK_AGAIN).await;
        }
        ready(handle.clone());
        active.set(true);
        future::pending().await
    };
    future::or(actor.run(), switch).await;
}

/// Puts this router on the roll, once its core has an elector to talk to.
async fn join(handle: Handle, name: String, mut life: u64) {
    loop {
        let id = ProposalId(InstanceId::of(&name).0, life);
        let change = Change::Join { name: name.clone(), life };
        let builds_on = handle.fence.latest().map_or(0, |c| c.number);
        let proposal = Proposal { id, builds_on, by: name.clone(), change };
        match handle.propose(proposal).await {
            Some(Verdict::Made(number)) => {
                handle.life.set(Some(life));
                return tracing::info!(number, "agreement: on the roll");
            }
            // The Unix clock has gone back since then: lives count up all the same.
            Some(Verdict::Refused(_, Refusal::OlderLife(later))) => life = later + 1,
            // As the follower that it was while an older process held the disk.
            Some(Verdict::Refused(number, Refusal::Already)) => {
                handle.life.set(Some(life));
                return tracing::info!(number, "agreement: on the roll already");
            }
            // What it builds on has grown old meanwhile: proposed as another one.
            Some(Verdict::Refused(_, Refusal::TooOld(_))) => life += 1,
            Some(Verdict::Refused(_, refusal)) => {
                return tracing::info!("agreement: not put on the roll: {refusal}");
            }
            None => {
                Timer::after(JOIN_AGAIN).await;
            }
        }
    }
}

/// Says on the roll that this life ends by itself.
pub async fn leave(handle: Handle, name: String) {
    let Some(life) = handle.life.get() else { return };
    let id = ProposalId(!InstanceId::of(&name).0, life);
    let builds_on = handle.fence.latest().map_or(0, |c| c.number);
    let change = Change::Leave { name: name.clone(), life };
    handle.propose(Proposal { id, builds_on, by: name, change }).await;
}
