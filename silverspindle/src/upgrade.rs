//! Two processes of one router during an upgrade: the platform starts `run` again beside the old one, on the
//! same clients' address, and sends the old one SIGTERM once the new one is ready.
//!
//! Each process leaves a file in `$TMPDIR` named after the clients' address and its process id, holding the
//! time it started. Which one is younger the kernel's account of their starts says, which no step of the wall clock
//! touches; the files' times decide only where that tells no difference. An ending process that finds a younger one
//! alive on its address knows it has a successor: it stops accepting at once, so that the kernel sends every new connection to the successor, instead of
//! lingering on a listener whose queue would be reset at its exit. Without a successor it lingers as a
//! planned restart wants. Files of processes that are gone are removed at each start; the own one at exit.
//! Deciding is pure ([`successor`], [`name`], [`parse`]); the few file calls are in [`Beside`].

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::clock::Stamp;

const PREFIX: &str = "silverspindle-";
const SUFFIX: &str = ".live";
/// Files looked at, at most: more would be no upgrade.
const MOST_FILES: usize = 64;

/// The file's name of a process on a clients' address.
pub fn name(listen: SocketAddr, pid: u32) -> String {
    let address = listen.to_string().replace([':', '[', ']'], "_");
    format!("{PREFIX}{address}-{pid}{SUFFIX}")
}

/// The process id in a file's name, if the name is one of this address.
pub fn parse(file: &str, listen: SocketAddr) -> Option<u32> {
    let own = name(listen, 0);
    let stem = own.strip_suffix(&format!("0{SUFFIX}"))?;
    let pid = file.strip_prefix(stem)?.strip_suffix(SUFFIX)?;
    (!pid.is_empty() && pid.bytes().all(|b| b.is_ascii_digit())).then(|| pid.parse().ok())?
}

/// When a process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start {
    /// By the kernel, in ticks since the machine's own start; 0 where it does not tell.
    pub ticks: u64,
    /// By the process itself, in its file.
    pub stamp: Stamp,
}

impl Start {
    /// Of a process that says so itself.
    fn of(pid: u32, stamp: Stamp) -> Self {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // The name may hold blanks and brackets; behind its end the start is the twentieth field.
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let ticks = rest.split_whitespace().nth(19).and_then(|ticks| ticks.parse().ok());
        Self { ticks: ticks.unwrap_or(0), stamp }
    }
}

/// Whether one of the others, each a process id with its start and whether it lives, is a successor of a
/// process started at `started`: alive, another, and younger.
pub fn successor(me: u32, started: Start, others: impl IntoIterator<Item = (u32, Start, bool)>) -> bool {
    others.into_iter().any(|(pid, since, alive)| alive && pid != me && since > started)
}

/// Of a limit that holds for both processes together, what this one may take while the others have so much of it. A
/// quarter at least: what serves from now on must not be without.
pub fn part(limit: usize, others: usize) -> usize {
    limit.saturating_sub(others).max(limit / 4)
}

/// Descriptors and bytes of memory that a process holds, by the kernel's account; none where it is gone.
fn held(pid: u32) -> (usize, usize) {
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = resident.and_then(|text| text.split_whitespace().next()?.parse::<usize>().ok());
    (descriptors, kb.unwrap_or(0) * 1024)
}

/// This process's file, and what it finds beside itself.
#[derive(Debug)]
pub struct Beside {
    directory: PathBuf,
    listen: SocketAddr,
    pid: u32,
    started: Start,
}

/// Whether a process lives and is a router: a process id that was given anew to another program is none.
fn alive(pid: u32) -> bool {
    fs::read(format!("/proc/{pid}/cmdline"))
        .is_ok_and(|line| String::from_utf8_lossy(&line).contains("silverspindle"))
}

impl Beside {
    /// Removes the files of processes that are gone and writes the own one. Off where the directory can't be
    /// written: then no successor is ever found, and an end lingers.
    pub fn enter(directory: &Path, listen: SocketAddr, started: Stamp) -> Option<Self> {
        let pid = std::process::id();
        let me = Self { directory: directory.to_owned(), listen, pid, started: Start::of(pid, started) };
        for (pid, _) in me.others() {
            if !alive(pid) {
                let _ = fs::remove_file(directory.join(name(listen, pid)));
            }
        }
        match fs::write(me.directory.join(name(listen, me.pid)), started.as_micros().to_string()) {
            Ok(()) => Some(me),
            Err(e) => {
                tracing::warn!("{}: {e}; an upgrade can't be told from a restart", directory.display());
                None
            }
        }
    }

