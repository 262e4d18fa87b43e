//! `silverspindle try`: runs this program between stand-ins on loopback, in one of the test rigs.

use std::rc::Rc;

use async_executor::LocalExecutor;
use silverspindle_standins::rig::hollow;
use silverspindle_standins::rig::purges::{self, Tree};
use silverspindle_standins::{SECOND, rig, soak, trial};

/// Microseconds in a millisecond.
const MS: u64 = 1000;
/// Default lease of the agreement, in milliseconds.
const AGREE_LEASE_MS: u64 = 2000;
/// Default lease of the purge log, in milliseconds.
const PURGES_LEASE_MS: u64 = 3000;
/// Interval of the batches of the purge log in a trial, in milliseconds.
const PURGES_BATCH_MS: u64 = 200;
/// Default lease of hollow routers, in milliseconds. This and the next three are the defaults of the
/// operators' file.
const HOLLOW_LEASE_MS: u64 = 5000;
/// Lease of a hollow router that follows the coordinator directly, in milliseconds.
const HOLLOW_DIRECT_LEASE_MS: u64 = 3000;
/// Minimum interval between the batches sent to hollow routers, in milliseconds.
const HOLLOW_BATCH_MS: u64 = 500;
/// Interval of the reports of a hollow router, in milliseconds.
const HOLLOW_REPORT_MS: u64 = 1000;
/// Purges per second of the whole fleet at the target size.
const HOLLOW_PURGES_PER_S: u64 = 110;

/// Arguments of `silverspindle try`.
#[derive(clap::Args)]
pub struct TryArgs {
    /// Duration of the traffic in seconds
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of routers
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=100))]
    routers: u8,
    /// Items per second, to all routers together
    #[arg(long, default_value_t = 300.0)]
    rate: f64,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Kill the first router after this number of seconds and start it again
    #[arg(long)]
    kill: Option<u64>,
    /// Fault that is present around the kill
    #[arg(long, value_enum, default_value_t = Trouble::None)]
    trouble: Trouble,
    /// Where the restarted router gets its knowledge from
    #[arg(long, value_enum, default_value_t = Inherit::No)]
    inherit: Inherit,
    /// During the traffic, drain a box, slow down the head office, restart a box, purge a group and stall a
    /// box
    #[arg(long)]
    rough: bool,
    /// Signals, drains, upgrades, kills, clock steps and faulty caches chosen by the seed, checked against
    /// the protocol's rules
    #[arg(long, conflicts_with_all = ["agree", "rough", "kill"])]
    soak: bool,
    /// With --soak: run another build of the program instead of this one
    #[arg(long, value_name = "FILE", requires = "soak")]
    program: Option<std::path::PathBuf>,
    /// Let the routers agree on decisions, with proxies between them, and check the records that they write
    #[arg(long)]
    agree: bool,
    /// With --agree: number of electors, 1, 3 or 5 (default 3, or 1 with fewer than 3 routers)
    #[arg(long)]
    electors: Option<u8>,
    /// With --agree or --purges: faults to inject, a file of lines AT LASTS KIND, or 'random' to draw them by
    /// the seed
    #[arg(long, value_name = "SCRIPT|random")]
    faults: Option<String>,
    /// With --agree: order boxes out of service, work on them and bring them back during the traffic
    #[arg(long)]
    work: bool,
    /// With --agree: number of boxes; there are always two parents
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=40))]
    boxes: u32,
    /// With --work: work on every box and parent once, by a single order or by hand through the coordinator;
    /// without --work, 'hand' lets operators change the routers' files one after the other
    #[arg(long, value_enum)]
    round: Option<Round>,
    /// With --agree: propose versions of the rules during the traffic
    #[arg(long)]
    rules: bool,
    /// With --work: order routers out as well
    #[arg(long)]
    routers_too: bool,
    /// With --work: a router that is cut off keeps serving, and holds up all work
    #[arg(long)]
    hold: bool,
    /// With --agree: operators make no calls, to measure the cost of idle routers
    #[arg(long)]
    quiet: bool,
    /// With --agree or --purges: the lease in milliseconds (default 2000, 3000 for purges)
    #[arg(long, value_parser = clap::value_parser!(u64).range(500..=60_000))]
    within_ms: Option<u64>,
    /// Let the routers receive purges from relays, with proxies between all of them, and check the records
    /// that they write
    #[arg(long, conflicts_with = "agree")]
    purges: bool,
    /// With --purges: number of relays, one per zone
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=20))]
    relays: u8,
    /// With --purges: number of sources
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=3))]
    sources: u8,
    /// With --purges: purges and list events per second
    #[arg(long, default_value_t = 20.0)]
    events: f64,
    /// Measure the cost of these numbers of hollow routers, one after the other. A hollow router is the core
    /// of the purge log with a connection of its own; several share a process, below --relays and --sources
    #[arg(long, value_delimiter = ',', value_name = "N[,N...]", conflicts_with_all = ["agree", "purges"])]
    hollow: Vec<usize>,
    /// With --hollow: number of routers per process
    #[arg(long, default_value_t = 400, value_parser = clap::value_parser!(u16).range(1..=2000))]
    per_process: u16,
    /// With --hollow: print a line of JSON for each size
    #[arg(long)]
    json: bool,
}

