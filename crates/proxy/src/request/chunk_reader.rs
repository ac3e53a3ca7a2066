//! Reads a stream from a backend and checks each chunk.

use millford_core::ResultCode;

use crate::backend_protocol::{DONE_MARKER, ERROR_EVENT};
use crate::request::chunk::Chunk;
use crate::request::environment::BackendAnswer;
use crate::request::message::AnswerError;
use crate::request::sse::{SseDecoder, SseEvent};

/// What a stream brings next.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// The next chunk, in sequence and of the right run.
    Chunk(Chunk),
    /// The end marker: the stream is complete.
    Done,
    /// The backend reports that the run failed.
    BackendError,
}

/// Reads one answer. Nothing is delivered that is not the next chunk of the expected run.
#[derive(Debug)]
pub struct ChunkReader<A> {
    answer: A,
    decoder: SseDecoder,
    run: String,
    next_sequence: u64,
}

impl<A: BackendAnswer> ChunkReader<A> {
    /// Expects the chunks of `run` from `next_sequence` on.
    #[must_use]
    pub fn new(answer: A, run: String, next_sequence: u64) -> Self {
        Self {
            answer,
            decoder: SseDecoder::default(),
            run,
            next_sequence,
        }
    }

    /// Sequence number of the next chunk.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Bytes that came after what was delivered.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.decoder.pending_bytes()
    }

    /// The next item. Dropping the future loses nothing.
    ///
    /// # Errors
    /// Fails with the result code of a stream that ended early or broke its sequence.
    pub async fn next(&mut self) -> Result<StreamItem, ResultCode> {
        loop {
            let event = self.decoder.next_event();
            let event = event.map_err(|_| ResultCode::StreamOutOfOrder)?;
            if let Some(event) = event {
                return self.accept(&event);
            }
            match self.answer.next_bytes().await {
                Ok(Some(bytes)) => self.decoder.push(&bytes),
                // `None`: the body is complete by its framing, but the end marker is missing.
                Ok(None) | Err(AnswerError::Malformed) => return Err(ResultCode::AnswerTruncated),
                Err(AnswerError::Disconnected) => return Err(ResultCode::BackendLost),
            }
        }
    }

    fn accept(&mut self, event: &SseEvent) -> Result<StreamItem, ResultCode> {
        if event.name == ERROR_EVENT {
            return Ok(StreamItem::BackendError);
        }
        if event.data == DONE_MARKER {
            return Ok(StreamItem::Done);
        }
        let chunk = Chunk::parse(&event.data).ok_or(ResultCode::StreamOutOfOrder)?;
        // A chunk of another run is another request's answer or a splice: never delivered.
        if chunk.run != self.run {
            return Err(ResultCode::AnswerMismatch);
        }
        // Neither a skip nor a repeat reaches the caller.
        if chunk.sequence != self.next_sequence {
            return Err(ResultCode::StreamOutOfOrder);
        }
        self.next_sequence += 1;
        Ok(StreamItem::Chunk(chunk))
    }
}
