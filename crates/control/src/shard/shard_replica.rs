//! The consensus replica of a shard, with its proposals that are not applied yet.

use millford_api::command::Command;
use millford_api::replication::{ReplicationMessage, VoterSet};
use millford_core::{Duration, MonotonicTime, NodeId};
use millford_replication::{
    NotLeader, OpenError, QUORUM_TIMEOUT, Ready, Replica, ReplicaOptions, ReplicaStatus, Role,
    VoterChange, VoterChangeError,
};
use millford_storage::{ReplicaStorage, StorageError, StorageOptions};
use prost::Message;

use super::options::ShardCoreOptions;
use super::proposals::{Proposals, Purpose};
use super::recovery::force_single_voter;

/// Owns the replica, its storage and the proposals in flight.
pub(super) struct ShardReplica {
    options: ShardCoreOptions,
    replica: Replica,
    proposals: Proposals,
}

impl ShardReplica {
    /// Opens the shard's storage and creates the replica on it.
    ///
    /// # Errors
    /// The storage cannot be opened, or belongs to another identity.
    pub(super) fn open(
        options: ShardCoreOptions,
        now: MonotonicTime,
    ) -> Result<Self, StorageError> {
        let replica = open_replica(&options, now)?;
        Ok(Self {
            options,
            replica,
            proposals: Proposals::default(),
        })
    }

    /// Identity of this node.
    pub(super) fn identity(&self) -> NodeId {
        self.options.identity
    }

    /// Current status of the consensus replica.
    pub(super) fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// Whether this replica leads and its state includes everything committed in earlier terms.
    ///
    /// Before the first entry of its own term is committed, a leader may not have applied every
    /// committed entry, and would expire sessions by an outdated table.
    pub(super) fn is_confirmed_leader(&self) -> bool {
        let status = self.replica.status();
        status.role == Role::Leader && status.leads_confirmed
    }

    /// Whether no other replica can have been elected leader yet.
    ///
    /// A successor may grant full quota leases as soon as it is elected. This leader must have
    /// stopped granting by then, even if its thread ran late or it still waits for its first
    /// replies.
    pub(super) fn excludes_successor(&self, now: MonotonicTime) -> bool {
        let contact = self.replica.status().leader_contact;
        contact.is_some_and(|contact| now.since(contact) < QUORUM_TIMEOUT)
    }

    /// The leader to name in a refusal; [`NodeId::NONE`] if it is unknown, or if it is this node
    /// itself, which is refusing the request.
    pub(super) fn leader_hint(&self) -> NodeId {
        let leader = self.replica.status().leader;
        if leader == self.options.identity {
            NodeId::NONE
        } else {
            leader
        }
    }

    /// Proposes a command and records its purpose until it is applied.
    ///
    /// # Errors
    /// This replica does not lead.
    pub(super) fn propose(&mut self, command: &Command, purpose: Purpose) -> Result<(), NotLeader> {
        let index = self.replica.propose(command.encode_to_vec())?;
        let term = self.replica.status().term;
        self.proposals.insert(index, term, purpose);
        Ok(())
    }

    /// Whether a proposal with this purpose is in flight.
    pub(super) fn is_proposed(&self, purpose: &Purpose) -> bool {
        self.proposals.contains(purpose)
    }

    /// Removes the proposal of the entry applied at `index`. Returns its purpose if this replica
    /// proposed the entry in `term`.
    pub(super) fn take_proposal(&mut self, index: u64, term: u64) -> Option<Purpose> {
        self.proposals.take(index, term)
    }

    /// Drops all proposals after leadership was lost, and returns their purposes. Whether they will
    /// be committed is unknown to this replica.
    pub(super) fn abandon_proposals(&mut self) -> Vec<Purpose> {
        self.proposals.take_all()
    }

    /// Passes a message from another replica to the consensus replica.
    pub(super) fn step(&mut self, now: MonotonicTime, message: ReplicationMessage) {
        self.replica.step(now, message);
    }

    /// Advances time. A stall, during which this process did not run, extends the election
    /// deadline, because the leader may have sent messages meanwhile.
    pub(super) fn tick(&mut self, now: MonotonicTime, stalled: Option<Duration>) {
        if let Some(stalled) = stalled {
            self.replica.defer_election_deadline(now, stalled);
        }
        self.replica.tick(now);
    }

    /// Makes the replica's changes durable and returns the messages, committed entries and other
    /// results that depend on them.
    ///
    /// # Errors
    /// The storage failed; the replica must be stopped.
    pub(super) fn flush(&mut self, now: MonotonicTime) -> Result<Ready, StorageError> {
        self.replica.flush(now)
    }

    /// Starts the confirmation of the read with this number by a quorum.
    ///
    /// # Errors
    /// This replica does not lead.
    pub(super) fn confirm_read(&mut self, number: u64) -> Result<(), NotLeader> {
        self.replica.read_index(number)
    }

    /// Changes the voters of the group.
    ///
    /// # Errors
    /// The change is not possible now.
    pub(super) fn change_voters(&mut self, change: VoterChange) -> Result<(), VoterChangeError> {
        self.replica.change_voters(change).map(drop)
    }

    /// Stores a snapshot of the state as of log index `applied`.
    pub(super) fn save_snapshot(&mut self, applied: u64, data: Vec<u8>) {
        // After a refusal the log stays longer, until a later entry makes another snapshot due.
        let _ = self.replica.save_snapshot(applied, data);
    }

    /// Transfers leadership to a caught-up voter, if there is one.
    pub(super) fn transfer_leadership(&mut self) {
        let status = self.replica.status();
        let mut peers = status.peers.iter();
        let successor = peers.find(|peer| peer.is_voter && peer.caught_up);
        if let Some(node) = successor.map(|successor| successor.node) {
            self.transfer_leadership_to(node);
        }
    }

    /// Transfers leadership to this voter.
    pub(super) fn transfer_leadership_to(&mut self, node: NodeId) {
        // After a refusal this replica stays the leader. If it then shuts down, an election replaces
        // it, as after a crash.
        let _ = self.replica.transfer_leadership(node);
    }

    /// Makes this node the only voter in the storage, and opens a replica on it.
    ///
    /// # Errors
    /// The storage cannot be written or opened again.
    pub(super) fn recover(&self, now: MonotonicTime) -> Result<Replica, StorageError> {
        force_single_voter(&self.options)?;
        open_replica(&self.options, now)
    }

    /// Replaces the replica by a recovered one.
    pub(super) fn replace(&mut self, replica: Replica) {
        self.replica = replica;
    }
}

fn open_replica(options: &ShardCoreOptions, now: MonotonicTime) -> Result<Replica, StorageError> {
    let storage = ReplicaStorage::open((options.disk)(), StorageOptions::default())?;
    let seed = options.seed ^ options.identity.0 ^ u64::from(options.shard.0);
    let mut replica = ReplicaOptions::new(options.identity, options.shard, seed);
    if !options.voters.is_empty() {
        replica = replica.with_initial_voters(VoterSet {
            voters: options.voters.iter().map(|node| node.0).collect(),
            learners: Vec::new(),
        });
    }
    Replica::open(replica, storage, now).map_err(|error| match error {
        OpenError::Storage(error) => error,
        // Votes of another identity are handled like corruption: the node starts over.
        OpenError::ForeignStorage { .. } | OpenError::NodeIdMissing => {
            StorageError::corrupt("hard-state", 0, "the storage belongs to another identity")
        }
    })
}
