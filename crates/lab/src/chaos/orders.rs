//! Orders of the chaos command: sent until their outcome is known, every response recorded.

use std::net::SocketAddr;
use std::time::Duration;

use millford_api::config::Document;
use millford_core::ResultCode;
use tokio::time::sleep;

use super::driver::Driver;
use crate::checks::history::{OrderResult, OrderSeen};
use crate::fleet::FleetError;
use crate::fleet::operator::{Operator, Order, OrderAnswer};
use crate::protocol::machine_micros;

/// How often an order is sent before the run gives up.
const MAX_SENDS: usize = 120;
/// Pause before an order is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(250);

impl Driver {
    /// Sends an order to one node and records the response.
    pub async fn send_order(&self, server: SocketAddr, order: &Order) -> OrderAnswer {
        send_and_record(&self.fleet.operator, server, order, &self.log).await
    }

    /// Reads the configuration in force from any node.
    ///
    /// # Errors
    /// No control node responds after all sends.
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
        Err(FleetError::Operator("no confirmed read".to_owned()))
    }

    /// Orders a change on the present revision; sends it again until its fate is known. Returns
    /// the new revision and the time of the acknowledgement.
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

    /// Sends an order to one node after the other until it is accepted.
    ///
    /// # Errors
    /// The order has no outcome after all sends.
    pub async fn resolve_order(&mut self, order: &Order) -> Result<Acknowledgement, FleetError> {
        for turn in 0..MAX_SENDS {
            match self.send_order(self.control_address(turn), order).await {
                OrderAnswer::Accepted { revision, .. } => {
                    return Ok(Acknowledgement {
                        revision,
                        at_micros: machine_micros(),
                    });
                }
                OrderAnswer::Refused { code, .. } if is_final(code) => {
                    let id = &order.order_id;
                    return Err(FleetError::Operator(format!(
                        "order {id} was refused: {code}"
                    )));
                }
                _ => sleep(RESEND_DELAY).await,
            }
        }
        Err(FleetError::Operator(format!(
            "order {} has no answer",
            order.order_id
        )))
    }
}

/// An acknowledged order.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement {
    /// Its number.
    pub revision: u64,
    /// When the response was there, by the machine clock.
    pub at_micros: u64,
}

/// Sends an order and records the response.
pub async fn send_and_record(
    operator: &Operator,
    server: SocketAddr,
    order: &Order,
    log: &super::history_log::HistoryLog,
) -> OrderAnswer {
    let answer = operator.put_config(server, order).await;
    let seen = OrderSeen {
        order_id: order.order_id.clone(),
        base_revision: order.base_revision,
        answered_micros: machine_micros(),
        result: match answer {
            OrderAnswer::Accepted { revision, .. } => OrderResult::Accepted(revision),
            OrderAnswer::Refused { code, .. } => OrderResult::Refused(code),
            OrderAnswer::Unknown => OrderResult::Unknown,
        },
    };
    log.add(|history| history.orders.push(seen));
    answer
}

/// Refusals after which sending again cannot help.
fn is_final(code: u32) -> bool {
    let finals = [
        ResultCode::DocumentInvalid,
        ResultCode::RevisionConflict,
        ResultCode::OrderIdReused,
    ];
    finals.iter().any(|known| known.number() == code)
}
