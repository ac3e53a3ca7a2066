//! Tests that the scenario files parse and that their statements are those of the committed list, so that a
//! change of the scenario language cannot go unnoticed.

#[path = "../../api/tests/support/committed.rs"]
mod committed;

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use committed::assert_committed;
use millford_simulation::scenario::Scenario;

const SCENARIOS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data");

/// Returns the scenario files of a folder and its subfolders, sorted by path.
fn scenario_files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            found.extend(scenario_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "scn") {
            found.push(path);
        }
    }
    found.sort();
    found
}

/// Compares one line per statement, without comments and with single spaces.
#[test]
fn the_statements_of_the_scenario_files_are_the_committed_ones() {
    let root = Path::new(SCENARIOS);
    let mut lines = String::new();
    for path in scenario_files(root) {
        let name = path.strip_prefix(root).expect("the path is below the root");
        let text = std::fs::read_to_string(&path).expect("the file is readable");
        let parsed = Scenario::parse(&text);
        assert!(parsed.is_ok(), "{}: {:?}", name.display(), parsed.err());
        for line in text.lines() {
            let statement = line
                .split('#')
                .next()
                .expect("split yields at least one part");
            let words: Vec<&str> = statement.split_whitespace().collect();
            if !words.is_empty() {
                writeln!(lines, "{}: {}", name.display(), words.join(" "))
                    .expect("writing to a string succeeds");
            }
        }
    }
    assert_committed(&format!("{DATA}/scenarios.txt"), &lines);
}
