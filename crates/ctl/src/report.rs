//! Output for people or as JSON.

use serde::Serialize;

/// Something that a command prints.
pub trait Report: Serialize {
    /// For people; ends with a line break.
    fn text(&self) -> String;
}

/// What goes to the standard output.
#[must_use]
pub fn render<R: Report>(report: &R, json: bool) -> String {
    if !json {
        return report.text();
    }
    let text = serde_json::to_string(report).unwrap_or_default();
    format!("{text}\n")
}
