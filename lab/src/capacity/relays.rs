//! What sources, relays and routers bear with purges and list events over relays.

use super::data::Unit;
use super::quantity::{Quantity, Role, Way};
use super::today::with_versions;

const LOG: &str = "purge log, a batch each `relay-batch`";
const REPORTS: &str = "watermark, a report each `relay-report`";

/// Rows of the router, the source, the relay and the coordinator with relays, and of what could ride on them.
pub const QUANTITIES: &[Quantity] = &[
    // By hand, to hold the runs against.
    Quantity::step(
        "relay_down_by_hand",
        "bytes: purges down, by hand",
        Unit::BytesPerSecond,
        "{purges} x {purge_record} + ({message_overhead} + {update_head}) / {relay_batch}",
        |of| {
            of.get("purges") * of.get("purge_record")
                + (of.get("message_overhead") + of.get("update_head")) / of.get("relay_batch")
        },
    )
    .held(Role::Router, Way::Relays, "control_bytes", LOG),
    Quantity::step(
        "relay_up_by_hand",
        "bytes: reports up and acknowledgements both ways, by hand",
        Unit::BytesPerSecond,
        "({message_overhead} + {report_body}) / {relay_report} + {acknowledged} x {packet_headers} x (1 / {relay_batch} + 1 / \
         {relay_report})",
        |of| {
            (of.get("message_overhead") + of.get("report_body")) / of.get("relay_report")
                + of.get("acknowledged")
                    * of.get("packet_headers")
                    * (1.0 / of.get("relay_batch") + 1.0 / of.get("relay_report"))
        },
    )
    .held(Role::Router, Way::Relays, "control_bytes", REPORTS),
    // The router.
    Quantity::step(
        "relay_bytes",
        "bytes: purges, reports and confirmations, both ways",
        Unit::BytesPerSecond,
        "{router_purges_bytes}",
        |of| of.get("router_purges_bytes"),
    )
    .held(Role::Router, Way::Relays, "control_bytes", LOG),
    Quantity::step(
        "relay_bytes_on_sockets",
        "bytes: purges, reports and confirmations, both ways, on sockets without packets' headers",
        Unit::BytesPerSecond,
        "{router_hollow_bytes}",
        |of| of.get("router_hollow_bytes"),
    )
    .held(Role::Router, Way::Relays, "control_bytes", LOG),
    Quantity::step(
        "control_relays",
        "bytes: all control, relays and agreement, changes of 56 KB",
        Unit::BytesPerSecond,
        "{relay_bytes} + {version_bytes_measured} + {roster_bytes}",
        |of| of.get("relay_bytes") + of.get("version_bytes_measured") + of.get("roster_bytes"),
    )
    .held(Role::Router, Way::Relays, "control_bytes", "purge log and agreement"),
    Quantity::step(
        "control_relays_small",
        "bytes: all control, relays and agreement, changes of 1 KB",
        Unit::BytesPerSecond,
        "{relay_bytes} + {follower_quiet_bytes} + ({follower_versions_small} - {follower_quiet_bytes}) x {version_run} x \
         {versions_per_second} + {roster_bytes}",
        |of| {
            of.get("relay_bytes")
                + with_versions(of, "follower_quiet_bytes", "follower_versions_small")
                + of.get("roster_bytes")
        },
    )
    .held(Role::Router, Way::Relays, "control_bytes", "purge log and agreement"),
    Quantity::step("relay_router_core", "processor: the relays' core", Unit::Cores, "{router_purges_core}", |of| {
        of.get("router_purges_core")
    })
    .held(Role::Router, Way::Relays, "control_core", LOG),
    Quantity::step("relay_router_state", "state: the relays' core", Unit::Bytes, "{router_purges_state}", |of| {
        of.get("router_purges_state")
    })
    .held(Role::Router, Way::Relays, "control_memory", LOG),
    Quantity::step(
        "relay_router_messages",
        "messages: batches and reports a second",
        Unit::PerSecond,
        "1 / {relay_batch} + 1 / {relay_report}",
        |of| 1.0 / of.get("relay_batch") + 1.0 / of.get("relay_report"),
    )
    .shown(Role::Router, Way::Relays, LOG),
    Quantity::step(
        "memory_relays",
        "memory: a process that serves and follows, with the agreement's and the relays' state",
        Unit::Bytes,
        "{memory_today} + {relay_router_state}",
        |of| of.get("memory_today") + of.get("relay_router_state"),
    )
    .held(Role::Router, Way::Relays, "control_memory", "process"),
    // The relay.
    Quantity::step(
        "relay_children",
        "connections: routers of a relay while another one is dead",
        Unit::Count,
        "{routers_per_relay_left}",
        |of| of.get("routers_per_relay_left"),
    )
    .held(Role::Relay, Way::Relays, "relay_children_most", "`relay-children`, a setting"),
    Quantity::step(
        "relay_descriptors",
        "descriptors: routers of a relay while another one is dead, clients and the process's own",
        Unit::Count,
        "{routers_per_relay_left} + {client_sockets} + {own_sockets}",
        |of| of.get("routers_per_relay_left") + of.get("client_sockets") + of.get("own_sockets"),
    )
    .held(Role::Relay, Way::Relays, "sockets", "`limits.sockets`, a setting"),
    Quantity::step(
        "relay_messages",
        "messages: batches sent and reports taken a second",
        Unit::PerSecond,
        "{routers_per_relay_left} x (1 / {relay_batch} + 1 / {relay_report})",
        |of| of.get("routers_per_relay_left") * (1.0 / of.get("relay_batch") + 1.0 / of.get("relay_report")),
    )
    .shown(Role::Relay, Way::Relays, LOG),
    Quantity::step("relay_sent", "bytes: sent", Unit::BytesPerSecond, "{relay_purges_sent}", |of| {
        of.get("relay_purges_sent")
    })
    .held(Role::Relay, Way::Relays, "machine_link", LOG),
    Quantity::step("relay_core", "processor: the relays' core", Unit::Cores, "{relay_purges_core}", |of| {
        of.get("relay_purges_core")
    })
    .held(Role::Relay, Way::Relays, "machine_core", LOG),
    Quantity::step(
        "relay_process_core",
        "processor: the whole process with its connections",
        Unit::Cores,
        "{relay_hollow_core}",
        |of| of.get("relay_hollow_core"),
    )
    .held(Role::Relay, Way::Relays, "machine_core", "process, TLS and all"),
    Quantity::step(
        "machine_cores",
        "processor: the relay's and a voter's cores on one control machine",
        Unit::Cores,
        "{relay_core} + {voter_versions_core}",
        |of| of.get("relay_core") + of.get("voter_versions_core"),
    )
    .held(Role::Relay, Way::Relays, "machine_core", "both on one machine"),
    Quantity::step(
        "relay_process_memory",
        "memory: the whole process with its connections",
        Unit::Bytes,
        "{relay_hollow_memory}",
        |of| of.get("relay_hollow_memory"),
    )
    .held(Role::Relay, Way::Relays, "machine_memory", "process, TLS and all"),
    Quantity::step("relay_state", "state: log, leases and queues", Unit::Bytes, "{relay_purges_state}", |of| {
        of.get("relay_purges_state")
    })
    .held(Role::Relay, Way::Relays, "machine_memory", LOG),
    Quantity::step(
        "relay_start_core",
        "processor: handshakes when all its routers start within the time of a purge",
        Unit::Cores,
        "{routers_per_relay} x {handshake_time} / {purge_within}",
        |of| of.get("routers_per_relay") * of.get("handshake_time") / of.get("purge_within"),
    )
    .held(Role::Relay, Way::Relays, "machine_core", "exchange's TLS"),
    // The source.
    Quantity::step(
        "source_feed",
        "bytes: taken from the coordinator",
        Unit::BytesPerSecond,
        "{feed_bytes} + {feed_acknowledged}",
        |of| of.get("feed_bytes") + of.get("feed_acknowledged"),
    )
    .held(Role::Source, Way::Relays, "machine_link", "coordinator's feed"),
    Quantity::step("source_children", "connections: relays of a source", Unit::Count, "{relays}", |of| of.get("relays")).held(
        Role::Source,
        Way::Relays,
        "relay_children_most",
        "`relay-children`, a setting",
    ),
    Quantity::step("source_sent", "bytes: sent", Unit::BytesPerSecond, "{source_purges_sent}", |of| {
        of.get("source_purges_sent")
    })
    .held(Role::Source, Way::Relays, "machine_link", LOG),
    Quantity::step("source_core", "processor: the relays' core", Unit::Cores, "{source_purges_core}", |of| {
        of.get("source_purges_core")
    })
    .held(Role::Source, Way::Relays, "machine_core", LOG),
    Quantity::step("source_state", "state: log and leases", Unit::Bytes, "{source_purges_state}", |of| {
        of.get("source_purges_state")
    })
    .held(Role::Source, Way::Relays, "machine_memory", LOG),
    // The coordinator's side.
    Quantity::step(
        "coordinator_sources",
        "connections: sources; routers without any relay come on top",
        Unit::Count,
        "{sources}",
        |of| of.get("sources"),
    )
    .held(Role::Coordinator, Way::Relays, "server_sockets", "sources follow for all"),
    Quantity::step(
        "coordinator_relay_bytes",
        "bytes: purges sent",
        Unit::BytesPerSecond,
        "{sources} x {feed_bytes}",
        |of| of.get("sources") * of.get("feed_bytes"),
    )
    .held(Role::Coordinator, Way::Relays, "machine_link", "sources follow for all"),
    // What could ride on the same stream; not built.
    Quantity::step(
        "roster_start_today",
        "membership, all start at once: bytes that a voter sends as log entries",
        Unit::Bytes,
        "{routers} x {routers} x {join_entry} / {voters}",
        |of| of.get("routers") * of.get("routers") * of.get("join_entry") / of.get("voters"),
    )
    .shown(Role::Later, Way::Any, "each join is an entry that goes to each follower"),
    Quantity::step(
        "roster_start_lease",
        "membership by leases, all start at once: bytes that a relay takes and answers",
        Unit::Bytes,
        "{routers_per_relay} x 2 x ({message_overhead} + {report_body})",
        |of| of.get("routers_per_relay") * 2.0 * (of.get("message_overhead") + of.get("report_body")),
    )
    .shown(Role::Later, Way::NotBuilt, "a join is a lease at its relay and ends there; the source sees counts"),
    Quantity::step(
        "roster_day_lease",
        "membership by leases: what an ordinary day adds at each router",
        Unit::BytesPerSecond,
        "0 x {starts_per_second}",
        |of| 0.0 * of.get("starts_per_second"),
    )
    .held(Role::Later, Way::NotBuilt, "control_bytes", "reports run anyway"),
    Quantity::step(
        "versions_voter_relays",
        "agreed versions over relays, largest size: bytes that a voter sends, to the sources alone",
        Unit::BytesPerSecond,
        "{sources} x {version_bytes_most}",
        |of| of.get("sources") * of.get("version_bytes_most"),
    )
    .held(Role::Later, Way::NotBuilt, "machine_link", "relays pass each body on once a child"),
    Quantity::step(
        "versions_router_whole",
        "agreed versions over relays, largest size: a router's bytes, whole texts once each",
        Unit::BytesPerSecond,
        "{versions_per_second} x {version_most}",
        |of| of.get("versions_per_second") * of.get("version_most"),
    )
    .held(Role::Later, Way::NotBuilt, "control_bytes", "body once, then a record that it holds"),
    Quantity::step(
        "versions_router_difference",
        "agreed versions over relays: a router's bytes, as differences",
        Unit::BytesPerSecond,
        "{versions_per_second} x {version_difference}",
        |of| of.get("versions_per_second") * of.get("version_difference"),
    )
    .held(Role::Later, Way::NotBuilt, "control_bytes", "difference against the version that holds"),
];
