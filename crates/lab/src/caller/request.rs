//! Requests that emulated callers send.

use serde_json::{Value, json};

use crate::answer_text::marker_text;
use crate::emulator::lookup::MARKER_PARAMETER;

/// A chat completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Unique marker, which is sent in the prompt and repeated in the response.
    pub marker: String,
    /// Name of the tenant, for the checks; not sent.
    pub tenant: String,
    /// Key of the tenant, sent as the bearer credential.
    pub key: String,
    /// Name of the requested model.
    pub model: String,
    /// Text at the start of the prompt that many prompts share.
    pub shared_prefix: String,
    /// Question at the end of the prompt, without the marker.
    pub question: String,
    /// Whether to request streaming.
    pub stream: bool,
    /// Number of chunks requested.
    pub chunks: u64,
    /// Id of the session, if the request belongs to one.
    pub session: Option<String>,
    /// Idempotency key; absent to send none.
    pub idempotency_key: Option<String>,
    /// Time allowed for the request, in milliseconds; absent to send no deadline.
    pub deadline_ms: Option<u64>,
}

impl CompletionRequest {
    /// Returns the JSON body in the form of the `OpenAI` interface.
    #[must_use]
    pub fn body(&self) -> Value {
        let question = format!("{} {}", self.question, marker_text(&self.marker));
        json!({
            "model": self.model,
            "stream": self.stream,
            "max_tokens": self.chunks,
            "messages": [
                {"role": "system", "content": self.shared_prefix},
                {"role": "user", "content": question},
            ],
        })
    }
}

/// A lookup request.
#[derive(Clone, Debug)]
pub struct LookupRequest {
    /// Unique marker, which is sent in the query and repeated in the response.
    pub marker: String,
    /// Name of the tenant, for the checks; not sent.
    pub tenant: String,
    /// Key of the tenant, sent as the bearer credential.
    pub key: String,
    /// Path, without the query.
    pub path: String,
}

impl LookupRequest {
    /// Returns the path with the marker as query parameter.
    #[must_use]
    pub fn path_with_marker(&self) -> String {
        format!("{}?{MARKER_PARAMETER}{}", self.path, self.marker)
    }
}
