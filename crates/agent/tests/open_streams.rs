//! A new connection of the proxy replaces what the agent counted of its streams.

use std::collections::BTreeMap;

use millford_agent::quota::QuotaClient;
use millford_api::internal::{QuotaGrant, QuotaReply, QuotaRequest};
use millford_api::local::LocalQuotaRequest;
use millford_core::{Duration, MonotonicTime, ShardLayout};

const TENANT: &str = "library";

fn ask(request_id: u64) -> LocalQuotaRequest {
    LocalQuotaRequest {
        request_id,
        tenant: TENANT.to_owned(),
        stream: true,
        timeout_ms: 5_000,
        waited_ms: 0,
    }
}

fn requests(desk: &mut QuotaClient, now: MonotonicTime, next_id: &mut u64) -> Vec<QuotaRequest> {
    desk.requests(now, ShardLayout::new(1), "front-1", 1, next_id)
}

/// A desk with one admitted stream.
fn desk_with_a_stream(now: MonotonicTime, next_id: &mut u64) -> QuotaClient {
    let mut desk = QuotaClient::default();
    assert!(desk.ask(now, &ask(1), true).is_empty());
    let sent = requests(&mut desk, now, next_id);
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
    let answers = desk.reply(now, &reply);
    assert!(answers[0].granted);
    assert_eq!(desk.slots_in_use(), 1);
    desk
}

#[test]
fn a_proxy_that_starts_afresh_frees_the_slots_of_the_dead_one() {
    let now = MonotonicTime::from_millis(10_000);
    let mut next_id = 0;
    let mut desk = desk_with_a_stream(now, &mut next_id);
    assert!(desk.ask(now, &ask(2), true).is_empty());
    desk.take_over(now, &BTreeMap::new());
    assert_eq!(desk.slots_in_use(), 0);
    // The old connection's ask is void: nobody would take its answer.
    let later = now + Duration::from_secs(10);
    assert!(desk.tick(later).is_empty());
}

#[test]
fn a_restarted_agent_learns_the_open_streams_and_tells_the_leader() {
    let now = MonotonicTime::from_millis(10_000);
    let mut next_id = 0;
    let mut desk = QuotaClient::default();
    desk.take_over(now, &BTreeMap::from([(TENANT.to_owned(), 3)]));
    assert_eq!(desk.slots_in_use(), 3);
    let later = now + Duration::from_secs(2);
    let _ = desk.tick(later);
    let told = requests(&mut desk, later, &mut next_id);
    assert_eq!(told[0].tenants[0].slots_in_use, 3);
    assert_eq!(told[0].tenants[0].slots_requested, 3);
}
