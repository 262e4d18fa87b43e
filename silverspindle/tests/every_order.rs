//! Exhaustive test: every order in which the events of one request can occur, up to a depth, on the real
//! director and module.

mod common;

use std::process::Command;
use std::rc::Rc;
use std::time::Instant;

use bitternhold::settings::SiteSettings;
use common::orders::{Case, Repeats, Simulation, Step};
use serde_json::{Value, json};

/// Maximum number of events in a sequence. The incident that this test guards against needs three: an attempt
/// is written, the own copy is lost, the attempt fails.
const DEPTH: usize = 5;

/// Number of attempts that a request may have.
const MAX_ATTEMPTS: usize = 3;

/// The combinations of class and limits that are tested.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for repeats in [Repeats::Freely, Repeats::InItsCell, Repeats::Never] {
        for second_copies in [true, false] {
            for (write, own_copy) in [(false, true), (false, false), (true, false)] {
                cases.push(Case { repeats, write, second_copies, own_copy, max_attempts: MAX_ATTEMPTS });
            }
        }
    }
    cases
}

fn site(settings: &Value) -> Rc<SiteSettings> {
    Rc::new(SiteSettings::parse(settings.as_object().unwrap()))
}

/// Runs every sequence that continues this one. Returns how many there were, or a description of the first
/// violation.
fn explore(
    case: Case,
    settings: &Rc<SiteSettings>,
    path: &mut Vec<Step>,
    depth: usize,
) -> Result<u64, String> {
    let mut simulation = Simulation::start(case, settings);
    path.iter().for_each(|step| simulation.perform(*step));
    let steps = if path.len() < depth { simulation.possible_steps() } else { Vec::new() };
    simulation.finish()?;
    let mut played = 1;
    for step in steps {
        path.push(step);
        played += explore(case, settings, path, depth)?;
        path.pop();
    }
    Ok(played)
}

/// The least depth at which a sequence violates a rule, with the description of the violation.
fn shallowest_violation(case: Case, settings: &Value, max_depth: usize) -> Option<(usize, String)> {
    let settings = site(settings);
    let violations =
        (1..=max_depth).map(|depth| (depth, explore(case, &settings, &mut Vec::new(), depth).err()));
    violations.filter_map(|(depth, violation)| violation.map(|description| (depth, description))).next()
}

#[test]
fn every_order_of_a_requests_events_satisfies_the_rules() {
    let started = Instant::now();
    let results: Vec<(Case, Result<u64, String>)> = std::thread::scope(|scope| {
        let start =
            |case: Case| scope.spawn(move || explore(case, &site(&case.settings()), &mut Vec::new(), DEPTH));
        let running: Vec<_> = cases().into_iter().map(|case| (case, start(case))).collect();
        running.into_iter().map(|(case, run)| (case, run.join().unwrap())).collect()
    });
    let mut total = 0;
    for (case, result) in results {
        match result {
            Ok(played) => {
                println!("{case:?}: {played} sequences");
                total += played;
            }
            Err(description) => panic!("{description}"),
        }
    }
    println!("{total} sequences of up to {DEPTH} events in {:?}", started.elapsed());
}

/// Depth up to which the tests search for a violation when a guard is disabled.
const SHALLOW_DEPTH: usize = 3;

#[test]
fn every_order_of_three_events_satisfies_the_rules() {
    for case in cases() {
        if let Some((depth, description)) = shallowest_violation(case, &case.settings(), SHALLOW_DEPTH) {
            panic!("at a depth of {depth}: {description}");
        }
    }
}

/// Runs the test above with a guard disabled by an environment variable (debug builds only) and expects it to
/// fail. The second guard, `own_copy_loss`, brings the fault of the incident back.
#[test]
fn disabling_a_refusal_guard_is_detected() {
    for (guard, depth) in [("refusal_proof", 2), ("own_copy_loss", 3)] {
        let process = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "every_order_of_three_events_satisfies_the_rules"])
            .env("SILVERSPINDLE_WITHOUT", guard)
            .output()
            .unwrap();
        let output = String::from_utf8_lossy(&process.stderr) + String::from_utf8_lossy(&process.stdout);
        let expected = format!("at a depth of {depth}: refused what may have run");
        assert!(!process.status.success() && output.contains(&expected), "without {guard}: {output}");
    }
}

/// Name of a guard, the case that is checked, the change that gives the program weaker settings, and the
/// expected violation.
type WeakenedCase = (&'static str, Case, fn(&mut Value), &'static str);

/// A program with weaker settings than the checked case behaves like one without the guard for them; the
/// checker has to find the violation.
#[test]
fn weakened_settings_are_detected() {
    let case = |repeats, write, second_copies| Case {
        repeats,
        write,
        second_copies,
        own_copy: write,
        max_attempts: MAX_ATTEMPTS,
    };
    let guards: [WeakenedCase; 6] = [
        (
            "window",
            case(Repeats::InItsCell, false, true),
            |settings| settings["classes"][0]["window_ms"] = json!(30_000),
            "sent again after the window",
        ),
        (
            "group",
            case(Repeats::InItsCell, false, true),
            |settings| settings["classes"][0]["group"] = json!("zone"),
            "sent again outside the group",
        ),
        (
            "second copies",
            case(Repeats::Freely, false, false),
            |settings| settings["limits"]["second_copies"] = json!(true),
            "two attempts out",
        ),
        (
            "effect",
            case(Repeats::Never, false, false),
            |settings| settings["classes"][0]["idempotency"] = json!("idempotent"),
            "refused what may have run",
        ),
        (
            "tries",
            Case { max_attempts: 1, ..case(Repeats::Freely, false, false) },
            |settings| settings["limits"]["try_limit"] = json!(8),
            "sent more often",
        ),
        (
            "writes are no copies",
            case(Repeats::Freely, true, false),
            |settings| settings["family_info"]["class_write"] = json!([false]),
            "a write served from a copy",
        ),
    ];
    for (guard, case, weaken, violation) in guards {
        let mut settings = case.settings();
        weaken(&mut settings);
        let found = shallowest_violation(case, &settings, SHALLOW_DEPTH);
        let (depth, description) = found.unwrap_or_else(|| panic!("without {guard}: no violation found"));
        println!("without {guard}: found at a depth of {depth}");
        assert!(description.starts_with(violation), "without {guard}: {description}");
    }
}
