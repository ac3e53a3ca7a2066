//! Serves the readiness check and the metrics over HTTP.

use std::sync::Arc;

use millford_settings::metrics;
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::{Response, StatusCode};
use warp::path::FullPath;

use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;

const METRICS_PATH: &str = "/metrics";

/// Serves requests until the task is aborted.
pub async fn serve_readiness<P: ForwardProtocol>(listener: TcpListener, node: Arc<ForwardNode<P>>) {
    let pages = warp::path::full().map(move |path: FullPath| respond(&node, path.as_str()));
    warp::serve(pages).incoming(listener).run().await;
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
