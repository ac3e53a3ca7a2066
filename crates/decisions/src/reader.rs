//! Reads records out of log lines.

use std::io::BufRead;

use serde::Deserialize;

use crate::decision_record::DecisionRecord;
use crate::error::DecisionsError;

/// Stands before a record in a log line.
pub const LOG_MARK: &str = "DECISION ";

/// A structured log line, as far as it matters here.
#[derive(Deserialize)]
struct LogLine {
    payload: String,
}

/// All records in a log, in its order. Lines without the mark are passed over.
///
/// Lines of text and of JSON are read alike.
///
/// # Errors
/// Fails at a line that has the mark and is no record, so that nothing is left out unseen.
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

/// The value at the start of a text; a log may add fields of its own behind it.
fn first_value(text: &str) -> Result<DecisionRecord, serde_json::Error> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    DecisionRecord::deserialize(&mut deserializer)
}
