//! The run: time, deliveries, ticks and flushes.

use std::collections::BTreeMap;

use millford_api::replication::{
    ReplicationMessage, VoterSet, log_entry::Payload, replication_message::Body,
};
use millford_core::{Duration, MonotonicTime, NodeId};
use millford_replication::{ConfirmedRead, OpenError, Replica, Role, TICK};
use millford_storage::{ReplicaStorage, StorageError, StorageOptions};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::history::History;
use super::machine::Machine;
use super::network::{Network, NetworkConditions};
use super::support::crash_disk::Faults;

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(5);

/// Longest simulated time that a test waits for something.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Faults of the program that a run plants, to show that the checks find them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Defect {
    #[default]
    None,
    /// Disks report syncs of the log that they do not make.
    LyingSyncs,
    /// Disks report a replaced hard state before it is durable.
    LyingReplaces,
    /// A restarted replica has forgotten its vote.
    ForgottenVotes,
    /// A wiped disk comes back under its old identity.
    ReusedIdentity,
    /// Reads are answered without a quorum's confirmation.
    UnconfirmedReads,
    /// Commands change in transit.
    AlteredCommands,
}

/// A group under simulation.
pub(crate) struct Simulation {
    pub(crate) now: MonotonicTime,
    pub(crate) random: StdRng,
    pub(crate) machines: BTreeMap<NodeId, Machine>,
    pub(crate) network: Network,
    pub(crate) history: History,
    pub(crate) defect: Defect,
    /// Whether repair removes a lost voter before it promotes the standby, or after.
    pub(crate) removes_before_promotion: bool,
    pub(crate) next_node: u64,
    pub(crate) next_request: u64,
    /// Voters that machines knew when their disks were lost.
    pub(crate) lost_voter_sets: Vec<(MonotonicTime, Vec<NodeId>)>,
    next_tick: MonotonicTime,
}

impl Simulation {
    /// A new group of `size` voters, all started.
    pub(crate) fn new(seed: u64, size: u64, conditions: NetworkConditions, defect: Defect) -> Self {
        let mut simulation = Self {
            now: MonotonicTime::ZERO,
            random: StdRng::seed_from_u64(seed),
            machines: BTreeMap::new(),
            network: Network::new(conditions),
            history: History::default(),
            defect,
            removes_before_promotion: seed.is_multiple_of(2),
            next_node: 1,
            next_request: 1,
            lost_voter_sets: Vec::new(),
            next_tick: MonotonicTime::ZERO,
        };
        let voters = VoterSet {
            voters: (1..=size).collect(),
            learners: Vec::new(),
        };
        for _ in 0..size {
            simulation.add_machine(Some(voters.clone()));
        }
        simulation
    }

    /// Adds an empty machine with a new identity and starts it.
    pub(crate) fn add_machine(&mut self, initial_voters: Option<VoterSet>) -> NodeId {
        let node = NodeId(self.next_node);
        self.next_node += 1;
        let machine = Machine::new(node, initial_voters);
        machine.disk.set_faults(self.planted_faults());
        self.machines.insert(node, machine);
        self.start(node);
        node
    }

    /// Disk faults that last: those of the planted defect.
    pub(crate) fn planted_faults(&self) -> Faults {
        Faults {
            lie_about_sync: self.defect == Defect::LyingSyncs,
            lie_about_replace: self.defect == Defect::LyingReplaces,
            ..Default::default()
        }
    }

    /// Starts a machine's process if it is not running.
    pub(crate) fn start(&mut self, node: NodeId) {
        let seed = self.random.random();
        let now = self.now;
        let forgets = self.defect == Defect::ForgottenVotes;
        let Some(machine) = self.machines.get_mut(&node) else {
            return;
        };
        if machine.replica.is_some() {
            return;
        }
        if forgets {
            forget_vote(machine);
        }
        let Err(error) = machine.start(now, seed) else {
            return;
        };
        // A disk that fails or is full now may work later; damage that no test made may not be.
        let is_passing = matches!(
            error,
            OpenError::Storage(StorageError::Io { .. } | StorageError::Full { .. })
        );
        if !is_passing {
            let text = format!("{node} does not start: {error}");
            self.history.violations.push(text);
        }
    }

