//! The replica: its state, how it is opened, and proposals.

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
/// The owner calls [`Replica::step`] and [`Replica::tick`] as messages and time come in, and then
/// [`Replica::flush`]; only what a flush returns may leave or be applied.
pub struct Replica {
    pub(crate) options: ReplicaOptions,
    pub(crate) storage: ReplicaStorage,
    /// The latest time that the owner passed in.
    pub(crate) now: MonotonicTime,
    /// Term and vote as they will be stored by the next flush.
    pub(crate) term: u64,
    pub(crate) voted_for: NodeId,
    pub(crate) role: RoleState,
    /// The leader of the present term; [`NodeId::NONE`] while it is unknown.
    pub(crate) leader: NodeId,
    /// When the last message of a leader came.
    pub(crate) leader_contact: Option<MonotonicTime>,
    pub(crate) election_timer: ElectionTimer,
    pub(crate) configurations: ConfigurationHistory,
    /// Last index known to be committed.
    pub(crate) commit_index: u64,
    /// Last index that a flush has handed out as committed or restored.
    pub(crate) delivered_index: u64,
    /// A voter reported that the committed configuration does not hold this replica any more.
    pub(crate) removed: bool,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// No campaign before this time, after the disk was full.
    pub(crate) disk_full_until: Option<MonotonicTime>,
    /// An error of the storage that the replica does not survive.
    pub(crate) failure: Option<StorageError>,
    /// Results that the next flush hands out. `committed` is filled by the flush itself.
    pub(crate) pending: Ready,
}

impl Replica {
    /// Opens a replica on its storage. Empty storage begins with the options' first configuration.
    ///
    /// # Errors
    /// [`OpenError::NodeIdMissing`] and [`OpenError::ForeignStorage`] when the identity does not fit;
    /// [`OpenError::Storage`] when the first entry cannot be stored.
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

    /// Appends a command to the log, on the leader only. The entry is committed when it comes back
    /// in [`crate::Ready::committed`] with this index and the present term.
    ///
    /// # Errors
    /// [`NotLeader`] when this replica does not lead or is transferring the leadership.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<u64, NotLeader> {
        self.check_accepts_proposals()?;
        Ok(self.append_own(Payload::Command(command)))
    }

    /// The leader accepts proposals unless it is transferring the leadership.
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

    /// Appends an entry of the own term in memory; the next flush syncs and sends it.
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

    /// Queues a message of the present term.
    pub(crate) fn send(&mut self, to: NodeId, body: Body) {
        self.send_with_term(to, self.term, body);
    }

    /// Queues a message of another term: pre-votes speak of the term that would follow.
    pub(crate) fn send_with_term(&mut self, to: NodeId, term: u64, body: Body) {
        self.pending.messages.push(ReplicationMessage {
            shard: self.options.shard.0,
            from: self.options.node.0,
            to: to.0,
            term,
            body: Some(body),
        });
    }

    /// Time only moves forward, also when the owner passes times that were read in another order.
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

/// Votes belong to an identity. A disk that is copied or mounted under another one is refused.
fn check_owner(options: &ReplicaOptions, storage: &ReplicaStorage) -> Result<(), OpenError> {
    let owner = storage.hard_state().map_or(0, |state| state.node);
    if owner != 0 && owner != options.node.0 {
        return Err(OpenError::ForeignStorage {
            owner: NodeId(owner),
        });
    }
    Ok(())
}

/// Configurations of the snapshot and of the log behind it.
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
