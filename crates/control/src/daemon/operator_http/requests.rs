//! Routes an operator's HTTP request and answers it.

use bytes::Buf;
use futures::Stream;
use millford_api::operator::{DrainBody, RecoveryBody};
use millford_control_state::document;
use millford_core::{NodeId, ResultCode};
use millford_settings::metrics;
use serde_json::Value;
use warp::http::{HeaderMap, Method};

use super::answer::{self, Answer};
use super::body;
use super::port::OperatorPort;
use crate::operator::{OperatorFailure, OperatorRequest};

/// Handles a request: checks the credential, parses the request, passes it to the gateway and
/// returns the response.
pub(super) async fn handle<B: Buf>(
    port: &OperatorPort,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Answer {
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    if let Some(page) = public_page(port, method, &segments) {
        return page;
    }
    if !port.credential().admits(headers) {
        return answer::of_failure(&OperatorFailure::new(ResultCode::OperatorKeyWrong));
    }
    match read_request(port, method, &segments, headers, body).await {
        Ok(request) => answer::of_reply(&port.request(request).await),
        Err(failure) => answer::of_failure(&failure),
    }
}

/// Answers the paths that need no credential: health, readiness and metrics.
fn public_page(port: &OperatorPort, method: &Method, segments: &[&str]) -> Option<Answer> {
    let page = match segments {
        ["healthz"] => answer::text("text/plain", "healthy\n".to_owned()),
        ["readyz"] => readiness(port),
        ["metrics"] => {
            let text = metrics::render(port.shared().registry());
            answer::text(metrics::CONTENT_TYPE, text)
        }
        _ => return None,
    };
    if method != Method::GET {
        let failure = OperatorFailure::new(ResultCode::MethodNotAllowed);
        return Some(answer::of_failure(&failure));
    }
    Some(page)
}

fn readiness(port: &OperatorPort) -> Answer {
    let shared = port.shared();
    if !shared.is_formed() {
        return answer::of_failure(&OperatorFailure::new(ResultCode::NotFormed));
    }
    if !shared.has_quorum() {
        return answer::of_failure(&OperatorFailure::new(ResultCode::NoLeader));
    }
    answer::text("text/plain", "ready\n".to_owned())
}

async fn read_request<B: Buf>(
    port: &OperatorPort,
    method: &Method,
    segments: &[&str],
    headers: &HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<OperatorRequest, OperatorFailure> {
    match (method, segments) {
        (&Method::GET, ["v1", "config"]) => Ok(OperatorRequest::GetConfig),
        (&Method::GET, ["v1", "status"]) => Ok(OperatorRequest::Status),
        (&Method::PUT, ["v1", "config"]) => {
            let json = body::read(port, headers, body).await?;
            let order = document::parse_order(json.bytes()).map_err(OperatorFailure::of_faults)?;
            Ok(OperatorRequest::PutConfig(order))
        }
        (&Method::POST, ["v1", "plan"]) => {
            read_plan(body::read(port, headers, body).await?.bytes())
        }
        (&Method::POST, ["v1", "services", pool, "backends", backend, "drain"]) => {
            let order: DrainBody = body::parse(body::read(port, headers, body).await?.bytes())?;
            Ok(OperatorRequest::Drain {
                pool: decode_segment(pool)?,
                backend_id: decode_segment(backend)?,
                drain: order.drain,
            })
        }
        (&Method::POST, ["v1", "recovery"]) => {
            read_recovery(body::read(port, headers, body).await?.bytes())
        }
        (
            _,
            ["v1", "config" | "status" | "plan" | "recovery"]
            | ["v1", "services", _, "backends", _, "drain"],
        ) => Err(OperatorFailure::new(ResultCode::MethodNotAllowed)),
        _ => Err(OperatorFailure::new(ResultCode::PathUnknown)),
    }
}

fn read_plan(json: &[u8]) -> Result<OperatorRequest, OperatorFailure> {
    let mut body: serde_json::Map<String, Value> = body::parse(json)?;
    let Some(desired) = body.remove("document") else {
        let text = "the document is missing";
        return Err(body::one_fault(ResultCode::BadField, "document", text));
    };
    if let Some(unknown) = body.keys().next() {
        let text = "unknown field";
        return Err(body::one_fault(ResultCode::BadField, unknown, text));
    }
    let json = desired.to_string();
    let desired = document::parse(json.as_bytes()).map_err(prefix_fault_paths)?;
    let faults = document::check(&desired);
    if !faults.is_empty() {
        return Err(prefix_fault_paths(faults));
    }
    Ok(OperatorRequest::Plan(desired))
}

fn prefix_fault_paths(mut faults: Vec<document::Fault>) -> OperatorFailure {
    for fault in &mut faults {
        fault.path = format!("document.{}", fault.path);
    }
    OperatorFailure::of_faults(faults)
}

fn read_recovery(json: &[u8]) -> Result<OperatorRequest, OperatorFailure> {
    let order: RecoveryBody = body::parse(json)?;
    if order.confirm != RecoveryBody::CONFIRMATION {
        let text = format!("must be: {}", RecoveryBody::CONFIRMATION);
        return Err(body::one_fault(ResultCode::BadField, "confirm", &text));
    }
    let mut survivors = Vec::new();
    for (index, name) in order.survivors.iter().enumerate() {
        let Ok(number) = u64::from_str_radix(name, 16) else {
            let path = format!("survivors[{index}]");
            let text = "must be a node identity in hexadecimal";
            return Err(body::one_fault(ResultCode::BadField, &path, text));
        };
        survivors.push(NodeId(number));
    }
    Ok(OperatorRequest::Recover { survivors })
}

/// Decodes the percent escapes of a path segment.
fn decode_segment(segment: &str) -> Result<String, OperatorFailure> {
    let decoded = percent_encoding::percent_decode_str(segment).decode_utf8();
    let text = decoded.map_err(|_| OperatorFailure::new(ResultCode::PathUnknown))?;
    Ok(text.into_owned())
}
