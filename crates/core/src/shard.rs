//! Layout of the control state's shards, and the keys that are mapped to them.

use xxhash_rust::xxh3::xxh3_64;

use crate::identifiers::ShardId;

/// Number of data shards of a new cluster, besides the configuration shard.
pub const DEFAULT_DATA_SHARDS: u32 = 6;

/// Layout of the control state: one configuration shard, then the data shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardLayout {
    data_shards: u32,
}

impl ShardLayout {
    /// Creates a layout with `data_shards` data shards; 0 counts as 1.
    #[must_use]
    pub fn new(data_shards: u32) -> Self {
        Self {
            data_shards: data_shards.max(1),
        }
    }

    /// Returns the number of data shards, without the configuration shard.
    #[must_use]
    pub fn data_shards(self) -> u32 {
        self.data_shards
    }

    /// Returns the data shard that holds a key made by [`service_key`], [`tenant_key`] or
    /// [`session_key`].
    #[must_use]
    pub fn shard_of(self, key: &str) -> ShardId {
        let slot = xxh3_64(key.as_bytes()) % u64::from(self.data_shards);
        ShardId(1 + u32::try_from(slot).unwrap_or(0))
    }

    /// Iterates over all shards, the configuration shard first.
    pub fn all(self) -> impl Iterator<Item = ShardId> {
        (0..=self.data_shards).map(ShardId)
    }
}

/// Returns the sharding key of a service, which covers the backends and the placement of a pool.
/// `pool` is the pool's name.
#[must_use]
pub fn service_key(pool: &str) -> String {
    format!("service:{pool}")
}

/// Returns the sharding key of a tenant's claims and quota.
#[must_use]
pub fn tenant_key(tenant: &str) -> String {
    format!("tenant:{tenant}")
}

/// Returns the sharding key of the session of an agent or a control node.
#[must_use]
pub fn session_key(member: &str) -> String {
    format!("session:{member}")
}
