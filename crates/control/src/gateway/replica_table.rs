//! The replicas that this node holds, as reported by their cores.

use std::collections::BTreeMap;

use millford_core::{MonotonicTime, NodeId, ShardId};

use super::stall_detector::StallDetector;
use crate::shard::ShardReplicaStatus;

/// Owns the status of each replica, and the detection of cores that stop reporting.
#[derive(Debug, Default)]
pub(super) struct ReplicaTable {
    statuses: BTreeMap<ShardId, ShardReplicaStatus>,
    stalls: StallDetector,
}

impl ReplicaTable {
    /// Status of each replica, by shard.
    pub(super) fn statuses(&self) -> &BTreeMap<ShardId, ShardReplicaStatus> {
        &self.statuses
    }

    /// Status of each replica, in order of shards.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ShardReplicaStatus> {
        self.statuses.values()
    }

    /// The shards whose replica this node holds.
    pub(super) fn shards(&self) -> Vec<ShardId> {
        self.statuses.keys().copied().collect()
    }

    /// Status of a shard's replica, if this node holds one.
    pub(super) fn get(&self, shard: ShardId) -> Option<&ShardReplicaStatus> {
        self.statuses.get(&shard)
    }

    /// Whether this node holds a replica of the shard.
    pub(super) fn holds(&self, shard: ShardId) -> bool {
        self.statuses.contains_key(&shard)
    }

    /// Whether this node holds no replica.
    pub(super) fn is_empty(&self) -> bool {
        self.statuses.is_empty()
    }

    /// Whether this node's replica leads the shard.
    pub(super) fn leads(&self, shard: ShardId) -> bool {
        self.get(shard).is_some_and(|replica| replica.leads)
    }

    /// The shard's leader known to this node's replica; [`NodeId::NONE`] if it is unknown or this
    /// node holds no replica.
    pub(super) fn leader_of(&self, shard: ShardId) -> NodeId {
        self.get(shard)
            .map_or(NodeId::NONE, |replica| replica.leader)
    }

    /// Whether this node holds a replica, not removed from its group, of each of the `shard_count`
    /// shards, the configuration shard has its quorum, and no core is stalled.
    pub(super) fn serves_all(&self, shard_count: usize) -> bool {
        let held = self.iter().filter(|replica| !replica.removed);
        let configuration = self.get(ShardId::CONFIGURATION);
        held.count() == shard_count
            && configuration.is_some_and(|replica| replica.has_quorum)
            && !self.stalls.any_stalled()
    }

    /// Adds a replica that is started, with an unknown status.
    pub(super) fn start(&mut self, shard: ShardId) {
        let unknown = ShardReplicaStatus::unknown(shard);
        self.statuses.insert(shard, unknown);
    }

    /// Records a status reported by a core. Returns the previous one, or none if the core was
    /// stopped in the meantime.
    pub(super) fn update(
        &mut self,
        now: MonotonicTime,
        status: &ShardReplicaStatus,
    ) -> Option<ShardReplicaStatus> {
        self.stalls.record_report(now, status.shard);
        let current = self.statuses.get_mut(&status.shard)?;
        Some(std::mem::replace(current, status.clone()))
    }

    /// Checks for cores that have stopped reporting.
    pub(super) fn tick(&mut self, now: MonotonicTime) {
        self.stalls.tick(now);
    }

    /// Removes all replicas, whose cores were stopped.
    pub(super) fn clear(&mut self) {
        self.statuses.clear();
        self.stalls.clear();
    }
}
