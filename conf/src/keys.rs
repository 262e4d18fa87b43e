//! The table of directives: what each takes, within which bounds, what holds where it is absent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::grammar::Directive;
use crate::{Fault, Micros};

/// What a directive takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// An address and a port.
    Address,
    /// A path.
    Path,
    /// A duration within these bounds, in microseconds.
    Duration(Micros, Micros),
    /// A size in bytes within these bounds.
    Size(u64, u64),
    /// A whole number within these bounds.
    Count(u64, u64),
    /// A name, then an address and a port.
    Peer,
    /// A name, as in a certificate.
    Name,
    /// One of these words.
    Choice(&'static [&'static str]),
}

/// A value as read.
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

/// A directive.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What it takes.
    pub kind: Kind,
    /// It may stand on several lines.
    pub repeats: bool,
    /// A change of it needs a restart; all others are taken in on SIGHUP.
    pub restart: bool,
    /// What holds where it is absent; none: what it is for is off.
    pub default: Option<&'static str>,
    /// An example of what follows it.
    pub example: &'static str,
    /// What it is for.
    pub about: &'static str,
}

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3600 * SECOND;

const fn key(name: &'static str, kind: Kind, about: &'static str) -> Key {
    Key { name, kind, repeats: false, restart: false, default: None, example: "", about }
}

impl Key {
    const fn or(self, default: &'static str) -> Key {
        Key { default: Some(default), example: default, ..self }
    }

    const fn like(self, example: &'static str) -> Key {
        Key { example, ..self }
    }
}

