//! Fault switches of one backend.

use serde::{Deserialize, Serialize};

/// Faults that a backend shows now. The default shows none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSwitches {
    /// Connections are taken and nothing is answered; open streams fall silent.
    pub dark: bool,
    /// Every request is refused before work.
    pub refuse: bool,
    /// Every duration is multiplied by this.
    pub slow_factor: f64,
    /// Response headers are held back this long, in milliseconds.
    pub late_ms: u64,
    /// Answers carry another attempt's id and text.
    pub crossed: bool,
    /// Bytes that belong to nothing follow each answer on the connection.
    pub stray_bytes: bool,
    /// Each answer is cut after this many pieces, without an end.
    pub cut_after: Option<u64>,
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
            cut_after: None,
        }
    }
}
