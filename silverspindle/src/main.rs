//! Command line of the program `silverspindle`.

mod purge;
mod trials;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use silverspindle::agreement::staff::{self, Say, Staff};
use silverspindle::agreement::store::draw;
use silverspindle::config::{Config, read_conf};
use silverspindle::knowledge::keys;
use silverspindle::{logging, serve};
use silverspindle_agreement::{Change, ProposalId, Reply, Verdict};
use silverspindle_rules::{Rules, Trial, Way};
use silverspindle_work::{Machine, Stage};

/// Text after the help: the environment variables.
const ENVIRONMENT: &str = "\
Environment:
  LB_CONFIG      the platform's configuration file, in JSON
  LB_NAME        the router's name; overrides the file's 'name'
  LB_LISTEN      the address on which clients connect; overrides the file's 'listen'
  LB_CONF        the operators' file; overridden by --conf
  LB_LOG         off, error, warn, info (the default), debug or trace
  LB_LOG_FORMAT  text (the default) or json";

/// An edge router for branch caches
#[derive(Parser)]
#[command(name = "silverspindle", version, after_help = ENVIRONMENT)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM; SIGHUP reloads the configuration and the operators' file
    Serve {
        /// The operators' file; without it and LB_CONF every feature that it enables is off
        #[arg(long, value_name = "FILE")]
        conf: Option<PathBuf>,
    },
    /// Check the platform's configuration and report its faults
    CheckConfig,
    /// Check an operators' file and list all of its faults
    CheckConf {
        /// The file to check
        file: PathBuf,
    },
    /// Print an operators' file as it takes effect, with defaults filled in
    ShowConf {
        /// The file; defaults to that of LB_CONF, else to an empty file
        file: Option<PathBuf>,
    },
    /// Run this program between stand-ins on loopback and check that every item gets exactly one final answer
    Try(trials::TryArgs),
    /// Manage the keys and certificates for connections between routers
    #[command(subcommand)]
    Keys(KeysCommand),
    /// Show and change what the routers have agreed on
    Fleet {
        /// The caller's operators' file, with the certificate and the agree-elector lines; defaults to that
        /// of LB_CONF
        #[arg(long, value_name = "FILE", global = true)]
        conf: Option<PathBuf>,
        /// Print the output as JSON
        #[arg(long, global = true)]
        json: bool,
        /// Id of the proposal of an earlier call, to ask for its outcome
        #[arg(long, global = true)]
        id: Option<ProposalId>,
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Run hollow routers for 'try --hollow': the core of the purge log without the rest of a router
    #[command(hide = true)]
    Hollow {
        /// The operators' file of all hollow routers
        #[arg(long, value_name = "FILE")]
        conf: PathBuf,
        /// Folder of the certificate authority, to which the routers' certificates are written as well
        #[arg(long, value_name = "FOLDER")]
        keys: PathBuf,
        /// Number of the first hollow router
        #[arg(long)]
        first: usize,
        /// Number of hollow routers
        #[arg(long)]
        count: usize,
    },
    /// Print a completion script for a shell
    Completion {
        /// The shell
        shell: Shell,
    },
    /// Print the manual page
    Man,
    /// Print the version
    Version,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Show the leader and each router's number, digest, life and age of confirmation; fails without a quorum
    Status,
    /// Add a router to the roll, the agreed list of routers, before it has started
    Join {
        /// The router's name
        name: String,
    },
    /// Remove a router from the roll
    Forget {
        /// The router's name
        name: String,
        /// Only this earlier life (run of the process), which is known to have ended
        #[arg(long)]
        life: Option<u64>,
    },
    /// Set the text of a topic
    Note {
        /// The topic
        topic: String,
        /// The text
        text: String,
    },
    /// Make a number of decisions as fast as the electors can, to measure their rate
    Burst {
        /// Number of decisions
        count: u64,
    },
    /// Admit or dismiss electors, one at a time
    #[command(subcommand)]
    Electors(ElectorsCommand),
    /// Take boxes, parents and routers out of service for work and back
    #[command(subcommand)]
    Work(WorkCommand),
    /// Propose, show and return versions of the agreed settings and lists
    #[command(subcommand)]
    Rules(RulesCommand),
    /// Follow purges and list events over relays
    #[command(subcommand)]
    Purge(purge::Line),
}

