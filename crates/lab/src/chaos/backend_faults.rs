//! Faults of backends.

use std::time::Duration;

use http::Method;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use super::driver::{Driver, Recovery};
use super::fault_kind::FaultKind;
use crate::caller::http_client::send_json;
use crate::checks::history::DrainSeen;
use crate::emulator::faults::FaultSwitches;
use crate::emulator::options::BackendKind;
use crate::fleet::FleetError;
use crate::protocol::machine_micros;

/// Shortest time that a backend fault lasts.
const SHORTEST: Duration = Duration::from_secs(3);
/// Longest time that a backend fault lasts.
const LONGEST: Duration = Duration::from_secs(8);
/// How long a drain lasts: past its bound, so that late work would show.
const DRAIN_TIME: Duration = Duration::from_secs(6);
/// Slowdown of a slow backend.
const SLOW_FACTOR: f64 = 10.0;
/// How long late responses are held back, in milliseconds.
const LATE_MS: u64 = 1_500;
/// Chunks after which a truncated response ends.
const TRUNCATE_AFTER_CHUNKS: u64 = 5;

impl Driver {
    /// Kills, replaces, stops or drains a backend.
    ///
    /// # Errors
    /// A backend does not start again, or the operators' interface rejects an order.
    pub async fn inject_backend_fault(&mut self, kind: FaultKind) -> Result<Recovery, FleetError> {
        let index = self.draw(self.fleet.backends.len());
        let id = self.fleet.backends[index].spec.id.clone();
        let time = self.draw_time(SHORTEST, LONGEST);
        match kind {
            FaultKind::BackendKill => {
                self.fleet.backends[index].process.kill().await;
                sleep(time).await;
                self.fleet.backends[index].restart().await?;
            }
            FaultKind::BackendReplace => self.replace_backend(index).await?,
            FaultKind::BackendStop => {
                self.fleet.backends[index].process.signal(Signal::STOP);
                sleep(time).await;
                self.fleet.backends[index].process.signal(Signal::CONT);
            }
            FaultKind::PlatformDrain => self.drain_by_platform(&id).await?,
            _ => self.drain_by_operator(index, &id).await?,
        }
        Ok(Recovery::now(&id))
    }

    /// Shows a fault of the emulator for a while.
    ///
    /// # Errors
    /// The backend does not accept its fault switches.
    pub async fn inject_backend_misbehavior(
        &mut self,
        kind: FaultKind,
    ) -> Result<Recovery, FleetError> {
        let index = self.draw(self.fleet.backends.len());
        let time = self.draw_time(SHORTEST, LONGEST);
        let id = self.fleet.backends[index].spec.id.clone();
        self.fleet.backends[index]
            .set_faults(&switches(kind))
            .await?;
        sleep(time).await;
        self.fleet.backends[index]
            .set_faults(&FaultSwitches::default())
            .await?;
        Ok(Recovery::now(&id))
    }

    async fn replace_backend(&mut self, index: usize) -> Result<(), FleetError> {
        let spec = self.fleet.backends[index].spec.clone();
        self.fleet.backends[index].process.kill().await;
        self.fleet.add_backend(spec.kind, spec.zone).await?;
        // The new one takes the old one's index; the old one's execution log is still read.
        let last = self.fleet.backends.len() - 1;
        self.fleet.backends.swap(index, last);
        self.fleet.retire_last_backend();
        Ok(())
    }

    async fn drain_by_operator(&mut self, index: usize, id: &str) -> Result<(), FleetError> {
        let pools = pools_of(self.fleet.backends[index].spec.kind);
        let mut ordered_micros = 0;
        for pool in pools {
            self.order_drain(pool, id, true).await?;
            ordered_micros = machine_micros();
        }
        sleep(DRAIN_TIME).await;
        let readmitted_micros = Some(machine_micros());
        for pool in pools {
            self.order_drain(pool, id, false).await?;
        }
        self.record_drain(id, ordered_micros, readmitted_micros);
        Ok(())
    }

    async fn order_drain(&self, pool: &str, id: &str, drain: bool) -> Result<(), FleetError> {
        for turn in 0..20 {
            let server = self.control_address(turn);
            if self.fleet.operator.drain(server, pool, id, drain).await {
                return Ok(());
            }
            sleep(Duration::from_millis(250)).await;
        }
        Err(FleetError::Operator(format!(
            "the drain of {id} in {pool} was never accepted"
        )))
    }

    async fn drain_by_platform(&mut self, id: &str) -> Result<(), FleetError> {
        let path = format!("/admin/backends/{id}/draining");
        let registry = self.fleet.registry_address;
        let ordered_micros = machine_micros();
        let order = json!({"draining": true});
        let _ = send_json(registry, Method::PUT, &path, &order).await;
        sleep(DRAIN_TIME).await;
        let readmitted_micros = Some(machine_micros());
        let order = json!({"draining": false});
        let _ = send_json(registry, Method::PUT, &path, &order).await;
        self.record_drain(id, ordered_micros, readmitted_micros);
        Ok(())
    }

    fn record_drain(&self, id: &str, ordered_micros: u64, readmitted_micros: Option<u64>) {
        let drain = DrainSeen {
            backend: id.to_owned(),
            ordered_micros,
            readmitted_micros,
        };
        self.log.add(|history| history.drains.push(drain));
    }
}

/// Pools that a backend of this kind serves in the example documents.
fn pools_of(kind: BackendKind) -> &'static [&'static str] {
    match kind {
        BackendKind::Model => &["large", "small", "once"],
        BackendKind::Lookup => &["lookup"],
    }
}

/// The switches that show a fault.
#[must_use]
pub fn switches(kind: FaultKind) -> FaultSwitches {
    let none = FaultSwitches::default();
    match kind {
        FaultKind::BackendUnresponsive => FaultSwitches { dark: true, ..none },
        FaultKind::BackendRefuse => FaultSwitches {
            refuse: true,
            ..none
        },
        FaultKind::BackendSlow => FaultSwitches {
            slow_factor: SLOW_FACTOR,
            ..none
        },
        FaultKind::BackendLate => FaultSwitches {
            late_ms: LATE_MS,
            ..none
        },
        FaultKind::BackendCrossed => FaultSwitches {
            crossed: true,
            ..none
        },
        FaultKind::BackendStray => FaultSwitches {
            stray_bytes: true,
            ..none
        },
        FaultKind::BackendTruncation => FaultSwitches {
            truncate_after: Some(TRUNCATE_AFTER_CHUNKS),
            ..none
        },
        _ => none,
    }
}
