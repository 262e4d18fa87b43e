//! Overlap of two processes of one router during an upgrade: the platform starts `run` again while the old
//! process still serves, on the same clients' address, and sends the old one SIGTERM once the new one is
//! ready.
//!
//! Each process writes a file in `$TMPDIR` named after the clients' address and its process id, containing
//! its start time. Which process is younger is decided by the kernel's start times, which steps of the wall
//! clock don't change; the times in the files are compared only where those are equal. A process that shuts
//! down and finds a younger live process on its address has a successor: it stops accepting at once, so that
//! the kernel sends every new connection to the successor. If it kept its listener open, the connections in
//! the queue would be reset at its exit. Without a successor it keeps accepting for a while, as a planned
//! restart requires. Each start removes the files of processes that no longer exist; each process removes its
//! own file at exit.
//!
//! The decisions are pure functions ([`has_successor`], [`file_name`], [`parse_file_name`]); the file
//! operations are in [`ProcessFile`].

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::clock::Stamp;

/// Start of the file's name.
const PREFIX: &str = "silverspindle-";
/// End of the file's name.
const SUFFIX: &str = ".live";
/// Maximum number of files that are examined; an upgrade has far fewer.
const MAX_FILES: usize = 64;

/// Returns the file name for a process on a clients' address.
pub fn file_name(listen: SocketAddr, pid: u32) -> String {
    let address = listen.to_string().replace([':', '[', ']'], "_");
    format!("{PREFIX}{address}-{pid}{SUFFIX}")
}

/// Returns the process id in a file name, or none if the name doesn't belong to this address.
pub fn parse_file_name(file: &str, listen: SocketAddr) -> Option<u32> {
    let with_zero = file_name(listen, 0);
    let stem = with_zero.strip_suffix(&format!("0{SUFFIX}"))?;
    let pid = file.strip_prefix(stem)?.strip_suffix(SUFFIX)?;
    (!pid.is_empty() && pid.bytes().all(|b| b.is_ascii_digit())).then(|| pid.parse().ok())?
}

/// Start time of a process. Ordered by the kernel's time first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start {
    /// Start time from the kernel, in clock ticks since boot; 0 if the kernel doesn't report it.
    pub boot_ticks: u64,
    /// Wall-clock time that the process wrote to its file.
    pub wall_clock: Stamp,
}

impl Start {
    /// Reads the kernel's start time of a process and combines it with the time from its file.
    fn of(pid: u32, wall_clock: Stamp) -> Self {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // The program name may contain blanks and brackets; after its closing bracket the start time is the
        // twentieth field.
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let boot_ticks = rest.split_whitespace().nth(19).and_then(|ticks| ticks.parse().ok());
        Self { boot_ticks: boot_ticks.unwrap_or(0), wall_clock }
    }
}

/// Whether one of the others, given as process id, start time and whether it is alive, is a successor of the
/// process `me` started at `started`: another live process that is younger.
pub fn has_successor(me: u32, started: Start, others: impl IntoIterator<Item = (u32, Start, bool)>) -> bool {
    others.into_iter().any(|(pid, start, alive)| alive && pid != me && start > started)
}

/// Returns this process's part of a limit that applies to all processes together, given the usage of the
/// others. At least a quarter, as this is the process that keeps serving and it must not be left with
/// nothing.
pub fn remaining_limit(limit: usize, others: usize) -> usize {
    limit.saturating_sub(others).max(limit / 4)
}

/// Returns the number of open file descriptors and the resident memory in bytes of a process, as reported by
/// the kernel; zeros if it no longer exists.
fn resource_usage(pid: u32) -> (usize, usize) {
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = resident.and_then(|text| text.split_whitespace().next()?.parse::<usize>().ok());
    (descriptors, kb.unwrap_or(0) * 1024)
}

/// The file of this process and its view of the other processes on the same address.
#[derive(Debug)]
pub struct ProcessFile {
    directory: PathBuf,
    listen: SocketAddr,
    pid: u32,
    started: Start,
}

/// Whether a process is alive and is a router. The kernel may have reused the process id for another program.
fn is_live_router(pid: u32) -> bool {
    fs::read(format!("/proc/{pid}/cmdline"))
        .is_ok_and(|line| String::from_utf8_lossy(&line).contains("silverspindle"))
}

impl ProcessFile {
    /// Removes the files of processes that no longer exist and writes this process's file. Returns none if
    /// the directory can't be written: then no successor is ever found, and a shutdown always keeps accepting
    /// for a while.
    pub fn register(directory: &Path, listen: SocketAddr, started: Stamp) -> Option<Self> {
        let pid = std::process::id();
        let me = Self { directory: directory.to_owned(), listen, pid, started: Start::of(pid, started) };
        for (pid, _) in me.others() {
            if !is_live_router(pid) {
                let _ = fs::remove_file(directory.join(file_name(listen, pid)));
            }
        }
        match fs::write(me.directory.join(file_name(listen, me.pid)), started.as_micros().to_string()) {
            Ok(()) => Some(me),
            Err(e) => {
                tracing::warn!("{}: {e}; an upgrade can't be told from a restart", directory.display());
                None
            }
        }
    }

