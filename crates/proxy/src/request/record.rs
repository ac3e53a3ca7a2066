//! What is counted and logged of one request. Never its key, prompt or answer.

use millford_core::ResultCode;

use millford_data_plane::proxy_state::ProxyState;

/// The end of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// Id of the request.
    pub request_id: String,
    /// Matched route; empty if none.
    pub route: String,
    /// How it ended.
    pub code: ResultCode,
    /// Whether the caller disconnected before the end.
    pub caller_disconnected: bool,
}

impl RequestRecord {
    /// A request that has not ended.
    #[must_use]
    pub fn new(request_id: String) -> Self {
        Self {
            request_id,
            route: String::new(),
            code: ResultCode::Ok,
            caller_disconnected: false,
        }
    }

    /// Counts the ended request.
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

/// Counts a request in progress until it is dropped.
pub struct OpenRequest<'a> {
    state: &'a ProxyState,
}

impl<'a> OpenRequest<'a> {
    /// The request arrived.
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

/// Counts an open stream until it is dropped.
pub struct OpenStream<'a> {
    state: &'a ProxyState,
}

impl<'a> OpenStream<'a> {
    /// The first chunk goes to the caller.
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
