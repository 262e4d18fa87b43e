//! Who is there, who talks to whom through which proxy, and the files that each process is started with.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::str::FromStr;

use async_executor::LocalExecutor;
use serde_json::{Value, json};

use super::Options;
use crate::Micros;
use crate::codec::Member;
use crate::coordinator::Coordinator;
use crate::office::Office;
use crate::proxy::Proxy;
use crate::trial::{self, Start, free, run};

/// Descriptors that a process may take: a third is clients' share, the rest must hold the children.
const SOCKETS: usize = 1024;
const SOCKETS_A_CHILD: usize = 3;

/// One party of the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// The stand-in coordinator: no process of the program.
    Coordinator,
    /// A source of the log.
    Source(usize),
    /// A relay; it stands in the zone of its number.
    Relay(usize),
    /// A router.
    Router(usize),
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Node::Coordinator => f.write_str("coordinator"),
            Node::Source(n) => write!(f, "s{n}"),
            Node::Relay(n) => write!(f, "r{n}"),
            Node::Router(n) => write!(f, "n{n}"),
        }
    }
}

impl FromStr for Node {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let bad = || format!("{text:?} is no process: s0, r0, n0 or coordinator");
        if text == "coordinator" {
            return Ok(Node::Coordinator);
        }
        let (kind, number) = text.split_at_checked(1).ok_or_else(bad)?;
        let number = number.parse().map_err(|_| bad())?;
        match kind {
            "s" => Ok(Node::Source(number)),
            "r" => Ok(Node::Relay(number)),
            "n" => Ok(Node::Router(number)),
            _ => Err(bad()),
        }
    }
}

/// Who is there.
#[derive(Clone, Copy, Debug)]
pub struct Tree {
    /// Sources.
    pub sources: usize,
    /// Relays, and zones.
    pub relays: usize,
    /// Routers, spread over the zones.
    pub routers: usize,
}

impl Tree {
    /// All processes of the program: sources first, then relays, then routers.
    pub fn processes(&self) -> Vec<Node> {
        let sources = (0..self.sources).map(Node::Source);
        let relays = (0..self.relays).map(Node::Relay);
        sources.chain(relays).chain((0..self.routers).map(Node::Router)).collect()
    }

    /// The zone that a router or relay stands in.
    pub fn zone(&self, node: Node) -> Option<usize> {
        match node {
            Node::Relay(n) => Some(n),
            Node::Router(n) => Some(n % self.relays.max(1)),
            Node::Coordinator | Node::Source(_) => None,
        }
    }

    /// Routers of a zone.
    pub fn routers_of(&self, zone: usize) -> impl Iterator<Item = Node> {
        let tree = *self;
        (0..self.routers).map(Node::Router).filter(move |node| tree.zone(*node) == Some(zone))
    }

    /// Whom it takes the log from, the preferred one first.
    pub fn parents(&self, node: Node) -> Vec<Node> {
        let turned = |count: usize, first: usize| (0..count).map(move |n| (first + n) % count);
        match node {
            Node::Coordinator | Node::Source(_) => vec![],
            Node::Relay(n) => turned(self.sources, n).map(Node::Source).collect(),
            Node::Router(_) => turned(self.relays, self.zone(node).unwrap_or(0)).map(Node::Relay).collect(),
        }
    }

    /// All whom it connects to: its parents and the coordinator.
    pub fn links(&self) -> Vec<(Node, Node)> {
        let all = self.processes();
        let up =
            |node: Node| self.parents(node).into_iter().chain([Node::Coordinator]).map(move |to| (node, to));
        all.into_iter().flat_map(up).collect()
    }
}

/// Proxies by who connects through them and to whom.
pub(in crate::rig) type Proxies = BTreeMap<(Node, Node), Rc<Proxy>>;

/// A process before it is started, and where its clients connect.
pub(in crate::rig) struct Prepared {
    pub start: Start,
    pub listen: SocketAddr,
    pub exchange: SocketAddr,
}

/// The file of staff's.
pub(in crate::rig) const STAFF: &str = "staff.conf";

/// A router's record file.
pub(super) fn records(folder: &Path, node: Node) -> PathBuf {
    folder.join(format!("{node}.records"))
}

struct Ports {
    clients: Rc<crate::ports::Port>,
    exchange: Rc<crate::ports::Port>,
}

