//! Reads the configuration, checks it and fills in defaults; no other module does. Each message names the
//! faulty key.

use std::net::SocketAddr;
use std::path::Path;

use bitternhold::settings::SiteSettings;
use serde_json::Value;
use silverspindle_conf::Conf;
use tracing::level_filters::LevelFilter;

use crate::feed;

/// Default of `limits.sockets`.
const DEFAULT_SOCKETS: u64 = 1024;
/// Smallest value of `limits.sockets` that is accepted.
const MIN_SOCKETS: u64 = 64;
/// Default of `limits.memory_mb`, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Smallest value of `limits.memory_mb` that is accepted, in megabytes: the protocol's rules allow limits
/// down to 32 MB, and on some days the operators halve the limits.
const MIN_MEMORY_MB: f64 = 16.0;

/// Looks up an environment variable by its name.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// The checked configuration of a router.
#[derive(Clone, Debug)]
pub struct Config {
    /// The router's name.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the management calls (ready, drain, resume) for operators and the platform; none for no
    /// such listener.
    pub management: Option<SocketAddr>,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Address of the coordinator.
    pub coordinator: SocketAddr,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Memory limit in bytes.
    pub memory: usize,
    /// Rate limit of one transfer of an own copy, in bytes per second; 0 if the router serves no own copies.
    pub flow_bytes_per_s: f64,
    /// Rate limit of all transfers of own copies together, in bytes per second; 0 if the router serves no own
    /// copies.
    pub link_bytes_per_s: f64,
    /// The settings of the site.
    pub site: SiteSettings,
    /// The events of the key `known`, preceded by the number of the last one.
    pub known: (u64, Vec<feed::Event>),
    /// Log level.
    pub level: LevelFilter,
    /// Log lines are written as JSON.
    pub json_logs: bool,
    /// Warnings about settings of a wrong type, each with the safe default that is used instead.
    pub notes: Vec<String>,
}

/// Returns a fault in the form `configuration: KEY: PROBLEM`.
fn fault<T>(key: &str, problem: &str) -> Result<T, String> {
    Err(format!("configuration: {key}: {problem}"))
}

/// Parses an address with a port.
fn address(key: &str, value: Option<&str>) -> Result<SocketAddr, String> {
    match value.map(str::parse) {
        Some(Ok(address)) => Ok(address),
        Some(Err(_)) => fault(key, "must be an address and a port, as in 10.0.0.4:6565"),
        None => fault(key, "is missing"),
    }
}

/// Reads a number under `limits`.
fn limit(file: &Value, name: &str, default: f64, minimum: f64) -> Result<f64, String> {
    match &file["limits"][name] {
        Value::Null => Ok(default),
        v => match v.as_f64().filter(|x| *x >= minimum) {
            Some(x) => Ok(x),
            None => fault(&format!("limits.{name}"), &format!("must be a number of at least {minimum}")),
        },
    }
}

/// Reads a rate that is not negative; 0 if the key is absent.
fn rate(file: &Value, key: &str) -> Result<f64, String> {
    match &file[key] {
        Value::Null => Ok(0.0),
        v => match v.as_f64().filter(|x| *x >= 0.0) {
            Some(x) => Ok(x),
            None => fault(key, "must be a number of at least 0"),
        },
    }
}

/// Reads the operators' file; without a path, returns the default, with everything that the file enables off.
/// Each fault is a line `FILE:LINE: KEY: PROBLEM`.
pub fn read_conf(path: Option<&Path>) -> Result<Conf, Vec<String>> {
    let Some(path) = path else { return Ok(Conf::default()) };
    let name = path.display();
    let text =
        std::fs::read_to_string(path).map_err(|e| vec![format!("{name}:0: file: can't be read: {e}")])?;
    silverspindle_conf::read(&text)
        .map_err(|faults| faults.iter().map(|fault| format!("{name}:{fault}")).collect())
}

impl Config {
    /// Reads the environment and the file named by `LB_CONFIG`. Returns only the first fault.
    pub fn read(environment: Environment) -> Result<Self, String> {
        Self::read_all(environment).map_err(|faults| faults.into_iter().next().unwrap_or_default())
    }

