//! Reading and parsing of the bodies of operators' requests.

use std::pin::Pin;
use std::time::Duration;

use bytes::Buf;
use futures::{Stream, StreamExt};
use millford_bounded_io::{BoundedBuffer, BufferError, HeldBytes, Reader, Source};
use millford_control_state::document::Fault;
use millford_core::ResultCode;
use serde::de::DeserializeOwned;
use warp::http::HeaderMap;
use warp::http::header::CONTENT_TYPE;

use super::port::OperatorPort;
use crate::daemon::CONTROL;
use crate::operator::OperatorFailure;

/// Most bytes of a refused body that are read and dropped.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// Longest time for which a refused body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for the complete body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the complete body of a JSON request.
pub(super) async fn read<B: Buf>(
    port: &OperatorPort,
    headers: &HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<HeldBytes, OperatorFailure> {
    check_content_type(headers)?;
    read_operator_body(port, body).await
}

/// Reads the complete body of an operator's request.
///
/// # Errors
/// Fails when the body is too large, is truncated or takes too long, or has to give way to others because the memory for
/// bodies is used up.
pub async fn read_operator_body<B: Buf>(
    port: &OperatorPort,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<HeldBytes, OperatorFailure> {
    let max_bytes = port.max_body_bytes();
    let mut buffer = BoundedBuffer::new(
        port.memory(),
        Reader::OperatorBody,
        Source::Connection,
        max_bytes,
    );
    let mut body = std::pin::pin!(body);
    let reading = tokio::time::timeout(BODY_TIMEOUT, fill(&mut buffer, body.as_mut()));
    let complete = reading
        .await
        .unwrap_or_else(|_| Err(OperatorFailure::new(ResultCode::BodyIncomplete)));
    if let Err(failure) = complete {
        CONTROL.warn(format_args!(
            "An operator's request is refused: {}.",
            failure.code
        ));
        drop(buffer);
        discard(body).await;
        return Err(failure);
    }
    Ok(buffer.into_held())
}

async fn fill<B: Buf>(
    buffer: &mut BoundedBuffer,
    mut body: Pin<&mut impl Stream<Item = Result<B, warp::Error>>>,
) -> Result<(), OperatorFailure> {
    loop {
        let part = tokio::select! {
            part = body.next() => part,
            () = buffer.revoked() => return Err(OperatorFailure::new(ResultCode::Overloaded)),
        };
        let Some(part) = part else {
            return Ok(());
        };
        let mut part = part.map_err(|_| OperatorFailure::new(ResultCode::BodyIncomplete))?;
        while part.has_remaining() {
            let chunk = part.chunk();
            let length = chunk.len();
            buffer.extend(chunk).map_err(failure_of)?;
            part.advance(length);
        }
    }
}

/// Reads and drops some of the rest of a refused body. An operator that is still sending when the connection is closed may
/// see its reset instead of the refusal.
async fn discard<B: Buf>(mut body: Pin<&mut impl Stream<Item = Result<B, warp::Error>>>) {
    let reading = async {
        let mut left = MAX_DISCARDED_BYTES;
        while left > 0
            && let Some(Ok(part)) = body.next().await
        {
            left = left.saturating_sub(part.remaining());
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

fn failure_of(error: BufferError) -> OperatorFailure {
    OperatorFailure::new(match error {
        BufferError::TooLarge => ResultCode::BodyTooLarge,
        BufferError::Budget(_) => ResultCode::Overloaded,
    })
}

/// Parses a JSON body. A fault names the path of the field.
pub(super) fn parse<T: DeserializeOwned>(json: &[u8]) -> Result<T, OperatorFailure> {
    let reader = &mut serde_json::Deserializer::from_slice(json);
    let value = serde_path_to_error::deserialize(&mut *reader).map_err(|error| {
        let code = if error.inner().is_data() {
            ResultCode::BadField
        } else {
            ResultCode::BadJson
        };
        let path = error.path().to_string();
        one_fault(code, &path, &error.into_inner().to_string())
    })?;
    reader
        .end()
        .map_err(|error| one_fault(ResultCode::BadJson, "", &error.to_string()))?;
    Ok(value)
}

/// A failure with a single fault.
pub(super) fn one_fault(code: ResultCode, path: &str, text: &str) -> OperatorFailure {
    OperatorFailure::of_faults(vec![Fault {
        path: if path == "." {
            String::new()
        } else {
            path.to_owned()
        },
        code,
        text: text.to_owned(),
    }])
}

fn check_content_type(headers: &HeaderMap) -> Result<(), OperatorFailure> {
    let value = headers.get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok()).unwrap_or("");
    let kind = text.split(';').next().unwrap_or("").trim();
    if kind.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    Err(OperatorFailure::new(ResultCode::ContentTypeUnsupported))
}
