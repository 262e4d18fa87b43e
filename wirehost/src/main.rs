//! Adapter between the simulator and directors: reads batches of events from standard input, passes each event to the
//! instance that it names, and writes the resulting actions to standard output. It makes no decision itself.

mod codec;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = codec::Host::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    let mut reply = String::new();
    for line in io::stdin().lock().lines() {
        let result = line.map_err(|e| e.to_string()).and_then(|line| {
            if line.trim().is_empty() {
                return Ok(());
            }
            host.batch(&line, &mut reply)?;
            out.write_all(reply.as_bytes()).and_then(|()| out.flush()).map_err(|e| e.to_string())
        });
        if let Err(problem) = result {
            eprintln!("bitternhold-wirehost: {problem}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