    /// Like [`Config::read`], but returns all faults.
    pub fn read_all(environment: Environment) -> Result<Self, Vec<String>> {
        let single = |result: Result<Self, String>| result.map_err(|fault| vec![fault]);
        let Some(path) = environment("LB_CONFIG") else { return single(fault("LB_CONFIG", "is not set")) };
        match std::fs::read_to_string(&path) {
            Ok(text) => Self::parse_all(&text, environment),
            Err(e) => single(fault("LB_CONFIG", &format!("can't read {path}: {e}"))),
        }
    }

    /// Parses the file's text; environment variables such as `LB_NAME` and `LB_LISTEN` override its values.
    /// Returns only the first fault.
    pub fn parse(text: &str, environment: Environment) -> Result<Self, String> {
        Self::parse_all(text, environment).map_err(|faults| faults.into_iter().next().unwrap_or_default())
    }

    /// Like [`Config::parse`], but returns all faults.
    pub fn parse_all(text: &str, environment: Environment) -> Result<Self, Vec<String>> {
        let file: Value = serde_json::from_str(text)
            .or_else(|e| fault("LB_CONFIG", &format!("is not valid JSON: {e}")))
            .map_err(|e| vec![e])?;
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut faults = Vec::new();
        let collected = &mut faults;
        let name = environment("LB_NAME").or_else(|| file["name"].as_str().map(str::to_owned));
        let name = name.filter(|n| !n.is_empty()).map_or_else(|| fault("name", "is missing"), Ok);
        let name = value_or(collected, name, String::new());
        let listen = match environment("LB_LISTEN") {
            Some(text) => address("LB_LISTEN", Some(&text)),
            None => address("listen", file["listen"].as_str()),
        };
        let listen = value_or(collected, listen, unset);
        let management = match environment("LB_MANAGEMENT") {
            Some(text) => address("LB_MANAGEMENT", Some(&text)).map(Some),
            None => match file["management"].as_str() {
                Some(text) => address("management", Some(text)).map(Some),
                None if file["management"].is_null() => Ok(None),
                None => fault("management", "must be a string: address and port"),
            },
        };
        let management = value_or(collected, management, None);
        let seed = file["seed"].as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
        let seed = seed.map_or_else(|| fault("seed", "must be a string of up to 16 hex digits"), Ok);
        let seed = value_or(collected, seed, 0);
        let level = match environment("LB_LOG") {
            None => Ok(LevelFilter::INFO),
            Some(text) => {
                text.parse().or_else(|_| fault("LB_LOG", "must be off, error, warn, info, debug or trace"))
            }
        };
        let level = value_or(collected, level, LevelFilter::INFO);
        let json_logs = match environment("LB_LOG_FORMAT").as_deref() {
            None | Some("text") => Ok(false),
            Some("json") => Ok(true),
            Some(_) => fault("LB_LOG_FORMAT", "must be text or json"),
        };
        let json_logs = value_or(collected, json_logs, false);
        let coordinator = value_or(collected, address("coordinator", file["coordinator"].as_str()), unset);
        let sockets = value_or(
            collected,
            limit(&file, "sockets", DEFAULT_SOCKETS as f64, MIN_SOCKETS as f64),
            DEFAULT_SOCKETS as f64,
        );
        let memory = value_or(
            collected,
            limit(&file, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB),
            DEFAULT_MEMORY_MB,
        );
        let flow_bytes_per_s = value_or(collected, rate(&file, "flow_bytes_per_s"), 0.0);
        let link_bytes_per_s = value_or(collected, rate(&file, "link_bytes_per_s"), 0.0);
        let Some(settings) = file["settings"].as_object() else {
            collected.extend(fault::<()>("settings", "must be an object").err());
            return Err(faults);
        };
        let (site, notes) = read_site(settings, collected);
        let known = match &file["known"] {
            Value::Null => Ok((0, Vec::new())),
            value => feed::parse_known(value, &site).or_else(|e| {
                let (key, problem) = e.split_once(": ").unwrap_or((&e, "malformed"));
                fault(key, problem)
            }),
        };
        let known = value_or(collected, known, (0, Vec::new()));
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            name,
            listen,
            management,
            seed,
            coordinator,
            sockets: sockets as usize,
            memory: (memory * 1e6) as usize,
            flow_bytes_per_s,
            link_bytes_per_s,
            site,
            known,
            level,
            json_logs,
            notes,
        })
    }
}

/// Returns the value that was read; on a fault records it and returns the default.
fn value_or<T>(faults: &mut Vec<String>, read: Result<T, String>, default: T) -> T {
    read.unwrap_or_else(|fault| {
        faults.push(fault);
        default
    })
}

