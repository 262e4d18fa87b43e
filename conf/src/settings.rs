//! The settings that the file comes to, and what the directives must be together.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::keys::{self, Given, PARTS, Value};
use crate::{Fault, Micros};

/// All that the file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Conf {
    /// The exchange between routers; none: off.
    pub exchange: Option<Exchange>,
    /// Snapshots; none: off.
    pub snapshot: Option<Snapshot>,
    /// What the routers agree on; none: off.
    pub agreement: Option<Agreement>,
    /// Purges and list events over relays; none: off.
    pub relay: Option<Relay>,
    /// For staff: the sources, and the files to ask them with; none: no source is named.
    pub sources: Option<Sources>,
    /// How fast another's word loses weight.
    pub half_lives: HalfLives,
    given: Given,
}

impl Default for Conf {
    /// An empty file: all off.
    fn default() -> Self {
        settle(&Given::new(), &mut Vec::new())
    }
}

/// The exchange between routers.
#[derive(Clone, Debug, PartialEq)]
pub struct Exchange {
    /// Where this one gives; none: it only asks.
    pub listen: Option<SocketAddr>,
    /// PEM files.
    pub files: Files,
    /// Whom it asks, by the name in their certificates; none: it only gives.
    pub donors: Vec<(String, SocketAddr)>,
    /// So many at a time.
    pub at_once: usize,
    /// For so long after its start.
    pub ask_for: Micros,
    /// Bytes a second that it gives to all.
    pub give_rate: u64,
    /// Newcomers that it serves at a time.
    pub newcomers: usize,
}

/// The PEM files of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Files {
    /// The authority's certificate.
    pub authority: PathBuf,
    /// The router's certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
}

/// Snapshots on a lasting disk.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Where.
    pub directory: PathBuf,
    /// Time from one to the next.
    pub every: Micros,
    /// The largest, in bytes.
    pub most: u64,
}

/// What the routers agree on.
#[derive(Clone, Debug, PartialEq)]
pub struct Agreement {
    /// Who votes, by the names in their certificates.
    pub electors: Vec<(String, SocketAddr)>,
    /// PEM files, the exchange's.
    pub files: Files,
    /// Where an elector keeps its log.
    pub directory: Option<PathBuf>,
    /// The stated time.
    pub within: Micros,
    /// Certificates' names that may propose anything.
    pub operators: Vec<String>,
    /// Connections of others that an elector holds.
    pub callers: usize,
    /// Where its acts are written.
    pub records: Option<PathBuf>,
    /// Taking machines out for work; none: off.
    pub work: Option<Work>,
    /// Settings and lists with versions; none: off.
    pub rules: Option<Rules>,
}

/// Settings and lists with versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rules {
    /// A lower limit of fills at the head office can't be carried.
    pub least_fills: u64,
    /// What this file says of half-lives, which an agreed version may overrule, and on which lines.
    pub half_lives: HalfLives,
    /// See `half_lives`.
    pub lines: BTreeMap<&'static str, usize>,
}

/// What a router is in the tree over which purges and list events come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRole {
    /// It follows the coordinator and passes its events on.
    Source,
    /// It has a parent and passes the log on.
    Relay,
    /// It has a parent.
    Router,
}

/// Purges and list events over relays.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// What this router is.
    pub role: RelayRole,
    /// PEM files, the exchange's.
    pub files: Files,
    /// Parents by the names in their certificates, the preferred one first.
    pub parents: Vec<(String, SocketAddr)>,
    /// The lease.
    pub within: Micros,
    /// The lease of a router that follows the coordinator itself.
    pub direct: Micros,
    /// Records are passed on at most so often.
    pub batch: Micros,
    /// A parent is told so often.
    pub report: Micros,
    /// Children that it takes; 0 at a router.
    pub children: usize,
    /// Records that it keeps.
    pub records: usize,
    /// Where its acts are written.
    pub records_file: Option<PathBuf>,
}

/// Whom staff ask how far a purge has come.
#[derive(Clone, Debug, PartialEq)]
pub struct Sources {
    /// All sources, by the names in their certificates.
    pub sources: Vec<(String, SocketAddr)>,
    /// PEM files, the exchange's.
    pub files: Files,
}

/// Taking machines out for work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Machines of a place that may be out at a time.
    pub most_out: usize,
    /// What a place keeps over its load, in thousandths.
    pub headroom: u64,
    /// A router whose confirmation has run out serves on, and holds all work up.
    pub hold: bool,
}

/// After so long another's word counts half, by what it is about: the knowledge store's own terms.
pub use silverspindle_knowledge::store::HalfLives;

