//! Table of the directives with their value types, bounds, defaults and descriptions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::grammar::Directive;
use crate::{Fault, Micros};

/// Type of a directive's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// An address and a port.
    Address,
    /// A path.
    Path,
    /// A duration within these bounds, in microseconds.
    Duration(Micros, Micros),
    /// A size within these bounds, in bytes.
    Size(u64, u64),
    /// A whole number within these bounds.
    Count(u64, u64),
    /// A name in a certificate, then an address and a port.
    Peer,
    /// A name in a certificate.
    Name,
    /// One of these words.
    Choice(&'static [&'static str]),
}

/// A parsed value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// See [`Kind::Address`].
    Address(SocketAddr),
    /// See [`Kind::Path`].
    Path(PathBuf),
    /// See [`Kind::Duration`], [`Kind::Size`] and [`Kind::Count`].
    Number(u64),
    /// See [`Kind::Peer`].
    Peer(String, SocketAddr),
    /// See [`Kind::Name`] and [`Kind::Choice`].
    Name(String),
}

/// Definition of a directive.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of the directive.
    pub name: &'static str,
    /// Type of its value.
    pub kind: Kind,
    /// The directive may be given on several lines.
    pub repeats: bool,
    /// A change needs a restart; changes of all other directives take effect on SIGHUP.
    pub restart: bool,
    /// Value if the directive is absent; none if its feature is off then.
    pub default: Option<&'static str>,
    /// Example of a value.
    pub example: &'static str,
    /// Description in the shipped file.
    pub description: &'static str,
}

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3600 * SECOND;

/// A directive that is given once at most, needs no restart and has no default.
const fn key(name: &'static str, kind: Kind, description: &'static str) -> Key {
    Key { name, kind, repeats: false, restart: false, default: None, example: "", description }
}

impl Key {
    /// Sets the default, which serves as the example too.
    const fn with_default(self, default: &'static str) -> Key {
        Key { default: Some(default), example: default, ..self }
    }

    /// Sets the example.
    const fn with_example(self, example: &'static str) -> Key {
        Key { example, ..self }
    }
}

