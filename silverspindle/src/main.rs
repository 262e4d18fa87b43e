//! The command line.

use std::process::ExitCode;

use silverspindle::config::Config;
use silverspindle::{logging, serve};

const HELP: &str = "\
silverspindle: an edge router for branch caches

usage: silverspindle COMMAND

  serve         serve clients until SIGTERM; SIGHUP reads the configuration anew
  check-config  read the configuration, say what is wrong with it, and end
  version       print the version
  help          print this

environment:
  LB_CONFIG  the configuration file, JSON
  LB_NAME    the router's name; goes before the file's 'name'
  LB_LISTEN  where clients connect; goes before the file's 'listen'
  LB_LOG     off, error, warn, info (the default), debug or trace
";

fn run() -> Result<(), String> {
    let mut args = pico_args::Arguments::from_env();
    let help = args.contains(["-h", "--help"]);
    let command = args.subcommand().map_err(|e| e.to_string())?;
    if let Some(extra) = args.finish().first() {
        return Err(format!("unknown argument {extra:?}; see 'silverspindle help'"));
    }
    let environment = |name: &str| std::env::var(name).ok();
    match command.as_deref() {
        _ if help => print!("{HELP}"),
        Some("help") => print!("{HELP}"),
        Some("version") => println!("silverspindle {}", env!("CARGO_PKG_VERSION")),
        Some("check-config") => {
            let config = Config::read(&environment)?;
            let (classes, last) = (config.catalogue.classes.join(", "), config.known.0);
            println!("{} on {}: classes {classes}; list known to event {last}", config.name, config.listen);
        }
        Some("serve") => {
            let config = Config::read(&environment)?;
            logging::start(config.level);
            serve::serve(config, || Config::read(&environment)).map_err(|e| e.to_string())?;
        }
        Some(other) => return Err(format!("unknown command {other:?}; see 'silverspindle help'")),
        None => return Err("no command; see 'silverspindle help'".to_owned()),
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("silverspindle: {problem}");
            ExitCode::FAILURE
        }
    }
}
