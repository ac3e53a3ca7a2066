//! What a caller saw of one call.

use millford_core::RunState;
use serde::{Deserialize, Serialize};

/// One piece of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceSeen {
    /// Sequence number from the event's `id`; absent when there was none.
    pub sequence: Option<u64>,
    /// Text of the piece.
    pub text: String,
    /// Machine clock at its arrival, in microseconds.
    pub at_micros: u64,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ending")]
pub enum Ending {
    /// A whole answer, with its end marker if streamed.
    Success,
    /// A numbered refusal or failure, before or within the stream.
    Failure {
        /// Numbered result code, 0 if the body had none.
        code: u32,
        /// What the answer says about the run.
        run: Option<RunState>,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The connection could not be opened; nothing was sent.
    NotConnected,
    /// The connection ended before the end of the answer, and visibly so.
    Broken,
    /// The answer ended cleanly without its end marker: a partial body dressed as complete.
    FalseEnd,
}

/// What a caller saw of one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallOutcome {
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
    /// Number of pieces asked for; 0 for lookups.
    pub pieces_wanted: u64,
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
    /// Pieces of a stream, or one for a plain answer.
    pub pieces: Vec<PieceSeen>,
    /// How it ended.
    pub ending: Ending,
}

impl CallOutcome {
    /// Microseconds from the start to the first piece.
    #[must_use]
    pub fn first_token_micros(&self) -> Option<u64> {
        let first = self.pieces.first()?;
        Some(first.at_micros.saturating_sub(self.started_micros))
    }

    /// Microseconds between neighbouring pieces.
    pub fn gaps_micros(&self) -> impl Iterator<Item = u64> + '_ {
        let pairs = self.pieces.windows(2);
        pairs.map(|pair| pair[1].at_micros.saturating_sub(pair[0].at_micros))
    }

    /// Whether the caller got a whole answer.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        self.ending == Ending::Success
    }
}
