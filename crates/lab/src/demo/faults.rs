//! Injects the faults of the demonstration.

use std::time::Duration;

use crate::caller::http_client::get;
use crate::emulator::execution::Execution;
use crate::fleet::operator::configuration_leader;
use crate::fleet::waiting::wait_for;
use crate::fleet::{Fleet, FleetError};

/// Longest wait until a backend has enough open streams.
const STREAMS_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of open streams that the backend to kill must have.
const REQUIRED_STREAMS: usize = 2;

/// Waits until a model backend has `REQUIRED_STREAMS` open streams, kills the one with the most and returns
/// its index.
///
/// # Errors
/// [`FleetError::Timeout`] when no backend has enough open streams in time.
pub async fn kill_busy_backend(fleet: &mut Fleet) -> Result<usize, FleetError> {
    let models = fleet.plan.model_backends;
    let view = &*fleet;
    wait_for(
        "a backend with open streams",
        STREAMS_TIMEOUT,
        || async move {
            open_streams(view, busiest_backend(view, models).await).await >= REQUIRED_STREAMS
        },
    )
    .await?;
    let busiest = busiest_backend(fleet, models).await;
    fleet.backends[busiest].process.kill().await;
    Ok(busiest)
}

async fn busiest_backend(fleet: &Fleet, models: usize) -> usize {
    let mut busiest = (0, 0);
    for index in 0..models {
        let open = open_streams(fleet, index).await;
        if open > busiest.1 {
            busiest = (index, open);
        }
    }
    busiest.0
}

async fn open_streams(fleet: &Fleet, index: usize) -> usize {
    let address = fleet.backends[index].spec.address;
    let Ok(response) = get(address, "/v1/executions", None).await else {
        return 0;
    };
    let executions: Vec<Execution> = serde_json::from_slice(&response.body).unwrap_or_default();
    executions
        .iter()
        .filter(|execution| execution.end.is_none())
        .count()
}

/// Kills the control node that leads the configuration shard and returns its index.
///
/// # Errors
/// [`FleetError::Operator`] when the cluster status names no leader.
pub async fn kill_configuration_leader(fleet: &mut Fleet) -> Result<usize, FleetError> {
    let status = fleet.operator.status(fleet.operator_address()).await;
    let leader = status
        .as_ref()
        .and_then(|status| leader_index(fleet, status));
    let Some(leader) = leader else {
        return Err(FleetError::Operator(
            "the cluster status names no leader of the configuration shard".to_owned(),
        ));
    };
    fleet.controls[leader].process.kill().await;
    Ok(leader)
}

/// Returns the index of the control node that a cluster status names as leader of the configuration shard.
#[must_use]
pub fn leader_index(fleet: &Fleet, status: &serde_json::Value) -> Option<usize> {
    let leader = configuration_leader(status)?;
    let members = status["members"].as_array()?;
    let member = members
        .iter()
        .find(|member| member["node"].as_str() == Some(leader.as_str()))?;
    fleet.controls.iter().position(|control| {
        let operator = control.spec.operator.to_string();
        member["operator_address"].as_str() == Some(operator.as_str())
    })
}
