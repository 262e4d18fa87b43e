//! The lab's command line.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use clap::{Parser, Subcommand, ValueEnum};
use silverspindle_lab::cost;
use silverspindle_lab::swarm::{self, Options, Without};

/// Many routers' real cores on a made-up clock and network
#[derive(Parser)]
#[command(name = "silverspindle-lab", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A while without faults, a decision a second: how long one takes to reach all, and what is sent
    Calm {
        /// Routers
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(1..=2000))]
        routers: u16,
        /// Electors
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=5))]
        electors: u16,
        /// Simulated seconds
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Seeds, the last not among them
        #[arg(long, value_parser = seeds, default_value = "0..5")]
        seeds: Range<u64>,
        /// Versions of rules on the way
        #[arg(long)]
        rules: bool,
    },
    /// What a plan over a fleet and a change of rules cost, in time of this machine and in bytes
    Cost {
        /// Routers on the roll
        #[arg(long, default_value_t = 300)]
        routers: u32,
        /// Boxes
        #[arg(long, default_value_t = 200)]
        boxes: u32,
        /// Entries of a version's lists
        #[arg(long, default_value_t = 1000)]
        entries: u32,
    },
    /// Short runs with faults by seed, checked at every event; exits with 1 where one breaks
    Swarm {
        /// Which routers' part
        what: What,
        /// Seeds, the last not among them
        #[arg(long, value_parser = seeds, default_value = "0..1000")]
        seeds: Range<u64>,
        /// Routers; the first 1, 3 or 5 are electors, by the seed; of purges, besides sources and relays
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=2000))]
        routers: u16,
        /// Take a guard out of the routers: the checks must then find a breach
        #[arg(long)]
        without: Option<Without>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum What {
    /// The log of decisions and its confirmation
    Agreement,
    /// Machines taken out for work, on top of it
    Work,
    /// Versions of settings and lists, on top of it
    Rules,
    /// Purges over relays: log, watermark, lease
    Purges,
}

fn seeds(text: &str) -> Result<Range<u64>, String> {
    let parts = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parts.filter(|range: &Range<u64>| !range.is_empty()).ok_or_else(|| "takes A..B, as in 0..1000".to_owned())
}

fn main() -> ExitCode {
    let (what, seeds, routers, without) = match Line::parse().command {
        Command::Swarm { what, seeds, routers, without } => (what, seeds, routers, without),
        Command::Cost { routers, boxes, entries } => {
            print!("{}", cost::all(routers, boxes, entries));
            return ExitCode::SUCCESS;
        }
        Command::Calm { routers, electors, seconds, seeds, rules } => {
            for seed in seeds {
                let (routers, electors) = (usize::from(routers), usize::from(electors.min(routers)));
                let began = Instant::now();
                println!("{}", swarm::calm(routers, electors, seconds * 1_000_000, seed, rules));
                println!("  {:.1} s of this machine's time", began.elapsed().as_secs_f64());
            }
            return ExitCode::SUCCESS;
        }
    };
    let (work, rules) = (matches!(what, What::Work), matches!(what, What::Rules));
    let purges = matches!(what, What::Purges);
    let options = Options { routers: usize::from(routers), without, calm: None, work, rules, purges };
    let began = Instant::now();
    let all = swarm::many(seeds.clone(), &options);
    let took = began.elapsed().as_secs_f64();
    println!("{}", if purges { swarm::purges::summary(&all) } else { all.summary() });
    println!("{:.0} seeds a second, {took:.1} s", all.runs as f64 / took);
    let Some((seed, broken)) = &all.first else { return ExitCode::SUCCESS };
    let (electors, faults) = swarm::scenario(*seed, &options);
    let heads = if purges { "sources" } else { "electors" };
    println!("seed {seed}, {electors} {heads}: {broken}");
    let fewest = swarm::shrink(*seed, &options, electors, faults);
    println!("shortest scenario, {} faults:", fewest.len());
    fewest.iter().for_each(|fault| println!("  {fault}"));
    if let Some(broken) = swarm::play(*seed, &options, electors, &fewest).broken {
        println!("  {broken}");
    }
    ExitCode::FAILURE
}
