//! Groups and replicas in common initial states for tests.

use millford_core::{Duration, NodeId};
use millford_replication::{Replica, ReplicaStatus};

use super::network::NetworkConditions;
use super::simulation::{Defect, Simulation};

/// Unit of simulated time for tests.
pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// Simulated time after which a new group has a leader and has committed its first entry.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// Creates a group of `size` voters on a network without faults, without a planted defect.
pub(crate) fn new_group(seed: u64, size: u64) -> Simulation {
    Simulation::new(seed, size, NetworkConditions::CALM, Defect::None)
}

/// Returns a group of `size` voters on a network without faults, and its leader.
pub(crate) fn group_with_leader(seed: u64, size: u64) -> (Simulation, NodeId) {
    let mut simulation = new_group(seed, size);
    simulation.run_for(STABLE_AFTER);
    let leader = simulation.leaders()[0];
    (simulation, leader)
}

impl Simulation {
    /// All machines except `node`, in ascending order of their identities.
    pub(crate) fn others(&self, node: NodeId) -> Vec<NodeId> {
        let nodes = self.machines.keys().copied();
        nodes.filter(|other| *other != node).collect()
    }

    /// Partitions a node from all others, in both directions.
    pub(crate) fn isolate(&mut self, node: NodeId) {
        for other in self.others(node) {
            self.network.block(node, other);
            self.network.block(other, node);
        }
    }

    /// The replica of a node, whose process must be running.
    pub(crate) fn running_replica(&mut self, node: NodeId) -> &mut Replica {
        self.replica(node).expect("the replica runs")
    }

    /// Status of a node's replica, whose process must be running.
    pub(crate) fn status(&mut self, node: NodeId) -> ReplicaStatus {
        self.running_replica(node).status()
    }
}
