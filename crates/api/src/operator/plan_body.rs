//! Bodies of `POST /v1/plan`.

use serde::{Deserialize, Serialize};

use super::plan_change::Plan;
use crate::config::Document;

/// Body of `POST /v1/plan`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanBody {
    /// The configuration that would replace the one in force.
    pub document: Document,
}

/// Response to `POST /v1/plan`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanReply {
    /// Revision that the plan was computed against; the `base_revision` for applying the document.
    pub revision: u64,
    /// Changes that applying the document would make.
    pub plan: Plan,
}