#[derive(Subcommand)]
enum RulesCommand {
    /// Propose a file's complete set of rules as the next version
    Propose {
        /// The file, in the syntax of the operators' file
        file: PathBuf,
        #[command(flatten)]
        opts: ProposalOptions,
    },
    /// Propose the rules of an earlier version again, as a new version
    Return {
        /// Number of the earlier version
        version: u64,
        #[command(flatten)]
        opts: ProposalOptions,
    },
    /// Show the version in effect, the version being rolled out and the routers that it waits for
    Status,
    /// Print the rules of a version; without a number, of the one in effect
    Show {
        /// Number of the version
        version: Option<u64>,
    },
    /// Show the differences between two versions
    Diff {
        /// Number of the earlier version
        from: u64,
        /// Number of the later version
        to: u64,
    },
    /// List the versions proposed recently, with author and reason
    History,
    /// Check a file and list all of its faults, without contacting any router
    Check {
        /// The file to check
        file: PathBuf,
    },
}

// Options of a proposed version. Not a doc comment, as clap would use it as the help text of the subcommands.
#[derive(clap::Args)]
struct ProposalOptions {
    /// Reason for the change, shown to people
    #[arg(long, default_value = "")]
    reason: String,
    /// Version that the proposal is based on; refused, showing the differences, if another version is in
    /// effect by now
    #[arg(long)]
    builds_on: Option<u64>,
    /// Routers apply only what both versions allow until none applies the previous one alone; always so for
    /// keys that must never contradict each other
    #[arg(long)]
    apart: bool,
    /// Percentage of the routers that apply it first; taken back automatically if they serve less in time
    /// than the others
    #[arg(long, value_name = "PER CENT", value_parser = clap::value_parser!(u32).range(1..=99), conflicts_with = "apart")]
    trial: Option<u32>,
    /// With --trial: duration of the trial in seconds
    #[arg(long, default_value_t = 30)]
    trial_for: u64,
    /// With --trial: percentage points by which the share served in time may be below the others' before it
    /// is taken back
    #[arg(long, default_value_t = 2)]
    margin: u32,
    /// Wait until it is in effect everywhere and print the routers that are missing
    #[arg(long)]
    wait: bool,
}

#[derive(Subcommand)]
enum WorkCommand {
    /// Order machines out of service, one after the other as the fleet can spare them, or together
    Order {
        #[command(flatten)]
        machines: Machines,
        /// Reason for the order, shown to people
        #[arg(long, default_value = "")]
        reason: String,
        /// Id of the order, 16 hex digits; repeating an order with its id creates no second order
        #[arg(long)]
        order: Option<String>,
        /// Print each change until the order has ended
        #[arg(long)]
        wait: bool,
    },
    /// Show in which order these machines and those already ordered would go out and which would wait and
    /// why, assuming that each comes back as soon as it is out; changes nothing
    Plan {
        #[command(flatten)]
        machines: Machines,
    },
    /// Show the stage of each machine; only one that is 'out' may be unplugged
    Status,
    /// Withdraw an order; machines that are out stay out until they are reported back
    Withdraw {
        /// Id of the order
        order: String,
    },
    /// Report that a machine is back
    Back {
        /// Id of a box
        #[arg(
            long = "box",
            value_name = "ID",
            conflicts_with_all = ["parent", "router"],
            required_unless_present_any = ["parent", "router"]
        )]
        boxed: Option<u32>,
        /// Id of a parent
        #[arg(long, conflicts_with = "router")]
        parent: Option<u32>,
        /// Name of a router
        #[arg(long)]
        router: Option<String>,
    },
    /// Stop all work: no further machine goes out, and those not yet out stay in use
    Stop,
    /// Continue the work after a stop
    Go,
}

// The machines of an order or a plan.
#[derive(clap::Args)]
struct Machines {
    /// Id of a box on the list; may be repeated
    #[arg(long = "box", value_name = "ID")]
    boxes: Vec<u32>,
    /// Id of a parent on the list; may be repeated
    #[arg(long = "parent", value_name = "ID")]
    parents: Vec<u32>,
    /// Name of a router; may be repeated
    #[arg(long = "router", value_name = "NAME")]
    routers: Vec<String>,
    /// Take all of them out at once
    #[arg(long)]
    together: bool,
}

impl Machines {
    fn all(self) -> Vec<Machine> {
        let boxes = self.boxes.into_iter().map(Machine::Box);
        let listed = boxes.chain(self.parents.into_iter().map(Machine::Parent));
        listed.chain(self.routers.into_iter().map(Machine::Router)).collect()
    }
}

