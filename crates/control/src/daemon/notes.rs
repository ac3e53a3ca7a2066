//! Events of the node as log lines.

use super::{CONTROL, MEMBERS, PLACEMENT, SHARD};
use crate::node_output::NodeNote;
use crate::shard::move_notes::words_of;

/// Writes an event to the log.
pub fn log_note(note: &NodeNote) {
    match note {
        NodeNote::IdentityMinted(node) => {
            MEMBERS.info(format!("The disk is empty; this node is {node} now."));
        }
        NodeNote::ClusterFormed(cluster) => {
            MEMBERS.info(format!("Formed cluster {cluster:016x}."));
        }
        NodeNote::JoinedAsSpare(cluster) => {
            MEMBERS.info(format!("Joined cluster {cluster:016x} as a spare."));
        }
        NodeNote::StartedOver(node) => {
            MEMBERS.warn(format!("This node starts over empty, as {node}."));
        }
        NodeNote::Leader {
            shard,
            leader,
            term,
        } => SHARD.info(format!("Node {leader} leads shard {shard} in term {term}.")),
        NodeNote::OutOfTouch(shard) => {
            SHARD.warn(format!("Shard {shard} is out of touch with its quorum."));
        }
        NodeNote::VotersChange {
            shard,
            change,
            node,
        } => SHARD.info(format!("Shard {shard}: {change} {node}.")),
        NodeNote::MemberRemoved(node) => {
            MEMBERS.warn(format!(
                "Control node {node} is silent and taken off the list."
            ));
        }
        NodeNote::ConfigurationAccepted(revision) => {
            CONTROL.info(format!("Revision {revision} is in force."));
        }
        NodeNote::ReplicaFailed { shard, code } => {
            SHARD.error(format!("The replica of shard {shard} stopped: {code}"));
        }
        NodeNote::Placement {
            pool,
            replica,
            reason,
        } => PLACEMENT.info(format!("Pool {pool}: {replica} {}.", words_of(*reason))),
        NodeNote::MorePlacements { pool, more } => {
            PLACEMENT.info(format!("Pool {pool}: {more} more moves."));
        }
        NodeNote::RecoveryForced(shard) => SHARD.error(format!(
            "FORCED RECOVERY: this node is the only voter of shard {shard}; orders may be lost."
        )),
    }
}
