//! Serves the readiness check and the metrics over HTTP.

use std::sync::Arc;

use hyper_util::service::TowerToHyperService;
use millford_bounded_io::{ServerBounds, serve_connections, unavailable};
use millford_settings::{PartLog, metrics};
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::{Response, StatusCode};
use warp::path::FullPath;

use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;

const LOG: PartLog = PartLog::new("READINESS");

const METRICS_PATH: &str = "/metrics";

/// Serves requests until the task is aborted.
pub async fn serve_readiness<P: ForwardProtocol>(listener: TcpListener, node: Arc<ForwardNode<P>>) {
    let pages = warp::path::full().map(move |path: FullPath| respond(&node, path.as_str()));
    let service = TowerToHyperService::new(warp::service(pages));
    serve_connections(listener, service, ServerBounds::default(), LOG, unavailable).await;
}

fn respond<P: ForwardProtocol>(node: &ForwardNode<P>, path: &str) -> Response<String> {
    let mut response = Response::new(String::new());
    if path == METRICS_PATH {
        *response.body_mut() = metrics::render(&node.state.metrics.registry);
    } else if path != node.protocol.readiness_path() {
        *response.status_mut() = StatusCode::NOT_FOUND;
    } else if !node.state.is_ready() || node.state.is_draining() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