/// Where a restarted router gets its knowledge from.
#[derive(Clone, Copy, clap::ValueEnum)]
enum Inherit {
    /// Nowhere
    No,
    /// From the other routers
    Exchange,
    /// From its own last snapshot
    Snapshot,
}

/// How every machine is worked on once.
#[derive(Clone, Copy, clap::ValueEnum)]
enum Round {
    /// A single order for all machines
    Order,
    /// By hand, one machine after the other
    Hand,
}

/// Fault that is present around the kill.
#[derive(Clone, Copy, clap::ValueEnum)]
enum Trouble {
    /// No fault
    None,
    /// A box stalls, starting five seconds before the kill
    Stall,
    /// The head office takes four times as long, starting five seconds before the kill
    Office,
}

/// Runs the trial; on failure returns the lines for standard error.
pub fn run(args: TryArgs) -> Result<(), Vec<String>> {
    if args.agree {
        return agree(args);
    }
    if args.purges {
        return purges(args);
    }
    if args.soak {
        return soak(&args);
    }
    if !args.hollow.is_empty() {
        return hollow(&args);
    }
    check_final_answers(args)
}

/// Returns a single problem as the lines for standard error.
fn problem_lines(problem: String) -> Vec<String> {
    vec![format!("silverspindle: {problem}")]
}

fn io_problem(error: std::io::Error) -> Vec<String> {
    problem_lines(error.to_string())
}

/// Runs a trial on an executor of its own.
fn run_on_executor<T>(
    trial: impl AsyncFnOnce(&Rc<LocalExecutor<'static>>) -> std::io::Result<T>,
) -> Result<T, Vec<String>> {
    let tasks = Rc::new(LocalExecutor::new());
    async_io::block_on(tasks.run(trial(&tasks))).map_err(io_problem)
}

/// Runs a soak and prints its report.
fn soak(args: &TryArgs) -> Result<(), Vec<String>> {
    let program = match &args.program {
        Some(program) => program.clone(),
        None => std::env::current_exe().map_err(io_problem)?,
    };
    let (seed, seconds, routers) = (args.seed, args.seconds, usize::from(args.routers));
    let outcome = soak::run(&soak::Options { program, seed, seconds, routers }).map_err(io_problem)?;
    print!("{}", outcome.report());
    check_promises(outcome.broken.is_empty())
}

/// Fails if a promise of the protocol was broken.
fn check_promises(is_good: bool) -> Result<(), Vec<String>> {
    if is_good { Ok(()) } else { Err(problem_lines("a promise was broken".to_owned())) }
}

/// Returns the faults to inject: none, random ones, or those of a script file.
fn faults<F>(
    named: Option<&str>,
    random: impl FnOnce() -> Vec<F>,
    script: impl FnOnce(&str) -> Result<Vec<F>, String>,
) -> Result<Vec<F>, Vec<String>> {
    match named {
        None => Ok(vec![]),
        Some("random") => Ok(random()),
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(|e| problem_lines(format!("{file}: {e}")))?;
            script(&text).map_err(|e| problem_lines(format!("{file}: {e}")))
        }
    }
}

/// Runs routers that agree on decisions and prints the report.
fn agree(args: TryArgs) -> Result<(), Vec<String>> {
    let TryArgs { seconds, routers, rate, seed, .. } = args;
    let electors = args.electors.unwrap_or(if routers < 3 { 1 } else { 3 }).min(routers);
    let random = || rig::random(seed, routers, electors, seconds);
    let options = rig::Options {
        program: std::env::current_exe().map_err(io_problem)?,
        routers,
        electors,
        seconds,
        seed,
        rate,
        lease: args.within_ms.unwrap_or(AGREE_LEASE_MS) * MS,
        faults: faults(args.faults.as_deref(), random, rig::script)?,
        work: args.work,
        boxes: args.boxes,
        round: args.round.map(|round| match round {
            Round::Order => rig::Round::Order,
            Round::Hand => rig::Round::Hand,
        }),
        rules: args.rules,
        steps: "",
        least: None,
        work_routers: args.routers_too,
        hold: args.hold,
        quiet: args.quiet,
        without: None,
    };
    let outcome = run_on_executor(async |tasks| rig::play(tasks, &options).await)?;
    print!("{}", rig::report(&options, &outcome));
    check_promises(outcome.is_good())
}

