//! The open streams that a proxy reports on a new connection replace the agent's count.

use std::collections::BTreeMap;

use millford_agent::quota::{QuotaClient, StreamLimit};
use millford_api::internal::{QuotaGrant, QuotaReply, QuotaRequest};
use millford_api::local::LocalQuotaRequest;
use millford_core::{Duration, MonotonicTime, ShardLayout};

const TENANT: &str = "library";

fn stream_request(request_id: u64) -> LocalQuotaRequest {
    LocalQuotaRequest {
        request_id,
        tenant: TENANT.to_owned(),
        stream: true,
        timeout_ms: 5_000,
        waited_ms: 0,
    }
}

fn due_requests(
    client: &mut QuotaClient,
    now: MonotonicTime,
    next_id: &mut u64,
) -> Vec<QuotaRequest> {
    client.due_requests(now, ShardLayout::new(1), "front-1", 1, next_id)
}

/// Returns a client with one granted stream.
fn client_with_a_stream(now: MonotonicTime, next_id: &mut u64) -> QuotaClient {
    let mut client = QuotaClient::default();
    assert!(
        client
            .request(now, &stream_request(1), StreamLimit::Limited)
            .is_empty()
    );
    let sent = due_requests(&mut client, now, next_id);
    let reply = QuotaReply {
        shard: sent[0].shard,
        request_id: sent[0].request_id,
        grants: vec![QuotaGrant {
            tenant: TENANT.to_owned(),
            tokens: 1,
            slots: 1,
            lease_ms: 1_000,
            ..QuotaGrant::default()
        }],
        ..QuotaReply::default()
    };
    let answers = client.reply(now, &reply);
    assert!(answers[0].granted, "{answers:?}");
    assert_eq!(client.slots_in_use(), 1);
    client
}

#[test]
fn a_proxy_restart_frees_the_slots_of_the_previous_process() {
    let now = MonotonicTime::from_millis(10_000);
    let mut next_id = 0;
    let mut client = client_with_a_stream(now, &mut next_id);
    assert!(
        client
            .request(now, &stream_request(2), StreamLimit::Limited)
            .is_empty()
    );
    client.reconcile_streams(now, &BTreeMap::new());
    assert_eq!(client.slots_in_use(), 0);
    // The request of the old connection was dropped, since its reply could not be delivered.
    let later = now + Duration::from_secs(10);
    assert_eq!(client.tick(later), Vec::new());
}

#[test]
fn a_restarted_agent_reports_the_open_streams_to_the_leader() {
    let now = MonotonicTime::from_millis(10_000);
    let mut next_id = 0;
    let mut client = QuotaClient::default();
    client.reconcile_streams(now, &BTreeMap::from([(TENANT.to_owned(), 3)]));
    assert_eq!(client.slots_in_use(), 3);
    let later = now + Duration::from_secs(2);
    let _ = client.tick(later);
    let reported = due_requests(&mut client, later, &mut next_id);
    assert_eq!(reported[0].tenants[0].slots_in_use, 3);
    assert_eq!(reported[0].tenants[0].slots_requested, 3);
}
