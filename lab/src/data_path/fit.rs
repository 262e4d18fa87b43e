//! A power law through measured points, by least squares on logarithms.

use std::fmt;

use serde::Serialize;

use super::Point;

/// From fewer sizes no power is told.
const LEAST_SIZES: usize = 3;

/// `coefficient * n ^ power`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Power {
    /// The figure at `n` = 1.
    pub coefficient: f64,
    /// The exponent.
    pub power: f64,
}

impl Power {
    /// The power law through these points; none where there are too few, or one that has no logarithm.
    pub fn through(points: &[Point]) -> Option<Self> {
        let positive = points.iter().all(|(n, value)| *n > 0 && *value > 0.0);
        if points.len() < LEAST_SIZES || !positive {
            return None;
        }
        let logs: Vec<(f64, f64)> = points.iter().map(|(n, value)| ((*n as f64).ln(), value.ln())).collect();
        let count = logs.len() as f64;
        let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let shared: f64 = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        if spread == 0.0 {
            return None;
        }
        let power = shared / spread;
        Some(Self { coefficient: (mean_y - power * mean_x).exp(), power })
    }

    /// The figure that the law gives for a size.
    pub fn at(&self, n: f64) -> f64 {
        self.coefficient * n.powf(self.power)
    }
}

impl fmt::Display for Power {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.4} n^{:.2}", self.coefficient, self.power)
    }
}
