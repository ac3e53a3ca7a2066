//! Outcome of one request, as observed by the caller.

use millford_core::RunState;
use serde::{Deserialize, Serialize};

/// A received chunk of a stream, or the text of a response that is not streamed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedChunk {
    /// Sequence number from the `id` of the event; absent if it had none. Always 0 without streaming.
    pub sequence: Option<u64>,
    /// Generated text, or the JSON body of a lookup.
    pub text: String,
    /// Machine clock at its arrival, in microseconds.
    pub at_micros: u64,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ending")]
pub enum Ending {
    /// The response was complete, with its end marker if streamed.
    Success,
    /// The request was refused or failed, before or within the stream.
    Failure {
        /// Number of the result code; 0 if the response had none.
        code: u32,
        /// State of the run according to the response; absent if it has none.
        run: Option<RunState>,
        /// Time after which the caller may retry, in milliseconds; absent if the response has none.
        retry_after_ms: Option<u64>,
    },
    /// The connection could not be opened; nothing was sent.
    NotConnected,
    /// The connection failed before the end of the response, so that the caller can detect the truncation.
    Broken,
    /// The response ended without an error but is incomplete, so that the caller cannot detect the truncation.
    FalseEnd,
}

/// Outcome of one request, as observed by the caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestOutcome {
    /// Marker that identifies the request in its response and in execution logs.
    pub marker: String,
    /// Name of the model, or `lookup`.
    pub model: String,
    /// Name of the tenant whose key was used.
    pub tenant: String,
    /// Whether the request may be sent to backends more than once.
    pub repeatable: bool,
    /// Index of the proxy that was called.
    pub proxy: usize,
    /// Number of chunks requested; 0 for lookups.
    #[serde(rename = "pieces_wanted")]
    pub requested_chunks: u64,
    /// Whether streaming was requested.
    pub streamed: bool,
    /// Machine clock at the start, in microseconds.
    pub started_micros: u64,
    /// Machine clock at the end, in microseconds.
    pub ended_micros: u64,
    /// HTTP status; absent without a response.
    pub status: Option<u16>,
    /// Configuration revision from the response header; absent if the header was missing.
    pub revision: Option<u64>,
    /// Chunks of a stream; one if the response was not streamed.
    #[serde(rename = "pieces")]
    pub chunks: Vec<ReceivedChunk>,
    /// How the request ended.
    pub ending: Ending,
}

impl RequestOutcome {
    /// Returns the time from the start to the first chunk, if there was one.
    #[must_use]
    pub fn first_token_micros(&self) -> Option<u64> {
        let first = self.chunks.first()?;
        Some(first.at_micros.saturating_sub(self.started_micros))
    }

    /// Returns the times between consecutive chunks.
    pub fn gaps_micros(&self) -> impl Iterator<Item = u64> + '_ {
        let pairs = self.chunks.windows(2);
        pairs.map(|pair| pair[1].at_micros.saturating_sub(pair[0].at_micros))
    }

    /// Returns whether the caller received a complete response.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        self.ending == Ending::Success
    }
}
