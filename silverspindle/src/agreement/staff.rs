//! Staff's side: `silverspindle fleet`, through the exchange with a certificate that the routers' files name as an
//! operator's. What can't be known is said, not waited for in silence.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use serde_json::{Value, json};
use silverspindle_agreement::{
    Change, Frame, MOST_FRAME, Proposal, ProposalId, Refusal, Reply, Role, Seat, Status, Verdict,
};
use silverspindle_conf::{Agreement, Conf};
use silverspindle_knowledge::protocol::Message::Open;
use silverspindle_knowledge::{InstanceId, Source};
use silverspindle_rules::{Head, Past, Refused as RulesRefused, Rules, Shares, State, Way};
use silverspindle_work::{Machine, Order, Rules as WorkRules, SIGHT, Sight, Stage, TOPIC, Why, Work};

use super::store::draw;
use crate::clock;
use crate::knowledge::keys::{self, Tls};
use crate::links::{self, Connector, with_timeout};

/// An elector that does not say how it stands within that is not heard.
const STATUS: Duration = Duration::from_secs(2);
/// Proposals of a burst that are out at a time.
const WINDOW: u64 = 32;
/// A word of staff that others' steps overtake is said so often.
const TRIES: usize = 20;
/// Who waits for an order looks again after so long.
const LOOK_AGAIN: Duration = Duration::from_millis(500);
/// Beyond the electors' own patience with a proposal, for the way.
const WAY: Duration = Duration::from_secs(1);

/// Who asks, and whom.
pub struct Staff {
    name: String,
    agreement: Agreement,
    connector: Connector,
}

/// How each elector stands, or why it was not heard.
pub type Heard = Vec<(String, Result<Status, String>)>;

impl Staff {
    /// By the operators' file of staff: their certificate and the electors.
    pub fn new(conf: &Conf) -> Result<Self, String> {
        let agreement = conf.agreement.clone().ok_or("the operators' file names no agree-elector")?;
        let certificate = &agreement.files.certificate;
        let der = CertificateDer::from_pem_file(certificate)
            .map_err(|e| format!("{}: {e}", certificate.display()))?;
        let name = keys::about(&der)?.names.into_iter().next().ok_or("the certificate names nobody")?;
        let me = Source { instance: InstanceId::of(&name), incarnation: clock::now() };
        let tls = Rc::new(RefCell::new(Tls::read(&agreement.files)?));
        Ok(Self { name, connector: Connector { me, tls }, agreement })
    }

    async fn ask<T>(
        &self,
        (name, at): &(String, SocketAddr),
        frame: Frame,
        patience: Duration,
        mut good: impl FnMut(Frame) -> Option<T>,
    ) -> io::Result<T> {
        let first = Open { me: self.connector.me };
        let stream = self.connector.connect_and_send(name, *at, &first).await?;
        let why = "is the agreement on there, and this name an operator's?";
        links::ask(stream, &frame, patience, why, &mut good).await
    }

    /// How each elector stands.
    pub async fn status(&self) -> Heard {
        let together = LocalExecutor::new();
        let one = async |elector: &(String, SocketAddr)| {
            let status = |frame| if let Frame::StatusIs(status) = frame { Some(*status) } else { None };
            let one = self.ask(elector, Frame::AskStatus, STATUS, status).await;
            (elector.0.clone(), one.map_err(|e| e.to_string()))
        };
        let asked: Vec<_> = self.agreement.electors.iter().map(|e| together.spawn(one(e))).collect();
        let mut all = Vec::new();
        together
            .run(async {
                for answer in asked {
                    all.push(answer.await);
                }
            })
            .await;
        all
    }

    /// Proposes a change, through one elector after the other, the same proposal each time.
    pub async fn propose(
        &self,
        change: Change,
        id: Option<ProposalId>,
    ) -> Result<(ProposalId, Reply), String> {
        let id = match id {
            Some(id) => id,
            None => ProposalId(self.connector.me.instance.0, draw()?),
        };
        let heard = self.status().await;
        let known = heard.iter().filter_map(|(_, s)| s.as_ref().ok()).map(|s| s.number).max();
        let Some(builds_on) = known else {
            let why = heard.into_iter().map(|(name, s)| format!("{name}: {}", s.err().unwrap_or_default()));
            return Err(format!("no elector is heard: {}", why.collect::<Vec<_>>().join("; ")));
        };
        let proposal = Proposal { id, builds_on, by: self.name.clone(), change };
        Ok((id, self.offer(proposal).await))
    }

