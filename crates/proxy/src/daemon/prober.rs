//! Active probes of ejected and quiet backends, on the control thread.

use std::sync::Arc;

use futures::StreamExt;
use futures::stream;
use millford_core::Duration;
use millford_core::time::monotonic_now;
use millford_settings::PartLog;

use crate::daemon::backend_client::BackendClient;
use crate::proxy_state::ProxyState;

const LOG: PartLog = PartLog::new("HEALTH");

/// Time between two rounds of probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait for the answer to a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// A backend in use that was not heard for this long is probed.
pub const QUIET_BEFORE_PROBE: Duration = Duration::from_millis(1000);
/// Probes at once.
const PROBES_IN_FLIGHT: usize = 32;

/// A backend to probe.
struct Target {
    id: String,
    address: String,
}

/// Probes for as long as the process lives.
pub async fn run(state: Arc<ProxyState>, backends: BackendClient) {
    loop {
        tokio::time::sleep(PROBE_PERIOD).await;
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

async fn probe(state: &ProxyState, backends: BackendClient, target: Target) {
    let Target { id, address } = target;
    if backends.probe(&address, PROBE_TIMEOUT).await {
        if state.health.probe_succeeded(&id, monotonic_now()) {
            LOG.info(format!("Backend {id} answers again and is used."));
        }
    } else if state.health.probe_failed(&id) {
        let ejections = &state.metrics.ejections;
        ejections.with_label_values(&["silent"]).inc();
        LOG.warn(format!(
            "Backend {id} does not answer probes and is ejected."
        ));
    }
}
