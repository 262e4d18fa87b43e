//! The one place where configuration is read, checked and given defaults. A message names the faulty key.

use std::net::SocketAddr;
use std::path::Path;

use bitternhold::settings::SiteSettings;
use serde_json::Value;
use silverspindle_conf::Conf;
use tracing::level_filters::LevelFilter;

use crate::feed;

const SOCKETS: u64 = 1024;
const LEAST_SOCKETS: u64 = 64;
const MEMORY_MB: f64 = 192.0;
/// The rules bound all down to 32 MB, and the operators' days halve the limits: so little is taken.
const LEAST_MEMORY_MB: f64 = 16.0;

/// Where texts come from that aren't in the file.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// All that a router is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The second address, for staff and the platform: ready, drain, resume. None: no such listener.
    pub management: Option<SocketAddr>,
    /// For the module's random numbers.
    pub seed: u64,
    /// Where the coordinator is.
    pub coordinator: SocketAddr,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Bytes of memory that it may take.
    pub memory: usize,
    /// Bytes a second of one transfer of the router's own copies, and of all; 0: it serves none.
    pub flow: f64,
    /// See `flow`.
    pub link: f64,
    /// The settings.
    pub site: SiteSettings,
    /// The number of the last event in `known`, and the events.
    pub known: (u64, Vec<feed::Event>),
    /// Which log lines are written.
    pub level: LevelFilter,
    /// They are JSON.
    pub json_logs: bool,
    /// Settings that were not understood, with the safe reading that holds.
    pub notes: Vec<String>,
}

fn fault<T>(key: &str, problem: &str) -> Result<T, String> {
    Err(format!("configuration: {key}: {problem}"))
}

fn address(key: &str, value: Option<&str>) -> Result<SocketAddr, String> {
    match value.map(str::parse) {
        Some(Ok(address)) => Ok(address),
        Some(Err(_)) => fault(key, "must be an address and a port, as in 10.0.0.4:6565"),
        None => fault(key, "is missing"),
    }
}

fn limit(file: &Value, name: &str, default: f64, least: f64) -> Result<f64, String> {
    match &file["limits"][name] {
        Value::Null => Ok(default),
        v => match v.as_f64().filter(|x| *x >= least) {
            Some(x) => Ok(x),
            None => fault(&format!("limits.{name}"), &format!("must be a number of at least {least}")),
        },
    }
}

fn rate(file: &Value, key: &str) -> Result<f64, String> {
    match &file[key] {
        Value::Null => Ok(0.0),
        v => match v.as_f64().filter(|x| *x >= 0.0) {
            Some(x) => Ok(x),
            None => fault(key, "must be a number of at least 0"),
        },
    }
}

/// Reads the operators' file; none: all that it turns on is off. Each fault is a line `FILE:LINE: KEY: PROBLEM`.
pub fn read_conf(path: Option<&Path>) -> Result<Conf, Vec<String>> {
    let Some(path) = path else { return Ok(Conf::default()) };
    let name = path.display();
    let text =
        std::fs::read_to_string(path).map_err(|e| vec![format!("{name}:0: file: can't be read: {e}")])?;
    silverspindle_conf::read(&text).map_err(|all| all.iter().map(|fault| format!("{name}:{fault}")).collect())
}

impl Config {
    /// Reads the environment and the file that it names. The first fault.
    pub fn read(environment: Environment) -> Result<Self, String> {
        Self::read_all(environment).map_err(|faults| faults.into_iter().next().unwrap_or_default())
    }

    /// The same with all faults at once.
    pub fn read_all(environment: Environment) -> Result<Self, Vec<String>> {
        let one = |e: Result<Self, String>| e.map_err(|e| vec![e]);
        let Some(path) = environment("LB_CONFIG") else { return one(fault("LB_CONFIG", "is not set")) };
        match std::fs::read_to_string(&path) {
            Ok(text) => Self::parse_all(&text, environment),
            Err(e) => one(fault("LB_CONFIG", &format!("can't read {path}: {e}"))),
        }
    }

