//! Checks that the exit statuses are those listed in `docs/ERRORS.md`.

use std::collections::BTreeMap;

use millford_core::ResultCode;
use millford_ctl::exit_status::ExitStatus;

/// Reads the section about `millfordctl`: each exit status with the result codes that its row lists.
fn read_table() -> BTreeMap<u8, Vec<u32>> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");
    let page = std::fs::read_to_string(path).expect("docs/ERRORS.md");
    let section = page
        .split("\n## ")
        .find(|section| section.starts_with("Exit statuses of `millfordctl`"))
        .expect("the section");
    let mut rows = BTreeMap::new();
    for line in section.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if let Some(Ok(status)) = cells.get(1).map(|cell| cell.parse::<u8>()) {
            rows.insert(status, codes_in(cells[2]));
        }
    }
    rows
}

fn codes_in(text: &str) -> Vec<u32> {
    text.split(|character: char| !character.is_ascii_digit())
        .filter(|word| word.len() == 4)
        .filter_map(|word| word.parse().ok())
        .collect()
}

#[test]
fn every_exit_status_is_listed_with_its_result_codes() {
    let mut expected: BTreeMap<u8, Vec<u32>> = BTreeMap::new();
    expected.insert(ExitStatus::Success.number(), Vec::new());
    expected.insert(ExitStatus::Failed.number(), Vec::new());
    for code in ResultCode::ALL {
        let status = ExitStatus::of(*code);
        if status != ExitStatus::Success && status != ExitStatus::Failed {
            expected
                .entry(status.number())
                .or_default()
                .push(code.number());
        }
    }
    let mut table = read_table();
    for codes in table.values_mut() {
        codes.sort_unstable();
    }
    assert_eq!(table, expected);
}
