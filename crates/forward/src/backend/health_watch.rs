//! Ejects unresponsive backends, and readmits ejected ones.

use std::collections::BTreeMap;
use std::sync::Arc;

use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_routing::EjectionReason;
use millford_settings::PartLog;

use crate::backend::connection_pools::AcquireError;
use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;

const LOG: PartLog = PartLog::new("HEALTH");

/// Interval between checks for backends that are due for a probe.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without data after which a backend with requests in flight is probed.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(600);
/// Shortest time between two probes of an unresponsive backend.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two probes of an ejected backend.
const READMIT_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Probes backends until the task is aborted.
///
/// A probe only opens a connection. The operating system of a busy backend accepts it at once, so that a timeout
/// means that the machine or the network path to it has failed. A probe is not a request and occupies no slot of
/// the backend.
pub async fn run<P: ForwardProtocol>(node: Arc<ForwardNode<P>>) {
    let mut last_probes: LastProbes = BTreeMap::new();
    let mut next_sweep = monotonic_now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = monotonic_now();
        let table = node.state.table();
        if now >= next_sweep {
            next_sweep = now + SWEEP_INTERVAL;
            let known = |id: &str| table.pools().any(|pool| pool.backend(id).is_some());
            node.connections.close_expired(now, known);
            node.bulk_turns.retain(known);
            last_probes.retain(|id, _| known(id));
        }
        for backend in table.pools().flat_map(|pool| pool.backends()) {
            let Some(purpose) = due_probe(&node, &backend.id, now, &last_probes) else {
                continue;
            };
            last_probes.insert(backend.id.clone(), now);
            let (id, address) = (backend.id.clone(), backend.address.clone());
            tokio::spawn(probe(Arc::clone(&node), id, address, purpose));
        }
    }
}

/// Time of the last probe of each backend, by backend id.
type LastProbes = BTreeMap<String, MonotonicTime>;

/// The decision that a probe is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbePurpose {
    /// Whether to readmit an ejected backend.
    Readmission,
    /// Whether to eject an unresponsive backend.
    Ejection,
}

/// Returns the purpose of the probe that a backend is due for, if it is due for one.
fn due_probe<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    backend_id: &str,
    now: MonotonicTime,
    last_probes: &LastProbes,
) -> Option<ProbePurpose> {
    let health = &node.state.health;
    let (purpose, interval) = match health.ejection(backend_id) {
        Some(_) => (ProbePurpose::Readmission, READMIT_PROBE_INTERVAL),
        None => (ProbePurpose::Ejection, PROBE_INTERVAL),
    };
    let last = last_probes.get(backend_id);
    if last.is_some_and(|at| now.since(*at) < interval) {
        return None;
    }
    let is_suspect = || {
        node.connections.in_use(backend_id) > 0
            && health.is_unresponsive(backend_id, now, UNRESPONSIVE_AFTER)
    };
    (purpose == ProbePurpose::Readmission || is_suspect()).then_some(purpose)
}

async fn probe<P: ForwardProtocol>(
    node: Arc<ForwardNode<P>>,
    id: String,
    address: String,
    purpose: ProbePurpose,
) {
    match node.connections.dial(&id, &address).await {
        Ok(pooled) => {
            pooled.release(None);
            if node.state.health.probe_succeeded(&id, monotonic_now()) {
                LOG.info(format!("Backend {id} is in use again."));
            }
        }
        Err(error) if purpose == ProbePurpose::Ejection => {
            let reason = ejection_reason(error);
            LOG.warn(format!("Ejected backend {id}: {}.", reason.name()));
            node.eject(&id, reason);
        }
        Err(_) => {
            node.state.health.probe_failed(&id);
        }
    }
}

/// Returns the reason to eject a backend after a connection to it could not be opened.
#[must_use]
pub fn ejection_reason(error: AcquireError) -> EjectionReason {
    match error {
        AcquireError::TimedOut => EjectionReason::Unresponsive,
        AcquireError::Refused | AcquireError::AtLimit => EjectionReason::ConnectFailed,
    }
}
