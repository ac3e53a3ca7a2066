//! Results of a run as text, JSON and a plot.

pub mod figure;
pub mod plot;
pub mod text;

use std::path::Path;

use serde::Serialize;

use crate::error::ScaleError;
use crate::fit::Fit;
use crate::size::PLANNED;
use crate::size_result::SizeResult;

pub use figure::Figure;

/// One figure over all sizes, fitted.
#[derive(Clone, Debug, Serialize)]
pub struct FittedFigure {
    /// Name with unit.
    pub name: &'static str,
    /// The sum that fits best.
    pub fit: Fit,
    /// The fitted figure at the planned size.
    pub planned: f64,
    /// What it may be at most, if there is a limit.
    pub limit: Option<f64>,
}

/// All results of a sweep.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Sizes measured.
    pub sizes: Vec<SizeResult>,
    /// Sizes that failed, and why.
    pub failures: Vec<String>,
    /// Fitted figures; empty with too few sizes.
    pub fits: Vec<FittedFigure>,
}

impl Report {
    /// Fits every figure.
    pub fn fit(&mut self) {
        let figures = Figure::ALL.iter();
        self.fits = figures
            .filter_map(|figure| {
                let fit = Fit::of(&figure.points(&self.sizes))?;
                Some(FittedFigure {
                    name: figure.name,
                    planned: fit.at(PLANNED),
                    limit: figure.limit,
                    fit,
                })
            })
            .collect();
    }
}

/// Writes `NAME.txt` for people and `NAME.json` for programs into a folder.
///
/// # Errors
/// A file cannot be written, or the results not be put into JSON.
pub fn write_files(
    folder: &Path,
    name: &str,
    text: &str,
    results: &impl Serialize,
) -> Result<(), ScaleError> {
    let json = serde_json::to_vec_pretty(results)?;
    for (ending, content) in [("txt", text.as_bytes()), ("json", &json)] {
        let file = format!("{name}.{ending}");
        let failed = ScaleError::system(format!("write {file}"));
        std::fs::write(folder.join(file), content).map_err(failed)?;
    }
    Ok(())
}
