//! The operator interface over HTTP, as described by `openapi/operator.json`.

mod answer;
mod body;
mod credential;
mod port;
mod requests;

use std::convert::Infallible;

use hyper_util::service::TowerToHyperService;
use millford_bounded_io::{ServerBounds, serve_connections, unavailable};
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::{HeaderMap, Method};
use warp::path::FullPath;

use super::CONTROL;

pub use body::read_operator_body;
pub use credential::OperatorCredential;
pub use port::OperatorPort;

/// Serves a warp filter to operators, with bounds on their connections, until the process exits.
pub async fn serve_operators<F>(listener: TcpListener, routes: F)
where
    F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
    F::Future: Send,
{
    let service = TowerToHyperService::new(warp::service(routes));
    serve_connections(
        listener,
        service,
        ServerBounds::default(),
        CONTROL,
        unavailable,
    )
    .await;
}

/// Serves operators on this listener until the process exits.
pub async fn serve(listener: TcpListener, port: OperatorPort) {
    let routes = warp::any()
        .map(move || port.clone())
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(
            async |port: OperatorPort, method: Method, path: FullPath, headers: HeaderMap, body| {
                requests::handle(&port, &method, path.as_str(), &headers, body).await
            },
        )
        .recover(async |_rejection| Ok::<_, Infallible>(answer::path_unknown()));
    serve_operators(listener, routes).await;
}
