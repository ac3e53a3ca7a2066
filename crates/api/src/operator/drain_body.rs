//! Bodies of `/v1/services/{pool}/backends/{id}/drain`.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/services/{pool}/backends/{id}/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainBody {
    /// True stops routing new work to the backend, false lifts an earlier drain.
    pub drain: bool,
}

/// Response to a drain order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainReply {
    /// Name of the pool of the backend.
    pub pool: String,
    /// Identity of the backend.
    pub backend_id: String,
    /// Whether the backend is drained by an operator now.
    pub drain: bool,
}
