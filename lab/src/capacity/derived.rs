//! What follows from the target by arithmetic: a router's, a cache's, a relay's part.

use super::data::Unit;
use super::quantity::Quantity;

/// The steps that the roles' rows build on.
pub const QUANTITIES: &[Quantity] = &[
    Quantity::step(
        "requests_per_router",
        "requests a second at a router",
        Unit::PerSecond,
        "{requests} / {routers}",
        |of| of.get("requests") / of.get("routers"),
    ),
    Quantity::step(
        "traffic_per_router",
        "traffic that a router passes on",
        Unit::BytesPerSecond,
        "{traffic} / {routers}",
        |of| of.get("traffic") / of.get("routers"),
    ),
    Quantity::step("mean_answer", "mean answer", Unit::Bytes, "{traffic} / {requests}", |of| {
        of.get("traffic") / of.get("requests")
    }),
    Quantity::step("routers_per_site", "routers of a site", Unit::Count, "{routers} / {sites}", |of| {
        of.get("routers") / of.get("sites")
    }),
    Quantity::step("routers_per_zone", "routers of a zone", Unit::Count, "{routers} / {zones}", |of| {
        of.get("routers") / of.get("zones")
    }),
    Quantity::step("routers_per_region", "routers of a region", Unit::Count, "{routers} / {regions}", |of| {
        of.get("routers") / of.get("regions")
    }),
    Quantity::step("zones_per_region", "zones of a region", Unit::Count, "{zones} / {regions}", |of| {
        of.get("zones") / of.get("regions")
    }),
    Quantity::step("caches_per_site", "caches of a site", Unit::Count, "{caches} / {sites}", |of| {
        of.get("caches") / of.get("sites")
    }),
    Quantity::step(
        "requests_per_site",
        "requests a second of a site",
        Unit::PerSecond,
        "{requests} / {sites}",
        |of| of.get("requests") / of.get("sites"),
    ),
    Quantity::step(
        "requests_per_cache",
        "requests a second at a cache",
        Unit::PerSecond,
        "{requests} / {caches}",
        |of| of.get("requests") / of.get("caches"),
    ),
    Quantity::step(
        "request_again",
        "time from one request for an object to the next, mean, over the whole fleet",
        Unit::Seconds,
        "{objects} / {requests}",
        |of| of.get("objects") / of.get("requests"),
    ),
    Quantity::step(
        "generation_lasts",
        "time that a generation of the filter lasts, were no object met twice",
        Unit::Seconds,
        "{generation} / {requests_per_router}",
        |of| of.get("generation") / of.get("requests_per_router"),
    ),
    Quantity::step(
        "versions_per_second",
        "changes of configuration a second",
        Unit::PerSecond,
        "{versions_day} / {day}",
        |of| of.get("versions_day") / of.get("day"),
    ),
    Quantity::step(
        "starts_per_second",
        "joins a second, with as many leaves",
        Unit::PerSecond,
        "({failures_day} + {restarts_day}) / {day}",
        |of| (of.get("failures_day") + of.get("restarts_day")) / of.get("day"),
    ),
    Quantity::step(
        "message_overhead",
        "bytes of a message beyond its body",
        Unit::Bytes,
        "{packet_headers} + {tls_record} + {piece_head}",
        |of| of.get("packet_headers") + of.get("tls_record") + of.get("piece_head"),
    ),
    Quantity::step(
        "followers_per_voter",
        "followers of a voter",
        Unit::Count,
        "{routers} / {voters}",
        |of| of.get("routers") / of.get("voters"),
    ),
    Quantity::step("routers_per_relay", "routers of a relay", Unit::Count, "{routers} / {relays}", |of| {
        of.get("routers") / of.get("relays")
    }),
    Quantity::step(
        "routers_per_relay_left",
        "routers of a relay while another one is dead",
        Unit::Count,
        "{routers} / ({relays} - 1)",
        |of| of.get("routers") / (of.get("relays") - 1.0),
    ),
    Quantity::step(
        "purges_remembered",
        "purges that the decision module remembers",
        Unit::Count,
        "{purges} x ({purge_within} + {purge_heeded})",
        |of| of.get("purges") * (of.get("purge_within") + of.get("purge_heeded")),
    ),
];
