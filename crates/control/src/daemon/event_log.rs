//! Maps the node's events to log targets and levels.

use super::{CONTROL, MEMBERS, PLACEMENT, SHARD};
use crate::node_event::NodeEvent;

/// Writes an event to the log.
pub fn log_event(event: &NodeEvent) {
    let line = event.to_string();
    match event {
        NodeEvent::IdentityCreated(_)
        | NodeEvent::ClusterFormed(_)
        | NodeEvent::JoinedAsStandby(_) => MEMBERS.info(line),
        NodeEvent::StartedOver(_) | NodeEvent::MemberRemoved(_) => MEMBERS.warn(line),
        NodeEvent::Leader { .. } | NodeEvent::VotersChange { .. } => SHARD.info(line),
        NodeEvent::LostQuorum(_) => SHARD.warn(line),
        NodeEvent::ReplicaFailed { .. } | NodeEvent::RecoveryForced(_) => SHARD.error(line),
        NodeEvent::ConfigurationAccepted(_) => CONTROL.info(line),
        NodeEvent::Placement { .. } | NodeEvent::MorePlacements { .. } => PLACEMENT.info(line),
    }
}