/// Sections of the file: the heading and the directives of each.
pub const SECTIONS: [(&str, &[Key]); 7] = [
    (
        "Exchange of knowledge between routers, over TCP with mutual TLS 1.3. A router gives if 'exchange-listen' is set\n\
         and asks if there are donors; both need the three files that 'silverspindle keys' creates.",
        &[
            Key {
                restart: true,
                ..key("exchange-listen", Kind::Address, "Address on which this router gives its knowledge to others.")
                    .with_example("127.0.0.1:7465")
            },
            key("exchange-authority", Kind::Path, "Certificate of the authority that signs the certificates of all routers of an office.")
                .with_example("/etc/silverspindle/authority.pem"),
            key("exchange-certificate", Kind::Path, "Certificate of this router.").with_example("/etc/silverspindle/n1.pem"),
            key("exchange-key", Kind::Path, "Private key of that certificate; must be readable by the router only.")
                .with_example("/etc/silverspindle/n1.key"),
            Key {
                repeats: true,
                ..key(
                    "donor",
                    Kind::Peer,
                    "A router to ask after a start: the name in its certificate, and its address. One per line.",
                )
                .with_example("n2 127.0.0.2:7465")
            },
            key("donors-at-once", Kind::Count(1, 8), "Largest number of donors asked at a time.").with_default("2"),
            key("ask-for", Kind::Duration(SECOND, HOUR), "Time after its start during which a router asks donors.").with_default("30s"),
            key("give-rate", Kind::Size(1000, 1 << 30), "Bytes per second that a donor gives to all newcomers together.")
                .with_default("4MB"),
            key("give-newcomers", Kind::Count(1, 64), "Largest number of newcomers that a donor serves at a time; it tells others when to come back.")
                .with_default("2"),
        ],
    ),
    (
        "Snapshots, for a disk that outlives the router. At its start a router reads its last snapshot like the answer\n\
         of one more donor, aged by the time that the router was down.",
        &[
            Key {
                restart: true,
                ..key("snapshot-directory", Kind::Path, "Directory of the snapshots.")
                    .with_example("/var/lib/silverspindle")
            },
            key("snapshot-every", Kind::Duration(SECOND / 10, HOUR), "Time between two snapshots.").with_default("5s"),
            key("snapshot-size", Kind::Size(10_000, 1 << 30), "Largest snapshot that is written or read.").with_default("8MB"),
        ],
    ),
    (
        "Agreement between routers. On if electors are named, with the same lines at every router; needs the three\n\
         files of the exchange, and at an elector 'exchange-listen' and 'agree-directory'.",
        &[
            Key {
                repeats: true,
                restart: true,
                ..key(
                    "agree-elector",
                    Kind::Peer,
                    "A router that votes: the name in its certificate, and its exchange-listen. There must be 1, 3 or 5.",
                )
                .with_example("n1 127.0.0.1:7465")
            },
            Key {
                restart: true,
                ..key("agree-directory", Kind::Path, "Directory in which an elector keeps its term, vote and log, on a disk that outlives the router.")
                    .with_example("/var/lib/silverspindle")
            },
            Key {
                restart: true,
                ..key(
                    "agree-within",
                    Kind::Duration(SECOND / 2, HOUR / 60),
                    "Longest time for which a router acts on a decision that has been replaced; the same at every router.",
                )
                .with_default("2s")
            },
            Key {
                repeats: true,
                restart: true,
                ..key("agree-operator", Kind::Name, "Name of a certificate that may make any proposal.").with_example("staff")
            },
            Key {
                restart: true,
                ..key("agree-callers", Kind::Count(1, 8192), "Largest number of connections of followers and operators at an elector.")
                    .with_default("128")
            },
            Key {
                restart: true,
                ..key("agree-records", Kind::Path, "File in which the router records what it acted on, one JSON line each, for a later check.")
                    .with_example("/var/log/silverspindle/acts.json")
            },
        ],
    ),
    (
        "Taking machines out for work, in an order that the routers agree on; needs the agreement, with the same lines\n\
         at every router.",
        &[
            Key {
                restart: true,
                ..key("work-out", Kind::Count(1, 64), "Largest number of machines of a place that may be out at a time.")
                    .with_example("2")
            },
            Key {
                restart: true,
                ..key("work-headroom", Kind::Count(0, 400), "Capacity that a place keeps beyond its load, in per cent of the load.")
                    .with_default("25")
            },
            Key {
                restart: true,
                ..key(
                    "work-alone",
                    Kind::Choice(&["stop", "hold"]),
                    "What a router does if its confirmation has expired: accept no new requests, or keep serving and hold up all work.",
                )
                .with_default("stop")
            },
        ],
    ),
    (
        "Versioned settings and lists that the routers agree on ('silverspindle fleet rules'); needs the agreement, with\n\
         the same line at every router.",
        &[
            Key {
                restart: true,
                ..key("agree-rules", Kind::Choice(&["on", "off"]), "Whether this router applies them.").with_default("off")
            },
            Key {
                restart: true,
                ..key(
                    "rules-least-fills",
                    Kind::Count(0, 10_000_000),
                    "Smallest limit of fills at the head office that this router can work with; it holds up a version with a lower one.",
                )
                .with_default("0")
            },
        ],
    ),
    (
        "Purges and list events over relays instead of a feed of the coordinator to each router. On if 'relay-role' is\n\
         given; needs the three files of the exchange, and at a source or relay 'exchange-listen'.",
        &[
            Key {
                restart: true,
                ..key(
                    "relay-role",
                    Kind::Choice(&["source", "relay", "router"]),
                    "A source follows the coordinator, a relay has a parent and passes the log on, a router only has a parent.",
                )
                .with_example("relay")
            },
            Key {
                repeats: true,
                restart: true,
                ..key(
                    "relay-parent",
                    Kind::Peer,
                    "A source or relay to take the log from: the name in its certificate, and its exchange-listen; in order of preference.",
                )
                .with_example("r1 127.0.0.1:7465")
            },
            Key {
                repeats: true,
                restart: true,
                ..key(
                    "relay-source",
                    Kind::Peer,
                    "For staff: the sources that 'fleet purge status' queries. All must be listed, as each knows only its own tree.",
                )
                .with_example("s1 127.0.0.1:7465")
            },
            Key {
                restart: true,
                ..key(
                    "relay-within",
                    Kind::Duration(5 * SECOND / 2, HOUR / 60),
                    "The lease: a router without news for this long serves no copy that is older; the same at every router.",
                )
                .with_default("5s")
            },
            Key {
                restart: true,
                ..key(
                    "relay-direct",
                    Kind::Duration(2 * SECOND, HOUR / 60),
                    "The lease of a router that reaches no parent and follows the coordinator; must be shorter than relay-within.",
                )
                .with_default("3s")
            },
            Key {
                restart: true,
                ..key("relay-batch", Kind::Duration(SECOND / 20, 2 * SECOND), "Shortest time between two batches of records that are passed on.")
                    .with_default("500ms")
            },
            Key {
                restart: true,
                ..key(
                    "relay-report",
                    Kind::Duration(SECOND / 10, HOUR / 240),
                    "Time between two reports to a parent of what is applied; at most a quarter of relay-within.",
                )
                .with_default("1s")
            },
            Key {
                restart: true,
                ..key(
                    "relay-children",
                    Kind::Count(1, 8192),
                    "Largest number of connections to a source or relay, one descriptor each; a router accepts none. 700 is enough for 5,600 routers over eight of ten machines.",
                )
                .with_default("700")
            },
            Key {
                restart: true,
                ..key(
                    "relay-records",
                    Kind::Count(1000, 1 << 20),
                    "Number of records kept for children that reconnect; a child that misses older ones gets the resulting state. 65,536 are ten minutes at 110 per second.",
                )
                .with_default("65536")
            },
            Key {
                restart: true,
                ..key("relay-records-file", Kind::Path, "File in which the router records what it applied and acted on, one JSON line each, for a later check.")
                    .with_example("/var/log/silverspindle/relay.json")
            },
        ],
    ),
    (
        "Half-lives of the knowledge from other routers: after this time it has half its weight.",
        &[
            key("half-life-health", Kind::Duration(SECOND / 10, HOUR), "Faults, stalls and members set aside.").with_default("5s"),
            key("half-life-pace", Kind::Duration(SECOND / 10, HOUR), "Limits of attempts in flight to a member.").with_default("10s"),
            key("half-life-rates", Kind::Duration(SECOND / 10, HOUR), "Sending time per second that warm members take.").with_default("60s"),
            key("half-life-filter", Kind::Duration(SECOND / 10, HOUR), "Objects that were requested lately.").with_default("60s"),
        ],
    ),
];

