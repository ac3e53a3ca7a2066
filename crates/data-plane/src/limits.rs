//! Limits and times of the request path.

use millford_core::Duration;

/// Limits and times of the request path; the defaults are the documented ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Estimated time to the first token above which requests wait or are shed.
    pub first_token_limit: Duration,
    /// Longest wait for a tenant's turn while the backends are too busy.
    pub admission_wait: Duration,
    /// Time between two checks of the admission queue.
    pub admission_check_interval: Duration,
    /// Inactivity of a stream after which its backend is ejected, while others respond.
    pub stream_inactivity_timeout: Duration,
    /// Time between two checks of the state of a waiting request's backend.
    pub backend_check_interval: Duration,
    /// Longest wait for the confirmation of a withdrawal.
    pub withdraw_timeout: Duration,
    /// Largest plain answer, in bytes.
    pub max_answer_bytes: usize,
    /// Connections tried for one request before it is given up; no byte leaves on a failed one.
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
            max_connects: 4,
        }
    }
}
