//! One chunk of a stream.

use bytes::Bytes;
use serde_json::{Map, Value};

use crate::backend_protocol::CHUNK_FIELD;

/// Tokens that a backend counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were found in the cache.
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

impl Usage {
    /// Reads the `usage` field of a chunk or a body.
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

/// A chunk with the run and the sequence number that the backend gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// Run of the chunk.
    pub run: String,
    /// Place in the run, from 0.
    pub sequence: u64,
    /// Usage, in the last chunk of a run.
    pub usage: Option<Usage>,
    fields: Map<String, Value>,
}

impl Chunk {
    /// Reads the data of an event; nothing if it is not a numbered chunk.
    #[must_use]
    pub fn parse(data: &str) -> Option<Self> {
        let Ok(Value::Object(mut fields)) = serde_json::from_str(data) else {
            return None;
        };
        let mark = fields.remove(CHUNK_FIELD)?;
        Some(Self {
            run: mark.get("run")?.as_str()?.to_owned(),
            sequence: mark.get("seq")?.as_u64()?,
            usage: Usage::read(&fields),
            fields,
        })
    }

    /// The event for the caller: the sequence number as its id, the chunk in the usual shape.
    #[must_use]
    pub fn into_caller_event(mut self, request_id: &str) -> Bytes {
        // One id over the whole stream, also when another backend continues it.
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
