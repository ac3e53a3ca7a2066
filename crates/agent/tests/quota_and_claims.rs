//! Quota leases, claims and claim outcomes while shards have no leader, after recalls and at
//! timeouts.

mod support;

use millford_agent::AgentInput;
use millford_api::command::{Claim, ResolveClaim, RunOutcome};
use millford_api::config::Quota;
use millford_api::internal::{QuotaRecall, frame};
use millford_api::local::{
    LocalClaim, LocalQuotaRelease, LocalQuotaReply, LocalQuotaRequest, LocalResolveClaim,
    local_frame,
};
use millford_core::ResultCode;
use support::{Fleet, tenant};

const ADDRESSES: [&str; 2] = ["c1", "c2"];

fn quota(requests_per_second: u32, burst: u32, concurrent_streams: u32) -> Quota {
    Quota {
        requests_per_second,
        burst,
        concurrent_streams,
    }
}

/// Returns a started fleet with one tenant, after enough time for its token bucket to be full.
fn fleet_with(quota: Quota) -> Fleet {
    let mut fleet = Fleet::started(&ADDRESSES);
    fleet.publish(0, 2, &[tenant("t", quota)]);
    let now = fleet.now;
    fleet.shared.set_quota(now, "t", quota);
    fleet.run(3_000);
    fleet.take_proxy_frames();
    fleet
}

fn request_quota(fleet: &mut Fleet, request_id: u64, stream: bool, timeout_ms: u32) {
    fleet.proxy_sends(local_frame::Body::QuotaRequest(LocalQuotaRequest {
        request_id,
        tenant: "t".to_owned(),
        stream,
        timeout_ms,
        waited_ms: 0,
    }));
}

fn replies(fleet: &mut Fleet) -> Vec<LocalQuotaReply> {
    let bodies = fleet.take_proxy_frames().into_iter();
    bodies
        .filter_map(|body| match body {
            local_frame::Body::QuotaReply(reply) => Some(reply),
            _ => None,
        })
        .collect()
}

#[test]
fn a_request_under_its_quota_is_granted_within_one_round_trip() {
    let mut fleet = fleet_with(quota(10, 10, 0));
    request_quota(&mut fleet, 1, false, 500);
    fleet.run(8);
    let replies = replies(&mut fleet);
    assert_eq!(replies.len(), 1);
    assert!(replies[0].granted, "{replies:?}");
}

#[test]
fn requests_over_the_quota_are_refused_immediately_with_a_retry_time() {
    let mut fleet = fleet_with(quota(1, 4, 0));
    for id in 0..10 {
        request_quota(&mut fleet, id, false, 5_000);
    }
    fleet.run(60);
    let replies = replies(&mut fleet);
    let granted = replies.iter().filter(|reply| reply.granted).count();
    assert_eq!(granted, 4);
    let refused: Vec<_> = replies.iter().filter(|reply| !reply.granted).collect();
    assert_eq!(refused.len(), 6, "every refusal arrives within 60 ms");
    for reply in refused {
        assert_eq!(reply.code, ResultCode::QuotaExceeded.number());
        assert!(reply.retry_after_ms > 0, "{reply:?}");
    }
}

#[test]
fn a_request_waits_while_there_is_no_leader_and_is_then_granted() {
    let mut fleet = fleet_with(quota(10, 10, 0));
    fleet.shared.remove_leaders();
    request_quota(&mut fleet, 1, false, 5_000);
    fleet.run(800);
    assert_eq!(
        replies(&mut fleet),
        Vec::new(),
        "neither granted nor refused yet"
    );
    let now = fleet.now;
    fleet.shared.elect(now, 2);
    fleet.run(1_000);
    let replies = replies(&mut fleet);
    assert_eq!(replies.len(), 1);
    assert!(replies[0].granted, "{replies:?}");
}

#[test]
fn a_request_without_a_decision_is_refused_at_its_deadline() {
    let mut fleet = fleet_with(quota(10, 10, 0));
    fleet.shared.remove_leaders();
    request_quota(&mut fleet, 1, false, 300);
    fleet.run(298);
    assert_eq!(replies(&mut fleet), Vec::new());
    fleet.run(4);
    let replies = replies(&mut fleet);
    assert_eq!(replies.len(), 1);
    assert_eq!(replies[0].code, ResultCode::QuotaUnavailable.number());
}

