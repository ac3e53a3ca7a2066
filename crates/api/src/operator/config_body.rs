//! Bodies of `/v1/config`.

use serde::{Deserialize, Serialize};

use crate::config::Document;

/// Body of `PUT /v1/config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutConfigBody {
    /// Revision that the document is based on; 0 for the first configuration.
    pub base_revision: u64,
    /// Idempotency key chosen by the operator: a resent order with the same id is acknowledged again
    /// instead of being applied twice. Empty: a resent order is recognized by its base revision and
    /// document.
    #[serde(default)]
    pub order_id: String,
    /// The complete new configuration.
    pub document: Document,
}

/// Response to `PUT /v1/config` when the order is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutConfigReply {
    /// Revision assigned to the order.
    pub revision: u64,
    /// Whether the same order had already been accepted.
    pub repeated: bool,
}

/// Response to `GET /v1/config`: the configuration in force, from a linearizable read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigReply {
    /// Revision in force; 0 before the first order.
    pub revision: u64,
    /// SHA-256 of the document in canonical JSON, in lower-case hexadecimal; empty before the first
    /// order.
    pub digest: String,
    /// The complete configuration, with its lists sorted by name.
    pub document: Document,
    /// The document as the operator sent it, if it was sent in a format other than [`Document`];
    /// otherwise empty. Not part of the JSON body.
    #[serde(skip)]
    pub source: Vec<u8>,
}
