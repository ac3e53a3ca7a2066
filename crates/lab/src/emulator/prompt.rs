//! Body of a chat completion request.

use serde::Deserialize;
use serde_json::Value;

use crate::answer_text::find_marker;

/// Number of chunks in a response when the body sets no `max_tokens`.
pub const DEFAULT_CHUNKS: u64 = 32;

/// The fields of a chat completion body that the emulator uses; others are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Prompt {
    /// Name of the requested model.
    pub model: String,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<Value>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Length of the response in tokens; the emulator sends one chunk for each token.
    #[serde(default)]
    pub max_tokens: Option<u64>,
}

impl Prompt {
    /// Returns the contents of all messages, each followed by a line break.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(message["content"].as_str().unwrap_or_default());
            text.push('\n');
        }
        text
    }

    /// Returns the marker in the last message; empty if there is none.
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

    /// Returns the number of chunks in the response, at least 1.
    #[must_use]
    pub fn chunks(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_CHUNKS).max(1)
    }
}