    async fn offer(&self, proposal: Proposal) -> Reply {
        let id = proposal.id;
        let patience = Duration::from_micros(self.agreement.lease) * super::PATIENCE as u32 + WAY;
        for elector in &self.agreement.electors {
            let settled = |frame| match frame {
                Frame::Settled { id: which, verdict } if which == id => Some(verdict),
                _ => None,
            };
            match self.ask(elector, Frame::Propose(proposal.clone()), patience, settled).await {
                Ok(Some(verdict)) => return Some(verdict),
                Ok(None) => Timer::after(Duration::from_millis(100)).await,
                Err(e) => {
                    eprintln!("{}: {e}", elector.0);
                    continue;
                }
            };
        }
        None
    }

    /// So many decisions, as fast as the electors make them, through one connection; how many were settled.
    pub async fn burst(&self, count: u64) -> Result<u64, String> {
        let (elector, at) = self.agreement.electors.first().ok_or("no agree-elector")?;
        let mut stream = self
            .connector
            .connect_and_send(elector, *at, &Open { me: self.connector.me })
            .await
            .map_err(|e| e.to_string())?;
        let heard = self.status().await;
        let known = heard.iter().filter_map(|(_, s)| s.as_ref().ok()).map(|s| s.number).max();
        let (builds_on, run) = (known.ok_or("no elector is heard")?, draw()?);
        // What builds on less than is remembered is refused, and is a decision as well: it is counted.
        let proposal = |n: u64| Proposal {
            id: ProposalId(run, n),
            builds_on,
            by: self.name.clone(),
            change: Change::Note { topic: format!("burst{}", n % 8), body: n.to_string().into_bytes() },
        };
        let (mut sent, mut settled) = (0, 0);
        while settled < count {
            let until = (sent + WINDOW).min(count);
            for n in sent..until {
                links::write_frame(&mut stream, &Frame::Propose(proposal(n)))
                    .await
                    .map_err(|e| e.to_string())?;
            }
            sent = until;
            let (tell, told) = async_channel::bounded(WINDOW as usize);
            let wanted = sent - settled;
            let mut got = 0;
            let read = links::read_frames(&mut stream, MOST_FRAME, |frame| {
                if let Frame::Settled { id: ProposalId(whose, _), verdict: Some(_) } = frame
                    && whose == run
                {
                    got += 1;
                    if got >= wanted {
                        let _ = tell.try_send(());
                    }
                }
                Ok(())
            });
            let all = async {
                let _ = told.recv().await;
                Ok(())
            };
            with_timeout(STATUS * 5, "decisions", future::or(read, all)).await.map_err(|e| e.to_string())?;
            settled = sent;
        }
        Ok(settled)
    }

    /// The change that gives or takes a seat, by the name of its router.
    pub async fn seat(&self, name: &str, admit: bool) -> Result<Change, String> {
        let heard = self.status().await;
        let best = heard.into_iter().filter_map(|(_, s)| s.ok()).max_by_key(|s| s.number);
        let best = best.ok_or("no elector is heard")?;
        let seat = match admit {
            true => best
                .waiting
                .iter()
                .find(|(n, _)| n == name)
                .map(|(name, id)| Seat::Admit { name: name.clone(), id: *id }),
            // Of two disks of one name the older one goes: the newer is the one that runs.
            false => best
                .electors
                .iter()
                .filter(|(_, n, _)| n == name)
                .map(|(id, ..)| Seat::Dismiss { id: *id })
                .next(),
        };
        seat.map(Change::Seat).ok_or_else(|| match admit {
            true => format!("{name} does not wait for a seat: does it run, with agree-directory and its own agree-elector line?"),
            false => format!("{name} has no seat"),
        })
    }
}

/// Whether routers go by a topic's text, so that staff may set it by the commands for it alone.
pub fn is_taken(topic: &str) -> bool {
    [TOPIC, silverspindle_rules::TOPIC].iter().any(|own| topic.split(['.', '/']).next() == Some(own))
}

