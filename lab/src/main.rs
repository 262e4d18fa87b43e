//! The lab's command line.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use clap::{Parser, Subcommand, ValueEnum};
use serde::Serialize;
use silverspindle_lab::data_path::{self, filter};
use silverspindle_lab::swarm::{self, Options, Without};
use silverspindle_lab::{capacity, cost, scale};

/// Many routers' real cores on a made-up clock and network
#[derive(Parser)]
#[command(name = "silverspindle-lab", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The capacity page's tables, worked out from its data file and the measured lines that it names
    Capacity(capacity::command::Line),
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
    /// Processor time a request and a purge, and bytes of state, by size, with a fit
    DataPath {
        /// Listed caches, listed parents
        #[arg(long, value_delimiter = ',', default_value = "10,100,400,1300", value_parser = clap::value_parser!(u64).range(1..=5000))]
        members: Vec<u64>,
        /// Purges a second
        #[arg(long, value_delimiter = ',', default_value = "10,110,1000", value_parser = clap::value_parser!(u64).range(1..=5000))]
        purges: Vec<u64>,
        /// A row a line as JSON
        #[arg(long)]
        json: bool,
    },
    /// What the filter of seen objects tells at the peak, by the size of its generations
    Filter {
        /// Ids of a generation
        #[arg(long, value_delimiter = ',', default_value = "4096,16384,65536,262144,1048576,4194304", value_parser = clap::value_parser!(u64).range(1..=100_000_000))]
        generations: Vec<u64>,
        /// Exponents of the Zipf law by which objects are asked for
        #[arg(long, value_delimiter = ',', default_value = "0.7,0.9,1.0")]
        exponents: Vec<f64>,
        /// Copies that one cache holds
        #[arg(long, value_delimiter = ',', default_value = "125000,1250000", value_parser = clap::value_parser!(u64).range(1..=10_000_000))]
        rooms: Vec<u64>,
        /// Simulated seconds
        #[arg(long, default_value_t = 4_000, value_parser = clap::value_parser!(u64).range(4..=100_000))]
        seconds: u64,
        /// For all that is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// What control costs as a fleet grows: a row for each size and role
    Scale(scale::command::Line),
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

/// A row a line as JSON.
fn print_json(rows: &[impl Serialize]) -> ExitCode {
    for row in rows {
        match serde_json::to_string(row) {
            Ok(line) => println!("{line}"),
            Err(problem) => {
                eprintln!("a row can't be written: {problem}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn data_path(members: Vec<u64>, purges: Vec<u64>, json: bool) -> ExitCode {
    let rows = data_path::measure(&data_path::Sizes { members, purges });
    if json {
        return print_json(&rows);
    }
    rows.iter().for_each(|row| println!("{row}"));
    ExitCode::SUCCESS
}

fn filter(options: &filter::Options) -> ExitCode {
    match filter::measure(options) {
        Ok(shares) => print_json(&shares),
        Err(problem) => {
            eprintln!("filter: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let (what, seeds, routers, without) = match Line::parse().command {
        Command::Swarm { what, seeds, routers, without } => (what, seeds, routers, without),
        Command::Capacity(line) => return line.run(),
        Command::Scale(line) => return line.run(),
        Command::Cost { routers, boxes, entries } => {
            print!("{}", cost::all(routers, boxes, entries));
            return ExitCode::SUCCESS;
        }
        Command::DataPath { members, purges, json } => return data_path(members, purges, json),
        Command::Filter { generations, exponents, rooms, seconds, seed } => {
            return filter(&filter::Options { generations, exponents, rooms, seconds, seed });
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
