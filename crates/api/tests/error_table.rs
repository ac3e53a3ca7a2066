//! Checks that `docs/ERRORS.md` and the code list the same result codes.

use std::collections::BTreeMap;

use millford_api::http_status::http_status;
use millford_core::ResultCode;

/// One row of the table in `docs/ERRORS.md`, without its number.
#[derive(Debug, PartialEq, Eq)]
struct Row {
    name: String,
    status: String,
    text: String,
}

fn read_table() -> BTreeMap<u32, Row> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");
    let page = std::fs::read_to_string(path).expect("docs/ERRORS.md");
    let mut rows = BTreeMap::new();
    for line in page.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if cells.len() != 8 {
            continue;
        }
        if let Ok(number) = cells[1].parse() {
            let row = Row {
                name: cells[2].to_owned(),
                status: cells[3].to_owned(),
                text: cells[5].to_owned(),
            };
            assert!(
                rows.insert(number, row).is_none(),
                "{number} is listed twice"
            );
        }
    }
    rows
}

#[test]
fn table_lists_exactly_the_known_codes() {
    let table = read_table();
    let listed: Vec<u32> = table.keys().copied().collect();
    let known: Vec<u32> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(listed, known);
}

#[test]
fn names_and_texts_match_the_code() {
    let table = read_table();
    for code in ResultCode::ALL {
        let row = &table[&code.number()];
        assert_eq!(row.name, code.name());
        assert_eq!(row.text, code.text());
    }
}

#[test]
fn http_statuses_match_the_code() {
    let table = read_table();
    for code in ResultCode::ALL {
        let row = &table[&code.number()];
        if row.status != "-" {
            assert_eq!(row.status, http_status(*code).to_string(), "{code}");
        }
    }
}
