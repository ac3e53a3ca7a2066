//! Tests of cluster formation, the member directory and replica groups.

use millford_api::state::ControlMember;
use millford_core::{MonotonicTime, NodeId, ShardId};
use millford_membership::formation::RESPONSE_VALIDITY;
use millford_membership::{
    Formation, FormationDecision, MemberDirectory, SeedResponse, replica_group,
};

fn member(node_id: u64, address: &str) -> ControlMember {
    ControlMember {
        node_id,
        internal_address: address.to_owned(),
        ..ControlMember::default()
    }
}

fn empty(node_id: u64, address: &str) -> SeedResponse {
    SeedResponse {
        member: member(node_id, address),
        cluster_id: 0,
    }
}

fn seeds() -> Vec<String> {
    ["a:1", "b:1", "c:1"].map(str::to_owned).to_vec()
}

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

#[test]
fn only_the_smallest_identity_forms_a_cluster_once_every_seed_responded() {
    let mut smallest = Formation::new(member(1, "a:1"), seeds());
    smallest.record_response(NOW, "b:1", empty(2, "b:1"));
    assert_eq!(smallest.decide(NOW), FormationDecision::Wait);
    smallest.record_response(NOW, "c:1", empty(3, "c:1"));
    let FormationDecision::Form(members) = smallest.decide(NOW) else {
        panic!("the smallest identity must form the cluster");
    };
    let identities: Vec<u64> = members.iter().map(|member| member.node_id).collect();
    assert_eq!(identities, [1, 2, 3]);

    let mut larger = Formation::new(member(2, "b:1"), seeds());
    larger.record_response(NOW, "a:1", empty(1, "a:1"));
    larger.record_response(NOW, "c:1", empty(3, "c:1"));
    assert_eq!(larger.decide(NOW), FormationDecision::Wait);
}

#[test]
fn responses_that_expired_or_whose_connection_was_lost_are_ignored() {
    let mut formation = Formation::new(member(1, "a:1"), seeds());
    formation.record_response(NOW, "b:1", empty(2, "b:1"));
    let later = NOW + RESPONSE_VALIDITY + RESPONSE_VALIDITY;
    formation.record_response(later, "c:1", empty(3, "c:1"));
    assert_eq!(formation.decide(later), FormationDecision::Wait);
    formation.record_response(later, "b:1", empty(2, "b:1"));
    formation.record_disconnect("c:1");
    assert_eq!(formation.decide(later), FormationDecision::Wait);
}

#[test]
fn a_node_joins_if_one_seed_has_cluster_state() {
    let mut formation = Formation::new(member(1, "a:1"), seeds());
    formation.record_response(NOW, "b:1", empty(2, "b:1"));
    let formed = SeedResponse {
        cluster_id: 77,
        ..empty(3, "c:1")
    };
    formation.record_response(NOW, "c:1", formed);
    assert_eq!(
        formation.decide(NOW),
        FormationDecision::Join { cluster_id: 77 }
    );
}

#[test]
fn a_duplicate_identity_prevents_formation() {
    let mut formation = Formation::new(member(1, "a:1"), seeds());
    formation.record_response(NOW, "b:1", empty(2, "b:1"));
    formation.record_response(NOW, "c:1", empty(2, "c:1"));
    assert_eq!(formation.decide(NOW), FormationDecision::Wait);
}

#[test]
fn a_node_that_is_not_a_seed_never_forms_a_cluster() {
    let mut formation = Formation::new(member(1, "d:1"), seeds());
    for (address, identity) in [("a:1", 2), ("b:1", 3), ("c:1", 4)] {
        formation.record_response(NOW, address, empty(identity, address));
    }
    assert_eq!(formation.decide(NOW), FormationDecision::Wait);
}

#[test]
fn a_new_identity_replaces_the_old_one_at_its_address() {
    let mut directory = MemberDirectory::default();
    assert!(directory.introduce(&member(1, "a:1")));
    assert!(
        !directory.introduce(&member(1, "a:1")),
        "the same report again changes nothing"
    );
    assert!(directory.introduce(&member(9, "a:1")));
    assert_eq!(directory.at_address("a:1"), Some(NodeId(9)));
    assert_eq!(directory.get(NodeId(1)), None);
}

#[test]
fn reports_by_others_replace_nothing_and_a_removed_node_is_not_added_again() {
    let mut directory = MemberDirectory::default();
    directory.introduce(&member(1, "a:1"));
    assert!(
        !directory.add_reported(&member(1, "b:1")),
        "the node's own report takes precedence"
    );
    assert!(
        !directory.add_reported(&member(2, "a:1")),
        "the address belongs to another identity"
    );
    assert!(directory.add_reported(&member(2, "b:1")));
    directory.remove(NodeId(2));
    assert!(!directory.introduce(&member(2, "b:1")));
    assert!(directory.is_removed(NodeId(2)));
}

#[test]
fn replica_groups_do_not_depend_on_the_order_and_use_all_nodes() {
    let nodes: Vec<NodeId> = (1..=6).map(NodeId).collect();
    let reversed: Vec<NodeId> = nodes.iter().rev().copied().collect();
    let mut used = std::collections::BTreeSet::new();
    for shard in 0..12 {
        let group = replica_group(&nodes, ShardId(shard), 3);
        assert_eq!(group, replica_group(&reversed, ShardId(shard), 3));
        assert_eq!(group.len(), 3);
        used.extend(group);
    }
    assert_eq!(used.len(), 6);
}
