//! Measures how many streams one proxy keeps open at once, and its memory use with them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::process_usage::ProcessUsage;
use crate::caller::CompletionRequest;
use crate::caller::http_client::send;

/// Longest wait for the first chunks of all streams.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of open streams and memory use of one proxy.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ConcurrentStreams {
    /// Number of streams that were requested.
    #[serde(rename = "asked")]
    pub requested: usize,
    /// Number of streams open at once, each of which had delivered its first chunk.
    #[serde(rename = "held")]
    pub held: usize,
    /// Resident memory of the proxy with the open streams, in KiB.
    pub resident_kib: u64,
    /// Resident memory of the proxy before the first stream, in KiB.
    pub resident_before_kib: u64,
}

#[derive(Debug, Default)]
struct Count {
    open: AtomicUsize,
    attempted: AtomicUsize,
    changed: Notify,
}

/// Opens `requested` streams and counts those that are open at once. `None` if the proxy's process has ended.
pub async fn measure(
    address: SocketAddr,
    proxy_id: u32,
    requested: usize,
    request: &CompletionRequest,
) -> Option<ConcurrentStreams> {
    let usage_before = ProcessUsage::of(proxy_id)?;
    let count = Arc::new(Count::default());
    let mut tasks = JoinSet::new();
    for number in 0..requested {
        let mut request = request.clone();
        request.marker = format!("{}-{number}", request.marker);
        tasks.spawn(hold_stream(address, request, Arc::clone(&count)));
    }
    let all = async {
        while count.attempted.load(Ordering::Acquire) < requested {
            count.changed.notified().await;
        }
    };
    let _ = timeout(OPEN_TIMEOUT, all).await;
    let held = count.open.load(Ordering::Acquire);
    let usage_with_streams = ProcessUsage::of(proxy_id)?;
    tasks.shutdown().await;
    Some(ConcurrentStreams {
        requested,
        held,
        resident_kib: usage_with_streams.resident_kib,
        resident_before_kib: usage_before.resident_kib,
    })
}

/// Opens one stream, counts it and reads it to its end.
async fn hold_stream(address: SocketAddr, request: CompletionRequest, count: Arc<Count>) {
    let Some(body) = open(address, &request).await else {
        count.attempted.fetch_add(1, Ordering::AcqRel);
        count.changed.notify_one();
        return;
    };
    count.open.fetch_add(1, Ordering::AcqRel);
    count.attempted.fetch_add(1, Ordering::AcqRel);
    count.changed.notify_one();
    let _ = body.collect().await;
    count.open.fetch_sub(1, Ordering::AcqRel);
}

async fn open(address: SocketAddr, request: &CompletionRequest) -> Option<hyper::body::Incoming> {
    let http_request = Request::post("/v1/chat/completions")
        .header(header::HOST, "millford")
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", request.key))
        .body(Full::new(Bytes::from(request.body().to_string())))
        .ok()?;
    let mut response = send(address, http_request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    matches!(response.body_mut().frame().await, Some(Ok(_))).then(|| response.into_body())
}
