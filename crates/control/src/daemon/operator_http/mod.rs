//! The operator interface over HTTP, as described by `openapi/operator.json`.

mod answer;
mod body;
mod credential;
mod port;
mod requests;

use std::convert::Infallible;

use tokio::net::TcpListener;
use warp::Filter;
use warp::http::{HeaderMap, Method};
use warp::path::FullPath;

pub use credential::OperatorCredential;
pub use port::OperatorPort;

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
    warp::serve(routes).incoming(listener).run().await;
}
