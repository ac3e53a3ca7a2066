//! Random work and random faults.

use std::collections::BTreeSet;

use millford_core::{Duration, MonotonicTime, NodeId};
use millford_replication::{Replica, VoterChange};
use rand::Rng;
use rand::seq::IndexedRandom;

use super::machine::Machine;
use super::network::NetworkConditions;
use super::simulation::{Defect, Simulation};
use super::support::crash_disk::Faults;

/// Longest time until the group is complete again after all faults have ended.
const RECOVERY_DEADLINE: Duration = Duration::from_secs(12);
/// Longest time that a lost machine's messages are in transit.
const IN_TRANSIT: Duration = Duration::from_millis(500);
/// Time between two proposals while the group recovers.
const GOAL_INTERVAL: Duration = Duration::from_secs(1);
/// Steps of the simulation between two steps of repair.
const REPAIR_INTERVAL_STEPS: u32 = 40;

impl Simulation {
    /// Random work and faults for a number of steps, checks throughout. `fault_rate` is the
    /// probability of a fault in a step.
    pub(crate) fn run_chaos(&mut self, steps: u32, desired_voters: usize, fault_rate: f64) {
        for step in 0..steps {
            self.step();
            self.work();
            if step % REPAIR_INTERVAL_STEPS == 0 {
                self.check_logs();
                self.repair(desired_voters);
            }
            if self.random.random_bool(fault_rate) {
                self.inject_fault();
            }
        }
    }

    fn work(&mut self) {
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
            self.transfer();
        }
        if self.random.random_bool(0.001) {
            self.remove_any_member();
        }
    }

    fn transfer(&mut self) {
        let target = self.any_node();
        for leader in self.leaders() {
            if let Some(replica) = self.replica(leader) {
                // Refused unless the target is another voter that is reachable.
                let _ = replica.transfer_leadership(target);
            }
        }
    }

    /// Removes some member; repair brings it back later, with its old disk and identity.
    fn remove_any_member(&mut self) {
        let target = self.any_node();
        for leader in self.leaders() {
            let voters = self.machines[&leader].flushed_voters.clone();
            let is_complete = !self.has_recent_loss()
                && voters.iter().all(|voter| self.machines.contains_key(voter));
            let Some(replica) = self.replica(leader) else {
                continue;
            };
            // Not while a disk is lost: two of three would be left, one of them lost for good.
            if is_complete && voters.len() > 2 {
                // Refused when another change is in progress.
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
            7 => self.freeze(node),
            8 => self.inject_full_disk(node),
            9 => self.free_disks(),
            _ => self.replace(node),
        }
    }

    pub(crate) fn lose_power(&mut self, node: NodeId) {
        let seed = self.random.random();
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.lose_power(seed);
        }
        if self.defect == Defect::ForgottenVotes {
            // At once, while the election is still open.
            self.start(node);
        }
    }

    /// The process dies; the machine, and what the disk has not synced yet, stays.
    fn kill(&mut self, node: NodeId) {
        let faults = self.planted_faults();
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.replica = None;
            machine.disk.set_faults(faults);
        }
    }

    /// The disk fails within the next operations, in the middle of a flush perhaps.
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

    fn free_disks(&mut self) {
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

    fn freeze(&mut self, node: NodeId) {
        let until = self.now + Duration::from_millis(self.random.random_range(10..4000));
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.frozen_until = until;
        }
    }

    /// Loses a machine for good and adds an empty one, if the group tolerates the loss.
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

    /// The planted defect: an identity starts again on an empty disk.
    fn wipe_and_restart(&mut self, node: NodeId) {
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.replica = None;
            machine.disk.wipe();
        }
        self.start(node);
    }

    /// Whether every configuration that some machine holds keeps a quorum of disks without `node`.
    ///
    /// Those of machines that were lost just now count as well: the last messages of a leader may
    /// still be in transit and bring its configuration to others.
    fn can_lose(&self, node: NodeId) -> bool {
        let is_recent = |at: MonotonicTime| self.now.since(at) < IN_TRANSIT;
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

    /// Ends all faults; then the group must take a proposal and bring it to every voter. The times
    /// are recorded.
    pub(crate) fn recover(&mut self, desired_voters: usize) {
        self.network.heal();
        self.network.conditions = NetworkConditions::CALM;
        self.free_disks();
        let now = self.now;
        for machine in self.machines.values_mut() {
            machine.frozen_until = now;
        }
        let start = self.now;
        let end = start + RECOVERY_DEADLINE;
        let mut goal = None;
        let mut next_goal = self.now;
        while self.now < end {
            self.start_stopped();
            self.step();
            self.repair(desired_voters);
            let is_due = goal.is_none_or(|_| self.now >= next_goal);
            if self.history.time_to_leader.is_none() && self.has_confirmed_leader() {
                self.history.time_to_leader = Some(self.now.since(start));
            }
            if is_due {
                // Again now and then: a leader that is deposed takes its proposals with it.
                goal = self.propose_goal().or(goal);
                next_goal = self.now + GOAL_INTERVAL;
            }
            if goal.is_some_and(|goal| self.all_voters_applied(goal, desired_voters)) {
                self.history.time_to_recovery = Some(self.now.since(start));
                return;
            }
        }
        let goal = goal.unwrap_or(0);
        let states = self.describe();
        let text =
            format!("not complete {RECOVERY_DEADLINE:?} after the faults, goal {goal}:{states}");
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

    /// Starts what is down, also processes that only now meet a disk error of before.
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

    fn propose_goal(&mut self) -> Option<u64> {
        let mut goal = None;
        for leader in self.leaders() {
            let replica = self.replica(leader)?;
            if replica.status().leads_confirmed {
                goal = replica.propose(b"goal".to_vec()).ok();
            }
        }
        goal
    }

    fn all_voters_applied(&self, goal: u64, desired_voters: usize) -> bool {
        let leaders = self.leaders();
        let [leader] = leaders.as_slice() else {
            return false;
        };
        let voters = &self.machines[leader].flushed_voters;
        let is_applied = |voter: &NodeId| {
            let machine = self.machines.get(voter);
            machine.is_some_and(|machine| machine.applied_index >= goal)
        };
        voters.len() == desired_voters && voters.iter().all(is_applied)
    }
}
