//! `get`: the current configuration.

use millford_api::operator::ConfigReply;

use crate::client::{CONFIG_PATH, ControlClient, Request};
use crate::failure::Failure;
use crate::report::Report;

/// Reads the current configuration by a linearizable read: a quorum confirms it.
///
/// # Errors
/// A rejection, or no reachable node.
pub async fn get(client: &ControlClient) -> Result<ConfigReply, Failure> {
    client.send(&Request::get(CONFIG_PATH)).await
}

impl Report for ConfigReply {
    /// The document alone, ready to be edited and applied. The revision is in the JSON output and in
    /// `status`.
    fn text(&self) -> String {
        let text = serde_json::to_string_pretty(&self.document).unwrap_or_default();
        format!("{text}\n")
    }
}
