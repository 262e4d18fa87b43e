//! `silverspindle try`: this program between stand-ins on loopback, in one of the rigs.

use std::rc::Rc;

use async_executor::LocalExecutor;
use silverspindle_standins::rig::hollow;
use silverspindle_standins::rig::purges::{self, Tree};
use silverspindle_standins::{SECOND, rig, soak, trial};

const MS: u64 = 1000;
/// The stated time of routers that agree, and the lease of the purge log, where the line names none.
const AGREE_WITHIN_MS: u64 = 2000;
const PURGES_WITHIN_MS: u64 = 3000;
/// Batches of the purge log come so often in a trial.
const BATCH_MS: u64 = 200;
/// Hollow routers go by what the operators' file has by default.
const HOLLOW_WITHIN_MS: u64 = 5000;
const HOLLOW_DIRECT_MS: u64 = 3000;
const HOLLOW_BATCH_MS: u64 = 500;
const HOLLOW_REPORT_MS: u64 = 1000;
/// Purges a second of the whole fleet at the target.
const HOLLOW_PURGES: u64 = 110;

/// The command's arguments.
#[derive(clap::Args)]
pub struct Line {
    /// How long traffic lasts
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Routers
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=100))]
    routers: u8,
    /// Items a second to all of them
    #[arg(long, default_value_t = 300.0)]
    rate: f64,
    /// Seed of all that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Kill the first router after so many seconds and start it again
    #[arg(long)]
    kill: Option<u64>,
    /// What is wrong around the kill
    #[arg(long, value_enum, default_value_t = Trouble::None)]
    trouble: Trouble,
    /// How it learns then
    #[arg(long, value_enum, default_value_t = Inherit::No)]
    inherit: Inherit,
    /// Drain a box, slow the head office, restart a box and purge on the way
    #[arg(long)]
    rough: bool,
    /// Signals, drains, upgrades, kills, clock steps and faulty caches drawn from the seed, judged by the protocol's rules
    #[arg(long, conflicts_with_all = ["agree", "rough", "kill"])]
    soak: bool,
    /// With --soak: another build of the program in place of this one
    #[arg(long, value_name = "FILE", requires = "soak")]
    program: Option<std::path::PathBuf>,
    /// The routers agree on decisions, with proxies between them; judged from their records
    #[arg(long)]
    agree: bool,
    /// With --agree: electors, 1, 3 or 5 (3, or 1 where there are fewer routers)
    #[arg(long)]
    electors: Option<u8>,
    /// With --agree or --purges: what goes wrong, a file of lines AT LASTS KIND or 'random' by the seed
    #[arg(long, value_name = "SCRIPT|random")]
    faults: Option<String>,
    /// With --agree: boxes are ordered out, worked on and brought back on the way
    #[arg(long)]
    work: bool,
    /// With --agree: boxes; parents are two
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=40))]
    boxes: u32,
    /// With --work: every box and parent is worked on once, by one order or by hand through the coordinator; without
    /// --work, by hand: staff change the routers' files one after the other
    #[arg(long, value_enum)]
    round: Option<Round>,
    /// With --agree: versions of rules are proposed on the way
    #[arg(long)]
    rules: bool,
    /// With --work: routers, too
    #[arg(long)]
    routers_too: bool,
    /// With --work: a router that is cut off serves on, and holds all work up
    #[arg(long)]
    hold: bool,
    /// With --agree: staff make no calls meanwhile, to measure what idle routers cost
    #[arg(long)]
    quiet: bool,
    /// With --agree or --purges: the stated time or lease, in milliseconds (2000, 3000 for purges)
    #[arg(long, value_parser = clap::value_parser!(u64).range(500..=60_000))]
    within_ms: Option<u64>,
    /// The routers take purges from relays, with proxies between all of them; judged from their records
    #[arg(long, conflicts_with = "agree")]
    purges: bool,
    /// With --purges: relays, one a zone
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=20))]
    relays: u8,
    /// With --purges: sources
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=3))]
    sources: u8,
    /// With --purges: purges and list events a second
    #[arg(long, default_value_t = 20.0)]
    events: f64,
    /// So many hollow routers, one size after the other: cores of the purge log with a connection each, several to a
    /// process, below --relays and --sources; what that costs
    #[arg(long, value_delimiter = ',', value_name = "N[,N...]", conflicts_with_all = ["agree", "purges"])]
    hollow: Vec<usize>,
    /// With --hollow: routers that one process holds
    #[arg(long, default_value_t = 400, value_parser = clap::value_parser!(u16).range(1..=2000))]
    per_process: u16,
    /// With --hollow: a row of JSON for each size
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Inherit {
    /// Not at all
    No,
    /// From the other routers
    Exchange,
    /// From its own last snapshot
    Snapshot,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Round {
    /// One order over all
    Order,
    /// One machine after the other
    Hand,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Trouble {
    /// Nothing
    None,
    /// A box stalls from five seconds before on
    Stall,
    /// The head office takes four times as long from five seconds before on
    Office,
}

/// Runs it; all that went wrong.
pub fn run(line: Line) -> Result<(), Vec<String>> {
    if line.agree {
        return agree(line);
    }
    if line.purges {
        return purges(line);
    }
    if line.soak {
        return soak(&line);
    }
    if !line.hollow.is_empty() {
        return hollow(&line);
    }
    count(line)
}

fn one(problem: String) -> Vec<String> {
    vec![format!("silverspindle: {problem}")]
}

fn io(error: std::io::Error) -> Vec<String> {
    one(error.to_string())
}

/// Plays something on an executor of its own.
fn play<T>(
    play: impl AsyncFnOnce(&Rc<LocalExecutor<'static>>) -> std::io::Result<T>,
) -> Result<T, Vec<String>> {
    let tasks = Rc::new(LocalExecutor::new());
    async_io::block_on(tasks.run(play(&tasks))).map_err(io)
}

fn soak(line: &Line) -> Result<(), Vec<String>> {
    let program = match &line.program {
        Some(program) => program.clone(),
        None => std::env::current_exe().map_err(io)?,
    };
    let (seed, seconds, routers) = (line.seed, line.seconds, usize::from(line.routers));
    let outcome = soak::run(&soak::Options { program, seed, seconds, routers }).map_err(io)?;
    print!("{}", outcome.report());
    kept(outcome.broken.is_empty())
}

fn kept(is_good: bool) -> Result<(), Vec<String>> {
    if is_good { Ok(()) } else { Err(one("a promise was broken".to_owned())) }
}

/// Faults by the seed or by a file's script.
fn faults<F>(
    named: Option<&str>,
    random: impl FnOnce() -> Vec<F>,
    script: impl FnOnce(&str) -> Result<Vec<F>, String>,
) -> Result<Vec<F>, Vec<String>> {
    match named {
        None => Ok(vec![]),
        Some("random") => Ok(random()),
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(|e| one(format!("{file}: {e}")))?;
            script(&text).map_err(|e| one(format!("{file}: {e}")))
        }
    }
}

fn agree(line: Line) -> Result<(), Vec<String>> {
    let Line { seconds, routers, rate, seed, .. } = line;
    let electors = line.electors.unwrap_or(if routers < 3 { 1 } else { 3 }).min(routers);
    let random = || rig::random(seed, routers, electors, seconds);
    let options = rig::Options {
        program: std::env::current_exe().map_err(io)?,
        routers,
        electors,
        seconds,
        seed,
        rate,
        lease: line.within_ms.unwrap_or(AGREE_WITHIN_MS) * MS,
        faults: faults(line.faults.as_deref(), random, rig::script)?,
        work: line.work,
        boxes: line.boxes,
        round: line.round.map(|round| match round {
            Round::Order => rig::Round::Order,
            Round::Hand => rig::Round::Hand,
        }),
        rules: line.rules,
        steps: "",
        least: None,
        work_routers: line.routers_too,
        hold: line.hold,
        quiet: line.quiet,
        without: None,
    };
    let outcome = play(async |tasks| rig::play(tasks, &options).await)?;
    print!("{}", rig::report(&options, &outcome));
    kept(outcome.is_good())
}

fn purges(line: Line) -> Result<(), Vec<String>> {
    let Line { seconds, seed, .. } = line;
    let tree =
        Tree { sources: line.sources.into(), relays: line.relays.into(), routers: line.routers.into() };
    let random = || purges::random(seed, &tree, seconds);
    let lease = line.within_ms.unwrap_or(PURGES_WITHIN_MS) * MS;
    let options = purges::Options {
        program: std::env::current_exe().map_err(io)?,
        tree,
        seconds,
        seed,
        rate: line.rate,
        events: line.events,
        lease,
        direct: lease * 2 / 3,
        batch: BATCH_MS * MS,
        report: lease / 6,
        children: Some(4 * usize::from(line.routers)),
        faults: faults(line.faults.as_deref(), random, |text| purges::script(text, &tree))?,
        without: None,
    };
    let outcome = play(async |tasks| purges::play(tasks, &options).await)?;
    print!("{}", purges::report(&options, &outcome));
    kept(outcome.is_good())
}

/// A row for each size; a size that does not come about ends it.
fn hollow(line: &Line) -> Result<(), Vec<String>> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let command = format!("silverspindle {}", words.join(" "));
    for routers in &line.hollow {
        let options = hollow::Options {
            program: std::env::current_exe().map_err(io)?,
            routers: *routers,
            per_process: line.per_process.into(),
            sources: line.sources.into(),
            relays: line.relays.into(),
            seconds: line.seconds,
            seed: line.seed,
            purges: HOLLOW_PURGES,
            lease: line.within_ms.unwrap_or(HOLLOW_WITHIN_MS) * MS,
            direct: HOLLOW_DIRECT_MS * MS,
            batch: HOLLOW_BATCH_MS * MS,
            report: HOLLOW_REPORT_MS * MS,
        };
        let row = play(async |tasks| hollow::measure(tasks, &options).await)?;
        match line.json {
            true => println!("{}", row.json(&command)),
            false => print!("{}", row.text()),
        }
        if !row.is_whole() {
            let why = "a purge was not everywhere, or a router was without a parent at the end";
            return Err(one(format!("{routers} hollow routers: {why}")));
        }
    }
    Ok(())
}

/// Counts every item's one final answer.
fn count(line: Line) -> Result<(), Vec<String>> {
    let Line { seconds, routers, rate, seed, .. } = line;
    let inherit = match line.inherit {
        Inherit::No => trial::Inherit::No,
        Inherit::Exchange => trial::Inherit::Exchange,
        Inherit::Snapshot => trial::Inherit::Snapshot,
    };
    let mut script = if line.rough { trial::rough(seconds) } else { Vec::new() };
    if let Some(at) = line.kill {
        let trouble = match line.trouble {
            Trouble::None => None,
            Trouble::Stall => Some((3, trial::Fault::Stall)),
            Trouble::Office => Some((trial::HEAD, trial::Fault::Slow(4.0))),
        };
        let before = at.saturating_sub(5) * SECOND;
        script.extend(trouble.map(|(whom, what)| (before, trial::Act::Fault(whom, Some(what)))));
        script.push((at * SECOND, trial::Act::Kill));
    }
    script.sort_by_key(|(at, _)| *at);
    let program = std::env::current_exe().map_err(io)?;
    let options = trial::Options { program, seconds, seed, routers, rate, inherit, script };
    let outcome = play(async |tasks| trial::trial(tasks, &options).await)?;
    print!("{}", trial::report(&outcome));
    match outcome.is_good() {
        true => Ok(()),
        false => Err(one("an item without its one final answer, or a rule broken".to_owned())),
    }
}
