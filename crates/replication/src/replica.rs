//! The replica: its state, how it is opened, and the calls of its owner.

use millford_api::replication::{
    LogEntry, ReplicationMessage, log_entry::Payload, replication_message::Body,
};
use millford_core::{MonotonicTime, NodeId};
use millford_storage::{ReplicaStorage, StorageError};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::bootstrap::bootstrap;
use crate::configuration::{Configuration, ConfigurationHistory};
use crate::incoming_snapshot::IncomingSnapshot;
use crate::patience::Patience;
use crate::ready::{ConfirmedRead, RestoredSnapshot};
use crate::role::RoleState;
use crate::{NotLeader, OpenError, ReplicaOptions};

/// One replica of a shard's group.
///
/// The owner calls [`Replica::step`] and [`Replica::tick`] as messages and time come in, and then
/// [`Replica::flush`]; only what a flush returns may leave or be applied.
pub struct Replica {
    pub(crate) options: ReplicaOptions,
    pub(crate) storage: ReplicaStorage,
    pub(crate) random: StdRng,
    pub(crate) now: MonotonicTime,
    pub(crate) term: u64,
    pub(crate) voted_for: NodeId,
    pub(crate) role: RoleState,
    pub(crate) leader: NodeId,
    pub(crate) leader_contact: Option<MonotonicTime>,
    pub(crate) election_at: MonotonicTime,
    pub(crate) patience: Patience,
    pub(crate) configurations: ConfigurationHistory,
    pub(crate) commit_index: u64,
    /// Last index that a flush has handed out as committed or restored.
    pub(crate) delivered_index: u64,
    pub(crate) removed: bool,
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// No campaign before this time, after the disk was full.
    pub(crate) full_until: Option<MonotonicTime>,
    /// An error of the storage that the replica does not survive.
    pub(crate) failure: Option<StorageError>,
    // Results for the next flush.
    pub(crate) outbox: Vec<ReplicationMessage>,
    pub(crate) restored: Option<RestoredSnapshot>,
    pub(crate) confirmed_reads: Vec<ConfirmedRead>,
    pub(crate) failed_reads: Vec<u64>,
    pub(crate) became_leader: bool,
    pub(crate) lost_leadership: bool,
    pub(crate) storage_full: bool,
}

impl Replica {
    /// Opens a replica on its storage. Empty storage begins with the options' first configuration.
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
            random: StdRng::seed_from_u64(options.seed),
            options,
            now,
            term: hard_state.term.max(last_term),
            voted_for: NodeId(hard_state.voted_for),
            role: RoleState::Follower,
            leader: NodeId::NONE,
            leader_contact: None,
            election_at: now,
            patience: Patience::default(),
            configurations,
            commit_index: snapshot_index,
            delivered_index: snapshot_index,
            removed: false,
            incoming: None,
            full_until: None,
            failure: None,
            outbox: Vec::new(),
            restored,
            confirmed_reads: Vec::new(),
            failed_reads: Vec::new(),
            became_leader: false,
            lost_leadership: false,
            storage_full: false,
            storage,
        }
    }

    /// Appends a command to the log, on the leader only. The entry is committed when it comes back
    /// in [`crate::Ready::committed`] with this index and the present term.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<u64, NotLeader> {
        self.check_takes_proposals()?;
        Ok(self.append_own(Payload::Command(command)))
    }

    /// The leader takes proposals unless it is handing over.
    fn check_takes_proposals(&self) -> Result<(), NotLeader> {
        match &self.role {
            RoleState::Leader(state) => match state.transfer {
                None => Ok(()),
                Some(transfer) => Err(NotLeader { hint: transfer.to }),
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
        self.configurations.note(&entry);
        self.storage.append([entry]);
        index
    }

    /// Queues a message of the present term.
    pub(crate) fn send(&mut self, to: NodeId, body: Body) {
        self.send_with_term(to, self.term, body);
    }

    /// Queues a message of another term: pre-votes speak of the term that would follow.
    pub(crate) fn send_with_term(&mut self, to: NodeId, term: u64, body: Body) {
        self.outbox.push(ReplicationMessage {
            shard: self.options.shard.0,
            from: self.options.node.0,
            to: to.0,
            term,
            body: Some(body),
        });
    }

    /// Time only moves forward, also when calls come with times that were read in another order.
    pub(crate) fn advance_clock(&mut self, now: MonotonicTime) {
        self.now = self.now.max(now);
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.configurations.latest().is_voter(self.options.node)
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.storage.term_at(self.storage.last_index()).unwrap_or(0)
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
            history.note(entry);
        }
    }
    history
}
