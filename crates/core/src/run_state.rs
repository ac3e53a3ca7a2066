//! Whether a refused or failed request may have run.

use serde::{Deserialize, Serialize};

/// Whether a request may have run on a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No backend ran the request and none will run it later: it is safe to send it again.
    NotRun,
    /// A byte of the request may have been sent to a backend: if it is sent again, it may run
    /// twice.
    MayHaveRun,
}