/// Parts of the file, with the directives of each.
pub const PARTS: [(&str, &[Key]); 7] = [
    (
        "Exchange of knowledge between routers, on TCP with mutual TLS 1.3. A router gives when 'exchange-listen' is\n\
         set and asks when there are donors; both need the three files that 'silverspindle keys' makes.",
        &[
            Key {
                restart: true,
                ..key("exchange-listen", Kind::Address, "Where other routers ask this one for what it knows.")
                    .like("127.0.0.1:7465")
            },
            key("exchange-authority", Kind::Path, "Certificate of the authority that signs all routers of an office.")
                .like("/etc/silverspindle/authority.pem"),
            key("exchange-certificate", Kind::Path, "This router's certificate.").like("/etc/silverspindle/n1.pem"),
            key("exchange-key", Kind::Path, "The key of that certificate; readable by the router alone.")
                .like("/etc/silverspindle/n1.key"),
            Key {
                repeats: true,
                ..key(
                    "donor",
                    Kind::Peer,
                    "A router to ask after a start: the name in its certificate, and where it listens. One a line.",
                )
                .like("n2 127.0.0.2:7465")
            },
            key("donors-at-once", Kind::Count(1, 8), "So many are asked at a time.").or("2"),
            key("ask-for", Kind::Duration(SECOND, HOUR), "For so long after its start a router goes on asking.").or("30s"),
            key("give-rate", Kind::Size(1000, 1 << 30), "Bytes a second that a donor gives to all newcomers together.")
                .or("4MB"),
            key("give-newcomers", Kind::Count(1, 64), "Newcomers that a donor serves at a time; others are told when to come back.")
                .or("2"),
        ],
    ),
    (
        "Snapshots, where the disk outlives the router: what it knew is read back at its start as one more donor's\n\
         word, older by the time that it was away.",
        &[
            Key {
                restart: true,
                ..key("snapshot-directory", Kind::Path, "Where they are kept; off without.")
                    .like("/var/lib/silverspindle")
            },
            key("snapshot-every", Kind::Duration(SECOND / 10, HOUR), "Time from one to the next.").or("5s"),
            key("snapshot-size", Kind::Size(10_000, 1 << 30), "The largest that is written, and read back.").or("8MB"),
        ],
    ),
    (
        "What the routers agree on. On where electors are named, by the same lines at every router; needs the three\n\
         files of the exchange, and at an elector 'exchange-listen' and 'agree-directory'.",
        &[
            Key {
                repeats: true,
                restart: true,
                ..key(
                    "agree-elector",
                    Kind::Peer,
                    "A router that votes: the name in its certificate, and its exchange-listen. 1, 3 or 5 of them.",
                )
                .like("n1 127.0.0.1:7465")
            },
            Key {
                restart: true,
                ..key("agree-directory", Kind::Path, "Where an elector keeps term, vote and log; a lasting disk.")
                    .like("/var/lib/silverspindle")
            },
            Key {
                restart: true,
                ..key(
                    "agree-within",
                    Kind::Duration(SECOND / 2, HOUR / 60),
                    "Nobody acts on an overtaken decision for longer; the same at every router.",
                )
                .or("2s")
            },
            Key {
                repeats: true,
                restart: true,
                ..key("agree-operator", Kind::Name, "A certificate's name that may propose what it likes.").like("staff")
            },
            Key {
                restart: true,
                ..key("agree-callers", Kind::Count(1, 8192), "Connections of followers and operators that an elector holds.")
                    .or("128")
            },
            Key {
                restart: true,
                ..key("agree-records", Kind::Path, "Writes what it acted on, a JSON line each, for a later check.")
                    .like("/var/log/silverspindle/acts.json")
            },
        ],
    ),
    (
        "Taking machines out for work, in an order that the routers settle; on top of what they agree on, with the same\n\
         lines at every router.",
        &[
            Key {
                restart: true,
                ..key("work-out", Kind::Count(1, 64), "So many machines of a place may be out at a time; off without.")
                    .like("2")
            },
            Key {
                restart: true,
                ..key("work-headroom", Kind::Count(0, 400), "A place keeps its load and so much more, in per cent.")
                    .or("25")
            },
            Key {
                restart: true,
                ..key(
                    "work-alone",
                    Kind::Choice(&["stop", "hold"]),
                    "What a router does whose confirmation has run out: take no new work, or serve on and hold all work up.",
                )
                .or("stop")
            },
        ],
    ),
    (
        "Settings and lists with versions on which the routers agree ('silverspindle fleet rules'); on top of what they\n\
         agree on, with the same line at every router.",
        &[
            Key {
                restart: true,
                ..key("agree-rules", Kind::Choice(&["on", "off"]), "Whether this router acts by them.").or("off")
            },
            Key {
                restart: true,
                ..key(
                    "rules-least-fills",
                    Kind::Count(0, 10_000_000),
                    "A version whose limit of fills at the head office is lower this router can't carry: it holds the change up.",
                )
                .or("0")
            },
        ],
    ),
    (
        "Purges and list events over relays in place of the coordinator's own feed to each router. On where 'relay-role' is\n\
         given; needs the three files of the exchange, and at a source or relay 'exchange-listen'.",
        &[
            Key {
                restart: true,
                ..key(
                    "relay-role",
                    Kind::Choice(&["source", "relay", "router"]),
                    "A source follows the coordinator, a relay passes on what a parent tells, a router has a parent alone.",
                )
                .like("relay")
            },
            Key {
                repeats: true,
                restart: true,
                ..key(
                    "relay-parent",
                    Kind::Peer,
                    "A source or relay to take the log from: the name in its certificate, and its exchange-listen; the preferred one first.",
                )
                .like("r1 127.0.0.1:7465")
            },
            Key {
                repeats: true,
                restart: true,
                ..key(
                    "relay-source",
                    Kind::Peer,
                    "For staff: whom 'fleet purge status' asks. All sources, as each knows its own tree alone.",
                )
                .like("s1 127.0.0.1:7465")
            },
            Key {
                restart: true,
                ..key(
                    "relay-within",
                    Kind::Duration(5 * SECOND / 2, HOUR / 60),
                    "The lease: who has heard nothing for so long serves no copy that is older; the same at every router.",
                )
                .or("5s")
            },
            Key {
                restart: true,
                ..key(
                    "relay-direct",
                    Kind::Duration(2 * SECOND, HOUR / 60),
                    "The same for a router that reaches no parent and follows the coordinator; shorter than relay-within.",
                )
                .or("3s")
            },
            Key {
                restart: true,
                ..key("relay-batch", Kind::Duration(SECOND / 20, 2 * SECOND), "Records are passed on at most so often.")
                    .or("500ms")
            },
            Key {
                restart: true,
                ..key(
                    "relay-report",
                    Kind::Duration(SECOND / 10, HOUR / 240),
                    "A parent is told so often what is applied; a quarter of relay-within at most.",
                )
                .or("1s")
            },
            Key {
                restart: true,
                ..key(
                    "relay-children",
                    Kind::Count(1, 8192),
                    "Connections that a source or relay takes, a descriptor each; a router takes none. 700 is 5,600 routers over eight of ten machines.",
                )
                .or("700")
            },
            Key {
                restart: true,
                ..key(
                    "relay-records",
                    Kind::Count(1000, 1 << 20),
                    "Records kept for who comes back, who else gets what they come to; 65,536 are ten minutes at 110 a second.",
                )
                .or("65536")
            },
            Key {
                restart: true,
                ..key("relay-records-file", Kind::Path, "Writes what it applied and acted on, a JSON line each, for a later check.")
                    .like("/var/log/silverspindle/relay.json")
            },
        ],
    ),
    (
        "How fast another router's word loses weight: after so long it counts half.",
        &[
            key("half-life-health", Kind::Duration(SECOND / 10, HOUR), "Faults, stalls, members set aside.").or("5s"),
            key("half-life-pace", Kind::Duration(SECOND / 10, HOUR), "Limits of what may be out to a member.").or("10s"),
            key("half-life-rates", Kind::Duration(SECOND / 10, HOUR), "What warm members take.").or("60s"),
            key("half-life-filter", Kind::Duration(SECOND / 10, HOUR), "Which objects were asked for lately.").or("60s"),
        ],
    ),
];

/// All directives.
pub fn all() -> impl Iterator<Item = &'static Key> {
    PARTS.iter().flat_map(|(_, keys)| keys.iter())
}

/// The directive of this name.
pub fn named(name: &str) -> Option<&'static Key> {
    all().find(|key| key.name == name)
}

/// What was given, by name, with the lines.
pub type Given = BTreeMap<&'static str, Vec<(usize, Value)>>;

