//! `silverspindle-lab scale`.

use std::process::ExitCode;

use clap::Args;

use super::{Core, Run, Scenario, play_all, report};

/// The command's arguments.
#[derive(Args, Clone, Debug)]
pub struct Line {
    /// Sizes, in routers; three or more give fits
    #[arg(long, required = true, value_delimiter = ',', value_parser = clap::value_parser!(u32).range(1..=20_000))]
    routers: Vec<u32>,
    /// What happens
    #[arg(long, required = true, value_enum, value_delimiter = ',')]
    scenario: Vec<Scenario>,
    /// Simulated seconds that are measured, after the warm-up
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=7200))]
    seconds: u64,
    /// For all that is drawn: the same one gives the same rows, but for processor time
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A line of JSON for each row, in place of the table
    #[arg(long)]
    json: bool,
    /// One core alone
    #[arg(long, value_enum)]
    core: Option<Core>,
    /// Runs at a time; more than one makes processor times less sure
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=4))]
    threads: u8,
}

impl Line {
    /// The runs that it asks for.
    pub fn runs(&self) -> Vec<Run> {
        let of = |scenario: &Scenario| {
            let scenario = *scenario;
            self.routers.iter().map(move |routers| Run {
                routers: *routers as usize,
                scenario,
                seconds: self.seconds,
                seed: self.seed,
            })
        };
        self.scenario.iter().flat_map(of).collect()
    }

    /// Plays them and prints the rows. 1: a source called a number everywhere before it was so.
    pub fn run(&self) -> ExitCode {
        let mut rows = play_all(&self.runs(), self.core, usize::from(self.threads));
        let command: Vec<String> = std::env::args().skip(1).collect();
        rows.iter_mut().for_each(|row| row.command = format!("silverspindle-lab {}", command.join(" ")));
        match self.json {
            true => rows.iter().for_each(|row| println!("{}", row.json())),
            false => print!("{}", report::table(&rows)),
        }
        match rows.iter().any(|row| row.said_too_early > 0) {
            true => ExitCode::FAILURE,
            false => ExitCode::SUCCESS,
        }
    }
}
