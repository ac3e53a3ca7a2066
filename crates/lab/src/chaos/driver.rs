//! Chooses faults at random, injects them one after the other and records the recovery from each.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::sleep;

use super::fault_kind::FaultKind;
use super::history_log::HistoryLog;
use super::options::ChaosOptions;
use super::status_view::wait_for_repair;
use crate::checks::history::{Disturbance, RecoverySeen};
use crate::fleet::{Fleet, FleetError};
use crate::protocol::machine_micros;
use crate::workload::CallersOptions;
use crate::workload::service_probe::ServiceProbe;

/// Undisturbed pause after each fault, in which adoption and revocation can be checked.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Record of one injected fault, for the report.
#[derive(Clone, Debug, Serialize)]
pub struct InjectedFault {
    /// Name of the fault kind.
    pub kind: &'static str,
    /// Process or group that the fault was injected into, with the companion fault if there was one.
    pub target: String,
    /// Machine clock when the fault began, in microseconds.
    pub from_micros: u64,
    /// Milliseconds from the end of the fault until every proxy served and every control node confirmed a
    /// read; absent if that did not happen in time.
    pub recovery_ms: Option<u64>,
}

/// Chooses and injects the faults.
#[derive(Debug)]
pub struct Driver {
    /// The fleet under test.
    pub fleet: Fleet,
    /// History of the run, shared with the watcher.
    pub log: HistoryLog,
    /// Random generator, seeded from the command line.
    pub random: ChaCha8Rng,
    /// Proxies and tenants of the traffic, from which probes and tenant faults take theirs.
    pub callers: CallersOptions,
    /// Faults injected so far, in their order.
    pub injected_faults: Vec<InjectedFault>,
    /// Number of caller groups created so far; added to the seed, it keeps their markers distinct.
    pub caller_groups: u64,
    probe: ServiceProbe,
    order_count: u64,
    seed: u64,
}

/// Target of a fault and the time at which the fault ended.
#[derive(Debug)]
pub struct Recovery {
    /// Process or group that the fault was injected into.
    pub target: String,
    /// Machine clock when every process that the fault had stopped ran again, in microseconds.
    pub at_micros: u64,
}

impl Recovery {
    /// Returns the recovery of a fault that has just ended.
    #[must_use]
    pub fn now(target: &str) -> Self {
        Self {
            target: target.to_owned(),
            at_micros: machine_micros(),
        }
    }
}

impl Driver {
    /// Creates a driver of `fleet` whose random choices follow from `seed`.
    #[must_use]
    pub fn new(fleet: Fleet, log: HistoryLog, seed: u64, callers: CallersOptions) -> Self {
        let prober = callers.tenants[0].clone();
        Self {
            fleet,
            log,
            random: ChaCha8Rng::seed_from_u64(seed),
            probe: ServiceProbe::new(prober, seed),
            callers,
            injected_faults: Vec::new(),
            caller_groups: 0,
            order_count: 0,
            seed,
        }
    }

    /// Injects faults until the run's duration is over. Every kind is injected once before any kind is
    /// repeated, unless the options name a single kind.
    ///
    /// # Errors
    /// Fails with the error of the first fault that could not be injected or undone.
    pub async fn run(&mut self, options: &ChaosOptions) -> Result<(), FleetError> {
        let start = Instant::now();
        let length = Duration::from_secs_f64(options.minutes * 60.0);
        let mut kinds = Vec::new();
        while start.elapsed() < length {
            let kind = if let Some(only) = options.only {
                only
            } else {
                if kinds.is_empty() {
                    kinds = FaultKind::shuffled(&mut self.random);
                }
                kinds.pop().unwrap_or(FaultKind::BackendKill)
            };
            self.inject(kind).await?;
        }
        let outcomes = std::mem::take(&mut self.probe.outcomes);
        self.log.add(|history| history.calls.extend(outcomes));
        Ok(())
    }

