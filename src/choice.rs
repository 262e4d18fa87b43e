//! All decisions of a director. Its interface (settings, events, actions) is in `src/interface.rs`. In order:
//! tuning constants, the ageing filter, placement, health of members, life of a request, rule checks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::hashing::{hash, mix, unit_interval};
use crate::interface::*;

mod report;

/// Number of ids in a generation of the ageing filter (default of the design page).
const FILTER_GENERATION: usize = 4096;
/// Time without a new id, in microseconds, after which the filter's generations are swapped once more
/// (default of the design page).
const FILTER_IDLE_TIME: Micros = 10_000_000;
/// Multiple of its fair share of the attempts in flight above which a member is overloaded.
const OVERLOAD_FACTOR: f64 = 2.0;
/// A member with at most this many attempts in flight, the next one included, is never overloaded. Also the
/// minimum of an initial concurrency limit.
const FEW_IN_FLIGHT: f64 = 4.0;
/// Highest standing of a candidate: not at fault for this request, trusted and not overloaded.
const BEST_STANDING: u8 = 3;
/// Share of a cold member's budget that is used; the rest allows for chance and for clock differences.
const COLD_BUDGET_SHARE: f64 = 0.7;
/// Length of a turn, in budget windows. Directors take turns at a cold member where their share of its budget
/// is less than one attempt.
const TURN_WINDOWS: f64 = 2.0;
/// Share of the budget that turns may use. In one window all directors that have a turn may use it, and so
/// may those whose turn begins in the window: 0.32 x (1 + 2) is less than the whole budget.
const TURN_BUDGET_SHARE: f64 = 0.32;
/// Ratio between neighbouring steps of the rate at which turns come.
const TURN_RATE_STEP: f64 = 1.1;
/// Retry tokens earned by each answer in time; a further attempt costs one. A fault that hits all members
/// must not double the load.
const RETRY_TOKENS_EARNED: f64 = 0.5;
/// Maximum number of retry tokens.
const MAX_RETRY_TOKENS: f64 = 10.0;
/// An attempt is overdue after the mean answer time plus this many mean deviations (as TCP's retransmission
/// timeout).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Share of second copies answered first above which an overdue attempt counts as lost even under congestion.
const HIGH_COPY_WIN_RATE: f64 = 0.8;
/// Weight of an ordinary fault in a member's running fault rate.
const FAULT: f64 = 0.2;
/// Weight of a failed connection in a member's running fault rate: it is the strongest evidence.
const CONNECT_FAULT: f64 = 0.6;
/// Fault rate above which a member is quarantined, if it is an outlier.
const QUARANTINE_FAULT_RATE: f64 = 0.5;
/// Multiple of the mean fault rate of the other members of its tier above which a member is an outlier.
const OUTLIER_FACTOR: f64 = 2.0;
/// Length of a member's first quarantine, in microseconds; each further one is twice as long.
const MIN_QUARANTINE: Micros = 1_000_000;
/// Maximum length of a quarantine, in microseconds.
const MAX_QUARANTINE: Micros = 8_000_000;
/// Highest limit of attempts in flight during probation, which follows a quarantine. The limit starts at 1
/// and doubles with each success; a success at this limit ends the probation.
const MAX_PROBATION: u32 = 8;
/// Initial concurrency limit, divided among the directors that share the member.
const INITIAL_LIMIT: f64 = 120.0;
/// Minimum concurrency limit.
const MIN_LIMIT: f64 = 0.1;
/// Factor by which late answers reduce a concurrency limit (AIMD).
const LIMIT_DECREASE: f64 = 0.85;
/// Increase of a concurrency limit for each answer in time, divided by the limit (AIMD).
const LIMIT_INCREASE: f64 = 2.0;
/// Minimum time between two reductions of a limit, in microseconds, so that one period of congestion counts
/// once.
const DECREASE_INTERVAL: Micros = 300_000;
/// Share of late answers that means congestion.
const CONGESTED_LATE_RATE: f64 = 0.3;
/// Share of late answers that means congestion where sizes are unknown.
const CONGESTED_LATE_RATE_UNSIZED: f64 = 0.4;
/// Share of late answers below which a limit is raised as fast as at the start.
const SLOW_START_LATE_RATE: f64 = 0.02;
/// Weight of a new answer in a running share of late answers.
const LATE_RATE_WEIGHT: f64 = 0.1;
/// Maximum number of directors at a location for which one answer counts (2 gained less, 4 made the limits
/// unstable).
const MAX_REPRESENTED_DIRECTORS: f64 = 3.0;
/// Weight of a new value in a running mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Weight of a rise in the measured rate that members serve. It can be higher as capacity bounds the rate
/// anyway.
const RATE_RISE_WEIGHT: f64 = 0.3;
/// Time in microseconds without a cache hit after which no cache is assumed to hold an object.
const OWN_COPY_NO_HIT: Micros = 5_000_000;
/// Share of the aim that the delivery of an own copy may take beyond its sending time to be preferred to the
/// caches, where no cache is assumed to hold the object.
const OWN_COPY_AIM_SHARE_UNCACHED: f64 = 0.5;
/// The same share where a cache is assumed to hold the object.
const OWN_COPY_AIM_SHARE_CACHED: f64 = 0.05;
/// Allowance for clock differences and for the way to the client, in microseconds, subtracted from the
/// maximum age of an own copy.
const OWN_COPY_AGE_MARGIN: Micros = 150_000;
/// Index of the caches' tier.
const CACHES: usize = 0;
/// Index of the parents' tier.
const PARENTS: usize = 1;
/// Index of the origin's tier.
const ORIGIN: usize = 2;
/// Delay before the first retry of a failed discovery, in microseconds; it doubles up to eight times this.
const DISCOVERY_RETRY_DELAY: Micros = 500_000;
/// Token of the timer for retries of discovery.
const DISCOVERY_TOKEN: u64 = 1;

// ---- 1. The filter ----

/// Two ageing generations of object ids (Algorithm 1 of the paper, with sets in place of its Bloom filters).
#[derive(Debug, Default)]
pub struct AgeingFilter {
    /// The generation that new ids are added to.
    active: BTreeSet<u64>,
    /// The generation before it.
    passive: BTreeSet<u64>,
    /// Ids seen by other directors.
    inherited: BTreeSet<u64>,
    /// Number of ids in a full generation.
    generation_size: usize,
    /// Time without a new id after which the generations are swapped.
    idle_time: Micros,
    /// When an id was last added.
    last_added: Micros,
}

impl AgeingFilter {
    /// Creates a filter whose generations hold `generation_size` ids each and are also swapped after
    /// `idle_time` without a new id.
    pub fn new(generation_size: usize, idle_time: Micros) -> Self {
        Self { generation_size: generation_size.max(1), idle_time, ..Self::default() }
    }

