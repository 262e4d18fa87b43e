//! Small libraries of our own, preloaded into routers under test: a wall clock that is stepped.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const CLOCK_STEP: &str = include_str!("../shims/clock_step.c");
/// The variable that names the file with the clock's offset.
const CLOCK_FILE: &str = "SHIM_CLOCK_FILE";

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
