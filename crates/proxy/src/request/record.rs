//! The record of a request for metrics and logs. It never holds the caller's key, the
//! prompt or the answer.

use millford_core::ResultCode;

use millford_data_plane::proxy_state::ProxyState;

/// Result of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// Id of the request.
    pub request_id: String,
    /// Name of the matched route; empty if none matched.
    pub route: String,
    /// Result code of the request.
    pub code: ResultCode,
    /// Whether the caller disconnected before the end of the response.
    pub caller_disconnected: bool,
}

impl RequestRecord {
    /// Creates the record of a request in progress.
    #[must_use]
    pub fn new(request_id: String) -> Self {
        Self {
            request_id,
            route: String::new(),
            code: ResultCode::Ok,
            caller_disconnected: false,
        }
    }

    /// Counts the finished request in the metrics.
    pub fn count(&self, state: &ProxyState) {
        let code = if self.caller_disconnected {
            "caller_left".to_owned()
        } else {
            self.code.number().to_string()
        };
        let requests = &state.metrics.requests;
        requests
            .with_label_values(&[self.route.as_str(), code.as_str()])
            .inc();
    }
}

/// Counts a request as open in the metrics until it is dropped.
pub struct OpenRequest<'a> {
    state: &'a ProxyState,
}

impl<'a> OpenRequest<'a> {
    /// Counts a request that has arrived.
    #[must_use]
    pub fn start(state: &'a ProxyState) -> Self {
        state.metrics.open_requests.inc();
        Self { state }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.state.metrics.open_requests.dec();
    }
}

/// Counts a stream as open in the metrics until it is dropped.
pub struct OpenStream<'a> {
    state: &'a ProxyState,
}

impl<'a> OpenStream<'a> {
    /// Counts a stream that starts towards the caller.
    #[must_use]
    pub fn start(state: &'a ProxyState) -> Self {
        state.metrics.open_streams.inc();
        Self { state }
    }
}

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.state.metrics.open_streams.dec();
    }
}
