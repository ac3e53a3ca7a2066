//! Groups and replicas in the states that tests begin with.

use millford_core::{Duration, NodeId};
use millford_replication::{Replica, ReplicaStatus};

use super::network::NetworkConditions;
use super::simulation::{Defect, Simulation};

/// One second of simulated time.
pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// Simulated time after which a new group has a leader and has committed its first entry.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// A new group of `size` voters on a calm network, without a planted defect.
pub(crate) fn new_group(seed: u64, size: u64) -> Simulation {
    Simulation::new(seed, size, NetworkConditions::CALM, Defect::None)
}

/// A group of `size` voters on a calm network, and its leader.
pub(crate) fn group_with_leader(seed: u64, size: u64) -> (Simulation, NodeId) {
    let mut simulation = new_group(seed, size);
    simulation.run_for(STABLE_AFTER);
    let leader = simulation.leaders()[0];
    (simulation, leader)
}

impl Simulation {
    /// Every machine but one, in the order of their identities.
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

    /// The replica of a machine that runs.
    pub(crate) fn running_replica(&mut self, node: NodeId) -> &mut Replica {
        self.replica(node).expect("the replica runs")
    }

    /// Status of a replica that runs.
    pub(crate) fn status(&mut self, node: NodeId) -> ReplicaStatus {
        self.running_replica(node).status()
    }
}
