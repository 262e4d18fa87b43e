//! What each role bears the way it is built without relays, and whatever does not depend on them: the data path, the
//! agreement, the coordinator's feed to every router, the caches.

use super::data::Unit;
use super::quantity::{Inputs, Quantity, Role, Way};

const FEED: &str = "coordinator's feed";
const MODULE: &str = "decision module, the router's one thread";
const FOLLOWING: &str = "agreement: followers ask a voter";
const LOG: &str = "agreement: log to every follower";
const CODE: &str = "bound in the code";

/// Rows of the router, the voter, the coordinator and the caches.
pub const QUANTITIES: &[Quantity] = &[
    // The router's data path.
    Quantity::step(
        "decide_core",
        "processor: ranking all listed members for each request",
        Unit::Cores,
        "{requests_per_router} x {decide_time}",
        |of| of.get("requests_per_router") * of.get("decide_time"),
    )
    .held(Role::Router, Way::Any, "one_core", MODULE),
    Quantity::step(
        "pass_rate",
        "bytes: answers passed on",
        Unit::BytesPerSecond,
        "{traffic_per_router}",
        |of| of.get("traffic_per_router"),
    )
    .held(Role::Router, Way::Any, "pass_most", "`front` and `upstream`, one thread"),
    Quantity::step(
        "request_rate",
        "messages: requests of clients",
        Unit::PerSecond,
        "{requests_per_router}",
        |of| of.get("requests_per_router"),
    )
    .held(Role::Router, Way::Any, "requests_most", "`front` and `upstream`, one thread"),
    Quantity::step(
        "client_connections",
        "descriptors: clients with a request open",
        Unit::Count,
        "{requests_per_router} x {answer_time}",
        |of| of.get("requests_per_router") * of.get("answer_time"),
    )
    .held(Role::Router, Way::Any, "client_sockets", "a third of `limits.sockets`, a setting"),
    Quantity::step(
        "peer_connections",
        "descriptors: one connection to each listed cache",
        Unit::Count,
        "{listed_caches}",
        |of| of.get("listed_caches"),
    )
    .held(Role::Router, Way::Any, "peer_sockets", "the rest of `limits.sockets`, a setting"),
    // The router's control.
    Quantity::step(
        "purge_core",
        "processor: taking purges in",
        Unit::Cores,
        "{purges} x {purge_time}",
        |of| of.get("purges") * of.get("purge_time"),
    )
    .held(Role::Router, Way::Any, "control_core", MODULE),
    Quantity::step(
        "purges_known",
        "state: purges kept for other routers",
        Unit::Count,
        "{purges} x ({purge_within} + {purge_heeded} + {clock_error})",
        |of| of.get("purges") * (of.get("purge_within") + of.get("purge_heeded") + of.get("clock_error")),
    )
    .held(
        Role::Router,
        Way::Any,
        "store_purges",
        "inherited knowledge; past the bound all older copies are filled anew",
    ),
    Quantity::step("members_known", "state: members", Unit::Count, "{caches}", |of| of.get("caches")).held(
        Role::Router,
        Way::Any,
        "store_members",
        CODE,
    ),
    Quantity::step(
        "feed_bare",
        "bytes: purges as the coordinator spells them, without headers",
        Unit::BytesPerSecond,
        "{purges} x {feed_purge}",
        |of| of.get("purges") * of.get("feed_purge"),
    )
    .held(Role::Router, Way::Direct, "control_bytes", FEED),
    Quantity::step(
        "feed_bytes",
        "bytes: purges as the coordinator sends them, a packet each",
        Unit::BytesPerSecond,
        "{purges} x ({feed_purge} + {packet_headers})",
        |of| of.get("purges") * (of.get("feed_purge") + of.get("packet_headers")),
    )
    .held(Role::Router, Way::Direct, "control_bytes", FEED),
    Quantity::step(
        "feed_acknowledged",
        "bytes: acknowledgements of the coordinator's packets",
        Unit::BytesPerSecond,
        "{purges} x {acknowledged} x {packet_headers}",
        |of| of.get("purges") * of.get("acknowledged") * of.get("packet_headers"),
    )
    .held(Role::Router, Way::Direct, "control_bytes", FEED),
    Quantity::step(
        "follow_bytes",
        "bytes: the agreement while nothing changes, both ways",
        Unit::BytesPerSecond,
        "{follower_quiet_bytes}",
        |of| of.get("follower_quiet_bytes"),
    )
    .held(Role::Router, Way::Any, "control_bytes", FOLLOWING),
    Quantity::step(
        "follow_core",
        "processor: the agreement while nothing changes",
        Unit::Cores,
        "{follower_quiet_core}",
        |of| of.get("follower_quiet_core"),
    )
    .held(Role::Router, Way::Any, "control_core", FOLLOWING),
    Quantity::step(
        "version_bytes_most",
        "bytes: changes of configuration, largest size, twice through the log",
        Unit::BytesPerSecond,
        "2 x {versions_per_second} x {version_most}",
        |of| 2.0 * of.get("versions_per_second") * of.get("version_most"),
    )
    .held(Role::Router, Way::Any, "control_bytes", LOG),
    Quantity::step(
        "version_bytes_typical",
        "bytes: changes of configuration, lists of 1,000 entries, twice through the log",
        Unit::BytesPerSecond,
        "2 x {versions_per_second} x {version_thousand}",
        |of| 2.0 * of.get("versions_per_second") * of.get("version_thousand"),
    )
    .held(Role::Router, Way::Any, "control_bytes", LOG),
    Quantity::step(
        "roster_bytes",
        "bytes: joins and leaves of an ordinary day, all of them to each router",
        Unit::BytesPerSecond,
        "2 x {starts_per_second} x ({join_entry} + {message_overhead})",
        |of| 2.0 * of.get("starts_per_second") * (of.get("join_entry") + of.get("message_overhead")),
    )
    .held(Role::Router, Way::Any, "control_bytes", LOG),
    Quantity::step(
        "version_bytes_measured",
        "bytes: the agreement with changes of 56 KB at the target's rate, both ways",
        Unit::BytesPerSecond,
        "{follower_quiet_bytes} + ({follower_versions_whole} - {follower_quiet_bytes}) x {version_run} x {versions_per_second}",
        |of| with_versions(of, "follower_quiet_bytes", "follower_versions_whole"),
    )
    .held(Role::Router, Way::Any, "control_bytes", LOG),
    Quantity::step(
        "control_today",
        "bytes: all control, feed and agreement, changes of 56 KB",
        Unit::BytesPerSecond,
        "{feed_bytes} + {feed_acknowledged} + {version_bytes_measured} + {roster_bytes}",
        |of| {
            of.get("feed_bytes")
                + of.get("feed_acknowledged")
                + of.get("version_bytes_measured")
                + of.get("roster_bytes")
        },
    )
    .held(Role::Router, Way::Direct, "control_bytes", "feed and agreement"),
    Quantity::step(
        "memory_today",
        "memory: a process that serves and follows, and the agreement's state at the target",
        Unit::Bytes,
        "{process_memory} + {follower_state}",
        |of| of.get("process_memory") + of.get("follower_state"),
    )
    .held(Role::Router, Way::Any, "control_memory", "process"),
    // The voter.
    Quantity::step(
        "voter_connections",
        "connections: followers of a voter",
        Unit::Count,
        "{followers_per_voter}",
        |of| of.get("followers_per_voter"),
    )
    .held(Role::Voter, Way::Any, "agree_callers", "`agree-callers`, a setting"),
    Quantity::step(
        "voter_descriptors",
        "descriptors: followers of a voter, clients and the process's own",
        Unit::Count,
        "{followers_per_voter} + {client_sockets} + {own_sockets}",
        |of| of.get("followers_per_voter") + of.get("client_sockets") + of.get("own_sockets"),
    )
    .held(Role::Voter, Way::Any, "sockets", "`limits.sockets`, a setting"),
    Quantity::step("voter_roll", "state: routers on the roll", Unit::Count, "{routers}", |of| {
        of.get("routers")
    })
    .held(Role::Voter, Way::Any, "roll_most", CODE),
    Quantity::step(
        "voter_reports",
        "state: what routers tell while there are work orders, one place in ten in an order",
        Unit::Bytes,
        "{routers} x {report_size}",
        |of| of.get("routers") * of.get("report_size"),
    )
    .held(Role::Voter, Way::Any, "reports_most", CODE),
    Quantity::step(
        "voter_shares",
        "state: shares of a limit, those that hold and those to come, in one proposal",
        Unit::Bytes,
        "2 x {routers} x {share_entry}",
        |of| 2.0 * of.get("routers") * of.get("share_entry"),
    )
    .held(Role::Voter, Way::Any, "proposal_most", CODE),
    Quantity::step(
        "voter_version",
        "state: a change of lists of 10,000 entries in one proposal",
        Unit::Bytes,
        "{version_ten_thousand}",
        |of| of.get("version_ten_thousand"),
    )
    .held(Role::Voter, Way::Any, "proposal_most", CODE),
    Quantity::step(
        "voter_joins",
        "state: joins that wait when all routers start at once",
        Unit::Count,
        "{routers}",
        |of| of.get("routers"),
    )
    .held(Role::Voter, Way::Any, "pending_most", "bound in the code; refused ones ask again"),
    Quantity::step(
        "voter_outcomes",
        "state: outcomes that a start settles, while a join waits for its own",
        Unit::Count,
        "{routers}",
        |of| of.get("routers"),
    )
    .held(
        Role::Voter,
        Way::Any,
        "outcomes_most",
        "bound in the code; what builds on less is refused and made again",
    ),
    Quantity::step(
        "voter_questions",
        "messages: questions a second",
        Unit::PerSecond,
        "{followers_per_voter} x 4 / {agree_within}",
        |of| of.get("followers_per_voter") * 4.0 / of.get("agree_within"),
    )
    .shown(Role::Voter, Way::Any, FOLLOWING),
    Quantity::step(
        "voter_quiet",
        "bytes: sent while nothing changes",
        Unit::BytesPerSecond,
        "{voter_quiet_sent}",
        |of| of.get("voter_quiet_sent"),
    )
    .held(Role::Voter, Way::Any, "machine_link", FOLLOWING),
    Quantity::step(
        "voter_start",
        "bytes: sent while all routers start at once",
        Unit::BytesPerSecond,
        "{voter_start_sent}",
        |of| of.get("voter_start_sent"),
    )
    .held(Role::Voter, Way::Any, "machine_link", LOG),
    Quantity::step(
        "voter_churn",
        "bytes: sent on an ordinary day 600 times as fast",
        Unit::BytesPerSecond,
        "{voter_churn_sent}",
        |of| of.get("voter_churn_sent"),
    )
    .held(Role::Voter, Way::Any, "machine_link", LOG),
    Quantity::step(
        "voter_versions",
        "bytes: sent with changes of configuration at the target's rate",
        Unit::BytesPerSecond,
        "{voter_quiet_sent} + ({voter_versions_sent} - {voter_quiet_sent}) x {version_run} x {versions_per_second}",
        |of| with_versions(of, "voter_quiet_sent", "voter_versions_sent"),
    )
    .held(Role::Voter, Way::Any, "machine_link", LOG),
    Quantity::step(
        "voter_burst",
        "bytes: sent over 15 s with 20 changes of 56 KB at once",
        Unit::BytesPerSecond,
        "{voter_burst_sent}",
        |of| of.get("voter_burst_sent"),
    )
    .held(Role::Voter, Way::Any, "machine_link", LOG),
    Quantity::step(
        "voter_versions_most",
        "bytes: sent with changes of configuration of the largest size",
        Unit::BytesPerSecond,
        "{followers_per_voter} x {version_bytes_most}",
        |of| of.get("followers_per_voter") * of.get("version_bytes_most"),
    )
    .held(Role::Voter, Way::Any, "machine_link", LOG),
    Quantity::step(
        "voter_quiet_core",
        "processor: while nothing changes",
        Unit::Cores,
        "{voter_quiet_core_measured}",
        |of| of.get("voter_quiet_core_measured"),
    )
    .held(Role::Voter, Way::Any, "machine_core", FOLLOWING),
    Quantity::step(
        "voter_start_core",
        "processor: while all routers start at once",
        Unit::Cores,
        "{voter_start_core_measured}",
        |of| of.get("voter_start_core_measured"),
    )
    .held(Role::Voter, Way::Any, "machine_core", LOG),
    Quantity::step(
        "voter_churn_core",
        "processor: on an ordinary day 600 times as fast",
        Unit::Cores,
        "{voter_churn_core_measured}",
        |of| of.get("voter_churn_core_measured"),
    )
    .held(Role::Voter, Way::Any, "machine_core", LOG),
    Quantity::step(
        "voter_versions_core",
        "processor: with changes of configuration at the target's rate",
        Unit::Cores,
        "{voter_quiet_core_measured} + ({voter_versions_core_measured} - {voter_quiet_core_measured}) x {version_run} x {versions_per_second}",
        |of| with_versions(of, "voter_quiet_core_measured", "voter_versions_core_measured"),
    )
    .held(Role::Voter, Way::Any, "machine_core", LOG),
    Quantity::step("voter_memory", "memory: the agreement's state", Unit::Bytes, "{voter_state}", |of| {
        of.get("voter_state")
    })
    .held(Role::Voter, Way::Any, "machine_memory", LOG),
    // The coordinator's side.
    Quantity::step("coordinator_connections", "connections", Unit::Count, "{routers}", |of| {
        of.get("routers")
    })
    .held(Role::Coordinator, Way::Direct, "server_sockets", FEED),
    Quantity::step(
        "coordinator_messages",
        "messages: purges sent a second",
        Unit::PerSecond,
        "{routers} x {purges}",
        |of| of.get("routers") * of.get("purges"),
    )
    .shown(Role::Coordinator, Way::Direct, FEED),
    Quantity::step(
        "coordinator_bytes",
        "bytes: purges sent",
        Unit::BytesPerSecond,
        "{routers} x {feed_bytes}",
        |of| of.get("routers") * of.get("feed_bytes"),
    )
    .held(Role::Coordinator, Way::Direct, "machine_link", FEED),
    Quantity::step(
        "coordinator_start",
        "time to send the whole list to all routers when they start at once",
        Unit::Seconds,
        "{routers} x {caches} x {list_record} / {machine_link}",
        |of| of.get("routers") * of.get("caches") * of.get("list_record") / of.get("machine_link"),
    )
    .held(Role::Coordinator, Way::Direct, "purge_within", FEED),
    // A cache, as all routers load it.
    Quantity::step(
        "cache_requests",
        "messages: requests a second",
        Unit::PerSecond,
        "{requests_per_cache}",
        |of| of.get("requests_per_cache"),
    )
    .shown(Role::Cache, Way::Any, "rendezvous hashing over the site's caches"),
    Quantity::step("cache_bytes", "bytes: answers", Unit::BytesPerSecond, "{traffic} / {caches}", |of| {
        of.get("traffic") / of.get("caches")
    })
    .held(Role::Cache, Way::Any, "cache_link", "rendezvous hashing over the site's caches"),
    Quantity::step(
        "cache_connections_site",
        "connections: from the routers of its site",
        Unit::Count,
        "{routers_per_site} x {peer_sockets}",
        |of| of.get("routers_per_site") * of.get("peer_sockets"),
    )
    .held(Role::Cache, Way::Any, "server_sockets", "at most a router's part for peers each"),
    Quantity::step(
        "cache_connections_parent",
        "connections: as a parent, one from each router",
        Unit::Count,
        "{routers}",
        |of| of.get("routers"),
    )
    .held(Role::Cache, Way::Any, "server_sockets", "one a router at least"),
    Quantity::step(
        "cache_probes_first",
        "messages: first tries when all routers have set a parent aside at once, in the first second",
        Unit::PerSecond,
        "{routers} / {aside_first}",
        |of| of.get("routers") / of.get("aside_first"),
    )
    .held(Role::Cache, Way::Any, "requests_per_cache", "each router's own trickle, not told to others"),
    Quantity::step(
        "cache_probes_steady",
        "messages: tries of a parent that stays away",
        Unit::PerSecond,
        "{routers} / {aside_most}",
        |of| of.get("routers") / of.get("aside_most"),
    )
    .held(Role::Cache, Way::Any, "requests_per_cache", "each router's own trickle, not told to others"),
    Quantity::step(
        "cache_cold_part",
        "messages: a cold parent's first limit, divided among all routers, at each",
        Unit::Count,
        "{first_limit} / {routers}",
        |of| of.get("first_limit") / of.get("routers"),
    )
    .shown(Role::Cache, Way::Any, "a part under one attempt has turns; unused ones are lost"),
    Quantity::step(
        "cache_handshakes",
        "connections: opened to each listed cache by the day's restarted routers",
        Unit::PerSecond,
        "{starts_per_second}",
        |of| of.get("starts_per_second"),
    )
    .shown(Role::Cache, Way::Any, "a router opens one when it first needs it"),
];

/// A figure at the target's rate of changes, from one measured while nothing changes and one with a single change in a
/// shorter run.
pub fn with_versions(of: &Inputs, quiet: &str, changing: &str) -> f64 {
    let extra = of.get(changing) - of.get(quiet);
    of.get(quiet) + extra * of.get("version_run") * of.get("versions_per_second")
}
