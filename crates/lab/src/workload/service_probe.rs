//! Probes whether every proxy serves and every control node confirms reads.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::{sleep, timeout};

use super::callers::TenantCredentials;
use crate::caller::{CompletionRequest, LookupRequest, RequestOutcome, complete, look_up};
use crate::fleet::Fleet;
use crate::fleet::site::SMALL_MODEL;
use crate::protocol::machine_micros;

/// Longest wait until a round of probes succeeds.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest wait for one request of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Probes every proxy until all serve and keeps the outcomes for the checks.
#[derive(Debug)]
pub struct ServiceProbe {
    tenant: TenantCredentials,
    number: u64,
    seed: u64,
    /// Outcomes of all requests that ended in time.
    pub outcomes: Vec<RequestOutcome>,
}

impl ServiceProbe {
    /// Creates a probe that sends requests as `tenant`. The markers contain `seed`.
    #[must_use]
    pub fn new(tenant: TenantCredentials, seed: u64) -> Self {
        Self {
            tenant,
            number: 0,
            seed,
            outcomes: Vec::new(),
        }
    }

    /// Waits for a round of probes in which all succeed. Returns the machine clock then, in microseconds, or
    /// `None` if there was none within `SERVICE_TIMEOUT`.
    pub async fn wait(&mut self, fleet: &Fleet) -> Option<u64> {
        self.wait_without(fleet, None).await
    }

    /// As [`Self::wait`], without reads from the control node at index `down`, which is not running.
    pub async fn wait_without(&mut self, fleet: &Fleet, down: Option<usize>) -> Option<u64> {
        let rounds = async {
            loop {
                if self.round(fleet, down).await {
                    return machine_micros();
                }
                sleep(PROBE_INTERVAL).await;
            }
        };
        timeout(SERVICE_TIMEOUT, rounds).await.ok()
    }

    async fn round(&mut self, fleet: &Fleet, down: Option<usize>) -> bool {
        let calls: Vec<_> = (0..fleet.proxy_nodes.len())
            .map(|proxy| self.probe(fleet, proxy))
            .collect();
        let probes = join_all(calls).await;
        let served = probes
            .iter()
            .all(|outcomes| outcomes.iter().all(RequestOutcome::succeeded));
        let complete = probes.iter().all(|outcomes| outcomes.len() == 2);
        self.outcomes.extend(probes.into_iter().flatten());
        served && complete && confirms_read(fleet, down).await
    }

    /// Sends a question and a lookup to one proxy. A request that times out has no outcome, since its caller
    /// received no response.
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
            let completion_outcome =
                timeout(PROBE_TIMEOUT, complete(proxy, address, &question, true)).await;
            let lookup_outcome = timeout(PROBE_TIMEOUT, look_up(proxy, address, &lookup)).await;
            [completion_outcome.ok(), lookup_outcome.ok()]
                .into_iter()
                .flatten()
                .collect()
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
