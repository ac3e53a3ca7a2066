//! The replica: state, opening, proposals and queueing of messages.

use millford_api::replication::{
    LogEntry, ReplicationMessage, log_entry::Payload, replication_message::Body,
};
use millford_core::{MonotonicTime, NodeId};
use millford_storage::{ReplicaStorage, StorageError};

use crate::bootstrap::bootstrap;
use crate::configuration::{Configuration, ConfigurationHistory};
use crate::election_timer::ElectionTimer;
use crate::incoming_snapshot::IncomingSnapshot;
use crate::log_position::LogPosition;
use crate::ready::RestoredSnapshot;
use crate::role::RoleState;
use crate::{NotLeader, OpenError, Ready, ReplicaOptions};

/// One replica of a shard's group.
///
/// The owner calls [`Replica::step`] for each message received and [`Replica::tick`] every
/// [`crate::TICK`], and then [`Replica::flush`]. It sends and applies only what a flush returns.
pub struct Replica {
    pub(crate) options: ReplicaOptions,
    pub(crate) storage: ReplicaStorage,
    /// The latest time that the owner passed in.
    pub(crate) now: MonotonicTime,
    /// Current term; the next flush stores it with the vote.
    pub(crate) term: u64,
    /// Vote in the current term; [`NodeId::NONE`] for none. The next flush stores it.
    pub(crate) voted_for: NodeId,
    pub(crate) role: RoleState,
    /// The leader of the current term; [`NodeId::NONE`] while it is unknown.
    pub(crate) leader: NodeId,
    /// Time at which the last message of a leader was received; `None` before the first.
    pub(crate) leader_contact: Option<MonotonicTime>,
    pub(crate) election_timer: ElectionTimer,
    pub(crate) configurations: ConfigurationHistory,
    /// Last index known to be committed.
    pub(crate) commit_index: u64,
    /// Last index that was returned by a flush as committed or restored, or is covered by a
    /// snapshot that the next flush returns.
    pub(crate) delivered_index: u64,
    /// Whether a voter reported that the committed configuration no longer contains this replica.
    pub(crate) removed: bool,
    /// Snapshot that is being received from the leader.
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// Time before which the replica does not campaign because its disk was full.
    pub(crate) disk_full_until: Option<MonotonicTime>,
    /// Final error of the storage; the replica is unusable after it.
    pub(crate) failure: Option<StorageError>,
    /// Results that the next flush returns. The flush itself fills in `committed`.
    pub(crate) pending: Ready,
}

impl Replica {
    /// Opens a replica on its storage. If the storage is empty and the options have a first
    /// configuration, that configuration is stored as the first entry.
    ///
    /// # Errors
    /// [`OpenError::NodeIdMissing`] without an identity, [`OpenError::ForeignStorage`] when the
    /// storage belongs to another one, and [`OpenError::Storage`] when the first entry cannot be
    /// stored.
    pub fn open(
        options: ReplicaOptions,
        mut storage: ReplicaStorage,
        now: MonotonicTime,
    ) -> Result<Self, OpenError> {
        if !options.node.is_some() {
            return Err(OpenError::NodeIdMissing);
        }
        check_owner(&options, &storage)?;
        if let Some(voters) = &options.initial_voters {
            bootstrap(options.node, voters, &mut storage)?;
        }
        let mut replica = Self::restore(options, storage, now);
        replica.reset_election_timer();
        Ok(replica)
    }

    fn restore(options: ReplicaOptions, storage: ReplicaStorage, now: MonotonicTime) -> Self {
        let hard_state = storage.hard_state().unwrap_or_default();
        let last_term = storage.term_at(storage.last_index()).unwrap_or(0);
        let restored = storage.snapshot().map(|snapshot| RestoredSnapshot {
            index: snapshot.meta.index,
            term: snapshot.meta.term,
            data: snapshot.data.to_vec(),
        });
        let snapshot_index = restored.as_ref().map_or(0, |snapshot| snapshot.index);
        let configurations = read_configurations(&storage);
        Self {
            election_timer: ElectionTimer::new(options.seed, now),
            options,
            now,
            term: hard_state.term.max(last_term),
            voted_for: NodeId(hard_state.voted_for),
            role: RoleState::Follower,
            leader: NodeId::NONE,
            leader_contact: None,
            configurations,
            commit_index: snapshot_index,
            delivered_index: snapshot_index,
            removed: false,
            incoming_snapshot: None,
            disk_full_until: None,
            failure: None,
            pending: Ready {
                restored,
                ..Ready::default()
            },
            storage,
        }
    }

