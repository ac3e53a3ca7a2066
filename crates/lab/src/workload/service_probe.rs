//! Probes of a fleet: whether every proxy serves, and a confirmed read succeeds.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::{sleep, timeout};

use super::callers::TenantCredentials;
use crate::caller::{CompletionRequest, LookupRequest, RequestOutcome, complete, look_up};
use crate::fleet::Fleet;
use crate::fleet::site::SMALL_MODEL;
use crate::protocol::machine_micros;

/// Longest wait for service.
const SERVICE_BOUND: Duration = Duration::from_secs(40);
/// Longest wait for one probe.
const PROBE_BOUND: Duration = Duration::from_secs(3);
/// Pause between rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Probes every proxy until all serve; the probes' outcomes are kept.
#[derive(Debug)]
pub struct ServiceProbe {
    tenant: TenantCredentials,
    number: u64,
    seed: u64,
    /// What the probes saw.
    pub outcomes: Vec<RequestOutcome>,
}

impl ServiceProbe {
    /// A probe that requests as `tenant`.
    #[must_use]
    pub fn new(tenant: TenantCredentials, seed: u64) -> Self {
        Self {
            tenant,
            number: 0,
            seed,
            outcomes: Vec::new(),
        }
    }

    /// Time at which service was fully available, or `None` if it was not in the longest wait.
    pub async fn wait(&mut self, fleet: &Fleet) -> Option<u64> {
        self.wait_without(fleet, None).await
    }

    /// As [`Self::wait`], while the control node `down` is known not to run.
    pub async fn wait_without(&mut self, fleet: &Fleet, down: Option<usize>) -> Option<u64> {
        let rounds = async {
            loop {
                if self.round(fleet, down).await {
                    return machine_micros();
                }
                sleep(PROBE_INTERVAL).await;
            }
        };
        timeout(SERVICE_BOUND, rounds).await.ok()
    }

    async fn round(&mut self, fleet: &Fleet, down: Option<usize>) -> bool {
        let calls: Vec<_> = (0..fleet.proxy_nodes.len())
            .map(|proxy| self.probe(fleet, proxy))
            .collect();
        let answers = join_all(calls).await;
        let served = answers
            .iter()
            .all(|outcomes| outcomes.iter().all(RequestOutcome::succeeded));
        let complete = answers.iter().all(|outcomes| outcomes.len() == 2);
        self.outcomes.extend(answers.into_iter().flatten());
        served && complete && confirms_read(fleet, down).await
    }

    /// One question and one lookup. A request that is given up leaves no outcome, since its caller
    /// saw no response.
    fn probe(
        &mut self,
        fleet: &Fleet,
        proxy: usize,
    ) -> impl Future<Output = Vec<RequestOutcome>> + use<> {
        let address = fleet.proxy_address(proxy);
        let question = self.question();
        let lookup = LookupRequest {
            marker: self.marker(),
            tenant: self.tenant.name.clone(),
            key: self.tenant.key.clone(),
            path: format!("{}probe", fleet.plan.lookup_prefix),
        };
        async move {
            let answered = timeout(PROBE_BOUND, complete(proxy, address, &question, true)).await;
            let found = timeout(PROBE_BOUND, look_up(proxy, address, &lookup)).await;
            [answered.ok(), found.ok()].into_iter().flatten().collect()
        }
    }

    fn question(&mut self) -> CompletionRequest {
        CompletionRequest {
            marker: self.marker(),
            tenant: self.tenant.name.clone(),
            key: self.tenant.key.clone(),
            model: SMALL_MODEL.to_owned(),
            shared_prefix: String::new(),
            question: "Are you there?".to_owned(),
            stream: true,
            chunks: 2,
            session: None,
            idempotency_key: None,
            deadline_ms: None,
        }
    }

    fn marker(&mut self) -> String {
        self.number += 1;
        format!("probe-{:x}-{}", self.seed, self.number)
    }
}

async fn confirms_read(fleet: &Fleet, down: Option<usize>) -> bool {
    let controls = fleet.controls.iter().enumerate();
    let running = controls.filter(|(index, _)| Some(*index) != down);
    let reads = running.map(|(_, control)| fleet.operator.get_config(control.spec.operator));
    join_all(reads).await.iter().all(Option::is_some)
}