/// All directives.
pub fn all() -> impl Iterator<Item = &'static Key> {
    SECTIONS.iter().flat_map(|(_, keys)| keys.iter())
}

/// The directive with this name.
pub fn by_name(name: &str) -> Option<&'static Key> {
    all().find(|key| key.name == name)
}

/// Values given in the file, by directive name, with their line numbers.
pub type GivenDirectives = BTreeMap<&'static str, Vec<(usize, Value)>>;

/// Checks each directive by itself: its name exists, its value is valid, and it is repeated only where that is allowed.
pub fn check(directives: &[Directive], faults: &mut Vec<Fault>) -> GivenDirectives {
    let mut given = GivenDirectives::new();
    for d in directives {
        let mut fault = |problem: String| faults.push(Fault { line: d.line, key: d.key.clone(), problem });
        let Some(key) = by_name(&d.key) else {
            fault(match nearest(&d.key) {
                Some(name) => format!("is not a directive; did you mean {name}?"),
                None => "is not a directive".to_owned(),
            });
            continue;
        };
        let given_values = given.entry(key.name).or_default();
        match parse_value(key.kind, &d.words) {
            Err(problem) => fault(problem),
            Ok(_) if !key.repeats && !given_values.is_empty() => {
                fault(format!("is set on line {} already", given_values[0].0));
            }
            Ok(value) => given_values.push((d.line, value)),
        }
    }
    given
}

/// The directive whose name is most similar to a misspelt one, if any is similar enough.
fn nearest(name: &str) -> Option<&'static str> {
    let near = all().map(|key| (strsim::damerau_levenshtein(name, key.name), key.name)).min()?;
    (near.0 <= 3 && near.0 < near.1.len() / 2).then_some(near.1)
}

