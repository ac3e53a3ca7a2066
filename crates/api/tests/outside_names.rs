//! Checks that the result codes and the APIs of operators and callers, which clients rely on, are still those
//! of commit b3d3e00.

#[path = "support/committed.rs"]
mod committed;

use std::fmt::Write;

use committed::assert_committed;
use millford_api::http_status::http_status;
use millford_core::ResultCode;
use serde_json::Value;

const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/outside");

#[test]
fn result_codes_are_the_committed_ones() {
    let mut lines = String::new();
    for code in ResultCode::ALL {
        let (number, name) = (code.number(), code.name());
        writeln!(lines, "{number} {name} {}", http_status(*code)).expect("a string grows");
    }
    assert_committed(&format!("{DATA}/result_codes.txt"), &lines);
}

/// Appends a line with path and value for each scalar of a JSON document, except for texts for people.
fn flatten(value: &Value, json_path: &str, lines: &mut Vec<String>) {
    const DESCRIPTIVE_FIELDS: [&str; 3] = ["description", "summary", "title"];
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let is_descriptive =
                    DESCRIPTIVE_FIELDS.contains(&name.as_str()) && value.is_string();
                if !is_descriptive {
                    flatten(value, &format!("{json_path}/{name}"), lines);
                }
            }
        }
        Value::Array(values) => {
            for (ordinal, value) in values.iter().enumerate() {
                flatten(value, &format!("{json_path}/{ordinal}"), lines);
            }
        }
        scalar => lines.push(format!("{json_path} {scalar}\n")),
    }
}

fn assert_api_is_committed(name: &str) {
    let path = format!("{}/openapi/{name}.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the OpenAPI file");
    let value: Value = serde_json::from_str(&text).expect("JSON");
    let mut lines = Vec::new();
    flatten(&value, "", &mut lines);
    lines.sort();
    assert_committed(&format!("{DATA}/{name}.txt"), &lines.concat());
}

/// `openapi.rs` checks that this file matches the code's types.
#[test]
fn operator_api_is_the_committed_one() {
    assert_api_is_committed("operator");
}

#[test]
fn caller_api_is_the_committed_one() {
    assert_api_is_committed("caller");
}
