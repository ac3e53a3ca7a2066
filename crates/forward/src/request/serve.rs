//! Serves one forwarded request, from the caller's headers to the response.

use std::sync::Arc;

use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue, Request, Response};
use hyper::body::Incoming;
use millford_api::config::{ForwardRoute, HttpLimits, Tenant};
use millford_core::time::monotonic_now;
use millford_core::{Duration, ResultCode};
use millford_decisions::Ending;
use rand::Rng;

use crate::node::{DEFAULT_RETRY_AFTER, ForwardNode};
use crate::protocol::ForwardProtocol;
use crate::quota::QuotaOwners;
use crate::request::authorize::authorize;
use crate::request::first_response::{AttemptHistory, first_response};
use crate::request::headers::{remove_hop_by_hop, size_of};
use crate::request::plan::Plan;
use crate::request::read_body::read_body;
use crate::request::refusal::Refusal;
use crate::request::relay::relay;
use crate::request::response_body::ResponseBody;
use crate::request::trace::Trace;

/// Largest request body if the configuration sets no limit, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// `Retry-After` of a node that has no confirmed configuration yet. After a power loss of the whole cluster it
/// takes about this long from the start until the control plane has a leader and the nodes have received its
/// state.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(450);

/// Largest request headers if the configuration sets no limit, in bytes.
const DEFAULT_MAX_HEADER_BYTES: u32 = 16 * 1024;

/// Serves one request. A failure is returned to the caller as a response as soon as it is final.
pub async fn serve<P: ForwardProtocol>(
    node: Arc<ForwardNode<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = match forward(&node, request).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(&node.protocol),
    };
    if node.state.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Runs the steps of a request: plans it, charges its tenant's quota, obtains the first response and relays it.
async fn forward<P: ForwardProtocol>(
    node: &Arc<ForwardNode<P>>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let plan = plan_request(node, request).await?;
    let tokens = plan.quota_tokens();
    let mut history = AttemptHistory {
        trace: Trace::begin(node, &plan),
        ..AttemptHistory::default()
    };
    if let Some(tenant) = &plan.tenant
        && let Err(delay) = admit(node, tenant, tokens).await
    {
        history.trace.finish(Ending::OverQuota);
        return Err(over_quota(delay));
    }
    match first_response(node, &plan, &mut history).await {
        Ok(opened) => Ok(relay(Arc::clone(node), plan, history, opened)),
        Err(refusal) => {
            if let (Some(tenant), 0) = (&plan.tenant, history.runs) {
                node.quotas.refund(monotonic_now(), tenant, tokens);
            }
            history.trace.finish(ending_of(&refusal, &history));
            Err(refusal)
        }
    }
}

/// Reads a request and determines its route, pool, tenant and deadline.
///
/// # Errors
/// Refuses the request if the node is not ready, if it is draining and would end before the deadline, or if the
/// request exceeds a limit, matches no route or has no valid key.
async fn plan_request<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    request: Request<Incoming>,
) -> Result<Plan, Refusal> {
    let arrived = monotonic_now();
    let (mut head, body) = request.into_parts();
    let table = node.state.table();
    if !node.state.is_ready() {
        let not_ready = Refusal::new(ResultCode::NotReady);
        return Err(not_ready.with_retry_after(NOT_READY_RETRY_AFTER).closing());
    }
    let limits = table.forward().limits().copied().unwrap_or_default();
    check_headers(&head.headers, &limits)?;
    let host = host_of(&head.headers);
    let route = table.forward().find(host, head.uri.path());
    let route = route.ok_or(Refusal::new(ResultCode::PathUnknown).closing())?;
    let facts = node.protocol.read_request(&head.headers);
    let tenant = authorize(&table, route, &facts).map_err(Refusal::closing)?;
    let deadline = Plan::deadline_of(arrived, route, &facts);
    let body = read_body(&node.state.memory, body, body_limit(&limits), deadline).await?;
    remove_hop_by_hop(&mut head.headers);
    let plan = Plan {
        deadline,
        route: Arc::clone(route),
        pool: draw_pool(route),
        tenant,
        facts,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        arrived,
    };
    if !node.accepts(arrived, plan.deadline) {
        let draining = Refusal::new(ResultCode::NotReady);
        return Err(draining.with_retry_after(DEFAULT_RETRY_AFTER).closing());
    }
    Ok(plan)
}

/// Charges `tokens` to the tenant's quota.
///
/// # Errors
/// Returns the time until the tenant's bucket admits requests again.
pub async fn admit<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    tenant: &Tenant,
    tokens: u64,
) -> Result<(), Duration> {
    let ring = node.peers.ring(&node.state.table());
    if !ring.has_tenant_owners() {
        return node.quotas.admit(monotonic_now(), tenant, tokens);
    }
    let owners = QuotaOwners {
        link: &node.peers,
        ring: &ring,
        zone: &node.zone,
    };
    node.quota_client
        .admit(owners, &node.quotas, tenant, tokens)
        .await
}

/// Returns the ending that the decision record contains for a request that no backend responded to.
fn ending_of(refusal: &Refusal, history: &AttemptHistory) -> Ending {
    match refusal.code {
        ResultCode::DeadlineAfterSend => Ending::TimedOut,
        _ if history.runs == 0 => Ending::Refused,
        _ => Ending::Failed,
    }
}

/// Builds the refusal of a request over its tenant's quota. It closes the connection: otherwise a tenant far over
/// its quota leaves hundreds of unused connections open.
fn over_quota(delay: Duration) -> Refusal {
    let refusal = Refusal::new(ResultCode::QuotaExceeded);
    refusal.with_retry_after(delay).closing()
}

fn check_headers(headers: &HeaderMap, limits: &HttpLimits) -> Result<(), Refusal> {
    let limit = match limits.max_header_bytes {
        0 => DEFAULT_MAX_HEADER_BYTES,
        bytes => bytes,
    };
    if size_of(headers) as u64 > u64::from(limit) {
        return Err(Refusal::new(ResultCode::HeadersTooLarge).closing());
    }
    Ok(())
}

fn body_limit(limits: &HttpLimits) -> u64 {
    match limits.max_body_bytes {
        0 => DEFAULT_MAX_BODY_BYTES,
        bytes => bytes,
    }
}

fn host_of(headers: &HeaderMap) -> &str {
    let host = headers.get(HOST).and_then(|value| value.to_str().ok());
    host.unwrap_or_default()
}

/// Draws one of the route's pools at random, by weight. Returns an empty name if the route has no pool.
fn draw_pool(route: &ForwardRoute) -> String {
    let total: u32 = route.pools.iter().map(|share| share.weight).sum();
    let mut left = rand::rng().random_range(0..total.max(1));
    for share in &route.pools {
        if left < share.weight {
            return share.pool.clone();
        }
        left -= share.weight;
    }
    String::new()
}
