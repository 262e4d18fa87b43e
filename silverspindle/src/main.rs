//! The command line.

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
    /// Run this program between stand-ins on loopback and count every item's one final answer
    Try(trials::Line),
    /// Keys for the exchange between routers
    #[command(subcommand)]
    Keys(Keys),
    /// What the routers agree on: how it stands, and staff's changes to it
    Fleet {
        /// Staff's operators' file: their certificate and the agree-elector lines; without it that of LB_CONF
        #[arg(long, value_name = "FILE", global = true)]
        conf: Option<PathBuf>,
        /// Answer in JSON
        #[arg(long, global = true)]
        json: bool,
        /// The proposal's id, to ask for the outcome of an earlier call
        #[arg(long, global = true)]
        id: Option<ProposalId>,
        #[command(subcommand)]
        what: Fleet,
    },
    /// Cores of the purge log without routers, for 'try --hollow'
    #[command(hide = true)]
    Hollow {
        /// The operators' file that all of them go by
        #[arg(long, value_name = "FILE")]
        conf: PathBuf,
        /// The authority's folder, which also takes their certificates
        #[arg(long, value_name = "FOLDER")]
        keys: PathBuf,
        /// The number of the first
        #[arg(long)]
        first: usize,
        /// How many
        #[arg(long)]
        count: usize,
    },
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
enum Fleet {
    /// Who leads, each router's number, digest, life and how old its confirmation is; fails without a quorum
    Status,
    /// Put a router on the roll before it has started
    Join {
        /// Its name
        name: String,
    },
    /// Strike a router off the roll
    Forget {
        /// Its name
        name: String,
        /// Only an earlier life of it, which is known to be dead
        #[arg(long)]
        life: Option<u64>,
    },
    /// Set a topic's text
    Note {
        /// Which topic
        topic: String,
        /// Its text
        text: String,
    },
    /// Make so many decisions as fast as the electors do, to measure
    Burst {
        /// How many
        count: u64,
    },
    /// Change the electors, one at a time
    #[command(subcommand)]
    Electors(Electors),
    /// Boxes and parents that are worked on
    #[command(subcommand)]
    Work(WorkLine),
    /// Settings and lists with versions
    #[command(subcommand)]
    Rules(RulesLine),
    /// Purges and list events over relays
    #[command(subcommand)]
    Purge(purge::Line),
}

#[derive(Subcommand)]
enum RulesLine {
    /// Propose a file's whole set as the next version
    Propose {
        /// The file, in the grammar of the operators' file
        file: PathBuf,
        #[command(flatten)]
        how: How,
    },
    /// Bring back what a version said, as a new version
    Return {
        /// Its number
        version: u64,
        #[command(flatten)]
        how: How,
    },
    /// Which version holds, which is on its way, who is missing
    Status,
    /// Print what a version says; without a number the one that holds
    Show {
        /// Its number
        version: Option<u64>,
    },
    /// What differs between two versions
    Diff {
        /// The earlier
        from: u64,
        /// The later
        to: u64,
    },
    /// All versions that were proposed lately, with author and reason
    History,
    /// List all that is wrong with a file; asks nobody
    Check {
        /// The file
        file: PathBuf,
    },
}

#[derive(clap::Args)]
struct How {
    /// Why, for people
    #[arg(long, default_value = "")]
    reason: String,
    /// The version that it builds on; refused, with the difference, where another one holds by now
    #[arg(long)]
    builds_on: Option<u64>,
    /// Nobody acts on it until nobody acts on the one before; where keys may never contradict it is so anyhow
    #[arg(long)]
    apart: bool,
    /// So many routers of a hundred act on it first; taken back by itself where they serve less in time than the others
    #[arg(long, value_name = "PER CENT", value_parser = clap::value_parser!(u32).range(1..=99), conflicts_with = "apart")]
    trial: Option<u32>,
    /// With --trial: for so many seconds
    #[arg(long, default_value_t = 30)]
    trial_for: u64,
    /// With --trial: taken back where the share in time is less by so many per cent
    #[arg(long, default_value_t = 2)]
    margin: u32,
    /// Say who is missing until it holds everywhere
    #[arg(long)]
    wait: bool,
}

#[derive(Subcommand)]
enum WorkLine {
    /// Order machines out, one after the other as the fleet can spare them, or together
    Order {
        #[command(flatten)]
        machines: Machines,
        /// Why, for people
        #[arg(long, default_value = "")]
        reason: String,
        /// The order's id, 16 hex digits: a repeated order is the same order
        #[arg(long)]
        order: Option<String>,
        /// Tell each change until the order has ended
        #[arg(long)]
        wait: bool,
    },
    /// What would go in which turn and what would wait and why, with these besides what is ordered, were each brought
    /// back as soon as it is out; nothing is done
    Plan {
        #[command(flatten)]
        machines: Machines,
    },
    /// Where each machine stands; only one that is 'out' may be unplugged
    Status,
    /// Take an order back; what is out stays out until it is back
    Withdraw {
        /// The order's id
        order: String,
    },
    /// A machine is back
    Back {
        /// A box's id
        #[arg(
            long = "box",
            value_name = "ID",
            conflicts_with_all = ["parent", "router"],
            required_unless_present_any = ["parent", "router"]
        )]
        boxed: Option<u32>,
        /// A parent's id
        #[arg(long, conflicts_with = "router")]
        parent: Option<u32>,
        /// A router's name
        #[arg(long)]
        router: Option<String>,
    },
    /// Nothing more goes out, and what is not out stays in use
    Stop,
    /// Work goes on
    Go,
}

