//! Identifiers that travel between processes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identity of a control node, minted at random on its empty disk and stored there.
///
/// A wiped disk gives a new identity, so a replica can never vote as one that forgot its votes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u64);

impl NodeId {
    /// "No node": no vote given, no leader known.
    pub const NONE: NodeId = NodeId(0);

    /// Whether this names a node.
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
