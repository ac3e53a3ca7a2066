//! What a deployment's headers mean, towards callers and towards backends.

use http::{HeaderMap, HeaderValue};
use millford_core::Duration;
use millford_routing::PrefixBlock;

/// What a caller's headers say about a request. Everything is optional: what cannot be parsed counts
/// as absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFacts {
    /// Identity of this request; a backend's response echoes it.
    pub request_id: Option<String>,
    /// The tenant's key. It is hashed at once and goes no further.
    pub tenant_key: Option<String>,
    /// How long the caller waits.
    pub time_budget: Option<Duration>,
    /// Requested model; empty for requests to no model.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// Most tokens of the response.
    pub output_tokens: Option<u64>,
    /// Parts of the prompt in order. The last one is the request's or its session's own.
    pub prefix_blocks: Vec<PrefixBlock>,
    /// The event after which the caller resumes a stream.
    pub resume_after: Option<u64>,
}

/// What the proxy adds to a request for a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch<'a> {
    /// Identity of the backend that is meant: another one at its address must not run the request.
    pub backend_id: &'a str,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Name of the caller's tenant.
    pub tenant: Option<&'a str>,
    /// Urgency among requests; 0 goes first, 9 last.
    pub urgency: u32,
    /// The event after which a stream is to be resumed.
    pub resume_after: Option<u64>,
}

/// What a backend's headers say about its response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseFacts {
    /// The request that the response belongs to.
    pub request_id: Option<String>,
    /// The backend declares that it did not run the request and never will.
    pub not_run: bool,
    /// The response carries the backend's signature.
    pub signed: bool,
    /// How long the backend keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Version of the model's weights that served it.
    pub model_version: Option<u64>,
}

/// Translates between a deployment's headers and the product's terms. It decides nothing.
pub trait ForwardProtocol: Send + Sync + 'static {
    /// Reads a caller's headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestFacts;

    /// Turns a caller's headers into those for a backend: removes the key and adds the dispatch.
    /// Headers that concern one connection only are removed already.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads a backend's headers.
    fn read_response(&self, headers: &HeaderMap) -> ResponseFacts;

    /// Value of `Retry-After` for a delay.
    fn retry_after(&self, delay: Duration) -> HeaderValue;

    /// Path of the readiness check on the readiness address.
    fn readiness_path(&self) -> &str;
}
