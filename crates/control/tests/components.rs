//! Components of the control node in isolation: repair, stall detection, load snapshots, pending
//! requests, events of moves, and the maintenance schedule.

use std::time::Duration;

use millford_api::internal::{ReplicaLoad, ShardRequest};
use millford_control::LinkId;
use millford_control::NodeEvent;
use millford_control::gateway::pending_requests::{Origin, PendingRequests, refusal};
use millford_control::gateway::stall_detector::StallDetector;
use millford_control::shard::load_snapshot_publisher::LoadSnapshotPublisher;
use millford_control::shard::maintenance::MaintenanceSchedule;
use millford_control::shard::move_events::MoveEvents;
use millford_control::shard::repair::{GroupView, RepairPolicy, RepairStep, ReplicaView};
use millford_control::shard::{Departure, MemberStatus, MemberView};
use millford_core::{MonotonicTime, NodeId, ResultCode, ShardId};
use millford_placement::{Move, MoveReason, ReplicaKey};

const REPAIR: RepairPolicy = RepairPolicy {
    replace_after: Duration::from_secs(5),
    voters: 3,
};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn replica(node: u64, last_contact: u64, caught_up: bool) -> ReplicaView {
    ReplicaView {
        node: NodeId(node),
        last_contact: at(last_contact),
        caught_up,
    }
}

fn members(standbys: &[u64]) -> MemberView {
    let mut view = MemberView::default();
    for node in [1, 2, 3].iter().chain(standbys) {
        let member = MemberStatus {
            registered: true,
            connected: true,
            departure: Departure::None,
        };
        view.members.insert(NodeId(*node), member);
    }
    view
}

fn decide(group: &GroupView, members: &MemberView) -> Option<RepairStep> {
    REPAIR.decide(at(10_000), NodeId(1), group, members)
}

#[test]
fn a_learner_catches_up_before_the_lost_voter_is_removed_and_is_promoted_after() {
    let mut group = GroupView {
        voters: vec![
            replica(1, 10_000, true),
            replica(2, 9_900, true),
            replica(3, 5_000, false),
        ],
        learners: Vec::new(),
    };
    let view = members(&[4]);
    assert_eq!(
        decide(&group, &view),
        Some(RepairStep::AddLearner(NodeId(4)))
    );
    group.learners = vec![replica(4, 9_900, false)];
    assert_eq!(decide(&group, &view), None, "the learner has not caught up");
    group.learners = vec![replica(4, 9_900, true)];
    assert_eq!(decide(&group, &view), Some(RepairStep::Remove(NodeId(3))));
    group.voters.pop();
    assert_eq!(decide(&group, &view), Some(RepairStep::Promote(NodeId(4))));
}

/// Guards against a group that waits until a voter that shuts down is silent for long: a second planned replacement in the
/// meantime costs the quorum for good (review/4).
#[test]
fn a_voter_that_shuts_down_is_replaced_at_once_if_there_is_a_standby() {
    let mut group = GroupView {
        voters: vec![
            replica(1, 10_000, true),
            replica(2, 9_900, true),
            replica(3, 9_900, true),
        ],
        learners: Vec::new(),
    };
    let leaving = |standbys: &[u64], node: u64| {
        let mut view = members(standbys);
        view.members.entry(NodeId(node)).or_default().departure = Departure::Announced;
        view
    };
    assert_eq!(decide(&group, &leaving(&[], 3)), None, "no standby");
    assert_eq!(decide(&group, &leaving(&[4], 4)), None, "a standby leaves");
    let view = leaving(&[4, 5], 3);
    assert_eq!(
        decide(&group, &view),
        Some(RepairStep::AddLearner(NodeId(4)))
    );
    group.learners.push(replica(4, 10_000, true));
    assert_eq!(decide(&group, &view), Some(RepairStep::Remove(NodeId(3))));
}

