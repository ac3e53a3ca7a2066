//! The parts of a chat completion body that the emulator acts on.

use serde::Deserialize;
use serde_json::Value;

use crate::answer_text::find_marker;

/// Pieces of an answer when the body names no limit.
pub const DEFAULT_PIECES: u64 = 32;

/// The parts of a chat completion body that the emulator acts on.
#[derive(Clone, Debug, Deserialize)]
pub struct Prompt {
    /// Model asked for.
    pub model: String,
    /// Conversation so far.
    pub messages: Vec<Value>,
    /// Whether pieces are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Longest answer, in tokens; one piece is one token here.
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

    /// Pieces that the answer will have.
    #[must_use]
    pub fn pieces(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_PIECES).max(1)
    }
}
