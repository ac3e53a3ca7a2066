//! What a refusal or failure says about the request's run.

use serde::{Deserialize, Serialize};

/// Whether the request may have run on a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No backend ran it and none ever will: safe to send again.
    NotRun,
    /// A byte of it left for a backend: sending it again may run it twice.
    MayHaveRun,
}
