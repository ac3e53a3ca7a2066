//! One simulated request.

use millford_core::MonotonicTime;
use millford_routing::InFlightGuard;

use crate::fleet::workload::Prompt;

/// A request from arrival to its end.
#[derive(Debug)]
pub struct Request {
    /// Name of the model.
    pub model: &'static str,
    /// Its prompt.
    pub prompt: Prompt,
    /// When it arrived.
    pub arrived: MonotonicTime,
    /// The proxy that took it.
    pub proxy: usize,
    /// Attempts started.
    pub attempts: u32,
    /// Hosts that failed it.
    pub failed_hosts: Vec<usize>,
    /// The attempt under way.
    pub attempt: Option<Attempt>,
}

/// One attempt on one backend.
#[derive(Debug)]
pub struct Attempt {
    /// Position of the host.
    pub host: usize,
    /// Number of the run on the host.
    pub run: u64,
    /// Version of the model that runs.
    pub version: String,
    /// When it was sent.
    pub sent: MonotonicTime,
    /// When the first token came.
    pub first_token: Option<MonotonicTime>,
    /// Whether the host is a home of the affinity key.
    pub by_affinity: bool,
    /// Prompt tokens that the backend had cached.
    pub cached_tokens: u32,
    /// Uncached tokens in flight before it on the replica, its own included, as the proxy estimated.
    pub queued_tokens: u64,
    /// Its own uncached tokens as the proxy estimated.
    pub own_tokens: u64,
    /// Streams on the replica before it, as the proxy knew.
    pub streams_at_start: u32,
    /// Counts it in the proxy's load table until it is dropped.
    pub in_flight: InFlightGuard,
}
