//! One machine: a disk, an identity, a replica while its process runs, and the applied state.

use millford_api::replication::{
    AppendReply, LogEntry, ReplicationMessage, VoterSet, replication_message::Body,
};
use millford_core::{MonotonicTime, NodeId, ShardId};
use millford_replication::{Limits, OpenError, Ready, Replica, ReplicaOptions};
use millford_storage::{ReplicaStorage, StorageError, StorageOptions};

use super::history::{Digest, History, extend};
use super::support::crash_disk::CrashDisk;

const SHARD: ShardId = ShardId(3);
/// Small values, so that runs cross the limits of segments and of the retained log often.
const STORAGE: StorageOptions = StorageOptions {
    segment_bytes: 600,
    retained_entries: 6,
    retained_bytes: 150,
};
/// Small values, so that runs reach the limits of messages, chunks and windows often.
pub(crate) const LIMITS: Limits = Limits {
    append_bytes: 200,
    appends_in_flight: 3,
    snapshot_chunk_bytes: 5,
    promotion_lag: 2,
};

/// An append reply to a leader, such as may be queued while the leader's process is stalled.
pub(crate) fn queued_reply(from: NodeId, to: NodeId, term: u64) -> ReplicationMessage {
    ReplicationMessage {
        shard: SHARD.0,
        from: from.0,
        to: to.0,
        term,
        body: Some(Body::AppendReply(AppendReply::default())),
    }
}

/// A machine of the group.
pub(crate) struct Machine {
    pub(crate) node: NodeId,
    pub(crate) disk: CrashDisk,
    /// `None` while the process is stopped.
    pub(crate) replica: Option<Replica>,
    pub(crate) applied_index: u64,
    /// Digest of the applied entries, which serves as the state machine's state.
    pub(crate) digest: Digest,
    pub(crate) limits: Limits,
    /// The first configuration; `None` for machines that are added later.
    pub(crate) initial_voters: Option<VoterSet>,
    /// End of the current stall of the process. The replica gets no ticks or messages before.
    pub(crate) stalled_until: MonotonicTime,
    /// Voters as of the last successful flush.
    pub(crate) flushed_voters: Vec<NodeId>,
    /// Voters as of the last attempted flush, which may have written them even if it failed.
    pub(crate) attempted_voters: Vec<NodeId>,
}

impl Machine {
    pub(crate) fn new(node: NodeId, initial_voters: Option<VoterSet>) -> Self {
        Self {
            node,
            disk: CrashDisk::default(),
            replica: None,
            applied_index: 0,
            digest: 0,
            limits: LIMITS,
            initial_voters,
            stalled_until: MonotonicTime::ZERO,
            flushed_voters: Vec::new(),
            attempted_voters: Vec::new(),
        }
    }

    /// Starts the process on its disk.
    pub(crate) fn start(&mut self, now: MonotonicTime, seed: u64) -> Result<(), OpenError> {
        let storage = ReplicaStorage::open(Box::new(self.disk.clone()), STORAGE)?;
        let mut options = ReplicaOptions::new(self.node, SHARD, seed);
        options.limits = self.limits;
        options.initial_voters.clone_from(&self.initial_voters);
        let replica = Replica::open(options, storage, now)?;
        self.applied_index = 0;
        self.digest = 0;
        self.replica = Some(replica);
        Ok(())
    }

    pub(crate) fn is_running(&self, now: MonotonicTime) -> bool {
        self.replica.is_some() && now >= self.stalled_until
    }

    /// All sets of voters that may be in force on the disk or in memory.
    pub(crate) fn voter_sets(&self) -> Vec<Vec<NodeId>> {
        let in_memory = self.replica.as_ref().map(|replica| replica.status().voters);
        let mut voter_sets = vec![self.flushed_voters.clone(), self.attempted_voters.clone()];
        voter_sets.extend(in_memory);
        voter_sets
    }

    /// Flushes the replica, applies the results and records them in `history`. Drops the replica if
    /// the flush fails.
    pub(crate) fn flush(&mut self, now: MonotonicTime, history: &mut History) -> Option<Ready> {
        let replica = self.replica.as_mut()?;
        self.attempted_voters = replica.status().voters;
        let result = replica.flush(now);
        self.record_flush(result, history)
    }

    fn record_flush(
        &mut self,
        result: Result<Ready, StorageError>,
        history: &mut History,
    ) -> Option<Ready> {
        let Ok(ready) = result else {
            self.replica = None;
            return None;
        };
        self.apply(&ready, history);
        let replica = self.replica.as_ref()?;
        let status = replica.status();
        self.flushed_voters.clone_from(&status.voters);
        if ready.became_leader && status.leader == self.node {
            history.record_leader(self.node, status.term);
            history.check_new_leader(self.node, replica);
        }
        for message in &ready.messages {
            history.record_sent(message);
        }
        for read in &ready.confirmed_reads {
            history.record_read_confirmed(self.node, read, self.applied_index);
        }
        Some(ready)
    }

    fn apply(&mut self, ready: &Ready, history: &mut History) {
        if let Some(snapshot) = &ready.restored {
            let bytes: [u8; 8] = snapshot.data[..8].try_into().expect("eight bytes");
            self.digest = Digest::from_le_bytes(bytes);
            self.applied_index = snapshot.index;
            history.record_restored(self.node, snapshot.index, self.digest);
            history.snapshots_received += 1;
        }
        for entry in &ready.committed {
            self.apply_entry(entry, history);
        }
    }

    fn apply_entry(&mut self, entry: &LogEntry, history: &mut History) {
        assert_eq!(
            entry.index,
            self.applied_index + 1,
            "delivered without a gap"
        );
        self.applied_index = entry.index;
        self.digest = extend(self.digest, entry);
        history.record_committed(self.node, entry, self.digest);
    }

    /// Saves a snapshot of the applied state, padded to several chunks.
    pub(crate) fn save_snapshot(&mut self) {
        let mut data = self.digest.to_le_bytes().to_vec();
        data.extend([0; 9]);
        if let Some(replica) = &mut self.replica {
            // Rejected if no entry was applied since the last snapshot. The next flush reports a
            // failed disk.
            let _ = replica.save_snapshot(self.applied_index, data);
        }
    }

    /// Fails the power: the process ends, and unsynced data may be lost.
    pub(crate) fn lose_power(&mut self, seed: u64) {
        self.replica = None;
        self.disk.crash(seed);
    }
}
