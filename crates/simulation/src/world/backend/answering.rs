//! A request that a backend is answering.

use xxhash_rust::xxh3::xxh3_64;

use crate::history::{AttemptNumber, Chunk, ContentNumber};
use crate::scenario::AnswerFault;

/// Smallest number of chunks of a stream.
const MIN_CHUNKS: u64 = 4;

/// Number of different stream lengths, from [`MIN_CHUNKS`] up.
const CHUNK_COUNT_SPREAD: u64 = 14;

/// Returns the number of an attempt in the history: a hash of its id.
#[must_use]
pub fn attempt_number(attempt: &str) -> AttemptNumber {
    AttemptNumber(xxh3_64(attempt.as_bytes()))
}

/// Returns the number of a run in the history: a hash of its id.
#[must_use]
pub fn run_number(run: &str) -> u64 {
    xxh3_64(run.as_bytes())
}

/// A request that a backend is answering, and the progress of the answer.
#[derive(Clone, Debug)]
pub struct Answering {
    /// Attempt id from the request.
    pub attempt: String,
    /// Number of the attempt in the history.
    pub number: AttemptNumber,
    /// Content of the request, from which the number of chunks is derived.
    pub content: ContentNumber,
    /// Run id from the request.
    pub run: String,
    /// Number of the run in the history.
    pub run_number: u64,
    /// Whether the answer is a stream.
    pub stream: bool,
    /// Sequence number of the next chunk.
    pub next: u64,
    /// Number of chunks of the complete run.
    pub total: u64,
    /// Sequence number from which the backend confirms to resume; absent if it starts at 0.
    pub resume_at: Option<u64>,
    /// Whether the head of the answer was sent.
    pub head_sent: bool,
    /// Fault of the answer, if any.
    pub fault: Option<AnswerFault>,
}

impl Answering {
    /// Returns the number of chunks of the answer to a content; the same for every run.
    #[must_use]
    pub fn chunk_count(content: ContentNumber, stream: bool) -> u64 {
        if stream {
            MIN_CHUNKS + content.0 % CHUNK_COUNT_SPREAD
        } else {
            1
        }
    }

    /// Returns the chunk with a sequence number.
    #[must_use]
    pub fn chunk(&self, sequence: u64) -> Chunk {
        Chunk {
            content: self.content,
            run: self.run_number,
            sequence,
            last: sequence + 1 == self.total,
        }
    }

    /// Returns whether at least half of the chunks were sent.
    #[must_use]
    pub fn is_half_done(&self) -> bool {
        self.next * 2 >= self.total
    }
}
