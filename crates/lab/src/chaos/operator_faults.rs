//! Races and losses of operators' orders.

use std::time::Duration;

use millford_api::config::Document;
use tokio::time::timeout;

use super::driver::{Driver, Recovery};
use super::tenant_faults::send_steadily;
use crate::checks::history::RevocationSeen;
use crate::fleet::FleetError;
use crate::fleet::operator::{Order, OrderAnswer};
use crate::protocol::machine_micros;

/// Changes before a full restart.
const CHANGES: usize = 300;
/// How long a key stays revoked: past its bound, so that late use would show.
const REVOKED_TIME: Duration = Duration::from_secs(5);
/// Time between two requests with the revoked key.
const REVOKED_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time after which a response is lost.
const SOONEST_LOSS: Duration = Duration::from_micros(200);
/// Longest time after which a response is lost.
const LATEST_LOSS: Duration = Duration::from_millis(30);
/// Base of the drain times that the orders set.
const DRAIN_MS_BASE: u32 = 3_000;

impl Driver {
    /// Two operators build on the same number; the winner's order is sent again elsewhere.
    ///
    /// # Errors
    /// The configuration cannot be read, or an order has no outcome after all sends.
    pub async fn race_operators(&mut self) -> Result<Recovery, FleetError> {
        let (base_revision, document) = self.read_configuration().await?;
        let orders = [1, 2].map(|variant| Order {
            base_revision,
            order_id: self.next_order_id(),
            document: varied(&document, variant),
        });
        let (first, second) = tokio::join!(
            self.send_order(self.control_address(0), &orders[0]),
            self.send_order(self.control_address(1), &orders[1]),
        );
        for (order, answer) in orders.iter().zip([first, second]) {
            // Sent again everywhere: the winner must be acknowledged, the other must not win.
            for turn in 0..self.fleet.controls.len() {
                self.send_order(self.control_address(turn), order).await;
            }
            if matches!(answer, OrderAnswer::Accepted { .. }) {
                self.resolve_order(order).await?;
            }
        }
        Ok(Recovery::now("two operators"))
    }

    /// The operator disconnects before the response and sends the order to another node.
    ///
    /// # Errors
    /// The configuration cannot be read, or the order has no outcome after all sends.
    pub async fn resend_order(&mut self) -> Result<Recovery, FleetError> {
        let (base_revision, document) = self.read_configuration().await?;
        let order = Order {
            base_revision,
            order_id: self.next_order_id(),
            document: varied(&document, 3),
        };
        let patience = self.draw_time(SOONEST_LOSS, LATEST_LOSS);
        let _ = timeout(patience, self.send_order(self.control_address(0), &order)).await;
        self.send_order(self.control_address(1), &order).await;
        let settled = self.resolve_order(&order).await?;
        for turn in 0..self.fleet.controls.len() {
            self.send_order(self.control_address(turn), &order).await;
        }
        Ok(Recovery::now(&format!("revision {}", settled.revision)))
    }

    /// Revokes the keys of the last tenant and restores them.
    ///
    /// # Errors
    /// The configuration cannot be read or changed.
    pub async fn revoke_keys(&mut self) -> Result<Recovery, FleetError> {
        let calling = self.last_tenant();
        let tenant = calling.name.clone();
        let (_, before) = self.read_configuration().await?;
        let named = before.tenants.iter().find(|known| known.name == tenant);
        let hashes = named
            .map(|known| known.key_hashes.clone())
            .unwrap_or_default();
        let revoked = self
            .change(|document| set_keys(document, &tenant, &[]))
            .await?;
        let mut callers = self.callers_of(&calling);
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

    /// Many changes, then every control node is killed and started again; an order from before
    /// the changes must still be acknowledged.
    ///
    /// # Errors
    /// The configuration cannot be read or changed, or a control node does not start again.
    pub async fn restart_after_changes(&mut self) -> Result<Recovery, FleetError> {
        let (base_revision, document) = self.read_configuration().await?;
        let first = Order {
            base_revision,
            order_id: self.next_order_id(),
            document: varied(&document, 4),
        };
        let mut base_revision = self.resolve_order(&first).await?.revision;
        for number in 0..CHANGES {
            let variant = u32::try_from(number % 50).unwrap_or(0) + 5;
            let document = varied(&document, variant);
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

/// The document with other drain times.
fn varied(document: &Document, variant: u32) -> Document {
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
