//! Ages of requests and grants: the time for which a request waited before it arrived is included
//! in its waiting time, and a grant carries the time within which it may be used.

use millford_agent::quota::{QuotaClient, StreamLimit};
use millford_api::internal::{QuotaGrant, QuotaReply, QuotaRequest};
use millford_api::local::LocalQuotaRequest;
use millford_core::{Duration, MonotonicTime, ResultCode, ShardLayout};

const TENANT: &str = "t";
const START: MonotonicTime = MonotonicTime::from_millis(10_000);
const LEASE_MS: u32 = 1_000;

/// Returns a client with one request that had waited for `waited_ms` when it arrived at [`START`].
fn client_with_request(waited_ms: u32) -> QuotaClient {
    let mut client = QuotaClient::default();
    let request = LocalQuotaRequest {
        request_id: 7,
        tenant: TENANT.to_owned(),
        stream: false,
        timeout_ms: 3_000,
        waited_ms,
    };
    assert!(
        client
            .request(START, &request, StreamLimit::Unlimited)
            .is_empty()
    );
    client
}

fn request_to_leader(client: &mut QuotaClient, now: MonotonicTime) -> QuotaRequest {
    let mut id = 0;
    let requests = client.due_requests(now, ShardLayout::new(1), "node", 1, &mut id);
    requests
        .into_iter()
        .next()
        .expect("a request to the leader")
}

fn after(millis: u64) -> MonotonicTime {
    START + Duration::from_millis(millis)
}

#[test]
fn the_wait_at_a_previous_agent_process_is_reported_to_the_leader() {
    let mut client = client_with_request(4_000);
    let request = request_to_leader(&mut client, after(30));
    assert_eq!(request.tenants[0].oldest_wait_ms, 4_030);
}

#[test]
fn a_grant_may_be_used_until_its_lease_ends() {
    let mut client = client_with_request(0);
    let request = request_to_leader(&mut client, after(30));
    let reply = QuotaReply {
        shard: request.shard,
        request_id: request.request_id,
        code: ResultCode::Ok.number(),
        term: 1,
        grants: vec![QuotaGrant {
            tenant: TENANT.to_owned(),
            tokens: 1,
            lease_ms: LEASE_MS,
            ..QuotaGrant::default()
        }],
    };
    let answers = client.reply(after(200), &reply);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].granted, "{answers:?}");
    // The time counts from the proxy's request, the lease from the request to the leader 30 ms
    // later.
    assert_eq!(answers[0].use_within_ms, LEASE_MS + 30);
}
