//! The directory of control nodes, formation and replica groups.

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
fn only_the_smallest_identity_forms_and_only_with_every_seed() {
    let mut smallest = Formation::new(member(1, "a:1"), seeds());
    smallest.record_response(NOW, "b:1", empty(2, "b:1"));
    assert_eq!(smallest.decide(NOW), FormationDecision::Wait);
    smallest.record_response(NOW, "c:1", empty(3, "c:1"));
    let FormationDecision::Form(members) = smallest.decide(NOW) else {
        panic!("it forms");
    };
    let identities: Vec<u64> = members.iter().map(|member| member.node_id).collect();
    assert_eq!(identities, [1, 2, 3]);

    let mut larger = Formation::new(member(2, "b:1"), seeds());
    larger.record_response(NOW, "a:1", empty(1, "a:1"));
    larger.record_response(NOW, "c:1", empty(3, "c:1"));
    assert_eq!(larger.decide(NOW), FormationDecision::Wait);
}

#[test]
fn an_expired_or_disconnected_response_does_not_count() {
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
fn one_seed_with_state_makes_the_node_join() {
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
fn two_seeds_with_one_identity_never_form() {
    let mut formation = Formation::new(member(1, "a:1"), seeds());
    formation.record_response(NOW, "b:1", empty(2, "b:1"));
    formation.record_response(NOW, "c:1", empty(2, "c:1"));
    assert_eq!(formation.decide(NOW), FormationDecision::Wait);
}

#[test]
fn a_node_that_is_no_seed_never_forms() {
    let mut formation = Formation::new(member(1, "d:1"), seeds());
    for (address, identity) in [("a:1", 2), ("b:1", 3), ("c:1", 4)] {
        formation.record_response(NOW, address, empty(identity, address));
    }
    assert_eq!(formation.decide(NOW), FormationDecision::Wait);
}

#[test]
fn a_new_identity_takes_the_address_of_the_old_one() {
    let mut directory = MemberDirectory::default();
    assert!(directory.introduce(&member(1, "a:1")));
    assert!(!directory.introduce(&member(1, "a:1")), "nothing new");
    assert!(directory.introduce(&member(9, "a:1")));
    assert_eq!(directory.at_address("a:1"), Some(NodeId(9)));
    assert_eq!(directory.get(NodeId(1)), None);
}

#[test]
fn reports_of_others_override_nothing_known_and_a_removed_node_stays_out() {
    let mut directory = MemberDirectory::default();
    directory.introduce(&member(1, "a:1"));
    assert!(!directory.learn_of(&member(1, "b:1")), "it said so itself");
    assert!(
        !directory.learn_of(&member(2, "a:1")),
        "the address is taken"
    );
    assert!(directory.learn_of(&member(2, "b:1")));
    directory.remove(NodeId(2));
    assert!(!directory.introduce(&member(2, "b:1")));
    assert!(directory.is_removed(NodeId(2)));
}

#[test]
fn replica_groups_agree_whatever_the_order_and_spread_over_the_nodes() {
    let nodes: Vec<NodeId> = (1..=6).map(NodeId).collect();
    let backwards: Vec<NodeId> = nodes.iter().rev().copied().collect();
    let mut used = std::collections::BTreeSet::new();
    for shard in 0..12 {
        let group = replica_group(&nodes, ShardId(shard), 3);
        assert_eq!(group, replica_group(&backwards, ShardId(shard), 3));
        assert_eq!(group.len(), 3);
        used.extend(group);
    }
    assert_eq!(used.len(), 6);
}
