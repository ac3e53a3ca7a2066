//! Fault switches of one backend.

use serde::{Deserialize, Serialize};

/// Faults that a backend shows now. The default shows none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "switches that are set independently of each other"
)]
pub struct FaultSwitches {
    /// Connections are accepted and nothing is sent; open streams send nothing more.
    pub dark: bool,
    /// Every request is rejected before any work.
    pub refuse: bool,
    /// Every duration is multiplied by this.
    pub slow_factor: f64,
    /// Response headers are held back this long, in milliseconds.
    pub late_ms: u64,
    /// Responses carry another attempt's id and text.
    pub crossed: bool,
    /// Bytes that belong to nothing follow each response on the connection.
    pub stray_bytes: bool,
    /// Each response is truncated after this many chunks, without an end.
    #[serde(rename = "cut_after")]
    pub truncate_after: Option<u64>,
}

impl Default for FaultSwitches {
    fn default() -> Self {
        Self {
            dark: false,
            refuse: false,
            slow_factor: 1.0,
            late_ms: 0,
            crossed: false,
            stray_bytes: false,
            truncate_after: None,
        }
    }
}
