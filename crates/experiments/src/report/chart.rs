//! Line charts, written as SVG files.

use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use crate::error::ExperimentError;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (900, 520);
/// Upper end of the vertical axis, as a factor on the largest value.
const HEADROOM: f64 = 1.05;

/// A line chart with one or more series.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Chart {
    /// Name of the file, without extension.
    pub name: String,
    /// Title above the chart.
    pub title: String,
    /// Name and unit of the horizontal axis.
    pub x_label: String,
    /// Name and unit of the vertical axis.
    pub y_label: String,
    /// The lines, in the order of the legend.
    pub series: Vec<Series>,
}

/// One line of a chart.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points, in ascending order of `x`.
    pub points: Vec<Point>,
}

/// One point of a line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Position on the horizontal axis.
    pub x: f64,
    /// Position on the vertical axis.
    pub y: f64,
}

impl Series {
    /// Creates a line from pairs of coordinates.
    #[must_use]
    pub fn new(name: &str, points: impl IntoIterator<Item = (f64, f64)>) -> Self {
        let points = points.into_iter().map(|(x, y)| Point { x, y });
        Self {
            name: name.to_owned(),
            points: points.collect(),
        }
    }
}

impl Chart {
    /// Writes the chart as an SVG file.
    ///
    /// # Errors
    /// Fails when the chart cannot be drawn or the file cannot be written.
    pub fn write_svg(&self, path: &Path) -> Result<(), ExperimentError> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        let drawn = self.draw(&area).and_then(|()| area.present());
        drawn.map_err(|error| ExperimentError::Draw {
            path: path.to_path_buf(),
            source: Box::new(error),
        })
    }

    fn draw<B: DrawingBackend>(
        &self,
        area: &DrawingArea<B, plotters::coord::Shift>,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
        area.fill(&WHITE)?;
        let (x_range, y_range) = self.ranges();
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(64)
            .build_cartesian_2d(x_range, y_range)?;
        chart
            .configure_mesh()
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
            .draw()?;
        for (index, series) in self.series.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let points = series.points.iter().map(|point| (point.x, point.y));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(&series.name)
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        Ok(())
    }

    fn ranges(&self) -> (std::ops::Range<f64>, std::ops::Range<f64>) {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let min_x = points().map(|point| point.x).fold(f64::INFINITY, f64::min);
        let max_x = points()
            .map(|point| point.x)
            .fold(f64::NEG_INFINITY, f64::max);
        let max_y = points().map(|point| point.y).fold(0.0, f64::max);
        let x_range = if min_x < max_x {
            min_x..max_x
        } else {
            0.0..1.0
        };
        (x_range, 0.0..(max_y * HEADROOM).max(f64::MIN_POSITIVE))
    }
}