    /// Returns whether the id was seen recently, and records it as seen.
    pub fn seen(&mut self, now: Micros, id: u64) -> bool {
        if now.saturating_sub(self.last_added) >= self.idle_time {
            self.swap();
            self.last_added = now;
        }
        let known = [&self.active, &self.passive, &self.inherited].iter().any(|ids| ids.contains(&id));
        if self.active.insert(id) {
            self.last_added = now;
            if self.active.len() >= self.generation_size {
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
struct ConcurrencyLimit {
    limit: f64,
    /// Running share of late answers, 0 to 1.
    late_rate: f64,
    /// Time of the last reduction; 0: none yet.
    last_decrease: Micros,
}

impl ConcurrencyLimit {
    /// Creates an initial limit that is this director's part of one limit for all directors that share the
    /// member. The full limit for each of many directors would be no limit at all.
    fn initial(directors: u32) -> Self {
        Self {
            limit: (INITIAL_LIMIT / f64::from(directors.max(1))).max(FEW_IN_FLIGHT),
            late_rate: 0.0,
            last_decrease: 0,
        }
    }

    /// Whether one more attempt may be in flight. A limit below 1 is a probability, compared with the random
    /// number `chance`: one attempt from each of many directors may already be too many.
    fn admits(&self, in_flight: u32, chance: f64) -> bool {
        f64::from(in_flight) < self.limit && chance < self.limit
    }

    /// Starts from what other directors found, as long as the limit is still an initial estimate.
    fn apply_inherited(&mut self, inherited: InheritedLimit, factor: f64) {
        let weight = if self.last_decrease == 0 { inherited.weight * factor } else { 0.0 };
        self.late_rate += weight * (inherited.late_rate - self.late_rate);
        self.limit *= (inherited.limit.max(MIN_LIMIT) / self.limit).powf(weight);
    }

    /// Takes in whether an answer was late, and adjusts the limit. `threshold` is the share of late answers
    /// that means congestion, `represented` the number of directors for which this answer counts.
    fn record(&mut self, now: Micros, in_flight: u32, late: bool, threshold: f64, represented: f64) {
        self.late_rate += LATE_RATE_WEIGHT * represented * (f64::from(late) - self.late_rate);
        if late && self.late_rate > threshold && now.saturating_sub(self.last_decrease) >= DECREASE_INTERVAL {
            self.limit =
                (self.limit.min(f64::from(in_flight)) * LIMIT_DECREASE.powf(represented)).max(MIN_LIMIT);
            self.last_decrease = now;
        } else if !late && f64::from(in_flight) >= 0.7 * self.limit {
            // Until its first reduction a limit is an estimate and doubles within one answer time (slow
            // start). It does so again while almost nothing is late: refusals end soon after congestion has
            // passed.
            let slow_start = self.last_decrease == 0 || self.late_rate < SLOW_START_LATE_RATE;
            let rise = if slow_start { 1.0 } else { LIMIT_INCREASE / self.limit };
            self.limit = (self.limit + rise.min(self.limit / 2.0)).max(1.0);
        }
    }
}

/// A listed member and this director's observations of it.
#[derive(Debug, Default)]
struct Peer {
    entry: Member,
    /// Number of attempts in flight to it.
    in_flight: u32,
    /// Number of attempts in flight that name it as the source.
    fills: u32,
    /// Number of attempts to it that have ended.
    attempts_ended: u32,
    /// Running share of faults, 0 to 1.
    fault_rate: f64,
    /// End of its quarantine.
    quarantined_until: Micros,
    /// Length of its last quarantine.
    quarantine: Micros,
    /// Limit of attempts in flight during the probation after a quarantine; `None`: trusted.
    probation: Option<u32>,
    concurrency: ConcurrencyLimit,
    /// Time of each recent send and its sending time in seconds, for its budget while it is cold.
    recent_sends: VecDeque<(Micros, f64)>,
    /// Offset of this director's turns at the member while it is cold, in turns, 0 to 1.
    turn_offset: f64,
}

/// A member as a candidate for an object.
struct Candidate<'a> {
    /// Rank of the member for the object: the lowest comes first. The bits of a non-negative float sort as
    /// the float does.
    rank: (u64, MemberId),
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
    sent_at: Micros,
    /// Its source was to answer only from a copy it holds.
    held_only: bool,
    /// It no longer counts as in flight.
    released: bool,
    ended: bool,
    may_have_run: bool,
    /// It was counted as a late fill before its end.
    counted_late: bool,
    /// Zone of its member when it was sent: the list may change later.
    zone: usize,
    /// Cell of its member when it was sent.
    cell: u64,
}

/// Results of a request's lookups, which are attempts without a fill.
#[derive(Debug, Default)]
struct LookupState {
    /// A cache has no copy.
    missed: bool,
    /// The source has no copy.
    source_missed: bool,
    /// A fill is already running at the cache.
    joinable: bool,
    /// The next attempt follows a lookup and costs no retry token.
    follow_up: bool,
}

/// An open request.
#[derive(Debug)]
struct OpenRequest {
    request: Request,
    /// Hash of the object's name.
    key: u64,
    keep: Keep,
    attempts: Vec<Attempt>,
    answered: bool,
    /// The own copy is to answer the request, if it still exists.
    own_copy_wanted: bool,
    lookup: LookupState,
    /// Members at fault for this request.
    at_fault: Vec<MemberId>,
    /// Members that answered the request with an error of their own.
    erred: Vec<MemberId>,
}

/// Makes the decisions of one director.
#[derive(Debug, Default)]
pub struct Director {
    settings: Settings,
    random_state: u64,
    filter: AgeingFilter,
    peers: BTreeMap<MemberId, Peer>,
    /// Members listed as ready, by tier.
    ready: [Vec<MemberId>; 3],
    requests: BTreeMap<RequestId, OpenRequest>,
    /// Time of the last purge of an object (false) or a group (true), by hash of the object or number of the
    /// group.
    purges: BTreeMap<(u64, bool), Micros>,
    /// The purges in the order in which they were reported, with the time of the report.
    purge_reports: VecDeque<(Micros, (u64, bool))>,
    retry_tokens: f64,
    /// Mean answer time, as a multiple of the aim.
    mean_answer_time: f64,
    /// Mean deviation of the answer time, as a multiple of the aim.
    answer_time_deviation: f64,
    /// Running share of second copies that were answered first.
    copy_win_rate: f64,
    /// Attempts with a timer for being overdue, by its token.
    overdue_timers: BTreeMap<u64, (RequestId, usize)>,
    next_token: u64,
    /// Number of fills in flight: attempts that name a source.
    fills: u32,
    /// Limit of the fills in flight.
    fill_limit: ConcurrencyLimit,
    /// Number of those fills for which the origin may be asked.
    origin_fills: u32,
    /// Limit of the fills in flight for which the origin may be asked.
    origin_limit: ConcurrencyLimit,
    /// By class: running share of late fills.
    late_fill_rates: Vec<f64>,
    /// By class: mean sending time in seconds, as far as known.
    mean_send_times: Vec<f64>,
    /// Sending time per second that a warm cache and a warm parent were observed to serve for this director.
    warm_rate: [f64; 2],
    /// Start of the period in which `served_time` adds up; 0: before the first one.
    rate_since: Micros,
    /// Sending time that caches and parents served in that period, in seconds.
    served_time: [f64; 2],
    /// Number of consecutive failures of discovery, at most 4.
    discovery_failures: u32,
}

impl Director {
    /// Creates a director without members or observations. The seed determines its random numbers.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Self {
            random_state: mix(seed ^ 0x9e37_79b9_7f4a_7c15),
            filter: AgeingFilter::new(FILTER_GENERATION, FILTER_IDLE_TIME),
            retry_tokens: MAX_RETRY_TOKENS,
            mean_answer_time: 0.5,
            answer_time_deviation: 0.25,
            copy_win_rate: 0.5,
            next_token: DISCOVERY_TOKEN + 1,
            late_fill_rates: vec![0.0; settings.classes.len()],
            mean_send_times: settings.classes.iter().map(|c| c.aim as f64 / 2e6).collect(),
            fill_limit: ConcurrencyLimit::initial(settings.directors),
            origin_limit: ConcurrencyLimit::initial(settings.directors),
            settings,
            ..Self::default()
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, members } => self.update_members(kind, members, out),
            Event::Request(request) => self.handle_request(now, request, out),
            Event::Outcome(outcome) => self.handle_outcome(now, outcome, out),
            Event::Streaming { id, .. } => self.close(id),
            Event::ClientGone { id } => {
                let running = self.requests.get(&id).map_or(&[][..], |open| &open.attempts);
                let rest = running.iter().enumerate().filter(|(_, a)| !a.ended && self.settings.cancel);
                out.extend(rest.map(|(n, _)| Action::Cancel { id, attempt: n as u32 }));
                self.close(id);
            }
            Event::OwnCopyResult { id, served: true } => self.close(id),
            Event::OwnCopyResult { id, served: false } => self.own_copy_lost(now, id, out),
            Event::Purged { object, group, age } => self.record_purge(now, object, group, age),
            Event::Inherited(inherited) => self.apply_inherited(now, inherited),
            Event::Probed { .. } => {}
            Event::Timer { token: DISCOVERY_TOKEN } => out.push(Action::Watch),
            Event::Timer { token } => self.handle_overdue(now, token, out),
        }
    }

