//! Buffers a caller's complete request body, so that retries can send it again.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use millford_bounded_io::{AdmittedBuffer, BufferError, HeldBytes, MemoryBudget, Reader};
use millford_core::time::monotonic_now;
use millford_core::{MonotonicTime, ResultCode};

use crate::node::DEFAULT_RETRY_AFTER;
use crate::request::refusal::Refusal;

/// Reads the complete body into memory.
///
/// # Errors
/// Refuses a body that is larger than `max_bytes`, that is truncated or not complete at `deadline`, or that has to give
/// way because the memory for peers is used up.
pub async fn read_body(
    memory: &Arc<MemoryBudget>,
    mut body: Incoming,
    max_bytes: u64,
    deadline: MonotonicTime,
) -> Result<HeldBytes, Refusal> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let announced = body.size_hint().exact();
    let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    let mut complete = AdmittedBuffer::new(memory, Reader::CallerBody, max_bytes, announced);
    let mut deadline = std::pin::pin!(tokio::time::sleep(deadline.since(monotonic_now())));
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = complete.revoked() => return Err(not_read()),
            () = &mut deadline => return Err(not_read()),
        };
        let Some(frame) = frame else {
            return complete.into_held().map_err(|_| not_read());
        };
        let frame = frame.map_err(|_| refused(ResultCode::BodyIncomplete))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        tokio::select! {
            extended = complete.extend(&data) => extended.map_err(refusal_of)?,
            () = &mut deadline => return Err(not_read()),
        }
    }
}

fn refusal_of(error: BufferError) -> Refusal {
    match error {
        BufferError::TooLarge => refused(ResultCode::BodyTooLarge),
        BufferError::Budget(_) => not_read(),
    }
}

/// Refuses a request whose body was not read in time, or could not be held. It has not run and may be sent again.
fn not_read() -> Refusal {
    refused(ResultCode::Overloaded).with_retry_after(DEFAULT_RETRY_AFTER)
}

/// The rest of the request is not read, so its connection is closed.
fn refused(code: ResultCode) -> Refusal {
    Refusal::new(code).closing()
}
