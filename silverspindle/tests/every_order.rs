//! Exhaustive test: every order in which the events of one request can occur, up to a depth, on the real
//! director and module.

mod common;

use std::process::Command;
use std::rc::Rc;
use std::time::Instant;

use bitternhold::settings::SiteSettings;
use common::orders::{Case, Play, Repeats, Step};
use serde_json::{Value, json};

/// Maximum number of events in a sequence. The incident that this test guards against needs three: an attempt
/// is written, the own copy is lost, the attempt fails.
const DEPTH: usize = 5;

/// Number of attempts that a request may have.
const TRIES: usize = 3;

/// The combinations of class and limits that are tested.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for repeats in [Repeats::Freely, Repeats::InItsCell, Repeats::Never] {
        for second_copies in [true, false] {
            for (write, own_copy) in [(false, true), (false, false), (true, false)] {
                cases.push(Case { repeats, write, second_copies, own_copy, tries: TRIES });
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
    program: &Rc<SiteSettings>,
    path: &mut Vec<Step>,
    depth: usize,
) -> Result<u64, String> {
    let mut play = Play::start(case, program);
    path.iter().for_each(|step| play.take(*step));
    let steps = if path.len() < depth { play.steps() } else { Vec::new() };
    play.run_out()?;
    let mut played = 1;
    for step in steps {
        path.push(step);
        played += explore(case, program, path, depth)?;
        path.pop();
    }
    Ok(played)
}

/// The least depth at which a sequence violates a rule, with the description of the violation.
fn shallowest_fault(case: Case, program: &Value, most: usize) -> Option<(usize, String)> {
    let program = site(program);
    let faults = (1..=most).map(|depth| (depth, explore(case, &program, &mut Vec::new(), depth).err()));
    faults.filter_map(|(depth, fault)| fault.map(|story| (depth, story))).next()
}

#[test]
fn every_order_of_a_requests_events_keeps_the_rules() {
    let began = Instant::now();
    let played: Vec<(Case, Result<u64, String>)> = std::thread::scope(|scope| {
        let play =
            |case: Case| scope.spawn(move || explore(case, &site(&case.settings()), &mut Vec::new(), DEPTH));
        let running: Vec<_> = cases().into_iter().map(|case| (case, play(case))).collect();
        running.into_iter().map(|(case, run)| (case, run.join().unwrap())).collect()
    });
    let mut all = 0;
    for (case, result) in played {
        match result {
            Ok(played) => {
                println!("{case:?}: {played} sequences");
                all += played;
            }
            Err(story) => panic!("{story}"),
        }
    }
    println!("{all} sequences of up to {DEPTH} events in {:?}", began.elapsed());
}

/// Depth up to which the tests search for a violation when a guard is disabled.
const SHALLOW: usize = 3;

#[test]
fn every_order_of_three_events_keeps_the_rules() {
    for case in cases() {
        if let Some((depth, story)) = shallowest_fault(case, &case.settings(), SHALLOW) {
            panic!("at a depth of {depth}: {story}");
        }
    }
}

/// Runs the test above with a guard disabled by an environment variable (debug builds only) and expects it to
/// fail. The second guard, `own_copy_loss`, brings the fault of the incident back.
#[test]
fn a_refusal_without_proof_is_found() {
    for (guard, depth) in [("refusal_proof", 2), ("own_copy_loss", 3)] {
        let out = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "every_order_of_three_events_keeps_the_rules"])
            .env("SILVERSPINDLE_WITHOUT", guard)
            .output()
            .unwrap();
        let said = String::from_utf8_lossy(&out.stderr) + String::from_utf8_lossy(&out.stdout);
        let found = format!("at a depth of {depth}: refused what may have run");
        assert!(!out.status.success() && said.contains(&found), "without {guard}: {said}");
    }
}

/// Name of a guard, the case that is checked, the change that gives the program weaker settings, and the
/// expected violation.
type WithoutGuard = (&'static str, Case, fn(&mut Value), &'static str);

/// A program with weaker settings than the checked case behaves like one without the guard for them; the
/// checker has to find the violation.
#[test]
fn a_program_without_a_guard_is_found() {
    let case =
        |repeats, write, second_copies| Case { repeats, write, second_copies, own_copy: write, tries: TRIES };
    let guards: [WithoutGuard; 6] = [
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
            Case { tries: 1, ..case(Repeats::Freely, false, false) },
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
    for (guard, case, take_out, fault) in guards {
        let mut program = case.settings();
        take_out(&mut program);
        let found = shallowest_fault(case, &program, SHALLOW);
        let (depth, story) = found.unwrap_or_else(|| panic!("without {guard}: not found"));
        println!("without {guard}: found at a depth of {depth}");
        assert!(story.starts_with(fault), "without {guard}: {story}");
    }
}