/// Settings whose value is ignored if it has the wrong type, because their default is safe: section, key,
/// expected type and the effect of the default.
const WITH_SAFE_DEFAULT: [(&str, &str, &str, &str); 12] = [
    ("limits", "try_limit", "a number", "one attempt per request"),
    ("limits", "second_copies", "true or false", "no second copies"),
    ("limits", "cancelling", "true or false", "nothing is cancelled"),
    ("limits", "probes", "true or false", "no probes"),
    ("limits", "retry_after", "true or false", "no retry advice to clients"),
    ("limits", "max_retry_after_ms", "a number", "no retry advice to clients"),
    ("family_info", "shares_fills", "true or false", "no fill is joined"),
    ("family_info", "bypass_allowed", "true or false", "parents and origin take no requests"),
    ("family_info", "heed_within_ms", "a number", "purges take effect at once"),
    ("rules", "cold_from", "a number", "a cold cache starts with a hundredth of its capacity"),
    (
        "rules",
        "fall_multiple",
        "a number",
        "all routers together send one attempt per window to a cold cache",
    ),
    ("deductions", "handshake", "a number", "connections are not shared"),
];
/// Settings without a safe default; a wrong type is a fault. Ignoring one would treat a cold member as warm,
/// or a copy older than a purge as newer.
const WITHOUT_SAFE_DEFAULT: [(&str, &str); 4] = [
    ("rules", "cold_ms"),
    ("rules", "tip_after_ms"),
    ("family_info", "parent_ramp_ms"),
    ("family_info", "cleared_within_ms"),
];

/// Reads the settings of a site. A value that would break a rule of the protocol is a fault; a value that has
/// a safe default is reported as a note.
fn read_site(
    settings: &serde_json::Map<String, Value>,
    faults: &mut Vec<String>,
) -> (SiteSettings, Vec<String>) {
    let mut site = SiteSettings::parse(settings);
    let mut report =
        |key: &str, problem: &str| faults.extend(fault::<()>(&format!("settings.{key}"), problem).err());
    if site.classes.is_empty() {
        report("classes", "must list at least one class");
    }
    for (i, class) in site.settings.classes.iter().enumerate() {
        if site.classes[i].is_empty() {
            report(&format!("classes[{i}].name"), "is missing");
        }
        if class.deadline == 0 {
            report(&format!("classes[{i}].deadline_ms"), "must be greater than 0");
        }
    }
    if site.settings.zone == usize::MAX {
        report("my_zone", "must be one of settings.failure_domains");
    }
    if site.settings.origin_kind.is_none() {
        report("family_info.root_kind", "must be an index into settings.kinds");
    }
    let value =
        |section: &str, name: &str| settings.get(section).and_then(|s| s.get(name)).filter(|v| !v.is_null());
    for (section, name) in WITHOUT_SAFE_DEFAULT {
        if value(section, name).is_some_and(|v| !v.is_number()) {
            report(&format!("{section}.{name}"), "must be a number");
        }
    }
    let has_wrong_type = |value: &Value, kind: &str| match kind {
        "a number" => !value.is_number(),
        _ => !value.is_boolean(),
    };
    let ignored = WITH_SAFE_DEFAULT
        .iter()
        .filter(|(section, name, kind, _)| value(section, name).is_some_and(|v| has_wrong_type(v, kind)));
    let mut notes: Vec<String> = ignored
        .map(|(section, name, kind, default)| {
            format!("settings.{section}.{name}: is not {kind}; taken as absent: {default}")
        })
        .collect();
    for (i, class) in settings.get("classes").and_then(Value::as_array).into_iter().flatten().enumerate() {
        let idempotency = &class["idempotency"];
        if !["idempotent", "deduplicated", "at_most_once"].iter().any(|known| idempotency == known)
            && !idempotency.is_null()
        {
            notes.push(format!(
                "settings.classes[{i}].idempotency: {idempotency} is not known; taken as at_most_once"
            ));
        }
    }
    let or_default = |configured: u64, default: u64| if configured > 0 { configured } else { default };
    site.settings.connect_timeout = or_default(site.settings.connect_timeout, 400_000);
    site.idle_close = or_default(site.idle_close, 30_000_000);
    site.streams_per_conn = or_default(site.streams_per_conn as u64, 32) as usize;
    (site, notes)
}
