//! The product's own headers.

use http::header::{AUTHORIZATION, HeaderName};
use http::{HeaderMap, HeaderValue};
use millford_core::Duration;
use millford_routing::PrefixBlock;

use crate::protocol::{AnswerFacts, Dispatch, ForwardProtocol, RequestFacts};

/// Identity of a request, on requests and answers.
pub const REQUEST_ID: &str = "x-millford-request-id";
/// Time that the sender waits, in milliseconds.
pub const DEADLINE: &str = "x-millford-deadline-ms";
/// Model that is asked for.
pub const MODEL: &str = "x-millford-model";
/// Tokens of the prompt and most tokens of the answer, as `PROMPT,OUTPUT`.
pub const TOKENS: &str = "x-millford-tokens";
/// Parts of the prompt in order, as `ID:TOKENS` by commas with the id in hexadecimal.
pub const PROMPT_PARTS: &str = "x-millford-prompt-parts";
/// The backend that is meant.
pub const BACKEND: &str = "x-millford-backend";
/// Name of the caller's tenant, towards backends.
pub const TENANT: &str = "x-millford-tenant";
/// Rank of the request, towards backends.
pub const URGENCY: &str = "x-millford-urgency";
/// On an answer: `not_run` when the backend did not run the request and never will.
pub const RUN_STATE: &str = "x-millford-run-state";
/// Signature of a backend's answer.
pub const SIGNATURE: &str = "x-millford-signature";
/// The event after which a stream goes on.
pub const LAST_EVENT: &str = "last-event-id";

const NOT_RUN: &str = "not_run";
const BEARER: &str = "Bearer ";
const READINESS_PATH: &str = "/readyz";

/// The headers named in this module.
#[derive(Clone, Copy, Debug, Default)]
pub struct MillfordProtocol;

impl ForwardProtocol for MillfordProtocol {
    fn read_request(&self, headers: &HeaderMap) -> RequestFacts {
        let (prompt_tokens, output_tokens) = token_pair(text(headers, TOKENS));
        let key =
            text(headers, AUTHORIZATION.as_str()).and_then(|value| value.strip_prefix(BEARER));
        RequestFacts {
            request_id: text(headers, REQUEST_ID).map(str::to_owned),
            tenant_key: key.map(str::to_owned),
            time_budget: number(headers, DEADLINE).map(Duration::from_millis),
            model: text(headers, MODEL).unwrap_or_default().to_owned(),
            prompt_tokens,
            output_tokens,
            parts: prefix_blocks(text(headers, PROMPT_PARTS)),
            resume_after: number(headers, LAST_EVENT),
        }
    }

    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>) {
        headers.remove(AUTHORIZATION);
        headers.remove(TENANT);
        let millis = u64::try_from(dispatch.time_left.as_millis()).unwrap_or(u64::MAX);
        set(headers, DEADLINE, &millis.to_string());
        set(headers, BACKEND, dispatch.backend_id);
        set(headers, URGENCY, &dispatch.urgency.to_string());
        if let Some(tenant) = dispatch.tenant {
            set(headers, TENANT, tenant);
        }
        if let Some(event) = dispatch.resume_after {
            set(headers, LAST_EVENT, &event.to_string());
        }
    }

    fn read_answer(&self, headers: &HeaderMap) -> AnswerFacts {
        AnswerFacts {
            request_id: text(headers, REQUEST_ID).map(str::to_owned),
            not_run: text(headers, RUN_STATE) == Some(NOT_RUN),
            signed: headers.contains_key(SIGNATURE),
            keep_alive: keep_alive(headers),
            model_version: None,
        }
    }

    fn retry_after(&self, delay: Duration) -> HeaderValue {
        let seconds = delay.as_millis().div_ceil(1000).max(1);
        HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX))
    }

    fn readiness_path(&self) -> &str {
        READINESS_PATH
    }
}

/// A header's value as text, without surrounding blanks.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::trim)
}

/// A header's value as a whole number.
#[must_use]
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Sets a header; a value that no header can carry is left out.
pub fn set(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::try_from(name);
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}

/// Two numbers by a comma.
#[must_use]
pub fn token_pair(value: Option<&str>) -> (Option<u64>, Option<u64>) {
    let Some((prompt, output)) = value.and_then(|value| value.split_once(',')) else {
        return (None, None);
    };
    (prompt.trim().parse().ok(), output.trim().parse().ok())
}

/// Parts as `ID:TOKENS` by commas, the id in hexadecimal. A list with a fault counts as absent.
#[must_use]
pub fn prefix_blocks(value: Option<&str>) -> Vec<PrefixBlock> {
    let Some(value) = value else {
        return Vec::new();
    };
    let parts: Option<Vec<PrefixBlock>> = value.split(',').map(prompt_part).collect();
    parts.unwrap_or_default()
}

fn prompt_part(text: &str) -> Option<PrefixBlock> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PrefixBlock {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// The time in a `Keep-Alive` header, in whole seconds.
#[must_use]
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = text(headers, "keep-alive")?;
    let mut fields = value.split(',').map(str::trim);
    let seconds = fields.find_map(|field| field.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
