//! Reads decision records from logs.

use std::io::BufRead;

use serde::Deserialize;

use crate::decision_record::DecisionRecord;
use crate::error::DecisionsError;

/// Marker that precedes a record in a log line.
pub const LOG_MARK: &str = "DECISION ";

/// The field of a JSON log line that contains the message.
#[derive(Deserialize)]
struct LogLine {
    payload: String,
}

/// Reads all records of a log in order. Lines without [`LOG_MARK`] are skipped.
///
/// The log may contain text lines and JSON lines.
///
/// # Errors
/// Fails if the input cannot be read, or at a line with [`LOG_MARK`] but without a valid record, so that
/// no record is omitted unnoticed.
pub fn read_records(input: impl BufRead) -> Result<Vec<DecisionRecord>, DecisionsError> {
    let mut records = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let line = line?;
        if !line.contains(LOG_MARK) {
            continue;
        }
        let line = match serde_json::from_str::<LogLine>(&line) {
            Ok(structured) => structured.payload,
            Err(_) => line,
        };
        let text = line.split_once(LOG_MARK).map_or("", |(_, text)| text);
        records.push(
            first_value(text).map_err(|source| DecisionsError::UnreadableRecord {
                line: index + 1,
                source,
            })?,
        );
    }
    Ok(records)
}

/// Parses the record at the start of a text and ignores what follows: a log may append its own fields.
fn first_value(text: &str) -> Result<DecisionRecord, serde_json::Error> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    DecisionRecord::deserialize(&mut deserializer)
}
