//! One attempt at a request: acquires a connection, sends the request and reads the response headers.

use bytes::Bytes;
use http::header::{CONTENT_ENCODING, HOST};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use millford_core::MonotonicTime;
use millford_core::time::monotonic_now;
use millford_core::{Duration, ResultCode};
use millford_routing::{EjectionReason, InFlightGuard};

use crate::backend::Excess;
use crate::backend::connection::SendError;
use crate::backend::connection_pools::{AcquireError, PooledConnection};
use crate::backend::health_watch::ejection_reason;
use crate::header_values::number;
use crate::mechanism::Mechanism;
use crate::node::ForwardNode;
use crate::protocol::{Dispatch, ForwardProtocol, ResponseFacts};
use crate::request::choose::{Target, shareable_blocks};
use crate::request::headers::{remove_hop_by_hop, remove_length};
use crate::request::plan::Plan;

/// Urgency sent with every request while [`Mechanism::Urgency`] is disabled.
const DEFAULT_URGENCY: u32 = 5;

/// Most connections that one attempt tries in a row when the backend had already closed them before anything
/// was sent.
const MAX_STALE_CONNECTIONS: u32 = 3;

/// Statuses that guarantee to the caller that the request did not run. A backend's response with one of them counts
/// as [`ResultCode::BackendError`], which guarantees nothing, unless the backend declares that the request did not
/// run.
const NOT_RUN_STATUSES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// A response whose headers were received and whose body was not read yet, with the resources that it occupies.
#[derive(Debug)]
pub struct OpenResponse {
    /// The backend that sent the response.
    pub target: Target,
    /// Counts the request as in flight on the backend until it is dropped.
    pub in_flight: InFlightGuard,
    /// The connection that the body is read from.
    pub pooled: PooledConnection,
    /// Facts parsed from the response headers.
    pub facts: ResponseFacts,
    /// Headers and unread body.
    pub response: Response<Incoming>,
    /// When the request was sent.
    pub sent_at: MonotonicTime,
    /// Prompt tokens in flight on the backend when it was chosen, including this request's own.
    pub queued_tokens: u64,
    /// Streams in progress on the backend when it was chosen, without this one.
    pub streams: u32,
}

/// Why an attempt produced no response that may be forwarded to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing was sent to the backend.
    NotSent,
    /// The backend declared that it did not run the request and never will.
    NotRun {
        /// The backend's `Retry-After`; `None` without one.
        retry_after: Option<Duration>,
    },
    /// The request may have run. The code gives the reason for which there is no valid response.
    Lost(ResultCode),
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// Sends the request to `target` and reads the response headers. `resume_after` is the id of the last event that
/// was forwarded, if the backend is to resume a stream.
///
/// # Errors
/// See [`AttemptFailure`].
pub async fn attempt<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    target: Target,
    resume_after: Option<u64>,
) -> Result<OpenResponse, AttemptFailure> {
    let id = target.key.backend_id.clone();
    let tokens = target.uncached_tokens;
    let queued_tokens = target.estimates.queued_tokens.saturating_add(tokens);
    let streams = target.estimates.streams;
    let in_flight = node.state.load_table.start(target.key.clone(), tokens);
    let shareable = shareable_blocks(plan).len();
    let blocks = &plan.facts.prefix_blocks;
    node.prefix_index
        .record_dispatch(monotonic_now(), &id, blocks, shareable);
    let limit = node.connection_share(target.max_connections);
    for _ in 0..MAX_STALE_CONNECTIONS {
        let acquired = node.connections.acquire(&id, &target.address, limit).await;
        let mut pooled = acquired.map_err(|error| acquire_failed(node, &id, error))?;
        let sent_at = monotonic_now();
        let sent = send(node, plan, &id, &mut pooled, sent_at, resume_after);
        let Some(response) = sent.await? else {
            continue;
        };
        node.record_activity(&id, monotonic_now());
        let facts = node.protocol.read_response(response.headers());
        let opened = OpenResponse {
            target,
            in_flight,
            pooled,
            facts,
            response,
            sent_at,
            queued_tokens,
            streams,
        };
        return validate_response(node, plan, opened);
    }
    Err(AttemptFailure::NotSent)
}

