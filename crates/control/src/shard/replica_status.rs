//! Status of a shard's replica, and its reports to the gateway.

use millford_core::{Duration, MonotonicTime, NodeId, ShardId};
use millford_replication::{ReplicaStatus, Role};

use super::periodic_timer::PeriodicTimer;
use crate::timing::QUORUM_CONTACT_TIMEOUT;

/// Period of the reports to the gateway while the status does not change.
const STATUS_PERIOD: Duration = Duration::from_millis(250);

/// Role and quorum contact of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardReplicaStatus {
    /// The shard that the replica belongs to.
    pub shard: ShardId,
    /// Whether this replica is the leader.
    pub leads: bool,
    /// The leader known to this replica; [`NodeId::NONE`] if unknown.
    pub leader: NodeId,
    /// The replica's current term.
    pub term: u64,
    /// Whether the replica is a voter of the group, is in contact with the shard's quorum, directly
    /// or through its leader, and can store entries.
    pub has_quorum: bool,
    /// Whether the replica was removed from the group.
    pub removed: bool,
    /// The voters, as of this replica's log.
    pub voters: Vec<NodeId>,
    /// The learners, as of this replica's log.
    pub learners: Vec<NodeId>,
    /// Index of the last committed log entry.
    pub commit_index: u64,
}

impl ShardReplicaStatus {
    /// Status of a replica that has not reported yet.
    #[must_use]
    pub fn unknown(shard: ShardId) -> Self {
        Self {
            shard,
            leads: false,
            leader: NodeId::NONE,
            term: 0,
            has_quorum: false,
            removed: false,
            voters: Vec::new(),
            learners: Vec::new(),
            commit_index: 0,
        }
    }

    /// Derives the status at `now` from the state of the consensus replica.
    #[must_use]
    pub fn of_replica(shard: ShardId, replica: &ReplicaStatus, now: MonotonicTime) -> Self {
        let contact = replica.leader_contact;
        let in_contact = contact.is_some_and(|contact| now.since(contact) < QUORUM_CONTACT_TIMEOUT);
        let is_voter = replica.role != Role::Learner;
        // A replica in contact with its leader that cannot store the leader's entries would feed
        // a stale state.
        let can_store = !replica.storage_full;
        Self {
            shard,
            leads: replica.role == Role::Leader,
            leader: replica.leader,
            term: replica.term,
            // A leader without contact with a quorum for this long may already have a successor.
            has_quorum: in_contact && is_voter && can_store && !replica.removed,
            removed: replica.removed,
            voters: replica.voters.clone(),
            learners: replica.learners.clone(),
            commit_index: replica.commit_index,
        }
    }

    /// Whether the two differ in more than the commit index.
    #[must_use]
    pub fn differs(&self, other: &ShardReplicaStatus) -> bool {
        let same_index = ShardReplicaStatus {
            commit_index: other.commit_index,
            ..self.clone()
        };
        same_index != *other
    }
}

/// Outcome of a status update.
#[derive(Debug)]
pub(super) struct StatusUpdate {
    /// The status to report to the gateway, if a report is due.
    pub(super) report: Option<ShardReplicaStatus>,
    /// Whether the replica lost contact with its quorum since the last update.
    pub(super) lost_quorum: bool,
}

/// Keeps the last status and decides when to report it: after each change, and periodically, so
/// that the gateway detects a core that waits for a stalled disk.
#[derive(Debug)]
pub(super) struct StatusReporter {
    last: ShardReplicaStatus,
    timer: PeriodicTimer,
}

impl StatusReporter {
    /// Creates the reporter of a replica that is opened now.
    pub(super) fn new(shard: ShardId, now: MonotonicTime) -> Self {
        Self {
            last: ShardReplicaStatus::unknown(shard),
            timer: PeriodicTimer::starting_at(now, STATUS_PERIOD),
        }
    }

    /// The status as of the last flush.
    pub(super) fn last(&self) -> &ShardReplicaStatus {
        &self.last
    }

    /// Sets the current status.
    pub(super) fn update(
        &mut self,
        now: MonotonicTime,
        current: ShardReplicaStatus,
    ) -> StatusUpdate {
        let lost_quorum = self.last.has_quorum && !current.has_quorum;
        let due = self.timer.take_due(now);
        let report = (current.differs(&self.last) || due).then(|| current.clone());
        self.last = current;
        StatusUpdate {
            report,
            lost_quorum,
        }
    }

    /// Marks the replica as permanently stopped: it neither leads nor has a quorum.
    pub(super) fn stopped(&mut self) -> ShardReplicaStatus {
        self.last.leads = false;
        self.last.has_quorum = false;
        self.last.clone()
    }
}
