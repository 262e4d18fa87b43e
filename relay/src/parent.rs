//! Which parent a node takes the log from: the preferred one first, then the others in turn, with waits drawn from the
//! seed; back to the preferred one after a while; and, for a router, the coordinator itself where none is to be had.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::node::{Role, Settings};
use crate::{Micros, ParentId};

/// Of the lease, a router waits such a part for a parent's answer before it tries another one.
const PATIENCE_ROUTER: Micros = 2;
/// A relay waits shorter: its children's feeds age as well.
const PATIENCE_RELAY: Micros = 3;
/// The longest wait before a reconnect, in leases.
const LONGEST_WAIT: Micros = 2;
/// Doublings of the wait until it is the longest.
const MOST_DOUBLINGS: u32 = 5;
/// From a confirmation of another parent until the preferred one is tried again: in leases, doubled each time that fails.
const BACK_AFTER: Micros = 4;
/// Doublings of that at most.
const MOST_BACK_DOUBLINGS: u32 = 4;

/// The connection to a parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// None; the next is tried then.
    Waiting { until: Micros },
    /// Asked for, at that time.
    Connecting { since: Micros },
    /// Up, and answered last at that time, or up since then.
    Up { answered: Micros },
}

/// What is to be done about the parent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Connect to it.
    Connect(ParentId),
    /// It has not come up, or has not answered for too long: end it.
    GiveUp(ParentId),
    /// End it, to go back to the preferred one.
    GoBack(ParentId),
    /// Follow the coordinator.
    Follow,
}

/// The choice of a parent.
#[derive(Clone, Debug)]
pub struct Parents {
    count: usize,
    lease: Micros,
    patience: Micros,
    least_wait: Micros,
    rng: Pcg64Mcg,
    link: Link,
    current: usize,
    /// Failures since the last confirmation.
    failures: u32,
    /// When to go back to the preferred one.
    back_at: Option<Micros>,
    back_doublings: u32,
    /// When to follow the coordinator, for whoever may; none while following.
    follow_at: Option<Micros>,
    follows: bool,
}

impl Parents {
    /// No connection yet.
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let patience = if settings.role == Role::Router { PATIENCE_ROUTER } else { PATIENCE_RELAY };
        let mut parents = Self {
            count: if settings.role == Role::Source { 0 } else { settings.parents },
            lease: settings.lease,
            patience: settings.lease / patience,
            least_wait: settings.batch_every,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            link: Link::Waiting { until: now },
            current: 0,
            failures: 0,
            back_at: None,
            back_doublings: 0,
            follow_at: None,
            follows: false,
        };
        if settings.role == Role::Router {
            let after = if parents.count == 0 { 0 } else { parents.until_following() };
            parents.follow_at = Some(now.saturating_add(after));
        }
        parents
    }

    /// Whether the connection is up.
    pub fn is_up(&self) -> bool {
        matches!(self.link, Link::Up { .. })
    }

    /// Whether the coordinator is followed.
    pub fn follows(&self) -> bool {
        self.follows
    }

    /// The connection asked for is up; false: it was not asked for.
    pub fn up(&mut self, parent: ParentId, now: Micros) -> bool {
        let asked = matches!(self.link, Link::Connecting { .. }) && parent.0 == self.current;
        if asked {
            self.link = Link::Up { answered: now };
        }
        asked
    }

    /// The connection could not be made, or has ended.
    pub fn down(&mut self, parent: ParentId, now: Micros) {
        if parent.0 == self.current && !matches!(self.link, Link::Waiting { .. }) {
            self.fail(now);
        }
    }

    /// The connection that is up, to be ended for a fault.
    pub fn end(&mut self, now: Micros) -> Option<ParentId> {
        let parent = ParentId(self.current);
        self.is_up().then(|| self.fail(now)).map(|()| parent)
    }

    /// The parent has answered a report.
    pub fn answered(&mut self, now: Micros) {
        if !self.is_up() {
            return;
        }
        self.link = Link::Up { answered: now };
        self.failures = 0;
        match self.current {
            0 => (self.back_at, self.back_doublings) = (None, 0),
            _ if self.back_at.is_none() => {
                let wait = self.lease.saturating_mul(BACK_AFTER) << self.back_doublings;
                self.back_at = Some(now.saturating_add(self.rng.random_range(wait / 2..=wait)));
                self.back_doublings = (self.back_doublings + 1).min(MOST_BACK_DOUBLINGS);
            }
            _ => {}
        }
    }

    /// The feed over the parent is confirmed. Returns whether the coordinator is not to be followed any more.
    pub fn confirmed(&mut self, now: Micros) -> bool {
        if self.follow_at.is_some() || self.follows {
            let after = self.until_following();
            self.follow_at = Some(now.saturating_add(after));
        }
        std::mem::take(&mut self.follows)
    }

    /// What is to be done now; asked until there is nothing more.
    pub fn step(&mut self, now: Micros) -> Option<Step> {
        if self.follow_at.is_some_and(|at| at <= now) {
            (self.follow_at, self.follows) = (None, true);
            return Some(Step::Follow);
        }
        if self.link_due() > now {
            return None;
        }
        let parent = ParentId(self.current);
        match self.link {
            Link::Waiting { .. } => {
                self.link = Link::Connecting { since: now };
                Some(Step::Connect(parent))
            }
            Link::Up { answered } if now < answered.saturating_add(self.patience) => {
                (self.back_at, self.current) = (None, 0);
                self.link = Link::Waiting { until: now };
                Some(Step::GoBack(parent))
            }
            Link::Connecting { .. } | Link::Up { .. } => {
                self.fail(now);
                Some(Step::GiveUp(parent))
            }
        }
    }

    /// When something is to be done at the latest.
    pub fn due(&self) -> Micros {
        self.link_due().min(self.follow_at.unwrap_or(Micros::MAX))
    }

    fn link_due(&self) -> Micros {
        match self.link {
            _ if self.count == 0 => Micros::MAX,
            Link::Waiting { until } => until,
            Link::Connecting { since } => since.saturating_add(self.patience),
            Link::Up { answered } => {
                answered.saturating_add(self.patience).min(self.back_at.unwrap_or(Micros::MAX))
            }
        }
    }

    /// The next one in turn, after a wait.
    fn fail(&mut self, now: Micros) {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        let longest = (self.least_wait << doublings).min(self.lease.saturating_mul(LONGEST_WAIT)).max(1);
        self.failures = self.failures.saturating_add(1);
        self.link = Link::Waiting { until: now.saturating_add(self.rng.random_range(0..longest)) };
        self.current = (self.current + 1) % self.count.max(1);
        self.back_at = None;
    }

    fn until_following(&mut self) -> Micros {
        self.lease.saturating_add(self.rng.random_range(0..=self.lease / 4))
    }
}