    /// Returns the other processes on this address with their start times.
    fn others(&self) -> Vec<(u32, Start)> {
        let Ok(entries) = fs::read_dir(&self.directory) else { return Vec::new() };
        let pids = entries.take(4 * MAX_FILES).filter_map(|entry| {
            let entry = entry.ok()?;
            parse_file_name(entry.file_name().to_str()?, self.listen).filter(|pid| *pid != self.pid)
        });
        let file_time = |pid| {
            let file =
                fs::read_to_string(self.directory.join(file_name(self.listen, pid))).unwrap_or_default();
            Stamp::from_micros(file.trim().parse().unwrap_or(0))
        };
        pids.take(MAX_FILES).map(|pid| (pid, Start::of(pid, file_time(pid)))).collect()
    }

    /// Returns the file descriptors and bytes of memory that older processes on this address use together;
    /// none if no older process is left.
    pub fn older_usage(&self) -> Option<(usize, usize)> {
        let older =
            self.others().into_iter().filter(|(pid, start)| *start < self.started && is_live_router(*pid));
        let usages: Vec<(usize, usize)> = older.map(|(pid, _)| resource_usage(pid)).collect();
        let sum = |(d, m): (usize, usize), (e, n): &(usize, usize)| (d + e, m + n);
        (!usages.is_empty()).then(|| usages.iter().fold((0, 0), sum))
    }

    /// Whether a younger process serves on this address.
    pub fn has_successor(&self) -> bool {
        has_successor(
            self.pid,
            self.started,
            self.others().into_iter().map(|(pid, start)| (pid, start, is_live_router(pid))),
        )
    }
}

impl Drop for ProcessFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(self.directory.join(file_name(self.listen, self.pid)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn file_names_are_unique_per_address_and_process() {
        let a: SocketAddr = "127.0.0.1:6565".parse().unwrap();
        let b: SocketAddr = "127.0.0.2:6565".parse().unwrap();
        assert_eq!(file_name(a, 42), "silverspindle-127.0.0.1_6565-42.live");
        assert_eq!(parse_file_name(&file_name(a, 42), a), Some(42));
        assert_eq!(parse_file_name(&file_name(a, 42), b), None, "another address is another router");
        for bad in ["silverspindle-127.0.0.1_6565-.live", "silverspindle-127.0.0.1_6565-4x.live", "other"] {
            assert_eq!(parse_file_name(bad, a), None, "{bad}");
        }
        assert_eq!(parse_file_name("silverspindle-127.0.0.1_6565-99999999999.live", a), None);
    }

    #[test]
    fn a_successor_is_another_live_and_younger_process() {
        let start = |boot_ticks, wall_clock| Start { boot_ticks, wall_clock: Stamp::from_micros(wall_clock) };
        let own = start(100, 100);
        assert!(!has_successor(1, own, []));
        assert!(has_successor(1, own, [(2, start(200, 200), true)]));
        assert!(
            !has_successor(1, own, [(2, start(200, 200), false)]),
            "a killed process left its file behind"
        );
        assert!(!has_successor(1, own, [(2, start(50, 50), true)]), "an older process is no successor");
        assert!(!has_successor(1, own, [(1, start(200, 200), true)]), "a process doesn't succeed itself");
        assert!(
            has_successor(1, own, [(2, start(200, 50), true)]),
            "the wall clock was set back between the starts"
        );
        assert!(
            !has_successor(1, own, [(2, start(50, 200), true)]),
            "the wall clock was set forward between the starts"
        );
        assert!(
            has_successor(1, own, [(2, start(100, 200), true)]),
            "same tick: the times in the files decide"
        );
    }

    /// Both processes of an upgrade share one limit: the younger one gets what the older one leaves, at least
    /// a quarter.
    #[test]
    fn a_limit_is_shared_with_the_older_process() {
        assert_eq!(
            (remaining_limit(192, 0), remaining_limit(192, 100), remaining_limit(192, 190)),
            (192, 92, 48)
        );
        let (descriptors, memory) = resource_usage(std::process::id());
        assert!(descriptors >= 3 && memory > 1_000_000, "{descriptors} {memory}");
        assert_eq!(resource_usage(4_999_999), (0, 0), "no such process");
    }

    #[test]
    fn stale_files_are_removed_at_start_and_the_own_file_at_exit() {
        let directory = std::env::temp_dir().join(format!("upgrade-test-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let listen: SocketAddr = "127.0.0.9:1".parse().unwrap();
        // The process id is above the kernel's maximum, so the file is stale.
        let stale = directory.join(file_name(listen, 4_999_999));
        fs::write(&stale, "5").unwrap();
        fs::write(directory.join("silverspindle-127.0.0.9_1-x.live"), "junk").unwrap();
        let me = ProcessFile::register(&directory, listen, Stamp::from_micros(10)).unwrap();
        assert!(me.started.boot_ticks > 0, "the kernel reports the start time");
        assert!(!stale.exists());
        let own = directory.join(file_name(listen, std::process::id()));
        assert_eq!(fs::read_to_string(&own).unwrap(), "10");
        assert!(!me.has_successor() && me.older_usage().is_none());
        drop(me);
        assert!(!own.exists());
        fs::remove_dir_all(&directory).unwrap();
    }
}
