//! Small libraries of our own, preloaded into routers under test: a wall clock that is stepped, system calls that fail.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const CLOCK_STEP: &str = include_str!("../shims/clock_step.c");
/// The variable that names the file with the clock's offset.
const CLOCK_FILE: &str = "SHIM_CLOCK_FILE";

const FAILING_CALLS: &str = include_str!("../shims/failing_calls.c");
/// The variable that names the file with the errors.
const CALLS_FILE: &str = "SHIM_CALLS_FILE";

/// A system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// Taking a connection.
    Accept,
    /// Making a file durable.
    Sync,
    /// Writing to a file; sockets and pipes are not touched.
    WriteFile,
    /// Renaming a file.
    Rename,
}

/// The system calls of a process that is started with [`FailingCalls::variables`].
#[derive(Debug)]
pub struct FailingCalls {
    library: PathBuf,
    path: PathBuf,
    file: File,
}

impl FailingCalls {
    /// None fails so far; the files lie in this directory.
    pub fn new(directory: &Path) -> io::Result<Self> {
        let library = compile(FAILING_CALLS, directory, "failing_calls")?;
        let path = directory.join("errors");
        let file = File::options().create(true).truncate(false).read(true).write(true).open(&path)?;
        file.set_len(SystemCall::Rename as u64 * 4 + 4)?;
        Ok(Self { library, path, file })
    }

    /// From now on this call fails with this error; none: it is let through.
    pub fn fail(&self, call: SystemCall, error: Option<i32>) -> io::Result<()> {
        self.file.write_all_at(&error.unwrap_or(0).to_ne_bytes(), call as u64 * 4)
    }

    /// What the process is started with.
    pub fn variables(&self) -> [(&'static str, &Path); 2] {
        [("LD_PRELOAD", &self.library), (CALLS_FILE, &self.path)]
    }
}

/// Compiles a library from its source, with the compiler that crates with C in them need as well.
fn compile(source: &str, directory: &Path, name: &str) -> io::Result<PathBuf> {
    let (code, library) = (directory.join(format!("{name}.c")), directory.join(format!("{name}.so")));
    std::fs::write(&code, source)?;
    let compiler = std::env::var_os("CC").unwrap_or_else(|| "cc".into());
    let done = Command::new(compiler)
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .args([&library, &code])
        .arg("-ldl")
        .status()?;
    if done.success() { Ok(library) } else { Err(io::Error::other(format!("{name}.c: {done}"))) }
}

/// The wall clock of a process that is started with [`ClockStep::variables`].
#[derive(Debug)]
pub struct ClockStep {
    library: PathBuf,
    path: PathBuf,
    file: File,
}

impl ClockStep {
    /// A clock that is right so far; its files lie in this directory.
    pub fn new(directory: &Path) -> io::Result<Self> {
        let library = compile(CLOCK_STEP, directory, "clock_step")?;
        let path = directory.join("clock_offset");
        let file = File::options().create(true).truncate(false).read(true).write(true).open(&path)?;
        let clock = Self { library, path, file };
        clock.step_to(0)?;
        Ok(clock)
    }

    /// From now on it is off by so many microseconds.
    pub fn step_to(&self, offset: i64) -> io::Result<()> {
        self.file.write_all_at(&offset.to_ne_bytes(), 0)
    }

    /// What the process is started with.
    pub fn variables(&self) -> [(&'static str, &Path); 2] {
        [("LD_PRELOAD", &self.library), (CLOCK_FILE, &self.path)]
    }
}
