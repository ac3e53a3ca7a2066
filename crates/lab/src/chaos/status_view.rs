//! Checks the repair of the shards by the cluster status.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;

use crate::fleet::waiting::wait_for;
use crate::fleet::{Fleet, FleetError};

/// Longest wait for the repair of every shard.
const REPAIR_TIMEOUT: Duration = Duration::from_mins(1);

/// Waits until every control node responds and every shard has a leader and its full number of voters, all
/// among these nodes.
///
/// # Errors
/// [`FleetError::Timeout`] when a shard is not repaired in time.
pub async fn wait_for_repair(fleet: &Fleet) -> Result<(), FleetError> {
    wait_for("the repair of every shard", REPAIR_TIMEOUT, || {
        is_repaired(fleet)
    })
    .await
}

async fn is_repaired(fleet: &Fleet) -> bool {
    let mut nodes = BTreeSet::new();
    let mut statuses = Vec::new();
    for control in &fleet.controls {
        let Some(status) = fleet.operator.status(control.spec.operator).await else {
            return false;
        };
        nodes.extend(status["node"].as_str().map(str::to_owned));
        statuses.push(status);
    }
    statuses
        .iter()
        .any(|status| shards_are_repaired(status, &nodes))
}

/// Returns whether every shard of a status has a leader and voters among `nodes` only: three voters, or as
/// many as there are nodes if fewer.
#[must_use]
pub fn shards_are_repaired(status: &Value, nodes: &BTreeSet<String>) -> bool {
    let expected_voters = nodes.len().min(3);
    let Some(shards) = status["shards"].as_array() else {
        return false;
    };
    let shard_is_repaired = |shard: &Value| {
        let voters: BTreeSet<&str> = shard["voters"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        let has_leader = shard["leader"]
            .as_str()
            .is_some_and(|leader| nodes.contains(leader));
        has_leader
            && voters.len() == expected_voters
            && voters.iter().all(|voter| nodes.contains(*voter))
    };
    !shards.is_empty() && shards.iter().all(shard_is_repaired)
}
