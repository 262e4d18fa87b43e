//! Settings that result from the operators' file, and the checks across directives.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::keys::{self, GivenDirectives, SECTIONS, Value};
use crate::{Fault, Micros};

/// The parsed operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct Conf {
    /// Exchange of knowledge between routers; none if it is off.
    pub exchange: Option<Exchange>,
    /// Snapshots; none if they are off.
    pub snapshot: Option<Snapshot>,
    /// Agreement between routers; none if it is off.
    pub agreement: Option<Agreement>,
    /// Purges and list events over relays; none if they are off.
    pub relay: Option<Relay>,
    /// For staff: the sources and the files to connect to them with; none if the file names no source.
    pub sources: Option<Sources>,
    /// Half-lives of the knowledge from other routers.
    pub half_lives: HalfLives,
    /// Directives as given in the file.
    given: GivenDirectives,
}

impl Default for Conf {
    /// The settings of an empty file: everything is off.
    fn default() -> Self {
        resolve(&GivenDirectives::new(), &mut Vec::new())
    }
}

/// Exchange of knowledge between routers.
#[derive(Clone, Debug, PartialEq)]
pub struct Exchange {
    /// Address on which this router serves others; none if it only asks.
    pub listen: Option<SocketAddr>,
    /// PEM files.
    pub files: Files,
    /// Donors to ask, with the names in their certificates; none if this router only gives.
    pub donors: Vec<(String, SocketAddr)>,
    /// Largest number of donors to ask at a time.
    pub max_donors_at_once: usize,
    /// Time after its start during which this router asks donors, in microseconds.
    pub ask_period: Micros,
    /// Bytes per second that this router gives to all newcomers together.
    pub give_rate: u64,
    /// Largest number of newcomers that this router serves at a time.
    pub max_newcomers: usize,
}

/// Paths of a router's PEM files.
#[derive(Clone, Debug, PartialEq)]
pub struct Files {
    /// Certificate of the authority.
    pub authority: PathBuf,
    /// Certificate of the router.
    pub certificate: PathBuf,
    /// Private key of the router.
    pub key: PathBuf,
}

/// Snapshots on a disk that outlives the router.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Directory of the snapshots.
    pub directory: PathBuf,
    /// Time between two snapshots, in microseconds.
    pub interval: Micros,
    /// Largest snapshot, in bytes.
    pub max_size: u64,
}

/// Agreement between routers.
#[derive(Clone, Debug, PartialEq)]
pub struct Agreement {
    /// Voting routers, with the names in their certificates.
    pub electors: Vec<(String, SocketAddr)>,
    /// PEM files, shared with the exchange.
    pub files: Files,
    /// Directory in which an elector keeps its log.
    pub directory: Option<PathBuf>,
    /// Longest time for which a router acts on a decision that has been replaced, in microseconds.
    pub lease: Micros,
    /// Names of certificates that may make any proposal.
    pub operators: Vec<String>,
    /// Largest number of connections of followers and operators at an elector.
    pub max_callers: usize,
    /// File in which this router records what it acted on.
    pub records_file: Option<PathBuf>,
    /// Taking machines out for work; none if it is off.
    pub work: Option<Work>,
    /// Versioned settings and lists; none if they are off.
    pub rules: Option<Rules>,
}

/// Versioned settings and lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Smallest limit of fills at the head office that this router can work with.
    pub min_fills: u64,
    /// Half-lives in this file, which an agreed version may override.
    pub half_lives: HalfLives,
    /// Line numbers of the half-life directives in this file, by name.
    pub lines: BTreeMap<&'static str, usize>,
}

/// Role of a router in the tree that distributes purges and list events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRole {
    /// Follows the coordinator and passes its events on.
    Source,
    /// Takes the log from a parent and passes it on.
    Relay,
    /// Takes the log from a parent.
    Router,
}

/// Purges and list events over relays.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Role of this router.
    pub role: RelayRole,
    /// PEM files, shared with the exchange.
    pub files: Files,
    /// Parents with the names in their certificates, in order of preference.
    pub parents: Vec<(String, SocketAddr)>,
    /// Lease of a router that has a parent, in microseconds.
    pub lease: Micros,
    /// Lease of a router that reaches no parent and follows the coordinator itself, in microseconds.
    pub direct_lease: Micros,
    /// Shortest time between two batches of records passed on, in microseconds.
    pub batch_interval: Micros,
    /// Time between two reports to a parent, in microseconds.
    pub report_interval: Micros,
    /// Largest number of children; 0 for a router.
    pub max_children: usize,
    /// Largest number of records kept.
    pub max_records: usize,
    /// File in which this router records what it applied and acted on.
    pub records_file: Option<PathBuf>,
}

