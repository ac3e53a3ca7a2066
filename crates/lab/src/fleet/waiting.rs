//! Waiting for something that sends no event, always within a bound.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::error::FleetError;
use crate::caller::http_client::get;

/// Poll interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Looks again and again until `condition` holds.
///
/// # Errors
/// [`FleetError::Timeout`] when it does not hold within `bound`.
pub async fn wait_for<F, C>(what: &str, bound: Duration, condition: C) -> Result<(), FleetError>
where
    C: Fn() -> F,
    F: Future<Output = bool>,
{
    let look = async {
        while !condition().await {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(bound, look).await.map_err(|_| FleetError::Timeout {
        what: what.to_owned(),
        bound,
    })
}

/// Whether `/readyz` responses with success.
pub async fn is_ready(address: SocketAddr) -> bool {
    matches!(get(address, "/readyz", None).await, Ok(answer) if answer.status.is_success())
}
