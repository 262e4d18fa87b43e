//! `silverspindle fleet purge`: how far purges and list events have come.

use clap::Subcommand;
use silverspindle::distribution::staff::{Progress, Staff};
use silverspindle_conf::Conf;

#[derive(Subcommand)]
pub enum Line {
    /// Whether a number is done everywhere, and who is missing; fails unless it is. Asks all relay-source lines of the file
    Status {
        /// The coordinator's number of the event; 0: the latest
        #[arg(default_value_t = 0)]
        number: u64,
        /// Look until it is done everywhere
        #[arg(long)]
        wait: bool,
    },
}

impl Line {
    /// Carries it out.
    pub async fn run(self, conf: &Conf, json: bool) -> Result<(), String> {
        let Line::Status { number, wait } = self;
        let staff = Staff::new(conf)?;
        let tell = |progress: &Progress| match json {
            true => println!("{}", progress.json()),
            false => print!("{}", progress.text()),
        };
        if wait {
            staff.wait(number, tell).await;
            return Ok(());
        }
        let progress = staff.progress(number).await;
        tell(&progress);
        match progress.everywhere {
            Some(true) => Ok(()),
            Some(false) => Err("not everywhere yet".to_owned()),
            None => Err("not known".to_owned()),
        }
    }
}
