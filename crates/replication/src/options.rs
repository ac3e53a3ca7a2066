//! Options of a replica.

use millford_api::replication::VoterSet;
use millford_core::time::Duration;
use millford_core::{NodeId, ShardId};

/// How often the owner calls [`crate::Replica::tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// Longest time between two messages of a leader to a replica (heartbeat interval).
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(100);

/// Shortest time without a leader before an election begins.
pub(crate) const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(500);

/// Longest time without a leader before an election begins.
pub(crate) const ELECTION_TIMEOUT_MAX: Duration = Duration::from_secs(1);

/// A leader without contact with a quorum for this long steps down.
pub const QUORUM_TIMEOUT: Duration = Duration::from_millis(500);

/// A change of the voters counts on contacts that are no older than this many heartbeats: a change
/// that counts on a voter whose disk was just lost may never be committed, nor rolled back.
pub(crate) const CONTACT_MAX_AGE_HEARTBEATS: u32 = 2;

/// After its disk was full, a replica does not campaign for this long.
pub(crate) const FULL_DISK_CAMPAIGN_BACKOFF: Duration = Duration::from_secs(2);

/// Times of a replica group; the same on all replicas of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Longest time between two messages of a leader to a replica (heartbeat interval).
    pub heartbeat: Duration,
    /// Shortest time without a leader before an election begins.
    pub election_timeout_min: Duration,
    /// Longest time without a leader before an election begins.
    pub election_timeout_max: Duration,
    /// A leader without contact with a quorum for this long steps down.
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

/// Limits on messages and on what is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of entries in one message.
    pub append_bytes: usize,
    /// Messages with entries in flight to a replica.
    pub appends_in_flight: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Entries that a learner may lack when it is promoted; one message brings them.
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

/// Everything that a replica is opened with, besides its storage.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Identity of this node, minted on the disk that the storage lies on.
    pub node: NodeId,
    /// The shard that the group replicates.
    pub shard: ShardId,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Times of the group.
    pub timing: Timing,
    /// Limits on messages.
    pub limits: Limits,
    /// First configuration of a new group, the same on every one of its replicas. Used only when
    /// the storage is empty; `None` for a replica that waits to be added by a leader.
    pub initial_voters: Option<VoterSet>,
}

impl ReplicaOptions {
    /// Default timing and limits, no first configuration.
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

    /// With the first configuration of a new group.
    #[must_use]
    pub fn with_initial_voters(mut self, voters: VoterSet) -> Self {
        self.initial_voters = Some(voters);
        self
    }
}
