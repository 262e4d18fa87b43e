//! The settings of a soak, drawn from its seed within what the protocol's pages allow.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::codec::Member;
use crate::{Micros, SECOND};

const MS: Micros = 1000;
/// The longest deadline of the settings.
pub const LONGEST: Micros = 2 * SECOND;
/// A purge is heeded so long after it was told.
pub const HEED: Micros = 500 * MS;
/// Caches have dropped older copies so long after a purge.
pub const CLEARED: Micros = 6 * SECOND;

/// Caches that drop repeats of a request, of those that a class's key is known to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// What a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// To be repeated at will.
    Idempotent,
    /// Repeats carry a key and are dropped within a group and for so long.
    Deduplicated(Group, Micros),
    /// Runs once at most.
    AtMostOnce,
}

impl Effect {
    /// Whether a request may be refused whatever has run.
    pub fn repeats_freely(self) -> bool {
        matches!(self, Effect::Idempotent | Effect::Deduplicated(Group::All, _))
    }
}

/// A class.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// What may be repeated.
    pub effect: Effect,
    /// It writes.
    pub write: bool,
    /// An answer is wanted by then.
    pub aim: Micros,
    /// How long a copy is fresh, and how much older it may be; fresh 0: until it is purged.
    pub fresh: Micros,
    /// See `fresh`.
    pub stale: Micros,
}

impl Class {
    /// The oldest copy that may be served; none: any that is not purged.
    pub fn oldest(&self) -> Option<Micros> {
        (self.fresh > 0).then_some(self.fresh + self.stale)
    }
}

/// All settings that are drawn.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// The classes, by place.
    pub classes: Vec<Class>,
    /// Attempts that a request may have.
    pub tries: usize,
    /// Two attempts of a request may be out.
    pub second_copies: bool,
    /// Attempts may be given up.
    pub cancelling: bool,
    /// After so long caches close idle connections.
    pub idle_close: Micros,
    /// Requests on one connection to a cache.
    pub streams: usize,
    /// Which notes answers carry.
    pub notes: &'static str,
    /// Megabytes that a router may take: an eighth are own copies.
    pub memory_mb: u64,
}

const NAMES: [&str; 5] = ["page", "video", "label", "scan", "order"];

impl Terms {
    /// Settings with a class of each effect that reads, and two that write.
    pub fn draw(random: &mut Pcg64Mcg) -> Self {
        let window = random.random_range(300..2000) * MS;
        let groups = [Group::All, Group::Zone, Group::Cell];
        let mut group = || *groups.choose(random).unwrap_or(&Group::All);
        let (read, write) = (group(), group());
        let effects = [
            (Effect::Idempotent, false),
            (Effect::Deduplicated(read, window), false),
            (Effect::AtMostOnce, false),
            (Effect::Deduplicated(write, window), true),
            (Effect::AtMostOnce, true),
        ];
        let mut class = |(name, (effect, write)): (&'static str, (Effect, bool))| {
            let times = [(0, 0), (1000, 500), (500, 3000), (300, 200), (2000, 0), (4000, 8000)];
            let (fresh, stale) = if write { (0, 0) } else { *times.choose(random).unwrap_or(&times[0]) };
            let aim = random.random_range(200..1500) * MS;
            Class { name, effect, write, aim, fresh: fresh * MS, stale: stale * MS }
        };
        let classes = NAMES.into_iter().zip(effects).map(&mut class).collect();
        Self {
            classes,
            tries: random.random_range(2..=8),
            second_copies: random.random_bool(0.7),
            cancelling: random.random_bool(0.8),
            idle_close: *[2 * SECOND, 4 * SECOND, 30 * SECOND].choose(random).unwrap_or(&SECOND),
            streams: *[1, 4, 32].choose(random).unwrap_or(&32),
            notes: ["all", "hit", "none"].choose(random).unwrap_or(&"all"),
            memory_mb: *[16, 32, 96].choose(random).unwrap_or(&96),
        }
    }

    /// A router's configuration but for its addresses.
    pub fn config(&self, members: &[Member], coordinator: &str, routers: usize, seed: u64) -> Value {
        let by_class = |of: fn(&Class) -> Value| self.classes.iter().map(of).collect::<Vec<Value>>();
        let classes: Vec<Value> = self.classes.iter().map(class_settings).collect();
        let settings = json!({
            "balancers": routers, "index": 0, "my_zone": "edge", "failure_domains": ["hub", "edge"],
            "kinds": ["box", "parent", "origin"], "weights": "rough", "membership_mode": "pushed",
            "classes": classes,
            "family_info": {"parent_kind": 1, "root_kind": 2, "flow_kb_per_s": 5000.0, "detail": self.notes,
                "class_write": by_class(|c| c.write.into()),
                "fresh_for_ms": by_class(|c| (c.fresh / MS).into()),
                "stale_for_ms": by_class(|c| (c.stale / MS).into()),
                "class_stale_worth": by_class(|_| 0.7.into()),
                "crew_by_zone": [0, routers], "hub_by_zone": [0, 0],
                "heed_within_ms": HEED / MS, "cleared_within_ms": CLEARED / MS, "neighbours": "any"},
            "limits": {"try_limit": self.tries, "retry_after": true, "max_retry_after_ms": 2000.0,
                "cancelling": self.cancelling, "second_copies": self.second_copies, "connect_timeout_ms": 400.0,
                "streams_per_conn": self.streams, "idle_close_ms": self.idle_close / MS},
            "rules": {"drain_grace_ms": 1000.0, "cold_ms": 16000.0, "tip_after_ms": 1500.0}
        });
        let members: Vec<Value> = members.iter().map(Member::json).collect();
        json!({"seed": format!("{seed:x}"), "coordinator": coordinator,
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 512},
            "flow_bytes_per_s": 1_000_000, "link_bytes_per_s": 4_000_000,
            "settings": settings,
            "known": {"index": 1, "updates": [{"index": 1, "endpoints":
                {"revision": 1, "complete": true, "members": members}}]}})
    }
}

fn class_settings(class: &Class) -> Value {
    let (effect, group, window) = match class.effect {
        Effect::Idempotent => ("idempotent", Group::All, 0),
        Effect::Deduplicated(group, window) => ("deduplicated", group, window),
        Effect::AtMostOnce => ("at_most_once", Group::All, 0),
    };
    let group = match group {
        Group::All => "all",
        Group::Zone => "zone",
        Group::Cell => "cell",
    };
    json!({"name": class.name, "idempotency": effect, "group": group, "slo_ms": class.aim / MS,
        "deadline_ms": LONGEST / MS, "window_ms": window / MS, "worth": 1.0, "late_worth": 0.2})
}
