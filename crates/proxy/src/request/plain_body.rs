//! Reads a plain (not streamed) body from a backend.

use bytes::{Bytes, BytesMut};
use millford_core::ResultCode;

use crate::request::environment::BackendAnswer;
use crate::request::message::{AnswerError, Framing};

/// Reads the body to its end and checks that it is complete.
///
/// # Errors
/// Fails with the result code of a body that is truncated, malformed or too large.
pub async fn read_complete<A: BackendAnswer>(
    answer: &mut A,
    max_bytes: usize,
) -> Result<Bytes, ResultCode> {
    let framing = answer.head().framing;
    let mut body = BytesMut::new();
    loop {
        match answer.next_bytes().await {
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            Ok(None) => break,
            Err(AnswerError::Disconnected) => return Err(ResultCode::AnswerTruncated),
            Err(AnswerError::Malformed) => return Err(ResultCode::BackendError),
        }
        if body.len() > max_bytes {
            return Err(ResultCode::BackendError);
        }
    }
    match framing {
        Framing::Length(length) if length != body.len() as u64 => Err(ResultCode::AnswerTruncated),
        // Without a length or a last chunk, a truncated body looks like a complete one.
        Framing::UntilClose => Err(ResultCode::AnswerTruncated),
        Framing::Length(_) | Framing::Chunked => Ok(body.freeze()),
    }
}
