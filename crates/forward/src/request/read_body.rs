//! Buffers a caller's complete request body, so that retries can send it again.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use millford_core::ResultCode;

use crate::request::refusal::Refusal;

/// Reads the complete body into memory.
///
/// # Errors
/// Refuses a body that is larger than `max_bytes`, or that is truncated.
pub async fn read_body(mut body: Incoming, max_bytes: u64) -> Result<Bytes, Refusal> {
    let too_large = Refusal::new(ResultCode::BodyTooLarge).closing();
    let broken = Refusal::new(ResultCode::BodyIncomplete).closing();
    let mut complete = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (complete.len() + data.len()) as u64 > max_bytes {
            return Err(too_large);
        }
        complete.extend_from_slice(&data);
    }
    Ok(complete.freeze())
}
