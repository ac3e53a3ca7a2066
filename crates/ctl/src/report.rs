//! Results of commands, as text or as JSON.

use serde::Serialize;

use crate::invocation::OutputFormat;

/// Result of a command.
pub trait Report: Serialize {
    /// The result as text for people; ends with a newline.
    fn text(&self) -> String;
}

/// The result in the requested form; ends with a newline.
#[must_use]
pub fn render<R: Report>(report: &R, format: OutputFormat) -> String {
    if format == OutputFormat::Text {
        return report.text();
    }
    let text = serde_json::to_string(report).unwrap_or_default();
    format!("{text}\n")
}
