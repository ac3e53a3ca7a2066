//! Events of the node as log lines.

use super::{CONTROL, MEMBERS, PLACEMENT, SHARD};
use crate::node_output::NodeEvent;
use crate::shard::move_events::describe;

/// Writes an event to the log.
pub fn log_event(event: &NodeEvent) {
    match event {
        NodeEvent::IdentityMinted(node) => {
            MEMBERS.info(format!("The disk is empty; this node is {node} now."));
        }
        NodeEvent::ClusterFormed(cluster) => {
            MEMBERS.info(format!("Formed cluster {cluster:016x}."));
        }
        NodeEvent::JoinedAsStandby(cluster) => {
            MEMBERS.info(format!("Joined cluster {cluster:016x} as a standby."));
        }
        NodeEvent::StartedOver(node) => {
            MEMBERS.warn(format!("This node starts over empty, as {node}."));
        }
        NodeEvent::Leader {
            shard,
            leader,
            term,
        } => SHARD.info(format!("Node {leader} leads shard {shard} in term {term}.")),
        NodeEvent::LostQuorum(shard) => {
            SHARD.warn(format!("Shard {shard} lost its quorum."));
        }
        NodeEvent::VotersChange {
            shard,
            change,
            node,
        } => SHARD.info(format!("Shard {shard}: {change} {node}.")),
        NodeEvent::MemberRemoved(node) => {
            MEMBERS.warn(format!(
                "Control node {node} timed out and was removed from the membership."
            ));
        }
        NodeEvent::ConfigurationAccepted(revision) => {
            CONTROL.info(format!("Revision {revision} applied."));
        }
        NodeEvent::ReplicaFailed { shard, code } => {
            SHARD.error(format!("The replica of shard {shard} stopped: {code}"));
        }
        NodeEvent::Placement {
            pool,
            replica,
            reason,
        } => PLACEMENT.info(format!("Pool {pool}: {replica} {}.", describe(*reason))),
        NodeEvent::MorePlacements { pool, more } => {
            PLACEMENT.info(format!("Pool {pool}: {more} more moves."));
        }
        NodeEvent::RecoveryForced(shard) => SHARD.error(format!(
            "FORCED RECOVERY: this node is the only voter of shard {shard}; orders may be lost."
        )),
    }
}
