//! Claims, quota requests and load reports of agents, changes of the registry, and balancing of
//! leaderships.

mod support;

use std::sync::Arc;
use std::time::Duration;

use millford_api::command::{Claim, ResolveClaim, RunOutcome, command, command_result};
use millford_api::internal::{
    Frame, LoadReport, QuotaReply, QuotaRequest, ReplicaLoad, TenantQuotaRequest, frame,
    shard_reply,
};
use millford_api::state::{BackendState, state_value::Kind};
use millford_control::{NodeInput, OperatorReply, OperatorRequest, RegistryEntry, RegistryView};
use millford_core::{ResultCode, ShardId, ShardLayout, service_key, tenant_key};
use millford_registry::RegistryDeclaration;
use support::orders::{accept, cluster_with_leaders, document};
use support::{Cluster, TestAgent};

fn layout() -> ShardLayout {
    ShardLayout::new(2)
}

fn entry(id: &str, state: &str) -> RegistryEntry {
    RegistryEntry {
        id: id.to_owned(),
        address: format!("{id}:1"),
        cores: 8,
        bandwidth_gbps: 100.0,
        state: state.to_owned(),
        declarations: vec![RegistryDeclaration {
            model: "saga".to_owned(),
            version: "1".to_owned(),
            ..RegistryDeclaration::default()
        }],
        ..RegistryEntry::default()
    }
}

/// Passes a view of the registry to every node and waits until the changes are committed.
fn read_registry(cluster: &mut Cluster, backends: Vec<RegistryEntry>) {
    let view = Arc::new(RegistryView {
        backends,
        ..RegistryView::default()
    });
    for address in ["node-1", "node-2", "node-3"] {
        cluster.input(address, NodeInput::Registry(view.clone()));
    }
    cluster.run(Duration::from_millis(200));
}

/// States of the pool's backends in the agent's view of the feed.
fn states(agent: &TestAgent) -> Vec<(String, BackendState)> {
    let items = agent.view.items().values();
    items
        .filter_map(|value| match &value.kind {
            Some(Kind::Backend(backend)) => Some((backend.id.clone(), backend.state())),
            _ => None,
        })
        .collect()
}

/// Connects an agent that follows the shard of the pool's service.
fn follow_service(cluster: &mut Cluster, node: &str) -> TestAgent {
    let shard = layout().shard_of(&service_key("pool"));
    TestAgent::connect(cluster, &format!("follower-{node}"), node, shard)
}

/// Passes the leadership of the service's shard on until another node leads it. Returns the new leader.
fn pass_leadership_on(cluster: &mut Cluster) -> String {
    let shard = layout().shard_of(&service_key("pool"));
    let former = cluster.leader(shard).expect("a leader");
    cluster.input(&former, NodeInput::Shutdown);
    cluster.run_until(Duration::from_secs(5), "another leader", |cluster| {
        let leader = cluster.leader(shard);
        leader.is_some_and(|leader| leader != former)
    });
    cluster.run(Duration::from_millis(300));
    cluster.leader(shard).expect("a leader")
}

/// Guards against a node that leads again and acts on the registry as it was when it led last: draining backends were
/// active again.
#[test]
fn a_node_that_leads_again_does_not_apply_the_registry_that_it_read_before() {
    use BackendState::{BackendActive, BackendDraining};
    let mut cluster = cluster_with_leaders(3, 1);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    let mut agent = follow_service(&mut cluster, "node-1");
    read_registry(
        &mut cluster,
        vec![entry("m1", "active"), entry("m2", "active")],
    );
    let shard = layout().shard_of(&service_key("pool"));
    let first = cluster.leader(shard).expect("a leader");
    let second = pass_leadership_on(&mut cluster);
    let drained = RegistryView {
        backends: vec![entry("m1", "draining"), entry("m2", "active")],
        ..RegistryView::default()
    };
    // Only the leader reads the registry.
    cluster.input(&second, NodeInput::Registry(Arc::new(drained)));
    cluster.run(Duration::from_millis(200));
    for _ in 0..20 {
        if pass_leadership_on(&mut cluster) == first {
            break;
        }
    }
    assert_eq!(
        cluster.leader(shard),
        Some(first),
        "the first node leads again"
    );
    agent.receive(&mut cluster);
    let expected = [("m1", BackendDraining), ("m2", BackendActive)];
    let expected = expected.map(|(id, state)| (id.to_owned(), state));
    assert_eq!(states(&agent), expected);
}