/// What staff say of work on machines.
#[derive(Clone, Debug)]
pub enum Say {
    /// These are to be worked on; the id makes a repeated order the same.
    Order {
        /// Which.
        machines: Vec<Machine>,
        /// All at once.
        together: bool,
        /// Why.
        reason: String,
        /// The order's id.
        id: u64,
    },
    /// Not any more.
    Withdraw(u64),
    /// It is back.
    Back(Machine),
    /// Nothing more goes out, or work goes on.
    Stop(bool),
}

impl Staff {
    /// A topic's text as of now, by electors that a quorum has confirmed since they were asked, and the number that it
    /// builds on; empty: there is none.
    async fn note(&self, topic: &str) -> Result<(u64, Vec<u8>), String> {
        let mut best: Option<(u64, Vec<u8>)> = None;
        let mut faults = Vec::new();
        for elector in &self.agreement.electors {
            let note = |frame| match frame {
                Frame::NoteIs { topic: of, body, at, .. } if of == topic => Some((at, body)),
                _ => None,
            };
            match self.ask(elector, Frame::AskNote { topic: topic.to_owned() }, STATUS, note).await {
                Ok(found) if best.as_ref().is_none_or(|best| best.0 < found.0) => best = Some(found),
                Ok(_) => {}
                Err(e) => faults.push(format!("{}: {e}", elector.0)),
            }
        }
        best.ok_or_else(|| format!("no elector is heard: {}", faults.join("; ")))
    }

    /// What the leader alone answers by a topic of its own.
    async fn of_leader(&self, topic: &str) -> Option<Vec<u8>> {
        for elector in &self.agreement.electors {
            let answer = |frame| match frame {
                Frame::NoteIs { topic: of, body, .. } if of == topic => Some(body),
                _ => None,
            };
            let asked = self.ask(elector, Frame::AskNote { topic: topic.to_owned() }, STATUS, answer).await;
            if let Some(body) = asked.ok().filter(|body| !body.is_empty()) {
                return Some(body);
            }
        }
        None
    }

    /// The orders as of now, and the number that they build on.
    pub async fn work(&self) -> Result<(u64, Work), String> {
        let (at, body) = self.note(TOPIC).await?;
        if body.is_empty() {
            return Ok((at, Work::default()));
        }
        Ok((at, Work::read(&body).ok_or("the agreed orders can't be read: another version?")?))
    }

    /// The versions as of now, and the number that they build on.
    pub async fn rules(&self) -> Result<(u64, State), String> {
        let (at, body) = self.note(silverspindle_rules::TOPIC).await?;
        if body.is_empty() {
            return Ok((at, State::default()));
        }
        Ok((at, State::read(&body).ok_or("the agreed rules can't be read: another version of the program?")?))
    }

    /// Versions that held before, whole, and the number that they build on.
    pub async fn past(&self) -> Result<(u64, Past), String> {
        let (at, body) = self.note(silverspindle_rules::PAST).await?;
        Ok((at, Past::read(&body)))
    }

    /// The routers' shares.
    pub async fn shares(&self) -> Result<Shares, String> {
        let (_, body) = self.note(silverspindle_rules::SHARES).await?;
        Ok(Shares::read(&body).unwrap_or_default())
    }

    /// What the leader waits for with versions, and the decision that each router told to act on.
    pub async fn rules_sight(&self) -> Option<RulesSight> {
        postcard::from_bytes(&self.of_leader(super::RULES_SIGHT).await?).ok()
    }