/// Issues the keys, starts the proxies and writes all files.
pub(in crate::rig) fn prepare(
    options: &Options,
    folder: &Path,
    tasks: &Rc<LocalExecutor<'static>>,
    office: &Office,
    coordinator: &Coordinator,
) -> io::Result<(BTreeMap<Node, Prepared>, Proxies)> {
    let tree = options.tree;
    let keys = folder.join("keys").display().to_string();
    run(&options.program, &["keys", "init", &keys])?;
    run(&options.program, &["keys", "issue", &keys, "staff"])?;
    let mut ports = BTreeMap::new();
    for (index, node) in (0..).zip(tree.processes()) {
        run(&options.program, &["keys", "issue", &keys, &node.to_string()])?;
        ports.insert(node, Ports { clients: free(index)?, exchange: free(index)? });
    }
    let mut proxies = Proxies::new();
    for (from, to) in tree.links() {
        let at = ports.get(&to).map_or(coordinator.address, |ports| ports.exchange.address);
        proxies.insert((from, to), Proxy::start(tasks, at)?);
    }
    let members: Vec<Value> = office.members().iter().map(Member::json).collect();
    let mut prepared = BTreeMap::new();
    for (index, node) in (0..).zip(tree.processes()) {
        let Some(ports) = ports.remove(&node) else { continue };
        let listen = ports.clients.address;
        let old = trial::Options {
            program: options.program.clone(),
            seconds: options.seconds,
            seed: options.seed,
            routers: tree.routers.max(1) as u8,
            rate: options.rate,
            inherit: trial::Inherit::No,
            script: vec![],
        };
        let news = proxies.get(&(node, Node::Coordinator)).map_or(coordinator.address, |proxy| proxy.address);
        let name = node.to_string();
        let config = folder.join(format!("{name}.json"));
        let mut platform = trial::configuration(&name, listen, &old, index, news, &members);
        if let Some(children) = options.children {
            platform["limits"] = json!({"sockets": SOCKETS + SOCKETS_A_CHILD * children});
        }
        fs::write(&config, platform.to_string())?;
        let conf = folder.join(format!("{name}.conf"));
        fs::write(&conf, operators_file(options, folder, &keys, node, ports.exchange.address, &proxies))?;
        let env = options.without.map(|guard| ("SILVERSPINDLE_WITHOUT", guard.to_owned()));
        let start = Start {
            program: options.program.clone(),
            config,
            conf: Some(conf),
            log: folder.join(format!("{name}.log")),
            env: env.into_iter().collect(),
            _ports: [ports.clients, ports.exchange.clone()],
        };
        prepared.insert(node, Prepared { start, listen, exchange: ports.exchange.address });
    }
    let mut staff = files(&keys, "staff");
    for n in 0..tree.sources {
        if let Some(Prepared { exchange, .. }) = prepared.get(&Node::Source(n)) {
            let _ = writeln!(staff, "relay-source s{n} {exchange}");
        }
    }
    fs::write(folder.join(STAFF), staff)?;
    Ok((prepared, proxies))
}

pub(in crate::rig) fn files(keys: &str, name: &str) -> String {
    format!(
        "exchange-authority '{keys}/authority.pem'\nexchange-certificate '{keys}/{name}.pem'\nexchange-key \
         '{keys}/{name}.key'\n"
    )
}

/// What operators tell a process.
fn operators_file(
    options: &Options,
    folder: &Path,
    keys: &str,
    node: Node,
    exchange: SocketAddr,
    proxies: &Proxies,
) -> String {
    let role = match node {
        Node::Source(_) => "source",
        Node::Relay(_) => "relay",
        Node::Router(_) | Node::Coordinator => "router",
    };
    let mut conf = files(keys, &node.to_string());
    let _ = writeln!(conf, "exchange-listen {exchange}");
    let _ = writeln!(conf, "relay-role {role}");
    conf.push_str(&timing(options));
    if let (Some(children), Node::Source(_) | Node::Relay(_)) = (options.children, node) {
        let _ = writeln!(conf, "relay-children {children}");
    }
    for parent in options.tree.parents(node) {
        if let Some(proxy) = proxies.get(&(node, parent)) {
            let _ = writeln!(conf, "relay-parent {parent} {}", proxy.address);
        }
    }
    if let Node::Router(_) = node {
        let _ = writeln!(conf, "relay-records-file '{}'", records(folder, node).display());
    }
    conf
}

/// The times that all processes share.
pub(in crate::rig) fn timing(options: &Options) -> String {
    let ms = |time: Micros| time / 1000;
    format!(
        "relay-within {}ms\nrelay-direct {}ms\nrelay-batch {}ms\nrelay-report {}ms\n",
        ms(options.lease),
        ms(options.direct),
        ms(options.batch),
        ms(options.report)
    )
}