#[test]
fn registry_changes_reach_agents_at_every_node_and_an_operator_can_drain() {
    use BackendState::{BackendActive, BackendDraining};
    let mut cluster = cluster_with_leaders(3, 1);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    let mut agents = ["node-1", "node-2", "node-3"].map(|node| follow_service(&mut cluster, node));
    read_registry(
        &mut cluster,
        vec![entry("m1", "active"), entry("m2", "active")],
    );
    let expect =
        |cluster: &mut Cluster, agents: &mut [TestAgent], desired: &[(&str, BackendState)]| {
            for agent in agents {
                agent.receive(cluster);
                let desired: Vec<_> = desired
                    .iter()
                    .map(|(id, state)| ((*id).to_owned(), *state))
                    .collect();
                assert_eq!(states(agent), desired, "{}", agent.name);
            }
        };
    expect(
        &mut cluster,
        &mut agents,
        &[("m1", BackendActive), ("m2", BackendActive)],
    );
    read_registry(
        &mut cluster,
        vec![entry("m1", "draining"), entry("m2", "active")],
    );
    expect(
        &mut cluster,
        &mut agents,
        &[("m1", BackendDraining), ("m2", BackendActive)],
    );
    read_registry(&mut cluster, vec![entry("m2", "active")]);
    expect(&mut cluster, &mut agents, &[("m2", BackendActive)]);
    let drain = OperatorRequest::Drain {
        pool: "pool".to_owned(),
        backend_id: "m2".to_owned(),
        drain: true,
    };
    let request = cluster.request("node-3", drain);
    let reply = cluster.answer(request);
    assert!(matches!(reply, OperatorReply::Drain(_)), "{reply:?}");
    // The registry still lists the backend as active; that does not undo the order.
    read_registry(&mut cluster, vec![entry("m2", "active")]);
    expect(&mut cluster, &mut agents, &[("m2", BackendDraining)]);
    let unknown = OperatorRequest::Drain {
        pool: "pool".to_owned(),
        backend_id: "m9".to_owned(),
        drain: true,
    };
    let request = cluster.request("node-1", unknown);
    let OperatorReply::Failed(failure) = cluster.answer(request) else {
        panic!("an unknown backend was drained");
    };
    assert_eq!(failure.code, ResultCode::BackendUnknown);
}

#[test]
fn registry_changes_are_applied_after_the_leader_of_the_service_stopped() {
    let mut cluster = cluster_with_leaders(3, 2);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    read_registry(&mut cluster, vec![entry("m1", "active")]);
    let shard = layout().shard_of(&service_key("pool"));
    let leader = cluster.leader(shard).expect("a leader");
    let survivor = if leader == "node-1" {
        "node-2"
    } else {
        "node-1"
    };
    let mut agent = follow_service(&mut cluster, survivor);
    cluster.kill(&leader);
    cluster.run_until(Duration::from_secs(4), "leaders", Cluster::has_leaders);
    read_registry(&mut cluster, vec![entry("m1", "draining")]);
    agent.receive(&mut cluster);
    assert_eq!(
        states(&agent),
        [("m1".to_owned(), BackendState::BackendDraining)]
    );
}

fn claim(attempt: &str) -> command::Kind {
    command::Kind::Claim(Claim {
        tenant: "a".to_owned(),
        request_id: "request".to_owned(),
        attempt_id: attempt.to_owned(),
        digest: vec![1],
    })
}

/// Claims the request for an attempt. Returns whether the claim is granted, and the outcome of the
/// earlier attempt.
fn request_claim(
    agent: &mut TestAgent,
    cluster: &mut Cluster,
    attempt: &str,
) -> (bool, RunOutcome) {
    let shard = layout().shard_of(&tenant_key("a"));
    agent.propose(cluster, shard, claim(attempt));
    let reply = agent.reply(cluster);
    let Some(shard_reply::Kind::Result(result)) = reply.kind else {
        panic!("unexpected reply to a claim: {reply:?}");
    };
    let Some(command_result::Kind::Claim(claim)) = result.kind else {
        panic!("unexpected result of a claim: {result:?}");
    };
    (claim.granted, claim.outcome())
}

