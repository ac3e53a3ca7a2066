//! Health and metrics over HTTP.

use std::convert::Infallible;
use std::sync::Arc;

use millford_settings::metrics::CONTENT_TYPE;
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::{Response, StatusCode};

use crate::daemon::metrics;
use crate::daemon::report::SharedReport;
use crate::daemon::traffic_meter::TrafficMeter;

/// Serves `/healthz`, `/readyz` and `/metrics` until the process ends.
pub async fn serve(listener: TcpListener, report: SharedReport, meter: Arc<TrafficMeter>) {
    let ready_report = report.clone();
    let health = warp::path!("healthz").map(|| answer(StatusCode::OK, "healthy\n"));
    let ready = warp::path!("readyz").map(move || {
        if ready_report.get().complete {
            answer(StatusCode::OK, "ready\n")
        } else {
            answer(StatusCode::SERVICE_UNAVAILABLE, "no confirmed state yet\n")
        }
    });
    let scrape = warp::path!("metrics").map(move || {
        let text = metrics::text(&report.get(), &meter);
        Response::builder()
            .header("content-type", CONTENT_TYPE)
            .body(text)
    });
    let routes = warp::get().and(health.or(ready).or(scrape));
    let routes = routes.recover(|_rejection| async {
        let unknown = answer(StatusCode::NOT_FOUND, "there is nothing at this path\n");
        Ok::<_, Infallible>(unknown)
    });
    warp::serve(routes).incoming(listener).run().await;
}

fn answer(status: StatusCode, text: &str) -> warp::reply::WithStatus<String> {
    warp::reply::with_status(text.to_owned(), status)
}
