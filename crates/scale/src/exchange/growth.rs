//! Growth of a figure with the size of the fleet.

use serde::Serialize;

/// Power law `figure = factor * nodes^exponent`, fitted by least squares of the logarithms. The exponent is 0
/// for a constant figure and 1 for one that grows in proportion to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Growth {
    /// Estimated exponent.
    pub exponent: f64,
    /// Standard error of the exponent.
    #[serde(rename = "spread")]
    pub standard_error: f64,
}

impl Growth {
    /// Fits pairs of a number of nodes and a figure. Returns `None` for fewer than three points, for points of
    /// only one size, and when a number or figure is not above 0.
    #[must_use]
    pub fn of(points: &[(usize, f64)]) -> Option<Self> {
        if points.len() < 3
            || points
                .iter()
                .any(|(nodes, figure)| *nodes == 0 || *figure <= 0.0)
        {
            return None;
        }
        let points = points
            .iter()
            .map(|(nodes, figure)| ((*nodes as f64).ln(), figure.ln()));
        let points: Vec<(f64, f64)> = points.collect();
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let square: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if square <= 0.0 {
            return None;
        }
        let product = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let exponent = product.sum::<f64>() / square;
        let squared_residuals = points.iter().map(|(x, y)| {
            let expected = mean_y + exponent * (x - mean_x);
            (y - expected).powi(2)
        });
        let variance = squared_residuals.sum::<f64>() / (count - 2.0);
        Some(Self {
            exponent,
            standard_error: (variance / square).sqrt(),
        })
    }
}
