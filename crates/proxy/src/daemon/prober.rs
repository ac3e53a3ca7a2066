//! Active probes of ejected and quiet backends, on the control thread.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures::StreamExt;
use futures::stream;
use millford_core::Duration;
use millford_core::time::monotonic_now;
use millford_data_plane::proxy_state::ProxyState;
use millford_routing::EjectionReason;
use millford_settings::PartLog;

use crate::daemon::backend_client::BackendClient;

const LOG: PartLog = PartLog::new("HEALTH");

/// Time between two rounds of probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(200);
/// Longest wait for the answer to a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// A backend in use that was not heard for this long is probed.
pub const QUIET_BEFORE_PROBE: Duration = Duration::from_millis(750);
/// Probes at once.
const PROBES_IN_FLIGHT: usize = 32;

/// A backend to probe.
struct Target {
    id: String,
    address: String,
}

/// Probes for as long as the process lives.
///
/// A backend that vanishes is out of use after at most the quiet time, two periods and two
/// timeouts: 1.95 s.
pub async fn run(state: Arc<ProxyState>, backends: BackendClient) {
    let mut logged = BTreeMap::new();
    loop {
        tokio::time::sleep(PROBE_PERIOD).await;
        log_changes(&mut logged, state.health.ejections());
        let targets = targets(&state);
        stream::iter(targets)
            .for_each_concurrent(PROBES_IN_FLIGHT, |target| probe(&state, backends, target))
            .await;
    }
}

fn targets(state: &ProxyState) -> Vec<Target> {
    let table = state.table();
    let due = state.health.to_probe(monotonic_now(), QUIET_BEFORE_PROBE);
    let address = |id: String| {
        let backend = table.pools().find_map(|pool| pool.backend(&id))?;
        let address = backend.address.clone();
        Some(Target { id, address })
    };
    due.into_iter().filter_map(address).collect()
}

/// Logs the ejections and readmissions since the last round.
fn log_changes(
    logged: &mut BTreeMap<String, EjectionReason>,
    ejected: BTreeMap<String, EjectionReason>,
) {
    for (id, reason) in &ejected {
        if !logged.contains_key(id) {
            LOG.warn(format!("Backend {id} is ejected: {}.", reason.name()));
        }
    }
    for id in logged.keys().filter(|id| !ejected.contains_key(*id)) {
        LOG.info(format!("Backend {id} is used again."));
    }
    *logged = ejected;
}

async fn probe(state: &ProxyState, backends: BackendClient, target: Target) {
    let Target { id, address } = target;
    if backends.probe(&address, PROBE_TIMEOUT).await {
        state.health.probe_succeeded(&id, monotonic_now());
    } else if state.health.probe_failed(&id) {
        let ejections = &state.metrics.ejections;
        let reason = EjectionReason::Unresponsive.name();
        ejections.with_label_values(&[reason]).inc();
    }
}
