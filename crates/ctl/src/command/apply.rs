//! `apply`: replaces the configuration in force with a document.

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
    /// Revision assigned to the order.
    pub revision: u64,
    /// Whether an order with the same id had already been accepted.
    pub repeated: bool,
    /// Revision that the document is based on.
    pub base_revision: u64,
    /// Idempotency key of the order.
    pub order_id: String,
}

/// Checks the document offline, then sends the order until a control node acknowledges or rejects it.
/// The order id makes the request idempotent: if a response is lost, the order is sent again with the
/// same id, and the same or another node acknowledges it again.
///
/// # Errors
/// [`ResultCode::DocumentInvalid`] with all faults, [`ResultCode::RevisionConflict`], or
/// [`ResultCode::OrderUncertain`] with advice on how to resend the order under its id.
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

/// Adds the command that resends an uncertain order under its id, which shows whether it was accepted.
fn with_resend_advice(failure: Failure, base_revision: u64, order_id: &str) -> Failure {
    if failure.code != ResultCode::OrderUncertain {
        return failure;
    }
    failure.with_help(format!(
        "to find out, resend the same order: millfordctl apply --base {base_revision} --order-id {order_id} FILE"
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
            "revision {} {accepted} (based on {}, order {})\n",
            self.revision, self.base_revision, self.order_id
        )
    }
}
