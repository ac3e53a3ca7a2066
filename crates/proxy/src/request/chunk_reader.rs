//! Reads a stream from a backend and validates each chunk.

use millford_core::ResultCode;

use crate::backend_protocol::{DONE_MARKER, ERROR_EVENT};
use crate::request::chunk::Chunk;
use crate::request::environment::BackendAnswer;
use crate::request::message::AnswerError;
use crate::request::sse::{SseDecoder, SseError, SseEvent};

/// Next item of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// The next chunk of the expected run, in sequence.
    Chunk(Chunk),
    /// The end marker of a complete stream.
    Done,
    /// The event by which the backend reports that the run failed.
    BackendError,
}

/// Reads a streamed answer and returns only chunks of the expected run, in sequence.
#[derive(Debug)]
pub struct ChunkReader<A> {
    answer: A,
    decoder: SseDecoder,
    run: String,
    next_sequence: u64,
}

impl<A: BackendAnswer> ChunkReader<A> {
    /// Creates a reader that expects the chunks of `run` from number `next_sequence` on, in events of the decoder.
    #[must_use]
    pub fn new(answer: A, decoder: SseDecoder, run: String, next_sequence: u64) -> Self {
        Self {
            answer,
            decoder,
            run,
            next_sequence,
        }
    }

    /// Returns the sequence number that the next chunk must have.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns how many received bytes are not part of a returned item.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.decoder.pending_bytes()
    }

    /// Reads the next item. Cancel safe: dropping the future loses no bytes.
    ///
    /// # Errors
    /// Fails with the result code of the fault when the stream ends early, or when a chunk is
    /// malformed, of another run or out of sequence.
    pub async fn next(&mut self) -> Result<StreamItem, ResultCode> {
        loop {
            let event = self.decoder.next_event();
            let event = event.map_err(|error| match error {
                SseError::NotUtf8(_) => ResultCode::StreamOutOfOrder,
                SseError::OverLimit(_) => ResultCode::BackendOverLimit,
            })?;
            if let Some(event) = event {
                return self.accept(&event);
            }
            let read = tokio::select! {
                read = self.answer.next_bytes() => read,
                () = self.decoder.revoked() => Err(AnswerError::OverLimit),
            };
            match read {
                Ok(Some(bytes)) => self.decoder.push(&bytes),
                // `None`: the body is complete by its framing, but the end marker is missing.
                Ok(None) | Err(AnswerError::Malformed) => return Err(ResultCode::AnswerTruncated),
                Err(AnswerError::Disconnected) => return Err(ResultCode::BackendLost),
                Err(AnswerError::OverLimit) => return Err(ResultCode::BackendOverLimit),
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
        // A chunk of another run belongs to another request's answer and must not be relayed.
        if chunk.run != self.run {
            return Err(ResultCode::AnswerMismatch);
        }
        // A skipped or repeated chunk must not be relayed to the caller.
        if chunk.sequence != self.next_sequence {
            return Err(ResultCode::StreamOutOfOrder);
        }
        self.next_sequence += 1;
        Ok(StreamItem::Chunk(chunk))
    }
}