/// Sends the request on one connection and reads the response headers. Returns `None` if the connection was
/// closed before anything was sent; the attempt may then use another connection.
async fn send<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    backend_id: &str,
    pooled: &mut PooledConnection,
    sent_at: MonotonicTime,
    resume_after: Option<u64>,
) -> Result<Option<Response<Incoming>>, AttemptFailure> {
    let time_left = plan.deadline.since(sent_at);
    if time_left.is_zero() {
        return Err(AttemptFailure::NotSent);
    }
    let request = request_for(node, plan, backend_id, time_left, resume_after)?;
    node.state.health.record_dispatch(backend_id, sent_at);
    let is_reused = pooled.is_reused();
    let Some(connection) = pooled.connection() else {
        return Err(AttemptFailure::NotSent);
    };
    let sent = tokio::select! {
        sent = connection.send(request) => sent,
        () = tokio::time::sleep(time_left) => return Err(AttemptFailure::TimedOut),
        () = node.until_ejected(backend_id), if plan.is_repeatable() => {
            return Err(AttemptFailure::Lost(ResultCode::BackendSilent));
        }
    };
    match sent {
        Ok(response) => Ok(Some(response)),
        Err(SendError::Unsent(_)) => Ok(None),
        Err(SendError::OverLimit) => {
            node.record_excess(backend_id, Excess::Head);
            Err(AttemptFailure::Lost(ResultCode::BackendOverLimit))
        }
        Err(SendError::Lost) => {
            // A reused connection may simply have reached the backend's keep-alive timeout, which does not
            // indicate a failure of the backend.
            if !is_reused {
                node.connections.close_idle(backend_id);
            }
            Err(AttemptFailure::Lost(ResultCode::BackendLost))
        }
    }
}

fn request_for<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    backend_id: &str,
    time_left: Duration,
    resume_after: Option<u64>,
) -> Result<Request<Full<Bytes>>, AttemptFailure> {
    let mut headers = plan.headers.clone();
    remove_length(&mut headers);
    let dispatch = Dispatch {
        backend_id,
        time_left,
        tenant: plan.tenant.as_ref().map(|tenant| tenant.name.as_str()),
        urgency: if node.mechanisms.has(Mechanism::Urgency) {
            plan.urgency()
        } else {
            DEFAULT_URGENCY
        },
        resume_after: resume_after.or(plan.facts.resume_after),
    };
    node.protocol.write_dispatch(&mut headers, &dispatch);
    let built = Request::builder()
        .method(plan.method.clone())
        .uri(plan.uri.clone())
        .body(Full::new(plan.body.bytes().clone()));
    let mut request = built.map_err(|_| AttemptFailure::NotSent)?;
    *request.headers_mut() = headers;
    debug_assert!(request.headers().contains_key(HOST));
    Ok(request)
}

/// Returns the response if it may be forwarded to the caller, without its hop-by-hop headers.
fn validate_response<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    mut opened: OpenResponse,
) -> Result<OpenResponse, AttemptFailure> {
    let status = opened.response.status();
    let headers = opened.response.headers();
    let facts = &opened.facts;
    // A backend that sends a surplus response on a connection causes it to be read as the response to the next
    // request. Nothing that it says applies to this request, which may have run.
    let is_foreign = facts.request_id.is_some() && facts.request_id != plan.facts.request_id;
    if is_foreign {
        return Err(AttemptFailure::Lost(ResultCode::AnswerMismatch));
    }
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected {
        // The address now belongs to another backend: the intended one no longer exists.
        let id = &opened.target.key.backend_id;
        node.eject(id, EjectionReason::ConnectFailed);
    }
    if facts.not_run || is_misdirected {
        let retry_after = if facts.not_run {
            retry_after(headers)
        } else {
            None
        };
        return Err(AttemptFailure::NotRun { retry_after });
    }
    let is_altered = !facts.signed || headers.contains_key(CONTENT_ENCODING);
    if status.is_success() && is_altered {
        return Err(AttemptFailure::Lost(ResultCode::AnswerMismatch));
    }
    let announced = opened.response.body().size_hint().lower();
    if !plan.route.stream && announced > node.bounds.max_answer_bytes {
        node.record_excess(&opened.target.key.backend_id, Excess::Answer);
        return Err(AttemptFailure::Lost(ResultCode::BackendOverLimit));
    }
    if NOT_RUN_STATUSES.contains(&status) {
        return Err(AttemptFailure::Lost(ResultCode::BackendError));
    }
    remove_hop_by_hop(opened.response.headers_mut());
    Ok(opened)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    number(headers, "retry-after").map(Duration::from_secs)
}

fn acquire_failed<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    backend_id: &str,
    error: AcquireError,
) -> AttemptFailure {
    if error != AcquireError::AtLimit {
        node.eject(backend_id, ejection_reason(error));
    }
    AttemptFailure::NotSent
}
