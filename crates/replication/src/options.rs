//! Timing, limits and identity of a replica.

use millford_api::replication::VoterSet;
use millford_core::time::Duration;
use millford_core::{NodeId, ShardId};

/// Interval at which the owner calls [`crate::Replica::tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// Default heartbeat interval.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(100);

/// Default lower bound of the random election timeout.
pub(crate) const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(500);

/// Default upper bound of the random election timeout.
pub(crate) const ELECTION_TIMEOUT_MAX: Duration = Duration::from_secs(1);

/// Default time without contact with a quorum after which a leader steps down.
pub const QUORUM_TIMEOUT: Duration = Duration::from_millis(500);

/// Highest age, in heartbeat intervals, of a contact that a configuration change relies on. A
/// change that relies on a voter whose disk was just lost may never be committed, nor rolled back.
pub(crate) const CONTACT_MAX_AGE_HEARTBEATS: u32 = 2;

/// Time for which a replica does not campaign after its disk was full.
pub(crate) const FULL_DISK_CAMPAIGN_BACKOFF: Duration = Duration::from_secs(2);

/// Intervals and timeouts, which must be equal on all replicas of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Longest time between two messages of a leader to a peer.
    pub heartbeat: Duration,
    /// Shortest time without contact with a leader before an election begins, without backoff.
    pub election_timeout_min: Duration,
    /// Longest time without contact with a leader before an election begins, without backoff.
    pub election_timeout_max: Duration,
    /// Time without contact with a quorum after which a leader steps down, without backoff.
    pub quorum_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: HEARTBEAT,
            election_timeout_min: ELECTION_TIMEOUT_MIN,
            election_timeout_max: ELECTION_TIMEOUT_MAX,
            quorum_timeout: QUORUM_TIMEOUT,
        }
    }
}

/// Limits on message sizes, messages in flight and promotions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of entries in one message; a single larger entry is still sent.
    pub append_bytes: usize,
    /// Most messages with entries in flight to one peer.
    pub appends_in_flight: usize,
    /// Most bytes of snapshot data in one message.
    pub snapshot_chunk_bytes: usize,
    /// Most committed entries that a learner may lack when it is promoted; few enough to be sent in
    /// one message.
    pub promotion_lag: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            append_bytes: 256 * 1024,
            appends_in_flight: 32,
            snapshot_chunk_bytes: 256 * 1024,
            promotion_lag: 64,
        }
    }
}

/// Options with which a replica is opened.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Identity of this node, generated for the disk that holds the storage and never used with
    /// another one.
    pub node: NodeId,
    /// The shard that the group replicates.
    pub shard: ShardId,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Intervals and timeouts of the group.
    pub timing: Timing,
    /// Limits on message sizes, messages in flight and promotions.
    pub limits: Limits,
    /// First configuration of a new group, identical on each of its initial replicas. Used only
    /// when the storage is empty; `None` for a replica that joins an existing group.
    pub initial_voters: Option<VoterSet>,
}

impl ReplicaOptions {
    /// Creates options with the default timing and limits and without a first configuration.
    #[must_use]
    pub fn new(node: NodeId, shard: ShardId, seed: u64) -> Self {
        Self {
            node,
            shard,
            seed,
            timing: Timing::default(),
            limits: Limits::default(),
            initial_voters: None,
        }
    }

    /// Sets the first configuration of a new group.
    #[must_use]
    pub fn with_initial_voters(mut self, voters: VoterSet) -> Self {
        self.initial_voters = Some(voters);
        self
    }
}
