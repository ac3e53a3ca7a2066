//! Polls the service registry.

use std::sync::Arc;
use std::time::Duration;

use millford_registry::SharedRegistry;
use tokio::time::Instant;

use super::REGISTRY;
use super::event::{GatewayEvent, GatewayQueue};
use super::shared::NodeShared;
use crate::node_input::NodeInput;

/// Shortest poll period.
const MIN_POLL_PERIOD: Duration = Duration::from_millis(500);

/// Longest poll period. Even with the lag of the registry itself, the removal of a backend is still
/// noticed in time.
const MAX_POLL_PERIOD: Duration = Duration::from_secs(1);

/// Poll period for each request that a read takes. A registry may limit the requests of all its
/// readers together, and the number of pages of its list grows with the fleet.
const PERIOD_PER_REQUEST: Duration = Duration::from_millis(150);

/// Polls the registry until the process exits, but only while this node leads a data shard: only
/// leaders compare the catalogue with the registry, and a registry may limit or charge for reads.
/// A series of failures is logged once.
pub async fn watch(registry: SharedRegistry, queue: GatewayQueue, shared: Arc<NodeShared>) {
    let mut period = MIN_POLL_PERIOD;
    let mut next_poll = Instant::now();
    let mut failing = false;
    loop {
        tokio::time::sleep_until(next_poll).await;
        next_poll = Instant::now() + period;
        if shared.led_data_shards() == 0 {
            continue;
        }
        match registry.read().await {
            Ok(view) => {
                period = poll_period(view.requests);
                if std::mem::take(&mut failing) {
                    REGISTRY.info("Registry read succeeded after earlier failures.");
                }
                let input = NodeInput::Registry(Arc::new(view));
                if queue.send(GatewayEvent::Input(input)).is_err() {
                    return;
                }
            }
            Err(error) if !failing => {
                failing = true;
                REGISTRY.warn(format!(
                    "Registry read failed; continuing with the last successful read: {error}."
                ));
            }
            Err(_) => {}
        }
    }
}

/// Time between two polls if a read takes this many requests.
#[must_use]
pub fn poll_period(requests: u32) -> Duration {
    (PERIOD_PER_REQUEST * requests).clamp(MIN_POLL_PERIOD, MAX_POLL_PERIOD)
}
