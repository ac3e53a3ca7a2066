//! Injects races between operators, lost responses, key revocations and full restarts.

use std::time::Duration;

use millford_api::config::Document;
use tokio::time::timeout;

use super::driver::{Driver, Recovery};
use super::tenant_faults::send_steadily;
use crate::checks::history::RevocationSeen;
use crate::fleet::FleetError;
use crate::fleet::operator::{Order, OrderResponse};
use crate::protocol::machine_micros;

/// Number of configuration changes before a full restart.
const CHANGES: usize = 300;
/// Duration of a revocation: longer than the 2 s after which a working key violates the guarantee, so
/// that the check can detect it.
const REVOKED_TIME: Duration = Duration::from_secs(5);
/// Interval of requests with the revoked key.
const REVOKED_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time after which the operator disconnects without a response.
const SOONEST_LOSS: Duration = Duration::from_micros(200);
/// Longest time after which the operator disconnects without a response.
const LATEST_LOSS: Duration = Duration::from_millis(30);
/// Drain time in milliseconds from which the number of a variant is subtracted.
const DRAIN_MS_BASE: u32 = 3_000;

impl Driver {
    /// Sends two orders on the same base revision concurrently, then both again to every control node.
    ///
    /// # Errors
    /// The configuration cannot be read, or an order has no outcome after all sends.
    pub async fn race_operators(&mut self) -> Result<Recovery, FleetError> {
        let (base_revision, document) = self.read_configuration().await?;
        let orders = [1, 2].map(|variant| Order {
            base_revision,
            order_id: self.next_order_id(),
            document: with_drain_times(&document, variant),
        });
        let (first, second) = tokio::join!(
            self.send_order(self.control_address(0), &orders[0]),
            self.send_order(self.control_address(1), &orders[1]),
        );
        for (order, response) in orders.iter().zip([first, second]) {
            // Every control node must acknowledge the accepted order again and must not accept the other.
            for turn in 0..self.fleet.controls.len() {
                self.send_order(self.control_address(turn), order).await;
            }
            if matches!(response, OrderResponse::Accepted { .. }) {
                self.resolve_order(order).await?;
            }
        }
        Ok(Recovery::now("two operators"))
    }

    /// Sends an order, disconnects after a random time that may be before the response, and sends the order
    /// again to the other control nodes.
    ///
    /// # Errors
    /// The configuration cannot be read, or the order has no outcome after all sends.
    pub async fn resend_order(&mut self) -> Result<Recovery, FleetError> {
        let (base_revision, document) = self.read_configuration().await?;
        let order = Order {
            base_revision,
            order_id: self.next_order_id(),
            document: with_drain_times(&document, 3),
        };
        let disconnect_after = self.draw_time(SOONEST_LOSS, LATEST_LOSS);
        let _ = timeout(
            disconnect_after,
            self.send_order(self.control_address(0), &order),
        )
        .await;
        self.send_order(self.control_address(1), &order).await;
        let acknowledged = self.resolve_order(&order).await?;
        for turn in 0..self.fleet.controls.len() {
            self.send_order(self.control_address(turn), &order).await;
        }
        Ok(Recovery::now(&format!(
            "revision {}",
            acknowledged.revision
        )))
    }

    /// Revokes the keys of the last tenant, sends requests with a revoked key, and restores the keys.
    ///
    /// # Errors
    /// The configuration cannot be read or changed.
    pub async fn revoke_keys(&mut self) -> Result<Recovery, FleetError> {
        let credentials = self.last_tenant();
        let tenant = credentials.name.clone();
        let (_, before) = self.read_configuration().await?;
        let named = before.tenants.iter().find(|known| known.name == tenant);
        let hashes = named
            .map(|known| known.key_hashes.clone())
            .unwrap_or_default();
        let revoked = self
            .change(|document| set_keys(document, &tenant, &[]))
            .await?;
        let mut callers = self.callers_of(&credentials);
        send_steadily(&mut callers, REVOKED_PERIOD, REVOKED_TIME).await;
        let calls = callers.finish().await;
        self.log.add(|history| history.calls.extend(calls));
        let restored_micros = Some(machine_micros());
        self.change(|document| set_keys(document, &tenant, &hashes))
            .await?;
        let revocation = RevocationSeen {
            tenant: tenant.clone(),
            acknowledged_micros: revoked.at_micros,
            restored_micros,
        };
        self.log.add(|history| history.revocations.push(revocation));
        Ok(Recovery::now(&tenant))
    }

    /// Applies `CHANGES` configuration changes, kills and restarts every control node, and checks that an
    /// order from before the changes is still acknowledged.
    ///
    /// # Errors
    /// The configuration cannot be read or changed, or a control node does not start again.
    pub async fn restart_after_changes(&mut self) -> Result<Recovery, FleetError> {
        let (base_revision, document) = self.read_configuration().await?;
        let first = Order {
            base_revision,
            order_id: self.next_order_id(),
            document: with_drain_times(&document, 4),
        };
        let mut base_revision = self.resolve_order(&first).await?.revision;
        for number in 0..CHANGES {
            let variant = u32::try_from(number % 50).unwrap_or(0) + 5;
            let document = with_drain_times(&document, variant);
            let order = Order {
                base_revision,
                order_id: self.next_order_id(),
                document,
            };
            base_revision = self.resolve_order(&order).await?.revision;
        }
        self.kill_every_control().await;
        self.restart_every_control().await?;
        let recovered = Recovery::now(&format!("the control plane at {base_revision}"));
        self.resolve_order(&first).await?;
        self.read_configuration().await?;
        Ok(recovered)
    }
}

/// Returns the document with a drain time that depends on `variant`.
fn with_drain_times(document: &Document, variant: u32) -> Document {
    let mut document = document.clone();
    for pool in &mut document.pools {
        pool.drain_ms = DRAIN_MS_BASE - variant;
    }
    document
}

fn set_keys(document: &mut Document, tenant: &str, hashes: &[String]) {
    for known in document
        .tenants
        .iter_mut()
        .filter(|known| known.name == tenant)
    {
        known.key_hashes = hashes.to_vec();
    }
}
