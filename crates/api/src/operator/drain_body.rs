//! Bodies of the drain of a backend.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/services/{pool}/backends/{id}/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainBody {
    /// True keeps new work off the backend, false lifts that again.
    pub drain: bool,
}

/// Answer to a drain order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainReply {
    /// Pool of the backend.
    pub pool: String,
    /// Identity of the backend.
    pub backend_id: String,
    /// Whether a drain order stands now.
    pub drain: bool,
}