    /// Applies an update of the membership list.
    fn update_members(&mut self, kind: ListKind, members: Vec<Member>, out: &mut Vec<Action>) {
        let on_request = self.settings.discovery == Discovery::OnRequest;
        if kind == ListKind::Failed {
            self.discovery_failures = (self.discovery_failures + 1).min(4);
            let retry = Action::Timer {
                delay: DISCOVERY_RETRY_DELAY << (self.discovery_failures - 1),
                token: DISCOVERY_TOKEN,
            };
            return out.extend(on_request.then_some(retry));
        }
        self.discovery_failures = 0;
        out.extend((on_request && kind == ListKind::Cached).then_some(Action::Watch));
        if kind != ListKind::Delta {
            self.peers.values_mut().for_each(|p| p.entry.lifecycle = Lifecycle::Gone);
        }
        let seed = self.random_below(u64::MAX);
        for entry in members {
            let concurrency = ConcurrencyLimit::initial(self.directors_sharing(self.tier(&entry)));
            let peer = self.peers.entry(entry.id).or_insert_with(|| Peer { concurrency, ..Peer::default() });
            if peer.entry.started != entry.started {
                // A new process: observations of the previous one don't apply to it.
                let recent_sends = std::mem::take(&mut peer.recent_sends);
                let turn_offset = unit_interval(seed ^ entry.id.0);
                *peer = Peer {
                    in_flight: peer.in_flight,
                    fills: peer.fills,
                    recent_sends,
                    turn_offset,
                    concurrency,
                    ..Peer::default()
                };
            }
            peer.entry = entry;
        }
        // Members that are gone and have no attempt in flight are removed, so that state and work don't grow
        // over a long run time.
        self.peers.retain(|_, p| p.entry.lifecycle != Lifecycle::Gone || p.in_flight + p.fills > 0);
        self.ready = Default::default();
        for p in self.peers.values().filter(|p| p.entry.lifecycle == Lifecycle::Ready) {
            if let Some(tier) = self.tier(&p.entry) {
                self.ready[tier].push(p.entry.id);
            }
        }
    }

    // ---- 2. Placement ----

    /// Index of a member's tier; `None` for caches at other locations, which are not used.
    fn tier(&self, m: &Member) -> Option<usize> {
        match Some(m.kind) {
            kind if kind == self.settings.parent_kind => Some(PARENTS),
            kind if kind == self.settings.origin_kind => Some(ORIGIN),
            _ => (m.zone == self.settings.zone).then_some(CACHES),
        }
    }

    /// Share of its capacity that a member has at least: rises linearly from the cold share to 1.
    fn capacity_share(&self, now: Micros, m: &Member) -> f64 {
        let s = &self.settings;
        let (from, time) = match self.tier(m) {
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
        let known = matches!(self.settings.weights, Weights::Nominal | Weights::Rough);
        if known && m.weight > 0.0 { m.weight } else { 1.0 }
    }

    /// Members of a tier as candidates, ranked by weighted rendezvous hashing: the lowest rank is the
    /// object's first choice.
    fn candidates(&self, now: Micros, key: u64, tier: usize) -> Vec<Candidate<'_>> {
        let peers = self.ready[tier].iter().filter_map(|id| self.peers.get(id));
        let candidates = peers.map(|peer| {
            let random = unit_interval(key ^ mix(peer.entry.id.0 + 1));
            let share = self.weight(&peer.entry) * self.capacity_share(now, &peer.entry);
            let rank = (-(random.max(1e-12).ln()) / share).to_bits();
            Candidate { rank: (rank, peer.entry.id), share, peer }
        });
        candidates.collect()
    }

    /// Picks the eligible candidate with the best standing and, among equals, the lowest rank. Standings from
    /// the best: trusted and not overloaded; trusted; not at fault for this request; any.
    fn pick(
        &self,
        now: Micros,
        members: &[Candidate],
        at_fault: &[MemberId],
        load: impl Fn(&Peer) -> u32,
        eligible: impl Fn(&Peer) -> bool,
    ) -> Option<(MemberId, u8)> {
        let sum = |(total, shares), m: &Candidate| (total + f64::from(load(m.peer)), shares + m.share);
        let (total, shares) = members.iter().fold((1.0, 1e-9), sum);
        let standing = |m: &Candidate| {
            let overloaded = f64::from(load(m.peer)) + 1.0
                > (OVERLOAD_FACTOR * total * m.share / shares).max(FEW_IN_FLIGHT);
            let trusted =
                now >= m.peer.quarantined_until && m.peer.probation.is_none_or(|t| load(m.peer) < t);
            if at_fault.contains(&m.rank.1) {
                0
            } else {
                1 + u8::from(trusted) + u8::from(trusted && !overloaded)
            }
        };
        // Usually the first in rank has the best standing and the others need not be compared.
        let first = members
            .iter()
            .min_by_key(|m| m.rank)
            .filter(|m| standing(m) == BEST_STANDING && eligible(m.peer));
        let all = || {
            members.iter().filter(|m| eligible(m.peer)).min_by_key(|m| (BEST_STANDING - standing(m), m.rank))
        };
        first.or_else(all).map(|m| (m.rank.1, standing(m)))
    }

    // ---- 3. Health ----

    /// Records a success of a member: lowers its fault rate and advances its probation.
    fn record_success(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let Some(p) = self.peers.get_mut(&id) else { return };
        p.fault_rate *= 1.0 - FAULT;
        if let Some(probation) = p.probation {
            p.probation = (probation < MAX_PROBATION).then_some(probation * 2);
            if p.probation.is_none() {
                p.quarantine = 0;
                out.push(Action::Log(format!("member {} trusted again", id.0)));
            }
        }
    }

