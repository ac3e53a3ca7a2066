//! The interface for reading and writing a deployment's headers, towards callers and backends.

use http::{HeaderMap, HeaderValue};
use millford_core::Duration;
use millford_routing::PrefixBlock;

/// Facts about a request, parsed from the caller's headers. All of them are optional; a header that cannot be
/// parsed counts as absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFacts {
    /// Id of this request; the backend's response repeats it.
    pub request_id: Option<String>,
    /// The tenant's key. Only its hash is used to find the tenant, and backends never receive the key.
    pub tenant_key: Option<String>,
    /// How long the caller waits for the complete response.
    pub time_budget: Option<Duration>,
    /// Requested model; empty if the request is not for a model.
    pub model: String,
    /// Number of tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// Largest number of tokens of the response.
    pub output_tokens: Option<u64>,
    /// Prefix blocks of the prompt, in order. The last one is specific to the request or its session.
    pub prefix_blocks: Vec<PrefixBlock>,
    /// Id of the event after which the caller resumes a stream.
    pub resume_after: Option<u64>,
}

/// The data that the proxy adds to a request to a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch<'a> {
    /// Id of the intended backend: another backend at the same address must not run the request.
    pub backend_id: &'a str,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Name of the caller's tenant; `None` if the request needs no key.
    pub tenant: Option<&'a str>,
    /// Urgency from 0 (highest) to 9 (lowest).
    pub urgency: u32,
    /// Id of the event after which a stream is to be resumed; `None` for a request from the start.
    pub resume_after: Option<u64>,
}

/// Facts about a response, parsed from the backend's headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseFacts {
    /// Id of the request that the response belongs to; `None` if the backend did not return it.
    pub request_id: Option<String>,
    /// Whether the backend declares that it did not run the request and never will.
    pub not_run: bool,
    /// Whether the response has a signature header of the backend.
    pub signed: bool,
    /// How long the backend keeps an idle connection open; `None` if it does not declare it.
    pub keep_alive: Option<Duration>,
    /// Version of the model weights that served the request; `None` if the protocol does not transmit it.
    pub model_version: Option<u64>,
}

/// Translates between a deployment's headers and this crate's types. Implementations make no routing decisions.
pub trait ForwardProtocol: Send + Sync + 'static {
    /// Parses a caller's headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestFacts;

    /// Converts a caller's headers to those for a backend: removes the tenant's key and adds `dispatch`. The
    /// hop-by-hop headers have already been removed.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Parses a backend's response headers.
    fn read_response(&self, headers: &HeaderMap) -> ResponseFacts;

    /// Returns the value of `Retry-After` for a delay.
    fn retry_after(&self, delay: Duration) -> HeaderValue;

    /// Returns the path of the readiness check on the readiness address.
    fn readiness_path(&self) -> &str;
}
