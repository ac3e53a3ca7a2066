//! Client of the operators' API of the control nodes, which are tried in turn.

mod attempt;
mod control_client;

pub use attempt::AttemptOutcome;
pub use control_client::{ControlClient, Request};

/// Path that reads (GET) or replaces (PUT) the configuration.
pub const CONFIG_PATH: &str = "/v1/config";
/// Path that computes what a document would change, without applying it.
pub const PLAN_PATH: &str = "/v1/plan";
/// Path that reads the status.
pub const STATUS_PATH: &str = "/v1/status";
/// Path that orders a forced recovery.
pub const RECOVERY_PATH: &str = "/v1/recovery";
