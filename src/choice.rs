//! All decisions of a director. Its interface (settings, events, actions) is in `src/interface.rs`. In order:
//! tuning constants, the ageing filter, placement, health of members, life of a request, rule checks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::hashing::{hash, mix, unit};
use crate::interface::*;

mod report;

/// Number of ids in a generation of the ageing filter (default of the design page).
const GENERATION: usize = 4096;
/// Time without a new id, in microseconds, after which the filter's generations are swapped once more
/// (default of the design page).
const QUIET: Micros = 10_000_000;
/// Multiple of its fair share of the attempts in flight above which a member is overloaded.
const OVERFULL: f64 = 2.0;
/// A member with at most this many attempts in flight, the next one included, is never overloaded. Also the
/// minimum of an initial concurrency limit.
const FEW_OPEN: f64 = 4.0;
/// Highest standing of a candidate: not at fault for this request, trusted and not overloaded.
const BEST: u8 = 3;
/// Share of a cold member's budget that is used; the rest allows for chance and for clock differences.
const COLD_MARGIN: f64 = 0.7;
/// Length of a turn, in budget windows. Directors take turns at a cold member where their share of its budget
/// is less than one attempt.
const TURN: f64 = 2.0;
/// Share of the budget that turns may use. In one window all directors that have a turn may use it, and so
/// may those whose turn begins in the window: 0.32 x (1 + 2) is less than the whole budget.
const TURN_MARGIN: f64 = 0.32;
/// Ratio between neighbouring steps of the rate at which turns come.
const TURN_STEP: f64 = 1.1;
/// Retry tokens earned by each answer in time; a further attempt costs one. A fault that hits all members
/// must not double the load.
const RETRY_EARN: f64 = 0.5;
/// Maximum number of retry tokens.
const RETRY_SAVE: f64 = 10.0;
/// An attempt is overdue after the mean answer time plus this many mean deviations (as TCP's retransmission
/// timeout).
const OVERDUE: f64 = 4.0;
/// Share of second copies answered first above which an overdue attempt counts as lost even under congestion.
const MOSTLY_WON: f64 = 0.8;
/// Weight of an ordinary fault in a member's running fault rate.
const SOFT: f64 = 0.2;
/// Weight of a failed connection in a member's running fault rate: it is the strongest evidence.
const HARD: f64 = 0.6;
/// Fault rate above which a member is quarantined, if it is an outlier.
const ILL: f64 = 0.5;
/// Multiple of the mean fault rate of the other members of its tier above which a member is an outlier.
const STANDS_OUT: f64 = 2.0;
/// Length of a member's first quarantine, in microseconds; each further one is twice as long.
const ASIDE_FIRST: Micros = 1_000_000;
/// Maximum length of a quarantine, in microseconds.
const ASIDE_MOST: Micros = 8_000_000;
/// Highest limit of attempts in flight during probation, which follows a quarantine. The limit starts at 1
/// and doubles with each success; a success at this limit ends the probation.
const TRUSTED: u32 = 8;
/// Initial concurrency limit, divided among the directors that share the member.
const LIMIT_FIRST: f64 = 120.0;
/// Minimum concurrency limit.
const LIMIT_LEAST: f64 = 0.1;
/// Factor by which late answers reduce a concurrency limit (AIMD).
const LIMIT_CUT: f64 = 0.85;
/// Increase of a concurrency limit for each answer in time, divided by the limit (AIMD).
const LIMIT_RISE: f64 = 2.0;
/// Minimum time between two reductions of a limit, in microseconds, so that one period of congestion counts
/// once.
const CUT_APART: Micros = 300_000;
/// Share of late answers that means congestion.
const LATE_MANY: f64 = 0.3;
/// Share of late answers that means congestion where sizes are unknown.
const LATE_UNSIZED: f64 = 0.4;
/// Share of late answers below which a limit is raised as fast as at the start.
const LATE_FEW: f64 = 0.02;
/// Weight of a new answer in a running share of late answers.
const LATE_LEARN: f64 = 0.1;
/// Maximum number of directors at a location for which one answer counts (2 gained less, 4 made the limits
/// unstable).
const STANDS_FOR_MOST: f64 = 3.0;
/// Weight of a new value in a running mean.
const LEARN: f64 = 0.05;
/// Weight of a rise in the measured rate that members serve. It can be higher as capacity bounds the rate
/// anyway.
const RATE_UP: f64 = 0.3;
/// Time in microseconds without a cache hit after which no cache is assumed to hold an object.
const OWN_UNSEEN: Micros = 5_000_000;
/// Share of the aim that the delivery of an own copy may take beyond its sending time to be preferred to the
/// caches, where no cache is assumed to hold the object.
const OWN_FILL: f64 = 0.5;
/// The same share where a cache is assumed to hold the object.
const OWN_HIT: f64 = 0.05;
/// Allowance for clock differences and for the way to the client, in microseconds, subtracted from the
/// maximum age of an own copy.
const OWN_MARGIN: Micros = 150_000;
/// Index of the caches' tier.
const CACHES: usize = 0;
/// Index of the parents' tier.
const PARENTS: usize = 1;
/// Index of the origin's tier.
const ORIGIN: usize = 2;
/// Delay before the first retry of a failed discovery, in microseconds; it doubles up to eight times this.
const ASK_AGAIN: Micros = 500_000;
/// Token of the timer for retries of discovery.
const ASK_TOKEN: u64 = 1;

// ---- 1. The filter ----

/// Two ageing generations of object ids (Algorithm 1 of the paper, with sets in place of its Bloom filters).
#[derive(Debug, Default)]
pub struct AgeingFilter {
    active: BTreeSet<u64>,
    passive: BTreeSet<u64>,
    inherited: BTreeSet<u64>,
    generation: usize,
    quiet: Micros,
    last_added: Micros,
}

impl AgeingFilter {
    /// Creates a filter whose generations hold `generation` ids each and are also swapped after `quiet`
    /// without a new id.
    pub fn new(generation: usize, quiet: Micros) -> Self {
        Self { generation: generation.max(1), quiet, ..Self::default() }
    }

    /// Returns whether the id was seen recently, and records it as seen.
    pub fn seen(&mut self, now: Micros, id: u64) -> bool {
        if now.saturating_sub(self.last_added) >= self.quiet {
            self.swap();
            self.last_added = now;
        }
        let known = [&self.active, &self.passive, &self.inherited].iter().any(|ids| ids.contains(&id));
        if self.active.insert(id) {
            self.last_added = now;
            if self.active.len() >= self.generation {
                self.swap();
            }
        }
        known
    }

    /// Makes the active generation the passive one and drops the inherited ids.
    fn swap(&mut self) {
        (self.passive, self.inherited) = (std::mem::take(&mut self.active), BTreeSet::new());
    }
}

/// Limit of the attempts in flight, adapted to the running share of late answers.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    limit: f64,
    /// Running share of late answers, 0 to 1.
    lateness: f64,
    /// Time of the last reduction; 0: none yet.
    fell: Micros,
}

