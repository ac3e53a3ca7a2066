//! Everything that is fixed about a request before a backend is chosen.

use std::sync::Arc;

use bytes::Bytes;
use millford_core::MonotonicTime;
use millford_routing::{ModelRequest, RouteEntry};

use crate::request::message::BackendMethod;

/// A matched request.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Id of the request, for callers and logs.
    pub request_id: String,
    /// Name of the tenant.
    pub tenant: String,
    /// The matched route.
    pub route: Arc<RouteEntry>,
    /// What a backend must declare.
    pub requirement: ModelRequest,
    /// Hash that keeps related requests on one backend.
    pub affinity: Option<u64>,
    /// Estimated tokens of the prompt; 1 for lookups.
    pub prompt_tokens: u64,
    /// Until when the last byte must have left.
    pub deadline: MonotonicTime,
    /// Whether the answer is a stream.
    pub stream: bool,
    /// Method towards the backend.
    pub method: BackendMethod,
    /// Path and query towards the backend.
    pub path: String,
    /// Body towards the backend.
    pub body: Bytes,
}

impl RequestPlan {
    /// Whether the request may be sent to a second backend.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.route.repeatable
    }
}

/// A fresh identifier from two random numbers.
#[must_use]
pub fn random_id(random: [u64; 2]) -> String {
    format!("{:016x}{:016x}", random[0], random[1])
}
