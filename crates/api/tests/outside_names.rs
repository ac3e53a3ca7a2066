//! Result codes and the operators' and callers' interfaces are those of b3d3e00.

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

/// Every value of a file by its place, without the sentences for people.
fn flatten(value: &Value, place: &str, lines: &mut Vec<String>) {
    const SENTENCES: [&str; 3] = ["description", "summary", "title"];
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let is_sentence = SENTENCES.contains(&name.as_str()) && value.is_string();
                if !is_sentence {
                    flatten(value, &format!("{place}/{name}"), lines);
                }
            }
        }
        Value::Array(values) => {
            for (ordinal, value) in values.iter().enumerate() {
                flatten(value, &format!("{place}/{ordinal}"), lines);
            }
        }
        plain => lines.push(format!("{place} {plain}\n")),
    }
}

fn assert_interface(name: &str) {
    let path = format!("{}/openapi/{name}.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the OpenAPI file");
    let value: Value = serde_json::from_str(&text).expect("JSON");
    let mut lines = Vec::new();
    flatten(&value, "", &mut lines);
    lines.sort();
    assert_committed(&format!("{DATA}/{name}.txt"), &lines.concat());
}

/// `openapi.rs` holds this file and the code's types together.
#[test]
fn the_operators_paths_and_fields_are_the_committed_ones() {
    assert_interface("operator");
}

#[test]
fn the_callers_paths_and_fields_are_the_committed_ones() {
    assert_interface("caller");
}
