//! Measures the latency that a proxy adds: the same request through the proxy and directly to a backend.

use std::net::SocketAddr;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use crate::caller::http_client::{HttpFailure, send};
use crate::caller::{CompletionRequest, LookupRequest};
use crate::protocol::{ATTEMPT_HEADER, RUN_HEADER, machine_micros};

/// Latencies of one kind of request, in microseconds.
#[derive(Clone, Debug)]
pub struct Times {
    /// Latencies through the proxy.
    pub by_proxy: Histogram<u64>,
    /// Latencies of direct requests to a backend.
    pub direct: Histogram<u64>,
    /// Pairs of which at least one request failed.
    pub failures: u64,
}

/// Summary of [`Times`], in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AddedLatency {
    /// Number of pairs in which both requests succeeded.
    pub pairs: u64,
    /// Median through the proxy.
    pub proxy_p50: u64,
    /// 99th percentile through the proxy.
    pub proxy_p99: u64,
    /// Median of direct requests.
    pub direct_p50: u64,
    /// 99th percentile of direct requests.
    pub direct_p99: u64,
    /// Pairs of which at least one request failed.
    pub failures: u64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            by_proxy: new_histogram(),
            direct: new_histogram(),
            failures: 0,
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

impl Times {
    /// Records the latencies of one pair; `None` stands for a failed request.
    pub fn record(&mut self, by_proxy: Option<u64>, direct: Option<u64>) {
        let (Some(by_proxy), Some(direct)) = (by_proxy, direct) else {
            self.failures += 1;
            return;
        };
        let _ = self.by_proxy.record(by_proxy);
        let _ = self.direct.record(direct);
    }

    /// Computes the summary.
    #[must_use]
    pub fn summary(&self) -> AddedLatency {
        AddedLatency {
            pairs: self.by_proxy.len(),
            proxy_p50: self.by_proxy.value_at_quantile(0.5),
            proxy_p99: self.by_proxy.value_at_quantile(0.99),
            direct_p50: self.direct.value_at_quantile(0.5),
            direct_p99: self.direct.value_at_quantile(0.99),
            failures: self.failures,
        }
    }
}

impl AddedLatency {
    /// Formats the summary as one line that starts with `what`, with times in milliseconds.
    #[must_use]
    pub fn text(&self, what: &str) -> String {
        let added = |proxy: u64, direct: u64| (proxy as f64 - direct as f64) / 1_000.0;
        format!(
            "{what:<24} pairs {:>5}  proxy p50 {:>8.3} p99 {:>8.3}  direct p50 {:>8.3} p99 {:>8.3}  \
             added p50 {:>7.3} p99 {:>7.3} ms  failed {}",
            self.pairs,
            self.proxy_p50 as f64 / 1_000.0,
            self.proxy_p99 as f64 / 1_000.0,
            self.direct_p50 as f64 / 1_000.0,
            self.direct_p99 as f64 / 1_000.0,
            added(self.proxy_p50, self.direct_p50),
            added(self.proxy_p99, self.direct_p99),
            self.failures,
        )
    }
}

/// Returns the time of one complete lookup, in microseconds; `None` if it failed.
pub async fn lookup_time(address: SocketAddr, request: &LookupRequest) -> Option<u64> {
    let http_request = Request::builder()
        .uri(request.path_with_marker())
        .header(header::HOST, "millford")
        .header(header::AUTHORIZATION, format!("Bearer {}", request.key))
        .header(ATTEMPT_HEADER, format!("bench-{}", request.marker))
        .header(RUN_HEADER, format!("bench-{}", request.marker))
        .body(Full::default())
        .ok()?;
    let started = machine_micros();
    exchange(address, http_request, false)
        .await
        .ok()?
        .then(|| machine_micros() - started)
}

/// Returns the time to the first chunk of one stream, in microseconds; `None` if it failed.
pub async fn first_token_time(address: SocketAddr, request: &CompletionRequest) -> Option<u64> {
    let http_request = Request::post("/v1/chat/completions")
        .header(header::HOST, "millford")
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", request.key))
        .header(ATTEMPT_HEADER, format!("bench-{}", request.marker))
        .header(RUN_HEADER, format!("bench-{}", request.marker))
        .body(Full::new(Bytes::from(request.body().to_string())))
        .ok()?;
    let started = machine_micros();
    exchange(address, http_request, true)
        .await
        .ok()?
        .then(|| machine_micros() - started)
}

/// Sends a request and reads the first frame or the complete body. Returns whether the status and the first
/// frame, if only that is read, are a success.
async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    first_frame_only: bool,
) -> Result<bool, HttpFailure> {
    let mut response = send(address, request).await?;
    let success = response.status().is_success();
    if first_frame_only {
        let frame = response.body_mut().frame().await;
        return Ok(success && matches!(frame, Some(Ok(_))));
    }
    response.into_body().collect().await?;
    Ok(success)
}
