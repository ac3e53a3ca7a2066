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
const PERIOD: Duration = Duration::from_millis(100);
/// A backend with requests under way that is silent for this long is asked for a connection.
const SILENT_AFTER: Duration = Duration::from_millis(600);
/// Shortest time between two such questions.
const ASK_PERIOD: Duration = Duration::from_millis(500);
/// Time between two tries to reach an ejected backend.
const READMIT_PERIOD: Duration = Duration::from_millis(500);
/// Period at which idle connections are looked through.
const SWEEP_PERIOD: Duration = Duration::from_millis(1000);

/// Watches for as long as the process lives.
///
/// The question is a bare connection: the backend's system answers it at once whatever the backend is
/// busy with, so silence there means that the machine or the way to it is gone. It needs no slot
/// and is no request.
pub async fn run<P: ForwardProtocol>(node: Arc<ForwardNode<P>>) {
    let mut asked: BTreeMap<String, MonotonicTime> = BTreeMap::new();
    let mut next_sweep = monotonic_now();
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = monotonic_now();
        let table = node.state.table();
        if now >= next_sweep {
            next_sweep = now + SWEEP_PERIOD;
            let known = |id: &str| table.pools().any(|pool| pool.backend(id).is_some());
            node.connections.sweep(now, known);
            asked.retain(|id, _| known(id));
        }
        for backend in table.pools().flat_map(|pool| pool.backends()) {
            let ejected = node.state.health.ejection(&backend.id).is_some();
            let period = if ejected { READMIT_PERIOD } else { ASK_PERIOD };
            let recently = asked
                .get(&backend.id)
                .is_some_and(|at| now.since(*at) < period);
            let suspect = node.connections.leased(&backend.id) > 0
                && node
                    .state
                    .health
                    .is_unresponsive(&backend.id, now, SILENT_AFTER);
            if recently || !(ejected || suspect) {
                continue;
            }
            asked.insert(backend.id.clone(), now);
            let (id, address) = (backend.id.clone(), backend.address.clone());
            tokio::spawn(ask(Arc::clone(&node), id, address, ejected));
        }
    }
}

async fn ask<P: ForwardProtocol>(
    node: Arc<ForwardNode<P>>,
    id: String,
    address: String,
    ejected: bool,
) {
    match node.connections.dial(&id, &address).await {
        Ok(lease) => {
            lease.give_back(None);
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
        AcquireError::Refused | AcquireError::NoRoom => EjectionReason::ConnectFailed,
    }
}
