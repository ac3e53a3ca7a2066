//! Finds and reads scenario files.

use std::path::{Path, PathBuf};

use crate::scenario::Scenario;

/// A scenario and the file that it came from.
#[derive(Clone, Debug)]
pub struct ScenarioFile {
    /// The file.
    pub path: PathBuf,
    /// What it says.
    pub scenario: Scenario,
}

const EXTENSION: &str = "scn";

/// Reads a file, or every scenario file of a folder in the order of their names.
pub fn load_scenarios(path: &Path) -> Result<Vec<ScenarioFile>, String> {
    if path.is_file() {
        return Ok(vec![load_file(path)?]);
    }
    let entries = std::fs::read_dir(path)
        .map_err(|error| format!("{} cannot be read: {error}", path.display()))?;
    let mut paths: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|it| it == EXTENSION))
        .collect();
    paths.sort();
    paths.iter().map(|path| load_file(path)).collect()
}

fn load_file(path: &Path) -> Result<ScenarioFile, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{} cannot be read: {error}", path.display()))?;
    let scenario =
        Scenario::parse(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(ScenarioFile {
        path: path.to_path_buf(),
        scenario,
    })
}