impl Pace {
    /// Creates an initial limit that is this director's part of one limit for all directors that share the
    /// member. The full limit for each of many directors would be no limit at all.
    fn shared_by(directors: u32) -> Self {
        Self { limit: (LIMIT_FIRST / f64::from(directors.max(1))).max(FEW_OPEN), lateness: 0.0, fell: 0 }
    }

    /// Whether one more attempt may be in flight. A limit below 1 is a probability, compared with the random
    /// number `chance`: one attempt from each of many directors may already be too many.
    fn room(&self, out: u32, chance: f64) -> bool {
        f64::from(out) < self.limit && chance < self.limit
    }

    /// Starts from what other directors found, as long as the limit is still an initial estimate.
    fn start(&mut self, told: InheritedLimit, doubt: f64) {
        let weight = if self.fell == 0 { told.weight * doubt } else { 0.0 };
        self.lateness += weight * (told.late_rate - self.lateness);
        self.limit *= (told.limit.max(LIMIT_LEAST) / self.limit).powf(weight);
    }

    /// Takes in whether an answer was late, and adjusts the limit. `many` is the share of late answers that
    /// means congestion, `stands_for` the number of directors for which this answer counts.
    fn tell(&mut self, now: Micros, out: u32, late: bool, many: f64, stands_for: f64) {
        self.lateness += LATE_LEARN * stands_for * (f64::from(late) - self.lateness);
        if late && self.lateness > many && now.saturating_sub(self.fell) >= CUT_APART {
            self.limit = (self.limit.min(f64::from(out)) * LIMIT_CUT.powf(stands_for)).max(LIMIT_LEAST);
            self.fell = now;
        } else if !late && f64::from(out) >= 0.7 * self.limit {
            // Until its first reduction a limit is an estimate and doubles within one answer time (slow
            // start). It does so again while almost nothing is late: refusals end soon after congestion has
            // passed.
            let calm = self.fell == 0 || self.lateness < LATE_FEW;
            let rise = if calm { 1.0 } else { LIMIT_RISE / self.limit };
            self.limit = (self.limit + rise.min(self.limit / 2.0)).max(1.0);
        }
    }
}

/// A listed member and this director's observations of it.
#[derive(Debug, Default)]
struct Peer {
    entry: Member,
    /// Number of attempts in flight to it.
    open: u32,
    /// Number of attempts in flight that name it as the source.
    fills: u32,
    /// Number of attempts to it that have ended.
    met: u32,
    /// Running share of faults, 0 to 1.
    ill: f64,
    /// End of its quarantine.
    until: Micros,
    /// Length of its last quarantine.
    aside: Micros,
    /// Limit of attempts in flight during the probation after a quarantine; `None`: trusted.
    trust: Option<u32>,
    pace: Pace,
    /// Time and work of recent sends, for its budget while it is cold.
    sent: VecDeque<(Micros, f64)>,
    /// Offset of this director's turns at the member while it is cold, in turns, 0 to 1.
    turn: f64,
}

/// A member as a candidate for an object.
struct Placed<'a> {
    /// Rank of the member for the object: the lowest comes first. The bits of a non-negative float sort as
    /// the float does.
    place: (u64, MemberId),
    /// Its share of the work.
    share: f64,
    peer: &'a Peer,
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Attempt {
    member: MemberId,
    /// Source of its fill; `None`: no fill.
    source: Option<MemberId>,
    /// Time at which it was sent.
    at: Micros,
    /// Its source was to answer only from a copy it holds.
    held: bool,
    /// It no longer counts as in flight.
    released: bool,
    ended: bool,
    may_have_run: bool,
    /// It was counted as a late fill before its end.
    late: bool,
    /// Zone of its member when it was sent: the list may change later.
    zone: usize,
    /// Cell of its member when it was sent.
    cell: u64,
}

/// Results of a request's lookups, which are attempts without a fill.
#[derive(Debug, Default)]
struct Look {
    /// A cache has no copy.
    missed: bool,
    /// The source has no copy.
    held_missed: bool,
    /// A fill is already running at the cache.
    joinable: bool,
    /// The next attempt follows a lookup and costs no retry token.
    follows: bool,
}

/// An open request.
#[derive(Debug)]
struct Open {
    request: Request,
    /// Hash of the object's name.
    key: u64,
    keep: Keep,
    attempts: Vec<Attempt>,
    answered: bool,
    /// The own copy is to answer the request, if it still exists.
    own_wanted: bool,
    look: Look,
    /// Members at fault for this request.
    bad: Vec<MemberId>,
    /// Members that answered the request with an error of their own.
    erred: Vec<MemberId>,
}

/// Makes the decisions of one director.
#[derive(Debug, Default)]
pub struct Director {
    settings: Settings,
    random: u64,
    filter: AgeingFilter,
    peers: BTreeMap<MemberId, Peer>,
    /// Members listed as ready, by tier.
    ready: [Vec<MemberId>; 3],
    open: BTreeMap<RequestId, Open>,
    /// Time of the last purge of an object (false) or a group (true), by hash of the object or number of the
    /// group.
    purges: BTreeMap<(u64, bool), Micros>,
    /// The purges in the order in which they were reported, with the time of the report.
    purges_told: VecDeque<(Micros, (u64, bool))>,
    retry_tokens: f64,
    /// Mean answer time, as a multiple of the aim.
    pace_mean: f64,
    /// Mean deviation of the answer time, as a multiple of the aim.
    pace_deviation: f64,
    /// Running share of second copies that were answered first.
    copies_won: f64,
    /// Attempts with a timer for being overdue, by its token.
    watched: BTreeMap<u64, (RequestId, usize)>,
    next_token: u64,
    /// Number of fills in flight: attempts that name a source.
    fills_out: u32,
    /// Limit of the fills in flight.
    fill_pace: Pace,
    /// Number of those fills for which the origin may be asked.
    full_out: u32,
    /// Limit of the fills in flight for which the origin may be asked.
    origin_pace: Pace,
    /// By class: running share of late fills.
    slow: Vec<f64>,
    /// By class: mean sending time in seconds, as far as known.
    work: Vec<f64>,
    /// Sending time per second that a warm cache and a warm parent were observed to serve for this director.
    warm_rate: [f64; 2],
    /// Start of the period in which `rate_sum` adds up; 0: before the first one.
    rate_from: Micros,
    /// Sending time that caches and parents served in that period, in seconds.
    rate_sum: [f64; 2],
    /// Number of consecutive failures of discovery, at most 4.
    asks: u32,
}

