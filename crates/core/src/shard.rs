//! Which shard of the control state owns a name.

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
    /// A layout with `data_shards` data shards, at least one.
    #[must_use]
    pub fn new(data_shards: u32) -> Self {
        Self {
            data_shards: data_shards.max(1),
        }
    }

    /// Number of data shards.
    #[must_use]
    pub fn data_shards(self) -> u32 {
        self.data_shards
    }

    /// The data shard that owns a key made by [`service_key`], [`tenant_key`] or [`session_key`].
    #[must_use]
    pub fn shard_of(self, key: &str) -> ShardId {
        let slot = xxh3_64(key.as_bytes()) % u64::from(self.data_shards);
        ShardId(1 + u32::try_from(slot).unwrap_or(0))
    }

    /// Every shard, the configuration shard first.
    pub fn all(self) -> impl Iterator<Item = ShardId> {
        (0..=self.data_shards).map(ShardId)
    }
}

/// Key of a service: a pool's backends and placement. `pool` is the pool's name.
#[must_use]
pub fn service_key(pool: &str) -> String {
    format!("service:{pool}")
}

/// Key of a tenant's claims and quota.
#[must_use]
pub fn tenant_key(tenant: &str) -> String {
    format!("tenant:{tenant}")
}

/// Key of the session of an agent or control node.
#[must_use]
pub fn session_key(member: &str) -> String {
    format!("session:{member}")
}