#[test]
fn no_repair_without_a_standby_or_without_a_lost_voter() {
    let lost = GroupView {
        voters: vec![
            replica(1, 10_000, true),
            replica(2, 9_900, true),
            replica(3, 5_000, false),
        ],
        learners: Vec::new(),
    };
    assert_eq!(decide(&lost, &members(&[])), None);
    let unresponsive_for_less = GroupView {
        voters: vec![
            replica(1, 10_000, true),
            replica(2, 9_900, true),
            replica(3, 5_001, false),
        ],
        learners: Vec::new(),
    };
    assert_eq!(decide(&unresponsive_for_less, &members(&[4])), None);
}

#[test]
fn a_learner_is_removed_when_the_lost_voter_returned_or_the_learner_is_lost() {
    let voters = vec![
        replica(1, 10_000, true),
        replica(2, 9_900, true),
        replica(3, 9_900, true),
    ];
    let voter_returned = GroupView {
        voters: voters.clone(),
        learners: vec![replica(4, 9_900, true)],
    };
    assert_eq!(
        decide(&voter_returned, &members(&[4])),
        Some(RepairStep::Remove(NodeId(4)))
    );
    let learner_lost = GroupView {
        voters,
        learners: vec![replica(4, 4_000, false)],
    };
    assert_eq!(
        decide(&learner_lost, &members(&[4])),
        Some(RepairStep::Remove(NodeId(4)))
    );
}

#[test]
fn a_core_without_reports_counts_as_stalled_until_the_next_report() {
    let mut stall_detector = StallDetector::default();
    stall_detector.record_report(at(0), ShardId(0));
    stall_detector.record_report(at(900), ShardId(1));
    stall_detector.tick(at(999));
    assert!(!stall_detector.any_stalled(), "{stall_detector:?}");
    stall_detector.tick(at(1000));
    assert!(
        stall_detector.any_stalled(),
        "shard 0 has not reported for a second"
    );
    stall_detector.record_report(at(1010), ShardId(0));
    stall_detector.tick(at(1020));
    assert!(!stall_detector.any_stalled(), "{stall_detector:?}");
}

fn load(backend: &str, streams: u32) -> ReplicaLoad {
    ReplicaLoad {
        backend_id: backend.to_owned(),
        model: "saga".to_owned(),
        decode_streams: streams,
        ..ReplicaLoad::default()
    }
}

#[test]
fn a_load_snapshot_carries_differences_and_lists_removed_replicas_as_idle() {
    let mut publisher = LoadSnapshotPublisher::default();
    let first = publisher.difference(at(20_000), "pool", vec![load("a", 1), load("b", 2)]);
    assert_eq!(first.len(), 2);
    let second = publisher.difference(at(20_500), "pool", vec![load("a", 1), load("b", 3)]);
    assert_eq!(second, [load("b", 3)]);
    let third = publisher.difference(at(21_000), "pool", vec![load("a", 1)]);
    assert_eq!(third, [load("b", 0)]);
    let full = publisher.difference(at(31_000), "pool", vec![load("a", 1)]);
    assert_eq!(full, [load("a", 1)], "a full snapshot after 10 s");
}

#[test]
fn large_load_snapshots_are_published_less_often() {
    let mut publisher = LoadSnapshotPublisher::default();
    publisher.record_sent(at(0), 100);
    assert!(publisher.is_due(at(500)), "{publisher:?}");
    publisher.record_sent(at(1000), 100_000);
    assert!(!publisher.is_due(at(30_000)), "{publisher:?}");
}

#[test]
fn load_snapshots_of_a_small_site_are_published_more_often_within_budget() {
    let mut publisher = LoadSnapshotPublisher::default();
    publisher.set_site_size(16, 16);
    publisher.record_sent(at(0), 100);
    assert!(!publisher.is_due(at(249)), "{publisher:?}");
    assert!(publisher.is_due(at(250)), "{publisher:?}");
    publisher.record_sent(at(1000), 768);
    assert!(!publisher.is_due(at(1999)), "768 bytes per second");
    assert!(publisher.is_due(at(2000)), "{publisher:?}");
    for (backends, nodes) in [(17, 16), (16, 17)] {
        publisher.set_site_size(backends, nodes);
        publisher.record_sent(at(3000), 100);
        assert!(
            !publisher.is_due(at(3499)),
            "{backends} backends, {nodes} nodes"
        );
        publisher.record_sent(at(4000), 512);
        assert!(!publisher.is_due(at(4999)), "{publisher:?}");
    }
}