impl Director {
    /// Creates a director without members or observations. The seed determines its random numbers.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Self {
            random: mix(seed ^ 0x9e37_79b9_7f4a_7c15),
            filter: AgeingFilter::new(GENERATION, QUIET),
            retry_tokens: RETRY_SAVE,
            pace_mean: 0.5,
            pace_deviation: 0.25,
            copies_won: 0.5,
            next_token: ASK_TOKEN + 1,
            slow: vec![0.0; settings.classes.len()],
            work: settings.classes.iter().map(|c| c.aim as f64 / 2e6).collect(),
            fill_pace: Pace::shared_by(settings.directors),
            origin_pace: Pace::shared_by(settings.directors),
            settings,
            ..Self::default()
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, members } => self.members(kind, members, out),
            Event::Request(request) => self.request(now, request, out),
            Event::Outcome(outcome) => self.outcome(now, outcome, out),
            Event::Streaming { id, .. } => self.close(id),
            Event::ClientGone { id } => {
                let running = self.open.get(&id).map_or(&[][..], |open| &open.attempts);
                let rest = running.iter().enumerate().filter(|(_, a)| !a.ended && self.settings.cancel);
                out.extend(rest.map(|(n, _)| Action::Cancel { id, attempt: n as u32 }));
                self.close(id);
            }
            Event::OwnCopyResult { id, served: true } => self.close(id),
            Event::OwnCopyResult { id, served: false } => self.own_lost(now, id, out),
            Event::Purged { object, group, age } => self.purged(now, object, group, age),
            Event::Inherited(told) => self.inherit(now, told),
            Event::Probed { .. } => {}
            Event::Timer { token: ASK_TOKEN } => out.push(Action::Watch),
            Event::Timer { token } => self.overdue(now, token, out),
        }
    }

    /// Applies an update of the membership list.
    fn members(&mut self, kind: ListKind, members: Vec<Member>, out: &mut Vec<Action>) {
        let asks = self.settings.discovery == Discovery::OnRequest;
        if kind == ListKind::Failed {
            self.asks = (self.asks + 1).min(4);
            let again = Action::Timer { delay: ASK_AGAIN << (self.asks - 1), token: ASK_TOKEN };
            return out.extend(asks.then_some(again));
        }
        self.asks = 0;
        out.extend((asks && kind == ListKind::Cached).then_some(Action::Watch));
        if kind != ListKind::Delta {
            self.peers.values_mut().for_each(|p| p.entry.lifecycle = Lifecycle::Gone);
        }
        let own = self.draw(u64::MAX);
        for entry in members {
            let pace = Pace::shared_by(self.sharers(self.sort(&entry)));
            let peer = self.peers.entry(entry.id).or_insert_with(|| Peer { pace, ..Peer::default() });
            if peer.entry.started != entry.started {
                // A new process: observations of the previous one don't apply to it.
                let sent = std::mem::take(&mut peer.sent);
                let turn = unit(own ^ entry.id.0);
                *peer = Peer { open: peer.open, fills: peer.fills, sent, turn, pace, ..Peer::default() };
            }
            peer.entry = entry;
        }
        // Members that are gone and have no attempt in flight are removed, so that state and work don't grow
        // over a long run time.
        self.peers.retain(|_, p| p.entry.lifecycle != Lifecycle::Gone || p.open + p.fills > 0);
        self.ready = Default::default();
        for p in self.peers.values().filter(|p| p.entry.lifecycle == Lifecycle::Ready) {
            if let Some(sort) = self.sort(&p.entry) {
                self.ready[sort].push(p.entry.id);
            }
        }
    }

    // ---- 2. Placement ----

    /// Index of a member's tier; `None` for caches at other locations, which are not used.
    fn sort(&self, m: &Member) -> Option<usize> {
        match Some(m.kind) {
            kind if kind == self.settings.parent_kind => Some(PARENTS),
            kind if kind == self.settings.origin_kind => Some(ORIGIN),
            _ => (m.zone == self.settings.zone).then_some(CACHES),
        }
    }

    /// Share of its capacity that a member has at least: rises linearly from the cold share to 1.
    fn ramp(&self, now: Micros, m: &Member) -> f64 {
        let s = &self.settings;
        let (from, time) = match self.sort(m) {
            Some(ORIGIN) => return 1.0,
            Some(PARENTS) => (s.parent_cold_start_share, s.parent_cold_duration),
            _ => (s.cold_start_share, s.cold_duration),
        };
        let age = now.saturating_sub(m.started);
        if m.started == 0 || age >= time {
            return 1.0;
        }
        (from + (1.0 - from) * age as f64 / time as f64).clamp(0.01, 1.0)
    }

    /// Listed weight, or 1 for all members where it has no meaning or changes from list to list.
    fn weight(&self, m: &Member) -> f64 {
        let told = matches!(self.settings.weights, Weights::Nominal | Weights::Rough);
        if told && m.weight > 0.0 { m.weight } else { 1.0 }
    }

    /// Members of a tier as candidates, ranked by weighted rendezvous hashing: the lowest rank is the
    /// object's first choice.
    fn placed(&self, now: Micros, key: u64, sort: usize) -> Vec<Placed<'_>> {
        let peers = self.ready[sort].iter().filter_map(|id| self.peers.get(id));
        let placed = peers.map(|peer| {
            let drawn = unit(key ^ mix(peer.entry.id.0 + 1));
            let share = self.weight(&peer.entry) * self.ramp(now, &peer.entry);
            let place = (-(drawn.max(1e-12).ln()) / share).to_bits();
            Placed { place: (place, peer.entry.id), share, peer }
        });
        placed.collect()
    }

    /// Picks the able candidate with the best standing and, among equals, the lowest rank. Standings from the
    /// best: trusted and not overloaded; trusted; not at fault for this request; any.
    fn pick(
        &self,
        now: Micros,
        members: &[Placed],
        bad: &[MemberId],
        load: impl Fn(&Peer) -> u32,
        able: impl Fn(&Peer) -> bool,
    ) -> Option<(MemberId, u8)> {
        let sum = |(total, shares), m: &Placed| (total + f64::from(load(m.peer)), shares + m.share);
        let (total, shares) = members.iter().fold((1.0, 1e-9), sum);
        let standing = |m: &Placed| {
            let full = f64::from(load(m.peer)) + 1.0 > (OVERFULL * total * m.share / shares).max(FEW_OPEN);
            let trusted = now >= m.peer.until && m.peer.trust.is_none_or(|t| load(m.peer) < t);
            if bad.contains(&m.place.1) { 0 } else { 1 + u8::from(trusted) + u8::from(trusted && !full) }
        };
        // Usually the first in rank has the best standing and the others need not be compared.
        let first = members.iter().min_by_key(|m| m.place).filter(|m| standing(m) == BEST && able(m.peer));
        let all = || members.iter().filter(|m| able(m.peer)).min_by_key(|m| (BEST - standing(m), m.place));
        first.or_else(all).map(|m| (m.place.1, standing(m)))
    }

    // ---- 3. Health ----

    /// Records a success of a member: lowers its fault rate and advances its probation.
    fn good(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let Some(p) = self.peers.get_mut(&id) else { return };
        p.ill *= 1.0 - SOFT;
        if let Some(trust) = p.trust {
            p.trust = (trust < TRUSTED).then_some(trust * 2);
            if p.trust.is_none() {
                p.aside = 0;
                out.push(Action::Log(format!("member {} trusted again", id.0)));
            }
        }
    }

    /// Records a fault of a member. Guards against dead, unreachable, slow and broken members: one with a
    /// high fault rate, far above that of the others of its tier, is quarantined, longer each time, and then
    /// gets a few attempts as probation. Not when all fail alike: then the cause lies elsewhere, and their
    /// work would overload the rest. Drawback: a fault of half the members at once is detected late.
    fn fault(&mut self, now: Micros, id: MemberId, weight: f64, out: &mut Vec<Action>) {
        let sort = self.peers.get(&id).and_then(|p| self.sort(&p.entry));
        let alike = sort.map_or(&[][..], |sort| &self.ready[sort]).iter().filter(|other| **other != id);
        let ills = alike.filter_map(|id| self.peers.get(id)).map(|p| p.ill);
        let (sum, n) = ills.fold((0.0, 0.0), |(sum, n), ill| (sum + ill, n + 1.0));
        let Some(p) = self.peers.get_mut(&id) else { return };
        if weight >= HARD && p.ill > ILL {
            // After two failed connections the member, once back, has restarted, seconds before the list says
            // so.
            p.entry.started = now;
        }
        p.ill += weight * (1.0 - p.ill);
        let stands_out = n > 0.0 && p.ill > ILL && p.ill > STANDS_OUT * sum / n;
        if now >= p.until && (stands_out || p.trust.is_some()) {
            out.extend(p.trust.is_none().then(|| Action::Log(format!("member {} set aside", id.0))));
            p.aside = (p.aside * 2).clamp(ASIDE_FIRST, ASIDE_MOST);
            (p.until, p.trust) = (now + p.aside, Some(1));
        }
    }

    /// Attributes an outcome as a success or a fault to the member or to the source of its fill.
    fn judge(&mut self, now: Micros, attempt: &Attempt, o: &Outcome, late: bool, out: &mut Vec<Action>) {
        let (member, told) = (attempt.member, self.settings.notes == Notes::All);
        let via = attempt.source.unwrap_or(member);
        match (o.status, o.note) {
            (Status::Ok, Some(Note::Hit | Note::Stale)) if late => self.fault(now, member, SOFT, out),
            (Status::Ok, note) => {
                self.good(member, out);
                if matches!(note, Some(Note::Filled | Note::FilledByOrigin)) {
                    self.good(via, out);
                }
            }
            (_, Some(Note::SourceRefused | Note::SourceUnreachable)) => self.fault(now, via, SOFT, out),
            (_, Some(Note::OriginFailed | Note::SourceLacks | Note::FillsFull)) => {}
            (Status::ConnectFailed, _) => self.fault(now, member, HARD, out),
            // The client's deadline was short: the attempt was not late yet.
            (Status::Timeout, _) if !late => {}
            (Status::Reset | Status::Timeout, _) => self.fault(now, member, SOFT, out),
            (Status::Error | Status::Full, _) if !told && via != member => self.fault(now, via, SOFT, out),
            _ => {}
        }
    }

    /// Takes over other directors' observations where this director has none of its own: the more attempts
    /// have ended at a member, the less they count. The inherited ids are kept until the filter's next swap.
    fn inherit(&mut self, now: Micros, told: Inherited) {
        for m in told.members {
            let same = |p: &&mut Peer| p.entry.started == m.started;
            let Some(p) = self.peers.get_mut(&m.id).filter(same) else { continue };
            let doubt = 1.0 / (f64::from(p.met) + 1.0);
            p.ill += m.fault_rate_weight * doubt * (m.fault_rate - p.ill);
            p.pace.start(m.concurrency, doubt);
            if m.quarantine > 0 && p.met == 0 {
                (p.until, p.trust) = (now + m.quarantine.min(ASIDE_MOST), Some(1));
            }
        }
        self.fill_pace.start(told.fills[0], 1.0);
        self.origin_pace.start(told.fills[1], 1.0);
        self.warm_rate = if self.rate_from > 0 { self.warm_rate } else { told.warm_rate };
        let seen = told.seen_ids.into_iter().take(GENERATION).collect();
        (self.filter.last_added, self.filter.inherited) = (now, seen);
    }

    // ---- 4. Life of a request ----

    /// Terms of a class.
    fn class(&self, class: usize) -> Class {
        // An unknown class is treated as the most restrictive one.
        let unknown = || Class { idempotency: Idempotency::AtMostOnce, write: true, ..Class::default() };
        self.settings.classes.get(class).cloned().unwrap_or_else(unknown)
    }

    /// Sending time of a request's answer in seconds: by its size where known, else the mean of the class.
    fn work_of(&self, r: &Request) -> f64 {
        let (kb, flow) = (r.size_kb, self.settings.flow_kb_per_s);
        kb.filter(|_| flow > 0.0).map_or_else(|| self.mean_work(r.class), |kb| kb / flow)
    }

    /// Time after which an attempt of this request is late: the aim of the class, extended by the sending
    /// time.
    fn aim(&self, r: &Request) -> Micros {
        let class = self.class(r.class);
        class.aim + (class.aim_stretch * self.work_of(r) * 1e6) as Micros
    }

    /// Mean sending time of a class, in seconds.
    fn mean_work(&self, class: usize) -> f64 {
        self.work.get(class).copied().unwrap_or(0.1)
    }

    /// Handles a new request.
    fn request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let key = hash(&request.object);
        let write = request.write || self.class(request.class).write;
        let keep = self.keep(now, key, write);
        let work = self.work_of(&request);
        if let Some(mean) = self.work.get_mut(request.class).filter(|_| request.size_kb.is_some()) {
            *mean += LEARN * (work - *mean);
        }
        let (id, own_first) = (request.id, self.own_first(now, &request, key));
        let (attempts, bad, erred, look) = (Vec::new(), Vec::new(), Vec::new(), Look::default());
        let (answered, own_wanted) = (false, own_first);
        let open = Open { request, key, keep, attempts, answered, own_wanted, look, bad, erred };
        self.open.insert(id, open);
        if own_first {
            return out.push(Action::Own { id });
        }
        self.step(now, id, out);
    }

    /// Decides a request again without its own copy, which no longer exists.
    fn own_lost(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        (open.request.own_copy, open.own_wanted) = (None, false);
        self.step(now, id, out);
    }

    /// Maximum age of an acceptable copy, where the class has a fresh time. A stale copy earns less than a
    /// fresh one, but more than a fill while many of them are late, or than a refusal where there is no room
    /// for one.
    fn oldest(&self, class: usize, room: bool) -> Option<Micros> {
        let c = self.class(class);
        let late = self.slow.get(class).copied().unwrap_or(0.0) * (1.0 - c.late_worth);
        let ageing = !room || late > 1.0 - c.stale_worth;
        (c.fresh_for > 0).then_some(c.fresh_for + if ageing { c.stale_for } else { 0 })
    }

    /// Whether the router's own copy is acceptable: the request is no write, and the copy is within the
    /// maximum age and not purged.
    fn own_holds(&self, now: Micros, request: &Request, key: u64, limit: Option<Micros>) -> bool {
        let purged = self.purge_age(now, key, request.group);
        request.own_copy.is_some_and(|own| {
            let old = |limit: Micros| own.age + OWN_MARGIN >= limit;
            !request.write && !limit.is_some_and(old) && !purged.is_some_and(old)
        })
    }

    /// Whether the own copy is preferred to the caches: it is fresh and its delivery soon enough. Saves fills
    /// of objects that the caches have evicted, and load on the caches while the router's link is idle.
    /// Drawback: takes capacity of the link from other requests.
    fn own_first(&self, now: Micros, request: &Request, key: u64) -> bool {
        let oldest = self.oldest(request.class, true);
        let holds = |_: &OwnCopy| self.own_holds(now, request, key, oldest);
        let Some(own) = request.own_copy.filter(holds) else { return false };
        let room = if own.since_cache_hit >= OWN_UNSEEN { OWN_FILL } else { OWN_HIT };
        let spare = room * self.aim(request) as f64 + self.work_of(request) * 1e6;
        own.delivery_time as f64 <= spare && now + own.delivery_time < request.valid_until
    }

    /// Rank at which the object is kept. By the paper's test an object seen recently is kept at the middle
    /// rank and any other is passed through. The other directors at this location have seen it with a
    /// probability of about their share of the requests: with this probability it is kept on trial, at the
    /// lowest rank.
    fn keep(&mut self, now: Micros, key: u64, write: bool) -> Keep {
        match !write && self.filter.seen(now, key) {
            true => Keep::Middle,
            false if !write && self.draw(u64::from(self.sharers(Some(CACHES)))) > 0 => Keep::Low,
            false => Keep::Pass,
        }
    }

    /// Number of directors that send to members of a tier: those at this location for caches, else all.
    fn sharers(&self, sort: Option<usize>) -> u32 {
        let Settings { zone, zone_directors, directors, .. } = &self.settings;
        zone_directors.get(*zone).filter(|_| sort == Some(CACHES)).unwrap_or(directors).max(&1).to_owned()
    }

    /// Number of directors at the location for which one answer counts, as the others' answers aren't seen
    /// here.
    fn stands_for(&self) -> f64 {
        f64::from(self.sharers(Some(CACHES))).min(STANDS_FOR_MOST)
    }

    /// Pseudo-random number below the bound, from the director's seed.
    fn draw(&mut self, bound: u64) -> u64 {
        self.random = mix(self.random.wrapping_add(0x9e37_79b9_7f4a_7c15));
        self.random % bound.max(1)
    }

    /// Sends the next attempt or, if none is possible, gives the final answer.
    fn step(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut open) = self.open.remove(&id) else { return };
        let tokens = if open.attempts.is_empty() || open.look.follows { 0.0 } else { 1.0 };
        if self.retry_tokens >= tokens && self.send(now, &mut open, false, out) {
            self.retry_tokens -= tokens;
        } else {
            self.give_up(now, &mut open, out);
        }
        if !open.answered || open.attempts.iter().any(|a| !a.ended) {
            self.open.insert(id, open);
        }
    }

    /// Time after which an attempt counts as overdue: well after the usual answer time or, the more second
    /// copies were answered first, so early that a second copy can still be in time.
    fn patience(&self, open: &Open) -> Micros {
        let (mean, deviation) = (self.pace_mean, self.pace_deviation);
        let (late, early) =
            (mean + OVERDUE * deviation, (mean + deviation).max(1.0 - mean - 2.0 * deviation));
        (self.aim(&open.request) as f64 * (late + self.copies_won * (early.min(late) - late))) as Micros
    }

    /// Handles the timer of an attempt. Guards against answers that never come: an overdue attempt gets a
    /// second copy where allowed, and the first goes on. Where the member is healthy the second copy is a
    /// lookup, which costs no second fill. Unless the lookup finds the fill running, the first attempt counts
    /// as lost and no longer as in flight. Drawback: doubles late work, so no second copy is sent while fills
    /// are late; the retry tokens limit it.
    fn overdue(&mut self, now: Micros, token: u64, out: &mut Vec<Action>) {
        let Some((id, attempt)) = self.watched.remove(&token) else { return };
        let Some(mut open) = self.open.remove(&id) else { return };
        if let Some(a) = open.attempts.get_mut(attempt).filter(|a| !a.ended) {
            let (member, source) = (a.member, a.source);
            let (calm, aim) = (self.calm(), self.aim(&open.request));
            source.into_iter().for_each(|source| self.fault(now, source, SOFT, out));
            self.suspect(&mut open, member);
            let class = self.class(open.request.class);
            let arrival = now + (self.pace_mean * self.aim(&open.request) as f64) as Micros;
            let kept = class.idempotency != Idempotency::Deduplicated
                || arrival < open.attempts[0].at + class.dedup_window;
            let kept = kept && arrival < open.request.valid_until;
            let useful = self.settings.second_copies && self.calm() && kept && !open.answered;
            let look = !open.bad.contains(&member);
            let sent = useful && self.retry_tokens >= 1.0 && self.send(now, &mut open, look, out);
            self.retry_tokens -= f64::from(sent);
            let a = &mut open.attempts[attempt];
            match calm || self.copies_won > MOSTLY_WON {
                true if !(sent && look) => self.release(a),
                false if now.saturating_sub(a.at) > aim => self.known_late(now, a),
                _ => {}
            }
        }
        self.open.insert(id, open);
    }

    /// Counts a fill as late before its end: it still counts as in flight and its limit adapts now. Guards
    /// against directors that all notice congestion only by answers that arrive when it has lasted for
    /// seconds.
    fn known_late(&mut self, now: Micros, a: &mut Attempt) {
        if a.source.is_none() || a.held || std::mem::replace(&mut a.late, true) {
            return;
        }
        let stands_for = self.stands_for();
        match self.settings.notes {
            Notes::All => self.origin_pace.tell(now, self.full_out, true, LATE_MANY, stands_for),
            _ => self.fill_pace.tell(now, self.fills_out, true, LATE_MANY, stands_for),
        }
    }

    /// Whether fills are in time.
    fn calm(&self) -> bool {
        self.fill_pace.lateness.max(self.origin_pace.lateness) < LATE_MANY / 2.0
    }

    /// Stops counting the attempt as in flight.
    fn release(&mut self, a: &mut Attempt) {
        if std::mem::replace(&mut a.released, true) {
            return;
        }
        if let Some(p) = self.peers.get_mut(&a.member) {
            (p.open, p.met) = (p.open.saturating_sub(1), p.met.saturating_add(1));
        }
        if let Some(p) = a.source.and_then(|s| self.peers.get_mut(&s)) {
            p.fills = p.fills.saturating_sub(1);
            self.fills_out = self.fills_out.saturating_sub(1);
            self.full_out = self.full_out.saturating_sub(u32::from(!a.held));
        }
    }

    /// Marks a member as at fault for the request after a lost answer, if the answer was lost before or the
    /// member often fails or is late. Otherwise it is asked once more.
    fn suspect(&self, open: &mut Open, member: MemberId) {
        let again = open.attempts.iter().filter(|a| a.member == member).count() > 1;
        if again || self.peers.get(&member).is_none_or(|p| p.ill > ILL || p.pace.lateness > LATE_MANY) {
            open.bad.push(member);
        }
    }

    /// Sends an attempt, if the rules and limits allow one, and returns whether it did. With `look` it is a
    /// lookup, unless the request is a write.
    fn send(&mut self, now: Micros, open: &mut Open, look: bool, out: &mut Vec<Action>) -> bool {
        let class = self.class(open.request.class);
        let write = open.request.write || class.write;
        let chance = self.draw(1024) as f64 / 1024.0;
        // Parts of segmented objects are spread over the caches; filter and parent go by the whole object.
        let spread = if class.segmented { mix(open.key ^ mix(open.request.part + 1)) } else { open.key };
        let caches = self.placed(now, spread, CACHES);
        let able = |p: &Peer| self.may_send(now, open, p, &class) && p.pace.room(p.open, chance);
        let Some((member, _)) = self.pick(now, &caches, &open.bad, |p| p.open, able) else { return false };
        let mut source = self.source(now, open, write, chance).unwrap_or(member);
        let (mut held, mut room) = (false, true);
        if look && !write {
            source = member;
        } else if !(write || open.look.joinable && self.settings.join_fills) {
            let parent = self.peers.get(&source).is_some_and(|p| self.sort(&p.entry) == Some(PARENTS));
            let fills = self.fill_pace.room(self.fills_out, chance);
            room = fills && self.origin_pace.room(self.full_out, chance);
            held = !room && fills && parent && !open.look.held_missed;
            if !room && !held {
                if open.look.missed || open.look.held_missed {
                    return false;
                }
                source = member;
            }
        }
        // Valid as long as the client waits: earlier timeouts discarded large transfers that were running.
        let until = open.request.valid_until;
        let age = self.purge_age(now, open.key, open.request.group);
        let oldest = self.oldest(open.request.class, room);
        let renew = oldest.is_some_and(|oldest| oldest > class.fresh_for);
        let max_age = age.into_iter().chain(oldest.filter(|_| renew || age.is_some())).min();
        let join = self.settings.join_fills && age.is_none() && !write;
        let mode = FillMode { held_only: held, join, renew, ..FillMode::default() };
        let id = open.request.id;
        out.push(Action::Fetch { id, member, until, source, keep: open.keep, max_age, mode });
        let delay = self.patience(open);
        if now + delay < until {
            self.watched.insert(self.next_token, (open.request.id, open.attempts.len()));
            out.push(Action::Timer { delay, token: self.next_token });
            self.next_token += 1;
        }
        let source = (source != member).then_some(source);
        self.spend(now, member, self.mean_work(open.request.class), |p| p.open += 1);
        if let Some(s) = source {
            self.fills_out += 1;
            self.full_out += u32::from(!held);
            self.spend(now, s, self.work_of(&open.request), |p| p.fills += 1);
        }
        open.look.follows = false;
        let (zone, cell) = self.peers.get(&member).map_or((0, 0), |p| (p.entry.zone, p.entry.cell));
        let attempt =
            Attempt { member, source, at: now, held, may_have_run: true, zone, cell, ..Attempt::default() };
        open.attempts.push(attempt);
        true
    }

    /// Source of a fill: the object's parent, else the next ones, but the origin rather than a quarantined
    /// parent. Writes go to the origin.
    fn source(&self, now: Micros, open: &Open, write: bool, chance: f64) -> Option<MemberId> {
        let parents = self.placed(now, open.key, PARENTS);
        let origin = self.ready[ORIGIN].first().copied();
        let able = |p: &Peer| self.within_cold_budget(now, p, self.work_of(&open.request));
        let free = |p: &Peer| able(p) && p.pace.room(p.fills, chance);
        let trusted = |found: &(MemberId, u8)| found.1 > u8::from(origin.is_some());
        let pick = |able: &dyn Fn(&Peer) -> bool| self.pick(now, &parents, &open.bad, |p| p.fills, able);
        let parent = pick(&free).filter(trusted).or_else(|| pick(&able).filter(trusted)).map(|(id, _)| id);
        if write { origin.or(parent) } else { parent.or(origin) }
    }

    /// Adapts the concurrency limits to an outcome. Guards against congestion that sustains itself: a link
    /// shared by too many transfers makes all of them late. The limit of a cache falls while its own copies
    /// come late and rises while they come in time; requests above it are refused at once. Drawback: large
    /// objects can keep it low. The same holds for all fills together, which share the location's inbound
    /// link, and for those that may go on to the origin. While the latter limit is used up, parents answer
    /// only from copies they hold; while the former is, caches do. On a miss there a fill is sent or joined
    /// if there is room. Drawback: a lookup costs a round trip.
    fn pace(&mut self, now: Micros, open: &Open, attempt: &Attempt, o: &Outcome) {
        let aim = self.aim(&open.request);
        // A timeout counts only if the attempt had enough time: short client deadlines don't indicate
        // congestion.
        let late = o.elapsed > if o.status == Status::Timeout { 2 * aim } else { aim };
        let stands_for = self.stands_for();
        let many = if open.request.size_kb.is_some() { LATE_MANY } else { LATE_UNSIZED };
        let told = self.settings.notes == Notes::All;
        let hit = matches!(o.note, Some(Note::Hit | Note::Stale));
        // Where the source may be the cause, an outcome says nothing about the cache.
        let own = hit || ((told || attempt.source.is_none()) && o.note.is_none());
        if let Some(p) = self.peers.get_mut(&attempt.member).filter(|_| own) {
            // A lost answer is not a late one: it counts only while other answers are late too.
            let lost = o.status == Status::Timeout && late && p.pace.lateness > LATE_MANY / 2.0;
            if lost || matches!(o.status, Status::Ok | Status::Full) {
                p.pace.tell(now, p.open, late || o.status == Status::Full, many, stands_for);
            }
        }
        // The faults of a quarantined source are already dealt with and say nothing about the others.
        let aside = |id: &MemberId| self.peers.get(id).is_some_and(|p| p.trust.is_some());
        if attempt.late || hit || o.note == Some(Note::FillsFull) || attempt.source.as_ref().is_none_or(aside)
        {
            return;
        }
        let late = match o.status {
            Status::Ok => late,
            // A lost answer is not a late one here either: else it would stop the second copies that replace
            // it.
            Status::Timeout if late && !self.calm() => true,
            Status::Full | Status::Error if !told || o.note == Some(Note::OriginFailed) => true,
            _ => return,
        };
        // A parent's limit adapts only to fills from its own copies, as in others the origin may be late.
        let by_its_copy = told && (attempt.held || o.note == Some(Note::Filled));
        if let Some(p) = attempt.source.and_then(|id| self.peers.get_mut(&id)).filter(|_| by_its_copy) {
            p.pace.tell(now, p.fills, late, many, 1.0);
        }
        if let Some(slow) = self.slow.get_mut(open.request.class) {
            *slow += LATE_LEARN * (f64::from(late) - *slow);
        }
        // Where notes don't say where a fill came from, the limit of all fills applies.
        match !told || attempt.held || o.note == Some(Note::Filled) {
            true => self.fill_pace.tell(now, self.fills_out, late, many, stands_for),
            // A slow origin misses short aims even at low load; congestion also makes requests with long aims
            // late.
            false => {
                let longest = self.settings.classes.iter().filter(|c| !c.write).map(|c| c.aim).max();
                let spare = longest.map_or(0, |l| l.saturating_sub(self.class(open.request.class).aim));
                let late = late && (o.status != Status::Ok || o.elapsed > aim + spare);
                self.origin_pace.tell(now, self.full_out, late, many, stands_for);
            }
        }
    }

    /// Handles the end of an attempt.
    fn outcome(&mut self, now: Micros, o: Outcome, out: &mut Vec<Action>) {
        let Some(mut open) = self.open.remove(&o.id) else { return };
        let Some(attempt) = open.attempts.get_mut(o.attempt as usize).filter(|a| !a.ended) else {
            return drop(self.open.insert(o.id, open));
        };
        attempt.ended = true;
        attempt.may_have_run = !o.status.never_executed();
        let attempt = *attempt;
        self.pace(now, &open, &attempt, &o);
        self.release(&mut open.attempts[o.attempt as usize]);
        let hit = matches!(o.note, Some(Note::Hit | Note::Stale));
        if let Some(p) = attempt.source.filter(|_| hit).and_then(|s| self.peers.get_mut(&s)) {
            // On a hit the source was not asked.
            if let Some(i) = p.sent.iter().position(|(at, _)| *at == attempt.at) {
                p.sent.remove(i);
            }
        }
        if o.status == Status::Ok {
            self.learn(now, &open, &attempt, &o);
            let cancel = |a: &Attempt| self.settings.cancel && o.closed && !a.ended;
            let rest = open.attempts.iter().enumerate().filter(|(_, a)| cancel(a));
            out.extend(rest.map(|(n, _)| Action::Cancel { id: o.id, attempt: n as u32 }));
        }
        let late = o.elapsed > self.aim(&open.request);
        self.judge(now, &attempt, &o, late, out);
        // Guards against blaming members for invalid requests: an error counts as a fault only once another
        // member has answered the request successfully; after errors of two members the request is given up.
        if o.status == Status::Ok {
            let erred = std::mem::take(&mut open.erred);
            erred.into_iter().filter(|m| *m != o.member).for_each(|m| self.fault(now, m, SOFT, out));
        } else if o.status == Status::Error && o.note.is_none() && self.settings.notes == Notes::All {
            open.erred.push(o.member);
        }
        // Without notes a refusal or an error counts against the source first, then against the cache.
        let untold = self.settings.notes != Notes::All && matches!(o.status, Status::Full | Status::Error);
        let again = open.attempts.iter().filter(|a| a.member == o.member).count() > 1;
        let source_fault =
            matches!(o.note, Some(Note::SourceRefused | Note::SourceUnreachable | Note::OriginFailed));
        match attempt.source {
            source if o.status == Status::Miss && (source.is_none() || attempt.held) => {
                (open.look.missed, open.look.held_missed) = (true, open.look.held_missed || source.is_some());
                let joined = o.note == Some(Note::Joined);
                (open.look.joinable, open.look.follows) = (joined, true);
                for a in open.attempts.iter_mut().filter(|a| !a.ended && a.member == o.member) {
                    if joined { self.known_late(now, a) } else { self.release(a) }
                }
            }
            Some(source) if source_fault || (untold && !again) => open.bad.push(source),
            _ if matches!(o.status, Status::Reset | Status::Timeout) => self.suspect(&mut open, o.member),
            _ => open.bad.push(o.member),
        }
        open.answered |= o.closed;
        let running = open.attempts.iter().any(|a| !a.ended);
        if !open.answered && !running && open.erred.len() > 1 {
            self.give_up(now, &mut open, out);
        }
        let (id, answered, own_wanted) = (o.id, open.answered, open.own_wanted);
        if !answered || running {
            self.open.insert(id, open);
        }
        if !answered && !running && !own_wanted {
            self.step(now, id, out);
        }
    }

    /// Updates the estimates of answer times, sending times and served rates from a successful answer.
    fn learn(&mut self, now: Micros, open: &Open, attempt: &Attempt, o: &Outcome) {
        let ratio = (o.elapsed as f64 / self.aim(&open.request).max(1) as f64).min(4.0);
        if ratio <= 1.0 {
            self.retry_tokens = (self.retry_tokens + RETRY_EARN).min(RETRY_SAVE);
        }
        self.pace_deviation += LEARN * ((ratio - self.pace_mean).abs() - self.pace_deviation);
        self.pace_mean += LEARN * (ratio - self.pace_mean);
        if open.attempts.iter().any(|a| !a.ended) {
            self.copies_won += 2.0 * LATE_LEARN * (f64::from(o.attempt > 0) - self.copies_won);
        }
        if open.request.size_kb.is_none() && matches!(o.note, Some(Note::Hit) | None) {
            // Where sizes are unknown, hits show the sending time as long as the cache isn't congested.
            let calm = self.peers.get(&o.member).is_some_and(|p| p.pace.lateness < LATE_MANY / 2.0);
            if let Some(mean) = self.work.get_mut(open.request.class).filter(|_| calm) {
                *mean += LEARN * (o.elapsed as f64 / 1e6 - *mean);
            }
        }
        let filled = !matches!(o.note, Some(Note::Hit | Note::Stale | Note::Joined));
        let fill = if filled && attempt.source.is_some() { self.work_of(&open.request) } else { 0.0 };
        self.served(now, [self.mean_work(open.request.class), fill]);
    }

    /// Marks the request as answered and removes it when no attempt is running.
    fn close(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.answered = true;
        if open.attempts.iter().all(|a| a.ended) {
            self.open.remove(&id);
        }
    }

    /// Gives the final answer when no further attempt is made.
    fn give_up(&mut self, now: Micros, open: &mut Open, out: &mut Vec<Action>) {
        let id = open.request.id;
        // An own copy, even a stale one, is better than a refusal.
        let limit = self.oldest(open.request.class, false);
        let due = open.attempts.first().map_or(now, |a| a.at) + self.aim(&open.request);
        let soon = open
            .request
            .own_copy
            .is_some_and(|own| now + own.delivery_time < due.min(open.request.valid_until));
        if soon && self.own_holds(now, &open.request, open.key, limit) {
            open.own_wanted = true;
            return out.push(Action::Own { id });
        }
        open.answered = true;
        if self.may_refuse(open) {
            // Short, so that the client's retry can still be in time; with jitter, so that retries don't
            // coincide.
            let span = (self.class(open.request.class).aim / 4).max(1);
            let wait = (span + self.draw(span)).min(self.settings.max_retry_after);
            out.push(Action::Refuse { id, wait });
        } else {
            out.push(Action::Fail { id });
        }
    }

    // ---- 5. Rule checks ----

    /// Records a purge and removes those that are complete.
    fn purged(&mut self, now: Micros, object: Option<String>, group: u64, age: Micros) {
        let at = now.saturating_sub(age);
        let done = self.settings.purge_complete_within + self.settings.purge_grace;
        let over = |at: Micros| now.saturating_sub(at) > done;
        while let Some((_, key)) = self.purges_told.pop_front_if(|(told, _)| over(*told)) {
            if self.purges.get(&key).is_some_and(|at| over(*at)) {
                self.purges.remove(&key);
            }
        }
        let key = object.map_or((group, true), |o| (hash(&o), false));
        self.purges_told.push_back((now, key));
        self.purges.entry(key).and_modify(|slot| *slot = at.max(*slot)).or_insert(at);
    }

    /// Maximum age that excludes copies from before a purge, while such copies may still exist. Never 0,
    /// which means no limit.
    fn purge_age(&self, now: Micros, key: u64, group: u64) -> Option<Micros> {
        let told = [(key, false), (group, true), (ALL_GROUPS, true)].map(|what| self.purges.get(&what));
        let age = now.saturating_sub(*told.into_iter().max().flatten()?);
        let about = age <= self.settings.purge_complete_within + self.settings.purge_grace;
        about.then(|| age.saturating_sub(1_000).max(1))
    }

    /// Checks that every attempt must pass: the member is listed as ready, number of attempts and time are
    /// within bounds, nothing can be executed twice, and a cold member's budget is kept.
    fn may_send(&self, now: Micros, open: &Open, peer: &Peer, class: &Class) -> bool {
        let tries = (open.attempts.len() as u32) < self.settings.max_attempts.max(1);
        let effect = match (class.idempotency, open.attempts.iter().find(|a| !a.ended || a.may_have_run)) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::AtMostOnce, _) => false,
            (Idempotency::Deduplicated, Some(first)) => {
                now.saturating_sub(first.at) < class.dedup_window
                    && match class.dedup_group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => first.zone == peer.entry.zone,
                        DedupGroup::Cell => (first.zone, first.cell) == (peer.entry.zone, peer.entry.cell),
                    }
            }
        };
        let alone = self.settings.second_copies || open.attempts.iter().all(|a| a.ended);
        let (ready, work) = (peer.entry.lifecycle == Lifecycle::Ready, self.mean_work(open.request.class));
        let in_time = now < open.request.valid_until;
        ready && tries && effect && alone && in_time && self.within_cold_budget(now, peer, work)
    }

    /// Whether the request may be refused: a refusal promises that a retry is safe.
    fn may_refuse(&self, open: &Open) -> bool {
        let class = self.class(open.request.class);
        let dropped = class.idempotency == Idempotency::Deduplicated && class.dedup_group == DedupGroup::All;
        let ran = |a: &Attempt| !a.ended || a.may_have_run;
        class.idempotency == Idempotency::Idempotent || dropped || !open.attempts.iter().any(ran)
    }

    /// Whether one more attempt stays within this director's share of a cold member's budget for a window.
    fn within_cold_budget(&self, now: Micros, p: &Peer, work: f64) -> bool {
        let part = self.ramp(now, &p.entry);
        if part >= 1.0 || self.settings.overload_window == 0 {
            return true;
        }
        let (s, sort) = (&self.settings, self.sort(&p.entry));
        let (parent, sharers) = (sort == Some(PARENTS), f64::from(self.sharers(sort)));
        let multiple = if parent { s.parent_overload_multiple } else { s.overload_multiple };
        // Rate when warm, for this director: by its weight, else as observed of warm members.
        let told = matches!(s.weights, Weights::Nominal | Weights::Rough);
        let warm = if told { self.weight(&p.entry) / sharers } else { self.warm_rate[usize::from(parent)] };
        let window = s.overload_window as f64 / 1e6;
        let budget = COLD_MARGIN * multiple * part * warm * window;
        let from = now.saturating_sub(s.overload_window);
        let spent: f64 = p.sent.iter().filter(|(at, _)| *at >= from).map(|(_, w)| w).sum();
        // Where the share is less than one attempt, directors take turns: each at times of its own, as often
        // as the growing capacity allows and less often for larger work. The rate of turns changes in steps,
        // so that a new estimate doesn't start a new turn. Guards against directors that save up turns and
        // all send at once. Drawback: an unused turn is lost.
        let mean = (self.work.iter().sum::<f64>() / self.work.len().max(1) as f64).max(1e-9);
        let share = TURN_MARGIN * multiple * warm / mean;
        let step = || TURN_STEP.powf(share.log(TURN_STEP).floor());
        let (pace, first, part) = match share > 0.0 {
            true => (step(), self.ramp(p.entry.started, &p.entry), part),
            false => (1.0 / (window * sharers), 1.0, 1.0),
        };
        let turn = p.turn + pace * now.saturating_sub(p.entry.started) as f64 / 1e6 * (first + part) / 2.0;
        let since = turn.fract() / (pace * part);
        let used = p.sent.back().is_some_and(|(at, _)| now.saturating_sub(*at) as f64 / 1e6 <= since);
        let has_turn =
            since <= window * TURN && (turn as u64).is_multiple_of((work / mean).round().max(1.0) as u64);
        spent + work <= budget || (work > budget && spent == 0.0 && has_turn && !used)
    }

    /// Records a send in the cold member's budget and among the attempts in flight.
    fn spend(&mut self, now: Micros, id: MemberId, work: f64, count: fn(&mut Peer)) {
        let window = self.settings.overload_window;
        let Some(p) = self.peers.get_mut(&id) else { return };
        count(p);
        while p.sent.front().is_some_and(|(at, _)| now.saturating_sub(*at) > window) {
            p.sent.pop_front();
        }
        p.sent.push_back((now, work));
    }

    /// Learns the rate of a warm cache (0) and parent (1) from what they served; a cold one counts by its
    /// share of capacity.
    fn served(&mut self, now: Micros, work: [f64; 2]) {
        self.rate_sum = [self.rate_sum[0] + work[0], self.rate_sum[1] + work[1]];
        let span = now.saturating_sub(self.rate_from);
        if span < self.settings.overload_window.max(1) {
            return;
        }
        for sort in [CACHES, PARENTS] {
            let ready = self.ready[sort].iter().filter_map(|id| self.peers.get(id));
            let parts: f64 = ready.map(|p| self.ramp(now, &p.entry)).sum();
            if parts > 0.0 && self.rate_from > 0 {
                let (rate, old) = (self.rate_sum[sort] / (span as f64 / 1e6) / parts, self.warm_rate[sort]);
                self.warm_rate[sort] += (rate - old) * if rate > old { RATE_UP } else { LEARN };
            }
        }
        (self.rate_from, self.rate_sum) = (now, [0.0; 2]);
    }
}
