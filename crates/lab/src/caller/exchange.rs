//! Sends one request to a proxy and records the outcome.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use millford_core::RunState;
use serde_json::Value;

use super::http_client::{HttpFailure, send};
use super::outcome::{Ending, ReceivedChunk, RequestOutcome};
use super::request::{CompletionRequest, LookupRequest};
use super::sse::{SseEvent, SseReader};
use crate::emulator::lookup::LOOKUP_MODEL;
use crate::protocol::{DEADLINE_HEADER, REVISION_HEADER, SESSION_HEADER, machine_micros};

/// Data of the event that marks the end of a stream.
const DONE: &str = "[DONE]";

/// Sends a completion request to a proxy and reads the response to its end.
pub async fn complete(
    proxy: usize,
    address: SocketAddr,
    request: &CompletionRequest,
    repeatable: bool,
) -> RequestOutcome {
    let mut outcome = new_outcome(proxy, &request.marker, &request.tenant, &request.model);
    outcome.repeatable = repeatable;
    outcome.requested_chunks = request.chunks;
    outcome.streamed = request.stream;
    match completion_http_request(request) {
        Ok(http_request) => run(address, http_request, &mut outcome).await,
        Err(_) => outcome.ending = Ending::NotConnected,
    }
    outcome.ended_micros = machine_micros();
    outcome
}

/// Sends a lookup to a proxy and reads the response to its end.
pub async fn look_up(proxy: usize, address: SocketAddr, request: &LookupRequest) -> RequestOutcome {
    let mut outcome = new_outcome(proxy, &request.marker, &request.tenant, LOOKUP_MODEL);
    let http_request = Request::builder()
        .uri(request.path_with_marker())
        .header(header::HOST, "millford")
        .header(header::AUTHORIZATION, format!("Bearer {}", request.key))
        .body(Full::default());
    match http_request {
        Ok(http_request) => run(address, http_request, &mut outcome).await,
        Err(_) => outcome.ending = Ending::NotConnected,
    }
    outcome.ended_micros = machine_micros();
    outcome
}

fn new_outcome(proxy: usize, marker: &str, tenant: &str, model: &str) -> RequestOutcome {
    RequestOutcome {
        marker: marker.to_owned(),
        model: model.to_owned(),
        tenant: tenant.to_owned(),
        repeatable: true,
        proxy,
        requested_chunks: 0,
        streamed: false,
        started_micros: machine_micros(),
        ended_micros: 0,
        status: None,
        revision: None,
        chunks: Vec::new(),
        ending: Ending::Broken,
    }
}

fn completion_http_request(
    request: &CompletionRequest,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut builder = Request::post("/v1/chat/completions")
        .header(header::HOST, "millford")
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", request.key));
    if let Some(session) = &request.session {
        builder = builder.header(SESSION_HEADER, session);
    }
    if let Some(key) = &request.idempotency_key {
        builder = builder.header("idempotency-key", key);
    }
    if let Some(deadline_ms) = request.deadline_ms {
        builder = builder.header(DEADLINE_HEADER, deadline_ms);
    }
    builder.body(Full::new(Bytes::from(request.body().to_string())))
}

async fn run(address: SocketAddr, request: Request<Full<Bytes>>, outcome: &mut RequestOutcome) {
    let response = match send(address, request).await {
        Ok(response) => response,
        Err(HttpFailure::Connect(_)) => {
            outcome.ending = Ending::NotConnected;
            return;
        }
        Err(_) => return,
    };
    outcome.status = Some(response.status().as_u16());
    outcome.revision = number_header(response.headers(), REVISION_HEADER);
    let success = response.status().is_success();
    let body = response.into_body();
    if success && outcome.streamed {
        read_stream(body, outcome).await;
    } else {
        read_plain(body, success, outcome).await;
    }
}

fn number_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn read_stream(mut body: Incoming, outcome: &mut RequestOutcome) {
    let mut reader = SseReader::default();
    outcome.ending = Ending::FalseEnd;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            if outcome.ending == Ending::FalseEnd {
                outcome.ending = Ending::Broken;
            }
            return;
        };
        let bytes = frame.into_data().unwrap_or_default();
        for event in reader.push(&bytes) {
            record_event(&event, outcome);
        }
    }
}

fn record_event(event: &SseEvent, outcome: &mut RequestOutcome) {
    if event.data == DONE {
        outcome.ending = Ending::Success;
        return;
    }
    let value: Value = serde_json::from_str(&event.data).unwrap_or(Value::Null);
    if event.event.as_deref() == Some("error") {
        outcome.ending = failure(&value);
        return;
    }
    let text = value["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or_default();
    outcome.chunks.push(ReceivedChunk {
        sequence: event.id.as_deref().and_then(|id| id.parse().ok()),
        text: text.to_owned(),
        at_micros: machine_micros(),
    });
}

async fn read_plain(body: Incoming, success: bool, outcome: &mut RequestOutcome) {
    let Ok(collected) = body.collect().await else {
        outcome.ending = Ending::Broken;
        return;
    };
    let bytes = collected.to_bytes();
    let Ok(value) = serde_json::from_slice::<Value>(&bytes) else {
        outcome.ending = if success {
            Ending::FalseEnd
        } else {
            failure(&Value::Null)
        };
        return;
    };
    if !success {
        outcome.ending = failure(&value);
        return;
    }
    let completion = value["choices"][0]["message"]["content"].as_str();
    let text = completion.map_or_else(|| value.to_string(), str::to_owned);
    let at_micros = machine_micros();
    outcome.chunks.push(ReceivedChunk {
        sequence: Some(0),
        text,
        at_micros,
    });
    outcome.ending = Ending::Success;
}

fn failure(value: &Value) -> Ending {
    let error = &value["error"];
    let run: Option<RunState> = serde_json::from_value(error["run"].clone()).ok();
    Ending::Failure {
        code: error["code"]
            .as_u64()
            .and_then(|code| u32::try_from(code).ok())
            .unwrap_or(0),
        run,
        retry_after_ms: error["retry_after_ms"].as_u64(),
    }
}