/// Checks each directive by itself: is there one of the name, does it take these words, does it stand once.
pub fn check(directives: &[Directive], faults: &mut Vec<Fault>) -> Given {
    let mut given = Given::new();
    for d in directives {
        let mut fault = |problem: String| faults.push(Fault { line: d.line, key: d.key.clone(), problem });
        let Some(key) = named(&d.key) else {
            fault(match nearest(&d.key) {
                Some(name) => format!("is no directive; did you mean {name}?"),
                None => "is no directive".to_owned(),
            });
            continue;
        };
        let before = given.entry(key.name).or_default();
        match value(key.kind, &d.words) {
            Err(problem) => fault(problem),
            Ok(_) if !key.repeats && !before.is_empty() => {
                fault(format!("stands on line {} already", before[0].0));
            }
            Ok(value) => before.push((d.line, value)),
        }
    }
    given
}

fn nearest(name: &str) -> Option<&'static str> {
    let near = all().map(|key| (strsim::damerau_levenshtein(name, key.name), key.name)).min()?;
    (near.0 <= 3 && near.0 < near.1.len() / 2).then_some(near.1)
}

fn good_name(name: &str) -> Result<(), String> {
    let good = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match !name.is_empty() && name.len() <= 63 && name.chars().all(good) {
        true => Ok(()),
        false => Err(format!("{name:?} is no name: letters, digits, '-', '_', '.', 63 at most")),
    }
}

fn value(kind: Kind, words: &[String]) -> Result<Value, String> {
    let one = |what: &str| match words {
        [word] if !word.is_empty() => Ok(word.as_str()),
        [] => Err(format!("lacks {what}")),
        _ => Err(format!("takes {what} and nothing else")),
    };
    let address = |text: &str| {
        text.parse().map_err(|_| format!("{text:?} is no address and port, as in 127.0.0.1:7465"))
    };
    let within = |n: u64, least: u64, most: u64, show: fn(u64) -> String| match (least..=most).contains(&n) {
        true => Ok(Value::Number(n)),
        false => Err(format!("must lie between {} and {}", show(least), show(most))),
    };
    match kind {
        Kind::Address => address(one("an address and a port")?).map(Value::Address),
        Kind::Path => one("a path").map(|p| Value::Path(p.into())),
        Kind::Duration(least, most) => {
            let text = one("a duration")?;
            let time = humantime::parse_duration(text)
                .map_err(|_| format!("{text:?} is no duration, as in 200ms or 5s"))?;
            within(u64::try_from(time.as_micros()).unwrap_or(u64::MAX), least, most, duration)
        }
        Kind::Size(least, most) => {
            let text = one("a size")?;
            let size: bytesize::ByteSize =
                text.parse().map_err(|_| format!("{text:?} is no size, as in 64MB or 512KiB"))?;
            within(size.as_u64(), least, most, size_text)
        }
        Kind::Count(least, most) => {
            let text = one("a whole number")?;
            let n = text.parse().map_err(|_| format!("{text:?} is no whole number"))?;
            within(n, least, most, |n| n.to_string())
        }
        Kind::Choice(words) => {
            let word = one("a word")?;
            match words.contains(&word) {
                true => Ok(Value::Name(word.to_owned())),
                false => Err(format!("{word:?} is none of {}", words.join(", "))),
            }
        }
        Kind::Name => {
            let name = one("a name")?;
            good_name(name).map(|()| Value::Name(name.to_owned()))
        }
        Kind::Peer => match words {
            [name, at] => {
                good_name(name)?;
                Ok(Value::Peer(name.clone(), address(at)?))
            }
            _ => Err("takes a name, then an address and a port".to_owned()),
        },
    }
}

/// A duration as the file words it; read back it is the same to the microsecond.
pub fn duration(time: Micros) -> String {
    humantime::format_duration(std::time::Duration::from_micros(time)).to_string().replace(' ', "")
}

/// A size as the file words it; read back it is the same to the byte.
pub fn size_text(size: u64) -> String {
    [(1_000_000_000, "GB"), (1_000_000, "MB"), (1000, "kB")]
        .iter()
        .find(|(unit, _)| size >= *unit && size.is_multiple_of(*unit))
        .map_or_else(|| format!("{size}B"), |(unit, name)| format!("{}{name}", size / unit))
}

/// The words of a value, as the file would have them.
pub fn words(kind: Kind, value: &Value) -> String {
    match (value, kind) {
        (Value::Address(a), _) => a.to_string(),
        (Value::Path(p), _) => shell_words::quote(&p.to_string_lossy()).into_owned(),
        (Value::Peer(name, a), _) => format!("{name} {a}"),
        (Value::Name(name), _) => name.clone(),
        (Value::Number(n), Kind::Duration(..)) => duration(*n),
        (Value::Number(n), Kind::Size(..)) => size_text(*n),
        (Value::Number(n), _) => n.to_string(),
    }
}

/// The default of a directive that has one, as read from its text.
pub(crate) fn default(key: &Key) -> Option<Value> {
    value(key.kind, &[key.default?.to_owned()]).ok()
}
