//! Measures the lookup throughput of one proxy and the processor time it takes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::task::JoinSet;

use super::latency::lookup_time;
use super::process_usage::ProcessUsage;
use crate::caller::LookupRequest;

/// Lookup throughput of one proxy.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Throughput {
    /// Number of concurrent callers, each with one lookup at a time.
    pub callers: usize,
    /// Number of lookups that succeeded.
    pub served: u64,
    /// Number of lookups that failed.
    pub failed: u64,
    /// Successful lookups per second.
    pub per_second: f64,
    /// Successful lookups per second of the proxy's processor time.
    pub per_core_second: f64,
}

/// Sends lookups to one proxy from `callers` concurrent callers for the duration `length`. `None` if the
/// proxy's process has ended.
pub async fn measure(
    address: SocketAddr,
    proxy_id: u32,
    callers: usize,
    length: Duration,
    request: &LookupRequest,
) -> Option<Throughput> {
    let served = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let before = ProcessUsage::of(proxy_id)?;
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
        let mut request = request.clone();
        let prefix = format!("{}-{caller}", request.marker);
        tasks.spawn(async move {
            for number in 0_u64.. {
                if start.elapsed() >= length {
                    return;
                }
                request.marker = format!("{prefix}-{number}");
                let counter = match lookup_time(address, &request).await {
                    Some(_) => &served,
                    None => &failed,
                };
                counter.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let seconds = start.elapsed().as_secs_f64();
    let used = ProcessUsage::of(proxy_id)?
        .processor
        .saturating_sub(before.processor);
    let count = served.load(Ordering::Relaxed);
    Some(Throughput {
        callers,
        served: count,
        failed: failed.load(Ordering::Relaxed),
        per_second: count as f64 / seconds,
        per_core_second: count as f64 / used.as_secs_f64().max(0.01),
    })
}
