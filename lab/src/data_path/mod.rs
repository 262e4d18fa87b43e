//! What the decision module costs by size: processor time a request against listed members, processor time a purge
//! against purges a second, bytes of state, and what the filter of seen objects tells.

pub mod cache;
pub mod filter;
pub mod fit;
pub mod host;
pub mod memory;
pub mod purges;
pub mod requests;

use std::fmt;

use serde::Serialize;

use fit::Power;

/// A router's part of the peak: requests a second.
pub const REQUESTS_PER_S: u64 = 1_090;
/// A router's part of the peak: purges a second.
pub const PURGES_PER_S: u64 = 110;

/// One measured figure at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What was measured.
    pub what: &'static str,
    /// The size that was varied.
    pub n: u64,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// The power of `n` through all rows of the same kind; none from fewer than three sizes.
    pub fit: Option<Power>,
}

/// A measured size and its figure.
pub type Point = (u64, f64);

/// Rows of one kind, all with the fit through them.
pub fn rows(what: &'static str, unit: &'static str, points: &[Point]) -> Vec<Row> {
    let fit = Power::through(points);
    points.iter().map(|(n, value)| Row { what, n: *n, value: *value, unit, fit }).collect()
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<24} {:>9} {:>12.3} {:<5}", self.what, self.n, self.value, self.unit)?;
        self.fit.map_or(Ok(()), |fit| write!(f, "  {fit}"))
    }
}

/// Which sizes are measured.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Listed caches or parents.
    pub members: Vec<u64>,
    /// Purges a second.
    pub purges: Vec<u64>,
}

/// All rows at these sizes.
pub fn measure(sizes: &Sizes) -> Vec<Row> {
    let mut rows = requests::measure(&sizes.members);
    rows.extend(requests::core_share(&rows));
    rows.extend(purges::measure(&sizes.purges));
    rows.extend(memory::measure(&sizes.members, &sizes.purges));
    rows
}

/// The middle one of some figures.
pub fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(f64::NAN)
}
