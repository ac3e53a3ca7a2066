//! Complete history of a run, the input of the checkers.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::caller::RequestOutcome;
use crate::emulator::execution::Execution;

/// Complete history of a run, the input of the checkers. Times are of the machine clock, in microseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct History {
    /// What each caller saw.
    #[serde(rename = "calls")]
    pub calls: Vec<RequestOutcome>,
    /// What each backend ran.
    pub executions: Vec<Execution>,
    /// Revisions that nodes showed outside of requests.
    #[serde(rename = "shown")]
    pub applied_revisions: Vec<AppliedRevision>,
    /// Orders that were sent, with each response.
    pub orders: Vec<OrderSeen>,
    /// Revisions read back by confirmed reads.
    pub reads: Vec<ConfirmedReadSeen>,
    /// Backends that were drained.
    pub drains: Vec<DrainSeen>,
    /// Keys that were revoked.
    pub revocations: Vec<RevocationSeen>,
    /// Outages that were healed.
    pub recoveries: Vec<RecoverySeen>,
    /// Times in which a node was partitioned or stopped by a fault: adoption is not judged there.
    pub disturbances: Vec<Disturbance>,
    /// Quotas of the tenants.
    pub quotas: BTreeMap<String, TenantQuota>,
}

/// A revision that a node showed.
#[derive(Clone, Debug, Serialize)]
pub struct AppliedRevision {
    /// Name of the node.
    pub node: String,
    /// When it was requested.
    #[serde(rename = "asked_micros")]
    pub requested_micros: u64,
    /// When it had answered.
    pub answered_micros: u64,
    /// What it showed.
    pub revision: u64,
}

/// Response to one send of an order.
#[derive(Clone, Debug, Serialize)]
pub struct OrderSeen {
    /// Id of the order.
    pub order_id: String,
    /// Revision that it builds on.
    pub base_revision: u64,
    /// When it was answered.
    pub answered_micros: u64,
    /// The response.
    pub result: OrderResult,
}

/// Response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// Accepted under this number.
    Accepted(u64),
    /// Refused with this code.
    Refused(u32),
    /// No response.
    Unknown,
}

/// A confirmed read of the configuration.
#[derive(Clone, Debug, Serialize)]
pub struct ConfirmedReadSeen {
    /// When it was requested.
    #[serde(rename = "asked_micros")]
    pub requested_micros: u64,
    /// Its response.
    pub revision: u64,
}

/// A backend that was ordered to drain and not readmitted in the run.
#[derive(Clone, Debug, Serialize)]
pub struct DrainSeen {
    /// The backend.
    pub backend: String,
    /// When the order was acknowledged, or the platform's list showed it.
    pub ordered_micros: u64,
    /// When it was readmitted, if it was.
    pub readmitted_micros: Option<u64>,
}

/// A key that was revoked.
#[derive(Clone, Debug, Serialize)]
pub struct RevocationSeen {
    /// Name of the tenant; its requests after the revocation all used the revoked key.
    pub tenant: String,
    /// When the order was acknowledged.
    pub acknowledged_micros: u64,
    /// When the key was valid again, if it was.
    pub restored_micros: Option<u64>,
}

/// An outage that was healed.
#[derive(Clone, Debug, Serialize)]
pub struct RecoverySeen {
    /// What had failed.
    pub what: String,
    /// When every machine was back.
    pub healed_micros: u64,
    /// When service was fully available again; absent if it never was.
    pub served_micros: Option<u64>,
}

/// A time in which a node was partitioned or stopped.
#[derive(Clone, Debug, Serialize)]
pub struct Disturbance {
    /// Start.
    pub from_micros: u64,
    /// End, with the time that the repair may take.
    pub until_micros: u64,
}

/// Quota of one tenant.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TenantQuota {
    /// Requests per second.
    pub requests_per_second: u32,
    /// Requests at once after a quiet time.
    pub burst: u32,
}

impl History {
    /// Executions grouped by the marker of their request.
    #[must_use]
    pub fn executions_by_marker(&self) -> BTreeMap<&str, Vec<&Execution>> {
        let mut groups: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
        for execution in &self.executions {
            groups.entry(&execution.marker).or_default().push(execution);
        }
        groups
    }

    /// Requests grouped by the marker of their request.
    #[must_use]
    pub fn requests_by_marker(&self) -> BTreeMap<&str, Vec<&RequestOutcome>> {
        let mut groups: BTreeMap<&str, Vec<&RequestOutcome>> = BTreeMap::new();
        for call in &self.calls {
            groups.entry(&call.marker).or_default().push(call);
        }
        groups
    }

    /// Whether a time lies within a disturbance.
    #[must_use]
    pub fn is_disturbed(&self, micros: u64) -> bool {
        let covers = |disturbance: &Disturbance| {
            (disturbance.from_micros..disturbance.until_micros).contains(&micros)
        };
        self.disturbances.iter().any(covers)
    }
}