#[test]
fn a_claim_is_granted_to_only_one_attempt_across_nodes_and_leader_changes() {
    for seed in 1..=10 {
        let mut cluster = cluster_with_leaders(3, seed);
        let mut agents = ["node-1", "node-2", "node-3"].map(|node| {
            TestAgent::connect(&mut cluster, &format!("agent-{node}"), node, ShardId(0))
        });
        assert!(request_claim(&mut agents[0], &mut cluster, "first").0);
        assert!(
            request_claim(&mut agents[1], &mut cluster, "first").0,
            "the same attempt may claim again"
        );
        assert!(!request_claim(&mut agents[2], &mut cluster, "second").0);
        let shard = layout().shard_of(&tenant_key("a"));
        let leader = cluster.leader(shard).expect("a leader");
        cluster.kill(&leader);
        let other = agents
            .iter()
            .position(|agent| !agent.name.ends_with(&leader))
            .expect("an agent at another node");
        // Requested while the shard has no leader: the reply comes after the election.
        let refused = request_claim(&mut agents[other], &mut cluster, "third");
        assert_eq!(refused, (false, RunOutcome::RunUnknown), "seed {seed}");
        let settle = command::Kind::ResolveClaim(ResolveClaim {
            tenant: "a".to_owned(),
            request_id: "request".to_owned(),
            attempt_id: "first".to_owned(),
            outcome: RunOutcome::RunCompleted.into(),
        });
        agents[other].propose(&mut cluster, shard, settle);
        assert_eq!(agents[other].reply(&mut cluster).code, 0);
        let known = request_claim(&mut agents[other], &mut cluster, "fourth");
        assert_eq!(known, (false, RunOutcome::RunCompleted), "seed {seed}");
    }
}

fn request_quota(cluster: &mut Cluster, agent: &mut TestAgent, request_id: u64) -> QuotaReply {
    let shard = layout().shard_of(&tenant_key("a"));
    let request = QuotaRequest {
        shard: shard.0,
        request_id,
        member: agent.name.clone(),
        epoch: 1,
        tenants: vec![TenantQuotaRequest {
            tenant: "a".to_owned(),
            tokens: 4,
            ..TenantQuotaRequest::default()
        }],
    };
    let body = Some(frame::Body::QuotaRequest(request));
    cluster.send(&agent.end, Frame { body });
    cluster.run(Duration::from_millis(20));
    let frames = cluster.take_frames(&agent.end);
    let mut replies = frames.into_iter().filter_map(|frame| match frame.body {
        Some(frame::Body::QuotaReply(reply)) => Some(reply),
        _ => None,
    });
    replies.next_back().expect("a quota reply")
}

#[test]
fn a_quota_limits_the_agents_of_all_nodes_together() {
    let mut cluster = cluster_with_leaders(3, 3);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    cluster.run(Duration::from_secs(6));
    let mut agents = ["node-1", "node-2", "node-3"]
        .map(|node| TestAgent::connect(&mut cluster, &format!("agent-{node}"), node, ShardId(0)));
    let began = cluster.now;
    let mut tokens = 0;
    for round in 0..12u64 {
        let agent = &mut agents[round as usize % 3];
        let reply = request_quota(&mut cluster, agent, round + 1);
        assert_eq!(reply.code, 0, "{reply:?}");
        assert_eq!(reply.request_id, round + 1);
        tokens += reply.grants[0].tokens;
    }
    // The tenant's quota: a burst of 20, and 10 per second.
    let seconds = cluster.now.since(began).as_secs_f64();
    let most = 20.0 + 10.0 * seconds;
    assert!(f64::from(tokens) <= most, "{tokens} tokens in {seconds} s");
    assert!(
        tokens >= 20,
        "a tenant under its quota gets its burst: {tokens}"
    );
    let last = request_quota(&mut cluster, &mut agents[0], 99);
    assert!(
        last.grants[0].refused || last.grants[0].retry_after_ms > 0,
        "{last:?}"
    );
}