    /// Appends a command to the leader's log and returns the index of its entry. The command is
    /// committed when [`crate::Ready::committed`] contains an entry of that index and of the term
    /// in which it was proposed.
    ///
    /// # Errors
    /// [`NotLeader`] when this replica does not lead or is transferring the leadership.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<u64, NotLeader> {
        self.check_accepts_proposals()?;
        Ok(self.append_own(Payload::Command(command)))
    }

    /// Fails unless this replica leads and is not transferring the leadership.
    fn check_accepts_proposals(&self) -> Result<(), NotLeader> {
        match &self.role {
            RoleState::Leader(state) => match state.transfer {
                None => Ok(()),
                Some(transfer) => Err(NotLeader {
                    hint: transfer.target,
                }),
            },
            _ => Err(self.not_leader()),
        }
    }

    pub(crate) fn not_leader(&self) -> NotLeader {
        NotLeader { hint: self.leader }
    }

    /// Appends an entry of the current term in memory; the next flush syncs and sends it.
    pub(crate) fn append_own(&mut self, payload: Payload) -> u64 {
        let entry = LogEntry {
            index: self.storage.last_index() + 1,
            term: self.term,
            payload: Some(payload),
        };
        let index = entry.index;
        self.configurations.record(&entry);
        self.storage.append([entry]);
        index
    }

    /// Queues a message of the current term.
    pub(crate) fn send(&mut self, to: NodeId, body: Body) {
        self.send_with_term(to, self.term, body);
    }

    /// Queues a message of another term, as pre-votes carry the term of the election that would
    /// follow.
    pub(crate) fn send_with_term(&mut self, to: NodeId, term: u64, body: Body) {
        self.pending.messages.push(ReplicationMessage {
            shard: self.options.shard.0,
            from: self.options.node.0,
            to: to.0,
            term,
            body: Some(body),
        });
    }

    /// Sets the current time, unless it is earlier than the last one: the owner may have read its
    /// clock in another order than it makes the calls.
    pub(crate) fn advance_clock(&mut self, now: MonotonicTime) {
        self.now = self.now.max(now);
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.configurations.latest().is_voter(self.options.node)
    }

    /// Term and index of the last entry, or of the snapshot when the log is empty.
    pub(crate) fn last_position(&self) -> LogPosition {
        let index = self.storage.last_index();
        LogPosition {
            term: self.storage.term_at(index).unwrap_or(0),
            index,
        }
    }
}

/// Rejects a disk that was copied from or mounted on another node, because the votes on it belong
/// to the identity that wrote them.
fn check_owner(options: &ReplicaOptions, storage: &ReplicaStorage) -> Result<(), OpenError> {
    let owner = storage.hard_state().map_or(0, |state| state.node);
    if owner != 0 && owner != options.node.0 {
        return Err(OpenError::ForeignStorage {
            owner: NodeId(owner),
        });
    }
    Ok(())
}

/// Reads the configurations of the snapshot and of the log entries that follow it.
pub(crate) fn read_configurations(storage: &ReplicaStorage) -> ConfigurationHistory {
    let mut history = match storage.snapshot() {
        Some(snapshot) => {
            let configuration = Configuration::from(&snapshot.meta.voters);
            ConfigurationHistory::new(snapshot.meta.index, configuration)
        }
        None => ConfigurationHistory::new(0, Configuration::default()),
    };
    for index in history.latest_index() + 1..=storage.last_index() {
        if let Some(entry) = storage.entry(index) {
            history.record(entry);
        }
    }
    history
}
