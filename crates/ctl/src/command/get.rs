//! `get`: prints the configuration in force.

use millford_api::operator::ConfigReply;

use crate::client::{CONFIG_PATH, ControlClient, Request};
use crate::failure::Failure;
use crate::report::Report;

/// Reads the configuration in force. The read is linearizable: a quorum confirms it.
///
/// # Errors
/// A rejection, or a failure of [`ControlClient::send`].
pub async fn get(client: &ControlClient) -> Result<ConfigReply, Failure> {
    client.send(&Request::get(CONFIG_PATH)).await
}

impl Report for ConfigReply {
    /// Formats the document alone, so that it can be edited and applied. The revision is in the JSON output and
    /// in the output of `status`.
    fn text(&self) -> String {
        let text = serde_json::to_string_pretty(&self.document).unwrap_or_default();
        format!("{text}\n")
    }
}
