//! Outcome of one request as its caller saw it.

use millford_core::RunState;
use serde::{Deserialize, Serialize};

/// One chunk of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedChunk {
    /// Sequence number from the event's `id`; absent when there was none.
    pub sequence: Option<u64>,
    /// Text of the chunk.
    pub text: String,
    /// Machine clock at its arrival, in microseconds.
    pub at_micros: u64,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ending")]
pub enum Ending {
    /// A complete response, with its end marker if streamed.
    Success,
    /// A numbered refusal or failure, before or within the stream.
    Failure {
        /// Numbered result code, 0 if the body had none.
        code: u32,
        /// What the response says about the run.
        run: Option<RunState>,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The connection could not be opened; nothing was sent.
    NotConnected,
    /// The connection ended before the end of the response, and visibly so.
    Broken,
    /// The response ended cleanly without its end marker: a partial body presented as complete.
    FalseEnd,
}

/// Outcome of one request as its caller saw it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestOutcome {
    /// Marker of the request.
    pub marker: String,
    /// Model, or `lookup`.
    pub model: String,
    /// Tenant whose key was used.
    pub tenant: String,
    /// Whether the request may be sent to backends more than once.
    pub repeatable: bool,
    /// Index of the proxy that was called.
    pub proxy: usize,
    /// Number of chunks requested; 0 for lookups.
    #[serde(rename = "pieces_wanted")]
    pub requested_chunks: u64,
    /// Whether it was streamed.
    pub streamed: bool,
    /// Machine clock at the start, in microseconds.
    pub started_micros: u64,
    /// Machine clock at the end, in microseconds.
    pub ended_micros: u64,
    /// HTTP status, if any.
    pub status: Option<u16>,
    /// Configuration revision that the proxy named.
    pub revision: Option<u64>,
    /// Chunks of a stream, or one for a plain response.
    #[serde(rename = "pieces")]
    pub chunks: Vec<ReceivedChunk>,
    /// How it ended.
    pub ending: Ending,
}

impl RequestOutcome {
    /// Microseconds from the start to the first chunk.
    #[must_use]
    pub fn first_token_micros(&self) -> Option<u64> {
        let first = self.chunks.first()?;
        Some(first.at_micros.saturating_sub(self.started_micros))
    }

    /// Microseconds between neighbouring chunks.
    pub fn gaps_micros(&self) -> impl Iterator<Item = u64> + '_ {
        let pairs = self.chunks.windows(2);
        pairs.map(|pair| pair[1].at_micros.saturating_sub(pair[0].at_micros))
    }

    /// Whether the caller got a complete response.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        self.ending == Ending::Success
    }
}