#[test]
fn a_leader_without_the_tenants_quota_yet_does_not_refuse_its_requests() {
    for seed in 1..=40 {
        let mut cluster = cluster_with_leaders(3, seed);
        accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
        for address in ["node-1", "node-2", "node-3"] {
            cluster.kill(address);
        }
        for address in ["node-1", "node-2", "node-3"] {
            cluster.boot(address);
        }
        let mut agents = ["node-1", "node-2", "node-3"].map(|node| {
            TestAgent::connect(&mut cluster, &format!("agent-{node}"), node, ShardId(0))
        });
        let mut granted = 0;
        for round in 1..=90 {
            let agent = &mut agents[round as usize % 3];
            let reply = request_quota(&mut cluster, agent, round);
            for grant in &reply.grants {
                assert!(!grant.refused, "seed {seed}, round {round}: {reply:?}");
                granted += grant.tokens;
            }
            if granted > 0 {
                break;
            }
        }
        assert!(granted > 0, "seed {seed}: nothing was granted");
    }
}

#[test]
fn load_reports_are_merged_into_a_load_snapshot_for_every_node_and_a_placement_is_set() {
    let mut cluster = cluster_with_leaders(3, 4);
    accept(&mut cluster, "node-1", 0, "one", document(&["a"]));
    read_registry(
        &mut cluster,
        vec![entry("m1", "active"), entry("m2", "active")],
    );
    let shard = layout().shard_of(&service_key("pool"));
    let agents = ["node-1", "node-2", "node-3"]
        .map(|node| TestAgent::connect(&mut cluster, &format!("agent-{node}"), node, ShardId(0)));
    for agent in &agents {
        let report = LoadReport {
            member: agent.name.clone(),
            epoch: 1,
            service: "pool".to_owned(),
            shard: shard.0,
            loads: vec![ReplicaLoad {
                backend_id: "m1".to_owned(),
                model: "saga".to_owned(),
                version: "1".to_owned(),
                decode_streams: 2,
                ..ReplicaLoad::default()
            }],
        };
        let body = Some(frame::Body::LoadReport(report));
        cluster.send(&agent.end, Frame { body });
    }
    cluster.run(Duration::from_millis(800));
    for agent in &agents {
        let frames = cluster.take_frames(&agent.end);
        let mut load_snapshots = frames.into_iter().filter_map(|frame| match frame.body {
            Some(frame::Body::LoadSnapshot(snapshot)) => Some(snapshot),
            _ => None,
        });
        let snapshot = load_snapshots
            .next_back()
            .unwrap_or_else(|| panic!("no load snapshot for {}", agent.name));
        let load = snapshot
            .loads
            .iter()
            .find(|load| load.backend_id == "m1")
            .expect("m1");
        assert_eq!(load.decode_streams, 6, "{}", agent.name);
    }
    let mut follower = follow_service(&mut cluster, "node-2");
    cluster.run(Duration::from_secs(3));
    follower.receive(&mut cluster);
    let placement = follower.view.items().get("placement/pool");
    let Some(Kind::Placement(placement)) = placement.and_then(|value| value.kind.as_ref()) else {
        panic!("no placement");
    };
    let leader = cluster.leader(shard).expect("a leader");
    let term = cluster
        .node(&leader)
        .core(shard)
        .expect("a core")
        .status()
        .term;
    assert_eq!(placement.epoch, term, "the epoch is the leader's term");
}

#[test]
fn leaderships_are_rebalanced_after_a_node_restarted() {
    let mut cluster = cluster_with_leaders(3, 8);
    cluster.kill("node-1");
    cluster.kill("node-2");
    cluster.run(Duration::from_secs(1));
    cluster.boot("node-2");
    cluster.run_until(Duration::from_secs(4), "leaders", Cluster::has_leaders);
    cluster.boot("node-1");
    cluster.run(Duration::from_mins(1));
    let leaders: std::collections::BTreeSet<_> = (0..=2)
        .map(|shard| cluster.leader(ShardId(shard)).expect("a leader"))
        .collect();
    assert!(leaders.len() >= 2, "one node leads everything: {leaders:?}");
}
