//! What a status says about the shards' voters.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;

use crate::fleet::waiting::wait_for;
use crate::fleet::{Fleet, FleetError};

/// Longest wait for the repair of every shard.
const REPAIR_BOUND: Duration = Duration::from_mins(1);

/// Waits until every shard has its full number of voters, all of them nodes that respond.
///
/// # Errors
/// [`FleetError::Timeout`] when a shard is not repaired in time.
pub async fn wait_for_repair(fleet: &Fleet) -> Result<(), FleetError> {
    wait_for("the repair of every shard", REPAIR_BOUND, || {
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
        .any(|status| names_live_voters(status, &nodes))
}

/// Whether every shard of a status has a leader and only `nodes` as voters, one for each node up
/// to three.
#[must_use]
pub fn names_live_voters(status: &Value, nodes: &BTreeSet<String>) -> bool {
    let wanted = nodes.len().min(3);
    let Some(shards) = status["shards"].as_array() else {
        return false;
    };
    let whole = |shard: &Value| {
        let voters: BTreeSet<&str> = shard["voters"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        let led = shard["leader"]
            .as_str()
            .is_some_and(|leader| nodes.contains(leader));
        led && voters.len() == wanted && voters.iter().all(|voter| nodes.contains(*voter))
    };
    !shards.is_empty() && shards.iter().all(whole)
}
