//! Stream slots, session epochs and idle accounts of the quota leases.

use std::collections::BTreeMap;

use millford_api::config::Quota;
use millford_api::internal::{QuotaGrant, QuotaReply, QuotaRequest, TenantQuotaRequest};
use millford_control_state::quota::{QuotaLeases, QuotaOptions, QuotaOutput};
use millford_core::{MonotonicTime, ResultCode, ShardId};
use quickcheck::quickcheck;

const HOUR_MS: u64 = 3_600_000;

struct Leader {
    leases: QuotaLeases,
    now_ms: u64,
    next_request: u64,
    recalled: Vec<String>,
}

impl Leader {
    /// Creates a leader that was elected an hour ago, with the quota of one tenant.
    fn new(concurrent_streams: u32) -> Self {
        let mut leases = QuotaLeases::new(ShardId(1), QuotaOptions::default());
        leases.lead(MonotonicTime::ZERO, 1);
        let quota = Quota {
            requests_per_second: 100,
            burst: 100,
            concurrent_streams,
        };
        leases.set_quota(MonotonicTime::ZERO, "library", Some(quota));
        Self {
            leases,
            now_ms: HOUR_MS,
            next_request: 0,
            recalled: Vec::new(),
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_millis(self.now_ms)
    }

    fn send(&mut self, member: &str, epoch: u64, tenant_request: TenantQuotaRequest) -> QuotaReply {
        self.next_request += 1;
        let request = request(member, epoch, self.next_request, tenant_request);
        self.deliver(&request)
    }

    fn deliver(&mut self, request: &QuotaRequest) -> QuotaReply {
        let mut replies = Vec::new();
        for output in self.leases.handle(self.now(), request) {
            match output {
                QuotaOutput::Reply { reply, .. } => replies.push(reply),
                QuotaOutput::Recall { member, .. } => self.recalled.push(member),
            }
        }
        assert_eq!(replies.len(), 1, "one reply to each request");
        replies.remove(0)
    }

    fn slots(&mut self, member: &str, requested: u32, in_use: u32) -> QuotaGrant {
        self.slots_of(member, 1, requested, in_use)
    }

    fn slots_of(&mut self, member: &str, epoch: u64, requested: u32, in_use: u32) -> QuotaGrant {
        let tenant_request = slot_request(requested, in_use);
        self.send(member, epoch, tenant_request).grants.remove(0)
    }

    fn tokens(&mut self, member: &str, tokens: u32) -> QuotaGrant {
        self.send(member, 1, token_request(tokens)).grants.remove(0)
    }
}

/// Creates a node's message with the request of one tenant.
fn request(
    member: &str,
    epoch: u64,
    request_id: u64,
    tenant_request: TenantQuotaRequest,
) -> QuotaRequest {
    QuotaRequest {
        shard: 1,
        request_id,
        member: member.to_owned(),
        epoch,
        tenants: vec![tenant_request],
    }
}

/// Creates a request for tokens of the tenant that is configured at every leader.
fn token_request(tokens: u32) -> TenantQuotaRequest {
    TenantQuotaRequest {
        tenant: "library".to_owned(),
        tokens,
        ..TenantQuotaRequest::default()
    }
}

/// Creates a request for stream slots of the tenant that is configured at every leader.
fn slot_request(requested: u32, in_use: u32) -> TenantQuotaRequest {
    TenantQuotaRequest {
        tenant: "library".to_owned(),
        slots_requested: requested,
        slots_in_use: in_use,
        ..TenantQuotaRequest::default()
    }
}

#[test]
fn slots_are_granted_up_to_the_limit_and_then_refused() {
    let mut leader = Leader::new(4);
    assert_eq!(leader.slots("a", 3, 3).slots, 3);
    let b = leader.slots("b", 2, 0);
    assert_eq!((b.slots, b.slots_refused), (1, true));
    assert!(b.retry_after_ms > 0);
    assert_eq!(leader.slots("a", 1, 1).slots, 1);
    assert_eq!(leader.slots("b", 2, 1).slots, 2);
}

#[test]
fn without_a_limit_every_slot_is_granted() {
    let mut leader = Leader::new(0);
    assert_eq!(leader.slots("a", 1_000, 0).slots, 1_000);
}

#[test]
fn idle_slots_are_recalled_before_a_refusal() {
    let mut leader = Leader::new(4);
    leader.slots("a", 4, 1);
    let b = leader.slots("b", 2, 0);
    assert_eq!((b.slots, b.slots_refused), (0, false));
    assert_eq!(leader.recalled, ["a"]);
    leader.slots("a", 1, 1);
    leader.now_ms += u64::from(b.retry_after_ms);
    assert_eq!(leader.slots("b", 2, 0).slots, 2);
}

/// Creates a leader with a slowly refilling bucket. Node `a` was granted surplus tokens because of
/// its demand a second ago.
fn leader_with_surplus_tokens_at_a() -> Leader {
    let mut leader = Leader::new(0);
    let slow = Quota {
        requests_per_second: 1,
        burst: 100,
        concurrent_streams: 0,
    };
    leader.leases.set_quota(leader.now(), "library", Some(slow));
    leader.tokens("a", 40);
    leader.now_ms += 1_100;
    assert!(
        leader.tokens("a", 1).tokens > 1,
        "surplus tokens are granted"
    );
    leader
}

#[test]
fn a_renewal_does_not_confirm_a_recall() {
    let mut leader = leader_with_surplus_tokens_at_a();
    leader.slots("a", 1, 1);
    leader.slots("a", 1, 1);
    let b = leader.tokens("b", 60);
    assert!(b.tokens < 60 && !b.refused, "{b:?}");
    assert_eq!(leader.recalled, ["a"]);
    leader.slots("a", 1, 1);
    let again = leader.tokens("b", 60 - b.tokens);
    assert_eq!((again.tokens, again.refused), (0, false));
    let tenant_request = TenantQuotaRequest {
        tenant: "library".to_owned(),
        returned_tokens: 60 - b.tokens,
        ..TenantQuotaRequest::default()
    };
    leader.send("a", 1, tenant_request);
    assert_eq!(leader.tokens("b", 60 - b.tokens).tokens, 60 - b.tokens);
}

#[test]
fn once_surplus_tokens_are_recalled_missing_ones_are_refused() {
    let mut leader = leader_with_surplus_tokens_at_a();
    let first = leader.tokens("b", 90);
    assert!(!first.refused);
    for _ in 0..2 {
        leader.now_ms += u64::from(first.retry_after_ms);
        leader.tokens("a", 0);
    }
    assert!(leader.tokens("b", 90 - first.tokens).refused);
}

#[test]
fn slots_of_an_unresponsive_node_count_until_the_inactivity_timeout() {
    let mut leader = Leader::new(4);
    leader.slots("a", 4, 4);
    leader.now_ms += 20_000;
    leader.leases.tick(leader.now());
    assert!(
        leader.slots("b", 1, 0).slots_refused,
        "node a may be disconnected with its streams still open"
    );
    leader.now_ms += 10_000;
    leader.leases.tick(leader.now());
    assert_eq!(leader.slots("b", 1, 0).slots, 1);
}

#[test]
fn a_restarted_node_loses_slots_that_it_does_not_request_again() {
    let mut leader = Leader::new(4);
    leader.slots("a", 4, 4);
    leader.tokens("b", 1);
    let tenant_request = TenantQuotaRequest {
        tenant: "other".to_owned(),
        ..TenantQuotaRequest::default()
    };
    leader.send("a", 2, tenant_request);
    assert!(leader.slots("b", 1, 0).slots_refused);
    leader.now_ms += 2_001;
    assert_eq!(leader.slots("b", 4, 0).slots, 4);
}

#[test]
fn an_older_epoch_is_fenced() {
    let mut leader = Leader::new(4);
    leader.slots_of("a", 2, 1, 1);
    let reply = leader.send("a", 1, token_request(1));
    assert_eq!(reply.code, ResultCode::EpochFenced.number());
    assert!(reply.grants.is_empty());
}

#[test]
fn a_resent_request_gets_the_same_reply() {
    let mut leader = Leader::new(4);
    let resent = request("a", 1, 77, token_request(60));
    let first = leader.deliver(&resent);
    leader.now_ms += 1;
    assert_eq!(leader.deliver(&resent), first);
    assert_eq!(
        leader.tokens("b", 60).tokens,
        40,
        "60 tokens were deducted only once"
    );
}

#[test]
fn a_late_request_does_not_undo_a_newer_one() {
    let mut leader = Leader::new(4);
    let late = request("a", 1, 1, slot_request(0, 0));
    leader.next_request = 1;
    leader.slots("a", 4, 4);
    leader.deliver(&late);
    assert!(
        leader.slots("b", 1, 0).slots_refused,
        "node a still uses four slots"
    );
}

#[test]
fn a_new_leader_grants_no_new_slots_until_nodes_have_reported_those_in_use() {
    let mut leader = Leader::new(4);
    leader.leases.lead(leader.now(), 2);
    let early = leader.slots("b", 2, 0);
    assert_eq!((early.slots, early.slots_refused), (0, false));
    leader.now_ms += 400;
    assert_eq!(
        leader.slots("a", 3, 3).slots,
        3,
        "slots in use are granted at once"
    );
    leader.now_ms += u64::from(early.retry_after_ms) - 400 + 1;
    let b = leader.slots("b", 2, 0);
    assert_eq!((b.slots, b.slots_refused), (1, true));
}

#[test]
fn without_leadership_nothing_is_granted() {
    let mut leader = Leader::new(4);
    leader.leases.resign();
    let reply = leader.send("a", 1, token_request(1));
    assert_eq!(reply.code, ResultCode::NotLeader.number());
}

#[test]
fn a_tenant_without_configuration_gets_a_retry_delay() {
    let mut leader = Leader::new(4);
    let tenant_request = TenantQuotaRequest {
        tenant: "new".to_owned(),
        tokens: 1,
        ..TenantQuotaRequest::default()
    };
    let grant = leader.send("a", 1, tenant_request).grants.remove(0);
    assert_eq!((grant.tokens, grant.refused), (0, false));
    assert!(grant.retry_after_ms > 0);
}

#[test]
fn a_smaller_quota_applies_at_once() {
    let mut leader = Leader::new(4);
    leader.tokens("a", 1);
    let smaller = Quota {
        requests_per_second: 1,
        burst: 5,
        concurrent_streams: 1,
    };
    leader
        .leases
        .set_quota(leader.now(), "library", Some(smaller));
    let grant = leader.tokens("a", 50);
    assert_eq!((grant.tokens, grant.refused), (5, true));
    assert!(
        grant.retry_after_ms >= 900,
        "the next token is a second away"
    );
}

#[test]
fn only_active_tenants_have_accounts() {
    let mut leader = Leader::new(4);
    let quota = Quota {
        requests_per_second: 1,
        burst: 2,
        concurrent_streams: 4,
    };
    for number in 0..16_000 {
        let tenant = format!("tenant-{number}");
        leader.leases.set_quota(leader.now(), &tenant, Some(quota));
    }
    assert_eq!(leader.leases.active_tenants(), 0);
    leader.tokens("a", 3);
    leader.slots("a", 1, 1);
    assert_eq!(leader.leases.active_tenants(), 1);
    leader.slots("a", 0, 0);
    for _ in 0..5 {
        leader.now_ms += 1_000;
        leader.leases.tick(leader.now());
    }
    assert_eq!(leader.leases.active_tenants(), 0);
}

quickcheck! {
    /// The slots granted to all nodes together stay within the limit for any sequence of requests.
    fn granted_slots_never_exceed_the_limit(limit: u8, requests: Vec<(u8, u8, u8, u8)>) -> bool {
        let limit = u32::from(limit % 20) + 1;
        let mut leader = Leader::new(limit);
        let mut granted: BTreeMap<u8, u32> = BTreeMap::new();
        for (node, requested, in_use, delay) in requests {
            let node = node % 4;
            let requested = u32::from(requested % 20);
            let granted_before = granted.get(&node).copied().unwrap_or(0);
            let in_use = u32::from(in_use).min(granted_before).min(requested);
            leader.now_ms += u64::from(delay) * 4;
            leader.leases.tick(leader.now());
            let grant = leader.slots(&node.to_string(), requested, in_use);
            granted.insert(node, grant.slots);
            if grant.slots < in_use || granted.values().sum::<u32>() > limit {
                return false;
            }
        }
        true
    }
}

#[test]
fn an_outdated_request_after_all_slots_were_released_reserves_nothing() {
    let mut leader = Leader::new(4);
    assert_eq!(leader.slots("a", 2, 0).slots, 2);
    leader.next_request += 1;
    let late = request("a", 1, leader.next_request, slot_request(4, 2));
    assert_eq!(leader.slots("a", 0, 0).slots, 0);
    leader.deliver(&late);
    assert_eq!(leader.slots("b", 4, 0).slots, 4);
}
