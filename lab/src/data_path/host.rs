//! Hosts one director under a steady stream of requests: every attempt is answered after the same time, timers come
//! when they are due.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use bitternhold::{
    Action, Class, Detail, Director, Event, ListKind, Member, MemberId, Micros, Note, Outcome, Request,
    RequestId, Settings, Status, Weights,
};
use rustix::time::{ClockId, clock_gettime};

use super::REQUESTS_PER_S;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const CACHE: usize = 0;
const PARENT: usize = 1;
const ORIGIN: usize = 2;
/// Ids of parents and of the origin begin here.
const FIRST_PARENT: u64 = 100_000;
const ORIGIN_ID: u64 = 200_000;
/// The made-up clock starts here: all members have started long ago.
const START: Micros = 1_000 * SECOND;
/// Time from an attempt to its answer.
const ANSWER_AFTER: Micros = 50 * MS;
/// How long a client waits.
const PATIENCE: Micros = 3 * SECOND;
/// Every tenth answer is a fill, the others are hits.
const FILL_EACH: u128 = 10;
/// Groups that objects are in.
const GROUPS: u64 = 256;
/// Mean size of an answer at the peak: 870 MB over 1,090 requests.
const MEAN_KB: f64 = 798.0;

/// Settings of a site with one router's view: sizes, weights and notes told, second copies allowed.
pub fn settings() -> Settings {
    let class = Class {
        aim: 500 * MS,
        aim_stretch: 2.0,
        deadline: 5 * SECOND,
        dedup_window: 2 * SECOND,
        worth: 1.0,
        ..Class::default()
    };
    Settings {
        directors: 1,
        zone: 1,
        zone_directors: vec![0, 1],
        zone_hub: vec![0, 0],
        zone_link_kb_per_s: vec![0.0, 0.0],
        classes: vec![class],
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        flow_kb_per_s: 5_000.0,
        join_fills: true,
        detail: Detail::All,
        weights: Weights::Nominal,
        second_copies: true,
        cancel: true,
        max_attempts: 6,
        max_retry_after: SECOND,
        drain_grace: 2 * SECOND,
        cold_start_share: 0.2,
        cold_duration: 10 * SECOND,
        overload_multiple: 2.0,
        overload_window: 2 * SECOND,
        parent_cold_start_share: 0.1,
        parent_cold_duration: 20 * SECOND,
        parent_overload_multiple: 2.0,
        purge_grace: 500 * MS,
        purge_complete_within: 9_200 * MS,
        ..Settings::default()
    }
}

/// So many caches of the router's site and parents, with one origin.
pub fn members(caches: u64, parents: u64) -> Vec<Member> {
    let member = |id, kind| Member {
        id: MemberId(id),
        zone: usize::from(kind == CACHE),
        kind,
        weight: 10.0,
        cell: id % 2,
        ..Member::default()
    };
    let caches = (1..=caches).map(|id| member(id, CACHE));
    let parents = (0..parents).map(|n| member(FIRST_PARENT + n, PARENT));
    caches.chain(parents).chain([member(ORIGIN_ID, ORIGIN)]).collect()
}

/// Processor time that this process has used, in microseconds.
pub fn processor_time() -> f64 {
    let used = clock_gettime(ClockId::ProcessCPUTime);
    used.tv_sec as f64 * 1e6 + used.tv_nsec as f64 / 1e3
}

/// A director, its made-up clock and what is under way for it.
pub struct Host {
    director: Director,
    now: Micros,
    answers: VecDeque<(Micros, Outcome)>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    requests: u128,
    actions: Vec<Action>,
    /// Requests that were refused or failed.
    pub unserved: u64,
}

impl Host {
    /// A director that was told of these members.
    pub fn new(members: Vec<Member>) -> Self {
        let mut host = Self {
            director: Director::new(1, settings()),
            now: START,
            answers: VecDeque::new(),
            timers: BinaryHeap::new(),
            requests: 0,
            actions: Vec::new(),
            unserved: 0,
        };
        host.tell(Event::Members { kind: ListKind::Full, members });
        host
    }

    /// The next request of a stream at a router's part of the peak, and all that is due before it.
    pub fn next_request(&mut self) {
        self.now += SECOND / REQUESTS_PER_S;
        self.deliver_answers();
        self.deliver_timers();
        self.ask();
    }

    /// A request that nothing is answered before, so that it stays open with those before it.
    pub fn ask(&mut self) {
        self.requests += 1;
        let request = Request {
            id: RequestId(self.requests),
            class: 0,
            object: format!("object-{}", self.requests),
            part: 0,
            group: self.requests as u64 % GROUPS,
            size_kb: Some(MEAN_KB),
            write: false,
            valid_until: self.now + PATIENCE,
            own_copy: None,
        };
        self.tell(Event::Request(request));
    }

    /// A purge of an object, so long after the one before it.
    pub fn purge(&mut self, after: Micros, object: u64) {
        self.now += after;
        self.tell(Event::Purged { object: Some(format!("object-{object}")), group: object % GROUPS, age: 0 });
    }

    fn deliver_answers(&mut self) {
        while let Some((due, outcome)) = self.answers.pop_front() {
            if due > self.now {
                return self.answers.push_front((due, outcome));
            }
            self.tell(Event::Outcome(outcome));
        }
    }

    fn deliver_timers(&mut self) {
        while let Some(Reverse((due, token))) = self.timers.pop() {
            if due > self.now {
                return self.timers.push(Reverse((due, token)));
            }
            self.tell(Event::Timer { token });
        }
    }

    fn tell(&mut self, event: Event) {
        self.director.handle(self.now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Fetch { id, member, .. } => self.answers.push_back(self.answer(id, member)),
                Action::Timer { delay, token } => self.timers.push(Reverse((self.now + delay, token))),
                Action::Refuse { .. } | Action::Fail { .. } => self.unserved += 1,
                _ => {}
            }
        }
    }

    /// Each request has one attempt here, as each is answered well before anything is overdue.
    fn answer(&self, id: RequestId, member: MemberId) -> (Micros, Outcome) {
        let filled = id.0.is_multiple_of(FILL_EACH);
        let outcome = Outcome {
            id,
            attempt: 0,
            member,
            status: Status::Ok,
            elapsed: ANSWER_AFTER,
            closed: true,
            note: Some(if filled { Note::Filled } else { Note::Hit }),
            fill_time: None,
            load: None,
        };
        (self.now + ANSWER_AFTER, outcome)
    }
}
