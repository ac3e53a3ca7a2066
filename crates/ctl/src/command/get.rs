//! `get`: the configuration in force.

use millford_api::operator::ConfigReply;

use crate::client::{ControlClient, Request};
use crate::failure::Failure;
use crate::report::Report;

/// Reads the configuration, confirmed by a quorum.
///
/// # Errors
/// A refusal, or no node in reach.
pub async fn get(client: &ControlClient) -> Result<ConfigReply, Failure> {
    client.send(&Request::get("/v1/config")).await
}

impl Report for ConfigReply {
    /// The document alone, ready to be changed and applied; the number goes beside it as JSON or
    /// with `status`.
    fn text(&self) -> String {
        let text = serde_json::to_string_pretty(&self.document).unwrap_or_default();
        format!("{text}\n")
    }
}