#[derive(clap::Args)]
struct Machines {
    /// A box's id on the list; may be given again
    #[arg(long = "box", value_name = "ID")]
    boxes: Vec<u32>,
    /// A parent's id on the list; may be given again
    #[arg(long = "parent", value_name = "ID")]
    parents: Vec<u32>,
    /// A router's name; may be given again
    #[arg(long = "router", value_name = "NAME")]
    routers: Vec<String>,
    /// All at once
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

fn work_order(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("{text:?} is no order's id: 16 hex digits"))
}

#[derive(Subcommand)]
enum Electors {
    /// Give a seat to a router that is named in the file and waits for one; it votes once it is level
    Admit {
        /// Its name
        name: String,
    },
    /// Take a router's seat away
    Dismiss {
        /// Its name
        name: String,
    },
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
            let named =
                |faults: Vec<String>| faults.into_iter().map(|e| format!("silverspindle: {e}")).collect();
            let config = Config::read_all(&environment).map_err(|faults| -> Vec<String> { named(faults) })?;
            config.notes.iter().for_each(|note| println!("{note}"));
            let (classes, last) = (config.site.classes.join(", "), config.known.0);
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
        Command::Try(line) => trials::run(line)?,
        Command::Keys(Keys::Init { folder, days }) => keys::init(&folder, days).map_err(one)?,
        Command::Keys(Keys::Issue { folder, name, days }) => {
            keys::issue(&folder, &name, days).map_err(one)?
        }
        Command::Keys(Keys::Show { file }) => print!("{}", keys::show(&file).map_err(one)?),
        Command::Fleet { conf, json, what: Fleet::Purge(line), .. } => {
            let conf = read_conf(named(conf).as_deref())?;
            async_io::block_on(line.run(&conf, json)).map_err(one)?;
        }
        Command::Fleet { conf, json, id, what } => {
            let conf = read_conf(named(conf).as_deref())?;
            let staff = Staff::new(&conf).map_err(one)?;
            async_io::block_on(fleet(&staff, what, json, id)).map_err(one)?;
        }
        Command::Hollow { conf, keys, first, count } => {
            let conf = read_conf(Some(&conf))?;
            let relay = conf.relay.ok_or_else(|| one("relay-role: missing".to_owned()))?;
            silverspindle::hollow::run(&relay, &keys, first, count).map_err(one)?;
        }
        Command::Completion { shell } => {
            clap_complete::generate(shell, &mut Line::command(), "silverspindle", &mut out);
        }
        Command::Man => clap_mangen::Man::new(Line::command()).render(&mut out).map_err(io)?,
    }
    Ok(())
}

async fn fleet(staff: &Staff, what: Fleet, json: bool, id: Option<ProposalId>) -> Result<(), String> {
    let change = match what {
        Fleet::Status => {
            let heard = staff.status().await;
            match json {
                true => println!("{}", staff::json(&heard)),
                false => print!("{}", staff::text(&heard)),
            }
            return staff::leader(&heard).map(|_| ()).ok_or_else(|| "no quorum".to_owned());
        }
        Fleet::Work(line) => {
            let say = match line {
                WorkLine::Status => {
                    let (_, work) = staff.work().await?;
                    // What is waited for is the leader's to say; where there is none, the orders still are what they are.
                    let why = match work.is_done() {
                        true => Vec::new(),
                        false => staff.sight().await.map_or_else(|_| Vec::new(), |(.., why)| why),
                    };
                    match json {
                        true => println!("{}", staff::orders_json(&work, &why)),
                        false => print!("{}", staff::orders(&work, &why)),
                    }
                    return Ok(());
                }
                WorkLine::Plan { machines } => {
                    let together = machines.together;
                    let (_, plan) = staff.plan(machines.all(), together).await?;
                    match json {
                        true => println!("{}", staff::plan_json(&plan)),
                        false => print!("{}", staff::plan_text(&plan)),
                    }
                    return Ok(());
                }
                WorkLine::Order { machines, reason, order, wait } => {
                    let id = match &order {
                        Some(text) => work_order(text)?,
                        None => draw()?,
                    };
                    let (together, machines) = (machines.together, machines.all());
                    let say = Say::Order { machines, together, reason, id };
                    if wait {
                        let (proposal, reply) = staff.say(&say).await?;
                        tell(proposal, &reply, json)?;
                        let changed = |machine: &Machine, stage: Option<Stage>| {
                            let stage = stage.map_or("done".to_owned(), |s| format!("{s:?}").to_lowercase());
                            match json {
                                true => println!(
                                    "{}",
                                    serde_json::json!({"machine": machine.to_string(), "stage": stage})
                                ),
                                false => println!("{machine}: {stage}"),
                            }
                        };
                        return staff.wait(id, changed).await;
                    }
                    say
                }
                WorkLine::Withdraw { order } => Say::Withdraw(work_order(&order)?),
                WorkLine::Back { boxed, parent, router } => {
                    let machine = boxed.map(Machine::Box).or(parent.map(Machine::Parent));
                    let machine = machine.or(router.map(Machine::Router));
                    Say::Back(machine.ok_or("which one?")?)
                }
                WorkLine::Stop => Say::Stop(true),
                WorkLine::Go => Say::Stop(false),
            };
            let (id, reply) = staff.say(&say).await?;
            return tell(id, &reply, json);
        }
        Fleet::Rules(line) => return rules(staff, line, json).await,
        Fleet::Purge(_) => return Err("is asked of the sources".to_owned()),
        Fleet::Join { name } => Change::Join { name, life: 0 },
        Fleet::Forget { name, life: None } => Change::Forget { name },
        Fleet::Forget { name, life: Some(life) } => Change::Leave { name, life },
        Fleet::Burst { count } => {
            let began = std::time::Instant::now();
            let settled = staff.burst(count).await?;
            let took = began.elapsed().as_secs_f64();
            println!("{settled} decisions in {took:.2} s, {:.0} a second", settled as f64 / took);
            return Ok(());
        }
        // Routers go by what stands there, and by nothing else if it can't be read.
        Fleet::Note { topic, .. } if staff::is_taken(&topic) => {
            return Err(format!("{topic} is the program's own: use 'fleet work' or 'fleet rules'"));
        }
        Fleet::Note { topic, text } => Change::Note { topic, body: text.into_bytes() },
        Fleet::Electors(Electors::Admit { name }) => staff.seat(&name, true).await?,
        Fleet::Electors(Electors::Dismiss { name }) => staff.seat(&name, false).await?,
    };
    let (id, reply) = staff.propose(change, id).await?;
    tell(id, &reply, json)
}

