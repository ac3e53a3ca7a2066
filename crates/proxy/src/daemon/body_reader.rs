//! Reads the body of a caller's HTTP request within limits of size and time.

use std::sync::Arc;

use bytes::Buf;
use futures::{Stream, StreamExt};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use millford_bounded_io::{AdmittedBuffer, BufferError, HeldBytes, MemoryBudget, Reader};
use millford_core::{Duration, ResultCode};

use crate::request::refusal::Refusal;

/// Longest time for the complete body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the complete body. A body whose content length is above `max_bytes` is refused before it
/// is read.
///
/// # Errors
/// Refuses a body that is larger than `max_bytes`, one that does not arrive completely in time, and one that has to give
/// way because the memory for bodies is used up.
pub async fn read_body<B: Buf>(
    memory: &Arc<MemoryBudget>,
    headers: &HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>> + Unpin,
    max_bytes: u64,
) -> Result<HeldBytes, Refusal> {
    let announced = headers.get(CONTENT_LENGTH);
    let announced = announced.and_then(|value| value.to_str().ok());
    let announced: Option<u64> = announced.and_then(|text| text.parse().ok());
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(Refusal::not_run(ResultCode::BodyTooLarge));
    }
    let announced = announced.map(to_usize);
    let buffer = AdmittedBuffer::new(memory, Reader::CallerBody, to_usize(max_bytes), announced);
    match tokio::time::timeout(BODY_TIMEOUT, collect_body(buffer, body)).await {
        Ok(result) => result,
        Err(_) => Err(Refusal::not_run(ResultCode::BodyIncomplete)),
    }
}

async fn collect_body<B: Buf>(
    mut buffer: AdmittedBuffer,
    mut body: impl Stream<Item = Result<B, warp::Error>> + Unpin,
) -> Result<HeldBytes, Refusal> {
    loop {
        let part = tokio::select! {
            part = body.next() => part,
            () = buffer.revoked() => return Err(no_memory()),
        };
        let Some(part) = part else {
            return buffer.into_held().map_err(|_| no_memory());
        };
        let incomplete = |_| Refusal::not_run(ResultCode::BodyIncomplete);
        let mut part = part.map_err(incomplete)?;
        let bytes = part.copy_to_bytes(part.remaining());
        buffer.extend(&bytes).await.map_err(refusal_of)?;
    }
}

fn refusal_of(error: BufferError) -> Refusal {
    match error {
        BufferError::TooLarge => Refusal::not_run(ResultCode::BodyTooLarge),
        BufferError::Budget(_) => no_memory(),
    }
}

fn no_memory() -> Refusal {
    Refusal::not_run(ResultCode::Overloaded)
        .with_detail("Too many large request bodies arrive at once.")
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
