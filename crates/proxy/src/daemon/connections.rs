//! Serves callers' connections within limits on their number, their heads and their pauses.

use std::convert::Infallible;

use futures::TryFuture;
use hyper_util::service::TowerToHyperService;
use millford_bounded_io::ServerBounds;
use millford_core::ResultCode;
use millford_settings::PartLog;
use tokio::net::TcpListener;
use warp::Filter;

use crate::daemon::responses::{HttpResponse, refusal_response, set_header};
use crate::request::refusal::Refusal;

const LOG: PartLog = PartLog::new("CALLERS");

/// Retry delay suggested in the refusal, in milliseconds.
const RETRY_AFTER_MS: u32 = 1000;

/// Accepts connections and serves each with the filter, until the future is dropped.
pub async fn serve_connections<F>(listener: TcpListener, filter: F, bounds: ServerBounds)
where
    F: Filter<Extract = (HttpResponse,), Error = Infallible> + Clone + Send + Sync + 'static,
    F::Future: TryFuture<Ok = (HttpResponse,), Error = Infallible> + Send,
{
    let service = TowerToHyperService::new(warp::service(filter));
    let refusal = connection_limit_response;
    millford_bounded_io::serve_connections(listener, service, bounds, LOG, refusal).await;
}

fn connection_limit_response() -> HttpResponse {
    let refusal = Refusal::not_run(ResultCode::Overloaded)
        .with_retry_after(RETRY_AFTER_MS)
        .with_detail("Too many connections are open.");
    let mut response = refusal_response(&refusal);
    set_header(&mut response, "connection", "close");
    response
}