    async fn inject(&mut self, kind: FaultKind) -> Result<(), FleetError> {
        let from_micros = machine_micros();
        let companion = self.begin_companion(kind).await?;
        let mut recovered = self.inject_kind(kind).await?;
        if let Some(companion) = companion {
            self.end_companion(&companion).await?;
            recovered = Recovery::now(&format!("{} with {}", recovered.target, companion.text()));
        }
        let served_micros = self.probe.wait(&self.fleet).await;
        let recovery_ms =
            served_micros.map(|served| served.saturating_sub(recovered.at_micros) / 1_000);
        println!(
            "{:<22} {:<28} service after {recovery_ms:?} ms",
            kind.name(),
            recovered.target
        );
        let recovery = RecoverySeen {
            what: format!("{} of {}", kind.name(), recovered.target),
            healed_micros: recovered.at_micros,
            served_micros,
        };
        let until_micros = served_micros.unwrap_or_else(machine_micros);
        self.log.add(|history| {
            history.recoveries.push(recovery);
            if kind.disturbs_control() {
                history.disturbances.push(Disturbance {
                    from_micros,
                    until_micros,
                });
            }
        });
        let target = recovered.target;
        self.injected_faults.push(InjectedFault {
            kind: kind.name(),
            target,
            from_micros,
            recovery_ms,
        });
        if kind.disturbs_control() {
            self.record_repair(kind).await;
        }
        sleep(SETTLING_TIME).await;
        Ok(())
    }

    /// Waits for the repair of all shards. A missing repair is recorded as an outage without recovery.
    async fn record_repair(&self, kind: FaultKind) {
        let healed_micros = machine_micros();
        let repaired = wait_for_repair(&self.fleet).await;
        if repaired.is_ok() {
            return;
        }
        let what = format!(
            "{}: a shard did not regain its full set of voters",
            kind.name()
        );
        println!("{what}");
        let recovery = RecoverySeen {
            what,
            healed_micros,
            served_micros: None,
        };
        self.log.add(|history| history.recoveries.push(recovery));
    }

    async fn inject_kind(&mut self, kind: FaultKind) -> Result<Recovery, FleetError> {
        match kind {
            FaultKind::BackendKill
            | FaultKind::BackendReplace
            | FaultKind::BackendStop
            | FaultKind::OperatorDrain
            | FaultKind::PlatformDrain => self.inject_backend_fault(kind).await,
            FaultKind::BackendUnresponsive
            | FaultKind::BackendRefuse
            | FaultKind::BackendSlow
            | FaultKind::BackendLate
            | FaultKind::BackendCrossed
            | FaultKind::BackendStray
            | FaultKind::BackendTruncation
            | FaultKind::BackendEndlessHead
            | FaultKind::BackendEndlessBody => self.inject_backend_misbehavior(kind).await,
            FaultKind::AgentKill
            | FaultKind::ProxyKill
            | FaultKind::ProxyNodeKillHalf
            | FaultKind::ProxyNodeRolling => self.inject_proxy_fault(kind).await,
            FaultKind::OperatorRace => self.race_operators().await,
            FaultKind::OrderResent => self.resend_order().await,
            FaultKind::KeyRevocation => self.revoke_keys().await,
            FaultKind::HotTenant => Ok(self.exceed_quota().await),
            FaultKind::FullRestart => self.restart_after_changes().await,
            _ => self.inject_control_fault(kind).await,
        }
    }

    /// Returns an order id that is unique in the run.
    pub fn next_order_id(&mut self) -> String {
        self.order_count += 1;
        format!("chaos-{}-{}", self.seed, self.order_count)
    }

    /// Returns the operator address of the control node at `turn`, modulo their number.
    #[must_use]
    pub fn control_address(&self, turn: usize) -> SocketAddr {
        self.fleet.controls[turn % self.fleet.controls.len()]
            .spec
            .operator
    }

    /// Draws a number below `limit`.
    pub fn draw(&mut self, limit: usize) -> usize {
        self.random.random_range(0..limit)
    }

    /// Draws a duration of at least `from` and less than `until`.
    pub fn draw_time(&mut self, from: Duration, until: Duration) -> Duration {
        self.random.random_range(from..until)
    }
}
