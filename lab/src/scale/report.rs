//! Rows: a scenario at a size, as one role saw it; as a table for people and as lines of JSON.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use super::meter::{self, Usage};
use super::scenario::PURGES_A_SECOND;
use super::{Core, MS, Micros, Run};

/// Bytes of the coordinator's event for a purge.
pub const FEED_PURGE: u64 = 29;

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Times {
    /// Half took no longer.
    pub median: u64,
    /// 99 % took no longer.
    pub p99: u64,
    /// None took longer.
    pub longest: u64,
}

impl Times {
    /// Of all these; none of none.
    pub fn of(took: &[Micros]) -> Option<Self> {
        let mut sorted = took.to_vec();
        sorted.sort_unstable();
        let part = |percent: usize| sorted[(sorted.len() * percent / 100).min(sorted.len() - 1)] / MS;
        (!sorted.is_empty()).then(|| Self { median: part(50), p99: part(99), longest: part(100) })
    }
}

/// What a run was, and what is the same for all its roles.
#[derive(Clone, Debug, Serialize)]
pub struct Facts {
    /// The scenario.
    pub scenario: &'static str,
    /// Which of several ways the scenario was played in; empty: there is one.
    pub variant: String,
    /// Which core.
    pub core: Core,
    /// Routers; control machines of the relay part come on top, electors are among them.
    pub routers: usize,
    /// Simulated seconds that were measured.
    pub seconds: u64,
    /// The seed.
    pub seed: u64,
    /// From an event to its being everywhere, as the source says it (agreement: until all routers have applied it).
    pub everywhere_ms: Option<Times>,
    /// Relay: from a purge to its being in force at every router, as the checker sees it.
    pub in_force_ms: Option<Times>,
    /// Events that were measured.
    pub events_measured: usize,
    /// Events that were not everywhere when the run ended.
    pub events_unfinished: u64,
    /// Relay: numbers that a source called everywhere and the checker did not; a broken promise.
    pub said_too_early: u64,
    /// Relay: the most routers that were on the safe reading at once.
    pub safe_reading_most: usize,
    /// Relay: the least routers that the sources counted.
    pub counted_least: u64,
    /// Relay: routers in a cut region, and those of them that were on the safe reading before it healed.
    pub cut_off: usize,
    /// See `cut_off`.
    pub cut_off_on_safe_reading: usize,
    /// From the start until all routers had joined.
    pub joined_ms: Option<u64>,
    /// Of all events; the same for the same seed.
    pub digest: String,
    /// What else the run's reader should know.
    pub note: String,
}

/// One role's figures, each for one process of it.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The run.
    #[serde(flatten)]
    pub facts: Facts,
    /// Which role.
    pub role: &'static str,
    /// Processes of it.
    pub processes: usize,
    /// Bytes sent a second on the wire, heads and acknowledgements among them.
    pub sent_bytes_per_s: f64,
    /// Bytes of frames alone.
    pub sent_frame_bytes_per_s: f64,
    /// Frames sent a second.
    pub sent_messages_per_s: f64,
    /// As `sent_bytes_per_s`.
    pub received_bytes_per_s: f64,
    /// As `sent_frame_bytes_per_s`.
    pub received_frame_bytes_per_s: f64,
    /// Frames received a second.
    pub received_messages_per_s: f64,
    /// Real seconds of a core for a simulated one: decoding, the core, encoding.
    pub cpu_s_per_s: f64,
    /// The busiest process's bytes sent a second.
    pub busiest_sent_bytes_per_s: f64,
    /// The busiest process's processor time.
    pub busiest_cpu_s_per_s: f64,
    /// Bytes that it holds. Agreement: an estimate, by what its parts come to when they are serialized.
    pub state_bytes: f64,
    /// By field: the power of the number of routers that it grows with, over all sizes of this call.
    pub fit: BTreeMap<String, f64>,
    /// The command that gave this row; as many sizes in one call as the fit is made of.
    pub command: String,
}

impl std::ops::Deref for Row {
    type Target = Facts;
    fn deref(&self) -> &Facts {
        &self.facts
    }
}

