//! `drain`: stops routing new work to a backend, or lifts an earlier drain.

use hyper::Method;
use millford_api::operator::{DrainBody, DrainReply};
use millford_core::ResultCode;

use crate::client::{ControlClient, Request};
use crate::failure::Failure;
use crate::invocation::{DrainAction, DrainOptions};
use crate::report::Report;

/// Sends the request until a control node acknowledges it. The request is idempotent.
///
/// # Errors
/// [`ResultCode::BadArgument`] for a name with characters that are not allowed in a path,
/// [`ResultCode::BackendUnknown`], another rejection, or a failure of [`ControlClient::send`].
pub async fn drain(client: &ControlClient, options: &DrainOptions) -> Result<DrainReply, Failure> {
    validate_path_segment("pool", &options.pool)?;
    validate_path_segment("backend", &options.backend_id)?;
    let body = DrainBody {
        drain: options.action == DrainAction::Drain,
    };
    let path = format!(
        "/v1/services/{}/backends/{}/drain",
        options.pool, options.backend_id
    );
    client
        .send(&Request::with_json(Method::POST, path, &body)?)
        .await
}

/// Rejects a name that would change the structure of the request's path.
fn validate_path_segment(kind: &str, name: &str) -> Result<(), Failure> {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !b"/?#%".contains(&byte);
    if !name.is_empty() && name.bytes().all(is_plain) {
        return Ok(());
    }
    let text = format!("\"{name}\" is not a valid {kind} name");
    Err(Failure::with_message(ResultCode::BadArgument, text))
}

impl Report for DrainReply {
    fn text(&self) -> String {
        let state = if self.drain {
            "is draining: no new work is routed to it"
        } else {
            "is no longer drained: it has the state that the registry declares"
        };
        format!("{} of {} {state}\n", self.backend_id, self.pool)
    }
}
