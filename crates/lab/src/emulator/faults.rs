//! Switches that make one backend misbehave.

use serde::{Deserialize, Serialize};

/// Part of a response that has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndlessPart {
    /// A header line.
    Head,
    /// Interim responses, `100 Continue`.
    Interim,
    /// An event of a stream, or the body of a response that is not streamed.
    Body,
}

/// Active faults of a backend. By default none is active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "switches that are set independently of each other"
)]
pub struct FaultSwitches {
    /// Accepts connections but sends no responses; open streams pause.
    #[serde(rename = "dark")]
    pub unresponsive: bool,
    /// Refuses every request before any work.
    pub refuse: bool,
    /// Factor on every duration of the cost model; 1 is normal.
    pub slow_factor: f64,
    /// Delay of the response head, in milliseconds.
    pub late_ms: u64,
    /// Sends another attempt's id and text in responses.
    pub crossed: bool,
    /// Sends bytes that belong to no response after each response.
    pub stray_bytes: bool,
    /// What the backend sends without an end, if anything.
    pub endless: Option<EndlessPart>,
    /// Number of chunks after which streams fail without an end marker. If set, a response that is not
    /// streamed is truncated to half its length.
    #[serde(rename = "cut_after")]
    pub truncate_after: Option<u64>,
}

impl Default for FaultSwitches {
    fn default() -> Self {
        Self {
            unresponsive: false,
            refuse: false,
            slow_factor: 1.0,
            late_ms: 0,
            crossed: false,
            stray_bytes: false,
            endless: None,
            truncate_after: None,
        }
    }
}
