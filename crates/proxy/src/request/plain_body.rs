//! Reads a plain (not streamed) body from a backend.

use millford_bounded_io::{BoundedBuffer, HeldBytes};
use millford_core::ResultCode;

use crate::request::environment::BackendAnswer;
use crate::request::message::{AnswerError, Framing};

/// Reads the body to its end, into an empty buffer, and checks that it is complete.
///
/// # Errors
/// Fails with the result code of a body that is truncated, malformed or too large.
pub async fn read_complete<A: BackendAnswer>(
    answer: &mut A,
    mut body: BoundedBuffer,
) -> Result<HeldBytes, ResultCode> {
    let framing = answer.head().framing;
    loop {
        let read = tokio::select! {
            read = answer.next_bytes() => read,
            () = body.revoked() => Err(AnswerError::OverLimit),
        };
        match read {
            Ok(Some(bytes)) => {
                let kept = body.extend(&bytes);
                kept.map_err(|_| ResultCode::BackendOverLimit)?;
            }
            Ok(None) => break,
            Err(AnswerError::Disconnected) => return Err(ResultCode::AnswerTruncated),
            Err(AnswerError::Malformed) => return Err(ResultCode::BackendError),
            Err(AnswerError::OverLimit) => return Err(ResultCode::BackendOverLimit),
        }
    }
    let body = body.into_held();
    match framing {
        Framing::Length(length) if length != body.bytes().len() as u64 => {
            Err(ResultCode::AnswerTruncated)
        }
        // Without a length or a last chunk, a truncated body looks like a complete one.
        Framing::UntilClose => Err(ResultCode::AnswerTruncated),
        Framing::Length(_) | Framing::Chunked => Ok(body),
    }
}
