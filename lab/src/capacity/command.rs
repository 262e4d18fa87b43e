//! `silverspindle-lab capacity`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

use super::data::Fault;
use super::{PAGE, render, rendered, work_out};

/// The command's arguments. Without any of them the ranking is printed.
#[derive(Args, Clone, Debug)]
pub struct Line {
    /// Exit with 1 where the page's tables are not what the figures give
    #[arg(long, conflicts_with = "write")]
    check: bool,
    /// Write the tables into the page
    #[arg(long)]
    write: bool,
    /// Where the page and its data file are
    #[arg(long, default_value = "docs")]
    docs: PathBuf,
}

impl Line {
    /// Does it. 1: the page is another one, or a file can't be read.
    pub fn run(&self) -> ExitCode {
        match self.act() {
            Ok(code) => code,
            Err(fault) => {
                eprintln!("{fault}");
                ExitCode::FAILURE
            }
        }
    }

    fn act(&self) -> Result<ExitCode, Fault> {
        if !self.check && !self.write {
            let (_, book) = work_out(&self.docs)?;
            print!("{}\n{}", render::ranking(&book), render::origins(&book));
            return Ok(ExitCode::SUCCESS);
        }
        let (page, wanted) = rendered(&self.docs)?;
        if page == wanted {
            return Ok(ExitCode::SUCCESS);
        }
        let path = self.docs.join(PAGE);
        if self.check {
            eprintln!(
                "{}: the tables are not what the figures give; `capacity --write` writes them",
                path.display()
            );
            return Ok(ExitCode::FAILURE);
        }
        std::fs::write(&path, wanted).map_err(|error| Fault::File { path, error: error.to_string() })?;
        Ok(ExitCode::SUCCESS)
    }
}
