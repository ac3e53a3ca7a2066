//! Sends orders until their outcome is known and records every response.

use std::net::SocketAddr;
use std::time::Duration;

use millford_api::config::Document;
use millford_core::ResultCode;
use tokio::time::sleep;

use super::driver::Driver;
use crate::checks::history::{OrderResult, OrderSeen};
use crate::fleet::FleetError;
use crate::fleet::operator::{Operator, Order, OrderResponse};
use crate::protocol::machine_micros;

/// Number of sends of an order, or reads of the configuration, after which the run fails.
const MAX_SENDS: usize = 120;
/// Pause before the next send.
const RESEND_DELAY: Duration = Duration::from_millis(250);

impl Driver {
    /// Sends an order once, to one control node, and records the response.
    pub async fn send_order(&self, server: SocketAddr, order: &Order) -> OrderResponse {
        send_and_record(&self.fleet.operator, server, order, &self.log).await
    }

    /// Reads the revision and document in force, trying one control node after the other.
    ///
    /// # Errors
    /// No control node returned a confirmed read within `MAX_SENDS` tries.
    pub async fn read_configuration(&self) -> Result<(u64, Document), FleetError> {
        for turn in 0..MAX_SENDS {
            if let Some(read) = self
                .fleet
                .operator
                .get_config(self.control_address(turn))
                .await
            {
                return Ok(read);
            }
            sleep(RESEND_DELAY).await;
        }
        Err(FleetError::Operator(
            "no control node returned a confirmed read of the configuration".to_owned(),
        ))
    }

    /// Applies `change` to the configuration in force and resends the order until its outcome is known.
    /// Returns the new revision and the time of the acknowledgement.
    ///
    /// # Errors
    /// The configuration cannot be read, or the order has no outcome after all sends.
    pub async fn change(
        &mut self,
        change: impl Fn(&mut Document),
    ) -> Result<Acknowledgement, FleetError> {
        let (base_revision, mut document) = self.read_configuration().await?;
        change(&mut document);
        let order = Order {
            base_revision,
            order_id: self.next_order_id(),
            document,
        };
        self.resolve_order(&order).await
    }

    /// Sends an order to one control node after the other until one accepts it.
    ///
    /// # Errors
    /// The order is refused for good, or has no outcome after `MAX_SENDS` sends.
    pub async fn resolve_order(&mut self, order: &Order) -> Result<Acknowledgement, FleetError> {
        for turn in 0..MAX_SENDS {
            match self.send_order(self.control_address(turn), order).await {
                OrderResponse::Accepted { revision, .. } => {
                    return Ok(Acknowledgement {
                        revision,
                        at_micros: machine_micros(),
                    });
                }
                OrderResponse::Refused { code, .. } if is_final(code) => {
                    let id = &order.order_id;
                    return Err(FleetError::Operator(format!(
                        "order {id} was refused with result code {code}"
                    )));
                }
                _ => sleep(RESEND_DELAY).await,
            }
        }
        Err(FleetError::Operator(format!(
            "order {} has no known outcome after {MAX_SENDS} sends",
            order.order_id
        )))
    }
}

/// An acknowledged order.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement {
    /// Revision that the order created.
    pub revision: u64,
    /// Machine clock when the response had arrived, in microseconds.
    pub at_micros: u64,
}

/// Sends an order once, to one control node, and adds the response to `log`.
pub async fn send_and_record(
    operator: &Operator,
    server: SocketAddr,
    order: &Order,
    log: &super::history_log::HistoryLog,
) -> OrderResponse {
    let response = operator.put_config(server, order).await;
    let seen = OrderSeen {
        order_id: order.order_id.clone(),
        base_revision: order.base_revision,
        answered_micros: machine_micros(),
        result: match response {
            OrderResponse::Accepted { revision, .. } => OrderResult::Accepted(revision),
            OrderResponse::Refused { code, .. } => OrderResult::Refused(code),
            OrderResponse::Unknown => OrderResult::Unknown,
        },
    };
    log.add(|history| history.orders.push(seen));
    response
}

/// Returns whether a refusal with this result code is final, so that the same order cannot succeed later.
fn is_final(code: u32) -> bool {
    let finals = [
        ResultCode::DocumentInvalid,
        ResultCode::RevisionConflict,
        ResultCode::OrderIdReused,
    ];
    finals.iter().any(|known| known.number() == code)
}
