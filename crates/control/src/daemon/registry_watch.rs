//! Polls the service registry.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::REGISTRY;
use super::event::{GatewayEvent, GatewayQueue};
use crate::node_input::NodeInput;
use crate::registry::client::RegistryClient;

/// Period of the polls.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Reads the registry until the process ends. Failures are logged once each time they begin.
pub async fn watch(address: String, queue: GatewayQueue) {
    let client = RegistryClient::new(&address);
    let mut polls = tokio::time::interval(POLL_PERIOD);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failing = false;
    loop {
        polls.tick().await;
        match client.read().await {
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
