//! Draws a chart of the lost value over time.

use millford_decisions::{DecisionsError, LossReport};
use plotters::prelude::*;

/// Width and height of the chart, in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Draws the share of the value that was lost, by second of arrival, and returns it as SVG.
///
/// # Errors
/// Fails when the picture cannot be drawn.
pub fn draw_losses(report: &LossReport) -> Result<String, DecisionsError> {
    let mut text = String::new();
    draw(report, &mut text).map_err(|error| DecisionsError::Plot(error.to_string()))?;
    Ok(text)
}

fn draw(report: &LossReport, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let points: Vec<(u64, f64)> = report
        .by_second
        .iter()
        .map(|(second, loss)| (*second, loss.lost / (loss.requests.max(1) as f64)))
        .collect();
    let first = points.first().map_or(0, |(second, _)| *second);
    let last = points.last().map_or(1, |(second, _)| *second + 1);
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Share of the value lost, by second of arrival",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(first..last, 0.0..1.0)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    chart.draw_series(LineSeries::new(points, &RED))?;
    area.present()?;
    Ok(())
}
