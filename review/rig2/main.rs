//! Stand-ins of the second review: caches, a parent, the origin, a coordinator and clients, on loopback addresses and the
//! real clock. Only the standard library is used. `rig CASE FOLDER` plays one case against the program that the deploy
//! file starts, writes FOLDER/record.txt and exits with 0 (the rule held), 1 (it was broken) or 2 (the case couldn't run).
//! Environment: ROOT (the repository), RUN (the deploy file's `run`), TROUBLE (0: without the disruption).

mod cases;
mod world;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: rig CASE FOLDER");
        exit(2);
    };
    // A case ends within 120 s; the program it started is ended by case.sh then.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        eprintln!("the case took too long");
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = cases::play(case, folder, trouble);
    match result {
        Ok(verdict) => {
            println!("{}", if verdict { "held" } else { "BROKEN" });
            exit(if verdict { 0 } else { 1 });
        }
        Err(e) => {
            eprintln!("could not run: {e}");
            exit(2);
        }
    }
}
