//! Test fixture of the decision module: settings, members, and a director on a simulated clock.
#![allow(dead_code)]

use bitternhold::*;

/// A millisecond and a second.
pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// Member kinds.
pub const CACHE: usize = 0;
pub const PARENT: usize = 1;
pub const ORIGIN: usize = 2;

pub fn class() -> Class {
    Class {
        aim: 500 * MS,
        aim_stretch: 2.0,
        deadline: 5 * S,
        dedup_window: 2 * S,
        worth: 1.0,
        ..Class::default()
    }
}

pub fn settings() -> Settings {
    Settings {
        directors: 2,
        zone: 1,
        zone_directors: vec![0, 2],
        zone_hub: vec![0, 0],
        zone_link_kb_per_s: vec![0.0, 50_000.0],
        classes: vec![class()],
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        flow_kb_per_s: 5_000.0,
        join_fills: true,
        detail: Detail::All,
        weights: Weights::Nominal,
        max_attempts: 6,
        max_retry_after: S,
        drain_grace: 2 * S,
        cold_start_share: 0.2,
        cold_duration: 10 * S,
        overload_multiple: 2.0,
        overload_window: 2 * S,
        parent_cold_start_share: 0.1,
        parent_cold_duration: 20 * S,
        parent_overload_multiple: 2.0,
        purge_grace: 500 * MS,
        purge_complete_within: 6 * S,
        ..Settings::default()
    }
}

pub fn member(id: u64, kind: usize) -> Member {
    let zone = usize::from(kind == CACHE);
    Member { id: MemberId(id), zone, kind, weight: 10.0, cell: id % 2, ..Member::default() }
}

/// Caches 1 to 4, parents 11 and 12, origin 20.
pub fn fleet() -> Vec<Member> {
    let mut all: Vec<Member> = (1..=4).map(|id| member(id, CACHE)).collect();
    all.extend([member(11, PARENT), member(12, PARENT), member(20, ORIGIN)]);
    all
}

/// A request of class 0 that is valid for 3 seconds.
pub fn request(id: u128, object: &str, now: Micros) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        object: object.to_owned(),
        part: 0,
        group: 7,
        size_kb: Some(500.0),
        write: false,
        valid_until: now + 3 * S,
        own_copy: None,
    }
}

/// An outcome after 100 ms; a successful one is a hit and closes the request.
pub fn outcome(id: u128, attempt: u32, member: MemberId, status: Status) -> Outcome {
    Outcome {
        id: RequestId(id),
        attempt,
        member,
        status,
        elapsed: 100 * MS,
        closed: status == Status::Ok,
        note: (status == Status::Ok).then_some(Note::Hit),
        fill_time: None,
        load: None,
    }
}

/// A director and its simulated clock.
pub struct World {
    pub director: Director,
    pub now: Micros,
}

impl World {
    /// A director that knows the members of [`fleet`].
    pub fn new(settings: Settings) -> Self {
        Self::with(settings, fleet())
    }

    pub fn with(settings: Settings, members: Vec<Member>) -> Self {
        let mut world = Self { director: Director::new(1, settings), now: 100 * S };
        world.handle(Event::Members { kind: ListKind::Full, members });
        world
    }

    /// Passes an event to the director and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.director.handle(self.now, event, &mut out);
        out
    }

    /// Sends a request for an object.
    pub fn ask(&mut self, id: u128, object: &str) -> Vec<Action> {
        let request = request(id, object, self.now);
        self.handle(Event::Request(request))
    }

    /// Ends an attempt.
    pub fn end(&mut self, id: u128, attempt: u32, member: MemberId, status: Status) -> Vec<Action> {
        self.handle(Event::Outcome(outcome(id, attempt, member, status)))
    }

    /// Sends a request and its successful outcome, so that nothing stays open.
    pub fn serve(&mut self, id: u128, object: &str) -> Sent {
        let sent = sent(&self.ask(id, object));
        self.end(id, 0, sent.member, Status::Ok);
        sent
    }
}

/// An attempt that the director sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub member: MemberId,
    pub source: MemberId,
    pub keep: Keep,
    pub max_age: Option<Micros>,
    pub mode: FillMode,
}

/// All attempts among the actions.
pub fn sends(actions: &[Action]) -> Vec<Sent> {
    let one = |a: &Action| match *a {
        Action::Fetch { member, source, keep, max_age, mode, .. } => {
            Some(Sent { member, source, keep, max_age, mode })
        }
        _ => None,
    };
    actions.iter().filter_map(one).collect()
}

/// The only attempt among the actions.
pub fn sent(actions: &[Action]) -> Sent {
    let all = sends(actions);
    assert_eq!(all.len(), 1, "one attempt: {actions:?}");
    all[0]
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