pub(crate) fn settle(given: &Given, faults: &mut Vec<Fault>) -> Conf {
    let one = |name: &str| given.get(name).and_then(|all| all.first());
    let number = |name: &str| match (one(name), keys::named(name).and_then(keys::default)) {
        (Some((_, Value::Number(n))), _) => *n,
        (None, Some(Value::Number(n))) => n,
        _ => 0,
    };
    let address = |name: &str| match one(name) {
        Some((_, Value::Address(a))) => Some(*a),
        _ => None,
    };
    let path = |name: &str| match one(name) {
        Some((_, Value::Path(p))) => Some(p.clone()),
        _ => None,
    };
    let mut peers = |key: &str| {
        let mut peers: Vec<(String, SocketAddr)> = Vec::new();
        for (line, value) in given.get(key).map_or(&[][..], Vec::as_slice) {
            let Value::Peer(name, at) = value else { continue };
            if peers.iter().any(|(other, _)| other == name) {
                let problem = format!("{name} stands there already");
                faults.push(Fault { line: *line, key: key.to_owned(), problem });
            }
            peers.push((name.clone(), *at));
        }
        peers
    };
    let (donors, electors) = (peers("donor"), peers("agree-elector"));
    let (parents, sources) = (peers("relay-parent"), peers("relay-source"));
    let needs = one("exchange-listen").or(one("donor"));
    let agrees = one("agree-elector");
    if let Some((line, _)) = agrees.filter(|_| ![1, 3, 5].contains(&electors.len())) {
        let problem = format!("{} of them stand there; 1, 3 or 5 can vote", electors.len());
        faults.push(Fault { line: *line, key: "agree-elector".to_owned(), problem });
    }
    let rules = one("agree-rules").filter(|(_, value)| *value == Value::Name("on".to_owned()));
    if let Some((line, _)) = rules.filter(|_| agrees.is_none()) {
        let problem = "needs agree-elector lines: versions are agreed".to_owned();
        faults.push(Fault { line: *line, key: "agree-rules".to_owned(), problem });
    }
    let half_lives = HalfLives {
        health: number("half-life-health"),
        pace: number("half-life-pace"),
        rates: number("half-life-rates"),
        filter: number("half-life-filter"),
    };
    let lines = given
        .iter()
        .filter(|(key, _)| key.starts_with("half-life-"))
        .filter_map(|(key, all)| Some((*key, all.first()?.0)));
    if let Some((line, _)) = one("work-out").filter(|_| agrees.is_none()) {
        let problem = "needs agree-elector lines: the order of work is agreed".to_owned();
        faults.push(Fault { line: *line, key: "work-out".to_owned(), problem });
    }
    let files = ["exchange-authority", "exchange-certificate", "exchange-key"];
    let relays = one("relay-role");
    let role = relays.and_then(|(_, value)| match value {
        Value::Name(name) if name == "source" => Some(RelayRole::Source),
        Value::Name(name) if name == "relay" => Some(RelayRole::Relay),
        Value::Name(_) => Some(RelayRole::Router),
        _ => None,
    });
    relay_faults(given, role, &number, faults);
    if let Some((line, _)) = needs.or(agrees).or(relays).or(one("relay-source")) {
        for missing in files.iter().filter(|name| path(name).is_none()) {
            let problem = format!("is missing: the exchange on line {line} needs it");
            faults.push(Fault { line: *line, key: (*missing).to_owned(), problem });
        }
    }
    let [authority, certificate, key] = files.map(|name| path(name).unwrap_or_default());
    let files = Files { authority, certificate, key };
    let operators = given.get("agree-operator").map_or(&[][..], Vec::as_slice);
    let name = |(_, value): &(usize, Value)| match value {
        Value::Name(name) => Some(name.clone()),
        _ => None,
    };
    Conf {
        agreement: agrees.map(|_| Agreement {
            electors,
            files: files.clone(),
            directory: path("agree-directory"),
            within: number("agree-within"),
            operators: operators.iter().filter_map(name).collect(),
            callers: number("agree-callers") as usize,
            records: path("agree-records"),
            work: one("work-out").map(|_| Work {
                most_out: number("work-out") as usize,
                headroom: 10 * number("work-headroom"),
                hold: matches!(one("work-alone"), Some((_, Value::Name(word))) if word == "hold"),
            }),
            rules: rules.map(|_| Rules {
                least_fills: number("rules-least-fills"),
                half_lives,
                lines: lines.collect(),
            }),
        }),
        exchange: needs.map(|_| Exchange {
            listen: address("exchange-listen"),
            files: files.clone(),
            donors,
            at_once: number("donors-at-once") as usize,
            ask_for: number("ask-for"),
            give_rate: number("give-rate"),
            newcomers: number("give-newcomers") as usize,
        }),
        relay: role.map(|role| Relay {
            role,
            files: files.clone(),
            parents,
            within: number("relay-within"),
            direct: number("relay-direct"),
            batch: number("relay-batch"),
            report: number("relay-report"),
            children: if role == RelayRole::Router { 0 } else { number("relay-children") as usize },
            records: number("relay-records") as usize,
            records_file: path("relay-records-file"),
        }),
        sources: (!sources.is_empty()).then(|| Sources { sources, files: files.clone() }),
        snapshot: path("snapshot-directory").map(|directory| Snapshot {
            directory,
            every: number("snapshot-every"),
            most: number("snapshot-size"),
        }),
        half_lives,
        given: given.iter().filter(|(_, v)| !v.is_empty()).map(|(k, v)| (*k, v.clone())).collect(),
    }
}