    /// Records a fault of a member. Guards against dead, unreachable, slow and broken members: one with a
    /// high fault rate, far above that of the others of its tier, is quarantined, longer each time, and then
    /// gets a few attempts as probation. Not when all fail alike: then the cause lies elsewhere, and their
    /// work would overload the rest. Drawback: a fault of half the members at once is detected late.
    fn record_fault(&mut self, now: Micros, id: MemberId, weight: f64, out: &mut Vec<Action>) {
        let tier = self.peers.get(&id).and_then(|p| self.tier(&p.entry));
        let others = tier.map_or(&[][..], |tier| &self.ready[tier]).iter().filter(|other| **other != id);
        let rates = others.filter_map(|id| self.peers.get(id)).map(|p| p.fault_rate);
        let (sum, n) = rates.fold((0.0, 0.0), |(sum, n), rate| (sum + rate, n + 1.0));
        let Some(p) = self.peers.get_mut(&id) else { return };
        if weight >= CONNECT_FAULT && p.fault_rate > QUARANTINE_FAULT_RATE {
            // After two failed connections the member, once back, has restarted, seconds before the list says
            // so.
            p.entry.started = now;
        }
        p.fault_rate += weight * (1.0 - p.fault_rate);
        let outlier =
            n > 0.0 && p.fault_rate > QUARANTINE_FAULT_RATE && p.fault_rate > OUTLIER_FACTOR * sum / n;
        if now >= p.quarantined_until && (outlier || p.probation.is_some()) {
            out.extend(p.probation.is_none().then(|| Action::Log(format!("member {} set aside", id.0))));
            p.quarantine = (p.quarantine * 2).clamp(MIN_QUARANTINE, MAX_QUARANTINE);
            (p.quarantined_until, p.probation) = (now + p.quarantine, Some(1));
        }
    }

    /// Attributes an outcome as a success or a fault to the member or to the source of its fill.
    fn attribute_outcome(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        o: &Outcome,
        late: bool,
        out: &mut Vec<Action>,
    ) {
        let (member, all_notes) = (attempt.member, self.settings.detail == Detail::All);
        let source = attempt.source.unwrap_or(member);
        match (o.status, o.note) {
            (Status::Ok, Some(Note::Hit | Note::Stale)) if late => self.record_fault(now, member, FAULT, out),
            (Status::Ok, note) => {
                self.record_success(member, out);
                if matches!(note, Some(Note::Filled | Note::FilledByOrigin)) {
                    self.record_success(source, out);
                }
            }
            (_, Some(Note::SourceRefused | Note::SourceUnreachable)) => {
                self.record_fault(now, source, FAULT, out)
            }
            (_, Some(Note::OriginFailed | Note::SourceLacks | Note::FillsFull)) => {}
            (Status::ConnectFailed, _) => self.record_fault(now, member, CONNECT_FAULT, out),
            // The client's deadline was short: the attempt was not late yet.
            (Status::Timeout, _) if !late => {}
            (Status::Reset | Status::Timeout, _) => self.record_fault(now, member, FAULT, out),
            (Status::Error | Status::Full, _) if !all_notes && source != member => {
                self.record_fault(now, source, FAULT, out)
            }
            _ => {}
        }
    }

    /// Takes over other directors' observations where this director has none of its own: the more attempts
    /// have ended at a member, the less they count. The inherited ids are kept until the filter's next swap.
    fn apply_inherited(&mut self, now: Micros, inherited: Inherited) {
        for m in inherited.members {
            let same_process = |p: &&mut Peer| p.entry.started == m.started;
            let Some(p) = self.peers.get_mut(&m.id).filter(same_process) else { continue };
            let factor = 1.0 / (f64::from(p.attempts_ended) + 1.0);
            p.fault_rate += m.fault_rate_weight * factor * (m.fault_rate - p.fault_rate);
            p.concurrency.apply_inherited(m.concurrency, factor);
            if m.quarantine > 0 && p.attempts_ended == 0 {
                (p.quarantined_until, p.probation) = (now + m.quarantine.min(MAX_QUARANTINE), Some(1));
            }
        }
        self.fill_limit.apply_inherited(inherited.fills[0], 1.0);
        self.origin_limit.apply_inherited(inherited.fills[1], 1.0);
        self.warm_rate = if self.rate_since > 0 { self.warm_rate } else { inherited.warm_rate };
        let seen = inherited.seen_ids.into_iter().take(FILTER_GENERATION).collect();
        (self.filter.last_added, self.filter.inherited) = (now, seen);
    }

    // ---- 4. Life of a request ----

    /// Settings of a class; an unknown class is treated as the most restrictive one.
    fn class(&self, class: usize) -> Class {
        let unknown = || Class { idempotency: Idempotency::AtMostOnce, write: true, ..Class::default() };
        self.settings.classes.get(class).cloned().unwrap_or_else(unknown)
    }

    /// Sending time of a request's answer in seconds: by its size where known, else the mean of the class.
    fn send_time(&self, r: &Request) -> f64 {
        let (kb, flow) = (r.size_kb, self.settings.flow_kb_per_s);
        kb.filter(|_| flow > 0.0).map_or_else(|| self.mean_send_time(r.class), |kb| kb / flow)
    }

    /// Time after which an attempt of this request is late: the aim of the class, extended by the sending
    /// time.
    fn aim(&self, r: &Request) -> Micros {
        let class = self.class(r.class);
        class.aim + (class.aim_stretch * self.send_time(r) * 1e6) as Micros
    }

    /// Mean sending time of a class, in seconds.
    fn mean_send_time(&self, class: usize) -> f64 {
        self.mean_send_times.get(class).copied().unwrap_or(0.1)
    }