/// Parses the id of an order of work.
fn parse_order_id(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("{text:?} is no order's id: 16 hex digits"))
}

#[derive(Subcommand)]
enum ElectorsCommand {
    /// Make a router an elector that is named in the file and waits to become one; it votes once it has
    /// caught up
    Admit {
        /// The router's name
        name: String,
    },
    /// Remove a router from the electors
    Dismiss {
        /// The router's name
        name: String,
    },
}

#[derive(Subcommand)]
enum KeysCommand {
    /// Create the certificate authority: authority.pem and authority.key
    Init {
        /// The folder, created if it doesn't exist
        folder: PathBuf,
        /// Validity in days
        #[arg(long, default_value_t = keys::AUTHORITY_DAYS)]
        days: u32,
    },
    /// Create a router's certificate and key, signed by the authority
    Issue {
        /// Folder of the authority
        folder: PathBuf,
        /// The router's name
        name: String,
        /// Validity in days
        #[arg(long, default_value_t = keys::ROUTER_DAYS)]
        days: u32,
    },
    /// Print the name and the expiry of a certificate
    Show {
        /// File of the certificate
        file: PathBuf,
    },
}

/// Returns an environment variable if it is set and is valid Unicode.
fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Carries out the command; on failure returns the lines for standard error.
fn run(command: Command) -> Result<(), Vec<String>> {
    let problem = |e: String| vec![format!("silverspindle: {e}")];
    let io_problem = |e: std::io::Error| problem(e.to_string());
    let conf_file = |file: Option<PathBuf>| file.or_else(|| environment("LB_CONF").map(PathBuf::from));
    let mut out = std::io::stdout();
    match command {
        Command::Version => println!("silverspindle {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig => {
            let prefixed =
                |faults: Vec<String>| faults.into_iter().map(|e| format!("silverspindle: {e}")).collect();
            let config =
                Config::read_all(&environment).map_err(|faults| -> Vec<String> { prefixed(faults) })?;
            config.notes.iter().for_each(|note| println!("{note}"));
            let (classes, last_event) = (config.site.classes.join(", "), config.known.0);
            println!(
                "{} on {}: classes {classes}; list known to event {last_event}",
                config.name, config.listen
            );
        }
        Command::CheckConf { file } => {
            read_conf(Some(&file))?;
            println!("{}: no faults", file.display());
        }
        Command::ShowConf { file } => print!("{}", read_conf(conf_file(file).as_deref())?.show()),
        Command::Serve { conf } => {
            let file = conf_file(conf);
            let config = Config::read(&environment).map_err(problem)?;
            let conf = read_conf(file.as_deref())?;
            logging::init(config.level, config.json_logs);
            let read_again = || (Config::read(&environment), read_conf(file.as_deref()));
            serve::serve(config, conf, read_again).map_err(io_problem)?;
        }
        Command::Try(args) => trials::run(args)?,
        Command::Keys(KeysCommand::Init { folder, days }) => keys::init(&folder, days).map_err(problem)?,
        Command::Keys(KeysCommand::Issue { folder, name, days }) => {
            keys::issue(&folder, &name, days).map_err(problem)?
        }
        Command::Keys(KeysCommand::Show { file }) => print!("{}", keys::show(&file).map_err(problem)?),
        Command::Fleet { conf, json, command: FleetCommand::Purge(line), .. } => {
            let conf = read_conf(conf_file(conf).as_deref())?;
            async_io::block_on(line.run(&conf, json)).map_err(problem)?;
        }
        Command::Fleet { conf, json, id, command } => {
            let conf = read_conf(conf_file(conf).as_deref())?;
            let staff = Staff::new(&conf).map_err(problem)?;
            async_io::block_on(fleet(&staff, command, json, id)).map_err(problem)?;
        }
        Command::Hollow { conf, keys, first, count } => {
            let conf = read_conf(Some(&conf))?;
            let relay = conf.relay.ok_or_else(|| problem("relay-role: missing".to_owned()))?;
            silverspindle::hollow::run(&relay, &keys, first, count).map_err(problem)?;
        }
        Command::Completion { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "silverspindle", &mut out);
        }
        Command::Man => clap_mangen::Man::new(Cli::command()).render(&mut out).map_err(io_problem)?,
    }
    Ok(())
}

