//! Polls for conditions that raise no event, always with a timeout.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::error::FleetError;
use crate::caller::http_client::get;

/// Pause between two evaluations of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Evaluates `condition` until it holds. `what` describes it in the error message.
///
/// # Errors
/// [`FleetError::Timeout`] when it does not hold within `limit`.
pub async fn wait_for<F, C>(what: &str, limit: Duration, condition: C) -> Result<(), FleetError>
where
    C: Fn() -> F,
    F: Future<Output = bool>,
{
    let poll = async {
        while !condition().await {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(limit, poll).await.map_err(|_| FleetError::Timeout {
        what: what.to_owned(),
        limit,
    })
}

/// Returns whether `/readyz` at `address` returns a success status.
pub async fn is_ready(address: SocketAddr) -> bool {
    matches!(get(address, "/readyz", None).await, Ok(response) if response.status.is_success())
}
