//! Polls the service registry.

use std::sync::Arc;
use std::time::Duration;

use millford_registry::SharedRegistry;
use tokio::time::MissedTickBehavior;

use super::REGISTRY;
use super::event::{GatewayEvent, GatewayQueue};
use super::shared::NodeShared;
use crate::node_input::NodeInput;

/// Period of the polls.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Reads the registry until the process ends, while this node leads a shard: only leaders compare
/// the catalogue with it, and a registry may bound or price its readings. Failures are logged once
/// each time they begin.
pub async fn watch(registry: SharedRegistry, queue: GatewayQueue, shared: Arc<NodeShared>) {
    let mut polls = tokio::time::interval(POLL_PERIOD);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failing = false;
    loop {
        polls.tick().await;
        if shared.leads_services() == 0 {
            continue;
        }
        match registry.read().await {
            Ok(view) => {
                if std::mem::take(&mut failing) {
                    REGISTRY.info("The registry answers again.");
                }
                let input = NodeInput::Registry(Arc::new(view));
                if queue.send(GatewayEvent::Input(input)).is_err() {
                    return;
                }
            }
            Err(error) if !failing => {
                failing = true;
                REGISTRY.warn(format!("Going on with the last list: {error}."));
            }
            Err(_) => {}
        }
    }
}