    /// Reads the file's text; `LB_NAME` and `LB_LISTEN` go before what it says. The first fault.
    pub fn parse(text: &str, environment: Environment) -> Result<Self, String> {
        Self::parse_all(text, environment).map_err(|faults| faults.into_iter().next().unwrap_or_default())
    }

    /// The same with all faults at once.
    pub fn parse_all(text: &str, environment: Environment) -> Result<Self, Vec<String>> {
        let file: Value = serde_json::from_str(text)
            .or_else(|e| fault("LB_CONFIG", &format!("is no JSON: {e}")))
            .map_err(|e| vec![e])?;
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut faults = Vec::new();
        let all = &mut faults;
        let name = environment("LB_NAME").or_else(|| file["name"].as_str().map(str::to_owned));
        let name = name.filter(|n| !n.is_empty()).map_or_else(|| fault("name", "is missing"), Ok);
        let name = or(all, name, String::new());
        let listen = match environment("LB_LISTEN") {
            Some(text) => address("LB_LISTEN", Some(&text)),
            None => address("listen", file["listen"].as_str()),
        };
        let listen = or(all, listen, nowhere);
        let management = match environment("LB_MANAGEMENT") {
            Some(text) => address("LB_MANAGEMENT", Some(&text)).map(Some),
            None => match file["management"].as_str() {
                Some(text) => address("management", Some(text)).map(Some),
                None if file["management"].is_null() => Ok(None),
                None => fault("management", "must be a text: address and port"),
            },
        };
        let management = or(all, management, None);
        let seed = file["seed"].as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
        let seed = seed.map_or_else(|| fault("seed", "must be a text of up to 16 hex digits"), Ok);
        let seed = or(all, seed, 0);
        let level = match environment("LB_LOG") {
            None => Ok(LevelFilter::INFO),
            Some(text) => {
                text.parse().or_else(|_| fault("LB_LOG", "must be off, error, warn, info, debug or trace"))
            }
        };
        let level = or(all, level, LevelFilter::INFO);
        let json_logs = match environment("LB_LOG_FORMAT").as_deref() {
            None | Some("text") => Ok(false),
            Some("json") => Ok(true),
            Some(_) => fault("LB_LOG_FORMAT", "must be text or json"),
        };
        let json_logs = or(all, json_logs, false);
        let coordinator = or(all, address("coordinator", file["coordinator"].as_str()), nowhere);
        let sockets = or(all, limit(&file, "sockets", SOCKETS as f64, LEAST_SOCKETS as f64), SOCKETS as f64);
        let memory = or(all, limit(&file, "memory_mb", MEMORY_MB, LEAST_MEMORY_MB), MEMORY_MB);
        let flow = or(all, rate(&file, "flow_bytes_per_s"), 0.0);
        let link = or(all, rate(&file, "link_bytes_per_s"), 0.0);
        let Some(settings) = file["settings"].as_object() else {
            all.extend(fault::<()>("settings", "must be an object").err());
            return Err(faults);
        };
        let (site, notes) = site(settings, all);
        let known = match &file["known"] {
            Value::Null => Ok((0, Vec::new())),
            value => feed::parse_known(value, &site).or_else(|e| {
                let (key, problem) = e.split_once(": ").unwrap_or((&e, "malformed"));
                fault(key, problem)
            }),
        };
        let known = or(all, known, (0, Vec::new()));
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
            flow,
            link,
            site,
            known,
            level,
            json_logs,
            notes,
        })
    }
}

fn or<T>(faults: &mut Vec<String>, read: Result<T, String>, default: T) -> T {
    read.unwrap_or_else(|fault| {
        faults.push(fault);
        default
    })
}

