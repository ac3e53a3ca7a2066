//! Assignment of the first replicas of a shard to nodes.

use millford_core::{NodeId, ShardId};
use xxhash_rust::xxh3::xxh3_64;

/// Returns the `size` nodes that get a replica of a shard, in the order of their identities. If there are
/// fewer nodes than `size`, all of them do.
///
/// Uses rendezvous hashing (Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996):
/// every node computes the same group, and each pair of node and shard has its own rank, so the shards
/// are distributed over the nodes.
#[must_use]
pub fn replica_group(nodes: &[NodeId], shard: ShardId, size: usize) -> Vec<NodeId> {
    let mut ranked: Vec<NodeId> = nodes.to_vec();
    ranked.sort_by_key(|node| (rank(*node, shard), *node));
    ranked.truncate(size);
    ranked.sort();
    ranked
}

fn rank(node: NodeId, shard: ShardId) -> u64 {
    let mut key = node.0.to_be_bytes().to_vec();
    key.extend_from_slice(&shard.0.to_be_bytes());
    xxh3_64(&key)
}
