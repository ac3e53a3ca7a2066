//! What a caller asks.

use serde_json::{Value, json};

use crate::answer_text::marker_text;
use crate::emulator::lookup::MARKER_PARAMETER;

/// One chat completion to ask for.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Unique marker, which the response repeats.
    pub marker: String,
    /// Tenant name, for the checks; it is not sent.
    pub tenant: String,
    /// Tenant key.
    pub key: String,
    /// Model requested.
    pub model: String,
    /// Long text shared by many prompts.
    pub shared_prefix: String,
    /// Question at the end.
    pub question: String,
    /// Whether to stream.
    pub stream: bool,
    /// Number of chunks requested.
    pub chunks: u64,
    /// Conversation, if any.
    pub session: Option<String>,
    /// Idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// Deadline, in milliseconds, if any.
    pub deadline_ms: Option<u64>,
}

impl CompletionRequest {
    /// The body in the shape that `OpenAI` clients send.
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

/// One lookup to ask for.
#[derive(Clone, Debug)]
pub struct LookupRequest {
    /// Unique marker, which the response repeats.
    pub marker: String,
    /// Tenant name, for the checks; it is not sent.
    pub tenant: String,
    /// Tenant key.
    pub key: String,
    /// Path without the marker.
    pub path: String,
}

impl LookupRequest {
    /// Path with the marker.
    #[must_use]
    pub fn path_with_marker(&self) -> String {
        format!("{}?{MARKER_PARAMETER}{}", self.path, self.marker)
    }
}
