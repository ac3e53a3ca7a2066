//! Plot of a report's figures.

use std::path::Path;

use plotters::prelude::*;

use crate::error::ScaleError;
use crate::report::{Figure, Report};

/// Width and height of the whole plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1200, 1400);

/// Number of panels in a row.
const COLUMNS: usize = 2;

/// Writes an SVG file with one panel per figure, which shows the figure against the number of nodes and its
/// limit as a red line.
///
/// # Errors
/// Fails when the plot cannot be drawn or the file cannot be written.
pub fn write(path: &Path, report: &Report) -> Result<(), ScaleError> {
    draw(path, report).map_err(ScaleError::Plot)
}

fn draw(path: &Path, report: &Report) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let rows = Figure::ALL.len().div_ceil(COLUMNS);
    let panels = root.split_evenly((rows, COLUMNS));
    for (figure, panel) in Figure::ALL.iter().zip(&panels) {
        let points: Vec<(f64, f64)> = figure
            .points(&report.sizes)
            .into_iter()
            .map(|(size, value)| (f64::from(size.nodes), value))
            .collect();
        let largest = points.iter().map(|point| point.1).fold(0.0, f64::max);
        let top = largest.max(figure.limit.unwrap_or(0.0)) * 1.1 + f64::EPSILON;
        let right = points.iter().map(|point| point.0).fold(1.0, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{} against nodes", figure.name), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().x_labels(8).y_labels(5).draw()?;
        chart.draw_series(
            points
                .iter()
                .map(|point| Circle::new(*point, 4, BLUE.filled())),
        )?;
        if let Some(limit) = figure.limit {
            chart.draw_series(LineSeries::new([(0.0, limit), (right, limit)], &RED))?;
        }
    }
    root.present()?;
    Ok(())
}
