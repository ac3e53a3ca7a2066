//! Active network partitions.

use std::collections::BTreeMap;

use crate::network::process_id::MachineId;

/// Number of active partitions per direction between two machines. Counted, so that overlapping faults
/// end independently.
#[derive(Default)]
pub struct PartitionTable {
    partitions: BTreeMap<(MachineId, MachineId), u32>,
}

impl PartitionTable {
    /// Starts a partition: packets from `from` to `to` are dropped.
    pub fn partition(&mut self, from: MachineId, to: MachineId) {
        *self.partitions.entry((from, to)).or_default() += 1;
    }

    /// Ends one partition in this direction.
    pub fn heal(&mut self, from: MachineId, to: MachineId) {
        let Some(count) = self.partitions.get_mut(&(from, to)) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.partitions.remove(&(from, to));
        }
    }

    /// Returns whether packets from `from` to `to` are dropped.
    #[must_use]
    pub fn is_partitioned(&self, from: MachineId, to: MachineId) -> bool {
        self.partitions.contains_key(&(from, to))
    }

    /// Returns whether neither direction is partitioned; opening a TCP connection needs both.
    #[must_use]
    pub fn is_passable(&self, one: MachineId, other: MachineId) -> bool {
        !self.is_partitioned(one, other) && !self.is_partitioned(other, one)
    }
}
