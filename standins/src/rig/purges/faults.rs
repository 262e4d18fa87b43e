//! What goes wrong in the tree: processes killed and frozen, links held, delayed, throttled, torn and cut, a zone's
//! routers restarted together, the coordinator silent. By script or by seed.

use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::layout::{Node, Tree};
use crate::proxy::Way;
use crate::rig::time;
use crate::{Micros, SECOND};

const MS: Micros = 1000;
/// Faults drawn by a seed.
const FEWEST: usize = 3;
const MOST: usize = 8;

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// SIGKILL; started together when the fault ends.
    Kill(BTreeSet<Node>),
    /// SIGSTOP, and SIGCONT.
    Freeze(BTreeSet<Node>),
    /// On the connections of the first to the second: what becomes of either way, up and down.
    Link(Node, Node, [Way; 2]),
    /// The next piece that goes up that link breaks in its middle.
    Tear(Node, Node),
    /// These can be reached by none of the others, nor by the coordinator.
    Split(BTreeSet<Node>),
    /// The coordinator tells nothing, not even that there is nothing.
    Silence,
}

/// A fault, from a time on and for so long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// From the start of traffic.
    pub at: Micros,
    /// For so long.
    pub lasts: Micros,
    /// What.
    pub kind: Kind,
}

impl Kind {
    /// The links that it is about, and what becomes of either way.
    pub(super) fn links(&self, tree: &Tree) -> Vec<((Node, Node), [Way; 2])> {
        match self {
            Kind::Link(from, to, ways) => vec![((*from, *to), *ways)],
            Kind::Split(side) => {
                let apart = |link: &(Node, Node)| side.contains(&link.0) != side.contains(&link.1);
                tree.links().into_iter().filter(apart).map(|link| (link, [Way::Cut; 2])).collect()
            }
            _ => vec![],
        }
    }
}

fn nodes(text: &str, tree: &Tree) -> Option<BTreeSet<Node>> {
    match text.strip_prefix("zone").and_then(|zone| zone.parse().ok()) {
        Some(zone) => Some(tree.routers_of(zone).collect()),
        None => text.split(',').map(|node| node.parse().ok()).collect(),
    }
}

/// Reads a script: `AT LASTS KIND ...` a line, as in `2s 3s kill r0`, `2s 3s kill zone1`, `2s 1s freeze s0,n1`, `1s 1s
/// hold n0 r0` (what goes up is held), `1s 1s mute n0 r0` (what comes down), `1s 1s cut n0 r0`, `1s 1s late n0 r0 200ms`,
/// `1s 1s slow n0 r0 2000`, `1s 0s tear n0 r0`, `1s 3s split n0,n1`, `1s 3s silence`.
pub fn script(text: &str, tree: &Tree) -> Result<Vec<Fault>, String> {
    let mut faults = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.split('#').next().unwrap_or("");
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.is_empty() {
            continue;
        }
        let fault = fault(&words, tree).ok_or_else(|| format!("line {number}: {line:?} is no fault"))?;
        faults.push(fault);
    }
    faults.sort_by_key(|fault| fault.at);
    Ok(faults)
}

fn fault(words: &[&str], tree: &Tree) -> Option<Fault> {
    let [at, lasts, rest @ ..] = words else { return None };
    let link = |from: &str, to: &str, ways| Some(Kind::Link(from.parse().ok()?, to.parse().ok()?, ways));
    let kind = match rest {
        ["kill", whom] => Kind::Kill(nodes(whom, tree)?),
        ["freeze", whom] => Kind::Freeze(nodes(whom, tree)?),
        ["split", whom] => Kind::Split(nodes(whom, tree)?),
        ["hold", from, to] => link(from, to, [Way::Held, Way::Open])?,
        ["mute", from, to] => link(from, to, [Way::Open, Way::Held])?,
        ["cut", from, to] => link(from, to, [Way::Cut; 2])?,
        ["late", from, to, by] => link(from, to, [Way::Late(time(by)?); 2])?,
        ["slow", from, to, by] => link(from, to, [Way::Slow(by.parse().ok()?); 2])?,
        ["tear", from, to] => Kind::Tear(from.parse().ok()?, to.parse().ok()?),
        ["silence"] => Kind::Silence,
        _ => return None,
    };
    Some(Fault { at: time(at)?, lasts: time(lasts)?, kind })
}

/// Faults drawn by a seed, all ended by then.
pub fn random(seed: u64, tree: &Tree, seconds: u64) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x9a6e_5eed);
    let end = (seconds * SECOND).max(2 * SECOND);
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(FEWEST..=MOST) {
        let at = rng.random_range(SECOND / 2..end - SECOND);
        let lasts = rng.random_range(300 * MS..9 * SECOND).min(end - at);
        faults.push(Fault { at, lasts, kind: drawn(&mut rng, tree) });
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn drawn(rng: &mut Pcg64Mcg, tree: &Tree) -> Kind {
    let source = Node::Source(rng.random_range(0..tree.sources));
    let relay = Node::Relay(rng.random_range(0..tree.relays));
    let router = Node::Router(rng.random_range(0..tree.routers));
    let zone = rng.random_range(0..tree.relays);
    let links = tree.links();
    let (from, to) = links[rng.random_range(0..links.len())];
    let link = |ways| Kind::Link(from, to, ways);
    match rng.random_range(0..18) {
        0..=1 => Kind::Kill([relay].into()),
        2..=3 => Kind::Freeze([relay].into()),
        4 => Kind::Kill([source].into()),
        5 => Kind::Freeze([source].into()),
        6 => Kind::Kill([router].into()),
        7 => Kind::Freeze([router].into()),
        8 => Kind::Kill(tree.routers_of(zone).collect()),
        9 => Kind::Kill((0..tree.relays).map(Node::Relay).collect()),
        10 => link([Way::Held, Way::Open]),
        11 => link([Way::Open, Way::Held]),
        12 => link([Way::Late(rng.random_range(10 * MS..400 * MS)); 2]),
        13 => link([Way::Slow(rng.random_range(500..20_000)); 2]),
        14 => Kind::Tear(from, to),
        15 => link([Way::Cut; 2]),
        16 => {
            let zone: Vec<Node> = tree.routers_of(zone).collect();
            Kind::Split(zone.into_iter().chain([relay]).collect())
        }
        _ => Kind::Silence,
    }
}
