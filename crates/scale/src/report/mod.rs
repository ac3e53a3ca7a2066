//! Reports of a run as text, JSON and a plot.

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

/// Fit of one figure over all sizes.
#[derive(Clone, Debug, Serialize)]
pub struct FittedFigure {
    /// Name of the figure, with unit.
    pub name: &'static str,
    /// The fitted model.
    pub fit: Fit,
    /// Value of the fitted model at the planned size.
    pub planned: f64,
    /// Largest acceptable value; `None` without a limit.
    pub limit: Option<f64>,
}

/// Results of all sizes of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Measurements of the sizes that succeeded.
    pub sizes: Vec<SizeResult>,
    /// Size and error of each size that failed.
    pub failures: Vec<String>,
    /// Fitted figures; a figure is missing when there are too few sizes to fit it.
    pub fits: Vec<FittedFigure>,
}

impl Report {
    /// Replaces the fits by new ones over the measured sizes.
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

/// Writes the text as `NAME.txt` and the results as `NAME.json` into a folder.
///
/// # Errors
/// Fails when a file cannot be written or the results cannot be encoded as JSON.
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
