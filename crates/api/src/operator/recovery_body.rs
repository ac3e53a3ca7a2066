//! Bodies of `/v1/recovery`, the forced recovery after a permanent loss of quorum.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/recovery`. The node that receives it continues with the named survivors only.
///
/// Orders that no survivor has stored are lost, so the operator must confirm the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryBody {
    /// Identities of the surviving control nodes, in hexadecimal as `status` prints them.
    pub survivors: Vec<String>,
    /// Must be [`RecoveryBody::CONFIRMATION`].
    pub confirm: String,
}

impl RecoveryBody {
    /// Text that confirms a recovery, to be given verbatim.
    pub const CONFIRMATION: &'static str = "I accept that orders may be lost";
}

/// Response to a forced recovery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryReply {
    /// Numbers of the shards that were recovered.
    pub shards: Vec<u32>,
}
