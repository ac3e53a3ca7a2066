//! Finds and reads scenario files.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::scenario::{ParseError, Scenario};

/// A scenario and the file that it came from.
#[derive(Clone, Debug)]
pub struct ScenarioFile {
    /// The file.
    pub path: PathBuf,
    /// What it says.
    pub scenario: Scenario,
}

/// Why scenario files cannot be loaded.
#[derive(Debug, Error)]
pub enum ScenarioFileError {
    /// A file or folder cannot be read.
    #[error("{} cannot be read: {source}", path.display())]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is no scenario.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The line that is wrong, and why.
        source: ParseError,
    },
}

const EXTENSION: &str = "scn";

/// Reads a file, or every scenario file of a folder in the order of their names.
///
/// # Errors
/// [`ScenarioFileError`] names the first file or folder that cannot be read or parsed.
pub fn load_scenarios(path: &Path) -> Result<Vec<ScenarioFile>, ScenarioFileError> {
    if path.is_file() {
        return Ok(vec![load_file(path)?]);
    }
    let entries = std::fs::read_dir(path).map_err(|source| unreadable(path, source))?;
    let mut paths: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|it| it == EXTENSION))
        .collect();
    paths.sort();
    paths.iter().map(|path| load_file(path)).collect()
}

fn load_file(path: &Path) -> Result<ScenarioFile, ScenarioFileError> {
    let text = std::fs::read_to_string(path).map_err(|source| unreadable(path, source))?;
    let scenario = Scenario::parse(&text).map_err(|source| ScenarioFileError::Invalid {
        path: path.to_path_buf(),
        source,
    })?;
    Ok(ScenarioFile {
        path: path.to_path_buf(),
        scenario,
    })
}

fn unreadable(path: &Path, source: io::Error) -> ScenarioFileError {
    ScenarioFileError::Unreadable {
        path: path.to_path_buf(),
        source,
    }
}
