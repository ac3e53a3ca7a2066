//! The report of an experiment.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::error::ExperimentError;
use crate::report::chart::Chart;
use crate::report::table::Table;

/// Results of one experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the experiment, also the base name of the report's files.
    pub experiment: String,
    /// Command that reproduces this report.
    pub command: String,
    /// Notes on the setup and on the meaning of the figures, one a line.
    pub notes: Vec<String>,
    /// Tables of the figures.
    pub tables: Vec<Table>,
    /// Charts, each written to a separate file.
    pub charts: Vec<Chart>,
}

impl Report {
    /// Creates a report without notes, tables and charts.
    #[must_use]
    pub fn new(experiment: &str, seeds: u64) -> Self {
        Self {
            experiment: experiment.to_owned(),
            command: format!("millford-lab experiment {experiment} --seeds {seeds}"),
            notes: Vec::new(),
            tables: Vec::new(),
            charts: Vec::new(),
        }
    }

    /// Adds a note.
    pub fn note(&mut self, text: impl Into<String>) {
        self.notes.push(text.into());
    }

    /// Formats the command, notes and tables as text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = format!("{}\n", self.command);
        for note in &self.notes {
            text.push_str(note);
            text.push('\n');
        }
        for table in &self.tables {
            text.push('\n');
            text.push_str(&table.to_text());
        }
        text
    }

    /// Writes the report as text, JSON and SVG charts into a folder, which is created if it is missing.
    ///
    /// # Errors
    /// Fails when the folder cannot be created, or a file or a chart cannot be written.
    pub fn write(&self, folder: &Path) -> Result<(), ExperimentError> {
        fs::create_dir_all(folder).map_err(|source| ExperimentError::Write {
            path: folder.to_path_buf(),
            source,
        })?;
        let file = |extension: &str| folder.join(format!("{}.{extension}", self.experiment));
        write_file(file("txt"), &self.to_text())?;
        write_file(file("json"), &serde_json::to_string_pretty(self)?)?;
        for chart in &self.charts {
            chart.write_svg(&folder.join(format!("{}.svg", chart.name)))?;
        }
        Ok(())
    }
}

fn write_file(path: PathBuf, content: &str) -> Result<(), ExperimentError> {
    fs::write(&path, content).map_err(|source| ExperimentError::Write { path, source })
}