    /// Proposes a version; what held until then is kept whole first. The number of the new version.
    pub async fn propose_rules(
        &self,
        rules: Rules,
        reason: &str,
        builds_on: Option<u64>,
        way: Option<Way>,
    ) -> Result<(u64, ProposalId, Reply), String> {
        let (at, state) = self.rules().await?;
        let holds = state.current.head.number;
        let new = state.propose(rules, (&self.name, reason), builds_on.unwrap_or(holds), way);
        let new = match new {
            Ok(new) => new,
            Err(refused @ RulesRefused::Overtaken { builds_on, .. }) => {
                let (_, past) = self.past().await?;
                let before = past.rules(builds_on).cloned().unwrap_or_default();
                let differs = before.diff(&state.current.rules);
                return Err(format!("{refused}; what has changed since:\n{differs}"));
            }
            Err(refused) => return Err(refused.to_string()),
        };
        let number = new.next.as_ref().map_or(holds, |next| next.version.head.number);
        if holds > 0 {
            let (at, past) = self.past().await?;
            if let Some(past) = past.with(&state.current) {
                let id = ProposalId(self.connector.me.instance.0, draw()?);
                let change = Change::Note { topic: silverspindle_rules::PAST.to_owned(), body: past.spell() };
                // Others may keep it at the same time: that it is kept is enough.
                self.offer(Proposal { id, builds_on: at, by: self.name.clone(), change }).await;
            }
        }
        let id = ProposalId(self.connector.me.instance.0, draw()?);
        let change = Change::Note { topic: silverspindle_rules::TOPIC.to_owned(), body: new.spell() };
        let proposal = Proposal { id, builds_on: at, by: self.name.clone(), change };
        Ok((number, id, self.offer(proposal).await))
    }