    /// Handles a new request.
    fn handle_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let key = hash(&request.object);
        let write = request.write || self.class(request.class).write;
        let keep = self.keep_rank(now, key, write);
        let send_time = self.send_time(&request);
        if let Some(mean) = self.mean_send_times.get_mut(request.class).filter(|_| request.size_kb.is_some())
        {
            *mean += MEAN_WEIGHT * (send_time - *mean);
        }
        let (id, own_copy_first) = (request.id, self.own_copy_preferred(now, &request, key));
        let (attempts, at_fault, erred, lookup) =
            (Vec::new(), Vec::new(), Vec::new(), LookupState::default());
        let (answered, own_copy_wanted) = (false, own_copy_first);
        let open =
            OpenRequest { request, key, keep, attempts, answered, own_copy_wanted, lookup, at_fault, erred };
        self.requests.insert(id, open);
        if own_copy_first {
            return out.push(Action::Own { id });
        }
        self.advance(now, id, out);
    }

    /// Decides a request again without its own copy, which no longer exists.
    fn own_copy_lost(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        (open.request.own_copy, open.own_copy_wanted) = (None, false);
        self.advance(now, id, out);
    }

    /// Maximum age of an acceptable copy, where the class has a fresh time. A stale copy earns less than a
    /// fresh one, but more than a fill while many of them are late, or than a refusal where there is no
    /// `room` for one.
    fn max_copy_age(&self, class: usize, room: bool) -> Option<Micros> {
        let c = self.class(class);
        let late = self.late_fill_rates.get(class).copied().unwrap_or(0.0) * (1.0 - c.late_worth);
        let stale = !room || late > 1.0 - c.stale_worth;
        (c.fresh_for > 0).then_some(c.fresh_for + if stale { c.stale_for } else { 0 })
    }

    /// Whether the router's own copy is acceptable: the request is no write, and the copy is within the
    /// maximum age and not purged.
    fn own_copy_acceptable(&self, now: Micros, request: &Request, key: u64, max_age: Option<Micros>) -> bool {
        let purged = self.max_age_after_purge(now, key, request.group);
        request.own_copy.is_some_and(|own| {
            let too_old = |max_age: Micros| own.age + OWN_COPY_AGE_MARGIN >= max_age;
            !request.write && !max_age.is_some_and(too_old) && !purged.is_some_and(too_old)
        })
    }

    /// Whether the own copy is preferred to the caches: it is fresh and its delivery soon enough. Saves fills
    /// of objects that the caches have evicted, and load on the caches while the router's link is idle.
    /// Drawback: takes capacity of the link from other requests.
    fn own_copy_preferred(&self, now: Micros, request: &Request, key: u64) -> bool {
        let max_age = self.max_copy_age(request.class, true);
        let acceptable = |_: &OwnCopy| self.own_copy_acceptable(now, request, key, max_age);
        let Some(own) = request.own_copy.filter(acceptable) else { return false };
        let aim_share = if own.since_cache_hit >= OWN_COPY_NO_HIT {
            OWN_COPY_AIM_SHARE_UNCACHED
        } else {
            OWN_COPY_AIM_SHARE_CACHED
        };
        let spare = aim_share * self.aim(request) as f64 + self.send_time(request) * 1e6;
        own.delivery_time as f64 <= spare && now + own.delivery_time < request.valid_until
    }

    /// Rank at which the object is kept. By the paper's test an object seen recently is kept at the middle
    /// rank and any other is passed through. The other directors at this location have seen it with a
    /// probability of about their share of the requests: with this probability it is kept on trial, at the
    /// lowest rank.
    fn keep_rank(&mut self, now: Micros, key: u64, write: bool) -> Keep {
        match !write && self.filter.seen(now, key) {
            true => Keep::Middle,
            false if !write && self.random_below(u64::from(self.directors_sharing(Some(CACHES)))) > 0 => {
                Keep::Low
            }
            false => Keep::Pass,
        }
    }

    /// Number of directors that send to members of a tier: those at this location for caches, else all.
    fn directors_sharing(&self, tier: Option<usize>) -> u32 {
        let Settings { zone, zone_directors, directors, .. } = &self.settings;
        zone_directors.get(*zone).filter(|_| tier == Some(CACHES)).unwrap_or(directors).max(&1).to_owned()
    }

    /// Number of directors at the location for which one answer counts, as the others' answers aren't seen
    /// here.
    fn represented_directors(&self) -> f64 {
        f64::from(self.directors_sharing(Some(CACHES))).min(MAX_REPRESENTED_DIRECTORS)
    }

    /// Pseudo-random number below the bound, from the director's seed.
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state = mix(self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15));
        self.random_state % bound.max(1)
    }

    /// Sends the next attempt or, if none is possible, gives the final answer.
    fn advance(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut open) = self.requests.remove(&id) else { return };
        let tokens = if open.attempts.is_empty() || open.lookup.follow_up { 0.0 } else { 1.0 };
        if self.retry_tokens >= tokens && self.send(now, &mut open, false, out) {
            self.retry_tokens -= tokens;
        } else {
            self.give_up(now, &mut open, out);
        }
        if !open.answered || open.attempts.iter().any(|a| !a.ended) {
            self.requests.insert(id, open);
        }
    }

    /// Time after which an attempt counts as overdue: well after the usual answer time or, the more second
    /// copies were answered first, so early that a second copy can still be in time.
    fn overdue_after(&self, open: &OpenRequest) -> Micros {
        let (mean, deviation) = (self.mean_answer_time, self.answer_time_deviation);
        let (late, early) =
            (mean + OVERDUE_DEVIATIONS * deviation, (mean + deviation).max(1.0 - mean - 2.0 * deviation));
        (self.aim(&open.request) as f64 * (late + self.copy_win_rate * (early.min(late) - late))) as Micros
    }

    /// Handles the timer of an attempt. Guards against answers that never come: an overdue attempt gets a
    /// second copy where allowed, and the first goes on. Where the member is healthy the second copy is a
    /// lookup, which costs no second fill. Unless the lookup finds the fill running, the first attempt counts
    /// as lost and no longer as in flight. Drawback: doubles late work, so no second copy is sent while fills
    /// are late; the retry tokens limit it.
    fn handle_overdue(&mut self, now: Micros, token: u64, out: &mut Vec<Action>) {
        let Some((id, attempt)) = self.overdue_timers.remove(&token) else { return };
        let Some(mut open) = self.requests.remove(&id) else { return };
        if let Some(a) = open.attempts.get_mut(attempt).filter(|a| !a.ended) {
            let (member, source) = (a.member, a.source);
            let (in_time, aim) = (self.fills_in_time(), self.aim(&open.request));
            source.into_iter().for_each(|source| self.record_fault(now, source, FAULT, out));
            self.record_loss(&mut open, member);
            let class = self.class(open.request.class);
            let arrival = now + (self.mean_answer_time * self.aim(&open.request) as f64) as Micros;
            let in_window = class.idempotency != Idempotency::Deduplicated
                || arrival < open.attempts[0].sent_at + class.dedup_window;
            let in_window = in_window && arrival < open.request.valid_until;
            let useful = self.settings.second_copies && self.fills_in_time() && in_window && !open.answered;
            let lookup = !open.at_fault.contains(&member);
            let sent = useful && self.retry_tokens >= 1.0 && self.send(now, &mut open, lookup, out);
            self.retry_tokens -= f64::from(sent);
            let a = &mut open.attempts[attempt];
            match in_time || self.copy_win_rate > HIGH_COPY_WIN_RATE {
                true if !(sent && lookup) => self.release(a),
                false if now.saturating_sub(a.sent_at) > aim => self.count_late_fill(now, a),
                _ => {}
            }
        }
        self.requests.insert(id, open);
    }

    /// Counts a fill as late before its end: it still counts as in flight and its limit adapts now. Guards
    /// against directors that all notice congestion only by answers that arrive when it has lasted for
    /// seconds.
    fn count_late_fill(&mut self, now: Micros, a: &mut Attempt) {
        if a.source.is_none() || a.held_only || std::mem::replace(&mut a.counted_late, true) {
            return;
        }
        let represented = self.represented_directors();
        match self.settings.detail {
            Detail::All => {
                self.origin_limit.record(now, self.origin_fills, true, CONGESTED_LATE_RATE, represented)
            }
            _ => self.fill_limit.record(now, self.fills, true, CONGESTED_LATE_RATE, represented),
        }
    }

    /// Whether fills are usually in time: late ones are below half the share that means congestion.
    fn fills_in_time(&self) -> bool {
        self.fill_limit.late_rate.max(self.origin_limit.late_rate) < CONGESTED_LATE_RATE / 2.0
    }

    /// Stops counting the attempt as in flight.
    fn release(&mut self, a: &mut Attempt) {
        if std::mem::replace(&mut a.released, true) {
            return;
        }
        if let Some(p) = self.peers.get_mut(&a.member) {
            (p.in_flight, p.attempts_ended) =
                (p.in_flight.saturating_sub(1), p.attempts_ended.saturating_add(1));
        }
        if let Some(p) = a.source.and_then(|s| self.peers.get_mut(&s)) {
            p.fills = p.fills.saturating_sub(1);
            self.fills = self.fills.saturating_sub(1);
            self.origin_fills = self.origin_fills.saturating_sub(u32::from(!a.held_only));
        }
    }

    /// Marks a member as at fault for the request after a lost answer, if the answer was lost before or the
    /// member often fails or is late. Otherwise it is asked once more.
    fn record_loss(&self, open: &mut OpenRequest, member: MemberId) {
        let repeated = open.attempts.iter().filter(|a| a.member == member).count() > 1;
        if repeated
            || self.peers.get(&member).is_none_or(|p| {
                p.fault_rate > QUARANTINE_FAULT_RATE || p.concurrency.late_rate > CONGESTED_LATE_RATE
            })
        {
            open.at_fault.push(member);
        }
    }

    /// Sends an attempt, if the rules and limits allow one, and returns whether it did. With `lookup` it is a
    /// lookup, unless the request is a write.
    fn send(&mut self, now: Micros, open: &mut OpenRequest, lookup: bool, out: &mut Vec<Action>) -> bool {
        let class = self.class(open.request.class);
        let write = open.request.write || class.write;
        let chance = self.random_below(1024) as f64 / 1024.0;
        // Parts of segmented objects are spread over the caches; filter and parent go by the whole object.
        let cache_key = if class.segmented { mix(open.key ^ mix(open.request.part + 1)) } else { open.key };
        let caches = self.candidates(now, cache_key, CACHES);
        let eligible =
            |p: &Peer| self.may_send(now, open, p, &class) && p.concurrency.admits(p.in_flight, chance);
        let Some((member, _)) = self.pick(now, &caches, &open.at_fault, |p| p.in_flight, eligible) else {
            return false;
        };
        let mut source = self.fill_source(now, open, write, chance).unwrap_or(member);
        let (mut held_only, mut room) = (false, true);
        if lookup && !write {
            source = member;
        } else if !(write || open.lookup.joinable && self.settings.join_fills) {
            let parent = self.peers.get(&source).is_some_and(|p| self.tier(&p.entry) == Some(PARENTS));
            let fills = self.fill_limit.admits(self.fills, chance);
            room = fills && self.origin_limit.admits(self.origin_fills, chance);
            held_only = !room && fills && parent && !open.lookup.source_missed;
            if !room && !held_only {
                if open.lookup.missed || open.lookup.source_missed {
                    return false;
                }
                source = member;
            }
        }
        // Valid as long as the client waits: earlier timeouts discarded large transfers that were running.
        let until = open.request.valid_until;
        let purge_age = self.max_age_after_purge(now, open.key, open.request.group);
        let copy_age = self.max_copy_age(open.request.class, room);
        let renew = copy_age.is_some_and(|copy_age| copy_age > class.fresh_for);
        let max_age = purge_age.into_iter().chain(copy_age.filter(|_| renew || purge_age.is_some())).min();
        let join = self.settings.join_fills && purge_age.is_none() && !write;
        let mode = FillMode { held_only, join, renew, ..FillMode::default() };
        let id = open.request.id;
        out.push(Action::Fetch { id, member, until, source, keep: open.keep, max_age, mode });
        let delay = self.overdue_after(open);
        if now + delay < until {
            self.overdue_timers.insert(self.next_token, (open.request.id, open.attempts.len()));
            out.push(Action::Timer { delay, token: self.next_token });
            self.next_token += 1;
        }
        let source = (source != member).then_some(source);
        self.record_send(now, member, self.mean_send_time(open.request.class), |p| p.in_flight += 1);
        if let Some(s) = source {
            self.fills += 1;
            self.origin_fills += u32::from(!held_only);
            self.record_send(now, s, self.send_time(&open.request), |p| p.fills += 1);
        }
        open.lookup.follow_up = false;
        let (zone, cell) = self.peers.get(&member).map_or((0, 0), |p| (p.entry.zone, p.entry.cell));
        let attempt = Attempt {
            member,
            source,
            sent_at: now,
            held_only,
            may_have_run: true,
            zone,
            cell,
            ..Attempt::default()
        };
        open.attempts.push(attempt);
        true
    }

    /// Source of a fill: the object's parent, else the next ones, but the origin rather than a quarantined
    /// parent. Writes go to the origin.
    fn fill_source(&self, now: Micros, open: &OpenRequest, write: bool, chance: f64) -> Option<MemberId> {
        let parents = self.candidates(now, open.key, PARENTS);
        let origin = self.ready[ORIGIN].first().copied();
        let eligible = |p: &Peer| self.within_cold_budget(now, p, self.send_time(&open.request));
        let free = |p: &Peer| eligible(p) && p.concurrency.admits(p.fills, chance);
        let trusted = |found: &(MemberId, u8)| found.1 > u8::from(origin.is_some());
        let pick = |eligible: &dyn Fn(&Peer) -> bool| {
            self.pick(now, &parents, &open.at_fault, |p| p.fills, eligible)
        };
        let parent =
            pick(&free).filter(trusted).or_else(|| pick(&eligible).filter(trusted)).map(|(id, _)| id);
        if write { origin.or(parent) } else { parent.or(origin) }
    }

    /// Adapts the concurrency limits to an outcome. Guards against congestion that sustains itself: a link
    /// shared by too many transfers makes all of them late. The limit of a cache falls while its own copies
    /// come late and rises while they come in time; requests above it are refused at once. Drawback: large
    /// objects can keep it low. The same holds for all fills together, which share the location's inbound
    /// link, and for those that may go on to the origin. While the latter limit is used up, parents answer
    /// only from copies they hold; while the former is, caches do. On a miss there a fill is sent or joined
    /// if there is room. Drawback: a lookup costs a round trip.
    fn adapt_limits(&mut self, now: Micros, open: &OpenRequest, attempt: &Attempt, o: &Outcome) {
        let aim = self.aim(&open.request);
        // A timeout counts only if the attempt had enough time: short client deadlines don't indicate
        // congestion.
        let late = o.elapsed > if o.status == Status::Timeout { 2 * aim } else { aim };
        let represented = self.represented_directors();
        let threshold =
            if open.request.size_kb.is_some() { CONGESTED_LATE_RATE } else { CONGESTED_LATE_RATE_UNSIZED };
        let all_notes = self.settings.detail == Detail::All;
        let hit = matches!(o.note, Some(Note::Hit | Note::Stale));
        // Where the source may be the cause, an outcome says nothing about the cache.
        let about_cache = hit || ((all_notes || attempt.source.is_none()) && o.note.is_none());
        if let Some(p) = self.peers.get_mut(&attempt.member).filter(|_| about_cache) {
            // A lost answer is not a late one: it counts only while other answers are late too.
            let lost =
                o.status == Status::Timeout && late && p.concurrency.late_rate > CONGESTED_LATE_RATE / 2.0;
            if lost || matches!(o.status, Status::Ok | Status::Full) {
                p.concurrency.record(
                    now,
                    p.in_flight,
                    late || o.status == Status::Full,
                    threshold,
                    represented,
                );
            }
        }
        // The faults of a quarantined source are already dealt with and say nothing about the others.
        let quarantined = |id: &MemberId| self.peers.get(id).is_some_and(|p| p.probation.is_some());
        if attempt.counted_late
            || hit
            || o.note == Some(Note::FillsFull)
            || attempt.source.as_ref().is_none_or(quarantined)
        {
            return;
        }
        let late = match o.status {
            Status::Ok => late,
            // A lost answer is not a late one here either: else it would stop the second copies that replace
            // it.
            Status::Timeout if late && !self.fills_in_time() => true,
            Status::Full | Status::Error if !all_notes || o.note == Some(Note::OriginFailed) => true,
            _ => return,
        };
        // A parent's limit adapts only to fills from its own copies, as in others the origin may be late.
        let from_own_copy = all_notes && (attempt.held_only || o.note == Some(Note::Filled));
        if let Some(p) = attempt.source.and_then(|id| self.peers.get_mut(&id)).filter(|_| from_own_copy) {
            p.concurrency.record(now, p.fills, late, threshold, 1.0);
        }
        if let Some(rate) = self.late_fill_rates.get_mut(open.request.class) {
            *rate += LATE_RATE_WEIGHT * (f64::from(late) - *rate);
        }
        // Where notes don't say where a fill came from, the limit of all fills applies.
        match !all_notes || attempt.held_only || o.note == Some(Note::Filled) {
            true => self.fill_limit.record(now, self.fills, late, threshold, represented),
            // A slow origin misses short aims even at low load; congestion also makes requests with long aims
            // late.
            false => {
                let longest = self.settings.classes.iter().filter(|c| !c.write).map(|c| c.aim).max();
                let spare = longest.map_or(0, |l| l.saturating_sub(self.class(open.request.class).aim));
                let late = late && (o.status != Status::Ok || o.elapsed > aim + spare);
                self.origin_limit.record(now, self.origin_fills, late, threshold, represented);
            }
        }
    }

    /// Handles the end of an attempt.
    fn handle_outcome(&mut self, now: Micros, o: Outcome, out: &mut Vec<Action>) {
        let Some(mut open) = self.requests.remove(&o.id) else { return };
        let Some(attempt) = open.attempts.get_mut(o.attempt as usize).filter(|a| !a.ended) else {
            return drop(self.requests.insert(o.id, open));
        };
        attempt.ended = true;
        attempt.may_have_run = !o.status.never_executed();
        let attempt = *attempt;
        self.adapt_limits(now, &open, &attempt, &o);
        self.release(&mut open.attempts[o.attempt as usize]);
        let hit = matches!(o.note, Some(Note::Hit | Note::Stale));
        if let Some(p) = attempt.source.filter(|_| hit).and_then(|s| self.peers.get_mut(&s)) {
            // On a hit the source was not asked.
            if let Some(i) = p.recent_sends.iter().position(|(at, _)| *at == attempt.sent_at) {
                p.recent_sends.remove(i);
            }
        }
        if o.status == Status::Ok {
            self.update_estimates(now, &open, &attempt, &o);
            let cancel = |a: &Attempt| self.settings.cancel && o.closed && !a.ended;
            let rest = open.attempts.iter().enumerate().filter(|(_, a)| cancel(a));
            out.extend(rest.map(|(n, _)| Action::Cancel { id: o.id, attempt: n as u32 }));
        }
        let late = o.elapsed > self.aim(&open.request);
        self.attribute_outcome(now, &attempt, &o, late, out);
        // Guards against blaming members for invalid requests: an error counts as a fault only once another
        // member has answered the request successfully; after errors of two members the request is given up.
        if o.status == Status::Ok {
            let erred = std::mem::take(&mut open.erred);
            erred.into_iter().filter(|m| *m != o.member).for_each(|m| self.record_fault(now, m, FAULT, out));
        } else if o.status == Status::Error && o.note.is_none() && self.settings.detail == Detail::All {
            open.erred.push(o.member);
        }
        // Without notes a refusal or an error counts against the source first, then against the cache.
        let unexplained =
            self.settings.detail != Detail::All && matches!(o.status, Status::Full | Status::Error);
        let repeated = open.attempts.iter().filter(|a| a.member == o.member).count() > 1;
        let source_fault =
            matches!(o.note, Some(Note::SourceRefused | Note::SourceUnreachable | Note::OriginFailed));
        match attempt.source {
            source if o.status == Status::Miss && (source.is_none() || attempt.held_only) => {
                (open.lookup.missed, open.lookup.source_missed) =
                    (true, open.lookup.source_missed || source.is_some());
                let joined = o.note == Some(Note::Joined);
                (open.lookup.joinable, open.lookup.follow_up) = (joined, true);
                for a in open.attempts.iter_mut().filter(|a| !a.ended && a.member == o.member) {
                    if joined { self.count_late_fill(now, a) } else { self.release(a) }
                }
            }
            Some(source) if source_fault || (unexplained && !repeated) => open.at_fault.push(source),
            _ if matches!(o.status, Status::Reset | Status::Timeout) => self.record_loss(&mut open, o.member),
            _ => open.at_fault.push(o.member),
        }
        open.answered |= o.closed;
        let running = open.attempts.iter().any(|a| !a.ended);
        if !open.answered && !running && open.erred.len() > 1 {
            self.give_up(now, &mut open, out);
        }
        let (id, answered, own_copy_wanted) = (o.id, open.answered, open.own_copy_wanted);
        if !answered || running {
            self.requests.insert(id, open);
        }
        if !answered && !running && !own_copy_wanted {
            self.advance(now, id, out);
        }
    }

    /// Updates the estimates of answer times, sending times and served rates from a successful answer.
    fn update_estimates(&mut self, now: Micros, open: &OpenRequest, attempt: &Attempt, o: &Outcome) {
        let ratio = (o.elapsed as f64 / self.aim(&open.request).max(1) as f64).min(4.0);
        if ratio <= 1.0 {
            self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_EARNED).min(MAX_RETRY_TOKENS);
        }
        self.answer_time_deviation +=
            MEAN_WEIGHT * ((ratio - self.mean_answer_time).abs() - self.answer_time_deviation);
        self.mean_answer_time += MEAN_WEIGHT * (ratio - self.mean_answer_time);
        if open.attempts.iter().any(|a| !a.ended) {
            self.copy_win_rate += 2.0 * LATE_RATE_WEIGHT * (f64::from(o.attempt > 0) - self.copy_win_rate);
        }
        if open.request.size_kb.is_none() && matches!(o.note, Some(Note::Hit) | None) {
            // Where sizes are unknown, hits show the sending time as long as the cache isn't congested.
            let uncongested = self
                .peers
                .get(&o.member)
                .is_some_and(|p| p.concurrency.late_rate < CONGESTED_LATE_RATE / 2.0);
            if let Some(mean) = self.mean_send_times.get_mut(open.request.class).filter(|_| uncongested) {
                *mean += MEAN_WEIGHT * (o.elapsed as f64 / 1e6 - *mean);
            }
        }
        let filled = !matches!(o.note, Some(Note::Hit | Note::Stale | Note::Joined));
        let fill = if filled && attempt.source.is_some() { self.send_time(&open.request) } else { 0.0 };
        self.record_served(now, [self.mean_send_time(open.request.class), fill]);
    }

    /// Marks the request as answered and removes it when no attempt is running.
    fn close(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.answered = true;
        if open.attempts.iter().all(|a| a.ended) {
            self.requests.remove(&id);
        }
    }

    /// Gives the final answer when no further attempt is made.
    fn give_up(&mut self, now: Micros, open: &mut OpenRequest, out: &mut Vec<Action>) {
        let id = open.request.id;
        // An own copy, even a stale one, is better than a refusal.
        let max_age = self.max_copy_age(open.request.class, false);
        let due = open.attempts.first().map_or(now, |a| a.sent_at) + self.aim(&open.request);
        let in_time = open
            .request
            .own_copy
            .is_some_and(|own| now + own.delivery_time < due.min(open.request.valid_until));
        if in_time && self.own_copy_acceptable(now, &open.request, open.key, max_age) {
            open.own_copy_wanted = true;
            return out.push(Action::Own { id });
        }
        open.answered = true;
        if self.may_refuse(open) {
            // Short, so that the client's retry can still be in time; with jitter, so that retries don't
            // coincide.
            let span = (self.class(open.request.class).aim / 4).max(1);
            let wait = (span + self.random_below(span)).min(self.settings.max_retry_after);
            out.push(Action::Refuse { id, wait });
        } else {
            out.push(Action::Fail { id });
        }
    }

    // ---- 5. Rule checks ----

    /// Records a purge and removes those that are complete.
    fn record_purge(&mut self, now: Micros, object: Option<String>, group: u64, age: Micros) {
        let at = now.saturating_sub(age);
        let lifetime = self.settings.purge_complete_within + self.settings.purge_grace;
        let expired = |at: Micros| now.saturating_sub(at) > lifetime;
        while let Some((_, key)) = self.purge_reports.pop_front_if(|(reported, _)| expired(*reported)) {
            if self.purges.get(&key).is_some_and(|at| expired(*at)) {
                self.purges.remove(&key);
            }
        }
        let key = object.map_or((group, true), |o| (hash(&o), false));
        self.purge_reports.push_back((now, key));
        self.purges.entry(key).and_modify(|slot| *slot = at.max(*slot)).or_insert(at);
    }

    /// Maximum age that excludes copies from before a purge, while such copies may still exist. Never 0,
    /// which means no limit.
    fn max_age_after_purge(&self, now: Micros, key: u64, group: u64) -> Option<Micros> {
        let purges = [(key, false), (group, true), (ALL_GROUPS, true)].map(|purged| self.purges.get(&purged));
        let age = now.saturating_sub(*purges.into_iter().max().flatten()?);
        let relevant = age <= self.settings.purge_complete_within + self.settings.purge_grace;
        relevant.then(|| age.saturating_sub(1_000).max(1))
    }

    /// Checks that every attempt must pass: the member is listed as ready, number of attempts and time are
    /// within bounds, nothing can be executed twice, and a cold member's budget is kept.
    fn may_send(&self, now: Micros, open: &OpenRequest, peer: &Peer, class: &Class) -> bool {
        let attempts_left = (open.attempts.len() as u32) < self.settings.max_attempts.max(1);
        let repeatable = match (class.idempotency, open.attempts.iter().find(|a| !a.ended || a.may_have_run))
        {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::AtMostOnce, _) => false,
            (Idempotency::Deduplicated, Some(first)) => {
                now.saturating_sub(first.sent_at) < class.dedup_window
                    && match class.dedup_group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => first.zone == peer.entry.zone,
                        DedupGroup::Cell => (first.zone, first.cell) == (peer.entry.zone, peer.entry.cell),
                    }
            }
        };
        let copy_allowed = self.settings.second_copies || open.attempts.iter().all(|a| a.ended);
        let (ready, send_time) =
            (peer.entry.lifecycle == Lifecycle::Ready, self.mean_send_time(open.request.class));
        let in_time = now < open.request.valid_until;
        ready
            && attempts_left
            && repeatable
            && copy_allowed
            && in_time
            && self.within_cold_budget(now, peer, send_time)
    }

    /// Whether the request may be refused: a refusal promises that a retry is safe.
    fn may_refuse(&self, open: &OpenRequest) -> bool {
        let class = self.class(open.request.class);
        let repeats_dropped =
            class.idempotency == Idempotency::Deduplicated && class.dedup_group == DedupGroup::All;
        let ran = |a: &Attempt| !a.ended || a.may_have_run;
        class.idempotency == Idempotency::Idempotent || repeats_dropped || !open.attempts.iter().any(ran)
    }

    /// Whether one more attempt stays within this director's share of a cold member's budget for a window.
    fn within_cold_budget(&self, now: Micros, p: &Peer, send_time: f64) -> bool {
        let capacity = self.capacity_share(now, &p.entry);
        if capacity >= 1.0 || self.settings.overload_window == 0 {
            return true;
        }
        let (s, tier) = (&self.settings, self.tier(&p.entry));
        let (parent, sharing) = (tier == Some(PARENTS), f64::from(self.directors_sharing(tier)));
        let multiple = if parent { s.parent_overload_multiple } else { s.overload_multiple };
        // Rate when warm, for this director: by its weight, else as observed of warm members.
        let known = matches!(s.weights, Weights::Nominal | Weights::Rough);
        let warm = if known { self.weight(&p.entry) / sharing } else { self.warm_rate[usize::from(parent)] };
        let window = s.overload_window as f64 / 1e6;
        let budget = COLD_BUDGET_SHARE * multiple * capacity * warm * window;
        let window_start = now.saturating_sub(s.overload_window);
        let spent: f64 = p.recent_sends.iter().filter(|(at, _)| *at >= window_start).map(|(_, w)| w).sum();
        // Where the share is less than one attempt, directors take turns: each at times of its own, as often
        // as the growing capacity allows and less often for larger work. The rate of turns changes in steps,
        // so that a new estimate doesn't start a new turn. Guards against directors that save up turns and
        // all send at once. Drawback: an unused turn is lost.
        let mean =
            (self.mean_send_times.iter().sum::<f64>() / self.mean_send_times.len().max(1) as f64).max(1e-9);
        let turn_rate = TURN_BUDGET_SHARE * multiple * warm / mean;
        let stepped_rate = || TURN_RATE_STEP.powf(turn_rate.log(TURN_RATE_STEP).floor());
        let (rate, first, capacity) = match turn_rate > 0.0 {
            true => (stepped_rate(), self.capacity_share(p.entry.started, &p.entry), capacity),
            false => (1.0 / (window * sharing), 1.0, 1.0),
        };
        let turn = p.turn_offset
            + rate * now.saturating_sub(p.entry.started) as f64 / 1e6 * (first + capacity) / 2.0;
        let turn_age = turn.fract() / (rate * capacity);
        let used =
            p.recent_sends.back().is_some_and(|(at, _)| now.saturating_sub(*at) as f64 / 1e6 <= turn_age);
        let has_turn = turn_age <= window * TURN_WINDOWS
            && (turn as u64).is_multiple_of((send_time / mean).round().max(1.0) as u64);
        spent + send_time <= budget || (send_time > budget && spent == 0.0 && has_turn && !used)
    }

    /// Records a send to a member: its sending time for the budget of a cold member, and with `count` the
    /// attempt in flight.
    fn record_send(&mut self, now: Micros, id: MemberId, send_time: f64, count: fn(&mut Peer)) {
        let window = self.settings.overload_window;
        let Some(p) = self.peers.get_mut(&id) else { return };
        count(p);
        while p.recent_sends.front().is_some_and(|(at, _)| now.saturating_sub(*at) > window) {
            p.recent_sends.pop_front();
        }
        p.recent_sends.push_back((now, send_time));
    }

    /// Learns the rate of a warm cache (0) and parent (1) from what they served; a cold one counts by its
    /// share of capacity.
    fn record_served(&mut self, now: Micros, send_time: [f64; 2]) {
        self.served_time = [self.served_time[0] + send_time[0], self.served_time[1] + send_time[1]];
        let span = now.saturating_sub(self.rate_since);
        if span < self.settings.overload_window.max(1) {
            return;
        }
        for tier in [CACHES, PARENTS] {
            let ready = self.ready[tier].iter().filter_map(|id| self.peers.get(id));
            let capacity: f64 = ready.map(|p| self.capacity_share(now, &p.entry)).sum();
            if capacity > 0.0 && self.rate_since > 0 {
                let (rate, old) =
                    (self.served_time[tier] / (span as f64 / 1e6) / capacity, self.warm_rate[tier]);
                self.warm_rate[tier] +=
                    (rate - old) * if rate > old { RATE_RISE_WEIGHT } else { MEAN_WEIGHT };
            }
        }
        (self.rate_since, self.served_time) = (now, [0.0; 2]);
    }
}
