//! JSON bodies of the operators' API, as `openapi/operator.json` describes them.

mod config_body;
mod drain_body;
mod error_body;
mod plan_body;
mod plan_change;
mod recovery_body;
mod status_body;

pub use config_body::{ConfigReply, PutConfigBody, PutConfigReply};
pub use drain_body::{DrainBody, DrainReply};
pub use error_body::{ErrorBody, ErrorDetail, FaultBody};
pub use plan_body::{PlanBody, PlanReply};
pub use plan_change::{
    ChangeKind, KeyMove, NamedChange, Plan, PlanWarning, QuotaMove, ReplicaMove, SessionMove,
};
pub use recovery_body::{RecoveryBody, RecoveryReply};
pub use status_body::{
    MemberBody, PlacementBody, ReplicaBody, SessionBody, ShardBody, StatusReply,
};

/// Paths of the operators' API. The server and the OpenAPI file have the same paths.
pub const OPERATOR_PATHS: [&str; 8] = [
    "/v1/config",
    "/v1/plan",
    "/v1/status",
    "/v1/services/{pool}/backends/{id}/drain",
    "/v1/recovery",
    "/healthz",
    "/readyz",
    "/metrics",
];
