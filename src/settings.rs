//! Parser of the settings, used for both the simulator's first message and a router's configuration.

use serde_json::{Map, Value};

use crate::interface::*;

type Object = Map<String, Value>;

/// The settings of the decision module with the names of classes, zones and kinds, and the settings of a
/// router's connections.
#[derive(Clone, Debug, Default)]
pub struct SiteSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, in the order of their indices.
    pub classes: Vec<String>,
    /// Names of the zones, in the order of their indices.
    pub zones: Vec<String>,
    /// Names of the member kinds, in the order of their indices.
    pub kinds: Vec<String>,
    /// Maximum number of attempts in flight on one connection; 0: not given.
    pub streams_per_conn: usize,
    /// Idle time after which a connection is closed; 0: not given.
    pub idle_close: Micros,
    /// Cost of a new connection, in units of a first attempt; 0: none.
    pub handshake_cost: f64,
}

impl SiteSettings {
    /// Reads the settings leniently: a value of the wrong type counts as absent.
    pub fn parse(options: &Object) -> Self {
        let entries = options.get("classes").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let classes = entries.iter().map(|c| Section(c.as_object()).text("name").to_owned()).collect();
        let (zones, kinds) = (name_list(options, "failure_domains"), name_list(options, "kinds"));
        let limits = Section::of(options, "limits");
        Self {
            settings: settings(options, &zones),
            classes,
            zones,
            kinds,
            streams_per_conn: limits.number("streams_per_conn") as usize,
            idle_close: limits.micros("idle_close_ms"),
            handshake_cost: Section::of(options, "deductions").number("handshake"),
        }
    }
}

/// Converts a duration or a time in milliseconds, the unit of the settings and of the simulator's messages.
pub fn micros(v: &Value) -> Option<Micros> {
    v.as_f64().map(|ms| (ms * 1000.0).round().max(0.0) as Micros)
}

fn name_list(options: &Object, field: &str) -> Vec<String> {
    let list = options.get(field).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    list.iter().map(|v| v.as_str().unwrap_or_default().to_owned()).collect()
}

/// Index of a name among those of the settings; `usize::MAX`, which is out of range, for an unknown name.
pub fn index_of(names: &[String], name: Option<&str>) -> usize {
    names.iter().position(|n| Some(n.as_str()) == name).unwrap_or(usize::MAX)
}

/// A JSON object of the settings, read leniently: a value of the wrong type counts as absent.
struct Section<'a>(Option<&'a Object>);

impl<'a> Section<'a> {
    fn of(parent: &'a Object, name: &str) -> Self {
        Section(parent.get(name).and_then(Value::as_object))
    }
    fn get(&self, name: &str) -> Option<&'a Value> {
        self.0.and_then(|m| m.get(name))
    }
    fn number(&self, name: &str) -> f64 {
        self.get(name).and_then(Value::as_f64).unwrap_or(0.0)
    }
    fn micros(&self, name: &str) -> Micros {
        self.get(name).and_then(micros).unwrap_or(0)
    }
    fn flag(&self, name: &str) -> bool {
        self.get(name).and_then(Value::as_bool).unwrap_or(false)
    }
    fn text(&self, name: &str) -> &'a str {
        self.get(name).and_then(Value::as_str).unwrap_or("")
    }
    fn kind(&self, name: &str) -> Option<usize> {
        self.get(name).and_then(Value::as_u64).map(|k| k as usize)
    }
    fn list(&self, name: &str) -> Vec<f64> {
        let list = self.get(name).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        list.iter().map(|v| v.as_f64().or(v.as_bool().map(f64::from)).unwrap_or(0.0)).collect()
    }
}

