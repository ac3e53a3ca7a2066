//! `status`: prints members, shards, sessions and placements as one control node sees them.

use std::fmt::Write;

use millford_api::operator::{MemberBody, PlacementBody, SessionBody, ShardBody, StatusReply};

use crate::client::{ControlClient, Request, STATUS_PATH};
use crate::failure::Failure;
use crate::report::Report;

/// Requests the status from the first control node that can be reached.
///
/// # Errors
/// A rejection, or a failure of [`ControlClient::send`].
pub async fn status(client: &ControlClient) -> Result<StatusReply, Failure> {
    client.send(&Request::get(STATUS_PATH)).await
}

impl Report for StatusReply {
    fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "node {} of cluster {}",
            self.node,
            or_none(&self.cluster)
        );
        let _ = writeln!(text, "configuration revision {}", self.revision);
        let _ = writeln!(text, "\ncontrol nodes ({}):", self.members.len());
        self.members
            .iter()
            .for_each(|member| write_member(&mut text, member));
        let _ = writeln!(text, "\nshards ({}):", self.shards.len());
        self.shards
            .iter()
            .for_each(|shard| write_shard(&mut text, shard));
        let _ = writeln!(text, "\nsessions ({}):", self.sessions.len());
        self.sessions
            .iter()
            .for_each(|session| write_session(&mut text, session, self.revision));
        let _ = writeln!(text, "\nplacements ({}):", self.placements.len());
        self.placements
            .iter()
            .for_each(|placement| write_placement(&mut text, placement));
        text
    }
}

fn write_member(text: &mut String, member: &MemberBody) {
    let connection = if member.connected {
        "connected"
    } else {
        "NOT CONNECTED"
    };
    let _ = writeln!(
        text,
        "  {} zone {} internal {} operator {} {connection}",
        member.node, member.zone, member.internal_address, member.operator_address
    );
}

fn write_shard(text: &mut String, shard: &ShardBody) {
    let _ = writeln!(
        text,
        "  {} leader {} term {} commit {} voters {} learners {}",
        shard.shard,
        or_none(&shard.leader),
        shard.term,
        shard.commit_index,
        shard.voters.len(),
        shard.learners.len()
    );
}

fn write_session(text: &mut String, session: &SessionBody, revision: u64) {
    let behind = if session.applied_revision < revision {
        " BEHIND"
    } else {
        ""
    };
    let _ = writeln!(
        text,
        "  {} zone {} {} epoch {} revision {}{behind}",
        session.member, session.zone, session.address, session.epoch, session.applied_revision
    );
}

fn write_placement(text: &mut String, placement: &PlacementBody) {
    let count = placement.replicas.len();
    let _ = writeln!(
        text,
        "  {} epoch {}: {count} replicas",
        placement.pool, placement.epoch
    );
    for replica in &placement.replicas {
        let _ = writeln!(
            text,
            "    {} {} {} {} weight {}",
            replica.backend_id, replica.model, replica.version, replica.state, replica.weight_milli
        );
    }
}

fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}
