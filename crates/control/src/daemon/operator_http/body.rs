//! Reading and parsing of the bodies of operators' requests.

use bytes::Buf;
use futures::{Stream, StreamExt};
use millford_control_state::document::Fault;
use millford_core::ResultCode;
use serde::de::DeserializeOwned;
use warp::http::HeaderMap;
use warp::http::header::CONTENT_TYPE;

use crate::operator::OperatorFailure;

/// Largest body, in bytes. A configuration document with all lists at their limits fits.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Reads the complete body of a JSON request.
pub(super) async fn read<B: Buf>(
    headers: &HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Vec<u8>, OperatorFailure> {
    check_content_type(headers)?;
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|_| OperatorFailure::new(ResultCode::BodyIncomplete))?;
        if bytes.len() + part.remaining() > MAX_BODY_BYTES {
            return Err(OperatorFailure::new(ResultCode::BodyTooLarge));
        }
        while part.has_remaining() {
            let chunk = part.chunk();
            bytes.extend_from_slice(chunk);
            let length = chunk.len();
            part.advance(length);
        }
    }
    Ok(bytes)
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
