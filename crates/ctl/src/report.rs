//! Formats the results of commands as text or as JSON.

use serde::Serialize;

use crate::invocation::OutputFormat;

/// Result of a command that can be printed. Its JSON form is its serialization.
pub trait Report: Serialize {
    /// Formats the result as human-readable text that ends with a newline.
    fn text(&self) -> String;
}

/// Formats the result in the requested output format; the text ends with a newline.
#[must_use]
pub fn render<R: Report>(report: &R, format: OutputFormat) -> String {
    if format == OutputFormat::Text {
        return report.text();
    }
    let text = serde_json::to_string(report).unwrap_or_default();
    format!("{text}\n")
}
