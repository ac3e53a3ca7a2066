//! Buffers a caller's complete request body, so that retries can send it again.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use millford_bounded_io::{BoundedBuffer, HeldBytes, MemoryBudget, Reader};
use millford_core::ResultCode;

use crate::request::refusal::Refusal;

/// Reads the complete body into memory.
///
/// # Errors
/// Refuses a body that is larger than `max_bytes`, or that is truncated.
pub async fn read_body(
    memory: &Arc<MemoryBudget>,
    mut body: Incoming,
    max_bytes: u64,
) -> Result<HeldBytes, Refusal> {
    let too_large = Refusal::new(ResultCode::BodyTooLarge).closing();
    let broken = Refusal::new(ResultCode::BodyIncomplete).closing();
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let mut complete = BoundedBuffer::new(memory, Reader::CallerBody, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        complete.extend(&data).map_err(|_| too_large)?;
    }
    Ok(complete.into_held())
}