    /// Waits until a version holds everywhere; `tell` hears who is missing. False: it was taken back.
    pub async fn wait_rules(&self, number: u64, mut tell: impl FnMut(&[String])) -> Result<bool, String> {
        let (mut failures, mut before) = (0, Vec::new());
        loop {
            match self.rules().await {
                Ok((at, state)) => {
                    failures = 0;
                    let on_its_way = state.next.as_ref().is_some_and(|n| n.version.head.number == number);
                    if !on_its_way {
                        return Ok(state.current.head.number >= number);
                    }
                    let missing = self.rules_sight().await.map_or_else(Vec::new, |(_, told)| {
                        let late = told.into_iter().filter(|(_, told)| told.is_none_or(|told| told < at));
                        late.map(|(name, _)| name).collect()
                    });
                    if missing != before {
                        tell(&missing);
                        before = missing;
                    }
                }
                Err(e) if failures >= TRIES => return Err(e),
                Err(_) => failures += 1,
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    /// What the leader sees, the rules that it goes by, and what it waits for.
    pub async fn sight(&self) -> Result<(Sight, WorkRules, Vec<Why>), String> {
        let nobody = "nobody leads, or orders for work are off there (work-out)";
        let body = self.of_leader(SIGHT).await.ok_or(nobody)?;
        postcard::from_bytes(&body).map_err(|e| format!("what the leader sees: {e}"))
    }

    /// What would come of the orders that stand and of one more, as the leader sees the fleet; nothing is done.
    pub async fn plan(&self, machines: Vec<Machine>, together: bool) -> Result<(Work, Plan), String> {
        let (sight, rules, _) = self.sight().await?;
        let (_, mut work) = self.work().await?;
        if !machines.is_empty() {
            let order =
                Order { id: 0, machines, together, reason: "planned".to_owned(), by: self.name.clone() };
            work = work.order_seen(order, &sight, &rules).map_err(|refused| refused.to_string())?;
        }
        let plan = silverspindle_work::plan(&work, &sight, &rules);
        Ok((work, plan))
    }

    /// Follows an order until it has ended, and tells each change; a machine's new stage, none where it is done.
    pub async fn wait(
        &self,
        order: u64,
        mut tell: impl FnMut(&Machine, Option<Stage>),
    ) -> Result<(), String> {
        let mut before: BTreeMap<Machine, Stage> = BTreeMap::new();
        let mut failures = 0;
        loop {
            match self.work().await {
                Ok((_, work)) => {
                    failures = 0;
                    let of = work.stages.iter().filter(|(_, (id, _))| *id == order);
                    let now: BTreeMap<Machine, Stage> =
                        of.map(|(m, (_, stage))| (m.clone(), *stage)).collect();
                    now.iter().filter(|(m, s)| before.get(m) != Some(s)).for_each(|(m, s)| tell(m, Some(*s)));
                    before.keys().filter(|m| !now.contains_key(m)).for_each(|m| tell(m, None));
                    before = now;
                    if before.is_empty() {
                        return Ok(());
                    }
                }
                Err(e) if failures >= TRIES => return Err(e),
                Err(_) => failures += 1,
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    /// Says a thing; where others' steps have overtaken it, again on what stands now.
    pub async fn say(&self, say: &Say) -> Result<(ProposalId, Reply), String> {
        let mut last = Err("others are always faster".to_owned());
        for _ in 0..TRIES {
            let (at, work) = self.work().await?;
            let new = match say {
                Say::Order { machines, together, reason, id } => {
                    let order = Order {
                        id: *id,
                        machines: machines.clone(),
                        together: *together,
                        reason: reason.clone(),
                        by: self.name.clone(),
                    };
                    // Refused now where it can never be; where nobody leads it waits, and is looked at then.
                    match self.sight().await {
                        Ok((sight, rules, _)) => work.order_seen(order, &sight, &rules),
                        Err(_) => work.order(order),
                    }
                }
                Say::Withdraw(id) => work.withdraw(*id),
                Say::Back(machine) => work.back(machine),
                Say::Stop(stop) => Ok(work.stop(*stop)),
            };
            let new = new.map_err(|refused| refused.to_string())?;
            let id = ProposalId(self.connector.me.instance.0, draw()?);
            if new == work {
                return Ok((id, Some(Verdict::Made(at))));
            }
            let change = Change::Note { topic: TOPIC.to_owned(), body: new.spell() };
            let proposal = Proposal { id, builds_on: at, by: self.name.clone(), change };
            let reply = self.offer(proposal).await;
            let overtaken = matches!(reply, Some(Verdict::Refused(_, Refusal::Overtaken(_))));
            last = Ok((id, reply));
            if !overtaken {
                break;
            }
        }
        last
    }
}

/// What the leader waits for, and the decision that each router told to act on.
pub type RulesSight = (Vec<silverspindle_rules::Why>, BTreeMap<String, Option<u64>>);

fn way_text(way: &Way) -> String {
    match way {
        Way::AtOnce => "at once".to_owned(),
        Way::Apart => "apart".to_owned(),
        Way::Trial(trial) => format!("tried by {} of 1000 routers", trial.per_mille),
    }
}

fn rules_why(why: &silverspindle_rules::Why) -> Option<String> {
    use silverspindle_rules::Why as W;
    match why {
        W::Held(number, names) => {
            Some(format!("version {number} waits for {}: they may act on the one before", names.join(", ")))
        }
        W::Cannot(name, why) => Some(format!("{name} can't carry it: {why}")),
        _ => None,
    }
}

/// The versions for a person.
pub fn rules_text(state: &State, shares: &Shares, sight: Option<&RulesSight>) -> String {
    let mut out = String::new();
    let head = |head: &Head| {
        let reason = if head.reason.is_empty() { String::new() } else { format!(": {}", head.reason) };
        format!("version {} ({:016x}) by {}{reason}", head.number, head.digest, head.author)
    };
    match state.current.head.number {
        0 => out.push_str("no version holds; each router goes by its own files\n"),
        _ => {
            let _ = writeln!(out, "{} holds", head(&state.current.head));
        }
    }
    if let Some(next) = &state.next {
        let _ = writeln!(out, "{} is on its way, {}", head(&next.version.head), way_text(&next.way));
    }
    for why in sight.iter().flat_map(|(why, _)| why).filter_map(rules_why) {
        let _ = writeln!(out, "{why}");
    }
    for (name, told) in sight.iter().flat_map(|(_, told)| told) {
        let share = shares.of(name, true);
        let told = told.map_or("not heard".to_owned(), |number| format!("acts on decision {number}"));
        let _ = writeln!(out, "{name:<12} {told}, share {share} millionths");
    }
    out
}

/// The same as JSON.
pub fn rules_json(state: &State, shares: &Shares, sight: Option<&RulesSight>) -> Value {
    let head = |h: &Head| {
        json!({"number": h.number, "digest": format!("{:016x}", h.digest), "author": h.author,
        "reason": h.reason, "builds_on": h.builds_on, "returned": h.returned})
    };
    let why: Vec<String> = sight.iter().flat_map(|(why, _)| why).filter_map(rules_why).collect();
    let routers = sight.iter().flat_map(|(_, told)| told);
    let routers: Vec<Value> = routers
        .map(|(name, told)| json!({"name": name, "number": told, "share": shares.of(name, true)}))
        .collect();
    json!({"current": head(&state.current.head), "rules": silverspindle_rules::show(&state.current.rules),
        "next": state.next.as_ref().map(|n| json!({"version": head(&n.version.head), "way": way_text(&n.way),
            "rules": silverspindle_rules::show(&n.version.rules)})),
        "waits": why, "routers": routers})
}

/// Heads for a person, the latest first.
pub fn history_text(state: &State) -> String {
    let mut out = String::new();
    for head in state.history.iter().rev() {
        let returned = head.returned.as_ref().map_or(String::new(), |why| format!("  taken back: {why}"));
        let Head { number, digest, author, reason, builds_on, .. } = head;
        let _ = writeln!(out, "{number:>4} on {builds_on:<4} {digest:016x} {author:<12} {reason}{returned}");
    }
    if out.is_empty() {
        out.push_str("no versions\n");
    }
    out
}

/// The turns of a plan, and what would never go.
pub type Plan = (Vec<Vec<Machine>>, Vec<Why>);

/// A plan for a person.
pub fn plan_text((turns, never): &Plan) -> String {
    let mut out = String::new();
    for (n, turn) in (1..).zip(turns) {
        let names: Vec<String> = turn.iter().map(Machine::to_string).collect();
        let _ = writeln!(out, "turn {n}: {}", names.join(", "));
    }
    for why in never {
        if let Why::Short(machine, refused) = why {
            let _ = writeln!(out, "{machine} would wait: {refused}");
        }
    }
    if out.is_empty() {
        out.push_str("nothing to do\n");
    }
    out
}

/// The same as JSON.
pub fn plan_json((turns, never): &Plan) -> Value {
    let waits = never.iter().filter_map(|why| match why {
        Why::Short(machine, refused) => {
            Some(json!({"machine": machine.to_string(), "why": refused.to_string()}))
        }
        _ => None,
    });
    let turn = |turn: &Vec<Machine>| turn.iter().map(Machine::to_string).collect::<Vec<_>>();
    json!({"turns": turns.iter().map(turn).collect::<Vec<_>>(), "waits": waits.collect::<Vec<_>>()})
}

/// Orders for a person, with what the leader waits for.
pub fn orders(work: &Work, why: &[Why]) -> String {
    let waits: BTreeMap<&Machine, String> = why.iter().filter_map(Why::waits).collect();
    let mut out = String::new();
    if work.stopped {
        out.push_str("stopped: nothing more goes out until 'fleet work go'\n");
    }
    for (id, order) in &work.orders {
        let how = if order.together { "together" } else { "apart" };
        let _ = writeln!(out, "order {id:016x} by {}, {how}: {}", order.by, order.reason);
        for (machine, (_, stage)) in work.stages.iter().filter(|(_, (of, _))| of == id) {
            let waits = waits.get(machine).map_or(String::new(), |why| format!(" ({why})"));
            let _ = writeln!(out, "  {machine}: {}{waits}", format!("{stage:?}").to_lowercase());
        }
    }
    if work.orders.is_empty() {
        out.push_str("no orders\n");
    }
    out
}

/// The same as JSON.
pub fn orders_json(work: &Work, why: &[Why]) -> Value {
    let waits: BTreeMap<&Machine, String> = why.iter().filter_map(Why::waits).collect();
    let machines = |id: u64| {
        let of = work.stages.iter().filter(move |(_, (of, _))| *of == id);
        of.map(|(m, (_, stage))| {
            json!({"machine": m.to_string(), "stage": format!("{stage:?}").to_lowercase(),
                "waits": waits.get(m)})
        })
        .collect::<Vec<_>>()
    };
    let order = |(id, o): (&u64, &Order)| json!({"id": format!("{id:016x}"), "by": o.by, "together": o.together, "reason": o.reason, "machines": machines(*id)});
    json!({"stopped": work.stopped, "orders": work.orders.iter().map(order).collect::<Vec<_>>()})
}

/// Whether somebody leads with a quorum's fresh word.
pub fn leader(heard: &Heard) -> Option<&Status> {
    let leads = |s: &&Status| s.role == Role::Leader && s.age.is_some_and(|age| age < s.lease);
    heard.iter().filter_map(|(_, s)| s.as_ref().ok()).find(leads)
}

fn age(age: Option<u64>) -> String {
    age.map_or("never".to_owned(), |age| format!("{} ms", age / 1000))
}

/// How the fleet stands, for a person.
pub fn text(heard: &Heard) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<12} {:<9} {:>6} {:>8} {:<16} {:>10}",
        "elector", "role", "term", "number", "digest", "confirmed"
    );
    for (name, status) in heard {
        let _ = match status {
            Ok(s) => writeln!(
                out,
                "{name:<12} {:<9} {:>6} {:>8} {:016x} {:>10}{}",
                format!("{:?}", s.role).to_lowercase(),
                s.term,
                s.number,
                s.digest,
                age(s.age),
                if s.stopped { "  stopped: its outcomes differ" } else { "" }
            ),
            Err(e) => writeln!(out, "{name:<12} not heard: {e}"),
        };
    }
    match leader(heard) {
        Some(s) => {
            let _ = writeln!(out, "fleet {:016x}, led by {}, {} decisions", s.fleet, s.name, s.number);
        }
        None => out.push_str(
            "no quorum: nothing can be decided, and what was agreed is acted on only until the \
                              confirmations run out\n",
        ),
    }
    let best = heard.iter().filter_map(|(_, s)| s.as_ref().ok()).max_by_key(|s| s.number);
    let Some(best) = best else { return out };
    for (name, life, left) in &best.roll {
        let latest = heard.iter().filter_map(|(_, s)| s.as_ref().ok()).flat_map(|s| &s.heard);
        let latest = latest.filter(|(n, ..)| n == name).min_by_key(|(.., since)| *since);
        let _ = write!(out, "{name:<12} life {life}{}", if *left { ", has left" } else { "" });
        let _ = match latest {
            Some((_, _, number, digest, confirmed, since)) => writeln!(
                out,
                ", at {number} {digest:016x}, confirmed {}, heard {} ms ago",
                age(*confirmed),
                since / 1000
            ),
            None => writeln!(out),
        };
    }
    for (name, id) in &best.waiting {
        let _ = writeln!(
            out,
            "{name:<12} waits for a seat with disk {id:016x}: silverspindle fleet electors admit {name}"
        );
    }
    out
}

/// The same as JSON.
pub fn json(heard: &Heard) -> Value {
    let one = |(name, status): &(String, Result<Status, String>)| match status {
        Ok(s) => json!({"elector": name, "role": format!("{:?}", s.role).to_lowercase(), "term": s.term,
            "fleet": format!("{:016x}", s.fleet), "leader": s.leader, "number": s.number,
            "digest": format!("{:016x}", s.digest), "age_us": s.age, "lease_us": s.lease, "stopped": s.stopped,
            "electors": s.electors.iter().map(|(id, n, votes)| json!({"disk": format!("{id:016x}"), "name": n, "votes": votes})).collect::<Vec<_>>(),
            "roll": s.roll.iter().map(|(n, life, left)| json!({"name": n, "life": life, "left": left})).collect::<Vec<_>>(),
            "notes": s.notes.iter().map(|(topic, number)| json!({"topic": topic, "number": number})).collect::<Vec<_>>(),
            "heard": s.heard.iter().map(|(n, life, number, digest, age, since)| json!({"name": n, "life": life, "number": number,
                "digest": format!("{digest:016x}"), "age_us": age, "since_us": since})).collect::<Vec<_>>(),
            "waiting": s.waiting.iter().map(|(n, id)| json!({"name": n, "disk": format!("{id:016x}")})).collect::<Vec<_>>()}),
        Err(e) => json!({"elector": name, "not_heard": e}),
    };
    json!({"quorum": leader(heard).is_some(), "electors": heard.iter().map(one).collect::<Vec<_>>()})
}

/// What became of a proposal, for a person, and whether it is as wanted.
pub fn outcome(id: ProposalId, reply: &Reply) -> Result<String, String> {
    match reply {
        Some(Verdict::Made(number)) => Ok(format!("made as decision {number} (proposal {id})")),
        Some(Verdict::Refused(number, refusal)) => {
            Err(format!("refused at {number}: {refusal} (proposal {id})"))
        }
        None => Err(format!(
            "not known: no quorum answers in time. It may still be made. Ask again by: --id {id}"
        )),
    }
}
