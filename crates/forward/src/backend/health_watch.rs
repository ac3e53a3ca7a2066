//! Notices backends that are gone without a word, and takes ejected ones back.

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

/// Period of the watch.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A backend with requests under way that is silent for this long is asked for a connection.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(600);
/// Shortest time between two such questions.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two tries to reach an ejected backend.
const READMIT_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Period at which idle connections are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1000);

/// Watches for as long as the process lives.
///
/// The question is a bare connection: the backend's system answers it at once whatever the backend is
/// busy with, so silence there means that the machine or the way to it is gone. It needs no slot
/// and is no request.
pub async fn run<P: ForwardProtocol>(node: Arc<ForwardNode<P>>) {
    let mut last_probes: BTreeMap<String, MonotonicTime> = BTreeMap::new();
    let mut next_sweep = monotonic_now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = monotonic_now();
        let table = node.state.table();
        if now >= next_sweep {
            next_sweep = now + SWEEP_INTERVAL;
            let known = |id: &str| table.pools().any(|pool| pool.backend(id).is_some());
            node.connections.close_expired(now, known);
            last_probes.retain(|id, _| known(id));
        }
        for backend in table.pools().flat_map(|pool| pool.backends()) {
            let ejected = node.state.health.ejection(&backend.id).is_some();
            let period = if ejected {
                READMIT_PROBE_INTERVAL
            } else {
                PROBE_INTERVAL
            };
            let recently = last_probes
                .get(&backend.id)
                .is_some_and(|at| now.since(*at) < period);
            let suspect = node.connections.in_use(&backend.id) > 0
                && node
                    .state
                    .health
                    .is_unresponsive(&backend.id, now, UNRESPONSIVE_AFTER);
            if recently || !(ejected || suspect) {
                continue;
            }
            last_probes.insert(backend.id.clone(), now);
            let (id, address) = (backend.id.clone(), backend.address.clone());
            tokio::spawn(probe(Arc::clone(&node), id, address, ejected));
        }
    }
}

async fn probe<P: ForwardProtocol>(
    node: Arc<ForwardNode<P>>,
    id: String,
    address: String,
    ejected: bool,
) {
    match node.connections.dial(&id, &address).await {
        Ok(pooled) => {
            pooled.release(None);
            if node.state.health.probe_succeeded(&id, monotonic_now()) {
                LOG.info(format!("Backend {id} is used again."));
            }
        }
        Err(error) if !ejected => {
            let reason = ejection_reason(error);
            LOG.warn(format!("Backend {id} is ejected: {}.", reason.name()));
            node.eject(&id, reason);
        }
        Err(_) => {
            node.state.health.probe_failed(&id);
        }
    }
}

/// What a failed connection says about the backend.
#[must_use]
pub fn ejection_reason(error: AcquireError) -> EjectionReason {
    match error {
        AcquireError::TimedOut => EjectionReason::Unresponsive,
        AcquireError::Refused | AcquireError::AtLimit => EjectionReason::ConnectFailed,
    }
}
