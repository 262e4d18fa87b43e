//! What failures do to the promises: purges in force within their time, changes of configuration within theirs.

use super::data::Unit;
use super::quantity::{Inputs, Quantity, Role, Way};

const FENCE: &str = "lease and fence: counted from the own asking, no verdict by speed";
const AGREEMENT: &str = "agreement: fence of `agree-within`";

/// Rows of the failures.
pub const QUANTITIES: &[Quantity] = &[
    Quantity::step(
        "purge_calm",
        "purge in force, no failure: two batches and three hops",
        Unit::Seconds,
        "2 x {relay_batch} + 3 x {link_delay}",
        |of| 2.0 * of.get("relay_batch") + 3.0 * of.get("link_delay"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "purge log"),
    Quantity::step(
        "purge_purges_in_force",
        "purge in force at every router, no failure: slowest",
        Unit::Seconds,
        "{purges_in_force}",
        |of| of.get("purges_in_force"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "purge log"),
    Quantity::step(
        "purge_purges_told",
        "purge called everywhere, no failure: slowest",
        Unit::Seconds,
        "{purges_told}",
        |of| of.get("purges_told"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "purge log"),
    Quantity::step(
        "purge_hollow_in_force",
        "purge applied by 5,600 hollow routers on sockets, no failure: slowest",
        Unit::Seconds,
        "{hollow_in_force}",
        |of| of.get("hollow_in_force"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "purge log"),
    Quantity::step(
        "purge_hollow_told",
        "purge known everywhere, 5,600 hollow routers on sockets, no failure",
        Unit::Seconds,
        "{hollow_told}",
        |of| of.get("hollow_told"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "watermark; the lease of what started before"),
    Quantity::step(
        "purge_churn_in_force",
        "purge in force at every router, an ordinary day's failures and restarts, compressed: slowest",
        Unit::Seconds,
        "{churn_in_force}",
        |of| of.get("churn_in_force"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "second choice of parent, lease"),
    Quantity::step(
        "purge_churn_told",
        "purge called everywhere, an ordinary day's failures and restarts, compressed: slowest",
        Unit::Seconds,
        "{churn_told}",
        |of| of.get("churn_told"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "second choice of parent, lease"),
    Quantity::step(
        "purge_relay_in_force",
        "purge in force at every router, a control machine dead: slowest",
        Unit::Seconds,
        "{relay_in_force}",
        |of| of.get("relay_in_force"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "second choice of parent, lease"),
    Quantity::step(
        "purge_relay_told",
        "purge called everywhere, a control machine dead: slowest",
        Unit::Seconds,
        "{relay_told}",
        |of| of.get("relay_told"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "second choice of parent, lease"),
    Quantity::step(
        "purge_zone_in_force",
        "purge in force at every router, a zone's routers lost and back at once: slowest",
        Unit::Seconds,
        "{zone_in_force}",
        |of| of.get("zone_in_force"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "lease, catch-up from any number"),
    Quantity::step(
        "purge_zone_told",
        "purge called everywhere, a zone's routers lost and back at once: slowest",
        Unit::Seconds,
        "{zone_told}",
        |of| of.get("zone_told"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "lease, catch-up from any number"),
    Quantity::step(
        "purge_region_relay_in_force",
        "purge in force at every router, a region and its relay cut off: slowest",
        Unit::Seconds,
        "{region_relay_in_force}",
        |of| of.get("region_relay_in_force"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", FENCE),
    Quantity::step(
        "purge_region_relay_told",
        "purge called everywhere, a region and its relay cut off: slowest",
        Unit::Seconds,
        "{region_relay_told}",
        |of| of.get("region_relay_told"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", FENCE),
    Quantity::step(
        "purge_region_in_force",
        "purge in force at every router, a region without a relay cut off: slowest",
        Unit::Seconds,
        "{region_in_force}",
        |of| of.get("region_in_force"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", FENCE),
    Quantity::step(
        "purge_region_told",
        "purge called everywhere, a region without a relay cut off: slowest",
        Unit::Seconds,
        "{region_told}",
        |of| of.get("region_told"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", FENCE),
    Quantity::step(
        "purge_start_in_force",
        "purge in force at every router, all routers started at once: slowest",
        Unit::Seconds,
        "{start_in_force}",
        |of| of.get("start_in_force"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "lease, catch-up from any number"),
    Quantity::step(
        "purge_start_told",
        "purge called everywhere, all routers started at once: slowest",
        Unit::Seconds,
        "{start_told}",
        |of| of.get("start_told"),
    )
    .held(Role::Failure, Way::Relays, "purge_within", "lease, catch-up from any number"),
    Quantity::step(
        "router_churn_bytes",
        "a router's bytes for purges, both ways, an ordinary day 600 times as fast",
        Unit::BytesPerSecond,
        "{churn_router_bytes}",
        |of| of.get("churn_router_bytes"),
    )
    .held(Role::Failure, Way::Relays, "control_bytes", "purge log"),
    Quantity::step(
        "router_relay_bytes",
        "a router's bytes for purges, both ways, a control machine dead",
        Unit::BytesPerSecond,
        "{relay_router_bytes}",
        |of| of.get("relay_router_bytes"),
    )
    .held(Role::Failure, Way::Relays, "control_bytes", "purge log"),
    Quantity::step(
        "router_zone_bytes",
        "a router's bytes for purges, both ways, a zone's routers lost and back at once",
        Unit::BytesPerSecond,
        "{zone_router_bytes}",
        |of| of.get("zone_router_bytes"),
    )
    .held(Role::Failure, Way::Relays, "control_bytes", "purge log"),
    Quantity::step(
        "router_region_relay_bytes",
        "a router's bytes for purges, both ways, a region and its relay cut off and back",
        Unit::BytesPerSecond,
        "{region_relay_router_bytes}",
        |of| of.get("region_relay_router_bytes"),
    )
    .held(Role::Failure, Way::Relays, "control_bytes", "purge log"),
    Quantity::step(
        "router_start_bytes",
        "a router's bytes for purges, both ways, all routers started at once",
        Unit::BytesPerSecond,
        "{start_router_bytes}",
        |of| of.get("start_router_bytes"),
    )
    .held(Role::Failure, Way::Relays, "control_bytes", "purge log"),
    Quantity::step(
        "purge_unheard",
        "longest that a router without any word acts against a purge: relay, source, zone or region lost, frozen or cut",
        Unit::Seconds,
        "{relay_within} x (1 + {clock_drift})",
        |of| of.get("relay_within") * (1.0 + of.get("clock_drift")),
    )
    .held(Role::Failure, Way::Relays, "purge_within", FENCE),
    Quantity::step(
        "purge_known",
        "until staff are told 'everywhere' although a router or relay has died or is cut off",
        Unit::Seconds,
        "{purge_calm} + {relay_within} x (1 + 2 x {clock_drift}) + 2 x ({relay_batch} + {link_delay})",
        |of| {
            of.get("purge_calm")
                + of.get("relay_within") * (1.0 + 2.0 * of.get("clock_drift"))
                + 2.0 * (of.get("relay_batch") + of.get("link_delay"))
        },
    )
    .held(Role::Failure, Way::Relays, "purge_within", "watermark over live leases"),
    Quantity::step(
        "purge_source_restart",
        "until a source that has just started says 'everywhere' at all",
        Unit::Seconds,
        "{relay_within} x (1 + 2 x {clock_drift}) + 2 x ({relay_batch} + {link_delay})",
        |of| {
            of.get("relay_within") * (1.0 + 2.0 * of.get("clock_drift"))
                + 2.0 * (of.get("relay_batch") + of.get("link_delay"))
        },
    )
    .held(Role::Failure, Way::Relays, "purge_within", "leases of its earlier process run out first"),
    Quantity::step(
        "purge_today_cut",
        "longest that a router acts against a purge, cut off for an hour",
        Unit::Seconds,
        "{split}",
        |of| of.get("split"),
    )
    .held(Role::Failure, Way::Direct, "purge_within", "coordinator's feed: nothing ends what is not renewed"),
    Quantity::step(
        "catch_up_bytes",
        "bytes that each router takes after an hour's split, all purges of it",
        Unit::Bytes,
        "{split} x {purges} x {purge_record}",
        |of| of.get("split") * of.get("purges") * of.get("purge_record"),
    )
    .shown(Role::Failure, Way::Relays, "past `relay-records` a digest instead"),
    Quantity::step(
        "catch_up_digest",
        "bytes that each router takes after a longer absence: the digest, with the whole list",
        Unit::Bytes,
        "{caches} x {list_record}",
        |of| of.get("caches") * of.get("list_record"),
    )
    .shown(Role::Failure, Way::Relays, "digest: the list, and a time before which any copy may be purged"),
    Quantity::step(
        "version_calm",
        "change of configuration in force everywhere, slowest",
        Unit::Seconds,
        "{versions_everywhere}",
        |of| of.get("versions_everywhere"),
    )
    .held(Role::Failure, Way::Any, "version_within", AGREEMENT),
    Quantity::step(
        "version_burst",
        "change of configuration in force everywhere, slowest of 20 at once",
        Unit::Seconds,
        "{versions_burst_everywhere}",
        |of| of.get("versions_burst_everywhere"),
    )
    .held(Role::Failure, Way::Any, "version_within", AGREEMENT),
    Quantity::step(
        "version_unheard",
        "change of configuration in force, a router, rack, zone or region dead or cut off: known to all who act, then holds",
        Unit::Seconds,
        "2 x {agree_within} x (1 + {clock_drift})",
        |of| 2.0 * of.get("agree_within") * (1.0 + of.get("clock_drift")),
    )
    .held(Role::Failure, Way::Any, "version_within", AGREEMENT),
    Quantity::step(
        "version_leader_lost",
        "change of configuration in force, the leading voter's machine lost first",
        Unit::Seconds,
        "{leader_lost} + 2 x {agree_within} x (1 + {clock_drift})",
        |of| of.get("leader_lost") + 2.0 * of.get("agree_within") * (1.0 + of.get("clock_drift")),
    )
    .held(Role::Failure, Way::Any, "version_within", AGREEMENT),
    Quantity::step(
        "version_no_quorum",
        "change of configuration in force, in an hour's split that leaves no side three voters of five",
        Unit::Seconds,
        "{split}",
        |of| of.get("split"),
    )
    .held(Role::Failure, Way::Any, "version_within", "none: place the voters in three regions or more"),
    Quantity::step(
        "cut_region_refused",
        "requests refused in a region that no voter reaches, with `alone stop`",
        Unit::PerSecond,
        "{requests} / {regions}",
        |of| of.get("requests") / of.get("regions"),
    )
    .shown(Role::Failure, Way::Any, "`alone serve` serves on, without shares of limits"),
    Quantity::step(
        "split_refetch",
        "share of requests on the safe reading that fill anew, at most one fill an object each `relay-direct`",
        Unit::Part,
        "sum over objects of (p / (1 + {requests_per_site} x p x {relay_direct})), p by Zipf {zipf} over {objects}",
        split_refetch,
    )
    .held(Role::Failure, Way::Relays, "fill_share", "safe reading beyond the lease"),
    Quantity::step(
        "zone_lost_core",
        "processor: ranking members at the routers of the zones left in a region that lost one",
        Unit::Cores,
        "{decide_core} x {zones_per_region} / ({zones_per_region} - 1)",
        |of| of.get("decide_core") * of.get("zones_per_region") / (of.get("zones_per_region") - 1.0),
    )
    .held(Role::Failure, Way::Any, "one_core", "clients move to the region's other zones"),
    Quantity::step(
        "zone_lost_bytes",
        "bytes: answers passed on by the routers of the zones left in a region that lost one",
        Unit::BytesPerSecond,
        "{traffic_per_router} x {zones_per_region} / ({zones_per_region} - 1)",
        |of| of.get("traffic_per_router") * of.get("zones_per_region") / (of.get("zones_per_region") - 1.0),
    )
    .held(Role::Failure, Way::Any, "pass_most", "clients move to the region's other zones"),
    Quantity::step(
        "rack_lost_bytes",
        "bytes: answers passed on at a site's routers that are left when a rack is lost",
        Unit::BytesPerSecond,
        "{traffic_per_router} x {routers_per_site} / ({routers_per_site} - {rack_routers})",
        |of| {
            let site = of.get("routers_per_site");
            of.get("traffic_per_router") * site / (site - of.get("rack_routers"))
        },
    )
    .held(Role::Failure, Way::Any, "pass_most", "clients move to the site's other routers"),
    Quantity::step(
        "zone_back_core",
        "processor: handshakes at a relay when a zone's routers come back within a second, two relays a zone",
        Unit::Cores,
        "{routers_per_zone} x {handshake_time} / 2",
        |of| of.get("routers_per_zone") * of.get("handshake_time") / 2.0,
    )
    .held(Role::Failure, Way::Relays, "machine_core", "exchange's TLS"),
];

/// The share of a site's requests that need a fill where no copy older than `relay-direct` will do. An object asked for
/// at rate r needs r / (1 + r x age) fills a second: the next request after its copy has grown so old. Objects' rates are
/// a Zipf law's, summed over ranks in bands that widen by a thousandth.
fn split_refetch(of: &Inputs) -> f64 {
    let (rate, age) = (of.get("requests_per_site"), of.get("relay_direct"));
    let (power, objects) = (of.get("zipf"), of.get("objects"));
    let (mut weight, mut filled, mut rank) = (0.0, 0.0, 1.0);
    let whole = zipf_weight(power, objects);
    while rank <= objects {
        let width = (rank * 1e-3_f64).floor().max(1.0).min(objects - rank + 1.0);
        let each = (rank + (width - 1.0) / 2.0).powf(-power) / whole;
        weight += width * each;
        filled += width * each / (1.0 + rate * each * age);
        rank += width;
    }
    filled / weight
}

/// The sum of `rank ^ -power` over all ranks: the first thousand one by one, the rest as an integral.
fn zipf_weight(power: f64, objects: f64) -> f64 {
    let first: f64 = (1..=1000).map(|rank| f64::from(rank).powf(-power)).sum();
    let integral = |rank: f64| if power == 1.0 { rank.ln() } else { rank.powf(1.0 - power) / (1.0 - power) };
    first + integral(objects + 0.5) - integral(1000.5)
}
