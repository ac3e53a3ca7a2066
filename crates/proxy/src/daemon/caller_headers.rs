//! Reads the headers of a caller's HTTP request.

use http::HeaderMap;
use millford_core::ResultCode;

use crate::request::caller::CallerHeaders;
use crate::request::refusal::Refusal;

/// Reads the headers that the request path uses. Each may occur at most once, as text.
///
/// # Errors
/// Refuses headers whose names and values have more than `max_bytes` in total, and a header that is
/// not text or occurs more than once.
pub fn read_headers(headers: &HeaderMap, max_bytes: u64) -> Result<CallerHeaders, Refusal> {
    check_size(headers, max_bytes)?;
    Ok(CallerHeaders {
        authorization: single(headers, "authorization")?,
        content_type: single(headers, "content-type")?,
        idempotency_key: single(headers, "idempotency-key")?,
        session: single(headers, "x-millford-session")?,
        deadline_ms: single(headers, "x-millford-deadline-ms")?,
        stage: single(headers, "x-millford-stage")?,
        adapter: single(headers, "x-millford-adapter")?,
    })
}

fn check_size(headers: &HeaderMap, max_bytes: u64) -> Result<(), Refusal> {
    let size = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() as u64 + value.len() as u64
    };
    let total: u64 = headers.iter().map(size).sum();
    if total > max_bytes {
        return Err(Refusal::not_run(ResultCode::HeadersTooLarge));
    }
    Ok(())
}

fn single(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    let bad_header = |problem: &str| {
        let detail = format!("{name} {problem}.");
        Refusal::not_run(ResultCode::BadHeader).with_detail(detail)
    };
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_header("is there more than once"));
    }
    let text = value.to_str().map_err(|_| bad_header("is not text"))?;
    Ok(Some(text.to_owned()))
}
