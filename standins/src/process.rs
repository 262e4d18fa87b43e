//! Processes of the program as the rig handles them: signals, the kernel's account of them, and waits for what they do.

use std::fs;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::Path;

use rustix::process::{Pid, Signal, kill_process};
use rustix::time::{ClockId, clock_gettime};
use silverspindle_wire::clock;

use crate::office::rest;
use crate::trial::Router;
use crate::{Micros, SECOND};

/// The end of waits that are for an event, far beyond what is promised.
pub(crate) const GENEROUS: Micros = 30 * SECOND;
pub(crate) const LOOK_AGAIN: Micros = 20_000;
/// The latest records are looked for in so many bytes at a file's end.
const TAIL: u64 = 16 * 1024;
/// A tick of the kernel's account of processor time.
const TICK: Micros = 10_000;

pub(crate) fn signal(process: &Router, signal: Signal) {
    let _ = kill_process(Pid::from_child(&process.child), signal);
}

/// Processor time that a process has used, from the kernel's account; ticks of a hundredth of a second.
pub fn used(pid: u32) -> Option<Micros> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(ticks * TICK)
}

/// The most memory that a process has held, in kB, from the kernel's account.
pub fn peak(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?.split_whitespace().next()?.parse().ok()
}

/// The clock that records have: steady, and it counts suspended time.
pub fn steady() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec as u64).saturating_mul(SECOND) + (time.tv_nsec as u64) / 1000
}

/// The last lines of a file that is being written; empty where it can't be read.
pub(crate) fn tail(path: &Path) -> String {
    let read = || {
        let mut file = fs::File::open(path)?;
        let length = file.metadata()?.len();
        file.seek(SeekFrom::Start(length.saturating_sub(TAIL)))?;
        let mut text = String::new();
        file.read_to_string(&mut text)?;
        Ok::<_, io::Error>(text)
    };
    read().unwrap_or_default()
}

/// Waits for an event, generously.
pub(crate) async fn until<T>(what: &str, mut good: impl AsyncFnMut() -> Option<T>) -> io::Result<T> {
    let last = clock::now() + GENEROUS;
    loop {
        if let Some(found) = good().await {
            return Ok(found);
        }
        if clock::now() > last {
            return Err(io::Error::other(format!("{what}: not within {} s", GENEROUS / SECOND)));
        }
        rest(LOOK_AGAIN).await;
    }
}
