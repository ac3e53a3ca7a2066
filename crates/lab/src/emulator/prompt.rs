//! The parts of a chat completion body that the emulator acts on.

use serde::Deserialize;
use serde_json::Value;

use crate::answer_text::find_marker;

/// Chunks of a response when the body names no limit.
pub const DEFAULT_CHUNKS: u64 = 32;

/// The parts of a chat completion body that the emulator acts on.
#[derive(Clone, Debug, Deserialize)]
pub struct Prompt {
    /// Model requested.
    pub model: String,
    /// Conversation so far.
    pub messages: Vec<Value>,
    /// Whether chunks are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Longest response, in tokens; one chunk is one token here.
    #[serde(default)]
    pub max_tokens: Option<u64>,
}

impl Prompt {
    /// Text of all messages in their order.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(message["content"].as_str().unwrap_or_default());
            text.push('\n');
        }
        text
    }

    /// Marker in the last message, or empty.
    #[must_use]
    pub fn marker(&self) -> String {
        let last = self
            .messages
            .last()
            .and_then(|message| message["content"].as_str());
        find_marker(last.unwrap_or_default())
            .unwrap_or_default()
            .to_owned()
    }

    /// Chunks that the response will have.
    #[must_use]
    pub fn chunks(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_CHUNKS).max(1)
    }
}
