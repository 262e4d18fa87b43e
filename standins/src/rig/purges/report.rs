//! What a run of the purge log's rig came to, for a person.

use std::fmt::Write as _;

use super::{Options, Outcome};
use crate::Micros;

const MS: Micros = 1000;
/// Breaches that are printed.
const SHOWN: usize = 10;

/// Lines for a person; each broken promise begins with BROKEN.
pub fn report(options: &Options, outcome: &Outcome) -> String {
    let mut out = String::new();
    for fault in &options.faults {
        let _ = writeln!(out, "{} ms for {} ms: {:?}", fault.at / MS, fault.lasts / MS, fault.kind);
    }
    summary(&mut out, options, outcome);
    routers(&mut out, outcome);
    for (node, account) in &outcome.accounts {
        let share = 100.0 * account.used as f64 / account.ran.max(1) as f64;
        let _ = writeln!(out, "{node}: {share:.2} % of a core, {} kB at most", account.peak);
    }
    let problems = outcome.findings.breaches.iter().take(SHOWN).chain(outcome.stale.iter().take(SHOWN));
    for problem in problems.chain(&outcome.failures) {
        let _ = writeln!(out, "BROKEN: {problem}");
    }
    let hidden = [&outcome.findings.breaches, &outcome.stale].map(|all| all.len().saturating_sub(SHOWN));
    if hidden.iter().sum::<usize>() > 0 {
        let _ = writeln!(out, "BROKEN: {} more by the records, {} more by clients", hidden[0], hidden[1]);
    }
    out
}

fn summary(out: &mut String, options: &Options, outcome: &Outcome) {
    let found = &outcome.findings;
    let (purges, lists) = outcome.told;
    let _ = writeln!(
        out,
        "{purges} purges and {lists} list events told; {} records applied in {} batches, {} resets",
        found.applied, found.batches, found.resets
    );
    let modes: Vec<String> = found.attempts.iter().map(|(mode, count)| format!("{count} {mode}")).collect();
    let _ = writeln!(
        out,
        "attempts: {}; longest after a purge not applied, without a limit: {} ms of {} ms",
        modes.join(", "),
        found.worst / MS,
        options.stated() / MS
    );
    let [everywhere, not_yet, unknown] = outcome.answers;
    let times = &outcome.to_everywhere;
    let part = |share: usize| times.get(times.len() * share / 100).copied().unwrap_or(0) / MS;
    let _ = writeln!(
        out,
        "staff asked: {everywhere} times everywhere, {not_yet} not yet, {unknown} not known; {} purges known everywhere; \
         median {} ms, longest {} ms, with the questions' pace",
        found.everywhere,
        part(50),
        times.last().copied().unwrap_or(0) / MS
    );
    let _ = writeln!(out, "healed to a new purge everywhere {} ms", outcome.recovered / MS);
}

fn routers(out: &mut String, outcome: &Outcome) {
    for (n, (tally, touched)) in outcome.tallies.iter().enumerate() {
        let _ = writeln!(
            out,
            "n{n}: {} items, {} served, {} refused, {} failed, {} cut, {} lost, {} wrong{}",
            tally.sent,
            tally.served,
            tally.refused,
            tally.failed,
            tally.cut,
            tally.lost,
            tally.wrong,
            if *touched { " (it was killed or frozen)" } else { "" }
        );
    }
}
