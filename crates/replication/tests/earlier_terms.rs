//! An entry of an earlier term is not committed merely because a quorum holds it: a later leader
//! may still replace it (Raft thesis, section 3.6.2).

mod group;

use group::simulation::Defect;
use group::world::{Action, World};

const A: usize = 0;
const B: usize = 1;
const C: usize = 2;

/// Returns a group in which A leads again and has an entry of an earlier term to send to C.
///
/// A leads first, and its entry reaches no other replica. B then leads with C's vote, and its entry
/// at the same index reaches no other replica either. Last, A is elected again with C's vote.
fn leader_with_entry_of_an_earlier_term() -> World {
    let mut world = World::new(Defect::None);
    for machine in &mut world.machines {
        // One entry per message, so that the old entry is sent without newer ones.
        machine.limits.append_bytes = 1;
    }
    for position in [A, B, C] {
        world.apply(Action::Crash(position));
    }
    world.elect(A, C);
    world.elect(B, C);
    world.elect(A, C);
    assert_eq!(world.history.elections, 3);
    world
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    let mut world = leader_with_entry_of_an_earlier_term();
    let old = entry_term(&world, A, 2);
    // Delivers the probe, its rejection and the old entry, until C holds that entry.
    while entry_term(&world, C, 2).is_none() {
        deliver_between(&mut world, A, C);
    }
    deliver_between(&mut world, C, A);
    assert_eq!(entry_term(&world, C, 2), old);
    assert!(entry_term(&world, C, 3).is_none());
    // B's entry has a later term than the old one, so C may vote for B, which then replaces the old
    // entry.
    world.elect(B, C);
    world.apply(Action::Propose(B));
    world.exchange(B, C);
    assert!(world.history.committed_index() > 2);
    assert_ne!(entry_term(&world, C, 2), old);
    assert_eq!(world.history.violations, Vec::<String>::new());
}

fn entry_term(world: &World, position: usize, index: u64) -> Option<u64> {
    let replica = world.machines[position].replica.as_ref();
    replica.and_then(|replica| replica.storage().term_at(index))
}

/// Delivers one message between two replicas.
fn deliver_between(world: &mut World, left: usize, right: usize) {
    let pair = [group::world::NODES[left], group::world::NODES[right]];
    let index = world
        .in_transit
        .iter()
        .position(|message| pair.contains(&message.from) && pair.contains(&message.to));
    world.apply(Action::Deliver(index.expect("a message is in transit")));
}
