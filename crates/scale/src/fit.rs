//! Least-squares fit of what each node, tenant and backend adds to a figure.

use serde::Serialize;

use crate::size::FleetSize;

/// Number of unknowns: the constant and the slopes for nodes, tenants and backends.
const UNKNOWNS: usize = 4;

/// Smallest absolute pivot; a matrix with a smaller one counts as singular.
const MIN_PIVOT: f64 = 1e-9;

type Row = [f64; UNKNOWNS];

/// One coefficient of a fit with its standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Slope {
    /// Estimated coefficient.
    pub value: f64,
    /// Standard error of the estimate, in the same unit.
    #[serde(rename = "spread")]
    pub standard_error: f64,
}

/// Linear model `constant + node * nodes + tenant * tenants + backend * backends`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Fit {
    /// Part that does not depend on the fleet size.
    pub constant: Slope,
    /// Increase per node.
    pub node: Slope,
    /// Increase per tenant.
    pub tenant: Slope,
    /// Increase per backend.
    pub backend: Slope,
    /// Standard deviation of the residuals.
    pub residual: f64,
    /// Number of measured points that the fit is based on.
    pub points: usize,
}

impl Fit {
    /// Fits the points. Returns `None` when there are no more points than unknowns, or when nodes, tenants and
    /// backends grow in proportion so that their contributions cannot be separated.
    #[must_use]
    pub fn of(points: &[(FleetSize, f64)]) -> Option<Self> {
        if points.len() <= UNKNOWNS {
            return None;
        }
        let inverse = invert(normal_matrix(points))?;
        let estimate = multiply(&inverse, &moments(points));
        let squared_residuals = points.iter().map(|(size, value)| {
            let difference = value - dot(&row(*size), &estimate);
            difference * difference
        });
        let degrees_of_freedom = points.len() - UNKNOWNS;
        let variance = squared_residuals.sum::<f64>() / degrees_of_freedom as f64;
        let slope = |index: usize| Slope {
            value: estimate[index],
            standard_error: (variance * inverse[index][index]).max(0.0).sqrt(),
        };
        Some(Self {
            constant: slope(0),
            node: slope(1),
            tenant: slope(2),
            backend: slope(3),
            residual: variance.sqrt(),
            points: points.len(),
        })
    }

    /// Evaluates the fitted model at a size.
    #[must_use]
    pub fn at(&self, size: FleetSize) -> f64 {
        let terms = [self.constant, self.node, self.tenant, self.backend];
        dot(&row(size), &terms.map(|slope| slope.value))
    }
}

fn row(size: FleetSize) -> Row {
    [
        1.0,
        f64::from(size.nodes),
        f64::from(size.tenants),
        f64::from(size.backends),
    ]
}

fn normal_matrix(points: &[(FleetSize, f64)]) -> [Row; UNKNOWNS] {
    let mut matrix = [[0.0; UNKNOWNS]; UNKNOWNS];
    for (size, _) in points {
        let row = row(*size);
        for (line, left) in matrix.iter_mut().zip(row) {
            for (cell, right) in line.iter_mut().zip(row) {
                *cell += left * right;
            }
        }
    }
    matrix
}

fn moments(points: &[(FleetSize, f64)]) -> Row {
    let mut moments = [0.0; UNKNOWNS];
    for (size, value) in points {
        for (moment, factor) in moments.iter_mut().zip(row(*size)) {
            *moment += factor * value;
        }
    }
    moments
}

fn dot(left: &Row, right: &Row) -> f64 {
    left.iter()
        .zip(right)
        .map(|(left, right)| left * right)
        .sum()
}

fn multiply(matrix: &[Row; UNKNOWNS], vector: &Row) -> Row {
    let mut product = [0.0; UNKNOWNS];
    for (cell, line) in product.iter_mut().zip(matrix) {
        *cell = dot(line, vector);
    }
    product
}

/// Inverts a matrix by Gauss-Jordan elimination with partial pivoting, after scaling its diagonal to 1.
/// Returns `None` when it is singular.
fn invert(matrix: [Row; UNKNOWNS]) -> Option<[Row; UNKNOWNS]> {
    let scale: Vec<f64> = (0..UNKNOWNS).map(|at| matrix[at][at].sqrt()).collect();
    if scale.contains(&0.0) {
        return None;
    }
    let mut left = matrix;
    let mut right = [[0.0; UNKNOWNS]; UNKNOWNS];
    for line in 0..UNKNOWNS {
        right[line][line] = 1.0;
        for column in 0..UNKNOWNS {
            left[line][column] /= scale[line] * scale[column];
        }
    }
    for column in 0..UNKNOWNS {
        let largest = (column..UNKNOWNS).max_by(|first, second| {
            left[*first][column]
                .abs()
                .total_cmp(&left[*second][column].abs())
        })?;
        left.swap(column, largest);
        right.swap(column, largest);
        let pivot = left[column][column];
        if pivot.abs() < MIN_PIVOT {
            return None;
        }
        left[column] = left[column].map(|cell| cell / pivot);
        right[column] = right[column].map(|cell| cell / pivot);
        for line in (0..UNKNOWNS).filter(|line| *line != column) {
            let factor = left[line][column];
            for cell in 0..UNKNOWNS {
                left[line][cell] -= factor * left[column][cell];
                right[line][cell] -= factor * right[column][cell];
            }
        }
    }
    for line in 0..UNKNOWNS {
        for column in 0..UNKNOWNS {
            right[line][column] /= scale[line] * scale[column];
        }
    }
    Some(right)
}
