//! Identifiers that processes exchange.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identity of a control node. The node generates it at random when its disk is empty, and stores
/// it there.
///
/// A node whose disk was wiped gets a new identity, so it cannot vote again in a term in which it
/// voted under the lost state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Stands for no node, where no vote was cast or no leader is known.
    pub const NONE: NodeId = NodeId(0);

    /// Returns whether this identifies a node.
    #[must_use]
    pub fn is_some(self) -> bool {
        self != NodeId::NONE
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Number of a shard of the control state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ShardId(pub u32);

impl ShardId {
    /// The shard that holds the configuration and the list of control members.
    pub const CONFIGURATION: ShardId = ShardId(0);
}

impl fmt::Display for ShardId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
