//! Random load and random faults.

use std::collections::BTreeSet;

use millford_core::{Duration, MonotonicTime, NodeId};
use millford_replication::{Replica, VoterChange};
use rand::Rng;
use rand::seq::IndexedRandom;

use super::machine::Machine;
use super::network::NetworkConditions;
use super::simulation::{Defect, Simulation};
use super::support::crash_disk::Faults;

/// Longest time from the end of all faults until the group is complete again.
const RECOVERY_DEADLINE: Duration = Duration::from_secs(12);
/// Longest time for which messages of a lost machine may still be in transit.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(500);
/// Time between two proposals while the group recovers.
const RECOVERY_PROPOSAL_INTERVAL: Duration = Duration::from_secs(1);
/// Simulation steps between two repair steps.
const REPAIR_INTERVAL_STEPS: u32 = 40;

impl Simulation {
    /// Runs random load and faults for a number of steps, with checks throughout. `fault_rate` is
    /// the probability of a fault per step.
    pub(crate) fn run_chaos(&mut self, steps: u32, desired_voters: usize, fault_rate: f64) {
        for step in 0..steps {
            self.step();
            self.inject_load();
            if step % REPAIR_INTERVAL_STEPS == 0 {
                self.check_logs();
                self.repair(desired_voters);
            }
            if self.random.random_bool(fault_rate) {
                self.inject_fault();
            }
        }
    }

    fn inject_load(&mut self) {
        for leader in self.leaders() {
            let body = self.random.random::<u64>().to_le_bytes().to_vec();
            let proposes = self.random.random_bool(0.3);
            if let Some(replica) = self.replica(leader).filter(|_| proposes) {
                let _ = replica.propose(body);
            }
            if self.random.random_bool(0.1) {
                self.read(leader);
            }
        }
        if self.random.random_bool(0.02) {
            let node = self.any_node();
            if let Some(machine) = self.machines.get_mut(&node) {
                machine.save_snapshot();
            }
        }
        if self.random.random_bool(0.002) {
            self.transfer_to_any_node();
        }
        if self.random.random_bool(0.001) {
            self.remove_any_member();
        }
    }

    fn transfer_to_any_node(&mut self) {
        let target = self.any_node();
        for leader in self.leaders() {
            if let Some(replica) = self.replica(leader) {
                // Rejected unless the target is another reachable voter.
                let _ = replica.transfer_leadership(target);
            }
        }
    }

    /// Removes a random member, which repair may add again later with its old disk and identity.
    fn remove_any_member(&mut self) {
        let target = self.any_node();
        for leader in self.leaders() {
            let voters = self.machines[&leader].flushed_voters.clone();
            let is_complete = !self.has_recent_loss()
                && voters.iter().all(|voter| self.machines.contains_key(voter));
            let Some(replica) = self.replica(leader) else {
                continue;
            };
            // Not while a voter's disk is lost: two of three voters would remain, one of them lost
            // for good, so the group would have no quorum.
            if is_complete && voters.len() > 2 {
                // Rejected while another change is in progress.
                let _ = replica.change_voters(VoterChange::Remove(target));
            }
        }
    }

    fn any_node(&mut self) -> NodeId {
        let nodes: Vec<NodeId> = self.machines.keys().copied().collect();
        *nodes.choose(&mut self.random).expect("machines")
    }

    fn inject_fault(&mut self) {
        let node = self.any_node();
        match self.random.random_range(0..14) {
            0 => self.lose_power(node),
            1 => self.kill(node),
            2 | 3 | 11 | 12 => self.start(node),
            4 => self.inject_disk_failure(node),
            5 => self.partition(node),
            6 | 13 => self.network.heal(),
            7 => self.stall(node),
            8 => self.inject_full_disk(node),
            9 => self.clear_disk_faults(),
            _ => self.replace(node),
        }
    }