/// Carries out a `fleet` subcommand that asks the electors.
async fn fleet(
    staff: &Staff,
    command: FleetCommand,
    json: bool,
    id: Option<ProposalId>,
) -> Result<(), String> {
    let change = match command {
        FleetCommand::Status => {
            let statuses = staff.status().await;
            match json {
                true => println!("{}", staff::json(&statuses)),
                false => print!("{}", staff::text(&statuses)),
            }
            return staff::leader(&statuses).map(|_| ()).ok_or_else(|| "no quorum".to_owned());
        }
        FleetCommand::Work(command) => {
            let request = match command {
                WorkCommand::Status => {
                    let (_, work) = staff.work().await?;
                    // Only the leader knows what the orders wait for; without a leader the orders are shown
                    // alone.
                    let reasons = match work.is_done() {
                        true => Vec::new(),
                        false => staff.sight().await.map_or_else(|_| Vec::new(), |(.., reasons)| reasons),
                    };
                    match json {
                        true => println!("{}", staff::orders_json(&work, &reasons)),
                        false => print!("{}", staff::orders(&work, &reasons)),
                    }
                    return Ok(());
                }
                WorkCommand::Plan { machines } => {
                    let together = machines.together;
                    let (_, plan) = staff.plan(machines.all(), together).await?;
                    match json {
                        true => println!("{}", staff::plan_json(&plan)),
                        false => print!("{}", staff::plan_text(&plan)),
                    }
                    return Ok(());
                }
                WorkCommand::Order { machines, reason, order, wait } => {
                    let id = match &order {
                        Some(text) => parse_order_id(text)?,
                        None => draw()?,
                    };
                    let (together, machines) = (machines.together, machines.all());
                    let request = Say::Order { machines, together, reason, id };
                    if wait {
                        let (proposal, reply) = staff.say(&request).await?;
                        print_outcome(proposal, &reply, json)?;
                        let print_change = |machine: &Machine, stage: Option<Stage>| {
                            let stage = stage.map_or("done".to_owned(), |s| format!("{s:?}").to_lowercase());
                            match json {
                                true => println!(
                                    "{}",
                                    serde_json::json!({"machine": machine.to_string(), "stage": stage})
                                ),
                                false => println!("{machine}: {stage}"),
                            }
                        };
                        return staff.wait(id, print_change).await;
                    }
                    request
                }
                WorkCommand::Withdraw { order } => Say::Withdraw(parse_order_id(&order)?),
                WorkCommand::Back { boxed, parent, router } => {
                    let machine = boxed.map(Machine::Box).or(parent.map(Machine::Parent));
                    let machine = machine.or(router.map(Machine::Router));
                    Say::Back(machine.ok_or("--box, --parent or --router is required")?)
                }
                WorkCommand::Stop => Say::Stop(true),
                WorkCommand::Go => Say::Stop(false),
            };
            let (id, reply) = staff.say(&request).await?;
            return print_outcome(id, &reply, json);
        }
        FleetCommand::Rules(command) => return rules(staff, command, json).await,
        FleetCommand::Purge(_) => return Err("'fleet purge' asks the sources, not the electors".to_owned()),
        FleetCommand::Join { name } => Change::Join { name, life: 0 },
        FleetCommand::Forget { name, life: None } => Change::Forget { name },
        FleetCommand::Forget { name, life: Some(life) } => Change::Leave { name, life },
        FleetCommand::Burst { count } => {
            let start = std::time::Instant::now();
            let decided = staff.burst(count).await?;
            let elapsed = start.elapsed().as_secs_f64();
            println!("{decided} decisions in {elapsed:.2} s, {:.0} a second", decided as f64 / elapsed);
            return Ok(());
        }
        // Routers act on the text of these topics, and on nothing else if it can't be read.
        FleetCommand::Note { topic, .. } if staff::is_taken(&topic) => {
            return Err(format!("{topic} is the program's own: use 'fleet work' or 'fleet rules'"));
        }
        FleetCommand::Note { topic, text } => Change::Note { topic, body: text.into_bytes() },
        FleetCommand::Electors(ElectorsCommand::Admit { name }) => staff.seat(&name, true).await?,
        FleetCommand::Electors(ElectorsCommand::Dismiss { name }) => staff.seat(&name, false).await?,
    };
    let (id, reply) = staff.propose(change, id).await?;
    print_outcome(id, &reply, json)
}

