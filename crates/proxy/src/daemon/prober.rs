//! Sends health probes to ejected and inactive backends, on the control thread.

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

/// Pause between two rounds of probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(200);
/// Longest time for a backend to answer a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Inactivity after which a backend in use is probed.
pub const QUIET_BEFORE_PROBE: Duration = Duration::from_millis(750);
/// Most probes in flight at the same time.
const MAX_PROBES_IN_FLIGHT: usize = 32;

/// A backend to probe.
struct ProbeTarget {
    id: String,
    address: String,
}

/// Probes backends until the process ends.
///
/// A backend that becomes unreachable is ejected after at most [`QUIET_BEFORE_PROBE`], two periods
/// and two timeouts: 1.95 s.
pub async fn run(state: Arc<ProxyState>, backends: BackendClient) {
    let mut logged = BTreeMap::new();
    loop {
        tokio::time::sleep(PROBE_PERIOD).await;
        log_changes(&mut logged, state.health.ejections());
        let targets = targets(&state);
        stream::iter(targets)
            .for_each_concurrent(MAX_PROBES_IN_FLIGHT, |target| {
                probe(&state, backends, target)
            })
            .await;
    }
}

fn targets(state: &ProxyState) -> Vec<ProbeTarget> {
    let table = state.table();
    let due = state.health.to_probe(monotonic_now(), QUIET_BEFORE_PROBE);
    let address = |id: String| {
        let backend = table.pools().find_map(|pool| pool.backend(&id))?;
        let address = backend.address.clone();
        Some(ProbeTarget { id, address })
    };
    due.into_iter().filter_map(address).collect()
}

/// Logs the backends that were ejected or are in use again since the last round.
fn log_changes(
    logged: &mut BTreeMap<String, EjectionReason>,
    ejected: BTreeMap<String, EjectionReason>,
) {
    for (id, reason) in &ejected {
        if !logged.contains_key(id) {
            LOG.warn(format!("Ejected backend {id}: {}.", reason.name()));
        }
    }
    for id in logged.keys().filter(|id| !ejected.contains_key(*id)) {
        LOG.info(format!("Backend {id} is in use again."));
    }
    *logged = ejected;
}

async fn probe(state: &ProxyState, backends: BackendClient, target: ProbeTarget) {
    let ProbeTarget { id, address } = target;
    if backends.probe(&address, PROBE_TIMEOUT).await {
        state.health.probe_succeeded(&id, monotonic_now());
    } else if state.health.probe_failed(&id) {
        let ejections = &state.metrics.ejections;
        let reason = EjectionReason::Unresponsive.name();
        ejections.with_label_values(&[reason]).inc();
    }
}
