//! The simulation loop: time, message delivery, ticks and flushes.

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

/// Simulated time by which a step advances the clock.
const STEP: Duration = Duration::from_millis(5);

/// Longest simulated time that [`Simulation::run_until`] waits.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// A defect that is planted in a run to show that the checks detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Defect {
    #[default]
    None,
    /// Disks report success for syncs of the log without making them.
    IgnoredSyncs,
    /// Disks report that a replaced hard state is durable before it is.
    VolatileReplaces,
    /// A restart loses the replica's vote.
    LostVotes,
    /// A replica restarts on a wiped disk under its old identity.
    ReusedIdentity,
    /// Reads are answered without a quorum's confirmation.
    UnconfirmedReads,
    /// Commands are altered in transit.
    AlteredCommands,
}

/// A simulated group of replicas.
pub(crate) struct Simulation {
    pub(crate) now: MonotonicTime,
    pub(crate) random: StdRng,
    pub(crate) machines: BTreeMap<NodeId, Machine>,
    pub(crate) network: Network,
    pub(crate) history: History,
    pub(crate) defect: Defect,
    /// Whether repair removes a lost voter before it promotes the standby; else after.
    pub(crate) removes_before_promotion: bool,
    pub(crate) next_node: u64,
    pub(crate) next_request: u64,
    /// Sets of voters that lost machines held, with the time of each loss.
    pub(crate) lost_voter_sets: Vec<(MonotonicTime, Vec<NodeId>)>,
    next_tick: MonotonicTime,
}

impl Simulation {
    /// Creates a group of `size` voters and starts all of them.
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

    /// Adds a machine with an empty disk and a new identity, and starts it.
    pub(crate) fn add_machine(&mut self, initial_voters: Option<VoterSet>) -> NodeId {
        let node = NodeId(self.next_node);
        self.next_node += 1;
        let machine = Machine::new(node, initial_voters);
        machine.disk.set_faults(self.planted_faults());
        self.machines.insert(node, machine);
        self.start(node);
        node
    }

    /// Disk faults of the planted defect, which apply for the whole run.
    pub(crate) fn planted_faults(&self) -> Faults {
        Faults {
            ignore_syncs: self.defect == Defect::IgnoredSyncs,
            volatile_replaces: self.defect == Defect::VolatileReplaces,
            ..Default::default()
        }
    }

    /// Starts a machine's process if it is not running.
    pub(crate) fn start(&mut self, node: NodeId) {
        let seed = self.random.random();
        let now = self.now;
        let loses_vote = self.defect == Defect::LostVotes;
        let Some(machine) = self.machines.get_mut(&node) else {
            return;
        };
        if machine.replica.is_some() {
            return;
        }
        if loses_vote {
            erase_vote(machine);
        }
        let Err(error) = machine.start(now, seed) else {
            return;
        };
        // A failing or full disk is an injected fault and may work later. Runs inject no
        // corruption, so any other error is a violation.
        let is_transient = matches!(
            error,
            OpenError::Storage(StorageError::Io { .. } | StorageError::Full { .. })
        );
        if !is_transient {
            let text = format!("{node} does not start: {error}");
            self.history.violations.push(text);
        }
    }

    /// Runs for at least `duration` of simulated time.
    pub(crate) fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds. Panics after [`MAX_WAIT`], which is longer than any awaited
    /// event takes.
    pub(crate) fn run_until(&mut self, condition: impl Fn(&Simulation) -> bool) {
        let end = self.now + MAX_WAIT;
        while !condition(self) {
            assert!(self.now < end, "the condition did not hold in time");
            self.step();
        }
    }

    /// Advances the clock by one step: delivers the messages that are due, each followed by a flush
    /// at random, ticks if due, then flushes all machines.
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

    /// Flushes a machine and sends the resulting messages.
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

    /// Replicas in the leader role; after a partition there may be several, in different terms.
    pub(crate) fn leaders(&self) -> Vec<NodeId> {
        let is_leader = |machine: &&Machine| {
            let replica = machine.replica.as_ref();
            replica.is_some_and(|replica| replica.status().role == Role::Leader)
        };
        let leaders = self.machines.values().filter(is_leader);
        leaders.map(|machine| machine.node).collect()
    }

    /// The replica of a node; `None` if its process is stopped or stalled.
    pub(crate) fn replica(&mut self, node: NodeId) -> Option<&mut Replica> {
        let now = self.now;
        let machine = self.machines.get_mut(&node)?;
        if !machine.is_running(now) {
            return None;
        }
        machine.replica.as_mut()
    }

    /// Requests a confirmed read from a node.
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

    /// Checks that the logs of all running replicas match pairwise.
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

/// Erases the vote on a machine's disk, as [`Defect::LostVotes`] does at a restart.
pub(crate) fn erase_vote(machine: &Machine) {
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
