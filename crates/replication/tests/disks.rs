//! Replicas on disks that are full, fail, or belong to another identity.

mod group;

use group::fixture::{SECOND, group_with_leader};
use group::simulation::Simulation;
use group::support::crash_disk::{CrashDisk, Faults};
use millford_core::{MonotonicTime, NodeId, ShardId};
use millford_replication::{OpenError, Replica, ReplicaOptions, SnapshotError};
use millford_storage::{ReplicaStorage, StorageError, StorageOptions};

fn set_space(simulation: &Simulation, node: NodeId, space_left: Option<u64>) {
    simulation.machines[&node].disk.set_faults(Faults {
        space_left,
        ..Faults::default()
    });
}

fn propose(simulation: &mut Simulation, node: NodeId) {
    let replica = simulation.running_replica(node);
    replica.propose(b"command".to_vec()).expect("leads");
}

#[test]
fn a_leader_with_a_full_disk_steps_down_and_catches_up_once_there_is_space() {
    let (mut simulation, leader) = group_with_leader(1, 3);
    set_space(&simulation, leader, Some(10));
    propose(&mut simulation, leader);
    simulation.step();
    assert_eq!(simulation.leaders(), []);
    simulation.run_for(SECOND * 3);
    let next = simulation.leaders()[0];
    assert_ne!(next, leader);
    for _ in 0..5 {
        propose(&mut simulation, next);
        simulation.run_for(SECOND);
    }
    let applied = simulation.machines[&next].applied_index;
    assert!(simulation.machines[&leader].applied_index < applied);
    set_space(&simulation, leader, None);
    simulation.run_for(SECOND * 2);
    assert_eq!(simulation.machines[&leader].applied_index, applied);
    assert_eq!(simulation.history.violations, Vec::<String>::new());
}

#[test]
fn a_snapshot_that_does_not_fit_on_the_disk_leaves_the_replica_usable() {
    let (mut simulation, leader) = group_with_leader(2, 3);
    set_space(&simulation, leader, Some(0));
    let applied = simulation.machines[&leader].applied_index;
    let replica = simulation.running_replica(leader);
    let rejected = replica.save_snapshot(applied, vec![1; 100]);
    assert!(matches!(
        rejected,
        Err(SnapshotError::Storage(StorageError::Full { .. }))
    ));
    let not_delivered = replica.save_snapshot(applied + 1, Vec::new());
    assert_eq!(not_delivered, Err(SnapshotError::NotDelivered));
    set_space(&simulation, leader, None);
    let replica = simulation.running_replica(leader);
    replica
        .save_snapshot(applied, vec![1; 100])
        .expect("space again");
    let repeated = replica.save_snapshot(applied, vec![1; 100]);
    assert_eq!(repeated, Err(SnapshotError::Outdated));
}

#[test]
fn a_replica_whose_sync_failed_is_unusable_and_sends_no_messages() {
    let (mut simulation, leader) = group_with_leader(3, 3);
    let disk = simulation.machines[&leader].disk.clone();
    disk.set_faults(Faults {
        fail_sync: true,
        ..Faults::default()
    });
    propose(&mut simulation, leader);
    let now = simulation.now;
    let replica = simulation.running_replica(leader);
    assert!(matches!(replica.flush(now), Err(StorageError::Io { .. })));
    let syncs = disk.syncs();
    replica.tick(now + SECOND);
    assert!(replica.flush(now + SECOND).is_err());
    assert_eq!(disk.syncs(), syncs);
    simulation.run_for(SECOND * 3);
    assert_ne!(simulation.leaders()[0], leader);
}

#[test]
fn storage_of_another_identity_is_rejected() {
    let disk = CrashDisk::default();
    let open = |node: u64| {
        let boxed = Box::new(disk.clone());
        let storage = ReplicaStorage::open(boxed, StorageOptions::default()).expect("opens");
        let options = ReplicaOptions::new(NodeId(node), ShardId(0), 1);
        Replica::open(options, storage, MonotonicTime::ZERO)
    };
    let mut first = open(1).expect("empty");
    first
        .flush(MonotonicTime::ZERO)
        .expect("stores the identity");
    drop(first);
    open(1).expect("its own disk");
    let foreign = open(2).err();
    assert_eq!(
        foreign,
        Some(OpenError::ForeignStorage { owner: NodeId(1) })
    );
    assert_eq!(open(0).err(), Some(OpenError::NodeIdMissing));
}
