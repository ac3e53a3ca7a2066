//! `drain`: keeps new work off a backend, or lifts that.

use hyper::Method;
use millford_api::operator::{DrainBody, DrainReply};
use millford_core::ResultCode;

use crate::client::{ControlClient, Request};
use crate::failure::Failure;
use crate::invocation::DrainOptions;
use crate::report::Report;

/// Sends the order until it is acknowledged; carrying it out twice changes nothing.
///
/// # Errors
/// [`ResultCode::BackendUnknown`], a refusal, or no node in reach.
pub async fn drain(client: &ControlClient, options: &DrainOptions) -> Result<DrainReply, Failure> {
    check_segment("pool", &options.pool)?;
    check_segment("backend", &options.backend_id)?;
    let body = DrainBody {
        drain: !options.undo,
    };
    let body = serde_json::to_vec(&body)
        .map_err(|error| Failure::with_message(ResultCode::BadJson, error.to_string()))?;
    let path = format!(
        "/v1/services/{}/backends/{}/drain",
        options.pool, options.backend_id
    );
    client
        .send(&Request::with_body(Method::POST, path, body))
        .await
}

/// A name that would change the path is refused.
fn check_segment(what: &str, name: &str) -> Result<(), Failure> {
    let plain = |byte: u8| byte.is_ascii_graphic() && !b"/?#%".contains(&byte);
    if !name.is_empty() && name.bytes().all(plain) {
        return Ok(());
    }
    let text = format!("\"{name}\" is no name of a {what}");
    Err(Failure::with_message(ResultCode::BadArgument, text))
}

impl Report for DrainReply {
    fn text(&self) -> String {
        let state = if self.drain {
            "drains: it gets no new work"
        } else {
            "takes new work again, as the registry says"
        };
        format!("{} of {} {state}\n", self.backend_id, self.pool)
    }
}