/// Sources that staff query for the progress of a purge.
#[derive(Clone, Debug, PartialEq)]
pub struct Sources {
    /// All sources, with the names in their certificates.
    pub sources: Vec<(String, SocketAddr)>,
    /// PEM files, shared with the exchange.
    pub files: Files,
}

/// Taking machines out for work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Largest number of machines of a place that may be out at a time.
    pub max_out: usize,
    /// Capacity that a place keeps beyond its load, in thousandths of the load.
    pub headroom_permille: u64,
    /// A router whose confirmation has expired keeps serving and holds up all work, instead of accepting no new
    /// requests.
    pub hold: bool,
}

/// Half-lives of the knowledge from other routers, by subject; defined by the knowledge store.
pub use silverspindle_knowledge::store::HalfLives;

/// Builds the settings from the given directives and their defaults, and adds the faults that show only across
/// directives.
pub(crate) fn resolve(given: &GivenDirectives, faults: &mut Vec<Fault>) -> Conf {
    let first_value = |name: &str| given.get(name).and_then(|all| all.first());
    let number = |name: &str| match (first_value(name), keys::by_name(name).and_then(keys::default)) {
        (Some((_, Value::Number(n))), _) => *n,
        (None, Some(Value::Number(n))) => n,
        _ => 0,
    };
    let address = |name: &str| match first_value(name) {
        Some((_, Value::Address(a))) => Some(*a),
        _ => None,
    };
    let path = |name: &str| match first_value(name) {
        Some((_, Value::Path(p))) => Some(p.clone()),
        _ => None,
    };
    let mut peers = |key: &str| {
        let mut peers: Vec<(String, SocketAddr)> = Vec::new();
        for (line, value) in given.get(key).map_or(&[][..], Vec::as_slice) {
            let Value::Peer(name, address) = value else { continue };
            if peers.iter().any(|(other, _)| other == name) {
                let problem = format!("{name} is given twice");
                faults.push(Fault { line: *line, key: key.to_owned(), problem });
            }
            peers.push((name.clone(), *address));
        }
        peers
    };
    let (donors, electors) = (peers("donor"), peers("agree-elector"));
    let (parents, sources) = (peers("relay-parent"), peers("relay-source"));
    let exchange = first_value("exchange-listen").or(first_value("donor"));
    let agreement = first_value("agree-elector");
    if let Some((line, _)) = agreement.filter(|_| ![1, 3, 5].contains(&electors.len())) {
        let problem = format!("{} are given; there must be 1, 3 or 5", electors.len());
        faults.push(Fault { line: *line, key: "agree-elector".to_owned(), problem });
    }
    let rules = first_value("agree-rules").filter(|(_, value)| *value == Value::Name("on".to_owned()));
    if let Some((line, _)) = rules.filter(|_| agreement.is_none()) {
        let problem = "needs agree-elector lines: the routers agree on versions".to_owned();
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
    if let Some((line, _)) = first_value("work-out").filter(|_| agreement.is_none()) {
        let problem = "needs agree-elector lines: the routers agree on the order of work".to_owned();
        faults.push(Fault { line: *line, key: "work-out".to_owned(), problem });
    }
    let files = ["exchange-authority", "exchange-certificate", "exchange-key"];
    let relay_role = first_value("relay-role");
    let role = relay_role.and_then(|(_, value)| match value {
        Value::Name(name) if name == "source" => Some(RelayRole::Source),
        Value::Name(name) if name == "relay" => Some(RelayRole::Relay),
        Value::Name(_) => Some(RelayRole::Router),
        _ => None,
    });
    check_relays(given, role, &number, faults);
    if let Some((line, _)) = exchange.or(agreement).or(relay_role).or(first_value("relay-source")) {
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
        agreement: agreement.map(|_| Agreement {
            electors,
            files: files.clone(),
            directory: path("agree-directory"),
            lease: number("agree-within"),
            operators: operators.iter().filter_map(name).collect(),
            max_callers: number("agree-callers") as usize,
            records_file: path("agree-records"),
            work: first_value("work-out").map(|_| Work {
                max_out: number("work-out") as usize,
                headroom_permille: 10 * number("work-headroom"),
                hold: matches!(first_value("work-alone"), Some((_, Value::Name(word))) if word == "hold"),
            }),
            rules: rules.map(|_| Rules {
                min_fills: number("rules-least-fills"),
                half_lives,
                lines: lines.collect(),
            }),
        }),
        exchange: exchange.map(|_| Exchange {
            listen: address("exchange-listen"),
            files: files.clone(),
            donors,
            max_donors_at_once: number("donors-at-once") as usize,
            ask_period: number("ask-for"),
            give_rate: number("give-rate"),
            max_newcomers: number("give-newcomers") as usize,
        }),
        relay: role.map(|role| Relay {
            role,
            files: files.clone(),
            parents,
            lease: number("relay-within"),
            direct_lease: number("relay-direct"),
            batch_interval: number("relay-batch"),
            report_interval: number("relay-report"),
            max_children: if role == RelayRole::Router { 0 } else { number("relay-children") as usize },
            max_records: number("relay-records") as usize,
            records_file: path("relay-records-file"),
        }),
        sources: (!sources.is_empty()).then(|| Sources { sources, files: files.clone() }),
        snapshot: path("snapshot-directory").map(|directory| Snapshot {
            directory,
            interval: number("snapshot-every"),
            max_size: number("snapshot-size"),
        }),
        half_lives,
        given: given.iter().filter(|(_, v)| !v.is_empty()).map(|(k, v)| (*k, v.clone())).collect(),
    }
}

/// Checks the directives of the relays against each other.
fn check_relays(
    given: &GivenDirectives,
    role: Option<RelayRole>,
    number: &impl Fn(&str) -> u64,
    faults: &mut Vec<Fault>,
) {
    let line = |key: &str| given.get(key).and_then(|all| all.first()).map(|(line, _)| *line);
    let mut fault = |line: usize, key: &str, problem: &str| {
        faults.push(Fault { line, key: key.to_owned(), problem: problem.to_owned() });
    };
    let Some((role, role_line)) = role.zip(line("relay-role")) else {
        // A file of staff names the sources without a role. Directives with a default don't show that a role is wanted,
        // as they are in every file that `show` writes.
        for (key, line) in ["relay-parent", "relay-records-file"].map(|key| (key, line(key))) {
            if let Some(line) = line {
                fault(line, key, "needs relay-role: without a role this router has no part in the relays");
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
                role_line,
                "relay-role",
                "needs relay-parent lines: a relay or router takes the log from a parent",
            );
        }
        _ => {}
    }
    if role != RelayRole::Router && line("exchange-listen").is_none() {
        fault(
            role_line,
            "relay-role",
            "needs exchange-listen: others take the log from a source or relay there",
        );
    }
    let [within, direct, report] = ["relay-within", "relay-direct", "relay-report"].map(number);
    // A duration out of its bounds is reported already; the default in its place should cause no second fault.
    let line_of = |keys: [&str; 2]| keys.into_iter().filter_map(line).max().unwrap_or(role_line);
    if direct >= within {
        let problem =
            "must be shorter than relay-within: no parent counts a router that follows the coordinator";
        fault(line_of(["relay-direct", "relay-within"]), "relay-direct", problem);
    }
    if report > within / 4 {
        let problem = "must be at most a quarter of relay-within: its age adds up from parent to child";
        fault(line_of(["relay-report", "relay-within"]), "relay-report", problem);
    }
}

impl Conf {
    /// The settings in effect as a file, with defaults filled in. Parsing it again yields the same settings.
    pub fn show(&self) -> String {
        let mut out = String::new();
        for key in keys::all() {
            let default = keys::default(key).map(|value| (0, value));
            let values = self.given.get(key.name).cloned().unwrap_or_else(|| default.into_iter().collect());
            if values.is_empty() {
                let _ = writeln!(out, "# {}: not set", key.name);
            }
            for (_, value) in values {
                let _ = writeln!(out, "{} {}", key.name, keys::format_value(key.kind, &value));
            }
        }
        out
    }

    /// Names of directives that differ in the other file and need a restart to take effect.
    pub fn need_restart(&self, other: &Conf) -> Vec<&'static str> {
        let values = |conf: &Conf, key: &keys::Key| -> Vec<Value> {
            let given = conf.given.get(key.name).map(|all| all.iter().map(|(_, v)| v.clone()).collect());
            given.unwrap_or_else(|| keys::default(key).into_iter().collect())
        };
        let differs = |key: &keys::Key| values(self, key) != values(other, key);
        keys::all().filter(|key| key.restart && differs(key)).map(|key| key.name).collect()
    }
}

/// Text of the shipped file: every directive, documented and commented out.
pub fn shipped() -> String {
    let mut out =
        "# The operators' file of silverspindle, given by --conf FILE or LB_CONF. Features without directives are off.\n\
         # One directive per line; '#' begins a comment; quotes as in a shell; units as in 200ms, 5s, 64MB.\n\
         # Check a file: silverspindle check-conf FILE. Show the settings in effect: silverspindle show-conf FILE.\n"
            .to_owned();
    for (heading, keys) in SECTIONS {
        let _ = write!(out, "\n# ---- {}\n", heading.replace('\n', "\n#      "));
        for key in keys {
            let default = key.default.map_or("Off if absent.".to_owned(), |d| format!("Default: {d}."));
            let restart = if key.restart { " A change needs a restart." } else { "" };
            let _ =
                write!(out, "\n# {} {default}{restart}\n#{} {}\n", key.description, key.name, key.example);
        }
    }
    out
}