    /// The other processes on this address, with their starts.
    fn others(&self) -> Vec<(u32, Start)> {
        let Ok(entries) = fs::read_dir(&self.directory) else { return Vec::new() };
        let pids = entries.take(4 * MOST_FILES).filter_map(|entry| {
            let entry = entry.ok()?;
            parse(entry.file_name().to_str()?, self.listen).filter(|pid| *pid != self.pid)
        });
        let stamp = |pid| {
            let file = fs::read_to_string(self.directory.join(name(self.listen, pid))).unwrap_or_default();
            Stamp::from_micros(file.trim().parse().unwrap_or(0))
        };
        pids.take(MOST_FILES).map(|pid| (pid, Start::of(pid, stamp(pid)))).collect()
    }

    /// What older processes on this address hold, descriptors and bytes of memory; none: there is none any more.
    pub fn elders(&self) -> Option<(usize, usize)> {
        let older = self.others().into_iter().filter(|(pid, since)| *since < self.started && alive(*pid));
        let held: Vec<(usize, usize)> = older.map(|(pid, _)| held(pid)).collect();
        let sum = |(d, m): (usize, usize), (e, n): &(usize, usize)| (d + e, m + n);
        (!held.is_empty()).then(|| held.iter().fold((0, 0), sum))
    }

    /// Whether a younger process serves on this address.
    pub fn succeeded(&self) -> bool {
        successor(
            self.pid,
            self.started,
            self.others().into_iter().map(|(pid, since)| (pid, since, alive(pid))),
        )
    }
}

impl Drop for Beside {
    fn drop(&mut self) {
        let _ = fs::remove_file(self.directory.join(name(self.listen, self.pid)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_per_address_and_process() {
        let a: SocketAddr = "127.0.0.1:6565".parse().unwrap();
        let b: SocketAddr = "127.0.0.2:6565".parse().unwrap();
        assert_eq!(name(a, 42), "silverspindle-127.0.0.1_6565-42.live");
        assert_eq!(parse(&name(a, 42), a), Some(42));
        assert_eq!(parse(&name(a, 42), b), None, "another address is another router");
        for bad in ["silverspindle-127.0.0.1_6565-.live", "silverspindle-127.0.0.1_6565-4x.live", "other"] {
            assert_eq!(parse(bad, a), None, "{bad}");
        }
        assert_eq!(parse("silverspindle-127.0.0.1_6565-99999999999.live", a), None);
    }

    #[test]
    fn a_successor_is_alive_another_and_younger() {
        let start = |ticks, stamp| Start { ticks, stamp: Stamp::from_micros(stamp) };
        let own = start(100, 100);
        assert!(!successor(1, own, []));
        assert!(successor(1, own, [(2, start(200, 200), true)]));
        assert!(!successor(1, own, [(2, start(200, 200), false)]), "a killed one left its file");
        assert!(!successor(1, own, [(2, start(50, 50), true)]), "the older one is no successor");
        assert!(!successor(1, own, [(1, start(200, 200), true)]), "nor the process itself");
        assert!(
            successor(1, own, [(2, start(200, 50), true)]),
            "the wall clock was set back between the starts"
        );
        assert!(!successor(1, own, [(2, start(50, 200), true)]), "or forward");
        assert!(successor(1, own, [(2, start(100, 200), true)]), "within a tick the files tell");
    }

    /// Both processes of an upgrade keep to one limit: what the older one holds the younger leaves, but for a quarter.
    #[test]
    fn a_limit_is_shared_with_who_stands_beside() {
        assert_eq!((part(192, 0), part(192, 100), part(192, 190)), (192, 92, 48));
        let (descriptors, memory) = held(std::process::id());
        assert!(descriptors >= 3 && memory > 1_000_000, "{descriptors} {memory}");
        assert_eq!(held(4_999_999), (0, 0), "gone");
    }

    #[test]
    fn files_of_the_gone_are_removed_and_the_own_at_exit() {
        let directory = std::env::temp_dir().join(format!("upgrade-test-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let listen: SocketAddr = "127.0.0.9:1".parse().unwrap();
        // A process id above any the kernel gives: its file is stale.
        let stale = directory.join(name(listen, 4_999_999));
        fs::write(&stale, "5").unwrap();
        fs::write(directory.join("silverspindle-127.0.0.9_1-x.live"), "junk").unwrap();
        let me = Beside::enter(&directory, listen, Stamp::from_micros(10)).unwrap();
        assert!(me.started.ticks > 0, "the kernel tells");
        assert!(!stale.exists());
        let own = directory.join(name(listen, std::process::id()));
        assert_eq!(fs::read_to_string(&own).unwrap(), "10");
        assert!(!me.succeeded() && me.elders().is_none());
        drop(me);
        assert!(!own.exists());
        fs::remove_dir_all(&directory).unwrap();
    }
}
