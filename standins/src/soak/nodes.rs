//! A soak's routers: processes that are started, drained, ended, upgraded and killed, each under shims of its own.

use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use silverspindle_wire::clock;

use super::clients::Door;
use super::record::{Process, Records, Stop};
use crate::ports::Port;
use crate::shim::{ClockStep, FailingCalls};
use crate::{Micros, SECOND};

/// A caller of the second address waits so long.
const CALL: Duration = Duration::from_secs(1);
const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// A process is ready by then: the pages allow 10 s after a restart.
pub const READY: Micros = 10 * SECOND;
/// SIGKILL comes so long after SIGTERM: the longest deadline of the settings and 0.7 s.
pub const KILL: Micros = super::terms::LONGEST + 700_000;

/// A process that runs.
#[derive(Debug)]
pub struct Running {
    /// Its place in the records.
    pub place: usize,
    /// Its second address.
    pub management: SocketAddr,
    child: RefCell<Child>,
    _port: Port,
}

impl Drop for Running {
    fn drop(&mut self) {
        let child = self.child.get_mut();
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Running {
    fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child.borrow()), signal);
    }

    /// Whether it has ended, and with 0.
    fn ended(&self) -> Option<bool> {
        self.child.borrow_mut().try_wait().ok().flatten().map(|status| status.success())
    }
}

/// A router.
pub struct Node {
    /// Its number.
    pub number: usize,
    /// Where clients come.
    pub door: Rc<Door>,
    /// The process that serves; none while it is down.
    pub running: RefCell<Option<Rc<Running>>>,
    /// Something is being done with it.
    pub is_busy: Cell<bool>,
    /// A process of it starts: its wall clock is right until that is ready.
    pub is_starting: Cell<bool>,
    /// Its wall clock.
    pub clock: ClockStep,
    /// Its system calls.
    pub calls: FailingCalls,
    records: Rc<Records>,
    program: PathBuf,
    directory: PathBuf,
    _port: Port,
}

impl Node {
    /// A router that is not started yet; its configuration is this but for the addresses.
    pub fn new(
        number: usize,
        program: &Path,
        directory: &Path,
        mut config: Value,
        records: &Rc<Records>,
    ) -> io::Result<Self> {
        let directory = directory.join(format!("n{number}"));
        fs::create_dir_all(directory.join("tmp"))?;
        let port = Port::hold([127, 0, 2, 10 + number as u8])?;
        config["name"] = format!("n{number}").into();
        config["listen"] = port.address.to_string().into();
        fs::write(directory.join("config.json"), config.to_string())?;
        let door = Door { address: port.address, admits: Cell::new(false), process: Cell::new(0) };
        Ok(Self {
            number,
            door: Rc::new(door),
            running: RefCell::default(),
            is_busy: Cell::new(false),
            is_starting: Cell::new(false),
            clock: ClockStep::new(&directory)?,
            calls: FailingCalls::new(&directory)?,
            records: records.clone(),
            program: program.to_owned(),
            directory,
            _port: port,
        })
    }

    /// Starts a process and waits until it is ready.
    pub async fn start(&self) -> io::Result<Rc<Running>> {
        // Ages of copies go by the wall clock as it is at the start: a machine's clock is set before the router is started.
        self.is_starting.set(true);
        self.clock.step_to(0)?;
        let port = Port::hold([127, 0, 3, 10 + self.number as u8])?;
        let log = self.directory.join("log");
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let [(preload, clock), (clock_file, clock_path)] = self.clock.variables();
        let [(_, calls), (calls_file, calls_path)] = self.calls.variables();
        let child = Command::new(&self.program)
            .arg("serve")
            .env("LB_CONFIG", self.directory.join("config.json"))
            .env("LB_MANAGEMENT", port.address.to_string())
            .env("TMPDIR", self.directory.join("tmp"))
            .env(preload, format!("{}:{}", clock.display(), calls.display()))
            .env(clock_file, clock_path)
            .env(calls_file, calls_path)
            .env_remove("LB_CONF")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let place = {
            let mut processes = self.records.processes.borrow_mut();
            let (started, told, killed, ended) = (clock::now(), None, None, None);
            processes.push(Process { router: self.number, started, told, killed, ended });
            processes.len() - 1
        };
        let running = Rc::new(Running { place, management: port.address, child: child.into(), _port: port });
        let by = clock::now() + READY;
        while !is_ready(running.management).await {
            if clock::now() > by {
                return Err(io::Error::other(format!("n{} is not ready in time", self.number)));
            }
            Timer::after(LOOK_AGAIN).await;
        }
        self.is_starting.set(false);
        Ok(running)
    }

    /// From now on this process serves, and clients come.
    pub fn serve(&self, running: Rc<Running>) {
        self.door.process.set(running.place);
        self.door.admits.set(true);
        *self.running.borrow_mut() = Some(running);
    }

    /// SIGTERM, and SIGKILL at the earliest moment that the pages allow. The process is stopped for this time as SIGTERM
    /// comes.
    pub async fn end(&self, running: &Running, stopped: Micros) {
        if stopped > 0 {
            running.signal(Signal::STOP);
        }
        let told = clock::now();
        self.records.processes.borrow_mut()[running.place].told = Some(told);
        running.signal(Signal::TERM);
        if stopped > 0 {
            clock::timer_at(told + stopped).await;
            running.signal(Signal::CONT);
            self.records.stops.borrow_mut().push(Stop {
                process: running.place,
                from: told,
                until: clock::now(),
            });
        }
        while clock::now() < told + KILL {
            if let Some(good) = running.ended() {
                self.records.processes.borrow_mut()[running.place].ended = Some((clock::now(), good));
                return;
            }
            Timer::after(LOOK_AGAIN).await;
        }
        self.records.processes.borrow_mut()[running.place].killed = Some((clock::now(), false));
        running.signal(Signal::KILL);
    }

    /// SIGKILL, at once.
    pub fn kill(&self, running: &Running) {
        self.records.processes.borrow_mut()[running.place].killed = Some((clock::now(), true));
        running.signal(Signal::KILL);
    }

    /// Stops a process for this time and records it.
    pub async fn stop(&self, running: &Running, time: Micros) {
        let from = clock::now();
        running.signal(Signal::STOP);
        clock::timer_at(from + time).await;
        running.signal(Signal::CONT);
        self.records.stops.borrow_mut().push(Stop { process: running.place, from, until: clock::now() });
    }

    /// SIGHUP.
    pub fn reload(&self, running: &Running) {
        running.signal(Signal::HUP);
    }
}

/// Whether a process says that it is ready.
pub async fn is_ready(management: SocketAddr) -> bool {
    call(management, "GET /-/ready").await == Some(true)
}

/// A call of the second address: yes or no, or no answer in time.
pub async fn call(management: SocketAddr, what: &str) -> Option<bool> {
    let late = async {
        Timer::after(CALL).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let asked = async {
        let mut stream = Async::<TcpStream>::connect(management).await?;
        stream.write_all(format!("{what} HTTP/1.1\r\nContent-Length: 0\r\n\r\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<_, io::Error>(answer)
    };
    let answer = future::or(asked, late).await.ok()?;
    Some(answer.starts_with("HTTP/1.1 2"))
}