fn submit(requests: &mut PendingRequests, forwarded: bool) -> u64 {
    let origin = Origin::Link {
        link: LinkId(1),
        request_id: 77,
    };
    let request = ShardRequest::default();
    let timeout = Duration::from_secs(2);
    if forwarded {
        requests.submit_forwarded(at(0), origin, request, timeout)
    } else {
        requests.submit(at(0), origin, request, timeout)
    }
}

#[test]
fn a_misdirected_request_is_retried_at_the_hinted_leader_and_a_forwarded_one_is_returned() {
    let mut requests = PendingRequests::default();
    let correlation_id = submit(&mut requests, false);
    assert_eq!(requests.take_due(at(0)).len(), 1);
    let wrong = refusal(&ShardRequest::default(), ResultCode::NotLeader, NodeId(5));
    assert!(
        requests
            .answer(at(10), correlation_id, wrong.clone())
            .is_none()
    );
    let again = requests.take_due(at(100));
    assert_eq!((again.len(), again[0].hint), (1, NodeId(5)));

    let mut requests = PendingRequests::default();
    let correlation_id = submit(&mut requests, true);
    assert_eq!(requests.take_due(at(0)).len(), 1);
    assert!(requests.take_due(at(1500)).is_empty(), "not retried");
    let completed = requests
        .answer(at(1510), correlation_id, wrong)
        .expect("the refusal is returned to the forwarding node");
    assert_eq!(completed.reply.leader_hint, 5);
}

#[test]
fn a_request_without_a_reply_is_resent_and_times_out_at_its_deadline() {
    let mut requests = PendingRequests::default();
    submit(&mut requests, false);
    assert_eq!(requests.take_due(at(0)).len(), 1);
    let due = requests.take_due(at(600));
    assert!(due.is_empty(), "{due:?}");
    assert_eq!(requests.take_due(at(700)).len(), 1);
    let due = requests.take_overdue(at(1999));
    assert!(due.is_empty(), "{due:?}");
    let overdue = requests.take_overdue(at(2000));
    assert_eq!(overdue.len(), 1);
    assert_eq!(overdue[0].reply.code, ResultCode::ControlTimeout.number());
    assert!(requests.is_empty(), "{requests:?}");
}

#[test]
fn moves_are_reported_once_and_a_large_plan_is_counted() {
    let moves_of = |count: usize| -> Vec<Move> {
        let steps = (0..count).map(|number| Move {
            replica: ReplicaKey::new(&format!("b{number:02}"), "m", "1"),
            reason: MoveReason::TransitionDeferred,
        });
        steps.collect()
    };
    let mut move_events = MoveEvents::default();
    assert_eq!(move_events.of_plan("pool", &moves_of(2)).len(), 2);
    assert!(
        move_events.of_plan("pool", &moves_of(2)).is_empty(),
        "moves of the previous plan are not reported again"
    );
    assert!(move_events.of_plan("pool", &[]).is_empty());
    let many = move_events.of_plan("pool", &moves_of(50));
    assert_eq!(many.len(), 9);
    let rest = NodeEvent::MorePlacements {
        pool: "pool".to_owned(),
        more: 42,
    };
    assert_eq!(many[8], rest);
}

#[test]
fn stalled_time_is_the_tick_gap_beyond_its_maximum() {
    let mut maintenance = MaintenanceSchedule::new(at(0));
    assert_eq!(maintenance.stalled_time(at(20)), None);
    assert_eq!(
        maintenance.stalled_time(at(120)),
        None,
        "a gap of 100 ms is no stall"
    );
    let lost = maintenance.stalled_time(at(1120));
    assert_eq!(lost, Some(Duration::from_millis(900)));
    assert_eq!(maintenance.stalled_time(at(1140)), None, "reported once");
}