fn settings(options: &Object, zones: &[String]) -> Settings {
    let top = Section(Some(options));
    let (info, limits, rules) =
        (Section::of(options, "family_info"), Section::of(options, "limits"), Section::of(options, "rules"));
    let by_class = |name: &str| {
        let list = info.list(name);
        move |i: usize| list.get(i).copied().unwrap_or(0.0)
    };
    let (fresh, stale) = (by_class("fresh_for_ms"), by_class("stale_for_ms"));
    let (stale_worth, segmented, write) =
        (by_class("class_stale_worth"), by_class("segmented"), by_class("class_write"));
    let entries = options.get("classes").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let classes = entries.iter().enumerate().map(|(i, v)| {
        let c = Section(v.as_object());
        Class {
            aim: c.micros("slo_ms"),
            aim_stretch: c.number("aim_stretch"),
            deadline: c.micros("deadline_ms"),
            idempotency: match c.text("idempotency") {
                "idempotent" => Idempotency::Idempotent,
                "deduplicated" => Idempotency::Deduplicated,
                _ => Idempotency::AtMostOnce,
            },
            dedup_group: match c.text("group") {
                "zone" => DedupGroup::Zone,
                "cell" => DedupGroup::Cell,
                _ => DedupGroup::All,
            },
            dedup_window: c.micros("window_ms"),
            streamed: c.flag("streamed"),
            worth: c.number("worth"),
            late_worth: c.number("late_worth"),
            fresh_for: (fresh(i) * 1000.0) as Micros,
            stale_for: (stale(i) * 1000.0) as Micros,
            stale_worth: stale_worth(i),
            segmented: segmented(i) > 0.0,
            write: write(i) > 0.0,
        }
    });
    Settings {
        index: top.number("index") as u32,
        directors: top.number("balancers") as u32,
        zone: index_of(zones, Some(top.text("my_zone"))),
        zone_directors: info.list("crew_by_zone").iter().map(|x| *x as u32).collect(),
        zone_hub: info.list("hub_by_zone").iter().map(|x| *x as usize).collect(),
        zone_link_kb_per_s: info.list("link_in_kb_per_s"),
        classes: classes.collect(),
        parent_kind: info.kind("parent_kind"),
        origin_kind: info.kind("root_kind"),
        flow_kb_per_s: info.number("flow_kb_per_s"),
        direct_upper_tiers: info.flag("bypass_allowed"),
        join_fills: info.flag("shares_fills"),
        siblings: match info.text("neighbours") {
            "location" => Siblings::Location,
            "any" => Siblings::Any,
            _ => Siblings::None,
        },
        detail: match info.text("detail") {
            "all" => Detail::All,
            "hit" => Detail::Hit,
            _ => Detail::Nothing,
        },
        weights: match top.text("weights") {
            "nominal" => Weights::Nominal,
            "rough" => Weights::Rough,
            "live" => Weights::Live,
            _ => Weights::Unknown,
        },
        second_copies: limits.flag("second_copies"),
        cancel: limits.flag("cancelling"),
        probes: limits.flag("probes"),
        max_attempts: limits.number("try_limit") as u32,
        max_retry_after: if limits.flag("retry_after") { limits.micros("max_retry_after_ms") } else { 0 },
        connect_timeout: limits.micros("connect_timeout_ms"),
        discovery: match top.text("membership_mode") {
            "on_request" => Discovery::OnRequest,
            _ => Discovery::Pushed,
        },
        ask_within: rules.micros("must_ask_in_ms"),
        answer_slack: rules.micros("grace_to_answer_ms"),
        drain_grace: rules.micros("drain_grace_ms"),
        cold_start_share: rules.number("cold_from"),
        cold_duration: rules.micros("cold_ms"),
        overload_multiple: rules.number("fall_multiple"),
        overload_window: rules.micros("tip_after_ms"),
        parent_cold_start_share: info.number("upper_cold_from"),
        parent_cold_duration: info.micros("parent_ramp_ms"),
        parent_overload_multiple: info.number("parent_fall_multiple"),
        purge_grace: info.micros("heed_within_ms"),
        purge_complete_within: info.micros("cleared_within_ms"),
    }
}
