//! `apply`: replaces the configuration with a document.

use hyper::Method;
use millford_api::operator::{ConfigReply, PutConfigBody, PutConfigReply};
use millford_core::ResultCode;
use rand::Rng;
use serde::Serialize;

use super::document_file::read_document;
use crate::client::{CONFIG_PATH, ControlClient, Request};
use crate::failure::Failure;
use crate::invocation::ApplyOptions;
use crate::report::Report;

/// An accepted order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ApplyReport {
    /// Revision that the order was accepted as.
    pub revision: u64,
    /// Whether an earlier request with the same order id had been accepted.
    pub repeated: bool,
    /// Revision that the document was built on.
    pub base_revision: u64,
    /// Identity of the order.
    pub order_id: String,
}

/// Checks the document offline, then sends the order under one id until it is acknowledged or
/// rejected. The order id makes the request idempotent: after a lost response the same or another
/// node acknowledges it again.
///
/// # Errors
/// [`ResultCode::DocumentInvalid`] with every fault, [`ResultCode::RevisionConflict`], or [`ResultCode::OrderUncertain`] with the id to send again.
pub async fn apply(client: &ControlClient, options: &ApplyOptions) -> Result<ApplyReport, Failure> {
    let document = read_document(&options.file)?;
    let base_revision = match options.base_revision {
        Some(base_revision) => base_revision,
        None => current_revision(client).await?,
    };
    let order_id = options.order_id.clone().unwrap_or_else(new_order_id);
    let body = PutConfigBody {
        base_revision,
        order_id: order_id.clone(),
        document,
    };
    let reply: PutConfigReply = client
        .send(&Request::with_json(Method::PUT, CONFIG_PATH, &body)?)
        .await
        .map_err(|failure| with_resend_advice(failure, base_revision, &order_id))?;
    Ok(ApplyReport {
        revision: reply.revision,
        repeated: reply.repeated,
        base_revision,
        order_id,
    })
}

async fn current_revision(client: &ControlClient) -> Result<u64, Failure> {
    let reply: ConfigReply = client.send(&Request::get(CONFIG_PATH)).await?;
    Ok(reply.revision)
}

/// Names the command that finds out what became of the order: resending it under its id.
fn with_resend_advice(failure: Failure, base_revision: u64, order_id: &str) -> Failure {
    if failure.code != ResultCode::OrderUncertain {
        return failure;
    }
    failure.with_help(format!(
        "find out with the same order: millfordctl apply --base {base_revision} --order-id {order_id} FILE"
    ))
}

fn new_order_id() -> String {
    format!("order-{:032x}", rand::rng().random::<u128>())
}

impl Report for ApplyReport {
    fn text(&self) -> String {
        let accepted = if self.repeated {
            "had been accepted before"
        } else {
            "accepted"
        };
        format!(
            "revision {} {accepted} (built on {}, order {})\n",
            self.revision, self.base_revision, self.order_id
        )
    }
}
