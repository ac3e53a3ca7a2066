//! An entry of an earlier term is not committed because a quorum holds it: a leader of a later term
//! than the entry's may still replace it.

mod group;

use group::simulation::Defect;
use group::world::{Action, World};

const A: usize = 0;
const B: usize = 1;
const C: usize = 2;

/// A leads and its entry stays alone; B leads with C's vote and its entry of the same index stays
/// alone; A leads again and brings its old entry, and no more, to C.
fn old_entry_on_a_quorum() -> World {
    let mut world = World::new(Defect::None);
    for machine in &mut world.machines {
        // One entry in a message, so that the old one goes alone.
        machine.limits.append_bytes = 1;
    }
    for position in [A, B, C] {
        world.act(Action::Crash(position));
    }
    world.elect(A, C);
    world.elect(B, C);
    world.elect(A, C);
    assert_eq!(world.history.elections, 3);
    world
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    let mut world = old_entry_on_a_quorum();
    let old = entry_term(&world, A, 2);
    // The probe, its refusal, and the old entry until C holds it.
    while entry_term(&world, C, 2).is_none() {
        deliver_between(&mut world, A, C);
    }
    deliver_between(&mut world, C, A);
    assert_eq!(entry_term(&world, C, 2), old);
    assert!(entry_term(&world, C, 3).is_none());
    // B's entry is of a later term, so that C may vote for B, which replaces the old one.
    world.elect(B, C);
    world.act(Action::Propose(B));
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
    world.act(Action::Deliver(index.expect("a message is in transit")));
}
