//! Three replicas that are driven action by action. Each has its own clock, which advances only at
//! its timeouts.

use std::hash::{DefaultHasher, Hash, Hasher};

use millford_api::replication::{ReplicationMessage, VoterSet};
use millford_core::{Duration, MonotonicTime, NodeId};
use millford_replication::Role;
use prost::Message;

use super::history::History;
use super::machine::Machine;
use super::simulation::{Defect, erase_vote};

/// Identities of the replicas. Positions index this array and [`World::machines`].
pub(crate) const NODES: [u64; 3] = [1, 2, 3];
/// Clock advance of a timeout: longer than any election timeout and than the quorum timeout.
const TIMEOUT: Duration = Duration::from_secs(4);

/// More actions than an election takes, including a rejected first attempt.
const ELECTION_STEPS: usize = 30;

/// An action on the group. Replicas are given by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Advances the replica's clock by [`TIMEOUT`] and ticks it.
    Timeout(usize),
    /// Fails the replica's power and restarts it.
    Crash(usize),
    /// Proposes a command on the replica.
    Propose(usize),
    /// Delivers a message, given by its index in [`World::in_transit`].
    Deliver(usize),
    /// Delivers a message and keeps it in transit.
    Duplicate(usize),
}

/// The group, its messages in transit and its history.
pub(crate) struct World {
    pub(crate) machines: Vec<Machine>,
    clocks: [MonotonicTime; 3],
    pub(crate) in_transit: Vec<ReplicationMessage>,
    pub(crate) history: History,
    /// Only [`Defect::LostVotes`] has an effect: a crash also loses the vote.
    defect: Defect,
}

impl World {
    /// Creates and starts three replicas.
    pub(crate) fn new(defect: Defect) -> Self {
        let voters = VoterSet {
            voters: NODES.to_vec(),
            learners: Vec::new(),
        };
        let machines = NODES.map(|node| Machine::new(NodeId(node), Some(voters.clone())));
        let mut world = Self {
            machines: machines.into(),
            clocks: [MonotonicTime::ZERO; 3],
            in_transit: Vec::new(),
            history: History::default(),
            defect,
        };
        for position in 0..NODES.len() {
            world.start(position);
        }
        world
    }

    fn start(&mut self, position: usize) {
        let machine = &mut self.machines[position];
        machine
            .start(self.clocks[position], NODES[position])
            .expect("the disk is intact");
    }

    /// Creates a group and applies a sequence of actions to it.
    pub(crate) fn run(path: &[Action], defect: Defect) -> Self {
        let mut world = Self::new(defect);
        for action in path {
            world.apply(*action);
        }
        world
    }

    /// Applies one action, then checks that the logs match.
    pub(crate) fn apply(&mut self, action: Action) {
        match action {
            Action::Timeout(position) => self.time_out(position),
            Action::Crash(position) => self.crash(position),
            Action::Propose(position) => self.propose(position),
            Action::Deliver(index) => {
                let message = self.in_transit.remove(index);
                self.deliver(message);
            }
            Action::Duplicate(index) => self.deliver(self.in_transit[index].clone()),
        }
        self.check_logs();
    }

    fn time_out(&mut self, position: usize) {
        self.clocks[position] = self.clocks[position] + TIMEOUT;
        let now = self.clocks[position];
        if let Some(replica) = &mut self.machines[position].replica {
            replica.tick(now);
        }
        self.flush(position);
    }

    fn crash(&mut self, position: usize) {
        let machine = &mut self.machines[position];
        machine.lose_power(0);
        if self.defect == Defect::LostVotes {
            erase_vote(machine);
        }
        self.start(position);
        self.flush(position);
    }

    fn propose(&mut self, position: usize) {
        if let Some(replica) = &mut self.machines[position].replica {
            // Rejected on a replica that does not lead.
            let _ = replica.propose(b"command".to_vec());
        }
        self.flush(position);
    }

    fn deliver(&mut self, message: ReplicationMessage) {
        let position = usize::try_from(message.to - 1).expect("small");
        let now = self.clocks[position];
        if let Some(replica) = &mut self.machines[position].replica {
            replica.step(now, message);
        }
        self.flush(position);
    }

    fn flush(&mut self, position: usize) {
        let now = self.clocks[position];
        let ready = self.machines[position].flush(now, &mut self.history);
        self.in_transit
            .extend(ready.expect("the disk is intact").messages);
    }

    fn check_logs(&mut self) {
        for (left, right) in [(0, 1), (0, 2), (1, 2)] {
            let left = self.machines[left].replica.as_ref().expect("runs");
            let right = self.machines[right].replica.as_ref().expect("runs");
            self.history.check_logs_match(left, right);
        }
    }

    /// Hash of the replicas, messages in transit and safety records, equal for equivalent states.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for machine in &self.machines {
            format!("{:?}", machine.replica).hash(&mut hasher);
        }
        let mut messages: Vec<Vec<u8>> =
            self.in_transit.iter().map(Message::encode_to_vec).collect();
        messages.sort_unstable();
        messages.hash(&mut hasher);
        self.history.safety_records().hash(&mut hasher);
        hasher.finish()
    }

    /// Whether a replica leads.
    pub(crate) fn leads(&self, position: usize) -> bool {
        let replica = self.machines[position].replica.as_ref();
        replica.is_some_and(|replica| replica.role() == Role::Leader)
    }

    /// Delivers all messages between two replicas until none is in transit; other messages remain.
    pub(crate) fn exchange(&mut self, left: usize, right: usize) {
        let pair = [NODES[left], NODES[right]];
        let is_between = |message: &ReplicationMessage| {
            pair.contains(&message.from) && pair.contains(&message.to)
        };
        while let Some(index) = self.in_transit.iter().position(is_between) {
            self.apply(Action::Deliver(index));
        }
    }

    /// Drops all messages in transit, then times `candidate` out until it leads, with only `voter`
    /// reachable.
    pub(crate) fn elect(&mut self, candidate: usize, voter: usize) {
        self.in_transit.clear();
        // Otherwise the voter would still have contact with its leader and ignore the candidate.
        self.clocks[voter] = self.clocks[voter] + TIMEOUT;
        let pair = [NODES[candidate], NODES[voter]];
        self.apply(Action::Timeout(candidate));
        for _ in 0..ELECTION_STEPS {
            if self.leads(candidate) {
                return;
            }
            let index = self
                .in_transit
                .iter()
                .position(|message| pair.contains(&message.from) && pair.contains(&message.to));
            self.apply(index.map_or(Action::Timeout(candidate), Action::Deliver));
        }
        panic!("the replica at position {candidate} was not elected");
    }
}
