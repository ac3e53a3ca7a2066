//! Complete history of a run, the input of the checks.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::caller::RequestOutcome;
use crate::emulator::execution::Execution;

/// Complete history of a run, the input of the checks. Times are of the machine clock, in microseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct History {
    /// Outcome of each request.
    #[serde(rename = "calls")]
    pub calls: Vec<RequestOutcome>,
    /// Executions on all backends.
    pub executions: Vec<Execution>,
    /// Revisions that nodes reported outside of requests.
    #[serde(rename = "shown")]
    pub applied_revisions: Vec<AppliedRevision>,
    /// Responses to all sends of orders.
    pub orders: Vec<OrderSeen>,
    /// Confirmed reads of the configuration.
    pub reads: Vec<ConfirmedReadSeen>,
    /// Drains of backends.
    pub drains: Vec<DrainSeen>,
    /// Revocations of tenant keys.
    pub revocations: Vec<RevocationSeen>,
    /// Recoveries from outages.
    pub recoveries: Vec<RecoverySeen>,
    /// Periods in which a fault had partitioned or stopped a node. Adoption, revocation and missing quota
    /// decisions are not checked in them.
    pub disturbances: Vec<Disturbance>,
    /// Quotas by name of the tenant.
    pub quotas: BTreeMap<String, TenantQuota>,
}

/// A revision that a node reported.
#[derive(Clone, Debug, Serialize)]
pub struct AppliedRevision {
    /// Name of the node.
    pub node: String,
    /// Time of the request.
    #[serde(rename = "asked_micros")]
    pub requested_micros: u64,
    /// Time at which the response had arrived.
    pub answered_micros: u64,
    /// Configuration revision in the response.
    pub revision: u64,
}

/// Response to one send of an order.
#[derive(Clone, Debug, Serialize)]
pub struct OrderSeen {
    /// Id of the order; the same for all its sends.
    pub order_id: String,
    /// Revision that the order is based on.
    pub base_revision: u64,
    /// Time at which the response had arrived or the wait for it ended.
    pub answered_micros: u64,
    /// Content of the response.
    pub result: OrderResult,
}

/// Result of one send of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The order was accepted as this revision.
    Accepted(u64),
    /// The order was refused with this result code.
    Refused(u32),
    /// No response was received.
    Unknown,
}

/// A confirmed read of the configuration.
#[derive(Clone, Debug, Serialize)]
pub struct ConfirmedReadSeen {
    /// Time of the request.
    #[serde(rename = "asked_micros")]
    pub requested_micros: u64,
    /// Revision in the response.
    pub revision: u64,
}

/// A drain of a backend.
#[derive(Clone, Debug, Serialize)]
pub struct DrainSeen {
    /// Id of the backend.
    pub backend: String,
    /// Time at which the drain order was acknowledged, or was sent to the platform's registry.
    pub ordered_micros: u64,
    /// Time just before the order to readmit the backend; absent if it was not readmitted.
    pub readmitted_micros: Option<u64>,
}

/// A revocation of a tenant's keys.
#[derive(Clone, Debug, Serialize)]
pub struct RevocationSeen {
    /// Name of the tenant, all of whose requests during the revocation used a revoked key.
    pub tenant: String,
    /// Time at which the revoking order was acknowledged.
    pub acknowledged_micros: u64,
    /// Time just before the order to restore the keys; absent if they were not restored.
    pub restored_micros: Option<u64>,
}

/// The recovery from an outage.
#[derive(Clone, Debug, Serialize)]
pub struct RecoverySeen {
    /// Description of the fault for the report.
    pub what: String,
    /// Time at which every process ran again.
    pub healed_micros: u64,
    /// Time at which every proxy served and reads were confirmed again; absent if that did not happen in time.
    pub served_micros: Option<u64>,
}

/// A period in which a node was partitioned or stopped.
#[derive(Clone, Debug, Serialize)]
pub struct Disturbance {
    /// Start of the fault.
    pub from_micros: u64,
    /// End of the recovery, exclusive.
    pub until_micros: u64,
}

/// Quota of one tenant.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TenantQuota {
    /// Sustained rate of requests.
    pub requests_per_second: u32,
    /// Capacity of the token bucket: requests admitted at once after an idle period.
    pub burst: u32,
}

impl History {
    /// Groups the executions by the marker of their request.
    #[must_use]
    pub fn executions_by_marker(&self) -> BTreeMap<&str, Vec<&Execution>> {
        let mut groups: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
        for execution in &self.executions {
            groups.entry(&execution.marker).or_default().push(execution);
        }
        groups
    }

    /// Groups the outcomes by marker, which several sends of one request share.
    #[must_use]
    pub fn requests_by_marker(&self) -> BTreeMap<&str, Vec<&RequestOutcome>> {
        let mut groups: BTreeMap<&str, Vec<&RequestOutcome>> = BTreeMap::new();
        for call in &self.calls {
            groups.entry(&call.marker).or_default().push(call);
        }
        groups
    }

    /// Returns whether the time `micros` lies within a disturbance.
    #[must_use]
    pub fn is_disturbed(&self, micros: u64) -> bool {
        let covers = |disturbance: &Disturbance| {
            (disturbance.from_micros..disturbance.until_micros).contains(&micros)
        };
        self.disturbances.iter().any(covers)
    }
}
