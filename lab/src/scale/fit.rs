//! By which power of the fleet's size a figure grows: least squares on the logarithms.

use std::collections::BTreeMap;

use super::report::Row;

/// Sizes that a fit needs.
pub const LEAST_SIZES: usize = 3;

/// The exponent of `y = c * x^exponent`; none with fewer than three sizes, or where a value is not above 0.
pub fn exponent(points: &[(f64, f64)]) -> Option<f64> {
    let good = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
    if !good || points.len() < LEAST_SIZES {
        return None;
    }
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let count = logs.len() as f64;
    let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    (variance > 0.0).then(|| covariance / variance)
}

/// Writes into each row the fits of its figures over all sizes of the same scenario, core and role.
pub fn add(rows: &mut [Row]) {
    let mut series: BTreeMap<(String, &'static str), Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows.iter() {
        for (field, value) in row.figures() {
            series.entry((row.series(), field)).or_default().push((row.routers as f64, value));
        }
    }
    for row in rows.iter_mut() {
        let name = row.series();
        for (field, _) in row.figures() {
            let points = &series[&(name.clone(), field)];
            if let Some(exponent) = exponent(points) {
                // Zero is added so that none is "-0".
                row.fit.insert(field.to_owned(), (exponent * 1000.0).round() / 1000.0 + 0.0);
            }
        }
    }
}
