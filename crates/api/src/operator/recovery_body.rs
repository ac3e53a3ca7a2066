//! Bodies of the forced recovery after a lost quorum.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/recovery`. The node that takes it goes on with the named survivors only.
///
/// Orders that the survivors do not hold are lost, so the operator states the act in words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryBody {
    /// Identities of the control nodes that remain, in hexadecimal as `status` prints them.
    pub survivors: Vec<String>,
    /// Must be [`RecoveryBody::CONFIRMATION`].
    pub confirm: String,
}

impl RecoveryBody {
    /// What the operator has to write.
    pub const CONFIRMATION: &'static str = "I accept that orders may be lost";
}

/// Answer to a forced recovery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryReply {
    /// Shards that were recovered.
    pub shards: Vec<u32>,
}
