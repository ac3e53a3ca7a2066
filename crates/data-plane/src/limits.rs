//! Limits and timeouts of the request path.

use millford_core::Duration;

/// Limits and timeouts of the request path. The defaults are the documented ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Estimated time to the first token above which a request is queued or refused.
    pub first_token_limit: Duration,
    /// Longest time that a request is queued while the backends are overloaded.
    pub admission_wait: Duration,
    /// Interval at which a queued request checks whether it is admitted.
    pub admission_check_interval: Duration,
    /// Inactivity of a stream after which its backend is ejected, provided that other backends respond.
    pub stream_inactivity_timeout: Duration,
    /// Interval at which a waiting request checks the state of its backend.
    pub backend_check_interval: Duration,
    /// Longest wait for a backend to confirm the withdrawal of an attempt.
    pub withdraw_timeout: Duration,
    /// Largest response that is not streamed, in bytes.
    pub max_answer_bytes: usize,
    /// Largest event of a backend's stream, in bytes.
    pub max_event_bytes: usize,
    /// Most bytes of callers' bodies that the process holds.
    pub caller_body_bytes: usize,
    /// Most bytes of backends' answers that the process holds.
    pub answer_bytes: usize,
    /// Largest number of connection attempts for one request. A failed connection attempt sends no byte
    /// of the request.
    pub max_connects: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            first_token_limit: Duration::from_secs(10),
            admission_wait: Duration::from_secs(1),
            admission_check_interval: Duration::from_millis(20),
            stream_inactivity_timeout: Duration::from_secs(2),
            backend_check_interval: Duration::from_millis(100),
            withdraw_timeout: Duration::from_millis(300),
            max_answer_bytes: 16 * 1024 * 1024,
            max_event_bytes: 4 * 1024 * 1024,
            caller_body_bytes: usize::MAX,
            answer_bytes: usize::MAX,
            max_connects: 4,
        }
    }
}