/// Reads a version's file; all faults at once.
fn read_rules(file: &std::path::Path) -> Result<Rules, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}:0: file: can't be read: {e}"))?;
    silverspindle_rules::read(&text)
        .map_err(|faults| faults.iter().map(|fault| format!("{name}:{fault}")).collect::<Vec<_>>().join("\n"))
}

async fn rules(staff: &Staff, line: RulesLine, json: bool) -> Result<(), String> {
    let said = async |number: u64| {
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
    match line {
        RulesLine::Check { file } => {
            read_rules(&file)?;
            println!("{}: no faults", file.display());
        }
        RulesLine::Status => {
            let (_, state) = staff.rules().await?;
            let (shares, sight) = (staff.shares().await?, staff.rules_sight().await);
            match json {
                true => println!("{}", staff::rules_json(&state, &shares, sight.as_ref())),
                false => print!("{}", staff::rules_text(&state, &shares, sight.as_ref())),
            }
        }
        RulesLine::Show { version } => {
            let number = match version {
                Some(number) => number,
                None => staff.rules().await?.1.current.head.number,
            };
            print!("{}", silverspindle_rules::show(&said(number).await?));
        }
        RulesLine::Diff { from, to } => print!("{}", said(from).await?.diff(&said(to).await?)),
        RulesLine::History => print!("{}", staff::history_text(&staff.rules().await?.1)),
        RulesLine::Propose { file, how } => return propose(staff, read_rules(&file)?, how, json).await,
        RulesLine::Return { version, mut how } => {
            let rules = said(version).await?;
            if how.reason.is_empty() {
                how.reason = format!("returns to {version}");
            }
            return propose(staff, rules, how, json).await;
        }
    }
    Ok(())
}

async fn propose(staff: &Staff, rules: Rules, how: How, json: bool) -> Result<(), String> {
    let trial = |per_cent: u32| {
        let lasts = how.trial_for.saturating_mul(1_000_000);
        Way::Trial(Trial { per_mille: per_cent * 10, lasts, margin: how.margin.saturating_mul(10) })
    };
    let way = how.trial.map(trial).or(how.apart.then_some(Way::Apart));
    let (number, id, reply) = staff.propose_rules(rules, &how.reason, how.builds_on, way).await?;
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
            tell(id, &reply, false)?;
        }
    }
    if how.wait {
        let holds = staff.wait_rules(number, |missing| println!("missing: {}", missing.join(", "))).await?;
        if !holds {
            return Err(format!("version {number} was taken back: see 'fleet rules history'"));
        }
        println!("version {number} holds everywhere");
    }
    Ok(())
}

fn tell(id: ProposalId, reply: &Reply, json: bool) -> Result<(), String> {
    let said = staff::outcome(id, reply);
    if json {
        let (made, number) = match reply {
            Some(Verdict::Made(number)) => (Some(true), Some(*number)),
            Some(Verdict::Refused(number, _)) => (Some(false), Some(*number)),
            None => (None, None),
        };
        let text = said.clone().unwrap_or_else(|e| e);
        println!(
            "{}",
            serde_json::json!({"id": id.to_string(), "made": made, "number": number, "text": text})
        );
        return said.map(|_| ());
    }
    println!("{}", said?);
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
