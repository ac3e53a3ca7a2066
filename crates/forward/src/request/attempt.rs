//! One attempt at a request: from the connection to the head of the answer.

use bytes::Bytes;
use http::header::{CONTENT_ENCODING, HOST};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use millford_core::MonotonicTime;
use millford_core::time::monotonic_now;
use millford_core::{Duration, ResultCode};
use millford_routing::{EjectionReason, InFlightGuard};

use crate::backend::connection::SendError;
use crate::backend::connection_pools::{AcquireError, Lease};
use crate::backend::health_watch::ejection_reason;
use crate::mechanism::Mechanism;
use crate::node::ForwardNode;
use crate::own_protocol::number;
use crate::protocol::{AnswerFacts, Dispatch, ForwardProtocol};
use crate::request::choose::{Target, shared_parts};
use crate::request::headers::{remove_hop_by_hop, remove_length};
use crate::request::plan::Plan;

/// Rank of all requests where none is more urgent than another.
const EQUAL_URGENCY: u32 = 5;

/// Connections that had ended before anything left that one attempt may meet.
const MOST_STALE_CONNECTIONS: u32 = 3;

/// An answer whose head has arrived, with all that it holds.
#[derive(Debug)]
pub struct Opened {
    /// Where it comes from.
    pub target: Target,
    /// Counts the request.
    pub ticket: InFlightGuard,
    /// The connection.
    pub lease: Lease,
    /// What the headers say.
    pub facts: AnswerFacts,
    /// Head and body.
    pub response: Response<Incoming>,
    /// When the request was sent.
    pub sent: MonotonicTime,
    /// Prompt tokens under way on the backend at that time, its own included.
    pub queued_tokens: u64,
    /// Streams on the backend at that time.
    pub streams: u32,
}

/// An attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing left for the backend.
    NotSent,
    /// The backend said that it did not run the request and never will.
    NotRun {
        /// When it wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    Lost(ResultCode),
    /// The time is over; the request may have run.
    TimedOut,
}

/// Sends the request to the target and reads the head of the answer.
///
/// # Errors
/// See [`AttemptFailure`].
pub async fn attempt<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    target: Target,
    resume_after: Option<u64>,
) -> Result<Opened, AttemptFailure> {
    let id = target.key.backend_id.clone();
    let tokens = target.uncached_tokens;
    let queued_tokens = target.belief.queued_tokens.saturating_add(tokens);
    let streams = target.belief.streams;
    let ticket = node.state.board.start(target.key.clone(), tokens);
    node.directory.sent(
        monotonic_now(),
        &id,
        &plan.facts.parts,
        shared_parts(plan).len(),
    );
    let most = node.connection_share(target.max_connections);
    for _ in 0..MOST_STALE_CONNECTIONS {
        let acquired = node.connections.acquire(&id, &target.address, most).await;
        let mut lease = acquired.map_err(|error| unreachable_backend(node, &id, error))?;
        let now = monotonic_now();
        let time_left = plan.deadline.since(now);
        if time_left.is_zero() {
            return Err(AttemptFailure::NotSent);
        }
        let request = request_for(node, plan, &id, time_left, resume_after)?;
        node.state.health.used(&id, now);
        let Some(connection) = lease.connection() else {
            return Err(AttemptFailure::NotSent);
        };
        let sending = connection.send(request);
        let sent = tokio::select! {
            sent = sending => sent,
            () = tokio::time::sleep(time_left) => return Err(AttemptFailure::TimedOut),
            () = node.until_ejected(&id), if plan.is_repeatable() => {
                return Err(AttemptFailure::Lost(ResultCode::BackendSilent));
            }
        };
        let response = match sent {
            Ok(response) => response,
            // The backend had closed the kept connection: a fresh one may do.
            Err(SendError::Unsent(_)) => continue,
            Err(SendError::Lost) => return Err(lost(node, &id, lease.is_reused())),
        };
        node.heard(&id, monotonic_now());
        let facts = node.protocol.read_answer(response.headers());
        let opened = Opened {
            target,
            ticket,
            lease,
            facts,
            response,
            sent: now,
            queued_tokens,
            streams,
        };
        return judge(node, plan, opened);
    }
    Err(AttemptFailure::NotSent)
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
        urgency: match node.mechanisms.has(Mechanism::Urgency) {
            true => plan.urgency(),
            false => EQUAL_URGENCY,
        },
        resume_after: resume_after.or(plan.facts.resume_after),
    };
    node.protocol.write_dispatch(&mut headers, &dispatch);
    let built = Request::builder()
        .method(plan.method.clone())
        .uri(plan.uri.clone())
        .body(Full::new(plan.body.clone()));
    let mut request = built.map_err(|_| AttemptFailure::NotSent)?;
    *request.headers_mut() = headers;
    debug_assert!(request.headers().contains_key(HOST));
    Ok(request)
}

/// Tells an answer that may go to the caller from everything else.
fn judge<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    mut opened: Opened,
) -> Result<Opened, AttemptFailure> {
    let status = opened.response.status();
    let facts = &opened.facts;
    if facts.not_run {
        let retry_after = retry_after(opened.response.headers());
        if status == StatusCode::MISDIRECTED_REQUEST {
            // Another backend has the address: the one that was meant is gone.
            let id = &opened.target.key.backend_id;
            node.eject(id, EjectionReason::ConnectFailed);
        }
        return Err(AttemptFailure::NotRun { retry_after });
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        let id = &opened.target.key.backend_id;
        node.eject(id, EjectionReason::ConnectFailed);
        return Err(AttemptFailure::NotRun { retry_after: None });
    }
    // A surplus answer may arrive in the place where the next one is due.
    if facts.request_id.is_some() && facts.request_id != plan.facts.request_id {
        return Err(AttemptFailure::Lost(ResultCode::AnswerMismatch));
    }
    let foreign = opened.response.headers().contains_key(CONTENT_ENCODING);
    if status.is_success() && (!facts.signed || foreign) {
        return Err(AttemptFailure::Lost(ResultCode::AnswerMismatch));
    }
    // Without the backend's word these statuses would promise what nobody knows.
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if promises.contains(&status) {
        return Err(AttemptFailure::Lost(ResultCode::BackendError));
    }
    remove_hop_by_hop(opened.response.headers_mut());
    Ok(opened)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    number(headers, "retry-after").map(Duration::from_secs)
}

fn unreachable_backend<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    id: &str,
    error: AcquireError,
) -> AttemptFailure {
    if error != AcquireError::NoRoom {
        node.eject(id, ejection_reason(error));
    }
    AttemptFailure::NotSent
}

/// The connection broke with the request on it. On a kept connection this may have been its
/// ordinary end, which says nothing about the backend.
fn lost<P: ForwardProtocol>(node: &ForwardNode<P>, id: &str, reused: bool) -> AttemptFailure {
    if !reused {
        node.connections.forget_idle(id);
    }
    AttemptFailure::Lost(ResultCode::BackendLost)
}
