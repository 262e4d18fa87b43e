//! What control costs as a fleet grows: the real cores of the agreement and of the relays at several sizes, on a
//! made-up clock and network. A row for each size and role says what was sent, received, computed and kept.
//!
//! [`command`] is the command line, [`scenario`] what happens, [`tree`] who is where, [`relay_model`] and
//! [`agreement_model`] host the cores, [`meter`] counts, [`everywhere`] checks, [`fit`] and [`report`] print.

pub mod agreement_model;
pub mod command;
pub mod everywhere;
pub mod fit;
pub mod meter;
pub mod queue;
pub mod relay_model;
pub mod report;
pub mod scenario;
pub mod tree;

pub use report::{Row, Times};
pub use scenario::{Core, Scenario};

/// Microseconds.
pub type Micros = u64;
/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SECOND: Micros = 1_000_000;

/// One run: a scenario at a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Routers; control machines come on top of them.
    pub routers: usize,
    /// What happens.
    pub scenario: Scenario,
    /// Simulated seconds that are measured, after the warm-up.
    pub seconds: u64,
    /// For all that is drawn.
    pub seed: u64,
}

/// Plays one run on each core that the scenario concerns.
pub fn play(run: Run, only: Option<Core>) -> Vec<Row> {
    let cores = run.scenario.cores().iter().filter(|core| only.is_none_or(|only| only == **core));
    cores
        .flat_map(|core| match core {
            Core::Relay => relay_model::play(run),
            Core::Agreement => agreement_model::play(run),
            Core::Feed => vec![report::feed_row(run)],
        })
        .collect()
}

/// Plays all runs, so many at a time, and fits the rows of different sizes. The rows come in the order of the runs.
pub fn play_all(runs: &[Run], only: Option<Core>, threads: usize) -> Vec<Row> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let Some(run) = runs.get(index) else { return done };
            done.push((index, play(*run, only)));
        }
    };
    let mut all = Vec::new();
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        for worker in workers {
            match worker.join() {
                Ok(done) => all.extend(done),
                Err(panic) => std::panic::resume_unwind(panic),
            }
        }
    });
    all.sort_by_key(|(index, _)| *index);
    let mut rows: Vec<Row> = all.into_iter().flat_map(|(_, rows)| rows).collect();
    fit::add(&mut rows);
    rows
}
