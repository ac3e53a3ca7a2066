//! Requests that waited during an outage are not refused if their tenant stayed within its quota.

use millford_api::config::Quota;
use millford_api::internal::{QuotaGrant, QuotaReply, QuotaRequest, TenantQuotaRequest};
use millford_control_state::quota::{QuotaLeases, QuotaOptions, QuotaOutput};
use millford_core::{MonotonicTime, ResultCode, ShardId};

const RATE: u32 = 10;
const BURST: u32 = 10;
const OUTAGE_MS: u32 = 3_000;

/// Returns the first grant of a newly elected leader to a node where `waiting` requests wait.
fn first_grant(waiting: u32, oldest_wait_ms: u32) -> QuotaGrant {
    let elected = MonotonicTime::from_millis(10_000);
    let mut leases = leader(elected);
    // Until this time the former leader may have granted tokens.
    let grants_from = elected + QuotaOptions::default().step_down_bound;
    grant(&mut leases, grants_from, "agent-1", waiting, oldest_wait_ms)
}

fn grant(
    leases: &mut QuotaLeases,
    now: MonotonicTime,
    member: &str,
    waiting: u32,
    oldest_wait_ms: u32,
) -> QuotaGrant {
    let tenant_request = TenantQuotaRequest {
        tokens: waiting,
        waiting,
        oldest_wait_ms,
        ..TenantQuotaRequest::default()
    };
    grant_to(leases, now, member, 1, tenant_request)
}

fn grant_to(
    leases: &mut QuotaLeases,
    now: MonotonicTime,
    member: &str,
    request_id: u64,
    tenant_request: TenantQuotaRequest,
) -> QuotaGrant {
    reply_to(leases, now, member, request_id, tenant_request)
        .grants
        .remove(0)
}

fn reply_to(
    leases: &mut QuotaLeases,
    now: MonotonicTime,
    member: &str,
    request_id: u64,
    mut tenant_request: TenantQuotaRequest,
) -> QuotaReply {
    "tenant".clone_into(&mut tenant_request.tenant);
    let request = QuotaRequest {
        shard: 1,
        request_id,
        member: member.to_owned(),
        epoch: 1,
        tenants: vec![tenant_request],
    };
    let outputs = leases.handle(now, &request);
    let replies = outputs.into_iter().find_map(|output| match output {
        QuotaOutput::Reply { reply, .. } => Some(reply),
        QuotaOutput::Recall { .. } => None,
    });
    replies.expect("a reply")
}

/// Returns the leases of a leader that was elected at `elected` and has the tenant's quota.
fn leader(elected: MonotonicTime) -> QuotaLeases {
    let mut leases = QuotaLeases::new(ShardId(1), QuotaOptions::default());
    let quota = Quota {
        requests_per_second: RATE,
        burst: BURST,
        concurrent_streams: 0,
    };
    leases.set_quota(elected, "tenant", Some(quota));
    leases.lead(elected, 7);
    leases
}

#[test]
fn demand_under_the_rate_is_not_refused_after_an_outage() {
    // Nine a second for three seconds without a leader: an exact bucket would have served all.
    let grant = first_grant(27, OUTAGE_MS);
    assert_eq!(grant.refused_tokens, 0, "the requests continue to wait");
}

#[test]
fn requests_that_waited_through_an_outage_do_not_cause_refusals_of_others() {
    let mut leases = leader(MonotonicTime::ZERO);
    // Long after the election, so that the bucket is certainly full.
    let now = MonotonicTime::from_millis(120_000);
    leases.tick(now);
    let returning = grant(&mut leases, now, "agent-1", BURST, OUTAGE_MS);
    assert_eq!(returning.tokens, BURST);
    let other = grant(&mut leases, now, "agent-2", 1, 0);
    assert!(!other.refused, "an exact bucket would have been refilled");
}

#[test]
fn waiting_requests_of_earlier_messages_are_still_counted() {
    let mut leases = leader(MonotonicTime::ZERO);
    let mut tenant_request = |at_ms: u64, request_id: u64, tokens: u32, waiting: u32| {
        let tenant_request = TenantQuotaRequest {
            tokens,
            waiting,
            oldest_wait_ms: OUTAGE_MS,
            ..TenantQuotaRequest::default()
        };
        let now = MonotonicTime::from_millis(at_ms);
        grant_to(&mut leases, now, "agent-1", request_id, tenant_request)
    };
    // Forty requests wait after an outage of three seconds; ten are served at once.
    let first = tenant_request(120_000, 1, 40, 40);
    assert_eq!((first.tokens, first.refused_tokens), (BURST, 0));
    // While the others wait, new requests arrive as fast as the rate serves them.
    for step in 1..=20 {
        let next = tenant_request(120_000 + step * 500, 1 + step, 5, 35);
        assert_eq!(next.refused_tokens, 0, "step {step}");
    }
    // The outage credit has expired; tokens for all requests that still wait are requested again.
    let last = tenant_request(130_200, 100, 30, 30);
    assert_eq!(last.refused_tokens, 0, "the tenant stayed within its quota");
}

/// Guards against processing requests that a stalled relay forwards seconds after their node
/// abandoned them.
#[test]
fn an_abandoned_request_is_not_counted_again() {
    let mut leases = leader(MonotonicTime::ZERO);
    let start_ms = 120_000;
    let steady = |leases: &mut QuotaLeases, step: u64| {
        let now = MonotonicTime::from_millis(start_ms + step * 100);
        leases.tick(now);
        let tenant_request = TenantQuotaRequest {
            tokens: 1,
            waiting: 1,
            ..TenantQuotaRequest::default()
        };
        grant_to(leases, now, "agent-1", 10 + step, tenant_request)
    };
    for step in 0..40 {
        assert_eq!(steady(&mut leases, step).refused_tokens, 0, "step {step}");
    }
    // This request was sent before the first of those above, and the relay forwards it only now.
    let now = MonotonicTime::from_millis(start_ms + 4_000);
    let backlog = TenantQuotaRequest {
        tokens: BURST * 3,
        waiting: BURST * 3,
        oldest_wait_ms: OUTAGE_MS,
        ..TenantQuotaRequest::default()
    };
    let late = reply_to(&mut leases, now, "agent-1", 5, backlog);
    assert_eq!(late.code, ResultCode::ControlTimeout.number());
    assert!(late.grants.is_empty(), "nothing is granted or refused");
    for step in 40..80 {
        let grant = steady(&mut leases, step);
        let outcome = (grant.tokens >= 1, grant.refused_tokens);
        assert_eq!(outcome, (true, 0), "step {step}");
    }
}

/// Guards against counting returned tokens twice: a request whose cached reply was dropped must not
/// be processed as a new one.
#[test]
fn a_request_answered_long_ago_is_not_processed_twice() {
    let mut leases = leader(MonotonicTime::ZERO);
    let tenant_request = TenantQuotaRequest {
        tokens: 1,
        waiting: 1,
        ..TenantQuotaRequest::default()
    };
    let first = MonotonicTime::from_millis(120_000);
    assert_eq!(
        reply_to(&mut leases, first, "agent-1", 1, tenant_request.clone()).code,
        0
    );
    let later = MonotonicTime::from_millis(122_000);
    leases.tick(later);
    let again = reply_to(&mut leases, later, "agent-1", 1, tenant_request);
    assert_eq!(again.code, ResultCode::ControlTimeout.number());
}
