//! `recover`: goes on with the named survivors after a quorum was lost for good.

use hyper::Method;
use millford_api::operator::{RecoveryBody, RecoveryReply};
use millford_core::ResultCode;

use crate::client::{ControlClient, Request};
use crate::failure::Failure;
use crate::invocation::RecoverOptions;
use crate::report::Report;

/// Sends the order to the one node that is named. A second node that also went on alone would make
/// two clusters of one.
///
/// # Errors
/// [`ResultCode::RecoveryRefused`], a refusal, or no node in reach.
pub async fn recover(
    client: &ControlClient,
    options: &RecoverOptions,
) -> Result<RecoveryReply, Failure> {
    if options.confirm != RecoveryBody::CONFIRMATION {
        let text = format!(
            "--confirm takes the words \"{}\"",
            RecoveryBody::CONFIRMATION
        );
        return Err(Failure::with_message(ResultCode::BadArgument, text));
    }
    let body = RecoveryBody {
        survivors: options.survivors.clone(),
        confirm: options.confirm.clone(),
    };
    let body = serde_json::to_vec(&body)
        .map_err(|error| Failure::with_message(ResultCode::BadJson, error.to_string()))?;
    let request = Request::with_body(Method::POST, "/v1/recovery", body);
    client.send_once(&request).await
}

impl Report for RecoveryReply {
    fn text(&self) -> String {
        format!(
            "RECOVERED {} shards with the survivors only. Orders that they did not hold are LOST. \
             Make sure that the other nodes stay down, then add new ones.\n",
            self.shards.len()
        )
    }
}
