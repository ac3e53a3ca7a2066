//! Reads the configuration periodically and records the revisions.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use super::history_log::HistoryLog;
use crate::checks::history::ConfirmedReadSeen;
use crate::fleet::Fleet;
use crate::fleet::operator::Operator;
use crate::protocol::machine_micros;

/// Interval of confirmed reads.
const READ_PERIOD: Duration = Duration::from_millis(250);

/// Task that reads the configuration from the control nodes in turn.
#[derive(Debug)]
pub struct Watcher {
    task: JoinHandle<()>,
}

/// Shared list of operator addresses, which changes when a control node is replaced.
pub type OperatorAddresses = Arc<Mutex<Vec<SocketAddr>>>;

impl Watcher {
    /// Starts the task, which adds each confirmed read to `log`.
    #[must_use]
    pub fn start(fleet: &Fleet, log: HistoryLog) -> Self {
        let operator = fleet.operator.clone();
        let addresses = Arc::clone(&fleet.operator_addresses);
        Self {
            task: tokio::spawn(watch(operator, addresses, log)),
        }
    }

    /// Aborts the task and waits until it has ended.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn watch(operator: Operator, addresses: OperatorAddresses, log: HistoryLog) {
    let mut period = interval(READ_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for turn in 0_usize.. {
        period.tick().await;
        let address = {
            let addresses = addresses.lock().unwrap_or_else(PoisonError::into_inner);
            addresses[turn % addresses.len()]
        };
        let requested_micros = machine_micros();
        if let Some((revision, _)) = operator.get_config(address).await {
            let read = ConfirmedReadSeen {
                requested_micros,
                revision,
            };
            log.add(|history| history.reads.push(read));
        }
    }
}