    /// Runs for a time.
    pub(crate) fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until something holds; fails after a time that is ample for everything.
    pub(crate) fn run_until(&mut self, holds: impl Fn(&Simulation) -> bool) {
        let end = self.now + MAX_WAIT;
        while !holds(self) {
            assert!(self.now < end, "the condition never held");
            self.step();
        }
    }

    /// One step: deliveries and ticks, each followed by a flush or not, then the rest flushed.
    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(message) = self.network.receive(self.now) {
            self.deliver(message);
        }
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK;
            self.tick_all();
        }
        let nodes: Vec<NodeId> = self.machines.keys().copied().collect();
        for node in nodes {
            self.flush(node);
        }
    }

    fn deliver(&mut self, message: ReplicationMessage) {
        let node = NodeId(message.to);
        let now = self.now;
        let machine = self.machines.get_mut(&node);
        let Some(machine) = machine.filter(|machine| machine.is_running(now)) else {
            return;
        };
        if let Some(replica) = &mut machine.replica {
            replica.step(now, message);
        }
        if self.random.random_bool(0.3) {
            self.flush(node);
        }
    }

    fn tick_all(&mut self) {
        for machine in self.machines.values_mut() {
            if !machine.is_running(self.now) {
                continue;
            }
            if let Some(replica) = &mut machine.replica {
                replica.tick(self.now);
            }
        }
    }

    /// Flushes a machine and sends what may leave.
    pub(crate) fn flush(&mut self, node: NodeId) {
        let now = self.now;
        let machine = self.machines.get_mut(&node);
        let Some(machine) = machine.filter(|machine| machine.is_running(now)) else {
            return;
        };
        let Some(mut ready) = machine.flush(now, &mut self.history) else {
            return;
        };
        for message in &mut ready.messages {
            if self.defect == Defect::AlteredCommands && self.random.random_bool(0.01) {
                alter(message);
            }
        }
        for message in ready.messages {
            self.network.send(now, message, &mut self.random);
        }
    }

    /// Replicas that believe to lead.
    pub(crate) fn leaders(&self) -> Vec<NodeId> {
        let is_leader = |machine: &&Machine| {
            let replica = machine.replica.as_ref();
            replica.is_some_and(|replica| replica.status().role == Role::Leader)
        };
        let leaders = self.machines.values().filter(is_leader);
        leaders.map(|machine| machine.node).collect()
    }

    /// A running replica.
    pub(crate) fn replica(&mut self, node: NodeId) -> Option<&mut Replica> {
        let now = self.now;
        let machine = self.machines.get_mut(&node)?;
        if !machine.is_running(now) {
            return None;
        }
        machine.replica.as_mut()
    }

    /// Requests a confirmed read.
    pub(crate) fn read(&mut self, node: NodeId) {
        let request = self.next_request;
        self.next_request += 1;
        let skips_quorum = self.defect == Defect::UnconfirmedReads;
        let Some(replica) = self.replica(node) else {
            return;
        };
        if skips_quorum && replica.status().role == Role::Leader {
            let index = replica.status().commit_index;
            self.history.record_read_requested(request);
            let read = ConfirmedRead { request, index };
            self.history.record_read_confirmed(node, &read, index);
            return;
        }
        if replica.read_index(request).is_ok() {
            self.history.record_read_requested(request);
        }
    }

    /// Compares the logs of all running replicas.
    pub(crate) fn check_logs(&mut self) {
        let replicas = self.machines.values();
        let replicas: Vec<&Replica> = replicas
            .filter_map(|machine| machine.replica.as_ref())
            .collect();
        for (position, left) in replicas.iter().enumerate() {
            for right in &replicas[position + 1..] {
                self.history.check_logs_match(left, right);
            }
        }
    }
}

/// The planted defect: a restarted replica does not know whom it voted for.
pub(crate) fn forget_vote(machine: &Machine) {
    let options = StorageOptions::default();
    let disk = Box::new(machine.disk.clone());
    let Ok(mut storage) = ReplicaStorage::open(disk, options) else {
        return;
    };
    if let Some(mut state) = storage.hard_state() {
        state.voted_for = NodeId::NONE.0;
        let _ = storage.set_hard_state(state);
    }
}

fn alter(message: &mut ReplicationMessage) {
    let Some(Body::AppendRequest(request)) = &mut message.body else {
        return;
    };
    for entry in &mut request.entries {
        if let Some(Payload::Command(command)) = &mut entry.payload {
            command.push(0);
        }
    }
}
