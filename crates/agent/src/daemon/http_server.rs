//! HTTP server for health checks and metrics.

use std::convert::Infallible;
use std::sync::Arc;

use hyper_util::service::TowerToHyperService;
use millford_bounded_io::{MemoryBudget, ServerBounds, serve_connections, unavailable};
use millford_settings::PartLog;
use millford_settings::metrics::CONTENT_TYPE;
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::{Response, StatusCode};

use crate::daemon::metrics;
use crate::daemon::report::SharedReport;
use crate::daemon::traffic_meter::TrafficMeter;

const LOG: PartLog = PartLog::new("HTTP");

/// Serves `/healthz`, `/readyz` and `/metrics` until the process exits. `/readyz` answers 503 until
/// every shard's state has been confirmed.
pub async fn serve(
    listener: TcpListener,
    report: SharedReport,
    meter: Arc<TrafficMeter>,
    memory: Arc<MemoryBudget>,
) {
    let ready_report = report.clone();
    let health = warp::path!("healthz").map(|| response(StatusCode::OK, "healthy\n"));
    let ready = warp::path!("readyz").map(move || {
        if ready_report.get().complete {
            response(StatusCode::OK, "ready\n")
        } else {
            response(StatusCode::SERVICE_UNAVAILABLE, "no confirmed state yet\n")
        }
    });
    let scrape = warp::path!("metrics").map(move || {
        let text = metrics::text(&report.get(), &meter, &memory);
        Response::builder()
            .header("content-type", CONTENT_TYPE)
            .body(text)
    });
    let routes = warp::get().and(health.or(ready).or(scrape));
    let routes = routes.recover(|_rejection| async {
        let not_found = response(StatusCode::NOT_FOUND, "there is nothing at this path\n");
        Ok::<_, Infallible>(not_found)
    });
    let service = TowerToHyperService::new(warp::service(routes));
    serve_connections(listener, service, ServerBounds::default(), LOG, unavailable).await;
}

fn response(status: StatusCode, text: &str) -> warp::reply::WithStatus<String> {
    warp::reply::with_status(text.to_owned(), status)
}
