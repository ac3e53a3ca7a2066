//! Three replicas that are driven action by action, each with a clock of its own that moves at its
//! timeouts only.

use std::hash::{DefaultHasher, Hash, Hasher};

use millford_api::replication::{ReplicationMessage, VoterSet};
use millford_core::{Duration, MonotonicTime, NodeId};
use millford_replication::Role;
use prost::Message;

use super::history::History;
use super::machine::Machine;
use super::simulation::{Defect, forget_vote};

/// The replicas.
pub(crate) const NODES: [u64; 3] = [1, 2, 3];
/// Longer than any election timeout, and longer than a quorum may be unresponsive.
const TIMEOUT: Duration = Duration::from_secs(4);

/// More actions than an election takes, a refused first one included.
const ELECTION_STEPS: usize = 30;

/// Something that may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    Timeout(usize),
    Crash(usize),
    Propose(usize),
    /// Delivers a message, by its position among those in transit.
    Deliver(usize),
    /// Delivers a message and keeps it in transit.
    Duplicate(usize),
}

/// The group.
pub(crate) struct World {
    pub(crate) machines: Vec<Machine>,
    clocks: [MonotonicTime; 3],
    pub(crate) in_transit: Vec<ReplicationMessage>,
    pub(crate) history: History,
    /// Only [`Defect::ForgottenVotes`] has an effect: a crash also loses the vote.
    defect: Defect,
}

impl World {
    /// Three replicas that have just started.
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

    /// The group after a sequence of actions.
    pub(crate) fn run(path: &[Action], defect: Defect) -> Self {
        let mut world = Self::new(defect);
        for action in path {
            world.act(*action);
        }
        world
    }

    /// Lets one action happen, then compares the logs.
    pub(crate) fn act(&mut self, action: Action) {
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
        if self.defect == Defect::ForgottenVotes {
            forget_vote(machine);
        }
        self.start(position);
        self.flush(position);
    }

    fn propose(&mut self, position: usize) {
        if let Some(replica) = &mut self.machines[position].replica {
            // Refused on a replica that does not lead.
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

    /// A digest that is the same for the same situation.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for machine in &self.machines {
            format!("{:?}", machine.replica).hash(&mut hasher);
        }
        let mut messages: Vec<Vec<u8>> =
            self.in_transit.iter().map(Message::encode_to_vec).collect();
        messages.sort_unstable();
        messages.hash(&mut hasher);
        self.history.facts().hash(&mut hasher);
        hasher.finish()
    }

    /// Whether a replica leads.
    pub(crate) fn leads(&self, position: usize) -> bool {
        let replica = self.machines[position].replica.as_ref();
        replica.is_some_and(|replica| replica.role() == Role::Leader)
    }

    /// Delivers what is in transit between two replicas, until nothing is; the rest stays.
    pub(crate) fn exchange(&mut self, left: usize, right: usize) {
        let pair = [NODES[left], NODES[right]];
        let is_between = |message: &ReplicationMessage| {
            pair.contains(&message.from) && pair.contains(&message.to)
        };
        while let Some(index) = self.in_transit.iter().position(is_between) {
            self.act(Action::Deliver(index));
        }
    }

    /// Loses what is in transit, then times a replica out, with one other in reach, until it leads.
    pub(crate) fn elect(&mut self, candidate: usize, voter: usize) {
        self.in_transit.clear();
        // The voter has had no contact with its leader for as long either.
        self.clocks[voter] = self.clocks[voter] + TIMEOUT;
        let pair = [NODES[candidate], NODES[voter]];
        self.act(Action::Timeout(candidate));
        for _ in 0..ELECTION_STEPS {
            if self.leads(candidate) {
                return;
            }
            let index = self
                .in_transit
                .iter()
                .position(|message| pair.contains(&message.from) && pair.contains(&message.to));
            self.act(index.map_or(Action::Timeout(candidate), Action::Deliver));
        }
        panic!("replica {candidate} is not elected");
    }
}
