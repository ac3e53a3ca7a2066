//! One request that a backend works on.

use xxhash_rust::xxh3::xxh3_64;

use crate::history::{AttemptNumber, Chunk, ContentNumber};
use crate::scenario::AnswerFault;

/// Shortest answer, in chunks.
const MIN_CHUNKS: u64 = 4;

/// Chunks by which answers differ in length.
const CHUNK_COUNT_SPREAD: u64 = 14;

/// Number of an attempt in the history.
#[must_use]
pub fn attempt_number(attempt: &str) -> AttemptNumber {
    AttemptNumber(xxh3_64(attempt.as_bytes()))
}

/// Number of a run in the history.
#[must_use]
pub fn run_number(run: &str) -> u64 {
    xxh3_64(run.as_bytes())
}

/// Progress of an answer.
#[derive(Clone, Debug)]
pub struct Answering {
    /// Attempt id as the proxy gave it.
    pub attempt: String,
    /// Number of the attempt in the history.
    pub number: AttemptNumber,
    /// What is answered.
    pub content: ContentNumber,
    /// Run id as the proxy gave it.
    pub run: String,
    /// Number of the run in the history.
    pub run_number: u64,
    /// Whether the answer is a stream.
    pub stream: bool,
    /// Next chunk.
    pub next: u64,
    /// Chunks of the complete run.
    pub total: u64,
    /// Sequence number that a resumption is confirmed at.
    pub resume_at: Option<u64>,
    /// Whether the head was sent.
    pub head_sent: bool,
    /// How the answer goes wrong, if it does.
    pub fault: Option<AnswerFault>,
}

impl Answering {
    /// Number of chunks of the answer to a content; the same for every run.
    #[must_use]
    pub fn chunk_count(content: ContentNumber, stream: bool) -> u64 {
        if stream {
            MIN_CHUNKS + content.0 % CHUNK_COUNT_SPREAD
        } else {
            1
        }
    }

    /// The chunk with a sequence number.
    #[must_use]
    pub fn chunk(&self, sequence: u64) -> Chunk {
        Chunk {
            content: self.content,
            run: self.run_number,
            sequence,
            last: sequence + 1 == self.total,
        }
    }

    /// Whether half of the answer was sent.
    #[must_use]
    pub fn is_half_done(&self) -> bool {
        self.next * 2 >= self.total
    }
}
