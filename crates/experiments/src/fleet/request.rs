//! A simulated request and its attempts.

use millford_core::MonotonicTime;
use millford_routing::InFlightGuard;

use crate::fleet::workload::Prompt;

/// An open request.
#[derive(Debug)]
pub struct Request {
    /// Name of the model.
    pub model: &'static str,
    /// Prompt and number of tokens to generate.
    pub prompt: Prompt,
    /// Time of arrival.
    pub arrived: MonotonicTime,
    /// Index of the proxy that accepted the request.
    pub proxy: usize,
    /// Number of attempts made so far, including those that failed to start.
    pub attempts: u32,
    /// Indexes of the hosts on which an attempt failed.
    pub failed_hosts: Vec<usize>,
    /// The current attempt; `None` between two attempts.
    pub attempt: Option<Attempt>,
}

/// An attempt in progress on a backend.
#[derive(Debug)]
pub struct Attempt {
    /// Index of the host.
    pub host: usize,
    /// Id of the run on the host, unique in the simulation.
    pub run: u64,
    /// Version of the model that runs.
    pub version: String,
    /// Time of dispatch.
    pub sent: MonotonicTime,
    /// Time of the first token; `None` before it.
    pub first_token: Option<MonotonicTime>,
    /// Whether the host was chosen as a home of the affinity key.
    pub by_affinity: bool,
    /// Prompt tokens found in the backend's prefix cache.
    pub cached_tokens: u32,
    /// Proxy's estimate of the uncached prompt tokens in flight on the replica at dispatch, including this attempt's.
    pub queued_tokens: u64,
    /// Proxy's estimate of this attempt's uncached prompt tokens.
    pub own_tokens: u64,
    /// Proxy's count of streams in decode on the replica at dispatch, without this attempt.
    pub streams_at_start: u32,
    /// Guard that counts the attempt in the proxy's load table until it is dropped.
    pub in_flight: InFlightGuard,
}