/// What the directives of the relays must be together.
fn relay_faults(
    given: &Given,
    role: Option<RelayRole>,
    number: &impl Fn(&str) -> u64,
    faults: &mut Vec<Fault>,
) {
    let line = |key: &str| given.get(key).and_then(|all| all.first()).map(|(line, _)| *line);
    let mut fault = |line: usize, key: &str, problem: &str| {
        faults.push(Fault { line, key: key.to_owned(), problem: problem.to_owned() });
    };
    let Some((role, at)) = role.zip(line("relay-role")) else {
        // Staff's own file names the sources and nothing else; what has a default stands in every file that is shown.
        for (key, line) in ["relay-parent", "relay-records-file"].map(|key| (key, line(key))) {
            if let Some(line) = line {
                fault(line, key, "needs relay-role: this router takes no part without");
            }
        }
        return;
    };
    match (role, line("relay-parent")) {
        (RelayRole::Source, Some(line)) => {
            fault(line, "relay-parent", "a source has none: its records come from the coordinator");
        }
        (RelayRole::Relay | RelayRole::Router, None) => {
            fault(
                at,
                "relay-role",
                "needs relay-parent lines: a relay or router takes the log from a parent",
            );
        }
        _ => {}
    }
    if role != RelayRole::Router && line("exchange-listen").is_none() {
        fault(at, "relay-role", "needs exchange-listen: others take the log from a source or relay there");
    }
    let [within, direct, report] = ["relay-within", "relay-direct", "relay-report"].map(number);
    // A duration out of its bounds has its fault already; its default is no reason for another.
    let line_of = |keys: [&str; 2]| keys.into_iter().filter_map(line).max().unwrap_or(at);
    if direct >= within {
        let problem =
            "must be shorter than relay-within: nobody counts a router that follows the coordinator";
        fault(line_of(["relay-direct", "relay-within"]), "relay-direct", problem);
    }
    if report > within / 4 {
        let problem = "must be a quarter of relay-within at most: its age adds up from parent to child";
        fault(line_of(["relay-report", "relay-within"]), "relay-report", problem);
    }
}

impl Conf {
    /// The file in effect, defaults filled in; read back it comes to the same settings.
    pub fn show(&self) -> String {
        let mut out = String::new();
        for key in keys::all() {
            let default = keys::default(key).map(|value| (0, value));
            let values = self.given.get(key.name).cloned().unwrap_or_else(|| default.into_iter().collect());
            if values.is_empty() {
                let _ = writeln!(out, "# {}: not set", key.name);
            }
            for (_, value) in values {
                let _ = writeln!(out, "{} {}", key.name, keys::words(key.kind, &value));
            }
        }
        out
    }

    /// Directives that differ in the other file and need a restart to take effect.
    pub fn need_restart(&self, other: &Conf) -> Vec<&'static str> {
        let values = |conf: &Conf, key: &keys::Key| -> Vec<Value> {
            let given = conf.given.get(key.name).map(|all| all.iter().map(|(_, v)| v.clone()).collect());
            given.unwrap_or_else(|| keys::default(key).into_iter().collect())
        };
        let differs = |key: &keys::Key| values(self, key) != values(other, key);
        keys::all().filter(|key| key.restart && differs(key)).map(|key| key.name).collect()
    }
}

/// The file as shipped: every directive documented and commented out.
pub fn shipped() -> String {
    let mut out =
        "# The operators' file of silverspindle. Named by --conf FILE or LB_CONF; what is absent is off.\n\
         # A directive a line; '#' begins a comment; quotes as in a shell; units as in 200ms, 5s, 64MB.\n\
         # Check it: silverspindle check-conf FILE. See what holds: silverspindle show-conf FILE.\n"
            .to_owned();
    for (about, keys) in PARTS {
        let _ = write!(out, "\n# ---- {}\n", about.replace('\n', "\n#      "));
        for key in keys {
            let default = key.default.map_or("Off without.".to_owned(), |d| format!("Without it: {d}."));
            let restart = if key.restart { " A change needs a restart." } else { "" };
            let _ = write!(out, "\n# {} {default}{restart}\n#{} {}\n", key.about, key.name, key.example);
        }
    }
    out
}