/// Reads a file of rules; on failure returns all faults, one per line.
fn read_rules(file: &std::path::Path) -> Result<Rules, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}:0: file: can't be read: {e}"))?;
    silverspindle_rules::read(&text)
        .map_err(|faults| faults.iter().map(|fault| format!("{name}:{fault}")).collect::<Vec<_>>().join("\n"))
}

/// Carries out a `fleet rules` subcommand.
async fn rules(staff: &Staff, command: RulesCommand, json: bool) -> Result<(), String> {
    let rules_of = async |number: u64| {
        let (_, state) = staff.rules().await?;
        if state.current.head.number == number {
            return Ok(state.current.rules);
        }
        if let Some(next) = state.next.filter(|next| next.version.head.number == number) {
            return Ok(next.version.rules);
        }
        let (_, past) = staff.past().await?;
        match (number, past.rules(number)) {
            (_, Some(rules)) => Ok(rules.clone()),
            (0, None) => Ok(Rules::default()),
            _ => Err(format!("what version {number} said is not kept")),
        }
    };
    match command {
        RulesCommand::Check { file } => {
            read_rules(&file)?;
            println!("{}: no faults", file.display());
        }
        RulesCommand::Status => {
            let (_, state) = staff.rules().await?;
            let (shares, sight) = (staff.shares().await?, staff.rules_sight().await);
            match json {
                true => println!("{}", staff::rules_json(&state, &shares, sight.as_ref())),
                false => print!("{}", staff::rules_text(&state, &shares, sight.as_ref())),
            }
        }
        RulesCommand::Show { version } => {
            let number = match version {
                Some(number) => number,
                None => staff.rules().await?.1.current.head.number,
            };
            print!("{}", silverspindle_rules::show(&rules_of(number).await?));
        }
        RulesCommand::Diff { from, to } => print!("{}", rules_of(from).await?.diff(&rules_of(to).await?)),
        RulesCommand::History => print!("{}", staff::history_text(&staff.rules().await?.1)),
        RulesCommand::Propose { file, opts } => return propose(staff, read_rules(&file)?, opts, json).await,
        RulesCommand::Return { version, mut opts } => {
            let rules = rules_of(version).await?;
            if opts.reason.is_empty() {
                opts.reason = format!("returns to {version}");
            }
            return propose(staff, rules, opts, json).await;
        }
    }
    Ok(())
}

/// Proposes a version of the rules and prints the outcome.
async fn propose(staff: &Staff, rules: Rules, options: ProposalOptions, json: bool) -> Result<(), String> {
    let trial = |per_cent: u32| {
        let lasts = options.trial_for.saturating_mul(1_000_000);
        Way::Trial(Trial { per_mille: per_cent * 10, lasts, margin: options.margin.saturating_mul(10) })
    };
    let way = options.trial.map(trial).or(options.apart.then_some(Way::Apart));
    let (number, id, reply) = staff.propose_rules(rules, &options.reason, options.builds_on, way).await?;
    match json {
        true => {
            let made = match &reply {
                Some(Verdict::Made(_)) => Some(true),
                Some(Verdict::Refused(..)) => Some(false),
                None => None,
            };
            println!("{}", serde_json::json!({"version": number, "id": id.to_string(), "made": made}));
        }
        false => {
            println!("version {number}");
            print_outcome(id, &reply, false)?;
        }
    }
    if options.wait {
        let active = staff.wait_rules(number, |missing| println!("missing: {}", missing.join(", "))).await?;
        if !active {
            return Err(format!("version {number} was taken back: see 'fleet rules history'"));
        }
        println!("version {number} holds everywhere");
    }
    Ok(())
}

/// Prints the outcome of a proposal; a refusal is returned as an error in text mode.
fn print_outcome(id: ProposalId, reply: &Reply, json: bool) -> Result<(), String> {
    let outcome = staff::outcome(id, reply);
    if json {
        let (made, number) = match reply {
            Some(Verdict::Made(number)) => (Some(true), Some(*number)),
            Some(Verdict::Refused(number, _)) => (Some(false), Some(*number)),
            None => (None, None),
        };
        let text = outcome.clone().unwrap_or_else(|e| e);
        println!(
            "{}",
            serde_json::json!({"id": id.to_string(), "made": made, "number": number, "text": text})
        );
        return outcome.map(|_| ());
    }
    println!("{}", outcome?);
    Ok(())
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            ExitCode::FAILURE
        }
    }
}
