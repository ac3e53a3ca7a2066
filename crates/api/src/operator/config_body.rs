//! Bodies of `/v1/config`.

use serde::{Deserialize, Serialize};

use crate::config::Document;

/// Body of `PUT /v1/config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutConfigBody {
    /// Revision that the document was built on; 0 for the first.
    pub base_revision: u64,
    /// Chosen by the operator; resending the same order is acknowledged again.
    #[serde(default)]
    pub order_id: String,
    /// The whole configuration.
    pub document: Document,
}

/// Answer to an accepted order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutConfigReply {
    /// Number that the order got.
    pub revision: u64,
    /// Whether the order had been accepted before.
    pub repeated: bool,
}

/// Answer to `GET /v1/config`: the configuration in force, by a confirmed read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigReply {
    /// Number of the configuration; 0 before the first order.
    pub revision: u64,
    /// SHA-256 of the canonical JSON in lower-case hexadecimal; empty before the first order.
    pub digest: String,
    /// The whole configuration, its lists sorted by name.
    pub document: Document,
    /// The document as the operator sent it, when it came in another form; not part of this body.
    #[serde(skip)]
    pub source: Vec<u8>,
}
