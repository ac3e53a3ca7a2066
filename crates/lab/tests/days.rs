//! Table of the days in journal entries of bench runs.

use std::path::PathBuf;

use millford_lab::commands::days::{DaysOptions, parse, run};
use millford_lab::days::DaysError;

const ENTRY: &str = r#"{"id": "ab12", "cmd": "hunt", "site": "harbour", "error": null, "days": [
  {"name": "calm", "G": 0.93, "score": 1.0, "rules": {}, "fault": null,
   "parts": [["whole day", 0.7, 0.99], ["worst windows", 0.15, 0.97], ["worst class", 0.15, 0.98]],
   "prices": [["machine-seconds", 100.0, 0.04], ["calls", 9.0, 0.0002], ["memory", 5.0, 0.01]]},
  {"name": "storm", "G": 0.4, "score": 0.0, "rules": {"QUOTA": 1}, "fault": null,
   "parts": [["worst windows", 0.15, 0.51]],
   "prices": [["calls", 9.0, 0.2], ["machine-seconds", 100.0, 0.03], ["memory", 5.0, 0.01]]}
]}"#;

fn entry(folder: &tempfile::TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    std::fs::write(&path, text).expect("written");
    path
}

fn table(files: Vec<PathBuf>, below: f64) -> String {
    run(&DaysOptions { files, below }).expect("a table")
}

#[test]
fn each_day_lists_its_maximum_its_weakest_components_and_its_largest_prices() {
    let folder = tempfile::tempdir().expect("folder");
    let table = table(vec![entry(&folder, "a.json", ENTRY)], 0.0);
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 4, "{table}");
    assert_eq!(
        lines[2],
        "| ab12 | harbour calm | 1.00 | 0.930 | 0.960 | 0.97 | 0.98 | memory 0.010 |  |"
    );
    assert_eq!(
        lines[3],
        "| ab12 | harbour storm | 0.00 | 0.400 | 0.970 | 0.51 |  | calls 0.200, memory 0.010 | QUOTA |"
    );
}

#[test]
fn days_near_their_maximum_can_be_filtered_out() {
    let folder = tempfile::tempdir().expect("folder");
    let table = table(vec![entry(&folder, "a.json", ENTRY)], 0.1);
    assert!(
        !table.contains("calm") && table.contains("storm"),
        "{table}"
    );
}

#[test]
fn an_incomplete_run_is_reported() {
    let folder = tempfile::tempdir().expect("folder");
    let text = r#"{"id": "cd34", "cmd": "score", "error": "the run did not finish"}"#;
    let table = table(vec![entry(&folder, "b.json", text)], 0.0);
    assert!(table.contains("score: the run did not finish"), "{table}");
}

#[test]
fn an_unusable_file_is_named_in_the_error() {
    let folder = tempfile::tempdir().expect("folder");
    let files = vec![entry(&folder, "c.json", "[]")];
    let error = run(&DaysOptions { files, below: 0.0 }).expect_err("no entry");
    assert!(matches!(error, DaysError::Unreadable { .. }), "{error}");
    assert!(error.to_string().contains("c.json"));
    let files = vec![folder.path().join("missing.json")];
    let error = run(&DaysOptions { files, below: 0.0 }).expect_err("no file");
    assert!(matches!(error, DaysError::Input { .. }), "{error}");
}

#[test]
fn invalid_command_lines_are_rejected() {
    let words = |words: &[&str]| {
        words
            .iter()
            .map(|word| (*word).to_owned())
            .collect::<Vec<_>>()
    };
    assert!(parse(&words(&[])).is_err());
    assert!(parse(&words(&["--below", "much", "a.json"])).is_err());
    let options = parse(&words(&["--below", "0.1", "a.json"])).expect("a valid command line");
    let options = options.expect("no help");
    assert_eq!(options.files, [PathBuf::from("a.json")]);
}
