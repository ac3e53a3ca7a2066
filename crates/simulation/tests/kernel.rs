//! Unit tests of the kernel, the simulated files and the network tables.

use millford_core::MonotonicTime;
use millford_simulation::disk::file::DiskFile;
use millford_simulation::kernel::{EventQueue, ProcessClock, TraceHash};
use millford_simulation::network::{
    Direction, Links, MachineId, Packet, PartitionTable, ProcessId,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[test]
fn events_are_popped_by_time_then_by_insertion() {
    let mut queue = EventQueue::default();
    queue.push(MonotonicTime::from_millis(2), "late");
    queue.push(MonotonicTime::from_millis(1), "first");
    queue.push(MonotonicTime::from_millis(1), "second");
    let order: Vec<_> = std::iter::from_fn(|| queue.pop().map(|(_, event)| event)).collect();
    assert_eq!(order, ["first", "second", "late"]);
}

#[test]
fn clocks_jump_ahead_and_never_step_back() {
    let start = MonotonicTime::from_millis(10);
    let mut clock = ProcessClock::new(start, MonotonicTime::from_millis(500), 1000);
    let later = MonotonicTime::from_millis(1010);
    assert_eq!(clock.local(later), MonotonicTime::from_millis(1501));
    clock.jump(later, 3_000_000);
    assert_eq!(clock.local(later), MonotonicTime::from_millis(4501));
    clock.set_drift(later, -1000);
    assert_eq!(clock.local(later), MonotonicTime::from_millis(4501));
}

#[test]
fn the_trace_hash_depends_on_order() {
    let mut one = TraceHash::default();
    one.add(1, 1, b"a");
    one.add(2, 1, b"b");
    let mut other = TraceHash::default();
    other.add(2, 1, b"b");
    other.add(1, 1, b"a");
    assert_ne!(one.value(), other.value());
}

#[test]
fn a_power_loss_keeps_synced_bytes() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut file = DiskFile::default();
        file.append(b"synced");
        file.sync();
        file.append(&[7; 2000]);
        file.lose_power(&mut random);
        let left = file.current().expect("a synced file survives a power loss");
        assert!(left.starts_with(b"synced"), "seed {seed}: {left:?}");
        assert!(left.len() <= 2006, "seed {seed}: {} bytes", left.len());
    }
}

#[test]
fn partitions_are_directed_and_counted() {
    let mut partitions = PartitionTable::default();
    let (one, other) = (MachineId::ControlNode(1), MachineId::ProxyNode(1));
    partitions.partition(one, other);
    partitions.partition(one, other);
    partitions.heal(one, other);
    assert!(partitions.is_partitioned(one, other));
    assert!(!partitions.is_partitioned(other, one));
    assert!(!partitions.is_passable(other, one));
    partitions.heal(one, other);
    assert!(partitions.is_passable(one, other));
}

#[test]
fn a_connection_never_reorders() {
    let mut links = Links::default();
    let number = links.connect(ProcessId::Agent(1), 1, ProcessId::Control(1));
    let early = MonotonicTime::from_millis(1);
    let late = MonotonicTime::from_millis(9);
    let packet = Packet::End;
    let first = links.send(number, Direction::Forward, packet.clone(), late);
    let second = links.send(number, Direction::Forward, packet, early);
    assert_eq!(first, Some(late));
    assert_eq!(second, Some(late));
}
