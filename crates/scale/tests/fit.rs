//! The fit recovers the slopes that generated the points, and its standard error grows with noise.

use millford_scale::FleetSize;
use millford_scale::fit::Fit;
use millford_scale::measure::Quantiles;
use millford_scale::size::{PLANNED, SWEEP};
use quickcheck::quickcheck;

fn figure(size: FleetSize, slopes: [f64; 4]) -> f64 {
    slopes[0]
        + slopes[1] * f64::from(size.nodes)
        + slopes[2] * f64::from(size.tenants)
        + slopes[3] * f64::from(size.backends)
}

quickcheck! {
    fn exact_points_yield_their_slopes(constant: i16, node: i8, tenant: i8, backend: i8) -> bool {
        let slopes = [
            f64::from(constant),
            f64::from(node) / 10.0,
            f64::from(tenant) / 1_000.0,
            f64::from(backend) / 100.0,
        ];
        let points: Vec<(FleetSize, f64)> =
            SWEEP.iter().map(|size| (*size, figure(*size, slopes))).collect();
        let fit = Fit::of(&points).expect("fit");
        let planned = figure(PLANNED, slopes);
        let near = |left: f64, right: f64| (left - right).abs() <= 1e-6 * (1.0 + right.abs());
        near(fit.at(PLANNED), planned)
            && near(fit.node.value, slopes[1])
            && near(fit.tenant.value, slopes[2])
            && near(fit.backend.value, slopes[3])
    }
}

#[test]
fn noise_increases_the_standard_error() {
    let noisy = |amplitude: f64| {
        let points: Vec<(FleetSize, f64)> = SWEEP
            .iter()
            .enumerate()
            .map(|(index, size)| {
                let sign = if index % 2 == 0 { 1.0 } else { -1.0 };
                (
                    *size,
                    figure(*size, [5.0, 0.1, 0.0, 0.0]) + sign * amplitude,
                )
            })
            .collect();
        Fit::of(&points).expect("fit")
    };
    assert!(noisy(0.0).node.standard_error < 1e-6);
    assert!(noisy(10.0).node.standard_error > noisy(1.0).node.standard_error);
    assert!((noisy(1.0).node.value - 0.1).abs() < 3.0 * noisy(1.0).node.standard_error);
}

#[test]
fn proportional_or_too_few_points_yield_no_fit() {
    let proportional: Vec<(FleetSize, f64)> = (1..=8)
        .map(|step| (FleetSize::new(step, step * 10, step * 5), f64::from(step)))
        .collect();
    assert_eq!(Fit::of(&proportional), None);
    assert_eq!(Fit::of(&proportional[..3]), None);
}

#[test]
fn quantiles_are_by_nearest_rank() {
    let values: Vec<f64> = (1..=200).map(f64::from).collect();
    let quantiles = Quantiles::of(&values);
    assert_eq!(
        (quantiles.p50, quantiles.p99, quantiles.max),
        (100.0, 198.0, 200.0)
    );
    assert_eq!(Quantiles::of(&[]).max, 0.0);
}
