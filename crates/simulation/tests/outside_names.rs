//! The scenario files hold the statements of b3d3e00, and all of them are still read.

#[path = "../../api/tests/support/committed.rs"]
mod committed;

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use committed::assert_committed;
use millford_simulation::scenario::Scenario;

const SCENARIOS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data");

/// Scenario files of a folder and the folders in it, in the order of their paths.
fn scenario_files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for item in std::fs::read_dir(folder).expect("the folder") {
        let path = item.expect("an item").path();
        if path.is_dir() {
            found.extend(scenario_files(&path));
        } else if path.extension().is_some_and(|ending| ending == "scn") {
            found.push(path);
        }
    }
    found.sort();
    found
}

/// A line for each statement, without comments and needless blanks.
#[test]
fn the_statements_of_the_scenario_files_are_the_committed_ones() {
    let root = Path::new(SCENARIOS);
    let mut lines = String::new();
    for path in scenario_files(root) {
        let name = path.strip_prefix(root).expect("below the root");
        let text = std::fs::read_to_string(&path).expect("the file");
        let parsed = Scenario::parse(&text);
        assert!(parsed.is_ok(), "{}: {:?}", name.display(), parsed.err());
        for line in text.lines() {
            let statement = line.split('#').next().expect("a part");
            let words: Vec<&str> = statement.split_whitespace().collect();
            if !words.is_empty() {
                writeln!(lines, "{}: {}", name.display(), words.join(" "))
                    .expect("a string takes it");
            }
        }
    }
    assert_committed(&format!("{DATA}/scenarios.txt"), &lines);
}
