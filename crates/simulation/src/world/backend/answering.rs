//! One request that a backend works on.

use crate::history::{AttemptNumber, Chunk, ContentNumber};
use crate::scenario::AnswerFault;

/// Shortest answer, in chunks.
const MIN_CHUNKS: u64 = 4;

/// Chunks by which answers differ in length.
const CHUNK_COUNT_SPREAD: u64 = 14;

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
        match stream {
            true => MIN_CHUNKS + content.0 % CHUNK_COUNT_SPREAD,
            false => 1,
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