/// Sends requests at a steady rate until the leader has granted surplus tokens in addition to those
/// requested and at least two are idle.
fn accumulate_surplus_tokens(fleet: &mut Fleet) {
    for id in 1_000..1_400 {
        request_quota(fleet, id, false, 1_000);
        fleet.run(10);
        replies(fleet);
        if fleet.core.available_quota_tokens(fleet.now) >= 2 {
            return;
        }
    }
    panic!("no surplus tokens were granted");
}

#[test]
fn while_disconnected_only_leased_tokens_are_spent() {
    let mut fleet = fleet_with(quota(200, 200, 0));
    accumulate_surplus_tokens(&mut fleet);
    for control in &mut fleet.controls {
        control.unresponsive = true;
    }
    for id in 100..160 {
        request_quota(&mut fleet, id, false, 400);
    }
    let granted = replies(&mut fleet).len();
    assert!(granted > 0, "no leased token was spent");
    fleet.run(500);
    let later = replies(&mut fleet);
    assert_eq!(granted + later.len(), 60);
    assert!(
        later
            .iter()
            .all(|reply| reply.code == ResultCode::QuotaUnavailable.number())
    );
    fleet.run(2_000);
    request_quota(&mut fleet, 200, false, 100);
    assert_eq!(replies(&mut fleet), Vec::new(), "expired tokens were spent");
}

#[test]
fn a_recall_is_answered_immediately_with_the_idle_tokens() {
    let mut fleet = fleet_with(quota(200, 200, 0));
    accumulate_surplus_tokens(&mut fleet);
    let index = fleet.connected_node();
    let shard = millford_core::ShardLayout::new(support::DATA_SHARDS)
        .shard_of(&millford_core::tenant_key("t"));
    let recall = QuotaRecall {
        shard: shard.0,
        tenant: "t".to_owned(),
        member: "node-1".to_owned(),
    };
    fleet.control_sends(index, vec![frame::Body::QuotaRecall(recall)]);
    fleet.run(8);
    assert_eq!(fleet.core.available_quota_tokens(fleet.now), 0);
    // No idle token is left on this node, so the next request needs a round trip.
    request_quota(&mut fleet, 500, false, 1_000);
    assert_eq!(replies(&mut fleet), Vec::new());
    fleet.run(8);
    let replies = replies(&mut fleet);
    assert!(replies[0].granted, "{replies:?}");
}

#[test]
fn streams_are_limited_and_a_released_slot_is_reused() {
    let mut fleet = fleet_with(quota(100, 100, 2));
    for id in 0..3 {
        request_quota(&mut fleet, id, true, 1_000);
    }
    fleet.run(50);
    let first = replies(&mut fleet);
    assert_eq!(first.iter().filter(|reply| reply.granted).count(), 2);
    let refused = first.iter().find(|reply| !reply.granted).expect("refusal");
    assert_eq!(refused.code, ResultCode::StreamLimit.number());
    fleet.proxy_sends(local_frame::Body::QuotaRelease(LocalQuotaRelease {
        tenant: "t".to_owned(),
        stream: true,
        unused: false,
    }));
    request_quota(&mut fleet, 10, true, 1_000);
    fleet.run(50);
    let second = replies(&mut fleet);
    assert!(second.len() == 1 && second[0].granted, "{second:?}");
}

#[test]
fn open_streams_still_count_after_a_leader_change() {
    let mut fleet = fleet_with(quota(100, 100, 2));
    request_quota(&mut fleet, 1, true, 1_000);
    request_quota(&mut fleet, 2, true, 1_000);
    fleet.run(50);
    assert_eq!(replies(&mut fleet).len(), 2);
    fleet.shared.remove_leaders();
    fleet.run(700);
    let now = fleet.now;
    fleet.shared.elect(now, 2);
    fleet.run(2_500);
    request_quota(&mut fleet, 3, true, 1_000);
    fleet.run(100);
    let answered = replies(&mut fleet);
    assert_eq!(answered.len(), 1);
    assert_eq!(answered[0].code, ResultCode::StreamLimit.number());
}

fn claim(attempt: &str) -> Claim {
    Claim {
        tenant: "t".to_owned(),
        request_id: "order-1".to_owned(),
        attempt_id: attempt.to_owned(),
        digest: vec![1],
    }
}

