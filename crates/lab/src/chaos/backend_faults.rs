//! Injects faults into backends.

use std::time::Duration;

use http::Method;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use super::driver::{Driver, Recovery};
use super::fault_kind::FaultKind;
use crate::caller::http_client::send_json;
use crate::checks::history::DrainSeen;
use crate::emulator::faults::{EndlessPart, FaultSwitches};
use crate::emulator::options::BackendKind;
use crate::fleet::FleetError;
use crate::protocol::machine_micros;

/// Shortest duration of a backend fault.
const SHORTEST_FAULT: Duration = Duration::from_secs(3);
/// Longest duration of a backend fault.
const LONGEST_FAULT: Duration = Duration::from_secs(8);
/// Duration of a drain: longer than the 3 s after which new work violates the guarantee, so that the
/// check can detect it.
const DRAIN_TIME: Duration = Duration::from_secs(6);
/// Factor on every duration of a slow backend.
const SLOW_FACTOR: f64 = 10.0;
/// Delay of late responses, in milliseconds.
const LATE_MS: u64 = 1_500;
/// Number of chunks that a truncated response has.
const TRUNCATE_AFTER_CHUNKS: u64 = 5;

impl Driver {
    /// Kills, replaces, stops or drains a random backend and undoes the fault after a while.
    ///
    /// # Errors
    /// A backend does not start again, or no control node accepts the start or end of the drain.
    pub async fn inject_backend_fault(&mut self, kind: FaultKind) -> Result<Recovery, FleetError> {
        let index = self.draw(self.fleet.backends.len());
        let id = self.fleet.backends[index].spec.id.clone();
        let time = self.draw_time(SHORTEST_FAULT, LONGEST_FAULT);
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

    /// Sets the fault switches of a random backend and clears them after a while.
    ///
    /// # Errors
    /// The backend cannot be reached or rejects its fault switches.
    pub async fn inject_backend_misbehavior(
        &mut self,
        kind: FaultKind,
    ) -> Result<Recovery, FleetError> {
        let index = self.draw(self.fleet.backends.len());
        let time = self.draw_time(SHORTEST_FAULT, LONGEST_FAULT);
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
        // The replacement takes the index of the old backend, whose execution log is still read.
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
            "no control node accepted a change to the drain of {id} in pool {pool}"
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

/// Returns the pools that a backend of this kind serves in the example documents.
fn pools_of(kind: BackendKind) -> &'static [&'static str] {
    match kind {
        BackendKind::Model => &["large", "small", "once"],
        BackendKind::Lookup => &["lookup"],
    }
}

/// Returns the fault switches for a fault kind; none is set for kinds that need no switch.
#[must_use]
pub fn switches(kind: FaultKind) -> FaultSwitches {
    let none = FaultSwitches::default();
    match kind {
        FaultKind::BackendUnresponsive => FaultSwitches {
            unresponsive: true,
            ..none
        },
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
        FaultKind::BackendEndlessHead => FaultSwitches {
            endless: Some(EndlessPart::Interim),
            ..none
        },
        FaultKind::BackendEndlessBody => FaultSwitches {
            endless: Some(EndlessPart::Body),
            ..none
        },
        _ => none,
    }
}