/// Checks that a name may be in a certificate.
fn check_name(name: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match !name.is_empty() && name.len() <= 63 && name.chars().all(allowed) {
        true => Ok(()),
        false => Err(format!("{name:?} is not a name: letters, digits, '-', '_', '.', at most 63")),
    }
}

/// Parses the words behind a directive's name.
fn parse_value(kind: Kind, words: &[String]) -> Result<Value, String> {
    let single_word = |expected: &str| match words {
        [word] if !word.is_empty() => Ok(word.as_str()),
        [] => Err(format!("lacks {expected}")),
        _ => Err(format!("takes {expected} and nothing else")),
    };
    let address = |text: &str| {
        text.parse().map_err(|_| format!("{text:?} is not an address and port, as in 127.0.0.1:7465"))
    };
    let in_range = |n: u64, low: u64, high: u64, show: fn(u64) -> String| match (low..=high).contains(&n) {
        true => Ok(Value::Number(n)),
        false => Err(format!("must be between {} and {}", show(low), show(high))),
    };
    match kind {
        Kind::Address => address(single_word("an address and a port")?).map(Value::Address),
        Kind::Path => single_word("a path").map(|p| Value::Path(p.into())),
        Kind::Duration(low, high) => {
            let text = single_word("a duration")?;
            let time = humantime::parse_duration(text)
                .map_err(|_| format!("{text:?} is not a duration, as in 200ms or 5s"))?;
            in_range(u64::try_from(time.as_micros()).unwrap_or(u64::MAX), low, high, format_duration)
        }
        Kind::Size(low, high) => {
            let text = single_word("a size")?;
            let size: bytesize::ByteSize =
                text.parse().map_err(|_| format!("{text:?} is not a size, as in 64MB or 512KiB"))?;
            in_range(size.as_u64(), low, high, format_size)
        }
        Kind::Count(low, high) => {
            let text = single_word("a whole number")?;
            let n = text.parse().map_err(|_| format!("{text:?} is not a whole number"))?;
            in_range(n, low, high, |n| n.to_string())
        }
        Kind::Choice(words) => {
            let word = single_word("a word")?;
            match words.contains(&word) {
                true => Ok(Value::Name(word.to_owned())),
                false => Err(format!("{word:?} is not one of {}", words.join(", "))),
            }
        }
        Kind::Name => {
            let name = single_word("a name")?;
            check_name(name).map(|()| Value::Name(name.to_owned()))
        }
        Kind::Peer => match words {
            [name, peer_address] => {
                check_name(name)?;
                Ok(Value::Peer(name.clone(), address(peer_address)?))
            }
            _ => Err("takes a name, then an address and a port".to_owned()),
        },
    }
}

/// Formats a duration as the file writes it. Parsing it again yields the same number of microseconds.
pub fn format_duration(time: Micros) -> String {
    humantime::format_duration(std::time::Duration::from_micros(time)).to_string().replace(' ', "")
}

/// Formats a size as the file writes it. Parsing it again yields the same number of bytes.
pub fn format_size(size: u64) -> String {
    [(1_000_000_000, "GB"), (1_000_000, "MB"), (1000, "kB")]
        .iter()
        .find(|(unit, _)| size >= *unit && size.is_multiple_of(*unit))
        .map_or_else(|| format!("{size}B"), |(unit, name)| format!("{}{name}", size / unit))
}

/// Formats a value as the file writes it.
pub fn format_value(kind: Kind, value: &Value) -> String {
    match (value, kind) {
        (Value::Address(a), _) => a.to_string(),
        (Value::Path(p), _) => shell_words::quote(&p.to_string_lossy()).into_owned(),
        (Value::Peer(name, a), _) => format!("{name} {a}"),
        (Value::Name(name), _) => name.clone(),
        (Value::Number(n), Kind::Duration(..)) => format_duration(*n),
        (Value::Number(n), Kind::Size(..)) => format_size(*n),
        (Value::Number(n), _) => n.to_string(),
    }
}

/// The parsed default of a directive that has one.
pub(crate) fn default(key: &Key) -> Option<Value> {
    parse_value(key.kind, &[key.default?.to_owned()]).ok()
}