#[test]
fn a_claim_is_resent_under_its_attempt_id_until_it_is_answered() {
    let mut fleet = fleet_with(quota(10, 10, 0));
    fleet.shared.remove_leaders();
    fleet.proxy_sends(local_frame::Body::Claim(LocalClaim {
        request_id: 5,
        claim: Some(claim("attempt-1")),
        timeout_ms: 3_000,
    }));
    fleet.run(700);
    let now = fleet.now;
    fleet.shared.elect(now, 2);
    fleet.run(100);
    let bodies = fleet.take_proxy_frames();
    let answer = bodies.iter().find_map(|body| match body {
        local_frame::Body::ClaimReply(reply) => Some(reply),
        _ => None,
    });
    let answer = answer.expect("an answer");
    assert_eq!(answer.request_id, 5);
    assert!(answer.result.expect("result").granted);
    assert!(
        fleet
            .shared
            .claims
            .iter()
            .all(|claim| claim.attempt_id == "attempt-1")
    );
}

#[test]
fn a_claim_past_its_deadline_is_refused_and_released() {
    let mut fleet = fleet_with(quota(10, 10, 0));
    fleet.shared.remove_leaders();
    fleet.proxy_sends(local_frame::Body::Claim(LocalClaim {
        request_id: 5,
        claim: Some(claim("attempt-1")),
        timeout_ms: 300,
    }));
    fleet.run(310);
    let bodies = fleet.take_proxy_frames();
    assert!(bodies.iter().any(|body| matches!(body,
        local_frame::Body::ClaimReply(reply)
            if reply.code == ResultCode::ClaimUnavailable.number())));
    let now = fleet.now;
    fleet.shared.elect(now, 2);
    fleet.run(100);
    assert_eq!(fleet.shared.resolutions.len(), 1);
    assert_eq!(
        fleet.shared.resolutions[0].outcome,
        RunOutcome::RunNotRun as i32
    );
}

#[test]
fn claim_outcomes_are_resent_until_they_are_acknowledged() {
    let mut fleet = fleet_with(quota(10, 10, 0));
    for control in &mut fleet.controls {
        control.unresponsive = true;
    }
    for id in 0..20 {
        fleet.proxy_sends(local_frame::Body::ResolveClaim(LocalResolveClaim {
            request_id: id,
            resolution: Some(ResolveClaim {
                tenant: "t".to_owned(),
                request_id: format!("order-{id}"),
                attempt_id: "attempt".to_owned(),
                outcome: RunOutcome::RunCompleted as i32,
            }),
        }));
    }
    fleet.run(5_000);
    assert_eq!(fleet.core.pending_resolutions(), 20);
    for control in &mut fleet.controls {
        control.unresponsive = false;
    }
    fleet.run(2_500);
    assert_eq!(fleet.core.pending_resolutions(), 0);
    let mut recorded: Vec<&str> = fleet
        .shared
        .resolutions
        .iter()
        .map(|resolve| resolve.request_id.as_str())
        .collect();
    recorded.sort_unstable();
    recorded.dedup();
    assert_eq!(recorded.len(), 20);
}

/// Requests queued at an agent process that was suspended may be older than the connected proxy.
/// Quota granted for them would be missing for the current requests.
#[test]
fn no_quota_is_requested_for_a_disconnected_proxy() {
    let mut fleet = fleet_with(quota(10, 10, 0));
    fleet.shared.remove_leaders();
    for request_id in 1..=10 {
        request_quota(&mut fleet, request_id, false, 5_000);
    }
    fleet.run(50);
    fleet.handle(AgentInput::ProxyDown);
    let now = fleet.now;
    fleet.shared.elect(now, 2);
    fleet.run(3_000);
    assert_eq!(fleet.core.counters().quota_granted, 0);
    fleet.connect_proxy();
    for request_id in 11..=15 {
        request_quota(&mut fleet, request_id, false, 500);
    }
    fleet.run(20);
    let replies = replies(&mut fleet);
    assert_eq!(replies.len(), 5);
    assert!(
        replies
            .iter()
            .all(|reply| reply.code == ResultCode::Ok.number()),
        "{replies:?}"
    );
}
