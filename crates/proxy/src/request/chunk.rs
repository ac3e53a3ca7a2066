//! Chunks of a completion stream.

use bytes::Bytes;
use serde_json::{Map, Value};

use crate::backend_protocol::CHUNK_FIELD;

/// Token counts that a backend reports for one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the backend's prefix cache.
    pub cached_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
}

impl Usage {
    /// Reads the `usage` field of a chunk or a body, if it is there; a missing count is 0.
    #[must_use]
    pub fn read(fields: &Map<String, Value>) -> Option<Self> {
        let usage = fields.get("usage")?.as_object()?;
        let number = |name: &str| usage.get(name).and_then(Value::as_u64).unwrap_or(0);
        Some(Self {
            prompt_tokens: number("prompt_tokens"),
            cached_tokens: number("cached_tokens"),
            completion_tokens: number("completion_tokens"),
        })
    }
}

/// A stream chunk with the run id and sequence number that the backend assigned.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// Id of the run that the chunk belongs to.
    pub run: String,
    /// Position of the chunk in the run, from 0.
    pub sequence: u64,
    /// Token counts, which a backend sends in the last chunk of a run.
    pub usage: Option<Usage>,
    fields: Map<String, Value>,
}

impl Chunk {
    /// Parses the data of an event. Returns `None` if it is not a numbered chunk.
    #[must_use]
    pub fn parse(data: &str) -> Option<Self> {
        let Ok(Value::Object(mut fields)) = serde_json::from_str(data) else {
            return None;
        };
        let metadata = fields.remove(CHUNK_FIELD)?;
        Some(Self {
            run: metadata.get("run")?.as_str()?.to_owned(),
            sequence: metadata.get("seq")?.as_u64()?,
            usage: Usage::read(&fields),
            fields,
        })
    }

    /// Encodes the chunk as an event for the caller, with the sequence number as the event id and
    /// without the backend protocol's field.
    #[must_use]
    pub fn into_caller_event(mut self, request_id: &str) -> Bytes {
        // The id stays the same for the whole stream, also when another backend continues it.
        self.fields.insert(
            "id".to_owned(),
            Value::String(format!("chatcmpl-{request_id}")),
        );
        self.fields
            .entry("object")
            .or_insert_with(|| Value::String("chat.completion.chunk".to_owned()));
        let data = Value::Object(self.fields);
        Bytes::from(format!("id: {}\ndata: {data}\n\n", self.sequence))
    }
}
