//! The one place where configuration is read, checked and given defaults. A message names the faulty key.

use std::net::SocketAddr;
use std::path::Path;

use bitternhold::settings::Catalogue;
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
    pub catalogue: Catalogue,
    /// The number of the last event in `known`, and the events.
    pub known: (u64, Vec<feed::Event>),
    /// Which log lines are written.
    pub level: LevelFilter,
    /// They are JSON.
    pub json_logs: bool,
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
    /// Reads the environment and the file that it names.
    pub fn read(environment: Environment) -> Result<Self, String> {
        let Some(path) = environment("LB_CONFIG") else { return fault("LB_CONFIG", "is not set") };
        match std::fs::read_to_string(&path) {
            Ok(text) => Self::parse(&text, environment),
            Err(e) => fault("LB_CONFIG", &format!("can't read {path}: {e}")),
        }
    }

    /// Reads the file's text; `LB_NAME` and `LB_LISTEN` go before what it says.
    pub fn parse(text: &str, environment: Environment) -> Result<Self, String> {
        let file: Value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(e) => return fault("LB_CONFIG", &format!("is no JSON: {e}")),
        };
        let name = environment("LB_NAME").or_else(|| file["name"].as_str().map(str::to_owned));
        let Some(name) = name.filter(|n| !n.is_empty()) else { return fault("name", "is missing") };
        let listen = match environment("LB_LISTEN") {
            Some(text) => address("LB_LISTEN", Some(&text))?,
            None => address("listen", file["listen"].as_str())?,
        };
        let management = match environment("LB_MANAGEMENT") {
            Some(text) => Some(address("LB_MANAGEMENT", Some(&text))?),
            None => match file["management"].as_str() {
                Some(text) => Some(address("management", Some(text))?),
                None if file["management"].is_null() => None,
                None => return fault("management", "must be a text: address and port"),
            },
        };
        let Some(seed) = file["seed"].as_str().and_then(|s| u64::from_str_radix(s, 16).ok()) else {
            return fault("seed", "must be a text of up to 16 hex digits");
        };
        let level = match environment("LB_LOG") {
            None => LevelFilter::INFO,
            Some(text) => match text.parse() {
                Ok(level) => level,
                Err(_) => return fault("LB_LOG", "must be off, error, warn, info, debug or trace"),
            },
        };
        let json_logs = match environment("LB_LOG_FORMAT").as_deref() {
            None | Some("text") => false,
            Some("json") => true,
            Some(_) => return fault("LB_LOG_FORMAT", "must be text or json"),
        };
        let Some(settings) = file["settings"].as_object() else {
            return fault("settings", "must be an object");
        };
        let mut catalogue = Catalogue::read(settings);
        if catalogue.classes.is_empty() {
            return fault("settings.classes", "must list at least one class");
        }
        for (i, class) in catalogue.settings.classes.iter().enumerate() {
            if catalogue.classes[i].is_empty() {
                return fault(&format!("settings.classes[{i}].name"), "is missing");
            }
            if class.deadline == 0 {
                return fault(&format!("settings.classes[{i}].deadline_ms"), "must be above 0");
            }
        }
        if catalogue.settings.zone == usize::MAX {
            return fault("settings.my_zone", "must be one of settings.failure_domains");
        }
        if catalogue.settings.origin_kind.is_none() {
            return fault("settings.family_info.root_kind", "must be a place in settings.kinds");
        }
        let or = |told: u64, default: u64| if told > 0 { told } else { default };
        catalogue.settings.connect_timeout = or(catalogue.settings.connect_timeout, 400_000);
        catalogue.idle_close = or(catalogue.idle_close, 30_000_000);
        catalogue.streams_per_conn = or(catalogue.streams_per_conn as u64, 32) as usize;
        let known = match &file["known"] {
            Value::Null => (0, Vec::new()),
            value => feed::known(value, &catalogue).or_else(|e| {
                let (key, problem) = e.split_once(": ").unwrap_or((&e, "malformed"));
                fault(key, problem)
            })?,
        };
        Ok(Self {
            name,
            listen,
            management,
            seed,
            coordinator: address("coordinator", file["coordinator"].as_str())?,
            sockets: limit(&file, "sockets", SOCKETS as f64, LEAST_SOCKETS as f64)? as usize,
            memory: (limit(&file, "memory_mb", MEMORY_MB, LEAST_MEMORY_MB)? * 1e6) as usize,
            flow: rate(&file, "flow_bytes_per_s")?,
            link: rate(&file, "link_bytes_per_s")?,
            catalogue,
            known,
            level,
            json_logs,
        })
    }
}
