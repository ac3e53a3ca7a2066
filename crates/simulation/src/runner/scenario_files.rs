//! Loads scenario files.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::scenario::{ParseError, Scenario};

/// A scenario with its file.
#[derive(Clone, Debug)]
pub struct ScenarioFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Scenario parsed from the file.
    pub scenario: Scenario,
}

/// Error that keeps scenario files from being loaded.
#[derive(Debug, Error)]
pub enum ScenarioFileError {
    /// A file or folder cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// A file is not a valid scenario.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Syntax error, with its line.
        source: ParseError,
    },
}

const EXTENSION: &str = "scn";

/// Loads a file, or every scenario file of a folder in the order of their names.
///
/// # Errors
/// [`ScenarioFileError`] for the first file or folder that cannot be read or parsed.
pub fn load_scenarios(path: &Path) -> Result<Vec<ScenarioFile>, ScenarioFileError> {
    if path.is_file() {
        return Ok(vec![load_file(path)?]);
    }
    let entries = std::fs::read_dir(path).map_err(|source| unreadable(path, source))?;
    let mut paths: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == EXTENSION)
        })
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
