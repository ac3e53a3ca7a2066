//! [`ForwardProtocol`] with Millford's own headers.

use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};
use millford_core::Duration;

use crate::header_values::{keep_alive, number, parse_prefix_blocks, set, text, token_pair};
use crate::protocol::{Dispatch, ForwardProtocol, RequestFacts, ResponseFacts};

/// Id of a request, in requests and responses.
pub const REQUEST_ID: &str = "x-millford-request-id";
/// Time that the sender waits for the complete response, in milliseconds.
pub const DEADLINE: &str = "x-millford-deadline-ms";
/// Requested model.
pub const MODEL: &str = "x-millford-model";
/// Tokens of the prompt and largest number of tokens of the response, as `PROMPT,OUTPUT`.
pub const TOKENS: &str = "x-millford-tokens";
/// Prefix blocks of the prompt, in order, as comma-separated `ID:TOKENS` with the id in hexadecimal.
pub const PREFIX_BLOCKS: &str = "x-millford-prompt-parts";
/// Id of the intended backend, in requests to backends.
pub const BACKEND: &str = "x-millford-backend";
/// Name of the caller's tenant, in requests to backends.
pub const TENANT: &str = "x-millford-tenant";
/// Urgency of the request from 0 (highest) to 9, in requests to backends.
pub const URGENCY: &str = "x-millford-urgency";
/// In responses of backends: `not_run` if the backend did not run the request and never will.
pub const RUN_STATE: &str = "x-millford-run-state";
/// Signature of the backend, in its responses.
pub const SIGNATURE: &str = "x-millford-signature";
/// Id of the event after which a stream is resumed, in requests.
pub const LAST_EVENT: &str = "last-event-id";

const NOT_RUN: &str = "not_run";
const BEARER: &str = "Bearer ";
const READINESS_PATH: &str = "/readyz";

/// Reads and writes the headers whose names this module defines.
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
            prefix_blocks: parse_prefix_blocks(text(headers, PREFIX_BLOCKS)),
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

    fn read_response(&self, headers: &HeaderMap) -> ResponseFacts {
        ResponseFacts {
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