    pub(crate) fn lose_power(&mut self, node: NodeId) {
        let seed = self.random.random();
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.lose_power(seed);
        }
        if self.defect == Defect::LostVotes {
            // Restarts at once, so that the replica can vote again in an election still in
            // progress.
            self.start(node);
        }
    }

    /// Ends the process. The machine keeps running, so unsynced data is not lost.
    fn kill(&mut self, node: NodeId) {
        let faults = self.planted_faults();
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.replica = None;
            machine.disk.set_faults(faults);
        }
    }

    /// Makes the disk fail within the next few operations, possibly in the middle of a flush.
    fn inject_disk_failure(&mut self, node: NodeId) {
        let left = self.random.random_range(0..6);
        let faults = Faults {
            operations_left: Some(left),
            ..self.planted_faults()
        };
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.disk.set_faults(faults);
        }
    }

    fn inject_full_disk(&mut self, node: NodeId) {
        let space = self.random.random_range(0..400);
        let faults = Faults {
            space_left: Some(space),
            ..self.planted_faults()
        };
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.disk.set_faults(faults);
        }
    }

    fn clear_disk_faults(&mut self) {
        let faults = self.planted_faults();
        for machine in self.machines.values_mut() {
            machine.disk.set_faults(faults);
        }
    }

    /// Partitions a node from all others, in both directions or in one.
    fn partition(&mut self, node: NodeId) {
        let others = self.others(node);
        let direction = self.random.random_range(0..3);
        for other in others {
            if direction != 0 {
                self.network.block(node, other);
            }
            if direction != 1 {
                self.network.block(other, node);
            }
        }
    }

    fn stall(&mut self, node: NodeId) {
        let until = self.now + Duration::from_millis(self.random.random_range(10..4000));
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.stalled_until = until;
        }
    }

    /// Removes a machine for good and adds an empty one, if the group tolerates the loss.
    fn replace(&mut self, node: NodeId) {
        if !self.can_lose(node) {
            return;
        }
        if self.defect == Defect::ReusedIdentity {
            self.wipe_and_restart(node);
            return;
        }
        if let Some(machine) = self.machines.remove(&node) {
            let now = self.now;
            let voter_sets = machine.voter_sets();
            self.lost_voter_sets
                .extend(voter_sets.into_iter().map(|voters| (now, voters)));
        }
        self.add_machine(None);
    }

    /// Restarts a machine on an empty disk under its old identity, for [`Defect::ReusedIdentity`].
    fn wipe_and_restart(&mut self, node: NodeId) {
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.replica = None;
            machine.disk.wipe();
        }
        self.start(node);
    }

    /// Whether every configuration held by any machine still has a quorum of disks without `node`.
    ///
    /// Configurations of recently lost machines count as well: the last messages of a lost leader
    /// may still be in transit and carry its configuration to others.
    fn can_lose(&self, node: NodeId) -> bool {
        let is_recent = |at: MonotonicTime| self.now.since(at) < MAX_TRANSIT_TIME;
        let lost = self.lost_voter_sets.iter().filter(|(at, _)| is_recent(*at));
        let machines = self.machines.values();
        let held = machines.flat_map(Machine::voter_sets);
        let lost = lost.map(|(_, voters)| voters.clone());
        let voter_sets: BTreeSet<Vec<NodeId>> = held.chain(lost).collect();
        voter_sets.into_iter().all(|voters| {
            let left = voters.iter().filter(|voter| **voter != node);
            let left = left
                .filter(|voter| self.machines.contains_key(voter))
                .count();
            voters.is_empty() || left > voters.len() / 2
        })
    }

    /// Ends all faults and checks that the group then commits a proposal and applies it on every
    /// voter within [`RECOVERY_DEADLINE`]. Records the times taken.
    pub(crate) fn recover(&mut self, desired_voters: usize) {
        self.network.heal();
        self.network.conditions = NetworkConditions::CALM;
        self.clear_disk_faults();
        let now = self.now;
        for machine in self.machines.values_mut() {
            machine.stalled_until = now;
        }
        let start = self.now;
        let end = start + RECOVERY_DEADLINE;
        let mut target_index = None;
        let mut next_proposal = self.now;
        while self.now < end {
            self.start_stopped();
            self.step();
            self.repair(desired_voters);
            let is_due = target_index.is_none_or(|_| self.now >= next_proposal);
            if self.history.time_to_leader.is_none() && self.has_confirmed_leader() {
                self.history.time_to_leader = Some(self.now.since(start));
            }
            if is_due {
                // Repeated, because proposals of a deposed leader may be lost.
                target_index = self.propose_recovery_entry().or(target_index);
                next_proposal = self.now + RECOVERY_PROPOSAL_INTERVAL;
            }
            if target_index.is_some_and(|index| self.all_voters_applied(index, desired_voters)) {
                self.history.time_to_recovery = Some(self.now.since(start));
                return;
            }
        }
        let target_index = target_index.unwrap_or(0);
        let states = self.describe();
        let text = format!(
            "not complete {RECOVERY_DEADLINE:?} after the faults, target {target_index}:{states}"
        );
        self.history.violations.push(text);
    }

    fn describe(&self) -> String {
        let describe = |machine: &Machine| {
            let status = machine.replica.as_ref().map(Replica::status);
            format!(
                "\n{} applied {} {status:?}",
                machine.node, machine.applied_index
            )
        };
        self.machines.values().map(describe).collect()
    }

    /// Starts all stopped processes, including those stopped during recovery by an earlier disk
    /// error.
    fn start_stopped(&mut self) {
        let stopped = self.machines.values();
        let stopped = stopped.filter(|machine| machine.replica.is_none());
        let nodes: Vec<NodeId> = stopped.map(|machine| machine.node).collect();
        for node in nodes {
            self.start(node);
        }
    }

    fn has_confirmed_leader(&self) -> bool {
        let replicas = self.machines.values();
        let mut replicas = replicas.filter_map(|machine| machine.replica.as_ref());
        replicas.any(|replica| replica.status().leads_confirmed)
    }

    fn propose_recovery_entry(&mut self) -> Option<u64> {
        let mut index = None;
        for leader in self.leaders() {
            let replica = self.replica(leader)?;
            if replica.status().leads_confirmed {
                index = replica.propose(b"goal".to_vec()).ok();
            }
        }
        index
    }

    fn all_voters_applied(&self, index: u64, desired_voters: usize) -> bool {
        let leaders = self.leaders();
        let [leader] = leaders.as_slice() else {
            return false;
        };
        let voters = &self.machines[leader].flushed_voters;
        let is_applied = |voter: &NodeId| {
            let machine = self.machines.get(voter);
            machine.is_some_and(|machine| machine.applied_index >= index)
        };
        voters.len() == desired_voters && voters.iter().all(is_applied)
    }
}
