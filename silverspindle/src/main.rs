//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use silverspindle::config::{Config, read_conf};
use silverspindle::knowledge::keys;
use silverspindle::{logging, serve};

const ENVIRONMENT: &str = "\
Environment:
  LB_CONFIG      the platform's configuration file, JSON
  LB_NAME        the router's name; goes before the file's 'name'
  LB_LISTEN      where clients connect; goes before the file's 'listen'
  LB_CONF        the operators' file; --conf goes before it
  LB_LOG         off, error, warn, info (the default), debug or trace
  LB_LOG_FORMAT  text (the default) or json";

/// An edge router for branch caches
#[derive(Parser)]
#[command(name = "silverspindle", version, after_help = ENVIRONMENT)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM; SIGHUP reads the configuration and the operators' file anew
    Serve {
        /// The operators' file; without it and LB_CONF all that it turns on is off
        #[arg(long, value_name = "FILE")]
        conf: Option<PathBuf>,
    },
    /// Read the platform's configuration, say what is wrong with it, and end
    CheckConfig,
    /// Read an operators' file and list all that is wrong with it
    CheckConf {
        /// The file
        file: PathBuf,
    },
    /// Print an operators' file as it takes effect, defaults filled in
    ShowConf {
        /// The file; without it that of LB_CONF, else an empty one
        file: Option<PathBuf>,
    },
    /// Keys for the exchange between routers
    #[command(subcommand)]
    Keys(Keys),
    /// Print the completion of the command line for a shell
    Completion {
        /// Which one
        shell: Shell,
    },
    /// Print the manual page
    Man,
    /// Print the version
    Version,
}

#[derive(Subcommand)]
enum Keys {
    /// Make the office's authority: authority.pem and authority.key
    Init {
        /// The folder, made where it is absent
        folder: PathBuf,
        /// Days that it holds
        #[arg(long, default_value_t = keys::AUTHORITY_DAYS)]
        days: u32,
    },
    /// Make a router's certificate and key, signed by the authority
    Issue {
        /// The authority's folder
        folder: PathBuf,
        /// The router's name
        name: String,
        /// Days that it holds
        #[arg(long, default_value_t = keys::ROUTER_DAYS)]
        days: u32,
    },
    /// Print whose a certificate is and until when it holds
    Show {
        /// The certificate's file
        file: PathBuf,
    },
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn run(command: Command) -> Result<(), Vec<String>> {
    let one = |e: String| vec![format!("silverspindle: {e}")];
    let io = |e: std::io::Error| one(e.to_string());
    let named = |file: Option<PathBuf>| file.or_else(|| environment("LB_CONF").map(PathBuf::from));
    let mut out = std::io::stdout();
    match command {
        Command::Version => println!("silverspindle {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig => {
            let config = Config::read(&environment).map_err(one)?;
            let (classes, last) = (config.catalogue.classes.join(", "), config.known.0);
            println!("{} on {}: classes {classes}; list known to event {last}", config.name, config.listen);
        }
        Command::CheckConf { file } => {
            read_conf(Some(&file))?;
            println!("{}: no faults", file.display());
        }
        Command::ShowConf { file } => print!("{}", read_conf(named(file).as_deref())?.show()),
        Command::Serve { conf } => {
            let file = named(conf);
            let config = Config::read(&environment).map_err(one)?;
            let conf = read_conf(file.as_deref())?;
            logging::start(config.level, config.json_logs);
            let again = || (Config::read(&environment), read_conf(file.as_deref()));
            serve::serve(config, conf, again).map_err(io)?;
        }
        Command::Keys(Keys::Init { folder, days }) => keys::init(&folder, days).map_err(one)?,
        Command::Keys(Keys::Issue { folder, name, days }) => {
            keys::issue(&folder, &name, days).map_err(one)?
        }
        Command::Keys(Keys::Show { file }) => print!("{}", keys::show(&file).map_err(one)?),
        Command::Completion { shell } => {
            clap_complete::generate(shell, &mut Line::command(), "silverspindle", &mut out);
        }
        Command::Man => clap_mangen::Man::new(Line::command()).render(&mut out).map_err(io)?,
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(Line::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            ExitCode::FAILURE
        }
    }
}