/// Runs routers that receive purges from relays and prints the report.
fn purges(args: TryArgs) -> Result<(), Vec<String>> {
    let TryArgs { seconds, seed, .. } = args;
    let tree =
        Tree { sources: args.sources.into(), relays: args.relays.into(), routers: args.routers.into() };
    let random = || purges::random(seed, &tree, seconds);
    let lease = args.within_ms.unwrap_or(PURGES_LEASE_MS) * MS;
    let options = purges::Options {
        program: std::env::current_exe().map_err(io_problem)?,
        tree,
        seconds,
        seed,
        rate: args.rate,
        events: args.events,
        lease,
        direct: lease * 2 / 3,
        batch: PURGES_BATCH_MS * MS,
        report: lease / 6,
        children: Some(4 * usize::from(args.routers)),
        faults: faults(args.faults.as_deref(), random, |text| purges::script(text, &tree))?,
        without: None,
    };
    let outcome = run_on_executor(async |tasks| purges::play(tasks, &options).await)?;
    print!("{}", purges::report(&options, &outcome));
    check_promises(outcome.is_good())
}

/// Measures and prints each size of hollow routers; stops at the first size that fails.
fn hollow(args: &TryArgs) -> Result<(), Vec<String>> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let command = format!("silverspindle {}", words.join(" "));
    for routers in &args.hollow {
        let options = hollow::Options {
            program: std::env::current_exe().map_err(io_problem)?,
            routers: *routers,
            per_process: args.per_process.into(),
            sources: args.sources.into(),
            relays: args.relays.into(),
            seconds: args.seconds,
            seed: args.seed,
            purges: HOLLOW_PURGES_PER_S,
            lease: args.within_ms.unwrap_or(HOLLOW_LEASE_MS) * MS,
            direct: HOLLOW_DIRECT_LEASE_MS * MS,
            batch: HOLLOW_BATCH_MS * MS,
            report: HOLLOW_REPORT_MS * MS,
        };
        let row = run_on_executor(async |tasks| hollow::measure(tasks, &options).await)?;
        match args.json {
            true => println!("{}", row.json(&command)),
            false => print!("{}", row.text()),
        }
        if !row.is_whole() {
            let why = "a purge did not reach all routers, or a router had no parent at the end";
            return Err(problem_lines(format!("{routers} hollow routers: {why}")));
        }
    }
    Ok(())
}

/// Runs a trial that checks that every item gets exactly one final answer.
fn check_final_answers(args: TryArgs) -> Result<(), Vec<String>> {
    let TryArgs { seconds, routers, rate, seed, .. } = args;
    let inherit = match args.inherit {
        Inherit::No => trial::Inherit::No,
        Inherit::Exchange => trial::Inherit::Exchange,
        Inherit::Snapshot => trial::Inherit::Snapshot,
    };
    let mut script = if args.rough { trial::rough(seconds) } else { Vec::new() };
    if let Some(at) = args.kill {
        let trouble = match args.trouble {
            Trouble::None => None,
            Trouble::Stall => Some((3, trial::Fault::Stall)),
            Trouble::Office => Some((trial::HEAD, trial::Fault::Slow(4.0))),
        };
        let before = at.saturating_sub(5) * SECOND;
        script.extend(trouble.map(|(member, fault)| (before, trial::Act::Fault(member, Some(fault)))));
        script.push((at * SECOND, trial::Act::Kill));
    }
    script.sort_by_key(|(at, _)| *at);
    let program = std::env::current_exe().map_err(io_problem)?;
    let options = trial::Options { program, seconds, seed, routers, rate, inherit, script };
    let outcome = run_on_executor(async |tasks| trial::trial(tasks, &options).await)?;
    print!("{}", trial::report(&outcome));
    match outcome.is_good() {
        true => Ok(()),
        false => Err(problem_lines(
            "an item did not get exactly one final answer, or a rule was broken".to_owned(),
        )),
    }
}
