//! `recover`: continues with the named survivors after a permanent loss of quorum.

use hyper::Method;
use millford_api::operator::{RecoveryBody, RecoveryReply};
use millford_core::ResultCode;

use crate::client::{ControlClient, RECOVERY_PATH, Request};
use crate::failure::Failure;
use crate::invocation::RecoverOptions;
use crate::report::Report;

/// Sends the request once, to exactly one node. If a second node continued without a quorum as well, the
/// cluster would be split in two.
///
/// # Errors
/// [`ResultCode::BadArgument`] when the confirmation differs from
/// [`RecoveryBody::CONFIRMATION`], [`ResultCode::RecoveryRefused`], or a failure of
/// [`ControlClient::send_once`].
pub async fn recover(
    client: &ControlClient,
    options: &RecoverOptions,
) -> Result<RecoveryReply, Failure> {
    if options.confirm != RecoveryBody::CONFIRMATION {
        let text = format!(
            "--confirm must be exactly \"{}\"",
            RecoveryBody::CONFIRMATION
        );
        return Err(Failure::with_message(ResultCode::BadArgument, text));
    }
    let body = RecoveryBody {
        survivors: options.survivors.clone(),
        confirm: options.confirm.clone(),
    };
    let request = Request::with_json(Method::POST, RECOVERY_PATH, &body)?;
    client.send_once(&request).await
}

impl Report for RecoveryReply {
    fn text(&self) -> String {
        format!(
            "RECOVERED {} shards with the survivors only. Orders that they had not stored are LOST. \
             Make sure that the other nodes stay down, then add new ones.\n",
            self.shards.len()
        )
    }
}