fn rounded(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

impl Row {
    /// The mean over a role's processes.
    pub fn of(facts: &Facts, role: &'static str, usage: &[Usage], state_bytes: f64) -> Self {
        let processes = usage.len().max(1) as f64;
        let seconds = facts.seconds.max(1) as f64;
        let mean = |of: fn(&Usage) -> u64| {
            rounded(usage.iter().map(|u| of(u) as f64).sum::<f64>() / processes / seconds)
        };
        let most = |of: fn(&Usage) -> f64| usage.iter().map(of).fold(0.0, f64::max) / seconds;
        let processor: f64 = usage.iter().map(|u| u.processor.as_secs_f64()).sum();
        Self {
            facts: facts.clone(),
            role,
            processes: usage.len(),
            sent_bytes_per_s: mean(|u| u.sent_bytes),
            sent_frame_bytes_per_s: mean(|u| u.sent_frame_bytes),
            sent_messages_per_s: mean(|u| u.sent_messages),
            received_bytes_per_s: mean(|u| u.received_bytes),
            received_frame_bytes_per_s: mean(|u| u.received_frame_bytes),
            received_messages_per_s: mean(|u| u.received_messages),
            cpu_s_per_s: processor / processes / seconds,
            busiest_sent_bytes_per_s: rounded(most(|u| u.sent_bytes as f64)),
            busiest_cpu_s_per_s: most(|u| u.processor.as_secs_f64()),
            state_bytes: state_bytes.round(),
            fit: BTreeMap::new(),
            command: format!(
                "silverspindle-lab scale --routers {} --scenario {} --seconds {} --seed {} --json",
                facts.routers, facts.scenario, facts.seconds, facts.seed
            ),
        }
    }

    /// The figures that a fit is made of.
    pub fn figures(&self) -> Vec<(&'static str, f64)> {
        let mut figures = vec![
            ("sent_bytes_per_s", self.sent_bytes_per_s),
            ("sent_messages_per_s", self.sent_messages_per_s),
            ("received_bytes_per_s", self.received_bytes_per_s),
            ("received_messages_per_s", self.received_messages_per_s),
            ("cpu_s_per_s", self.cpu_s_per_s),
            ("state_bytes", self.state_bytes),
        ];
        if let Some(times) = self.everywhere_ms {
            figures.push(("everywhere_ms", times.median as f64));
        }
        figures
    }

    /// Rows of one series differ in the number of routers alone.
    pub fn series(&self) -> String {
        format!("{} {} {:?} {}", self.scenario, self.variant, self.core, self.role)
    }

    /// One line of JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// What the coordinator's own feed sends each router at the target's rate of purges: worked out, not simulated.
pub fn feed_row(run: Run) -> Row {
    let wire = meter::feed_event(FEED_PURGE);
    let purges = PURGES_A_SECOND * run.seconds;
    let usage = Usage {
        sent_bytes: purges * wire.acknowledgements,
        received_messages: purges,
        received_frame_bytes: purges * FEED_PURGE,
        received_bytes: purges * wire.bytes,
        ..Usage::default()
    };
    let facts = Facts {
        note: "computed: an event of 29 bytes in a packet of its own for each purge".to_owned(),
        ..Facts::of(run, Core::Feed)
    };
    Row::of(&facts, "router", &[usage], 0.0)
}

impl Facts {
    /// Of a run of which nothing is known yet.
    pub fn of(run: Run, core: Core) -> Self {
        Self {
            scenario: run.scenario.name(),
            variant: String::new(),
            core,
            routers: run.routers,
            seconds: run.seconds,
            seed: run.seed,
            everywhere_ms: None,
            in_force_ms: None,
            events_measured: 0,
            events_unfinished: 0,
            said_too_early: 0,
            safe_reading_most: 0,
            counted_least: 0,
            cut_off: 0,
            cut_off_on_safe_reading: 0,
            joined_ms: None,
            digest: String::new(),
            note: String::new(),
        }
    }
}

fn times(times: Option<Times>) -> String {
    times.map_or_else(|| "-".to_owned(), |t| format!("{}/{}/{}", t.median, t.p99, t.longest))
}

/// A value, and the power of the fit behind it.
fn with_fit(row: &Row, field: &str, value: String) -> String {
    row.fit.get(field).map_or(value.clone(), |power| format!("{value} n^{power:.2}"))
}

/// What is the same for all roles, in words.
fn happened(facts: &Facts) -> String {
    let joined = facts.joined_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
    let mut line = format!(
        "{} events everywhere after {} ms (median/99 %/longest), {} unfinished; all joined after {joined} ms",
        facts.events_measured,
        times(facts.everywhere_ms),
        facts.events_unfinished,
    );
    if facts.core == Core::Relay {
        let _ = write!(
            line,
            "; in force after {} ms, {} said too early; on the safe reading at most {}, counted at least {}; cut off {}, \
             of them on the safe reading {}",
            times(facts.in_force_ms),
            facts.said_too_early,
            facts.safe_reading_most,
            facts.counted_least,
            facts.cut_off,
            facts.cut_off_on_safe_reading,
        );
    }
    line
}

/// The table for people.
pub fn table(rows: &[Row]) -> String {
    let mut out = String::new();
    let mut run = String::new();
    for row in rows {
        let facts = &row.facts;
        let this = format!(
            "{} {} ({:?}), {} routers, {} s, seed {}",
            facts.scenario, facts.variant, facts.core, facts.routers, facts.seconds, facts.seed
        );
        if this != run {
            let _ = writeln!(out, "{this}");
            let _ = writeln!(out, "  {}", happened(facts));
            if !facts.note.is_empty() {
                let _ = writeln!(out, "  {}", facts.note);
            }
            run = this;
        }
        let _ = writeln!(
            out,
            "  {:<9} x{:<5} sends {} B/s ({} in frames), {} messages/s; receives {} B/s ({} in frames), {} messages/s; \
             processor {} s/s (busiest {:.6}); holds {} bytes",
            row.role,
            row.processes,
            with_fit(row, "sent_bytes_per_s", row.sent_bytes_per_s.to_string()),
            row.sent_frame_bytes_per_s,
            with_fit(row, "sent_messages_per_s", row.sent_messages_per_s.to_string()),
            with_fit(row, "received_bytes_per_s", row.received_bytes_per_s.to_string()),
            row.received_frame_bytes_per_s,
            with_fit(row, "received_messages_per_s", row.received_messages_per_s.to_string()),
            with_fit(row, "cpu_s_per_s", format!("{:.6}", row.cpu_s_per_s)),
            row.busiest_cpu_s_per_s,
            with_fit(row, "state_bytes", row.state_bytes.to_string()),
        );
    }
    out
}
