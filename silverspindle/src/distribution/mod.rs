//! Purges and list events over relays, on sockets: the core of `silverspindle-relay` between the exchange's connections,
//! the coordinator's feed and the director. Off unless the operators' file has `relay-role`.
//!
//! The actor translates and decides nothing: frames, times and events go into the core, its actions are carried out.

use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use bitternhold::Micros;
use silverspindle_conf::{Relay as Conf, RelayRole};
use silverspindle_knowledge::Source;
use silverspindle_relay::{Guards, Node, NodeId, Role, Settings};

mod actor;
mod children;
mod lease;
mod limited;
mod parents;
mod records;
pub mod staff;
pub mod translate;

use actor::Actor;
use children::Children;
use lease::Feed;
use records::Records;

use crate::agreement::store::draw;
use crate::feed::Event as Told;
use crate::guards::is_disabled;
use crate::links::{Connector, Service};
use crate::steady::{MAX_CLOCK_DRIFT_PPM, steady_now};
use crate::traffic::{Notification, RoutingState};

/// Connections besides the children's: staff, and children that come back before their old connection has ended.
const ASKERS: usize = 16;
/// Connections to parents: one, and another one while that ends.
const PARENTS: usize = 2;

/// Descriptors that it may take: callers, parents, the records.
pub fn descriptors(conf: &Conf) -> usize {
    let callers = match conf.role {
        RelayRole::Router => 0,
        _ => conf.max_children + ASKERS + crate::knowledge::exchange::AT_THE_DOOR_AGREED,
    };
    callers + PARENTS + usize::from(conf.records_file.is_some())
}

/// What it needs of the router that it is part of.
pub struct Surroundings {
    /// Who this is.
    pub me: Source,
    /// Its name.
    pub name: String,
    /// How parents are reached.
    pub connector: Connector,
    /// Where tasks run.
    pub tasks: Rc<LocalExecutor<'static>>,
    /// Where the lease is asked for.
    pub state: Rc<RoutingState>,
    /// So long after a purge caches have dropped all older copies.
    pub purge_cleared_after: Micros,
    /// The director.
    pub notices: Sender<Notification>,
    /// Where the coordinator listens.
    pub coordinator: SocketAddr,
    /// Tells where it listens from now on.
    pub moves: Receiver<SocketAddr>,
    /// The number of the last event that the director has taken in.
    pub applied: u64,
    /// The events up to there.
    pub known: Vec<Told>,
}

/// All on. Only a debug build, for the tests of the checker, lets one be taken out.
fn guards() -> Guards {
    Guards {
        fence: !is_disabled("fence"),
        lease: !is_disabled("lease"),
        watermark: !is_disabled("watermark"),
        order: !is_disabled("order"),
    }
}

fn settings(conf: &Conf, me: Source, name: &str) -> Result<Settings, String> {
    Ok(Settings {
        id: NodeId { instance: me.instance.0, incarnation: me.incarnation },
        name: name.to_owned(),
        role: match conf.role {
            RelayRole::Source => Role::Source,
            RelayRole::Relay => Role::Relay,
            RelayRole::Router => Role::Router,
        },
        parents: conf.parents.len(),
        lease: conf.lease,
        direct_lease: conf.direct_lease,
        drift_ppm: MAX_CLOCK_DRIFT_PPM,
        batch_every: conf.batch_interval,
        report_every: conf.report_interval,
        children: conf.max_children,
        records: conf.max_records,
        seed: draw()?,
        guards: guards(),
    })
}

/// Starts it: from now on the director has its news from here, and the board asks this feed's lease. Gives who takes
/// children's connections, where it does.
pub fn start(conf: Conf, around: Surroundings) -> Result<Option<Rc<dyn Service>>, String> {
    let settings = settings(&conf, around.me, &around.name)?;
    let now = steady_now();
    let records =
        conf.records_file.as_ref().map(|path| Records::open(path, &around.name, around.me.incarnation));
    let records = records.transpose()?;
    // A source passes on what it was told before it started as well: the log begins where that does.
    let known = match conf.role {
        RelayRole::Source => translate::known(&around.known),
        _ => Vec::new(),
    };
    let node = match known.first() {
        Some(first) => Node::new(settings, first.number - 1, now),
        None => Node::starting_at(settings, &translate::condensed(&around.known, around.applied), now),
    };
    let (ping, pinged) = async_channel::bounded(1);
    let feed = Rc::new(Feed::new(node.feed_guard(), around.applied, ping, records));
    around.state.set_lease(feed.clone(), around.purge_cleared_after);
    let (children, heard) = Children::new(conf.max_children + ASKERS, conf.lease);
    let service: Option<Rc<dyn Service>> = match conf.role {
        RelayRole::Router => None,
        _ => Some(Rc::new(children.clone())),
    };
    let tasks = around.tasks.clone();
    let actor = Actor::new(conf, node, feed, pinged, (children, heard), around);
    tasks.spawn(actor.run(known)).detach();
    Ok(service)
}
