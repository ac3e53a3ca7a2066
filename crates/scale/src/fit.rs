//! Least squares: what each node, tenant and backend adds to a figure.

use serde::Serialize;

use crate::size::FleetSize;

/// Number of unknowns: the constant part, and one for each direction of growth.
const UNKNOWNS: usize = 4;

/// Smallest pivot that is told from zero.
const SINGULAR: f64 = 1e-9;

type Row = [f64; UNKNOWNS];

/// One term of a fitted sum, with its spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Slope {
    /// Estimate.
    pub value: f64,
    /// Standard error of the estimate.
    pub spread: f64,
}

/// `constant + node * nodes + tenant * tenants + backend * backends`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Fit {
    /// Part that does not grow.
    pub constant: Slope,
    /// What a node adds.
    pub node: Slope,
    /// What a tenant adds.
    pub tenant: Slope,
    /// What a backend adds.
    pub backend: Slope,
    /// Standard deviation of what the sum does not explain.
    pub residual: f64,
    /// Number of points.
    pub points: usize,
}

impl Fit {
    /// Fits the points; none when there are too few, or they do not tell the directions apart.
    #[must_use]
    pub fn of(points: &[(FleetSize, f64)]) -> Option<Self> {
        if points.len() <= UNKNOWNS {
            return None;
        }
        let inverse = invert(normal_matrix(points))?;
        let estimate = multiply(&inverse, &moments(points));
        let left = points.iter().map(|(size, value)| {
            let difference = value - dot(&row(*size), &estimate);
            difference * difference
        });
        let freedom = points.len() - UNKNOWNS;
        let variance = left.sum::<f64>() / freedom as f64;
        let slope = |place: usize| Slope {
            value: estimate[place],
            spread: (variance * inverse[place][place]).max(0.0).sqrt(),
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

    /// The fitted figure at a size.
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

/// Gauss-Jordan elimination with the largest pivot, on columns scaled to one.
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
        if pivot.abs() < SINGULAR {
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
