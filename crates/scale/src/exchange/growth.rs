//! How a figure grows with the fleet.

use serde::Serialize;

/// Exponent of the power of the number of nodes that a figure follows, by least squares of the logarithms:
/// 0 where the figure does not grow, 1 where it grows with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Growth {
    /// Estimate.
    pub exponent: f64,
    /// Standard error of the estimate.
    pub spread: f64,
}

impl Growth {
    /// The growth of these figures by number of nodes; none for fewer than three sizes, or for figures
    /// that are not above 0.
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
        let left = points.iter().map(|(x, y)| {
            let expected = mean_y + exponent * (x - mean_x);
            (y - expected).powi(2)
        });
        let variance = left.sum::<f64>() / (count - 2.0);
        Some(Self {
            exponent,
            spread: (variance / square).sqrt(),
        })
    }
}
