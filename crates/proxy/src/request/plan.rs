//! The parts of a request that are determined before a backend is chosen.

use std::sync::Arc;

use bytes::Bytes;
use millford_core::MonotonicTime;
use millford_routing::{ModelRequest, RouteEntry};

use crate::request::message::BackendMethod;

/// A request that was matched to its route.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Id of the request, for callers and logs.
    pub request_id: String,
    /// Name of the caller's tenant.
    pub tenant: String,
    /// The matched route.
    pub route: Arc<RouteEntry>,
    /// Model, version, stage and adapter that a backend must declare.
    pub requirement: ModelRequest,
    /// Hash that keeps related requests on one backend; absent if there is no affinity.
    pub affinity: Option<u64>,
    /// Estimated tokens of the prompt; 1 for lookups.
    pub prompt_tokens: u64,
    /// Time by which the last byte of the answer must have been sent to the caller.
    pub deadline: MonotonicTime,
    /// Whether the caller asks for a stream.
    pub stream: bool,
    /// HTTP method of the request to the backend.
    pub method: BackendMethod,
    /// Path and query of the request to the backend.
    pub path: String,
    /// Body of the request to the backend; empty for lookups.
    pub body: Bytes,
}

impl RequestPlan {
    /// Returns whether the request may be sent to a second backend.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.route.repeatable
    }
}

/// Formats two random numbers as an identifier of 32 hexadecimal digits.
#[must_use]
pub fn random_id(random: [u64; 2]) -> String {
    format!("{:016x}{:016x}", random[0], random[1])
}
