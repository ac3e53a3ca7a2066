//! Reads the body of a caller's HTTP request within limits of size and time.

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use millford_core::{Duration, ResultCode};

use crate::request::refusal::Refusal;

/// Longest time for the complete body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the complete body. A body whose content length is above `max_bytes` is refused before it
/// is read.
///
/// # Errors
/// Refuses a body that is larger than `max_bytes`, and one that does not arrive completely in time.
pub async fn read_body<B: Buf>(
    headers: &HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>> + Unpin,
    max_bytes: u64,
) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::not_run(ResultCode::BodyTooLarge);
    let announced = headers.get(CONTENT_LENGTH);
    let announced = announced.and_then(|value| value.to_str().ok());
    let announced: Option<u64> = announced.and_then(|text| text.parse().ok());
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(too_large());
    }
    let reading = collect_body(body, max_bytes);
    let incomplete = || Refusal::not_run(ResultCode::BodyIncomplete);
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyReadError::TooLarge)) => Err(too_large()),
        Ok(Err(BodyReadError::Incomplete)) | Err(_) => Err(incomplete()),
    }
}

enum BodyReadError {
    TooLarge,
    Incomplete,
}

async fn collect_body<B: Buf>(
    mut body: impl Stream<Item = Result<B, warp::Error>> + Unpin,
    max_bytes: u64,
) -> Result<Bytes, BodyReadError> {
    let mut collected = BytesMut::new();
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|_| BodyReadError::Incomplete)?;
        if (collected.len() + part.remaining()) as u64 > max_bytes {
            return Err(BodyReadError::TooLarge);
        }
        collected.extend_from_slice(&part.copy_to_bytes(part.remaining()));
    }
    Ok(collected.freeze())
}
