//! Which machines cannot reach which others now.

use std::collections::BTreeMap;

use crate::network::process_id::MachineId;

/// Directed partitions, counted so that overlapping faults heal one by one.
#[derive(Default)]
pub struct PartitionTable {
    partitions: BTreeMap<(MachineId, MachineId), u32>,
}

impl PartitionTable {
    /// Packets from `from` to `to` vanish from now on.
    pub fn partition(&mut self, from: MachineId, to: MachineId) {
        *self.partitions.entry((from, to)).or_default() += 1;
    }

    /// Ends one partition of the direction.
    pub fn heal(&mut self, from: MachineId, to: MachineId) {
        let Some(count) = self.partitions.get_mut(&(from, to)) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.partitions.remove(&(from, to));
        }
    }

    /// Whether packets from `from` to `to` vanish.
    #[must_use]
    pub fn is_partitioned(&self, from: MachineId, to: MachineId) -> bool {
        self.partitions.contains_key(&(from, to))
    }

    /// Whether a connection between the two makes progress: TCP needs both directions.
    #[must_use]
    pub fn is_passable(&self, one: MachineId, other: MachineId) -> bool {
        !self.is_partitioned(one, other) && !self.is_partitioned(other, one)
    }
}
