//! Polls the service registry.

use std::sync::Arc;
use std::time::Duration;

use millford_registry::SharedRegistry;
use tokio::time::Instant;

use super::REGISTRY;
use super::event::{GatewayEvent, GatewayQueue};
use super::shared::NodeShared;
use crate::node_input::NodeInput;

/// Shortest period of the polls.
const MIN_POLL_PERIOD: Duration = Duration::from_millis(500);

/// Longest period of the polls: with what the registry itself trails, the removal of a backend is known in time.
const MAX_POLL_PERIOD: Duration = Duration::from_secs(1);

/// Time for each call that a reading takes: a registry bounds the calls of all readers together, and the
/// pages of its list grow with the fleet.
const PERIOD_PER_REQUEST: Duration = Duration::from_millis(150);

/// Reads the registry until the process ends, while this node leads a shard: only leaders compare
/// the catalogue with it, and a registry may bound or price its readings. Failures are logged once
/// each time they begin.
pub async fn watch(registry: SharedRegistry, queue: GatewayQueue, shared: Arc<NodeShared>) {
    let mut period = MIN_POLL_PERIOD;
    let mut next_poll = Instant::now();
    let mut failing = false;
    loop {
        tokio::time::sleep_until(next_poll).await;
        next_poll = Instant::now() + period;
        if shared.leads_services() == 0 {
            continue;
        }
        match registry.read().await {
            Ok(view) => {
                period = poll_period(view.requests);
                if std::mem::take(&mut failing) {
                    REGISTRY.info("Registry reads succeed again.");
                }
                let input = NodeInput::Registry(Arc::new(view));
                if queue.send(GatewayEvent::Input(input)).is_err() {
                    return;
                }
            }
            Err(error) if !failing => {
                failing = true;
                REGISTRY.warn(format!(
                    "Registry read failed, continuing with the last view: {error}."
                ));
            }
            Err(_) => {}
        }
    }
}

/// Time between two polls when a reading takes so many calls.
#[must_use]
pub fn poll_period(calls: u32) -> Duration {
    (PERIOD_PER_REQUEST * calls).clamp(MIN_POLL_PERIOD, MAX_POLL_PERIOD)
}
