//! What the gateway needs to know about a shard's replica, and when it is reported.

use millford_core::{Duration, MonotonicTime, NodeId, ShardId};
use millford_replication::{ReplicaStatus, Role};

use super::periodic_timer::PeriodicTimer;
use crate::timing::QUORUM_CONTACT_TIMEOUT;

/// Period of the report to the gateway although nothing changed.
const STATUS_PERIOD: Duration = Duration::from_millis(250);

/// Role and quorum contact of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardReplicaStatus {
    /// The shard.
    pub shard: ShardId,
    /// This replica leads.
    pub leads: bool,
    /// The leader as this replica knows it.
    pub leader: NodeId,
    /// The replica's term.
    pub term: u64,
    /// In contact with the shard's quorum, directly or through its leader.
    pub has_quorum: bool,
    /// The group does not hold this replica any more.
    pub removed: bool,
    /// The replicas that vote, in this replica's log.
    pub voters: Vec<NodeId>,
    /// The replicas that only receive.
    pub learners: Vec<NodeId>,
    /// Committed index.
    pub commit_index: u64,
}

impl ShardReplicaStatus {
    /// Status of a replica that knows nothing yet.
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

    /// The status at this time of a replica with this state.
    #[must_use]
    pub fn of_replica(shard: ShardId, replica: &ReplicaStatus, now: MonotonicTime) -> Self {
        let contact = replica.leader_contact;
        let in_contact = contact.is_some_and(|contact| now.since(contact) < QUORUM_CONTACT_TIMEOUT);
        let is_voter = replica.role != Role::Learner;
        // A replica that has contact to its leader and cannot store what it sends would feed an old
        // state.
        let stores = !replica.storage_full;
        Self {
            shard,
            leads: replica.role == Role::Leader,
            leader: replica.leader,
            term: replica.term,
            // A leader without contact to a quorum for this long may have a successor already.
            has_quorum: in_contact && is_voter && stores && !replica.removed,
            removed: replica.removed,
            voters: replica.voters.clone(),
            learners: replica.learners.clone(),
            commit_index: replica.commit_index,
        }
    }

    /// Whether the two differ in more than the committed index.
    #[must_use]
    pub fn differs(&self, other: &ShardReplicaStatus) -> bool {
        let same_index = ShardReplicaStatus {
            commit_index: other.commit_index,
            ..self.clone()
        };
        same_index != *other
    }
}

/// What follows from a new status.
#[derive(Debug)]
pub(super) struct StatusUpdate {
    /// To be reported to the gateway.
    pub(super) report: Option<ShardReplicaStatus>,
    /// The replica lost contact with its quorum since the last update.
    pub(super) lost_quorum: bool,
}

/// The status as last seen, reported when it changes and regularly, so that a stalled disk shows.
#[derive(Debug)]
pub(super) struct StatusReporter {
    last: ShardReplicaStatus,
    timer: PeriodicTimer,
}

impl StatusReporter {
    /// A reporter of a replica that is opened now.
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

    /// The status is this now.
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

    /// The replica stopped for good: it neither leads nor has a quorum.
    pub(super) fn stopped(&mut self) -> ShardReplicaStatus {
        self.last.leads = false;
        self.last.has_quorum = false;
        self.last.clone()
    }
}