/// Settings of which another kind of value is taken for an absent one, and what that comes to: the safe reading.
const SAFE: [(&str, &str, &str, &str); 12] = [
    ("limits", "try_limit", "a number", "one attempt a request"),
    ("limits", "second_copies", "yes or no", "no second copies"),
    ("limits", "cancelling", "yes or no", "nothing is cancelled"),
    ("limits", "probes", "yes or no", "no probes"),
    ("limits", "retry_after", "yes or no", "no advice to clients"),
    ("limits", "max_retry_after_ms", "a number", "no advice to clients"),
    ("family_info", "shares_fills", "yes or no", "no fill is joined"),
    ("family_info", "bypass_allowed", "yes or no", "parents and origin take no requests"),
    ("family_info", "heed_within_ms", "a number", "purges are heeded at once"),
    ("rules", "cold_from", "a number", "a cold cache bears a hundredth at its start"),
    ("rules", "fall_multiple", "a number", "all routers share one attempt a window at a cold cache"),
    ("deductions", "handshake", "a number", "connections are not shared"),
];
/// Of which none is safe: without them a cold member passes for a warm one, and a copy older than a purge for a young one.
const NEEDED: [(&str, &str); 4] = [
    ("rules", "cold_ms"),
    ("rules", "tip_after_ms"),
    ("family_info", "parent_ramp_ms"),
    ("family_info", "cleared_within_ms"),
];

/// Reads the settings of a site; what would break a rule is a fault, what has a safe reading is a note.
fn site(settings: &serde_json::Map<String, Value>, faults: &mut Vec<String>) -> (SiteSettings, Vec<String>) {
    let mut site = SiteSettings::parse(settings);
    let mut wrong =
        |key: &str, problem: &str| faults.extend(fault::<()>(&format!("settings.{key}"), problem).err());
    if site.classes.is_empty() {
        wrong("classes", "must list at least one class");
    }
    for (i, class) in site.settings.classes.iter().enumerate() {
        if site.classes[i].is_empty() {
            wrong(&format!("classes[{i}].name"), "is missing");
        }
        if class.deadline == 0 {
            wrong(&format!("classes[{i}].deadline_ms"), "must be above 0");
        }
    }
    if site.settings.zone == usize::MAX {
        wrong("my_zone", "must be one of settings.failure_domains");
    }
    if site.settings.origin_kind.is_none() {
        wrong("family_info.root_kind", "must be a place in settings.kinds");
    }
    let value =
        |part: &str, name: &str| settings.get(part).and_then(|p| p.get(name)).filter(|v| !v.is_null());
    for (part, name) in NEEDED {
        if value(part, name).is_some_and(|v| !v.is_number()) {
            wrong(&format!("{part}.{name}"), "must be a number");
        }
    }
    let other = |value: &Value, kind: &str| match kind {
        "a number" => !value.is_number(),
        _ => !value.is_boolean(),
    };
    let safe = SAFE.iter().filter(|(part, name, kind, _)| value(part, name).is_some_and(|v| other(v, kind)));
    let mut notes: Vec<String> = safe
        .map(|(part, name, kind, reading)| {
            format!("settings.{part}.{name}: is not {kind}; taken as absent: {reading}")
        })
        .collect();
    for (i, class) in settings.get("classes").and_then(Value::as_array).into_iter().flatten().enumerate() {
        let kind = &class["idempotency"];
        if !["idempotent", "deduplicated", "at_most_once"].iter().any(|known| kind == known)
            && !kind.is_null()
        {
            notes.push(format!(
                "settings.classes[{i}].idempotency: {kind} is not known; taken as not to be repeated"
            ));
        }
    }
    let or = |told: u64, default: u64| if told > 0 { told } else { default };
    site.settings.connect_timeout = or(site.settings.connect_timeout, 400_000);
    site.idle_close = or(site.idle_close, 30_000_000);
    site.streams_per_conn = or(site.streams_per_conn as u64, 32) as usize;
    (site, notes)
}
